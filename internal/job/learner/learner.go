// Package learner estimates how much each best-effort image interferes with each long-running
// image.
//
// The quantity estimated is headroom: the target of a long-running task divided by its tail
// latency, so 1 is at the target and more is better. Like the idle share of a server with a
// queue, headroom falls about linearly with load, whereas the tail latency itself stays flat
// and then rises steeply. Therefore effects add up in headroom and can be separated, and
// interference is visible well before the target is missed.
//
// The headroom of a long-running task is its own headroom, which varies with the load of its
// users, minus what the best-effort images on the same VM cost it. Tasks of one step share the
// load of their users, so their own headroom is estimated from all of them together. The cost
// of a best-effort image is estimated per pair of images, in headroom for a whole VM used by
// its tasks.
package learner

import (
	"math"
	"sort"
	"time"
)

// Parameters of the estimates. About one pair of images in five costs 8 to 13 of headroom for
// a whole VM, the others 0.5 to 2. Reports deviate by about 0.25 from the sum of own headroom
// and interference.
const (
	// defaultEffect and defaultSpread are assumed for a pair without reports: the mean over
	// all pairs and the standard deviation between them.
	defaultEffect = 2.5
	defaultSpread = 3.0
	// reportNoise is the standard deviation of a report from its prediction, in headroom.
	reportNoise = 0.3
	// effectDrift is the standard deviation of the change of an effect between two reports.
	// With it an effect that is wrong by 8 is corrected within about 20 reports.
	effectDrift = 0.2
	// cautionFactor is how many standard deviations a cautious effect is above the mean. It
	// prevents more than one or two tasks of an unknown image from starting on a VM at once.
	cautionFactor = 0.5
	// minUse is the share of a VM below which the use of an image says nothing about its
	// effect.
	minUse = 0.01
	// saturatedHeadroom is the headroom below which a report gives only a lower bound of the
	// interference: queues have built up, and they drain only after the cause has ended.
	saturatedHeadroom = 0.25
	// maxHeadroom caps the headroom of a report: tails of 1 ms would get too much weight.
	maxHeadroom = 4.5
	// priorWeight is the weight of the mean over all pairs, in reports: the prior effect of a
	// best-effort image averages this mean with the image's reports on other long-running
	// images.
	priorWeight = 20.0
)

// Use is the share of a VM's processors that the tasks of each best-effort image use.
type Use map[string]float64

// Observation is a report on a long-running task.
type Observation struct {
	Group    string // long-running tasks that serve the same users
	Image    string // of the long-running task
	Headroom float64
	Use      Use // of the best-effort images on the same VM, over the period of the report
	At       time.Time
}

// effect is the estimated effect of a best-effort image on a long-running image.
type effect struct {
	mean, variance float64
	at             time.Time // of the last report
}

// imageMean is the mean effect of a best-effort image over all long-running images.
type imageMean struct{ value, reports float64 }

// Learner holds the estimates. It is not safe for concurrent use.
type Learner struct {
	effects map[string]map[string]*effect // by long-running image, then best-effort image
	means   map[string]*imageMean         // by best-effort image
	groups  map[string]*group
}

// New returns a Learner without any observations.
func New() *Learner {
	return &Learner{effects: make(map[string]map[string]*effect), means: make(map[string]*imageMean), groups: make(map[string]*group)}
}

// Observe updates the estimates from a report.
func (l *Learner) Observe(o Observation) {
	headroom := math.Min(o.Headroom, maxHeadroom)
	predictedLoss, predictionVariance := 0.0, 0.0
	for image, use := range o.Use {
		if use >= minUse {
			e := l.pairEffect(o.Image, image)
			predictedLoss += e.mean * use
			predictionVariance += e.variance * use * use
		}
	}
	g := l.group(o.Group, o.At)
	g.advance(o.At)
	l.updateEffects(o, headroom, g.own-headroom-predictedLoss, predictionVariance)
	if headroom > saturatedHeadroom {
		g.observe(headroom+predictedLoss, predictionVariance)
	}
}

// updateEffects corrects the effects of the images in use by the residual between the report
// and its prediction, each in proportion to its uncertainty and to its use of the VM.
func (l *Learner) updateEffects(o Observation, headroom, residual, predictionVariance float64) {
	if predictionVariance == 0 || headroom <= saturatedHeadroom && residual < 0 {
		return
	}
	totalVariance := predictionVariance + reportNoise*reportNoise
	for image, use := range o.Use {
		if use < minUse {
			continue
		}
		e := l.pairEffect(o.Image, image)
		gain := e.variance * use / totalVariance
		e.mean = math.Max(e.mean+gain*residual, 0)
		e.variance = math.Min(e.variance*(1-gain*use)+effectDrift*effectDrift, defaultSpread*defaultSpread)
		e.at = o.At
		l.updateMean(image, e.mean)
	}
}

// updateMean adds a report to the mean effect of a best-effort image.
func (l *Learner) updateMean(image string, effect float64) {
	m := l.means[image]
	if m == nil {
		m = &imageMean{value: defaultEffect}
		l.means[image] = m
	}
	m.reports++
	m.value += (effect - m.value) / math.Min(m.reports, priorWeight)
}

// pairEffect returns the stored effect of a pair for modification. It adds the pair if it is
// missing.
func (l *Learner) pairEffect(longRunning, image string) *effect {
	pairs := l.effects[longRunning]
	if pairs == nil {
		pairs = make(map[string]*effect)
		l.effects[longRunning] = pairs
	}
	e := pairs[image]
	if e == nil {
		e = &effect{mean: l.prior(image), variance: defaultSpread * defaultSpread}
		pairs[image] = e
	}
	return e
}

// prior is the effect assumed for a best-effort image on a long-running image without reports
// of the pair. An image that interferes with one long-running image mostly interferes with
// all.
func (l *Learner) prior(image string) float64 {
	m := l.means[image]
	if m == nil {
		return defaultEffect
	}
	return (m.value*m.reports + defaultEffect*priorWeight) / (m.reports + priorWeight)
}

// Effect returns how much headroom a long-running image is expected to lose if a best-effort
// image uses the whole of the same VM.
func (l *Learner) Effect(longRunning, image string) float64 {
	if e := l.effects[longRunning][image]; e != nil {
		return e.mean
	}
	return l.prior(image)
}

// CautiousEffect returns the effect plus a safety margin that grows with its uncertainty.
func (l *Learner) CautiousEffect(longRunning, image string) float64 {
	if e := l.effects[longRunning][image]; e != nil {
		return e.mean + cautionFactor*math.Sqrt(e.variance)
	}
	return l.prior(image) + cautionFactor*defaultSpread
}

// KnownEffect returns the effect of a pair and the confidence in it, from 0 to 1.
func (l *Learner) KnownEffect(longRunning, image string) (effect, confidence float64) {
	e := l.effects[longRunning][image]
	if e == nil {
		return 0, 0
	}
	return e.mean, 1 - e.variance/(defaultSpread*defaultSpread)
}

// BestEffortImages returns the names of the best-effort images with reports, sorted.
func (l *Learner) BestEffortImages() []string {
	images := make([]string, 0, len(l.means))
	for image := range l.means {
		images = append(images, image)
	}
	sort.Strings(images)
	return images
}
