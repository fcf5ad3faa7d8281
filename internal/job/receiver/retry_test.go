package receiver

import (
	"math"
	"math/rand"
	"testing"
	"time"
)

// Jobs are lost to their callers although the store is back after seven seconds: callers
// ask five times in all, and were told to come back after a second each time. Those that
// came in the first seconds of the outage must be served after it, soon, and not all in
// the same second.
func TestCallersComeBackAfterAnOutage(t *testing.T) {
	const callers, tries = 200, 5
	for _, outage := range []time.Duration{2 * time.Second, 4 * time.Second, 7 * time.Second} {
		luck := rand.New(rand.NewSource(1))
		served, back := 0, make(map[int]int)
		for n := range callers {
			at := outage * time.Duration(n) / callers
			for range tries {
				if at >= outage {
					served++
					back[int((at-outage).Seconds())]++
					if late := at - outage; late > max(outage, 2*time.Second) {
						t.Errorf("a caller of a %s outage is served %s after its end", outage, late)
					}
					break
				}
				wait := retryAfter(at, luck.Float64())
				at += time.Duration(math.Ceil(wait.Seconds())) * time.Second // as headers tell it
			}
		}
		if served != callers {
			t.Errorf("%d of %d callers are served after an outage of %s", served, callers, outage)
		}
		for second, n := range back {
			if outage > 4*time.Second && n > callers*2/3 {
				t.Errorf("%d of %d callers come back in second %d after an outage of %s", n, callers, second, outage)
			}
		}
	}
}

func TestRetryAfterIsBounded(t *testing.T) {
	for _, outage := range []time.Duration{0, time.Millisecond, time.Minute, 1 << 62} {
		for _, luck := range []float64{0, 0.5, 1} {
			if got := retryAfter(outage, luck); got < retryShortest || got > retryLongest {
				t.Errorf("%s after an outage of %s", got, outage)
			}
		}
	}
}
