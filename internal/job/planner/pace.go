package planner

import (
	"time"

	"bamboospread/internal/job/accountant"
)

// Limits of throttling by measured tail latency, the last resort. A long-running task that is
// over its target for several seconds without interruption because of best-effort tasks on its
// VM breaks what its users were promised. The steps come well before that: reports are half a
// second old, and an order takes some 100 ms to have an effect.
const (
	paceLow        = 15                      // percent of full pace
	paceLowAfter   = 900 * time.Millisecond  // time over target, longer than a single bad report
	paceStopAfter  = 2200 * time.Millisecond // time over target until best-effort tasks are throttled to zero
	paceRaiseAfter = 900 * time.Millisecond  // time under target before each step up
	paceMiddle     = 50
	paceFull       = 100
)

// Pace is a new pace for a run.
type Pace struct {
	Run     *accountant.Run
	Percent int
}

// Paces returns the runs whose pace should change, based on the long-running tasks of each VM.
// The state of the evaluation is kept in the VM's Harm.
func Paces(in Input) []Pace {
	var paces []Pace
	for _, vm := range in.State.VMs {
		if !vm.Attached {
			continue
		}
		h := observe(vm, in.Now)
		for _, p := range throttledPaces(in, vm) {
			if p.Percent = min(p.Percent, h.Percent); p.Percent != p.Run.Pace {
				paces = append(paces, p)
			}
		}
	}
	return paces
}

// observe updates the throttling state of a VM and returns it.
func observe(vm *accountant.VM, now time.Time) *accountant.ThrottleState {
	h := &vm.Throttle
	if h.ChangedAt.IsZero() {
		h.Percent, h.ChangedAt = paceFull, now
	}
	if !tailOverTarget(vm) {
		h.OverSince = time.Time{}
		if h.UnderSince.IsZero() {
			h.UnderSince = now
		}
		raisePace(h, now)
		return h
	}
	h.UnderSince = time.Time{}
	if h.OverSince.IsZero() {
		h.OverSince = now
	}
	over := now.Sub(h.OverSince)
	switch {
	case over >= paceStopAfter:
		setPace(h, 0, now)
	case over >= paceLowAfter:
		setPace(h, min(h.Percent, paceLow), now)
	}
	return h
}

func raisePace(h *accountant.ThrottleState, now time.Time) {
	if h.Percent == paceFull || now.Sub(h.UnderSince) < paceRaiseAfter || now.Sub(h.ChangedAt) < paceRaiseAfter {
		return
	}
	switch {
	case h.Percent < paceLow:
		setPace(h, paceLow, now)
	case h.Percent < paceMiddle:
		setPace(h, paceMiddle, now)
	default:
		setPace(h, paceFull, now)
	}
}

func setPace(h *accountant.ThrottleState, percent int, now time.Time) {
	if h.Percent != percent {
		h.Percent, h.ChangedAt = percent, now
	}
}

func tailOverTarget(vm *accountant.VM) bool {
	for _, r := range vm.Runs {
		s := r.Step().Spec
		if s.LongRunning && s.TailMillis > 0 && r.State == accountant.Running && r.Measure > s.TailMillis {
			return true
		}
	}
	return false
}
