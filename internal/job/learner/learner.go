// Package learner learns which filling tasks disturb which lasting tasks. Tasks of
// one image behave alike, so an effect belongs to a pair of images: by how much
// the tail of a lasting task rises, as a share of its target, when tasks of a
// filling image use a whole VM beside it. Effects change within seconds, so the
// latest reports weigh most.
package learner

import "math"

// Limits of learning.
const (
	// rate is the share of an error that one report corrects. Reports come three
	// times a second; an effect that changed is half learned within a second.
	rate = 0.25
	// baseRate is the same for the tail without disturbance.
	baseRate = 0.1
	// excessMax bounds a report's tail over its base, in targets: beyond it a tail
	// tells no more than that it is far too long.
	excessMax = 4.0
	// useMin is the share of a VM below which an image's use tells nothing.
	useMin = 0.02
	// unknownBase and unknownEffect are taken for images without a report.
	unknownBase   = 0.55
	unknownEffect = 0.7
	// priorWeight is how many reports the mean over other lasting images counts for
	// in the effect of a pair.
	priorWeight = 8
)

// Use is how much of a VM the tasks of each filling image use, as a share of its
// processors.
type Use map[string]float64

// effect is what is known of a pair.
type effect struct {
	value float64
	seen  float64 // reports
}

// Learner holds the effects. It is not safe for concurrent use.
type Learner struct {
	base    map[string]*effect            // tail without disturbance, in targets, by lasting image
	effects map[string]map[string]*effect // by lasting image, then filling image
	means   map[string]*effect            // by filling image, over all lasting images
}

// New returns a Learner that knows nothing.
func New() *Learner {
	return &Learner{base: make(map[string]*effect), effects: make(map[string]map[string]*effect), means: make(map[string]*effect)}
}

// Observe takes the tail of a lasting task, in targets, and what fills beside it.
func (l *Learner) Observe(lasting string, tail float64, use Use) {
	b := l.base[lasting]
	if b == nil {
		b = &effect{value: unknownBase}
		l.base[lasting] = b
	}
	var norm, predicted float64
	for image, u := range use {
		if u >= useMin {
			norm += u * u
			predicted += u * l.Effect(lasting, image)
		}
	}
	if norm == 0 {
		b.value += baseRate * (math.Min(tail, 1.5) - b.value)
		return
	}
	miss := math.Min(math.Max(tail-b.value, 0), excessMax) - math.Min(predicted, excessMax)
	for image, u := range use {
		if u >= useMin {
			l.correct(lasting, image, rate*miss*u/norm)
		}
	}
}

func (l *Learner) correct(lasting, image string, by float64) {
	pairs := l.effects[lasting]
	if pairs == nil {
		pairs = make(map[string]*effect)
		l.effects[lasting] = pairs
	}
	e := pairs[image]
	if e == nil {
		e = &effect{value: l.Effect(lasting, image)}
		pairs[image] = e
	}
	e.value = math.Max(e.value+by, 0)
	e.seen++
	m := l.means[image]
	if m == nil {
		m = &effect{value: unknownEffect}
		l.means[image] = m
	}
	m.value += baseRate * (e.value - m.value)
	m.seen++
}

// Effect returns by how many targets the tail of a lasting image rises when a
// filling image uses a whole VM beside it.
func (l *Learner) Effect(lasting, image string) float64 {
	prior := unknownEffect
	if m := l.means[image]; m != nil {
		prior = (m.value*m.seen + unknownEffect*priorWeight) / (m.seen + priorWeight)
	}
	if e := l.effects[lasting][image]; e != nil {
		return (e.value*e.seen + prior*priorWeight) / (e.seen + priorWeight)
	}
	return prior
}

// Tail returns the tail to be expected of a lasting image, in targets.
func (l *Learner) Tail(lasting string, use Use) float64 {
	tail := unknownBase
	if b := l.base[lasting]; b != nil {
		tail = b.value
	}
	for image, u := range use {
		tail += u * l.Effect(lasting, image)
	}
	return tail
}
