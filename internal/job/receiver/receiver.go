// Package receiver implements the entry's job API: it accepts submissions and cancellations by
// storing them, and returns the state of jobs.
package receiver

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"bamboospread/internal/job/scheduler"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/messenger"
)

// Delays, timeouts and limits.
const (
	writeRetryDelay = 50 * time.Millisecond // between attempts of a write whose answer was lost
	// lostStoreRetryDelay replaces writeRetryDelay while the store counts as lost. An outage
	// lasts seconds, and each attempt delays the calls that are queued behind it.
	lostStoreRetryDelay = 200 * time.Millisecond
	// maxStoreAge is the age of the last contact with the store above which no write is
	// attempted. The policy is read once a second.
	maxStoreAge = 2500 * time.Millisecond
	// hintRetryDelay is the first delay between attempts to send a hint to the owner; it
	// doubles up to maxHintRetryDelay.
	hintRetryDelay    = 100 * time.Millisecond
	maxHintRetryDelay = time.Second
	// hintTimeout is how long a hint is repeated. By then, a stalled watch of the owner has
	// ended. It is shorter than the time for which the owner keeps ended jobs, so a late hint
	// cannot make the owner run a job again after it has ended and was removed.
	hintTimeout = 15 * time.Second
)

// Outcome classifies the result of a caller's request.
type Outcome int

// Outcomes.
const (
	Accepted       Outcome = iota // stored, by this or an earlier submission
	Refused                       // certainly not stored, and never will be by this request
	OutcomeUnknown                // unknown; the caller may repeat the request with the same id
	NotExist                      // the job does not exist
)

// Result is the answer to a caller.
type Result struct {
	Outcome    Outcome
	State      tracker.JobState // of a state request
	Reason     string           // of a refused request, or why the job failed
	RetryAfter time.Duration    // of a refused request
	// NotAdmitted is set if the request was refused because of the backlog. The refusal is stored.
	NotAdmitted bool
	cancelled   bool // refused because the job was cancelled before it was stored
}

// Config holds the settings of a Receiver.
type Config struct {
	Store            keeper.Calls
	StoreAge         func() time.Duration // time since the last contact with the store
	StoreUnreachable func() bool          // the latest calls to the store all failed
	CallOwner        func(ctx context.Context, method string, params, result any) error
	// HadNoEffect reports whether an error of CallOwner proves that the call had no effect.
	HadNoEffect func(error) bool
	// NotOwner reports whether an error of CallOwner came from an entry that has lost the
	// ownership: the store is unavailable to more than this entry.
	NotOwner func(error) bool
	// Admission decides which jobs are refused; nil: none.
	Admission *Admission
	// DefaultAccount is the client account of jobs whose callers name none.
	DefaultAccount string
	Now            func() time.Time
	Reporter       *reporter.Reporter
}

// Receiver handles the requests of callers. It is safe for concurrent use.
type Receiver struct {
	config Config
	doubts doubts
}

// New returns a Receiver.
func New(c Config) *Receiver { return &Receiver{config: c} }

// Submit stores a validated job. A repeated submission of a stored job is accepted.
func (r *Receiver) Submit(ctx context.Context, j *specifier.Job) Result {
	j.AcceptedMillis, j.Account = r.config.Now().UnixMilli(), cmp.Or(j.Account, r.config.DefaultAccount)
	value, err := json.Marshal(j)
	if err != nil {
		return r.refuse(j.ID, Result{Reason: fmt.Sprintf("encode job: %v", err)})
	}
	var res Result
	if r.config.Admission.asked() {
		res = r.submitAdmitted(ctx, j)
	} else {
		res = r.createRecord(ctx, scheduler.JobKey(j.ID), value)
	}
	switch res.Outcome {
	case Accepted:
		r.config.Reporter.Report(reporter.JobAccepted, reporter.Fields{"job": j.ID, "queue": j.Queue, "account": j.Account, "steps": len(j.Steps), "store-age": r.config.StoreAge().String()})
	case OutcomeUnknown:
		r.reportDoubt(ctx, j.ID, res.Reason)
	case Refused, NotExist:
		if res.NotAdmitted {
			return res
		}
		if !res.cancelled && r.doubts.contains(j.ID, r.config.Now()) {
			res = Result{Outcome: OutcomeUnknown, Reason: "an earlier submission may still be stored: " + res.Reason}
			r.reportDoubt(ctx, j.ID, res.Reason)
			return res
		}
		return r.refuse(j.ID, res)
	}
	return res
}

