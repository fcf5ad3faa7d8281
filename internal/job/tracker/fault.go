package tracker

import (
	"math"
	"time"

	"bamboospread/internal/job/specifier"
)

// A failure has two possible causes, the worker and the task. A worker counts as faulty if a sound one
// would hardly have failed so many tasks, given how the steps that they belong to fare on other VMs:
// all tasks of a job may fail through its own fault, on every VM.

const (
	// ownFailureRate is the share of runs that fail through a task's own fault on a sound worker.
	ownFailureRate = 0.05
	// hopelessShare is the share of jobs whose tasks all fail through their own fault.
	hopelessShare = 0.03
	// maxStreakTasks bounds the tasks of a step, and maxStreakSteps the steps, that are kept of a VM's
	// failures since its last success; more show nothing new.
	maxStreakTasks = 8
	maxStreakSteps = 32
	// maxRunsCompared bounds the tasks of a step whose runs on other VMs are looked at.
	maxRunsCompared = 100
)

// failures are the tasks of a step that failed on a VM since its last success.
type failures struct {
	step  *Step
	tasks []int // indexes, different ones
}

// outcomes is how the runs of a step have failed, by VM. Those that succeeded are counted by the step.
type outcomes struct {
	failed  map[string]int // failed runs by VM
	stalled map[string]int // stalled runs that were stopped
}

// recordFailed adds a failed run to the outcomes of a step and to the failures of a VM.
func (vm *VM) recordFailed(t *Task, now time.Time) {
	s := t.Step
	if s.outcomes.failed == nil {
		s.outcomes.failed = make(map[string]int)
	}
	s.outcomes.failed[vm.Name]++
	h := &vm.Health
	if len(h.streak) == 0 {
		h.streakSince = now
	}
	for i := range h.streak {
		if h.streak[i].step == s {
			h.streak[i].add(t.Index)
			return
		}
	}
	if len(h.streak) == maxStreakSteps {
		h.streak = h.streak[1:]
	}
	h.streak = append(h.streak, failures{s, []int{t.Index}})
}

func (f *failures) add(index int) {
	if f.includes(index) || len(f.tasks) == maxStreakTasks {
		return
	}
	f.tasks = append(f.tasks, index)
}

func (f *failures) includes(index int) bool {
	for _, i := range f.tasks {
		if i == index {
			return true
		}
	}
	return false
}

// FailedTasks is the number of different tasks that failed on the VM since its last success.
func (vm *VM) FailedTasks() (n int) {
	for _, f := range vm.Health.streak {
		n += len(f.tasks)
	}
	return n
}

// failedJobs is the number of different jobs of these tasks.
func (vm *VM) failedJobs() int {
	jobs := make(map[*Job]bool)
	for _, f := range vm.Health.streak {
		jobs[f.step.Occurrence.Job] = true
	}
	return len(jobs)
}

// failedStep reports whether tasks of a step have failed on the VM since its last success.
func (vm *VM) failedStep(s *Step) bool {
	for _, f := range vm.Health.streak {
		if f.step == s {
			return true
		}
	}
	return false
}

// FailedJob reports whether tasks of a job have failed on the VM since its last success.
func (vm *VM) FailedJob(j *Job) bool {
	for _, f := range vm.Health.streak {
		if f.step.Occurrence.Job == j {
			return true
		}
	}
	return false
}

// faulty reports whether the failures since the VM's last success show that its worker is faulty.
func (tr *Tracker) faulty(vm *VM) bool {
	evidence := 0.0
	for _, f := range vm.Health.streak {
		evidence += tr.evidence(vm, f.step, len(f.tasks), f.step.outcomes.failed)
	}
	return evidence >= failuresToQuarantine*evidenceOfOne
}

// evidenceOfOne is the evidence of a failed task of a job of which nothing else is known.
var evidenceOfOne = -math.Log(chanceOfFailures(1, ownFailureRate, hopelessShare))

// chanceOfFailures is the probability that a number of different tasks of a step fail on a sound worker.
func chanceOfFailures(tasks int, rate, hopeless float64) float64 {
	return hopeless + (1-hopeless)*math.Pow(rate, float64(tasks))
}

// evidence is how much a number of different failed tasks of a step show that a VM's worker is faulty: the
// negative logarithm of their chance on a sound one. failed are the failed runs of the step by VM.
func (tr *Tracker) evidence(vm *VM, s *Step, tasks int, failed map[string]int) float64 {
	elsewhere := 0
	for name, n := range failed {
		other := tr.VMs[name]
		// A VM on which more jobs fail than there are VMs on which this step fails is more likely at
		// fault itself, and shows nothing of the step.
		if name != vm.Name && (other == nil || other.failedJobs() <= len(failed)) {
			elsewhere += n
		}
	}
	succeeded := s.succeededBeside(vm)
	switch {
	case succeeded == 0 && elsewhere > 0:
		return 0 // they fail everywhere
	case succeeded == 0:
		return -math.Log(chanceOfFailures(tasks, ownFailureRate, hopelessShare))
	}
	rate := max(float64(elsewhere)/float64(elsewhere+succeeded), ownFailureRate)
	return -math.Log(chanceOfFailures(tasks, rate, 0))
}

