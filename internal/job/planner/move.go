package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bamboospread/internal/job/tracker"
)

// Limits of moves of long-running tasks. Moves cover a load of best-effort tasks that wait
// while processors are idle, because each VM has some long-running task that they would
// interfere with: nothing was known of the images when the long-running tasks were placed.
const (
	// minMoveGain is how many thousandths of a core best-effort tasks must gain for each
	// long-running task that moves: the task is unavailable to its users for some 2 s.
	minMoveGain = 2500.0
	// minRunTime is how long a long-running task must have run before it moves.
	minRunTime = 6 * time.Second
	// maxMoving is how many long-running tasks may be unavailable at once by one move. If
	// maxMovingShare of all long-running tasks is more, that many may be unavailable by
	// concurrent moves: rearranged one move at a time, a large fleet would take minutes while
	// its best-effort tasks wait.
	maxMoving      = 6
	maxMovingShare = 0.03
	// minBlockedTime is how long a step must wait before long-running tasks move for it: a
	// shorter wait ends by itself.
	minBlockedTime = time.Second
	// maxVMsExamined bounds the VMs for which a round examines moves, and maxPairsExamined
	// their pairs with other VMs in total, so that a round costs about the same on any fleet.
	maxVMsExamined   = 12
	maxPairsExamined = 320
	// moveTimeout is how long after the end of its hold a moving task still keeps others from
	// moving.
	moveTimeout = 3 * time.Second
	// moveHold is how long capacity on the destination VM is held for a moving task after its
	// run has ended.
	moveHold = 1500 * time.Millisecond
)

// Move is a long-running run that should be stopped and started again on another VM.
type Move struct {
	Run  *tracker.Run
	To   *tracker.VM
	For  *tracker.Step // step that gets the capacity; nil if best-effort tasks do
	Gain float64       // thousandths of a core gained by best-effort tasks, per run of the move
}

// Relocation returns the record of the move to store in its task.
func (m Move) Relocation(now time.Time) tracker.Relocation {
	return tracker.Relocation{From: m.Run.VM.Name, To: m.To.Name, For: m.For, Hold: moveHold, Until: now.Add(moveHold)}
}

// group holds the long-running runs of one image on a VM. They move together: any one that
// stayed would block the same best-effort images.
type group struct {
	host      *vmState
	image     string // empty if there is no run
	runs      []*tracker.Run
	cpu       int64     // reserved by the runs, in thousandths of a core
	remaining []float64 // share of the VM's idle processors usable by each best-effort image without the group
}

// mover searches for the exchange of long-running tasks that gains most for best-effort tasks.
type mover struct {
	*round
	model              *demandModel
	usableNow          map[*vmState][]float64 // usable by each best-effort image at present
	idle               map[*vmState]float64   // thousandths of a core
	groups             map[*vmState][]group
	moves              []Move    // the best found so far
	limit              int       // long-running tasks that may move
	scratchA, scratchB []float64 // usable on the two VMs of the exchange under evaluation
}

// Moves returns the long-running runs to move now: either one that frees capacity for a
// long-running task that fits on no VM, or all of one image from a VM to another, possibly in
// exchange for all of one image from there.
func Moves(in Input) []Move {
	ongoing := findMovesInProgress(in)
	if ongoing.unavailable >= ongoing.limit || ongoing.unavailable > 0 && ongoing.limit == maxMoving {
		return nil
	}
	in.Cache = nil // moves are rare and must be based on the present state
	r := newRound(in)
	r.loadVMs()
	r.placeOverdue(in.State.WaitingSteps(in.Now)) // capacity that these get or wait for is not available to moves
	if moves := r.moveForLongRunning(ongoing); len(moves) > 0 {
		return moves
	}
	if r.reservationsRequested > 0 || !r.bestEffortBlocked() {
		return nil
	}
	m := newMover(r)
	m.limit = ongoing.limit - ongoing.unavailable
	seen := make(map[*vmState]bool)
	for _, a := range m.mostBlockedVMs(ongoing) {
		seen[a] = true
		for _, b := range r.vmStates {
			if !seen[b] && !ongoing.vms[b.vm.Name] {
				m.evaluatePair(a, b)
			}
		}
	}
	return m.moves
}

func newMover(r *round) *mover {
	m := &mover{round: r, model: r.demandModel(), usableNow: make(map[*vmState][]float64), idle: make(map[*vmState]float64), groups: make(map[*vmState][]group)}
	m.scratchA, m.scratchB = make([]float64, len(m.model.images)), make([]float64, len(m.model.images))
	for _, host := range r.vmStates {
		m.usableNow[host], m.idle[host] = m.model.usable(host), host.idle()
		m.groups[host] = m.movableGroups(host)
	}
	return m
}

