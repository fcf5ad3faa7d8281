package planner

import (
	"cmp"
	"slices"
	"time"

	"bamboospread/internal/job/sharer"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// Limits of reclaims. They answer the load of an account that was lent idle processors for
// best-effort tasks which run for long, when the account whose share it is asks for it.
const (
	// ReclaimInterval is the time between rounds of reclaims: a stop takes that long to show.
	ReclaimInterval = 500 * time.Millisecond
	// reclaimAfter is how long a task waits before runs stop for it: most room comes back by ends.
	reclaimAfter = time.Second
	// maxReclaims bounds a round. On a larger fleet the limit is one run for every vmsPerReclaim VMs,
	// if that is more.
	maxReclaims   = 4
	vmsPerReclaim = 10
)

// ReclaimCause is the cause of the stops.
const ReclaimCause = "returns room to another account"

// Reclaim is a best-effort run of an account far above its share to stop for a waiting task of one
// below its share.
type Reclaim struct {
	Run  *tracker.Run
	For  *tracker.Step
	Lost time.Duration // work of the run that the stop discards
	Rest time.Duration // expected rest of the run
}

// Reclaims returns the runs to stop in one round, those with checkpoints first, then those that lose
// the least work. None is stopped whose rest is worth less than the work lost.
func Reclaims(in Input) []Reclaim {
	if in.Sharer == nil {
		return nil
	}
	r := newRound(in)
	givers := r.givers()
	if len(givers) == 0 {
		return nil
	}
	takers, covered := r.takers(), r.reclaimsInProgress()
	if len(takers) == 0 {
		return nil
	}
	r.loadVMs()
	c := &reclaimer{round: r, runs: givers, moved: make(map[sharer.Key]specifier.Resources)}
	limit := max(maxReclaims, len(r.vmStates)/vmsPerReclaim)
	var found []Reclaim
	for _, t := range takers {
		if len(found) == limit {
			break
		}
		if best := r.choose(t.Step, t, r.runCounts(t.Step)); best != nil {
			r.place(t, best, 0) // the next placement round starts it
			continue
		}
		if covered > 0 {
			covered-- // a run is being stopped for it
			continue
		}
		if one, ok := c.find(t); ok {
			found = append(found, one)
		}
	}
	return found
}

// givers returns the runs that may be stopped, in the order in which they are.
func (r *round) givers() []*tracker.Run {
	var runs []*tracker.Run
	for _, vm := range r.state.VMs {
		if !vm.Attached {
			continue
		}
		for _, run := range vm.Runs {
			s := run.Step()
			if !s.Spec.BestEffort || s.Spec.LongRunning || s.Spec.Gang || run.State != tracker.Running || len(run.Task.Runs) > 1 || r.in.Sharer.StandingOf(rowOf(s)).FarSince.IsZero() {
				continue
			}
			if r.rest(run) > lostWork(run)+stopWorth(run) {
				runs = append(runs, run)
			}
		}
	}
	slices.SortFunc(runs, func(a, b *tracker.Run) int {
		return cmp.Or(cmp.Compare(checkpointRank(a), checkpointRank(b)), byLostWork(a, b))
	})
	return runs
}

// rest is the expected rest of a run.
func (r *round) rest(run *tracker.Run) time.Duration {
	s := run.Step()
	left := s.Spec.Estimate() / paceFull * time.Duration(paceFull-run.Progress)
	return specifier.Span(float64(left) * r.state.RuntimeRatio(s.Occurrence.Job.Spec.Queue))
}

// stopWorth is the time of a run that is worth as much as a stop costs.
func stopWorth(run *tracker.Run) time.Duration {
	return time.Duration(stopCost * millisPerCore / float64(max(run.Step().Spec.Needs.CPUMillis, 1)) * float64(time.Second))
}

func checkpointRank(run *tracker.Run) int {
	if run.Step().Spec.Checkpoints {
		return 0
	}
	return 1
}

// takers returns the best-effort tasks of accounts below their share that have waited long enough,
// in the order in which they would start.
func (r *round) takers() []*tracker.Task {
	var tasks []*tracker.Task
	for _, s := range order(r.in, r.waitingSteps()) {
		st := r.in.Sharer.StandingOf(rowOf(s))
		if !s.Spec.BestEffort || s.Spec.LongRunning || s.Spec.Gang || st.Use >= st.Share || r.now.Sub(s.ReadyAt) < reclaimAfter || rank(r.in, s).urgency == tooLate {
			continue
		}
		for _, t := range s.Tasks {
			if t.Waits(r.now) && r.now.Sub(t.WaitSince) >= reclaimAfter {
				tasks = append(tasks, t)
			}
		}
	}
	return tasks
}

// reclaimsInProgress returns the number of runs that are being stopped by earlier rounds.
func (r *round) reclaimsInProgress() int {
	n := 0
	for _, vm := range r.state.VMs {
		for _, run := range vm.Runs {
			if run.State == tracker.Stopping && run.StopCause == ReclaimCause {
				n++
			}
		}
	}
	return n
}

// reclaimer finds the runs of a round.
type reclaimer struct {
	*round
	runs  []*tracker.Run                     // that may be stopped; nil: is to be stopped
	moved map[sharer.Key]specifier.Resources // what rows gain by the round; negative if they lose
}

// find returns the first run in whose place a task fits, such that neither account passes its share
// by it.
func (c *reclaimer) find(t *tracker.Task) (Reclaim, bool) {
	s := t.Step
	taker := rowOf(s)
	if c.useAfter(taker, s.Spec.Needs) > c.in.Sharer.StandingOf(taker).Share {
		return Reclaim{}, false
	}
	for i, run := range c.runs {
		if run == nil {
			continue
		}
		giver := rowOf(run.Step())
		needs := run.Step().Spec.Needs
		if giver.Priority < taker.Priority || giver.Account == taker.Account || c.useAfter(giver, specifier.Resources{}.Sub(needs)) < c.in.Sharer.StandingOf(giver).Share {
			continue
		}
		if !c.replace(run, t) {
			continue
		}
		c.runs[i] = nil
		c.moved[giver] = c.moved[giver].Sub(needs)
		c.moved[taker] = c.moved[taker].Add(s.Spec.Needs)
		return Reclaim{Run: run, For: s, Lost: lostWork(run), Rest: c.rest(run)}, true
	}
	return Reclaim{}, false
}

// useAfter returns the dominant share of a row after the round so far and another change.
func (c *reclaimer) useAfter(k sharer.Key, change specifier.Resources) float64 {
	return c.in.Sharer.StandingOf(k).Use + c.in.Sharer.Dominant(c.moved[k].Add(change))
}

// replace reports whether a task fits in the place of a best-effort run, and accounts for it if so.
func (c *reclaimer) replace(run *tracker.Run, t *tracker.Task) bool {
	m := c.findVM(run.VM.Name)
	if m == nil || m.vm.Slow() || t.AvoidsVM(m.vm.Name) || c.separates(m, t) {
		return false
	}
	s, count := t.Step, c.runCounts(t.Step)
	after := *m
	after.free = after.free.Add(run.Step().Spec.Committed())
	after.bestEffortCPU -= run.Step().Spec.Needs.CPUMillis
	if !after.admits(s, count[m.vm]) {
		return false
	}
	c.interference(m, s) // sets the neighbours
	after.neighbours, after.neighboursKnown = slices.Clone(m.neighbours), m.neighboursKnown
	for i := range after.neighbours {
		n := &after.neighbours[i]
		n.left += m.expectedShare(run.Step().Spec) * c.effect(n.image, run.Step().Spec.Image)
	}
	if c.interference(&after, s).leastHeadroom < minHeadroom {
		return false
	}
	*m = after
	c.assign(m, s.Spec)
	count[m.vm]++
	return true
}
