// Package planner decides which tasks start on which VMs, and which runs to stop, move or
// throttle. It performs no I/O: it reads the tracker's state and the time passed in, and
// changes nothing, except that ObserveReport updates the learner, Paces updates the throttling
// state of VMs, and rounds store results in Cache.
package planner

import (
	"time"

	"bamboospread/internal/job/calibrator"
	"bamboospread/internal/job/estimator"
	"bamboospread/internal/job/forecaster"
	"bamboospread/internal/job/learner"
	"bamboospread/internal/job/sharer"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// Limits of placement.
const (
	// overcommitAlone is how many processors best-effort tasks may ask for, as a multiple of
	// the idle processors of a VM without long-running tasks. Best-effort tasks use only what
	// is idle, and declared sizes are peaks, so some overcommitment keeps the VM busy.
	overcommitAlone = 2.0
	// overcommitColocated is the same on a VM with long-running tasks, with which they would
	// interfere.
	overcommitColocated = 1.3
	// longRunningUtilization is the share of their declared processors that long-running tasks
	// use on average.
	longRunningUtilization = 0.5
	// tooLateFactor is how many times its objective a job may take, from when it was due, before
	// it has no value for its caller any more.
	tooLateFactor = 3
	// maxStarts bounds one round, so that a large burst does not delay reports.
	maxStarts = 64
)

// Start is a task to be started on a VM.
type Start struct {
	Task   *tracker.Task
	VM     *tracker.VM
	Number int64 // of the run
	Ticket string
	Copy   bool // another run of the task continues
	// Straggler is what decided a copy of a run whose rest is estimated.
	Straggler *Straggler
}

// Input is the input of a planning round.
type Input struct {
	Now   time.Time
	State *tracker.Tracker
	VMs   []*tracker.VM // whose runs Paces and Evictions look at; nil: all
	// TakesOrders reports whether a VM's agent can carry out a start now; nil: all can. A start that is
	// decided for another VM would not be ordered, and the other members of its gang would end alone.
	TakesOrders func(vm *tracker.VM) bool
	Learner     *learner.Learner // nil if no effects of images are known
	// UrgentDelayedAt is when an urgent task last had waited too long for capacity.
	UrgentDelayedAt time.Time
	// Cache caches results between rounds; if it is nil, each round computes them anew.
	Cache *Cache
	// Estimator, Calibrator, Sharer and Forecaster are nil unless the operators ask for decisions by
	// them (specifier.LoadControl).
	Estimator  *estimator.Estimator
	Calibrator *calibrator.Calibrator
	Sharer     *sharer.Sharer
	Forecaster *forecaster.Forecaster
	// Service counts the jobs served in time, by their size; nil without Estimator.
	Service *Service
}

type round struct {
	in          Input
	now         time.Time
	state       *tracker.Tracker
	learner     *learner.Learner
	vmStates    []*vmState
	effects     map[imagePair]float64 // cautious effects, looked up once
	counts      map[*tracker.Step]map[*tracker.VM]int
	unplaceable map[placementClass]specifier.Resources // smallest needs of each class that fit on no VM
	demand      *demandModel                           // nil until it is needed
	scarcities  *scarcities
	fleetUsable []float64 // usable by each best-effort image on all VMs at the start of the round
	fleetServed float64   // best-effort demand served by it
	// stopped holds the runs that the round stops for long-running tasks, and preempted the
	// number of these tasks.
	stopped               map[*tracker.Run]bool
	preempted             int
	observations          int                    // VMs that are kept free of other starts
	reservationsRequested int                    // tasks that reservations were requested for
	reservedSteps         map[*tracker.Step]bool // steps with a reservation for one of their tasks
	holdings              *holdings              // of client accounts; nil without shares
	reserve               *roundReserve          // room for urgent tasks; nil until it is needed
	nextTask              map[*tracker.Step]int  // of steps that have had a turn
	lateStarts            map[specifier.TaskID][]tracker.LateStart
	lateStartsKnown       bool
}

// vms returns the VMs that periodic decisions about single VMs look at.
func (in Input) vms() []*tracker.VM {
	if in.VMs == nil {
		return in.State.SortedVMs()
	}
	return in.VMs
}

func (in Input) takesOrders(vm *tracker.VM) bool { return in.TakesOrders == nil || in.TakesOrders(vm) }

func newRound(in Input) *round {
	return &round{in: in, now: in.Now, state: in.State, learner: in.Learner, effects: make(map[imagePair]float64), counts: make(map[*tracker.Step]map[*tracker.VM]int), unplaceable: make(map[placementClass]specifier.Resources), stopped: make(map[*tracker.Run]bool), reservedSteps: make(map[*tracker.Step]bool), holdings: newHoldings(in)}
}

func newLoadedRound(in Input) *round {
	r := newRound(in)
	r.loadVMs()
	return r
}

// loadVMs adds the usable VMs, sorted by name.
func (r *round) loadVMs() {
	all := r.state.SortedVMs()
	states := make([]vmState, len(all)) // one allocation, since there are as many as VMs
	r.vmStates = make([]*vmState, 0, len(all))
	for i, vm := range all {
		if acceptsTasks(vm, r.in) {
			states[i] = vmStateOf(vm, r.now)
			r.in.Cache.restore(&states[i])
			r.vmStates = append(r.vmStates, &states[i])
		}
	}
	r.loadSpeeds()
	r.loadSuspected()
	r.reserveForMoves()
	r.reserveForGangs()
}

// Plan returns the starts of one round, most urgent first.
func Plan(in Input) []Start {
	r := newRound(in)
	r.loadVMs()
	steps := order(in, r.waitingSteps())
	starts := r.placeSteps(steps, r.placeOverdue(steps))
	if len(starts) < maxStarts {
		starts = append(starts, r.placeCopies()...)
	}
	return starts
}

// acceptsTasks reports whether any task may start on a VM. None may on a VM with a run of
// unknown size: the VM could be overcommitted.
func acceptsTasks(vm *tracker.VM, in Input) bool {
	return vm.Attached && vm.Ready && in.takesOrders(vm) && vm.SizesKnown() && !vm.Quarantined(in.Now) && !in.State.Policy().ZonesOut[vm.Zone]
}

func (r *round) placeStep(s *tracker.Step) []Start {
	if s.Spec.Gang {
		return r.placeGang(s)
	}
	starts, _ := r.placeTasks(s, 0, len(s.Tasks))
	return starts
}

// placeTasks places up to limit tasks of a step, from the task with the given index on. It returns
// the index from which to continue.
func (r *round) placeTasks(s *tracker.Step, from, limit int) (starts []Start, next int) {
	if r.knownUnplaceable(s, r.patienceOfStep(s)) {
		return nil, len(s.Tasks)
	}
	count := r.runCounts(s)
	var checked, unplaceable [patienceStates]bool // tasks of the step that wait so fit on no VM
	for i, t := range s.Tasks[from:] {
		if !t.Waits(r.now) || r.overdue(t) || t.Yielded && r.underPressure() {
			continue
		}
		wait := r.patienceOf(t)
		if !checked[wait] {
			checked[wait], unplaceable[wait] = true, r.knownUnplaceable(s, wait)
		}
		if unplaceable[wait] {
			continue
		}
		if len(starts) == limit {
			return starts, from + i
		}
		if !r.holdings.allows(s, 1) {
			break
		}
		best := r.choose(s, t, count)
		if best == nil {
			if r.needsReservation(t) {
				r.reserveFor(t)
			}
			if t.StartsObserved() || len(r.lateStartsOf(t)) > 0 {
				continue // the others may not wait for the same VM
			}
			r.noteUnplaceable(s, wait)
			// Tasks of a step have the same needs, so the others that have waited as long fit on
			// no VM either, except for a task that only avoids VMs where it failed or that may wait for
			// urgent ones.
			unplaceable[wait] = !t.AvoidsVMs() && !r.mayHold(t)
			continue
		}
		starts = append(starts, r.place(t, best, r.state.NextNumber(t)))
	}
	return starts, len(s.Tasks)
}

// place assigns a task to a VM and returns its start.
func (r *round) place(t *tracker.Task, m *vmState, number int64) Start {
	m.release(t)
	room := r.urgentRoom(m)
	r.assign(m, t.Step.Spec)
	r.noteStart(m, t, room)
	r.addSuspected(m, t, r.now)
	r.runCounts(t.Step)[m.vm]++
	r.holdings.add(t.Step, 1)
	return r.start(t, m, number)
}

// placementClass identifies best-effort tasks that any VM of their service may run, so that
// within a class placement depends on the size of a task only.
type placementClass struct {
	queue, image string
	patience     patience
}

// knownUnplaceable reports whether a step needs at least as much as one of its class that fit
// on no VM in this round. Under a backlog this is true of most waiting steps, and the owner
// would spend its processor time on checking all VMs for each of them.
func (r *round) knownUnplaceable(s *tracker.Step, p patience) bool {
	least, ok := r.unplaceable[placementClass{s.Occurrence.Job.Queue.Name, s.Spec.Image, p}]
	return ok && plainBestEffort(s) && s.Spec.Needs.Fits(least)
}

// noteUnplaceable records that a task of a step fits on no VM.
func (r *round) noteUnplaceable(s *tracker.Step, p patience) {
	if !plainBestEffort(s) {
		return
	}
	k := placementClass{s.Occurrence.Job.Queue.Name, s.Spec.Image, p}
	if least, ok := r.unplaceable[k]; !ok || least.Fits(s.Spec.Needs) {
		r.unplaceable[k] = s.Spec.Needs
	}
}

func plainBestEffort(s *tracker.Step) bool {
	return s.Spec.BestEffort && !s.Spec.LongRunning && !s.Spec.Gang && s.Spec.Label == "" && s.Spec.MaxPerVM == 0 && !s.Occurrence.Job.Queue.Advised
}

func (r *round) start(t *tracker.Task, m *vmState, number int64) Start {
	ticket, _ := t.Step.TicketFor(m.vm, r.now)
	return Start{Task: t, VM: m.vm, Number: number, Ticket: ticket}
}

// assign accounts for a task on a VM.
func (r *round) assign(m *vmState, s *specifier.Step) {
	m.free = m.free.Sub(s.Committed())
	if s.BestEffort {
		r.subtractBestEffort(m, s)
		m.bestEffortCPU += s.Needs.CPUMillis
	}
	if s.LongRunning {
		m.images = m.imageCounts().adjusted(s.Image, 1)
		m.longRunning++
		m.longRunningCPU += s.Needs.CPUMillis
	}
	m.placed++
}

// choose returns the best VM for a task, or nil. VMs on which the task failed come last.
func (r *round) choose(s *tracker.Step, t *tracker.Task, count map[*tracker.VM]int) *vmState {
	var best *vmState
	var bestScore score
	lacksHeadroom := false
	for _, m := range r.vmStates {
		if !r.mayRun(m, s, t, count) {
			continue
		}
		var cost float64
		if s.Spec.BestEffort {
			d := r.interference(m, s)
			if d.leastHeadroom < minHeadroom {
				lacksHeadroom = true
				continue
			}
			cost = d.loss + scarcityWeight*r.scarcityFor(m, s.Spec.Image)
		}
		if s.Spec.LongRunning {
			cost = r.servedLoss(m, s)
		}
		sc := scoreVM(m, s, t, count[m.vm], cost)
		if best == nil || sc.above(bestScore) {
			best, bestScore = m, sc
		}
	}
	if best == nil && lacksHeadroom {
		return r.chooseWithoutHeadroom(s, t, count)
	}
	return best
}

// mayRun reports whether a task may start on a VM, whatever its effect on other tasks there.
func (r *round) mayRun(m *vmState, s *tracker.Step, t *tracker.Task, count map[*tracker.VM]int) bool {
	if !m.admitsTask(s, t, count[m.vm]) || t.RunsOn(m.vm) {
		return false
	}
	return !t.MovesElsewhere(m.vm.Name, r.now) && r.admitsAfterLateStart(t, m.vm) && !r.separates(m, t) && !r.waitsForSound(m, t) && !r.heldBack(m, t)
}
