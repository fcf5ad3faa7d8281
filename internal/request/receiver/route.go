package receiver

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/request/balancer"
	"bamboospread/internal/request/retrier"
	"bamboospread/internal/request/tracker"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

const (
	stackCandidates = 32 // candidates that fit on the stack; more need an allocation
	maxFullPause    = 2 * time.Millisecond
	noUpstreamPause = 20 * time.Millisecond
	minAttemptTime  = 20 * time.Millisecond
	// attemptLatencyMultiple limits when a first attempt gets only half of the time
	// left, so that another upstream can be tried: that half must be at least this
	// multiple of the typical latency.
	attemptLatencyMultiple = 4
	// slotRetryPeriod is how long after its arrival an admitted request is retried while
	// upstreams are full. Entries admit requests without knowing each other's latest
	// admissions, so under load an admitted request finds upstreams full several times in
	// a row although slots become free all the time. If it were refused after a few quick
	// retries, tenants within their share would be refused too. Callers are refused
	// within 50 ms, so the retries end a little earlier.
	slotRetryPeriod = 45 * time.Millisecond
)

// routeState is the state of a request across its attempts.
type routeState struct {
	attempt        int
	notRun         int
	unknown        int
	tried          map[string]bool
	typicalLatency time.Duration // mean latency of the other upstreams; 0: unknown
	reason         string
	timedOut       bool // the last attempt had an unknown outcome and the context had ended
	retryAfter     time.Duration
}

// route sends the request to upstreams until one answers or no retry is allowed.
func (r *Receiver) route(ctx context.Context, c *call) *answer {
	r.retrier.CountRequest(c.service.Name)
	s := &routeState{tried: make(map[string]bool)}
	for {
		u := r.chooseUpstream(c, s)
		outcome := messenger.OutcomeNotRun
		if u == nil {
			s.reason, s.retryAfter = "no upstream of the service can take the request", defaultRetryAfter
			pause(ctx, noUpstreamPause)
		} else {
			reply := r.attempt(ctx, c, s, u)
			if reply.Outcome == messenger.OutcomeRun {
				return &answer{
					status: reply.Status, outcome: reply.Outcome, header: messenger.UnpackHeader(reply.Header), body: reply.Body,
				}
			}
			outcome = reply.Outcome
			r.recordUnanswered(ctx, s, u, reply)
		}
		if outcome == messenger.OutcomeNotRun {
			s.notRun++
		} else {
			s.unknown++
		}
		again := ctx.Err() == nil && r.retrier.AllowRetry(retrier.FailedAttempt{
			Service: c.service.Name, Outcome: outcome, Idempotent: c.idempotent,
			NotRunAttempts: r.countedNotRun(c, s), UnknownAttempts: s.unknown, TimeLeft: c.deadline.Sub(r.config.Now()),
		})
		if !again {
			return s.finalAnswer(ctx)
		}
	}
}

// countedNotRun returns how many of the attempts that did not run count against their
// limit: none while the request is only waiting for a slot.
func (r *Receiver) countedNotRun(c *call, s *routeState) int {
	if s.reason == messenger.ReasonFull && r.config.Now().Sub(c.started) < slotRetryPeriod {
		return 0
	}
	return s.notRun
}

// finalAnswer returns the answer to a request that no upstream answered. The outcome is
// not-run only if every attempt definitely did not run.
func (s *routeState) finalAnswer(ctx context.Context) *answer {
	if s.unknown == 0 {
		return newRetryableRefusal(http.StatusServiceUnavailable, s.reason, max(s.retryAfter, defaultRetryAfter))
	}
	if s.timedOut || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return newUnknown(http.StatusGatewayTimeout, s.reason)
	}
	return newUnknown(http.StatusBadGateway, s.reason)
}

// chooseUpstream returns an upstream, or nil if none is ready.
func (r *Receiver) chooseUpstream(c *call, s *routeState) *tracker.Upstream {
	now := r.config.Now()
	var buffer [stackCandidates]balancer.Candidate
	var ready [stackCandidates]*tracker.Upstream
	candidates, upstreams := buffer[:0], ready[:0]
	untried := false
	fleet := r.config.Fleet()
	for _, u := range r.config.Tracker.Snapshot().Upstreams(c.service.Name) {
		if !u.Ready(now) {
			continue
		}
		candidate := u.Candidate(now)
		candidate.Excluded, candidate.Avoid = s.tried[u.ID()], fleet.ZoneIsOut(u.Zone())
		untried = untried || !candidate.Excluded
		candidates, upstreams = append(candidates, candidate), append(upstreams, u)
	}
	if !untried {
		for i := range candidates {
			candidates[i].Excluded = false
		}
	}
	for {
		choice := r.balancer.Choose(candidates)
		if choice.Index < 0 {
			return nil
		}
		u := upstreams[choice.Index]
		s.typicalLatency = meanLatencyOfOthers(candidates, choice.Index)
		if candidates[choice.Index].Health != balancer.ProbeDue || u.Health().BeginProbe(now) {
			return u
		}
		candidates[choice.Index].Health = balancer.Ejected
	}
}

