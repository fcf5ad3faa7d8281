package planner

import (
	"slices"

	"bamboospread/internal/job/tracker"
)

// maxMoveSearches bounds the number of steps for which a round searches for a move that frees
// capacity: on a full fleet each search examines all pairs of VMs and finds no move.
const maxMoveSearches = 2

// moveForLongRunning returns the move of one long-running task that lets another one start.
// The waiting task fits on no VM although the fleet has enough free capacity, because the
// capacity is fragmented or is on VMs that already have the maximum number of tasks of the
// step. Without the move it would wait until tasks that use as much as a whole VM have ended.
func (r *round) moveForLongRunning(ongoing movesInProgress) []Move {
	searches := 0
	for _, s := range r.waitingOverdueFirst() {
		if !s.Spec.LongRunning || s.Spec.Gang || ongoing.steps[s] || r.reservedSteps[s] || r.now.Sub(s.ReadyAt) < minBlockedTime {
			continue
		}
		count := runsPerVM(s)
		if slices.ContainsFunc(r.vmStates, func(m *vmState) bool { return m.admits(s, count[m.vm]) }) {
			continue
		}
		if searches++; searches > maxMoveSearches {
			break
		}
		if move, ok := r.findFreeingMove(s, count, ongoing); ok {
			return []Move{move}
		}
	}
	return nil
}

// waitingOverdueFirst returns the waiting steps, those with overdue tasks first.
func (r *round) waitingOverdueFirst() (steps []*tracker.Step) {
	waiting := order(r.in, r.waitingSteps())
	seen := make(map[*tracker.Step]bool)
	for _, t := range r.overdueTasks(waiting) {
		if !seen[t.Step] {
			seen[t.Step] = true
			steps = append(steps, t.Step)
		}
	}
	return append(steps, slices.DeleteFunc(waiting, func(s *tracker.Step) bool { return seen[s] })...)
}

// findFreeingMove finds the smallest long-running run that can move to another VM and in whose
// place a task of the step fits.
func (r *round) findFreeingMove(s *tracker.Step, count map[*tracker.VM]int, ongoing movesInProgress) (best Move, ok bool) {
	for _, m := range r.vmStates {
		if ongoing.vms[m.vm.Name] {
			continue
		}
		for _, run := range longRunningRuns(m.vm) {
			if run.Step() == s || !r.mayMove(run) {
				continue
			}
			if ok && run.Step().Spec.Needs.CPUMillis >= best.Run.Step().Spec.Needs.CPUMillis {
				continue
			}
			without := *m
			without.removeLongRunning(run.Step())
			if !without.admits(s, count[m.vm]) {
				continue
			}
			if to := r.destinationFor(run, m); to != nil {
				best, ok = Move{Run: run, To: to.vm, For: s}, true
			}
		}
	}
	return best, ok
}

// destinationFor returns another VM with enough free capacity for a long-running run, or nil.
func (r *round) destinationFor(run *tracker.Run, from *vmState) *vmState {
	s := run.Step()
	count := r.runCounts(s)
	for _, m := range r.vmStates {
		if m != from && !m.slow && !run.Task.AvoidsVM(m.vm.Name) && m.admits(s, count[m.vm]) {
			return m
		}
	}
	return nil
}
