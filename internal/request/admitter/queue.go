package admitter

import (
	"slices"
	"sort"
	"time"
)

const (
	minWeight = 0.01
	firstHold = time.Millisecond // before anything was measured
)

// waiter is a request in a queue.
type waiter struct {
	tenant   *tenantQueue
	deadline time.Time
	limit    time.Time // refused if not granted before
	result   chan error
}

// tenantQueue holds the waiting requests of one tenant in the order of their
// deadlines.
type tenantQueue struct {
	weight  float64
	inUse   int
	waiters []*waiter
}

// queue is the competition for one service. The Admitter's lock guards it.
type queue struct {
	tenants map[string]*tenantQueue
	inUse   int
	waiting int
	hold    time.Duration // moving mean of the time that a request takes
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

func (q *queue) grant(t *tenantQueue) {
	t.inUse++
	q.inUse++
}

func (q *queue) release(t *tenantQueue, held time.Duration) {
	t.inUse--
	q.inUse--
	if q.hold == 0 {
		q.hold = held
		return
	}
	q.hold += (held - q.hold) / holdWeight
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

func (q *queue) removeLate(now time.Time) []*waiter {
	var late []*waiter
	for _, t := range q.tenants {
		for _, w := range t.waiters {
			if !now.Before(w.limit) {
				late = append(late, w)
			}
		}
	}
	for _, w := range late {
		q.remove(w)
	}
	return late
}

// popNext takes the earliest deadline of the tenant that runs the least for its
// weight.
func (q *queue) popNext() *waiter {
	var next *tenantQueue
	for _, t := range q.tenants {
		if len(t.waiters) == 0 {
			continue
		}
		if next == nil || before(t, next) {
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

func before(a, b *tenantQueue) bool {
	shareA, shareB := float64(a.inUse)/a.weight, float64(b.inUse)/b.weight
	if shareA != shareB {
		return shareA < shareB
	}
	return a.waiters[0].deadline.Before(b.waiters[0].deadline)
}

func (q *queue) heaviest() *tenantQueue {
	var most *tenantQueue
	for _, t := range q.tenants {
		if len(t.waiters) > 0 && (most == nil || float64(len(t.waiters))/t.weight > float64(len(most.waiters))/most.weight) {
			most = t
		}
	}
	return most
}

// expectedWait estimates how long one more request of the tenant would wait: the
// tenant's waiting requests, served at its share of the rate at which requests
// end. A tenant that runs less than its share is served next, whatever others
// have waiting.
func (q *queue) expectedWait(t *tenantQueue, capacity int) time.Duration {
	if capacity <= 0 {
		return 0 // nothing is known about how long; the wait is bounded
	}
	weights := t.weight
	for _, o := range q.tenants {
		if o != t && (o.inUse > 0 || len(o.waiters) > 0) {
			weights += o.weight
		}
	}
	rate := float64(capacity) * t.weight / weights // requests per hold
	hold := max(q.hold, firstHold)
	return time.Duration(float64(len(t.waiters)+1) / rate * float64(hold))
}
