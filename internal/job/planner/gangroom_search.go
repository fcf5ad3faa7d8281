package planner

import (
	"cmp"
	"slices"

	"bamboospread/internal/job/tracker"
)

const (
	// maxGangSearchSteps bounds a search for room. It is exact while it needs fewer steps, which is so on
	// small fleets; beyond, it returns the best that it has found.
	maxGangSearchSteps = 20_000
	// maxGangOptions bounds the sets of runs that are examined on a VM. If there are more, runs are stopped
	// in a fixed order.
	maxGangOptions = 256
)

// gangSearch searches for the long-running runs to stop so that all members of a gang find room: as few as
// possible, first those of steps that lose the smallest share of their tasks.
//
// A run that stops starts again on another VM if one has free capacity for it; otherwise it waits until
// there is some. Of a step with a limit, only so many may wait, and only so many may stop at once. If no
// arrangement can be reached at once, the search is repeated with one in which more of them move, and those
// that may stop now move first.
type gangSearch struct {
	*round
	gang     *tracker.Step
	hosts    []*gangHost
	stopping map[*tracker.Step]int // runs of steps with a limit that the chosen options stop
	inTurn   bool                  // more runs of a step may move than may stop at once
	chosen   []*gangOption         // by host
	steps    int
	best     GangRoom
	bestCost float64
	found    bool
}

// gangHost is a VM that may run members of the gang.
type gangHost struct {
	m       *vmState
	index   int           // of the VM among those of the round
	base    int           // members that it can hold as it is
	options []*gangOption // the most members per cost first
	// Over this host and those that are searched after it:
	mostGained    int     // members that they can hold beyond base
	leastUnitCost float64 // of a member beyond base
}

// gangOption is a set of runs that may be stopped on a VM.
type gangOption struct {
	stops   []*tracker.Run
	members int // that the VM can hold then
	gained  int // beyond what it can hold as it is
	cost    float64
}

// searchGangRoom returns the room that long-running tasks can make for a gang, and whether there is some,
// at once or after moves. Without stops, the runs that are being stopped already leave enough.
func (r *round) searchGangRoom(s *tracker.Step) (GangRoom, bool) {
	for _, inTurn := range []bool{false, true} {
		g := &gangSearch{round: r, gang: s, stopping: make(map[*tracker.Step]int), inTurn: inTurn}
		missing := len(s.Tasks)
		for i, m := range r.vmStates {
			if h := g.newHost(m); h != nil {
				h.index = i
				g.hosts = append(g.hosts, h)
				missing -= h.base
			}
		}
		g.orderHosts()
		g.chosen = make([]*gangOption, len(g.hosts))
		g.search(0, missing, 0)
		if g.found {
			return g.best, true
		}
	}
	return GangRoom{Gang: s}, false
}

// newHost returns what a VM offers to the gang, or nil if that is nothing.
func (g *gangSearch) newHost(m *vmState) *gangHost {
	if !m.eligible(g.gang, g.runCounts(g.gang)[m.vm]) {
		return nil
	}
	h := &gangHost{m: m, base: g.membersOn(m, nil)}
	for _, stops := range sets(g.stoppableBySteps(m)) {
		o := &gangOption{stops: stops, members: g.membersOn(m, stops)}
		for _, run := range stops {
			o.cost += 1 + 1/float64(len(run.Step().Tasks))
		}
		if o.gained = o.members - h.base; o.gained > 0 {
			h.options = append(h.options, o)
		}
	}
	h.options = withoutDominated(h.options)
	slices.SortStableFunc(h.options, func(a, b *gangOption) int { return cmp.Compare(a.unitCost(), b.unitCost()) })
	if h.base == 0 && len(h.options) == 0 {
		return nil
	}
	return h
}

func (o *gangOption) unitCost() float64 { return o.cost / float64(o.gained) }

// membersOn returns how many members a VM can hold once some runs there have ended, and those that are being
// stopped.
func (g *gangSearch) membersOn(m *vmState, stops []*tracker.Run) (n int) {
	left := g.without(m, stops)
	for running := g.runCounts(g.gang)[m.vm]; n < len(g.gang.Tasks) && left.admits(g.gang, running+n); n++ {
		left.free = left.free.Sub(g.gang.Spec.Committed())
		left.placed++
	}
	return n
}

// without returns the state of a VM once some runs there have ended, and those that are being stopped.
func (g *gangSearch) without(m *vmState, stops []*tracker.Run) vmState {
	left := *m
	left.free = m.freeAfterStops()
	for _, run := range stops {
		left.removeLongRunning(run.Step())
	}
	return left
}

