package planner

import (
	"time"

	"bamboospread/internal/job/tracker"
)

// Limits of rotations. They cover a fleet that is too small for its long-running and its
// urgent tasks together. Overdue long-running tasks would take the place of urgent tasks,
// which end soon and gain more. Instead, they take the place of other long-running tasks.
const (
	// maxRotations bounds a round. On a large fleet the limit is one rotation for every
	// vmsPerRotation VMs, if that is more: many tasks are lost together, and become overdue
	// together.
	maxRotations   = 4
	vmsPerRotation = 10
	// rotationHold is how long the capacity of a rotation is held after the decision: a stop
	// takes a second at most.
	rotationHold = 2500 * time.Millisecond
	// rotationWait is how long after it has become overdue a task waits for a rotation before
	// it may reserve capacity that urgent tasks would use.
	rotationWait = 1500 * time.Millisecond
)

// Rotation is a long-running run to stop for a long-running task that has been unavailable for
// long.
type Rotation struct {
	Run  *tracker.Run
	Task *tracker.Task
}

// Relocation returns the record of the rotation to store in the task that starts again.
func (r Rotation) Relocation(now time.Time) tracker.Relocation {
	return tracker.Relocation{To: r.Run.VM.Name, Until: now.Add(rotationHold)}
}

// Rotations returns the rotations to carry out while urgent tasks wait for capacity.
func Rotations(in Input) (rotations []Rotation) {
	r := newRound(in)
	if !r.underPressure() {
		return nil
	}
	overdue := r.overdueTasks(r.waitingSteps())
	if len(overdue) == 0 {
		return nil
	}
	r.loadVMs()
	candidates := r.yieldable()
	stopping := make(map[*tracker.Step]bool) // at most one per step in a round
	for _, t := range overdue {
		if len(rotations) == max(maxRotations, len(r.vmStates)/vmsPerRotation) {
			break
		}
		if t.Moving(r.now) {
			continue
		}
		for _, run := range candidates {
			if !stopping[run.Step()] && r.tryRotation(run, t) {
				rotations = append(rotations, Rotation{run, t})
				stopping[run.Step()] = true
				break
			}
		}
	}
	return rotations
}

// tryRotation reports whether a task fits in the place of a long-running run of another step,
// and accounts for it if so.
func (r *round) tryRotation(run *tracker.Run, t *tracker.Task) bool {
	s := t.Step
	m := r.findVM(run.VM.Name)
	if run.Step() == s || m == nil || m.slow || t.AvoidsVM(m.vm.Name) || !r.admitsAfterLateStart(t, m.vm) {
		return false
	}
	free := m.free.Add(run.Step().Spec.Committed())
	if !free.Fits(s.Spec.Committed()) || !m.eligible(s, r.runCounts(s)[m.vm]) {
		return false
	}
	m.free = free.Sub(s.Spec.Committed())
	r.runCounts(s)[m.vm]++
	return true
}
