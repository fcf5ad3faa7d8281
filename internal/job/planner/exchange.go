package planner

import (
	"cmp"
	"maps"
	"slices"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// maxPairsExamined bounds the pairs of VMs for which a round examines exchanges, so that a round
// on a large fleet does not delay starts. The VMs with most to gain come first.
const maxPairsExamined = 13_000

// group holds the long-running runs of one image on a VM. They move together: any one that
// stayed would block the same best-effort images.
type group struct {
	host      *vmState
	image     string // empty if there is no run
	index     int    // of the image, see value
	runs      []*tracker.Run
	cpu       int64               // reserved by the runs, in thousandths of a core
	committed specifier.Resources // by the runs
	remaining []float64           // share of the VM's idle processors usable by each best-effort image without the group
	idle      float64             // thousandths of a core that are idle on the VM without the group
	// value is what a thousandth of a core that is idle on the VM is worth once the group has
	// left and runs of another image, by its index, have arrived. The last element is without
	// arrival.
	value []float64
}

// exchange is the move of a group to the VM of another one, and of that one in return. Either may
// be empty.
type exchange struct {
	a, b *group
	gain float64 // thousandths of a core gained by best-effort tasks, per run; not less than the exact gain
}

func (e exchange) count() int { return len(e.a.runs) + len(e.b.runs) }

// exchangeSearch searches for the exchanges of long-running tasks that gain most for best-effort
// tasks, by the effects that are known: a task must not stop for a guess.
//
// The demand that is served is a concave function of the usable processors. Its tangent bounds
// the gain of an exchange from above, and is a sum over the two VMs of terms that depend on one
// group and the image that arrives in its place only. So all pairs of groups can be compared at
// the cost of a table, and the exact gain is computed for the best of them.
type exchangeSearch struct {
	*round
	model              *demandModel
	ongoing            movesInProgress
	images             map[string]int // index of each long-running image
	fleetUsable        []float64      // by each best-effort image, after the exchanges found so far
	fleetServed        float64        // best-effort demand served by it
	weights            []float64      // demand served by another thousandth of a core, by best-effort image
	usableNow          map[*vmState][]float64
	valueNow           map[*vmState]float64
	groups             map[*vmState][]*group
	scratchA, scratchB []float64
}

func newExchangeSearch(r *round, ongoing movesInProgress) *exchangeSearch {
	x := &exchangeSearch{round: r, model: r.demandModel().byKnownEffects(), ongoing: ongoing, images: make(map[string]int), usableNow: make(map[*vmState][]float64), valueNow: make(map[*vmState]float64), groups: make(map[*vmState][]*group)}
	x.scratchA, x.scratchB = make([]float64, len(x.model.images)), make([]float64, len(x.model.images))
	x.fleetUsable = make([]float64, len(x.model.images))
	for _, host := range r.vmStates {
		x.usableNow[host] = x.model.usable(host)
		addScaled(x.fleetUsable, x.usableNow[host], 1)
		for image := range host.imageCounts() {
			if _, known := x.images[image]; !known {
				x.images[image] = len(x.images)
			}
		}
	}
	x.fleetServed = x.model.served(x.fleetUsable)
	x.weights = x.model.marginal(x.fleetUsable)
	for _, host := range r.vmStates {
		x.valueNow[host] = dot(x.weights, x.usableNow[host])
		x.groups[host] = x.movableGroups(host)
	}
	return x
}

// findMoves returns the moves of exchanges without a VM in common, the best first, as many as may
// be unavailable at once.
func (x *exchangeSearch) findMoves() (moves []Move) {
	found := x.findExchanges()
	slices.SortFunc(found, func(e, f exchange) int { return cmp.Compare(f.gain, e.gain) })
	taken := make(map[*vmState]bool)
	var stopping []*tracker.Run
	for _, e := range found {
		if x.ongoing.limit == maxMoving && len(moves) > 0 {
			break // a small fleet makes one exchange at a time
		}
		a, b := e.a.host, e.b.host
		if taken[a] || taken[b] || x.ongoing.unavailable+len(stopping)+e.count() > x.ongoing.limit {
			continue
		}
		gain := x.exactGain(e.a, e.b) / float64(e.count())
		if gain < minMoveGain || !withinMaxUnavailable(stopping, e.a.runs, e.b.runs) || !fits(e.a, e.b) || !fits(e.b, e.a) {
			continue
		}
		taken[a], taken[b] = true, true
		stopping = slices.Concat(stopping, e.a.runs, e.b.runs)
		x.accept(e)
		for _, run := range e.a.runs {
			moves = append(moves, Move{Run: run, To: b.vm, Gain: gain})
		}
		for _, run := range e.b.runs {
			moves = append(moves, Move{Run: run, To: a.vm, Gain: gain})
		}
	}
	return moves
}

// findExchanges returns the best exchange of each pair of VMs that gains enough.
func (x *exchangeSearch) findExchanges() (found []exchange) {
	seen := make(map[*vmState]bool)
	for _, a := range x.mostBlockedVMs() {
		seen[a] = true
		for _, b := range x.vmStates {
			if seen[b] || x.ongoing.vms[b.vm.Name] {
				continue
			}
			if best := x.bestExchange(a, b); best.gain >= minMoveGain {
				found = append(found, best)
			}
		}
	}
	return found
}

// bestExchange returns the exchange between two VMs that gains most per run.
func (x *exchangeSearch) bestExchange(a, b *vmState) (best exchange) {
	now := x.valueNow[a] + x.valueNow[b]
	for _, g := range x.groups[a] {
		for _, h := range x.groups[b] {
			gain := valueAfter(g, h) + valueAfter(h, g) - now
			if count := len(g.runs) + len(h.runs); gain > best.gain*float64(count) && count <= maxMoving && g.index != h.index && hasCapacity(g, h) && hasCapacity(h, g) {
				best = exchange{g, h, gain / float64(count)}
			}
		}
	}
	return best
}

// mostBlockedVMs returns the VMs with the most idle processors that best-effort images have
// demand for but may not use.
func (x *exchangeSearch) mostBlockedVMs() []*vmState {
	blockedIdle := make(map[*vmState]float64, len(x.vmStates))
	var hosts []*vmState
	for _, host := range x.vmStates {
		if x.ongoing.vms[host.vm.Name] {
			continue
		}
		hosts = append(hosts, host)
		idle := host.idle()
		for i, usable := range x.usableNow[host] {
			blockedIdle[host] += x.model.needs[i] * (idle - usable)
		}
	}
	slices.SortStableFunc(hosts, func(a, b *vmState) int { return cmp.Compare(blockedIdle[b], blockedIdle[a]) })
	return hosts[:min(len(hosts), max(maxPairsExamined/max(len(hosts), 1), 1))]
}

// movableGroups returns the groups of a VM that may move, and an empty one.
func (x *exchangeSearch) movableGroups(host *vmState) []*group {
	groups := []*group{x.newGroup(host, "")}
	for _, image := range slices.Sorted(maps.Keys(host.imageCounts())) {
		runs := longRunningRunsOf(host.vm, image)
		if len(runs) > 0 && !slices.ContainsFunc(runs, func(run *tracker.Run) bool { return !x.mayMove(run) }) {
			groups = append(groups, x.newGroup(host, image, runs...))
		}
	}
	return groups
}

func (x *exchangeSearch) newGroup(host *vmState, image string, runs ...*tracker.Run) *group {
	g := &group{host: host, image: image, index: len(x.images), runs: runs, remaining: x.model.sharesWithout(host, image), value: make([]float64, len(x.images)+1)}
	if image != "" {
		g.index = x.images[image]
	}
	for _, run := range runs {
		g.cpu += run.Step().Spec.Needs.CPUMillis
		g.committed = g.committed.Add(run.Step().Spec.Committed())
	}
	g.idle = host.idle() + float64(g.cpu)*longRunningUtilization
	alone := dot(x.weights, g.remaining)
	g.value[len(x.images)] = alone
	for arriving, i := range x.images {
		if arriving == image || host.imageCounts()[arriving] > 0 {
			g.value[i] = alone
			continue
		}
		for k, share := range x.model.sharesNextTo(arriving) {
			g.value[i] += x.weights[k] * g.remaining[k] * share
		}
	}
	return g
}

// idleAfter is how many thousandths of a core are idle on the VM of a group once it has left and
// another one has arrived.
func idleAfter(leaving, arriving *group) float64 {
	return leaving.idle - float64(arriving.cpu)*longRunningUtilization
}

// valueAfter is what the idle processors of the VM of a group are worth once it has left and
// another one has arrived.
func valueAfter(leaving, arriving *group) float64 {
	return idleAfter(leaving, arriving) * leaving.value[arriving.index]
}

// exactGain returns how many thousandths of a core best-effort images would gain by an exchange.
func (x *exchangeSearch) exactGain(g, h *group) float64 {
	return x.model.served(x.usableAfterExchange(g, h)) - x.fleetServed
}

// accept accounts for an exchange in the usable processors of the fleet.
func (x *exchangeSearch) accept(e exchange) {
	x.fleetUsable = slices.Clone(x.usableAfterExchange(e.a, e.b))
	x.fleetServed = x.model.served(x.fleetUsable)
}

// usableAfterExchange returns the processors of the fleet usable by each best-effort image after
// an exchange. The result is valid until the next call.
func (x *exchangeSearch) usableAfterExchange(g, h *group) []float64 {
	x.usableAfter(x.scratchA, g, h)
	x.usableAfter(x.scratchB, h, g)
	for i := range x.scratchA {
		x.scratchA[i] += x.fleetUsable[i] + x.scratchB[i] - x.usableNow[g.host][i] - x.usableNow[h.host][i]
	}
	return x.scratchA
}

// usableAfter computes the processors usable on the VM of a group that leaves once another
// group has arrived.
func (x *exchangeSearch) usableAfter(usable []float64, leaving, arriving *group) {
	idle := idleAfter(leaving, arriving)
	joins := arriving.image != "" && leaving.host.imageCounts()[arriving.image] == 0
	for i, remaining := range leaving.remaining {
		if usable[i] = idle * remaining; joins {
			usable[i] *= x.model.sharesNextTo(arriving.image)[i]
		}
	}
}

// hasCapacity reports whether the VM of a group that leaves has enough free capacity for another
// group.
func hasCapacity(leaving, arriving *group) bool {
	return leaving.host.free.Add(leaving.committed).Fits(arriving.committed)
}

// fits reports whether a group may run on the VM of another group that leaves it.
func fits(arriving, leaving *group) bool {
	to := *leaving.host
	for _, run := range leaving.runs {
		to.removeLongRunning(run.Step())
	}
	joined := make(map[*tracker.Step]int)
	for _, run := range arriving.runs {
		s := run.Step()
		if to.slow || run.Task.AvoidsVM(to.vm.Name) || !to.admits(s, runsPerVM(s)[to.vm]+joined[s]) {
			return false
		}
		to.addLongRunning(s)
		joined[s]++
	}
	return true
}
