package specifier

import "time"

// MaxSpan is the longest duration that is computed from declared ones. Three of it still are a
// time.Duration.
const MaxSpan = 90 * 366 * 24 * time.Hour

// Span returns a number of nanoseconds as a duration, within MaxSpan either way.
func Span(ns float64) time.Duration {
	switch {
	case ns <= float64(-MaxSpan):
		return -MaxSpan
	case ns < float64(MaxSpan):
		return time.Duration(ns)
	}
	return MaxSpan // also if it is not a number
}

// Sum returns the sum of two durations within MaxSpan, at most that.
func Sum(a, b time.Duration) time.Duration { return min(a+b, MaxSpan) }

// Millis returns a number of milliseconds as a duration from 0 to MaxSpan.
func Millis(n int64) time.Duration {
	return time.Duration(min(max(n, 0), MaxSpan.Milliseconds())) * time.Millisecond
}
