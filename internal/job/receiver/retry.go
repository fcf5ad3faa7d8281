package receiver

import "time"

// Limits of the time after which a caller that was refused should come back. They answer
// outages of the store, which last from one second to some ten: told a second each time,
// callers use up their tries while the store is still away, and those that are left all
// come back in the same instant.
const (
	retryShortest = time.Second
	retryLongest  = 8 * time.Second
	// retryShare is how much longer an outage is taken to last, as a part of what it has
	// lasted; retrySpread is added to it at random, so that callers come back one by one.
	retryShare  = 0.6
	retrySpread = 0.4
)

// retryAfter returns when a caller should come back while the store has been out of reach
// for so long. Luck is from 0 to 1.
func retryAfter(outage time.Duration, luck float64) time.Duration {
	wait := time.Duration(float64(outage) * (retryShare + retrySpread*luck))
	return min(max(wait, retryShortest), retryLongest)
}
