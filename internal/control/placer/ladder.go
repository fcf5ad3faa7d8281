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

// Thresholds of the ladder. Between relaxBelow and raiseAbove nothing changes,
// and a step needs several measurements that began after the one before: a
// measurement lags, and steps taken on old ones would overshoot and swing.
const (
	raiseAbove   = 1.0 // times the objective
	raiseReports = 2
	urgentAbove  = 2.0 // a single measurement above this is enough
	relaxBelow   = 0.7
	relaxReports = 3
	aimFor       = 0.9 // pressure that a step aims for
	relaxUpTo    = 0.8 // predicted pressure up to which a throttle is relaxed
)

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
		if service, ratio, ok := r.pressed(v); ok {
			r.relieve(at, service, ratio)
		} else if v.throttled {
			r.relax(at)
		}
	}
}

// pressed returns the service on a VM that misses its objective by most.
func (r *round) pressed(v *vmState) (service string, ratio float64, ok bool) {
	for _, s := range v.services {
		windows := since(r.recent(v.vm.Name, s.name), v.vm.Acted)
		if len(windows) == 0 || windows[0].Ratio <= ratio {
			continue
		}
		above := countWhile(windows, func(w Window) bool { return w.Ratio > raiseAbove })
		if above >= r.reportsNeeded(raiseReports) || windows[0].Ratio > urgentAbove {
			service, ratio, ok = s.name, windows[0].Ratio, true
		}
	}
	return service, ratio, ok
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
func (r *round) relieve(at int, service string, ratio float64) {
	list, busy := r.culprits(at, service, negligible)
	if busy || len(list) == 0 {
		return
	}
	if r.config.Ladder == LadderFull && r.throttleDown(at, list, service, ratio) {
		return
	}
	r.moveOne(at, list, service, ratio)
}

func (r *round) throttleDown(at int, list []culprit, service string, ratio float64) bool {
	need := math.Log(ratio / aimFor)
	done := false
	for _, c := range list {
		if need <= 0 {
			break
		}
		next, ok := lowerStep(c.task.Percent)
		if !ok {
			continue
		}
		gain := c.effect * (share(c.task.Percent) - share(next))
		need -= gain
		done = true
		r.throttle(c, next, "service "+service+" misses its objective", at, service, ratio)
	}
	return done
}

func (r *round) throttle(c culprit, percent int, reason string, at int, service string, ratio float64) {
	r.vms[at].throttled = r.vms[at].throttled || percent < fullPercent
	r.plan.Throttles = append(r.plan.Throttles, Throttle{
		TaskID: c.task.ID, Percent: percent, Reason: reason,
		Inputs: map[string]string{
			"vm": r.vms[at].vm.Name, "service": service, "pressure": decimal(ratio),
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

// raiseStep returns the next step above a share.
func raiseStep(percent int) int {
	next := fullPercent
	for _, step := range throttleSteps {
		if step > percent {
			next = step
		}
	}
	return next
}

// moveOne evicts the worst task for which another VM is predicted to do better.
func (r *round) moveOne(at int, list []culprit, service string, ratio float64) {
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
		r.evict(c.task, "service "+service+" misses its objective and throttling is exhausted", map[string]string{
			"vm": r.vms[at].vm.Name, "service": service, "pressure": decimal(ratio),
			"effect": decimal(math.Expm1(c.effect)), "could-run-on": r.vms[target.at].vm.Name,
		})
		return
	}
}

// relax raises the shares of throttled tasks by a step when every service of
// the VM has been well below its objective and is predicted to stay there. A VM
// whose reports stopped keeps its throttles: silence is not idleness.
func (r *round) relax(at int) {
	v := &r.vms[at]
	room := math.Inf(1)
	worst, ratio := "", 0.0
	for _, s := range v.services {
		windows := since(r.recent(v.vm.Name, s.name), v.vm.Acted)
		if countWhile(windows, func(w Window) bool { return w.Ratio < relaxBelow }) < r.reportsNeeded(relaxReports) {
			return
		}
		if left := math.Log(relaxUpTo) - s.log; left < room {
			room, worst, ratio = left, s.name, windows[0].Ratio
		}
	}
	list, busy := r.culprits(at, worst, 0)
	if busy {
		return
	}
	for i := len(list) - 1; i >= 0; i-- { // least effect first
		c := list[i]
		if share(c.task.Percent) == 1 {
			continue
		}
		next := raiseStep(c.task.Percent)
		room -= c.effect * (share(next) - share(c.task.Percent))
		if room < 0 {
			return
		}
		r.throttle(c, next, "its services have been well within their objectives", at, worst, ratio)
	}
}
