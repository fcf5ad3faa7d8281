package tracker

import (
	"time"

	"bamboospread/internal/job/specifier"
)

// Limits of the health check of a VM's worker.
const (
	// failuresToQuarantine is how many jobs of which nothing else is known must have a failed task on a
	// VM, with no success in between, before the worker counts as faulty. Tasks of one job are enough if
	// others of it succeed elsewhere.
	failuresToQuarantine = 3
	quarantineFirst      = 4 * time.Second // doubled with each consecutive quarantine
	quarantineMax        = 16 * time.Second
)

// Causes of quarantines.
const (
	causeFailed  = "tasks failed"
	causeStalled = "tasks stalled"
)

// Quarantined reports whether nothing should start on the VM.
func (vm *VM) Quarantined(now time.Time) bool { return now.Before(vm.Health.QuarantinedUntil) }

// probeDuration is how long a run must make progress on a VM that was quarantined
// before the VM counts as healthy again. On faulty workers tasks fail or stall sooner.
const probeDuration = 1500 * time.Millisecond

// OnProbation reports whether the VM was quarantined and has not yet been found healthy
// again.
func (vm *VM) OnProbation() bool { return vm.Health.ConsecutiveQuarantines > 0 }

// throttledProbeWait is how long best-effort tasks wait for a run that is throttled to zero.
const throttledProbeWait = 4 * time.Second

// Probes counts the runs that were ordered since the quarantine and that a task of the step must wait
// for. Earlier runs do not count: long-running tasks do not end by themselves, so a VM that waited for
// them would never accept a task again. A run that is throttled to zero shows nothing, for as long as
// the load of long-running tasks lasts. Best-effort tasks, which may be throttled too, wait for it for a
// while, so that a faulty worker gets few of them.
func (vm *VM) Probes(next *specifier.Step, now time.Time) int {
	n := 0
	for _, r := range vm.Runs {
		if !r.OrderedAt.Before(vm.Health.QuarantinedUntil) && (r.Pace != 0 || next.BestEffort && now.Sub(r.OrderedAt) < throttledProbeWait) {
			n++
		}
	}
	return n
}

// endProbation clears the health record of a VM on which a run makes progress that was ordered since the
// quarantine or, without one, since its tasks fail.
func (vm *VM) endProbation(now time.Time) {
	if !vm.OnProbation() && !vm.Doubtful() || vm.Quarantined(now) {
		return
	}
	since := vm.Health.QuarantinedUntil
	if vm.Health.streakSince.After(since) {
		since = vm.Health.streakSince
	}
	for _, r := range vm.Runs {
		if r.State == Running && !r.OrderedAt.Before(since) && r.provesSound() {
			vm.clearHealth()
			return
		}
	}
}

func (vm *VM) clearHealth() { vm.Health = Health{} }

// Limits of the detection of stalled tasks.
const (
	// stallGrace is how long a run's progress may stay unchanged, in addition to the
	// time that stallWorkShare of its work takes: reports are up to half a second
	// old, and a start from a checkpoint takes a quarter of a second.
	stallGrace     = 800 * time.Millisecond
	stallWorkShare = 0.05 // of the declared work, at the run's current speed
	minCPUShare    = 0.1  // lower bound for the share of its processors that a run is assumed to get
	// stallsToQuarantine is how many different tasks must stall on a VM before its
	// worker counts as faulty. They must also be at least half of the tasks that
	// should make progress.
	stallsToQuarantine = 2
	// singleStallLimit is how long a run may go without progress before it is stopped
	// although its worker is not quarantined.
	singleStallLimit = 3 * time.Second
)

// Stalled returns the runs that should be stopped because they make no progress. A
// worker on which most tasks stall is quarantined: it answers and reports processors
// in use, but looks idle, so it would be given more and more tasks. Without this, 48
// runs stalled for up to 4 s in a replay of such a worker.
func (tr *Tracker) Stalled(vms []*VM, now time.Time) []*Run {
	var found []stalls
	for _, vm := range vms {
		if !vm.Attached || vm.MoreEnds { // runs without progress may have ended
			continue
		}
		vm.endProbation(now)
		runs, progressing := vm.stalled()
		if len(runs) == 0 {
			continue
		}
		found = append(found, stalls{vm, runs, progressing})
		if !found[len(found)-1].many() {
			continue
		}
		byStep := make(map[*Step]int)
		for _, r := range runs {
			byStep[r.Step()]++
		}
		for s, n := range byStep {
			s.recordStalled(vm, n)
		}
	}
	var all []*Run
	for _, s := range found {
		if tr.faultyByStalls(s) {
			s.vm.quarantine(causeStalled, now)
			all = append(all, s.runs...)
			continue
		}
		for _, r := range s.runs {
			if s.vm.SeenAt.Sub(r.ProgressedAt) > singleStallLimit {
				all = append(all, r)
			}
		}
	}
	return all
}

