package learner

import (
	"math"
	"time"
)

// Limits for the headroom that a group has of its own, without best-effort tasks.
const (
	// defaultOwnHeadroom is assumed for a group without reports: the mean over all groups.
	defaultOwnHeadroom = 2.4
	// defaultSwing is how far the own headroom of a group is assumed to fall below its mean
	// until one full swing of its load has been observed.
	defaultSwing = 0.6
	// ownTimeConstant is the time constant for smoothing the own headroom: reports are
	// averages over half a second, and the load swings over about ten seconds.
	ownTimeConstant = 400 * time.Millisecond
	// lowTimeConstant is the time constant with which the lowest headroom observed decays. It
	// is longer than a swing of the load.
	lowTimeConstant = 20 * time.Second
	// groupTTL is how long a group without reports is kept.
	groupTTL = time.Minute
)

// group holds the headroom of a set of long-running tasks that serve the same users.
type group struct {
	own float64 // recent headroom without interference
	low float64 // lowest value over the last swing of the load
	at  time.Time
}

func (l *Learner) group(name string, now time.Time) *group {
	g := l.groups[name]
	if g == nil {
		for n, other := range l.groups {
			if now.Sub(other.at) > groupTTL {
				delete(l.groups, n)
			}
		}
		g = &group{own: defaultOwnHeadroom, low: defaultOwnHeadroom - defaultSwing, at: now}
		l.groups[name] = g
	}
	return g
}

// observe updates the estimate of the own headroom. The larger the variance of the predicted
// interference, the less weight the new value gets.
func (g *group) observe(own, predictionVariance float64, now time.Time) {
	elapsed := max(now.Sub(g.at), 20*time.Millisecond)
	g.at = now
	weight := (1 - math.Exp(-float64(elapsed)/float64(ownTimeConstant))) * reportNoise * reportNoise / (reportNoise*reportNoise + predictionVariance)
	g.own += weight * (own - g.own)
	g.low += (1 - math.Exp(-float64(elapsed)/float64(lowTimeConstant))) * (g.own - g.low)
	g.low = math.Min(g.low, g.own)
}

// OwnHeadroom returns a group's headroom without interference: the present value and the
// lowest one over a swing of its load.
func (l *Learner) OwnHeadroom(name string) (now, low float64) {
	if g := l.groups[name]; g != nil {
		return g.own, g.low
	}
	return defaultOwnHeadroom, defaultOwnHeadroom - defaultSwing
}
