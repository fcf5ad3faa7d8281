package planner

import (
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// Limits of second copies of a task. Copies cover two cases: a task that may have copies on a
// worker that has become slow or has stalled, and a VM out of contact, where the task would
// have to wait until its lease has certainly expired (some 5 s).
const (
	// stragglerFactor is how many times its declared duration a run must be expected to take.
	// Declared durations of such tasks are off by about a third.
	stragglerFactor = 1.8
	// minRemainingFactor is how many times the declared duration, or the expected time of a
	// new run where that is known, the rest of a run must be expected to take: a copy repeats the whole work and has the cost of its start too.
	minRemainingFactor = 1.3
	// minStragglerAge is the share of the declared duration after which the progress of a run
	// is significant.
	minStragglerAge = 0.5
	// maxConcurrentRuns is how many runs of a task there may be at once: more would repeat
	// work without a gain.
	maxConcurrentRuns = 2
)

// placeCopies starts second copies of stragglers with the capacity that the waiting tasks have
// left, and never on the VM of the first run.
func (r *round) placeCopies() []Start {
	var starts []Start
	for _, s := range r.state.CopySteps() {
		count := r.runCounts(s)
		for _, t := range s.Tasks {
			if !needsCopy(r.in, t) && !r.needsCopyOfSlow(t) || !r.holdings.allows(s, 1) {
				continue
			}
			best := r.choose(s, t, count)
			if best == nil || best.slow {
				continue
			}
			r.assign(best, s.Spec)
			count[best.vm]++
			r.holdings.add(s, 1)
			start := r.start(t, best, r.state.NextNumber(t))
			start.Copy, start.Straggler = true, stragglerOf(r.in, t.Runs[0])
			starts = append(starts, start)
		}
	}
	return starts
}

// needsCopy reports whether the first run of a task is a straggler and another run may start. A
// copy of a task that may crash its worker could crash a second one.
func needsCopy(in Input, t *tracker.Task) bool {
	if t.Done || len(t.Crashes()) > 0 || len(t.Runs) == 0 || len(t.Runs) >= maxConcurrentRuns || t.NotBefore.After(in.Now) {
		return false
	}
	// The present run may still fail; with a copy the task could then exceed its allowed
	// failures.
	if maxFailures := t.Step.Occurrence.Job.Queue.MaxFailures; maxFailures > 0 && len(t.Failed())+len(t.Runs) >= maxFailures {
		return false
	}
	return isStraggler(in, t.Runs[0])
}

func isStraggler(in Input, run *tracker.Run) bool {
	spec := run.Step().Spec
	if !run.VM.Attached || !run.VM.Responds() || run.State == tracker.Stopping {
		return true
	}
	if run.VM.MoreEnds || run.State != tracker.Running || spec.EstimateMillis <= 0 || run.Pace != paceFull {
		return false
	}
	if s := stragglerOf(in, run); s != nil {
		return s.Age >= time.Duration(minStragglerAge*float64(s.NewRun)) && s.Left > time.Duration(minRemainingFactor*float64(s.NewRun))
	}
	declared := spec.Estimate()
	age := run.VM.SeenAt.Sub(run.StartedAt)
	if age < time.Duration(minStragglerAge*float64(declared)) {
		return false
	}
	left := specifier.Span(float64(age) * float64(paceFull-run.Progress) / float64(max(run.Progress, 1)))
	return specifier.Sum(age, left) > specifier.Span(stragglerFactor*float64(declared)) && left > time.Duration(minRemainingFactor*float64(declared))
}

// Straggler is what decides whether a run gets a copy if its rest is estimated.
type Straggler struct {
	Run          *tracker.Run
	Age          time.Duration // until the latest report
	Left, NewRun time.Duration // expected rest, and expected time of a new run on a sound VM
	Support      float64       // number of steps that the estimate is learned from
	ReportAge    time.Duration
}

// stragglerOf returns the estimates for a run, nil without any.
func stragglerOf(in Input, run *tracker.Run) *Straggler {
	s := run.Step()
	d := in.Estimator.RunTime(kindOf(s), s.Spec.Estimate())
	if !d.Known() || run.StartedAt.IsZero() {
		return nil
	}
	speed := in.Calibrator.Speed(run.VM.Name, in.Now).Factor
	return &Straggler{
		Run: run, Age: run.VM.SeenAt.Sub(run.StartedAt), NewRun: d.Mean(), Support: d.Support(), ReportAge: in.Now.Sub(run.VM.SeenAt),
		Left: specifier.Span(float64(expectedLeft(in, run, d)) / speed),
	}
}
