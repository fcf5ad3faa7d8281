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
func (s *CellState) Apply(r Record) error {
	if err := s.apply(&r); err != nil {
		return err
	}
	s.recordDecision(r)
	return nil
}

func (s *CellState) apply(r *Record) error {
	switch {
	case r.Takeover != nil:
		s.takeOver(r.Takeover)
	case r.EarlierLeasesExpired != nil:
		s.data.MaxLease = s.data.OwnLease
	case r.VMSeen != nil || r.VMRemoved != nil || r.Quarantine != nil:
		return s.applyVM(r)
	case r.Claimed != nil || r.ClaimClosed != nil || r.OldClaimsRemoved != nil:
		return s.applyClaim(r)
	case r.Started != nil || r.Confirmed != nil || r.Stopping != nil || r.Ended != nil || r.Throttled != nil:
		return s.applyAttempt(r)
	case r.Submitted != nil:
		return s.submit(r)
	case r.Held != nil:
		return s.transition(r, r.Held.Task, messenger.TaskQueued, func(t *Task) {
			t.State, t.Reason, t.Impossible = messenger.TaskHeld, r.Held.Reason, r.Held.Impossible
		})
	case r.Queued != nil:
		return s.transition(r, r.Queued.Task, messenger.TaskHeld, func(t *Task) {
			t.State, t.Reason, t.Impossible, t.EndUnreported = messenger.TaskQueued, "", false, false
			if r.Queued.Checkpoint != "" {
				t.Checkpoint = r.Queued.Checkpoint
			}
		})
	case r.Cancelled != nil:
		return s.cancel(r)
	case r.CompletedEarlier != nil:
		return s.completeByEarlierAttempt(r)
	}
	return nil
}

// completeByEarlierAttempt completes a task that an earlier attempt has
// completed. If a later attempt runs, it is stopped.
func (s *CellState) completeByEarlierAttempt(r *Record) error {
	t := s.data.Tasks[r.CompletedEarlier.Task]
	if t == nil || t.Final() || r.CompletedEarlier.Attempt > t.Attempt {
		return ErrInvalidRecord{r.CompletedEarlier.Task, fmt.Sprintf("task is unknown, has ended or has no attempt %d", r.CompletedEarlier.Attempt)}
	}
	s.update(r, t, func(t *Task) {
		if t.HoldsResources() {
			t.State, t.Stop = messenger.TaskStopping, StopCompleted
			return
		}
		t.State, t.Reason = messenger.TaskCompleted, ""
	})
	return nil
}

func (s *CellState) takeOver(o *Takeover) {
	s.data.Epoch, s.data.Owner, s.data.VMLease = o.Epoch, o.EntryID, o.VMLease
	s.data.OwnLease = max(o.VMLease, o.OutageLease)
	s.data.MaxLease = max(s.data.MaxLease, s.data.OwnLease)
}

// transition applies f to a task in state from and updates the indexes.
func (s *CellState) transition(r *Record, id string, from messenger.TaskState, f func(*Task)) error {
	t := s.data.Tasks[id]
	if t == nil || t.State != from {
		return ErrInvalidRecord{id, fmt.Sprintf("task is not in state %s", from)}
	}
	s.update(r, t, f)
	return nil
}

func (s *CellState) update(r *Record, t *Task, f func(*Task)) {
	s.removeFromIndexes(t)
	f(t)
	t.Changed = r.At
	s.addToIndexes(t)
	if t.Final() {
		s.finish(t)
	}
}

// finish records a task as finished and removes the oldest finished tasks above
// maxFinished, so that state and snapshots stay small.
func (s *CellState) finish(t *Task) {
	t.Spec.Payload = ""
	for _, number := range t.Decisions {
		s.dropDecision(number)
	}
	s.data.Finished = append(s.data.Finished, t.Spec.ID)
	for len(s.data.Finished) > maxFinished {
		old := s.data.Tasks[s.data.Finished[0]]
		s.data.Finished = s.data.Finished[1:]
		if old != nil {
			s.removeFromIndexes(old)
			delete(s.data.Tasks, old.Spec.ID)
		}
	}
}

func (s *CellState) submit(r *Record) error {
	id := r.Submitted.Spec.ID
	if s.data.Tasks[id] != nil {
		return ErrInvalidRecord{id, "task already exists"}
	}
	t := &Task{
		Spec: r.Submitted.Spec, Digest: r.Submitted.Digest, Order: s.data.NextOrder,
		State: messenger.TaskQueued, Submitted: r.At, Changed: r.At,
	}
	s.data.NextOrder++
	s.data.Tasks[id] = t
	s.addToIndexes(t)
	return nil
}

func (s *CellState) cancel(r *Record) error {
	t := s.data.Tasks[r.Cancelled.Task]
	if t == nil || t.Final() || t.HoldsResources() {
		return ErrInvalidRecord{r.Cancelled.Task, "task is unknown, has ended or must be stopped first"}
	}
	s.update(r, t, func(t *Task) { t.State, t.Reason = messenger.TaskCancelled, "" })
	return nil
}

