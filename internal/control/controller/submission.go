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

// takeSubmit journals tasks and answers when that is done. The same id with the
// same content is accepted again, since the answer to the first may be lost.
func (o *owner) takeSubmit(call callEvent, r messenger.SubmitRequest) {
	if o.slow() {
		call.fail(messenger.CodeUnavailable, "cell %s: the store does not take the journal now", o.config.Cell)
		return
	}
	if o.contact.began.Before(call.received) && o.namesUnknown(r) {
		o.doubtful = append(o.doubtful, doubtfulSubmit{call, r})
		return
	}
	reply := messenger.SubmitReply{Verdicts: make([]messenger.SubmitVerdict, len(r.Tasks))}
	wait := o.newWait(func() { call.succeed(reply) })
	for i, spec := range r.Tasks {
		reply.Verdicts[i] = o.submit(spec, wait)
	}
	wait.start()
}

// doubtfulSubmit is a submission that names a tenant or class which the owner's
// fleet does not have. The owner may hold an older fleet than the one that the
// submitter has just seen accepted, and a refusal is final; so the submission
// waits for a store contact that began after it came.
type doubtfulSubmit struct {
	call    callEvent
	request messenger.SubmitRequest
}

func (o *owner) namesUnknown(r messenger.SubmitRequest) bool {
	for _, spec := range r.Tasks {
		_, tenant := o.fleet.Tenant(spec.Tenant)
		_, class := o.fleet.TaskClass(spec.Class)
		if !tenant || !class {
			return true
		}
	}
	return false
}

// retryDoubtful takes the submissions again that waited for a store contact.
func (o *owner) retryDoubtful(reached bool) {
	waiting := o.doubtful
	o.doubtful = nil
	for _, d := range waiting {
		if reached {
			o.takeSubmit(d.call, d.request)
		} else {
			d.call.fail(messenger.CodeUnavailable, "cell %s: a task names a tenant or class that is not known here, and the store can't be asked now", o.config.Cell)
		}
	}
}

func (o *owner) submit(spec messenger.TaskSpec, wait *wait) messenger.SubmitVerdict {
	v := messenger.SubmitVerdict{ID: spec.ID}
	digest, err := digestOf(spec)
	if err != nil {
		v.Reason = err.Error()
		return v
	}
	if t := o.books.Task(spec.ID); t != nil {
		if t.Digest != digest {
			v.Reason = "another task has this id"
			return v
		}
		v.Accepted, v.State, v.Reason = true, t.State, t.Reason
		if o.commits.open[spec.ID] > 0 { // accepted by a call that is not answered yet
			o.onCommit(wait.add())
		}
		return v
	}
	if v.Reason = o.refusal(spec); v.Reason != "" {
		return v
	}
	spec = o.complete(spec)
	o.meters.submitted.Inc()
	o.decide(bookkeeper.Record{Submitted: &bookkeeper.Submitted{Spec: spec, Digest: digest}}, reporter.TaskSubmitted,
		messenger.Decision{Task: spec.ID, Service: spec.Service, Reason: "submitted by tenant " + spec.Tenant}, wait.add())
	v.Accepted, v.State = true, messenger.TaskQueued
	if reason := o.impossible(spec); reason != "" {
		o.hold(spec.ID, reason, true, wait.add())
		v.State, v.Reason = messenger.TaskHeld, reason
	}
	o.urgent = o.urgent || spec.Urgent
	return v
}

func digestOf(spec messenger.TaskSpec) (string, error) {
	raw, err := json.Marshal(spec)
	if err != nil {
		return "", fmt.Errorf("encode task: %w", err)
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:16]), nil
}

