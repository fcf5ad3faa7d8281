package receiver

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bamboospread/internal/request/admitter"
	"bamboospread/internal/request/claimer"
	"bamboospread/internal/wire/messenger"
)

const (
	drainRetryAfter = 50 * time.Millisecond // another entry can take it at once
	settleWait      = 250 * time.Millisecond
	claimRetryAfter = 500 * time.Millisecond
	heldRetryAfter  = time.Second
)

func (r *Receiver) serve(w http.ResponseWriter, req *http.Request) {
	if !r.begin() {
		a := refuseFor(http.StatusServiceUnavailable, "the entry is stopping", drainRetryAfter)
		a.closeConn = true
		a.write(w, r.config.NewID())
		return
	}
	defer r.end()
	c, refusal := r.parse(w, req)
	defer r.bodyBytes.Add(-c.heldBytes)
	a := refusal
	if a == nil {
		a = r.answer(req.Context(), c)
	}
	if r.isDraining() {
		a.closeConn = true
	}
	a.write(w, c.id)
	r.meter(c, a)
}

func (r *Receiver) isDraining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draining
}

// answer admits and runs a well-formed request.
func (r *Receiver) answer(ctx context.Context, c *call) *answer {
	// The context ends with the caller's connection: nobody is left to answer,
	// and attempts that wait are given up.
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	release, err := r.admitter.Admit(ctx, admitter.Options{
		Service: c.service.Name, Tenant: c.tenant.Name, Weight: c.tenant.Weight,
		Rate: c.tenant.RequestsPerSecond, Burst: c.tenant.Burst, Deadline: c.deadline,
	})
	if err != nil {
		return refusal(err)
	}
	defer release()
	if c.keyed() {
		return r.answerKeyed(ctx, c)
	}
	return r.route(ctx, c)
}

func refusal(err error) *answer {
	var refused admitter.ErrRefused
	if !errors.As(err, &refused) {
		return refuseFor(http.StatusServiceUnavailable, err.Error(), defaultRetryAfter)
	}
	status := http.StatusServiceUnavailable
	if refused.RateLimit {
		status = http.StatusTooManyRequests
	}
	return refuseFor(status, refused.Reason, refused.RetryAfter)
}

// answerKeyed runs a keyed request that is not idempotent under the claim on its
// key. Without the claim a repeat through another entry, or after the death of
// this one, would run it a second time.
func (r *Receiver) answerKeyed(ctx context.Context, c *call) *answer {
	options := c.claim()
	reply, err := r.claimer.Claim(ctx, options)
	if err != nil {
		return refuseFor(http.StatusServiceUnavailable, err.Error(), claimRetryAfter)
	}
	switch reply.State {
	case messenger.ClaimGranted:
	case messenger.ClaimSettled:
		return replay(reply.Answer)
	case messenger.ClaimMismatch:
		return refuse(http.StatusUnprocessableEntity, "the key was used for another request")
	default:
		a := unknown(http.StatusConflict, "a request with this key is running, or its end is not known")
		a.retryAfter = heldRetryAfter
		return a
	}
	// A caller whose connection broke repeats its key; the attempt goes on without
	// it, so that the repeat gets the answer and not an unknown end.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
	defer cancel()
	a := r.route(ctx, c)
	r.settle(ctx, c, options, a)
	return a
}

// settle records the end. A request that did not run may be repeated by the
// caller as soon as it has its answer, so the claim is freed first if that goes
// fast; all else goes on in the background.
func (r *Receiver) settle(ctx context.Context, c *call, options claimer.Options, a *answer) {
	if a.outcome != messenger.OutcomeNotRun {
		kept := &messenger.KeptAnswer{Status: a.status, Header: messenger.PackHeader(a.header), Body: a.body}
		if a.outcome != messenger.OutcomeRun {
			kept = nil
		}
		r.claimer.Resolve(options, a.outcome, kept)
		return
	}
	timer := time.NewTimer(min(settleWait, time.Until(c.deadline)))
	defer timer.Stop()
	select {
	case <-r.claimer.Resolve(options, a.outcome, nil):
	case <-timer.C:
	case <-ctx.Done():
	}
}

func replay(kept *messenger.KeptAnswer) *answer {
	if kept == nil || !kept.Whole {
		// It ran, and its answer was too large to be kept: say so, and never
		// give a part of it as if it were whole.
		return &answer{
			status: http.StatusConflict, outcome: messenger.OutcomeRun, replayed: true,
			reason: "the request with this key ran; its answer was not kept",
		}
	}
	return &answer{status: kept.Status, outcome: messenger.OutcomeRun, header: messenger.UnpackHeader(kept.Header), body: kept.Body, replayed: true}
}
