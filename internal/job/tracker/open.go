package tracker

import "slices"

// OpenJobs returns the jobs that have not ended, in a deterministic order.
func (tr *Tracker) OpenJobs() []*Job {
	return slices.Clone(tr.open)
}

// RemainingWork returns the declared work of the occurrence's tasks that end, in core-seconds: all of
// it, and what is left after the reported progress.
func (o *Occurrence) RemainingWork() (total, left float64) {
	for _, s := range o.Steps {
		if s.Spec.LongRunning {
			continue
		}
		perTask := s.Spec.CoreSeconds()
		for _, t := range s.Tasks {
			total += perTask
			if t.Done {
				continue
			}
			progress := 0
			for _, r := range t.Runs {
				progress = max(progress, r.Progress)
			}
			left += perTask * (1 - float64(min(progress, 100))/100)
		}
	}
	return total, left
}
