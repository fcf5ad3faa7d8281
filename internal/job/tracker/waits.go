package tracker

import "time"

// CapacityWait returns how long a waiting task has waited for capacity: since its last run ended,
// the steps that it depends on were finished, and the delay of a restart was over.
func (t *Task) CapacityWait(now time.Time) time.Duration {
	since := t.WaitSince
	for _, at := range []time.Time{t.Step.ReadyAt, t.NotBefore} {
		if at.After(since) {
			since = at
		}
	}
	return max(now.Sub(since), 0)
}

// DependencyWait returns how long a task waited for the steps that it depends on; 0 if it has run
// since then.
func (t *Task) DependencyWait() time.Duration { return max(t.Step.ReadyAt.Sub(t.WaitSince), 0) }
