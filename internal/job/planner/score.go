package planner

import "bamboospread/internal/job/accountant"

// score orders VMs for a task; the first difference decides, higher is better.
type score [4]float64

func (s score) above(o score) bool {
	for i := range s {
		if s[i] != o[i] {
			return s[i] > o[i]
		}
	}
	return false
}

// rate scores a VM for a task.
//
// Lasting tasks serve users and are disturbed by tasks that fill. So the two are
// kept apart: lasting tasks are packed on few VMs, tasks that fill go where the
// fewest lasting ones are, and other tasks, which disturb nobody, go beside the
// lasting ones and leave idle processors elsewhere to those that fill.
func rate(m *room, s *accountant.Step, t *accountant.Task, running int, takes float64) score {
	spec := s.Spec
	var sc score
	if t.Shunned[m.vm.Name] {
		sc[0]--
	}
	if m.vm.Slow() {
		sc[0]--
	}
	if t.Moves.To == m.vm.Name {
		sc[0] += 0.75
	}
	if spec.DataRack != "" && m.vm.Rack == spec.DataRack {
		sc[0] += 0.5
	}
	if spec.SameRack {
		sc[0] += 0.25 * rackShare(s, m.vm.Rack)
	}
	free := float64(m.free.CPUMillis) / float64(max(m.vm.Capacity.CPUMillis, 1))
	switch {
	case spec.Fills:
		sc[1] = m.fillRoom()/float64(max(m.vm.Capacity.CPUMillis, 1)) - takes
	case spec.Lasting:
		sc[1] = -takes
		sc[2] = float64(m.lasting)
		sc[3] = -free
	default:
		sc[1] = float64(min(m.lasting, 1))
		sc[2] = free
	}
	sc[3] -= float64(running)
	return sc
}

// rackShare is the share of the step's live runs that are on a rack.
func rackShare(s *accountant.Step, rack string) float64 {
	here, all := 0, 0
	for _, t := range s.Tasks {
		for _, r := range t.Runs {
			all++
			if r.VM.Rack == rack {
				here++
			}
		}
	}
	if all == 0 {
		return 0
	}
	return float64(here) / float64(all)
}
