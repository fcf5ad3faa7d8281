package planner

import (
	"slices"

	"bamboospread/internal/job/accountant"
)

// roomTries is for how many steps a round looks for room: on a full fleet none is found for
// any, and each look is at all pairs of VMs.
const roomTries = 2

// roomForLasting returns the move of one lasting task that lets another start which finds
// no room, though the fleet has enough: what is left is scattered over the VMs, or lies
// where its job has as many tasks as may be on one VM. Without it the
// task waits until a whole VM's worth of others has ended.
func (r *round) roomForLasting(on motion) []Move {
	tries := 0
	for _, s := range r.lastingFirstAway() {
		if !s.Spec.Lasting || s.Spec.Gang || on.steps[s] || r.promised[s] || r.now.Sub(s.ReadyAt) < blockedFor {
			continue
		}
		count := perVM(s)
		if slices.ContainsFunc(r.rooms, func(m *room) bool { return m.admits(s, count[m.vm]) }) {
			continue
		}
		if tries++; tries > roomTries {
			break
		}
		if move, ok := r.makeRoom(s, count, on); ok {
			return []Move{move}
		}
	}
	return nil
}

// lastingFirstAway returns the steps that wait, those first whose tasks are overdue.
func (r *round) lastingFirstAway() (steps []*accountant.Step) {
	waiting := order(r.in, r.in.State.WaitingSteps(r.now))
	seen := make(map[*accountant.Step]bool)
	for _, t := range r.overdueTasks(waiting) {
		if !seen[t.Step] {
			seen[t.Step] = true
			steps = append(steps, t.Step)
		}
	}
	return append(steps, slices.DeleteFunc(waiting, func(s *accountant.Step) bool { return seen[s] })...)
}

// makeRoom finds the smallest lasting run that can go elsewhere and in whose place a task
// of the step fits.
func (r *round) makeRoom(s *accountant.Step, count map[*accountant.VM]int, on motion) (best Move, ok bool) {
	for _, m := range r.rooms {
		if on.vms[m.vm.Name] {
			continue
		}
		for _, run := range lastingRuns(m.vm) {
			if run.Step() == s || !r.mayMove(run) {
				continue
			}
			if ok && run.Step().Spec.Needs.CPUMillis >= best.Run.Step().Spec.Needs.CPUMillis {
				continue
			}
			without := *m
			without.leave(run.Step())
			if !without.admits(s, count[m.vm]) {
				continue
			}
			if to := r.placeFor(run, m); to != nil {
				best, ok = Move{Run: run, To: to.vm, For: s}, true
			}
		}
	}
	return best, ok
}

// placeFor returns a VM with room for a lasting run other than its own, or nil.
func (r *round) placeFor(run *accountant.Run, from *room) *room {
	s := run.Step()
	count := r.countOf(s)
	for _, m := range r.rooms {
		if m != from && !m.vm.Slow() && !run.Task.Shunned[m.vm.Name] && m.admits(s, count[m.vm]) {
			return m
		}
	}
	return nil
}
