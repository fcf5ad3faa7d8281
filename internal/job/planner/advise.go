package planner

import (
	"sort"
	"time"

	"bamboospread/internal/job/accountant"
)

// Limits of asking for advice.
const (
	// maxAsked is how many VMs one question names: an answer takes a time for each,
	// and the service takes one question at a time.
	maxAsked = 20
	// ticketMargin is how long before its end a ticket counts as over: a start is on
	// its way some milliseconds, and its tasks may wait for one another.
	ticketMargin = 300 * time.Millisecond
)

// Question asks for tickets for a step.
type Question struct {
	Step *accountant.Step
	VMs  []*accountant.VM
}

// Ask returns the most urgent question for the advising service, if there is one: a
// step of which no usable VM with room has a ticket that holds. The VMs with most
// room are asked about first; those that were asked in vain come last, by turns.
func Ask(in Input) (Question, bool) {
	for _, s := range order(in, in.State.WaitingSteps(in.Now)) {
		if !s.Occurrence.Job.Queue.Advised || in.Now.Before(s.AdviseAt) {
			continue
		}
		var candidates []*room
		ticketed := false
		for _, vm := range in.State.VMs {
			if !usable(vm, in) || !s.Occurrence.Job.Queue.RunsOn(vm.Service) || vm.WorkerID == "" {
				continue
			}
			m := newRoom(vm, in.Now.Add(ticketMargin))
			if !m.free.Fits(s.Spec.Committed()) {
				continue
			}
			ticketed = ticketed || m.ticketed(s)
			candidates = append(candidates, m)
		}
		if ticketed || len(candidates) == 0 {
			continue
		}
		return Question{Step: s, VMs: pickAsked(s, candidates)}, true
	}
	return Question{}, false
}

func pickAsked(s *accountant.Step, candidates []*room) []*accountant.VM {
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
	var vms []*accountant.VM
	for _, m := range candidates[:min(len(candidates), maxAsked)] {
		vms = append(vms, m.vm)
	}
	return vms
}
