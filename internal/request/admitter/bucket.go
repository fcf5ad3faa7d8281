package admitter

import "time"

// bucket is a token bucket. The rate is passed to each call because operators can
// change it at run time.
type bucket struct {
	tokens  float64
	updated time.Time
}

// take takes a token and returns 0, or returns the time until one is available.
func (b *bucket) take(rate float64, burst int, now time.Time) time.Duration {
	if rate <= 0 {
		return 0
	}
	size := max(float64(burst), 1)
	if b.updated.IsZero() {
		b.tokens = size
	} else {
		b.tokens += now.Sub(b.updated).Seconds() * rate
	}
	b.tokens = min(b.tokens, size)
	b.updated = now
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	return max(time.Duration((1-b.tokens)/rate*float64(time.Second)), time.Millisecond)
}
