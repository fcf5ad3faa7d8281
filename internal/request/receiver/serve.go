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
	drainRetryAfter     = 50 * time.Millisecond // another entry can serve it immediately
	claimReleaseWait    = 250 * time.Millisecond
	claimRetryAfter     = 500 * time.Millisecond
	claimHeldRetryAfter = time.Second
)

func (r *Receiver) serve(w http.ResponseWriter, req *http.Request) {
	if !r.begin() {
		a := newRetryableRefusal(http.StatusServiceUnavailable, "the entry is stopping", drainRetryAfter)
		a.closeConn = true
		a.write(w, r.config.NewID())
		return
	}
	defer r.end()
	c, refusal := r.parse(w, req)
	defer r.bodyBytes.Add(-c.reservedBytes)
	a := refusal
	if a == nil {
		a = r.process(req.Context(), c)
	}
	if r.isDraining() {
		a.closeConn = true
	}
	a.write(w, c.id)
	r.recordMetrics(c, a)
}

func (r *Receiver) isDraining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draining
}

// process admits and routes a valid request.
func (r *Receiver) process(ctx context.Context, c *call) *answer {
	// The context also ends with the caller's connection; waiting attempts are then
	// abandoned, since there is no caller to answer.
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	release, err := r.admitter.Admit(ctx, admitter.Options{
		Service: c.service.Name, Tenant: c.tenant.Name, Weight: c.tenant.Weight,
		Rate: c.tenant.RequestsPerSecond, Burst: c.tenant.Burst, Deadline: c.deadline,
	})
	if err != nil {
		return admissionRefusal(err)
	}
	defer release()
	if c.keyed() {
		return r.routeKeyed(ctx, c)
	}
	return r.route(ctx, c)
}

func admissionRefusal(err error) *answer {
	var refused admitter.ErrRefused
	if !errors.As(err, &refused) {
		return newRetryableRefusal(http.StatusServiceUnavailable, err.Error(), defaultRetryAfter)
	}
	status := http.StatusServiceUnavailable
	if refused.RateLimit {
		status = http.StatusTooManyRequests
	}
	return newRetryableRefusal(status, refused.Reason, refused.RetryAfter)
}

// routeKeyed claims the key of a keyed request and routes the request. Without the claim, a repeat through another entry or after a crash of this
// one would run the request a second time.
func (r *Receiver) routeKeyed(ctx context.Context, c *call) *answer {
	options := c.claim()
	reply, err := r.claimer.Claim(ctx, options)
	if err != nil {
		return newRetryableRefusal(http.StatusServiceUnavailable, err.Error(), claimRetryAfter)
	}
	switch reply.State {
	case messenger.ClaimGranted:
	case messenger.ClaimResolved:
		return replay(reply.Answer)
	case messenger.ClaimMismatch:
		return newRefusal(http.StatusUnprocessableEntity, "the key was used for another request")
	default:
		a := newUnknown(http.StatusConflict, "a request with this key is running, or its outcome is unknown")
		a.retryAfter = claimHeldRetryAfter
		return a
	}
	// A caller whose connection broke repeats the request with its key. The attempt
	// continues without the caller, so that the repeat gets the answer and not an unknown
	// outcome.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
	defer cancel()
	a := r.route(ctx, c)
	r.resolveClaim(ctx, c, options, a)
	return a
}

// resolveClaim reports the outcome to the owner. The caller may repeat a request that
// did not run as soon as it has its answer, so the answer waits for a short time until
// the claim is released. Everything else continues in the background.
func (r *Receiver) resolveClaim(ctx context.Context, c *call, options claimer.Options, a *answer) {
	if a.outcome != messenger.OutcomeNotRun {
		stored := &messenger.StoredAnswer{Status: a.status, Header: messenger.PackHeader(a.header), Body: a.body}
		if a.outcome != messenger.OutcomeRun {
			stored = nil
		}
		r.claimer.Resolve(options, a.outcome, stored)
		return
	}
	timer := time.NewTimer(min(claimReleaseWait, time.Until(c.deadline)))
	defer timer.Stop()
	select {
	case <-r.claimer.Resolve(options, a.outcome, nil):
	case <-timer.C:
	case <-ctx.Done():
	}
}

// replay returns the answer to a repeat of a request that ran.
func replay(stored *messenger.StoredAnswer) *answer {
	if stored == nil || !stored.Complete {
		// The request ran, and its answer was too large to be stored. An incomplete answer
		// must never be returned as if it were complete.
		return &answer{
			status: http.StatusConflict, outcome: messenger.OutcomeRun, replayed: true,
			reason: "the request with this key ran; its answer was not stored",
		}
	}
	return &answer{status: stored.Status, outcome: messenger.OutcomeRun, header: messenger.UnpackHeader(stored.Header), body: stored.Body, replayed: true}
}
