package bookkeeper

import (
	"fmt"
	"slices"

	"bamboospread/internal/wire/messenger"
)

// ErrOvercommitted is returned for a start that does not fit.
type ErrOvercommitted struct{ Task, VM string }

func (e ErrOvercommitted) Error() string {
	return fmt.Sprintf("task %s does not fit on VM %s", e.Task, e.VM)
}

// ErrOutOfPlace is returned for a record that does not follow from the state,
// such as the end of an attempt that holds nothing. The state is unchanged.
type ErrOutOfPlace struct{ Task, What string }

func (e ErrOutOfPlace) Error() string { return fmt.Sprintf("task %s: %s", e.Task, e.What) }

// Apply changes the state by one record. A record that is refused leaves the
// state as it was; a caller journals only records that were applied.
func (b *Books) Apply(r Record) error {
	if err := b.apply(&r); err != nil {
		return err
	}
	b.note(r)
	return nil
}

func (b *Books) apply(r *Record) error {
	switch {
	case r.TookOver != nil:
		b.takeOver(r.TookOver)
	case r.Settled != nil:
		b.s.MaxLease = b.s.Settled
	case r.VMSeen != nil || r.VMGone != nil || r.Quarantine != nil:
		return b.applyVM(r)
	case r.Claimed != nil || r.ClaimClosed != nil || r.ClaimsOld != nil:
		return b.applyClaim(r)
	case r.Started != nil || r.Confirmed != nil || r.Stopping != nil || r.Ended != nil || r.Throttled != nil:
		return b.applyAttempt(r)
	case r.Submitted != nil:
		return b.submit(r)
	case r.Held != nil:
		return b.change(r, r.Held.Task, messenger.TaskQueued, func(t *Task) {
			t.State, t.Reason, t.Impossible = messenger.TaskHeld, r.Held.Reason, r.Held.Impossible
		})
	case r.Queued != nil:
		return b.change(r, r.Queued.Task, messenger.TaskHeld, func(t *Task) {
			t.State, t.Reason, t.Impossible, t.Unheard = messenger.TaskQueued, "", false, false
			if r.Queued.Checkpoint != "" {
				t.Checkpoint = r.Queued.Checkpoint
			}
		})
	case r.Cancelled != nil:
		return b.cancel(r)
	case r.DoneBefore != nil:
		return b.doneBefore(r)
	}
	return nil
}

