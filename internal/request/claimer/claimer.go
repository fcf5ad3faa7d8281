// Package claimer makes sure that keyed requests which are not idempotent run at
// most once over all entries: it asks the owner of the cell for the claim on the
// key before anything is sent, and tells it the end afterwards.
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
	// MaxKeptBytes is the largest body kept for repeats of a key.
	MaxKeptBytes  = 16 << 10
	claimTryLimit = time.Second
	awayTryLimit  = 100 * time.Millisecond
	// awayLimit is how long a claim is asked for again while the owner says that
	// it can't give one, as in a store outage. A request that waits holds a
	// place that others could use, and is answered at once when given up.
	awayLimit      = 250 * time.Millisecond
	awayMemory     = time.Second // claims are asked for just once this long after one was given up
	claimPause     = 20 * time.Millisecond
	settleTryLimit = 2 * time.Second
	settleLimit    = 30 * time.Second
	firstPause     = 20 * time.Millisecond
	longestPause   = time.Second
)

// Config holds the settings of a Claimer.
type Config struct {
	Cell     string
	CallCell func(ctx context.Context, cell, method string, params, result any) error
	Reporter *reporter.Reporter
}

// Claimer claims keys. It is safe for concurrent use.
type Claimer struct {
	config  Config
	mu      sync.Mutex
	pending int
	away    time.Time     // when a claim was last given up because the owner was away
	idle    chan struct{} // closed and replaced when pending falls to zero
}

// Options describes the keyed request.
type Options struct {
	Tenant    string
	Service   string
	Key       string
	Digest    string
	RequestID string
}

// ErrNoClaim is returned when the claim could not be had: nothing was sent to an
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

// Digest returns the digest of what a key stands for.
func Digest(service, method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range []string{service, method, path} {
		fmt.Fprintf(h, "%d:", len(part))
		_, _ = io.WriteString(h, part) // a hash takes everything
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Claim asks for the claim for a bounded time. Asking again with the same request
// id is safe after a lost answer: the owner grants it to the same id again.
func (c *Claimer) Claim(ctx context.Context, o Options) (messenger.ClaimReply, error) {
	req := messenger.ClaimRequest{
		Cell: c.config.Cell, Tenant: o.Tenant, Service: o.Service, Key: o.Key,
		Digest: o.Digest, RequestID: o.RequestID,
	}
	began := time.Now()
	patience, tryLimit := awayLimit, claimTryLimit
	if c.isAway(began) {
		patience, tryLimit = 0, awayTryLimit
	}
	pause := claimPause
	uncertain := false
	for {
		var reply messenger.ClaimReply
		try, cancel := context.WithTimeout(ctx, tryLimit)
		err := c.config.CallCell(try, c.config.Cell, messenger.MethodClaim, req, &reply)
		cancel()
		if err == nil {
			c.setAway(time.Time{})
			return reply, nil
		}
		code := connector.CodeOf(err)
		uncertain = uncertain || code == 0 || code == messenger.CodeUnknown
		wrong := code == messenger.CodeBadRequest
		if wrong || time.Since(began) >= patience || !sleep(ctx, pause) {
			if !wrong {
				c.setAway(time.Now())
			}
			if uncertain {
				// The owner may hold the claim for us. Nothing was sent, so it
				// is freed; else all repeats of the key would be refused.
				c.Settle(o, messenger.OutcomeNotRun, nil)
			}
			return messenger.ClaimReply{}, ErrNoClaim{Cause: err}
		}
		pause = min(2*pause, longestPause)
	}
}

func (c *Claimer) isAway(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.away.IsZero() && now.Sub(c.away) < awayMemory
}

func (c *Claimer) setAway(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.away = at
}

// Settle tells the owner how the request ended and returns a channel that is
// closed when the owner knows or telling it was given up. It repeats in the
// background: until the owner knows, repeats of the key are refused, so a lost
// settlement never lets a request run twice.
func (c *Claimer) Settle(o Options, outcome messenger.Outcome, answer *messenger.KeptAnswer) <-chan struct{} {
	req := messenger.SettleRequest{
		Cell: c.config.Cell, Tenant: o.Tenant, Key: o.Key, RequestID: o.RequestID,
		Outcome: outcome, Answer: keep(answer),
	}
	done := make(chan struct{})
	c.mu.Lock()
	c.pending++
	c.mu.Unlock()
	go func() {
		defer c.settled(done)
		ctx, cancel := context.WithTimeout(context.Background(), settleLimit)
		defer cancel()
		if err := c.settle(ctx, req); err != nil {
			c.config.Reporter.Report(reporter.ClaimUnsettled, reporter.Fields{
				"tenant": o.Tenant, "service": o.Service, "request-id": o.RequestID, "error": err.Error(),
			})
		}
	}()
	return done
}

func (c *Claimer) settle(ctx context.Context, req messenger.SettleRequest) error {
	pause := firstPause
	for {
		try, cancel := context.WithTimeout(ctx, settleTryLimit)
		err := c.config.CallCell(try, c.config.Cell, messenger.MethodSettle, req, &messenger.Empty{})
		cancel()
		if err == nil || connector.CodeOf(err) == messenger.CodeBadRequest {
			return err
		}
		if !sleep(ctx, pause) {
			return errors.Join(err, ctx.Err())
		}
		pause = min(2*pause, longestPause)
	}
}

func (c *Claimer) settled(done chan struct{}) {
	close(done)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if c.pending == 0 {
		close(c.idle)
		c.idle = make(chan struct{})
	}
}

// Drain waits until every settlement is told or given up.
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
			return fmt.Errorf("%d claims unsettled: %w", pending, ctx.Err())
		}
	}
}

func keep(a *messenger.KeptAnswer) *messenger.KeptAnswer {
	if a == nil {
		return nil
	}
	kept := *a
	kept.Header = a.Header.Clone()
	kept.Header.Del("X-Request-Id") // of the first request; a repeat has its own
	kept.Whole = len(a.Body) <= MaxKeptBytes
	if !kept.Whole {
		kept.Body = nil
	}
	return &kept
}

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
