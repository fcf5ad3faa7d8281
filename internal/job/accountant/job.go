package accountant

import (
	"slices"
	"sort"
	"time"

	"bamboospread/internal/job/specifier"
)

// AddJob takes an accepted job in. A job that is known already is left alone, so
// a repeated submission stays one job. It tells whether the job is new.
func (a *Accountant) AddJob(spec *specifier.Job, settlesAt, now time.Time) bool {
	if a.Jobs[spec.ID] != nil {
		return false
	}
	j := &Job{Spec: spec, State: JobQueued, StoredState: JobQueued, SettlesAt: settlesAt}
	j.Queue, _ = a.policy.QueueByName(spec.Queue)
	a.Jobs[spec.ID] = j
	a.open = nil
	if spec.Ended != "" {
		j.State, j.StoredState, j.Started = JobState(spec.Ended), JobState(spec.Ended), true
		j.EndedAt = time.UnixMilli(spec.EndedMillis)
		return true
	}
	a.openDue(j, now)
	return true
}

// OpenDue opens the occurrences that have become due.
func (a *Accountant) OpenDue(now time.Time) {
	for _, j := range a.Jobs {
		a.openDue(j, now)
	}
}

func (a *Accountant) openDue(j *Job, now time.Time) {
	if j.Unreadable {
		return
	}
	for !j.State.Final() && j.Next < j.Spec.Times() && j.mayOpen() && (j.Spec.Occurrences == 0 || !j.Spec.Due(j.Next).After(now)) {
		j.Occurrences = append(j.Occurrences, newOccurrence(j, j.Next, now))
		j.Next++
	}
}

// mayOpen bounds what a job takes of the owner's memory, however many occurrences are due.
func (j *Job) mayOpen() bool {
	open, tasks := len(j.Occurrences), 0
	for i := range j.Spec.Steps {
		tasks += j.Spec.Steps[i].Count
	}
	return open == 0 || open < specifier.MaxOpen && (open+1)*tasks <= specifier.MaxTasks
}

func newOccurrence(j *Job, number int, now time.Time) *Occurrence {
	o := &Occurrence{Job: j, Number: number, DueAt: j.Spec.Due(number)}
	for i := range j.Spec.Steps {
		s := &Step{Occurrence: o, Number: i, Spec: &j.Spec.Steps[i]}
		for t := range s.Spec.Count {
			s.Tasks = append(s.Tasks, &Task{Step: s, Index: t, WaitSince: now})
		}
		if len(s.Spec.After) == 0 {
			s.ReadyAt = now
		}
		o.Steps = append(o.Steps, s)
	}
	return o
}

