package accountant

import "time"

// Means that adapt to the jobs of a queue.
const (
	stretchRate = 0.03 // of a run that ended in the mean of its queue
	stretchMost = 8.0  // of one run: one that stood still tells little of the others
	workRate    = 0.05 // of a job that was accepted in the mean of its queue
)

// measures are what is known of the jobs of a queue.
type measures struct {
	stretch float64 // what runs take over what they declare; 0: none has ended
	work    float64 // core-seconds that a job declares; 0: none has come
}

func (a *Accountant) measuresOf(queue string) *measures {
	m := a.measures[queue]
	if m == nil {
		m = &measures{}
		a.measures[queue] = m
	}
	return m
}

// Stretch is how much longer than declared the runs of a queue take in the mean, 1 at least.
func (a *Accountant) Stretch(queue string) float64 {
	if m := a.measures[queue]; m != nil {
		return max(m.stretch, 1)
	}
	return 1
}

// MeanWork is how many core-seconds the jobs of a queue declare in the mean, 0 if none has
// come.
func (a *Accountant) MeanWork(queue string) float64 {
	if m := a.measures[queue]; m != nil {
		return m.work
	}
	return 0
}

// noteStretch takes the time of a run that was done from its beginning.
func (a *Accountant) noteStretch(r *Run, now time.Time) {
	s := r.Step().Spec
	if s.Lasting || s.Gang || s.EstimateMillis <= 0 || r.StartedAt.IsZero() || r.Resumed {
		return
	}
	sample := min(float64(now.Sub(r.StartedAt))/float64(s.Estimate()), stretchMost)
	m := a.measuresOf(r.Step().Occurrence.Job.Spec.Queue)
	if m.stretch == 0 {
		m.stretch = 1
	}
	m.stretch += stretchRate * (sample - m.stretch)
}

func (a *Accountant) noteWork(j *Job) {
	work := 0.0
	for i := range j.Spec.Steps {
		s := &j.Spec.Steps[i]
		work += float64(s.Count) * s.CoreSeconds()
	}
	m := a.measuresOf(j.Spec.Queue)
	if m.work == 0 {
		m.work = work
	}
	m.work += workRate * (work - m.work)
}

// Work returns how many core-seconds an occurrence declares, and how many of these are in
// tasks that are not done.
func (o *Occurrence) Work() (all, left float64) {
	for _, s := range o.Steps {
		each := s.Spec.CoreSeconds()
		all += float64(len(s.Tasks)) * each
		left += float64(len(s.Tasks)-s.Done) * each
	}
	return all, left
}
