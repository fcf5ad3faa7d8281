package controller

import (
	"context"
	"time"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

// Lengths that bound the last start in a zone that was taken out.
const (
	contactAge   = 800 * time.Millisecond
	contactPause = 250 * time.Millisecond
	contactLimit = 2 * time.Second
	voidAfter    = 2000 * time.Millisecond
	resendAfter  = 700 * time.Millisecond
	confirmLimit = 15 * time.Second // a start that is neither confirmed nor refused by then is withdrawn
)

// freshAt tells whether the last store contact is recent enough to hand out
// starts in reply to a poll that was received before now.
//
// A paused owner or agent must not start a task in a zone long taken out. The
// poll was received before this check, so the agent sent it before the check.
// The contact began at most contactAge before the check, and the fleet it gave
// was in force at some moment after it began: a change accepted before that is
// obeyed. The agent refuses the start later than voidAfter after it sent the
// poll. So a start that does not obey a change happens at most
// contactAge + voidAfter = 2.8 s after it was accepted, however long either
// process was paused in between.
func (o *owner) freshAt(now time.Time) bool {
	return o.contact.fleet != nil && o.sinceContact(now) <= contactAge
}

// sinceContact compares the wall clock as well, since the monotonic clock
// stands still while a whole VM is suspended.
func (o *owner) sinceContact(now time.Time) time.Duration {
	return max(now.Sub(o.contact.began), now.Round(0).Sub(o.contact.began.Round(0)))
}

// askContact makes a store contact if one is needed and none is under way.
func (o *owner) askContact(ctx context.Context) {
	now := o.config.Now()
	if o.asking || now.Sub(o.asked) < contactPause || !o.needContact() {
		return
	}
	o.asking, o.asked = true, now
	o.meters.contacts.Inc()
	go func() {
		limited, cancel := context.WithTimeout(ctx, contactLimit)
		defer cancel()
		began := o.config.Now()
		f, err := o.config.Refresh(limited)
		o.contacted <- contactEvent{fleet: f, began: began, err: err}
	}()
}

func (o *owner) needContact() bool {
	return len(o.doubtful) > 0 || o.books.CountQueued() > 0 || o.books.Count(messenger.TaskStarting) > 0
}

func (o *owner) takeContact(e contactEvent) {
	o.asking = false
	if e.err != nil || e.fleet == nil {
		o.retryDoubtful(false)
		return
	}
	o.contact, o.dirty = e, true
	o.takeFleet(e.fleet)
	o.withdrawStarts()
	o.retryDoubtful(true)
}

// withdrawStarts takes back starts that are not confirmed and whose zone is out
// by now.
func (o *owner) withdrawStarts() {
	for _, vm := range o.books.VMs() {
		if !o.zoneOut(vm) {
			continue
		}
		for _, t := range o.books.On(vm) {
			if t.State == messenger.TaskStarting {
				o.withdraw(t, "its zone was taken out")
			}
		}
	}
}

func (o *owner) zoneOut(vm string) bool {
	v := o.books.VM(vm)
	return v != nil && o.fleet.ZoneIsOut(v.Seen.Capacity.Zone)
}

// withdraw takes a start back. Its task is queued again only when the agent has
// refused or stopped the attempt, of which a tombstone stays, or the lease of
// the VM has run out: the order may be on its way already.
func (o *owner) withdraw(t *bookkeeper.Task, reason string) {
	d := messenger.Decision{Task: t.Spec.ID, VM: t.VM, Reason: reason}
	stopping := bookkeeper.Stopping{Task: t.Spec.ID, Attempt: t.Attempt, Kind: bookkeeper.StopAbort}
	o.decide(bookkeeper.Record{Stopping: &stopping}, reporter.StartWithdrawn, d, nil)
}

// answerPolls answers each poll that has orders or has waited long enough.
func (o *owner) answerPolls() {
	now := o.config.Now()
	for vm, s := range o.sessions {
		if s.parked == nil {
			continue
		}
		orders := o.ordersFor(vm, s, now)
		if len(orders) == 0 && !s.answerNow && now.Before(s.parked.until) {
			continue
		}
		o.answerPoll(s, orders)
	}
}

// answerPoll renews the VM's lease. The ownership is checked after the poll was
// received: the agent counts the lease from when it sent the poll, hence from
// before this check, so it ends before a successor stops waiting for it.
func (o *owner) answerPoll(s *session, orders []messenger.Order) {
	call := s.parked.call
	s.parked = nil
	if !o.held() {
		call.fail(messenger.CodeNotOwner, "cell %s: ownership can't be renewed", o.config.Cell)
		return
	}
	now := o.config.Now()
	grant := o.grantNow()
	if end := o.leaseEnd(now, grant); end.After(s.leaseUntil) {
		s.leaseUntil = end
	}
	for _, order := range orders {
		at := messenger.TaskAttempt{TaskID: order.TaskID, Attempt: order.Attempt}
		s.sent[sentOrder{at, order.Kind, order.Percent}] = now
	}
	s.answerNow = false
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

// ordersFor returns the orders for a VM that are journalled and due.
func (o *owner) ordersFor(vm string, s *session, now time.Time) []messenger.Order {
	var orders []messenger.Order
	add := func(order messenger.Order) {
		at := messenger.TaskAttempt{TaskID: order.TaskID, Attempt: order.Attempt}
		if sent, ok := s.sent[sentOrder{at, order.Kind, order.Percent}]; !ok || now.Sub(sent) > resendAfter {
			order.Epoch = o.epoch
			orders = append(orders, order)
		}
	}
	for at := range s.strays {
		add(messenger.Order{Kind: messenger.OrderStop, TaskID: at.TaskID, Attempt: at.Attempt})
	}
	for _, t := range o.books.On(vm) {
		if o.commits.open[t.Spec.ID] > 0 { // not journalled yet
			continue
		}
		if order, ok := o.orderFor(t, s, now); ok {
			add(order)
		}
	}
	return orders
}

func (o *owner) orderFor(t *bookkeeper.Task, s *session, now time.Time) (messenger.Order, bool) {
	order := messenger.Order{TaskID: t.Spec.ID, Attempt: t.Attempt}
	switch t.State {
	case messenger.TaskStarting:
		if !o.freshAt(now) || o.zoneOut(t.VM) || now.Sub(s.parked.call.received) > voidAfter {
			return order, false
		}
		order.Kind, order.VoidAfterMillis = messenger.OrderStart, voidAfter.Milliseconds()
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
		// Ordered until the worker tells that it runs so: the order may be lost with a
		// reply that the agent gave up, or fail at the worker.
		at := messenger.TaskAttempt{TaskID: t.Spec.ID, Attempt: t.Attempt}
		if t.Percent > 0 && s.listed[at].Percent != t.Percent {
			order.Kind, order.Percent = messenger.OrderThrottle, t.Percent
			return order, true
		}
	}
	return order, false
}

// checkStarts withdraws starts that are neither confirmed nor refused, and
// forgets orders sent long ago.
func (o *owner) checkStarts(now time.Time) {
	for vm, s := range o.sessions {
		if !s.reachable(now) {
			continue
		}
		for _, t := range o.books.On(vm) {
			if t.State == messenger.TaskStarting && now.Sub(t.Changed) > confirmLimit {
				o.withdraw(t, "the agent neither confirmed nor refused it")
			}
		}
		for sent := range s.sent {
			if cur := o.books.Task(sent.attempt.TaskID); cur == nil || !cur.Holds() || cur.Attempt != sent.attempt.Attempt {
				delete(s.sent, sent)
			}
		}
	}
}
