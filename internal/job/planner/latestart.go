package planner

import (
	"fmt"
	"slices"

	"bamboospread/internal/job/tracker"
)

// admitsAfterLateStart reports whether a task may start on a VM beside its earlier starts that may still be
// carried out late.
func (r *round) admitsAfterLateStart(t *tracker.Task, vm *tracker.VM) bool {
	return !slices.ContainsFunc(r.lateStartsOf(t), func(l tracker.LateStart) bool { return !l.Admits(vm) })
}

// lateStartsOf returns the starts of a task that may still be carried out late. They don't matter where a step
// allows copies.
func (r *round) lateStartsOf(t *tracker.Task) []tracker.LateStart {
	if !r.lateStartsKnown {
		r.lateStarts, r.lateStartsKnown = r.state.LateStarts(r.now), true
	}
	if len(r.lateStarts) == 0 || t.Step.Spec.Copies {
		return nil
	}
	return r.lateStarts[t.ID()]
}

// explainLateStarts returns how many tasks of a step wait because an earlier start may still be carried out late,
// or "".
func (r *round) explainLateStarts(s *tracker.Step) string {
	count, on := 0, ""
	for _, t := range s.Tasks {
		if late := r.lateStartsOf(t); len(late) > 0 && t.Waits(r.now) {
			count, on = count+1, late[0].VM().Name
		}
	}
	if count == 0 {
		return ""
	}
	return fmt.Sprintf("%d tasks start only where an earlier start got no answer, for as long as that may be carried out late, such as on %s", count, on)
}
