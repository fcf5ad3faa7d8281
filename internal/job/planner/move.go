package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bamboospread/internal/job/accountant"
)

// Limits of moves of lasting tasks. They answer a load of filling tasks that wait while
// processors stand idle, because each VM holds some lasting task that they would
// disturb: nothing was known of the images when the lasting tasks were placed.
const (
	// moveGain is how many thousandths of a core more each lasting task that moves must
	// give to filling tasks: it is away for some 2 s, and its users with it.
	moveGain = 2500.0
	// moveRest is how long a lasting task must have run before it moves.
	moveRest = 6 * time.Second
	// movesMost is how many lasting tasks may be away at once by one move. Where movesShare
	// of all of them is more, so many may be away by moves beside each other: a large fleet
	// would take minutes to arrange itself one move at a time, and its filling tasks wait
	// meanwhile.
	movesMost  = 6
	movesShare = 0.03
	// blockedFor is how long a filling step must wait before lasting tasks move for it:
	// a shorter wait ends by itself.
	blockedFor = time.Second
	// closedLooked is how many VMs a round tries to open at most, and pairsLooked with how many
	// others all together, so that a round costs about the same on any fleet.
	closedLooked = 12
	pairsLooked  = 320
	// moveLimit is how long after its hold a task that moves is waited for before others
	// may move.
	moveLimit = 3 * time.Second
	// MoveHold is how long after its end a task that moves waits for room on the VM that it
	// moves to.
	MoveHold = 1500 * time.Millisecond
)

// Move is a lasting run that should start anew on another VM.
type Move struct {
	Run  *accountant.Run
	To   *accountant.VM
	For  *accountant.Step // that gets the room; nil: filling tasks do
	Gain float64          // thousandths of a core given to filling tasks, for each run that moves now
}

// Moving returns what is noted of the task of a move.
func (m Move) Moving(now time.Time) accountant.Moving {
	return accountant.Moving{From: m.Run.VM.Name, To: m.To.Name, For: m.For, Hold: MoveHold, Until: now.Add(MoveHold)}
}

// group is the lasting runs of one image on a VM. They leave together: one that stays
// keeps out the same filling images.
type group struct {
	room  *room
	image string // empty: no run
	runs  []*accountant.Run
	cpu   int64     // that the runs set aside, in thousandths of a core
	rest  []float64 // share of the VM's idle processors open to each filling image without it
}

// mover looks for the change of places that gives filling tasks most.
type mover struct {
	*round
	offer  *outlook
	opened map[*room][]float64 // open to each filling image as things are
	idle   map[*room]float64   // thousandths of a core
	groups map[*room][]group
	moves  []Move    // the best found so far
	most   int       // lasting tasks that may move
	a, b   []float64 // open on the two VMs of an exchange that is weighed
}

// Moves returns the lasting runs to move now: one that makes room for a lasting task that
// finds none, or all of one image from a VM to another, against all of one image from
// there or against none.
func Moves(in Input) []Move {
	on := underway(in)
	if on.away >= on.most || on.away > 0 && on.most == movesMost {
		return nil
	}
	in.Memory = nil // moves are few and must rest on what is true now
	r := newRound(in)
	r.openRooms()
	r.placeOverdue(in.State.WaitingSteps(in.Now)) // what they get or wait for is no room to move to
	if moves := r.roomForLasting(on); len(moves) > 0 {
		return moves
	}
	if r.claimed > 0 || !r.fillsBlocked() {
		return nil
	}
	m := newMover(r)
	m.most = on.most - on.away
	seen := make(map[*room]bool)
	for _, a := range m.closedMost(on) {
		seen[a] = true
		for _, b := range r.rooms {
			if !seen[b] && !on.vms[b.vm.Name] {
				m.compare(a, b)
			}
		}
	}
	return m.moves
}

