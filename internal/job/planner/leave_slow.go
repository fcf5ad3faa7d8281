package planner

import (
	"cmp"
	"slices"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// Limits of departures: runs of urgent and best-effort tasks on a VM that has become slow are stopped to start on
// another one. They cover a load that leaves capacity on other VMs; without it, runs stay.
const (
	// leaveOverhead is the time of a stop and a start elsewhere, from a checkpoint if there is one.
	leaveOverhead = 400 * time.Millisecond
	// leaveGain and leaveMargin are by how much a run must end sooner elsewhere, so that a wrong estimate costs
	// little and no task moves back and forth.
	leaveGain   = 1.25
	leaveMargin = 200 * time.Millisecond
	// minLeaving and leavingPerVM bound the departures that are not completed, so that other VMs are not
	// overrun and a false alarm stops few runs before it ends.
	minLeaving   = 8
	leavingPerVM = 0.5
	// minPace is the lowest pace in percent by which the rest of a run is estimated.
	minPace = 5
)

// LeavesSlowVM is the cause of the stop of a run that leaves a slow VM.
const LeavesSlowVM = "leaves a slow VM"

// Departure is a run that should be stopped on a slow VM, to start elsewhere.
type Departure struct {
	Run              *tracker.Run
	To               *tracker.VM // that would take the task now
	Factor           float64     // speed of its VM
	There, Elsewhere time.Duration
}

// gain is how much sooner the task is expected to end.
func (d Departure) gain() time.Duration { return d.There - d.Elsewhere }

// Departures returns the runs to stop on slow VMs because their tasks end sooner elsewhere.
func Departures(in Input) (leaving []Departure) {
	candidates, ongoing := departureCandidates(in)
	if len(candidates) == 0 {
		return nil
	}
	r := newRound(in)
	r.loadVMs()
	for _, run := range ongoing {
		r.findPlace(run)
	}
	limit := max(minLeaving, int(leavingPerVM*float64(len(r.vmStates)))) - len(ongoing)
	for _, d := range candidates {
		if len(leaving) >= limit {
			break
		}
		if to := r.findPlace(d.Run); to != nil {
			d.To = to.vm
			leaving = append(leaving, d)
		}
	}
	return leaving
}

// departureCandidates returns the runs that would end sooner elsewhere, the most urgent first and of these the ones
// that gain most, and the runs that are leaving already.
func departureCandidates(in Input) (candidates []Departure, ongoing []*tracker.Run) {
	if in.Calibrator == nil || in.Calibrator.SlowCount() == 0 {
		return nil, nil
	}
	for _, vm := range in.State.VMs {
		slow := in.slow(vm)
		for _, run := range vm.Runs {
			switch {
			case run.State == tracker.Stopping && run.StopCause == LeavesSlowVM:
				ongoing = append(ongoing, run)
			case slow && mayLeave(run):
				if d := in.departure(run); d.There > time.Duration(leaveGain*float64(d.Elsewhere))+leaveMargin {
					candidates = append(candidates, d)
				}
			}
		}
	}
	slices.SortFunc(candidates, func(a, b Departure) int {
		return cmp.Or(cmp.Compare(a.priority(), b.priority()), cmp.Compare(b.gain(), a.gain()), byKey(a.Run, b.Run))
	})
	return candidates, ongoing
}

func (d Departure) priority() int {
	if !d.Run.Step().Spec.BestEffort {
		return -1
	}
	return d.Run.Step().Occurrence.Job.Queue.Priority
}

func byKey(a, b *tracker.Run) int {
	if a.Key().Less(b.Key()) {
		return -1
	}
	return 1
}

// mayLeave reports whether a run may be stopped to start elsewhere. Where copies are allowed, a copy starts first.
func mayLeave(run *tracker.Run) bool {
	s, t := run.Step().Spec, run.Task
	return run.State == tracker.Running && run.VM.Attached && !s.LongRunning && !s.Gang && !s.Copies && s.EstimateMillis > 0 &&
		len(t.Runs) == 1 && len(t.Crashes()) == 0
}

// departure returns the expected time left of a run where it is, and that of the task elsewhere.
func (in Input) departure(run *tracker.Run) Departure {
	d := Departure{Run: run, Factor: in.factor(run.VM)}
	whole := in.soundRunTime(run)
	left := specifier.Span(float64(whole) * float64(paceFull-run.Progress) / paceFull)
	pace := run.Pace
	if pace == tracker.PaceUnknown {
		pace = paceFull
	}
	d.There = specifier.Span(float64(left) / d.Factor * paceFull / float64(max(pace, minPace)))
	d.Elsewhere = leaveOverhead + whole
	if run.Step().Spec.Checkpoints {
		d.Elsewhere = leaveOverhead + left
	}
	return d
}

// soundRunTime is the run time of the whole task of a run on a sound VM: by the progress of the run if it is known,
// otherwise as declared, corrected by the mean of the queue.
func (in Input) soundRunTime(run *tracker.Run) time.Duration {
	declared := run.Step().Spec.Estimate()
	if rate, known := in.Calibrator.SoundRate(run.VM.Name, run.Key().Task.String(), run.Number); known && rate > 0 {
		return specifier.Span(float64(declared) / rate)
	}
	return specifier.Span(float64(declared) * in.State.RuntimeRatio(run.Step().Occurrence.Job.Spec.Queue))
}

// findPlace returns a VM that would take the task of a run now and is not slow, and accounts for it there; nil if
// there is none.
func (r *round) findPlace(run *tracker.Run) *vmState {
	s := run.Step()
	count := r.runCounts(s)
	to := r.choose(s, run.Task, count)
	if to == nil || to.slow || s.Spec.BestEffort && !to.hasIdleFor(s) {
		return nil
	}
	r.assign(to, s.Spec)
	count[to.vm]++
	return to
}
