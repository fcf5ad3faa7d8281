package controller

import (
	"time"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/wire/messenger"
)

// Limits of claims.
const (
	claimsKept     = 24 * time.Hour
	claimsSwept    = 10 * time.Minute
	maxClaims      = 100000
	maxAnswerBytes = 16 << 10
	// freedKept is how long at least it is known that a request has ended without running.
	// No claim is on its way for as long: its asker gives each try up within a second.
	freedKept = time.Minute
)

// freed remembers the requests that were settled as not run, in two generations. A claim
// may be overtaken by the settlement that gives it up; granted after it, the claim would
// be held by nobody.
type freed struct {
	current, previous map[string]bool // by request id
	turned            time.Time
}

func (f *freed) add(requestID string, now time.Time) {
	if f.current == nil || now.Sub(f.turned) > freedKept {
		f.previous, f.current, f.turned = f.current, make(map[string]bool), now
	}
	f.current[requestID] = true
}

func (f *freed) has(requestID string) bool { return f.current[requestID] || f.previous[requestID] }

// takeClaim gives a keyed request to one asker and no other. The claim is
// journalled before it is granted, so that a successor knows it.
func (o *owner) takeClaim(call callEvent, r messenger.ClaimRequest) {
	if c := o.books.Claim(r.Tenant, r.Key); c != nil {
		reply := messenger.ClaimReply{State: c.State, Answer: c.Answer}
		switch {
		case c.Digest != r.Digest || c.Service != r.Service:
			reply = messenger.ClaimReply{State: messenger.ClaimMismatch}
		case c.State == messenger.ClaimGranted && c.RequestID != r.RequestID:
			reply.State = messenger.ClaimHeld
		}
		// What is told must be journalled, and the state may be ahead of that.
		o.onCommit(func() { call.succeed(reply) })
		return
	}
	if o.freed.has(r.RequestID) {
		call.fail(messenger.CodeBadRequest, "request %s has ended", r.RequestID)
		return
	}
	if o.slow() || o.books.CountClaims() >= maxClaims {
		call.fail(messenger.CodeUnavailable, "cell %s takes no claims now", o.config.Cell)
		return
	}
	claimed := bookkeeper.Claimed{Tenant: r.Tenant, Key: r.Key, Service: r.Service, Digest: r.Digest, RequestID: r.RequestID}
	o.decide(bookkeeper.Record{Claimed: &claimed}, 0, messenger.Decision{}, func() {
		call.succeed(messenger.ClaimReply{State: messenger.ClaimGranted})
	})
}

// takeSettle notes how a claimed request ended.
func (o *owner) takeSettle(call callEvent, r messenger.SettleRequest) {
	if r.Outcome == messenger.OutcomeNotRun {
		o.freed.add(r.RequestID, o.config.Now())
	}
	c := o.books.Claim(r.Tenant, r.Key)
	if c == nil || c.RequestID != r.RequestID || c.State == messenger.ClaimSettled {
		o.onCommit(func() { call.succeed(messenger.Empty{}) })
		return
	}
	closed := bookkeeper.ClaimClosed{Tenant: r.Tenant, Key: r.Key, RequestID: r.RequestID, Outcome: r.Outcome, Answer: r.Answer}
	if r.Answer != nil && len(r.Answer.Body) > maxAnswerBytes {
		closed.Answer = &messenger.KeptAnswer{Status: r.Answer.Status, Header: r.Answer.Header}
	}
	o.decide(bookkeeper.Record{ClaimClosed: &closed}, 0, messenger.Decision{}, func() { call.succeed(messenger.Empty{}) })
}

// checkClaims forgets old claims now and then.
func (o *owner) checkClaims(now time.Time) {
	if now.Sub(o.swept) < claimsSwept {
		return
	}
	o.swept = now
	before := now.Add(-claimsKept).Round(0).UTC()
	if oldest := o.books.OldestClaim(); !oldest.IsZero() && oldest.Before(before) {
		o.decide(bookkeeper.Record{ClaimsOld: &bookkeeper.ClaimsOld{Before: before}}, 0, messenger.Decision{}, nil)
	}
}
