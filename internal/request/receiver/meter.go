package receiver

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"bamboospread/internal/request/tracker"
	"bamboospread/internal/wire/messenger"
)

// unknownLabel replaces tenants and services that are not in the fleet text, so that
// callers can't create an unlimited number of metrics.
const unknownLabel = "none"

// recordMetrics records the duration and outcome of a request.
func (r *Receiver) recordMetrics(c *call, a *answer) {
	tenant, service := c.tenant.Name, c.service.Name
	if tenant == "" {
		tenant = unknownLabel
	}
	if service == "" {
		service = unknownLabel
	}
	took := r.config.Now().Sub(c.started).Seconds()
	name := fmt.Sprintf(`bamboospread_request_seconds{tenant=%q,service=%q,outcome=%q}`, tenant, service, a.outcome)
	r.config.Metrics.GetOrCreateHistogram(name).Update(took)
	if a.replayed {
		r.config.Metrics.GetOrCreateCounter(`bamboospread_requests_replayed_total`).Inc()
	}
}

// recordHealth records the result of an attempt in the health of its upstream.
func (r *Receiver) recordHealth(ctx context.Context, c *call, u *tracker.Upstream, reply messenger.RunReply, took time.Duration) {
	now := r.config.Now()
	switch {
	case reply.Outcome == messenger.OutcomeRun:
		u.Health().Observe(now, took, reply.Status >= http.StatusInternalServerError)
	case isRefusal(reply), errors.Is(ctx.Err(), context.Canceled):
		// A refusal by the agent or a caller that disconnected is no evidence of the
		// upstream's health.
	case reply.Outcome == messenger.OutcomeUnknown && errors.Is(ctx.Err(), context.DeadlineExceeded) && took < failureTimeout(c):
		// The caller's deadline was too short to count this as a failure of the upstream.
		u.Health().ObserveUnfinished(now, took)
	default:
		u.Health().Observe(now, took, true)
	}
}

// failureTimeout returns the time after which an attempt without an answer counts as a
// failure of the upstream.
func failureTimeout(c *call) time.Duration {
	if c.service.LatencyObjective > 0 {
		return failureObjectives * c.service.LatencyObjective
	}
	return defaultTimeout / 2
}

// isRefusal reports whether the agent refused the request, which is no evidence of the
// upstream's health.
func isRefusal(reply messenger.RunReply) bool {
	if reply.Outcome != messenger.OutcomeNotRun {
		return false
	}
	switch reply.Reason {
	case messenger.ReasonFull, messenger.ReasonLeaving, messenger.ReasonUnknownUpstream:
		return true
	}
	return false
}
