package controller

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

// Timing of polls and leases.
const (
	maxPollWait        = time.Second
	reachableTimeout   = 2500 * time.Millisecond // since the last poll
	pollWaitDivisor    = 4                       // a poll waits for at most a quarter of the lease
	leaseMarginDivisor = 20                      // clock rates differ by far less than a twentieth
	minLeaseMargin     = 250 * time.Millisecond
	placementRetention = time.Minute
	newVMDelay         = 1500 * time.Millisecond // no task starts on a new VM until its upstreams had this time to announce themselves
	serviceUsageGrace  = 10 * time.Second        // capacity stays committed this long for an upstream that is no longer announced
)

// session is the volatile state of a VM, which the owner keeps for one epoch.
type session struct {
	polled       bool // the agent has polled in this epoch
	incarnation  int64
	workerLife   string         // of the worker that the latest poll listed
	replaced     map[int64]bool // earlier incarnations of the agent
	sequence     int64
	epochAcked   bool // the agent has received a reply of this epoch
	lastPoll     time.Time
	reported     map[messenger.TaskAttempt]messenger.TaskReport // all attempts in the latest poll
	leaseUntil   time.Time                                      // when every lease granted to the VM has certainly expired
	grantedUntil time.Time                                      // the same of those that this owner has granted
	pending      *pendingPoll
	replyNow     bool                           // reply to the pending poll even without orders
	acked        []messenger.TaskAttempt        // ended attempts to acknowledge in the next reply
	unassigned   map[messenger.TaskAttempt]bool // reported as running, but not assigned to the VM
	sentOrders   map[sentOrder]time.Time        // when each order was last sent
	placements   []Placement                    // current and recent ones
	firstSeen    time.Time                      // when this owner saw the VM for the first time; zero if an earlier owner had seen it
	fewerSince   map[string]time.Time           // by service, since when it has announced fewer upstreams than committed
	lastAdjusted time.Time                      // when a task of the VM was last throttled or moved; usage reports lag behind it
}

// pendingPoll is a poll that waits for orders.
type pendingPoll struct {
	call  callEvent
	until time.Time
}

// sentOrder identifies an order that was sent to an agent.
type sentOrder struct {
	attempt messenger.TaskAttempt
	kind    messenger.OrderKind
	percent int
}

// leaseEnd returns when a lease granted at the given time has certainly expired.
func (o *owner) leaseEnd(granted time.Time, lease time.Duration) time.Time {
	if lease <= 0 {
		return granted
	}
	return granted.Add(lease + max(lease/leaseMarginDivisor, minLeaseMargin))
}

// earlierLeasesEnd returns when every lease that an earlier owner has granted has certainly expired. The store may
// have dropped the lease of that owner early: then it goes on to grant leases until its own has expired by its clock.
func (o *owner) earlierLeasesEnd() time.Time {
	if o.priorLease <= 0 {
		return o.takeoverAt
	}
	return o.leaseEnd(o.takeoverAt, o.config.OwnerLease+o.priorLease)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *session) reachable(now time.Time) bool {
	return s.polled && now.Sub(s.lastPoll) < reachableTimeout
}

// handlePoll processes the reports of a VM's agent and keeps the poll pending until there
// are orders for it.
func (o *owner) handlePoll(call callEvent, p messenger.Poll) {
	if !o.held() {
		// No lease may be renewed unless the ownership is certainly held: a successor may
		// already rely on the expiry of this epoch's leases.
		call.fail(messenger.CodeNotOwner, "cell %s: the ownership lease could not be renewed in time", o.config.Cell)
		return
	}
	if p.Epoch > o.epoch {
		call.fail(messenger.CodeNotOwner, "cell %s: the agent has seen epoch %d, this owner has epoch %d", o.config.Cell, p.Epoch, o.epoch)
		return
	}
	s := o.session(p.Capacity.VM)
	if s.outdated(p, o.config.Now()) {
		call.fail(messenger.CodeBadRequest, "poll %d of incarnation %d is outdated: the latest is poll %d of incarnation %d", p.Sequence, p.Incarnation, s.sequence, s.incarnation)
		return
	}
	o.recordPoll(s, p)
	o.recordVM(p)
	o.applyReports(s, p)
	o.observeUsage(s, p)
	if s.pending != nil {
		s.pending.call.fail(messenger.CodeBadRequest, "replaced by a later poll")
	}
	// The agent counts a lease from when it sent the poll. If a poll were pending for too
	// long, the lease would expire before the next reply.
	wait := min(messenger.FromMillis(p.WaitMillis), maxPollWait, o.config.VMLease/pollWaitDivisor)
	s.pending = &pendingPoll{call: call, until: call.received.Add(wait)}
	s.replyNow = s.replyNow || p.Epoch != o.epoch // until the agent has this epoch, no poll shows which attempts have ended
}

