package gatekeeper

import (
	"slices"
	"sort"
	"time"

	"bamboospread/internal/wire/messenger"
)

const ewmaDivisor = 16 // a new sample has a weight of 1/16 in the mean request time

// upstream is one local upstream. The Gatekeeper's lock guards the fields that
// change; the pool has a lock of its own.
type upstream struct {
	id          string
	service     string
	address     string
	slots       int
	connections int
	leaving     bool
	renewed     time.Time
	inFlight    int            // slots that are occupied
	lost        []*lostRequest // in the order of their loss; they occupy slots
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
func (u *upstream) load() int { return u.inFlight + len(u.waiters) }

func (u *upstream) push(w *waiter) {
	i := sort.Search(len(u.waiters), func(i int) bool { return u.waiters[i].deadline.After(w.deadline) })
	u.waiters = slices.Insert(u.waiters, i, w)
}

// pop removes and returns the waiter with the earliest deadline, or nil. If the
// upstream lowered its number of slots, the slots above that number are not
// granted again.
func (u *upstream) pop() *waiter {
	if len(u.waiters) == 0 || u.inFlight > u.slots {
		return nil
	}
	w := u.waiters[0]
	u.waiters = slices.Delete(u.waiters, 0, 1)
	return w
}

func (u *upstream) remove(w *waiter) bool {
	i := slices.Index(u.waiters, w)
	if i < 0 {
		return false
	}
	u.waiters = slices.Delete(u.waiters, i, i+1)
	return true
}

// refuseWaiters refuses all waiting requests, when the upstream leaves.
func (u *upstream) refuseWaiters() {
	for _, w := range u.waiters {
		w.granted <- false
	}
	u.waiters = nil
}

func (u *upstream) describe(state messenger.UpstreamState) messenger.Upstream {
	return messenger.Upstream{
		ID: u.id, Service: u.service, Slots: u.slots, Connections: u.connections,
		State: state, InFlight: u.load(),
	}
}
