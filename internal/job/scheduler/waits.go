package scheduler

import (
	"cmp"
	"slices"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/planner"
	"bamboospread/internal/kernel/reporter"
)

// Limits of the lines on steps that wait.
const (
	waitToldAfter = time.Second     // a step has waited before it is told
	waitToldEvery = 2 * time.Second // for the same step
	waitRound     = 500 * time.Millisecond
	waitsPerRound = 3 // the longest waits; a backlog of hundreds tells the same cause
)

// tellWaits logs why steps wait. Between "taken in" and "start decided" nothing else
// tells a caller's operator the cause of a late job.
func (o *owner) tellWaits(now time.Time) {
	if now.Sub(o.waitsAt) < waitRound {
		return
	}
	o.waitsAt = now
	steps := slices.DeleteFunc(o.state.WaitingSteps(now), func(s *accountant.Step) bool {
		return now.Sub(s.ReadyAt) < waitToldAfter || now.Sub(o.waitTold[s.Name()]) < waitToldEvery
	})
	slices.SortStableFunc(steps, func(a, b *accountant.Step) int { return cmp.Compare(a.ReadyAt.UnixNano(), b.ReadyAt.UnixNano()) })
	for name, at := range o.waitTold {
		if now.Sub(at) > 2*waitToldEvery {
			delete(o.waitTold, name)
		}
	}
	for _, s := range steps[:min(len(steps), waitsPerRound)] {
		o.waitTold[s.Name()] = now
		o.s.config.Reporter.Report(reporter.JobStepWaits, reporter.Fields{
			"job": s.Occurrence.Job.Spec.ID, "step": s.Number, "occurrence": s.Occurrence.Number, "waited": now.Sub(s.ReadyAt).String(),
			"waiting": len(steps), "cause": planner.Explain(o.input(now), s), "policy": o.state.Policy().Version,
		})
	}
}
