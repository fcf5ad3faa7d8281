package planner

import (
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/learner"
)

const (
	// tailLimit is the tail, in targets, up to which filling tasks are put beside a
	// lasting one. Below 1, since its own load swings.
	tailLimit = 0.85
	// warmUp is how long a task runs before its figures tell anything.
	warmUp = 700 * time.Millisecond
	// useOfAsk is how much of what a filling task declares it is taken to use
	// before it is measured.
	useOfAsk = 0.7
)

// Learn feeds what a VM's report says to the learner.
func Learn(l *learner.Learner, vm *accountant.VM, now time.Time) {
	var use learner.Use
	for _, r := range vm.Runs {
		s := r.Step().Spec
		if !s.Lasting || s.TailMillis <= 0 || s.Image == "" || r.State != accountant.Running || r.Progress < paceFull || now.Sub(r.StartedAt) < warmUp {
			continue
		}
		if use == nil {
			use = measuredUse(vm, now)
		}
		l.Observe(s.Image, float64(r.Measure)/float64(s.TailMillis), use)
	}
}

// measuredUse is what the filling tasks of a VM use by their latest figures.
func measuredUse(vm *accountant.VM, now time.Time) learner.Use {
	use := make(learner.Use)
	for _, r := range vm.Runs {
		if s := r.Step().Spec; s.Fills && r.State == accountant.Running && now.Sub(r.StartedAt) >= warmUp {
			use[s.Image] += float64(r.Measure) / float64(max(vm.Capacity.CPUMillis, 1))
		}
	}
	return use
}

// expectedUse is what the filling tasks of a VM will use, those just ordered
// included.
func expectedUse(vm *accountant.VM, now time.Time) learner.Use {
	use := make(learner.Use)
	for _, r := range vm.Runs {
		s := r.Step().Spec
		if !s.Fills || r.State == accountant.Stopping {
			continue
		}
		millis := float64(s.Needs.CPUMillis) * useOfAsk
		if r.State == accountant.Running && now.Sub(r.StartedAt) >= warmUp && r.Pace == paceFull {
			millis = float64(r.Measure)
		}
		use[s.Image] += millis / float64(max(vm.Capacity.CPUMillis, 1))
	}
	return use
}

// disturbance is the tail, in targets, of the worst-off lasting task of a VM once
// a filling task of the step has joined.
func (r *round) disturbance(m *room, s *accountant.Step) float64 {
	if m.lasting == 0 || r.learner == nil {
		return 0
	}
	if m.use == nil {
		m.use = expectedUse(m.vm, r.now)
	}
	image, add := s.Spec.Image, m.share(s)
	m.use[image] += add
	worst := 0.0
	for _, run := range m.vm.Runs {
		if l := run.Step().Spec; l.Lasting && l.TailMillis > 0 {
			worst = max(worst, r.learner.Tail(l.Image, m.use))
		}
	}
	m.use[image] -= add
	return worst
}

// share is what a filling task of the step is taken to use of a VM.
func (m *room) share(s *accountant.Step) float64 {
	return float64(s.Spec.Needs.CPUMillis) * useOfAsk / float64(max(m.vm.Capacity.CPUMillis, 1))
}
