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

// unnamed stands for tenants and services that the fleet text does not have, so
// that callers can't make metrics without limit.
const unnamed = "none"

func (r *Receiver) meter(c *call, a *answer) {
	tenant, service := c.tenant.Name, c.service.Name
	if tenant == "" {
		tenant = unnamed
	}
	if service == "" {
		service = unnamed
	}
	took := r.config.Now().Sub(c.started).Seconds()
	name := fmt.Sprintf(`bamboospread_request_seconds{tenant=%q,service=%q,outcome=%q}`, tenant, service, a.outcome)
	r.config.Metrics.GetOrCreateHistogram(name).Update(took)
	if a.replayed {
		r.config.Metrics.GetOrCreateCounter(`bamboospread_requests_replayed_total`).Inc()
	}
}

// observe gives the result of an attempt to the health of its upstream.
func (r *Receiver) observe(ctx context.Context, c *call, u *tracker.Upstream, reply messenger.RunReply, took time.Duration) {
	now := r.config.Now()
	switch {
	case reply.Outcome == messenger.OutcomeRun:
		u.Health().Observe(now, took, reply.Status >= http.StatusInternalServerError)
	case isRefusal(reply), errors.Is(ctx.Err(), context.Canceled):
		// A refusal of the gate or a caller that went tells nothing of it.
	case reply.Outcome == messenger.OutcomeUnknown && errors.Is(ctx.Err(), context.DeadlineExceeded) && took < patience(c):
		// The caller's deadline was short; that is not the upstream's fault.
		u.Health().ObserveUnfinished(now, took)
	default:
		u.Health().Observe(now, took, true)
	}
}

// patience is the time after which an upstream without an answer has failed.
func patience(c *call) time.Duration {
	if c.service.LatencyObjective > 0 {
		return objectivesUntilFailed * c.service.LatencyObjective
	}
	return defaultTimeout / 2
}

// isRefusal tells whether the gate refused, which says nothing of health.
func isRefusal(reply messenger.RunReply) bool {
	if reply.Outcome != messenger.OutcomeNotRun {
		return false
	}
	switch reply.Reason {
	case messenger.ReasonFull, messenger.ReasonLeaving, messenger.ReasonGone:
		return true
	}
	return false
}
