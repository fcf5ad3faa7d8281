// Package admitter decides whether a request is sent to an upstream now, waits in
// a queue for a short bounded time, or is refused immediately. Each tenant has a
// rate limit; within it, tenants that compete for a service share its capacity by
// weight.
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
	ewmaDivisor       = 16 // a new sample has a weight of 1/16 in the mean service time
	minRetryAfter     = 10 * time.Millisecond
	dispatchInterval  = 5 * time.Millisecond
)

// Config holds the settings of an Admitter.
type Config struct {
	// Capacity returns how many requests of the service this entry may have running now.
	Capacity   func(service string) int
	QueueLimit int // waiting requests per service; default 512
	// MaxWait bounds the time in the queue and thereby the delay of a refusal;
	// default 35 ms.
	MaxWait time.Duration
	Now     func() time.Time
}

// Options describes a request to be admitted.
type Options struct {
	Service  string
	Tenant   string
	Weight   float64 // of the tenant
	Rate     float64 // limit of the tenant in requests per second; 0: no limit
	Burst    int
	Deadline time.Time
}

// ErrRefused is returned for a request that was not admitted; it did not run.
type ErrRefused struct {
	Reason     string
	RetryAfter time.Duration
	RateLimit  bool // the tenant exceeded its rate limit
}

func (e ErrRefused) Error() string {
	return fmt.Sprintf("%s; retry after %s", e.Reason, e.RetryAfter)
}

// Admitter admits requests. It is safe for concurrent use.
type Admitter struct {
	config   Config
	mu       sync.Mutex
	buckets  map[string]*bucket
	services map[string]*queue
}

// New returns an Admitter with empty queues.
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

// Admit waits until the request may run. It returns a function that must be called
// when the request has ended, or an ErrRefused.
func (a *Admitter) Admit(ctx context.Context, o Options) (func(), error) {
	w, err := a.admitOrEnqueue(o)
	if err != nil {
		return nil, err
	}
	if w == nil {
		return a.releaseFunc(o), nil
	}
	return a.wait(ctx, o, w)
}

// admitOrEnqueue returns a nil waiter if the request may run now; otherwise it
// adds the request to the queue and returns its waiter.
func (a *Admitter) admitOrEnqueue(o Options) (*waiter, error) {
	now := a.config.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if wait := a.bucketOf(o).take(o.Rate, o.Burst, now); wait > 0 {
		return nil, ErrRefused{Reason: "the tenant exceeded its request rate limit", RetryAfter: wait, RateLimit: true}
	}
	q := a.queueOf(o.Service)
	tenant := q.tenantOf(o.Tenant, o.Weight)
	capacity := a.config.Capacity(o.Service)
	a.dispatch(q, capacity)
	if q.inUse < capacity && q.waiting == 0 {
		q.acquire(tenant)
		return nil, nil
	}
	expected := q.expectedWait(tenant, capacity)
	if expected > a.config.MaxWait || now.Add(expected+q.serviceTime).After(o.Deadline) {
		return nil, ErrRefused{Reason: "no upstream has a free slot", RetryAfter: max(expected, minRetryAfter)}
	}
	w := &waiter{
		tenant: tenant, deadline: o.Deadline, expiry: minTime(o.Deadline.Add(-q.serviceTime), now.Add(a.config.MaxWait)),
		result: make(chan error, 1),
	}
	if !a.ensureQueueSpace(q, tenant) {
		return nil, ErrRefused{Reason: "the admission queue of the service is full", RetryAfter: max(expected, minRetryAfter)}
	}
	q.push(w)
	return w, nil
}

// ensureQueueSpace keeps the queue bounded. If the queue is full, it refuses the
// last request of the tenant with the most waiting requests relative to its weight,
// so that a flood from one tenant does not push out requests of the others. It returns
// false if the arriving request has to be refused instead.
func (a *Admitter) ensureQueueSpace(q *queue, arriving *tenantQueue) bool {
	if q.waiting < a.config.QueueLimit {
		return true
	}
	largest := q.largestBacklog()
	if largest == nil || largest == arriving ||
		float64(len(largest.waiters))/largest.weight <= float64(len(arriving.waiters)+1)/arriving.weight {
		return false
	}
	w := q.removeLast(largest)
	w.result <- ErrRefused{Reason: "the admission queue of the service is full", RetryAfter: a.config.MaxWait}
	return true
}

func (a *Admitter) wait(ctx context.Context, o Options, w *waiter) (func(), error) {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-w.result:
			if err != nil {
				return nil, err
			}
			return a.releaseFunc(o), nil
		case <-ticker.C:
			// Capacity can also increase without a request of this entry ending:
			// an upstream was added, or a request of another entry ended.
			a.mu.Lock()
			q := a.queueOf(o.Service)
			a.dispatch(q, a.config.Capacity(o.Service))
			a.mu.Unlock()
		case <-ctx.Done():
			return nil, a.abandon(o, w, ctx.Err())
		}
	}
}

// abandon removes the request from the queue. If it has been admitted in the
// meantime, its slot is released.
func (a *Admitter) abandon(o Options, w *waiter, cause error) error {
	a.mu.Lock()
	removed := a.queueOf(o.Service).remove(w)
	a.mu.Unlock()
	if !removed && <-w.result == nil {
		a.releaseFunc(o)()
	}
	return ErrRefused{Reason: fmt.Sprintf("stopped waiting for an upstream: %v", cause), RetryAfter: minRetryAfter}
}

// dispatch refuses requests that have waited too long and admits waiting requests
// while there is capacity.
func (a *Admitter) dispatch(q *queue, capacity int) {
	now := a.config.Now()
	for _, w := range q.removeExpired(now) {
		w.result <- ErrRefused{Reason: "no upstream has a free slot", RetryAfter: max(q.expectedWait(w.tenant, capacity), a.config.MaxWait)}
	}
	for q.inUse < capacity {
		w := q.popNext()
		if w == nil {
			return
		}
		q.acquire(w.tenant)
		w.result <- nil
	}
}

// releaseFunc returns the function that releases the slot of an admitted request.
func (a *Admitter) releaseFunc(o Options) func() {
	started := a.config.Now()
	var once sync.Once
	return func() {
		once.Do(func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			q := a.queueOf(o.Service)
			q.release(q.tenantOf(o.Tenant, o.Weight), a.config.Now().Sub(started))
			a.dispatch(q, a.config.Capacity(o.Service))
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
