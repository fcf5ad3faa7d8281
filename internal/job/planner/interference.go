package planner

import (
	"math"
	"time"

	"bamboospread/internal/job/learner"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

const (
	// minHeadroom is the headroom that a long-running task must keep for a best-effort task to
	// start on its VM. It is above 1, the target, since reports are half a second old and a
	// swing of the load changes the headroom by some 0.6 in a second.
	minHeadroom = 1.25
	// lowHeadroomWeight is the weight of the lowest headroom of a load swing against the
	// present one: best-effort tasks run for seconds, a good part of a swing.
	lowHeadroomWeight = 0.5
	// warmUp is how long a task runs before its measurements are significant.
	warmUp = 700 * time.Millisecond
	// bestEffortUtilization is the share of its declared processors that a best-effort task is
	// assumed to use until it is measured.
	bestEffortUtilization = 0.85
)

// ObserveReport passes the measurements of a VM's report to the learner.
func ObserveReport(l *learner.Learner, vm *tracker.VM, now time.Time) {
	var use learner.Use
	for _, r := range vm.Runs {
		if !hasMeasuredTail(r) || r.Step().Spec.Image == "" || now.Sub(r.StartedAt) < warmUp {
			continue
		}
		if use == nil {
			use = measuredUse(vm)
		}
		l.Observe(learner.Observation{Group: groupName(r), Image: r.Step().Spec.Image, Headroom: headroom(r), Use: use, At: now})
	}
}

// hasMeasuredTail reports whether a run of a long-running task with a tail latency target is
// serving.
func hasMeasuredTail(r *tracker.Run) bool {
	s := r.Step().Spec
	return s.LongRunning && s.TailMillis > 0 && r.State == tracker.Running && r.Progress >= paceFull
}

// headroom is the target of a long-running task divided by its tail latency.
func headroom(r *tracker.Run) float64 {
	return float64(r.Step().Spec.TailMillis) / math.Max(float64(r.Measure), 1)
}

// groupName identifies the long-running tasks that serve the same users: those of one step.
func groupName(r *tracker.Run) string { return r.Step().Name() }

// measuredUse is the use of the best-effort tasks of a VM by their latest measurements.
func measuredUse(vm *tracker.VM) learner.Use {
	use := make(learner.Use)
	for _, r := range vm.Runs {
		if s := r.Step().Spec; s.BestEffort && r.State != tracker.Ordered {
			use[s.Image] += float64(r.Measure) / float64(max(vm.Capacity.CPUMillis, 1))
		}
	}
	return use
}

// fullPaceUse is the use of a best-effort run at full pace, as a share of its VM.
func fullPaceUse(r *tracker.Run, now time.Time) float64 {
	millis := float64(r.Step().Spec.Needs.CPUMillis) * bestEffortUtilization
	if r.State == tracker.Running && now.Sub(r.StartedAt) >= warmUp && r.Pace == paceFull && r.Measure > 0 {
		millis = float64(r.Measure)
	}
	return millis / float64(max(r.VM.Capacity.CPUMillis, 1))
}

// expectedUse is the use of the best-effort tasks of a VM at full pace, including those just
// ordered to start.
func expectedUse(vm *tracker.VM, now time.Time) learner.Use {
	use := make(learner.Use)
	for _, r := range vm.Runs {
		if s := r.Step().Spec; s.BestEffort && r.State != tracker.Stopping {
			use[s.Image] += fullPaceUse(r, now)
		}
	}
	return use
}

// interference is the effect that a best-effort task would have on the long-running tasks of a
// VM.
type interference struct {
	leastHeadroom float64 // lowest headroom left to any of them
	loss          float64 // total headroom lost by all of them
}

// neighbour is a long-running task of a VM with the headroom left by the best-effort tasks
// there, including those placed in this round.
type neighbour struct {
	image string
	left  float64
}

// interference predicts the effect of another best-effort task of the step on a VM.
func (r *round) interference(m *vmState, s *tracker.Step) interference {
	d := interference{leastHeadroom: math.Inf(1)}
	if m.longRunning == 0 || r.learner == nil {
		return d
	}
	r.loadNeighbours(m)
	share := m.expectedShare(s.Spec)
	for _, n := range m.neighbours {
		loss := share * r.effect(n.image, s.Spec.Image)
		d.leastHeadroom = math.Min(d.leastHeadroom, n.left-loss)
		d.loss += loss
	}
	return d
}

// loadNeighbours sets the neighbours of a VM, computed once per round.
func (r *round) loadNeighbours(m *vmState) {
	if m.neighboursKnown {
		return
	}
	m.neighbours, m.neighboursKnown = r.neighboursOf(m.vm), true
	if m.placed == 0 {
		r.in.Cache.storeNeighbours(m.vm, r.now, m.neighbours)
	}
}

func (r *round) neighboursOf(vm *tracker.VM) []neighbour {
	use := expectedUse(vm, r.now)
	var all []neighbour
	for _, run := range vm.Runs {
		l := run.Step().Spec
		if !l.LongRunning || l.TailMillis <= 0 {
			continue
		}
		own, low := r.learner.OwnHeadroom(groupName(run))
		left := own + lowHeadroomWeight*(low-own)
		for image, u := range use {
			left -= u * r.effect(l.Image, image)
		}
		all = append(all, neighbour{l.Image, left})
	}
	return all
}

// subtractBestEffort subtracts the effect of a best-effort task from the headroom of the known
// neighbours.
func (r *round) subtractBestEffort(m *vmState, s *specifier.Step) {
	if r.learner == nil {
		return
	}
	for i := range m.neighbours {
		n := &m.neighbours[i]
		n.left -= m.expectedShare(s) * r.effect(n.image, s.Image)
	}
}

// imagePair is a long-running and a best-effort image.
type imagePair struct{ longRunning, bestEffort string }

// effect returns the learner's cautious effect of a pair, looked up once per round.
func (r *round) effect(longRunning, bestEffort string) float64 {
	p := imagePair{longRunning, bestEffort}
	e, ok := r.effects[p]
	if !ok {
		e = r.learner.CautiousEffect(longRunning, bestEffort)
		r.effects[p] = e
	}
	return e
}

// expectedShare is the share of a VM that a best-effort task of the step is expected to use.
func (m *vmState) expectedShare(s *specifier.Step) float64 {
	return float64(s.Needs.CPUMillis) * bestEffortUtilization / float64(max(m.vm.Capacity.CPUMillis, 1))
}
