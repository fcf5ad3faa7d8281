package tracker

import (
	"fmt"
	"time"
)

// LossCause is what showed that a run had ended without a report of its end.
type LossCause string

// Causes of losses.
const (
	LossNotReported   LossCause = "no longer reported by the worker"
	LossLeasesExpired LossCause = "leases expired"
)

// Loss is a run that was given up without a report of its end. If it goes on all the same, its task runs
// twice: the cause then says which conclusion was wrong.
type Loss struct {
	number int64 // of the run
	vm     string
	cause  LossCause
	at     time.Time
}

// Describe returns the loss as it is logged at a later time; empty if there is none.
func (l *Loss) Describe(now time.Time) string {
	if l == nil {
		return ""
	}
	return fmt.Sprintf("run %d on %s %s ago: %s", l.number, l.vm, now.Sub(l.at).Round(time.Millisecond), l.cause)
}

// LastLoss returns the last run of the task that this owner has given up without a report of its end; nil:
// there is none.
func (t *Task) LastLoss() *Loss {
	if t.setbacks == nil {
		return nil
	}
	return t.setbacks.lastLoss
}

// Overlaps reports whether the task has another run beside r, though its step allows no copies.
func (r *Run) Overlaps() bool { return !r.Step().Spec.Copies && len(r.Task.Runs) > 1 }
