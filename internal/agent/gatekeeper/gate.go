package gatekeeper

import (
	"slices"
	"sort"
	"time"

	"bamboospread/internal/wire/messenger"
)

// meanTimeWeight is the inverse weight of one request in the mean time.
const meanTimeWeight = 16

// gate is one local upstream. The Gatekeeper's lock guards its counts; the pool
// has a lock of its own.
type gate struct {
	id          string
	service     string
	address     string
	slots       int
	connections int
	leaving     bool
	renewed     time.Time
	sentMillis  int64 // send time of the last renewal, if the upstream gives it
	inFlight    int
	meanTime    time.Duration
	pool        *pool
	waiters     []*waiter // in the order of their deadlines
}

// waiter is a request that waits for a slot.
type waiter struct {
	deadline time.Time
	granted  chan bool
}

// load is the number of requests that run or wait.
func (t *gate) load() int { return t.inFlight + len(t.waiters) }

func (t *gate) push(w *waiter) {
	i := sort.Search(len(t.waiters), func(i int) bool { return t.waiters[i].deadline.After(w.deadline) })
	t.waiters = slices.Insert(t.waiters, i, w)
}

// pop takes the waiter with the earliest deadline, or nil. Slots above the number
// of an upstream that lowered it are not passed on.
func (t *gate) pop() *waiter {
	if len(t.waiters) == 0 || t.inFlight > t.slots {
		return nil
	}
	w := t.waiters[0]
	t.waiters = slices.Delete(t.waiters, 0, 1)
	return w
}

func (t *gate) remove(w *waiter) bool {
	i := slices.Index(t.waiters, w)
	if i < 0 {
		return false
	}
	t.waiters = slices.Delete(t.waiters, i, i+1)
	return true
}

// refuseWaiters turns away all that wait, when the upstream leaves.
func (t *gate) refuseWaiters() {
	for _, w := range t.waiters {
		w.granted <- false
	}
	t.waiters = nil
}

func (t *gate) describe(state messenger.UpstreamState) messenger.Upstream {
	return messenger.Upstream{
		ID: t.id, Service: t.service, Slots: t.slots, Connections: t.connections,
		State: state, InFlight: t.load(),
	}
}
