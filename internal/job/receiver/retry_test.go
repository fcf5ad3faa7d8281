package receiver

import (
	"math"
	"math/rand"
	"testing"
	"time"
)

// Guards against jobs that are not accepted although the store is back after seven seconds:
// callers make five attempts, and a fixed retry time of a second uses them up. Callers from the
// first seconds of an outage must be served soon after it, but not all in the same second.
func TestCallersServedAfterOutage(t *testing.T) {
	const callers, tries = 200, 5
	for _, outage := range []time.Duration{2 * time.Second, 4 * time.Second, 7 * time.Second} {
		random := rand.New(rand.NewSource(1))
		served, retries := 0, make(map[int]int)
		for n := range callers {
			at := outage * time.Duration(n) / callers
			for range tries {
				if at >= outage {
					served++
					retries[int((at-outage).Seconds())]++
					if late := at - outage; late > max(outage, 2*time.Second) {
						t.Errorf("after an outage of %s, a caller is served %s after its end", outage, late)
					}
					break
				}
				wait := retryAfter(at, random.Float64())
				at += time.Duration(math.Ceil(wait.Seconds())) * time.Second // rounded up as in the Retry-After header
			}
		}
		if served != callers {
			t.Errorf("%d of %d callers are served after an outage of %s", served, callers, outage)
		}
		for second, n := range retries {
			if outage > 4*time.Second && n > callers*2/3 {
				t.Errorf("%d of %d callers retry in second %d after an outage of %s", n, callers, second, outage)
			}
		}
	}
}

func TestRetryAfterIsBounded(t *testing.T) {
	for _, outage := range []time.Duration{0, time.Millisecond, time.Minute, 1 << 62} {
		for _, random := range []float64{0, 0.5, 1} {
			if got := retryAfter(outage, random); got < minRetryAfter || got > maxRetryAfter {
				t.Errorf("%s after an outage of %s", got, outage)
			}
		}
	}
}
