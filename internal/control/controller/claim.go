package controller

import (
	"time"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/wire/messenger"
)

// Limits of claims.
const (
	claimRetention     = 24 * time.Hour
	claimSweepInterval = 10 * time.Minute
	maxClaims          = 100000
	maxStoredBodyBytes = 16 << 10
	// notRunRetention is the minimum time for which a request that ended without running is
	// remembered. No claim is in transit for that long: its sender abandons each try within
	// a second.
	notRunRetention = time.Minute
)

// notRunRequests holds the requests that were reported as not run, in two generations. A
// claim may arrive after the report that its request was abandoned. If it were granted
// then, nothing would resolve it, and later requests with its key would be refused.
type notRunRequests struct {
	current, previous map[string]bool // by request id
	rotatedAt         time.Time
}

func (n *notRunRequests) add(requestID string, now time.Time) {
	if n.current == nil || now.Sub(n.rotatedAt) > notRunRetention {
		n.previous, n.current, n.rotatedAt = n.current, make(map[string]bool), now
	}
	n.current[requestID] = true
}

func (n *notRunRequests) has(requestID string) bool {
	return n.current[requestID] || n.previous[requestID]
}

// handleClaim grants a keyed request to a single claimant. The claim is journalled before
// it is granted, so that a new owner recovers it.
func (o *owner) handleClaim(call callEvent, r messenger.ClaimRequest) {
	if c := o.state.Claim(r.Tenant, r.Key); c != nil {
		reply := messenger.ClaimReply{State: c.State, Answer: c.Answer}
		switch {
		case c.Digest != r.Digest || c.Service != r.Service:
			reply = messenger.ClaimReply{State: messenger.ClaimMismatch}
		case c.State == messenger.ClaimGranted && c.RequestID != r.RequestID:
			reply.State = messenger.ClaimHeld
		}
		// A reply may only contain what is journalled, and the state may include records
		// that are not journalled yet.
		o.onCommit(func() { call.succeed(reply) })
		return
	}
	if o.notRun.has(r.RequestID) {
		call.fail(messenger.CodeBadRequest, "request %s has already ended without running", r.RequestID)
		return
	}
	if o.appendSlow() || o.state.CountClaims() >= maxClaims {
		call.fail(messenger.CodeUnavailable, "cell %s accepts no claims now: the journal is slow, or the limit of %d claims is reached", o.config.Cell, maxClaims)
		return
	}
	claimed := bookkeeper.Claimed{Tenant: r.Tenant, Key: r.Key, Service: r.Service, Digest: r.Digest, RequestID: r.RequestID}
	err := o.decide(bookkeeper.Record{Claimed: &claimed}, 0, messenger.Decision{}, func() {
		call.succeed(messenger.ClaimReply{State: messenger.ClaimGranted})
	})
	o.failRefused(call, err)
}

// handleResolveClaim journals how a claimed request ended.
func (o *owner) handleResolveClaim(call callEvent, r messenger.ResolveClaimRequest) {
	if r.Outcome == messenger.OutcomeNotRun {
		o.notRun.add(r.RequestID, o.config.Now())
	}
	c := o.state.Claim(r.Tenant, r.Key)
	if c == nil || c.RequestID != r.RequestID || c.State == messenger.ClaimResolved {
		o.onCommit(func() { call.succeed(messenger.Empty{}) })
		return
	}
	closed := bookkeeper.ClaimClosed{Tenant: r.Tenant, Key: r.Key, RequestID: r.RequestID, Outcome: r.Outcome, Answer: r.Answer}
	if r.Answer != nil && len(r.Answer.Body) > maxStoredBodyBytes {
		closed.Answer = &messenger.StoredAnswer{Status: r.Answer.Status, Header: r.Answer.Header}
	}
	err := o.decide(bookkeeper.Record{ClaimClosed: &closed}, 0, messenger.Decision{}, func() { call.succeed(messenger.Empty{}) })
	o.failRefused(call, err)
}

// expireClaims periodically removes old claims.
func (o *owner) expireClaims(now time.Time) {
	if now.Sub(o.claimsSweptAt) < claimSweepInterval {
		return
	}
	o.claimsSweptAt = now
	before := now.Add(-claimRetention).Round(0).UTC()
	if oldest := o.state.OldestClaim(); !oldest.IsZero() && oldest.Before(before) {
		o.decide(bookkeeper.Record{OldClaimsRemoved: &bookkeeper.OldClaimsRemoved{Before: before}}, 0, messenger.Decision{}, nil)
	}
}
