package tracker

import "bamboospread/internal/job/specifier"

// Holder identifies whose runs hold resources. A run whose job is not known has no account and no
// queue.
type Holder struct {
	Account     string
	Queue       string
	LongRunning bool
}

// Holder returns the holder of the runs of a step.
func (s *Step) Holder() Holder {
	j := s.Occurrence.Job.Spec
	return Holder{j.Account, j.Queue, s.Spec.LongRunning}
}

// Usage returns the declared needs of all runs that have not ended, by holder. The caller must not
// change it.
func (tr *Tracker) Usage() map[Holder]specifier.Resources { return tr.usage }

// countUsage adds a change to what the holder of a run holds.
func (tr *Tracker) countUsage(r *Run, change specifier.Resources) {
	h := r.Step().Holder()
	if now := tr.usage[h].Add(change); now != (specifier.Resources{}) {
		tr.usage[h] = now
	} else {
		delete(tr.usage, h)
	}
}