func (s *CellState) applyAttempt(r *Record) error {
	switch {
	case r.Started != nil:
		return s.start(r)
	case r.Confirmed != nil:
		return s.changeAttempt(r, r.Confirmed.Task, r.Confirmed.Attempt, func(t *Task) {
			t.Confirmed = true
			if t.State == messenger.TaskStarting {
				t.State = messenger.TaskRunning
			}
		})
	case r.Stopping != nil:
		return s.changeAttempt(r, r.Stopping.Task, r.Stopping.Attempt, func(t *Task) {
			t.State = messenger.TaskStopping
			if t.Stop != StopCancel && t.Stop != StopCompleted { // a move must not replace a cancellation or completion
				t.Stop = r.Stopping.Kind
			}
		})
	case r.Throttled != nil:
		t := s.data.Tasks[r.Throttled.Task]
		if t == nil || !t.HoldsResources() {
			return ErrInvalidRecord{r.Throttled.Task, "task holds no resources"}
		}
		t.Percent = r.Throttled.Percent
		return nil
	}
	return s.end(r)
}

// changeAttempt changes a task only if this attempt holds resources: a late
// record of an earlier attempt must not affect the current one.
func (s *CellState) changeAttempt(r *Record, id string, attempt int64, f func(*Task)) error {
	t := s.data.Tasks[id]
	if t == nil || !t.HoldsResources() || t.Attempt != attempt {
		return ErrInvalidRecord{id, fmt.Sprintf("attempt %d holds no resources", attempt)}
	}
	s.update(r, t, f)
	return nil
}

// start is the only place that commits the resources of a task on a VM. A start
// that would exceed the capacity of the VM is rejected here, before it is
// journalled, whatever the placer decided.
func (s *CellState) start(r *Record) error {
	t, v := s.data.Tasks[r.Started.Task], s.data.VMs[r.Started.VM]
	if t == nil || v == nil || t.State != messenger.TaskQueued || r.Started.Attempt != t.Attempt+1 {
		return ErrInvalidRecord{r.Started.Task, fmt.Sprintf("attempt %d cannot start on VM %q: task or VM is unknown, task is not queued, or attempt is not the next one", r.Started.Attempt, r.Started.VM)}
	}
	if !s.Committed(r.Started.VM).Add(t.Spec.Needs).Fits(v.Seen.Capacity.Total) {
		return ErrOvercommitted{r.Started.Task, r.Started.VM}
	}
	s.update(r, t, func(t *Task) {
		t.StartedOn, t.StartedBy, t.StartedLife, t.Confirmed = r.Started.VM, r.Started.Incarnation, r.Started.WorkerLife, false
		t.State, t.VM, t.Attempt, t.Reason = messenger.TaskStarting, r.Started.VM, r.Started.Attempt, ""
		t.Stop, t.Percent, t.NotBefore, t.Quarantines = "", 0, r.At, v.Quarantines
	})
	return nil
}

