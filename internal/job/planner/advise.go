package planner

import (
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

// NextAdviceRequest returns the most urgent request for the advising service, if there is one:
// for a step without a valid ticket for any usable VM with enough free capacity. VMs with the
// most free capacity come first. VMs that already have an answer without a valid ticket come
// last, so that the next request names others.
func NextAdviceRequest(in Input) (AdviceRequest, bool) {
	for _, s := range order(in, in.State.WaitingSteps(in.Now)) {
		if !s.Occurrence.Job.Queue.Advised || in.Now.Before(s.AdviseAt) {
			continue
		}
		var candidates []*vmState
		hasTicket := false
		for _, vm := range in.State.VMs {
			if !acceptsTasks(vm, in) || !s.Occurrence.Job.Queue.RunsOn(vm.Service) || vm.WorkerID == "" {
				continue
			}
			m := newVMState(vm, in.Now.Add(ticketMargin))
			if !m.free.Fits(s.Spec.Committed()) {
				continue
			}
			hasTicket = hasTicket || m.hasTicket(s)
			candidates = append(candidates, m)
		}
		if hasTicket || len(candidates) == 0 {
			continue
		}
		return AdviceRequest{Step: s, VMs: selectVMs(s, candidates)}, true
	}
	return AdviceRequest{}, false
}

func selectVMs(s *tracker.Step, candidates []*vmState) []*tracker.VM {
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		_, askedA := s.Tickets[a.vm.Name]
		_, askedB := s.Tickets[b.vm.Name]
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
