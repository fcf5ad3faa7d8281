package admitter

import "time"

// bucket is a token bucket. Its rate comes with each call, since operators
// change it while requests flow.
type bucket struct {
	tokens float64
	filled time.Time
}

// take takes a token, or returns how long until there is one.
func (b *bucket) take(rate float64, burst int, now time.Time) time.Duration {
	if rate <= 0 {
		return 0
	}
	size := max(float64(burst), 1)
	if b.filled.IsZero() {
		b.tokens = size
	} else {
		b.tokens += now.Sub(b.filled).Seconds() * rate
	}
	b.tokens = min(b.tokens, size)
	b.filled = now
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	return max(time.Duration((1-b.tokens)/rate*float64(time.Second)), time.Millisecond)
}