// outdated reports whether a poll arrived after a later one. A process with a lower
// incarnation may be the later one if the time of day stepped back between the two; its
// polls are accepted once the other process has stopped polling.
func (s *session) outdated(p messenger.Poll, now time.Time) bool {
	if p.Incarnation == s.incarnation {
		return p.Sequence <= s.sequence
	}
	return s.replaced[p.Incarnation] || p.Incarnation < s.incarnation && s.reachable(now)
}

func (o *owner) session(vm string) *session {
	s := o.sessions[vm]
	if s == nil {
		s = &session{unassigned: make(map[messenger.TaskAttempt]bool), sentOrders: make(map[sentOrder]time.Time)}
		o.sessions[vm] = s
	}
	return s
}

// recordPoll updates the session from a poll. Once the agent sends this epoch it has
// received a reply of this owner, which replaces the lease that an earlier owner granted.
// Only then does the wait for that owner's longer lease end for this VM.
func (o *owner) recordPoll(s *session, p messenger.Poll) {
	if p.Incarnation != s.incarnation {
		clear(s.sentOrders)
		if s.replaced == nil {
			s.replaced = make(map[int64]bool)
		}
		s.replaced[s.incarnation] = s.polled
	}
	if !s.polled {
		o.dirty = true
	}
	s.polled, s.incarnation, s.sequence, s.workerLife = true, p.Incarnation, p.Sequence, p.WorkerLife
	s.lastPoll = o.config.Now()
	if p.Epoch == o.epoch && !s.epochAcked {
		s.epochAcked = true
		s.leaseUntil = later(s.grantedUntil, o.leaseEnd(s.lastPoll, max(o.config.VMLease, o.grantNow())))
	}
}

// grantNow returns the length of the lease that the reply to a poll grants now.
func (o *owner) grantNow() time.Duration {
	if o.outage {
		return max(o.config.OutageLease, o.config.VMLease)
	}
	return o.config.VMLease
}

// recordVM journals a new VM or a change of a known one.
func (o *owner) recordVM(p messenger.Poll) {
	seen := bookkeeper.VMSeen{
		Capacity: p.Capacity, AgentID: p.AgentID, Incarnation: p.Incarnation,
		Services: o.serviceUsage(p.Upstreams), Leaving: p.Leaving,
	}
	code, reason := reporter.VMJoined, "first session of agent "+p.AgentID
	s, v := o.session(p.Capacity.VM), o.state.VM(p.Capacity.VM)
	if v == nil {
		s.firstSeen = o.config.Now()
	} else {
		seen.Services = s.mergeServiceUsage(v.Seen.Services, seen.Services, o.config.Now())
		if sameVM(v.Seen, seen) {
			return
		}
		code, reason = reporter.VMChanged, "capacity, location, agent or upstreams changed"
	}
	o.decide(bookkeeper.Record{VMSeen: &seen}, code, messenger.Decision{VM: p.Capacity.VM, Reason: reason}, nil)
}

