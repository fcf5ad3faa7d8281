package scheduler

import (
	"cmp"
	"slices"
	"time"

	"bamboospread/internal/job/planner"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
)

// Limits of log lines on waiting steps.
const (
	waitReportAfter    = time.Second     // minimum wait of a step before it is logged
	waitReportInterval = 2 * time.Second // between lines on the same step
	waitCheckInterval  = 500 * time.Millisecond
	waitsPerCheck      = 3 // the longest waits; the causes in a backlog of hundreds are the same
)

// reportWaits logs why steps wait. No other event between "job loaded" and "start decided" shows
// why a job is late.
func (o *owner) reportWaits(now time.Time) {
	if now.Sub(o.waitsCheckedAt) < waitCheckInterval {
		return
	}
	o.waitsCheckedAt = now
	steps := slices.DeleteFunc(o.state.WaitingSteps(now), func(s *tracker.Step) bool {
		return now.Sub(s.ReadyAt) < waitReportAfter || now.Sub(o.waitReportedAt[s.Name()]) < waitReportInterval
	})
	slices.SortStableFunc(steps, func(a, b *tracker.Step) int { return cmp.Compare(a.ReadyAt.UnixNano(), b.ReadyAt.UnixNano()) })
	for name, at := range o.waitReportedAt {
		if now.Sub(at) > 2*waitReportInterval {
			delete(o.waitReportedAt, name)
		}
	}
	for _, s := range steps[:min(len(steps), waitsPerCheck)] {
		o.waitReportedAt[s.Name()] = now
		o.s.config.Reporter.Report(reporter.JobStepWaits, reporter.Fields{
			"job": s.Occurrence.Job.Spec.ID, "step": s.Number, "occurrence": s.Occurrence.Number, "waited": now.Sub(s.ReadyAt).String(),
			"waiting": len(steps), "cause": planner.Explain(o.input(now), s), "policy": o.state.Policy().Version,
		})
	}
}
