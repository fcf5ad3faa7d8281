package tracker

import "time"

// Limits of the mean ratio of measured to declared run times of a queue.
const (
	runtimeRatioSampleWeight = 0.03 // weight of a completed run in the mean
	maxRuntimeRatio          = 8.0  // of one run: a run that stalled says little about the others
)

// RuntimeRatio returns the mean ratio of measured to declared run times of a queue, at least 1.
func (tr *Tracker) RuntimeRatio(queue string) float64 { return max(tr.runtimeRatios[queue], 1) }

// recordRuntime adds the run time of a completed run to the mean of its queue. Only runs that
// this owner saw from their start count, not those that were resumed or adopted.
func (tr *Tracker) recordRuntime(r *Run, now time.Time) {
	if !r.Sampled() {
		return
	}
	s := r.Step().Spec
	tr.observer.RunDone(r, now.Sub(r.StartedAt))
	queue := r.Step().Occurrence.Job.Spec.Queue
	mean, known := tr.runtimeRatios[queue]
	if !known {
		mean = 1
	}
	sample := min(float64(now.Sub(r.StartedAt))/float64(s.Estimate()), maxRuntimeRatio)
	tr.runtimeRatios[queue] = mean + runtimeRatioSampleWeight*(sample-mean)
}

// recordStopped tells the observer of a run that ended before its task was done.
func (tr *Tracker) recordStopped(r *Run) {
	if r.Sampled() {
		tr.observer.RunStopped(r, r.worked)
	}
}

// Sampled reports whether the run shows how long its task takes: its work is known from its start on,
// and does not depend on other runs.
func (r *Run) Sampled() bool {
	s := r.Step().Spec
	return !s.LongRunning && !s.Gang && s.EstimateMillis > 0 && !r.StartedAt.IsZero() && !r.Resumed
}

// Work returns the time that the run has worked, by the share of its processors that it got: the run
// time that it would have with all of them.
func (r *Run) Work(now time.Time) time.Duration {
	if r.StartedAt.IsZero() {
		return 0
	}
	from := r.StartedAt
	if r.workedUntil.After(from) {
		from = r.workedUntil
	}
	return r.worked + r.WorkSince(from, now)
}

// WorkSince returns the work of the run between two times since its latest report, by the share of its
// processors that it shows.
func (r *Run) WorkSince(from, now time.Time) time.Duration {
	return time.Duration(float64(max(now.Sub(from), 0)) * r.workShare())
}

// ReportedWork returns the work of the run until its latest report.
func (r *Run) ReportedWork() time.Duration { return r.worked }

// recordWork adds the work since the earlier report, at the reported share of processors.
func (r *Run) recordWork(now time.Time) { r.worked, r.workedUntil = r.Work(now), now }

// workShare is the share of its processors that the run gets. A run that reports no use of processors
// has just started or is paused.
func (r *Run) workShare() float64 {
	if r.Step().Spec.BestEffort && r.Measure == 0 {
		return float64(max(r.Pace, 0)) / fullPace
	}
	return r.CPUShare()
}
