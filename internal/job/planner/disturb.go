package planner

import (
	"math"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/learner"
	"bamboospread/internal/job/specifier"
)

const (
	// headroomLeast is the headroom that a lasting task must be left with for a filling
	// task to start beside it. Above 1, the target, since reports are half a second old
	// and a swing of its load takes some 0.6 in a second.
	headroomLeast = 1.25
	// lowWeight is how much the lowest headroom of a swing counts against the present
	// one: filling tasks run for seconds, a good part of a swing.
	lowWeight = 0.5
	// warmUp is how long a task runs before its figures tell anything.
	warmUp = 700 * time.Millisecond
	// useOfAsk is how much of what a filling task declares it is taken to use
	// before it is measured.
	useOfAsk = 0.85
)

// Learn feeds what a VM's report says to the learner.
func Learn(l *learner.Learner, vm *accountant.VM, now time.Time) {
	var use learner.Use
	for _, r := range vm.Runs {
		if !served(r) || r.Step().Spec.Image == "" || now.Sub(r.StartedAt) < warmUp {
			continue
		}
		if use == nil {
			use = measuredUse(vm)
		}
		l.Observe(learner.Observation{Group: groupOf(r), Image: r.Step().Spec.Image, Headroom: headroom(r), Use: use, At: now})
	}
}

// served tells whether a run is a lasting task with a target that is at work.
func served(r *accountant.Run) bool {
	s := r.Step().Spec
	return s.Lasting && s.TailMillis > 0 && r.State == accountant.Running && r.Progress >= paceFull
}

// headroom is the target of a lasting task over its tail.
func headroom(r *accountant.Run) float64 {
	return float64(r.Step().Spec.TailMillis) / math.Max(float64(r.Measure), 1)
}

// groupOf names the lasting tasks that share their users: those of one step.
func groupOf(r *accountant.Run) string { return r.Step().Name() }

// measuredUse is what the filling tasks of a VM use by their latest figures.
func measuredUse(vm *accountant.VM) learner.Use {
	use := make(learner.Use)
	for _, r := range vm.Runs {
		if s := r.Step().Spec; s.Fills && r.State != accountant.Ordered {
			use[s.Image] += float64(r.Measure) / float64(max(vm.Capacity.CPUMillis, 1))
		}
	}
	return use
}

// fullUse is what a filling run uses at full pace, as a share of its VM.
func fullUse(r *accountant.Run, now time.Time) float64 {
	millis := float64(r.Step().Spec.Needs.CPUMillis) * useOfAsk
	if r.State == accountant.Running && now.Sub(r.StartedAt) >= warmUp && r.Pace == paceFull && r.Measure > 0 {
		millis = float64(r.Measure)
	}
	return millis / float64(max(r.VM.Capacity.CPUMillis, 1))
}

// expectedUse is what the filling tasks of a VM will use at full pace, those just
// ordered included.
func expectedUse(vm *accountant.VM, now time.Time) learner.Use {
	use := make(learner.Use)
	for _, r := range vm.Runs {
		if s := r.Step().Spec; s.Fills && r.State != accountant.Stopping {
			use[s.Image] += fullUse(r, now)
		}
	}
	return use
}

// disturbance is what a filling task would do to the lasting tasks of a VM.
type disturbance struct {
	least float64 // headroom left to the worst-off one
	takes float64 // headroom taken from all of them together
}

// neighbour is a lasting task of a VM with the headroom that the filling tasks on the VM
// leave it, those placed in this round included.
type neighbour struct {
	image string
	left  float64
}

// disturbance tells what a filling task of the step would do once it has joined.
func (r *round) disturbance(m *room, s *accountant.Step) disturbance {
	d := disturbance{least: math.Inf(1)}
	if m.lasting == 0 || r.learner == nil {
		return d
	}
	if !m.met {
		m.neighbours, m.met = r.neighboursOf(m.vm), true
		if m.placed == 0 {
			r.in.Memory.keepNeighbours(m.vm, r.now, m.neighbours)
		}
	}
	add := m.share(s.Spec)
	for _, n := range m.neighbours {
		takes := add * r.effect(n.image, s.Spec.Image)
		d.least = math.Min(d.least, n.left-takes)
		d.takes += takes
	}
	return d
}

func (r *round) neighboursOf(vm *accountant.VM) []neighbour {
	use := expectedUse(vm, r.now)
	var all []neighbour
	for _, run := range vm.Runs {
		l := run.Step().Spec
		if !l.Lasting || l.TailMillis <= 0 {
			continue
		}
		own, low := r.learner.OwnHeadroom(groupOf(run))
		left := own + lowWeight*(low-own)
		for image, u := range use {
			left -= u * r.effect(l.Image, image)
		}
		all = append(all, neighbour{l.Image, left})
	}
	return all
}

// joinFill takes what a filling task takes from the neighbours that were met.
func (r *round) joinFill(m *room, s *specifier.Step) {
	if r.learner == nil {
		return
	}
	for i := range m.neighbours {
		n := &m.neighbours[i]
		n.left -= m.share(s) * r.effect(n.image, s.Image)
	}
}

// pair is a lasting and a filling image.
type pair struct{ lasting, fill string }

// effect is the learner's cautious effect, looked up once in a round.
func (r *round) effect(lasting, fill string) float64 {
	p := pair{lasting, fill}
	e, ok := r.effects[p]
	if !ok {
		e = r.learner.CautiousEffect(lasting, fill)
		r.effects[p] = e
	}
	return e
}

// share is what a filling task of the step is taken to use of a VM.
func (m *room) share(s *specifier.Step) float64 {
	return float64(s.Needs.CPUMillis) * useOfAsk / float64(max(m.vm.Capacity.CPUMillis, 1))
}
