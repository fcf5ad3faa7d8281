// Package retrier decides whether a request is sent again after an attempt that
// brought no answer. It imports no clock; the time comes in as a function field.
package retrier

import (
	"sync"
	"time"

	"bamboospread/internal/wire/messenger"
)

const (
	defaultShare     = 0.1
	defaultPerSecond = 5
	defaultReserve   = 20
	defaultMaxMoves  = 4
	defaultMaxTries  = 3
	minTimeLeft      = 2 * time.Millisecond
)

// Config holds the settings of a Retrier. Zero values take the defaults.
type Config struct {
	// Share is the number of retries that each request earns its service;
	// default 0.1. Without a budget an upstream that fails under load is sent
	// its requests several times over, just when it can bear it least.
	Share     float64
	PerSecond float64 // retries earned by time, for services with few requests; default 5
	Reserve   float64 // most that is saved up; default 20
	MaxMoves  int     // attempts after a positive not-run; default 4
	MaxTries  int     // attempts after an unknown outcome; default 3
	Now       func() time.Time
}

// Attempted describes a request after an attempt without an answer.
type Attempted struct {
	Service    string
	Outcome    messenger.Outcome // of this attempt
	Idempotent bool
	Moves      int // attempts so far that surely did not run
	Tries      int // attempts so far with an unknown outcome
	Left       time.Duration
}

// Retrier holds the retry budgets of the services. It is safe for concurrent use.
type Retrier struct {
	config  Config
	mu      sync.Mutex
	budgets map[string]*budget
}

type budget struct {
	tokens float64
	filled time.Time
}

// New returns a Retrier with full budgets.
func New(c Config) *Retrier {
	if c.Share <= 0 {
		c.Share = defaultShare
	}
	if c.PerSecond <= 0 {
		c.PerSecond = defaultPerSecond
	}
	if c.Reserve <= 0 {
		c.Reserve = defaultReserve
	}
	if c.MaxMoves <= 0 {
		c.MaxMoves = defaultMaxMoves
	}
	if c.MaxTries <= 0 {
		c.MaxTries = defaultMaxTries
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Retrier{config: c, budgets: make(map[string]*budget)}
}

// Begin earns the service its share for one request.
func (r *Retrier) Begin(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.fill(service)
	b.tokens = min(b.tokens+r.config.Share, r.config.Reserve)
}

// MaySend tells whether the request may be sent again. A request that is not
// idempotent is only sent again if the attempt surely did not run: sent after an
// unknown outcome it could run twice, which callers see as a double print.
func (r *Retrier) MaySend(a Attempted) bool {
	if a.Left < minTimeLeft {
		return false
	}
	switch a.Outcome {
	case messenger.OutcomeNotRun:
		return a.Moves < r.config.MaxMoves
	case messenger.OutcomeUnknown:
		return a.Idempotent && a.Tries < r.config.MaxTries && r.spend(a.Service)
	}
	return false
}

// HasBudget tells whether a retry could be paid for now.
func (r *Retrier) HasBudget(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fill(service).tokens >= 1
}

func (r *Retrier) spend(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.fill(service)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (r *Retrier) fill(service string) *budget {
	now := r.config.Now()
	b, ok := r.budgets[service]
	if !ok {
		b = &budget{tokens: r.config.Reserve, filled: now}
		r.budgets[service] = b
	}
	b.tokens = min(b.tokens+now.Sub(b.filled).Seconds()*r.config.PerSecond, r.config.Reserve)
	b.filled = now
	return b
}
