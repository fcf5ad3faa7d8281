package planner

import (
	"slices"

	"bamboospread/internal/job/tracker"
)

// Preemptions returns the best-effort runs to stop for long-running tasks of queues with
// precedence over theirs. They cover best-effort tasks that make almost no progress under a
// backlog and hold all memory meanwhile: their processors are available to other tasks, but
// their memory is not.
func Preemptions(in Input) (runs []*tracker.Run) {
	r := newRound(in)
	for _, t := range r.reservationCandidates() {
		if r.vmStates == nil {
			r.loadVMs()
		}
		if r.reservationsRequested++; r.reservationsRequested > max(maxReservations, len(r.vmStates)/vmsPerReservation) {
			break
		}
		if best := r.choose(t.Step, t, r.runCounts(t.Step)); best != nil {
			r.place(t, best, 0) // the next placement round starts it
			continue
		}
		m, stops := r.preempt(t)
		if m == nil {
			continue
		}
		m.reserve(t)
		runs = append(runs, stops...)
		if len(stops) > 0 {
			r.preempted++
		}
		if r.preempted == maxPreemptions {
			break
		}
	}
	return runs
}

// reservationCandidates returns the tasks for which capacity may be reserved: first those that
// were running, the longest unavailable first, then one task of each other step.
func (r *round) reservationCandidates() []*tracker.Task {
	steps := r.waitingSteps()
	found := r.overdueTasks(steps)
	for _, s := range steps {
		for _, t := range s.Tasks {
			if !t.HasRun && r.needsReservation(t) {
				found = append(found, t)
				break // the other tasks of the step need as much
			}
		}
	}
	return found
}

// preempt returns the VM on which a task fits with the least work lost, and the runs to stop
// there; none if runs that are already being stopped leave enough.
func (r *round) preempt(t *tracker.Task) (best *vmState, stops []*tracker.Run) {
	least := 0.0
	for _, m := range r.vmStates {
		if !r.mayReserve(t, m) {
			continue
		}
		found, loss, ok := r.runsToStop(t, m)
		if ok && (best == nil || loss < least) {
			best, stops, least = m, found, loss
		}
	}
	for _, run := range stops {
		r.stopped[run] = true
	}
	return best, stops
}

// runsToStop returns the best-effort runs of a VM to stop so that it has enough memory for a
// task, and the cost of this: lost core-seconds and a fixed cost per run.
func (r *round) runsToStop(t *tracker.Task, m *vmState) (stops []*tracker.Run, loss float64, ok bool) {
	left := m.freeAfterStops()
	for run := range r.stopped {
		if run.VM == m.vm {
			left = left.Add(run.Step().Spec.Committed())
		}
	}
	need := t.Step.Spec.Committed()
	enough := func() bool { return need.MemoryMB <= left.MemoryMB && need.GPUs <= left.GPUs }
	if enough() {
		return nil, 0, true
	}
	for _, run := range r.preemptible(m.vm, t.Step.Occurrence.Job.Queue.Priority) {
		stops = append(stops, run)
		left = left.Add(run.Step().Spec.Committed())
		loss += stopCost + lostWork(run).Seconds()*float64(run.Step().Spec.Needs.CPUMillis)/millisPerCore
		if enough() {
			return stops, loss, true
		}
	}
	return nil, 0, false
}

// stopCost is the cost of a stop in addition to the lost work, in core-seconds.
const stopCost = 1.0

// preemptible returns the best-effort runs of a VM that a task of the priority takes
// precedence over, sorted by the work that a stop loses.
func (r *round) preemptible(vm *tracker.VM, priority int) []*tracker.Run {
	var runs []*tracker.Run
	for _, run := range vm.Runs {
		s := run.Step()
		if s.Spec.BestEffort && !s.Spec.LongRunning && !s.Spec.Gang && run.State != tracker.Stopping && !r.stopped[run] && s.Occurrence.Job.Queue.Priority > priority {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, byLostWork)
	return runs
}
