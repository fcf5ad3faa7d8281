package planner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// Guards against tasks that run twice: a start without an answer may be carried out by the worker's next life
// under its ID, so until it certainly is not, the task starts on that VM only. Nothing else waits for it.
func TestTaskThatMayStartLateStartsOnNoOtherVM(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name string
		step specifier.Step
		age  time.Duration // of the start without an answer
		worker,
		workerNow string // ID of the worker, when the start was reported and now
		ready   bool              // the VM accepts tasks
		refuses bool              // the worker's starts name its incarnation
		want    map[string]string // VMs of the starts; the first task has the start without an answer
	}{
		{"its VM accepts tasks", specifier.Step{Count: 2}, second, "i-1", "i-1", true, false, map[string]string{"0": "late", "1": "any"}},
		{"its VM accepts none", specifier.Step{Count: 2}, second, "i-1", "i-1", false, false, map[string]string{"1": "other"}},
		{"the start can't be carried out any more", specifier.Step{Count: 2}, tracker.UnconfirmedStartMaxAge, "i-1", "i-1", false, false, map[string]string{"0": "other", "1": "other"}},
		{"the worker was replaced under another ID", specifier.Step{Count: 2}, second, "i-1", "i-2", false, false, map[string]string{"0": "other", "1": "other"}},
		{"later lives refuse the start", specifier.Step{Count: 2}, second, "i-1", "i-1", false, true, map[string]string{"0": "other", "1": "other"}},
		{"copies are allowed", specifier.Step{Count: 2, Copies: true}, second, "i-1", "i-1", false, false, map[string]string{"0": "other", "1": "other"}},
		{"a gang waits as a whole", specifier.Step{Count: 2, Gang: true}, second, "i-1", "i-1", false, false, map[string]string{}},
		{"long-running", specifier.Step{Count: 2, LongRunning: true}, second, "i-1", "i-1", false, false, map[string]string{"1": "other"}},
		{"long-running, on its VM", specifier.Step{Count: 1, LongRunning: true}, second, "i-1", "i-1", true, false, map[string]string{"0": "late"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture()
			tt.step.Needs = cores(1)
			j := b.job("q", tt.step)
			b.vm("other", "in", "r2", cores(8))
			rep := tracker.Report{Incarnation: "1", Process: 1, Ready: tt.ready, LateStarts: !tt.refuses, UnconfirmedStarts: []tracker.UnconfirmedStart{{
				Key: tracker.RunKey{Task: j.Occurrences[0].Steps[0].Tasks[0].ID(), Number: 1}, Age: tt.age,
			}}}
			info := tracker.VMInfo{Name: "late", Zone: "in", Rack: "r1", WorkerID: tt.worker, Capacity: cores(8)}
			vm, _ := b.state.Attach(info, rep, begin)
			info.WorkerID = tt.workerNow
			b.state.UpdateInfo(vm, info)
			b.state.Apply(vm, rep, begin)
			got := make(map[string]string)
			for _, s := range b.plan(begin) {
				got[string(rune('0'+s.Task.Index))] = s.VM.Name
			}
			if tt.want["1"] == "any" && got["1"] != "" {
				tt.want["1"] = got["1"]
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against tasks that stay on one VM without end: a worker that answers polls but not its starts in time.
func TestTaskLeavesVMThatDoesNotAnswerStarts(t *testing.T) {
	b := newFixture()
	j := b.job("q", specifier.Step{Count: 1, Needs: cores(1)})
	b.vm("another", "in", "r2", cores(8))
	rep := tracker.Report{Incarnation: "1", Process: 1, Ready: true, LateStarts: true}
	info := tracker.VMInfo{Name: "late", Zone: "in", Rack: "r1", WorkerID: "i-1", Capacity: cores(8)}
	vm, _ := b.state.Attach(info, rep, begin)
	task := j.Occurrences[0].Steps[0].Tasks[0]
	sentAt := make(map[int64]time.Time) // by run
	unanswered := func(number int64, now time.Time) {
		sentAt[number] = now
	}
	report := func(now time.Time) { // the agent lists each start without an answer for 15 s
		rep.UnconfirmedStarts = nil
		for number, at := range sentAt {
			if age := now.Sub(at); age < tracker.UnconfirmedStartMaxAge {
				rep.UnconfirmedStarts = append(rep.UnconfirmedStarts, tracker.UnconfirmedStart{Key: tracker.RunKey{Task: task.ID(), Number: number}, Age: age})
			}
		}
		b.state.Apply(vm, rep, now)
	}
	unanswered(1, begin)
	now := begin
	for number := int64(1); now.Before(begin.Add(time.Minute)); now = now.Add(2 * time.Second) {
		report(now)
		for _, s := range b.plan(now) {
			if s.VM.Name == "another" {
				if early := tracker.UnconfirmedStartMaxAge - now.Sub(sentAt[number]); early > 0 {
					t.Errorf("started on another VM %s before the last start can't be carried out any more", early)
				}
				return
			}
			number++
			unanswered(number, now)
		}
	}
	t.Errorf("%s after the first start without an answer the task still starts on the same VM only", now.Sub(begin))
}

// Guards against long-running tasks that are stopped in vain: the task that is to start in their place may start on
// another VM only.
func TestNoRotationForTaskThatMayStartLateElsewhere(t *testing.T) {
	b, longRunning := fullFleet()
	task := longRunning[0].Occurrences[0].Steps[0].Tasks[0]
	b.state.EndRun(task.Runs[0].VM, task.Runs[0].Key(), tracker.EndStopped, "", begin)
	b.occupy(task)
	task.WaitSince = begin.Add(-returnAfterPressure)
	rep := tracker.Report{Incarnation: "1", Process: 1, LateStarts: true, UnconfirmedStarts: []tracker.UnconfirmedStart{{
		Key: tracker.RunKey{Task: task.ID(), Number: 9}, Age: returnAfterPressure,
	}}}
	b.state.Attach(tracker.VMInfo{Name: "late", Zone: "in", Rack: "r1", WorkerID: "i-1", Capacity: cores(8)}, rep, begin)
	for _, r := range Rotations(Input{Now: begin, State: b.state, UrgentDelayedAt: begin}) {
		t.Errorf("%s is stopped on %s for %s, which may start on late only", r.Run.Key().Task, r.Run.VM.Name, r.Task.ID())
	}
}
