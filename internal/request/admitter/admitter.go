// Package admitter decides whether a request may go on to an upstream now, waits
// a short bounded time, or is refused at once. Tenants have rate limits; beyond
// these, those that compete for a service share it by weight.
package admitter

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	defaultQueueLimit = 512
	defaultMaxWait    = 35 * time.Millisecond
	holdWeight        = 16
	minRetryAfter     = 10 * time.Millisecond
	pumpInterval      = 5 * time.Millisecond
)

// Config holds the settings of an Admitter.
type Config struct {
	// Capacity returns how many requests of the service may run now from here.
	Capacity   func(service string) int
	QueueLimit int // waiting requests per service; default 512
	// MaxWait bounds the time in the queue; default 35 ms. A request that is
	// refused after all gets its final answer this late at most.
	MaxWait time.Duration
	Now     func() time.Time
}

// Options describes the request that asks to be admitted.
type Options struct {
	Service  string
	Tenant   string
	Weight   float64 // of the tenant
	Rate     float64 // of the tenant in requests a second; 0: no limit
	Burst    int
	Deadline time.Time
}

// ErrRefused is returned for a request that was not admitted; it did not run.
type ErrRefused struct {
	Reason     string
	RetryAfter time.Duration
	RateLimit  bool // the tenant is above its own limit
}

func (e ErrRefused) Error() string {
	return fmt.Sprintf("%s; again after %s", e.Reason, e.RetryAfter)
}

// Admitter admits requests. It is safe for concurrent use.
type Admitter struct {
	config   Config
	mu       sync.Mutex
	buckets  map[string]*bucket
	services map[string]*queue
}

// New returns an Admitter without requests.
func New(c Config) *Admitter {
	if c.QueueLimit <= 0 {
		c.QueueLimit = defaultQueueLimit
	}
	if c.MaxWait <= 0 {
		c.MaxWait = defaultMaxWait
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Admitter{config: c, buckets: make(map[string]*bucket), services: make(map[string]*queue)}
}

// Admit waits until the request may run and returns the function that must be
// called when it has ended, or an ErrRefused.
func (a *Admitter) Admit(ctx context.Context, o Options) (func(), error) {
	w, err := a.enter(o)
	if err != nil {
		return nil, err
	}
	if w == nil {
		return a.releaser(o), nil
	}
	return a.wait(ctx, o, w)
}

// enter returns nil if the request may run now, or its place in the queue.
func (a *Admitter) enter(o Options) (*waiter, error) {
	now := a.config.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if wait := a.bucketOf(o).take(o.Rate, o.Burst, now); wait > 0 {
		return nil, ErrRefused{Reason: "tenant is above its request rate", RetryAfter: wait, RateLimit: true}
	}
	q := a.queueOf(o.Service)
	tenant := q.tenantOf(o.Tenant, o.Weight)
	capacity := a.config.Capacity(o.Service)
	a.pump(q, capacity)
	if q.inUse < capacity && q.waiting == 0 {
		q.grant(tenant)
		return nil, nil
	}
	expected := q.expectedWait(tenant, capacity)
	if expected > a.config.MaxWait || now.Add(expected+q.hold).After(o.Deadline) {
		return nil, ErrRefused{Reason: "all upstreams are taken", RetryAfter: max(expected, minRetryAfter)}
	}
	w := &waiter{
		tenant: tenant, deadline: o.Deadline, limit: minTime(o.Deadline.Add(-q.hold), now.Add(a.config.MaxWait)),
		result: make(chan error, 1),
	}
	if !a.makeRoom(q, tenant) {
		return nil, ErrRefused{Reason: "the queue is full", RetryAfter: max(expected, minRetryAfter)}
	}
	q.push(w)
	return w, nil
}

// makeRoom keeps the queue bounded. A full queue turns away the last of the
// tenant that holds the most of it for its weight, so that a flood of one tenant
// costs the others nothing.
func (a *Admitter) makeRoom(q *queue, arriving *tenantQueue) bool {
	if q.waiting < a.config.QueueLimit {
		return true
	}
	heaviest := q.heaviest()
	if heaviest == nil || heaviest == arriving ||
		float64(len(heaviest.waiters))/heaviest.weight <= float64(len(arriving.waiters)+1)/arriving.weight {
		return false
	}
	w := q.removeLast(heaviest)
	w.result <- ErrRefused{Reason: "the queue is full", RetryAfter: a.config.MaxWait}
	return true
}

func (a *Admitter) wait(ctx context.Context, o Options, w *waiter) (func(), error) {
	ticker := time.NewTicker(pumpInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-w.result:
			if err != nil {
				return nil, err
			}
			return a.releaser(o), nil
		case <-ticker.C:
			// Capacity also rises without a request ending here: an upstream
			// came, or another entry's request ended.
			a.mu.Lock()
			q := a.queueOf(o.Service)
			a.pump(q, a.config.Capacity(o.Service))
			a.mu.Unlock()
		case <-ctx.Done():
			return nil, a.abandon(o, w, ctx.Err())
		}
	}
}

// abandon takes the request out of the queue; if it was granted meanwhile, the
// grant is given back.
func (a *Admitter) abandon(o Options, w *waiter, cause error) error {
	a.mu.Lock()
	removed := a.queueOf(o.Service).remove(w)
	a.mu.Unlock()
	if !removed && <-w.result == nil {
		a.releaser(o)()
	}
	return ErrRefused{Reason: fmt.Sprintf("given up while waiting: %v", cause), RetryAfter: minRetryAfter}
}

// pump grants places while there is capacity, and refuses who waited too long.
func (a *Admitter) pump(q *queue, capacity int) {
	now := a.config.Now()
	for _, w := range q.removeLate(now) {
		w.result <- ErrRefused{Reason: "all upstreams are taken", RetryAfter: max(q.expectedWait(w.tenant, capacity), a.config.MaxWait)}
	}
	for q.inUse < capacity {
		w := q.popNext()
		if w == nil {
			return
		}
		q.grant(w.tenant)
		w.result <- nil
	}
}

func (a *Admitter) releaser(o Options) func() {
	started := a.config.Now()
	var once sync.Once
	return func() {
		once.Do(func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			q := a.queueOf(o.Service)
			q.release(q.tenantOf(o.Tenant, o.Weight), a.config.Now().Sub(started))
			a.pump(q, a.config.Capacity(o.Service))
		})
	}
}

func (a *Admitter) bucketOf(o Options) *bucket {
	b, ok := a.buckets[o.Tenant]
	if !ok {
		b = &bucket{}
		a.buckets[o.Tenant] = b
	}
	return b
}

func (a *Admitter) queueOf(service string) *queue {
	q, ok := a.services[service]
	if !ok {
		q = &queue{tenants: make(map[string]*tenantQueue)}
		a.services[service] = q
	}
	return q
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
