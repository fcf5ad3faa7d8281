package calibrator

import (
	"math"
	"slices"
	"time"
)

// Limits of the measurement of a run's rate of progress.
const (
	minSegment      = 150 * time.Millisecond // shorter times have errors of their own size
	minSteps        = 2.5                    // of the resolution, in a segment
	minExpected     = 4.0                    // steps that a sound VM would have done in a segment with fewer
	minShift        = 0.5                    // of a run's own rate that shows a change, as a logarithm
	timingError     = 25 * time.Millisecond  // of the time between two reports
	rateNoise       = 0.08                   // standard deviation of the logarithm of a rate
	shareNoise      = 0.5                    // the same, for each unit of the logarithm of a share of processors: shares are means over another time than rates
	ownDrift        = 0.1                    // the same, of a run's own rate between segments
	fullShare       = 0.8                    // of the requested processors, below which runs of a VM compete
	competingNoise  = 0.35                   // standard deviation of the logarithm of the rates of all competing runs of a VM together
	severalRuns     = 3                      // that don't all slow down by themselves
	outlierReserved = 0.01                   // probability that a run slows down by itself
	outlierShared   = 0.03                   // the same, of a run that uses idle processors
	outlierLevel    = 0.05                   // probability that a run takes many times as long as others of its step or kind, by the time that it runs
	outlierShift    = 1.0                    // by which such a run is slower, as a logarithm
	maxRunsPerVM    = 48                     // of which progress is kept
)

type runKey struct {
	task string
	run  int64
}

// run is the progress of a run.
type run struct {
	step       string
	kind       kind
	work, took time.Duration // of the segment that is being measured
	shares     float64       // sum of the segment's shares, weighted with their time
	own        float64       // logarithm of its rate on a sound VM, by its earlier segments
	ownError   float64       // variance of own
	basis      float64       // logarithm of the speed of its VM then
	known      bool          // own is set
	counted    bool          // it is part of the levels
	odd        bool          // it takes much longer than others of its step or kind, on a VM where others don't
	latest     evidence      // by its latest segment
	stalled    evidence      // by the time without progress since
	rate       float64       // logarithm of the rate of its latest segment
	variance   float64       // of rate
	pending    bool          // rate is not part of own yet
	at         time.Time
}

// Observe adds a sample.
func (c *Calibrator) Observe(s Sample) {
	if s.Resolution <= 0 || s.Took <= 0 {
		return
	}
	v := c.vm(s.VM)
	key := runKey{s.Task, s.Run}
	r := v.runs[key]
	if r == nil {
		if len(v.runs) >= maxRunsPerVM {
			return
		}
		r = &run{step: s.Step, kind: kind{s.Queue, s.Image}}
		v.runs[key] = r
	}
	r.at = s.At
	if s.Work <= 0 {
		c.observeNoProgress(s, v, r)
		return
	}
	r.work, r.took, r.stalled = r.work+s.Work, r.took+s.Took, evidence{}
	r.shares += s.Share * s.Took.Seconds()
	share := r.shares / r.took.Seconds()
	steps := float64(r.work) / float64(s.Resolution)
	if r.took < minSegment || steps < minSteps && !c.expectedMore(s, r, share) {
		return
	}
	rate := math.Log(r.work.Seconds() / r.took.Seconds() / share)
	variance := segmentVariance(1/steps, r.took, share)
	r.latest = c.compare(s.VM, r, rate, variance, share)
	r.latest.at, r.latest.since, r.latest.competing = s.At, s.At.Add(-r.took), s.Competing || share < fullShare
	r.rate, r.variance, r.pending, v.changed = rate, variance, true, true
	r.work, r.took, r.shares = 0, 0, 0
}

// expectedMore reports whether the run would have made enough progress for a measurement on a sound VM.
func (c *Calibrator) expectedMore(s Sample, r *run, share float64) bool {
	e := c.expected(s.VM, r)
	return e.variance > 0 && math.Exp(e.value)*share*r.took.Seconds() > minExpected*s.Resolution.Seconds()
}

// segmentVariance is the variance of the logarithm of a rate by the resolution of the progress, the
// times of the reports and the share of processors.
func segmentVariance(resolution float64, took time.Duration, share float64) float64 {
	steps, timing := 0.4*resolution, float64(timingError)/float64(took)
	shared := shareNoise * math.Log(share)
	return steps*steps + timing*timing + rateNoise*rateNoise + shared*shared
}

// compare returns what the rate of a segment shows, by the run's own earlier rate if that has changed, otherwise by
// those of similar runs: that a rate has not changed says nothing of a VM that was slow before.
func (c *Calibrator) compare(vm string, r *run, rate, variance, share float64) evidence {
	if r.known && math.Abs(rate-r.own-r.basis) > minShift {
		return evidence{source: ownRate, value: rate - r.own, variance: variance + r.ownError, outlier: outlierOf(share)}
	}
	e := c.levelOf(vm, r)
	if e.variance == 0 || r.odd {
		return evidence{}
	}
	e.value, e.variance, e.outlier = rate-e.value, e.variance+variance, outlierLevel
	return e
}

