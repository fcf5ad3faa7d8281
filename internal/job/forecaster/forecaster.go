// Package forecaster predicts how many processors the urgent tasks of each queue will need in the
// next seconds, from the queue's own past: level, trend and period. It answers waves and bursts of
// urgent work on a fleet that other work fills. It uses no clock and is not safe for concurrent use.
package forecaster

import (
	"time"

	"bamboospread/internal/job/specifier"
)

// Settings of forecasts.
const (
	// SampleInterval is the time between two samples of the demand.
	SampleInterval = 250 * time.Millisecond
	// Horizon is how far forecasts reach: a long-running task that yields frees its processors
	// within a second, and the next forecasts must not find the demand of the second after it met
	// by nothing.
	Horizon = 2 * time.Second
	// Quantile is the share of forecasts that the demand must not exceed. Of urgent tasks, one in
	// twenty may have to wait until a long-running task has yielded.
	Quantile = 0.95
	// maxMeanError is the mean relative error up to which forecasts are used: with more, room of the
	// size of half the demand would be kept or missed all the time.
	maxMeanError = 0.5
	// minCoverage is the share of forecasts that the quantile must have covered for forecasts to be
	// used.
	minCoverage = 0.75

	horizonSamples = int(Horizon / SampleInterval)
	maxSamples     = 480 // of a queue: two minutes
	// maxGap is the longest time between two observations that are part of one history. The owner
	// observes four times a second; after a longer gap it has stood still or its clock has jumped.
	maxGap = time.Second
	// expiry is how long the history of a queue is kept after its last observation.
	expiry = 10 * time.Second
	// maxQueues bounds the memory.
	maxQueues = 64
)

// Demand is what the urgent tasks of a queue hold and wait for.
type Demand struct {
	CPUMillis float64             // thousandths of a core
	Task      specifier.Resources // of a task in the mean
}

// Forecast is the predicted demand of urgent tasks, in thousandths of a core.
type Forecast struct {
	Level   float64 // mean demand within the horizon
	Mean    float64 // of the highest demand within the horizon
	Error   float64 // standard deviation, from the forecaster's own earlier errors
	Upper   float64 // Quantile of the highest demand within the horizon
	Reserve float64 // as Upper, but falls slowly after a peak
	Present float64 // latest observation

	Task      specifier.Resources // of an urgent task in the mean
	Model     string              // that was used
	Period    time.Duration       // of the demand; zero: none was found
	Forecasts int                 // whose errors are known
	MeanError float64             // mean relative error, without sign
	Coverage  float64             // share of the forecasts that Upper has covered
	// Trusted reports whether the recent forecasts were good enough for decisions that cost others.
	Trusted bool
}

// Forecaster holds the measured demand.
type Forecaster struct{ queues map[string]*history }

// New returns a Forecaster that knows nothing.
func New() *Forecaster { return &Forecaster{queues: make(map[string]*history)} }

// Observe adds the present demand of a queue.
func (f *Forecaster) Observe(queue string, d Demand, now time.Time) {
	h := f.queues[queue]
	if h == nil || now.Before(h.at) || now.Sub(h.at) > maxGap {
		f.forget(now)
		if h == nil && len(f.queues) >= maxQueues {
			return
		}
		h = newHistory()
		f.queues[queue] = h
	}
	h.observe(d, now)
}

// forget drops the queues that have not been observed for long.
func (f *Forecaster) forget(now time.Time) {
	for name, h := range f.queues {
		if now.Sub(h.at) > expiry || now.Before(h.at) {
			delete(f.queues, name)
		}
	}
}

// Queues returns the number of queues with a history.
func (f *Forecaster) Queues() int { return len(f.queues) }

// Forecast returns the highest demand of a queue within the horizon, which is Horizon at most. ok is
// false while too little is known; a nil Forecaster knows nothing.
func (f *Forecaster) Forecast(queue string, now time.Time, horizon time.Duration) (forecast Forecast, ok bool) {
	if f == nil || horizon > Horizon {
		return Forecast{}, false
	}
	h := f.queues[queue]
	if h == nil || now.Before(h.at) || now.Sub(h.at) > maxGap || h.record.count() < minErrors {
		return Forecast{}, false
	}
	return h.forecast(), true
}

// TakeErrors returns the errors of the forecasts of a queue that have become known since the last
// call, as observed less predicted demand in thousandths of a core.
func (f *Forecaster) TakeErrors(queue string) []float64 {
	if f == nil || f.queues[queue] == nil {
		return nil
	}
	h := f.queues[queue]
	taken := h.fresh
	h.fresh = nil
	return taken
}
