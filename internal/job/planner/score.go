package planner

import "bamboospread/internal/job/tracker"

// score ranks VMs for a task; the first differing element decides, higher is better.
type score [4]float64

func (s score) above(o score) bool {
	for i := range s {
		if s[i] != o[i] {
			return s[i] > o[i]
		}
	}
	return false
}

// scoreVM scores a VM for a task.
//
// Best-effort tasks interfere with long-running ones, which serve users, so the two are
// separated: long-running tasks are packed on few VMs, and best-effort tasks go where there
// are fewest of them. Other tasks, which do not interfere, go on the VMs of long-running tasks
// and leave idle processors elsewhere to best-effort tasks.
func scoreVM(m *vmState, s *tracker.Step, t *tracker.Task, running int, cost float64) score {
	spec := s.Spec
	var sc score
	if t.AvoidsVM(m.vm.Name) {
		sc[0]--
	}
	if m.slow {
		sc[0]--
	}
	if spec.Gang && running > 0 && m.vm.OnProbation() {
		sc[0]-- // one member shows as much as several
	}
	if t.CrashedUnreported(m.vm.Name) {
		sc[0]--
	}
	if m.suspected && t.Suspected() {
		sc[0] -= besideSuspected
	}
	if m.lateSuspects > 1 && t.RepeatsLate() {
		sc[0] -= besideSuspected * (1 - 1/float64(m.lateSuspects)) // each crash rules out those on other VMs
	}
	if t.Relocation().To == m.vm.Name {
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
	case spec.BestEffort:
		sc[1] = m.bestEffortCapacity()/float64(max(m.vm.Capacity.CPUMillis, 1)) - cost
	case spec.LongRunning:
		sc[1] = -cost
		sc[2] = float64(m.longRunning)
		sc[3] = -free
	default:
		sc[1] = float64(min(m.longRunning, 1))
		sc[2] = free
	}
	sc[3] -= float64(running)
	return sc
}

// rackShare is the share of the step's current runs that are on a rack.
func rackShare(s *tracker.Step, rack string) float64 {
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
