package controller

import (
	"testing"
	"time"

	"bamboospread/internal/wire/messenger"
)

// Guards against refusing an agent permanently when the time of day steps back between two
// incarnations: the second has the lower number. Its polls must be accepted, and delayed
// polls of the first must not.
func TestAgentRestartAfterClockStepsBack(t *testing.T) {
	to := newTestOwner(t)
	to.held, to.renewalOverdue = func() bool { return true }, func() bool { return false }
	polls := []struct {
		name        string
		incarnation int64
		sequence    int64
		after       time.Duration
		refused     bool
	}{
		{"first incarnation", 9, 5, 0, false},
		{"delayed poll", 9, 4, 0, true},
		{"lower incarnation while the first one still polls", 7, 1, time.Second, true},
		{"lower incarnation after the first one has stopped polling", 7, 2, reachableTimeout, false},
		{"delayed poll of the first incarnation", 9, 6, 0, true},
		{"second incarnation", 7, 3, 0, false},
		{"third incarnation", 8, 1, 0, false},
		{"poll of the second incarnation with a long delay", 7, 4, 2 * reachableTimeout, true},
	}
	for _, p := range polls {
		to.now = to.now.Add(p.after)
		call := to.call()
		to.handlePoll(call, messenger.Poll{Capacity: messenger.Capacity{VM: "vm"}, Incarnation: p.incarnation, Sequence: p.sequence})
		if refused := len(call.result) > 0; refused != p.refused {
			t.Errorf("%s: refused %t, want %t", p.name, refused, p.refused)
		}
	}
}
