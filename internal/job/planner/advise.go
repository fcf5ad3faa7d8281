package planner

import (
	"cmp"
	"slices"
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
// step that can't start with the tickets that it has. Requests with VMs that were not refused come
// first, in the order of the steps. Requests that only repeat refusals take turns after them, so that
// steps that nothing allows don't keep others from being asked about.
func NextAdviceRequest(in Input) (AdviceRequest, bool) {
	steps := slices.DeleteFunc(in.State.WaitingSteps(in.Now), func(s *tracker.Step) bool {
		return !s.Occurrence.Job.Queue.Advised || in.Now.Before(s.Advice.NotBefore)
	})
	if len(steps) == 0 {
		return AdviceRequest{}, false
	}
	now := in.Now
	in.Now, in.Cache = now.Add(ticketMargin), nil // what is cached is not of that time
	r := newLoadedRound(in)
	var again AdviceRequest
	for _, s := range order(in, steps) {
		candidates, fresh := r.adviceCandidates(s)
		if len(candidates) == 0 || r.hasTickets(s) {
			continue
		}
		if fresh {
			return AdviceRequest{Step: s, VMs: selectVMs(s, candidates)}, true
		}
		due := s.Advice.AskAgainAt
		if !now.Before(due) && (again.Step == nil || due.Before(again.Step.Advice.AskAgainAt)) {
			again = AdviceRequest{Step: s, VMs: selectVMs(s, candidates)}
		}
	}
	return again, again.Step != nil
}

// adviceCandidates returns the VMs without a valid ticket that would take a task of the step. fresh
// reports whether the service has not refused all of them.
func (r *round) adviceCandidates(s *tracker.Step) (candidates []*vmState, fresh bool) {
	count := r.runCounts(s)
	for _, m := range r.vmStates {
		if m.vm.WorkerID == "" || m.hasTicket(s) || !m.takes(s, count[m.vm]) {
			continue
		}
		candidates = append(candidates, m)
		fresh = fresh || standingOf(s, m.vm) != adviceRefused
	}
	return candidates, fresh
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

// standing is what the service has last answered on a VM for a step, in the order in which requests
// name VMs.
type standing int

const (
	adviceAllowed standing = iota // its ticket has expired
	adviceUnknown
	adviceRefused
)

func standingOf(s *tracker.Step, vm *tracker.VM) standing {
	t, ok := s.LastTicket(vm)
	switch {
	case !ok:
		return adviceUnknown
	case t.Text != "":
		return adviceAllowed
	default:
		return adviceRefused
	}
}

// selectVMs returns the VMs that a request names. Those that the service is known to allow come
// first, so that the tickets of a gang are valid at the same time; of those that it has refused, the
// ones asked about longest ago.
func selectVMs(s *tracker.Step, candidates []*vmState) []*tracker.VM {
	slices.SortFunc(candidates, func(a, b *vmState) int {
		ta, _ := s.LastTicket(a.vm)
		tb, _ := s.LastTicket(b.vm)
		return cmp.Or(
			cmp.Compare(standingOf(s, a.vm), standingOf(s, b.vm)), ta.AskedAt.Compare(tb.AskedAt),
			cmp.Compare(b.free.CPUMillis, a.free.CPUMillis), cmp.Compare(a.vm.Name, b.vm.Name),
		)
	})
	var vms []*tracker.VM
	for _, m := range candidates[:min(len(candidates), maxVMsPerRequest)] {
		vms = append(vms, m.vm)
	}
	return vms
}