// refusal tells why a task is not accepted at all.
func (o *owner) refusal(spec messenger.TaskSpec) string {
	n := spec.Needs
	switch {
	case spec.ID == "" || len(spec.ID) > maxIDBytes:
		return fmt.Sprintf("the id must have 1 to %d bytes", maxIDBytes)
	case spec.Service != "":
		return "replicas of services are started by the scheduler"
	case len(spec.ID) >= len(replicaPrefix) && spec.ID[:len(replicaPrefix)] == replicaPrefix:
		return "ids that begin with " + replicaPrefix + " are kept for replicas"
	case len(spec.Payload) > maxPayloadBytes:
		return fmt.Sprintf("the payload has more than %d bytes", maxPayloadBytes)
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

// complete fills in what the submitter left to the class.
func (o *owner) complete(spec messenger.TaskSpec) messenger.TaskSpec {
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

// impossible tells why a task can't run on the fleet as it is, however long it
// waits. Before the first VM is known nothing is said about sizes.
func (o *owner) impossible(spec messenger.TaskSpec) string {
	if t, ok := o.fleet.Tenant(spec.Tenant); ok {
		q, n := t.Quota, spec.Needs
		if q.Millicores > 0 && n.Millicores > q.Millicores || q.MemoryBytes > 0 && n.MemoryBytes > q.MemoryBytes ||
			q.Accelerators > 0 && n.Accelerators > q.Accelerators {
			return fmt.Sprintf("needs more than the quota of tenant %s", spec.Tenant)
		}
	}
	vms := o.books.VMs()
	for _, name := range vms {
		if spec.Needs.Fits(o.books.VM(name).Seen.Capacity.Total) {
			return ""
		}
	}
	if len(vms) == 0 {
		return ""
	}
	return "needs more than any VM has"
}

func (o *owner) hold(id, reason string, impossible bool, after func()) {
	o.decide(bookkeeper.Record{Held: &bookkeeper.Held{Task: id, Reason: reason, Impossible: impossible}}, reporter.TaskHeld,
		messenger.Decision{Task: id, Reason: reason}, after)
}

// checkHeld queues tasks again whose reason to be held has gone.
func (o *owner) checkHeld() {
	if o.books.Count(messenger.TaskHeld) == 0 {
		return
	}
	for _, t := range o.books.Tasks() {
		if t.State == messenger.TaskHeld && t.Unheard {
			o.checkUnheard(t, o.config.Now())
			continue
		}
		if t.State == messenger.TaskHeld && t.Impossible && o.impossible(t.Spec) == "" {
			o.decide(bookkeeper.Record{Queued: &bookkeeper.Queued{Task: t.Spec.ID}}, reporter.TaskRequeued,
				messenger.Decision{Task: t.Spec.ID, Reason: "fleet or VMs changed"}, nil)
		}
	}
}

// takeCancel cancels tasks, thousands at once if asked. Those that hold nothing
// end now, the others when their agent has stopped them.
func (o *owner) takeCancel(call callEvent, r messenger.CancelRequest) {
	if o.slow() {
		call.fail(messenger.CodeUnavailable, "cell %s: the store does not take the journal now", o.config.Cell)
		return
	}
	var reply messenger.CancelReply
	wait := o.newWait(func() { call.succeed(reply) })
	for _, id := range r.IDs {
		t := o.books.Task(id)
		if t == nil {
			reply.Unknown = append(reply.Unknown, id)
			continue
		}
		reply.Cancelled += o.cancel(t, "cancelled by request", wait)
	}
	if r.Tenant != "" || r.Class != "" {
		for _, t := range o.books.Tasks() {
			if t.Spec.Service == "" && (r.Tenant == "" || t.Spec.Tenant == r.Tenant) && (r.Class == "" || t.Spec.Class == r.Class) {
				reply.Cancelled += o.cancel(t, "cancelled with its class or tenant", wait)
			}
		}
	}
	wait.start()
}

func (o *owner) cancel(t *bookkeeper.Task, reason string, wait *wait) int {
	d := messenger.Decision{Task: t.Spec.ID, VM: t.VM, Service: t.Spec.Service, Reason: reason}
	switch {
	case t.State == messenger.TaskCompleted:
		return 0
	case t.State == messenger.TaskCancelled || t.Stop == bookkeeper.StopCancel:
		if o.commits.open[t.Spec.ID] > 0 {
			o.onCommit(wait.add())
		}
		return 1
	case t.Holds():
		stopping := bookkeeper.Stopping{Task: t.Spec.ID, Attempt: t.Attempt, Kind: bookkeeper.StopCancel}
		o.decide(bookkeeper.Record{Stopping: &stopping}, reporter.StopDecided, d, wait.add())
		return 1
	}
	o.decide(bookkeeper.Record{Cancelled: &bookkeeper.Cancelled{Task: t.Spec.ID}}, reporter.TaskCancelled, d, wait.add())
	return 1
}

// wait runs a function once several records are journalled.
type wait struct {
	left int
	done func()
}

// newWait returns a wait that starts with one hold, which start lets go.
func (o *owner) newWait(done func()) *wait { return &wait{left: 1, done: done} }

func (w *wait) add() func() {
	w.left++
	return w.start
}

func (w *wait) start() {
	if w.left--; w.left == 0 {
		w.done()
	}
}

// onCommit runs after when all that is decided so far is journalled.
func (o *owner) onCommit(after func()) {
	w := &o.commits.waiting
	if n := len(w.after); n > 0 {
		w.after[n-1] = both(w.after[n-1], after)
		return
	}
	if !o.commits.appending {
		after()
		return
	}
	o.commits.settled = append(o.commits.settled, after)
}

func both(a, b func()) func() {
	return func() {
		if a != nil {
			a()
		}
		b()
	}
}
