package tracker

import (
	"slices"
	"time"
)

// Backoff before a long-running task that ends by itself again and again, done or failed, is restarted. Like
// that of other tasks, its first restart is immediate: most failures are caused by the worker.
const (
	// restartDelayFirst is the greatest delay of the second restart. It doubles with each further one.
	restartDelayFirst = 500 * time.Millisecond
	// restartDelayMax is the greatest delay of all. It is no longer than the time after which an
	// unavailable task takes precedence, so a task that has recovered is back as soon as any other.
	restartDelayMax = 3 * time.Second
	// restartResetAfter is how long a run must last for its end to count as the first again.
	restartResetAfter = 10 * time.Second
)

// scheduleRestart delays the restart of a long-running task whose run has ended by itself. An end that was
// stored but not acknowledged is reported to the next owner again; it changes nothing once the task has a
// later run.
func (tr *Tracker) scheduleRestart(t *Task, number int64, lasted time.Duration, now time.Time) {
	if slices.ContainsFunc(t.Runs, func(r *Run) bool { return r.Number > number }) {
		return
	}
	s := t.change()
	if lasted >= restartResetAfter {
		s.restarts = 0
	}
	s.restarts++
	t.NotBefore = now.Add(time.Duration(tr.random() * float64(restartDelayLimit(s.restarts))))
}

// restartDelayLimit is the greatest delay of a restart after the given number of such ends in a row.
func restartDelayLimit(ends int) time.Duration {
	if ends <= 1 {
		return 0
	}
	delay := restartDelayFirst
	for n := 2; n < ends && delay < restartDelayMax; n++ {
		delay *= 2
	}
	return min(delay, restartDelayMax)
}

// RestartDelay returns how long a waiting task is still delayed after its runs have ended by themselves.
func (t *Task) RestartDelay(now time.Time) time.Duration {
	if t.Done || len(t.Runs) > 0 {
		return 0
	}
	return max(t.NotBefore.Sub(now), 0)
}

// lasted is how long a worker has had the run.
func (r *Run) lasted(now time.Time) time.Duration {
	if r.StartedAt.IsZero() {
		return 0
	}
	return now.Sub(r.StartedAt)
}
