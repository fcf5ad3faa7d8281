package bookkeeper

import (
	"fmt"
	"slices"

	"bamboospread/internal/wire/messenger"
)

// ErrOvercommitted is returned for a start that would exceed the capacity of the
// VM.
type ErrOvercommitted struct{ Task, VM string }

func (e ErrOvercommitted) Error() string {
	return fmt.Sprintf("task %s does not fit on VM %s: committed resources would exceed its capacity", e.Task, e.VM)
}

// ErrInvalidRecord is returned for a record that is not valid in the current
// state, such as the end of an attempt that holds no resources. The state is
// unchanged. Subject is the task, VM or claim key of the record.
type ErrInvalidRecord struct{ Subject, Reason string }

func (e ErrInvalidRecord) Error() string {
	return fmt.Sprintf("record for %q rejected: %s", e.Subject, e.Reason)
}

// Apply applies one record to the state. A rejected record leaves the state
// unchanged; the caller journals only records that were applied.
func (b *Books) Apply(r Record) error {
	if err := b.apply(&r); err != nil {
		return err
	}
	b.recordDecision(r)
	return nil
}

func (b *Books) apply(r *Record) error {
	switch {
	case r.TookOver != nil:
		b.takeOver(r.TookOver)
	case r.Settled != nil:
		b.s.MaxLease = b.s.OwnLease
	case r.VMSeen != nil || r.VMGone != nil || r.Quarantine != nil:
		return b.applyVM(r)
	case r.Claimed != nil || r.ClaimClosed != nil || r.ClaimsOld != nil:
		return b.applyClaim(r)
	case r.Started != nil || r.Confirmed != nil || r.Stopping != nil || r.Ended != nil || r.Throttled != nil:
		return b.applyAttempt(r)
	case r.Submitted != nil:
		return b.submit(r)
	case r.Held != nil:
		return b.transition(r, r.Held.Task, messenger.TaskQueued, func(t *Task) {
			t.State, t.Reason, t.Impossible = messenger.TaskHeld, r.Held.Reason, r.Held.Impossible
		})
	case r.Queued != nil:
		return b.transition(r, r.Queued.Task, messenger.TaskHeld, func(t *Task) {
			t.State, t.Reason, t.Impossible, t.Unheard = messenger.TaskQueued, "", false, false
			if r.Queued.Checkpoint != "" {
				t.Checkpoint = r.Queued.Checkpoint
			}
		})
	case r.Cancelled != nil:
		return b.cancel(r)
	case r.DoneBefore != nil:
		return b.completeByEarlierAttempt(r)
	}
	return nil
}

// completeByEarlierAttempt completes a task that an earlier attempt has
// completed. If a later attempt runs, it is stopped.
func (b *Books) completeByEarlierAttempt(r *Record) error {
	t := b.s.Tasks[r.DoneBefore.Task]
	if t == nil || t.Final() || r.DoneBefore.Attempt > t.Attempt {
		return ErrInvalidRecord{r.DoneBefore.Task, fmt.Sprintf("task is unknown, has ended or has no attempt %d", r.DoneBefore.Attempt)}
	}
	b.update(r, t, func(t *Task) {
		if t.Holds() {
			t.State, t.Stop = messenger.TaskStopping, StopDone
			return
		}
		t.State, t.Reason = messenger.TaskCompleted, ""
	})
	return nil
}

func (b *Books) takeOver(o *TookOver) {
	b.s.Epoch, b.s.Owner, b.s.VMLease = o.Epoch, o.EntryID, o.VMLease
	b.s.OwnLease = max(o.VMLease, o.OutageLease)
	b.s.MaxLease = max(b.s.MaxLease, b.s.OwnLease)
}

// transition applies f to a task in state from and updates the indexes.
func (b *Books) transition(r *Record, id string, from messenger.TaskState, f func(*Task)) error {
	t := b.s.Tasks[id]
	if t == nil || t.State != from {
		return ErrInvalidRecord{id, fmt.Sprintf("task is not in state %s", from)}
	}
	b.update(r, t, f)
	return nil
}

func (b *Books) update(r *Record, t *Task, f func(*Task)) {
	b.removeFromIndexes(t)
	f(t)
	t.Changed = r.At
	b.addToIndexes(t)
	if t.Final() {
		b.finish(t)
	}
}

// finish records a task as finished and removes the oldest finished tasks above
// maxFinished, so that state and snapshots stay small.
func (b *Books) finish(t *Task) {
	t.Spec.Payload = ""
	for _, number := range t.Decisions {
		b.dropDecision(number)
	}
	b.s.Finished = append(b.s.Finished, t.Spec.ID)
	for len(b.s.Finished) > maxFinished {
		old := b.s.Tasks[b.s.Finished[0]]
		b.s.Finished = b.s.Finished[1:]
		if old != nil {
			b.removeFromIndexes(old)
			delete(b.s.Tasks, old.Spec.ID)
		}
	}
}

