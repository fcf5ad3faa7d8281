package receiver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"bamboospread/internal/job/admitter"
	"bamboospread/internal/job/scheduler"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
)

// attempt is a request to store a job that may be refused by admission. A refusal is a write: the
// record of the refusal makes each write of an earlier or concurrent attempt with the same id fail,
// whenever the store carries it out. Neither answer is given by a read alone.
type attempt struct {
	r        *Receiver
	job      *specifier.Job
	received time.Time
	request  admitter.Request
	decision admitter.Decision
	refusal  admitter.Refusal // that was found
	revision int64            // of it; 0: there is none
	// concurrent is set once a write of this attempt has an unknown outcome. A refusal that it meets
	// then may be the answer to a later attempt of the same caller, so it must not store the job.
	concurrent bool
	repeat     bool // refused as a likely repeat
	// forwarded is the job as another entry sent it, to be stored unchanged. It must not be stored in
	// place of a refusal, which that entry has not seen.
	forwarded []byte
}

// submitAdmitted stores a job or its refusal.
func (r *Receiver) submitAdmitted(ctx context.Context, j *specifier.Job) Result {
	now := r.config.Now()
	a := &attempt{r: r, job: j, received: now}
	a.judge(now, false)
	res := a.store(ctx)
	if res.Outcome == Refused && !res.NotAdmitted && !res.cancelled && !a.decision.Refuse {
		value, err := a.encodeJob()
		if err != nil {
			return Result{Outcome: Refused, Reason: err.Error()}
		}
		return r.createRecordThroughOwner(ctx, scheduler.JobKey(j.ID), value, res)
	}
	return res
}

// judge decides on the job. mustRefuse is set if it may not be stored whatever the backlog.
func (a *attempt) judge(now time.Time, mustRefuse bool) {
	first, returnIn := now, time.Duration(0)
	if a.revision > 0 {
		first, returnIn = a.refusal.FirstAt(now), a.refusal.ReturnIn(now)
	}
	a.request = a.r.config.Admission.request(a.job, first)
	a.request.Returning, a.request.ReturnIn = a.revision > 0 && returnIn == 0, returnIn
	a.repeat = mustRefuse || a.revision > 0 && a.refusal.Age(now) < minRetryAfter
	if a.repeat {
		a.decision = admitter.Decision{
			Refuse: true, RetryAfter: max(returnIn, minRetryAfter),
			Reason: "refused a moment ago: return at the time that was given",
		}
		return
	}
	a.decision = a.r.config.Admission.decide(a.request, now)
}

// store writes the job or its refusal until the outcome is certain or ctx ends.
func (a *attempt) store(ctx context.Context) Result {
	if a.r.config.StoreUnreachable() || a.r.config.StoreAge() > maxStoreAge {
		return Result{Outcome: Refused, Reason: "store not reached"}
	}
	for {
		t, err := a.transaction()
		if err != nil {
			return Result{Outcome: Refused, Reason: err.Error()}
		}
		revision, err := a.r.config.Store.Transact(ctx, t)
		var conflict keeper.ErrConflict
		switch {
		case err == nil && a.decision.Refuse:
			return a.refused()
		case err == nil:
			a.accepted(ctx, keeper.Record{Key: t.Puts[0].Key, Value: t.Puts[0].Value, Revision: revision})
			return Result{Outcome: Accepted}
		case errors.As(err, &conflict) && conflict.Key == scheduler.JobKey(a.job.ID):
			if existing := conflict.Current; len(existing.Value) > 0 {
				a.r.hint(ctx, keeper.Record{Key: conflict.Key, Value: existing.Value, Revision: existing.Revision})
			}
			return Result{Outcome: Accepted, Reason: "known"}
		case errors.As(err, &conflict) && conflict.Key == scheduler.CancelKey(a.job.ID):
			return cancelledBefore()
		case errors.As(err, &conflict):
			if a.decision.Refuse && a.concurrent && a.isOwn(conflict.Current) {
				return a.refused() // by an earlier write of this attempt
			}
			a.meet(conflict.Current)
			continue
		case keeper.IsErrOutcomeUnknown(err):
			a.concurrent = true
		case !a.concurrent:
			return Result{Outcome: Refused, Reason: err.Error()}
		}
		pause := writeRetryDelay
		if a.r.config.StoreUnreachable() {
			pause = lostStoreRetryDelay
		}
		if pauser.Pause(ctx, pause) != nil {
			return Result{Outcome: OutcomeUnknown, Reason: err.Error()}
		}
	}
}