// doneBefore completes a task by an earlier attempt; one that runs is stopped.
func (b *Books) doneBefore(r *Record) error {
	t := b.s.Tasks[r.DoneBefore.Task]
	if t == nil || t.Final() || r.DoneBefore.Attempt > t.Attempt {
		return ErrOutOfPlace{r.DoneBefore.Task, "can't have been done before"}
	}
	b.alter(r, t, func(t *Task) {
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
	b.s.Settled = max(o.VMLease, o.OutageLease)
	b.s.MaxLease = max(b.s.MaxLease, b.s.Settled)
}

// change moves a task out of one state by f and keeps the indexes true.
func (b *Books) change(r *Record, id string, from messenger.TaskState, f func(*Task)) error {
	t := b.s.Tasks[id]
	if t == nil || t.State != from {
		return ErrOutOfPlace{id, fmt.Sprintf("is not %s", from)}
	}
	b.alter(r, t, f)
	return nil
}

func (b *Books) alter(r *Record, t *Task, f func(*Task)) {
	b.leave(t)
	f(t)
	t.Changed = r.At
	b.enter(t)
	if t.Final() {
		b.finish(t)
	}
}

// finish forgets the oldest finished tasks beyond a number, so that state and
// snapshots stay small.
func (b *Books) finish(t *Task) {
	t.Spec.Payload = ""
	for _, number := range t.Decisions {
		b.forget(number)
	}
	b.s.Finished = append(b.s.Finished, t.Spec.ID)
	for len(b.s.Finished) > maxFinished {
		old := b.s.Tasks[b.s.Finished[0]]
		b.s.Finished = b.s.Finished[1:]
		if old != nil {
			b.leave(old)
			delete(b.s.Tasks, old.Spec.ID)
		}
	}
}

func (b *Books) submit(r *Record) error {
	id := r.Submitted.Spec.ID
	if b.s.Tasks[id] != nil {
		return ErrOutOfPlace{id, "exists already"}
	}
	t := &Task{
		Spec: r.Submitted.Spec, Digest: r.Submitted.Digest, Order: b.s.NextOrder,
		State: messenger.TaskQueued, Submitted: r.At, Changed: r.At,
	}
	b.s.NextOrder++
	b.s.Tasks[id] = t
	b.enter(t)
	return nil
}

func (b *Books) cancel(r *Record) error {
	t := b.s.Tasks[r.Cancelled.Task]
	if t == nil || t.Final() || t.Holds() {
		return ErrOutOfPlace{r.Cancelled.Task, "can't be cancelled at once"}
	}
	b.alter(r, t, func(t *Task) { t.State, t.Reason = messenger.TaskCancelled, "" })
	return nil
}

func (b *Books) applyAttempt(r *Record) error {
	switch {
	case r.Started != nil:
		return b.start(r)
	case r.Confirmed != nil:
		return b.attempt(r, r.Confirmed.Task, r.Confirmed.Attempt, func(t *Task) {
			t.Confirmed = true
			if t.State == messenger.TaskStarting {
				t.State = messenger.TaskRunning
			}
		})
	case r.Stopping != nil:
		return b.attempt(r, r.Stopping.Task, r.Stopping.Attempt, func(t *Task) {
			t.State = messenger.TaskStopping
			if t.Stop != StopCancel && t.Stop != StopDone { // not undone by a move
				t.Stop = r.Stopping.Kind
			}
		})
	case r.Throttled != nil:
		t := b.s.Tasks[r.Throttled.Task]
		if t == nil || !t.Holds() {
			return ErrOutOfPlace{r.Throttled.Task, "holds nothing"}
		}
		t.Percent = r.Throttled.Percent
		return nil
	}
	return b.end(r)
}

// attempt changes a task only if exactly this attempt holds resources: a late
// record of an earlier attempt must not touch the one that runs now.
func (b *Books) attempt(r *Record, id string, attempt int64, f func(*Task)) error {
	t := b.s.Tasks[id]
	if t == nil || !t.Holds() || t.Attempt != attempt {
		return ErrOutOfPlace{id, fmt.Sprintf("attempt %d holds nothing", attempt)}
	}
	b.alter(r, t, f)
	return nil
}

// start is the only place that commits a task's needs on a VM. Whatever the
// planner proposed, a start that would exceed the VM is refused here, before it
// is journalled.
func (b *Books) start(r *Record) error {
	t, v := b.s.Tasks[r.Started.Task], b.s.VMs[r.Started.VM]
	if t == nil || v == nil || t.State != messenger.TaskQueued || r.Started.Attempt != t.Attempt+1 {
		return ErrOutOfPlace{r.Started.Task, "can't start"}
	}
	if !b.Committed(r.Started.VM).Add(t.Spec.Needs).Fits(v.Seen.Capacity.Total) {
		return ErrOvercommitted{r.Started.Task, r.Started.VM}
	}
	b.alter(r, t, func(t *Task) {
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
		return ErrOutOfPlace{e.Task, "does not exist"}
	}
	vm := b.s.VMs[t.VM]
	name := t.VM
	err := b.attempt(r, e.Task, e.Attempt, func(t *Task) {
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
			if !slices.Contains(t.FailedOn, name) {
				t.FailedOn = append(t.FailedOn, name)
			}
		}
	})
	if err == nil && vm != nil {
		vm.judge(e)
	}
	return err
}

// judge keeps the VM's record of different tasks that failed in a row.
func (v *VM) judge(e *Ended) {
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
			return ErrOutOfPlace{r.VMGone.VM, "VM still holds tasks"}
		}
		delete(b.s.VMs, r.VMGone.VM)
		delete(b.onVM, r.VMGone.VM)
	case r.Quarantine != nil:
		v := b.s.VMs[r.Quarantine.VM]
		if v == nil {
			return ErrOutOfPlace{r.Quarantine.VM, "no such VM"}
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
			return ErrOutOfPlace{r.Claimed.Key, "is claimed already"}
		}
		b.s.Claims[k] = &Claim{Claimed: *r.Claimed, At: r.At, State: messenger.ClaimGranted}
	case r.ClaimClosed != nil:
		k := claimKey(r.ClaimClosed.Tenant, r.ClaimClosed.Key)
		c := b.s.Claims[k]
		if c == nil || c.RequestID != r.ClaimClosed.RequestID || c.State == messenger.ClaimSettled {
			return ErrOutOfPlace{r.ClaimClosed.Key, "is not claimed by this request"}
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

// keepAnswer bounds the bytes of all kept answers, which are part of each
// snapshot: the oldest are dropped, and a repeat of their request learns only
// that it ran.
func (b *Books) keepAnswer(key string, c *Claim) {
	if c.Answer == nil || len(c.Answer.Body) == 0 {
		return
	}
	b.s.Answered = append(b.s.Answered, keptAnswer{key, len(c.Answer.Body)})
	b.s.Answers += len(c.Answer.Body)
	for b.s.Answers > maxAnswerBytes {
		oldest := b.s.Answered[0]
		if old := b.s.Claims[oldest.Claim]; old != nil && old.Answer != nil {
			old.Answer = &messenger.KeptAnswer{Status: old.Answer.Status}
		}
		b.s.Answered = b.s.Answered[1:]
		b.s.Answers -= oldest.Bytes
	}
}

func (b *Books) dropAnswers(drop func(keptAnswer) bool) {
	kept := b.s.Answered[:0]
	for _, a := range b.s.Answered {
		if drop(a) {
			b.s.Answers -= a.Bytes
			continue
		}
		kept = append(kept, a)
	}
	b.s.Answered = kept
}

// note numbers a decision and keeps the last ones, for the cell and the last
// few of each task.
func (b *Books) note(r Record) {
	if r.Decision == nil {
		return
	}
	d := *r.Decision
	d.Number, d.Time, d.Epoch = b.s.NextEvent, r.At, b.s.Epoch
	b.s.NextEvent++
	b.s.Decisions[d.Number] = &d
	if t := b.s.Tasks[d.Task]; t != nil {
		t.Decisions = append(t.Decisions, d.Number)
		if len(t.Decisions) > maxTaskDecisions {
			oldest := t.Decisions[0]
			t.Decisions = t.Decisions[1:]
			b.forget(oldest)
		}
	}
	b.forget(d.Number - maxDecisions)
}

// forget drops a decision that is neither among the last of the cell nor among
// the last of a task that has not ended.
func (b *Books) forget(number int64) {
	d := b.s.Decisions[number]
	if d == nil || number >= b.s.NextEvent-maxDecisions {
		return
	}
	if t := b.s.Tasks[d.Task]; t != nil && !t.Final() && slices.Contains(t.Decisions, number) {
		return
	}
	delete(b.s.Decisions, number)
}
