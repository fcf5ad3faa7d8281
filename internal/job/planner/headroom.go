package planner

import (
	"math"
	"slices"
	"time"

	"bamboospread/internal/job/tracker"
)

// Limits of the wait of best-effort tasks for VMs whose long-running tasks have headroom to spare. The
// wait has to end: long-running tasks may stay near their targets for as long as their users want, and
// the headroom is an estimate. From then on throttling by the reports keeps them within their targets.
const (
	// marginWait is how long a best-effort task waits for a VM where minHeadroom is left, while best-effort
	// tasks work on less than half of the VMs that may run it. After it, targetHeadroom is enough, after
	// headroomWait any headroom.
	marginWait   = 2 * time.Second
	headroomWait = 6 * time.Second
	// busyHeadroomWait takes the place of both on a busier fleet: VMs with headroom are in use then, and
	// become free when tasks end.
	busyHeadroomWait = 12 * time.Second
	// targetHeadroom is the headroom of a long-running task that is at its target.
	targetHeadroom = 1.0
	// startSpacing is the time between starts of best-effort tasks on a VM without minHeadroom: the
	// reports show the effect of the last one by then, and throttling has answered it.
	startSpacing = 2 * time.Second
)

// waited is how long a task has been waiting to start.
func (r *round) waited(t *tracker.Task) time.Duration {
	since := t.WaitSince
	if t.Step.ReadyAt.After(since) {
		since = t.Step.ReadyAt
	}
	return r.now.Sub(since)
}

// patience is the state of a task's wait for headroom.
type patience int

const (
	waitsForMargin patience = iota // minHeadroom has to be left
	waitsForTarget                 // targetHeadroom has to be left
	waitsForNone                   // any headroom will do, unless the fleet is busy
	waitsNoLonger                  // any headroom will do
	patienceStates
)

func (r *round) patienceOf(t *tracker.Task) patience {
	if !t.Step.Spec.BestEffort || !t.Waits(r.now) {
		return waitsForMargin // what runs elsewhere can stay there
	}
	return patienceAfter(r.waited(t))
}

// patienceOfStep is the state of the tasks of a step that wait longest.
func (r *round) patienceOfStep(s *tracker.Step) patience {
	if !s.Spec.BestEffort {
		return waitsForMargin
	}
	return patienceAfter(r.now.Sub(s.ReadyAt))
}

func patienceAfter(waited time.Duration) patience {
	switch {
	case waited < marginWait:
		return waitsForMargin
	case waited < headroomWait:
		return waitsForTarget
	case waited < busyHeadroomWait:
		return waitsForNone
	default:
		return waitsNoLonger
	}
}

// chooseWithoutHeadroom returns the VM where a best-effort task leaves most headroom, or nil if it is to
// wait for headroom.
func (r *round) chooseWithoutHeadroom(s *tracker.Step, t *tracker.Task, count map[*tracker.VM]int) *vmState {
	wait := r.patienceOf(t)
	if wait == waitsForMargin || !r.mayExceedHeadroom(s, wait, count) {
		return nil
	}
	required := targetHeadroom
	if wait > waitsForTarget {
		required = math.Inf(-1)
	}
	var best *vmState
	var bestScore score
	for _, m := range r.vmStates {
		if !r.mayRun(m, s, t, count) || r.startedLately(m, s, count[m.vm]) || wait < waitsNoLonger && m.worksOn(s, count[m.vm]) {
			continue
		}
		d := r.interference(m, s)
		if d.leastHeadroom < required {
			continue
		}
		sc := scoreVM(m, s, t, count[m.vm], -d.leastHeadroom)
		if best == nil || sc.above(bestScore) {
			best, bestScore = m, sc
		}
	}
	return best
}

// mayExceedHeadroom reports whether a task of the step may start without minHeadroom: best-effort tasks
// work on less than half of the VMs that may run it, or it has waited for long and none has started so
// lately.
func (r *round) mayExceedHeadroom(s *tracker.Step, p patience, count map[*tracker.VM]int) bool {
	suited, working, lately := 0, 0, p < waitsNoLonger
	for _, m := range r.vmStates {
		if lately && 2*working >= len(r.vmStates) {
			return false
		}
		if !m.eligible(s, count[m.vm]) {
			continue
		}
		suited++
		if m.worksOn(s, count[m.vm]) {
			working++
		}
		lately = lately || r.startedLately(m, s, count[m.vm]) && r.exceedsHeadroom(m)
	}
	return 2*working < suited || !lately
}

// startedLately reports whether a best-effort task was started on a VM so lately that the reports may not
// show its effect yet. Members of the gang whose next member is looked at don't count.
func (r *round) startedLately(m *vmState, s *tracker.Step, running int) bool {
	m.lookAtBestEffort()
	return m.placedBestEffort(s, running) > 0 || r.now.Sub(m.bestEffortStart) < startSpacing
}

// exceedsHeadroom reports whether a long-running task of a VM has less than minHeadroom left beside the
// best-effort tasks there.
func (r *round) exceedsHeadroom(m *vmState) bool {
	if m.longRunning == 0 || r.learner == nil {
		return false
	}
	r.loadNeighbours(m)
	return slices.ContainsFunc(m.neighbours, func(n neighbour) bool { return n.left < minHeadroom })
}

// worksOn reports whether the VM works on best-effort tasks that end by themselves, other than those of
// the gang whose next member is looked at.
func (m *vmState) worksOn(s *tracker.Step, running int) bool {
	m.lookAtBestEffort()
	return m.bestEffortWorks || m.placedBestEffort(s, running) > 0
}

// lookAtBestEffort sets what is known of the best-effort runs from before the round.
func (m *vmState) lookAtBestEffort() {
	if m.bestEffortKnown {
		return
	}
	m.bestEffortKnown = true
	if m.vm.BestEffortCPU == 0 && m.vm.BestEffortEnding == 0 {
		return
	}
	for _, run := range m.vm.Runs {
		spec := run.Step().Spec
		if !spec.BestEffort {
			continue
		}
		if run.OrderedAt.After(m.bestEffortStart) {
			m.bestEffortStart = run.OrderedAt
		}
		m.bestEffortWorks = m.bestEffortWorks || !spec.LongRunning && run.State != tracker.Stopping && run.Pace != 0
	}
}

// headroomAccepted reports whether a VM accepts a best-effort step as far as headroom is concerned, given
// that it accepts the step otherwise.
func (r *round) headroomAccepted(m *vmState, s *tracker.Step, count map[*tracker.VM]int) bool {
	if r.interference(m, s).leastHeadroom >= minHeadroom {
		return true
	}
	t := longestWaiting(s, r.now)
	return t != nil && r.chooseWithoutHeadroom(s, t, count) == m
}
