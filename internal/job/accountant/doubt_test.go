package accountant

import (
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
)

// Guards against starts in doubt that are forgotten with the process of the agent that sent
// them: the worker's next life may get them while a new process knows nothing of them.
func TestDoubtsOutliveTheAgentsProcess(t *testing.T) {
	doubt := []ReportedDoubt{{Key: key(1, 0, 0, 1), Age: time.Second}}
	tests := []struct {
		name    string
		reports []Report // one a second
		want    int      // starts in doubt that the last process has to be told
	}{
		{"the process that told of it", []Report{{Process: 1, Doubts: doubt}, {Process: 1, Doubts: doubt}}, 0},
		{"the next process", []Report{{Process: 1, Doubts: doubt}, {Process: 2}}, 1},
		{"the one after it, too", []Report{{Process: 1, Doubts: doubt}, {Process: 2}, {Process: 3}}, 1},
		{"the next process tells of it", []Report{{Process: 1, Doubts: doubt}, {Process: 2}, {Process: 2, Doubts: doubt}}, 0},
		{"it has come meanwhile", []Report{{Process: 1, Doubts: doubt}, {Process: 1}, {Process: 2}}, 0},
		{"it has come and ended", []Report{{Process: 1, Doubts: doubt}, {Process: 2, Ends: []ReportedEnd{{Seq: 1, Key: doubt[0].Key, How: EndDone}}}, {Process: 2}}, 0},
		{"the worker begins another life", []Report{{Process: 1, Doubts: doubt}, {Process: 2, Life: "2"}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newState(t, 3)
			vm := attach(a, "vm")
			now := begin
			for _, r := range tt.reports {
				now = now.Add(time.Second)
				if r.Life == "" {
					r.Life = "1"
				}
				if r.Process != vm.Process {
					a.Attach(Facts{Name: "vm", Capacity: eightCore}, r, now)
				} else {
					a.Apply(vm, r, now)
				}
			}
			got := vm.Inherited(now)
			if len(got) != tt.want {
				t.Fatalf("inherited %+v, want %d", got, tt.want)
			}
			if tt.want == 1 && got[0].Key != doubt[0].Key {
				t.Errorf("inherited %+v", got)
			}
			now = begin.Add(DoubtLife + 2*time.Second)
			a.Apply(vm, Report{Life: vm.Life, Process: vm.Process}, now)
			if got := vm.Inherited(now); len(got) != 0 {
				t.Errorf("inherited %+v long after it was sent", got)
			}
		})
	}
}

// Guards against a task that waits for a start that was ordered for a life of the worker that
// is over: the new life refuses it, and the agent's new process is told to see to that.
func TestUncertainRunsEndWithTheLifeOfTheWorker(t *testing.T) {
	tests := []struct {
		name           string
		life           string
		booked, doubts int
	}{
		{"the same life", "1", 1, 0},
		{"another life", "2", 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newState(t, 3)
			j := addJob(t, a, 1, specifier.Step{Count: 1, Needs: oneCore})
			vm, _ := a.Attach(Facts{Name: "vm", Capacity: eightCore}, Report{Life: "1", Process: 1, Ready: true}, at(0))
			waiting := a.Find(task(1, 0, 0))
			a.Place(waiting, vm, 1, at(0))
			a.Attach(Facts{Name: "vm", Capacity: eightCore}, Report{Life: tt.life, Process: 2, Ready: true}, at(10))
			if got := len(vm.UncertainRuns()); got != tt.booked || j.runs() != tt.booked {
				t.Errorf("%d runs are booked, %d of them uncertain, want %d", j.runs(), got, tt.booked)
			}
			if got := len(vm.Inherited(at(20))); got != tt.doubts {
				t.Errorf("%d starts are told to the new process, want %d", got, tt.doubts)
			}
		})
	}
}