// meanLatencyOfOthers returns the mean latency of the candidates other than the chosen
// one.
func meanLatencyOfOthers(candidates []balancer.Candidate, chosen int) time.Duration {
	var sum time.Duration
	n := 0
	for i := range candidates {
		if i != chosen && candidates[i].Latency > 0 {
			sum += candidates[i].Latency
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// attempt sends the request to the upstream once and verifies the reply.
func (r *Receiver) attempt(ctx context.Context, c *call, s *routeState, u *tracker.Upstream) messenger.RunReply {
	s.attempt++
	left := r.attemptTime(c, s)
	req := messenger.RunRequest{
		RequestID: c.id, Attempt: s.attempt, Upstream: u.ID(), Service: c.service.Name, Tenant: c.tenant.Name,
		Method: c.method, Path: c.path, Header: messenger.PackHeader(c.header), Body: c.body, TimeoutMillis: messenger.Millis(left),
	}
	if left <= 0 || ctx.Err() != nil {
		return messenger.RunReply{Outcome: messenger.OutcomeNotRun, Reason: "the deadline passed before sending"}
	}
	attemptCtx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	sent := r.config.Now()
	reply, err := u.Run(attemptCtx, req)
	if err != nil {
		reply = replyForError(attemptCtx, err)
	} else {
		reply = r.verifyReply(req, reply, u)
	}
	r.recordHealth(attemptCtx, c, u, reply, r.config.Now().Sub(sent))
	return reply
}

// verifyReply replaces a reply that does not belong to the request or is incomplete by
// an unknown outcome.
func (r *Receiver) verifyReply(req messenger.RunRequest, reply messenger.RunReply, u *tracker.Upstream) messenger.RunReply {
	if reason := replyError(req, reply); reason != "" {
		r.config.Reporter.Report(reporter.AnswerInvalid, reporter.Fields{"request-id": req.RequestID, "upstream": u.ID(), "reason": reason})
		return messenger.RunReply{Outcome: messenger.OutcomeUnknown, Reason: reason}
	}
	return reply
}

// attemptTime returns the time that an attempt may take. The first attempt of an
// idempotent request gets half of the time left, so that a frozen upstream does not use
// up the whole deadline and another one can be tried. This applies only if that half is
// much longer than the latency of the other upstreams; otherwise requests to a slow
// service would never be answered.
func (r *Receiver) attemptTime(c *call, s *routeState) time.Duration {
	left := c.deadline.Sub(r.config.Now())
	half := left / 2
	if !c.idempotent || s.attempt > 1 || s.typicalLatency == 0 || half < attemptLatencyMultiple*s.typicalLatency || half < minAttemptTime {
		return left
	}
	if !r.retrier.HasBudget(c.service.Name) {
		return left
	}
	return half
}

// replyForError returns the result of an attempt whose call failed. The outcome is
// not-run only if the agent reported that it did nothing.
func replyForError(attemptCtx context.Context, err error) messenger.RunReply {
	if connector.CodeOf(err) == messenger.CodeUnavailable {
		return messenger.RunReply{Outcome: messenger.OutcomeNotRun, Reason: err.Error()}
	}
	if errors.Is(attemptCtx.Err(), context.DeadlineExceeded) {
		return messenger.RunReply{Outcome: messenger.OutcomeUnknown, Reason: "the upstream did not answer before the attempt's deadline"}
	}
	return messenger.RunReply{Outcome: messenger.OutcomeUnknown, Reason: fmt.Sprintf("the call to the agent failed: %v", err)}
}

// replyError describes what is wrong with a reply, or returns an empty string. Without
// this check, a reply to another request or with an incomplete body would reach the
// caller as a valid answer.
func replyError(req messenger.RunRequest, reply messenger.RunReply) string {
	switch {
	case reply.RequestID != req.RequestID || reply.Attempt != req.Attempt:
		return fmt.Sprintf("the answer is for request %s, attempt %d", reply.RequestID, reply.Attempt)
	case reply.Outcome == messenger.OutcomeNotRun, reply.Outcome == messenger.OutcomeUnknown:
		return ""
	case reply.Outcome != messenger.OutcomeRun:
		return fmt.Sprintf("the answer has the outcome %q", reply.Outcome)
	case len(reply.Body) != reply.BodyLength:
		return fmt.Sprintf("the answer has %d bytes of %d", len(reply.Body), reply.BodyLength)
	case reply.Status < http.StatusOK || reply.Status > 999:
		return fmt.Sprintf("the answer has the status %d", reply.Status)
	}
	return ""
}

// recordUnanswered records an attempt without an answer in the state of the request.
func (r *Receiver) recordUnanswered(ctx context.Context, s *routeState, u *tracker.Upstream, reply messenger.RunReply) {
	s.tried[u.ID()] = true
	s.reason = reply.Reason
	if s.reason == "" {
		s.reason = "the upstream did not answer"
	}
	s.retryAfter = messenger.FromMillis(reply.RetryAfterMillis)
	s.timedOut = reply.Outcome == messenger.OutcomeUnknown && ctx.Err() != nil
	if reply.Reason == messenger.ReasonFull {
		pause(ctx, min(max(s.retryAfter, time.Millisecond), maxFullPause))
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
