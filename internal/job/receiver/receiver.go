// Package receiver is the entry's side of jobs: it accepts submissions and
// cancellations by storing them, and tells callers the state of their jobs.
package receiver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/scheduler"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/messenger"
)

// Lengths.
const (
	settlePause = 50 * time.Millisecond // between repeats of a write whose answer was lost
	// lostPause is the same while the store counts as lost: it comes back after seconds,
	// and each repeat is a call that others' are queued behind.
	lostPause = 200 * time.Millisecond
	// staleAfter is how old the last contact with the store may be before a write
	// is not even tried. The policy is read once a second.
	staleAfter = 2500 * time.Millisecond
	// hintPause is the first pause between tries to tell the owner of a record; it
	// doubles up to hintPauseMax.
	hintPause    = 100 * time.Millisecond
	hintPauseMax = time.Second
	// hintLimit is how long the owner is told of a record. A watch of the owner that went
	// silent has ended by then, and no job is forgotten as soon.
	hintLimit = 15 * time.Second
)

// Outcome is what became of a caller's request.
type Outcome int

// Outcomes.
const (
	Accepted  Outcome = iota // stored, now or by an earlier submission
	Refused                  // surely not stored, and never will be by this request
	Unsettled                // not known; the caller may ask again with the same id
	NotExist                 // there is no such job
)

// Result is the answer to a caller.
type Result struct {
	Outcome    Outcome
	State      accountant.JobState // of a question
	Reason     string              // of a refusal
	RetryAfter time.Duration       // of a refusal
}

// Config holds the settings of a Receiver.
type Config struct {
	Store     keeper.Calls
	StoreAge  func() time.Duration // since the last contact with the store
	StoreLost func() bool          // the latest calls to it all failed
	CallOwner func(ctx context.Context, method string, params, result any) error
	// NotDone tells of an error of CallOwner that the call surely had no effect.
	NotDone func(error) bool
	// NotOwner tells of such an error that another entry was reached, which has lost the
	// ownership: the store is away for more than this entry.
	NotOwner func(error) bool
	Now      func() time.Time
	Reporter *reporter.Reporter
}

// Receiver answers callers. It is safe for concurrent use.
type Receiver struct{ config Config }

// New returns a Receiver.
func New(c Config) *Receiver { return &Receiver{config: c} }

// Submit stores a checked job. A repeat of a stored one is accepted.
func (r *Receiver) Submit(ctx context.Context, j *specifier.Job) Result {
	j.AcceptedMillis = r.config.Now().UnixMilli()
	value, err := json.Marshal(j)
	if err != nil {
		return r.refuse(j.ID, Result{Reason: fmt.Sprintf("encode job: %v", err)})
	}
	res := r.store(ctx, scheduler.JobKey(j.ID), value)
	switch res.Outcome {
	case Accepted:
		r.config.Reporter.Report(reporter.JobAccepted, reporter.Fields{"job": j.ID, "queue": j.Queue, "steps": len(j.Steps), "store-age": r.config.StoreAge().String()})
	case Unsettled:
		r.config.Reporter.Report(reporter.JobUnsettled, reporter.Fields{"job": j.ID, "reason": res.Reason})
	case Refused, NotExist:
		return r.refuse(j.ID, res)
	}
	return res
}

func (r *Receiver) refuse(id string, res Result) Result {
	res.Outcome, res.RetryAfter = Refused, max(res.RetryAfter, retryShortest)
	r.config.Reporter.Report(reporter.JobRefused, reporter.Fields{"job": id, "reason": res.Reason, "store-age": r.config.StoreAge().String(), "retry-after": res.RetryAfter.String()})
	return res
}

// afterOutage is when a caller should come back while the store is away for other
// entries too. Where only this one does not reach it, another try meets another entry.
func (r *Receiver) afterOutage() time.Duration {
	return retryAfter(r.config.StoreAge(), rand.Float64())
}

// store creates a record once, by way of the owner if this entry does not reach
// the store: the store may refuse some VMs while it serves others.
func (r *Receiver) store(ctx context.Context, key string, value []byte) Result {
	res := r.storeHere(ctx, key, value)
	if res.Outcome != Refused {
		return res
	}
	var a messenger.WorkStoreReply
	err := r.config.CallOwner(ctx, messenger.MethodWorkStore, messenger.WorkStoreRequest{Key: key, Value: value}, &a)
	switch {
	case err != nil && r.config.NotOwner(err):
		res.RetryAfter = r.afterOutage()
		return res
	case err != nil && r.config.NotDone(err):
		return res
	case err != nil:
		return Result{Outcome: Unsettled, Reason: err.Error()}
	case a.Outcome == messenger.WorkStored:
		return Result{Outcome: Accepted, Reason: "stored by the owner"}
	case a.Outcome == messenger.WorkRefused:
		return Result{Outcome: Refused, Reason: a.Reason, RetryAfter: r.afterOutage()}
	}
	return Result{Outcome: Unsettled, Reason: a.Reason}
}

// StoreFor stores a record for an entry that does not reach the store.
func (r *Receiver) StoreFor(ctx context.Context, q messenger.WorkStoreRequest) messenger.WorkStoreReply {
	if !strings.HasPrefix(q.Key, scheduler.WorkPrefix) {
		return messenger.WorkStoreReply{Outcome: messenger.WorkRefused, Reason: "not a key of a job"}
	}
	res := r.storeHere(ctx, q.Key, q.Value)
	outcome := messenger.WorkUnsettled
	switch res.Outcome {
	case Accepted:
		outcome = messenger.WorkStored
	case Refused:
		outcome = messenger.WorkRefused
	case Unsettled, NotExist:
	}
	return messenger.WorkStoreReply{Outcome: outcome, Reason: res.Reason}
}

