package admitter

import (
	"slices"
	"time"
)

// Constants of the measured drain.
const (
	// SampleInterval is the time over which a sample of the drain is taken. Tasks of seconds end in
	// groups; shorter samples would vary with that.
	SampleInterval = time.Second
	maxSamples     = 20
	// minSamples is the number of samples below which the drain is not known.
	minSamples = 3
	// optimisticQuantile of the samples is taken as the drain: a job is refused only if it would be too
	// late even if work is done as fast as in the best seconds.
	optimisticQuantile = 0.9
)

// Pool identifies the queues whose tasks take the same room in turn.
type Pool struct {
	Service  string
	Priority int
}

// Meter holds the drain of each pool.
type Meter struct{ samples map[Pool][]float64 }

// NewMeter returns a Meter without samples.
func NewMeter() *Meter { return &Meter{samples: make(map[Pool][]float64)} }

// Observe adds a sample: the declared work, in core-seconds, that a pool's tasks did in the given
// time, while the pool was saturated. What is done while none waits says nothing about the capacity.
func (m *Meter) Observe(p Pool, done float64, took time.Duration) {
	if took <= 0 {
		return
	}
	all := append(m.samples[p], max(done, 0)/took.Seconds())
	m.samples[p] = all[max(len(all)-maxSamples, 0):]
}

// Drain returns the optimistic drain of a pool in core-seconds a second, 0 if it is not known. For
// priority 0 it is the highest that was measured: an urgent job is refused only if it is hopeless.
func (m *Meter) Drain(p Pool) float64 {
	all := m.samples[p]
	if len(all) < minSamples {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	if p.Priority == 0 {
		return sorted[len(sorted)-1]
	}
	return sorted[int(float64(len(sorted)-1)*optimisticQuantile)]
}
