package placer

import (
	"math"
	"sort"
	"strconv"
	"time"
)

const fullPercent = 100

// throttleSteps are the shares of processor time of the ladder, in order.
var throttleSteps = []int{70, 40, 20}

// Terms of the ladder. A step needs several measurements that began after the
// one before: a measurement lags, and steps taken on old ones would overshoot
// and swing.
const (
	raiseReports = 2
	urgentAbove  = 2.0 // a single measurement above this is enough
	relaxReports = 2
	maxReports   = 4
)

// limits are pressures at which something is done. Between relax and raise
// nothing changes.
type limits struct {
	raise float64 // above, tasks are throttled
	aim   float64 // throttling aims for this
	relax float64 // below, throttles may be relaxed
	admit float64 // up to this predicted pressure tasks start and throttles are relaxed
}

// newLimits leans towards latency or throughput with the weights of the fleet.
func newLimits(w weights) limits {
	lean := max(-1, min(1, math.Log2((w.throughput+0.1)/(w.tail+0.1))))
	return limits{
		raise: 1.0 + leanStep*lean, aim: 0.9 + leanStep*lean,
		relax: 0.75 + leanStep*lean, admit: 0.85 + leanStep*lean,
	}
}

const leanStep = 0.05

// climb takes at most one step of the ladder on each VM.
func (r *round) climb() {
	if r.config.Ladder == LadderOff {
		return
	}
	for at := range r.vms {
		v := &r.vms[at]
		if !v.vm.Reachable || r.goes(v.vm) {
			continue
		}
		if p, ok := r.pressed(v); ok {
			r.relieve(at, p)
		} else if v.throttled {
			r.relax(at)
		}
	}
}

// pressing is a service that misses its objective on a VM.
type pressing struct {
	service string
	ratio   float64 // to the objective, as last measured
	reports int     // measurements in a row that missed it
}

// pressed returns the service on a VM that misses its objective by most.
func (r *round) pressed(v *vmState) (worst pressing, ok bool) {
	for _, s := range v.services {
		windows := since(r.recent(v.vm.Name, s.name), v.vm.Acted)
		if len(windows) == 0 || windows[0].Ratio <= worst.ratio {
			continue
		}
		above := countWhile(windows, func(w Window) bool { return w.Ratio > r.limits.raise })
		if above >= r.reportsNeeded(raiseReports) || windows[0].Ratio > urgentAbove {
			worst, ok = pressing{s.name, windows[0].Ratio, above}, true
		}
	}
	return worst, ok
}

// reportsNeeded is 1 for a caller that offers no history.
func (r *round) reportsNeeded(n int) int {
	if r.s.Recent == nil {
		return 1
	}
	return n
}

// since keeps the measurements that began after a moment.
func since(windows []Window, t time.Time) []Window {
	n := 0
	for n < len(windows) && !windows[n].From.Before(t) {
		n++
	}
	return windows[:n]
}

func countWhile(windows []Window, ok func(Window) bool) int {
	n := 0
	for n < len(windows) && ok(windows[n]) {
		n++
	}
	return n
}

// culprit is a batch task with its present effect on a service.
type culprit struct {
	task   *Task
	effect float64 // logarithm, at the full share
}

// culprits lists the batch tasks of a VM with at least an effect, the one with
// the greatest first.
func (r *round) culprits(at int, service string, least float64) (list []culprit, busy bool) {
	for _, i := range r.tasks[at] {
		t := &r.s.Placed[i]
		if t.Service != "" {
			continue
		}
		if t.Stopping || r.moving[t.ID] {
			busy = true // its going will bring relief: wait for the next report
			continue
		}
		if e := r.effect(service, t.Class); e >= least {
			list = append(list, culprit{task: t, effect: e})
		}
	}
	sort.SliceStable(list, func(i, j int) bool {
		return list[i].effect*share(list[i].task.Percent) > list[j].effect*share(list[j].task.Percent)
	})
	return list, busy
}

