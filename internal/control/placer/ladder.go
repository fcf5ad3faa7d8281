package placer

import (
	"math"
	"sort"
	"strconv"
	"time"
)

const fullPercent = 100

// throttleSteps are the throttle levels in the order they are applied, as
// percentages of the full processor time.
var throttleSteps = []int{70, 40, 20}

// Thresholds of the ladder. Each step requires several measurements that began
// after the previous step. Measurements lag, so steps based on older ones would
// overshoot and oscillate.
const (
	throttleReports = 2
	immediateAbove  = 2.0 // a single measurement above this pressure is enough to throttle
	relaxReports    = 2
	maxMoveReports  = 4
)

// limits are the pressures at which the ladder acts. Between relaxBelow and
// throttleAbove it changes nothing.
type limits struct {
	throttleAbove float64 // tasks are throttled above this pressure
	target        float64 // predicted pressure that throttling aims for
	relaxBelow    float64 // throttles may be relaxed below this pressure
	admitUpTo     float64 // highest predicted pressure at which tasks start and throttles are relaxed
}

// newLimits shifts the limits towards latency or throughput according to the
// policy weights of the fleet text.
func newLimits(w weights) limits {
	bias := max(-1, min(1, math.Log2((w.throughput+0.1)/(w.tail+0.1))))
	return limits{
		throttleAbove: 1.0 + biasStep*bias, target: 0.9 + biasStep*bias,
		relaxBelow: 0.75 + biasStep*bias, admitUpTo: 0.85 + biasStep*bias,
	}
}

const biasStep = 0.05

// applyLadder takes at most one step of the ladder on each VM.
func (r *round) applyLadder() {
	if r.config.Ladder == LadderOff {
		return
	}
	for at := range r.vms {
		v := &r.vms[at]
		if !v.vm.Reachable || r.mustDrain(v.vm) {
			continue
		}
		if miss, ok := r.worstMiss(v); ok {
			r.mitigate(at, miss)
		} else if v.throttled {
			r.relax(at)
		}
	}
}

// objectiveMiss is a service that misses its latency objective on a VM.
type objectiveMiss struct {
	service string
	ratio   float64 // latest measured p99 divided by the objective
	misses  int     // consecutive measurements that missed the objective
}

// worstMiss returns the service on a VM that misses its objective by the
// largest factor.
func (r *round) worstMiss(v *vmState) (worst objectiveMiss, ok bool) {
	for _, s := range v.services {
		windows := windowsSince(r.recentWindows(v.vm.Name, s.name), v.vm.LastAdjustedAt)
		if len(windows) == 0 || windows[0].Ratio <= worst.ratio {
			continue
		}
		above := countLeading(windows, func(w Window) bool { return w.Ratio > r.limits.throttleAbove })
		if above >= r.requiredReports(throttleReports) || windows[0].Ratio > immediateAbove {
			worst, ok = objectiveMiss{s.name, windows[0].Ratio, above}, true
		}
	}
	return worst, ok
}

// requiredReports returns n, or 1 if the caller provides no history.
func (r *round) requiredReports(n int) int {
	if r.snapshot.RecentWindows == nil {
		return 1
	}
	return n
}

// windowsSince returns the measurements that began at or after t.
func windowsSince(windows []Window, t time.Time) []Window {
	n := 0
	for n < len(windows) && !windows[n].From.Before(t) {
		n++
	}
	return windows[:n]
}

func countLeading(windows []Window, ok func(Window) bool) int {
	n := 0
	for n < len(windows) && ok(windows[n]) {
		n++
	}
	return n
}

// interferer is a batch task that slows a service on its VM.
type interferer struct {
	task   *Task
	effect float64 // logarithm of the slowdown when the task is not throttled
}

// interferers returns the batch tasks of a VM whose effect on a service is at
// least minEffect, ordered by current effect with the greatest first. It also
// reports whether a task there is already being stopped or moved.
func (r *round) interferers(at int, service string, minEffect float64) (interfering []interferer, ending bool) {
	for _, i := range r.tasksOn[at] {
		t := &r.snapshot.Placed[i]
		if t.Service != "" {
			continue
		}
		if t.Stopping || r.evicted[t.ID] {
			ending = true // the pressure will drop once it has ended: wait for the next report
			continue
		}
		if e := r.effect(service, t.Class); e >= minEffect {
			interfering = append(interfering, interferer{task: t, effect: e})
		}
	}
	sort.SliceStable(interfering, func(i, j int) bool {
		return interfering[i].effect*processorShare(interfering[i].task.Percent) > interfering[j].effect*processorShare(interfering[j].task.Percent)
	})
	return interfering, ending
}

