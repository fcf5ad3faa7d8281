package tracker

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"bamboospread/internal/job/specifier"
)

// AddJob adds an accepted job and reports whether it is new. A known job is left
// unchanged, so a repeated submission does not create a second one.
func (tr *Tracker) AddJob(spec *specifier.Job, reconcileAt, now time.Time) bool {
	if tr.Jobs[spec.ID] != nil {
		return false
	}
	j := &Job{Spec: spec, State: JobQueued, StoredState: JobQueued, ReconcileAt: reconcileAt, tracker: tr}
	j.Queue, _ = tr.policy.QueueOf(spec)
	tr.Jobs[spec.ID] = j
	if spec.Ended != "" {
		j.State, j.StoredState, j.Started = JobState(spec.Ended), JobState(spec.Ended), true
		j.EndedAt = time.UnixMilli(spec.EndedMillis)
		return true
	}
	tr.updateOpen(j)
	tr.openDue(j, now)
	return true
}

// Find returns a task of an open occurrence, or nil if there is none with the ID.
func (tr *Tracker) Find(id specifier.TaskID) *Task {
	j := tr.Jobs[id.Job]
	if j == nil {
		return nil
	}
	for _, o := range j.Occurrences {
		if o.Number == id.Occurrence && id.Step < len(o.Steps) && id.Index < len(o.Steps[id.Step].Tasks) {
			return o.Steps[id.Step].Tasks[id.Index]
		}
	}
	return nil
}

// Cancel ends a job whose cancellation is stored. The next call of Unwanted returns its
// runs. Cancel returns how many there are, and whether the job was open.
func (tr *Tracker) Cancel(id string, now time.Time) (runs int, open bool) {
	j := tr.Jobs[id]
	if j == nil || j.State.Final() {
		return 0, false
	}
	tr.finish(j, JobCancelled, now)
	return j.runs(), true
}

// runs returns the number of runs of the job's tasks that have not ended.
func (j *Job) runs() int {
	n := 0
	for _, o := range j.Occurrences {
		for _, s := range o.Steps {
			for _, t := range s.Tasks {
				n += len(t.Runs)
			}
		}
	}
	return n
}

func (tr *Tracker) finish(j *Job, state JobState, now time.Time) {
	j.State, j.EndedAt = state, now
	j.markDirty()
	tr.updateOpen(j)
	tr.ended = append(tr.ended, j)
	for _, o := range j.Occurrences {
		for _, s := range o.Steps {
			touchVMs(s.Tasks)
		}
	}
}

// TakeEnded returns the jobs that have ended since the last call.
func (tr *Tracker) TakeEnded() []*Job {
	ended := tr.ended
	tr.ended = nil
	return ended
}

// taskDone marks a task as done. This may make later steps ready, and end the occurrence. Long-running
// tasks are never done: their job goes on until it is cancelled.
func (tr *Tracker) taskDone(t *Task, now time.Time) {
	s := t.Step
	if t.Done {
		return
	}
	done := []*Task{t}
	if s.Spec.Gang {
		done = s.Tasks // one success completes all tasks of the gang
	}
	for _, d := range done {
		if !d.Done {
			d.Done = true
			s.Done++
		}
	}
	touchVMs(done)
	j := s.Occurrence.Job
	j.markDirty()
	if !s.Finished() {
		return
	}
	for _, next := range s.Occurrence.Steps {
		if next.ReadyAt.IsZero() && next.Ready() {
			next.ReadyAt = now
		}
	}
	if s.Occurrence.Finished() {
		tr.closeOccurrence(s.Occurrence, now)
	}
}

func (tr *Tracker) closeOccurrence(o *Occurrence, now time.Time) {
	j := o.Job
	for i, open := range j.Occurrences {
		if open == o {
			j.Occurrences = append(j.Occurrences[:i:i], j.Occurrences[i+1:]...)
			break
		}
	}
	j.Finished++
	if j.Finished == j.Spec.OccurrenceCount() && !j.State.Final() {
		tr.finish(j, JobDone, now)
	}
}

// taskFailed counts a failed run against the limit of its task, once per run: an end
// that was stored but not yet acknowledged is reported to the next owner again, and
// counting it twice would use up the task's attempts. A long-running task has no limit
// and is restarted however it ends.
func (tr *Tracker) taskFailed(t *Task, number int64, lasted time.Duration, now time.Time) {
	if t.Step.Spec.LongRunning {
		tr.scheduleRestart(t, number, lasted, now)
		return
	}
	if slices.Contains(t.Failed(), number) {
		return
	}
	j := t.Step.Occurrence.Job
	t.NotBefore = now.Add(failureBackoff(len(t.Failed()) + 1))
	t.SetFailed(append(t.Failed(), number))
	j.markDirty()
	if j.State.Final() || j.Queue.MaxFailures <= 0 {
		return
	}
	if len(t.Failed()) >= j.Queue.MaxFailures {
		tr.fail(j, fmt.Sprintf("task %s has failed %d times", t.ID(), len(t.Failed())), now)
	}
}

// fail ends a job whose tasks cannot all be done.
func (tr *Tracker) fail(j *Job, reason string, now time.Time) {
	if j.State.Final() {
		return
	}
	j.Reason = reason
	tr.finish(j, JobFailed, now)
}

