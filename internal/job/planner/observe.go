package planner

import (
	"slices"
	"time"

	"bamboospread/internal/job/tracker"
)

// Observed starts. A task that may have crashed a worker starts again on a VM on which nothing
// else starts until the task is cleared, so that a second crash shows whether it is the cause.
const (
	// vmsPerObservation is how many VMs there must be for each one that is kept free of other
	// starts. At least one may be.
	vmsPerObservation = 4
	// quietBeforeObservation is how long nothing must have started on a VM before an observed
	// start: what started just before would be suspected too.
	quietBeforeObservation = 500 * time.Millisecond
	// maxObservationWait is how long a task waits for such a VM.
	maxObservationWait = time.Second
)

// loadObservations sets which VMs are kept free of other starts.
func (r *round) loadObservations() {
	for vm, t := range r.state.ObservedVMs() {
		if m := r.findVM(vm.Name); m != nil {
			m.observed = t
			r.observations++
		}
	}
}

// observe keeps the VM free of other starts if the task that was placed on it is to be observed.
func (r *round) observe(m *vmState, t *tracker.Task) {
	if m.observed == nil && t.StartsObserved() {
		m.observed = t
		r.observations++
	}
}

// separates reports whether a task must not start on a VM because of observed starts.
func (r *round) separates(m *vmState, t *tracker.Task) bool {
	if m.observed != nil {
		return !startTogether(m.observed, t)
	}
	if !t.StartsObserved() {
		return false
	}
	if r.observations >= r.maxObservations() && !r.observesGangOf(t) {
		return true
	}
	quiet := m.placed == 0 && r.now.Sub(m.vm.LatestStart()) >= quietBeforeObservation
	return !quiet && (m.placed > 0 || r.now.Sub(t.WaitSince) < maxObservationWait)
}

func (r *round) maxObservations() int { return max(len(r.vmStates)/vmsPerObservation, 1) }

// observesGangOf reports whether another member of the task's gang is observed already.
func (r *round) observesGangOf(t *tracker.Task) bool {
	return slices.ContainsFunc(r.vmStates, func(m *vmState) bool { return m.observed != nil && startTogether(m.observed, t) })
}

// startTogether reports whether two tasks are members of one gang.
func startTogether(a, b *tracker.Task) bool { return a.Step == b.Step && a.Step.Spec.Gang }
