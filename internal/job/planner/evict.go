package planner

import (
	"slices"
	"time"

	"bamboospread/internal/job/accountant"
)

// Limits of evictions. They answer loads under which filling tasks stand nearly still
// for the sake of lasting ones while another VM has room for them: lasting tasks came
// to their VM, or the load of those beside them swung up. Held where they are, they keep its
// memory from others too.
const (
	// crawlPace is the pace in percent at which a filling run counts as standing nearly
	// still.
	crawlPace = 30
	// crawlFor is how long it must do so: a swing of a report is over sooner.
	crawlFor = 700 * time.Millisecond
	// lostMost is how much work of a run an eviction may throw away: about what it
	// would stand still for.
	lostMost = time.Second
	// evictionsMost bounds a round, so that a VM with room is not overrun.
	evictionsMost = 8
)

// Evictions returns the filling runs that should be stopped to go on elsewhere.
func Evictions(in Input) []*accountant.Run {
	r := newRound(in)
	var crawling []*accountant.Run
	for _, vm := range in.State.VMs {
		for _, run := range vm.Runs {
			if r.crawls(run) {
				crawling = append(crawling, run)
			}
		}
	}
	if len(crawling) == 0 {
		return nil
	}
	slices.SortFunc(crawling, byLoss)
	r.openRooms()
	var evicted []*accountant.Run
	for _, run := range crawling {
		if len(evicted) == evictionsMost {
			break
		}
		s := run.Step()
		count := r.countOf(s)
		to := r.choose(s, run.Task, count)
		if to == nil || to.vm.Slow() || !to.quick(s) {
			continue
		}
		r.take(to, s.Spec)
		count[to.vm]++
		evicted = append(evicted, run)
	}
	return evicted
}

// crawls tells whether a run stands nearly still and little is lost by stopping it.
func (r *round) crawls(run *accountant.Run) bool {
	s := run.Step()
	return s.Spec.Fills && !s.Spec.Gang && run.State == accountant.Running && run.VM.Attached &&
		run.Pace != accountant.PaceUnknown && run.Pace <= crawlPace && r.now.Sub(run.PacedAt) >= crawlFor &&
		len(run.Task.Runs) == 1 && lostBy(run) <= lostMost
}

// lostBy is how much of a run's work a stop throws away.
func lostBy(run *accountant.Run) time.Duration {
	if run.Step().Spec.Checkpoints {
		return 0
	}
	return run.Step().Spec.Estimate() * time.Duration(run.Progress) / paceFull
}

func byLoss(a, b *accountant.Run) int {
	if d := lostBy(a) - lostBy(b); d != 0 {
		return int(d)
	}
	if a.Key().Less(b.Key()) {
		return -1
	}
	return 1
}

// quick tells whether a filling task would get most of the processors that it asks for.
func (m *room) quick(s *accountant.Step) bool {
	return float64(m.fillCPU+s.Spec.Needs.CPUMillis) <= m.idle()
}