// succeededBeside is the number of tasks of a step that are done. If there are none, those count that make
// progress on other VMs, for longer than tasks take to fail on faulty workers.
func (s *Step) succeededBeside(vm *VM) int {
	if s.Done > 0 {
		return s.Done
	}
	n := 0
	for _, t := range s.Tasks[:min(len(s.Tasks), maxRunsCompared)] {
		for _, r := range t.Runs {
			if r.VM != vm && r.State == Running && r.provesSound() {
				n++
			}
		}
	}
	return n
}

// provesSound reports whether a run has made progress for so long that its worker is not faulty.
func (r *Run) provesSound() bool {
	progressing := r.Step().Spec.LongRunning && r.Progress >= fullPace || r.VM.SeenAt.Sub(r.ProgressedAt) < stallGrace
	return !r.StartedAt.IsZero() && r.VM.SeenAt.Sub(r.StartedAt) >= probeDuration && progressing
}

// recordFailure applies a failed run to the health of VMs: the VM may be faulty, and others may not be,
// since the failures of the step there have another explanation now.
func (tr *Tracker) recordFailure(vm *VM, t *Task, now time.Time) {
	vm.recordFailed(t, now)
	if tr.faulty(vm) {
		vm.quarantine(causeFailed, now)
	}
	for name := range t.Step.outcomes.failed {
		if other := tr.VMs[name]; other != nil && other.Health.Cause == causeFailed && other.OnProbation() && !tr.faulty(other) {
			other.endQuarantine(now)
		}
	}
}

// recordSuccess applies a completed run to the health of VMs: its own VM is sound, and those are judged
// again on which other tasks of the step failed.
func (tr *Tracker) recordSuccess(vm *VM, s *Step, now time.Time) {
	vm.clearHealth()
	for name := range s.outcomes.failed {
		if other := tr.VMs[name]; other != nil && other.failedStep(s) && !other.Quarantined(now) && !other.OnProbation() && tr.faulty(other) {
			other.quarantine(causeFailed, now)
		}
	}
}

// endQuarantine releases a VM whose failures were not its own.
func (vm *VM) endQuarantine(now time.Time) {
	if vm.Quarantined(now) {
		vm.Health.QuarantinedUntil = now
	}
	vm.Health.ConsecutiveQuarantines, vm.Health.Cause = 0, ""
}

// Doubtful reports whether so many tasks have failed on the VM since its last success that it may be
// faulty, though they may also have failed through their own fault.
func (vm *VM) Doubtful() bool { return vm.FailedTasks() >= failuresToQuarantine }

// Trials counts the runs of a step that were started on a doubtful VM since its tasks fail, and that
// show nothing yet.
func (vm *VM) Trials(s *Step) (n int) {
	for _, r := range vm.Runs {
		if r.Step() == s && !r.OrderedAt.Before(vm.Health.streakSince) && !r.provesSound() {
			n++
		}
	}
	return n
}

// stalls are the stalled runs of a VM.
type stalls struct {
	vm          *VM
	runs        []*Run
	progressing int // runs that make progress
}

// many reports whether there are so many stalled runs that the worker may be at fault.
func (s stalls) many() bool {
	return len(s.runs) >= stallsToQuarantine && len(s.runs) >= s.progressing
}

// faultyByStalls reports whether the stalled runs show that a VM's worker is faulty.
func (tr *Tracker) faultyByStalls(s stalls) bool {
	if !s.many() {
		return false
	}
	tasks := make(map[*Step]map[specifier.TaskID]bool)
	for _, r := range s.runs {
		if tasks[r.Step()] == nil {
			tasks[r.Step()] = make(map[specifier.TaskID]bool)
		}
		tasks[r.Step()][r.Task.ID()] = true
	}
	evidence := 0.0
	for step, stalled := range tasks {
		evidence += tr.evidence(s.vm, step, len(stalled), step.outcomes.stalled)
	}
	return evidence >= stallsToQuarantine*evidenceOfOne
}

func (s *Step) recordStalled(vm *VM, runs int) {
	if s.outcomes.stalled == nil {
		s.outcomes.stalled = make(map[string]int)
	}
	s.outcomes.stalled[vm.Name] = max(s.outcomes.stalled[vm.Name], runs)
}
