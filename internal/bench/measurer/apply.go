package main

import (
	"math"

	"bamboospread/internal/control/learner"
	"bamboospread/internal/control/placer"
)

// apply executes a plan.
func (p *pool) apply(plan placer.Plan) {
	for _, s := range plan.Starts {
		p.start(p.tasks[s.TaskID], p.findVM(s.VM))
	}
	for _, th := range plan.Throttles {
		t := p.tasks[th.TaskID]
		v := p.findVM(t.VM)
		t.Percent = th.Percent
		v.spec.LastAdjustedAt = p.clock()
		v.endPlacement(t.ID, p.clock())
		v.placements = append(v.placements, learner.Placement{TaskID: t.ID, Class: t.Class, From: p.clock(), Percent: th.Percent})
		p.tally.throttles++
	}
	for _, e := range plan.Evictions {
		t := p.tasks[e.TaskID]
		t.Stopping, t.checkpointedAt = true, p.now+checkpointTime
		t.moves++
		p.findVM(t.VM).spec.LastAdjustedAt = p.clock()
		p.tally.addEviction(p.zonesOut[p.findVM(t.VM).spec.Zone])
	}
}

func (p *pool) start(t *task, v *vm) {
	for i, q := range p.queue {
		if q == t {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			break
		}
	}
	t.VM, t.Started, t.warmUntil, t.done = v.spec.Name, p.clock(), p.now+warmUp, t.saved
	v.spec.Committed = v.spec.Committed.Add(t.Needs)
	if !v.spec.Committed.Fits(v.spec.Total) || p.zonesOut[v.spec.Zone] || v.off {
		p.tally.violations++
	}
	v.tasks = append(v.tasks, t)
	v.placements = append(v.placements, learner.Placement{TaskID: t.ID, Class: t.Class, From: p.clock()})
	p.tally.starts++
}

func (p *pool) findVM(name string) *vm {
	for _, v := range p.vms {
		if v.spec.Name == name {
			return v
		}
	}
	return nil
}

// switchZone turns the VMs of a zone off or on. Running tasks lose their progress
// since the last checkpoint and are queued again.
func (p *pool) switchZone(zone string, on bool) {
	for _, v := range p.vms {
		if v.spec.Zone != zone {
			continue
		}
		v.off, v.spec.Reachable, v.window = !on, on, nil
		if on {
			v.spec.ReturnedAt = p.clock()
			continue
		}
		for _, t := range v.tasks {
			p.tally.lost++
			p.tally.lostWork += (t.done - t.saved) * float64(t.Needs.Millicores) / 1000
			p.removeTask(v, t)
			t.done = t.saved
			p.queue = append(p.queue, t)
		}
		v.tasks = nil
	}
}

// trueInterference returns the interference of a class at medium load according to the
// ground truth, with confidence 1.
func (p *pool) trueInterference(_, class string) (slowdown, confidence float64) {
	for i, c := range p.user.classes {
		if c.name == class {
			return math.Expm1(p.effects()[i]), 1
		}
	}
	return 0, 0
}

// finish counts the work that arrived and the tasks that are left in the queue.
func (p *pool) finish() {
	for _, t := range p.tasks {
		p.tally.addArrived(t)
	}
}
