package forecaster

import "math"

// Limits of the search for a period.
const (
	// minPeriod is the shortest period of use: within the horizon, a shorter one has its peak always.
	minPeriod = 2 * horizonSamples
	// minCycles is how many times a period must have been seen.
	minCycles = 2
	// minCorrelation is the least autocorrelation at the period.
	minCorrelation = 0.4
	// significance is how many standard errors the autocorrelation of samples without a period must be
	// exceeded by. Some twenty independent lags are compared, so it is more than the usual two.
	significance = 4
	// samePeriod is the largest relative difference of periods that are the same.
	samePeriod = 0.1
	// multipleShare is the share of the highest autocorrelation that a shorter lag must reach to be the
	// period of which the highest is a multiple.
	multipleShare = 0.85
)

// updatePeriod searches for the period anew. A period counts once two searches in a row have found
// it.
func (h *history) updatePeriod() {
	found := findPeriod(h.samples)
	h.period, h.candidate = confirmed(found, h.candidate), found
}

func confirmed(found, before int) int {
	if found == 0 || before == 0 || float64(max(found, before)-min(found, before)) > samePeriod*float64(before) {
		return 0
	}
	return found
}

// findPeriod returns the lag with the highest autocorrelation, in samples, or 0 if the samples have
// no period.
func findPeriod(samples []float64) int {
	n := len(samples)
	longest := n / minCycles
	if longest < minPeriod {
		return 0
	}
	values := detrended(smoothed(samples))
	variance := correlation(values, 0)
	if variance <= 0 {
		return 0
	}
	r := make([]float64, longest+1)
	fallen := false // below zero: a lag before that is part of the first peak
	best := 0
	squares := 0.0 // of the autocorrelations of the first peak
	for lag := 1; lag <= longest; lag++ {
		r[lag] = correlation(values, lag) / variance
		if fallen = fallen || r[lag] < 0; !fallen {
			squares += r[lag] * r[lag]
		}
		if fallen && lag >= minPeriod && lag < longest && (best == 0 || r[lag] > r[best]) {
			best = lag
		}
	}
	if best == 0 || r[best] < leastCorrelation(squares, n-best) || r[best+1] > r[best] {
		return 0
	}
	for lag := minPeriod; lag < best; lag++ {
		if r[lag] >= multipleShare*r[best] && r[lag] >= r[lag-1] && r[lag] >= r[lag+1] {
			return lag
		}
	}
	return best
}

// leastCorrelation returns the autocorrelation that a period must have. The standard error is that of
// samples without a period (Bartlett's formula): the longer their noise lasts, the greater it is.
func leastCorrelation(squares float64, pairs int) float64 {
	return max(minCorrelation, min(significance*math.Sqrt((1+2*squares)/float64(pairs)), 0.9))
}

// correlation returns the mean product of values that are lag samples apart.
func correlation(values []float64, lag int) float64 {
	sum := 0.0
	for i, v := range values[lag:] {
		sum += v * values[i]
	}
	return sum / float64(len(values)-lag)
}

// smoothed returns the means over a second.
func smoothed(samples []float64) []float64 {
	const width = 4
	out := make([]float64, 0, len(samples))
	sum := 0.0
	for i, v := range samples {
		sum += v
		if i >= width {
			sum -= samples[i-width]
		}
		out = append(out, sum/float64(min(i+1, width)))
	}
	return out
}

// detrended returns the values less the straight line that fits them best.
func detrended(values []float64) []float64 {
	n := float64(len(values))
	center, average := (n-1)/2, mean(values)
	product, square := 0.0, 0.0
	for i, v := range values {
		d := float64(i) - center
		product += d * (v - average)
		square += d * d
	}
	slope := product / max(square, 1)
	for i := range values {
		values[i] -= average + slope*(float64(i)-center)
	}
	return values
}
