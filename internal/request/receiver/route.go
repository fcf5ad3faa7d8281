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
	maxCandidates  = 32 // kept on the stack; more upstreams cost an allocation
	pauseWhenFull  = 2 * time.Millisecond
	pauseWhenNone  = 20 * time.Millisecond
	minAttemptTime = 20 * time.Millisecond
	// usualTimesAllowed is how often its usual time an attempt may take before
	// another upstream is asked.
	usualTimesAllowed = 4
	// slotWait is how long after its arrival an admitted request goes on asking
	// for a slot. Entries admit without knowing of each other's latest grants,
	// so under load an admitted request finds upstreams full several times in a
	// row although slots come free all the time; refused after a few quick
	// tries, tenants within their share were refused too. Callers are refused
	// within 50 ms, so the wait ends a little before.
	slotWait = 45 * time.Millisecond
)

// journey is the state of a request over its attempts.
type journey struct {
	attempt int
	moves   int
	tries   int
	tried   map[string]bool
	usual   time.Duration // mean time of the other upstreams; 0: not known
	reason  string
	late    bool // the last unknown outcome came by the deadline
	after   time.Duration
}

// route sends the request to upstreams until one answers or it is given up.
func (r *Receiver) route(ctx context.Context, c *call) *answer {
	r.retrier.CountRequest(c.service.Name)
	j := &journey{tried: make(map[string]bool)}
	for {
		u := r.choose(c, j)
		outcome := messenger.OutcomeNotRun
		if u == nil {
			j.reason, j.after = "no upstream of the service can take it", defaultRetryAfter
			pause(ctx, pauseWhenNone)
		} else {
			reply := r.try(ctx, c, j, u)
			if reply.Outcome == messenger.OutcomeRun {
				return &answer{
					status: reply.Status, outcome: reply.Outcome, header: messenger.UnpackHeader(reply.Header), body: reply.Body,
				}
			}
			outcome = reply.Outcome
			r.note(ctx, j, u, reply)
		}
		if outcome == messenger.OutcomeNotRun {
			j.moves++
		} else {
			j.tries++
		}
		again := ctx.Err() == nil && r.retrier.AllowRetry(retrier.FailedAttempt{
			Service: c.service.Name, Outcome: outcome, Idempotent: c.idempotent,
			NotRunAttempts: r.countedMoves(c, j), UnknownAttempts: j.tries, TimeLeft: c.deadline.Sub(r.config.Now()),
		})
		if !again {
			return j.giveUp(ctx)
		}
	}
}

// countedMoves returns how many moves count against their limit: none while the
// request only waits for a slot.
func (r *Receiver) countedMoves(c *call, j *journey) int {
	if j.reason == messenger.ReasonFull && r.config.Now().Sub(c.started) < slotWait {
		return 0
	}
	return j.moves
}

// giveUp is the final answer of a request that no upstream answered. It says
// not-run only if every attempt surely did not run.
func (j *journey) giveUp(ctx context.Context) *answer {
	if j.tries == 0 {
		return refuseFor(http.StatusServiceUnavailable, j.reason, max(j.after, defaultRetryAfter))
	}
	if j.late || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return unknown(http.StatusGatewayTimeout, j.reason)
	}
	return unknown(http.StatusBadGateway, j.reason)
}

// choose returns an upstream, or nil if none can take the request now.
func (r *Receiver) choose(c *call, j *journey) *tracker.Upstream {
	now := r.config.Now()
	var buffer [maxCandidates]balancer.Candidate
	var ready [maxCandidates]*tracker.Upstream
	candidates, upstreams := buffer[:0], ready[:0]
	fresh := false
	fleet := r.config.Fleet()
	for _, u := range r.config.Tracker.Snapshot().Upstreams(c.service.Name) {
		if !u.Ready(now) {
			continue
		}
		candidate := u.Candidate(now)
		candidate.Excluded, candidate.Avoid = j.tried[u.ID()], fleet.ZoneIsOut(u.Zone())
		fresh = fresh || !candidate.Excluded
		candidates, upstreams = append(candidates, candidate), append(upstreams, u)
	}
	if !fresh {
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
		j.usual = usualTime(candidates, choice.Index)
		if candidates[choice.Index].Health != balancer.ProbeDue || u.Health().BeginProbe(now) {
			return u
		}
		candidates[choice.Index].Health = balancer.Ejected
	}
}