// Find returns a task of an open occurrence, or nil.
func (a *Accountant) Find(id specifier.TaskID) *Task {
	j := a.Jobs[id.Job]
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

// Cancel ends a job whose cancellation is stored. Runs of it are stopped by the
// next call of Unwanted. It returns how many there are, and whether the job was open.
func (a *Accountant) Cancel(id string, now time.Time) (runs int, open bool) {
	j := a.Jobs[id]
	if j == nil || j.State.Final() {
		return 0, false
	}
	a.finish(j, JobCancelled, now)
	return j.runs(), true
}

// runs counts the live runs of a job's tasks.
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

func (a *Accountant) finish(j *Job, state JobState, now time.Time) {
	j.State, j.EndedAt, j.dirty = state, now, true
	a.open = nil
	a.ended = append(a.ended, j)
}

// TakeEnded returns the jobs that have ended since the last call.
func (a *Accountant) TakeEnded() []*Job {
	ended := a.ended
	a.ended = nil
	return ended
}

// taskDone marks a task as done and closes what ends with it.
func (a *Accountant) taskDone(t *Task, now time.Time) {
	s := t.Step
	if t.Done {
		return
	}
	done := []*Task{t}
	if s.Spec.Gang {
		done = s.Tasks // one end stands for all tasks of the gang
	}
	for _, d := range done {
		if !d.Done {
			d.Done = true
			s.Done++
		}
	}
	j := s.Occurrence.Job
	j.dirty = true
	if !s.Finished() {
		return
	}
	for _, next := range s.Occurrence.Steps {
		if next.ReadyAt.IsZero() && next.Ready() {
			next.ReadyAt = now
		}
	}
	if s.Occurrence.Finished() {
		a.close(s.Occurrence, now)
	}
}

func (a *Accountant) close(o *Occurrence, now time.Time) {
	j := o.Job
	for i, open := range j.Occurrences {
		if open == o {
			j.Occurrences = append(j.Occurrences[:i:i], j.Occurrences[i+1:]...)
			break
		}
	}
	j.Finished++
	if j.Finished == j.Spec.Times() && !j.State.Final() {
		a.finish(j, JobDone, now)
	}
}

// taskFailed counts a run that ended failed, once: an end that was stored and not
// yet acknowledged is listed to the next owner again, and counted twice it would
// use up the task's attempts. A task that lasts is restarted however it ends.
func (a *Accountant) taskFailed(t *Task, number int64, now time.Time) {
	if slices.Contains(t.Failed, number) {
		return
	}
	j := t.Step.Occurrence.Job
	t.NotBefore = now.Add(failurePause(len(t.Failed) + 1))
	if t.Step.Spec.Lasting {
		return
	}
	t.Failed = append(t.Failed, number)
	j.dirty = true
	if j.State.Final() || j.Queue.MaxFailures <= 0 {
		return
	}
	if len(t.Failed) >= j.Queue.MaxFailures {
		a.finish(j, JobFailed, now)
	}
}

// Pauses before a task runs again after failures. The first restart is at once,
// since most failures are the worker's and the next VM is another; later ones
// wait, so that a task that fails within milliseconds does not fill the orders.
const (
	failurePauseStep = 100 * time.Millisecond
	failurePauseMax  = time.Second
)

func failurePause(failures int) time.Duration {
	return min(time.Duration(max(failures-1, 0))*failurePauseStep, failurePauseMax)
}

// WaitingSteps returns the steps that have tasks to start, in an order that is the same
// in each run.
func (a *Accountant) WaitingSteps(now time.Time) []*Step {
	return a.openSteps(func(s *Step) bool { return s.waits(now) })
}

// CopySteps returns the steps that are at work and of whose tasks copies may run, in
// the same order.
func (a *Accountant) CopySteps() []*Step {
	return a.openSteps(func(s *Step) bool { return s.Spec.Copies && !s.Spec.Gang && !s.Spec.Lasting })
}

// OpenSteps returns all steps that are ready and not finished, in the same order.
func (a *Accountant) OpenSteps() []*Step {
	return a.openSteps(func(*Step) bool { return true })
}

// Away counts the tasks of a lasting step that are not at work.
func (s *Step) Away() int {
	away := 0
	for _, t := range s.Tasks {
		if t.Away() {
			away++
		}
	}
	return away
}

// Away tells whether a lasting task is not at work.
func (t *Task) Away() bool {
	r := t.Lead()
	return r == nil || r.State != Running || r.Progress < fullPace
}

// openSteps returns the steps that match among those that are ready and not finished.
func (a *Accountant) openSteps(match func(*Step) bool) []*Step {
	var found []*Step
	for _, id := range a.openIDs() {
		j := a.Jobs[id]
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

// Left is the share of an occurrence's declared work that is in tasks that are not done.
func (o *Occurrence) Left() float64 {
	all, left := 0.0, 0.0
	for _, s := range o.Steps {
		each := s.Spec.CoreSeconds()
		all += float64(len(s.Tasks)) * each
		left += float64(len(s.Tasks)-s.Done) * each
	}
	if all <= 0 {
		return 1
	}
	return left / all
}

func (s *Step) waits(now time.Time) bool {
	for _, t := range s.Tasks {
		if t.Waits(now) {
			return true
		}
	}
	return false
}

// RunsOn tells whether a run of the task is on the VM.
func (t *Task) RunsOn(vm *VM) bool {
	for _, r := range t.Runs {
		if r.VM == vm {
			return true
		}
	}
	return false
}

// Waits tells whether the task may start now as far as its own state goes.
func (t *Task) Waits(now time.Time) bool {
	return !t.Done && len(t.Runs) == 0 && !t.NotBefore.After(now)
}

// openIDs returns the jobs that have not ended, in an order that is the same in each run.
// They are kept from one change to the next: the ended ones, known for minutes, are many
// times as many, and would make each decision dearer by the hour.
func (a *Accountant) openIDs() []string {
	if a.open != nil {
		return a.open
	}
	a.open = make([]string, 0, len(a.Jobs))
	for id, j := range a.Jobs {
		if !j.State.Final() {
			a.open = append(a.open, id)
		}
	}
	sort.Strings(a.open)
	return a.open
}

// jobIDs returns the jobs in an order that is the same in each run.
func (a *Accountant) jobIDs() []string {
	ids := make([]string, 0, len(a.Jobs))
	for id := range a.Jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// Pending counts the jobs of a queue of which no task has started.
func (a *Accountant) Pending(queue string) int {
	n := 0
	for _, j := range a.Jobs {
		if j.Spec.Queue == queue && !j.Started && !j.State.Final() {
			n++
		}
	}
	return n
}

// Forget drops jobs that ended before the given time and returns their ids.
func (a *Accountant) Forget(before time.Time) []string {
	var ids []string
	for _, id := range a.jobIDs() {
		j := a.Jobs[id]
		if j.StoredState.Final() && !j.dirty && !j.flight && j.EndedAt.Before(before) {
			delete(a.Jobs, id)
			a.open = nil
			ids = append(ids, id)
		}
	}
	return ids
}