func (r *Receiver) refuse(id string, res Result) Result {
	res.Outcome, res.RetryAfter = Refused, max(res.RetryAfter, minRetryAfter)
	r.config.Reporter.Report(reporter.JobRefused, reporter.Fields{"job": id, "reason": res.Reason, "store-age": r.config.StoreAge().String(), "retry-after": res.RetryAfter.String()})
	return res
}

// outageRetryAfter returns the time after which a caller should retry while the store is
// unavailable to other entries too. If only this entry cannot reach it, the next attempt goes
// to another entry.
func (r *Receiver) outageRetryAfter() time.Duration {
	return retryAfter(r.config.StoreAge(), rand.Float64())
}

// createRecord creates a record once. If this entry cannot reach the store, it sends the record
// to the owner: the store may refuse some VMs and serve others.
func (r *Receiver) createRecord(ctx context.Context, key string, value []byte) Result {
	res := r.createRecordDirectly(ctx, key, value)
	if res.Outcome != Refused || res.cancelled {
		return res
	}
	return r.createRecordThroughOwner(ctx, key, value, res)
}

// createRecordThroughOwner sends a record to the owner. res is the result of this entry's own attempt.
func (r *Receiver) createRecordThroughOwner(ctx context.Context, key string, value []byte, res Result) Result {
	var a messenger.WorkStoreReply
	err := r.config.CallOwner(ctx, messenger.MethodWorkStore, messenger.WorkStoreRequest{Key: key, Value: value}, &a)
	switch {
	case err != nil && r.config.NotOwner(err):
		res.RetryAfter = r.outageRetryAfter()
		return res
	case err != nil && r.config.HadNoEffect(err):
		return res
	case err != nil:
		return Result{Outcome: OutcomeUnknown, Reason: err.Error()}
	case a.Outcome == messenger.WorkStored:
		return Result{Outcome: Accepted, Reason: "stored by the owner"}
	case a.Outcome == messenger.WorkRefused:
		return Result{Outcome: Refused, Reason: a.Reason, RetryAfter: r.outageRetryAfter()}
	}
	return Result{Outcome: OutcomeUnknown, Reason: a.Reason}
}

// StoreForEntry stores a record for an entry that cannot reach the store.
func (r *Receiver) StoreForEntry(ctx context.Context, q messenger.WorkStoreRequest) messenger.WorkStoreReply {
	if !strings.HasPrefix(q.Key, scheduler.WorkPrefix) {
		return messenger.WorkStoreReply{Outcome: messenger.WorkRefused, Reason: "not a key of a job"}
	}
	res := r.storeForEntry(ctx, q)
	outcome := messenger.WorkOutcomeUnknown
	switch res.Outcome {
	case Accepted:
		outcome = messenger.WorkStored
	case Refused:
		outcome = messenger.WorkRefused
	case OutcomeUnknown, NotExist:
	}
	return messenger.WorkStoreReply{Outcome: outcome, Reason: res.Reason}
}

// storeForEntry creates a record. A job whose refusal is stored is refused again: the entry has judged
// without it.
func (r *Receiver) storeForEntry(ctx context.Context, q messenger.WorkStoreRequest) Result {
	j, err := tracker.DecodeJob(q.Value)
	if !r.config.Admission.asked() || err != nil || scheduler.JobKey(j.ID) != q.Key {
		return r.createRecordDirectly(ctx, q.Key, q.Value)
	}
	now := r.config.Now()
	a := &attempt{r: r, job: j, received: now, forwarded: q.Value, request: r.config.Admission.request(j, now)}
	return a.store(ctx)
}

