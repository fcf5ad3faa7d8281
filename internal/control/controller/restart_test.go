package controller

import (
	"testing"
	"time"

	"bamboospread/internal/wire/messenger"
)

// The time of day jumps back between two processes of an agent: the second, whose number
// is lower, is not refused for good, and what the first sent does not count any more.
func TestAgentRestartedAfterItsClockJumpedBack(t *testing.T) {
	d := newDesk(t)
	d.held, d.strained = func() bool { return true }, func() bool { return false }
	polls := []struct {
		name        string
		incarnation int64
		sequence    int64
		after       time.Duration
		refused     bool
	}{
		{"first process", 9, 5, 0, false},
		{"held up on its way", 9, 4, 0, true},
		{"from before the first process, or a lower number", 7, 1, time.Second, true},
		{"again, the first process being silent", 7, 2, reachableFor, false},
		{"of the first process, held up", 9, 6, 0, true},
		{"second process", 7, 3, 0, false},
		{"third process", 8, 1, 0, false},
		{"of the second process, held up for long", 7, 4, 2 * reachableFor, true},
	}
	for _, p := range polls {
		d.now = d.now.Add(p.after)
		call := d.call()
		d.takePoll(call, messenger.Poll{Capacity: messenger.Capacity{VM: "vm"}, Incarnation: p.incarnation, Sequence: p.sequence})
		if refused := len(call.answer) > 0; refused != p.refused {
			t.Errorf("%s: refused %t", p.name, refused)
		}
	}
}
