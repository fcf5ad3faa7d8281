package forecaster

import (
	"math"
	"slices"
)

const (
	// maxErrors is how many errors are kept: those of half a minute.
	maxErrors = 120
	// minErrors is the least number of errors for a quantile: with fewer, no observed error is beyond
	// Quantile.
	minErrors = 20
	// maxError is the largest relative error that counts. A demand that doubles within the horizon, or
	// more, is a burst that the past does not show; long-running tasks yield to it once it is there.
	maxError = 1
)

// record holds the latest relative errors of the forecasts that were used.
type record struct {
	errors  []float64
	covered []bool // whether the quantile has covered the demand; only of forecasts with a quantile
	sorted  []float64
}

func (r *record) add(e float64, covered bool) {
	if r.count() >= minErrors {
		r.covered = appendBounded(r.covered, covered)
	}
	r.errors = appendBounded(r.errors, min(e, maxError))
	r.sorted = append(r.sorted[:0], r.errors...)
	slices.Sort(r.sorted)
}

func appendBounded[T any](list []T, v T) []T {
	if len(list) == maxErrors {
		list = append(list[:0], list[1:]...)
	}
	return append(list, v)
}

func (r *record) count() int { return len(r.errors) }

func (r *record) mean() float64 { return mean(r.errors) }

// quantile returns the quantile of the errors, the next higher error if it is between two: fewer
// errors must not lead to a lower one.
func (r *record) quantile(q float64) float64 {
	n := len(r.sorted)
	if n == 0 {
		return 0
	}
	return r.sorted[min(int(math.Ceil(q*float64(n+1)))-1, n-1)]
}

// deviation is the standard deviation of the errors.
func (r *record) deviation() float64 {
	average, sum := r.mean(), 0.0
	for _, e := range r.errors {
		sum += (e - average) * (e - average)
	}
	return math.Sqrt(sum / float64(max(len(r.errors), 1)))
}

// meanError is the mean of the errors without their sign and without the constant part.
func (r *record) meanError() float64 {
	average, sum := r.mean(), 0.0
	for _, e := range r.errors {
		sum += math.Abs(e - average)
	}
	return sum / float64(max(len(r.errors), 1))
}

// coverage is the share of the forecasts that the quantile has covered, 1 if none is known.
func (r *record) coverage() float64 {
	if len(r.covered) < minErrors {
		return 1
	}
	n := 0
	for _, c := range r.covered {
		if c {
			n++
		}
	}
	return float64(n) / float64(len(r.covered))
}
