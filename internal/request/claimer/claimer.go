// Package claimer ensures that a non-idempotent request with an idempotency key runs at
// most once across all entries: it claims the key at the owner of the cell before
// anything is sent, and reports the outcome to the owner afterwards.
package claimer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

const (
	// MaxStoredBodyBytes is the size of the largest answer body that is stored for
	// repeats of a key.
	MaxStoredBodyBytes        = 16 << 10
	claimAttemptTimeout       = time.Second
	unavailableAttemptTimeout = 100 * time.Millisecond // for the only attempt during unavailablePeriod
	// claimRetryPeriod bounds the retries of a claim while the owner can't grant
	// any, as in a store outage. A waiting request occupies a slot that others
	// could use, and gets its answer as soon as the claim is abandoned.
	claimRetryPeriod      = 250 * time.Millisecond
	unavailablePeriod     = time.Second // for this time after an abandoned claim, claims are not retried
	claimBackoff          = 20 * time.Millisecond
	resolveAttemptTimeout = 2 * time.Second
	resolveTimeout        = 30 * time.Second
	minBackoff            = 20 * time.Millisecond
	maxBackoff            = time.Second
)

// Config holds the settings of a Claimer.
type Config struct {
	Cell     string
	CallCell func(ctx context.Context, cell, method string, params, result any) error
	Reporter *reporter.Reporter
}

// Claimer claims idempotency keys. It is safe for concurrent use.
type Claimer struct {
	config        Config
	mu            sync.Mutex
	pending       int
	unavailableAt time.Time     // when a claim was last abandoned because the owner was unavailable
	idle          chan struct{} // closed and replaced when pending falls to zero
}

// Options describes a request with an idempotency key.
type Options struct {
	Tenant    string
	Service   string
	Key       string
	Digest    string
	RequestID string
}

// ErrNoClaim is returned if the key could not be claimed; nothing was sent to an
// upstream.
type ErrNoClaim struct{ Cause error }

func (e ErrNoClaim) Error() string { return fmt.Sprintf("claim the key: %v", e.Cause) }
func (e ErrNoClaim) Unwrap() error { return e.Cause }

// New returns a Claimer.
func New(c Config) *Claimer {
	if c.Reporter == nil {
		c.Reporter = reporter.Discard()
	}
	return &Claimer{config: c, idle: make(chan struct{})}
}

// Digest returns the digest of the request that a key belongs to.
func Digest(service, method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range []string{service, method, path} {
		fmt.Fprintf(h, "%d:", len(part))
		_, _ = io.WriteString(h, part) // a hash never returns an error
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Claim claims the key, with retries for a bounded time. A retry after a lost answer
// is safe: the owner grants the claim to the same request id again.
func (c *Claimer) Claim(ctx context.Context, o Options) (messenger.ClaimReply, error) {
	req := messenger.ClaimRequest{
		Cell: c.config.Cell, Tenant: o.Tenant, Service: o.Service, Key: o.Key,
		Digest: o.Digest, RequestID: o.RequestID,
	}
	start := time.Now()
	retryPeriod, attemptTimeout := claimRetryPeriod, claimAttemptTimeout
	if c.ownerUnavailable(start) {
		retryPeriod, attemptTimeout = 0, unavailableAttemptTimeout
	}
	backoff := claimBackoff
	maybeGranted := false
	for {
		var reply messenger.ClaimReply
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		err := c.config.CallCell(attempt, c.config.Cell, messenger.MethodClaim, req, &reply)
		cancel()
		if err == nil {
			c.setUnavailableAt(time.Time{})
			return reply, nil
		}
		code := connector.CodeOf(err)
		maybeGranted = maybeGranted || code == 0 || code == messenger.CodeUnknown
		invalid := code == messenger.CodeBadRequest
		if invalid || time.Since(start) >= retryPeriod || !sleep(ctx, backoff) {
			if !invalid {
				c.setUnavailableAt(time.Now())
			}
			if maybeGranted {
				// The owner may have granted the claim. Nothing was sent, so the
				// claim is released; otherwise all repeats of the key would be
				// refused.
				c.Resolve(o, messenger.OutcomeNotRun, nil)
			}
			return messenger.ClaimReply{}, ErrNoClaim{Cause: err}
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (c *Claimer) ownerUnavailable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.unavailableAt.IsZero() && now.Sub(c.unavailableAt) < unavailablePeriod
}

func (c *Claimer) setUnavailableAt(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unavailableAt = at
}

// Resolve reports the outcome of the request to the owner, with retries in the
// background. The returned channel is closed when the owner has acknowledged it or
// the retries have ended. Until the owner has the outcome it refuses repeats of the
// key, so a lost report can't make a request run twice.
func (c *Claimer) Resolve(o Options, outcome messenger.Outcome, answer *messenger.StoredAnswer) <-chan struct{} {
	req := messenger.ResolveClaimRequest{
		Cell: c.config.Cell, Tenant: o.Tenant, Key: o.Key, RequestID: o.RequestID,
		Outcome: outcome, Answer: copyForReplay(answer),
	}
	done := make(chan struct{})
	c.mu.Lock()
	c.pending++
	c.mu.Unlock()
	go func() {
		defer c.finish(done)
		ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
		defer cancel()
		if err := c.sendOutcome(ctx, req); err != nil {
			c.config.Reporter.Report(reporter.ClaimOutcomeNotRecorded, reporter.Fields{
				"tenant": o.Tenant, "service": o.Service, "request-id": o.RequestID, "error": err.Error(),
			})
		}
	}()
	return done
}

func (c *Claimer) sendOutcome(ctx context.Context, req messenger.ResolveClaimRequest) error {
	backoff := minBackoff
	for {
		attempt, cancel := context.WithTimeout(ctx, resolveAttemptTimeout)
		err := c.config.CallCell(attempt, c.config.Cell, messenger.MethodResolveClaim, req, &messenger.Empty{})
		cancel()
		if err == nil || connector.CodeOf(err) == messenger.CodeBadRequest {
			return err
		}
		if !sleep(ctx, backoff) {
			return errors.Join(err, ctx.Err())
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (c *Claimer) finish(done chan struct{}) {
	close(done)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if c.pending == 0 {
		close(c.idle)
		c.idle = make(chan struct{})
	}
}

// Drain waits until every outcome has been acknowledged by the owner or its retries
// have ended.
func (c *Claimer) Drain(ctx context.Context) error {
	for {
		c.mu.Lock()
		pending, idle := c.pending, c.idle
		c.mu.Unlock()
		if pending == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return fmt.Errorf("outcomes of %d claims not reported: %w", pending, ctx.Err())
		}
	}
}

// copyForReplay returns the part of an answer that is stored for repeats of the key.
func copyForReplay(a *messenger.StoredAnswer) *messenger.StoredAnswer {
	if a == nil {
		return nil
	}
	stored := *a
	stored.Header = a.Header.Clone()
	stored.Header.Del("X-Request-Id") // belongs to the first request; a repeat has its own
	stored.Complete = len(a.Body) <= MaxStoredBodyBytes
	if !stored.Complete {
		stored.Body = nil
	}
	return &stored
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
