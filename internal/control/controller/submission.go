package controller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

// Limits of submissions.
const (
	maxIDBytes      = 200
	maxPayloadBytes = 64 << 10
	replicaPrefix   = "replica-"
)

// handleSubmit accepts tasks and replies once they are journalled. The same id with the
// same content is accepted again, because the reply to the first call may have been lost.
func (o *owner) handleSubmit(call callEvent, r messenger.SubmitRequest) {
	if o.appendSlow() {
		call.fail(messenger.CodeUnavailable, "cell %s: a journal append takes longer than %s", o.config.Cell, slowAppendThreshold)
		return
	}
	if o.contact.began.Before(call.received) && o.hasUnknownNames(r) {
		o.deferred = append(o.deferred, deferredSubmit{call, r})
		return
	}
	reply := messenger.SubmitReply{Results: make([]messenger.SubmitResult, len(r.Tasks))}
	wait := newCommitWait(func() { call.succeed(reply) })
	for i, spec := range r.Tasks {
		reply.Results[i] = o.submit(spec, wait)
	}
	wait.done()
}

// deferredSubmit is a submission that names a tenant or class that is not in the owner's
// fleet. The owner may have an older fleet than the one that the submitter has just seen
// accepted, and a rejection is final. The submission therefore waits for a store contact
// that began after it was received.
type deferredSubmit struct {
	call    callEvent
	request messenger.SubmitRequest
}

func (o *owner) hasUnknownNames(r messenger.SubmitRequest) bool {
	for _, spec := range r.Tasks {
		_, tenant := o.fleet.Tenant(spec.Tenant)
		_, class := o.fleet.TaskClass(spec.Class)
		if !tenant || !class {
			return true
		}
	}
	return false
}

// retryDeferred handles the submissions that waited for a store contact. They fail if the
// store was not reached.
func (o *owner) retryDeferred(reached bool) {
	waiting := o.deferred
	o.deferred = nil
	for _, d := range waiting {
		if reached {
			o.handleSubmit(d.call, d.request)
		} else {
			d.call.fail(messenger.CodeUnavailable, "cell %s: a task names a tenant or class that is not in the known fleet, and the store is unavailable", o.config.Cell)
		}
	}
}

func (o *owner) submit(spec messenger.TaskSpec, wait *commitWait) messenger.SubmitResult {
	result := messenger.SubmitResult{ID: spec.ID}
	digest, err := digestOf(spec)
	if err != nil {
		result.Reason = err.Error()
		return result
	}
	if t := o.state.Task(spec.ID); t != nil {
		if t.Digest != digest {
			result.Reason = "another task with different content has this id"
			return result
		}
		result.Accepted, result.State, result.Reason = true, t.State, t.Reason
		if o.commits.uncommitted[spec.ID] > 0 { // accepted, but not journalled yet
			o.onCommit(wait.add())
		}
		return result
	}
	if result.Reason = o.rejectReason(spec); result.Reason != "" {
		return result
	}
	spec = o.applyClassDefaults(spec)
	err = o.decideFor(wait, bookkeeper.Record{Submitted: &bookkeeper.Submitted{Spec: spec, Digest: digest}}, reporter.TaskSubmitted,
		messenger.Decision{Task: spec.ID, Service: spec.Service, Reason: "submitted by tenant " + spec.Tenant})
	if err != nil {
		result.Reason = fmt.Sprintf("the decision was refused: %v", err)
		return result
	}
	o.metrics.submitted.Inc()
	result.Accepted, result.State = true, messenger.TaskQueued
	if reason := o.impossibleReason(spec); reason != "" {
		if o.decideFor(wait, heldRecord(spec.ID, reason), reporter.TaskHeld, messenger.Decision{Task: spec.ID, Reason: reason}) == nil {
			result.State, result.Reason = messenger.TaskHeld, reason
		}
	}
	o.urgent = o.urgent || spec.Urgent
	return result
}

func digestOf(spec messenger.TaskSpec) (string, error) {
	raw, err := json.Marshal(spec)
	if err != nil {
		return "", fmt.Errorf("encode task: %w", err)
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:16]), nil
}

