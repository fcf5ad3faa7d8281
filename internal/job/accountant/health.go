package accountant

import (
	"time"

	"bamboospread/internal/job/specifier"
)

// Limits of the judgement on a VM's worker.
const (
	// failuresToQuarantine is how many different tasks must fail on a VM, with
	// none done in between, before the worker is taken to be at fault. A task that
	// fails everywhere by its own fault counts once; of sound workers, on which one
	// run in twenty fails, three in a row are one case in 8,000.
	failuresToQuarantine = 3
	quarantineFirst      = 4 * time.Second // doubled with each one in a row
	quarantineMax        = 16 * time.Second
)

// Quarantined tells whether nothing should start on the VM.
func (vm *VM) Quarantined(now time.Time) bool { return now.Before(vm.Health.QuarantineTo) }

// probeTime is how long a run must be at work on a VM that was quarantined before
// the VM counts as sound again. On workers at fault tasks fail or stall sooner.
const probeTime = 1500 * time.Millisecond

// OnProbation tells whether the VM was quarantined and has not shown yet that it is
// sound.
func (vm *VM) OnProbation() bool { return vm.Health.Times > 0 }

// Probes counts the runs that were ordered since the quarantine. Those from before
// tell nothing: lasting tasks stay for good, and a VM that waited for them to end
// would take nothing any more.
func (vm *VM) Probes() int {
	n := 0
	for _, r := range vm.Runs {
		if !r.OrderedAt.Before(vm.Health.QuarantineTo) {
			n++
		}
	}
	return n
}

// endProbation clears a VM on which a run ordered since the quarantine works.
func (vm *VM) endProbation(now time.Time) {
	if !vm.OnProbation() || vm.Quarantined(now) {
		return
	}
	for _, r := range vm.Runs {
		atWork := r.Step().Spec.Lasting && r.Progress >= fullPace || vm.SeenAt.Sub(r.MovedAt) < stallBase
		if r.State == Running && !r.OrderedAt.Before(vm.Health.QuarantineTo) && vm.SeenAt.Sub(r.StartedAt) >= probeTime && atWork {
			vm.noteGood()
			return
		}
	}
}

func (vm *VM) noteGood() { vm.Health = Health{} }

// Limits of the judgement on tasks that stand still.
const (
	// stallBase is how long a run's progress may stay the same, beside the time that
	// so much of its work takes: reports are up to half a second old, and a start
	// from a checkpoint takes a quarter.
	stallBase  = 800 * time.Millisecond
	stallShare = 0.05 // of the declared work, at the speed that the run has
	stallSlow  = 0.1  // least share of its processors that a run is taken to get
	// stallsToQuarantine is how many different tasks must stand still on a VM, and
	// at least half of those that should move, before its worker is at fault.
	stallsToQuarantine = 2
	// stallAlone is after how long a single one is stopped.
	stallAlone = 3 * time.Second
)

// Stalled returns the runs that should be stopped because they make no progress. A
// worker on which most tasks stand still is quarantined: it answers, reports
// processors in use, and would be given ever more tasks, since it looks idle.
// Replaying such a worker, 48 runs stood still for up to 4 s without this.
func (a *Accountant) Stalled(now time.Time) []*Run {
	var all []*Run
	for _, vm := range a.VMs {
		if !vm.Attached {
			continue
		}
		vm.endProbation(now)
		stalled, moving := vm.stalled()
		switch {
		case len(stalled) >= stallsToQuarantine && len(stalled) >= moving:
			vm.quarantine("tasks stand still", now)
			all = append(all, stalled...)
		default:
			for _, r := range stalled {
				if vm.SeenAt.Sub(r.MovedAt) > stallAlone {
					all = append(all, r)
				}
			}
		}
	}
	return all
}

func (vm *VM) stalled() (stalled []*Run, moving int) {
	for _, r := range vm.Runs {
		s := r.Step().Spec
		if s.Lasting || s.Gang || r.State != Running || r.Pace != fullPace || s.EstimateMillis <= 0 {
			continue
		}
		if vm.SeenAt.Sub(r.MovedAt) > stallBase+time.Duration(stallShare*float64(s.Estimate())/r.share()) {
			stalled = append(stalled, r)
		} else if vm.SeenAt.Sub(r.StartedAt) > stallBase {
			moving++
		}
	}
	return stalled, moving
}

// share is the part of its processors that a run gets: a task that fills gets what
// others leave.
func (r *Run) share() float64 {
	if cpu := r.Step().Spec.Needs.CPUMillis; cpu > 0 && r.Step().Spec.Fills {
		return max(min(float64(r.Measure)/float64(cpu), 1), stallSlow)
	}
	return 1
}

// Limits of the measure of a VM's speed.
const (
	speedRate    = 0.05 // of a sample in the mean: declared durations are off by half
	speedSamples = 8    // before the mean tells anything
	speedSlow    = 0.45 // below it a VM takes tasks only if no other can
)

// Slow tells whether tasks move much slower on the VM than they declare.
func (vm *VM) Slow() bool { return vm.Speed.Samples >= speedSamples && vm.Speed.Value < speedSlow }

// moved takes a new progress of a run, and from it the speed of its VM.
func (r *Run) moved(progress int) {
	if progress == r.Progress {
		return
	}
	vm := r.VM
	if took := vm.SeenAt.Sub(r.MovedAt); progress > r.Progress && took > 0 && r.Pace == fullPace && !r.Step().Spec.Lasting {
		done := float64(progress-r.Progress) / fullPace * float64(r.Step().Spec.Estimate())
		sample := min(done/float64(took)/r.share(), 2)
		if vm.Speed.Samples == 0 {
			vm.Speed.Value = 1
		}
		vm.Speed.Samples++
		vm.Speed.Value += speedRate * (sample - vm.Speed.Value)
	}
	r.Progress, r.MovedAt = progress, vm.SeenAt
}

func (vm *VM) quarantine(cause string, now time.Time) {
	if vm.Quarantined(now) {
		return
	}
	pause := min(quarantineFirst<<vm.Health.Times, quarantineMax)
	vm.Health.Times++
	vm.Health.Cause, vm.Health.QuarantineTo = cause, now.Add(pause)
}

func (vm *VM) noteFailed(id specifier.TaskID, now time.Time) {
	if vm.Health.Failed == nil {
		vm.Health.Failed = make(map[specifier.TaskID]time.Time)
	}
	vm.Health.Failed[id] = now
	if vm.Quarantined(now) {
		return // what was started before it
	}
	// After a quarantine the first failure is enough for the next one.
	if len(vm.Health.Failed) < failuresToQuarantine && vm.Health.Times == 0 {
		return
	}
	vm.quarantine("tasks fail", now)
}
