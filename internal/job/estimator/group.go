package estimator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Shape of the histograms of ratios of work to declared duration.
const (
	ratioUnit          = 1000 // a ratio of 1
	maxRatio           = 100  // longer runs count as this long
	significantFigures = 1    // ratios are kept with an error of at most a sixteenth
)

const (
	// sampleWeight is the count of a sample when it is recorded; halving fades it.
	sampleWeight = 8
	// maxCount is the total count at which a group is halved: newer samples replace those that
	// a quantile of 99 % does not need any more.
	maxCount = 4096 * sampleWeight
	// halfLife is the time after which a sample counts half. Work changes by the hour.
	halfLife    = 10 * time.Minute
	maxHalvings = 32 // after which nothing is left
)

// group is the samples of one group of tasks.
type group struct {
	done, stopped, continuing *hdrhistogram.Histogram // stopped and continuing are nil until they are needed
	support                   float64                 // number of steps whose tasks were sampled, faded
	at                        time.Time               // of the latest sample
	fadedAt                   time.Time
	curve                     *curve // nil: to be computed
	unused                    int64  // samples since the curve was computed
}

func newGroup(at time.Time) *group {
	return &group{done: newHistogram(), at: at, fadedAt: at}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRatio*ratioUnit, significantFigures)
}

// record adds a ratio to a histogram, which is created if it is nil.
func record(h **hdrhistogram.Histogram, s Sample) {
	if *h == nil {
		*h = newHistogram()
	}
	ratio := float64(s.Work) / float64(s.Declared)
	// Can't fail: the value is within the range of the histogram.
	_ = (*h).RecordValues(int64(min(max(ratio*ratioUnit, 1), maxRatio*ratioUnit)), sampleWeight)
}

func (g *group) add(s Sample) {
	g.fade(s.At)
	if s.At.After(g.at) {
		g.at = s.At
	}
	if s.Censored {
		record(&g.stopped, s)
	} else {
		record(&g.done, s)
		g.support += 1 / float64(max(s.Tasks, 1))
	}
	if g.unused++; g.unused*curveRefreshShare >= g.done.TotalCount()/sampleWeight {
		g.curve = nil
	}
}

// curveRefreshShare is the inverse of the share of new samples after which the curve is computed
// anew.
const curveRefreshShare = 16

func (g *group) addContinuing(s Sample) {
	record(&g.continuing, s)
	g.curve = nil
}

func (g *group) resetContinuing() {
	if g.continuing != nil && g.continuing.TotalCount() > 0 {
		g.continuing.Reset()
		g.curve = nil
	}
}

// fade halves the counts for each half-life since they were last halved, and if there are more
// samples than needed.
func (g *group) fade(now time.Time) {
	n := min(int(now.Sub(g.fadedAt)/halfLife), maxHalvings)
	if n > 0 {
		g.fadedAt = g.fadedAt.Add(time.Duration(n) * halfLife)
		if n == maxHalvings {
			g.fadedAt = now
		}
	}
	if g.done.TotalCount() >= maxCount || g.stopped != nil && g.stopped.TotalCount() >= maxCount {
		n++
	}
	if n <= 0 {
		return
	}
	g.done, g.stopped = halved(g.done, n), halved(g.stopped, n)
	g.support /= float64(int64(1) << n)
	g.curve = nil
}

func halved(h *hdrhistogram.Histogram, times int) *hdrhistogram.Histogram {
	if h == nil {
		return nil
	}
	s := h.Export()
	for i := range s.Counts {
		s.Counts[i] >>= times
	}
	return hdrhistogram.Import(s)
}

// merge adds the counts of a group that another owner has learned. Of both, the counts of the group
// with the older samples fade first.
func (g *group) merge(o *group) {
	g.fade(o.at)
	o.fade(g.at)
	for _, p := range []struct{ to, from **hdrhistogram.Histogram }{{&g.done, &o.done}, {&g.stopped, &o.stopped}} {
		if *p.to == nil {
			*p.to = *p.from
		} else if *p.from != nil {
			(*p.to).Merge(*p.from) // drops no counts: both have the same shape
		}
	}
	g.support += o.support
	if o.at.After(g.at) {
		g.at = o.at
	}
	g.curve = nil
}

// survival returns the curve of the group.
func (g *group) survival() *curve {
	if g.curve == nil {
		g.curve, g.unused = newCurve(countsOf(g.done), countsOf(g.stopped), countsOf(g.continuing)), 0
	}
	return g.curve
}

// countsOf returns the histogram's bars; none if it is nil.
func countsOf(h *hdrhistogram.Histogram) []hdrhistogram.Bar {
	if h == nil {
		return nil
	}
	return h.Distribution()
}
