package planner

import (
	"time"

	"bamboospread/internal/job/estimator"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// The index of a job decides which of the jobs that wait goes first. It answers backlogs of jobs whose
// declared durations are far off: every job in time is worth as much, so the caller gains most for each
// core-second where the least is expected to be left.

// indexer computes the indexes of a round, each once.
type indexer struct {
	in      Input
	indexes map[*tracker.Occurrence]index
}

// index is what is expected of an occurrence.
type index struct {
	workLeft float64       // core-seconds
	timeLeft time.Duration // of its longest chain of steps
}

// newIndexer returns an indexer for about the given number of occurrences.
func newIndexer(in Input, occurrences int) *indexer {
	x := &indexer{in: in}
	if in.Estimator != nil {
		x.indexes = make(map[*tracker.Occurrence]index, occurrences)
	}
	return x
}

func (x *indexer) of(o *tracker.Occurrence) index {
	found, ok := x.indexes[o]
	if !ok {
		found = x.compute(o)
		x.indexes[o] = found
	}
	return found
}

func (x *indexer) compute(o *tracker.Occurrence) (found index) {
	left := make([]time.Duration, len(o.Steps))
	for i, s := range o.Steps {
		for _, a := range s.Spec.After {
			left[i] = max(left[i], left[a])
		}
		if s.Finished() {
			continue
		}
		work, longest := x.step(s)
		found.workLeft += work / float64(time.Second) * float64(s.Spec.Needs.CPUMillis) / millisPerCore
		left[i] = specifier.Sum(left[i], longest)
		found.timeLeft = max(found.timeLeft, left[i])
	}
	found.timeLeft = specifier.Span(float64(found.timeLeft) * x.in.Estimator.Pace(o.Job.Spec.Queue))
	return found
}

// step returns the work left of a step's tasks: all together, in nanoseconds that may be more than a
// time.Duration holds, and of the longest.
func (x *indexer) step(s *tracker.Step) (all float64, longest time.Duration) {
	d := x.in.Estimator.RunTime(kindOf(s), s.Spec.Estimate())
	fresh := d.Mean()
	if !s.Occurrence.Job.Started || !s.Ready() { // no task has run, as of most in a backlog
		return float64(len(s.Tasks)-s.Done) * float64(fresh), fresh
	}
	for _, t := range s.Tasks {
		if t.Done {
			continue
		}
		left := fresh
		if run := t.PrimaryRun(); run != nil && run.State == tracker.Running {
			left = expectedLeft(x.in, run, d)
		}
		all += float64(left)
		longest = max(longest, left)
	}
	return all, longest
}

func kindOf(s *tracker.Step) estimator.Kind {
	return estimator.Kind{Queue: s.Occurrence.Job.Spec.Queue, Image: s.Spec.Image}
}

// expectedLeft returns the expected rest of a run's work, at the speed of a sound VM. Progress is as old as
// the data of the latest report, so it is compared with the work until then. As a start is known only from a
// report too, that is the work from the first report to the latest.
func expectedLeft(in Input, run *tracker.Run, d estimator.Distribution) time.Duration {
	speed := in.Calibrator.Speed(run.VM.Name, in.Now).Factor
	sound := func(work time.Duration) time.Duration { return specifier.Span(float64(work) * speed) }
	switch {
	case run.Resumed: // its work before is not known
		return specifier.Span(float64(d.Mean()) * float64(paceFull-run.Progress) / paceFull)
	case run.Progress == 0:
		return d.Left(sound(run.Work(in.Now)))
	}
	return max(d.LeftAt(sound(run.ReportedWork()), run.Progress)-sound(run.WorkSince(run.VM.SeenAt, in.Now)), 0)
}
