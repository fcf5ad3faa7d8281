package learner

import (
	"math"
	"time"
)

// Limits of what is learned of a group's own headroom.
const (
	// unknownOwn is taken for a group without a report: the mean over groups.
	unknownOwn = 2.4
	// unknownSwing is how far a group's own headroom is taken to fall below its mean
	// before a whole swing of its load was seen.
	unknownSwing = 0.6
	// ownTime is the time constant of the own headroom: reports are a mean over half a
	// second, and the load swings over some ten.
	ownTime = 400 * time.Millisecond
	// lowTime is the time constant with which the lowest headroom seen is forgotten,
	// longer than a swing.
	lowTime = 20 * time.Second
	// groupLife is how long a group without reports is remembered.
	groupLife = time.Minute
)

// group is a number of lasting tasks that share their users.
type group struct {
	own  float64 // headroom without disturbance, as of late
	low  float64 // the lowest of the last swing
	at   time.Time
	seen bool
}

func (l *Learner) group(name string, now time.Time) *group {
	g := l.groups[name]
	if g == nil {
		for n, other := range l.groups {
			if now.Sub(other.at) > groupLife {
				delete(l.groups, n)
			}
		}
		g = &group{own: unknownOwn, low: unknownOwn - unknownSwing, at: now}
		l.groups[name] = g
	}
	return g
}

// observe takes an estimate of the own headroom in; the more of it rests on uncertain
// effects, the less it weighs.
func (g *group) observe(own, spread float64, now time.Time) {
	passed := max(now.Sub(g.at), 20*time.Millisecond)
	g.at = now
	share := (1 - math.Exp(-float64(passed)/float64(ownTime))) * noise * noise / (noise*noise + spread)
	g.own += share * (own - g.own)
	g.low += (1 - math.Exp(-float64(passed)/float64(lowTime))) * (g.own - g.low)
	g.low = math.Min(g.low, g.own)
	g.seen = true
}

// Own returns a group's headroom without disturbance, now and at the lowest of its
// swing.
func (l *Learner) Own(name string) (now, low float64) {
	if g := l.groups[name]; g != nil {
		return g.own, g.low
	}
	return unknownOwn, unknownOwn - unknownSwing
}