// mostBlockedVMs returns the VMs with the most idle processors that best-effort images have
// demand for but may not use. Their number is limited, so that a round costs about the same on
// any fleet.
func (m *mover) mostBlockedVMs(ongoing movesInProgress) []*vmState {
	blockedIdle := make(map[*vmState]float64, len(m.vmStates))
	var vmStates []*vmState
	for _, host := range m.vmStates {
		if ongoing.vms[host.vm.Name] {
			continue
		}
		vmStates = append(vmStates, host)
		idle := host.idle()
		for i, usable := range m.usableNow[host] {
			blockedIdle[host] += m.model.needs[i] * (idle - usable)
		}
	}
	slices.SortStableFunc(vmStates, func(a, b *vmState) int { return cmp.Compare(blockedIdle[b], blockedIdle[a]) })
	limit := min(maxVMsExamined, max(maxPairsExamined/max(len(vmStates), 1), 1))
	return vmStates[:min(len(vmStates), limit)]
}

// evaluatePair evaluates all exchanges between two VMs.
func (m *mover) evaluatePair(a, b *vmState) {
	for _, g := range m.groups[a] {
		for _, h := range m.groups[b] {
			if g.image != h.image {
				m.evaluateExchange(g, h)
			}
		}
	}
}

// movableGroups returns the groups of a VM that may move, and an empty one.
func (m *mover) movableGroups(host *vmState) []group {
	groups := []group{{host: host, remaining: m.usableWithout(host, "")}}
	for _, image := range slices.Sorted(maps.Keys(host.imageCounts())) {
		g := group{host: host, image: image, runs: longRunningRunsOf(host.vm, image), remaining: m.usableWithout(host, image)}
		for _, run := range g.runs {
			g.cpu += run.Step().Spec.Needs.CPUMillis
		}
		if !slices.ContainsFunc(g.runs, func(run *tracker.Run) bool { return !m.mayMove(run) }) {
			groups = append(groups, g)
		}
	}
	return groups
}

// evaluateExchange makes the exchange of two groups the best move found so far if its gain is
// larger.
func (m *mover) evaluateExchange(g, h group) {
	count := len(g.runs) + len(h.runs)
	if count == 0 || count > min(maxMoving, m.limit) {
		return
	}
	gain := m.gain(g, h) / float64(count)
	if gain < minMoveGain || len(m.moves) > 0 && gain <= m.moves[0].Gain {
		return
	}
	if !withinMaxUnavailable(g.runs, h.runs) || !fits(g, h) || !fits(h, g) {
		return
	}
	m.moves = nil
	for _, run := range g.runs {
		m.moves = append(m.moves, Move{Run: run, To: h.host.vm, Gain: gain})
	}
	for _, run := range h.runs {
		m.moves = append(m.moves, Move{Run: run, To: g.host.vm, Gain: gain})
	}
}

// gain returns how many thousandths of a core best-effort images would gain by an exchange.
func (m *mover) gain(g, h group) float64 {
	m.usableAfter(m.scratchA, g, h)
	m.usableAfter(m.scratchB, h, g)
	for i := range m.scratchA { // total of the fleet, in place
		m.scratchA[i] += m.fleetUsable[i] + m.scratchB[i] - m.usableNow[g.host][i] - m.usableNow[h.host][i]
	}
	return m.model.served(m.scratchA) - m.fleetServed
}

// usableWithout returns the share of a VM's idle processors that each best-effort image may
// use next to all long-running images there except one.
func (m *mover) usableWithout(host *vmState, without string) []float64 {
	remaining := make([]float64, len(m.model.images))
	for i := range remaining {
		remaining[i] = 1
	}
	for image := range host.imageCounts() {
		if image == without {
			continue
		}
		for i, share := range m.model.sharesNextTo(image) {
			remaining[i] *= share
		}
	}
	return remaining
}

// usableAfter computes the processors usable on the VM of a group that leaves once another
// group has arrived.
func (m *mover) usableAfter(usable []float64, leaving, arriving group) {
	idle := m.idle[leaving.host] + float64(leaving.cpu-arriving.cpu)*longRunningUtilization
	if arriving.image == "" || leaving.host.imageCounts()[arriving.image] > 0 {
		for i, remaining := range leaving.remaining {
			usable[i] = idle * remaining
		}
		return
	}
	shares := m.model.sharesNextTo(arriving.image)
	for i, remaining := range leaving.remaining {
		usable[i] = idle * remaining * shares[i]
	}
}