func (b *Books) submit(r *Record) error {
	id := r.Submitted.Spec.ID
	if b.s.Tasks[id] != nil {
		return ErrInvalidRecord{id, "task already exists"}
	}
	t := &Task{
		Spec: r.Submitted.Spec, Digest: r.Submitted.Digest, Order: b.s.NextOrder,
		State: messenger.TaskQueued, Submitted: r.At, Changed: r.At,
	}
	b.s.NextOrder++
	b.s.Tasks[id] = t
	b.addToIndexes(t)
	return nil
}

func (b *Books) cancel(r *Record) error {
	t := b.s.Tasks[r.Cancelled.Task]
	if t == nil || t.Final() || t.Holds() {
		return ErrInvalidRecord{r.Cancelled.Task, "task is unknown, has ended or must be stopped first"}
	}
	b.update(r, t, func(t *Task) { t.State, t.Reason = messenger.TaskCancelled, "" })
	return nil
}

func (b *Books) applyAttempt(r *Record) error {
	switch {
	case r.Started != nil:
		return b.start(r)
	case r.Confirmed != nil:
		return b.changeAttempt(r, r.Confirmed.Task, r.Confirmed.Attempt, func(t *Task) {
			t.Confirmed = true
			if t.State == messenger.TaskStarting {
				t.State = messenger.TaskRunning
			}
		})
	case r.Stopping != nil:
		return b.changeAttempt(r, r.Stopping.Task, r.Stopping.Attempt, func(t *Task) {
			t.State = messenger.TaskStopping
			if t.Stop != StopCancel && t.Stop != StopDone { // a move must not replace a cancellation or completion
				t.Stop = r.Stopping.Kind
			}
		})
	case r.Throttled != nil:
		t := b.s.Tasks[r.Throttled.Task]
		if t == nil || !t.Holds() {
			return ErrInvalidRecord{r.Throttled.Task, "task holds no resources"}
		}
		t.Percent = r.Throttled.Percent
		return nil
	}
	return b.end(r)
}

// changeAttempt changes a task only if this attempt holds resources: a late
// record of an earlier attempt must not affect the current one.
func (b *Books) changeAttempt(r *Record, id string, attempt int64, f func(*Task)) error {
	t := b.s.Tasks[id]
	if t == nil || !t.Holds() || t.Attempt != attempt {
		return ErrInvalidRecord{id, fmt.Sprintf("attempt %d holds no resources", attempt)}
	}
	b.update(r, t, f)
	return nil
}

// start is the only place that commits the resources of a task on a VM. A start
// that would exceed the capacity of the VM is rejected here, before it is
// journalled, whatever the placer decided.
func (b *Books) start(r *Record) error {
	t, v := b.s.Tasks[r.Started.Task], b.s.VMs[r.Started.VM]
	if t == nil || v == nil || t.State != messenger.TaskQueued || r.Started.Attempt != t.Attempt+1 {
		return ErrInvalidRecord{r.Started.Task, fmt.Sprintf("attempt %d cannot start on VM %q: task or VM is unknown, task is not queued, or attempt is not the next one", r.Started.Attempt, r.Started.VM)}
	}
	if !b.Committed(r.Started.VM).Add(t.Spec.Needs).Fits(v.Seen.Capacity.Total) {
		return ErrOvercommitted{r.Started.Task, r.Started.VM}
	}
	b.update(r, t, func(t *Task) {
		t.StartedOn, t.StartedBy, t.Confirmed = r.Started.VM, r.Started.Incarnation, false
		t.State, t.VM, t.Attempt, t.Reason = messenger.TaskStarting, r.Started.VM, r.Started.Attempt, ""
		t.Stop, t.Percent, t.NotBefore = "", 0, r.At
	})
	return nil
}

func (b *Books) end(r *Record) error {
	e := r.Ended
	t := b.s.Tasks[e.Task]
	if t == nil {
		return ErrInvalidRecord{e.Task, "task does not exist"}
	}
	vm := b.s.VMs[t.VM]
	vmName := t.VM
	err := b.changeAttempt(r, e.Task, e.Attempt, func(t *Task) {
		t.State, t.Reason, t.NotBefore = e.Next, e.Reason, e.NotBefore
		t.VM, t.Stop, t.Percent, t.Unheard = "", "", 0, e.Unheard
		if e.Checkpoint != "" {
			t.Checkpoint = e.Checkpoint
		}
		if e.Evicted {
			t.Evictions++
		}
		if e.Failed {
			t.Failures++
			if !slices.Contains(t.FailedOn, vmName) {
				t.FailedOn = append(t.FailedOn, vmName)
			}
		}
	})
	if err == nil && vm != nil {
		vm.recordOutcome(e)
	}
	return err
}

// recordOutcome updates the list of different tasks that failed on the VM since
// the last success.
func (v *VM) recordOutcome(e *Ended) {
	if e.Next == messenger.TaskCompleted {
		v.Failing, v.Quarantines = nil, 0
	}
	if e.Failed && !slices.Contains(v.Failing, e.Task) {
		v.Failing = append(v.Failing, e.Task)
	}
}

