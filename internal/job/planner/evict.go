package planner

import (
	"slices"
	"time"

	"bamboospread/internal/job/tracker"
)

// Limits of evictions. They cover loads under which best-effort tasks are throttled almost to
// zero for long-running tasks while another VM has capacity for them: long-running tasks have
// started on their VM, or the load of those on it has risen. If the best-effort tasks stayed,
// they would also hold memory that other tasks could use.
const (
	// starvedPace is the pace in percent up to which a best-effort run counts as starved.
	starvedPace = 30
	// starvedFor is how long a run must be throttled that far: variations between reports are
	// shorter.
	starvedFor = 700 * time.Millisecond
	// maxLostWork is how much work of a run an eviction may discard: about the time for which
	// the run would stall if it were not evicted.
	maxLostWork = time.Second
	// maxEvictions bounds a round, so that a VM with free capacity does not get too many tasks
	// at once.
	maxEvictions = 8
)

// Evictions returns the best-effort runs to stop so that they continue on other VMs. Those of a step of
// long-running tasks go a few at a time: the others stay at work, though throttled.
func Evictions(in Input) []*tracker.Run {
	r := newRound(in)
	var starvedRuns []*tracker.Run
	for _, vm := range in.vms() {
		for _, run := range vm.Runs {
			if r.starved(run) {
				starvedRuns = append(starvedRuns, run)
			}
		}
	}
	if len(starvedRuns) == 0 {
		return nil
	}
	slices.SortFunc(starvedRuns, byLostWork)
	r.loadVMs()
	var evicted []*tracker.Run
	for _, run := range starvedRuns {
		if len(evicted) == maxEvictions {
			break
		}
		s := run.Step()
		if s.Spec.LongRunning && !withinMaxUnavailable(evicted, []*tracker.Run{run}) {
			continue
		}
		count := r.runCounts(s)
		to := r.choose(s, run.Task, count)
		if to == nil || to.slow || !to.hasIdleFor(s) {
			continue
		}
		r.assign(to, s.Spec)
		count[to.vm]++
		evicted = append(evicted, run)
	}
	return evicted
}

// starved reports whether a run has been throttled almost to zero for at least starvedFor and
// a stop loses little work.
func (r *round) starved(run *tracker.Run) bool {
	s := run.Step()
	return s.Spec.BestEffort && !s.Spec.Gang && run.State == tracker.Running && run.VM.Attached &&
		run.Pace != tracker.PaceUnknown && run.Pace <= starvedPace && r.now.Sub(run.PacedAt) >= starvedFor &&
		len(run.Task.Runs) == 1 && lostWork(run) <= maxLostWork
}

// lostWork is how much of a run's work a stop discards.
func lostWork(run *tracker.Run) time.Duration {
	if run.Step().Spec.Checkpoints {
		return 0
	}
	return run.Step().Spec.Estimate() / paceFull * time.Duration(run.Progress)
}

func byLostWork(a, b *tracker.Run) int {
	if d := lostWork(a) - lostWork(b); d != 0 {
		return int(d)
	}
	if a.Key().Less(b.Key()) {
		return -1
	}
	return 1
}

// hasIdleFor reports whether a best-effort task would get most of the processors that it asks
// for.
func (m *vmState) hasIdleFor(s *tracker.Step) bool {
	return float64(m.bestEffortCPU+s.Spec.Needs.CPUMillis) <= m.idle()
}
