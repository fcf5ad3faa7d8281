package planner

import (
	"slices"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/specifier"
)

// Claims on room. They answer a backlog under which lasting tasks lose their places, by
// moves, yields or VMs that leave: urgent tasks take the processors and filling ones the
// memory of each gap before it is wide enough for a lasting task, which stays away until
// the backlog ends.

const (
	// returnAfter is how long a lasting task that was at work is away before it goes ahead
	// of all other tasks, whatever their priority.
	returnAfter = 3 * time.Second
	// pressedAway is the same while urgent tasks wait: another lasting task is away then in its
	// place.
	pressedAway = 6 * time.Second
	// claimsAtOnce is how many tasks a round holds room for, and claimVMs the VMs for each of
	// them on a larger fleet; those that waited longest come first.
	claimsAtOnce = 8
	claimVMs     = 4
	// preemptionsAtOnce is for how many lasting tasks a round makes room.
	preemptionsAtOnce = 4
)

// claims tells whether a lasting task has waited long enough for room to be held for it.
func (r *round) claims(t *accountant.Task) bool {
	after := returnAfter
	if r.pressed() {
		after = pressedAway
	}
	return t.Step.Spec.Lasting && !t.Step.Spec.Gang && t.Waits(r.now) && r.now.Sub(t.WaitSince) >= after
}

// pressed tells whether urgent tasks have waited for room too long of late.
func (r *round) pressed() bool { return r.now.Sub(r.in.PressedAt) < yieldRest }

// overdue tells whether a lasting task that was at work has been away for too long.
func (r *round) overdue(t *accountant.Task) bool { return t.Ran && r.claims(t) }

// placeOverdue starts the lasting tasks that are overdue, or holds room for them.
func (r *round) placeOverdue(steps []*accountant.Step) (starts []Start) {
	full := make(map[*accountant.Step]bool) // the tasks of a step need the same
	for _, t := range r.overdueTasks(steps) {
		s := t.Step
		best := (*room)(nil)
		if !full[s] || t.Moves.To != "" {
			best = r.choose(s, t, r.countOf(s))
		}
		if best != nil {
			starts = append(starts, r.place(t, best, r.state.NextNumber(t)))
		} else {
			full[s] = true
			r.claimUnlessTurn(t)
		}
	}
	return starts
}

// overdueTasks returns the tasks that are overdue, those first that have been away longest:
// by the age of their jobs, tasks of old jobs that yield again and again would keep the others
// away.
func (r *round) overdueTasks(steps []*accountant.Step) (found []*accountant.Task) {
	for _, s := range steps {
		if !s.Spec.Lasting {
			continue
		}
		for _, t := range s.Tasks {
			if r.overdue(t) {
				found = append(found, t)
			}
		}
	}
	slices.SortStableFunc(found, func(a, b *accountant.Task) int { return a.WaitSince.Compare(b.WaitSince) })
	return found
}

// holdForMoves keeps the room that lasting tasks move to until they are there or their
// hold is over, and the room that they leave for the task that they make it for. The run that
// leaves may still be there; what is free is then below nothing.
func (r *round) holdForMoves() {
	for _, t := range r.state.MovingTasks(r.now) {
		if m := r.roomOf(t.Moves.To); m != nil {
			m.hold(t)
		}
		if m := r.roomOf(t.Moves.From); m != nil && t.Moves.For != nil {
			if next := longestAway(t.Moves.For, r.now); next != nil {
				m.hold(next)
			}
		}
	}
}

func (r *round) roomOf(vm string) *room {
	i := slices.IndexFunc(r.rooms, func(m *room) bool { return m.vm.Name == vm })
	if i < 0 {
		return nil
	}
	return r.rooms[i]
}

// longestAway returns the task of a step that has waited longest, or nil.
func longestAway(s *accountant.Step, now time.Time) (first *accountant.Task) {
	for _, t := range s.Tasks {
		if t.Waits(now) && (first == nil || t.WaitSince.Before(first.WaitSince)) {
			first = t
		}
	}
	return first
}

