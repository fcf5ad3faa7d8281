package timekeeper

import (
	"testing"
	"time"
)

// Guards against bounds that last longer or run backwards because the time that a clock follows steps back.
func TestForwardStandsStillWhileTimeStepsBack(t *testing.T) {
	at := time.Unix(1000, 0)
	clock := Forward(func() time.Time { return at })
	start := clock()
	for i, step := range []struct{ by, want time.Duration }{
		{time.Second, time.Second}, {-time.Minute, time.Second}, {2 * time.Second, 3 * time.Second}, {0, 3 * time.Second},
	} {
		at = at.Add(step.by)
		if got := clock() - start; got != step.want {
			t.Errorf("step %d: %s after the start, want %s", i, got, step.want)
		}
	}
}
