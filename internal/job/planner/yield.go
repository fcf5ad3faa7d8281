package planner

import (
	"cmp"
	"slices"
	"time"

	"bamboospread/internal/job/tracker"
)

// Limits of yields. They cover a load under which long-running tasks have reserved nearly all
// processors before urgent tasks arrive: urgent tasks that take a second queue up behind
// others that run for a minute, and the queue grows until the traffic ends. The capacity of one
// long-running task serves a dozen of them in sequence, and its users still have the other
// tasks of its job.
const (
	// yieldAfter is how long an urgent task waits for capacity before a long-running one
	// yields: ending tasks free capacity all the time.
	yieldAfter = 250 * time.Millisecond
	// yieldCooldown is how long tasks that yielded stay stopped after an urgent task last
	// waited too long. Otherwise they would start again in the first gap and have to stop
	// again.
	yieldCooldown = 1500 * time.Millisecond
	// maxYieldShare is the share of the processors reserved for long-running tasks that may be
	// unavailable, whatever the cause. Tasks that have never run do not count as unavailable.
	maxYieldShare = 0.2
	// maxYields bounds a round.
	maxYields = 3
)

// Yields returns the long-running runs to stop to free capacity for urgent tasks, and whether any
// urgent task has waited too long for capacity.
func Yields(in Input) (runs []*tracker.Run, underPressure bool) {
	r := newRound(in)
	r.loadVMs()
	need := r.urgentDemand()
	if need == 0 {
		return nil, false
	}
	need -= r.stoppingCPUWhereWanted()
	budget := r.yieldBudget()
	for _, run := range r.yieldable() {
		if !r.isWanted(run.VM) {
			continue
		}
		cpu := run.Step().Spec.Needs.CPUMillis
		if need <= 0 || len(runs) == maxYields || float64(cpu) > budget {
			break
		}
		runs = append(runs, run)
		need -= cpu
		budget -= float64(cpu)
	}
	return runs, true
}

// isWanted reports whether urgent tasks that wait could use more capacity of a VM.
func (r *round) isWanted(vm *tracker.VM) bool {
	m := r.findVM(vm.Name)
	return m != nil && m.wanted
}

// stoppingCPUWhereWanted is how many thousandths of a core long-running tasks hold that are being stopped
// on VMs where urgent tasks want them.
func (r *round) stoppingCPUWhereWanted() (sum int64) {
	for _, s := range r.state.OpenSteps() {
		if !s.Spec.LongRunning {
			continue
		}
		for _, t := range s.Tasks {
			if run := t.PrimaryRun(); run != nil && run.State == tracker.Stopping && r.isWanted(run.VM) {
				sum += s.Spec.Needs.CPUMillis
			}
		}
	}
	return sum
}

// yieldBudget is how many thousandths of a core long-running tasks may still yield.
func (r *round) yieldBudget() float64 {
	reserved, unavailable := int64(0), int64(0)
	for _, s := range r.state.OpenSteps() {
		if !s.Spec.LongRunning {
			continue
		}
		reserved += int64(len(s.Tasks)) * s.Spec.Needs.CPUMillis
		for _, t := range s.Tasks {
			if (t.HasRun || len(t.Runs) > 0) && t.Unavailable() {
				unavailable += s.Spec.Needs.CPUMillis
			}
		}
	}
	return maxYieldShare*float64(reserved) - float64(unavailable)
}

// urgentDemand is how many thousandths of a core are needed by urgent tasks that have waited
// too long and fit on no VM. It marks the VMs on which one of them could use more capacity.
// Best-effort tasks and gangs are not included, nor tasks that are too late to be of value to
// their callers.
func (r *round) urgentDemand() (need int64) {
	for _, s := range r.waitingSteps() {
		if s.Spec.BestEffort || s.Spec.LongRunning || s.Spec.Gang || s.Occurrence.Job.Queue.Priority > 0 || rank(r.in, s).urgency == tooLate {
			continue
		}
		waiting := int64(0)
		for _, t := range s.Tasks {
			if t.Waits(r.now) && r.now.Sub(t.WaitSince) >= yieldAfter && r.now.Sub(s.ReadyAt) >= yieldAfter {
				waiting++
			}
		}
		count := runsPerVM(s)
		if waiting == 0 || slices.ContainsFunc(r.vmStates, func(m *vmState) bool { return m.admits(s, count[m.vm]) }) || !r.limitedByCapacity(s, count) {
			continue
		}
		need += waiting * s.Spec.Needs.CPUMillis
		for _, m := range r.vmStates {
			m.wanted = m.wanted || m.lacksOnlyCapacity(s, count[m.vm])
		}
	}
	return need
}

// limitedByCapacity reports whether capacity is all that a step lacks on some VM. Otherwise tasks
// that no VM may or can run would make long-running tasks yield forever.
func (r *round) limitedByCapacity(s *tracker.Step, count map[*tracker.VM]int) bool {
	return slices.ContainsFunc(r.vmStates, func(m *vmState) bool { return m.lacksOnlyCapacity(s, count[m.vm]) })
}

// lacksOnlyCapacity reports whether the VM would admit a task of a step if it were empty.
func (m *vmState) lacksOnlyCapacity(s *tracker.Step, running int) bool {
	return m.eligible(s, running) && m.vm.Capacity.Fits(s.Spec.Committed())
}

// yieldable returns the long-running runs that may yield, first those whose steps have the
// smallest share of unavailable tasks, and of equal ones those of the steps with the most
// processors running. Otherwise the tasks of one large job would yield for all others.
func (r *round) yieldable() []*tracker.Run {
	var runs []*tracker.Run
	unavailable := make(map[*tracker.Step]float64)
	runningCPU := make(map[*tracker.Step]float64) // thousandths of a core
	for _, m := range r.vmStates {
		for _, run := range longRunningRuns(m.vm) {
			s := run.Step()
			if s.Spec.MaxUnavailable > 0 || len(s.Tasks) == 1 || !r.mayYield(run) {
				continue
			}
			if _, known := unavailable[s]; !known {
				count := float64(s.Unavailable())
				unavailable[s] = count / float64(len(s.Tasks))
				runningCPU[s] = (float64(len(s.Tasks)) - count) * float64(s.Spec.Needs.CPUMillis)
			}
			runs = append(runs, run)
		}
	}
	slices.SortStableFunc(runs, func(a, b *tracker.Run) int {
		return cmp.Or(cmp.Compare(r.longRunningPrecedence(b), r.longRunningPrecedence(a)), cmp.Compare(unavailable[a.Step()], unavailable[b.Step()]), cmp.Compare(runningCPU[b.Step()], runningCPU[a.Step()]))
	})
	return runs
}