func newMover(r *round) *mover {
	m := &mover{round: r, offer: r.outlook(), opened: make(map[*room][]float64), idle: make(map[*room]float64), groups: make(map[*room][]group)}
	m.a, m.b = make([]float64, len(m.offer.fills)), make([]float64, len(m.offer.fills))
	for _, room := range r.rooms {
		m.opened[room], m.idle[room] = m.offer.open(room), room.idle()
		m.groups[room] = m.groupsOf(room)
	}
	return m
}

// closedMost returns the VMs that keep most idle processors from the filling images that
// want them, so that a round costs about the same on any fleet.
func (m *mover) closedMost(on motion) []*room {
	closed := make(map[*room]float64, len(m.rooms))
	var rooms []*room
	for _, room := range m.rooms {
		if on.vms[room.vm.Name] {
			continue
		}
		rooms = append(rooms, room)
		idle := room.idle()
		for i, open := range m.opened[room] {
			closed[room] += m.offer.needs[i] * (idle - open)
		}
	}
	slices.SortStableFunc(rooms, func(a, b *room) int { return cmp.Compare(closed[b], closed[a]) })
	most := min(closedLooked, max(pairsLooked/max(len(rooms), 1), 1))
	return rooms[:min(len(rooms), most)]
}

// compare looks at all exchanges between two VMs.
func (m *mover) compare(a, b *room) {
	for _, g := range m.groups[a] {
		for _, h := range m.groups[b] {
			if g.image != h.image {
				m.exchange(g, h)
			}
		}
	}
}

// groupsOf returns the groups of a VM that may move, and an empty one.
func (m *mover) groupsOf(r *room) []group {
	groups := []group{{room: r, rest: m.restOf(r, "")}}
	for _, image := range slices.Sorted(maps.Keys(r.company())) {
		g := group{room: r, image: image, runs: runsOf(r.vm, image), rest: m.restOf(r, image)}
		for _, run := range g.runs {
			g.cpu += run.Step().Spec.Needs.CPUMillis
		}
		if !slices.ContainsFunc(g.runs, func(run *accountant.Run) bool { return !m.mayMove(run) }) {
			groups = append(groups, g)
		}
	}
	return groups
}

// exchange takes two groups changing places for the best found so far if it is better.
func (m *mover) exchange(g, h group) {
	count := len(g.runs) + len(h.runs)
	if count == 0 || count > min(movesMost, m.most) {
		return
	}
	gain := m.gain(g, h) / float64(count)
	if gain < moveGain || len(m.moves) > 0 && gain <= m.moves[0].Gain {
		return
	}
	if !apart(g.runs, h.runs) || !fits(g, h) || !fits(h, g) {
		return
	}
	m.moves = nil
	for _, run := range g.runs {
		m.moves = append(m.moves, Move{Run: run, To: h.room.vm, Gain: gain})
	}
	for _, run := range h.runs {
		m.moves = append(m.moves, Move{Run: run, To: g.room.vm, Gain: gain})
	}
}

// gain is how many thousandths of a core more filling images would get.
func (m *mover) gain(g, h group) float64 {
	m.openAfter(m.a, g, h)
	m.openAfter(m.b, h, g)
	for i := range m.a { // of the whole fleet, in place
		m.a[i] += m.all[i] + m.b[i] - m.opened[g.room][i] - m.opened[h.room][i]
	}
	return m.offer.served(m.a) - m.base
}

// restOf returns what share of a VM's idle processors is open to each filling image beside
// all lasting images on it but one.
func (m *mover) restOf(r *room, without string) []float64 {
	rest := make([]float64, len(m.offer.fills))
	for i := range rest {
		rest[i] = 1
	}
	for image := range r.company() {
		if image == without {
			continue
		}
		for i, share := range m.offer.sharesBeside(image) {
			rest[i] *= share
		}
	}
	return rest
}

