package receiver

import (
	"testing"
	"time"

	"bamboospread/internal/wire/messenger"
)

// TestSlotRetriesAreBounded checks an admitted request that finds upstreams full because
// another entry took each slot first. Its attempts must not count against the limit while
// the caller can still be refused in time, and must count after that.
func TestSlotRetriesAreBounded(t *testing.T) {
	at := time.Unix(100, 0)
	r := &Receiver{config: Config{Now: func() time.Time { return at }}}
	cases := []struct {
		reason string
		since  time.Duration
		want   int
	}{
		{messenger.ReasonFull, 0, 0},
		{messenger.ReasonFull, slotRetryPeriod - 1, 0},
		{messenger.ReasonFull, slotRetryPeriod, 7},
		{messenger.ReasonLeaving, 0, 7},
	}
	for _, c := range cases {
		if got := r.countedNotRun(&call{started: at.Add(-c.since)}, &routeState{notRun: 7, reason: c.reason}); got != c.want {
			t.Errorf("%s after %s: %d attempts count, want %d", c.reason, c.since, got, c.want)
		}
	}
}