// hold keeps room for a task.
func (m *room) hold(t *accountant.Task) {
	if m.held == nil {
		m.held = make(map[*accountant.Task]bool)
	}
	if m.held[t] {
		return
	}
	m.held[t] = true
	m.free = m.free.Sub(t.Step.Spec.Committed())
}

// release gives up what is held for a task. It tells whether anything was.
func (m *room) release(t *accountant.Task) bool {
	if !m.held[t] {
		return false
	}
	delete(m.held, t)
	m.free = m.free.Add(t.Step.Spec.Committed())
	return true
}

// claimUnlessTurn lets an overdue task claim room unless another lasting task is about to make
// room for it.
func (r *round) claimUnlessTurn(t *accountant.Task) {
	if r.pressed() && r.now.Sub(t.WaitSince) < pressedAway+turnWait {
		r.claimed++
		return
	}
	r.claim(t)
}

// claim holds room for a task that fits nowhere on the VM that will have enough first.
func (r *round) claim(t *accountant.Task) {
	if r.claimed++; r.claimed > max(claimsAtOnce, len(r.rooms)/claimVMs) {
		return
	}
	if m := r.claimable(t); m != nil {
		m.hold(t)
		r.promised[t.Step] = true
	}
}

// claimable returns the VM on which a task lacks least of those that it may claim, or nil.
func (r *round) claimable(t *accountant.Task) (best *room) {
	least := 0.0
	for _, m := range r.rooms {
		if !r.mayClaim(t, m) {
			continue
		}
		if lack := m.lack(t.Step.Spec); best == nil || lack < least {
			best, least = m, lack
		}
	}
	return best
}

// mayClaim tells whether the tasks that end would leave a VM enough for a task. One that has
// not been at work yet waits only for what filling tasks hold: for processors it has no more
// right than urgent ones.
func (r *round) mayClaim(t *accountant.Task, m *room) bool {
	s := t.Step
	if m.vm.Slow() || t.RunsOn(m.vm) || t.Waiting(m.vm.Name, r.now) || !m.mayAdmit(s, r.countOf(s)[m.vm]) {
		return false
	}
	if !t.Ran && m.free.CPUMillis < s.Spec.Needs.CPUMillis {
		return false
	}
	return m.freeOnceEnded().Fits(s.Spec.Committed())
}

// lack is the largest share of its capacity that a VM will lack for a task once the runs
// that are being stopped are gone; below 0 it has room.
func (m *room) lack(s *specifier.Step) float64 {
	left := m.freeOnceStopped().Sub(s.Committed())
	lack := share(-left.CPUMillis, m.vm.Capacity.CPUMillis)
	lack = max(lack, share(-left.MemoryMB, m.vm.Capacity.MemoryMB))
	return max(lack, share(-left.GPUs, m.vm.Capacity.GPUs))
}

func share(n, of int64) float64 { return float64(n) / float64(max(of, 1)) }

// freeOnceStopped is what is free on a VM once the runs that are being stopped are gone.
func (m *room) freeOnceStopped() specifier.Resources {
	m.lookAhead()
	return m.free.Add(m.stopping)
}

// freeOnceEnded is what is free on a VM once all of its tasks have ended that do not last.
func (m *room) freeOnceEnded() specifier.Resources {
	m.lookAhead()
	return m.free.Add(m.stopping).Add(m.ending)
}

// lookAhead sums up what the runs of a VM will leave by themselves.
func (m *room) lookAhead() {
	if m.ahead {
		return
	}
	m.ahead = true
	for _, run := range m.vm.Runs {
		switch {
		case run.State == accountant.Stopping:
			m.stopping = m.stopping.Add(run.Step().Spec.Committed())
		case !run.Step().Spec.Lasting:
			m.ending = m.ending.Add(run.Step().Spec.Committed())
		}
	}
}