// mergeServiceUsage returns the capacity to commit for upstreams, given the earlier and the
// announced usage. A restarted agent has no upstreams until they announce themselves
// again. If their capacity were freed meanwhile, tasks would use it and the VM would be
// overcommitted a second later. The usage therefore shrinks only after fewer upstreams were
// announced for longer than they take to announce themselves.
func (s *session) mergeServiceUsage(earlier, announced []bookkeeper.ServiceUsage, now time.Time) []bookkeeper.ServiceUsage {
	if s.fewerSince == nil {
		s.fewerSince = make(map[string]time.Time)
	}
	for _, old := range earlier {
		at := slices.IndexFunc(announced, func(u bookkeeper.ServiceUsage) bool { return u.Service == old.Service })
		if at >= 0 && announced[at].Count >= old.Count {
			delete(s.fewerSince, old.Service)
			continue
		}
		if since, ok := s.fewerSince[old.Service]; !ok {
			s.fewerSince[old.Service] = now
		} else if now.Sub(since) > serviceUsageGrace {
			continue
		}
		if at >= 0 {
			announced[at].Count = old.Count
		} else {
			announced = append(announced, old)
		}
	}
	sort.Slice(announced, func(i, j int) bool { return announced[i].Service < announced[j].Service })
	return announced
}

func sameVM(a, b bookkeeper.VMSeen) bool {
	return a.Capacity == b.Capacity && a.AgentID == b.AgentID && a.Incarnation == b.Incarnation &&
		a.Leaving == b.Leaving && slices.Equal(a.Services, b.Services)
}

func (o *owner) serviceUsage(upstreams []messenger.Upstream) []bookkeeper.ServiceUsage {
	counts := make(map[string]int64)
	for _, u := range upstreams {
		counts[u.Service]++
	}
	usage := make([]bookkeeper.ServiceUsage, 0, len(counts))
	for name, n := range counts {
		var needs describer.Resources
		if s, ok := o.fleet.Service(name); ok {
			needs = s.Needs
		}
		usage = append(usage, bookkeeper.ServiceUsage{Service: name, Count: n, Needs: needs})
	}
	sort.Slice(usage, func(i, j int) bool { return usage[i].Service < usage[j].Service })
	return usage
}

// checkLeases ends the attempts on VMs whose lease has certainly expired. By then the
// worker itself has ended them, so the tasks may run elsewhere.
func (o *owner) checkLeases(now time.Time) {
	leasesPending := false
	for _, name := range o.state.VMs() {
		s := o.session(name)
		if !s.epochAcked && now.Before(o.earlierLeasesEnd()) {
			leasesPending = true
		}
		if now.Before(s.leaseUntil) {
			continue
		}
		o.expireVM(name, s, now)
	}
	if !leasesPending && !o.reconciled {
		o.reconciled = true
		o.decide(bookkeeper.Record{EarlierLeasesExpired: &bookkeeper.EarlierLeasesExpired{}}, reporter.EarlierLeasesEnded,
			messenger.Decision{Reason: "every VM has contacted this owner or its lease has expired"}, nil)
	}
}

// expireVM ends the attempts on a VM whose lease has expired, and forgets a VM without
// tasks after a long time without contact.
func (o *owner) expireVM(name string, s *session, now time.Time) {
	tasks := o.state.On(name)
	if len(tasks) > 0 {
		o.config.Reporter.Report(reporter.VMLost, reporter.Fields{"cell": o.config.Cell, "vm": name, "tasks": len(tasks)})
	}
	for _, t := range tasks {
		o.endAttempt(t, attemptEnd{state: messenger.ReportLost, reason: "lease of the VM expired", unreported: true}, nil)
	}
	if len(tasks) == 0 && now.Sub(s.lastPoll) > forgetVMAfter && now.Sub(o.takeoverAt) > forgetVMAfter {
		o.decide(bookkeeper.Record{VMRemoved: &bookkeeper.VMRemoved{VM: name}}, reporter.VMRemoved,
			messenger.Decision{VM: name, Reason: fmt.Sprintf("no contact for more than %s", forgetVMAfter)}, nil)
		delete(o.sessions, name)
	}
}

const forgetVMAfter = 10 * time.Minute
