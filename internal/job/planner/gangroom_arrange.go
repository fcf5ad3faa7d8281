package planner

import (
	"slices"

	"bamboospread/internal/job/tracker"
)

// arrangement gives the members of a gang and the runs that stop for them their places.
type arrangement struct {
	*gangSearch
	states  []*vmState // after the stops and starts that are decided
	present []*vmState // before the stops; runs that move in turn need room that is free now
	members []*tracker.VM
	stops   []GangStop
	waiting map[*tracker.Step]int                 // runs of steps with a limit that find no other VM
	joined  map[*tracker.Step]map[*tracker.VM]int // runs that move, by their destination
	steps   int
}

// arrange returns the room of the chosen options. ok is false if runs find no other VM that have to.
func (g *gangSearch) arrange() (room GangRoom, ok bool) {
	a := &arrangement{gangSearch: g, waiting: make(map[*tracker.Step]int), joined: make(map[*tracker.Step]map[*tracker.VM]int)}
	a.vacate()
	a.placeAll()
	if !a.relocate(0) {
		return GangRoom{}, false
	}
	if !g.inTurn {
		return GangRoom{Gang: g.gang, VMs: a.members, Stops: a.stops}, g.startsAfter(a.stops)
	}
	return GangRoom{Gang: g.gang, Stops: a.firstMoves()}, true
}

// vacate removes the runs of the chosen options from their VMs.
func (a *arrangement) vacate() {
	removed := make(map[*vmState][]*tracker.Run)
	for i, o := range a.chosen {
		if o != nil {
			removed[a.hosts[i].m] = o.stops
			for _, run := range o.stops {
				a.stops = append(a.stops, GangStop{Run: run})
			}
		}
	}
	for _, m := range a.vmStates {
		state := *m
		for _, run := range removed[m] {
			state.removeLongRunning(run.Step())
		}
		now := *m
		a.states, a.present = append(a.states, &state), append(a.present, &now)
	}
	// Those that must find another VM first, while there is most choice.
	slices.SortStableFunc(a.stops, func(x, y GangStop) int { return a.tolerance(x.Run) - a.tolerance(y.Run) })
}

// tolerance is 0 for a run of a step with a limit, otherwise 1.
func (a *arrangement) tolerance(run *tracker.Run) int {
	if run.Step().Spec.MaxUnavailable > 0 {
		return 0
	}
	return 1
}

// placeAll places the members, first where runs stop for them.
func (a *arrangement) placeAll() {
	for _, vacated := range []bool{true, false} {
		for i, h := range a.hosts {
			if (a.chosen[i] != nil) != vacated {
				continue
			}
			n := h.base
			if vacated {
				n = a.chosen[i].members
			}
			for n = min(n, len(a.gang.Tasks)-len(a.members)); n > 0; n-- {
				a.members = append(a.members, h.m.vm)
				state := a.states[h.index]
				state.free = state.free.Sub(a.gang.Spec.Committed())
			}
		}
	}
}

// relocate finds other VMs for the runs that stop, from the given index on.
func (a *arrangement) relocate(i int) bool {
	if a.steps++; a.steps > maxGangSearchSteps {
		return false
	}
	if i == len(a.stops) {
		return true
	}
	run := a.stops[i].Run
	s := run.Step()
	for k, to := range a.states {
		if to.vm == run.VM || to.slow || run.Task.AvoidsVM(to.vm.Name) || !a.admits(k, s) {
			continue
		}
		a.join(s, k, 1)
		a.stops[i].To = to.vm
		if a.relocate(i + 1) {
			return true
		}
		a.join(s, k, -1)
		a.stops[i].To = nil
	}
	if !a.mayWait(s) {
		return false
	}
	a.waiting[s]++
	if a.relocate(i + 1) {
		return true
	}
	a.waiting[s]--
	return false
}

// admits reports whether a VM, by its index, has room for a run of a step that moves there.
func (a *arrangement) admits(vm int, s *tracker.Step) bool {
	to := a.states[vm]
	running := a.runCounts(s)[to.vm] + a.joined[s][to.vm]
	return to.admits(s, running) && (!a.movesInTurn(s) || a.present[vm].admits(s, running))
}

func (a *arrangement) movesInTurn(s *tracker.Step) bool { return a.inTurn && s.Spec.MaxUnavailable > 0 }

// join accounts for a run that moves to a VM, by its index, or that does not after all.
func (a *arrangement) join(s *tracker.Step, vm, by int) {
	to := a.states[vm]
	if a.joined[s] == nil {
		a.joined[s] = make(map[*tracker.VM]int)
	}
	a.joined[s][to.vm] += by
	change := (*vmState).addLongRunning
	if by < 0 {
		change = (*vmState).removeLongRunning
	}
	if change(to, s); a.movesInTurn(s) {
		change(a.present[vm], s)
	}
}

// mayWait reports whether another run of a step may stop without another VM to start on. None may for a
// long-running gang, which would keep them off for good.
func (a *arrangement) mayWait(s *tracker.Step) bool {
	limit := s.Spec.MaxUnavailable
	return !a.gang.Spec.LongRunning && (limit == 0 || a.waiting[s] < limit-s.Unavailable())
}

// firstMoves returns the moves of runs of steps with a limit that may begin now, if only a part of them may
// stop at once.
func (a *arrangement) firstMoves() (first []GangStop) {
	begun := make(map[*tracker.Step]int)
	for _, stop := range a.stops {
		s := stop.Run.Step()
		if stop.To != nil && a.movesInTurn(s) && begun[s] < s.Spec.MaxUnavailable-s.Unavailable() {
			begun[s]++
			first = append(first, stop)
		}
	}
	return first
}

// startsAfter reports whether a round would start the gang once some runs have ended, and those that are
// being stopped.
func (g *gangSearch) startsAfter(stops []GangStop) bool {
	r := newRound(g.in)
	r.loadVMs()
	for _, m := range r.vmStates {
		m.free = m.freeAfterStops()
	}
	for _, stop := range stops {
		if m := r.findVM(stop.Run.VM.Name); m != nil {
			m.removeLongRunning(stop.Run.Step())
		}
	}
	return len(r.placeMembers(g.gang)) == len(g.gang.Tasks)
}