// createRecordDirectly creates a record once, without the owner. A write whose answer was lost
// is repeated under the same condition: at most one attempt takes effect, and a conflict proves
// that the record exists.
func (r *Receiver) createRecordDirectly(ctx context.Context, key string, value []byte) Result {
	// The outcome of a write to an unavailable store would be unknown. Without an attempt, the
	// caller gets a certain answer at once.
	if r.config.StoreUnreachable() || r.config.StoreAge() > maxStoreAge {
		return Result{Outcome: Refused, Reason: "store not reached"}
	}
	t := keeper.Transaction{Expect: []keeper.Expectation{{Key: key}}, Puts: []keeper.Put{{Key: key, Value: value}}}
	if id, ok := scheduler.JobOfKey(key); ok {
		t.Expect = append(t.Expect, keeper.Expectation{Key: scheduler.CancelKey(id)})
	}
	outcomeUnknown := false
	for {
		revision, err := r.config.Store.Transact(ctx, t)
		var conflict keeper.ErrConflict
		switch {
		case err == nil:
			r.hint(ctx, keeper.Record{Key: key, Value: value, Revision: revision})
			return Result{Outcome: Accepted}
		case errors.As(err, &conflict) && conflict.Key != key:
			return cancelledBefore()
		case errors.As(err, &conflict):
			if existing := conflict.Current; len(existing.Value) > 0 {
				r.hint(ctx, keeper.Record{Key: key, Value: existing.Value, Revision: existing.Revision})
			}
			return Result{Outcome: Accepted, Reason: "known"}
		case keeper.IsErrOutcomeUnknown(err):
			outcomeUnknown = true
		case !outcomeUnknown:
			return Result{Outcome: Refused, Reason: err.Error()}
		}
		pause := writeRetryDelay
		if r.config.StoreUnreachable() {
			pause = lostStoreRetryDelay
		}
		if pauser.Pause(ctx, pause) != nil {
			return Result{Outcome: OutcomeUnknown, Reason: err.Error()}
		}
	}
}

// hint sends a hint on a record to the owner and repeats it until it is acknowledged or
// hintTimeout has passed. It does not delay the caller's answer. The owner's watch delivers the
// record too, but a stalled watch is detected late, and the same fault may lose the hint.
func (r *Receiver) hint(ctx context.Context, record keeper.Record) {
	ctx = context.WithoutCancel(ctx)
	h := messenger.WorkHint{Key: record.Key, Value: record.Value, Revision: record.Revision, Admission: r.config.Admission.State()}
	began := r.config.Now()
	go func() {
		reported := false
		for pause := hintRetryDelay; r.config.Now().Sub(began) < hintTimeout; pause = min(2*pause, maxHintRetryDelay) {
			err := r.sendHint(ctx, h)
			if err == nil {
				return
			}
			if !reported {
				reported = true
				r.config.Reporter.Report(reporter.OwnerUnreachable, reporter.Fields{"key": record.Key, "error": err.Error()})
			}
			_ = pauser.Pause(ctx, pause)
		}
	}()
}

// sendHint sends a hint once. Its answer may hold a newer admission table.
func (r *Receiver) sendHint(ctx context.Context, h messenger.WorkHint) error {
	if h.Admission == nil {
		return r.config.CallOwner(ctx, messenger.MethodWorkHint, h, nil)
	}
	var a messenger.WorkHintReply
	sentAt := r.config.Now()
	err := r.config.CallOwner(ctx, messenger.MethodWorkHint, h, &a)
	if err == nil && a.Admission != nil {
		r.config.Admission.Use(a.Admission.Epoch, a.Admission, sentAt)
	}
	return err
}

// State returns the state of a job. A job that may still be stored is not said not to exist.
func (r *Receiver) State(ctx context.Context, id string) Result {
	l := r.lookUp(ctx, id)
	if l.Outcome == NotExist && (l.inDoubt || r.doubts.contains(id, r.config.Now())) {
		return Result{Outcome: Refused, Reason: "the outcome of its submission is not known yet", RetryAfter: minRetryAfter}
	}
	return l.Result
}

// lookup is what the owner and the store know of a job.
type lookup struct {
	Result

	inDoubt     bool // the owner knows that a write may still store it
	cancelsFull bool // the owner can't keep another cancellation of an unknown job
}