// usualTime returns the mean time of the candidates but the one chosen.
func usualTime(candidates []balancer.Candidate, chosen int) time.Duration {
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

// try makes one attempt and checks the reply.
func (r *Receiver) try(ctx context.Context, c *call, j *journey, u *tracker.Upstream) messenger.RunReply {
	j.attempt++
	left := r.attemptTime(c, j)
	req := messenger.RunRequest{
		RequestID: c.id, Attempt: j.attempt, Upstream: u.ID(), Service: c.service.Name, Tenant: c.tenant.Name,
		Method: c.method, Path: c.path, Header: messenger.PackHeader(c.header), Body: c.body, TimeoutMillis: messenger.Millis(left),
	}
	if left <= 0 || ctx.Err() != nil {
		return messenger.RunReply{Outcome: messenger.OutcomeNotRun, Reason: "the deadline passed before sending"}
	}
	attempt, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	sent := r.config.Now()
	reply, err := u.Run(attempt, req)
	if err != nil {
		reply = unanswered(attempt, err)
	} else {
		reply = r.check(req, reply, u)
	}
	r.observe(attempt, c, u, reply, r.config.Now().Sub(sent))
	return reply
}

// check turns a reply that does not belong to the request or is not whole into
// an unknown outcome.
func (r *Receiver) check(req messenger.RunRequest, reply messenger.RunReply, u *tracker.Upstream) messenger.RunReply {
	if reason := mismatch(req, reply); reason != "" {
		r.config.Reporter.Report(reporter.AnswerBroken, reporter.Fields{"request-id": req.RequestID, "upstream": u.ID(), "reason": reason})
		return messenger.RunReply{Outcome: messenger.OutcomeUnknown, Reason: reason}
	}
	return reply
}

// attemptTime is the time that one attempt may take. The first attempt of an
// idempotent request leaves half of the time for another upstream, so that a
// frozen one does not cost it the whole deadline; but only where that half is far
// more than other upstreams take, else a slow service would never be answered.
func (r *Receiver) attemptTime(c *call, j *journey) time.Duration {
	left := c.deadline.Sub(r.config.Now())
	half := left / 2
	if !c.idempotent || j.attempt > 1 || j.usual == 0 || half < usualTimesAllowed*j.usual || half < minAttemptTime {
		return left
	}
	if !r.retrier.HasBudget(c.service.Name) {
		return left
	}
	return half
}

// unanswered is the result of an attempt whose call failed. Only an agent that
// says that it did nothing makes it not-run.
func unanswered(attempt context.Context, err error) messenger.RunReply {
	if connector.CodeOf(err) == messenger.CodeUnavailable {
		return messenger.RunReply{Outcome: messenger.OutcomeNotRun, Reason: err.Error()}
	}
	if errors.Is(attempt.Err(), context.DeadlineExceeded) {
		return messenger.RunReply{Outcome: messenger.OutcomeUnknown, Reason: "no answer came in time"}
	}
	return messenger.RunReply{Outcome: messenger.OutcomeUnknown, Reason: fmt.Sprintf("the agent was lost: %v", err)}
}

// mismatch tells what is wrong with a reply. A reply to another request or with
// a part of the body would reach the caller as a good answer.
func mismatch(req messenger.RunRequest, reply messenger.RunReply) string {
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

// note remembers an attempt without an answer.
func (r *Receiver) note(ctx context.Context, j *journey, u *tracker.Upstream, reply messenger.RunReply) {
	j.tried[u.ID()] = true
	j.reason = reply.Reason
	if j.reason == "" {
		j.reason = "the upstream gave no answer"
	}
	j.after = messenger.FromMillis(reply.RetryAfterMillis)
	j.late = reply.Outcome == messenger.OutcomeUnknown && ctx.Err() != nil
	if reply.Reason == messenger.ReasonFull {
		pause(ctx, min(max(j.after, time.Millisecond), pauseWhenFull))
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
