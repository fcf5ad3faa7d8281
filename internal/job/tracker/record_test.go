package tracker

import (
	"strings"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/store/keeper"
)

// Guards against a takeover that no owner can complete. A new owner lists all jobs. With the
// payloads and steps of all ended jobs the list grows without bound, and on a slow link it
// takes longer than the time limit of a call. So only the tombstone of an ended job is kept,
// and a new owner must see from it that none of its tasks may start again.
func TestTombstoneIsSmall(t *testing.T) {
	tr := newState(t, 2)
	j := addJob(t, tr, 1, specifier.Step{Count: 30, Needs: oneCore, Image: "image"})
	j.Spec.Payload = strings.Repeat("x", specifier.MaxPayloadBytes)
	tr.Cancel(j.Spec.ID, at(10))
	tombstone, err := j.EncodeTombstone()
	if err != nil {
		t.Fatal(err)
	}
	if len(tombstone) > 200 {
		t.Errorf("the tombstone has %d bytes, want at most 200", len(tombstone))
	}
	spec, err := DecodeJob(tombstone)
	if err != nil {
		t.Fatal(err)
	}
	next := newState(t, 2)
	next.AddJob(spec, time.Time{}, at(20))
	got := next.Jobs[j.Spec.ID]
	if got == nil || got.ReportedState() != JobCancelled || got.Startable() || len(next.WaitingSteps(at(20))) != 0 || next.Pending(j.Spec.Queue) != 0 {
		t.Fatalf("the next owner has %+v", got)
	}
	if ids := next.Forget(at(30)); len(ids) != 1 {
		t.Errorf("%d ended jobs are removed, want 1", len(ids))
	}
}

// storedProgress is what a store holds of the progress of jobs, by job ID.
type storedProgress map[string][]byte

// flush stores the progress that has changed.
func (p storedProgress) flush(t *testing.T, tr *Tracker) {
	t.Helper()
	f, states := tr.BeginFlush(), make(map[string]JobState)
	for _, j := range f.Jobs {
		value := encode(t, j)
		p[j.Spec.ID], states[j.Spec.ID] = value, j.State
	}
	tr.EndFlush(f, states)
}

// takeOver returns the state of the next owner, before any agent has reported.
func (p storedProgress) takeOver(t *testing.T, spec *specifier.Job, now time.Time) *Tracker {
	t.Helper()
	next := newState(t, 3)
	next.AddJob(spec, time.Time{}, now)
	if value := p[spec.ID]; value != nil {
		if err := next.Restore(spec.ID, value, now); err != nil {
			t.Fatal(err)
		}
	}
	return next
}

// Guards against long-running tasks that are unavailable for longer the more often the owner is
// replaced, because the next owner takes them for tasks that have never run.
func TestNextOwnerKnowsUnavailableLongRunningTasks(t *testing.T) {
	const takeover = 5000 // ms after begin
	var stored storedProgress
	confirm := func(tr *Tracker, vm *VM, run int64, millis int) {
		tr.Place(tr.Find(task(1, 0, 0)), vm, run, at(millis))
		tr.Apply(vm, Report{Incarnation: "1", Ready: true, OrdersSeen: vm.OrderSeq, Runs: []ReportedRun{{Key: key(1, 0, 0, run), Confirmed: true}}}, at(millis))
		stored.flush(t, tr) // what follows must be stored for its own sake
	}
	tests := []struct {
		name      string
		before    func(tr *Tracker, vm *VM)
		hasRun    bool
		waitSince time.Time
	}{
		{"never ordered", func(*Tracker, *VM) {}, false, at(takeover)},
		{"start not confirmed", func(tr *Tracker, vm *VM) {
			tr.Place(tr.Find(task(1, 0, 0)), vm, 1, at(0))
		}, false, at(takeover)},
		{"running", func(tr *Tracker, vm *VM) { confirm(tr, vm, 1, 0) }, true, at(takeover)},
		{"stopped", func(tr *Tracker, vm *VM) {
			confirm(tr, vm, 1, 0)
			tr.EndRun(vm, key(1, 0, 0, 1), EndStopped, "", at(1000))
		}, true, at(1000)},
		{"lost with its VM", func(tr *Tracker, vm *VM) {
			confirm(tr, vm, 1, 0)
			tr.Detach(vm)
			tr.DropRuns(vm, at(1000))
		}, true, at(1000)},
		{"stopped, next start not confirmed", func(tr *Tracker, vm *VM) {
			confirm(tr, vm, 1, 0)
			tr.EndRun(vm, key(1, 0, 0, 1), EndStopped, "", at(1000))
			tr.Place(tr.Find(task(1, 0, 0)), vm, 2, at(2000))
		}, true, at(1000)},
		{"stopped, next start lost", func(tr *Tracker, vm *VM) {
			confirm(tr, vm, 1, 0)
			tr.EndRun(vm, key(1, 0, 0, 1), EndStopped, "", at(1000))
			tr.Place(tr.Find(task(1, 0, 0)), vm, 2, at(2000))
			tr.Apply(vm, Report{Incarnation: "1", Ready: true, OrdersSeen: vm.OrderSeq}, at(3000))
		}, true, at(1000)},
		{"stopped, by a clock that is ahead", func(tr *Tracker, vm *VM) {
			confirm(tr, vm, 1, 0)
			tr.EndRun(vm, key(1, 0, 0, 1), EndStopped, "", at(takeover+1000))
		}, true, at(takeover)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newState(t, 3)
			stored = make(storedProgress)
			j := addJob(t, tr, 1, specifier.Step{Count: 2, Needs: oneCore, LongRunning: true})
			tt.before(tr, attach(tr, "vm"))
			stored.flush(t, tr)
			for range 2 { // the owner is replaced twice
				next := stored.takeOver(t, j.Spec, at(takeover))
				got := next.Find(task(1, 0, 0))
				if got.HasRun != tt.hasRun || !got.WaitSince.Equal(tt.waitSince) {
					t.Errorf("has run %t, waits since %s, want %t, %s", got.HasRun, got.WaitSince, tt.hasRun, tt.waitSince)
				}
				if other := next.Find(task(1, 0, 1)); other.HasRun {
					t.Error("a task that has never run counts as one that has")
				}
				next.Jobs[j.Spec.ID].markDirty()
				stored.flush(t, next)
			}
		})
	}
}

