package planner

import (
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// Limits of starts on VMs that have become several times slower than others. They cover a load that the other VMs can
// take, and one that they can't: what starts on a slow VM then ends late, but earlier than if it waited.
const (
	// minFactor bounds the expected run times on a slow VM.
	minFactor = 0.05
	// patienceShare is the share of the time that a slow VM would cost an urgent task for which the task waits
	// for another VM, and maxPatience its limit.
	patienceShare = 0.5
	maxPatience   = time.Second
	// probeAfter is the age of a slow VM's speed from which one best-effort task shows whether it has recovered.
	probeAfter = 2 * time.Second
	// slowVMWait is how long a best-effort task waits for another VM, or for a slow one without other tasks.
	slowVMWait = 6 * time.Second
	// rampStep is the time after a VM has recovered in which the number of starts that it accepts doubles, for
	// rampSteps times.
	rampStep  = 250 * time.Millisecond
	rampSteps = 6
)

// slow reports whether tasks should start on other VMs, if they can.
func (in Input) slow(vm *tracker.VM) bool {
	if in.Calibrator == nil {
		return vm.Slow()
	}
	return in.Calibrator.Slow(vm.Name)
}

// factor returns the speed of a VM as a factor: 1 unless it counts as slow.
func (in Input) factor(vm *tracker.VM) float64 {
	if in.Calibrator == nil || !in.Calibrator.Slow(vm.Name) {
		return 1
	}
	return min(max(in.Calibrator.Speed(vm.Name, in.Now).Factor, minFactor), 1)
}

// loadSpeeds sets the speeds of the VMs. If all VMs of a service are slow, none counts as slow: there is no
// better one.
func (r *round) loadSpeeds() {
	sound := make(map[string]int) // VMs by service
	for _, m := range r.vmStates {
		m.setSpeed(r.in)
		if !m.slow {
			sound[m.vm.Service]++
		}
	}
	if r.in.Calibrator == nil {
		return
	}
	for _, m := range r.vmStates {
		switch {
		case sound[m.vm.Service] == 0:
			m.slow, m.measured, m.factor = false, false, 1
		case sound[m.vm.Service] > 1 && !m.slow:
			m.limitRamp(r.in.Calibrator.SoundSince(m.vm.Name))
		}
	}
}

// setSpeed sets the speed of a VM.
func (m *vmState) setSpeed(in Input) {
	m.slow, m.factor, m.measured = in.slow(m.vm), in.factor(m.vm), in.Calibrator != nil
	if m.slow && m.measured {
		m.speedAge = in.Calibrator.Speed(m.vm.Name, in.Now).Age
	}
}

// limitRamp limits the starts on a VM that has recovered, so that a backlog does not land on it at once.
func (m *vmState) limitRamp(since time.Time) {
	steps := int(m.now.Sub(since) / rampStep)
	if since.IsZero() || steps >= rampSteps {
		return
	}
	started := 0
	for _, run := range m.vm.Runs {
		if !run.OrderedAt.Before(since) {
			started++
		}
	}
	m.ramping, m.rampLeft = true, 1<<steps-started
}

// rampedOut reports whether a VM that has recovered must not accept another start yet.
func (m *vmState) rampedOut() bool { return m.ramping && m.placed >= m.rampLeft }

// admitsProbe reports whether a slow VM accepts a best-effort task, or the members of a gang, to show whether it has
// recovered. After slowVMWait one starts beside other tasks too: a stream of urgent tasks may never end, and a task
// that is throttled to zero shows nothing.
func (m *vmState) admitsProbe(s *tracker.Step, running int) bool {
	patient := m.now.Sub(s.ReadyAt) < slowVMWait
	if m.placedBeside(s, running) > 0 || patient && m.speedAge < probeAfter {
		return false
	}
	for _, run := range m.vm.Runs {
		if run.Step().Spec.LongRunning || run.State == tracker.Stopping {
			continue
		}
		if patient || run.Step().Spec.BestEffort && (run.Pace != 0 || m.now.Sub(run.OrderedAt) < startSpacing) {
			return false // it shows the speed itself
		}
	}
	return true
}

// deliveredIdle is how many thousandths of a core of a slow VM best-effort tasks can use, counted by the work that
// they do: its reserved tasks take longer, or more of it.
func (m *vmState) deliveredIdle() float64 {
	reserved := float64(m.vm.Capacity.CPUMillis-m.free.CPUMillis) - float64(m.longRunningCPU)*(1-longRunningUtilization)
	return max(m.factor*float64(m.vm.Capacity.CPUMillis)-reserved, 0)
}

// waitsForSound reports whether an urgent task should rather wait for another VM than start on a slow one.
func (r *round) waitsForSound(m *vmState, t *tracker.Task) bool {
	s := t.Step.Spec
	if !m.slow || !m.measured || s.BestEffort || s.LongRunning || s.Gang {
		return false
	}
	cost := float64(s.Estimate()) * (1/m.factor - 1)
	patience := min(specifier.Span(patienceShare*cost), maxPatience)
	return r.waited(t) < patience
}