// storeHere creates a record once. A write whose answer was lost is repeated under
// the same condition: at most one of the repeats counts, and a conflict proves
// that the record stands.
func (r *Receiver) storeHere(ctx context.Context, key string, value []byte) Result {
	// A write that is tried at a store that is away may count or not, so its caller can
	// be told neither; one that was not tried is refused at once, and truly.
	if r.config.StoreLost() || r.config.StoreAge() > staleAfter {
		return Result{Outcome: Refused, Reason: "store not reached"}
	}
	t := keeper.Transaction{Expect: []keeper.Expectation{{Key: key}}, Puts: []keeper.Put{{Key: key, Value: value}}}
	doubt := false
	for {
		revision, err := r.config.Store.Transact(ctx, t)
		var conflict keeper.ErrConflict
		switch {
		case err == nil:
			r.hint(ctx, keeper.Record{Key: key, Value: value, Revision: revision})
			return Result{Outcome: Accepted}
		case errors.As(err, &conflict):
			if stands := conflict.Current; len(stands.Value) > 0 {
				r.hint(ctx, keeper.Record{Key: key, Value: stands.Value, Revision: stands.Revision})
			}
			return Result{Outcome: Accepted, Reason: "known"}
		case keeper.IsErrOutcomeUnknown(err):
			doubt = true
		case !doubt:
			return Result{Outcome: Refused, Reason: err.Error()}
		}
		pause := settlePause
		if r.config.StoreLost() {
			pause = lostPause
		}
		if pauser.Pause(ctx, pause) != nil {
			return Result{Outcome: Unsettled, Reason: err.Error()}
		}
	}
}

// hint tells the owner of a record until it has taken it. It does not hold the caller's
// answer up. The owner's watch brings the record too, but one that went silent is
// noticed late, and the hint may be lost by the same fault.
func (r *Receiver) hint(ctx context.Context, record keeper.Record) {
	ctx = context.WithoutCancel(ctx)
	h := messenger.WorkHint{Key: record.Key, Value: record.Value, Revision: record.Revision}
	began := r.config.Now()
	go func() {
		told := false
		for pause := hintPause; r.config.Now().Sub(began) < hintLimit; pause = min(2*pause, hintPauseMax) {
			err := r.config.CallOwner(ctx, messenger.MethodWorkHint, h, nil)
			if err == nil {
				return
			}
			if !told {
				told = true
				r.config.Reporter.Report(reporter.OwnerUnreachable, reporter.Fields{"key": record.Key, "error": err.Error()})
			}
			_ = pauser.Pause(ctx, pause)
		}
	}()
}

// State tells the state of a job.
func (r *Receiver) State(ctx context.Context, id string) Result {
	var a messenger.WorkStateReply
	err := r.config.CallOwner(ctx, messenger.MethodWorkState, messenger.WorkStateRequest{Job: id}, &a)
	if err == nil && a.Known {
		return Result{Outcome: Accepted, State: accountant.JobState(a.State)}
	}
	res, storeErr := r.stored(ctx, id)
	if storeErr != nil {
		r.config.Reporter.Report(reporter.JobAnswerFailed, reporter.Fields{"job": id, "owner-error": fmt.Sprint(err), "store-error": storeErr.Error()})
		return Result{Outcome: Refused, Reason: "state not known now", RetryAfter: retryShortest}
	}
	return res
}

// stored tells the state of a job as the store has it.
func (r *Receiver) stored(ctx context.Context, id string) (Result, error) {
	if _, err := r.config.Store.GetRecord(ctx, scheduler.JobKey(id)); err != nil {
		if keeper.IsErrKeyNotExist(err) {
			return Result{Outcome: NotExist}, nil
		}
		return Result{}, err
	}
	record, err := r.config.Store.GetRecord(ctx, scheduler.ProgressKey(id))
	state := accountant.JobQueued
	switch {
	case keeper.IsErrKeyNotExist(err):
	case err != nil:
		return Result{}, err
	default:
		var p accountant.Record
		if err := json.Unmarshal(record.Value, &p); err != nil {
			return Result{}, fmt.Errorf("decode progress of job %s: %w", id, err)
		}
		state = p.State
	}
	if state.Final() {
		return Result{Outcome: Accepted, State: state}, nil
	}
	switch _, err := r.config.Store.GetRecord(ctx, scheduler.CancelKey(id)); {
	case err == nil:
		state = accountant.JobCancelled
	case !keeper.IsErrKeyNotExist(err):
		return Result{}, err
	}
	return Result{Outcome: Accepted, State: state}, nil
}

// Cancel stores that a job is cancelled.
func (r *Receiver) Cancel(ctx context.Context, id string) Result {
	if res := r.State(ctx, id); res.Outcome != Accepted {
		return res
	}
	value, err := json.Marshal(r.config.Now().UnixMilli())
	if err != nil {
		return r.refuse(id, Result{Reason: err.Error()})
	}
	res := r.store(ctx, scheduler.CancelKey(id), value)
	switch res.Outcome {
	case Accepted:
		r.config.Reporter.Report(reporter.JobCancelAccepted, reporter.Fields{"job": id})
	case Refused, Unsettled, NotExist:
		r.config.Reporter.Report(reporter.JobAnswerFailed, reporter.Fields{"job": id, "store-error": res.Reason})
		res.RetryAfter = max(res.RetryAfter, retryShortest)
	}
	return res
}

// Pending counts the jobs of a queue that have not started.
func (r *Receiver) Pending(ctx context.Context, queue string) (int, error) {
	var a messenger.WorkPendingReply
	err := r.config.CallOwner(ctx, messenger.MethodWorkPending, messenger.WorkPendingRequest{Queue: queue}, &a)
	return a.Pending, err
}