// stalled returns the stalled runs of the VM and the number of those that make progress.
func (vm *VM) stalled() (stalled []*Run, progressing int) {
	for _, r := range vm.Runs {
		s := r.Step().Spec
		if s.LongRunning || s.Gang || r.State != Running || r.Pace != fullPace || s.EstimateMillis <= 0 {
			continue
		}
		if vm.SeenAt.Sub(r.ProgressedAt) > stallGrace+time.Duration(stallWorkShare*float64(s.Estimate())/r.CPUShare()) {
			stalled = append(stalled, r)
		} else if vm.SeenAt.Sub(r.StartedAt) > stallGrace {
			progressing++
		}
	}
	return stalled, progressing
}

// CPUShare is the share of the requested processors that a run gets. A best-effort task
// gets what other tasks leave idle.
func (r *Run) CPUShare() float64 {
	if cpu := r.Step().Spec.Needs.CPUMillis; cpu > 0 && r.Step().Spec.BestEffort {
		return max(min(float64(r.Measure)/float64(cpu), 1), minCPUShare)
	}
	return 1
}

// Limits of the measurement of a VM's speed.
const (
	speedSampleWeight = 0.05 // weight of a sample in the mean: declared durations are wrong by half
	minSpeedSamples   = 8    // below this number the mean is not used
	slowSpeed         = 0.45 // a VM below this speed gets tasks only if no other can run them
)

// Slow reports whether tasks make much slower progress on the VM than declared.
func (vm *VM) Slow() bool { return vm.Speed.Samples >= minSpeedSamples && vm.Speed.Value < slowSpeed }

// updateProgress records the reported progress of a run and updates the speed of its VM.
func (tr *Tracker) updateProgress(r *Run, progress int) {
	tr.observeProgress(r, progress)
	if progress == r.Progress {
		return
	}
	vm := r.VM
	if elapsed := vm.SeenAt.Sub(r.ProgressedAt); progress > r.Progress && elapsed > 0 && r.Pace == fullPace && !r.Step().Spec.LongRunning {
		done := float64(progress-r.Progress) / fullPace * float64(r.Step().Spec.Estimate())
		sample := min(done/float64(elapsed)/r.CPUShare(), 2)
		if vm.Speed.Samples == 0 {
			vm.Speed.Value = 1
		}
		vm.Speed.Samples++
		vm.Speed.Value += speedSampleWeight * (sample - vm.Speed.Value)
	}
	r.Progress, r.ProgressedAt = progress, vm.SeenAt
}

// shareDelay is how long a best-effort run has been at full pace when the processors that it uses are known.
const shareDelay = 700 * time.Millisecond

// observeProgress passes the reported progress of a run to the observer, also if it has not changed, unless
// something else than the speed of its VM determines it: a lower pace, a restore of a checkpoint before its
// first progress, other members of its gang, the distance from its data, or a share of processors that is not known yet.
func (tr *Tracker) observeProgress(r *Run, progress int) {
	s, vm := r.Step().Spec, r.VM
	elapsed := vm.SeenAt.Sub(r.ProgressedAt)
	if elapsed <= 0 || progress < r.Progress || r.State != Running || r.Pace != fullPace || r.ProgressedAt.Before(r.PacedAt.Add(shareDelay)) && !r.PacedAt.IsZero() {
		return
	}
	if s.BestEffort && r.ProgressedAt.Sub(r.StartedAt) < shareDelay {
		return
	}
	if s.LongRunning || s.Gang || s.SameRack || s.DataRack != "" && s.DataRack != vm.Rack || s.EstimateMillis <= 0 || r.Resumed && r.Progress == 0 {
		return
	}
	tr.observer.Progress(r, progress-r.Progress, elapsed)
}

func (vm *VM) quarantine(cause string, now time.Time) {
	if vm.Quarantined(now) {
		return
	}
	duration := quarantineFirst
	for n := 0; n < vm.Health.ConsecutiveQuarantines && duration < quarantineMax; n++ {
		duration = min(2*duration, quarantineMax)
	}
	vm.Health.ConsecutiveQuarantines++
	vm.Health.Cause, vm.Health.QuarantinedUntil = cause, now.Add(duration)
}
