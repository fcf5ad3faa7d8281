package controller

import (
	"fmt"
	"time"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

// Lengths after failures.
const (
	firstBackoff       = 500 * time.Millisecond
	lastBackoff        = 30 * time.Second
	refusedBackoff     = 300 * time.Millisecond
	defaultMaxAttempts = 3
)

// ending is how an attempt ended.
type ending struct {
	state      messenger.ReportState
	reason     string
	checkpoint string
	unheard    bool // the VM did not tell how it ended
}

// takeReports takes what the agent says about attempts. A poll lists every
// attempt on the VM, so one that is confirmed and missing runs no more.
func (o *owner) takeReports(s *session, p messenger.Poll) {
	vm := p.Capacity.VM
	s.listed = make(map[messenger.TaskAttempt]messenger.TaskReport, len(p.Tasks))
	for _, r := range p.Tasks {
		at := messenger.TaskAttempt{TaskID: r.TaskID, Attempt: r.Attempt}
		s.listed[at] = r
		o.takeReport(s, vm, at, r)
	}
	for at := range s.strays {
		if !s.lists(at) {
			delete(s.strays, at)
		}
	}
	for _, t := range o.books.On(vm) {
		at := messenger.TaskAttempt{TaskID: t.Spec.ID, Attempt: t.Attempt}
		if t.State == messenger.TaskRunning && !s.lists(at) {
			o.endAttempt(t, ending{state: messenger.ReportLost, reason: "not running on its VM any more", unheard: true}, nil)
		}
	}
}

// lists tells whether the latest poll listed an attempt.
func (s *session) lists(at messenger.TaskAttempt) bool {
	_, ok := s.listed[at]
	return ok
}

func (o *owner) takeReport(s *session, vm string, at messenger.TaskAttempt, r messenger.TaskReport) {
	t := o.books.Task(at.TaskID)
	current := t != nil && t.Holds() && t.VM == vm && t.Attempt == at.Attempt
	switch {
	case current && r.State == messenger.ReportRunning:
		if t.State == messenger.TaskStarting {
			o.decide(bookkeeper.Record{Confirmed: &bookkeeper.Confirmed{Task: at.TaskID, Attempt: at.Attempt}},
				reporter.StartConfirmed, messenger.Decision{Task: at.TaskID, VM: vm, Reason: "agent reports it running"}, nil)
			if t.Attempt == 1 {
				o.meters.waited(t.Spec, o.config.Now().Sub(t.Submitted))
			}
		}
	case current:
		o.endAttempt(t, ending{state: r.State, reason: r.Reason, checkpoint: r.Checkpoint}, func() { o.ack(s, at) })
	case r.State == messenger.ReportRunning:
		if !s.strays[at] {
			s.strays[at] = true
			o.config.Reporter.Report(reporter.StrayStopped, reporter.Fields{"cell": o.config.Cell, "task": at.TaskID, "vm": vm, "attempt": at.Attempt})
		}
	case r.State == messenger.ReportCompleted && t != nil && !t.Final() && t.Stop != bookkeeper.StopDone &&
		at.Attempt <= t.Attempt && t.Spec.Service == "":
		o.doneBefore(s, vm, at)
	case t != nil && t.State == messenger.TaskHeld && t.Unheard && at.Attempt == t.Attempt:
		o.heardAfterAll(s, vm, at, r)
	case o.commits.open[at.TaskID] == 0:
		// The end is journalled already, or was decided without this report.
		o.ack(s, at)
	}
}

// doneBefore takes the completion by an attempt that was given up as lost: its
// VM was away longer than its lease, and had finished the task by then. Run to
// its end again, the task would print its labels twice.
func (o *owner) doneBefore(s *session, vm string, at messenger.TaskAttempt) {
	o.decide(bookkeeper.Record{DoneBefore: &bookkeeper.DoneBefore{Task: at.TaskID, Attempt: at.Attempt}}, reporter.TaskCompleted,
		messenger.Decision{Task: at.TaskID, VM: vm, Reason: "an attempt given up as lost had completed it"}, func() { o.ack(s, at) })
}

// heardAfterAll queues a task again that was held because its VM was lost: the
// VM is back and tells that the attempt ended before it completed.
func (o *owner) heardAfterAll(s *session, vm string, at messenger.TaskAttempt, r messenger.TaskReport) {
	o.decide(bookkeeper.Record{Queued: &bookkeeper.Queued{Task: at.TaskID, Checkpoint: r.Checkpoint}}, reporter.TaskRequeued,
		messenger.Decision{Task: at.TaskID, VM: vm, Reason: "its VM is back and tells that it did not complete there"}, func() { o.ack(s, at) })
}

// checkUnheard queues a task again that was held because its VM was lost, if the
// VM is back and does not know the attempt: its start never arrived. That can be
// told only of an attempt that was never confirmed, by the agent that ran when
// the start was decided; a VM that was started anew in between has forgotten what
// it completed, so there the task stays held. An order that is still on its way
// answers an earlier poll, which the agent has given up by then.
func (o *owner) checkUnheard(t *bookkeeper.Task, now time.Time) {
	s := o.session(t.StartedOn)
	at := messenger.TaskAttempt{TaskID: t.Spec.ID, Attempt: t.Attempt}
	known := t.Confirmed || s.incarnation != t.StartedBy || s.lists(at)
	if known || !s.reachable(now) || !s.lastPoll.After(t.Changed) {
		return
	}
	o.decide(bookkeeper.Record{Queued: &bookkeeper.Queued{Task: t.Spec.ID}}, reporter.TaskRequeued,
		messenger.Decision{Task: t.Spec.ID, VM: t.StartedOn, Reason: "its VM is back and never got the start"}, nil)
}

// ack acknowledges a final report in the next reply. The agent repeats a report
// until then, so a report whose record was never journalled comes again.
func (o *owner) ack(s *session, at messenger.TaskAttempt) {
	s.acked = append(s.acked, at)
	s.answerNow = true
}

// endAttempt journals the end of an attempt and what becomes of the task.
func (o *owner) endAttempt(t *bookkeeper.Task, e ending, after func()) {
	ended := bookkeeper.Ended{Task: t.Spec.ID, Attempt: t.Attempt, Reason: e.reason, Checkpoint: e.checkpoint, Next: messenger.TaskQueued}
	code := o.judgeEnd(t, e, &ended)
	vm, s := t.VM, o.session(t.VM)
	d := messenger.Decision{Task: t.Spec.ID, VM: vm, Service: t.Spec.Service, Reason: reasonOr(e.reason, string(e.state))}
	if !o.decide(bookkeeper.Record{Ended: &ended}, code, d, after) {
		return
	}
	s.closeHistory(t.Spec.ID, o.config.Now())
	o.meters.ended(ended.Next)
	if ended.Next == messenger.TaskCompleted {
		o.meters.turnedRound(t.Spec, o.config.Now().Sub(t.Submitted))
	}
	if ended.Failed {
		o.suspect(vm)
	}
}

func reasonOr(reason, other string) string {
	if reason == "" {
		return other
	}
	return reason
}

// judgeEnd fills in what follows from the way an attempt ended.
func (o *owner) judgeEnd(t *bookkeeper.Task, e ending, ended *bookkeeper.Ended) reporter.Code {
	now := o.config.Now().Round(0).UTC()
	if e.state == messenger.ReportCompleted && t.Spec.Service == "" {
		ended.Next = messenger.TaskCompleted
		return reporter.TaskCompleted
	}
	if t.Stop == bookkeeper.StopDone {
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
		ended.NotBefore = now.Add(refusedBackoff)
		return reporter.StartRefused
	case messenger.ReportLost:
		o.judgeLost(t, e, ended)
		return reporter.AttemptLost
	}
	ended.Failed = true
	ended.NotBefore = now.Add(min(firstBackoff<<min(t.Failures, 10), lastBackoff))
	if t.Spec.Service == "" && t.Failures+1 >= o.maxAttempts(t) {
		ended.Next = messenger.TaskHeld
		ended.Reason = "failed too often, last on " + t.VM + ": " + reasonOr(e.reason, "no reason given")
	}
	return reporter.AttemptFailed
}

// judgeLost holds a task whose class asks for it. A VM that is lost without a word
// may have completed the task just before; run again, a label batch would be
// printed twice, and nobody can tell here. It is queued again, or taken as
// completed, when the VM comes back and tells.
func (o *owner) judgeLost(t *bookkeeper.Task, e ending, ended *bookkeeper.Ended) {
	class, _ := o.fleet.TaskClass(t.Spec.Class)
	if !e.unheard || !class.HoldWhenLost {
		return
	}
	ended.Next, ended.Unheard = messenger.TaskHeld, true
	ended.Reason = fmt.Sprintf("VM %s was lost and did not tell whether it completed there; it runs again if the VM is back and denies it, else cancel it and submit it anew", t.VM)
}

func (o *owner) maxAttempts(t *bookkeeper.Task) int {
	if c, ok := o.fleet.TaskClass(t.Spec.Class); ok && c.MaxAttempts > 0 {
		return c.MaxAttempts
	}
	return defaultMaxAttempts
}