// mitigate throttles the tasks that interfere most with a service until the
// predicted pressure is back at the target. If no task can be throttled
// further, it moves the one that interferes most.
func (r *round) mitigate(at int, miss objectiveMiss) {
	interfering, ending := r.interferers(at, miss.service, negligibleEffect)
	if ending || len(interfering) == 0 {
		return
	}
	if r.config.Ladder == LadderFull && r.throttleInterferers(at, interfering, miss) {
		return
	}
	if miss.misses >= r.requiredReports(r.reportsBeforeMove()) {
		r.moveInterferer(at, interfering, miss)
	}
}

// reportsBeforeMove returns the number of consecutive misses required before a
// task is moved. It grows with the weight of evictions relative to that of
// latency.
func (r *round) reportsBeforeMove() int {
	n := math.Round(throttleReports * (r.weights.eviction + 0.1) / (r.weights.tail + 0.1))
	return int(max(throttleReports, min(maxMoveReports, n)))
}

func (r *round) throttleInterferers(at int, interfering []interferer, miss objectiveMiss) bool {
	excess := math.Log(miss.ratio / r.limits.target)
	throttled := false
	for _, in := range interfering {
		if excess <= 0 {
			break
		}
		next, ok := lowerStep(in.task.Percent)
		if !ok {
			continue
		}
		excess -= in.effect * (processorShare(in.task.Percent) - processorShare(next))
		throttled = true
		r.throttle(at, in, next, "service "+miss.service+" misses its objective", miss)
	}
	return throttled
}

func (r *round) throttle(at int, in interferer, percent int, reason string, miss objectiveMiss) {
	r.vms[at].throttled = r.vms[at].throttled || percent < fullPercent
	r.plan.Throttles = append(r.plan.Throttles, Throttle{
		TaskID: in.task.ID, Percent: percent, Reason: reason,
		Inputs: map[string]string{
			"vm": r.vms[at].vm.Name, "service": miss.service, "pressure": formatFloat(miss.ratio),
			"effect": formatFloat(math.Expm1(in.effect)), "percent-before": strconv.Itoa(int(processorShare(in.task.Percent) * fullPercent)),
		},
	})
}

// lowerStep returns the next throttle step below the given percentage.
func lowerStep(percent int) (int, bool) {
	for _, step := range throttleSteps {
		if percent <= 0 || step < percent {
			return step, true
		}
	}
	return 0, false
}

// highestStep returns the highest processor share whose additional effect on
// the service is at most budget.
func (r *round) highestStep(in interferer, budget float64) int {
	for _, step := range append([]int{fullPercent}, throttleSteps...) {
		if step > in.task.Percent && in.effect*(processorShare(step)-processorShare(in.task.Percent)) <= budget {
			return step
		}
	}
	return in.task.Percent
}

// moveInterferer evicts the task that interferes most among those for which another
// VM is predicted to be better.
func (r *round) moveInterferer(at int, interfering []interferer, miss objectiveMiss) {
	for _, in := range interfering {
		if r.evictionsLeft <= 0 {
			return
		}
		if !in.task.Checkpoint {
			continue
		}
		target, ok := r.bestVM(in.task)
		if !ok || target.at == at {
			continue
		}
		r.evict(in.task, "service "+miss.service+" misses its objective and throttling is exhausted", map[string]string{
			"vm": r.vms[at].vm.Name, "service": miss.service, "pressure": formatFloat(miss.ratio),
			"effect": formatFloat(math.Expm1(in.effect)), "could-run-on": r.vms[target.at].vm.Name,
		})
		return
	}
}

// relax raises the processor shares of throttled tasks once every service of
// the VM has been well below its objective and is predicted to stay there. A VM
// that sends no reports keeps its throttles: missing reports do not mean that
// the VM is idle.
func (r *round) relax(at int) {
	v := &r.vms[at]
	budget := math.Inf(1)
	var worst objectiveMiss
	for _, s := range v.services {
		windows := windowsSince(r.recentWindows(v.vm.Name, s.name), v.vm.LastAdjustedAt)
		if countLeading(windows, func(w Window) bool { return w.Ratio < r.limits.relaxBelow }) < r.requiredReports(relaxReports) {
			return
		}
		if left := math.Log(r.limits.admitUpTo) - s.logPressure; left < budget {
			budget, worst = left, objectiveMiss{service: s.name, ratio: windows[0].Ratio}
		}
	}
	interfering, ending := r.interferers(at, worst.service, 0)
	if ending {
		return
	}
	for i := len(interfering) - 1; i >= 0; i-- { // least effect first
		in := interfering[i]
		if processorShare(in.task.Percent) == 1 {
			continue
		}
		next := r.highestStep(in, budget)
		if next == in.task.Percent {
			return
		}
		budget -= in.effect * (processorShare(next) - processorShare(in.task.Percent))
		r.throttle(at, in, next, "the services of the VM are well below their latency objectives", worst)
	}
}
