package scheduler

import (
	"context"
	"slices"
	"sync"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/planner"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/abridger"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// ordersLimit is how long an agent may take to take orders. After it the session
// is over and the agent opens another.
const ordersLimit = time.Second

// session is an agent's session with this owner.
type session struct {
	vm      *accountant.VM
	number  int64
	process int64   // of the agent
	ended   []int64 // the agent's processes before, the latest last
	conn    *connector.Conn
	epoch   int64
	// granted is what the agent itself tells: an order may overtake the answer that
	// grants, and without a grant the agent has no lease to start anything under.
	granted bool

	reporter *reporter.Reporter

	queued      []messenger.WorkOrder // for the loop only
	toldEnd     int64
	toldEntries []messenger.PeerAddress

	mu      sync.Mutex
	outbox  []messenger.WorkOrders
	sending bool
}

// reportMade is a report that waits for its answer.
type reportMade struct {
	conn   *connector.Conn
	gone   <-chan struct{} // ends with the connection
	report messenger.WorkReport
	facts  accountant.Facts
	read   accountant.Report
	answer chan messenger.WorkReply
}

// report takes an agent's report and answers once it is applied.
func (o *owner) report(ctx context.Context, c *connector.Conn, r messenger.WorkReport) (messenger.WorkReply, error) {
	r, err := o.restore(c, r)
	if err != nil {
		o.s.config.Reporter.Report(reporter.MessageMalformed, reporter.Fields{"vm": r.VM, "error": err.Error()})
		return messenger.WorkReply{}, connector.Errorf(messenger.CodeBadRequest, "report of %s: %v", r.VM, err)
	}
	read, facts, err := readReport(r)
	if err != nil {
		o.s.config.Reporter.Report(reporter.MessageMalformed, reporter.Fields{"vm": r.VM, "error": err.Error()})
		return messenger.WorkReply{}, connector.Errorf(messenger.CodeBadRequest, "report of %s: %v", r.VM, err)
	}
	e := reportMade{conn: c, gone: ctx.Done(), report: r, facts: facts, read: read, answer: make(chan messenger.WorkReply, 1)}
	if err := o.send(ctx, e); err != nil {
		return messenger.WorkReply{}, connector.Errorf(messenger.CodeNotOwner, "%v", err)
	}
	select {
	case a := <-e.answer:
		if a.Epoch == 0 {
			return a, connector.Errorf(messenger.CodeBadRequest, "a later session of %s is open", r.VM)
		}
		return a, nil
	case <-o.done:
		return messenger.WorkReply{}, connector.Errorf(messenger.CodeNotOwner, "%v", errCellLost)
	case <-ctx.Done():
		return messenger.WorkReply{}, ctx.Err()
	}
}

// restore returns the whole of an abridged report. The reports of a connection come one
// after the other.
func (o *owner) restore(c *connector.Conn, r messenger.WorkReport) (messenger.WorkReport, error) {
	return o.restorerOf(c).Restore(r)
}

func (o *owner) restorerOf(c *connector.Conn) *abridger.Restorer {
	o.restorersMu.Lock()
	defer o.restorersMu.Unlock()
	if known := o.restorers[c]; known != nil {
		return known
	}
	for other := range o.restorers {
		select {
		case <-other.Done():
			delete(o.restorers, other)
		default:
		}
	}
	o.restorers[c] = abridger.NewRestorer()
	return o.restorers[c]
}

func (e reportMade) apply(o *owner, now time.Time) {
	s := o.sessions[e.report.VM]
	if e.over() || s != nil && s.follows(e.report, now) {
		e.answer <- messenger.WorkReply{} // overtaken by a later session
		return
	}
	reply := messenger.WorkReply{Epoch: o.epoch, GapMillis: o.reportGap().Milliseconds()}
	var changes accountant.Changes
	if s == nil || s.conn != e.conn {
		var vm *accountant.VM
		vm, changes = o.state.Attach(e.facts, e.read, now)
		s = s.next(vm, e)
		s.epoch, s.reporter = o.epoch, o.s.config.Reporter
		o.sessions[vm.Name] = s
		for _, r := range vm.UncertainRuns() {
			o.orderStop(r, "its start may still be on its way")
		}
		reply.Needs, reply.Doubts = needsOf(vm), doubtsOf(vm, now)
		o.dirty = true
		o.s.config.Reporter.Report(reporter.VMAttached, reporter.Fields{"vm": vm.Name, "life": vm.Life, "runs": len(vm.Runs), "ready": vm.Ready})
	} else {
		o.dirty = o.dirty || s.vm.Ready != e.read.Ready || !s.vm.Attached
		s.vm.Attached = true
		if e.report.Facts != nil {
			o.state.Describe(s.vm, e.facts)
		}
		changes = o.state.Apply(s.vm, e.read, now)
	}
	o.dirty = o.dirty || s.granted != e.report.Granted
	s.granted = e.report.Granted
	delete(o.unheard, s.vm.Name)
	o.note(s.vm, changes)
	planner.Learn(o.learner, s.vm, now)
	o.dirty = o.dirty || changes.Any()
	// A VM is granted nothing before the store has it as a member: the next owner
	// must know whom to wait for.
	switch {
	case s.vm.Idle():
		o.dropMember(s.vm.Name)
	case o.members[s.vm.Name]:
		reply.GrantMillis = o.s.config.Grant.Milliseconds()
	default:
		o.joining[s.vm.Name] = true
	}
	if entries := o.s.peers.list(); !slices.Equal(entries, s.toldEntries) {
		reply.Entries, s.toldEntries = entries, entries
	}
	reply.EndsStored, s.toldEnd = s.vm.EndStored, s.vm.EndStored
	e.answer <- reply
}

// endedKept is how many processes of an agent before its present one are remembered.
const endedKept = 8

// over tells whether the connection has ended on which the report came. What the process
// behind it told may be long past, and it hears no answer.
func (e reportMade) over() bool {
	select {
	case <-e.gone:
		return true
	default:
		return false
	}
}

// follows tells whether a report is of a session before this one. Numbers of sessions rise
// within a process of the agent only: it takes the first from its clock, and the time of
// day may jump back before the next process begins. A process that was replaced is heard
// again once nothing more comes of the other, which may itself be the one that has ended.
func (s *session) follows(r messenger.WorkReport, now time.Time) bool {
	if r.Process == s.process {
		return r.Session < s.number
	}
	return slices.Contains(s.ended, r.Process) && now.Sub(s.vm.GrantedAt) <= silence
}

// next returns the session that a report opens after s, which may be nil.
func (s *session) next(vm *accountant.VM, e reportMade) *session {
	n := &session{vm: vm, number: e.report.Session, process: e.report.Process, conn: e.conn}
	if s == nil {
		return n
	}
	n.ended = s.ended
	if s.process != n.process {
		n.ended = append(n.ended, s.process)
	}
	if over := len(n.ended) - endedKept; over > 0 {
		n.ended = n.ended[over:]
	}
	return n
}

// Limits of the gap between an agent's reports. An owner on a small entry VM that reads
// each agent's news as it comes does nothing else, and urgent tasks wait for seconds for a
// start that takes a millisecond to decide. The gap allows all agents together a thousand
// reports a second at most; most agents have less to tell.
const (
	gapPerVM    = time.Millisecond
	shortestGap = 20 * time.Millisecond
	longestGap  = 250 * time.Millisecond
)

// reportGap is the time between reports that agents are asked for.
func (o *owner) reportGap() time.Duration {
	return min(max(time.Duration(len(o.sessions))*gapPerVM, shortestGap), longestGap)
}

// dropMember takes a VM out of the members at once: one that takes nothing and runs
// nothing is waited for by no later owner. Without this a VM that had left in order
// held all inherited jobs up for as long as its leases could have lasted (7 s).
func (o *owner) dropMember(vm string) {
	if o.listed[vm] {
		o.leaving[vm] = true
	}
	delete(o.members, vm)
	delete(o.joining, vm)
}

// note writes down what a report changed.
func (o *owner) note(vm *accountant.VM, c accountant.Changes) {
	for _, e := range c.Ended {
		o.s.config.Meters.runEnded(e.How)
		o.s.config.Reporter.Report(reporter.JobRunEnded, reporter.Fields{"task": e.Key.Task.String(), "run": e.Key.Number, "vm": vm.Name, "how": string(e.How), "end": e.Seq})
	}
	o.reportLost(vm, c.Lost, "not at the worker any more")
	for _, r := range c.Adopted {
		o.s.config.Reporter.Report(reporter.JobRunAdopted, reporter.Fields{"task": r.Key().Task.String(), "run": r.Number, "vm": vm.Name})
	}
}

func needsOf(vm *accountant.VM) []messenger.WorkRun {
	var all []messenger.WorkRun
	for key, r := range vm.Runs {
		needs := r.Step().Spec.Committed()
		all = append(all, messenger.WorkRun{Task: key.Task.String(), Run: key.Number, Needs: &needs})
	}
	return all
}

// doubtsOf lists what the VM's agent has to know of its earlier processes.
func doubtsOf(vm *accountant.VM, now time.Time) []messenger.WorkDoubt {
	var all []messenger.WorkDoubt
	for _, d := range vm.Inherited(now) {
		all = append(all, messenger.WorkDoubt{Task: d.Key.Task.String(), Run: d.Key.Number, AgeMillis: d.Age.Milliseconds()})
	}
	return all
}

func readReport(r messenger.WorkReport) (accountant.Report, accountant.Facts, error) {
	rep := accountant.Report{Life: r.Life, Process: r.Process, Ready: r.Ready, OrdersSeen: r.OrdersSeen, Age: time.Duration(r.AgeMillis) * time.Millisecond}
	for _, w := range r.Runs {
		id, err := specifier.ParseTaskID(w.Task)
		if err != nil {
			return rep, accountant.Facts{}, err
		}
		run := accountant.ReportedRun{Key: accountant.RunKey{Task: id, Number: w.Run}, Confirmed: w.Confirmed, Stopping: w.Stopping, Checkpoint: w.Checkpoint, Progress: w.Progress, Measure: w.Measure}
		if w.Needs != nil {
			run.Needs = *w.Needs
		}
		rep.Runs = append(rep.Runs, run)
	}
	for _, w := range r.Ends {
		id, err := specifier.ParseTaskID(w.Task)
		if err != nil {
			return rep, accountant.Facts{}, err
		}
		rep.Ends = append(rep.Ends, accountant.ReportedEnd{Seq: w.Seq, Key: accountant.RunKey{Task: id, Number: w.Run}, How: accountant.End(w.How), Checkpoint: w.Checkpoint})
	}
	for _, w := range r.Doubts {
		id, err := specifier.ParseTaskID(w.Task)
		if err != nil {
			return rep, accountant.Facts{}, err
		}
		rep.Doubts = append(rep.Doubts, accountant.ReportedDoubt{Key: accountant.RunKey{Task: id, Number: w.Run}, Age: time.Duration(w.AgeMillis) * time.Millisecond})
	}
	facts := accountant.Facts{Name: r.VM}
	if f := r.Facts; f != nil {
		facts.Zone, facts.Rack, facts.Service, facts.Labels, facts.Capacity = f.Zone, f.Rack, f.Service, f.Labels, f.Capacity
		facts.WorkerID = f.WorkerID
	}
	return rep, facts, nil
}

func (o *owner) orderStart(s *session, start planner.Start, now time.Time) {
	r := o.state.Place(start.Task, start.VM, start.Number, now)
	spec := r.Step().Spec
	s.queued = append(s.queued, messenger.WorkOrder{
		Seq: r.Order, Kind: messenger.WorkStart, Task: r.Key().Task.String(), Run: r.Number,
		Payload: r.Step().Occurrence.Job.Spec.Payload, Checkpoint: r.Checkpoint, Ticket: start.Ticket, Needs: spec.Committed(),
	})
	o.s.config.Meters.started(r, now)
	o.s.config.Reporter.Report(reporter.JobStartDecided, reporter.Fields{
		"task": r.Key().Task.String(), "run": r.Number, "vm": start.VM.Name, "waited": now.Sub(start.Task.WaitSince).String(),
		"committed-cpu": start.VM.Committed.CPUMillis, "fill-cpu": start.VM.FillCPU, "lasting": start.VM.Lasting,
		"policy": o.state.Policy().Version, "copy": start.Copy,
	})
}

// orderStop tells whether the stop is ordered: a VM that is not attached gets no orders, and
// its runs are seen again when its agent is back.
func (o *owner) orderStop(r *accountant.Run, cause string) bool {
	s := o.sessions[r.VM.Name]
	if s == nil || !r.VM.Attached {
		return false
	}
	seq := o.state.Stop(r, cause, o.s.config.Now())
	s.queued = append(s.queued, messenger.WorkOrder{Seq: seq, Kind: messenger.WorkStop, Task: r.Key().Task.String(), Run: r.Number})
	o.s.config.Reporter.Report(reporter.JobStopDecided, reporter.Fields{"task": r.Key().Task.String(), "run": r.Number, "vm": r.VM.Name, "cause": cause})
	return true
}

func (o *owner) orderPace(p planner.Pace) {
	s := o.sessions[p.Run.VM.Name]
	if s == nil {
		return
	}
	p.Run.SetPace(p.Percent, o.s.config.Now())
	p.Run.VM.OrderSeq++
	s.queued = append(s.queued, messenger.WorkOrder{Seq: p.Run.VM.OrderSeq, Kind: messenger.WorkPace, Task: p.Run.Key().Task.String(), Run: p.Run.Number, Percent: p.Percent})
	o.s.config.Reporter.Report(reporter.JobPaceDecided, reporter.Fields{"task": p.Run.Key().Task.String(), "run": p.Run.Number, "vm": p.Run.VM.Name, "percent": p.Percent})
}

// sendOrders hands the queued orders and what the store has of ends to each agent.
func (o *owner) sendOrders() {
	for name, s := range o.sessions {
		if s.vm.EndStored <= s.toldEnd && len(s.queued) == 0 {
			continue
		}
		if o.state.VMs[name].Life == "" {
			continue
		}
		m := messenger.WorkOrders{Epoch: o.epoch, Session: s.number, Life: s.vm.Life, EndsStored: s.vm.EndStored, Orders: s.queued}
		s.toldEnd, s.queued = s.vm.EndStored, nil
		s.post(m)
	}
}

// post sends in order: one call at a time, since calls on a connection may
// overtake each other.
func (s *session) post(m messenger.WorkOrders) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outbox = append(s.outbox, m)
	if s.sending {
		return
	}
	s.sending = true
	go s.deliver()
}

func (s *session) deliver() {
	for {
		s.mu.Lock()
		if len(s.outbox) == 0 {
			s.sending = false
			s.mu.Unlock()
			return
		}
		m := s.outbox[0]
		for _, next := range s.outbox[1:] { // one call for all that waits
			if next.Life != m.Life {
				break
			}
			m.Orders, m.EndsStored = append(m.Orders, next.Orders...), next.EndsStored
			s.outbox = s.outbox[1:]
		}
		s.outbox = s.outbox[1:]
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), ordersLimit)
		err := s.conn.Call(ctx, messenger.MethodWorkOrders, m, nil)
		cancel()
		if err != nil {
			s.reporter.Report(reporter.OrdersNotTaken, reporter.Fields{"vm": s.vm.Name, "session": s.number, "epoch": s.epoch, "orders": len(m.Orders), "error": err.Error()})
			s.conn.Close() // the agent opens another session, in which it tells what it has
			return
		}
	}
}

func (o *owner) closeSessions() {
	for _, s := range o.sessions {
		s.conn.Close()
	}
}
