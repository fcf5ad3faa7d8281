package accountant

import (
	"time"

	"bamboospread/internal/job/specifier"
)

// Place starts a run of a task on a VM: the room is taken from now on.
func (a *Accountant) Place(t *Task, vm *VM, number int64, now time.Time) *Run {
	vm.OrderSeq++
	r := &Run{
		Task: t, Number: number, VM: vm, State: Ordered, Order: vm.OrderSeq, OrderedAt: now,
		Pace: fullPace, Checkpoint: t.Checkpoint, Resumed: t.Checkpoint != "", MovedAt: now,
	}
	a.book(r)
	return r
}

const fullPace = 100 // percent

// PaceUnknown is the pace of a run of which no order is known to be in force.
const PaceUnknown = -1

func (a *Accountant) book(r *Run) {
	t, spec := r.Task, r.Task.Step.Spec
	t.LastNumber = max(t.LastNumber, r.Number)
	t.Runs = append(t.Runs, r)
	t.Yielded, t.Ran = false, true
	r.VM.Runs[r.Key()] = r
	r.VM.Version++
	if r.Unsized {
		r.VM.unsized++
	}
	r.VM.Committed = r.VM.Committed.Add(spec.Committed())
	if spec.Fills {
		r.VM.FillCPU += spec.Needs.CPUMillis
	}
	if spec.Lasting {
		r.VM.Lasting++
		r.VM.LastCPU += spec.Needs.CPUMillis
	}
}

// noteStarted counts a job as started: a run of it was seen. An order alone may never be
// carried out.
func (j *Job) noteStarted() {
	j.Started = true
	if j.State == JobQueued {
		j.State = JobRunning // told from memory: nothing is lost if it is forgotten
	}
}

// SetPace notes an order on the speed of a run.
func (r *Run) SetPace(percent int, now time.Time) {
	if r.Pace == fullPace || r.Pace == PaceUnknown || percent == fullPace {
		r.PacedAt = now
	}
	r.Pace = percent
}

// NextNumber returns the number of the next run of a task.
func (a *Accountant) NextNumber(t *Task) int64 { return max(t.LastNumber, a.floor) + 1 }

// GangNumber returns the number of the next run of all tasks of a gang.
func (a *Accountant) GangNumber(s *Step) int64 {
	n := a.floor
	for _, t := range s.Tasks {
		n = max(n, t.LastNumber)
	}
	return n + 1
}

// unbook takes a run out of all counts; its room is free.
func (a *Accountant) unbook(r *Run, now time.Time) {
	t, spec := r.Task, r.Task.Step.Spec
	delete(r.VM.Runs, r.Key())
	r.VM.Version++
	if r.Unsized {
		r.VM.unsized--
	}
	r.VM.Committed = r.VM.Committed.Sub(spec.Committed())
	if spec.Fills {
		r.VM.FillCPU -= spec.Needs.CPUMillis
	}
	if spec.Lasting {
		r.VM.Lasting--
		r.VM.LastCPU -= spec.Needs.CPUMillis
	}
	for i, other := range t.Runs {
		if other == r {
			t.Runs = append(t.Runs[:i:i], t.Runs[i+1:]...)
			break
		}
	}
	t.WaitSince = now
}

// Stop marks a run as being stopped and returns the number of the order.
func (a *Accountant) Stop(r *Run, cause string, now time.Time) int64 {
	r.State, r.StopCause = Stopping, cause
	if r.StoppedAt.IsZero() {
		r.StoppedAt = now
	}
	r.VM.OrderSeq++
	r.StopOrder = r.VM.OrderSeq
	if r.Order == orderUnknown {
		r.Order = r.VM.OrderSeq // an agent that has seen it lists the run until it is gone
	}
	return r.VM.OrderSeq
}

// OverdueStops returns the runs whose stop was first ordered so long ago.
func (a *Accountant) OverdueStops(after time.Duration, now time.Time) []*Run {
	var found []*Run
	for _, vm := range a.VMs {
		for _, r := range vm.Runs {
			if !r.StoppedAt.IsZero() && now.Sub(r.StoppedAt) >= after {
				found = append(found, r)
			}
		}
	}
	return found
}

// Unwanted returns the runs that should be stopped: their job has ended or their
// task is done.
func (a *Accountant) Unwanted() []*Run {
	var found []*Run
	for _, vm := range a.VMs {
		for _, r := range vm.Runs {
			if r.State != Stopping && r.unwanted() {
				found = append(found, r)
			}
		}
	}
	return found
}

