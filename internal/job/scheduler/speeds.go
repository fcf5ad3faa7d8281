package scheduler

import (
	"time"

	"bamboospread/internal/job/calibrator"
	"bamboospread/internal/job/planner"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
)

// minTailAge is how long a long-running task has run when its tail latency begins to count: a task that has just
// started still warms up.
const minTailAge = time.Second

// recordProgress passes the progress of a run to the calibrator.
func (l *loadControl) recordProgress(r *tracker.Run, progress int, took time.Duration) {
	if !l.speedsAsked {
		return
	}
	s := r.Step()
	l.calibrator.Observe(calibrator.Sample{
		VM: r.VM.Name, Task: r.Task.ID().String(), Step: s.Name(), Run: r.Number, Queue: s.Occurrence.Job.Spec.Queue, Image: s.Spec.Image,
		Work: s.Spec.Estimate() / 100 * time.Duration(progress), Resolution: s.Spec.Estimate() / 100, Took: took, Share: r.CPUShare(), At: r.VM.SeenAt,
		Competing: s.Spec.BestEffort && r.VM.Committed.CPUMillis+r.VM.BestEffortCPU > r.VM.Capacity.CPUMillis,
	})
}

// observeSpeed evaluates what a report shows of the speed of its VM, and passes what it shows of interference to the
// learner, unless the VM is slow: its speed would be taken for the effect of the best-effort tasks there.
func (o *owner) observeSpeed(vm *tracker.VM, now time.Time) {
	c := o.load.calibrator
	if !o.load.speedsAsked {
		planner.ObserveReport(o.learner, vm, now)
		return
	}
	if known := o.load.incarnations[vm.Name]; known != vm.Incarnation {
		if known != "" {
			c.Forget(vm.Name)
		}
		o.load.incarnations[vm.Name] = vm.Incarnation
	}
	c.ObserveTails(tailsOf(vm, now))
	c.Settle(vm.Name, now)
	if !c.Slow(vm.Name) {
		planner.ObserveReport(o.learner, vm, now)
	}
}

// tailsOf returns the tail latencies of the long-running tasks of a VM.
func tailsOf(vm *tracker.VM, now time.Time) (tails []calibrator.Tail) {
	bestEffort := int64(0) // thousandths of a core in use
	for _, r := range vm.Runs {
		s := r.Step().Spec
		switch {
		case s.BestEffort && !s.LongRunning:
			bestEffort += r.Measure
		case s.LongRunning && s.TailMillis > 0 && r.State == tracker.Running && r.Progress >= 100 && r.Measure > 0 && now.Sub(r.StartedAt) >= minTailAge:
			tails = append(tails, calibrator.Tail{VM: vm.Name, Task: r.Task.ID().String(), Image: s.Image, Run: r.Number, Latency: float64(r.Measure), At: vm.SeenAt})
		}
	}
	for i := range tails {
		tails[i].BestEffort = float64(bestEffort) / float64(max(vm.Capacity.CPUMillis, 1))
	}
	return tails
}

// checkSpeeds logs and counts the VMs whose speed has changed what is decided.
func (o *owner) checkSpeeds(now time.Time) {
	changes := o.load.calibrator.TakeChanges(now)
	if o.load.speedsAsked = o.asked().Estimates; !o.load.speedsAsked {
		o.s.config.Metrics.slowVMs(0)
		return
	}
	for _, c := range changes {
		o.dirty = true
		o.s.config.Metrics.speedChanged(c)
		o.s.config.Reporter.Report(reporter.VMSpeedChanged, reporter.Fields{
			"vm": c.VM, "slow": c.Slow, "factor": c.To.Factor, "error": c.To.Error, "before": c.From.Factor, "age": c.To.Age.String(), "known-after": c.Delay.String(), "evidence": c.Evidence,
		})
	}
	o.s.config.Metrics.slowVMs(o.load.calibrator.SlowCount())
}

// leaveSlowVMs stops what ends sooner, or meets its target, on another VM than the slow one where it runs.
func (o *owner) leaveSlowVMs(now time.Time) {
	for _, d := range planner.Departures(o.input(now)) {
		if !o.interrupt(d.Run, planner.LeavesSlowVM) {
			continue
		}
		kind := "urgent"
		if d.Run.Step().Spec.BestEffort {
			kind = "best-effort"
		}
		o.s.config.Metrics.leftSlowVM(kind)
		o.s.config.Reporter.Report(reporter.SlowRunStopDecided, reporter.Fields{
			"task": d.Run.Key().Task.String(), "run": d.Run.Number, "vm": d.Run.VM.Name, "to": d.To.Name, "factor": d.Factor, "progress": d.Run.Progress, "pace": d.Run.Pace,
			"left-there": d.There.String(), "left-elsewhere": d.Elsewhere.String(), "checkpoints": d.Run.Step().Spec.Checkpoints,
		})
	}
	for _, m := range planner.SlowMoves(o.input(now)) {
		if !o.interrupt(m.Run, "moves from a slow VM") {
			continue
		}
		o.state.SetRelocation(m.Run.Task, m.Relocation(now), now)
		o.s.config.Metrics.leftSlowVM("long-running")
		o.s.config.Reporter.Report(reporter.SlowMoveDecided, reporter.Fields{
			"task": m.Run.Key().Task.String(), "run": m.Run.Number, "vm": m.Run.VM.Name, "to": m.To.Name, "factor": o.load.calibrator.Speed(m.Run.VM.Name, now).Factor,
			"tail-ms": m.Run.Measure, "target-ms": m.Run.Step().Spec.TailMillis, "unavailable": m.Run.Step().Unavailable(), "max-unavailable": m.Run.Step().Spec.MaxUnavailable,
		})
	}
}

// speedChanged records how old the evidence of a change was when it was known.
func (m *Metrics) speedChanged(c calibrator.Change) {
	if m == nil {
		return
	}
	if c.Slow {
		m.set.GetOrCreateHistogram("bamboospread_slow_vm_detection_seconds").Update(c.Delay.Seconds())
	}
}

// slowVMs records how many VMs count as slow.
func (m *Metrics) slowVMs(n int) {
	if m != nil {
		m.set.GetOrCreateGauge("bamboospread_slow_vms", nil).Set(float64(n))
	}
}

// leftSlowVM counts a run that was stopped to continue on another VM than a slow one.
func (m *Metrics) leftSlowVM(kind string) {
	if m != nil {
		m.set.GetOrCreateCounter(`bamboospread_slow_vm_moves_total{tasks="` + kind + `"}`).Inc()
	}
}
