package worker

import (
	"strconv"
	"time"

	"bamboospread/internal/worker/driver"
)

// minStep is the smallest step back of the time of day that is noticed. Bounds by the time of day may be
// late by as much.
const minStep = time.Millisecond

// dayClock follows the time of day, for callers that know nothing of the worker's clock.
type dayClock struct {
	now   func() time.Time
	clock func() time.Duration

	started     bool
	ahead       time.Duration // of the clock, since the latest step back
	mostAhead   time.Duration // of the clock, ever
	steps       int           // back
	refusedUpTo int64         // Unix ns: no call that was sent before the latest step back names a later time
}

// observe compares the time of day with the clock. A pause between two readings must not be taken for a step,
// so the clock is read before and after the time of day.
func (d *dayClock) observe() {
	before := d.clock()
	now := time.Duration(d.now().UnixNano())
	after := d.clock()
	if d.started && now-before < d.ahead-minStep {
		d.steps++
		d.refusedUpTo = int64(after + d.mostAhead)
		d.ahead = now - after
	}
	if !d.started {
		d.started, d.ahead, d.mostAhead = true, now-after, now-after
	}
	d.ahead = max(d.ahead, now-after)
	d.mostAhead = max(d.mostAhead, d.ahead)
}

// toClock converts a time of day in Unix ns to the worker's clock.
func (d *dayClock) toClock(unixNano int64) time.Duration {
	return time.Duration(unixNano) - d.ahead
}

// toClockAtMost converts a time of day that may have been stated before any step back. The result is not later
// than what was meant.
func (d *dayClock) toClockAtMost(unixNano int64) time.Duration {
	return time.Duration(unixNano) - d.mostAhead
}

// life is what a start by the time of day has to name: one that was sent before a step back is refused.
func (w *Worker) life() string {
	if w.day.steps == 0 {
		return w.incarnation
	}
	return w.incarnation + "." + strconv.Itoa(w.day.steps)
}

func (w *Worker) isForFormerLife(c driver.StartCall) bool {
	if c.Incarnation != "" {
		return c.Incarnation != w.incarnation
	}
	return c.Life != "" && c.Life != w.life()
}

func (w *Worker) isLate(c driver.StartCall) bool {
	if c.Incarnation != "" {
		return c.StartByClock != 0 && w.config.Clock() > time.Duration(c.StartByClock)
	}
	return c.StartBy != 0 && w.config.Clock() > w.fromTimeOfDay(c, c.StartBy)
}

// leaseEnd returns the end of the lease of a start on the worker's clock.
func (w *Worker) leaseEnd(c driver.StartCall) time.Duration {
	if c.Incarnation != "" {
		return time.Duration(c.LeaseUntilClock)
	}
	return w.fromTimeOfDay(c, c.LeaseUntil)
}

func (w *Worker) fromTimeOfDay(c driver.StartCall, unixNano int64) time.Duration {
	if c.Life == "" { // nothing says when it was sent
		return w.day.toClockAtMost(unixNano)
	}
	return w.day.toClock(unixNano)
}
