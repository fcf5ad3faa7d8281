package tracker

import (
	"slices"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
)

// Guards against a long-running task that ends at once wherever it starts, failed or done, and floods the
// agents with orders.
func TestLongRunningTaskBacksOff(t *testing.T) {
	const lasts = int(restartResetAfter / time.Millisecond)
	tests := []struct {
		name   string
		lasted []int   // ms that each run lasted before it ended
		random float64 // from 0 up to 1
		want   time.Duration
	}{
		{"first end", []int{10}, 1, 0},
		{"second", []int{10, 10}, 1, restartDelayFirst},
		{"third", []int{10, 10, 10}, 1, 2 * restartDelayFirst},
		{"third, with jitter", []int{10, 10, 10}, 0.25, restartDelayFirst / 2},
		{"many", []int{10, 10, 10, 10, 10, 10, 10, 10, 10}, 1, restartDelayMax},
		{"after a run that lasted", []int{10, 10, lasts}, 1, 0},
		{"second after a run that lasted", []int{10, 10, lasts, 10}, 1, restartDelayFirst},
	}
	for _, tt := range tests {
		for _, outcome := range []End{EndFailed, EndDone} {
			t.Run(tt.name+"/"+string(outcome), func(t *testing.T) {
				tr := New(Config{Policy: newState(t, 3).Policy(), Random: func() float64 { return tt.random }})
				addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore, LongRunning: true})
				vm, now := attach(tr, "vm"), begin
				for n, lasted := range tt.lasted {
					run := int64(n + 1)
					startRun(tr, vm, key(1, 0, 0, run), now)
					now = now.Add(time.Duration(lasted) * time.Millisecond)
					tr.EndRun(vm, key(1, 0, 0, run), outcome, "", now)
				}
				if got := tr.Find(task(1, 0, 0)).RestartDelay(now); got != tt.want {
					t.Errorf("the restart is delayed by %s, want %s", got, tt.want)
				}
			})
		}
	}
}

// startRun starts a run of a task on a VM, which confirms it.
func startRun(tr *Tracker, vm *VM, key RunKey, now time.Time) {
	tr.Place(tr.Find(key.Task), vm, key.Number, now)
	tr.Apply(vm, Report{Incarnation: "1", Ready: true, OrdersSeen: vm.OrderSeq, Runs: reportedRuns(vm)}, now)
}

// reportedRuns returns the runs of a VM as its agent reports them.
func reportedRuns(vm *VM) (runs []ReportedRun) {
	for k := range vm.Runs {
		runs = append(runs, ReportedRun{Key: k, Confirmed: true})
	}
	return runs
}

// Guards against a long-running task that never starts again, and a job that counts as completed, because
// runs of it have ended as done.
func TestLongRunningTaskRestartsAfterEndDone(t *testing.T) {
	ending := specifier.Step{Count: 1, Needs: oneCore}
	tests := []struct {
		name  string
		steps []specifier.Step
		ends  []specifier.TaskID // tasks whose runs end as done, in order
		waits []int              // steps that wait for a start afterwards
	}{
		{"one of several", []specifier.Step{{Count: 3, Needs: oneCore, LongRunning: true}}, []specifier.TaskID{task(1, 0, 1)}, []int{0}},
		{"all", []specifier.Step{{Count: 2, Needs: oneCore, LongRunning: true}}, []specifier.TaskID{task(1, 0, 0), task(1, 0, 1)}, []int{0}},
		{"a gang", []specifier.Step{{Count: 2, Needs: oneCore, LongRunning: true, Gang: true}}, []specifier.TaskID{task(1, 0, 0), task(1, 0, 1)}, []int{0}},
		{"with copies", []specifier.Step{{Count: 1, Needs: oneCore, LongRunning: true, Copies: true}}, []specifier.TaskID{task(1, 0, 0)}, []int{0}},
		{"beside a task that ends", []specifier.Step{{Count: 1, Needs: oneCore, LongRunning: true}, ending}, []specifier.TaskID{task(1, 1, 0), task(1, 0, 0)}, []int{0}},
		{"before a later step", []specifier.Step{{Count: 1, Needs: oneCore, LongRunning: true}, {Count: 1, Needs: oneCore, After: []int{0}}}, []specifier.TaskID{task(1, 0, 0)}, []int{0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr, stored := newState(t, 3), make(storedProgress)
			j := addJob(t, tr, 1, tt.steps...)
			vm := attach(tr, "vm")
			for _, s := range tr.OpenSteps() {
				for _, task := range s.Tasks {
					startRun(tr, vm, RunKey{task.ID(), 1}, at(0))
				}
			}
			for _, id := range tt.ends {
				tr.EndRun(vm, RunKey{id, 1}, EndDone, "", at(1000))
			}
			stored.flush(t, tr)
			next := stored.takeOver(t, j.Spec, at(1000))
			other, _ := next.Attach(VMInfo{Name: "vm", Zone: "z", Capacity: eightCore}, Report{Incarnation: "1", Ready: true, Runs: reportedRuns(vm)}, at(1000))
			if len(other.Runs) != len(vm.Runs) {
				t.Errorf("the next owner has %d runs, want %d", len(other.Runs), len(vm.Runs))
			}
			for name, owner := range map[string]*Tracker{"the owner": tr, "the next owner": next} {
				var waits []int
				for _, s := range owner.WaitingSteps(at(1000)) {
					waits = append(waits, s.Number)
				}
				if got := owner.Jobs[j.Spec.ID].ReportedState(); !slices.Equal(waits, tt.waits) || got != JobRunning {
					t.Errorf("%s: steps %v wait and the job is %s, want %v and %s", name, waits, got, tt.waits, JobRunning)
				}
			}
		})
	}
}

