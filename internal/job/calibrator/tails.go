package calibrator

import (
	"math"
	"slices"
	"time"
)

// Tail is the tail latency of a long-running task in a report.
type Tail struct {
	VM, Task, Image string
	Run             int64
	Latency         float64 // in any unit, above 0
	BestEffort      float64 // share of the VM's processors that best-effort tasks use
	At              time.Time
}

// Limits of the comparison of tail latencies. A VM at a fifth of its speed is overloaded by its
// long-running tasks, and their tail latencies are limited by their queues only, so a rise says that the VM
// is slow and little about how slow.
const (
	calmRise     = 2.0                    // up to which a rise shows nothing
	fullRise     = 8.0                    // from which it shows a VM that its tasks overload
	overloadLog  = -1.4                   // logarithm of the factor of such a VM: the middle of 0.1 and 0.6
	tailSpread   = 0.35                   // standard deviation of the logarithm of the factor by such a rise
	calmSpread   = 0.2                    // the same, if nothing has risen
	fewTails     = 2                      // tasks that best-effort tasks beside them may explain
	fewSpread    = 3.0                    // factor of the spread then
	besideShare  = 0.05                   // share of the processors from which best-effort tasks may explain a rise
	tailOutlier  = 0.004                  // probability that the tails show nothing of the VM
	pastWeight   = 0.05                   // of a report in a task's past
	risenWeight  = 0.002                  // the same of a report above calmRise: the task may have changed for good
	imageWeight  = 0.05                   // of a report in the common rise of an image
	maxImageRise = 1.0                    // by which a report may count there, as a logarithm
	maxImages    = 256                    // whose common rise is kept
	minTailAge   = time.Second            // of a run, from when its past counts
	freshTail    = 900 * time.Millisecond // reports older than this say nothing of the present
)

// tail is the tail latency of a run.
type tail struct {
	past  float64 // logarithm, as usual
	rise  float64 // logarithm of the present latency against the past and against other tasks of the image
	first time.Time
	at    time.Time
}

// imageTail is the common rise of the tasks of an image: their users may send more.
type imageTail struct {
	rise  float64
	level float64 // mean of the logarithms of the latencies on sound VMs
	count int     // of reports
	at    time.Time
}

// ObserveTails adds the tail latencies of all long-running tasks of a VM by one report.
func (c *Calibrator) ObserveTails(all []Tail) {
	if len(all) == 0 {
		return
	}
	v := c.vm(all[0].VM)
	for _, t := range all {
		c.observeTail(v, t)
	}
	now := all[0].At
	var rises []float64
	for _, t := range v.tails {
		if now.Sub(t.at) < freshTail && t.at.Sub(t.first) >= minTailAge {
			rises = append(rises, t.rise)
		}
	}
	if len(rises) == 0 {
		return
	}
	before := v.tail
	v.tail = tailEvidence(rises, all[0].BestEffort, now)
	if v.tail.since = now; before.count > 0 && math.Abs(before.value-v.tail.value) < tailSpread {
		v.tail.since = before.since
	}
	v.changed = true
}

func (c *Calibrator) observeTail(v *vmState, s Tail) {
	key := runKey{s.Task, s.Run}
	t := v.tails[key]
	value := math.Log(max(s.Latency, 1e-3))
	g := c.image(s.Image)
	if t == nil {
		if len(v.tails) >= maxRunsPerVM {
			return
		}
		t = &tail{past: value, first: s.At}
		if g.count >= minLevelSamples { // the VM may be slow already
			t.past = min(value, g.level+math.Log(calmRise)/2)
		}
		v.tails[key] = t
	}
	t.at, g.at = s.At, s.At
	rise := value - t.past
	t.rise = rise - g.rise
	g.rise += imageWeight * (max(min(rise, maxImageRise), -maxImageRise) - g.rise)
	if !v.isSlow {
		g.count++
		g.level += max(imageWeight, 1/float64(g.count)) * (value - g.level)
	}
	switch {
	case v.isSlow:
	case t.rise < math.Log(calmRise):
		t.past += pastWeight * rise
	default:
		t.past += risenWeight * rise
	}
}

// image returns the common rise of an image. That of an image beyond maxImages is not kept.
func (c *Calibrator) image(name string) *imageTail {
	g := c.images[name]
	if g == nil {
		g = &imageTail{}
		if len(c.images) < maxImages {
			c.images[name] = g
		}
	}
	return g
}

// tailEvidence returns what the rises of all long-running tasks of a VM show. What slows down the VM shows in all of
// them, so the smallest counts, or the second smallest of many.
func tailEvidence(rises []float64, bestEffort float64, now time.Time) evidence {
	slices.Sort(rises)
	rise := rises[0]
	if len(rises) >= 4 {
		rise = rises[1]
	}
	e := evidence{source: tailLatency, count: len(rises), outlier: tailOutlier, at: now}
	share := (rise - math.Log(calmRise)) / (math.Log(fullRise) - math.Log(calmRise))
	share = min(max(share, 0), 1)
	e.value = share * overloadLog
	spread := calmSpread + share*(tailSpread-calmSpread)
	if share > 0 && share < 1 {
		spread = max(spread, tailSpread)
	}
	if len(rises) <= fewTails && bestEffort > besideShare && share > 0 {
		spread *= fewSpread
	}
	e.variance = spread * spread
	return e
}
