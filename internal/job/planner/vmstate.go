package planner

import (
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// vmState is the capacity of a VM during a round, after the tasks placed in the round.
type vmState struct {
	vm              *tracker.VM
	now             time.Time
	free            specifier.Resources
	slow            bool          // tasks should start on other VMs, if they can
	measured        bool          // slow is by the measured speed
	factor          float64       // speed of a slow VM, otherwise 1
	speedAge        time.Duration // age of the speed of a slow VM
	ramping         bool          // it has recovered lately, and accepts rampLeft starts in this round
	rampLeft        int
	bestEffortCPU   int64         // thousandths of a core that best-effort tasks ask for
	bestEffortKnown bool          // whether bestEffortStart and bestEffortWorks are set
	bestEffortStart time.Time     // latest start of a best-effort run from before the round
	bestEffortWorks bool          // it works on best-effort runs that end by themselves, from before the round
	longRunning     int           // number of long-running tasks
	longRunningCPU  int64         // thousandths of a core reserved for them
	placed          int           // in this round
	observed        *tracker.Task // a run of it is observed on the VM; nil: none is
	suspected       bool          // it has a run of a suspected task
	lateSuspects    int           // runs of tasks under which workers crashed at the same late age
	lateSince       time.Time     // when the last of them was ordered
	wanted          bool          // urgent tasks that have waited too long could use more of its capacity
	neighboursKnown bool          // whether neighbours is set
	// neighbours are the long-running tasks that best-effort tasks could interfere with.
	neighbours []neighbour
	images     imageCounts // of the long-running tasks; nil until it is needed
	// reserved holds the tasks with reserved capacity on the VM, which free does not include.
	reserved         map[*tracker.Task]bool
	releasesKnown    bool                // whether stopping and ending are set
	stopping, ending specifier.Resources // resources of the runs that are being stopped, and of the others that are not long-running
}

func vmStateOf(vm *tracker.VM, now time.Time) vmState {
	return vmState{vm: vm, now: now, free: vm.Capacity.Sub(vm.Committed), bestEffortCPU: vm.BestEffortCPU, longRunning: vm.LongRunning, longRunningCPU: vm.LongRunningCPU}
}

func (m *vmState) hasTicket(s *tracker.Step) bool {
	_, ok := s.TicketFor(m.vm, m.now)
	return ok
}

// admitsTask reports whether the VM admits a task of the step, including on the capacity
// reserved for it.
func (m *vmState) admitsTask(s *tracker.Step, t *tracker.Task, running int) bool {
	if !m.release(t) {
		return m.admits(s, running)
	}
	defer m.reserve(t)
	return m.admits(s, running)
}

func (m *vmState) admits(s *tracker.Step, running int) bool {
	return m.permits(s) && m.takes(s, running)
}

// permits reports whether the queue's policy is known to allow the VM.
func (m *vmState) permits(s *tracker.Step) bool {
	return !s.Occurrence.Job.Queue.Advised || m.hasTicket(s)
}

// takes reports whether the VM would admit a task of the step if the queue's policy allowed it.
func (m *vmState) takes(s *tracker.Step, running int) bool {
	spec := s.Spec
	if !m.free.Fits(spec.Committed()) || !m.suits(s, running) {
		return false
	}
	if !spec.BestEffort {
		return true
	}
	if m.slow && m.measured {
		return m.admitsProbe(s, running)
	}
	return float64(spec.Needs.CPUMillis) <= m.bestEffortCapacity() || m.idle() > 0 && m.onlyBestEffort(s, running)
}

// onlyBestEffort reports whether no other best-effort task that ends by itself runs on the VM or was
// placed there in the round. A task that asks for more than there is starts then: it can't wait for
// anything that would leave it more.
func (m *vmState) onlyBestEffort(s *tracker.Step, running int) bool {
	return m.placedBestEffort(s, running) == 0 && m.vm.BestEffortEnding == 0
}

// placedBestEffort is how many thousandths of a core the best-effort tasks ask for that were placed on
// the VM in the round, without members of the same gang as the next one.
func (m *vmState) placedBestEffort(s *tracker.Step, running int) int64 {
	placed := m.bestEffortCPU - m.vm.BestEffortCPU
	if s.Spec.Gang {
		placed -= int64(running) * s.Spec.Needs.CPUMillis
	}
	return max(placed, 0)
}

// eligible reports whether the VM would admit a task of the step if it had enough free
// capacity.
func (m *vmState) eligible(s *tracker.Step, running int) bool {
	return m.permits(s) && m.suits(s, running)
}

// suits reports whether the VM would admit a task of the step if it had enough free capacity and the
// queue's policy allowed it.
func (m *vmState) suits(s *tracker.Step, running int) bool {
	spec := s.Spec
	switch {
	case !s.Occurrence.Job.Queue.RunsOn(m.vm.Service),
		spec.Label != "" && !m.vm.Labels[spec.Label],
		spec.MaxPerVM > 0 && running >= spec.MaxPerVM:
		return false
	}
	return !m.awaitsProbe(s, running) && !m.awaitsTrial(s, running) && !m.rampedOut()
}

// otherJobsFirst is how long after a quarantine a VM accepts only tasks of jobs that have not failed there:
// they show better whether its worker is sound.
const otherJobsFirst = 500 * time.Millisecond

// awaitsProbe reports whether the VM is on probation and a run is to show whether its worker is
// sound again. Until then nothing else starts there. The members of a gang count as one run: they
// start together or not at all, and a failure of one ends all.
func (m *vmState) awaitsProbe(s *tracker.Step, running int) bool {
	if !m.vm.OnProbation() {
		return false
	}
	if m.now.Sub(m.vm.Health.QuarantinedUntil) < otherJobsFirst && m.vm.FailedJob(s.Occurrence.Job) {
		return true
	}
	return m.vm.Probes(s.Spec, m.now)+m.placedBeside(s, running) > 0
}

// awaitsTrial reports whether tasks have failed on the VM, perhaps through its fault, and a task of the
// step there has not shown yet whether it will. A faulty VM looks idle and would get a backlog; a gang
// fails as a whole.
func (m *vmState) awaitsTrial(s *tracker.Step, running int) bool {
	if !m.vm.Doubtful() || s.Spec.Gang {
		return false
	}
	before := 0 // this round
	for _, run := range m.vm.Runs {
		if run.Step() == s {
			before++
		}
	}
	return m.vm.Trials(s)+running-before > 0
}

// placedBeside returns the number of tasks placed on the VM in the round that are not members of the
// same gang as the next one. running is the number of runs of the step there.
func (m *vmState) placedBeside(s *tracker.Step, running int) int {
	if !s.Spec.Gang {
		return m.placed
	}
	return max(m.placed-running, 0) // a gang has no other runs when its members are placed
}

// bestEffortCapacity is how many thousandths of a core best-effort tasks may still ask for.
func (m *vmState) bestEffortCapacity() float64 {
	share := overcommitAlone
	if m.longRunning > 0 {
		share = overcommitColocated
	}
	return m.idle()*share - float64(m.bestEffortCPU)
}

// idle is how many thousandths of a core the tasks with reserved processors are expected to
// leave unused.
func (m *vmState) idle() float64 {
	if m.slow && m.measured {
		return m.deliveredIdle()
	}
	return float64(m.free.CPUMillis) + float64(m.longRunningCPU)*(1-longRunningUtilization)
}

// imageCounts returns the long-running images of the VM, including those placed in this round.
func (m *vmState) imageCounts() imageCounts {
	if m.images == nil {
		m.images = countImages(m.vm)
	}
	return m.images
}
