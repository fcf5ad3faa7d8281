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
	// urgentWaitReportAfter is the minimum wait of an urgent step before it is logged: callers of
	// urgent queues expect an answer within a fraction of a second.
	urgentWaitReportAfter = 300 * time.Millisecond
	waitReportAfter       = time.Second     // the same for other steps
	waitReportInterval    = 2 * time.Second // between lines on the same step
	waitCheckInterval     = 500 * time.Millisecond
	waitsPerQueue         = 3 // the longest waits; the causes in a backlog of hundreds are the same
	queuesPerCheck        = 8 // those of the highest priorities
)

// reportWaits logs why steps wait, for each queue. No other event between "job loaded" and "start
// decided" shows why a job is late.
func (o *owner) reportWaits(now time.Time) {
	if now.Sub(o.waitsCheckedAt) < waitCheckInterval {
		return
	}
	o.waitsCheckedAt = now
	for name, at := range o.waitReportedAt {
		if now.Sub(at) > 2*waitReportInterval {
			delete(o.waitReportedAt, name)
		}
	}
	for _, steps := range longestWaits(o.state.WaitingSteps(now), now) {
		for _, s := range steps[:min(len(steps), waitsPerQueue)] {
			if now.Sub(o.waitReportedAt[s.Name()]) < waitReportInterval {
				continue
			}
			o.waitReportedAt[s.Name()] = now
			o.s.config.Reporter.Report(reporter.JobStepWaits, reporter.Fields{
				"job": s.Occurrence.Job.Spec.ID, "queue": s.Occurrence.Job.Spec.Queue, "step": s.Number, "occurrence": s.Occurrence.Number, "waited": now.Sub(s.ReadyAt).String(),
				"waiting": len(steps), "cause": planner.Explain(o.input(now), s), "policy": o.state.Policy().Version,
			})
		}
	}
}

// longestWaits returns the steps of each queue that have waited long enough to be logged, the longest
// waits first, of at most queuesPerCheck queues in the order of their priority.
func longestWaits(waiting []*tracker.Step, now time.Time) (queues [][]*tracker.Step) {
	byQueue := make(map[string][]*tracker.Step)
	for _, s := range waiting {
		after := waitReportAfter
		if isUrgent(s) {
			after = urgentWaitReportAfter
		}
		if now.Sub(s.ReadyAt) >= after {
			queue := s.Occurrence.Job.Spec.Queue
			byQueue[queue] = append(byQueue[queue], s)
		}
	}
	for _, steps := range byQueue {
		slices.SortStableFunc(steps, func(a, b *tracker.Step) int { return a.ReadyAt.Compare(b.ReadyAt) })
		queues = append(queues, steps)
	}
	slices.SortFunc(queues, func(a, b []*tracker.Step) int {
		ja, jb := a[0].Occurrence.Job, b[0].Occurrence.Job
		return cmp.Or(cmp.Compare(ja.Queue.Priority, jb.Queue.Priority), cmp.Compare(ja.Spec.Queue, jb.Spec.Queue))
	})
	return queues[:min(len(queues), queuesPerCheck)]
}

// isUrgent reports whether tasks of a step have reserved processors, end by themselves and are of the
// highest priority.
func isUrgent(s *tracker.Step) bool {
	return s.Occurrence.Job.Queue.Priority == 0 && !s.Spec.BestEffort && !s.Spec.LongRunning
}
