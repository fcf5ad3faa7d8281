package controller

import (
	"slices"
	"time"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/control/placer"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

// Intervals between placement rounds.
const (
	minRoundInterval = 50 * time.Millisecond
	roundInterval    = 200 * time.Millisecond
	// staleRoundInterval applies to rounds that only throttle and move tasks to protect
	// services, while queued tasks wait for a store contact.
	staleRoundInterval = time.Second
)

// plan runs a placement round if one is due. Starts need a recent store contact. A round
// without one leaves out the queued tasks, so that services under pressure are still
// protected when nothing is queued, and thus no contact is made, or when the store is slow.
func (o *owner) plan() {
	now := o.config.Now()
	since := now.Sub(o.plannedAt)
	work := o.state.CountQueued() > 0 || o.state.Count(messenger.TaskRunning) > 0
	if !work || o.appendSlow() || o.stopping || !o.held() {
		return
	}
	fresh := o.contactFresh(now)
	if !fresh && o.state.CountQueued() > 0 && since < staleRoundInterval {
		return
	}
	if since < roundInterval && !o.urgent && !(o.dirty && since >= minRoundInterval) {
		return
	}
	o.plannedAt, o.dirty, o.urgent = now, false, false
	snapshot := o.placerSnapshot(now)
	if !fresh {
		snapshot.Queued = nil
	}
	began := time.Now()
	plan := o.config.Placer.Plan(snapshot)
	o.metrics.round.Update(time.Since(began).Seconds())
	if fresh {
		o.waitReasons = plan.Waits
	}
	o.applyPlan(plan, now)
}

// applyPlan journals the decisions of a plan that still apply.
func (o *owner) applyPlan(plan placer.Plan, now time.Time) {
	probed := make(map[string]bool)
	for _, s := range plan.Starts {
		o.start(s, probed)
	}
	for _, e := range plan.Evictions {
		if t := o.state.Task(e.TaskID); t != nil && t.State == messenger.TaskRunning && o.evictionBudget.take(now, o.evictionRate()) {
			o.move(t, e.Reason, e.Inputs)
		}
	}
	for _, th := range plan.Throttles {
		t := o.state.Task(th.TaskID)
		if t == nil || t.State != messenger.TaskRunning || t.Percent == th.Percent {
			continue
		}
		d := messenger.Decision{Task: th.TaskID, VM: t.VM, Reason: th.Reason, Inputs: th.Inputs}
		if o.decide(bookkeeper.Record{Throttled: &bookkeeper.Throttled{Task: th.TaskID, Percent: th.Percent}}, reporter.ThrottleDecided, d, nil) == nil {
			o.session(t.VM).endPlacement(th.TaskID, now)
			o.session(t.VM).addPlacement(t, now)
			o.session(t.VM).lastAdjusted = now
		}
	}
	for _, h := range plan.Holds {
		if t := o.state.Task(h.TaskID); t != nil && t.State == messenger.TaskQueued {
			_ = o.decide(heldRecord(h.TaskID, h.Reason), reporter.TaskHeld, messenger.Decision{Task: h.TaskID, Reason: h.Reason}, nil)
		}
	}
}

// start journals the start of a task. A VM that is probed after a quarantine gets one task
// at a time, so that it can't fail many tasks at once.
func (o *owner) start(s placer.Start, probed map[string]bool) {
	t, v := o.state.Task(s.TaskID), o.state.VM(s.VM)
	if t == nil || v == nil || t.State != messenger.TaskQueued {
		return
	}
	if v.Quarantines > 0 {
		if probed[s.VM] {
			return
		}
		probed[s.VM] = true
	}
	d := messenger.Decision{Task: s.TaskID, VM: s.VM, Service: t.Spec.Service, Reason: s.Reason, Inputs: s.Inputs}
	session := o.session(s.VM)
	started := bookkeeper.Started{Task: s.TaskID, VM: s.VM, Attempt: t.Attempt + 1, Incarnation: session.incarnation, WorkerLife: session.workerLife}
	if o.decide(bookkeeper.Record{Started: &started}, reporter.StartDecided, d, nil) == nil {
		o.metrics.starts.Inc()
		session.addPlacement(t, o.config.Now())
	}
}

// checkOvercommit moves tasks off a VM on which an upstream was started that no capacity
// was reserved for: upstreams announce themselves wherever their operators start them. The
// guarantee that a VM is never overcommitted has priority over the eviction budget. Tasks
// that can be checkpointed are moved first, the latest first.
func (o *owner) checkOvercommit() {
	for _, vm := range o.state.VMs() {
		total, committed := o.state.VM(vm).Seen.Capacity.Total, o.state.Committed(vm)
		if committed.Fits(total) {
			continue
		}
		tasks := o.state.On(vm)
		for _, t := range tasks {
			if t.State == messenger.TaskStopping {
				committed = committed.Sub(t.Spec.Needs)
			}
		}
		for _, checkpoint := range []bool{true, false} {
			for i := len(tasks) - 1; i >= 0 && !committed.Fits(total); i-- {
				t := tasks[i]
				class, _ := o.fleet.TaskClass(t.Spec.Class)
				if t.Spec.Service == "" && t.State != messenger.TaskStopping && class.Checkpoint == checkpoint {
					committed = committed.Sub(t.Spec.Needs)
					o.move(t, "an upstream needs the capacity", map[string]string{"vm": vm})
				}
			}
		}
	}
}

// move journals that a task is to be stopped and queued again, from a checkpoint if possible.
func (o *owner) move(t *bookkeeper.Task, reason string, inputs map[string]string) {
	d := messenger.Decision{Task: t.Spec.ID, VM: t.VM, Service: t.Spec.Service, Reason: reason, Inputs: inputs}
	stopping := bookkeeper.Stopping{Task: t.Spec.ID, Attempt: t.Attempt, Kind: bookkeeper.StopMove}
	if o.decide(bookkeeper.Record{Stopping: &stopping}, reporter.MoveDecided, d, nil) == nil {
		o.metrics.evictions.Inc()
		o.session(t.VM).lastAdjusted = o.config.Now()
	}
}

// placerSnapshot describes the cell to the placer.
func (o *owner) placerSnapshot(now time.Time) placer.Snapshot {
	s := placer.Snapshot{
		Now: now, Fleet: o.fleet, Interference: o.config.Interference, Pressure: o.config.Pressure,
		RecentWindows: o.config.RecentWindows, Unreconciled: !o.reconciled,
		EvictionsLeft: o.evictionBudget.left(now, o.evictionRate()),
	}
	names := o.state.VMs()
	for _, name := range names {
		s.VMs = append(s.VMs, o.describeVM(name, now))
		for _, t := range o.state.On(name) {
			s.Placed = append(s.Placed, o.describeTask(t, len(names)))
		}
	}
	for _, t := range o.state.Queued() {
		if !pauseActive(t.NotBefore, now, maxBackoff) {
			p := o.describeTask(t, len(names))
			p.NotBefore = time.Time{}
			s.Queued = append(s.Queued, p)
		}
	}
	return s
}

func (o *owner) describeVM(name string, now time.Time) placer.VM {
	v, session := o.state.VM(name), o.session(name)
	c := v.Seen.Capacity
	vm := placer.VM{
		Name: name, Zone: c.Zone, Rack: c.Rack, Total: c.Total, Committed: o.state.Committed(name),
		Reachable: session.reachable(now) && now.Sub(session.firstSeen) >= newVMDelay, Leaving: v.Seen.Leaving,
		Quarantined: v.Quarantined != "" || v.Quarantines > 0 && o.state.CountProbes(name) > 0,
		ReturnedAt:  o.zoneReturnedAt[c.Zone], LastAdjustedAt: session.lastAdjusted,
	}
	for _, u := range v.Seen.Services {
		vm.Services = append(vm.Services, u.Service)
	}
	for _, t := range o.state.On(name) {
		if t.Spec.Service != "" && !slices.Contains(vm.Services, t.Spec.Service) {
			vm.Services = append(vm.Services, t.Spec.Service)
		}
	}
	return vm
}

func (o *owner) describeTask(t *bookkeeper.Task, vms int) placer.Task {
	class, _ := o.fleet.TaskClass(t.Spec.Class)
	p := placer.Task{
		ID: t.Spec.ID, Tenant: t.Spec.Tenant, Class: t.Spec.Class, Service: t.Spec.Service,
		Needs: t.Spec.Needs, Urgent: t.Spec.Urgent, Checkpoint: class.Checkpoint, VM: t.VM,
		Stopping: t.State == messenger.TaskStopping, Submitted: t.Submitted,
		NotBefore: t.NotBefore, Percent: t.Percent,
	}
	if t.HoldsResources() {
		p.Started, p.NotBefore = t.NotBefore, time.Time{} // while a task holds resources, NotBefore is its start time
	}
	if len(t.FailedOn) > 0 && len(t.FailedOn) < vms { // if it failed on every VM, none is avoided
		p.Avoid = make(map[string]bool, len(t.FailedOn))
		for _, vm := range t.FailedOn {
			p.Avoid[vm] = true
		}
	}
	return p
}
