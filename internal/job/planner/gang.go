package planner

import (
	"maps"
	"slices"

	"bamboospread/internal/job/tracker"
)

// placeGang places all tasks of a gang or none: a part of the gang would only wait.
func (r *round) placeGang(s *tracker.Step) []Start {
	if !r.holdings.allows(s, len(s.Tasks)) || !r.couldHold(s) {
		return nil
	}
	saved := make([]vmState, len(r.vmStates))
	for i, m := range r.vmStates {
		saved[i] = *m
		saved[i].neighbours, saved[i].reserved = slices.Clone(m.neighbours), maps.Clone(m.reserved)
	}
	observations := r.observations
	starts := r.placeMembers(s)
	if len(starts) == len(s.Tasks) {
		return starts
	}
	for i, m := range r.vmStates {
		*m = saved[i]
	}
	delete(r.counts, s)
	r.holdings.add(s, -len(starts))
	r.observations = observations
	r.recountRoom()
	return nil
}

// couldHold reports whether the VMs with the label of a gang have free capacity for as many members as it has.
// The members are placed one by one only then: a large gang that waits would take all of the owner's time.
func (r *round) couldHold(s *tracker.Step) bool {
	members := 0
	for _, m := range r.vmStates {
		if s.Spec.Label != "" && !m.vm.Labels[s.Spec.Label] {
			continue
		}
		free := m.free
		for t := range m.reserved {
			if t.Step == s {
				free = free.Add(s.Spec.Committed())
			}
		}
		n := free.Count(s.Spec.Committed(), len(s.Tasks))
		if s.Spec.MaxPerVM > 0 {
			n = min(n, s.Spec.MaxPerVM)
		}
		if members += n; members >= len(s.Tasks) {
			return true
		}
	}
	return false
}

// placeMembers places the tasks of a gang up to the first that has to wait: no VM has capacity for
// it, or a member of an earlier run has not ended yet.
func (r *round) placeMembers(s *tracker.Step) (starts []Start) {
	number := r.state.GangNumber(s)
	count := r.runCounts(s)
	for _, t := range s.Tasks {
		if !t.Waits(r.now) {
			return starts
		}
		best := r.heldFor(t)
		if best == nil || !r.mayRun(best, s, t, count) {
			best = r.choose(s, t, count)
		}
		if best == nil {
			return starts
		}
		starts = append(starts, r.place(t, best, number))
	}
	return starts
}

// heldFor returns the VM on which room is held for a member, or nil. Members that took other places would
// leave the room of some to none.
func (r *round) heldFor(t *tracker.Task) *vmState {
	room := t.Step.Room
	if room.VMs == nil || !r.now.Before(room.Until) {
		return nil
	}
	return r.findVM(room.VMs[t.Index])
}
