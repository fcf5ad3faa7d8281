package planner

import (
	"time"

	"bamboospread/internal/job/accountant"
)

// Limits of second copies. They answer two patterns: a worker that turned slow or
// stands still under a task of which a copy may run, and a VM that is not heard,
// where the task would have to wait until its lease has surely run out (some 5 s).
const (
	// copyFactor is how much longer than declared a run must be expected to take.
	// Declared durations of such tasks are off by about a third.
	copyFactor = 1.8
	// copyGain is how much longer than a whole new run what is left must take, as a
	// factor on the declared duration: the copy pays for its start too.
	copyGain = 1.3
	// copyLookAfter is the share of the declared duration before a run's pace tells
	// anything.
	copyLookAfter = 0.5
	// copiesMost is how many runs of a task there may be at once: more would repeat
	// work without a gain.
	copiesMost = 2
)

// placeCopies starts second copies of tasks that straggle, on what room the waiting
// tasks have left, and never on the VM that the first run is on.
func (r *round) placeCopies() []Start {
	var starts []Start
	for _, s := range r.state.CopySteps() {
		count := r.countOf(s)
		for _, t := range s.Tasks {
			if !wantsCopy(t, r.now) {
				continue
			}
			best := r.choose(s, t, count)
			if best == nil || best.vm.Slow() {
				continue
			}
			r.take(best, s.Spec)
			count[best.vm]++
			start := r.start(t, best, r.state.NextNumber(t))
			start.Copy = true
			starts = append(starts, start)
		}
	}
	return starts
}

// wantsCopy tells whether all runs of a task straggle and another may begin.
func wantsCopy(t *accountant.Task, now time.Time) bool {
	if t.Done || len(t.Runs) == 0 || len(t.Runs) >= copiesMost || t.NotBefore.After(now) {
		return false
	}
	// The run may still fail; a copy beside it would then be one run too many.
	if most := t.Step.Occurrence.Job.Queue.MaxFailures; most > 0 && len(t.Failed)+len(t.Runs) >= most {
		return false
	}
	return straggles(t.Runs[0])
}

func straggles(run *accountant.Run) bool {
	spec := run.Step().Spec
	if !run.VM.Attached || run.State == accountant.Stopping {
		return true
	}
	if run.State != accountant.Running || spec.EstimateMillis <= 0 || run.Pace != paceFull {
		return false
	}
	declared := spec.Estimate()
	age := run.VM.SeenAt.Sub(run.StartedAt)
	if age < time.Duration(copyLookAfter*float64(declared)) {
		return false
	}
	left := time.Duration(float64(age) * float64(paceFull-run.Progress) / float64(max(run.Progress, 1)))
	return age+left > time.Duration(copyFactor*float64(declared)) && left > time.Duration(copyGain*float64(declared))
}