// meet judges anew after another write of the refusal was found: current has revision 0 if it was
// removed.
func (a *attempt) meet(current keeper.Record) {
	a.revision, a.refusal = current.Revision, admitter.Refusal{}
	if current.Revision > 0 {
		var err error
		if a.refusal, err = admitter.DecodeRefusal(current.Value); err != nil {
			a.r.config.Reporter.Report(reporter.RefusalUnreadable, reporter.Fields{"key": current.Key, "error": err.Error()})
		}
	}
	a.judge(a.r.config.Now(), a.concurrent || a.forwarded != nil)
}

// transaction returns the write of the job or of its refusal.
func (a *attempt) transaction() (keeper.Transaction, error) {
	jobKey, refusalKey := scheduler.JobKey(a.job.ID), scheduler.RefusalKey(a.job.ID)
	t := keeper.Transaction{Expect: []keeper.Expectation{{Key: jobKey}, {Key: refusalKey, Revision: a.revision}}}
	if a.decision.Refuse {
		value, err := a.refusalRecord().Encode()
		t.Puts = []keeper.Put{{Key: refusalKey, Value: value}}
		return t, err
	}
	t.Expect = append(t.Expect, keeper.Expectation{Key: scheduler.CancelKey(a.job.ID)})
	value, err := a.encodeJob()
	t.Puts = []keeper.Put{{Key: jobKey, Value: value}}
	if a.revision > 0 {
		t.Removes = []string{refusalKey}
	}
	return t, err
}

func (a *attempt) encodeJob() ([]byte, error) {
	if a.forwarded != nil {
		return a.forwarded, nil
	}
	a.job.AcceptedMillis = a.request.FirstAt.UnixMilli()
	if a.request.Limit > 0 && len(a.request.LongRunning) == 0 {
		a.job.StartByMillis = a.request.FirstAt.Add(a.request.Limit - a.request.Chain).UnixMilli()
	}
	value, err := json.Marshal(a.job)
	if err != nil {
		return nil, fmt.Errorf("encode job: %w", err)
	}
	return value, nil
}

// refusalRecord returns the record of this refusal. The time of this attempt is in it, so records of
// two attempts differ.
func (a *attempt) refusalRecord() admitter.Refusal {
	judged := a.received.UnixMilli()
	if a.repeat {
		judged = a.refusal.JudgedMillis
	}
	return admitter.Refusal{
		JudgedMillis: judged, Queue: a.job.Queue, Account: a.job.Account, Work: a.request.Work, FirstMillis: a.request.FirstAt.UnixMilli(),
		AtMillis: a.received.UnixMilli(), ReturnMillis: a.received.Add(a.decision.RetryAfter).UnixMilli(), Times: a.refusal.Times + 1,
	}
}

// isOwn reports whether a record is the refusal that this attempt has written.
func (a *attempt) isOwn(record keeper.Record) bool {
	found, err := admitter.DecodeRefusal(record.Value)
	return err == nil && found == a.refusalRecord()
}

func (a *attempt) refused() Result {
	now := a.r.config.Now()
	a.r.config.Admission.reportRefusal(a.job, a.request, a.decision, now.Sub(a.received))
	return Result{Outcome: Refused, NotAdmitted: true, Reason: a.decision.Reason, RetryAfter: max(a.decision.RetryAfter, minRetryAfter)}
}

func (a *attempt) accepted(ctx context.Context, stored keeper.Record) {
	a.r.hint(ctx, stored)
	if a.revision > 0 {
		a.r.config.Reporter.Report(reporter.JobAdmittedOnReturn, reporter.Fields{
			"job": a.job.ID, "queue": a.job.Queue, "account": a.job.Account, "refused": a.refusal.Times, "wait": a.decision.Wait.String(),
			"since-first": a.r.config.Now().Sub(a.request.FirstAt).String(), "table": a.decision.Version, "epoch": a.decision.Epoch, "table-age": a.decision.Age.String(),
		})
	}
}
