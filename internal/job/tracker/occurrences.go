package tracker

import (
	"time"

	"bamboospread/internal/job/specifier"
)

// Occurrences open in order. That one is open is not stored before its tasks start: the next owner learns it
// from the reports of their runs and ends, which it awaits before it starts any task of the job.

// OpenDue opens the occurrences that are due.
func (tr *Tracker) OpenDue(now time.Time) {
	for _, j := range tr.open {
		tr.openDue(j, now)
	}
}

func (tr *Tracker) openDue(j *Job, now time.Time) {
	if j.Unreadable {
		return
	}
	for !j.State.Final() && j.Next < j.Spec.OccurrenceCount() && j.canOpenNext() && (j.Spec.Occurrences == 0 || !j.Spec.Due(j.Next).After(now)) {
		j.openNext(now)
	}
}

func (j *Job) openNext(now time.Time) {
	j.Occurrences = append(j.Occurrences, newOccurrence(j, j.Next, now))
	j.Next++
}

// canOpenNext reports whether the job may open another occurrence. The limits bound the memory for the job:
// that of this owner, and that of the next one, which may have to open all occurrences again that are not
// stored as opened.
func (j *Job) canOpenNext() bool {
	tasks := j.Spec.TaskCount()
	fits := func(occurrences int) bool { return occurrences == 0 || (occurrences+1)*tasks <= specifier.MaxTasks }
	open := len(j.Occurrences)
	return fits(open) && open < specifier.MaxOpen && fits(j.Next-j.storedNext)
}

// openReported opens the occurrences that an earlier owner must have opened, since a worker reports a run of
// one of their tasks, its end or its crash. Without it the run would be stopped, or its end dropped, and the
// task started a second time.
func (tr *Tracker) openReported(rep Report, now time.Time) {
	for _, r := range rep.Runs {
		tr.openThrough(r.Key.Task, now)
	}
	for _, e := range rep.Ends {
		tr.openThrough(e.Key.Task, now)
	}
	for _, c := range rep.Crashes {
		for _, r := range c.Runs {
			tr.openThrough(r.Key.Task, now)
		}
	}
}

// openThrough opens the occurrences of a job up to that of a task. No owner has more opened that are not
// stored than their limit, so a task beyond it is none that was started.
func (tr *Tracker) openThrough(id specifier.TaskID, now time.Time) {
	j := tr.Jobs[id.Job]
	if j == nil || j.Unreadable || j.State.Final() || id.Occurrence < j.Next || !j.Spec.HasTask(id) {
		return
	}
	unstored := id.Occurrence + 1 - j.storedNext
	if unstored > 1 && unstored*j.Spec.TaskCount() > specifier.MaxTasks {
		return
	}
	for j.Next <= id.Occurrence {
		j.openNext(now)
	}
	j.markDirty()
}

// isDue reports whether the tasks of the occurrence may start by the clock of this owner. One that an earlier
// owner has opened may not be due yet by it.
func (o *Occurrence) isDue(now time.Time) bool {
	return o.Job.Spec.Occurrences == 0 || !o.DueAt.After(now)
}

func newOccurrence(j *Job, number int, now time.Time) *Occurrence {
	o := &Occurrence{Job: j, Number: number, DueAt: j.Spec.Due(number)}
	for i := range j.Spec.Steps {
		s := &Step{Occurrence: o, Number: i, Spec: &j.Spec.Steps[i]}
		tasks := make([]Task, s.Spec.Count)
		s.Tasks = make([]*Task, s.Spec.Count)
		for t := range tasks {
			tasks[t] = Task{Step: s, Index: t, WaitSince: now}
			s.Tasks[t] = &tasks[t]
		}
		if len(s.Spec.After) == 0 {
			s.ReadyAt = now
		}
		o.Steps = append(o.Steps, s)
	}
	return o
}