// Guards against a cancelled job that goes on because a run of a long-running task ends as done afterwards.
func TestEndDoneAfterCancellationRestartsNothing(t *testing.T) {
	tr := newState(t, 3)
	j := addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore, LongRunning: true})
	vm := attach(tr, "vm")
	startRun(tr, vm, key(1, 0, 0, 1), at(0))
	tr.Cancel(j.Spec.ID, at(100))
	tr.EndRun(vm, key(1, 0, 0, 1), EndDone, "", at(200))
	if len(tr.WaitingSteps(at(10_000))) != 0 || j.ReportedState() != JobCancelled {
		t.Errorf("%d steps wait, the job is %s", len(tr.WaitingSteps(at(10_000))), j.ReportedState())
	}
}

// Guards against a second restart for one end: it was stored, its acknowledgement was lost, and the agent
// reports it to the next owner, which has restarted the task already.
func TestRepeatedEndDoneIsOneRestart(t *testing.T) {
	tr := newState(t, 3)
	addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore, LongRunning: true})
	vm, late := attach(tr, "vm"), attach(tr, "late")
	startRun(tr, vm, key(1, 0, 0, 2), at(0))
	tr.Apply(late, Report{Incarnation: "1", Ready: true, Ends: []ReportedEnd{{Seq: 1, Key: key(1, 0, 0, 1), Outcome: EndDone}}}, at(100))
	got := tr.Find(task(1, 0, 0))
	if got.change().restarts != 0 || len(got.Runs) != 1 || len(tr.WaitingSteps(at(200))) != 0 {
		t.Errorf("%d restarts are counted, %d runs, %d steps wait", got.change().restarts, len(got.Runs), len(tr.WaitingSteps(at(200))))
	}
}

// Guards against long-running tasks that never start again because an earlier build stored them as done, or
// closed their occurrence.
func TestLongRunningTasksStoredAsDoneRestart(t *testing.T) {
	tests := []struct {
		name    string
		record  string
		waiting int // steps
	}{
		{"one task", `{"state":"running","next":2,"open":[{"number":0,"steps":[{"done":"01","has-run":"01"},{"done":"01"}]},{"number":1,"steps":[{"has-run":"01"},{"done":"01"}]}]}`, 2},
		{"a closed occurrence", `{"state":"running","next":2,"finished":1,"open":[{"number":1,"steps":[{"has-run":"01"},{"done":"01"}]}]}`, 2},
		{"all occurrences closed, another is due", `{"state":"running","next":1,"finished":1}`, 3},
		{"a completed job stays completed", `{"state":"done","next":2,"finished":2,"ended-ms":1000000000}`, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newState(t, 3)
			spec := &specifier.Job{
				ID: jobID(1), Queue: "q", Steps: []specifier.Step{{Count: 1, Needs: oneCore, LongRunning: true}, {Count: 1, Needs: oneCore}},
				Occurrences: 2, FirstMillis: begin.UnixMilli(), IntervalMillis: 1,
			}
			tr.AddJob(spec, time.Time{}, begin)
			if err := tr.Restore(spec.ID, []byte(tt.record), at(10)); err != nil {
				t.Fatal(err)
			}
			steps := tr.WaitingSteps(at(10))
			if len(steps) != tt.waiting {
				t.Errorf("%d steps wait, want %d", len(steps), tt.waiting)
			}
			for _, o := range tr.Jobs[spec.ID].Occurrences {
				if o.Steps[0].Done != 0 {
					t.Errorf("%d long-running tasks of occurrence %d count as done", o.Steps[0].Done, o.Number)
				}
			}
		})
	}
}

