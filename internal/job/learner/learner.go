// Package learner learns which filling tasks disturb which lasting tasks.
//
// The quantity learned is headroom: the target of a lasting task divided by the tail
// of its response times, so 1 is at the target and more is better. Like the idle
// share of a server with a queue, headroom falls about evenly with load, where the
// tail itself stays flat and then explodes; so effects add up in headroom and can be
// told apart, and a disturbance is seen well before the target is missed.
//
// What headroom a lasting task has is its own, which swings with the load of its
// users, less what the filling images beside it take. Tasks of one step share their
// users' load, so its own headroom is learned from all of them together. What a
// filling image takes belongs to the pair of images, in headroom for each whole VM
// that its tasks use.
package learner

import (
	"math"
	"sort"
	"time"
)

// Limits of learning. In traces of reports of both kinds of deployment about one
// pair in five took 8 to 13 of headroom for a whole VM, the others 0.5 to 2; the
// noise of a report around the sum of its parts was 0.25.
const (
	// unknownEffect and unknownSpread are taken for a pair without reports: the mean
	// over all pairs, and the spread between them.
	unknownEffect = 2.5
	unknownSpread = 3.0
	// noise is the spread of a report around what is predicted, in headroom.
	noise = 0.3
	// drift is by how much an effect may change in a report, as a spread: an effect
	// that is wrong by 8 is found again within some 20 reports.
	drift = 0.2
	// caution is how many spreads an effect is taken above its mean. It keeps more
	// than one or two tasks of an unknown image from coming to a VM at once.
	caution = 0.5
	// useMin is the share of a VM below which an image's use tells nothing.
	useMin = 0.01
	// saturated is the headroom below which a report tells only that the disturbance
	// is at least so large: queues have grown, and drain after their cause.
	saturated = 0.25
	// headroomMax bounds a report: tails of 1 ms would weigh too much.
	headroomMax = 4.5
	// priorWeight is how many reports of other lasting images weigh as much as the
	// mean over all pairs in an effect that has no report of its own.
	priorWeight = 20.0
)

// Use is how much of a VM the tasks of each filling image use, as a share of its
// processors.
type Use map[string]float64

// Observation is a report on a lasting task.
type Observation struct {
	Group    string // of lasting tasks that share their users
	Image    string // of the lasting task
	Headroom float64
	Use      Use // of what fills beside it, over the time of the report
	At       time.Time
}

// effect is what is known of a pair.
type effect struct {
	mean, variance float64
	at             time.Time // of the last report
}

// imageMean is what a filling image takes over all lasting images.
type imageMean struct{ value, reports float64 }

// Learner holds what was learned. It is not safe for concurrent use.
type Learner struct {
	effects map[string]map[string]*effect // by lasting image, then filling image
	means   map[string]*imageMean         // by filling image
	groups  map[string]*group
}

// New returns a Learner that knows nothing.
func New() *Learner {
	return &Learner{effects: make(map[string]map[string]*effect), means: make(map[string]*imageMean), groups: make(map[string]*group)}
}

// Observe takes a report in.
func (l *Learner) Observe(o Observation) {
	headroom := math.Min(o.Headroom, headroomMax)
	taken, spread := 0.0, 0.0
	for image, use := range o.Use {
		if use >= useMin {
			e := l.pair(o.Image, image)
			taken += e.mean * use
			spread += e.variance * use * use
		}
	}
	g := l.group(o.Group, o.At)
	l.correct(o, headroom, g.own-headroom-taken, spread)
	if headroom > saturated {
		g.observe(headroom+taken, spread, o.At)
	}
}

// correct changes the effects of the images in use by what the report misses of the
// prediction, each by how uncertain it is and how much of the VM it uses.
func (l *Learner) correct(o Observation, headroom, miss, spread float64) {
	if spread == 0 || headroom <= saturated && miss < 0 {
		return
	}
	all := spread + noise*noise
	for image, use := range o.Use {
		if use < useMin {
			continue
		}
		e := l.pair(o.Image, image)
		gain := e.variance * use / all
		e.mean = math.Max(e.mean+gain*miss, 0)
		e.variance = math.Min(e.variance*(1-gain*use)+drift*drift, unknownSpread*unknownSpread)
		e.at = o.At
		l.noteMean(image, e.mean)
	}
}

// noteMean counts a report on a filling image.
func (l *Learner) noteMean(image string, effect float64) {
	m := l.means[image]
	if m == nil {
		m = &imageMean{value: unknownEffect}
		l.means[image] = m
	}
	m.reports++
	m.value += (effect - m.value) / math.Min(m.reports, priorWeight)
}

// pair returns the effect of a pair, to be changed.
func (l *Learner) pair(lasting, image string) *effect {
	pairs := l.effects[lasting]
	if pairs == nil {
		pairs = make(map[string]*effect)
		l.effects[lasting] = pairs
	}
	e := pairs[image]
	if e == nil {
		e = &effect{mean: l.prior(image), variance: unknownSpread * unknownSpread}
		pairs[image] = e
	}
	return e
}

// prior is the effect that is expected of a filling image beside a lasting image
// without reports of both: loud images are mostly loud beside all.
func (l *Learner) prior(image string) float64 {
	m := l.means[image]
	if m == nil {
		return unknownEffect
	}
	return (m.value*m.reports + unknownEffect*priorWeight) / (m.reports + priorWeight)
}

// Effect returns how much headroom a lasting image is expected to lose when a
// filling image uses a whole VM beside it.
func (l *Learner) Effect(lasting, image string) float64 {
	if e := l.effects[lasting][image]; e != nil {
		return e.mean
	}
	return l.prior(image)
}

// CautiousEffect is Effect, rather too much than too little.
func (l *Learner) CautiousEffect(lasting, image string) float64 {
	if e := l.effects[lasting][image]; e != nil {
		return e.mean + caution*math.Sqrt(e.variance)
	}
	return l.prior(image) + caution*unknownSpread
}

// Known returns the effect of a pair and how much is known of it, from 0 to 1.
func (l *Learner) Known(lasting, image string) (effect, trust float64) {
	e := l.effects[lasting][image]
	if e == nil {
		return 0, 0
	}
	return e.mean, 1 - e.variance/(unknownSpread*unknownSpread)
}

// FillingImages returns the filling images of which there are reports, in the order of
// their names.
func (l *Learner) FillingImages() []string {
	images := make([]string, 0, len(l.means))
	for image := range l.means {
		images = append(images, image)
	}
	sort.Strings(images)
	return images
}