// learn updates the run's own rate and the levels of similar runs, by the speed that the VM has.
func (c *Calibrator) learn(vm string, v *vmState, r *run) {
	sound, variance := r.rate, r.variance+unknown*unknown
	if !v.at.IsZero() {
		sound, variance = r.rate-v.mean, r.variance+v.spread*v.spread
	}
	if !r.known {
		r.own, r.ownError, r.basis, r.known = sound, variance, v.mean, true
	} else {
		r.ownError += ownDrift * ownDrift
		gain := r.ownError / (r.ownError + variance)
		r.own += gain * (sound - r.own)
		r.basis += gain * (v.mean - r.basis)
		r.ownError *= 1 - gain
	}
	if e := r.latest; !v.isSlow && e.variance > 0 && e.source != ownRate && e.value < -outlierShift {
		r.odd = v.sound > certain && v.hasSoundEvidence()
	}
	if !r.counted && !v.isSlow {
		r.counted = true
		c.addToLevels(vm, r)
	}
}

// hasSoundEvidence reports whether a run of the VM shows that it is not slow.
func (v *vmState) hasSoundEvidence() bool {
	for _, r := range v.runs {
		if r.latest.variance > 0 && r.latest.value > -minShift && v.at.Sub(r.latest.at) <= maxLag {
			return true
		}
	}
	return false
}

// observeNoProgress records that a run has done at most a step of the resolution in the time since
// its progress last changed. That shows nothing unless it should have done more.
func (c *Calibrator) observeNoProgress(s Sample, v *vmState, r *run) {
	if s.Took < minSegment {
		return
	}
	e := c.expected(s.VM, r)
	if e.variance == 0 {
		return
	}
	e.value = math.Log((r.work+s.Resolution).Seconds()/(r.took+s.Took).Seconds()/s.Share) - e.value
	if e.value > v.mean-minShift { // it could not have shown a change
		return
	}
	e.variance += segmentVariance(1, r.took+s.Took, s.Share)
	e.source, e.upper, e.at, e.since, e.competing = noProgress, true, s.At, s.At.Add(-s.Took), s.Competing || s.Share < fullShare
	r.stalled, v.changed = e, true
}

// outlierOf is the probability that a run's rate shows nothing of its VM.
func outlierOf(share float64) float64 {
	if share < 0.95 {
		return outlierShared
	}
	return outlierReserved
}

// expected returns what the run's rate would be on a sound VM: value is its logarithm, variance 0 if nothing is known.
func (c *Calibrator) expected(vm string, r *run) evidence {
	e := c.levelOf(vm, r)
	if r.known && r.odd {
		e.variance = 0
	}
	if r.known && (e.variance == 0 || r.ownError < e.variance) {
		return evidence{value: r.own, variance: r.ownError, outlier: outlierReserved}
	}
	e.outlier = outlierLevel
	return e
}

// levelOf returns the same by similar runs.
func (c *Calibrator) levelOf(vm string, r *run) evidence {
	if mean, variance, ok := c.stepRateElsewhere(r.step, vm); ok {
		return evidence{source: stepRate, value: mean, variance: variance}
	}
	if l := c.kinds[r.kind]; l != nil && l.count >= minLevelSamples {
		return evidence{source: kindRate, value: l.mean, variance: l.variance()}
	}
	return evidence{}
}

// evidenceOf returns the present evidence of a VM, weakened by its age. The runs of a step whose rate is
// compared with that of their kind share its error, and count together as one; so do the runs that compete for idle
// processors, whose shares are measured together.
func evidenceOf(v *vmState, now time.Time) (all []evidence) {
	var latest time.Time
	add := func(e evidence) {
		if e.variance > 0 && now.Sub(e.at) <= maxAge {
			all = append(all, e)
			if e.at.After(latest) {
				latest = e.at
			}
		}
	}
	shared := make(map[string][]evidence)
	var competing []evidence
	for _, r := range v.runs {
		e := r.latest
		if r.stalled.variance > 0 {
			e = r.stalled
		}
		switch {
		case e.variance == 0 || now.Sub(e.at) > maxAge:
		case e.competing:
			competing = append(competing, e)
		case e.source == kindRate:
			shared[r.step] = append(shared[r.step], e)
		default:
			add(e)
		}
	}
	for _, group := range shared {
		add(mean(group))
	}
	if len(competing) > 0 {
		e := mean(competing)
		e.variance += competingNoise * competingNoise
		if len(competing) >= severalRuns {
			e.outlier = outlierReserved
		}
		add(e)
	}
	add(v.tail)
	all = slices.DeleteFunc(all, func(e evidence) bool { return latest.Sub(e.at) > maxLag })
	for i := range all {
		age := now.Sub(all[i].at)
		if all[i].source == tailLatency { // unlike a run, the VM shows them in each report
			age -= reportAge
		}
		age = max(age, 0)
		all[i].variance += drift(age)
		all[i].outlier = min(all[i].outlier+stalePerSec*age.Seconds(), 1)
	}
	return all
}

// mean returns the mean of evidence with a common error.
func mean(group []evidence) evidence {
	m := group[0]
	m.count, m.value = len(group), 0
	for _, e := range group {
		m.value += e.value / float64(len(group))
		m.variance = min(m.variance, e.variance)
		if e.at.After(m.at) {
			m.at = e.at
		}
		if e.since.After(m.since) {
			m.since = e.since
		}
	}
	return m
}

// SoundRate returns how much declared work a run does in a second on a sound VM, by its own earlier
// progress.
func (c *Calibrator) SoundRate(vm, task string, number int64) (rate float64, known bool) {
	if c == nil || c.vms[vm] == nil {
		return 0, false
	}
	r := c.vms[vm].runs[runKey{task, number}]
	if r == nil || !r.known {
		return 0, false
	}
	return math.Exp(r.own), true
}
