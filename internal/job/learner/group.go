package learner

import (
	"math"
	"time"
)

// Limits for the headroom that a group has of its own, without best-effort tasks.
const (
	// defaultOwnHeadroom is assumed for a group without reports: the mean over all groups.
	defaultOwnHeadroom = 2.4
	// defaultSpreadOfOwn is the standard deviation between groups.
	defaultSpreadOfOwn = 0.6
	// defaultSwing is how far the own headroom of a group is assumed to fall below its mean
	// until one full swing of its load has been observed.
	defaultSwing = 0.6
	// trendNoise is the variance by which the trend of the own headroom changes in a second, in
	// headroom per second, squared: the load swings over about ten seconds.
	trendNoise = 0.12
	// trendTimeConstant is the time constant with which the trend decays without reports: a
	// quarter of a swing later it has turned.
	trendTimeConstant = 2500 * time.Millisecond
	// lowTimeConstant is the time constant with which the lowest headroom observed decays. It
	// is longer than a swing of the load.
	lowTimeConstant = 20 * time.Second
	// groupTTL is how long a group without reports is kept.
	groupTTL = time.Minute
)

// group holds the headroom of a set of long-running tasks that serve the same users: a Kalman
// filter of its value and trend.
type group struct {
	own   float64 // recent headroom without interference
	trend float64 // its change per second
	// Variances of own and trend, and their covariance.
	ownVariance, trendVariance, covariance float64
	low                                    float64 // lowest value over the last swing of the load
	at                                     time.Time
}

func (l *Learner) group(name string, now time.Time) *group {
	g := l.groups[name]
	if g == nil {
		for n, other := range l.groups {
			if now.Sub(other.at) > groupTTL {
				delete(l.groups, n)
			}
		}
		g = &group{own: defaultOwnHeadroom, ownVariance: defaultSpreadOfOwn * defaultSpreadOfOwn, low: defaultOwnHeadroom - defaultSwing, at: now}
		l.groups[name] = g
	}
	return g
}

// advance predicts the state at the given time.
func (g *group) advance(now time.Time) {
	elapsed := max(now.Sub(g.at), 0)
	g.at = now
	dt, decay := elapsed.Seconds(), math.Exp(-float64(elapsed)/float64(trendTimeConstant))
	g.own += g.trend * trendTimeConstant.Seconds() * (1 - decay)
	g.trend *= decay
	g.ownVariance += dt*(2*g.covariance+dt*g.trendVariance) + trendNoise*dt*dt*dt/3
	g.covariance = decay * (g.covariance + dt*g.trendVariance + trendNoise*dt*dt/2)
	g.trendVariance = decay*decay*g.trendVariance + (1-decay*decay)*trendNoise*trendTimeConstant.Seconds()/2
	g.low += (1 - math.Exp(-float64(elapsed)/float64(lowTimeConstant))) * (g.own - g.low)
	g.low = math.Min(g.low, g.own)
}

// observe updates the estimate of the own headroom. The larger the variance of the predicted
// interference, the less weight the new value gets.
func (g *group) observe(own, predictionVariance float64) {
	total := g.ownVariance + reportNoise*reportNoise + predictionVariance
	gain, trendGain := g.ownVariance/total, g.covariance/total
	residual := own - g.own
	g.own += gain * residual
	g.trend += trendGain * residual
	g.trendVariance -= trendGain * g.covariance
	g.covariance *= 1 - gain
	g.ownVariance *= 1 - gain
	g.low = math.Min(g.low, g.own)
}

// Trend returns by how much a group's headroom without interference will change within the given
// time.
func (l *Learner) Trend(name string, within time.Duration) float64 {
	if g := l.groups[name]; g != nil {
		return g.trend * within.Seconds()
	}
	return 0
}

// OwnHeadroom returns a group's headroom without interference: the present value and the
// lowest one over a swing of its load.
func (l *Learner) OwnHeadroom(name string) (now, low float64) {
	if g := l.groups[name]; g != nil {
		return g.own, g.low
	}
	return defaultOwnHeadroom, defaultOwnHeadroom - defaultSwing
}
