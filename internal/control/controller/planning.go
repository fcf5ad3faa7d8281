package controller

import (
	"slices"
	"time"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/control/placer"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

// Pace of rounds.
const (
	roundPause = 50 * time.Millisecond
	roundEvery = 200 * time.Millisecond
	// staleRoundEvery is the pace of rounds that only relieve services, while
	// queued tasks wait for a store contact.
	staleRoundEvery = time.Second
)

// plan runs a round of the placer if there is work for it. Starts need a recent
// store contact; a round without one leaves the queue out, so that services
// under pressure are relieved also while nothing is queued, and no contact is
// asked for, or while the store is slow.
func (o *owner) plan() {
	now := o.config.Now()
	since := now.Sub(o.planned)
	work := o.books.CountQueued() > 0 || o.books.Count(messenger.TaskRunning) > 0
	if !work || o.slow() || o.stopping || !o.held() {
		return
	}
	fresh := o.freshAt(now)
	if !fresh && o.books.CountQueued() > 0 && since < staleRoundEvery {
		return
	}
	if since < roundEvery && !o.urgent && !(o.dirty && since >= roundPause) {
		return
	}
	o.planned, o.dirty, o.urgent = now, false, false
	snapshot := o.snapshot(now)
	if !fresh {
		snapshot.Queued = nil
	}
	began := time.Now()
	plan := o.config.Placer.Plan(snapshot)
	o.meters.round.Update(time.Since(began).Seconds())
	if fresh {
		o.waits = plan.Waits
	}
	o.carryOut(plan, now)
}

func (o *owner) carryOut(plan placer.Plan, now time.Time) {
	probed := make(map[string]bool)
	for _, s := range plan.Starts {
		o.start(s, probed)
	}
	for _, e := range plan.Evictions {
		if t := o.books.Task(e.TaskID); t != nil && t.State == messenger.TaskRunning && o.evicts.take(now, o.evictionRate()) {
			o.move(t, e.Reason, e.Inputs)
		}
	}
	for _, h := range plan.Throttles {
		t := o.books.Task(h.TaskID)
		if t == nil || t.State != messenger.TaskRunning || t.Percent == h.Percent {
			continue
		}
		d := messenger.Decision{Task: h.TaskID, VM: t.VM, Reason: h.Reason, Inputs: h.Inputs}
		if o.decide(bookkeeper.Record{Throttled: &bookkeeper.Throttled{Task: h.TaskID, Percent: h.Percent}}, reporter.ThrottleDecided, d, nil) {
			o.session(t.VM).closeHistory(h.TaskID, now)
			o.session(t.VM).openHistory(t, now)
			o.session(t.VM).acted = now
		}
	}
	for _, h := range plan.Holds {
		if t := o.books.Task(h.TaskID); t != nil && t.State == messenger.TaskQueued {
			o.hold(h.TaskID, h.Reason, true, nil)
		}
	}
}

// start journals one start. A VM that is being probed after a quarantine gets
// one task at a time, so that it can't fail a whole wave.
func (o *owner) start(s placer.Start, probed map[string]bool) {
	t, v := o.books.Task(s.TaskID), o.books.VM(s.VM)
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
	started := bookkeeper.Started{Task: s.TaskID, VM: s.VM, Attempt: t.Attempt + 1, Incarnation: o.session(s.VM).incarnation}
	if o.decide(bookkeeper.Record{Started: &started}, reporter.StartDecided, d, nil) {
		o.meters.starts.Inc()
		o.session(s.VM).openHistory(t, o.config.Now())
	}
}

// checkRoom moves tasks off a VM on which an upstream has come up that its room
// was not kept for: upstreams announce themselves where their operators start
// them. The promise that a VM is never overcommitted goes before the budget of
// evictions; tasks that can be checkpointed go first, the latest first.
func (o *owner) checkRoom() {
	for _, vm := range o.books.VMs() {
		total, held := o.books.VM(vm).Seen.Capacity.Total, o.books.Committed(vm)
		if held.Fits(total) {
			continue
		}
		tasks := o.books.On(vm)
		for _, t := range tasks {
			if t.State == messenger.TaskStopping {
				held = held.Sub(t.Spec.Needs)
			}
		}
		for _, checkpoint := range []bool{true, false} {
			for i := len(tasks) - 1; i >= 0 && !held.Fits(total); i-- {
				t := tasks[i]
				class, _ := o.fleet.TaskClass(t.Spec.Class)
				if t.Spec.Service == "" && t.State != messenger.TaskStopping && class.Checkpoint == checkpoint {
					held = held.Sub(t.Spec.Needs)
					o.move(t, "an upstream needs its room", map[string]string{"vm": vm})
				}
			}
		}
	}
}

func (o *owner) move(t *bookkeeper.Task, reason string, inputs map[string]string) {
	d := messenger.Decision{Task: t.Spec.ID, VM: t.VM, Service: t.Spec.Service, Reason: reason, Inputs: inputs}
	stopping := bookkeeper.Stopping{Task: t.Spec.ID, Attempt: t.Attempt, Kind: bookkeeper.StopMove}
	if o.decide(bookkeeper.Record{Stopping: &stopping}, reporter.MoveDecided, d, nil) {
		o.meters.evictions.Inc()
		o.session(t.VM).acted = o.config.Now()
	}
}

// snapshot describes the cell to the placer.
func (o *owner) snapshot(now time.Time) placer.Snapshot {
	s := placer.Snapshot{
		Now: now, Fleet: o.fleet, Interference: o.config.Interference, Pressure: o.config.Pressure,
		Recent: o.config.Recent, Unsettled: !o.settled,
		EvictionsLeft: o.evicts.left(now, o.evictionRate()),
	}
	names := o.books.VMs()
	for _, name := range names {
		s.VMs = append(s.VMs, o.describeVM(name, now))
		for _, t := range o.books.On(name) {
			s.Placed = append(s.Placed, o.describeTask(t, len(names)))
		}
	}
	for _, t := range o.books.Queued() {
		if !lasts(t.NotBefore, now, lastBackoff) {
			p := o.describeTask(t, len(names))
			p.NotBefore = time.Time{}
			s.Queued = append(s.Queued, p)
		}
	}
	return s
}

func (o *owner) describeVM(name string, now time.Time) placer.VM {
	v, session := o.books.VM(name), o.session(name)
	c := v.Seen.Capacity
	vm := placer.VM{
		Name: name, Zone: c.Zone, Rack: c.Rack, Total: c.Total, Committed: o.books.Committed(name),
		Reachable: session.reachable(now) && now.Sub(session.joined) >= newVMPause, Leaving: v.Seen.Leaving,
		Quarantined: v.Quarantined != "" || v.Quarantines > 0 && o.books.CountOn(name) > 0,
		ReturnedAt:  o.returned[c.Zone], Acted: session.acted,
	}
	for _, h := range v.Seen.Services {
		vm.Services = append(vm.Services, h.Service)
	}
	for _, t := range o.books.On(name) {
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
	if t.Holds() {
		p.Started, p.NotBefore = t.NotBefore, time.Time{} // while it holds, NotBefore is when it was started
	}
	if len(t.FailedOn) > 0 && len(t.FailedOn) < vms { // failed everywhere: any VM is as good
		p.Avoid = make(map[string]bool, len(t.FailedOn))
		for _, vm := range t.FailedOn {
			p.Avoid[vm] = true
		}
	}
	return p
}
