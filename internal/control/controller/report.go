package controller

import (
	"fmt"
	"time"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/attributor"
)

// Backoff and limits after failures.
const (
	minBackoff         = 500 * time.Millisecond
	maxBackoff         = 30 * time.Second
	refusedBackoff     = 300 * time.Millisecond
	defaultMaxAttempts = 3
)

// attemptEnd describes how an attempt ended.
type attemptEnd struct {
	state      messenger.ReportState
	reason     string
	checkpoint string
	unreported bool // the VM did not report how the attempt ended
	// unavailable is set if the attempt was not started because the worker was unavailable.
	unavailable bool
	crashes     []attributor.Crash // that the task is suspected of, if its worker crashed
}

// applyReports applies the agent's reports on attempts. A poll lists every attempt on the
// VM, so a confirmed attempt that is missing has ended. A poll that was sent before the agent
// had an answer of this owner may be late and lack what owners since have started.
func (o *owner) applyReports(s *session, p messenger.Poll) {
	vm := p.Capacity.VM
	s.reported = make(map[messenger.TaskAttempt]messenger.TaskReport, len(p.Tasks))
	for _, r := range p.Tasks {
		s.reported[messenger.TaskAttempt{TaskID: r.TaskID, Attempt: r.Attempt}] = r
	}
	crashes := o.attributeCrash(s, p, o.config.Now())
	for _, r := range p.Tasks {
		o.applyReport(s, vm, r, crashes[r.TaskID])
	}
	for at := range s.unassigned {
		if !s.hasReport(at) {
			delete(s.unassigned, at)
		}
	}
	if p.Epoch != o.epoch {
		return
	}
	for _, t := range o.state.On(vm) {
		at := messenger.TaskAttempt{TaskID: t.Spec.ID, Attempt: t.Attempt}
		if t.State == messenger.TaskRunning && !s.hasReport(at) {
			o.endAttempt(t, attemptEnd{state: messenger.ReportLost, reason: "no longer reported by its VM", unreported: true, crashes: crashes[t.Spec.ID]}, nil)
		}
	}
}

// hasReport reports whether the latest poll listed an attempt.
func (s *session) hasReport(at messenger.TaskAttempt) bool {
	_, ok := s.reported[at]
	return ok
}

func (o *owner) applyReport(s *session, vm string, r messenger.TaskReport, crashes []attributor.Crash) {
	at := messenger.TaskAttempt{TaskID: r.TaskID, Attempt: r.Attempt}
	t := o.state.Task(at.TaskID)
	current := t != nil && t.HoldsResources() && t.VM == vm && t.Attempt == at.Attempt
	switch {
	case current && r.State == messenger.ReportRunning:
		if t.State == messenger.TaskStarting {
			o.decide(bookkeeper.Record{Confirmed: &bookkeeper.Confirmed{Task: at.TaskID, Attempt: at.Attempt}},
				reporter.StartConfirmed, messenger.Decision{Task: at.TaskID, VM: vm, Reason: "agent reports it running"}, nil)
			if t.Attempt == 1 {
				o.metrics.observeStartWait(t.Spec, o.config.Now().Sub(t.Submitted))
			}
		}
	case current && r.EndUnknown:
		o.endInFormerLife(s, vm, t, r, crashes)
	case current:
		o.endAttempt(t, attemptEnd{state: r.State, reason: r.Reason, checkpoint: r.Checkpoint, unavailable: r.Unavailable}, func() { o.ack(s, at) })
	case r.State == messenger.ReportRunning:
		if !s.unassigned[at] {
			s.unassigned[at] = true
			o.config.Reporter.Report(reporter.UnassignedAttemptStopped, reporter.Fields{"cell": o.config.Cell, "task": at.TaskID, "vm": vm, "attempt": at.Attempt})
		}
	case r.State == messenger.ReportCompleted && t != nil && !t.Final() && t.Stop != bookkeeper.StopCompleted &&
		at.Attempt <= t.Attempt && t.Spec.Service == "":
		o.completeAfterLoss(s, vm, at)
	case t != nil && t.State == messenger.TaskHeld && t.EndUnreported && at.Attempt == t.Attempt && !r.EndUnknown:
		o.requeueAfterLoss(s, vm, at, r)
	case o.commits.uncommitted[at.TaskID] == 0:
		// The end is already journalled, or was decided without this report.
		o.ack(s, at)
	}
}