// Backoff before a failed task runs again. The first restart is immediate, since most
// failures are caused by the worker and the task then runs on another VM. Later ones are
// delayed, so that a task that fails within milliseconds does not flood the agents with orders.
const (
	failureBackoffStep = 100 * time.Millisecond
	failureBackoffMax  = time.Second
)

func failureBackoff(failures int) time.Duration {
	return min(time.Duration(max(failures-1, 0))*failureBackoffStep, failureBackoffMax)
}

// WaitingSteps returns the steps that have tasks to start, in a deterministic order.
func (tr *Tracker) WaitingSteps(now time.Time) []*Step {
	return tr.openSteps(func(s *Step) bool { return s.hasWaitingTask(now) })
}

// CopySteps returns the open steps whose tasks may run in several copies, in the same
// order.
func (tr *Tracker) CopySteps() []*Step {
	return tr.openSteps(func(s *Step) bool { return s.Spec.Copies && !s.Spec.Gang && !s.Spec.LongRunning })
}

// OpenSteps returns all steps that are ready but not finished, in the same order.
func (tr *Tracker) OpenSteps() []*Step {
	return tr.openSteps(func(*Step) bool { return true })
}

// Unavailable returns the number of unavailable tasks of a step with long-running tasks.
func (s *Step) Unavailable() int {
	n := 0
	for _, t := range s.Tasks {
		if t.Unavailable() {
			n++
		}
	}
	return n
}

// Unavailable reports whether a long-running task is unavailable: it has no run, its run is being
// stopped, has not reported progress 100 yet, or is on a VM that is out of contact or whose worker does not
// answer.
func (t *Task) Unavailable() bool {
	r := t.PrimaryRun()
	return r == nil || r.State != Running || r.Progress < fullPace || !r.VM.Attached || !r.VM.Responds()
}

// MayInterrupt reports whether a run that is still needed may be stopped without more tasks of its step
// becoming unavailable than the step allows.
func (r *Run) MayInterrupt() bool {
	s := r.Step()
	if !s.Spec.LongRunning || s.Spec.MaxUnavailable == 0 || r.Task.Unavailable() {
		return true
	}
	return s.Unavailable() < s.Spec.MaxUnavailable
}

// openSteps returns the matching steps among those that are ready but not finished.
func (tr *Tracker) openSteps(match func(*Step) bool) []*Step {
	var found []*Step
	for _, j := range tr.open {
		if !j.Startable() || j.Queue.Name == "" {
			continue
		}
		for _, o := range j.Occurrences {
			for _, s := range o.Steps {
				if !s.Finished() && s.Ready() && match(s) {
					found = append(found, s)
				}
			}
		}
	}
	return found
}

// RemainingShare returns the share of an occurrence's declared work whose tasks are not done.
func (o *Occurrence) RemainingShare() float64 {
	total, left := 0.0, 0.0
	for _, s := range o.Steps {
		perTask := s.Spec.CoreSeconds()
		total += float64(len(s.Tasks)) * perTask
		left += float64(len(s.Tasks)-s.Done) * perTask
	}
	if total <= 0 {
		return 1
	}
	return left / total
}

func (s *Step) hasWaitingTask(now time.Time) bool {
	for _, t := range s.Tasks {
		if t.Waits(now) {
			return true
		}
	}
	return false
}

// RunsOn reports whether the task has a run on the VM.
func (t *Task) RunsOn(vm *VM) bool {
	for _, r := range t.Runs {
		if r.VM == vm {
			return true
		}
	}
	return false
}

// Waits reports whether the task's own state allows a start now.
func (t *Task) Waits(now time.Time) bool {
	return !t.Done && len(t.Runs) == 0 && !t.NotBefore.After(now) && t.GiveUpAt().IsZero() && !now.Before(t.HeldUntil()) && t.Step.Occurrence.isDue(now)
}

// updateOpen adds a job to the open ones, or removes it once it has ended. Ended jobs are kept for
// minutes and far outnumber the open ones, so a scan of all jobs would make each decision slower the
// longer the owner runs.
func (tr *Tracker) updateOpen(j *Job) {
	i, found := slices.BinarySearchFunc(tr.open, j, byID)
	switch {
	case j.State.Final() && found:
		tr.open = slices.Delete(tr.open, i, i+1)
	case !j.State.Final() && !found:
		tr.open = slices.Insert(tr.open, i, j)
	}
}

func byID(a, b *Job) int { return cmp.Compare(a.Spec.ID, b.Spec.ID) }

// Pending returns the number of open jobs of a queue of which no task has started.
func (tr *Tracker) Pending(queue string) int {
	n := 0
	for _, j := range tr.open {
		if j.Spec.Queue == queue && !j.Started {
			n++
		}
	}
	return n
}

// Forget removes the jobs that ended before the given time, once their final state is
// stored, and returns their IDs.
func (tr *Tracker) Forget(before time.Time) []string {
	var ids []string
	for id, j := range tr.Jobs {
		if j.StoredState.Final() && !j.dirty && !j.inFlight && j.EndedAt.Before(before) {
			delete(tr.Jobs, id)
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
