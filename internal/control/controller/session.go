package controller

import (
	"slices"
	"sort"
	"time"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

// Lengths of sessions.
const (
	maxWait          = time.Second
	reachableFor     = 2500 * time.Millisecond // without a poll
	heldShare        = 4                       // a poll is held for at most this part of the lease
	leaseMarginDiv   = 20                      // clocks run at rates that differ by far less than a twentieth
	leastLeaseMargin = 250 * time.Millisecond
	historyFor       = time.Minute
	newVMPause       = 1500 * time.Millisecond // until the upstreams of a new VM have announced themselves
	holdGrace        = 10 * time.Second        // of the commitment for an upstream that is not announced any more
)

// session is what the owner knows of a VM in this epoch only.
type session struct {
	contacted   bool // in this epoch
	incarnation int64
	replaced    map[int64]bool // incarnations before it
	sequence    int64
	epochSeen   bool // the agent has taken a reply of this epoch
	lastPoll    time.Time
	listed      map[messenger.TaskAttempt]messenger.TaskReport // every attempt in the latest poll
	leaseUntil  time.Time                                      // by when every lease granted on the VM has surely run out
	parked      *parkedPoll
	answerNow   bool
	acked       []messenger.TaskAttempt
	strays      map[messenger.TaskAttempt]bool
	sent        map[sentOrder]time.Time
	history     []Placement
	joined      time.Time            // when the VM was first seen at all, if by this owner
	fewer       map[string]time.Time // since when a service has had fewer upstreams than committed
	acted       time.Time            // when a task of the VM was last throttled or moved; reports lag
}

// parkedPoll is a poll that waits for orders.
type parkedPoll struct {
	call  callEvent
	until time.Time
}

// sentOrder names an order that was handed out.
type sentOrder struct {
	attempt messenger.TaskAttempt
	kind    messenger.OrderKind
	percent int
}

// leaseEnd returns when a lease granted at a time has surely run out.
func (o *owner) leaseEnd(granted time.Time, lease time.Duration) time.Time {
	if lease <= 0 {
		return granted
	}
	return granted.Add(lease + max(lease/leaseMarginDiv, leastLeaseMargin))
}

func (s *session) reachable(now time.Time) bool {
	return s.contacted && now.Sub(s.lastPoll) < reachableFor
}

// takePoll takes the reports of a VM's agent and parks the poll until there are
// orders for it.
func (o *owner) takePoll(call callEvent, p messenger.Poll) {
	if !o.held() {
		// Without the ownership surely held no lease may be renewed: a successor
		// may already count on this epoch's leases running out.
		call.fail(messenger.CodeNotOwner, "cell %s: ownership can't be renewed", o.config.Cell)
		return
	}
	if p.Epoch > o.epoch {
		call.fail(messenger.CodeNotOwner, "cell %s: agent has seen epoch %d", o.config.Cell, p.Epoch)
		return
	}
	s := o.session(p.Capacity.VM)
	if s.outdated(p, o.config.Now()) {
		call.fail(messenger.CodeBadRequest, "poll %d of incarnation %d is out of date", p.Sequence, p.Incarnation)
		return
	}
	o.admitPoll(s, p)
	o.seeVM(p)
	o.takeReports(s, p)
	o.observe(s, p)
	if s.parked != nil {
		s.parked.call.fail(messenger.CodeBadRequest, "replaced by a later poll")
	}
	// A lease counts from when its poll was sent, so a poll held long would
	// leave nothing of it before the next reply.
	wait := min(messenger.FromMillis(p.WaitMillis), maxWait, o.config.VMLease/heldShare)
	s.parked = &parkedPoll{call: call, until: call.received.Add(wait)}
}

// outdated tells of a poll that a later one has overtaken. The process with the lower
// number may be the later one, if the time of day jumped back between the two: it is
// taken once the other is silent.
func (s *session) outdated(p messenger.Poll, now time.Time) bool {
	if p.Incarnation == s.incarnation {
		return p.Sequence <= s.sequence
	}
	return s.replaced[p.Incarnation] || p.Incarnation < s.incarnation && s.reachable(now)
}

func (o *owner) session(vm string) *session {
	s := o.sessions[vm]
	if s == nil {
		s = &session{strays: make(map[messenger.TaskAttempt]bool), sent: make(map[sentOrder]time.Time)}
		o.sessions[vm] = s
	}
	return s
}

// admitPoll notes the contact. Once the agent carries this epoch it has taken a
// reply of ours, and what an earlier owner granted it is replaced: only then
// does the wait for that owner's longer lease end for this VM.
func (o *owner) admitPoll(s *session, p messenger.Poll) {
	if p.Incarnation != s.incarnation {
		clear(s.sent)
		if s.replaced == nil {
			s.replaced = make(map[int64]bool)
		}
		s.replaced[s.incarnation] = s.contacted
	}
	if !s.contacted {
		o.dirty = true
	}
	s.contacted, s.incarnation, s.sequence = true, p.Incarnation, p.Sequence
	s.lastPoll = o.config.Now()
	if p.Epoch == o.epoch && !s.epochSeen {
		s.epochSeen = true
		s.leaseUntil = o.leaseEnd(s.lastPoll, max(o.config.VMLease, o.grantNow()))
	}
}

// grantNow returns the length of the lease that a poll is granted now.
func (o *owner) grantNow() time.Duration {
	if o.outage {
		return max(o.config.OutageLease, o.config.VMLease)
	}
	return o.config.VMLease
}

// seeVM journals what changed about the VM.
func (o *owner) seeVM(p messenger.Poll) {
	seen := bookkeeper.VMSeen{
		Capacity: p.Capacity, AgentID: p.AgentID, Incarnation: p.Incarnation,
		Services: o.serviceHolds(p.Upstreams), Leaving: p.Leaving,
	}
	code, reason := reporter.VMJoined, "first session of agent "+p.AgentID
	s, v := o.session(p.Capacity.VM), o.books.VM(p.Capacity.VM)
	if v == nil {
		s.joined = o.config.Now()
	} else {
		seen.Services = s.keepHolds(v.Seen.Services, seen.Services, o.config.Now())
		if sameVM(v.Seen, seen) {
			return
		}
		code, reason = reporter.VMChanged, "size, place, agent or upstreams changed"
	}
	o.decide(bookkeeper.Record{VMSeen: &seen}, code, messenger.Decision{VM: p.Capacity.VM, Reason: reason}, nil)
}

// keepHolds returns the holds to commit, given the earlier and the announced
// ones. A restarted agent knows no upstreams until they announce themselves to
// it again; were their room freed meanwhile, tasks would take it and the VM be
// overcommitted a second later. So a hold only shrinks once it was smaller for
// longer than upstreams take to announce themselves.
func (s *session) keepHolds(earlier, announced []bookkeeper.ServiceHold, now time.Time) []bookkeeper.ServiceHold {
	if s.fewer == nil {
		s.fewer = make(map[string]time.Time)
	}
	for _, old := range earlier {
		at := slices.IndexFunc(announced, func(h bookkeeper.ServiceHold) bool { return h.Service == old.Service })
		if at >= 0 && announced[at].Count >= old.Count {
			delete(s.fewer, old.Service)
			continue
		}
		if since, ok := s.fewer[old.Service]; !ok {
			s.fewer[old.Service] = now
		} else if now.Sub(since) > holdGrace {
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

func (o *owner) serviceHolds(upstreams []messenger.Upstream) []bookkeeper.ServiceHold {
	counts := make(map[string]int64)
	for _, u := range upstreams {
		counts[u.Service]++
	}
	holds := make([]bookkeeper.ServiceHold, 0, len(counts))
	for name, n := range counts {
		var needs describer.Resources
		if s, ok := o.fleet.Service(name); ok {
			needs = s.Needs
		}
		holds = append(holds, bookkeeper.ServiceHold{Service: name, Count: n, Needs: needs})
	}
	sort.Slice(holds, func(i, j int) bool { return holds[i].Service < holds[j].Service })
	return holds
}

// checkLeases ends the attempts on VMs whose lease has surely run out. The
// worker ended them by itself at the latest then, so they may run elsewhere.
func (o *owner) checkLeases(now time.Time) {
	waiting := false
	for _, name := range o.books.VMs() {
		s := o.session(name)
		if !s.epochSeen && now.Before(o.leaseEnd(o.tookOver, o.priorLease)) {
			waiting = true
		}
		if now.Before(s.leaseUntil) {
			continue
		}
		o.loseVM(name, s, now)
	}
	if !waiting && !o.settled {
		o.settled = true
		o.decide(bookkeeper.Record{Settled: &bookkeeper.LeasesSettled{}}, reporter.LeasesSettled,
			messenger.Decision{Reason: "every VM has contacted this owner or its lease has run out"}, nil)
	}
}

func (o *owner) loseVM(name string, s *session, now time.Time) {
	tasks := o.books.On(name)
	if len(tasks) > 0 {
		o.config.Reporter.Report(reporter.VMLost, reporter.Fields{"cell": o.config.Cell, "vm": name, "tasks": len(tasks)})
	}
	for _, t := range tasks {
		o.endAttempt(t, ending{state: messenger.ReportLost, reason: "lease of VM ran out", unheard: true}, nil)
	}
	if len(tasks) == 0 && now.Sub(s.lastPoll) > forgetVMAfter && now.Sub(o.tookOver) > forgetVMAfter {
		o.decide(bookkeeper.Record{VMGone: &bookkeeper.VMGone{VM: name}}, reporter.VMGone,
			messenger.Decision{VM: name, Reason: "away for long"}, nil)
		delete(o.sessions, name)
	}
}

const forgetVMAfter = 10 * time.Minute
