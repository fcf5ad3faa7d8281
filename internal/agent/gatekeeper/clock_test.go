package gatekeeper

import (
	"testing"
	"time"

	"bamboospread/internal/wire/messenger"
)

// An upstream leaves, the wall clock steps back, and its next process announces itself.
// It must become ready at once, not only after the clock has passed the time of leaving.
func TestUpstreamReadyAfterClockStepsBack(t *testing.T) {
	for _, withTime := range []bool{false, true} {
		// Now has a monotonic part, as time.Now has; after the jump TimeOfDay is an hour
		// behind it.
		started := time.Now()
		now := started
		jump := time.Duration(0)
		g := New(Config{Now: func() time.Time { return now }, TimeOfDay: func() time.Time { return now.Add(-jump) }})
		a := Announcement{ID: "u1", Service: "s", Address: "127.0.0.1:1"}
		renew := func() {
			if withTime {
				a.SentAtMillis = now.Add(-jump).UnixMilli()
			}
			if err := g.Renew(a); err != nil {
				t.Fatal(err)
			}
		}
		renew()
		now = now.Add(time.Second)
		g.Leave("u1")
		jump = time.Hour
		now = now.Add(time.Second)
		renew()
		if s := g.Upstreams()[0].State; s != messenger.UpstreamReady {
			t.Errorf("announcement with send time %t: state %s", withTime, s)
		}
	}
}
