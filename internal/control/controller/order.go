package controller

import (
	"context"
	"time"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

// Timing of starts and orders. maxContactAge and startValidity limit how late a task can
// start in a zone that was taken out.
const (
	maxContactAge   = 800 * time.Millisecond
	contactInterval = 250 * time.Millisecond
	contactTimeout  = 2 * time.Second
	startValidity   = 2000 * time.Millisecond
	resendInterval  = 700 * time.Millisecond
	confirmTimeout  = 15 * time.Second // a start that is neither confirmed nor refused by then is withdrawn
)

// contactFresh reports whether the last store contact is recent enough to order starts in
// reply to a poll that was received before now.
//
// A paused owner or agent must not start a task in a zone that was taken out long ago. The
// poll was received before this check, so the agent sent it before the check. The contact
// began at most maxContactAge before the check, and the fleet that it returned was current
// at some moment after it began, so every change accepted before that is respected. The
// agent refuses the start if more than startValidity has passed since it sent the poll. A
// start that ignores a change therefore happens at most maxContactAge + startValidity =
// 2.8 s after the change was accepted, however long either process was paused in between.
func (o *owner) contactFresh(now time.Time) bool {
	return o.contact.fleet != nil && o.contactAge(now) <= maxContactAge
}

// contactAge returns the time since the last store contact began. It compares the wall
// clock as well, because the monotonic clock does not advance while a whole VM is
// suspended.
func (o *owner) contactAge(now time.Time) time.Duration {
	return max(now.Sub(o.contact.began), now.Round(0).Sub(o.contact.began.Round(0)))
}

// startContact starts a store contact if one is needed and none is in flight.
func (o *owner) startContact(ctx context.Context) {
	now := o.config.Now()
	if o.contactInFlight || now.Sub(o.contactStartedAt) < contactInterval || !o.contactNeeded() {
		return
	}
	o.contactInFlight, o.contactStartedAt = true, now
	o.metrics.contacts.Inc()
	go func() {
		limited, cancel := context.WithTimeout(ctx, contactTimeout)
		defer cancel()
		began := o.config.Now()
		f, err := o.config.Refresh(limited)
		o.contacted <- contactEvent{fleet: f, began: began, err: err}
	}()
}

func (o *owner) contactNeeded() bool {
	return len(o.deferred) > 0 || o.state.CountQueued() > 0 || o.state.Count(messenger.TaskStarting) > 0
}

func (o *owner) completeContact(e contactEvent) {
	o.contactInFlight = false
	if e.err != nil || e.fleet == nil {
		o.retryDeferred(false)
		return
	}
	o.contact, o.dirty = e, true
	o.updateFleet(e.fleet)
	o.withdrawStarts()
	o.retryDeferred(true)
}

// withdrawStarts withdraws unconfirmed starts in zones that were taken out.
func (o *owner) withdrawStarts() {
	for _, vm := range o.state.VMs() {
		if !o.zoneOut(vm) {
			continue
		}
		for _, t := range o.state.On(vm) {
			if t.State == messenger.TaskStarting {
				o.withdraw(t, "its zone was taken out")
			}
		}
	}
}

func (o *owner) zoneOut(vm string) bool {
	v := o.state.VM(vm)
	return v != nil && o.fleet.ZoneIsOut(v.Seen.Capacity.Zone)
}

// withdraw journals that a start is withdrawn. The order may already be in transit, so the
// task is queued again only when the agent has refused or stopped the attempt, for which it
// keeps a tombstone, or when the lease of the VM has expired.
func (o *owner) withdraw(t *bookkeeper.Task, reason string) {
	d := messenger.Decision{Task: t.Spec.ID, VM: t.VM, Reason: reason}
	stopping := bookkeeper.Stopping{Task: t.Spec.ID, Attempt: t.Attempt, Kind: bookkeeper.StopAbort}
	o.decide(bookkeeper.Record{Stopping: &stopping}, reporter.StartWithdrawn, d, nil)
}

// replyToPolls replies to each pending poll that has orders or has waited long enough.
func (o *owner) replyToPolls() {
	now := o.config.Now()
	for vm, s := range o.sessions {
		if s.pending == nil {
			continue
		}
		orders := o.ordersFor(vm, s, now)
		if len(orders) == 0 && !s.replyNow && now.Before(s.pending.until) {
			continue
		}
		o.replyToPoll(s, orders)
	}
}

// replyToPoll replies to the pending poll and renews the VM's lease. The ownership is
// checked after the poll was received. The agent counts the lease from when it sent the
// poll, hence from before this check, so the lease ends before a successor stops waiting
// for it.
func (o *owner) replyToPoll(s *session, orders []messenger.Order) {
	call := s.pending.call
	s.pending = nil
	if !o.held() {
		call.fail(messenger.CodeNotOwner, "cell %s: the ownership lease could not be renewed in time", o.config.Cell)
		return
	}
	now := o.config.Now()
	grant := o.grantNow()
	s.grantedUntil = later(s.grantedUntil, o.leaseEnd(now, grant))
	s.leaseUntil = later(s.leaseUntil, s.grantedUntil)
	for _, order := range orders {
		at := messenger.TaskAttempt{TaskID: order.TaskID, Attempt: order.Attempt}
		s.sentOrders[sentOrder{at, order.Kind, order.Percent}] = now
	}
	s.replyNow = false
	acked := s.acked
	s.acked = nil
	call.succeed(messenger.PollReply{
		Epoch: o.epoch, EntryID: o.config.EntryID, LeaseMillis: grant.Milliseconds(), Outage: o.outage,
		Orders: orders, Acked: acked, ZonesOut: zonesOut(o.fleet),
	})
}

func zonesOut(f *describer.Fleet) []string {
	var out []string
	for _, z := range f.Zones() {
		if z.State == describer.ZoneOut {
			out = append(out, z.Name)
		}
	}
	return out
}

// ordersFor returns the journalled orders for a VM that are due to be sent.
func (o *owner) ordersFor(vm string, s *session, now time.Time) []messenger.Order {
	var orders []messenger.Order
	add := func(order messenger.Order) {
		at := messenger.TaskAttempt{TaskID: order.TaskID, Attempt: order.Attempt}
		if sent, ok := s.sentOrders[sentOrder{at, order.Kind, order.Percent}]; !ok || now.Sub(sent) > resendInterval {
			order.Epoch = o.epoch
			orders = append(orders, order)
		}
	}
	for at := range s.unassigned {
		add(messenger.Order{Kind: messenger.OrderStop, TaskID: at.TaskID, Attempt: at.Attempt})
	}
	for _, t := range o.state.On(vm) {
		if o.commits.uncommitted[t.Spec.ID] > 0 { // not journalled yet
			continue
		}
		if order, ok := o.orderFor(t, s, now); ok {
			add(order)
		}
	}
	return orders
}

// orderFor returns the order that the state of a task calls for, if any.
func (o *owner) orderFor(t *bookkeeper.Task, s *session, now time.Time) (messenger.Order, bool) {
	order := messenger.Order{TaskID: t.Spec.ID, Attempt: t.Attempt, AgentIncarnation: t.StartedBy, WorkerLife: t.StartedLife}
	switch t.State {
	case messenger.TaskStarting:
		if !o.contactFresh(now) || o.zoneOut(t.VM) || now.Sub(s.pending.call.received) > startValidity {
			return order, false
		}
		order.Kind, order.ExpiresAfterMillis = messenger.OrderStart, startValidity.Milliseconds()
		order.Needs, order.Class, order.Tenant, order.Service = t.Spec.Needs, t.Spec.Class, t.Spec.Tenant, t.Spec.Service
		order.Payload, order.RunTime, order.Checkpoint = t.Spec.Payload, t.Spec.RunTimeMillis, t.Checkpoint
		return order, true
	case messenger.TaskStopping:
		order.Kind = messenger.OrderStop
		if t.Stop == bookkeeper.StopMove {
			order.Kind = messenger.OrderCheckpoint
		}
		return order, true
	case messenger.TaskRunning:
		// Repeated until the worker reports this percentage: the order may be lost with a
		// reply that the agent no longer waited for, or fail at the worker.
		at := messenger.TaskAttempt{TaskID: t.Spec.ID, Attempt: t.Attempt}
		if t.Percent > 0 && s.reported[at].Percent != t.Percent {
			order.Kind, order.Percent = messenger.OrderThrottle, t.Percent
			return order, true
		}
	}
	return order, false
}

// checkStarts withdraws starts that the agent neither confirmed nor refused in time, and
// forgets the sent orders of ended attempts.
func (o *owner) checkStarts(now time.Time) {
	for vm, s := range o.sessions {
		if !s.reachable(now) {
			continue
		}
		for _, t := range o.state.On(vm) {
			if t.State == messenger.TaskStarting && now.Sub(t.Changed) > confirmTimeout {
				o.withdraw(t, "the agent neither confirmed nor refused it")
			}
		}
		for sent := range s.sentOrders {
			if cur := o.state.Task(sent.attempt.TaskID); cur == nil || !cur.HoldsResources() || cur.Attempt != sent.attempt.Attempt {
				delete(s.sentOrders, sent)
			}
		}
	}
}
