package forecaster

import (
	"math"
	"time"
)

// releaseTime is the time constant with which a reserve falls after a peak. Bursts of arrivals follow
// each other by a second or two, and each task that yields again is unavailable for some seconds.
const releaseTime = 2 * time.Second

// periodInterval is the number of samples between two searches for a period.
const periodInterval = horizonSamples

// history holds the samples of a queue and the forecasts made from them.
type history struct {
	at        time.Time // of the latest observation
	next      time.Time // of the next sample
	last      Demand    // latest observation
	samples   []float64 // latest last, at most maxSamples
	seen      int       // number of samples so far
	trend     trend
	period    int     // in samples; 0: none
	candidate int     // period that the last search has found
	latest    issued  // latest forecast
	reserve   float64 // Upper of the latest forecasts, falls slowly
	pending   []issued
	scores    [models]score
	record    record
	model     model
	fresh     []float64 // errors that TakeErrors has not returned yet
}

// issued is a forecast that was made and whose error is not known yet.
type issued struct {
	by    [models]float64 // peak that each model predicts; NaN: it predicts none
	used  model
	raw   float64 // of the model that was used
	scale float64 // that errors are relative to
	level float64
	mean  float64
	upper float64
}

func newHistory() *history { return &history{} }

// observe adds an observation. Samples are taken at fixed times, between two observations in
// proportion to the time.
func (h *history) observe(d Demand, now time.Time) {
	if h.next.IsZero() {
		h.at, h.next, h.last = now, now, d
	}
	before, since := h.last.CPUMillis, now.Sub(h.at)
	for ; !h.next.After(now); h.next = h.next.Add(SampleInterval) {
		share := 1.0
		if since > 0 {
			share = float64(h.next.Sub(h.at)) / float64(since)
		}
		h.add(before + share*(d.CPUMillis-before))
	}
	if d.Task.CPUMillis == 0 {
		d.Task = h.last.Task // no task is open now
	}
	h.at, h.last = now, d
}

// add adds a sample, scores the forecast whose horizon ends with it, and makes the next one.
func (h *history) add(v float64) {
	if len(h.samples) == maxSamples {
		copy(h.samples, h.samples[1:])
		h.samples = h.samples[:maxSamples-1]
	}
	h.samples = append(h.samples, v)
	h.seen++
	h.trend.add(v)
	if len(h.pending) == horizonSamples {
		h.score(h.pending[0])
		h.pending = append(h.pending[:0], h.pending[1:]...)
	}
	if h.seen%periodInterval == 0 {
		h.updatePeriod()
	}
	h.latest = h.issue(v)
	h.pending = append(h.pending, h.latest)
	decay := math.Exp(-SampleInterval.Seconds() / releaseTime.Seconds())
	h.reserve = max(h.latest.upper, h.latest.upper+(h.reserve-h.latest.upper)*decay)
}

// score compares a forecast with the highest demand within its horizon.
func (h *history) score(f issued) {
	peak := maxOf(h.samples[len(h.samples)-horizonSamples:])
	if f.raw < float64(h.last.Task.CPUMillis) {
		return // relative to no demand, each error is infinite
	}
	for m, predicted := range f.by {
		if !math.IsNaN(predicted) {
			h.scores[m].add(min((peak-predicted)/f.scale, maxError))
		}
	}
	h.record.add((peak-f.raw)/f.scale, peak <= f.upper)
	if h.fresh = append(h.fresh, peak-f.mean); len(h.fresh) > maxErrors {
		h.fresh = h.fresh[1:]
	}
}

// issue makes a forecast by the model with the least error so far.
func (h *history) issue(present float64) issued {
	f := issued{by: h.predictions(), used: lastValue}
	h.model = h.bestModel(f.by)
	f.used, f.raw = h.model, max(f.by[h.model], 0)
	f.scale = max(f.raw, float64(h.last.Task.CPUMillis), 1)
	f.level = h.expectedLevel()
	f.mean = max(f.raw+h.record.mean()*f.scale, 0)
	f.upper = max(f.raw+h.record.quantile(Quantile)*f.scale, f.mean, present)
	return f
}

// bestModel returns the model with the least error. The model in use is kept unless another is
// clearly better.
func (h *history) bestModel(predicted [models]float64) model {
	best := h.model
	if math.IsNaN(predicted[best]) {
		best = lastValue
	}
	for m := lastValue; m < models; m++ {
		if !math.IsNaN(predicted[m]) && h.scores[m].known() && h.scores[m].deviation() < modelChange*h.scores[best].deviation() {
			best = m
		}
	}
	return best
}

func (h *history) forecast() Forecast {
	f := h.latest
	return Forecast{
		Level: f.level, Mean: f.mean, Error: h.record.deviation() * f.scale, Upper: f.upper, Reserve: max(h.reserve, h.last.CPUMillis), Present: h.last.CPUMillis, Task: h.last.Task,
		Model: f.used.String(), Period: time.Duration(h.period) * SampleInterval, Forecasts: h.record.count(),
		MeanError: h.record.meanError(), Coverage: h.record.coverage(),
		Trusted: h.record.meanError() <= maxMeanError && h.record.coverage() >= minCoverage,
	}
}

func maxOf(values []float64) float64 {
	highest := values[0]
	for _, v := range values[1:] {
		highest = max(highest, v)
	}
	return highest
}
