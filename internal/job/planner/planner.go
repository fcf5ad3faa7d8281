// Package planner decides which task starts on which VM. It is pure: it reads
// the accountant's state and the time passed in, and changes nothing.
package planner

import (
	"slices"
	"sort"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/learner"
	"bamboospread/internal/job/specifier"
)

// Limits of placement.
const (
	// fillShare is how many processors filling tasks may ask for, as a multiple of
	// those that a VM has idle. They use what is idle, and declared sizes are
	// peaks, so some more than what is left keeps it busy.
	fillShare = 2.0
	// fillShareBeside is the same on a VM with lasting tasks, which they disturb.
	fillShareBeside = 1.3
	// lastingUse is how much of what lasting tasks declare they use in the mean.
	lastingUse = 0.5
	// lateFactor is how many objectives after its acceptance a job is worth
	// nothing more to its caller.
	lateFactor = 3
	// maxStarts bounds one round, so that a large burst does not hold up reports.
	maxStarts = 64
)

// Start is a task to be started on a VM.
type Start struct {
	Task   *accountant.Task
	VM     *accountant.VM
	Number int64 // of the run
	Ticket string
	Copy   bool // another run of the task goes on
}

// Input is what a round of planning reads.
type Input struct {
	Now     time.Time
	State   *accountant.Accountant
	Learner *learner.Learner // nil: nothing is known of disturbance
	// PressedAt is when an urgent task last had waited too long for room.
	PressedAt time.Time
	// Memory carries over what changes little; nil: each round works it out anew.
	Memory *Memory
}

// room is what a VM has left during a round.
type room struct {
	vm      *accountant.VM
	now     time.Time
	free    specifier.Resources
	fillCPU int64
	lasting int
	lastCPU int64
	placed  int  // in this round
	met     bool // the neighbours are known
	// neighbours are the lasting tasks that filling ones would disturb.
	neighbours []neighbour
	images     company // of the lasting tasks; nil until it is needed
	// held are the tasks for which room is kept; what they need is no part of free.
	held             map[*accountant.Task]bool
	ahead            bool                // the following two are known
	stopping, ending specifier.Resources // of runs that are being stopped, and of others that do not last
}

type round struct {
	in      Input
	now     time.Time
	state   *accountant.Accountant
	learner *learner.Learner
	rooms   []*room
	effects map[pair]float64 // cautious ones, looked up once
	counts  map[*accountant.Step]map[*accountant.VM]int
	blocked map[kind]specifier.Resources // the least of each kind that found no VM
	look    *outlook                     // nil until it is needed
	all     []float64                    // open to each filling image on all VMs as the round began
	base    float64                      // what filling images get of it
	// stopped are the runs that the round stops for lasting tasks, and preempted is for how
	// many of these.
	stopped   map[*accountant.Run]bool
	preempted int
	claimed   int                       // tasks for which room was asked to be held
	promised  map[*accountant.Step]bool // room is held for a task of these
}

func newRound(in Input) *round {
	return &round{in: in, now: in.Now, state: in.State, learner: in.Learner, effects: make(map[pair]float64), counts: make(map[*accountant.Step]map[*accountant.VM]int), blocked: make(map[kind]specifier.Resources), stopped: make(map[*accountant.Run]bool), promised: make(map[*accountant.Step]bool)}
}

// openRooms takes in the VMs that may be used at all, in the order of their names.
func (r *round) openRooms() {
	for _, vm := range r.state.VMs {
		if usable(vm, r.in) {
			m := newRoom(vm, r.now)
			r.in.Memory.recall(m)
			r.rooms = append(r.rooms, m)
		}
	}
	sort.Slice(r.rooms, func(i, j int) bool { return r.rooms[i].vm.Name < r.rooms[j].vm.Name })
	r.holdForMoves()
}

func newRoom(vm *accountant.VM, now time.Time) *room {
	return &room{vm: vm, now: now, free: vm.Capacity.Sub(vm.Committed), fillCPU: vm.FillCPU, lasting: vm.Lasting, lastCPU: vm.LastCPU}
}