// endInFormerLife ends an attempt that may have run in a former life of the worker, of which no poll has
// reported the end. It is recorded as confirmed: that the VM does not list it later does not show that it never
// ran.
func (o *owner) endInFormerLife(s *session, vm string, t *bookkeeper.Task, r messenger.TaskReport, crashes []attributor.Crash) {
	at := messenger.TaskAttempt{TaskID: r.TaskID, Attempt: r.Attempt}
	if !t.Confirmed && o.decide(bookkeeper.Record{Confirmed: &bookkeeper.Confirmed{Task: at.TaskID, Attempt: at.Attempt}}, reporter.StartConfirmed,
		messenger.Decision{Task: at.TaskID, VM: vm, Reason: "agent reports that it may have run in a former life of the worker"}, nil) != nil {
		return
	}
	o.endAttempt(t, attemptEnd{state: messenger.ReportLost, reason: r.Reason, unreported: true, crashes: crashes}, func() { o.ack(s, at) })
}

// completeAfterLoss accepts the completion by an attempt that was assumed to be lost: its
// VM was unreachable for longer than its lease, but had completed the task by then. If the
// task ran to its end again, it would print its labels twice.
func (o *owner) completeAfterLoss(s *session, vm string, at messenger.TaskAttempt) {
	o.decide(bookkeeper.Record{CompletedEarlier: &bookkeeper.CompletedEarlier{Task: at.TaskID, Attempt: at.Attempt}}, reporter.TaskCompleted,
		messenger.Decision{Task: at.TaskID, VM: vm, Reason: "an attempt that was assumed to be lost had completed it"}, func() { o.ack(s, at) })
}

// requeueAfterLoss requeues a task that was held because its VM was lost: the VM is back
// and reports that the attempt ended without completing.
func (o *owner) requeueAfterLoss(s *session, vm string, at messenger.TaskAttempt, r messenger.TaskReport) {
	o.decide(bookkeeper.Record{Queued: &bookkeeper.Queued{Task: at.TaskID, Checkpoint: r.Checkpoint}}, reporter.TaskRequeued,
		messenger.Decision{Task: at.TaskID, VM: vm, Reason: "its VM is back and reports that the task did not complete"}, func() { o.ack(s, at) })
}

// requeueIfNeverStarted requeues a task that was held because its VM was lost, if the VM is
// back and does not list the attempt, because the start order never arrived. This can be
// concluded only if the attempt was never confirmed and the agent is the one that ran when
// the start was decided, with the same worker: one that was restarted since has no record of the
// attempts that it completed, so the task stays held there. A start order still in transit is the reply
// to an earlier poll, which the agent no longer waits for.
func (o *owner) requeueIfNeverStarted(t *bookkeeper.Task, now time.Time) {
	s := o.session(t.StartedOn)
	at := messenger.TaskAttempt{TaskID: t.Spec.ID, Attempt: t.Attempt}
	mayHaveRun := !s.epochAcked || t.Confirmed || s.incarnation != t.StartedBy || s.workerLife != t.StartedLife || s.hasReport(at)
	if mayHaveRun || !s.reachable(now) || !s.lastPoll.After(t.Changed) {
		return
	}
	o.decide(bookkeeper.Record{Queued: &bookkeeper.Queued{Task: t.Spec.ID}}, reporter.TaskRequeued,
		messenger.Decision{Task: t.Spec.ID, VM: t.StartedOn, Reason: "its VM is back and never received the start order"}, nil)
}

// ack acknowledges a final report in the next reply. The agent repeats a report until it
// is acknowledged, so a report whose record was never journalled is received again.
func (o *owner) ack(s *session, at messenger.TaskAttempt) {
	s.acked = append(s.acked, at)
	s.replyNow = true
}

