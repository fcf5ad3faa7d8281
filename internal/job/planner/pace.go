package planner

import (
	"time"

	"bamboospread/internal/job/accountant"
)

// Limits of the last resort. A lasting task that is over its target for several seconds on
// end because of what fills beside it breaks what its users were promised, so the
// steps come well before: reports are half a second old, an order takes some
// 100 ms to work.
const (
	paceFirst      = 15                      // percent of full speed
	paceFirstAfter = 900 * time.Millisecond  // over target for so long: not a single bad report
	paceStopAfter  = 2200 * time.Millisecond // still over: the tasks that fill stand still
	paceRaiseAfter = 900 * time.Millisecond  // under target for so long before each step up
	paceMiddle     = 50
	paceFull       = 100
)

// Pace is a new speed for a run.
type Pace struct {
	Run     *accountant.Run
	Percent int
}

// Paces looks at each VM's lasting tasks and returns the runs whose speed should
// change. It keeps its memory of each VM in the VM's Harm.
func Paces(in Input) []Pace {
	var paces []Pace
	for _, vm := range in.State.VMs {
		if !vm.Attached {
			continue
		}
		h := observe(vm, in.Now)
		for _, p := range easedPaces(in, vm) {
			if p.Percent = min(p.Percent, h.Percent); p.Percent != p.Run.Pace {
				paces = append(paces, p)
			}
		}
	}
	return paces
}

// observe moves a VM's harm on and returns it.
func observe(vm *accountant.VM, now time.Time) *accountant.Harm {
	h := &vm.Harm
	if h.ChangedAt.IsZero() {
		h.Percent, h.ChangedAt = paceFull, now
	}
	if !overTarget(vm) {
		h.OverSince = time.Time{}
		if h.UnderSince.IsZero() {
			h.UnderSince = now
		}
		raise(h, now)
		return h
	}
	h.UnderSince = time.Time{}
	if h.OverSince.IsZero() {
		h.OverSince = now
	}
	over := now.Sub(h.OverSince)
	switch {
	case over >= paceStopAfter:
		set(h, 0, now)
	case over >= paceFirstAfter:
		set(h, min(h.Percent, paceFirst), now)
	}
	return h
}

func raise(h *accountant.Harm, now time.Time) {
	if h.Percent == paceFull || now.Sub(h.UnderSince) < paceRaiseAfter || now.Sub(h.ChangedAt) < paceRaiseAfter {
		return
	}
	switch {
	case h.Percent < paceFirst:
		set(h, paceFirst, now)
	case h.Percent < paceMiddle:
		set(h, paceMiddle, now)
	default:
		set(h, paceFull, now)
	}
}

func set(h *accountant.Harm, percent int, now time.Time) {
	if h.Percent != percent {
		h.Percent, h.ChangedAt = percent, now
	}
}

func overTarget(vm *accountant.VM) bool {
	for _, r := range vm.Runs {
		s := r.Step().Spec
		if s.Lasting && s.TailMillis > 0 && r.State == accountant.Running && r.Measure > s.TailMillis {
			return true
		}
	}
	return false
}