// Plan returns the starts of one round, most urgent first.
func Plan(in Input) []Start {
	r := newRound(in)
	r.openRooms()
	steps := order(in, in.State.WaitingSteps(in.Now))
	starts := r.placeOverdue(steps)
	for _, s := range steps {
		if len(starts) >= maxStarts {
			break
		}
		starts = append(starts, r.placeStep(s)...)
	}
	if len(starts) < maxStarts {
		starts = append(starts, r.placeCopies()...)
	}
	return starts
}

// usable tells whether anything may start on a VM at all. Beside a run of unknown size
// nothing may: the VM would be given more than it has.
func usable(vm *accountant.VM, in Input) bool {
	return vm.Attached && vm.Ready && vm.Sized() && !vm.Quarantined(in.Now) && !in.State.Policy().ZonesOut[vm.Zone]
}

func (r *round) placeStep(s *accountant.Step) []Start {
	if s.Spec.Gang {
		return r.placeGang(s)
	}
	if r.blockedFor(s) {
		return nil
	}
	count := r.countOf(s)
	var starts []Start
	for _, t := range s.Tasks {
		if !t.Waits(r.now) || r.overdue(t) || t.Yielded && r.pressed() {
			continue
		}
		best := r.choose(s, t, count)
		if best == nil {
			if r.claims(t) {
				r.claim(t)
			}
			r.noteBlocked(s)
			// Tasks of a step are equal, so the others fit nowhere either, but for
			// a task that only avoids VMs where it failed.
			if len(t.Shunned) == 0 {
				break
			}
			continue
		}
		starts = append(starts, r.place(t, best, r.state.NextNumber(t)))
	}
	return starts
}

// place books a task in a room.
func (r *round) place(t *accountant.Task, m *room, number int64) Start {
	m.release(t)
	r.take(m, t.Step.Spec)
	r.countOf(t.Step)[m.vm]++
	return r.start(t, m, number)
}

// kind is filling tasks that any VM of their service may take, for which alone their
// size decides.
type kind struct{ queue, image string }

// blockedFor tells whether a step needs as much as one of its kind that found no VM in
// this round. Under a backlog most of the waiting steps do, and the owner would spend its
// processor on looking at all VMs for each of them.
func (r *round) blockedFor(s *accountant.Step) bool {
	least, ok := r.blocked[kind{s.Occurrence.Job.Queue.Name, s.Spec.Image}]
	return ok && plainFill(s) && s.Spec.Needs.Fits(least)
}

// noteBlocked notes that a task of a step found no VM.
func (r *round) noteBlocked(s *accountant.Step) {
	if !plainFill(s) {
		return
	}
	k := kind{s.Occurrence.Job.Queue.Name, s.Spec.Image}
	if least, ok := r.blocked[k]; !ok || least.Fits(s.Spec.Needs) {
		r.blocked[k] = s.Spec.Needs
	}
}

func plainFill(s *accountant.Step) bool {
	return s.Spec.Fills && !s.Spec.Lasting && !s.Spec.Gang && s.Spec.Label == "" && s.Spec.MaxPerVM == 0 && !s.Occurrence.Job.Queue.Advised
}

// placeGang places all tasks of a gang or none: a part of it would only wait.
func (r *round) placeGang(s *accountant.Step) []Start {
	saved := make([]room, len(r.rooms))
	for i, m := range r.rooms {
		saved[i] = *m
		saved[i].neighbours = slices.Clone(m.neighbours)
	}
	number := r.state.GangNumber(s)
	count := r.countOf(s)
	var starts []Start
	for _, t := range s.Tasks {
		best := (*room)(nil)
		if t.Waits(r.now) {
			best = r.choose(s, t, count)
		}
		if best == nil { // no room, or a member of an earlier run is not gone yet
			for i, m := range r.rooms {
				*m = saved[i]
			}
			delete(r.counts, s)
			return nil
		}
		starts = append(starts, r.place(t, best, number))
	}
	return starts
}

func (r *round) start(t *accountant.Task, m *room, number int64) Start {
	ticket, _ := t.Step.TicketFor(m.vm, r.now)
	return Start{Task: t, VM: m.vm, Number: number, Ticket: ticket}
}

