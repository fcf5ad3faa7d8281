package planner

import (
	"cmp"
	"slices"
	"time"

	"bamboospread/internal/job/tracker"
)

// Limits of moves of long-running tasks off slow VMs. They cover a load at which a slow VM can't keep the targets of its
// long-running tasks and other VMs have free capacity that urgent tasks don't need.
const (
	// slowMoveRest is the time after a move in which the same task does not leave a slow VM again.
	slowMoveRest = 8 * time.Second
	// urgentReserve is the share of the processors that urgent tasks use now that must stay free on sound VMs.
	urgentReserve = 0.5
)

// SlowMoves returns the long-running runs to move from slow VMs, on which they are over their targets. The limits of
// unavailable tasks are those of other moves.
func SlowMoves(in Input) (moves []Move) {
	if in.Calibrator == nil || in.Calibrator.SlowCount() == 0 {
		return nil
	}
	r := newRound(in)
	candidates := r.longRunningOnSlowVMs()
	ongoing := findMovesInProgress(in)
	if len(candidates) == 0 || ongoing.unavailable >= ongoing.limit || r.underPressure() {
		return nil
	}
	r.loadVMs()
	r.placeOverdue(in.State.WaitingSteps(in.Now)) // capacity that these get or wait for is not available to moves
	spare := r.spareForMoves()
	var stopping []*tracker.Run
	for _, run := range candidates {
		s := run.Step()
		if ongoing.unavailable+len(moves) >= ongoing.limit {
			break
		}
		if s.Spec.Needs.CPUMillis > spare || !withinMaxUnavailable(stopping, []*tracker.Run{run}) {
			continue
		}
		if to := r.findPlace(run); to != nil {
			spare -= s.Spec.Needs.CPUMillis
			stopping = append(stopping, run)
			moves = append(moves, Move{Run: run, To: to.vm})
		}
	}
	return moves
}

// longRunningOnSlowVMs returns the long-running runs that are over their targets on slow VMs and may stop, those with the
// fewest processors first: their users lose as much by each.
func (r *round) longRunningOnSlowVMs() (runs []*tracker.Run) {
	for _, vm := range r.in.State.VMs {
		if !vm.Attached || !r.in.slow(vm) {
			continue
		}
		for _, run := range longRunningRuns(vm) {
			rested := run.Task.Relocation().From == "" || r.now.Sub(run.Task.Relocation().Until) >= slowMoveRest
			if s := run.Step().Spec; s.TailMillis > 0 && run.Measure > s.TailMillis && rested && r.mayMove(run) {
				runs = append(runs, run)
			}
		}
	}
	slices.SortFunc(runs, func(a, b *tracker.Run) int {
		return cmp.Or(cmp.Compare(a.Step().Spec.Needs.CPUMillis, b.Step().Spec.Needs.CPUMillis), byKey(a, b))
	})
	return runs
}

// spareForMoves is how many thousandths of a core are free on sound VMs beyond what urgent tasks may need soon.
func (r *round) spareForMoves() int64 {
	free, urgent := int64(0), int64(0)
	for _, m := range r.vmStates {
		if !m.slow {
			free += m.free.CPUMillis
		}
		urgent += m.vm.Committed.CPUMillis - m.vm.LongRunningCPU
	}
	return free - int64(urgentReserve*float64(urgent))
}