// openAfter works out what is open on the VM of a group once it has left and another
// group has come.
func (m *mover) openAfter(open []float64, leaves, comes group) {
	idle := m.idle[leaves.room] + float64(leaves.cpu-comes.cpu)*lastingUse
	if comes.image == "" || leaves.room.company()[comes.image] > 0 {
		for i, rest := range leaves.rest {
			open[i] = idle * rest
		}
		return
	}
	shares := m.offer.sharesBeside(comes.image)
	for i, rest := range leaves.rest {
		open[i] = idle * rest * shares[i]
	}
}

// fits tells whether a group may come to the VM of another one that leaves it.
func fits(comes, leaves group) bool {
	to := *leaves.room
	for _, run := range leaves.runs {
		to.leave(run.Step())
	}
	joined := make(map[*accountant.Step]int)
	for _, run := range comes.runs {
		s := run.Step()
		if to.vm.Slow() || run.Task.Shunned[to.vm.Name] || !to.admits(s, perVM(s)[to.vm]+joined[s]) {
			return false
		}
		to.join(s)
		joined[s]++
	}
	return true
}

// apart tells whether no step with a bound on tasks that are away would have more of
// them away by the exchange.
func apart(lists ...[]*accountant.Run) bool {
	moving := make(map[*accountant.Step]int)
	for _, runs := range lists {
		for _, run := range runs {
			s := run.Step()
			if moving[s]++; s.Spec.MaxAway > 0 && moving[s] > s.Spec.MaxAway {
				return false
			}
		}
	}
	return true
}

// fillsBlocked tells whether filling tasks wait.
func (r *round) fillsBlocked() bool {
	for _, s := range r.in.State.WaitingSteps(r.now) {
		if s.Spec.Fills && !s.Spec.Lasting && r.now.Sub(s.ReadyAt) > blockedFor {
			return true
		}
	}
	return false
}

// motion is the moves under way.
type motion struct {
	away, most int                       // lasting tasks that are away by moves, and that may be
	vms        map[string]bool           // that take part
	steps      map[*accountant.Step]bool // that get the room
}

// underway returns the moves whose tasks are not at work yet. One that waits for room for
// long holds up no other.
func underway(in Input) motion {
	on := motion{vms: make(map[string]bool), steps: make(map[*accountant.Step]bool)}
	all := 0
	for _, s := range in.State.OpenSteps() {
		if !s.Spec.Lasting {
			continue
		}
		all += len(s.Tasks)
		for _, t := range s.Tasks {
			if t.Moves.To == "" || !in.Now.Before(t.Moves.Until.Add(moveLimit)) || !t.Away() {
				continue
			}
			on.away++
			on.vms[t.Moves.From], on.vms[t.Moves.To] = true, true
			if t.Moves.For != nil {
				on.steps[t.Moves.For] = true
			}
		}
	}
	on.most = max(movesMost, int(movesShare*float64(all)))
	return on
}

// runsOf returns the lasting runs of an image on a VM.
func runsOf(vm *accountant.VM, image string) []*accountant.Run {
	return slices.DeleteFunc(lastingRuns(vm), func(run *accountant.Run) bool { return run.Step().Spec.Image != image })
}

// lastingRuns returns the lasting runs of a VM in the order of their names.
func lastingRuns(vm *accountant.VM) []*accountant.Run {
	var runs []*accountant.Run
	for _, run := range vm.Runs {
		if run.Step().Spec.Lasting && run.State != accountant.Stopping {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b *accountant.Run) int {
		if a.Key().Less(b.Key()) {
			return -1
		}
		return 1
	})
	return runs
}

// mayMove tells whether a lasting run has been at work long enough, and whether the users
// of its step let it be away.
func (r *round) mayMove(run *accountant.Run) bool {
	if s := run.Step(); s.Spec.MaxAway > 0 && s.Away() > 0 {
		return false
	}
	return run.State == accountant.Running && run.Progress >= paceFull && !run.Step().Spec.Gang && r.now.Sub(run.StartedAt) >= moveRest
}