// stoppableBySteps returns the long-running runs of a VM that may stop for the gang, by their steps.
func (g *gangSearch) stoppableBySteps(m *vmState) (all [][]*tracker.Run) {
	index := make(map[*tracker.Step]int)
	for _, run := range longRunningRuns(m.vm) {
		s := run.Step()
		if s == g.gang || !g.mayYield(run) {
			continue
		}
		i, known := index[s]
		if !known {
			i, index[s] = len(all), len(all)
			all = append(all, nil)
		}
		all[i] = append(all[i], run)
	}
	return all
}

// sets returns the sets of runs to consider. Runs of a step are alike, so of each step the first ones stop.
func sets(bySteps [][]*tracker.Run) [][]*tracker.Run {
	found, product := [][]*tracker.Run{nil}, 1
	for _, runs := range bySteps {
		product = min(product*(len(runs)+1), maxGangOptions+1)
	}
	if product > maxGangOptions {
		all := slices.Concat(bySteps...)
		for n := range all {
			found = append(found, all[:n+1])
		}
		return found
	}
	for _, runs := range bySteps {
		for _, others := range found {
			for n := range runs {
				found = append(found, slices.Concat(others, runs[:n+1]))
			}
		}
	}
	return found
}

// withoutDominated removes the options that stop more than another one that holds as many members.
func withoutDominated(options []*gangOption) (kept []*gangOption) {
	slices.SortStableFunc(options, func(a, b *gangOption) int { return cmp.Compare(len(a.stops), len(b.stops)) })
	for _, o := range options {
		if !slices.ContainsFunc(kept, func(k *gangOption) bool { return k.members >= o.members && containsAll(o.stops, k.stops) }) {
			kept = append(kept, o)
		}
	}
	return kept
}

func containsAll(runs, part []*tracker.Run) bool {
	return !slices.ContainsFunc(part, func(run *tracker.Run) bool { return !slices.Contains(runs, run) })
}

// orderHosts sorts the VMs so that those that offer members at the least cost come first.
func (g *gangSearch) orderHosts() {
	slices.SortStableFunc(g.hosts, func(a, b *gangHost) int { return cmp.Compare(a.unitCost(), b.unitCost()) })
	gained, unitCost := 0, maxUnitCost
	for _, h := range slices.Backward(g.hosts) {
		most := 0
		for _, o := range h.options {
			most = max(most, o.gained)
		}
		gained, unitCost = gained+most, min(unitCost, h.unitCost())
		h.mostGained, h.leastUnitCost = gained, unitCost
	}
}

// maxUnitCost is higher than the cost of any member.
const maxUnitCost = 1e9

func (h *gangHost) unitCost() float64 {
	if len(h.options) == 0 {
		return maxUnitCost
	}
	return h.options[0].unitCost()
}

// search chooses options for the VMs from the given index on, which still have to hold so many members
// more than they can as they are.
func (g *gangSearch) search(i, missing int, cost float64) {
	if g.steps++; g.steps > maxGangSearchSteps || g.found && cost >= g.bestCost {
		return
	}
	if missing <= 0 {
		if room, ok := g.arrange(); ok {
			g.best, g.bestCost, g.found = room, cost, true
		}
		return
	}
	if i == len(g.hosts) || missing > g.hosts[i].mostGained || g.found && cost+float64(missing)*g.hosts[i].leastUnitCost >= g.bestCost {
		return
	}
	for _, o := range g.hosts[i].options {
		if g.choose(i, o) {
			g.search(i+1, missing-o.gained, cost+o.cost)
			g.unchoose(i)
		}
	}
	g.search(i+1, missing, cost)
}

// choose chooses an option for a VM. It reports whether the limits of steps allow it.
func (g *gangSearch) choose(i int, o *gangOption) bool {
	g.chosen[i] = o
	within := true
	for _, run := range o.stops {
		s := run.Step()
		g.stopping[s]++
		within = within && (g.inTurn || s.Spec.MaxUnavailable == 0 || g.stopping[s] <= s.Spec.MaxUnavailable-s.Unavailable())
	}
	if !within {
		g.unchoose(i)
	}
	return within
}

func (g *gangSearch) unchoose(i int) {
	for _, run := range g.chosen[i].stops {
		g.stopping[run.Step()]--
	}
	g.chosen[i] = nil
}
