package scheduler

import (
	"time"

	"bamboospread/internal/job/planner"
	"bamboospread/internal/kernel/reporter"
)

// rearrange stops what is to start elsewhere, or what others are to start in place of.
func (o *owner) rearrange(now time.Time) {
	if o.stalePolicy() {
		return
	}
	o.yield(now)
	o.takeTurns(now)
	o.evict(now)
	o.preempt(now)
	if now.Sub(o.movedAt) >= moveGapOf(len(o.state.VMs)) {
		o.movedAt = now
		o.move(now)
	}
}

// moveGapOf is the time between looks for moves: those that a fleet needs grow with it.
func moveGapOf(vms int) time.Duration {
	return max(min(moveGap, moveGap*moveVMs/time.Duration(max(vms, 1))), moveGapLeast)
}

// move stops lasting tasks that should start anew on other VMs.
func (o *owner) move(now time.Time) {
	for _, m := range planner.Moves(o.input(now)) {
		o.s.config.Reporter.Report(reporter.JobMoveDecided, reporter.Fields{"task": m.Run.Key().Task.String(), "run": m.Run.Number, "vm": m.Run.VM.Name, "to": m.To.Name, "opens-cpu": int64(m.Gain)})
		cause := "moves for filling tasks"
		if m.For != nil {
			cause = "moves for a lasting task"
		}
		if o.orderStop(m.Run, cause) {
			o.state.SetMove(m.Run.Task, m.Moving(now), now)
		}
	}
}

// yield stops lasting tasks where urgent ones wait for room.
func (o *owner) yield(now time.Time) {
	runs, pressed := planner.Yields(o.input(now))
	if pressed {
		o.pressedAt = now
	}
	for _, r := range runs {
		r.Task.Yielded = o.orderStop(r, "yields to urgent tasks")
	}
}

// takeTurns stops lasting tasks in whose place others come back that have been away for long.
func (o *owner) takeTurns(now time.Time) {
	for _, t := range planner.Turns(o.input(now)) {
		if o.orderStop(t.Run, "takes turns with a lasting task") {
			t.Run.Task.Yielded = true
			o.state.SetMove(t.Task, t.Moving(now), now)
		}
	}
}

// evict stops filling tasks that stand nearly still and can go on elsewhere.
func (o *owner) evict(now time.Time) {
	for _, r := range planner.Evictions(o.input(now)) {
		o.orderStop(r, "can go on elsewhere")
	}
}

// preempt stops filling tasks that hold the memory that lasting ones wait for.
func (o *owner) preempt(now time.Time) {
	for _, r := range planner.Preemptions(o.input(now)) {
		o.orderStop(r, "makes room for a lasting task")
	}
}