// endAttempt journals the end of an attempt and the next state of its task.
func (o *owner) endAttempt(t *bookkeeper.Task, e attemptEnd, after func()) {
	ended := bookkeeper.Ended{Task: t.Spec.ID, Attempt: t.Attempt, Reason: e.reason, Checkpoint: e.checkpoint, Next: messenger.TaskQueued}
	code := o.evaluateEnd(t, e, &ended)
	vm, s := t.VM, o.session(t.VM)
	d := messenger.Decision{Task: t.Spec.ID, VM: vm, Service: t.Spec.Service, Reason: orDefault(e.reason, string(e.state))}
	if o.decide(bookkeeper.Record{Ended: &ended}, code, d, after) != nil {
		return
	}
	s.endPlacement(t.Spec.ID, o.config.Now())
	o.metrics.countEnded(ended.Next)
	if ended.Next == messenger.TaskCompleted {
		o.metrics.observeTurnaround(t.Spec, o.config.Now().Sub(t.Submitted))
	}
	if ended.Failed || ended.Unavailable {
		o.quarantineIfFailing(vm)
	}
}

func orDefault(reason, fallback string) string {
	if reason == "" {
		return fallback
	}
	return reason
}

// evaluateEnd sets the next state of the task according to how its attempt ended, and
// returns the event to report.
func (o *owner) evaluateEnd(t *bookkeeper.Task, e attemptEnd, ended *bookkeeper.Ended) reporter.Code {
	now := o.config.Now().Round(0).UTC()
	if e.state == messenger.ReportCompleted && t.Spec.Service == "" {
		ended.Next = messenger.TaskCompleted
		return reporter.TaskCompleted
	}
	if t.Stop == bookkeeper.StopCompleted {
		ended.Next, ended.Reason = messenger.TaskCompleted, ""
		return reporter.TaskCompleted
	}
	if t.Stop == bookkeeper.StopCancel {
		ended.Next = messenger.TaskCancelled
		return reporter.TaskCancelled
	}
	switch e.state {
	case messenger.ReportStopped:
		ended.Evicted = t.Stop == bookkeeper.StopMove
		return reporter.AttemptMoved
	case messenger.ReportRefused:
		ended.NotBefore, ended.Unavailable = now.Add(refusedBackoff), e.unavailable
		return reporter.StartRefused
	case messenger.ReportLost:
		if !holdIfCrashing(t, e.crashes, ended) {
			o.holdIfLost(t, e, ended)
		}
		return reporter.AttemptLost
	}
	ended.Failed = true
	ended.NotBefore = now.Add(min(minBackoff<<min(t.Failures, 10), maxBackoff))
	if t.Spec.Service == "" && t.Failures+1 >= o.maxAttempts(t) {
		ended.Next = messenger.TaskHeld
		ended.Reason = fmt.Sprintf("failed %d times, most recently on %s: %s", t.Failures+1, t.VM, orDefault(e.reason, "no reason given"))
	}
	return reporter.AttemptFailed
}

// holdIfLost holds a task of a lost VM if its class requires it. The VM may have completed
// the task just before it was lost, which the owner can't determine; if the task ran again,
// a batch of labels would be printed twice. The task is requeued or completed when the VM
// is back and reports its outcome.
func (o *owner) holdIfLost(t *bookkeeper.Task, e attemptEnd, ended *bookkeeper.Ended) {
	class, _ := o.fleet.TaskClass(t.Spec.Class)
	if !e.unreported || !class.HoldWhenLost {
		return
	}
	ended.Next, ended.EndUnreported = messenger.TaskHeld, true
	ended.Reason = fmt.Sprintf("VM %s was lost before it reported whether the task completed; the task runs again if the VM returns and reports that it did not, otherwise cancel it and submit it again", t.VM)
}

func (o *owner) maxAttempts(t *bookkeeper.Task) int {
	if c, ok := o.fleet.TaskClass(t.Spec.Class); ok && c.MaxAttempts > 0 {
		return c.MaxAttempts
	}
	return defaultMaxAttempts
}
