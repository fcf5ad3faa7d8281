package planner

import (
	"slices"

	"bamboospread/internal/job/accountant"
)

// Preemptions returns the filling runs to stop for lasting tasks of queues that come before
// theirs. They answer filling tasks that stand nearly still under a backlog and hold all
// memory for as long: their processors are nobody's, but what they hold is not.
func Preemptions(in Input) (runs []*accountant.Run) {
	r := newRound(in)
	for _, t := range r.claimants() {
		if r.rooms == nil {
			r.openRooms()
		}
		if r.claimed++; r.claimed > max(claimsAtOnce, len(r.rooms)/claimVMs) {
			break
		}
		if best := r.choose(t.Step, t, r.countOf(t.Step)); best != nil {
			r.place(t, best, 0) // the next round of placement starts it
			continue
		}
		m, stops := r.preempt(t)
		if m == nil {
			continue
		}
		m.hold(t)
		runs = append(runs, stops...)
		if len(stops) > 0 {
			r.preempted++
		}
		if r.preempted == preemptionsAtOnce {
			break
		}
	}
	return runs
}

// claimants returns the tasks for which room may be held, those before that were at work and
// have been away longest.
func (r *round) claimants() []*accountant.Task {
	steps := r.state.WaitingSteps(r.now)
	found := r.overdueTasks(steps)
	for _, s := range steps {
		for _, t := range s.Tasks {
			if !t.Ran && r.claims(t) {
				found = append(found, t)
				break // the others of the step need as much
			}
		}
	}
	return found
}

// preempt returns the VM on which a claim is met with least work thrown away, and the runs
// to stop there; none if runs that are being stopped already leave enough.
func (r *round) preempt(t *accountant.Task) (best *room, stops []*accountant.Run) {
	least := 0.0
	for _, m := range r.rooms {
		if !r.mayClaim(t, m) {
			continue
		}
		found, loss, ok := r.stopsFor(t, m)
		if ok && (best == nil || loss < least) {
			best, stops, least = m, found, loss
		}
	}
	for _, run := range stops {
		r.stopped[run] = true
	}
	return best, stops
}

// stopsFor returns the filling runs of a VM whose stops leave enough memory for a task, and
// how much is lost by them: core-seconds, and a little for each run.
func (r *round) stopsFor(t *accountant.Task, m *room) (stops []*accountant.Run, loss float64, ok bool) {
	left := m.freeOnceStopped()
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
	for _, run := range r.preemptable(m.vm, t.Step.Occurrence.Job.Queue.Priority) {
		stops = append(stops, run)
		left = left.Add(run.Step().Spec.Committed())
		loss += lossOfStop + lostBy(run).Seconds()*float64(run.Step().Spec.Needs.CPUMillis)/coreMillis
		if enough() {
			return stops, loss, true
		}
	}
	return nil, 0, false
}

// lossOfStop is what a stop costs beside the work thrown away, in core-seconds.
const lossOfStop = 1.0

// preemptable returns the filling runs of a VM that a task of the priority goes before, those
// first by whose stops least is lost.
func (r *round) preemptable(vm *accountant.VM, priority int) []*accountant.Run {
	var runs []*accountant.Run
	for _, run := range vm.Runs {
		s := run.Step()
		if s.Spec.Fills && !s.Spec.Lasting && !s.Spec.Gang && run.State != accountant.Stopping && !r.stopped[run] && s.Occurrence.Job.Queue.Priority > priority {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, byLoss)
	return runs
}
