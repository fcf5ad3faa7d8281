package tracker

import (
	"time"

	"bamboospread/internal/job/specifier"
)

// Place starts a run of a task on a VM. Its resources are reserved from now on.
func (tr *Tracker) Place(t *Task, vm *VM, number int64, now time.Time) *Run {
	vm.OrderSeq++
	r := &Run{
		Task: t, Number: number, VM: vm, State: Ordered, Order: vm.OrderSeq, OrderedAt: now,
		Pace: fullPace, Checkpoint: t.Checkpoint, Resumed: t.Checkpoint != "", ProgressedAt: now, workerID: vm.WorkerID,
	}
	tr.addRun(r)
	return r
}

const fullPace = 100 // percent

// PaceUnknown is the pace of a run for which no pace order is known to be in force.
const PaceUnknown = -1

// addRun adds a run to its task and VM, and reserves its resources.
func (tr *Tracker) addRun(r *Run) {
	t, spec := r.Task, r.Task.Step.Spec
	t.LastNumber = max(t.LastNumber, r.Number)
	t.Runs = append(t.Runs, r)
	t.Yielded = false
	r.VM.Runs[r.Key()] = r
	t.touchVMs()
	if r.SizeUnknown {
		r.VM.unknownSizeRuns++
	}
	r.VM.Committed = r.VM.Committed.Add(spec.Committed())
	tr.countUsage(r, spec.Needs)
	if spec.BestEffort {
		r.VM.BestEffortCPU += spec.Needs.CPUMillis
		if !spec.LongRunning {
			r.VM.BestEffortEnding++
		}
	}
	if spec.LongRunning {
		r.VM.LongRunning++
		r.VM.LongRunningCPU += spec.Needs.CPUMillis
	}
}

// markStarted marks a job as started, since the worker has or had a run of it. An order
// alone is not enough: it may never be carried out.
func (j *Job) markStarted() {
	j.Started = true
	if j.State == JobQueued {
		j.State = JobRunning // reported from memory: nothing is lost if the next owner does not know it
	}
}

// SetPace records an order that sets the pace of a run.
func (r *Run) SetPace(percent int, now time.Time) {
	if r.Pace == fullPace || r.Pace == PaceUnknown || percent == fullPace {
		r.PacedAt = now
	}
	r.Pace = percent
}

// NextNumber returns the number of the next run of a task.
func (tr *Tracker) NextNumber(t *Task) int64 { return max(t.LastNumber, tr.runFloor) + 1 }

// GangNumber returns the run number for the next start of a gang. It is the same for all
// of its tasks.
func (tr *Tracker) GangNumber(s *Step) int64 {
	n := tr.runFloor
	for _, t := range s.Tasks {
		n = max(n, t.LastNumber)
	}
	return n + 1
}

// removeRun removes a run from its task and VM, and frees its resources.
func (tr *Tracker) removeRun(r *Run, now time.Time) {
	t, spec := r.Task, r.Task.Step.Spec
	delete(r.VM.Runs, r.Key())
	r.VM.Version++
	if r.SizeUnknown {
		r.VM.unknownSizeRuns--
	}
	r.VM.Committed = r.VM.Committed.Sub(spec.Committed())
	tr.countUsage(r, specifier.Resources{}.Sub(spec.Needs))
	if spec.BestEffort {
		r.VM.BestEffortCPU -= spec.Needs.CPUMillis
		if !spec.LongRunning {
			r.VM.BestEffortEnding--
		}
	}
	if spec.LongRunning {
		r.VM.LongRunning--
		r.VM.LongRunningCPU -= spec.Needs.CPUMillis
	}
	for i, other := range t.Runs {
		if other == r {
			t.Runs = append(t.Runs[:i:i], t.Runs[i+1:]...)
			break
		}
	}
	t.touchVMs()
	t.recordEnd(r, now)
}

// Stop marks a run as being stopped and returns the number of the stop order.
func (tr *Tracker) Stop(r *Run, cause string, now time.Time) int64 {
	r.State, r.StopCause = Stopping, cause
	r.Task.touchVMs()
	if r.StoppedAt.IsZero() {
		r.StoppedAt = now
	}
	tr.stopping[r] = true
	r.VM.OrderSeq++
	r.StopOrder = r.VM.OrderSeq
	if r.Order == orderUnknown {
		r.Order = r.VM.OrderSeq // an agent that has received it lists the run until it has ended
	}
	return r.VM.OrderSeq
}

// OverdueStops returns the runs whose stop was first ordered at least the given time ago.
func (tr *Tracker) OverdueStops(after time.Duration, now time.Time) []*Run {
	var found []*Run
	for r := range tr.stopping {
		switch {
		case r.StoppedAt.IsZero() || r.VM.Runs[r.Key()] != r:
			delete(tr.stopping, r)
		case now.Sub(r.StoppedAt) >= after:
			found = append(found, r)
		}
	}
	return found
}

