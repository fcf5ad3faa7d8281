package planner

import (
	"fmt"
	"slices"

	"bamboospread/internal/job/tracker"
)

// mayStartLate reports whether a start of a task that got no answer may still be carried out by a VM other than
// the given one. The task may start on that VM only, or not at all if there are several.
func (r *round) mayStartLate(t *tracker.Task, except *tracker.VM) bool {
	if t.Step.Spec.Copies {
		return false
	}
	return slices.ContainsFunc(r.lateStartsOf(t), func(vm *tracker.VM) bool { return vm != except })
}

// lateStartsOf returns the VMs on which a task may still start late.
func (r *round) lateStartsOf(t *tracker.Task) []*tracker.VM {
	if !r.lateStartsKnown {
		r.lateStarts, r.lateStartsKnown = r.state.LateStarts(r.now), true
	}
	if len(r.lateStarts) == 0 {
		return nil
	}
	return r.lateStarts[t.ID()]
}

// explainLateStarts returns how many tasks of a step wait for a VM on which they may still start late, or "".
func (r *round) explainLateStarts(s *tracker.Step) string {
	if s.Spec.Copies {
		return ""
	}
	count, on := 0, ""
	for _, t := range s.Tasks {
		if vms := r.lateStartsOf(t); len(vms) > 0 && t.Waits(r.now) {
			count, on = count+1, vms[0].Name
		}
	}
	if count == 0 {
		return ""
	}
	return fmt.Sprintf("%d tasks may still start late on the VM where a start got no answer, such as %s, and start on no other", count, on)
}
