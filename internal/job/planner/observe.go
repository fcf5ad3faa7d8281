package planner

import (
	"time"

	"bamboospread/internal/job/tracker"
	"bamboospread/internal/worker/attributor"
)

// Observed starts. A task under which workers have crashed starts again on a VM on which nothing
// else has just started or starts until the task is cleared, so that another crash shows whether it
// is the cause.
const (
	// vmsPerObservation is how many VMs there must be for each one that is kept free of other
	// starts. At least one may be.
	vmsPerObservation = 6
	// maxObservationWait is how long a task waits for a VM on which nothing else has just started.
	// After it the task starts on any VM: after the loss of many workers at once, many tasks wait.
	maxObservationWait = 3 * time.Second
	// maxApartWait is how long a task waits at most to start apart from others that repeat late crashes.
	maxApartWait = 2 * attributor.MaxTimeApart
	// besideSuspected lowers the score of a VM for a suspected task if others run there. Apart,
	// they are not likely causes of the same crash.
	besideSuspected = 0.25
)

// loadSuspected sets which VMs have runs of suspected tasks, and which of them are kept free of
// other starts: those with observed runs, then those that are to get one.
func (r *round) loadSuspected() {
	tasks := r.state.SuspectedTasks()
	for _, t := range tasks {
		for _, member := range t.Unit() {
			for _, run := range member.Runs {
				if m := r.findVM(run.VM.Name); m != nil {
					r.addSuspected(m, t, run.OrderedAt)
				}
			}
		}
	}
	for _, t := range tasks {
		if r.waitsForObservation(t) && t.Waits(r.now) && !t.Step.Spec.Gang && r.observations < r.maxObservations() {
			r.keepFree(t)
		}
	}
}

// addSuspected accounts for a run of a task on a VM, ordered at the given time, if the task is suspected.
func (r *round) addSuspected(m *vmState, t *tracker.Task, orderedAt time.Time) {
	m.suspected = m.suspected || t.Suspected()
	if t.RepeatsLate() {
		m.lateSuspects++
		if orderedAt.After(m.lateSince) {
			m.lateSince = orderedAt
		}
	}
	if m.observed == nil && t.StartsObserved() {
		m.observed = t
		r.observations++
	}
}

// keepFree chooses the VM on which a task is to be observed: the one on which nothing has started
// for longest, of those that have not ended under it without a report. It stays the same from one round to the next, since nothing starts there meanwhile.
func (r *round) keepFree(t *tracker.Task) {
	count := r.runCounts(t.Step)
	var best *vmState
	for _, m := range r.vmStates {
		if m.observed != nil || !m.admitsTask(t.Step, t, count[m.vm]) || t.RunsOn(m.vm) {
			continue
		}
		if best == nil || showsMore(t, m, best) {
			best = m
		}
	}
	if best != nil {
		best.observed = t
		r.observations++
	}
}

// showsMore reports whether a crash on one VM would show more about the task than one on another: the task has not been
// there at an end of the VM for which the VM may be the cause, or less has just started there.
func showsMore(t *tracker.Task, m, than *vmState) bool {
	if before, beforeThan := t.CrashedUnreported(m.vm.Name), t.CrashedUnreported(than.vm.Name); before != beforeThan {
		return beforeThan
	}
	return m.vm.LatestStart().Before(than.vm.LatestStart())
}

// separates reports whether a task must not start on a VM because of observed starts.
func (r *round) separates(m *vmState, t *tracker.Task) bool {
	if m.observed != nil && m.observed != t {
		return !startTogether(m.observed, t)
	}
	if m.lateSuspects > 0 && !t.Step.Spec.Gang && t.RepeatsLate() && r.now.Sub(m.lateSince) < t.Apart() && r.now.Sub(t.WaitSince) < maxApartWait {
		return true
	}
	if !r.waitsForObservation(t) {
		return false
	}
	if m.observed == nil && !t.Step.Spec.Gang {
		return true // it starts on the VM that is kept free for it
	}
	return m.placed > 0 || r.now.Sub(m.vm.LatestStart()) < attributor.CrashWindow
}

func (r *round) waitsForObservation(t *tracker.Task) bool {
	return t.StartsObserved() && r.now.Sub(t.WaitSince) < maxObservationWait
}

func (r *round) maxObservations() int { return max(len(r.vmStates)/vmsPerObservation, 1) }

// startTogether reports whether two tasks are members of one gang.
func startTogether(a, b *tracker.Task) bool { return a.Step == b.Step && a.Step.Spec.Gang }
