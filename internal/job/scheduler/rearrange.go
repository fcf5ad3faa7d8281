package scheduler

import (
	"time"

	"bamboospread/internal/job/planner"
	"bamboospread/internal/kernel/reporter"
)

// rearrange stops runs that should continue elsewhere or make way for others.
func (o *owner) rearrange(now time.Time) {
	if o.isPolicyStale() {
		return
	}
	o.leaveSlowVMs(now)
	o.yield(now)
	o.yieldAheadOfDemand(now)
	o.rotate(now)
	o.evict(now)
	o.preempt(now)
	if o.moves.planned = moveIntervalFor(len(o.state.VMs)); o.moves.due(now) {
		o.decide(&o.moves, now, func() { o.move(now) })
	}
	if o.gangRooms.due(now) {
		o.decide(&o.gangRooms, now, func() { o.makeGangRoom(now) })
	}
}

// moveIntervalFor returns the time between searches for moves. Larger fleets need more moves.
func moveIntervalFor(vms int) time.Duration {
	return max(min(moveInterval, moveInterval*moveIntervalVMs/time.Duration(max(vms, 1))), minMoveInterval)
}

// move stops long-running tasks that should restart on other VMs.
func (o *owner) move(now time.Time) {
	for _, m := range planner.Moves(o.input(now)) {
		o.s.config.Reporter.Report(reporter.JobMoveDecided, reporter.Fields{"task": m.Run.Key().Task.String(), "run": m.Run.Number, "vm": m.Run.VM.Name, "to": m.To.Name, "opens-cpu": int64(m.Gain)})
		cause := "moves for best-effort tasks"
		if m.For != nil {
			cause = "moves for a long-running task"
		}
		if o.interrupt(m.Run, cause) {
			o.state.SetRelocation(m.Run.Task, m.Relocation(now), now)
		}
	}
}

// makeGangRoom stops long-running tasks where gangs have waited too long.
func (o *owner) makeGangRoom(now time.Time) {
	for _, g := range planner.GangRooms(o.input(now)) {
		o.state.SetGangRoom(g.Gang, g.Record(now), now)
		if len(g.Stops) == 0 {
			continue
		}
		moves := 0
		for _, stop := range g.Stops {
			if !o.interrupt(stop.Run, "makes room for a gang") {
				continue
			}
			if stop.To != nil {
				o.state.SetRelocation(stop.Run.Task, stop.Relocation(now), now)
				moves++
			}
			stop.Run.Task.Yielded = stop.To == nil
		}
		o.s.config.Reporter.Report(reporter.GangRoomMade, reporter.Fields{
			"step": g.Gang.Name(), "tasks": len(g.Gang.Tasks), "waited": now.Sub(g.Gang.ReadyAt).String(), "stops": len(g.Stops), "moves": moves, "held": g.VMs != nil,
		})
	}
}

// yield stops long-running tasks where urgent ones wait for free capacity.
func (o *owner) yield(now time.Time) {
	runs, urgentDelayed := planner.Yields(o.input(now))
	if urgentDelayed {
		o.urgentDelayedAt = now
	}
	for _, r := range runs {
		r.Task.Yielded = o.interrupt(r, "yields to urgent tasks")
	}
}

// rotate stops long-running tasks so that others that have been unavailable for long can start
// in their place.
func (o *owner) rotate(now time.Time) {
	for _, r := range planner.Rotations(o.input(now)) {
		if o.interrupt(r.Run, "rotates with a long-running task") {
			r.Run.Task.Yielded = true
			o.state.SetRelocation(r.Task, r.Relocation(now), now)
		}
	}
}

// evict stops starved best-effort tasks that can continue elsewhere.
func (o *owner) evict(now time.Time) {
	for _, r := range planner.Evictions(o.input(now)) {
		o.interrupt(r, "can continue elsewhere")
	}
}

// preempt stops best-effort tasks that hold memory that long-running ones wait for.
func (o *owner) preempt(now time.Time) {
	for _, r := range planner.Preemptions(o.input(now)) {
		o.interrupt(r, "frees capacity for a long-running task")
	}
}
