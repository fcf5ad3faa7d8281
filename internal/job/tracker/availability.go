package tracker

import (
	"slices"
	"time"
)

// markRun records that a worker has, or had, a run of the task. For a long-running task that is
// part of the job's progress: the next owner must know which tasks were running.
func (t *Task) markRun() {
	if t.HasRun {
		return
	}
	t.HasRun = true
	if t.Step.Spec.LongRunning {
		t.Step.Occurrence.Job.markDirty()
	}
}

// recordStart records that a worker has confirmed a run of the task, which ends its wait.
func (t *Task) recordStart() {
	if t.Step.Spec.LongRunning {
		t.Step.Occurrence.Job.markDirty()
	}
}

// recordEnd records since when the task waits after a run of it has been removed.
func (t *Task) recordEnd(r *Run, now time.Time) {
	if !t.Step.Spec.LongRunning {
		t.WaitSince = now
		return
	}
	if r.StartedAt.IsZero() {
		return // no worker has had the run, so the task has been unavailable all the time
	}
	t.markRun()
	t.WaitSince = now
	if t.setbacks != nil {
		t.setbacks.lostSince = time.Time{}
	}
	t.Step.Occurrence.Job.markDirty()
}

// UnavailableSince returns since when a waiting long-running task is unavailable. A run that was given up may have
// ended when its worker was last heard of: the time until its leases had certainly ended is part of it.
func (t *Task) UnavailableSince() time.Time {
	if t.setbacks != nil && !t.setbacks.lostSince.IsZero() && t.setbacks.lostSince.Before(t.WaitSince) {
		return t.setbacks.lostSince
	}
	return t.WaitSince
}

func (t *Task) hasConfirmedRun() bool {
	return slices.ContainsFunc(t.Runs, func(r *Run) bool { return !r.StartedAt.IsZero() })
}

// restoreRuns restores which tasks have run, and since when those without a run are unavailable. A
// time after now is that of another VM's clock.
func (s *Step) restoreRuns(r StepRecord, now time.Time) error {
	hasRun, err := decodeBitmap(r.HasRun)
	if err != nil {
		return err
	}
	for n, t := range s.Tasks {
		t.HasRun = hasRun.has(n) || r.HasRun == "" && s.Occurrence.Job.Started
		if millis, ok := r.WaitSince[n]; ok && time.UnixMilli(millis).Before(now) {
			t.WaitSince = time.UnixMilli(millis)
		}
	}
	return nil
}
