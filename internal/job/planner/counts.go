package planner

import "bamboospread/internal/job/tracker"

// Counts of the runs of a step by VM, for limits per VM.

// runCounts returns the number of runs of a step on each VM, including those placed in this
// round: waiting tasks and copies of other tasks may belong to one step, and the limit per VM
// applies to both together.
func (r *round) runCounts(s *tracker.Step) map[*tracker.VM]int {
	count := r.counts[s]
	if count == nil {
		count = runsPerVM(s)
		r.counts[s] = count
	}
	return count
}

// runsPerVM returns the number of current runs of a step on each VM.
func runsPerVM(s *tracker.Step) map[*tracker.VM]int {
	count := make(map[*tracker.VM]int)
	for _, t := range s.Tasks {
		for _, run := range t.Runs {
			count[run.VM]++
		}
	}
	return count
}
