package admitter

import (
	"slices"
	"sort"
	"time"
)

const (
	minWeight          = 0.01
	initialServiceTime = time.Millisecond // assumed until a request has been measured
)

// waiter is a request waiting in a queue.
type waiter struct {
	tenant   *tenantQueue
	deadline time.Time
	expiry   time.Time // refused if not admitted before
	result   chan error
}

// tenantQueue holds the waiting requests of one tenant, ordered by deadline.
type tenantQueue struct {
	weight  float64
	inUse   int
	waiters []*waiter
}

// queue holds the waiting requests of one service by tenant. It is guarded by
// Admitter.mu.
type queue struct {
	tenants     map[string]*tenantQueue
	inUse       int
	waiting     int
	serviceTime time.Duration // exponentially weighted moving average of the duration of a request
}

func (q *queue) tenantOf(name string, weight float64) *tenantQueue {
	t, ok := q.tenants[name]
	if !ok {
		t = &tenantQueue{}
		q.tenants[name] = t
	}
	t.weight = max(weight, minWeight)
	return t
}

func (q *queue) acquire(t *tenantQueue) {
	t.inUse++
	q.inUse++
}

func (q *queue) release(t *tenantQueue, took time.Duration) {
	t.inUse--
	q.inUse--
	if q.serviceTime == 0 {
		q.serviceTime = took
		return
	}
	q.serviceTime += (took - q.serviceTime) / ewmaDivisor
}

func (q *queue) push(w *waiter) {
	list := w.tenant.waiters
	i := sort.Search(len(list), func(i int) bool { return list[i].deadline.After(w.deadline) })
	w.tenant.waiters = slices.Insert(list, i, w)
	q.waiting++
}

func (q *queue) remove(w *waiter) bool {
	i := slices.Index(w.tenant.waiters, w)
	if i < 0 {
		return false
	}
	w.tenant.waiters = slices.Delete(w.tenant.waiters, i, i+1)
	q.waiting--
	return true
}

func (q *queue) removeLast(t *tenantQueue) *waiter {
	w := t.waiters[len(t.waiters)-1]
	q.remove(w)
	return w
}

func (q *queue) removeExpired(now time.Time) []*waiter {
	var expired []*waiter
	for _, t := range q.tenants {
		for _, w := range t.waiters {
			if !now.Before(w.expiry) {
				expired = append(expired, w)
			}
		}
	}
	for _, w := range expired {
		q.remove(w)
	}
	return expired
}

// popNext removes and returns the request with the earliest deadline of the tenant
// that has the fewest running requests relative to its weight.
func (q *queue) popNext() *waiter {
	var next *tenantQueue
	for _, t := range q.tenants {
		if len(t.waiters) == 0 {
			continue
		}
		if next == nil || servedBefore(t, next) {
			next = t
		}
	}
	if next == nil {
		return nil
	}
	w := next.waiters[0]
	q.remove(w)
	return w
}

// servedBefore reports whether tenant a is served before tenant b: the one with
// fewer running requests relative to its weight, else the earlier deadline.
func servedBefore(a, b *tenantQueue) bool {
	shareA, shareB := float64(a.inUse)/a.weight, float64(b.inUse)/b.weight
	if shareA != shareB {
		return shareA < shareB
	}
	return a.waiters[0].deadline.Before(b.waiters[0].deadline)
}

// largestBacklog returns the tenant with the most waiting requests relative to its
// weight, or nil if none is waiting.
func (q *queue) largestBacklog() *tenantQueue {
	var largest *tenantQueue
	for _, t := range q.tenants {
		if len(t.waiters) > 0 && (largest == nil || float64(len(t.waiters))/t.weight > float64(len(largest.waiters))/largest.weight) {
			largest = t
		}
	}
	return largest
}

// expectedWait estimates how long one more request of the tenant would wait: its
// waiting requests are served at the tenant's share of the rate at which requests
// end. A tenant that uses less than its share is served next, however many requests
// of other tenants are waiting.
func (q *queue) expectedWait(t *tenantQueue, capacity int) time.Duration {
	if capacity <= 0 {
		return 0 // the wait can't be estimated; MaxWait bounds it
	}
	weights := t.weight
	for _, other := range q.tenants {
		if other != t && (other.inUse > 0 || len(other.waiters) > 0) {
			weights += other.weight
		}
	}
	rate := float64(capacity) * t.weight / weights // requests per service time
	serviceTime := max(q.serviceTime, initialServiceTime)
	return time.Duration(float64(len(t.waiters)+1) / rate * float64(serviceTime))
}