func (r *Receiver) lookUp(ctx context.Context, id string) lookup {
	var a messenger.WorkStateReply
	err := r.config.CallOwner(ctx, messenger.MethodWorkState, messenger.WorkStateRequest{Job: id}, &a)
	if err == nil && a.Known {
		return lookup{Result: Result{Outcome: Accepted, State: tracker.JobState(a.State), Reason: a.Reason}}
	}
	res, storeErr := r.storedState(ctx, id)
	if storeErr != nil {
		r.config.Reporter.Report(reporter.JobQueryFailed, reporter.Fields{"job": id, "owner-error": fmt.Sprint(err), "store-error": storeErr.Error()})
		return lookup{Result: Result{Outcome: Refused, Reason: "state not known now", RetryAfter: minRetryAfter}}
	}
	return lookup{Result: res, inDoubt: a.InDoubt, cancelsFull: a.CancelsFull}
}

// storedState returns the state of a job according to the store.
func (r *Receiver) storedState(ctx context.Context, id string) (Result, error) {
	if _, err := r.config.Store.GetRecord(ctx, scheduler.JobKey(id)); err != nil {
		if keeper.IsErrKeyNotExist(err) {
			return Result{Outcome: NotExist}, nil
		}
		return Result{}, err
	}
	record, err := r.config.Store.GetRecord(ctx, scheduler.ProgressKey(id))
	state, reason := tracker.JobQueued, ""
	switch {
	case keeper.IsErrKeyNotExist(err):
	case err != nil:
		return Result{}, err
	default:
		p, err := tracker.DecodeRecord(record.Value)
		if err != nil {
			return Result{}, fmt.Errorf("decode progress of job %s: %w", id, err)
		}
		state, reason = p.State, p.Reason
	}
	if state.Final() {
		return Result{Outcome: Accepted, State: state, Reason: reason}, nil
	}
	switch _, err := r.config.Store.GetRecord(ctx, scheduler.CancelKey(id)); {
	case err == nil:
		state = tracker.JobCancelled
	case !keeper.IsErrKeyNotExist(err):
		return Result{}, err
	}
	return Result{Outcome: Accepted, State: state}, nil
}

// Cancel stores the cancellation of a job, also of one that does not exist: a submission whose outcome is
// not known may still be carried out. With the cancellation it is not, since a job is stored only if it
// has not been cancelled.
func (r *Receiver) Cancel(ctx context.Context, id string) Result {
	known := r.lookUp(ctx, id)
	if known.Outcome != Accepted && known.Outcome != NotExist {
		return known.Result
	}
	if known.Outcome == NotExist && known.cancelsFull {
		return r.refuse(id, Result{Reason: "too many cancellations of unknown jobs"})
	}
	value, err := json.Marshal(r.config.Now().UnixMilli())
	if err != nil {
		return r.refuse(id, Result{Reason: err.Error()})
	}
	res := r.createRecord(ctx, scheduler.CancelKey(id), value)
	switch res.Outcome {
	case Accepted:
		r.doubts.remove(id)
		r.config.Reporter.Report(reporter.JobCancelAccepted, reporter.Fields{"job": id, "known": known.Outcome == Accepted})
		if known.Outcome == NotExist {
			return known.Result
		}
	case Refused, OutcomeUnknown, NotExist:
		r.config.Reporter.Report(reporter.JobQueryFailed, reporter.Fields{"job": id, "store-error": res.Reason})
		res.RetryAfter = max(res.RetryAfter, minRetryAfter)
	}
	return res
}

// cancelledBefore is the result of a submission of a job that was cancelled before it was stored.
func cancelledBefore() Result {
	return Result{Outcome: Refused, Reason: "cancelled before it was stored", cancelled: true}
}

// Pending counts the jobs of a queue that have not started.
func (r *Receiver) Pending(ctx context.Context, queue string) (int, error) {
	var a messenger.WorkPendingReply
	err := r.config.CallOwner(ctx, messenger.MethodWorkPending, messenger.WorkPendingRequest{Queue: queue}, &a)
	return a.Pending, err
}