// Guards against a faulty worker that counts as sound because a long-running task has ended there by itself.
func TestEndDoneOfLongRunningTaskIsNoSuccessOfItsWorker(t *testing.T) {
	tr := newState(t, 100)
	addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore, LongRunning: true})
	addJob(t, tr, 2, specifier.Step{Count: 1, Needs: oneCore})
	vm := attach(tr, "vm")
	startRun(tr, vm, key(2, 0, 0, 1), at(0))
	tr.EndRun(vm, key(2, 0, 0, 1), EndFailed, "", at(10))
	startRun(tr, vm, key(1, 0, 0, 1), at(20))
	tr.EndRun(vm, key(1, 0, 0, 1), EndDone, "", at(30))
	if got := vm.FailedTasks(); got != 1 {
		t.Errorf("%d failed tasks are kept of the VM, want 1", got)
	}
}

// Guards against a delay that outlasts its cause: a task that was stopped, or lost its VM, has not
// failed.
func TestOnlyFailuresDelayRestarts(t *testing.T) {
	for _, outcome := range []End{EndStopped, EndLapsed, EndLost} {
		tr := newState(t, 3)
		addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore, LongRunning: true})
		vm := attach(tr, "vm")
		for run := range int64(5) {
			tr.Place(tr.Find(task(1, 0, 0)), vm, run+1, at(0))
			tr.EndRun(vm, key(1, 0, 0, run+1), outcome, "", at(10))
		}
		if got := tr.Find(task(1, 0, 0)).RestartDelay(at(10)); got != 0 {
			t.Errorf("%s: the restart is delayed by %s", outcome, got)
		}
	}
}

// A task whose run was given up is unavailable since its worker was last heard of; one that ended otherwise, since its end.
func TestUnavailableSince(t *testing.T) {
	tests := []struct {
		name string
		end  func(tr *Tracker, vm *VM, r *Run)
		want time.Time
	}{
		{"leases expired", func(tr *Tracker, vm *VM, _ *Run) {
			tr.Detach(vm)
			tr.DropRuns(vm, at(8000))
		}, at(2000)},
		{"stopped", func(tr *Tracker, vm *VM, r *Run) { tr.EndRun(vm, r.Key(), EndStopped, "", at(8000)) }, at(8000)},
		{"no longer reported", func(tr *Tracker, vm *VM, _ *Run) {
			tr.Apply(vm, Report{Incarnation: "1", Ready: true, OrdersSeen: 1, Age: time.Second}, at(8000))
		}, at(7000)},
		{"lost, then stopped elsewhere", func(tr *Tracker, vm *VM, r *Run) {
			tr.Detach(vm)
			tr.DropRuns(vm, at(8000))
			other := attach(tr, "other")
			again := tr.Place(r.Task, other, 2, at(9000))
			tr.Apply(other, Report{Incarnation: "1", Ready: true, OrdersSeen: 1, Runs: []ReportedRun{{Key: again.Key(), Confirmed: true}}}, at(9500))
			tr.EndRun(other, again.Key(), EndStopped, "", at(12_000))
		}, at(12_000)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newState(t, 2)
			j := addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore, LongRunning: true})
			vm := attach(tr, "vm")
			r := tr.Place(j.Occurrences[0].Steps[0].Tasks[0], vm, 1, at(0))
			tr.Apply(vm, Report{Incarnation: "1", Ready: true, OrdersSeen: 1, Runs: []ReportedRun{{Key: r.Key(), Confirmed: true}}}, at(1000))
			tr.Apply(vm, Report{Incarnation: "1", Ready: true, OrdersSeen: 1, Runs: []ReportedRun{{Key: r.Key(), Confirmed: true}}}, at(2000))
			tt.end(tr, vm, r)
			if got := r.Task.UnavailableSince(); !got.Equal(tt.want) {
				t.Errorf("unavailable since %s, want %s", got.Sub(begin), tt.want.Sub(begin))
			}
		})
	}
}
