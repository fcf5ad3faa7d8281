// Package retrier decides whether a request is sent again after an attempt without an
// answer.
package retrier

import (
	"sync"
	"time"

	"bamboospread/internal/wire/messenger"
)

const (
	defaultRetryRatio         = 0.1
	defaultRetriesPerSecond   = 5
	defaultMaxBudget          = 20
	defaultMaxNotRunAttempts  = 4
	defaultMaxUnknownAttempts = 3
	minTimeLeft               = 2 * time.Millisecond
)

// Config holds the settings of a Retrier. Zero values take the defaults.
type Config struct {
	// RetryRatio is the number of retries that each request adds to the budget of
	// its service; default 0.1. Without a budget, an upstream that fails because of
	// overload would be sent each request several times, which adds to the overload.
	RetryRatio         float64
	RetriesPerSecond   float64 // added to the budget with time, for services with few requests; default 5
	MaxBudget          float64 // largest number of retries in the budget; default 20
	MaxNotRunAttempts  int     // limit of attempts that definitely did not run; default 4
	MaxUnknownAttempts int     // limit of attempts with an unknown outcome; default 3
	Now                func() time.Time
}

// FailedAttempt describes a request after an attempt without an answer.
type FailedAttempt struct {
	Service         string
	Outcome         messenger.Outcome // of this attempt
	Idempotent      bool
	NotRunAttempts  int // attempts so far that definitely did not run
	UnknownAttempts int // attempts so far with an unknown outcome
	TimeLeft        time.Duration
}

// Retrier holds the retry budgets of the services. It is safe for concurrent use.
type Retrier struct {
	config  Config
	mu      sync.Mutex
	budgets map[string]*budget
}

// budget is the token bucket of the retries of one service.
type budget struct {
	tokens  float64
	updated time.Time
}

// New returns a Retrier with full budgets.
func New(c Config) *Retrier {
	if c.RetryRatio <= 0 {
		c.RetryRatio = defaultRetryRatio
	}
	if c.RetriesPerSecond <= 0 {
		c.RetriesPerSecond = defaultRetriesPerSecond
	}
	if c.MaxBudget <= 0 {
		c.MaxBudget = defaultMaxBudget
	}
	if c.MaxNotRunAttempts <= 0 {
		c.MaxNotRunAttempts = defaultMaxNotRunAttempts
	}
	if c.MaxUnknownAttempts <= 0 {
		c.MaxUnknownAttempts = defaultMaxUnknownAttempts
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Retrier{config: c, budgets: make(map[string]*budget)}
}

// CountRequest adds the share of one request to the budget of the service.
func (r *Retrier) CountRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.refill(service)
	b.tokens = min(b.tokens+r.config.RetryRatio, r.config.MaxBudget)
}

// AllowRetry reports whether the request may be sent again, and charges the budget
// for a retry after an unknown outcome. A request that is not idempotent is only sent
// again if the attempt definitely did not run: after an unknown outcome it could run
// twice, which callers see as a double print.
func (r *Retrier) AllowRetry(a FailedAttempt) bool {
	if a.TimeLeft < minTimeLeft {
		return false
	}
	switch a.Outcome {
	case messenger.OutcomeNotRun:
		return a.NotRunAttempts < r.config.MaxNotRunAttempts
	case messenger.OutcomeUnknown:
		return a.Idempotent && a.UnknownAttempts < r.config.MaxUnknownAttempts && r.takeToken(a.Service)
	}
	return false
}

// HasBudget reports whether the budget of the service allows a retry now.
func (r *Retrier) HasBudget(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refill(service).tokens >= 1
}

func (r *Retrier) takeToken(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.refill(service)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill returns the budget of the service with the tokens added since its last use.
func (r *Retrier) refill(service string) *budget {
	now := r.config.Now()
	b, ok := r.budgets[service]
	if !ok {
		b = &budget{tokens: r.config.MaxBudget, updated: now}
		r.budgets[service] = b
	}
	b.tokens = min(b.tokens+now.Sub(b.updated).Seconds()*r.config.RetriesPerSecond, r.config.MaxBudget)
	b.updated = now
	return b
}
