package calibrator

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// source is what a piece of evidence compares a rate with.
type source int

const (
	ownRate source = iota
	stepRate
	kindRate
	noProgress
	tailLatency
	sources
)

// evidence is what a run, or all long-running tasks of a VM together, show of the VM's speed.
type evidence struct {
	source   source
	value    float64 // logarithm of the speed
	variance float64
	upper    bool    // value is an upper bound
	outlier  float64 // probability that it shows nothing of the VM
	// competing: the run gets what other best-effort runs of the VM leave
	competing bool
	count     int // runs that show it
	at        time.Time
	since     time.Time // when the time began that it covers
}

// The grid of logarithms of factors over which the posterior is computed.
const (
	gridLow, gridStep, gridSize = -2.5, 0.1, 33 // factors from 0.08 to 2
	soundSpread                 = 0.15          // of the speeds of sound VMs, as a logarithm
	changedShare                = 0.05          // prior probability that the speed of a VM is anything on the grid
	slowShare                   = 0.5           // the same of a VM that is called slow
	flatDensity                 = 1 / (gridStep * gridSize)
)

// estimate is the posterior of the logarithm of a VM's factor.
type estimate struct {
	mean, spread float64
	slow         float64 // probability that the factor is below slowBelow
	sound        float64 // probability that it is above soundAbove
}

// posterior returns what the evidence shows together. changed is the prior probability that the speed of the VM is anything
// on the grid.
func posterior(all []evidence, changed float64) (p estimate) {
	var shares [gridSize]float64
	sum := 0.0
	for i := range shares {
		x := gridLow + gridStep*float64(i)
		shares[i] = (1-changed)*density(x, soundSpread*soundSpread) + changed*flatDensity
		for _, e := range all {
			// Without the greatest density of each piece, the product of some fifty stays within range.
			shares[i] *= (1-e.outlier)*e.likelihood(x) + e.outlier*flatDensity*math.Sqrt(2*math.Pi*e.variance)
		}
		sum += shares[i]
	}
	for i, l := range shares {
		x, share := gridLow+gridStep*float64(i), l/sum
		p.mean += share * x
		if x < math.Log(slowBelow) {
			p.slow += share
		}
		if x > math.Log(soundAbove) {
			p.sound += share
		}
	}
	for i, l := range shares {
		d := gridLow + gridStep*float64(i) - p.mean
		p.spread += l / sum * d * d
	}
	p.spread = max(math.Sqrt(p.spread), gridStep/2)
	return p
}

// likelihood is the density of the evidence, as a share of its greatest.
func (e evidence) likelihood(x float64) float64 {
	if e.upper && x < e.value {
		return 1
	}
	return math.Exp(-(x - e.value) * (x - e.value) / (2 * e.variance))
}

func density(d, variance float64) float64 {
	return math.Exp(-d*d/(2*variance)) / math.Sqrt(2*math.Pi*variance)
}

// earliestSupport returns since when the evidence that supports the present speed has existed.
func earliestSupport(all []evidence, log float64, otherwise time.Time) time.Time {
	earliest := otherwise
	for _, e := range all {
		if math.Abs(e.value-log) < 2*math.Sqrt(e.variance) && e.since.Before(earliest) {
			earliest = e.since
		}
	}
	return earliest
}

// describe names the evidence, by source.
func describe(all []evidence) string {
	var count [sources]int
	var sum [sources]float64
	for _, e := range all {
		count[e.source] += max(e.count, 1)
		sum[e.source] += float64(max(e.count, 1)) * e.value
	}
	names := [sources]string{"runs at %.2f of their earlier rate", "runs at %.2f of the rate of their step on other VMs", "runs at %.2f of the rate of their queue and image", "runs without progress, at most %.2f of the expected rate", "long-running tasks with tail latencies as of a factor of %.2f"}
	var parts []string
	for i, n := range count {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%d "+names[i], n, math.Exp(sum[i]/float64(n))))
		}
	}
	return strings.Join(parts, ", ")
}