// fits reports whether a group may run on the VM of another group that leaves it.
func fits(arriving, leaving group) bool {
	to := *leaving.host
	for _, run := range leaving.runs {
		to.removeLongRunning(run.Step())
	}
	joined := make(map[*tracker.Step]int)
	for _, run := range arriving.runs {
		s := run.Step()
		if to.vm.Slow() || run.Task.AvoidedVMs[to.vm.Name] || !to.admits(s, runsPerVM(s)[to.vm]+joined[s]) {
			return false
		}
		to.addLongRunning(s)
		joined[s]++
	}
	return true
}

// withinMaxUnavailable reports whether the runs can stop together without more tasks of any step
// becoming unavailable than its limit allows. Tasks that are unavailable already are not
// counted: mayMove excludes the runs of their steps.
func withinMaxUnavailable(lists ...[]*tracker.Run) bool {
	moving := make(map[*tracker.Step]int)
	for _, runs := range lists {
		for _, run := range runs {
			s := run.Step()
			if moving[s]++; s.Spec.MaxUnavailable > 0 && moving[s] > s.Spec.MaxUnavailable {
				return false
			}
		}
	}
	return true
}

// bestEffortBlocked reports whether best-effort tasks have waited too long.
func (r *round) bestEffortBlocked() bool {
	for _, s := range r.in.State.WaitingSteps(r.now) {
		if s.Spec.BestEffort && !s.Spec.LongRunning && r.now.Sub(s.ReadyAt) > minBlockedTime {
			return true
		}
	}
	return false
}

// movesInProgress describes the moves that have not been completed.
type movesInProgress struct {
	unavailable, limit int                    // long-running tasks that are unavailable by moves, and the maximum
	vms                map[string]bool        // VMs that take part
	steps              map[*tracker.Step]bool // steps that get the capacity
}

// findMovesInProgress returns the moves whose tasks are not running yet. A task that waits for
// capacity for long does not block other moves.
func findMovesInProgress(in Input) movesInProgress {
	ongoing := movesInProgress{vms: make(map[string]bool), steps: make(map[*tracker.Step]bool)}
	all := 0
	for _, s := range in.State.OpenSteps() {
		if !s.Spec.LongRunning {
			continue
		}
		all += len(s.Tasks)
		for _, t := range s.Tasks {
			if t.Relocation.To == "" || !in.Now.Before(t.Relocation.Until.Add(moveTimeout)) || !t.Unavailable() {
				continue
			}
			ongoing.unavailable++
			ongoing.vms[t.Relocation.From], ongoing.vms[t.Relocation.To] = true, true
			if t.Relocation.For != nil {
				ongoing.steps[t.Relocation.For] = true
			}
		}
	}
	ongoing.limit = max(maxMoving, int(maxMovingShare*float64(all)))
	return ongoing
}

// longRunningRunsOf returns the long-running runs of an image on a VM.
func longRunningRunsOf(vm *tracker.VM, image string) []*tracker.Run {
	return slices.DeleteFunc(longRunningRuns(vm), func(run *tracker.Run) bool { return run.Step().Spec.Image != image })
}

// longRunningRuns returns the long-running runs of a VM, sorted by key.
func longRunningRuns(vm *tracker.VM) []*tracker.Run {
	var runs []*tracker.Run
	for _, run := range vm.Runs {
		if run.Step().Spec.LongRunning && run.State != tracker.Stopping {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b *tracker.Run) int {
		if a.Key().Less(b.Key()) {
			return -1
		}
		return 1
	})
	return runs
}

// mayMove reports whether a long-running run has been running long enough, and whether its
// step's limit of unavailable tasks allows it to stop.
func (r *round) mayMove(run *tracker.Run) bool { return r.mayStop(run) && r.hasRunLong(run) }

// mayYield reports the same for a run that makes way for other tasks. One that an earlier owner
// started counts as long: the tasks that wait for it have waited since before the change of owner.
func (r *round) mayYield(run *tracker.Run) bool {
	return r.mayStop(run) && (run.Inherited || r.hasRunLong(run))
}

func (r *round) mayStop(run *tracker.Run) bool {
	if s := run.Step(); s.Spec.MaxUnavailable > 0 && s.Unavailable() > 0 {
		return false
	}
	return run.State == tracker.Running && run.Progress >= paceFull && !run.Step().Spec.Gang
}

func (r *round) hasRunLong(run *tracker.Run) bool { return r.now.Sub(run.StartedAt) >= minRunTime }