// Unwanted returns the runs on some VMs that should be stopped: their job has ended, their task is
// done, or their task has another run and allows no copies.
func Unwanted(vms []*VM) []*Run {
	var found []*Run
	for _, vm := range vms {
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
	// A task has two runs when a VM reconnects with a run that had counted as lost.
	return !t.Step.Spec.Copies && t.PrimaryRun() != r
}

// PrimaryRun returns the run of a task that is kept if only one is allowed: the first that is
// not being stopped, otherwise the first. It returns nil if there is none.
func (t *Task) PrimaryRun() *Run {
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
	EndDone           End = "done"
	EndFailed         End = "failed"  // through a fault of the task or of the worker
	EndStopped        End = "stopped" // by an order
	EndLapsed         End = "lapsed"  // its lease expired
	EndGangBroken     End = "broken"  // another member of its gang ended
	EndGangIncomplete End = "alone"   // the other members of its gang did not start
	EndLost           End = "lost"    // the VM or the worker lost it without reporting an end
)

// EndRun applies the end of a run. The run need not be known.
func (tr *Tracker) EndRun(vm *VM, key RunKey, outcome End, checkpoint string, now time.Time) {
	r := vm.Runs[key]
	t := tr.Find(key.Task)
	delete(vm.unconfirmedStarts, key)
	if r != nil && outcome == EndDone {
		tr.recordRuntime(r, now)
	} else if r != nil {
		tr.recordStopped(r)
	}
	lasted := time.Duration(0)
	if r != nil {
		lasted = r.lasted(now)
		if r.StartedAt.IsZero() {
			r.StartedAt = now // it ended before a report listed it
		}
		tr.removeRun(r, now)
		t = r.Task
	}
	if t == nil {
		return
	}
	t.Step.Occurrence.Job.markStarted()
	t.markRun()
	t.LastNumber = max(t.LastNumber, key.Number)
	t.recordCheckpoint(checkpoint)
	if outcome != EndStopped {
		t.SetRelocation(Relocation{})
	} else if m := t.Relocation(); m.Hold > 0 {
		m.Until = now.Add(m.Hold)
		t.SetRelocation(m)
	}
	switch outcome {
	case EndDone:
		if t.Step.Spec.LongRunning {
			// It says nothing of the worker: such a task may end by itself on any.
			tr.scheduleRestart(t, key.Number, lasted, now)
			break
		}
		tr.taskDone(t, now)
		tr.recordSuccess(vm, t.Step, now)
	case EndFailed:
		tr.recordFailure(vm, t, now)
		t.avoidVM(vm.Name)
		tr.taskFailed(t, key.Number, lasted, now)
	case EndStopped, EndLapsed, EndGangBroken, EndGangIncomplete, EndLost:
	}
}

// DropRuns removes all runs of a VM: a new incarnation of its worker has started, or its
// leases have certainly expired. The tasks wait again, to resume from their last checkpoint.
func (tr *Tracker) DropRuns(vm *VM, now time.Time) []*Run {
	var lost []*Run
	tr.noteVanished(vm, now)
	for _, r := range vm.Runs {
		lost = append(lost, r)
	}
	for _, r := range lost {
		tr.dropRun(r, LossLeasesExpired, now)
	}
	vm.MoreEnds = false // what has not been reported by now is lost too
	return lost
}

func (tr *Tracker) dropRun(r *Run, cause LossCause, now time.Time) {
	r.Task.change().lastLoss = &Loss{number: r.Number, vm: r.VM.Name, cause: cause, at: now}
	r.Task.recordCheckpoint(r.Checkpoint)
	tr.removeRun(r, now)
	if !r.StartedAt.IsZero() && r.VM.SeenAt.After(r.StartedAt) {
		r.Task.change().lostSince = r.VM.SeenAt
	}
}

// adopt adds a run that a worker has, or may still receive, and that this owner did not
// order.
func (tr *Tracker) adopt(vm *VM, rep ReportedRun, now time.Time) *Run {
	t := tr.Find(rep.Key.Task)
	r := &Run{
		Task: t, Number: rep.Key.Number, VM: vm, State: Running, OrderedAt: now, StartedAt: now,
		Pace: fullPace, Resumed: true, ProgressedAt: now,
	}
	if r.Inherited = rep.Confirmed; !rep.Confirmed {
		r.State, r.StartedAt = Ordered, time.Time{}
	}
	if t == nil {
		t = tr.newOrphanTask(rep.Key.Task, rep.Needs)
		r.Task, r.SizeUnknown = t, rep.Needs == specifier.Resources{}
	}
	if t.Step.Spec.BestEffort {
		r.Pace = PaceUnknown // an earlier owner may have throttled it
	}
	tr.addRun(r)
	return r
}

// newOrphanTask returns a placeholder task for a run whose job has ended or is not known, so
// that its resources count as used until it is stopped, also by its account if the job is known.
func (tr *Tracker) newOrphanTask(id specifier.TaskID, needs specifier.Resources) *Task {
	spec := specifier.Job{ID: id.Job, Steps: []specifier.Step{{Count: 1, Needs: needs}}}
	if ended := tr.Jobs[id.Job]; ended != nil {
		spec.Queue, spec.Account = ended.Spec.Queue, ended.Spec.Account
	}
	j := &Job{Spec: &spec, State: JobCancelled, StoredState: JobCancelled}
	o := &Occurrence{Job: j, Number: id.Occurrence}
	s := &Step{Occurrence: o, Number: id.Step, Spec: &spec.Steps[0]}
	t := &Task{Step: s, Index: id.Index}
	s.Tasks = []*Task{t}
	o.Steps = []*Step{s}
	return t
}
