package planner

import (
	"slices"
	"sort"
	"time"

	"bamboospread/internal/job/tracker"
)

// Limits of requests for advice.
const (
	// maxVMsPerRequest is how many VMs one request names: the service needs some time for each
	// VM and handles one request at a time.
	maxVMsPerRequest = 20
	// ticketMargin is how long before its expiry a ticket counts as expired: a start takes
	// some milliseconds to arrive, and the tasks of a step may wait for one another.
	ticketMargin = 300 * time.Millisecond
)

// AdviceRequest is a request to the advising service for tickets for a step.
type AdviceRequest struct {
	Step *tracker.Step
	VMs  []*tracker.VM
}

// NextAdviceRequest returns the most urgent request for the advising service, if there is one: for a
// step that can't start with the tickets that it has. VMs with the most free capacity come first. VMs
// that already have an answer without a valid ticket come last, so that the next request names others.
func NextAdviceRequest(in Input) (AdviceRequest, bool) {
	steps := slices.DeleteFunc(in.State.WaitingSteps(in.Now), func(s *tracker.Step) bool {
		return !s.Occurrence.Job.Queue.Advised || in.Now.Before(s.Advice.NotBefore)
	})
	if len(steps) == 0 {
		return AdviceRequest{}, false
	}
	in.Now, in.Cache = in.Now.Add(ticketMargin), nil // what is cached is not of that time
	r := newLoadedRound(in)
	for _, s := range order(in, steps) {
		if candidates := r.adviceCandidates(s); len(candidates) > 0 && !r.hasTickets(s) {
			return AdviceRequest{Step: s, VMs: selectVMs(s, candidates)}, true
		}
	}
	return AdviceRequest{}, false
}

// adviceCandidates returns the VMs without a valid ticket that would take a task of the step.
func (r *round) adviceCandidates(s *tracker.Step) (candidates []*vmState) {
	count := r.runCounts(s)
	for _, m := range r.vmStates {
		if m.vm.WorkerID != "" && !m.hasTicket(s) && m.takes(s, count[m.vm]) {
			candidates = append(candidates, m)
		}
	}
	return candidates
}

// hasTickets reports whether the tickets of a step are enough for one task, or for all members of a
// gang. It places the gang if they are.
func (r *round) hasTickets(s *tracker.Step) bool {
	if s.Spec.Gang {
		return len(r.placeGang(s)) > 0
	}
	count := r.runCounts(s)
	return slices.ContainsFunc(r.vmStates, func(m *vmState) bool { return m.admits(s, count[m.vm]) })
}

func selectVMs(s *tracker.Step, candidates []*vmState) []*tracker.VM {
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		_, askedA := s.Advice.Tickets[a.vm.Name]
		_, askedB := s.Advice.Tickets[b.vm.Name]
		if askedA != askedB {
			return askedB
		}
		if a.free.CPUMillis != b.free.CPUMillis {
			return a.free.CPUMillis > b.free.CPUMillis
		}
		return a.vm.Name < b.vm.Name
	})
	var vms []*tracker.VM
	for _, m := range candidates[:min(len(candidates), maxVMsPerRequest)] {
		vms = append(vms, m.vm)
	}
	return vms
}
