package planner

import (
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
	// movesMost is how many lasting tasks may be away at once by moves.
	movesMost = 6
	// blockedFor is how long a filling step must wait before lasting tasks move for it:
	// a shorter wait ends by itself.
	blockedFor = time.Second
	// MoveHold is how long a task that moves waits for room on the VM that it moves to.
	MoveHold = 1500 * time.Millisecond
)

// Move is a lasting run that should start anew on another VM.
type Move struct {
	Run  *accountant.Run
	To   *accountant.VM
	Gain float64 // thousandths of a core given to filling tasks, for each run that moves now
}

// group is the lasting runs of one image on a VM. They leave together: one that stays
// keeps out the same filling images.
type group struct {
	room  *room
	image string // empty: no run
	runs  []*accountant.Run
}

// mover looks for the change of places that gives filling tasks most.
type mover struct {
	*round
	*outlook
	open  map[*room][]float64
	all   []float64
	base  float64
	moves []Move
}

// Moves returns the lasting runs to move now: all of one image from a VM to another,
// against all of one image from there or against none.
func Moves(in Input) []Move {
	r := newRound(in)
	if !r.fillsBlocked() || lastingAway(in) {
		return nil
	}
	r.openRooms()
	m := newMover(r)
	for i, a := range r.rooms {
		for _, b := range r.rooms[i+1:] {
			m.compare(a, b)
		}
	}
	return m.moves
}

func newMover(r *round) *mover {
	m := &mover{round: r, outlook: r.outlook(), open: make(map[*room][]float64)}
	m.all = make([]float64, len(m.fills))
	for _, room := range r.rooms {
		m.open[room] = m.outlook.open(room)
		for i, cpu := range m.open[room] {
			m.all[i] += cpu
		}
	}
	m.base = m.served(m.all)
	return m
}

// compare looks at all exchanges between two VMs.
func (m *mover) compare(a, b *room) {
	for _, g := range m.groups(a) {
		for _, h := range m.groups(b) {
			if g.image != h.image {
				m.exchange(g, h)
			}
		}
	}
}

// groups returns the groups of a VM that may move, and an empty one.
func (m *mover) groups(r *room) []group {
	groups := []group{{room: r}}
	for _, image := range slices.Sorted(maps.Keys(r.company())) {
		runs := runsOf(r.vm, image)
		if !slices.ContainsFunc(runs, func(run *accountant.Run) bool { return !m.mayMove(run) }) {
			groups = append(groups, group{r, image, runs})
		}
	}
	return groups
}

// exchange takes two groups changing places for the best found so far if it is better.
func (m *mover) exchange(g, h group) {
	count := len(g.runs) + len(h.runs)
	if count == 0 || count > movesMost || !apart(g.runs, h.runs) {
		return
	}
	a, b := *g.room, *h.room
	for _, run := range g.runs {
		a.leave(run.Step())
	}
	for _, run := range h.runs {
		b.leave(run.Step())
	}
	if !settle(&b, g.runs) || !settle(&a, h.runs) {
		return
	}
	all := slices.Clone(m.all)
	openA, openB := m.outlook.open(&a), m.outlook.open(&b)
	for i := range all {
		all[i] += openA[i] + openB[i] - m.open[g.room][i] - m.open[h.room][i]
	}
	gain := (m.served(all) - m.base) / float64(count)
	if gain < moveGain || len(m.moves) > 0 && gain <= m.moves[0].Gain {
		return
	}
	m.moves = nil
	for _, run := range g.runs {
		m.moves = append(m.moves, Move{run, h.room.vm, gain})
	}
	for _, run := range h.runs {
		m.moves = append(m.moves, Move{run, g.room.vm, gain})
	}
}

// settle books runs in a room, or returns false if one may not be there.
func settle(to *room, runs []*accountant.Run) bool {
	joined := make(map[*accountant.Step]int)
	for _, run := range runs {
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

// lastingAway tells whether a lasting task is not at work.
func lastingAway(in Input) bool {
	for _, s := range in.State.OpenSteps() {
		if s.Spec.Lasting && s.Away() > 0 {
			return true
		}
	}
	return false
}

func runsOf(vm *accountant.VM, image string) []*accountant.Run {
	var runs []*accountant.Run
	for _, run := range vm.Runs {
		if s := run.Step().Spec; s.Lasting && s.Image == image && run.State != accountant.Stopping {
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

func (r *round) mayMove(run *accountant.Run) bool {
	return run.State == accountant.Running && run.Progress >= paceFull && !run.Step().Spec.Gang && r.now.Sub(run.StartedAt) >= moveRest
}