func (m *room) ticketed(s *accountant.Step) bool {
	_, ok := s.TicketFor(m.vm, m.now)
	return ok
}

// countOf counts the runs of a step on each VM, those placed in this round included:
// waiting tasks and copies of others may belong to one step, and its limit for a VM
// holds for both together.
func (r *round) countOf(s *accountant.Step) map[*accountant.VM]int {
	count := r.counts[s]
	if count == nil {
		count = perVM(s)
		r.counts[s] = count
	}
	return count
}

// perVM counts the live runs of a step on each VM.
func perVM(s *accountant.Step) map[*accountant.VM]int {
	count := make(map[*accountant.VM]int)
	for _, t := range s.Tasks {
		for _, run := range t.Runs {
			count[run.VM]++
		}
	}
	return count
}

// take books a task in a room.
func (r *round) take(m *room, s *specifier.Step) {
	m.free = m.free.Sub(s.Committed())
	if s.Fills {
		r.joinFill(m, s)
		m.fillCPU += s.Needs.CPUMillis
	}
	if s.Lasting {
		m.images = m.company().changed(s.Image, 1)
		m.lasting++
		m.lastCPU += s.Needs.CPUMillis
	}
	m.placed++
}

// choose returns the best VM for a task, or nil. VMs on which it failed come
// last.
func (r *round) choose(s *accountant.Step, t *accountant.Task, count map[*accountant.VM]int) *room {
	var best *room
	var bestScore score
	for _, m := range r.rooms {
		if !m.admitsTask(s, t, count[m.vm]) || t.RunsOn(m.vm) {
			continue
		}
		if t.Waiting(m.vm.Name, r.now) {
			continue
		}
		var takes float64
		if s.Spec.Fills {
			d := r.disturbance(m, s)
			if d.least < headroomLeast {
				continue
			}
			takes = d.takes
		}
		if s.Spec.Lasting {
			takes = r.takesOpen(m, s)
		}
		sc := rate(m, s, t, count[m.vm], takes)
		if best == nil || sc.above(bestScore) {
			best, bestScore = m, sc
		}
	}
	return best
}

// admitsTask tells whether the VM admits a task of the step, on the room that is held for it
// too.
func (m *room) admitsTask(s *accountant.Step, t *accountant.Task, running int) bool {
	if !m.release(t) {
		return m.admits(s, running)
	}
	defer m.hold(t)
	return m.admits(s, running)
}

func (m *room) admits(s *accountant.Step, running int) bool {
	spec := s.Spec
	if !m.free.Fits(spec.Committed()) || !m.mayAdmit(s, running) {
		return false
	}
	if !spec.Fills {
		return true
	}
	left := m.fillRoom()
	return m.fillCPU == 0 && left > 0 || float64(spec.Needs.CPUMillis) <= left
}

// mayAdmit tells whether the VM would admit a task of the step if it had room.
func (m *room) mayAdmit(s *accountant.Step, running int) bool {
	spec := s.Spec
	switch {
	case !s.Occurrence.Job.Queue.RunsOn(m.vm.Service),
		spec.Label != "" && !m.vm.Labels[spec.Label],
		spec.MaxPerVM > 0 && running >= spec.MaxPerVM:
		return false
	case s.Occurrence.Job.Queue.Advised && !m.ticketed(s):
		return false
	case m.vm.OnProbation() && m.vm.Probes()+m.placed > 0:
		return false // one task at a time shows whether the worker is sound again
	}
	return true
}

// fillRoom is how many thousandths of a core filling tasks may still ask for.
func (m *room) fillRoom() float64 {
	share := fillShare
	if m.lasting > 0 {
		share = fillShareBeside
	}
	return m.idle()*share - float64(m.fillCPU)
}

// idle is how many thousandths of a core the tasks that set processors aside are
// expected to leave unused.
func (m *room) idle() float64 {
	return float64(m.free.CPUMillis) + float64(m.lastCPU)*(1-lastingUse)
}

// company returns the lasting images of the VM, those placed in this round included.
func (m *room) company() company {
	if m.images == nil {
		m.images = companyOf(m.vm)
	}
	return m.images
}