// Guards against an end that counts for nothing because the owner that applied it was replaced
// before it had stored it: the agent reports it to the next owner, which does not know the run.
func TestEndOfUnknownRunShowsThatItsTaskHasRun(t *testing.T) {
	tr := newState(t, 3)
	addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore, LongRunning: true})
	vm := attach(tr, "vm")
	tr.Apply(vm, Report{Incarnation: "1", Ready: true, Ends: []ReportedEnd{{Seq: 1, Key: key(1, 0, 0, 1), Outcome: EndStopped}}}, at(10))
	if !tr.Find(task(1, 0, 0)).HasRun {
		t.Error("the task counts as one that has never run")
	}
	if f := tr.BeginFlush(); len(f.Jobs) != 1 {
		t.Errorf("the progress of %d jobs is stored, want 1", len(f.Jobs))
	}
}

// Guards against work that is done again because the checkpoint of a stopped run is known to one owner
// only: the worker forgets it once the end is acknowledged.
func TestNextOwnerKnowsCheckpoints(t *testing.T) {
	const checkpoint = "c7"
	tests := []struct {
		name string
		end  func(tr *Tracker, vm *VM)
		want string
	}{
		{"stopped", func(tr *Tracker, vm *VM) {
			tr.Apply(vm, Report{Incarnation: "1", Ready: true, OrdersSeen: 1, Ends: []ReportedEnd{{Seq: 1, Key: key(1, 0, 0, 1), Outcome: EndStopped, Checkpoint: checkpoint}}}, at(10))
		}, checkpoint},
		{"lost with its VM", func(tr *Tracker, vm *VM) {
			tr.Detach(vm)
			tr.DropRuns(vm, at(10))
		}, checkpoint},
		{"done", func(tr *Tracker, vm *VM) { tr.EndRun(vm, key(1, 0, 0, 1), EndDone, checkpoint, at(10)) }, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr, stored := newState(t, 3), make(storedProgress)
			j := addJob(t, tr, 1, specifier.Step{Count: 2, Needs: oneCore, Checkpoints: true})
			vm := attach(tr, "vm")
			tr.Place(tr.Find(task(1, 0, 0)), vm, 1, at(0))
			tr.Apply(vm, Report{Incarnation: "1", Ready: true, OrdersSeen: 1, Runs: []ReportedRun{{Key: key(1, 0, 0, 1), Confirmed: true, Checkpoint: checkpoint}}}, at(5))
			tt.end(tr, vm)
			stored.flush(t, tr)
			if got := stored.takeOver(t, j.Spec, at(20)).Find(task(1, 0, 0)).Checkpoint; got != tt.want {
				t.Errorf("the next run resumes from %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against a record that is too large for the store: the progress of its job would never be
// stored again.
func TestStoredCheckpointsAreBounded(t *testing.T) {
	tr := newState(t, 3)
	step := specifier.Step{Count: specifier.MaxTasks / 2, Needs: oneCore, Checkpoints: true}
	j := addJob(t, tr, 1, step, step)
	for _, s := range j.Occurrences[0].Steps {
		for _, task := range s.Tasks {
			task.Checkpoint = strings.Repeat("x", 100)
		}
	}
	value := encode(t, j)
	if len(value) > keeper.MaxValueBytes {
		t.Errorf("the record has %d bytes, want at most %d", len(value), keeper.MaxValueBytes)
	}
}

// Guards against a long-running task that takes precedence right after its stop because the next
// owner takes an earlier wait, which has ended long since, for the present one.
func TestNextOwnerDoesNotResumeAnEndedWait(t *testing.T) {
	const takeover = 61_000 // ms after begin
	tests := []struct {
		name   string
		report Report // to the next owner
	}{
		{"lost with its VM", Report{}},
		{"end not stored", Report{Incarnation: "1", Ready: true, Ends: []ReportedEnd{{Seq: 2, Key: key(1, 0, 0, 2), Outcome: EndStopped}}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr, stored := newState(t, 3), make(storedProgress)
			j := addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore, LongRunning: true})
			vm := attach(tr, "vm")
			confirm := func(run int64, now time.Time) {
				tr.Place(tr.Find(task(1, 0, 0)), vm, run, now)
				tr.Apply(vm, Report{Incarnation: "1", Ready: true, OrdersSeen: vm.OrderSeq, Runs: []ReportedRun{{Key: key(1, 0, 0, run), Confirmed: true}}}, now)
			}
			confirm(1, at(0))
			tr.EndRun(vm, key(1, 0, 0, 1), EndStopped, "", at(1000))
			stored.flush(t, tr)
			confirm(2, at(2000))
			stored.flush(t, tr)
			// It runs for nearly a minute.
			next := stored.takeOver(t, j.Spec, at(takeover))
			if tt.report.Incarnation != "" {
				next.Apply(attach(next, "vm"), tt.report, at(takeover))
			}
			if got := next.Find(task(1, 0, 0)); got.WaitSince.Before(at(60_000)) {
				t.Errorf("waits since %s, want %s", got.WaitSince, at(takeover))
			}
		})
	}
}

// Guards against work that is done again because the owner was replaced between the loss of a VM and
// the end of its leases.
func TestNextOwnerKnowsCheckpointsOfSilentVM(t *testing.T) {
	const checkpoint = "c7"
	tr, stored := newState(t, 3), make(storedProgress)
	j := addJob(t, tr, 1, specifier.Step{Count: 2, Needs: oneCore, Checkpoints: true})
	vm := attach(tr, "vm")
	tr.Place(tr.Find(task(1, 0, 0)), vm, 1, at(0))
	tr.Apply(vm, Report{Incarnation: "1", Ready: true, OrdersSeen: 1, Runs: []ReportedRun{{Key: key(1, 0, 0, 1), Confirmed: true, Checkpoint: checkpoint}}}, at(5))
	tr.Detach(vm)
	stored.flush(t, tr)
	if got := stored.takeOver(t, j.Spec, at(20)).Find(task(1, 0, 0)).Checkpoint; got != checkpoint {
		t.Errorf("the next run resumes from %q, want %q", got, checkpoint)
	}
}

// Guards against a record that is too large for the store because its text is longer than the
// checkpoints in it, or because of what it holds besides.
func TestRecordFitsInStore(t *testing.T) {
	tests := []struct {
		name       string
		checkpoint string
		failures   int
	}{
		{"escaped checkpoints", strings.Repeat("<", 100), 0},
		{"checkpoints of control characters", strings.Repeat("\x01", 100), 0},
		{"short checkpoints of tasks that have failed", strings.Repeat("x", 13), 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newState(t, 3)
			j := addJob(t, tr, 1, specifier.Step{Count: specifier.MaxTasks, Needs: oneCore, Checkpoints: true})
			for _, task := range j.Occurrences[0].Steps[0].Tasks {
				task.Checkpoint = tt.checkpoint
				for n := range tt.failures {
					task.SetFailed(append(task.Failed(), int64(100_001+n))) // of the 100th owner
				}
			}
			value := encode(t, j)
			if len(value) > keeper.MaxValueBytes {
				t.Errorf("the record has %d bytes, want at most %d", len(value), keeper.MaxValueBytes)
			}
		})
	}
}

// Guards against starts that a worker refuses as old: an owner of an earlier build has numbered the runs of a task above
// the next owner's floor.
func TestNumbersOfStoredRunsAreNotUsedAgain(t *testing.T) {
	const floor = 1000
	tests := []struct {
		name, step string
		want       int64
	}{
		{"none", `{}`, floor + 1},
		{"failed below the floor", `{"failed":{"0":[7]}}`, floor + 1},
		{"failed", `{"failed":{"0":[1800,1799]}}`, 1801},
		{"crashed", `{"crashes":{"0":[{"run":1900,"vm":"vm","age-ms":1,"at-ms":1}]}}`, 1901},
	}
	for _, tt := range tests {
		tr := New(Config{RunFloor: floor, Policy: &specifier.Policy{}})
		j := addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore})
		if err := tr.Restore(j.Spec.ID, []byte(`{"state":"running","next":1,"open":[{"number":0,"steps":[`+tt.step+`]}]}`), begin); err != nil {
			t.Fatal(err)
		}
		if got := tr.NextNumber(j.Occurrences[0].Steps[0].Tasks[0]); got != tt.want {
			t.Errorf("%s: next number %d, want %d", tt.name, got, tt.want)
		}
	}
}
