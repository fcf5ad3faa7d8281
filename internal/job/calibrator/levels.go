package calibrator

import (
	"cmp"
	"slices"
	"time"
)

// Limits of what is known of similar runs.
const (
	priorSpread     = 0.8  // of the logarithm of the rates of a kind, until it is learned
	priorWithin     = 0.3  // of those of a step
	minSpread       = 0.12 // lower bound for a learned spread
	levelWeight     = 0.04 // of a run in mean and variance
	maxSquare       = 6    // greatest square of a deviation that counts, in variances
	minLevelSamples = 8
	maxKinds        = 100 // of which levels are kept
	maxSteps        = 512
	maxStepVMs      = 16 // of a step whose rates are kept: more say little more
	stepMaxAge      = 20 * time.Second
)

// kind identifies runs whose declared durations are comparable.
type kind struct{ queue, image string }

// level is the distribution of the logarithm of the rates of similar runs on sound VMs.
type level struct {
	mean   float64
	square float64 // variance
	count  float64
	at     time.Time
}

func newLevel(spread float64) level { return level{square: spread * spread} }

func (l *level) add(value float64, at time.Time) {
	weight := max(levelWeight, 1/(l.count+1))
	d := value - l.mean
	if l.count == 0 {
		l.mean, d = value, 0
	} else {
		l.mean += weight * d
		l.addSquare(min(d*d, maxSquare*l.square)) // a few runs take many times as long
	}
	l.count, l.at = l.count+1, at
}

func (l *level) addSquare(square float64) {
	l.square += levelWeight * (square - l.square)
}

func (l *level) variance() float64 { return max(l.square, minSpread*minSpread) }

// stepLevel holds the rates of the runs of a step, by VM.
type stepLevel struct {
	vms map[string]sums
	at  time.Time
}

type sums struct{ count, sum float64 }

// addToLevels adds the rate of a run to those of its step and kind. Runs on slow VMs are left out: an
// error of the VM's speed would become one of the level.
func (c *Calibrator) addToLevels(vm string, r *run) {
	rate := r.own
	if elsewhere, _, ok := c.stepRateElsewhere(r.step, vm); ok {
		d := rate - elsewhere
		c.within.addSquare(min(d*d, maxSquare*c.within.square))
	}
	l := c.kinds[r.kind]
	if l == nil {
		if len(c.kinds) >= maxKinds {
			c.dropOldestKind()
		}
		n := newLevel(priorSpread)
		l = &n
		c.kinds[r.kind] = l
	}
	l.add(rate, r.at)
	st := c.steps[r.step]
	if st == nil {
		if len(c.steps) >= maxSteps {
			return
		}
		st = &stepLevel{vms: make(map[string]sums)}
		c.steps[r.step] = st
	}
	n, known := st.vms[vm]
	if !known && len(st.vms) >= maxStepVMs {
		return
	}
	st.vms[vm], st.at = sums{n.count + 1, n.sum + rate}, r.at
}

// stepRateElsewhere returns the mean rate of the runs of a step on other VMs, and the variance of
// what it says of another run.
func (c *Calibrator) stepRateElsewhere(step, vm string) (mean, variance float64, ok bool) {
	st := c.steps[step]
	if st == nil {
		return 0, 0, false
	}
	// The mean of the VMs in the middle: one of them may be slow and not known to be.
	var buffer [maxStepVMs]float64
	means := buffer[:0]
	for name, n := range st.vms {
		if name != vm {
			means = append(means, n.sum/n.count)
		}
	}
	if len(means) == 0 {
		return 0, 0, false
	}
	slices.Sort(means)
	mean = (means[(len(means)-1)/2] + means[len(means)/2]) / 2
	return mean, c.within.variance() * (1 + 1/float64(len(means))), true
}

func (c *Calibrator) dropOldestKind() {
	var oldest kind
	first := true
	for k, l := range c.kinds {
		if first || l.at.Before(c.kinds[oldest].at) || l.at.Equal(c.kinds[oldest].at) && cmp.Or(cmp.Compare(k.queue, oldest.queue), cmp.Compare(k.image, oldest.image)) < 0 {
			oldest, first = k, false
		}
	}
	delete(c.kinds, oldest)
}

func (c *Calibrator) expireLevels(now time.Time) {
	for name, st := range c.steps {
		if now.Sub(st.at) > stepMaxAge {
			delete(c.steps, name)
		}
	}
	for name, t := range c.images {
		if now.Sub(t.at) > stepMaxAge {
			delete(c.images, name)
		}
	}
}
