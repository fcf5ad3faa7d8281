package accountant

import "time"

// The mean of what runs of a queue take over what they declare.
const (
	stretchRate = 0.03 // of a run that was done in the mean of its queue
	stretchMost = 8.0  // of one run: one that stood still tells little of the others
)

// Stretch is how much longer than declared the runs of a queue take in the mean, 1 at least.
func (a *Accountant) Stretch(queue string) float64 { return max(a.stretches[queue], 1) }

// noteStretch takes the time of a run that was done from its beginning.
func (a *Accountant) noteStretch(r *Run, now time.Time) {
	s := r.Step().Spec
	if s.Lasting || s.Gang || s.EstimateMillis <= 0 || r.StartedAt.IsZero() || r.Resumed {
		return
	}
	queue := r.Step().Occurrence.Job.Spec.Queue
	mean, known := a.stretches[queue]
	if !known {
		mean = 1
	}
	sample := min(float64(now.Sub(r.StartedAt))/float64(s.Estimate()), stretchMost)
	a.stretches[queue] = mean + stretchRate*(sample-mean)
}
