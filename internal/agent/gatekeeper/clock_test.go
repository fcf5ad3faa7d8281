package gatekeeper

import (
	"testing"
	"time"

	"bamboospread/internal/wire/messenger"
)

// An upstream leaves, the time of day jumps back, and its next process announces itself:
// it must be taken at once and not when the clock has caught up.
func TestUpstreamBackAfterTheClockJumpedBack(t *testing.T) {
	for _, told := range []bool{false, true} {
		// The first reading has a monotonic part, as time.Now has; the later one is of a
		// clock of day that is an hour behind it.
		began := time.Now()
		now := began
		jump := time.Duration(0)
		g := New(Config{Now: func() time.Time { return now }, TimeOfDay: func() time.Time { return now.Add(-jump) }})
		a := Announcement{ID: "u1", Service: "s", Address: "127.0.0.1:1"}
		renew := func() {
			if told {
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
			t.Errorf("told %t: %s", told, s)
		}
	}
}
