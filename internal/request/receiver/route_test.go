package receiver

import (
	"testing"
	"time"

	"bamboospread/internal/wire/messenger"
)

// An admitted request finds one upstream after the other full, since another
// entry was quicker to each slot. Its tries don't count against the limit while
// its caller can still be refused in time; after that the limit ends them.
func TestWaitForSlotIsBounded(t *testing.T) {
	at := time.Unix(100, 0)
	r := &Receiver{config: Config{Now: func() time.Time { return at }}}
	cases := []struct {
		reason string
		since  time.Duration
		want   int
	}{
		{messenger.ReasonFull, 0, 0},
		{messenger.ReasonFull, slotWait - 1, 0},
		{messenger.ReasonFull, slotWait, 7},
		{messenger.ReasonLeaving, 0, 7},
	}
	for _, c := range cases {
		if got := r.countedMoves(&call{started: at.Add(-c.since)}, &journey{moves: 7, reason: c.reason}); got != c.want {
			t.Errorf("%s after %s: %d moves count, want %d", c.reason, c.since, got, c.want)
		}
	}
}
