package planner

import (
	"time"

	"bamboospread/internal/job/tracker"
)

// needsCopyOfSlow reports whether a copy of a task should start because its run is on a slow VM and a new run ends
// sooner elsewhere. It covers tasks that may have copies; others are stopped first, see Departures.
func (r *round) needsCopyOfSlow(t *tracker.Task) bool {
	if r.in.Calibrator == nil || t.Done || len(t.Crashes()) > 0 || len(t.Runs) != 1 || t.NotBefore.After(r.now) {
		return false
	}
	if maxFailures := t.Step.Occurrence.Job.Queue.MaxFailures; maxFailures > 0 && len(t.Failed())+len(t.Runs) >= maxFailures {
		return false // with a copy the task could exceed its allowed failures
	}
	run := t.Runs[0]
	if run.State != tracker.Running || !r.in.slow(run.VM) || t.Step.Spec.EstimateMillis <= 0 {
		return false
	}
	d := r.in.departure(run)
	return d.There > time.Duration(leaveGain*float64(d.Elsewhere))+leaveMargin
}
