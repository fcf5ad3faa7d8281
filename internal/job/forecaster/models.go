package forecaster

import "math"

// model is a way to predict the peak of the demand within the horizon.
type model int

const (
	lastValue model = iota // the present demand goes on
	level                  // the level and its damped trend go on
	seasonal               // the demand of the last period repeats, shifted by the difference of levels
	models    = 3          // number of them
)

func (m model) String() string { return [models]string{"last-value", "trend", "period"}[m] }

const (
	// modelChange is how much less the error of another model must be for it to be used.
	modelChange = 0.9
	// scoreWeight is the weight of the latest error in the score of a model, which remembers the errors
	// of some ten seconds.
	scoreWeight = 0.025
	// minScores is the number of errors from which a model may be used.
	minScores = 2 * horizonSamples
)

// score holds the mean and the variance of the relative errors of a model. A constant error
// costs nothing: forecasts are corrected by it.
type score struct {
	count          int
	mean, variance float64
}

func (s *score) add(e float64) {
	s.count++
	weight := max(scoreWeight, 1/float64(s.count))
	d := e - s.mean
	s.mean += weight * d
	s.variance = (1 - weight) * (s.variance + weight*d*d)
}

func (s *score) known() bool { return s.count >= minScores }

func (s *score) deviation() float64 { return math.Sqrt(s.variance) }

// Weights of the smoothing of level and trend, each sample.
const (
	levelWeight  = 0.4
	trendWeight  = 0.1
	trendDamping = 0.9
)

// trend smooths the level and the trend of the demand (Holt's method with a damped trend).
type trend struct {
	started     bool
	level, rise float64
}

func (t *trend) add(v float64) {
	if !t.started {
		t.started, t.level = true, v
		return
	}
	expected := t.level + trendDamping*t.rise
	before := t.level
	t.level = expected + levelWeight*(v-expected)
	t.rise = trendDamping*t.rise + trendWeight*(t.level-before-trendDamping*t.rise)
}

// peak returns the highest level within the horizon.
func (t *trend) peak() float64 {
	sum, factor := 0.0, 1.0
	for range horizonSamples {
		factor *= trendDamping
		sum += factor
	}
	return t.level + max(t.rise, 0)*sum
}

// mean returns the mean level within the horizon.
func (t *trend) mean() float64 {
	sum, rise, factor := 0.0, 0.0, 1.0
	for range horizonSamples {
		factor *= trendDamping
		rise += factor * t.rise
		sum += rise
	}
	return max(t.level+sum/float64(horizonSamples), 0)
}

// predictions returns what each model predicts.
func (h *history) predictions() (by [models]float64) {
	by[lastValue] = h.samples[len(h.samples)-1]
	by[level] = h.trend.peak()
	by[seasonal] = math.NaN()
	if h.period > 0 {
		by[seasonal] = h.repeated()
	}
	return by
}

// levelSamples is the number of samples of which the mean is compared between two periods.
const levelSamples = 8

// repeated returns the peak of the next samples of one period ago, shifted by how much the level has
// changed since. Samples are smoothed, as their noise does not repeat.
func (h *history) repeated() float64 {
	n := len(h.samples)
	start := n - h.period
	if start < levelSamples {
		return math.NaN()
	}
	shift := mean(h.samples[n-levelSamples:]) - mean(h.samples[start-levelSamples:start])
	peak := math.Inf(-1)
	for i := start; i < start+horizonSamples && i < n; i++ {
		peak = max(peak, mean(h.samples[i-1:min(i+2, n)]))
	}
	return max(peak+shift, 0)
}

// expectedLevel returns the mean demand within the horizon by the model in use.
func (h *history) expectedLevel() float64 {
	n := len(h.samples)
	start := n - h.period
	if h.model != seasonal || h.period == 0 || start < levelSamples {
		return h.trend.mean()
	}
	shift := mean(h.samples[n-levelSamples:]) - mean(h.samples[start-levelSamples:start])
	return max(mean(h.samples[start:min(start+horizonSamples, n)])+shift, 0)
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}