// rejectReason returns why a task is rejected, or an empty string.
func (o *owner) rejectReason(spec messenger.TaskSpec) string {
	n := spec.Needs
	switch {
	case spec.ID == "" || len(spec.ID) > maxIDBytes:
		return fmt.Sprintf("the id has %d bytes, want 1 to %d", len(spec.ID), maxIDBytes)
	case spec.Service != "":
		return "replicas of services are started by the scheduler"
	case len(spec.ID) >= len(replicaPrefix) && spec.ID[:len(replicaPrefix)] == replicaPrefix:
		return "ids that begin with " + replicaPrefix + " are reserved for replicas"
	case len(spec.Payload) > maxPayloadBytes:
		return fmt.Sprintf("the payload has %d bytes, more than the limit of %d", len(spec.Payload), maxPayloadBytes)
	case n.Millicores < 0 || n.MemoryBytes < 0 || n.Accelerators < 0 || spec.RunTimeMillis < 0:
		return "needs and run time can't be negative"
	}
	if _, ok := o.fleet.Tenant(spec.Tenant); !ok {
		return fmt.Sprintf("tenant %q is not in the fleet text", spec.Tenant)
	}
	if _, ok := o.fleet.TaskClass(spec.Class); !ok {
		return fmt.Sprintf("task class %q is not in the fleet text", spec.Class)
	}
	return ""
}

// applyClassDefaults fills in the values that the submitter left to the task class.
func (o *owner) applyClassDefaults(spec messenger.TaskSpec) messenger.TaskSpec {
	class, ok := o.fleet.TaskClass(spec.Class)
	if !ok {
		return spec
	}
	if spec.Needs == (describer.Resources{}) {
		spec.Needs = class.Needs
	}
	if spec.RunTimeMillis == 0 {
		spec.RunTimeMillis = messenger.Millis(class.RunTime)
	}
	spec.Urgent = spec.Urgent || class.Urgent
	return spec
}

// impossibleReason returns why a task can never run on the current fleet, or an empty
// string. Sizes are not checked before the first VM is known.
func (o *owner) impossibleReason(spec messenger.TaskSpec) string {
	if t, ok := o.fleet.Tenant(spec.Tenant); ok {
		q, n := t.Quota, spec.Needs
		if q.Millicores > 0 && n.Millicores > q.Millicores || q.MemoryBytes > 0 && n.MemoryBytes > q.MemoryBytes ||
			q.Accelerators > 0 && n.Accelerators > q.Accelerators {
			return fmt.Sprintf("needs more than the quota of tenant %s", spec.Tenant)
		}
	}
	vms := o.state.VMs()
	for _, name := range vms {
		if spec.Needs.Fits(o.state.VM(name).Seen.Capacity.Total) {
			return ""
		}
	}
	if len(vms) == 0 {
		return ""
	}
	return "needs more resources than any VM has"
}

// heldRecord records that a queued task is held, since it can't run on the current fleet.
func heldRecord(id, reason string) bookkeeper.Record {
	return bookkeeper.Record{Held: &bookkeeper.Held{Task: id, Reason: reason, Impossible: true}}
}

// checkHeld requeues the tasks whose reason to be held no longer applies.
func (o *owner) checkHeld() {
	if o.state.Count(messenger.TaskHeld) == 0 {
		return
	}
	for _, t := range o.state.Tasks() {
		if t.State == messenger.TaskHeld && t.EndUnreported {
			o.requeueIfNeverStarted(t, o.config.Now())
			continue
		}
		if t.State == messenger.TaskHeld && t.Impossible && o.impossibleReason(t.Spec) == "" {
			o.decide(bookkeeper.Record{Queued: &bookkeeper.Queued{Task: t.Spec.ID}}, reporter.TaskRequeued,
				messenger.Decision{Task: t.Spec.ID, Reason: "fleet or VMs changed"}, nil)
		}
	}
}

