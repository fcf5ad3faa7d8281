package planner

import (
	"time"

	"bamboospread/internal/job/tracker"
)

// Limits of throttling by measured tail latency, the last resort. A long-running task that is
// over its target for several seconds without interruption because of best-effort tasks on its
// VM breaks the promise made to its users. The pace is lowered well before that: reports are half a
// second old, and an order takes some 100 ms to have an effect.
const (
	paceLow        = 15                      // percent of full pace
	paceLowAfter   = 900 * time.Millisecond  // time over target, longer than a single bad report
	paceStopAfter  = 2200 * time.Millisecond // time over target until best-effort tasks are throttled to zero
	paceRaiseAfter = 900 * time.Millisecond  // time under target before each increase
	paceMiddle     = 50                      // percent of full pace
	paceFull       = 100                     // percent
)

// Pace is a new pace for a run.
type Pace struct {
	Run     *tracker.Run
	Percent int
}

// Paces returns the runs whose pace should change, based on the long-running tasks of each VM.
// The state of the evaluation is kept in the VM's Throttle field.
func Paces(in Input) []Pace {
	var paces []Pace
	for _, vm := range in.vms() {
		if !vm.Attached {
			continue
		}
		state := updateThrottle(vm, in.Now)
		for _, p := range throttledPaces(in, vm) {
			if p.Percent = min(p.Percent, state.Percent); p.Percent != p.Run.Pace {
				paces = append(paces, p)
			}
		}
	}
	return paces
}

// updateThrottle updates the throttling state of a VM by its latest report and returns it.
func updateThrottle(vm *tracker.VM, now time.Time) *tracker.ThrottleState {
	state := &vm.Throttle
	if state.ChangedAt.IsZero() {
		state.Percent, state.ChangedAt = paceFull, now
	}
	if !tailOverTarget(vm) {
		state.OverSince = time.Time{}
		if state.UnderSince.IsZero() {
			state.UnderSince = now
		}
		raisePace(state, now)
		return state
	}
	state.UnderSince = time.Time{}
	if state.OverSince.IsZero() {
		state.OverSince = now
	}
	over := now.Sub(state.OverSince)
	switch {
	case over >= paceStopAfter:
		setPace(state, 0, now)
	case over >= paceLowAfter:
		setPace(state, min(state.Percent, paceLow), now)
	}
	return state
}

func raisePace(state *tracker.ThrottleState, now time.Time) {
	if state.Percent == paceFull || now.Sub(state.UnderSince) < paceRaiseAfter || now.Sub(state.ChangedAt) < paceRaiseAfter {
		return
	}
	switch {
	case state.Percent < paceLow:
		setPace(state, paceLow, now)
	case state.Percent < paceMiddle:
		setPace(state, paceMiddle, now)
	default:
		setPace(state, paceFull, now)
	}
}

func setPace(state *tracker.ThrottleState, percent int, now time.Time) {
	if state.Percent != percent {
		state.Percent, state.ChangedAt = percent, now
	}
}

func tailOverTarget(vm *tracker.VM) bool {
	for _, r := range vm.Runs {
		s := r.Step().Spec
		if s.LongRunning && s.TailMillis > 0 && r.State == tracker.Running && r.Measure > s.TailMillis {
			return true
		}
	}
	return false
}
