package tracker

import (
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
)

// Guards against unconfirmed starts that are lost with the agent process that sent them: the
// next incarnation of the worker may receive them while the new process does not know them.
func TestUnconfirmedStartsSurviveAgentRestart(t *testing.T) {
	start := []UnconfirmedStart{{Key: key(1, 0, 0, 1), Age: time.Second}}
	tests := []struct {
		name    string
		reports []Report // one a second
		want    int      // unconfirmed starts that have to be passed to the last process
	}{
		{"the process that reported it", []Report{{Process: 1, UnconfirmedStarts: start}, {Process: 1, UnconfirmedStarts: start}}, 0},
		{"the next process", []Report{{Process: 1, UnconfirmedStarts: start}, {Process: 2}}, 1},
		{"the process after the next", []Report{{Process: 1, UnconfirmedStarts: start}, {Process: 2}, {Process: 3}}, 1},
		{"the next process reports it", []Report{{Process: 1, UnconfirmedStarts: start}, {Process: 2}, {Process: 2, UnconfirmedStarts: start}}, 0},
		{"it is no longer reported", []Report{{Process: 1, UnconfirmedStarts: start}, {Process: 1}, {Process: 2}}, 0},
		{"its run has ended", []Report{{Process: 1, UnconfirmedStarts: start}, {Process: 2, Ends: []ReportedEnd{{Seq: 1, Key: start[0].Key, Outcome: EndDone}}}, {Process: 2}}, 0},
		{"a new incarnation of the worker", []Report{{Process: 1, UnconfirmedStarts: start}, {Process: 2, Incarnation: "2"}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newState(t, 3)
			vm := attach(tr, "vm")
			now := begin
			for _, r := range tt.reports {
				now = now.Add(time.Second)
				if r.Incarnation == "" {
					r.Incarnation = "1"
				}
				if r.Process != vm.Process {
					tr.Attach(VMInfo{Name: "vm", Capacity: eightCore}, r, now)
				} else {
					tr.Apply(vm, r, now)
				}
			}
			got := vm.InheritedStarts(now)
			if len(got) != tt.want {
				t.Fatalf("inherited %+v, want %d", got, tt.want)
			}
			if tt.want == 1 && got[0].Key != start[0].Key {
				t.Errorf("inherited %+v", got)
			}
			now = begin.Add(UnconfirmedStartMaxAge + 2*time.Second)
			tr.Apply(vm, Report{Incarnation: vm.Incarnation, Process: vm.Process}, now)
			if got := vm.InheritedStarts(now); len(got) != 0 {
				t.Errorf("inherited %+v after the limit for unanswered starts", got)
			}
		})
	}
}

// Guards against a task that waits for a start that was ordered for an ended incarnation of
// the worker. The new incarnation refuses it, and the agent's new process is given the start
// to make sure that it is refused.
func TestUnconfirmedRunsEndWithWorkerIncarnation(t *testing.T) {
	tests := []struct {
		name              string
		incarnation       string
		kept, unconfirmed int
	}{
		{"the same incarnation", "1", 1, 0},
		{"another incarnation", "2", 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newState(t, 3)
			j := addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore})
			vm, _ := tr.Attach(VMInfo{Name: "vm", Capacity: eightCore}, Report{Incarnation: "1", Process: 1, Ready: true}, at(0))
			waiting := tr.Find(task(1, 0, 0))
			tr.Place(waiting, vm, 1, at(0))
			tr.Attach(VMInfo{Name: "vm", Capacity: eightCore}, Report{Incarnation: tt.incarnation, Process: 2, Ready: true}, at(10))
			if got := len(vm.UnconfirmedRuns()); got != tt.kept || j.runs() != tt.kept {
				t.Errorf("%d runs are kept, %d of them unconfirmed, want %d", j.runs(), got, tt.kept)
			}
			if got := len(vm.InheritedStarts(at(20))); got != tt.unconfirmed {
				t.Errorf("%d starts are passed to the new process, want %d", got, tt.unconfirmed)
			}
		})
	}
}
