package planner

import (
	"fmt"
	"sort"
	"strings"

	"bamboospread/internal/job/accountant"
)

// Explain tells why tasks of a step wait.
func Explain(in Input, s *accountant.Step) string {
	j := s.Occurrence.Job
	switch {
	case j.State.Final():
		return "the job has ended"
	case !s.Ready():
		return "earlier steps are not finished"
	case !j.SettlesAt.IsZero():
		return "an earlier owner may have started it on a VM that has not reported yet"
	case j.Queue.Name == "":
		return "no fleet text has the queue " + j.Spec.Queue
	}
	counts := make(map[string]int)
	r := newRound(in)
	for _, vm := range in.State.VMs {
		counts[r.objection(in, vm, s)]++
	}
	if len(counts) == 0 {
		return "no VM has reported"
	}
	parts := make([]string, 0, len(counts))
	for reason, n := range counts {
		parts = append(parts, fmt.Sprintf("%d VMs %s", n, reason))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// objection tells why a VM does not take a task of the step now.
func (r *round) objection(in Input, vm *accountant.VM, s *accountant.Step) string {
	switch {
	case !vm.Attached:
		return "not reached"
	case !vm.Ready:
		return "leaving or silent"
	case !vm.Sized():
		return "with a run of unknown size"
	case vm.Quarantined(in.Now):
		return "quarantined"
	case in.State.Policy().ZonesOut[vm.Zone]:
		return "in a zone that is out"
	case !s.Occurrence.Job.Queue.RunsOn(vm.Service):
		return "of another service"
	case s.Spec.Label != "" && !vm.Labels[s.Spec.Label]:
		return "without the label " + s.Spec.Label
	}
	if _, ok := s.TicketFor(vm, in.Now); s.Occurrence.Job.Queue.Advised && !ok {
		return "without a ticket of the advising service"
	}
	m := newRoom(vm, in.Now)
	switch {
	case !m.free.Fits(s.Spec.Committed()):
		return "without room"
	case !m.admits(s, perVM(s)[vm]):
		return "with enough tasks of the step or of filling tasks"
	case s.Spec.Fills && r.disturbance(m, s).least < headroomLeast:
		return "where it would disturb lasting tasks"
	}
	return "with room"
}
