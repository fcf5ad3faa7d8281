package scheduler

import (
	"context"
	"slices"
	"sync"
	"time"

	"bamboospread/internal/job/planner"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/abridger"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// ordersTimeout is how long an agent may take to accept orders. After it the session ends and
// the agent opens another.
const ordersTimeout = time.Second

// session is an agent's session with this owner.
type session struct {
	vm      *tracker.VM
	number  int64
	process int64   // identifies the agent's process
	ended   []int64 // the agent's earlier processes, the latest last
	conn    *connector.Conn
	// connNumber is the number of the connection: lower ones were opened before.
	connNumber int64
	connDone   <-chan struct{} // closed with the connection
	epoch      int64
	// granted is as reported by the agent. An order may overtake the reply with the grant, and
	// without a grant the agent has no lease to start anything under.
	granted bool

	reporter *reporter.Reporter

	payloads      *abridger.PayloadAbridger
	queued        []messenger.WorkOrder // accessed by the loop only, as are the next three
	sentEndStored int64
	sentEntries   []messenger.PeerAddress
	// entriesVersion is the version of the entries that sentEntries was chosen from.
	entriesVersion int64

	mu      sync.Mutex
	outbox  []messenger.WorkOrders
	sending bool
	failed  bool // nothing is delivered any more
	window  *window
	now     func() time.Time
}

// reportReceived is the event of a report. The sender waits for its answer.
type reportReceived struct {
	conn       *connector.Conn
	connNumber int64           // of the connection
	connDone   <-chan struct{} // closed with the connection
	report     messenger.WorkReport
	info       tracker.VMInfo
	parsed     tracker.Report
	answer     chan messenger.WorkReply
}

// report handles an agent's report and replies once it is applied.
func (o *owner) report(ctx context.Context, c *connector.Conn, r messenger.WorkReport) (messenger.WorkReply, error) {
	r, err := o.restore(ctx, c, r)
	if err != nil {
		o.s.config.Reporter.Report(reporter.MessageMalformed, reporter.Fields{"vm": r.VM, "error": err.Error()})
		return messenger.WorkReply{}, connector.Errorf(messenger.CodeBadRequest, "report of %s: %v", r.VM, err)
	}
	parsed, info, err := parseReport(r)
	if err != nil {
		o.s.config.Reporter.Report(reporter.MessageMalformed, reporter.Fields{"vm": r.VM, "error": err.Error()})
		return messenger.WorkReply{}, connector.Errorf(messenger.CodeBadRequest, "report of %s: %v", r.VM, err)
	}
	e := reportReceived{conn: c, connNumber: c.Number(), connDone: ctx.Done(), report: r, info: info, parsed: parsed, answer: make(chan messenger.WorkReply, 1)}
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

// restore expands an abridged report. Reports of a connection arrive one at a time.
func (o *owner) restore(ctx context.Context, c *connector.Conn, r messenger.WorkReport) (messenger.WorkReport, error) {
	return o.restorerOf(ctx, c).Restore(r)
}

// restorerOf returns the restorer of a connection, which is kept until ctx, the context of the
// connection, ends.
func (o *owner) restorerOf(ctx context.Context, c *connector.Conn) *abridger.Restorer {
	o.restorersMu.Lock()
	defer o.restorersMu.Unlock()
	if known := o.restorers[c]; known != nil {
		return known
	}
	o.restorers[c] = abridger.NewRestorer()
	context.AfterFunc(ctx, func() {
		o.restorersMu.Lock()
		defer o.restorersMu.Unlock()
		delete(o.restorers, c)
	})
	return o.restorers[c]
}

func (e reportReceived) apply(o *owner, now time.Time) {
	s := o.sessions[e.report.VM]
	if e.connClosed() || s != nil && s.supersedes(e, now) {
		e.answer <- messenger.WorkReply{} // superseded by a later session
		return
	}
	// Made for an earlier ownership of this process, the report lacks what the owners since have started.
	if e.report.Epoch != 0 && e.report.Epoch != o.epoch {
		e.answer <- messenger.WorkReply{Epoch: o.epoch, Outdated: true}
		return
	}
	quiet := o.reportInterval()
	reply := messenger.WorkReply{Epoch: o.epoch, GapMillis: min(quiet, maxNewsInterval).Milliseconds(), QuietMillis: quiet.Milliseconds()}
	var changes tracker.Changes
	if s == nil || s.conn != e.conn {
		var vm *tracker.VM
		vm, changes = o.state.Attach(e.info, e.parsed, now)
		s = s.next(vm, e)
		s.epoch, s.reporter, s.window, s.now = o.epoch, o.s.config.Reporter, o.window, o.s.config.Now
		o.sessions[vm.Name] = s
		for _, r := range vm.UnconfirmedRuns() {
			o.orderStop(r, "unconfirmed start")
		}
		reply.Needs, reply.UnconfirmedStarts = runNeeds(vm), unconfirmedStarts(vm, now)
		o.dirty = true
		o.s.config.Reporter.Report(reporter.VMAttached, reporter.Fields{"vm": vm.Name, "life": vm.Incarnation, "runs": len(vm.Runs), "ready": vm.Ready})
	} else {
		o.dirty = o.dirty || s.vm.Ready != e.parsed.Ready || s.vm.Responds() != (e.parsed.Unresponsive == 0) || !s.vm.Attached
		s.vm.Attached = true
		if e.report.VMInfo != nil {
			o.state.UpdateInfo(s.vm, e.info)
		}
		changes = o.state.Apply(s.vm, e.parsed, now)
	}
	o.dirty = o.dirty || s.granted != e.report.Granted
	s.granted = e.report.Granted
	delete(o.unreported, s.vm.Name)
	o.reportChanges(s.vm, changes, now)
	o.observeSpeed(s.vm, now)
	o.dirty = o.dirty || changes.Any()
	// A VM gets no grant before it is stored as a member: the next owner must know which VMs to
	// wait for.
	switch {
	case s.vm.Idle():
		o.dropMember(s.vm.Name)
	case o.silences.named[s.vm.Name]:
		o.silences.returned = true // the next owner must not count on its silence
	case o.members[s.vm.Name]:
		reply.GrantMillis = o.s.config.Grant.Milliseconds()
	default:
		o.joining[s.vm.Name] = true
	}
	reply.Entries = o.newEntries(s)
	reply.CrashesStored = s.vm.CrashStored
	reply.EndsStored, s.sentEndStored = s.vm.EndStored, s.vm.EndStored
	e.answer <- reply
}

// newEntries returns the entries that an agent is told of if they have changed, otherwise nil.
func (o *owner) newEntries(s *session) []messenger.PeerAddress {
	version := o.s.peers.currentVersion()
	if version == s.entriesVersion {
		return nil
	}
	s.entriesVersion = version
	entries := o.s.peers.choose(s.vm.Name)
	if slices.Equal(entries, s.sentEntries) {
		return nil
	}
	s.sentEntries = entries
	return entries
}

// maxEndedProcesses is how many earlier processes of an agent are remembered.
const maxEndedProcesses = 8

// connClosed reports whether the connection of the report has ended. Such a report may be
// outdated, and its sender gets no answer.
func (e reportReceived) connClosed() bool { return isClosed(e.connDone) }

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// supersedes reports whether s is later than the session of a report. Session numbers rise only
// within one process of the agent: a process takes its first number from the clock, and the
// time of day may jump back before the next process starts.
//
// A report of another process that arrives on a connection opened before that of s is late: its
// process has ended or was replaced. Neither the end of the connection of s nor silence shows
// that the process of s has ended, since a network resets and cuts connections of processes that
// live. A process that lives opens another connection after the refusal.
//
// So is one with a list of runs from before the latest list of s: its process stood still, and
// does not know the runs since. It is accepted once its worker has answered it.
//
// On a later connection, a process that was replaced is accepted again once the current one has
// stopped reporting, since the current one may be the process that has ended.
func (s *session) supersedes(e reportReceived, now time.Time) bool {
	r := e.report
	if r.Process == s.process {
		return r.Session < s.number
	}
	if e.connNumber < s.connNumber || now.Add(-e.parsed.Age).Before(s.vm.SeenAt) {
		return true
	}
	return (slices.Contains(s.ended, r.Process) || !isClosed(s.connDone)) && now.Sub(s.vm.GrantedAt) <= reportTimeout
}

// next returns the session that a report opens after s. s may be nil.
func (s *session) next(vm *tracker.VM, e reportReceived) *session {
	n := &session{vm: vm, number: e.report.Session, process: e.report.Process, conn: e.conn, connNumber: e.connNumber, connDone: e.connDone, payloads: abridger.NewPayloadAbridger(e.report.KeepsPayloads)}
	if s == nil {
		return n
	}
	n.ended = s.ended
	if s.process != n.process {
		n.ended = append(n.ended, s.process)
	}
	if excess := len(n.ended) - maxEndedProcesses; excess > 0 {
		n.ended = n.ended[excess:]
	}
	return n
}

// Limits of the interval between an agent's reports without news. With an unlimited rate, an owner
// on a small entry VM did nothing but read measurements, and urgent tasks waited seconds for a
// start that takes a millisecond to decide. News is reported at once: it comes with the work that
// ends, and steps and retries wait for it.
const (
	reportIntervalPerVM = time.Millisecond
	minReportInterval   = 20 * time.Millisecond
	// maxReportInterval leaves two reports before a VM without contact is detached, and paces react
	// well within the seconds for which a long-running task may be over its target.
	maxReportInterval = 600 * time.Millisecond
	// maxNewsInterval is the longest interval asked of agents that apply it to all reports.
	maxNewsInterval = 250 * time.Millisecond
)

// reportInterval returns the interval between reports without news that is requested from agents.
func (o *owner) reportInterval() time.Duration {
	return min(max(time.Duration(len(o.sessions))*reportIntervalPerVM, minReportInterval), maxReportInterval)
}

// dropMember removes an idle VM from the members at once, so that no later owner waits for it.
// Without this, a VM that had left cleanly delayed all inherited jobs for as long as its leases
// could have lasted (7 s).
func (o *owner) dropMember(vm string) {
	if o.listed[vm] {
		o.leaving[vm] = true
	}
	delete(o.members, vm)
	delete(o.joining, vm)
}

// reportChanges logs and counts the changes of a report.
func (o *owner) reportChanges(vm *tracker.VM, c tracker.Changes, now time.Time) {
	for _, e := range c.Ended {
		o.s.config.Metrics.runEnded(e.Outcome)
		o.s.config.Reporter.Report(reporter.JobRunEnded, reporter.Fields{"task": e.Key.Task.String(), "run": e.Key.Number, "vm": vm.Name, "how": string(e.Outcome), "end": e.Seq})
	}
	for _, e := range c.Unassigned {
		o.s.config.Reporter.Report(reporter.JobRunEndUnassigned, reporter.Fields{"task": e.Key.Task.String(), "run": e.Key.Number, "vm": vm.Name, "how": string(e.Outcome), "end": e.Seq})
	}
	o.reportSuspicions(vm, c)
	o.reportLost(vm, c.Lost, tracker.LossNotReported, now)
	for _, r := range c.Adopted {
		o.s.config.Reporter.Report(reporter.JobRunAdopted, reporter.Fields{"task": r.Key().Task.String(), "run": r.Number, "vm": vm.Name, "life": vm.Incarnation, "confirmed": r.Inherited, "lost": r.Task.LastLoss().Describe(now)})
		if r.Overlaps() {
			o.reportOverlap(r, now)
		}
	}
}

// reportOverlap logs that a task has another run beside one that was just adopted.
func (o *owner) reportOverlap(r *tracker.Run, now time.Time) {
	o.s.config.Metrics.runsOverlapped()
	for _, other := range r.Task.Runs {
		if other == r {
			continue
		}
		o.s.config.Reporter.Report(reporter.JobRunsOverlap, reporter.Fields{
			"task": r.Key().Task.String(), "run": r.Number, "vm": r.VM.Name, "life": r.VM.Incarnation, "confirmed": r.Inherited, "epoch": o.epoch,
			"other-run": other.Number, "other-vm": other.VM.Name, "other-state": other.State.String(), "other-ordered": now.Sub(other.OrderedAt).String(), "lost": r.Task.LastLoss().Describe(now),
		})
	}
}

// reportSuspicions logs which tasks are suspected of a crash of the VM's worker, and which are no
// longer suspected.
func (o *owner) reportSuspicions(vm *tracker.VM, c tracker.Changes) {
	for _, p := range c.Suspicions {
		o.s.config.Reporter.Report(reporter.JobTaskSuspected, reporter.Fields{
			"task": p.Task.ID().String(), "run": p.Crash.Run, "vm": vm.Name, "age": p.Crash.Age().String(), "likely": p.Likely, "sole": p.Crash.Sole, "crashes": len(p.Task.Crashes()),
		})
	}
	for _, t := range c.Cleared {
		o.s.config.Reporter.Report(reporter.JobTaskCleared, reporter.Fields{"task": t.ID().String(), "vm": vm.Name})
	}
}

// runNeeds lists the committed resources of the VM's runs.
func runNeeds(vm *tracker.VM) []messenger.WorkRun {
	var all []messenger.WorkRun
	for key, r := range vm.Runs {
		needs := r.Step().Spec.Committed()
		all = append(all, messenger.WorkRun{Task: key.Task.String(), Run: key.Number, Needs: &needs})
	}
	return all
}

// unconfirmedStarts lists the unconfirmed starts by the earlier processes of the VM's agent.
func unconfirmedStarts(vm *tracker.VM, now time.Time) []messenger.WorkUnconfirmedStart {
	var all []messenger.WorkUnconfirmedStart
	for _, s := range vm.InheritedStarts(now) {
		all = append(all, messenger.WorkUnconfirmedStart{Task: s.Key.Task.String(), Run: s.Key.Number, AgeMillis: s.Age.Milliseconds()})
	}
	return all
}

func parseReport(r messenger.WorkReport) (tracker.Report, tracker.VMInfo, error) {
	rep := tracker.Report{Incarnation: r.Incarnation, Process: r.Process, Ready: r.Ready, OrdersSeen: r.OrdersSeen, MoreEnds: r.MoreEnds, LateStarts: r.LateStarts, Age: time.Duration(r.AgeMillis) * time.Millisecond, LeaseLeft: time.Duration(r.LeaseMillis) * time.Millisecond, Unresponsive: time.Duration(r.UnresponsiveMillis) * time.Millisecond}
	for _, w := range r.Runs {
		id, err := specifier.ParseTaskID(w.Task)
		if err != nil {
			return rep, tracker.VMInfo{}, err
		}
		run := tracker.ReportedRun{Key: tracker.RunKey{Task: id, Number: w.Run}, Confirmed: w.Confirmed, Stopping: w.Stopping, Checkpoint: w.Checkpoint, Progress: w.Progress, Measure: w.Measure}
		if w.Needs != nil {
			run.Needs = *w.Needs
		}
		rep.Runs = append(rep.Runs, run)
	}
	for _, w := range r.Ends {
		id, err := specifier.ParseTaskID(w.Task)
		if err != nil {
			return rep, tracker.VMInfo{}, err
		}
		rep.Ends = append(rep.Ends, tracker.ReportedEnd{Seq: w.Seq, Key: tracker.RunKey{Task: id, Number: w.Run}, Outcome: tracker.End(w.Outcome), Checkpoint: w.Checkpoint})
	}
	for _, w := range r.UnconfirmedStarts {
		id, err := specifier.ParseTaskID(w.Task)
		if err != nil {
			return rep, tracker.VMInfo{}, err
		}
		rep.UnconfirmedStarts = append(rep.UnconfirmedStarts, tracker.UnconfirmedStart{Key: tracker.RunKey{Task: id, Number: w.Run}, Age: time.Duration(w.AgeMillis) * time.Millisecond})
	}
	for _, w := range r.Crashes {
		c := tracker.ReportedCrash{Seq: w.Seq, Ago: time.Duration(w.AgoMillis) * time.Millisecond, TimeUnknown: w.TimeUnknown}
		for _, run := range w.Runs {
			id, err := specifier.ParseTaskID(run.Task)
			if err != nil {
				return rep, tracker.VMInfo{}, err
			}
			c.Runs = append(c.Runs, tracker.CrashedRun{Key: tracker.RunKey{Task: id, Number: run.Run}, Age: time.Duration(run.AgeMillis) * time.Millisecond})
		}
		rep.Crashes = append(rep.Crashes, c)
	}
	info := tracker.VMInfo{Name: r.VM}
	if v := r.VMInfo; v != nil {
		info.Zone, info.Rack, info.Service, info.Labels, info.Capacity = v.Zone, v.Rack, v.Service, v.Labels, v.Capacity
		info.WorkerID = v.WorkerID
	}
	return rep, info, nil
}

func (o *owner) orderStart(s *session, start planner.Start, now time.Time) {
	r := o.state.Place(start.Task, start.VM, start.Number, now)
	spec := r.Step().Spec
	o.queue(s, messenger.WorkOrder{
		Seq: r.Order, Kind: messenger.WorkStart, Task: r.Key().Task.String(), Run: r.Number,
		Payload: r.Step().Occurrence.Job.Spec.Payload, Checkpoint: r.Checkpoint, Ticket: start.Ticket, Needs: spec.Committed(),
	})
	o.s.config.Metrics.runStarted(r, now)
	o.predictRunTime(r, start)
	fields := reporter.Fields{
		"task": r.Key().Task.String(), "run": r.Number, "vm": start.VM.Name, "waited": start.Task.CapacityWait(now).String(), "waited-for-steps": start.Task.DependencyWait().String(),
		"committed-cpu": start.VM.Committed.CPUMillis, "fill-cpu": start.VM.BestEffortCPU, "lasting": start.VM.LongRunning,
		"policy": o.state.Policy().Version, "copy": start.Copy,
	}
	if lost := start.Task.LastLoss(); lost != nil {
		fields["lost"] = lost.Describe(now)
	}
	o.s.config.Reporter.Report(reporter.JobStartDecided, fields)
}

// orderStop reports whether the stop was ordered. A detached VM gets no orders; its runs are
// checked again when its agent is back.
func (o *owner) orderStop(r *tracker.Run, cause string) bool {
	s := o.sessions[r.VM.Name]
	if s == nil || !r.VM.Attached {
		return false
	}
	seq := o.state.Stop(r, cause, o.s.config.Now())
	o.queue(s, messenger.WorkOrder{Seq: seq, Kind: messenger.WorkStop, Task: r.Key().Task.String(), Run: r.Number})
	o.s.config.Reporter.Report(reporter.JobStopDecided, reporter.Fields{"task": r.Key().Task.String(), "run": r.Number, "vm": r.VM.Name, "cause": cause})
	return true
}

// interrupt stops a run that is still needed, to continue elsewhere or later, unless too many tasks of its
// step would be unavailable, or it could continue on no other VM. It reports whether the stop was ordered. All
// decisions of a round stop runs by it, so that together they stay within the limit.
func (o *owner) interrupt(r *tracker.Run, cause string) bool {
	return r.MayInterrupt() && !o.mayStartLate(r.Task) && o.orderStop(r, cause)
}

// mayStartLate reports whether an earlier start of a task may still be carried out late.
func (o *owner) mayStartLate(t *tracker.Task) bool {
	return !t.Step.Spec.Copies && len(o.state.LateStarts(o.s.config.Now())[t.ID()]) > 0
}

func (o *owner) orderPace(p planner.Pace) {
	s := o.sessions[p.Run.VM.Name]
	if s == nil {
		return
	}
	p.Run.SetPace(p.Percent, o.s.config.Now())
	p.Run.VM.OrderSeq++
	o.queue(s, messenger.WorkOrder{Seq: p.Run.VM.OrderSeq, Kind: messenger.WorkPace, Task: p.Run.Key().Task.String(), Run: p.Run.Number, Percent: p.Percent})
	o.s.config.Reporter.Report(reporter.JobPaceDecided, reporter.Fields{"task": p.Run.Key().Task.String(), "run": p.Run.Number, "vm": p.Run.VM.Name, "percent": p.Percent})
}

// queue adds an order to those that are sent to an agent next.
func (o *owner) queue(s *session, order messenger.WorkOrder) {
	order = s.payloads.Abridge(order)
	s.queued = append(s.queued, order)
	o.unsent[s] = true
	o.window.add(s, startBytes([]messenger.WorkOrder{order}))
}

// sendOrders sends agents their queued orders and the number of their last stored end.
func (o *owner) sendOrders() {
	for s := range o.unsent {
		current := o.sessions[s.vm.Name] == s
		if current && s.vm.Incarnation == "" {
			continue
		}
		delete(o.unsent, s)
		if !current {
			o.window.drop(s)
			continue
		}
		if s.vm.EndStored <= s.sentEndStored && len(s.queued) == 0 {
			continue
		}
		m := messenger.WorkOrders{Epoch: o.epoch, Session: s.number, Incarnation: s.vm.Incarnation, EndsStored: s.vm.EndStored, Orders: s.queued}
		s.sentEndStored, s.queued = s.vm.EndStored, nil
		s.post(m)
	}
}

// post sends messages in order. Only one call is in flight, since calls on a connection may
// overtake each other.
func (s *session) post(m messenger.WorkOrders) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed {
		s.window.drop(s)
		return
	}
	s.outbox = append(s.outbox, m)
	if s.sending {
		return
	}
	s.sending = true
	go s.deliver()
}

// fail ends the delivery of orders: the agent opens another session and reports its state in it.
func (s *session) fail() {
	s.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = true
	s.outbox = nil
	s.window.drop(s)
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
		for _, next := range s.outbox[1:] { // one call for all queued messages
			if next.Incarnation != m.Incarnation {
				break
			}
			m.Orders, m.EndsStored = append(m.Orders, next.Orders...), next.EndsStored
			s.outbox = s.outbox[1:]
		}
		s.outbox = s.outbox[1:]
		s.mu.Unlock()
		bytes := startBytes(m.Orders)
		s.window.sending(s, s.now())
		ctx, cancel := context.WithTimeout(context.Background(), ordersTimeout)
		err := s.conn.Call(ctx, messenger.MethodWorkOrders, m, nil)
		cancel()
		if err != nil {
			s.window.failed(s, s.now())
			s.reporter.Report(reporter.OrdersNotAccepted, reporter.Fields{"vm": s.vm.Name, "session": s.number, "epoch": s.epoch, "orders": len(m.Orders), "bytes": bytes, "error": err.Error()})
			s.fail()
			return
		}
		s.window.answered(s, bytes, s.now())
	}
}

func (o *owner) closeSessions() {
	for _, s := range o.sessions {
		s.conn.Close()
	}
}
