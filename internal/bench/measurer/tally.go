package main

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// tally counts the outcome of a run.
type tally struct {
	latency   *hdrhistogram.Histogram // of answers, in thousandths of the objective
	zoneTime  *hdrhistogram.Histogram // the same while the zone leaves and returns
	answers   int
	missed    int // answers of VMs whose p99 was above the objective
	completed int
	work      float64 // core-seconds of completed tasks
	zoneWork  float64 // of tasks completed while the zone left and returned
	byClass   map[string]float64
	arrived   map[string]float64 // work of each class that arrived
	evictions int
	drained   int // of them because of the zone
	throttles int
	starts    int
	lost      int
	lostWork  float64
	broken    int     // starts that break a bound: must stay 0
	waiting   int     // tasks left in the queue
	room      float64 // core-seconds of VMs that are on, beside the services
	held      float64 // of them committed to tasks
	slowed    float64 // of them not given, because of throttles
}

const (
	maxRatio  = 1000 * 1000
	precision = 3
)

func newTally() tally {
	return tally{
		latency:  hdrhistogram.New(1, maxRatio, precision),
		zoneTime: hdrhistogram.New(1, maxRatio, precision),
		byClass:  make(map[string]float64),
		arrived:  make(map[string]float64),
	}
}

func (t *tally) answer(now time.Duration, ratio, p99 float64) {
	if now < warmLength {
		return
	}
	value := max(1, min(maxRatio, int64(ratio*1000)))
	_ = t.latency.RecordValue(value)
	if now >= zoneOutAt && now < zoneDone {
		_ = t.zoneTime.RecordValue(value)
	}
	t.answers++
	if p99 > 1 {
		t.missed++
	}
}

func (t *tally) complete(done *task, now time.Duration) {
	work := done.arrival.runTime * float64(done.Needs.Millicores) / 1000
	if now < warmLength {
		return
	}
	t.completed++
	t.work += work
	t.byClass[done.Class] += work
	if now >= zoneOutAt && now < zoneDone {
		t.zoneWork += work
	}
}

func (t *tally) evict(drained bool) {
	t.evictions++
	if drained {
		t.drained++
	}
}

func (t *tally) unfinished(left *task) {
	t.arrived[left.Class] += left.arrival.runTime * float64(left.Needs.Millicores) / 1000
	if left.VM == "" && left.done < left.arrival.runTime {
		t.waiting++
	}
}

// p99 returns the ratio to the objective that 99% of the answers kept.
func (t *tally) p99() float64 { return float64(t.latency.ValueAtQuantile(99)) / 1000 }

func (t *tally) zoneP99() float64 { return float64(t.zoneTime.ValueAtQuantile(99)) / 1000 }

func (t *tally) missedShare() float64 { return float64(t.missed) / float64(max(1, t.answers)) }

// hold counts the processors of a VM in a step.
func (t *tally) hold(room, held, slowed float64) {
	t.room, t.held, t.slowed = t.room+room, t.held+held, t.slowed+slowed
}

func (t *tally) heldShare() float64 { return t.held / max(1, t.room) }

func (t *tally) slowedShare() float64 { return t.slowed / max(1, t.room) }

// worstClass returns the least share of its arrived work that a class completed.
func (t *tally) worstClass() float64 {
	worst := 1.0
	for class, arrived := range t.arrived {
		worst = min(worst, t.byClass[class]/arrived)
	}
	return worst
}