func (s *CellState) end(r *Record) error {
	e := r.Ended
	t := s.data.Tasks[e.Task]
	if t == nil {
		return ErrInvalidRecord{e.Task, "task does not exist"}
	}
	vm := s.data.VMs[t.VM]
	vmName := t.VM
	err := s.changeAttempt(r, e.Task, e.Attempt, func(t *Task) {
		t.State, t.Reason, t.NotBefore = e.Next, e.Reason, e.NotBefore
		t.VM, t.Stop, t.Percent, t.EndUnreported = "", "", 0, e.EndUnreported
		if e.Checkpoint != "" {
			t.Checkpoint = e.Checkpoint
		}
		if len(e.Crashes) > 0 {
			t.Crashes = e.Crashes
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

// recordOutcome updates the list of tasks that failed on the VM since the last success.
// A task that fails again may itself be the cause and counts once. One that found the
// worker unavailable is not, and counts each time: otherwise a VM whose worker takes
// nothing would get the same task again and again.
func (v *VM) recordOutcome(e *Ended) {
	if e.Next == messenger.TaskCompleted {
		v.FailedTasks, v.Quarantines = nil, 0
	}
	if e.Unavailable || e.Failed && !slices.Contains(v.FailedTasks, e.Task) {
		v.FailedTasks = append(v.FailedTasks, e.Task)
	}
}

func (s *CellState) applyVM(r *Record) error {
	switch {
	case r.VMSeen != nil:
		v := s.data.VMs[r.VMSeen.Capacity.VM]
		if v == nil {
			v = &VM{}
			s.data.VMs[r.VMSeen.Capacity.VM] = v
		}
		v.Seen = *r.VMSeen
	case r.VMRemoved != nil:
		if len(s.onVM[r.VMRemoved.VM]) > 0 {
			return ErrInvalidRecord{r.VMRemoved.VM, "VM cannot be removed, tasks hold its resources"}
		}
		delete(s.data.VMs, r.VMRemoved.VM)
		delete(s.onVM, r.VMRemoved.VM)
	case r.Quarantine != nil:
		v := s.data.VMs[r.Quarantine.VM]
		if v == nil {
			return ErrInvalidRecord{r.Quarantine.VM, "unknown VM"}
		}
		if r.Quarantine.Reason != "" {
			v.Quarantines++
		}
		v.Quarantined, v.QuarantinedUntil = r.Quarantine.Reason, r.Quarantine.Until
	}
	return nil
}

func (s *CellState) applyClaim(r *Record) error {
	switch {
	case r.Claimed != nil:
		k := claimKey(r.Claimed.Tenant, r.Claimed.Key)
		if s.data.Claims[k] != nil {
			return ErrInvalidRecord{r.Claimed.Key, "key is already claimed"}
		}
		s.data.Claims[k] = &Claim{Claimed: *r.Claimed, At: r.At, State: messenger.ClaimGranted}
	case r.ClaimClosed != nil:
		k := claimKey(r.ClaimClosed.Tenant, r.ClaimClosed.Key)
		c := s.data.Claims[k]
		if c == nil || c.RequestID != r.ClaimClosed.RequestID || c.State == messenger.ClaimResolved {
			return ErrInvalidRecord{r.ClaimClosed.Key, fmt.Sprintf("key has no open claim of request %q", r.ClaimClosed.RequestID)}
		}
		switch r.ClaimClosed.Outcome {
		case messenger.OutcomeNotRun:
			delete(s.data.Claims, k)
		case messenger.OutcomeRun:
			c.State, c.Answer = messenger.ClaimResolved, r.ClaimClosed.Answer
			s.storeAnswer(k, c)
		default:
			c.State = messenger.ClaimHeld
		}
	case r.OldClaimsRemoved != nil:
		for k, c := range s.data.Claims {
			if c.At.Before(r.OldClaimsRemoved.Before) {
				delete(s.data.Claims, k)
			}
		}
		s.dropAnswers(func(a storedAnswer) bool { return s.data.Claims[a.Claim] == nil })
	}
	return nil
}

// storeAnswer records the size of a stored answer and limits the total size of
// all, since they are part of each snapshot. The oldest bodies are dropped; a
// repeat of such a request gets only the status that shows that it ran.
func (s *CellState) storeAnswer(key string, c *Claim) {
	if c.Answer == nil || len(c.Answer.Body) == 0 {
		return
	}
	s.data.StoredAnswers = append(s.data.StoredAnswers, storedAnswer{key, len(c.Answer.Body)})
	s.data.AnswerBytes += len(c.Answer.Body)
	for s.data.AnswerBytes > maxAnswerBytes {
		oldest := s.data.StoredAnswers[0]
		if old := s.data.Claims[oldest.Claim]; old != nil && old.Answer != nil {
			old.Answer = &messenger.StoredAnswer{Status: old.Answer.Status}
		}
		s.data.StoredAnswers = s.data.StoredAnswers[1:]
		s.data.AnswerBytes -= oldest.Bytes
	}
}

func (s *CellState) dropAnswers(drop func(storedAnswer) bool) {
	kept := s.data.StoredAnswers[:0]
	for _, a := range s.data.StoredAnswers {
		if drop(a) {
			s.data.AnswerBytes -= a.Bytes
			continue
		}
		kept = append(kept, a)
	}
	s.data.StoredAnswers = kept
}

// recordDecision numbers a decision and stores it. The latest decisions of the
// cell and the last few of each task are kept.
func (s *CellState) recordDecision(r Record) {
	if r.Decision == nil {
		return
	}
	d := *r.Decision
	d.Number, d.Time, d.Epoch = s.data.NextDecision, r.At, s.data.Epoch
	s.data.NextDecision++
	s.data.Decisions[d.Number] = &d
	if t := s.data.Tasks[d.Task]; t != nil {
		t.Decisions = append(t.Decisions, d.Number)
		if len(t.Decisions) > maxTaskDecisions {
			oldest := t.Decisions[0]
			t.Decisions = t.Decisions[1:]
			s.dropDecision(oldest)
		}
	}
	s.dropDecision(d.Number - maxDecisions)
}

// dropDecision drops a decision unless it is among the latest of the cell or
// among the last of a task that has not ended.
func (s *CellState) dropDecision(number int64) {
	d := s.data.Decisions[number]
	if d == nil || number >= s.data.NextDecision-maxDecisions {
		return
	}
	if t := s.data.Tasks[d.Task]; t != nil && !t.Final() && slices.Contains(t.Decisions, number) {
		return
	}
	delete(s.data.Decisions, number)
}