// relieve throttles the tasks that disturb a service most until the predicted
// pressure is back at the aim; when nothing is left to throttle, it moves the
// worst one.
func (r *round) relieve(at int, p pressing) {
	list, busy := r.culprits(at, p.service, negligible)
	if busy || len(list) == 0 {
		return
	}
	if r.config.Ladder == LadderFull && r.throttleDown(at, list, p) {
		return
	}
	if p.reports >= r.reportsNeeded(r.reportsToMove()) {
		r.moveOne(at, list, p)
	}
}

// reportsToMove is the number of measurements in a row that justify a move: the
// more evictions weigh beside latency, the more.
func (r *round) reportsToMove() int {
	n := math.Round(raiseReports * (r.weights.eviction + 0.1) / (r.weights.tail + 0.1))
	return int(max(raiseReports, min(maxReports, n)))
}

func (r *round) throttleDown(at int, list []culprit, p pressing) bool {
	need := math.Log(p.ratio / r.limits.aim)
	done := false
	for _, c := range list {
		if need <= 0 {
			break
		}
		next, ok := lowerStep(c.task.Percent)
		if !ok {
			continue
		}
		need -= c.effect * (share(c.task.Percent) - share(next))
		done = true
		r.throttle(at, c, next, "service "+p.service+" misses its objective", p)
	}
	return done
}

func (r *round) throttle(at int, c culprit, percent int, reason string, p pressing) {
	r.vms[at].throttled = r.vms[at].throttled || percent < fullPercent
	r.plan.Throttles = append(r.plan.Throttles, Throttle{
		TaskID: c.task.ID, Percent: percent, Reason: reason,
		Inputs: map[string]string{
			"vm": r.vms[at].vm.Name, "service": p.service, "pressure": decimal(p.ratio),
			"effect": decimal(math.Expm1(c.effect)), "percent-before": strconv.Itoa(int(share(c.task.Percent) * fullPercent)),
		},
	})
}

// lowerStep returns the next step below a share.
func lowerStep(percent int) (int, bool) {
	for _, step := range throttleSteps {
		if percent <= 0 || step < percent {
			return step, true
		}
	}
	return 0, false
}

// highestStep returns the highest share whose further effect is within room.
func (r *round) highestStep(c culprit, room float64) int {
	for _, step := range append([]int{fullPercent}, throttleSteps...) {
		if step > c.task.Percent && c.effect*(share(step)-share(c.task.Percent)) <= room {
			return step
		}
	}
	return c.task.Percent
}

// moveOne evicts the worst task for which another VM is predicted to do better.
func (r *round) moveOne(at int, list []culprit, p pressing) {
	for _, c := range list {
		if r.evictions <= 0 {
			return
		}
		if !c.task.Checkpoint {
			continue
		}
		target, ok := r.best(c.task)
		if !ok || target.at == at {
			continue
		}
		r.evict(c.task, "service "+p.service+" misses its objective and throttling is exhausted", map[string]string{
			"vm": r.vms[at].vm.Name, "service": p.service, "pressure": decimal(p.ratio),
			"effect": decimal(math.Expm1(c.effect)), "could-run-on": r.vms[target.at].vm.Name,
		})
		return
	}
}

// relax raises the shares of throttled tasks when every service of
// the VM has been well below its objective and is predicted to stay there. A VM
// whose reports stopped keeps its throttles: silence is not idleness.
func (r *round) relax(at int) {
	v := &r.vms[at]
	room := math.Inf(1)
	var worst pressing
	for _, s := range v.services {
		windows := since(r.recent(v.vm.Name, s.name), v.vm.Acted)
		if countWhile(windows, func(w Window) bool { return w.Ratio < r.limits.relax }) < r.reportsNeeded(relaxReports) {
			return
		}
		if left := math.Log(r.limits.admit) - s.log; left < room {
			room, worst = left, pressing{service: s.name, ratio: windows[0].Ratio}
		}
	}
	list, busy := r.culprits(at, worst.service, 0)
	if busy {
		return
	}
	for i := len(list) - 1; i >= 0; i-- { // least effect first
		c := list[i]
		if share(c.task.Percent) == 1 {
			continue
		}
		next := r.highestStep(c, room)
		if next == c.task.Percent {
			return
		}
		room -= c.effect * (share(next) - share(c.task.Percent))
		r.throttle(at, c, next, "its services have been well within their objectives", worst)
	}
}
