package receiver

import "time"

// Limits of the time after which a refused caller should retry. Outages of the store last from
// one to some ten seconds. With a fixed retry time of a second, callers use up their attempts
// during the outage, and the remaining ones all retry at the same moment.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 8 * time.Second
	// outageFactor is the expected remaining duration of an outage, as a multiple of its
	// duration so far. A random part of up to outageJitter is added, so that callers do not
	// retry all at once.
	outageFactor = 0.6
	outageJitter = 0.4
)

// retryAfter returns the time after which a caller should retry if the store has been
// unreachable for the given time. random is from 0 to 1.
func retryAfter(outage time.Duration, random float64) time.Duration {
	wait := time.Duration(float64(outage) * (outageFactor + outageJitter*random))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