func (b *Books) applyVM(r *Record) error {
	switch {
	case r.VMSeen != nil:
		v := b.s.VMs[r.VMSeen.Capacity.VM]
		if v == nil {
			v = &VM{}
			b.s.VMs[r.VMSeen.Capacity.VM] = v
		}
		v.Seen = *r.VMSeen
	case r.VMGone != nil:
		if len(b.onVM[r.VMGone.VM]) > 0 {
			return ErrInvalidRecord{r.VMGone.VM, "VM cannot be removed, tasks hold its resources"}
		}
		delete(b.s.VMs, r.VMGone.VM)
		delete(b.onVM, r.VMGone.VM)
	case r.Quarantine != nil:
		v := b.s.VMs[r.Quarantine.VM]
		if v == nil {
			return ErrInvalidRecord{r.Quarantine.VM, "unknown VM"}
		}
		if r.Quarantine.Reason != "" {
			v.Quarantines++
		}
		v.Quarantined, v.Until = r.Quarantine.Reason, r.Quarantine.Until
	}
	return nil
}

func (b *Books) applyClaim(r *Record) error {
	switch {
	case r.Claimed != nil:
		k := claimKey(r.Claimed.Tenant, r.Claimed.Key)
		if b.s.Claims[k] != nil {
			return ErrInvalidRecord{r.Claimed.Key, "key is already claimed"}
		}
		b.s.Claims[k] = &Claim{Claimed: *r.Claimed, At: r.At, State: messenger.ClaimGranted}
	case r.ClaimClosed != nil:
		k := claimKey(r.ClaimClosed.Tenant, r.ClaimClosed.Key)
		c := b.s.Claims[k]
		if c == nil || c.RequestID != r.ClaimClosed.RequestID || c.State == messenger.ClaimSettled {
			return ErrInvalidRecord{r.ClaimClosed.Key, fmt.Sprintf("key has no open claim of request %q", r.ClaimClosed.RequestID)}
		}
		switch r.ClaimClosed.Outcome {
		case messenger.OutcomeNotRun:
			delete(b.s.Claims, k)
		case messenger.OutcomeRun:
			c.State, c.Answer = messenger.ClaimSettled, r.ClaimClosed.Answer
			b.keepAnswer(k, c)
		default:
			c.State = messenger.ClaimHeld
		}
	case r.ClaimsOld != nil:
		for k, c := range b.s.Claims {
			if c.At.Before(r.ClaimsOld.Before) {
				delete(b.s.Claims, k)
			}
		}
		b.dropAnswers(func(a keptAnswer) bool { return b.s.Claims[a.Claim] == nil })
	}
	return nil
}

// keepAnswer limits the total size of kept answers, which are part of each
// snapshot. The oldest bodies are dropped; a repeat of such a request gets only
// the status that shows that it ran.
func (b *Books) keepAnswer(key string, c *Claim) {
	if c.Answer == nil || len(c.Answer.Body) == 0 {
		return
	}
	b.s.KeptAnswers = append(b.s.KeptAnswers, keptAnswer{key, len(c.Answer.Body)})
	b.s.AnswerBytes += len(c.Answer.Body)
	for b.s.AnswerBytes > maxAnswerBytes {
		oldest := b.s.KeptAnswers[0]
		if old := b.s.Claims[oldest.Claim]; old != nil && old.Answer != nil {
			old.Answer = &messenger.KeptAnswer{Status: old.Answer.Status}
		}
		b.s.KeptAnswers = b.s.KeptAnswers[1:]
		b.s.AnswerBytes -= oldest.Bytes
	}
}

func (b *Books) dropAnswers(drop func(keptAnswer) bool) {
	kept := b.s.KeptAnswers[:0]
	for _, a := range b.s.KeptAnswers {
		if drop(a) {
			b.s.AnswerBytes -= a.Bytes
			continue
		}
		kept = append(kept, a)
	}
	b.s.KeptAnswers = kept
}

// recordDecision numbers a decision and stores it. The latest decisions of the
// cell and the last few of each task are kept.
func (b *Books) recordDecision(r Record) {
	if r.Decision == nil {
		return
	}
	d := *r.Decision
	d.Number, d.Time, d.Epoch = b.s.NextDecision, r.At, b.s.Epoch
	b.s.NextDecision++
	b.s.Decisions[d.Number] = &d
	if t := b.s.Tasks[d.Task]; t != nil {
		t.Decisions = append(t.Decisions, d.Number)
		if len(t.Decisions) > maxTaskDecisions {
			oldest := t.Decisions[0]
			t.Decisions = t.Decisions[1:]
			b.dropDecision(oldest)
		}
	}
	b.dropDecision(d.Number - maxDecisions)
}

// dropDecision drops a decision unless it is among the latest of the cell or
// among the last of a task that has not ended.
func (b *Books) dropDecision(number int64) {
	d := b.s.Decisions[number]
	if d == nil || number >= b.s.NextDecision-maxDecisions {
		return
	}
	if t := b.s.Tasks[d.Task]; t != nil && !t.Final() && slices.Contains(t.Decisions, number) {
		return
	}
	delete(b.s.Decisions, number)
}