// handleCancel cancels tasks by id, tenant or class, possibly thousands at once. Tasks that
// hold no resources end now, the others when their agent has stopped them.
func (o *owner) handleCancel(call callEvent, r messenger.CancelRequest) {
	if o.appendSlow() {
		call.fail(messenger.CodeUnavailable, "cell %s: a journal append takes longer than %s", o.config.Cell, slowAppendThreshold)
		return
	}
	var reply messenger.CancelReply
	var refused error // the first refusal
	wait := newCommitWait(func() { o.answerCancel(call, reply, refused) })
	cancel := func(t *bookkeeper.Task, reason string) {
		cancelled, err := o.cancel(t, reason, wait)
		if cancelled {
			reply.Cancelled++
		}
		if refused == nil {
			refused = err
		}
	}
	for _, id := range r.IDs {
		t := o.state.Task(id)
		if t == nil {
			reply.Unknown = append(reply.Unknown, id)
			continue
		}
		cancel(t, "cancelled by request")
	}
	if r.Tenant != "" || r.Class != "" {
		for _, t := range o.state.Tasks() {
			if t.Spec.Service == "" && (r.Tenant == "" || t.Spec.Tenant == r.Tenant) && (r.Class == "" || t.Spec.Class == r.Class) {
				cancel(t, "cancelled with its class or tenant")
			}
		}
	}
	wait.done()
}

// answerCancel answers a cancellation, of which some tasks may have been refused.
func (o *owner) answerCancel(call callEvent, reply messenger.CancelReply, refused error) {
	switch {
	case refused == nil:
		call.succeed(reply)
	case reply.Cancelled == 0:
		o.failRefused(call, refused)
	default:
		call.fail(messenger.CodeUnknown, "cell %s: %d tasks were cancelled, others were not, since the decision was refused: %v", o.config.Cell, reply.Cancelled, refused)
	}
}

// cancel reports whether the task is cancelled, or why the state refused that.
func (o *owner) cancel(t *bookkeeper.Task, reason string, wait *commitWait) (bool, error) {
	d := messenger.Decision{Task: t.Spec.ID, VM: t.VM, Service: t.Spec.Service, Reason: reason}
	switch {
	case t.State == messenger.TaskCompleted:
		return false, nil
	case t.State == messenger.TaskCancelled || t.Stop == bookkeeper.StopCancel:
		if o.commits.uncommitted[t.Spec.ID] > 0 {
			o.onCommit(wait.add())
		}
		return true, nil
	case t.HoldsResources():
		stopping := bookkeeper.Stopping{Task: t.Spec.ID, Attempt: t.Attempt, Kind: bookkeeper.StopCancel}
		err := o.decideFor(wait, bookkeeper.Record{Stopping: &stopping}, reporter.StopDecided, d)
		return err == nil, err
	}
	err := o.decideFor(wait, bookkeeper.Record{Cancelled: &bookkeeper.Cancelled{Task: t.Spec.ID}}, reporter.TaskCancelled, d)
	return err == nil, err
}

// decideFor is decide for a call that waits until its records are journalled. A refused
// record is not waited for.
func (o *owner) decideFor(wait *commitWait, r bookkeeper.Record, code reporter.Code, d messenger.Decision) error {
	done := wait.add()
	err := o.decide(r, code, d, done)
	if err != nil {
		done() // the call itself still holds a count
	}
	return err
}

// commitWait calls onDone once several records are journalled.
type commitWait struct {
	pending int
	onDone  func()
}

// newCommitWait returns a commitWait with a count of one, which the caller releases by done.
func newCommitWait(onDone func()) *commitWait {
	return &commitWait{pending: 1, onDone: onDone}
}

// add increments the count and returns the function that decrements it.
func (w *commitWait) add() func() {
	w.pending++
	return w.done
}

func (w *commitWait) done() {
	if w.pending--; w.pending == 0 {
		w.onDone()
	}
}

// onCommit calls after once all decisions so far are journalled.
func (o *owner) onCommit(after func()) {
	p := &o.commits.pending
	if n := len(p.callbacks); n > 0 {
		p.callbacks[n-1] = chain(p.callbacks[n-1], after)
		return
	}
	if !o.commits.appending {
		after()
		return
	}
	o.commits.afterAppend = append(o.commits.afterAppend, after)
}

func chain(a, b func()) func() {
	return func() {
		if a != nil {
			a()
		}
		b()
	}
}