func (r *Run) unwanted() bool {
	t := r.Task
	if t.Done || t.Step.Occurrence.Job.State.Final() {
		return true
	}
	// Two runs of one task are seen when a VM comes back with a run that was given up.
	return !t.Step.Spec.Copies && t.Lead() != r
}

// Lead returns the run of a task that stays if only one may: the first that is not being
// stopped, else the first; nil if there is none.
func (t *Task) Lead() *Run {
	for _, r := range t.Runs {
		if r.State != Stopping {
			return r
		}
	}
	if len(t.Runs) == 0 {
		return nil
	}
	return t.Runs[0]
}

// End is how a run ended.
type End string

// Ways in which a run ends.
const (
	EndDone    End = "done"
	EndFailed  End = "failed"  // by its own fault or the worker's
	EndStopped End = "stopped" // by an order
	EndLapsed  End = "lapsed"  // its lease ran out
	EndBroken  End = "broken"  // another member of its gang ended
	EndAlone   End = "alone"   // the other members of its gang did not come
	EndLost    End = "lost"    // the VM or the worker lost it without a word
)

// EndRun applies the end of a run that the accountant may or may not know.
func (a *Accountant) EndRun(vm *VM, key RunKey, how End, checkpoint string, now time.Time) {
	r := vm.Runs[key]
	t := a.Find(key.Task)
	delete(vm.doubts, key)
	if r != nil && how == EndDone {
		a.noteStretch(r, now)
	}
	if r != nil {
		a.unbook(r, now)
		t = r.Task
	}
	if t == nil {
		return
	}
	t.Step.Occurrence.Job.noteStarted()
	t.LastNumber = max(t.LastNumber, key.Number)
	if checkpoint != "" && t.Step.Spec.Checkpoints {
		t.Checkpoint = checkpoint
	}
	if how != EndStopped {
		t.Moves = Moving{}
	} else if t.Moves.Hold > 0 {
		t.Moves.Until = now.Add(t.Moves.Hold)
	}
	switch how {
	case EndDone:
		delete(vm.Health.Failed, key.Task)
		vm.noteGood()
		a.taskDone(t, now)
	case EndFailed:
		vm.noteFailed(key.Task, now)
		t.shun(vm.Name)
		a.taskFailed(t, key.Number, now)
	case EndStopped, EndLapsed, EndBroken, EndAlone, EndLost:
	}
}

func (t *Task) shun(vm string) {
	if t.Shunned == nil {
		t.Shunned = make(map[string]bool)
	}
	t.Shunned[vm] = true
}

// Lose gives up all runs of a VM: its worker has begun another life, or its
// leases have surely run out. The tasks wait again, from their last checkpoint.
func (a *Accountant) Lose(vm *VM, now time.Time) []*Run {
	var lost []*Run
	for _, r := range vm.Runs {
		lost = append(lost, r)
	}
	for _, r := range lost {
		a.loseRun(r, now)
	}
	return lost
}

func (a *Accountant) loseRun(r *Run, now time.Time) {
	if r.Checkpoint != "" && r.Task.Step.Spec.Checkpoints {
		r.Task.Checkpoint = r.Checkpoint
	}
	a.unbook(r, now)
}

// adopt books a run that a worker has, or may still get, and this owner did not order.
func (a *Accountant) adopt(vm *VM, rep ReportedRun, now time.Time) *Run {
	t := a.Find(rep.Key.Task)
	r := &Run{
		Task: t, Number: rep.Key.Number, VM: vm, State: Running, OrderedAt: now, StartedAt: now,
		Pace: fullPace, Resumed: true, MovedAt: now,
	}
	if !rep.Confirmed {
		r.State, r.StartedAt = Ordered, time.Time{}
	}
	if t == nil {
		t = stray(rep.Key.Task, rep.Needs)
		r.Task, r.Unsized = t, rep.Needs == specifier.Resources{}
	}
	if t.Step.Spec.Fills {
		r.Pace = PaceUnknown // an earlier owner may have slowed it down
	}
	a.book(r)
	return r
}

// stray returns a task of its own for a run that a worker has of a job that has ended or
// is not known, so that its room counts until it is stopped.
func stray(id specifier.TaskID, needs specifier.Resources) *Task {
	spec := specifier.Job{ID: id.Job, Steps: []specifier.Step{{Count: 1, Needs: needs}}}
	j := &Job{Spec: &spec, State: JobCancelled, StoredState: JobCancelled}
	o := &Occurrence{Job: j, Number: id.Occurrence}
	s := &Step{Occurrence: o, Number: id.Step, Spec: &spec.Steps[0]}
	t := &Task{Step: s, Index: id.Index}
	s.Tasks = []*Task{t}
	o.Steps = []*Step{s}
	return t
}
