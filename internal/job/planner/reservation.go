package planner

import (
	"cmp"
	"slices"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// Reservations of capacity. Under a backlog, long-running tasks that lost their place by a
// move, a yield or the loss of a VM could not start again: urgent tasks take the processors,
// and best-effort tasks the memory, of each gap before it is large enough for a long-running
// task, which would stay unavailable until the backlog ends.

const (
	// returnAfter is how long a long-running task that was running is unavailable before it
	// takes precedence over all other tasks, whatever their priority.
	returnAfter = 3 * time.Second
	// returnAfterPressure is the same while urgent tasks wait for capacity: another
	// long-running task then has to stop in its place.
	returnAfterPressure = 6 * time.Second
	// maxReservations is the largest number of tasks that a round reserves capacity for. On a
	// larger fleet the limit is one task for every vmsPerReservation VMs, if that is more. The
	// tasks that have waited longest come first.
	maxReservations   = 8
	vmsPerReservation = 4
	// maxPreemptions is the largest number of long-running tasks that a round stops
	// best-effort runs for.
	maxPreemptions = 4
)

// needsReservation reports whether a long-running task has waited long enough for capacity to
// be reserved for it.
func (r *round) needsReservation(t *tracker.Task) bool {
	after := returnAfter
	if r.underPressure() || r.returnsLater(t) {
		after = returnAfterPressure
	}
	return t.Step.Spec.LongRunning && !t.Step.Spec.Gang && t.Waits(r.now) && r.now.Sub(t.UnavailableSince()) >= after
}

// underPressure reports whether urgent tasks recently waited too long for capacity.
func (r *round) underPressure() bool { return r.now.Sub(r.in.UrgentDelayedAt) < yieldCooldown }

// overdue reports whether a long-running task that was running has been unavailable for too
// long.
func (r *round) overdue(t *tracker.Task) bool { return t.HasRun && r.needsReservation(t) }

// placeOverdue starts the overdue long-running tasks, or reserves capacity for them.
func (r *round) placeOverdue(steps []*tracker.Step) (starts []Start) {
	noFit := make(map[*tracker.Step]bool) // tasks of a step need the same resources
	for _, t := range r.overdueTasks(steps) {
		s := t.Step
		if !r.holdings.allows(s, 1) {
			continue
		}
		best := (*vmState)(nil)
		elsewhere := t.Relocation().To != "" || len(r.lateStartsOf(t)) > 0 // it waits for another VM than its step
		if !noFit[s] || elsewhere {
			best = r.choose(s, t, r.runCounts(s))
		}
		if best != nil {
			starts = append(starts, r.place(t, best, r.state.NextNumber(t)))
		} else {
			noFit[s] = noFit[s] || !elsewhere
			r.reserveUnlessRotation(t)
		}
	}
	return starts
}

// overdueTasks returns the overdue tasks, those first that have been unavailable longest. In
// the order of their jobs, tasks of old jobs that yield again and again would keep the others
// from starting.
func (r *round) overdueTasks(steps []*tracker.Step) (found []*tracker.Task) {
	for _, s := range steps {
		if !s.Spec.LongRunning {
			continue
		}
		for _, t := range s.Tasks {
			if r.overdue(t) {
				found = append(found, t)
			}
		}
	}
	slices.SortStableFunc(found, func(a, b *tracker.Task) int { return a.UnavailableSince().Compare(b.UnavailableSince()) })
	return found
}

// reserveForMoves reserves the capacity that long-running tasks move to until they run there
// or their hold expires, and the capacity that they leave for the task that they move for. The
// run that is to leave may still be there; the free capacity is negative then.
func (r *round) reserveForMoves() {
	for _, t := range r.state.MovingTasks(r.now) {
		if m := r.findVM(t.Relocation().To); m != nil {
			m.reserve(t)
		}
		if m := r.findVM(t.Relocation().From); m != nil && t.Relocation().For != nil {
			if next := longestWaiting(t.Relocation().For, r.now); next != nil {
				m.reserve(next)
			}
		}
	}
}

// reserveForGangs reserves the room that long-running tasks make for gangs. Runs that are to leave may
// still be there; the free capacity is negative then.
func (r *round) reserveForGangs() {
	for _, s := range r.state.GangsWithRoom(r.now) {
		for i, vm := range s.Room.VMs {
			if m := r.findVM(vm); m != nil {
				m.reserve(s.Tasks[i])
			}
		}
	}
}

func (r *round) findVM(vm string) *vmState {
	i, found := slices.BinarySearchFunc(r.vmStates, vm, func(m *vmState, name string) int { return cmp.Compare(m.vm.Name, name) })
	if !found {
		return nil
	}
	return r.vmStates[i]
}

// longestWaiting returns the task of a step that has waited longest, or nil.
func longestWaiting(s *tracker.Step, now time.Time) (first *tracker.Task) {
	for _, t := range s.Tasks {
		if t.Waits(now) && (first == nil || t.WaitSince.Before(first.WaitSince)) {
			first = t
		}
	}
	return first
}

// reserve sets capacity aside for a task.
func (m *vmState) reserve(t *tracker.Task) {
	if m.reserved == nil {
		m.reserved = make(map[*tracker.Task]bool)
	}
	if m.reserved[t] {
		return
	}
	m.reserved[t] = true
	m.free = m.free.Sub(t.Step.Spec.Committed())
}

// release returns the capacity reserved for a task. It reports whether there was any.
func (m *vmState) release(t *tracker.Task) bool {
	if !m.reserved[t] {
		return false
	}
	delete(m.reserved, t)
	m.free = m.free.Add(t.Step.Spec.Committed())
	return true
}

// reserveUnlessRotation reserves capacity for an overdue task unless another long-running task
// is expected to free capacity for it soon.
func (r *round) reserveUnlessRotation(t *tracker.Task) {
	if r.underPressure() && r.now.Sub(t.UnavailableSince()) < returnAfterPressure+rotationWait {
		r.reservationsRequested++
		return
	}
	r.reserveFor(t)
}

// reserveFor reserves capacity for a task that fits on no VM. It uses the VM that is expected
// to have enough first.
func (r *round) reserveFor(t *tracker.Task) {
	if r.reservationsRequested++; r.reservationsRequested > max(maxReservations, len(r.vmStates)/vmsPerReservation) {
		return
	}
	if m := r.bestReservation(t); m != nil {
		m.reserve(t)
		r.reservedSteps[t.Step] = true
	}
}

// bestReservation returns the VM with the smallest shortfall for a task among those on which
// capacity may be reserved for it, or nil.
func (r *round) bestReservation(t *tracker.Task) (best *vmState) {
	least := 0.0
	for _, m := range r.vmStates {
		if !r.mayReserve(t, m) {
			continue
		}
		if shortfall := m.shortfall(t.Step.Spec); best == nil || shortfall < least {
			best, least = m, shortfall
		}
	}
	return best
}

// mayReserve reports whether a VM would have enough for a task once the runs that end by
// themselves have ended. A task that has not run yet may wait only for what best-effort tasks
// hold: it has no precedence over urgent tasks for processors.
func (r *round) mayReserve(t *tracker.Task, m *vmState) bool {
	s := t.Step
	if m.slow || t.RunsOn(m.vm) || t.MovesElsewhere(m.vm.Name, r.now) || !r.admitsAfterLateStart(t, m.vm) || !m.eligible(s, r.runCounts(s)[m.vm]) {
		return false
	}
	if !t.HasRun && m.free.CPUMillis < s.Spec.Needs.CPUMillis {
		return false
	}
	return m.freeAfterEnds().Fits(s.Spec.Committed())
}

// shortfall is what a VM will lack for a task once the runs that are being stopped have ended,
// as the largest share of its capacity over all resources. It is negative if the task fits.
func (m *vmState) shortfall(s *specifier.Step) float64 {
	left := m.freeAfterStops().Sub(s.Committed())
	shortfall := ratio(-left.CPUMillis, m.vm.Capacity.CPUMillis)
	shortfall = max(shortfall, ratio(-left.MemoryMB, m.vm.Capacity.MemoryMB))
	return max(shortfall, ratio(-left.GPUs, m.vm.Capacity.GPUs))
}

func ratio(n, of int64) float64 { return float64(n) / float64(max(of, 1)) }

// freeAfterStops is the free capacity of a VM once the runs that are being stopped have ended.
func (m *vmState) freeAfterStops() specifier.Resources {
	m.sumReleases()
	return m.free.Add(m.stopping)
}

// freeAfterEnds is the free capacity of a VM once all runs that are not long-running have
// ended.
func (m *vmState) freeAfterEnds() specifier.Resources {
	m.sumReleases()
	return m.free.Add(m.stopping).Add(m.ending)
}

// sumReleases sums up the resources that runs of the VM will release by themselves.
func (m *vmState) sumReleases() {
	if m.releasesKnown {
		return
	}
	m.releasesKnown = true
	for _, run := range m.vm.Runs {
		switch {
		case run.State == tracker.Stopping:
			m.stopping = m.stopping.Add(run.Step().Spec.Committed())
		case !run.Step().Spec.LongRunning:
			m.ending = m.ending.Add(run.Step().Spec.Committed())
		}
	}
}
