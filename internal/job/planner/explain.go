package planner

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"bamboospread/internal/job/tracker"
)

// freeCapacity is the reason of a VM on which a task of the step may start.
const freeCapacity = "with free capacity"

// Explain returns why tasks of a step wait.
func Explain(in Input, s *tracker.Step) string {
	j := s.Occurrence.Job
	switch {
	case j.State.Final():
		return "the job has ended"
	case !s.Ready():
		return "earlier steps are not finished"
	case !j.ReconcileAt.IsZero():
		return "an earlier owner may have started it on a VM that has not reported yet"
	case j.Queue.Name == "":
		return "the fleet text does not define the queue " + j.Spec.Queue
	}
	delayed := explainRestarts(in.Now, s)
	if delayed != "" && !slices.ContainsFunc(s.Tasks, func(t *tracker.Task) bool { return t.Waits(in.Now) }) {
		return delayed
	}
	counts := make(map[string]int)
	r := newLoadedRound(in)
	if reason := r.explainShare(s); reason != "" {
		delayed = strings.Trim(reason+", "+delayed, ", ")
	}
	if late := r.explainLateStarts(s); late != "" {
		delayed = strings.Trim(late+", "+delayed, ", ")
	}
	if members := r.explainMembers(s); members != "" {
		delayed = strings.Trim(members+", "+delayed, ", ")
	}
	for _, vm := range in.State.VMs {
		reason := r.rejectReason(in, vm, s)
		if m := r.findVM(vm.Name); reason == freeCapacity && m != nil && m.observed != nil {
			reason = fmt.Sprintf("kept free of other starts while %s is observed after crashes", m.observed.ID())
		} else if reason == freeCapacity && m != nil && r.holdsBack(m, s) {
			reason = "with free capacity that is kept for urgent tasks"
		}
		counts[reason]++
	}
	if len(counts) == 0 {
		return "no VM has reported"
	}
	parts := make([]string, 0, len(counts))
	for reason, n := range counts {
		parts = append(parts, fmt.Sprintf("%d VMs %s", n, reason))
	}
	sort.Strings(parts)
	if delayed != "" {
		parts = append(parts, delayed)
	}
	return strings.Join(parts, ", ")
}

// explainRestarts returns how many tasks of a step are delayed after failures and for how long, or "".
func explainRestarts(now time.Time, s *tracker.Step) string {
	count, longest := 0, time.Duration(0)
	for _, t := range s.Tasks {
		if delay := t.RestartDelay(now); delay > 0 {
			count, longest = count+1, max(longest, delay)
		}
	}
	if count == 0 {
		return ""
	}
	return fmt.Sprintf("%d tasks restart within %s after failures", count, longest.Round(time.Millisecond))
}

// explainMembers places the members of a gang that fit, so that the reasons of the VMs are those for
// the next one, and returns how many they are. It places none and returns "" if all fit.
func (r *round) explainMembers(s *tracker.Step) string {
	if !s.Spec.Gang || len(newLoadedRound(r.in).placeGang(s)) > 0 {
		return ""
	}
	room := r.explainGangRoom(s)
	placed := len(r.placeMembers(s))
	if placed == 0 {
		return room
	}
	return strings.Trim(fmt.Sprintf("%d of %d tasks that start together have a place, %s", placed, len(s.Tasks), room), ", ")
}

// explainGangRoom returns whether long-running tasks can make room for a gang that does not fit, or "" if
// they would not.
func (r *round) explainGangRoom(s *tracker.Step) string {
	if !mayGetRoom(s) || !s.AllWait(r.now) || !slices.ContainsFunc(r.vmStates, func(m *vmState) bool { return m.longRunning > 0 }) {
		return ""
	}
	if _, found := r.searchGangRoom(s); !found {
		return "no arrangement of the long-running tasks that may stop now holds all tasks that start together"
	}
	return fmt.Sprintf("long-running tasks make room for tasks that start together and have waited for %s", gangPatience)
}

// rejectReason returns why a VM does not accept a task of the step now.
func (r *round) rejectReason(in Input, vm *tracker.VM, s *tracker.Step) string {
	switch {
	case !vm.Attached:
		return "not connected"
	case !vm.Ready:
		return "draining or out of contact"
	case !in.takesOrders(vm):
		return "whose agent has no grant yet"
	case !vm.SizesKnown():
		return "with a run of unknown size"
	case vm.Quarantined(in.Now):
		return "quarantined"
	case in.State.Policy().ZonesOut[vm.Zone]:
		return "in an availability zone that is out of service"
	case !s.Occurrence.Job.Queue.RunsOn(vm.Service):
		return "of another service"
	case s.Spec.Label != "" && !vm.Labels[s.Spec.Label]:
		return "without the label " + s.Spec.Label
	}
	if _, ok := s.TicketFor(vm, in.Now); s.Occurrence.Job.Queue.Advised && !ok {
		return "without a ticket from the advising service"
	}
	m, running := r.findVM(vm.Name), r.runCounts(s)[vm] // found, since the VM accepts tasks
	switch {
	case !m.free.Fits(s.Spec.Committed()):
		return "without free capacity"
	case m.awaitsProbe(s, running):
		return "on probation after a quarantine, until a run shows that the worker is sound"
	case m.awaitsTrial(s, running):
		return "where tasks have failed, with a task of the step that shows whether the VM is sound"
	case m.slow && m.measured && s.Spec.BestEffort && !m.admitsProbe(s, running):
		return "that are slow"
	case m.rampedOut():
		return "that have just recovered from being slow"
	case s.Spec.MaxPerVM > 0 && running >= s.Spec.MaxPerVM:
		return "at the limit for tasks of the step"
	case !m.admits(s, running):
		return "at the limit for best-effort tasks"
	case s.Spec.BestEffort && !r.headroomAccepted(m, s, r.runCounts(s)):
		return "where it would interfere with long-running tasks"
	}
	return freeCapacity
}
