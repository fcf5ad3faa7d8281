package main

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// tally holds the counts of a run.
type tally struct {
	latency     *hdrhistogram.Histogram // of requests, in thousandths of the objective
	zoneLatency *hdrhistogram.Histogram // the same for the period of the zone outage
	answers     int
	missed      int // answers from VMs whose p99 was above the objective
	completed   int
	work        float64 // core-seconds of completed tasks
	zoneWork    float64 // of tasks completed in the period of the zone outage
	byClass     map[string]float64
	arrived     map[string]float64 // work that arrived, by class
	evictions   int
	drained     int // evictions because the zone was out
	throttles   int
	starts      int
	lost        int
	lostWork    float64
	violations  int     // starts that exceeded a VM or went to a zone that was out or off; must be 0
	waiting     int     // tasks left in the queue
	free        float64 // millicore-seconds of the VMs that are on, without those of the services
	committed   float64 // millicore-seconds of them that were committed to tasks
	throttled   float64 // committed millicore-seconds that were withheld by throttling
}

const (
	maxRatio  = 1000 * 1000
	precision = 3
)

func newTally() tally {
	return tally{
		latency:     hdrhistogram.New(1, maxRatio, precision),
		zoneLatency: hdrhistogram.New(1, maxRatio, precision),
		byClass:     make(map[string]float64),
		arrived:     make(map[string]float64),
	}
}

func (t *tally) addAnswer(now time.Duration, ratio, p99 float64) {
	if now < warmUpLength {
		return
	}
	value := max(1, min(maxRatio, int64(ratio*1000)))
	_ = t.latency.RecordValue(value)
	if now >= zoneOutAt && now < zoneMeasuredUntil {
		_ = t.zoneLatency.RecordValue(value)
	}
	t.answers++
	if p99 > 1 {
		t.missed++
	}
}

func (t *tally) addCompleted(done *task, now time.Duration) {
	work := done.arrival.runTime * float64(done.Needs.Millicores) / 1000
	if now < warmUpLength {
		return
	}
	t.completed++
	t.work += work
	t.byClass[done.Class] += work
	if now >= zoneOutAt && now < zoneMeasuredUntil {
		t.zoneWork += work
	}
}

func (t *tally) addEviction(drained bool) {
	t.evictions++
	if drained {
		t.drained++
	}
}

func (t *tally) addArrived(left *task) {
	t.arrived[left.Class] += left.arrival.runTime * float64(left.Needs.Millicores) / 1000
	if left.VM == "" && left.done < left.arrival.runTime {
		t.waiting++
	}
}

// p99 returns the 99th percentile of the latency as a ratio to the objective.
func (t *tally) p99() float64 { return float64(t.latency.ValueAtQuantile(99)) / 1000 }

func (t *tally) zoneP99() float64 { return float64(t.zoneLatency.ValueAtQuantile(99)) / 1000 }

func (t *tally) missedShare() float64 { return float64(t.missed) / float64(max(1, t.answers)) }

// addCapacity adds the processors of a VM in one step.
func (t *tally) addCapacity(free, committed, throttled float64) {
	t.free, t.committed, t.throttled = t.free+free, t.committed+committed, t.throttled+throttled
}

func (t *tally) committedShare() float64 { return t.committed / max(1, t.free) }

func (t *tally) throttledShare() float64 { return t.throttled / max(1, t.free) }

// worstClass returns the completed share of arrived work of the class with the lowest one.
func (t *tally) worstClass() float64 {
	worst := 1.0
	for class, arrived := range t.arrived {
		worst = min(worst, t.byClass[class]/arrived)
	}
	return worst
}
