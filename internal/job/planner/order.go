package planner

import (
	"sort"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// urgency is how much a caller still gains from a job.
type urgency int

const (
	onTime  urgency = iota // can end within its objective
	late                   // has a reduced value
	tooLate                // has no value any more, is only completed
)

type ranked struct {
	step     *tracker.Step
	priority int
	urgency  urgency
	account  float64 // precedence of the client account, lower first; equal for all without shares
	left     float64 // share of the work that is not done, or the index of the job
	deadline time.Time
	// precedence is higher for jobs that go before the others, so that large ones do not starve.
	precedence int
}

// order sorts steps by the priority of their queue, then by urgency, then steps that end
// before long-running ones, then by the share of work left, so that jobs that are nearly done
// come first, whatever their size. Under a backlog, an order by deadlines alone would start
// all jobs a little and complete none in time.
//
// With estimates of run times, the index of a job takes the place of the share of work left.
func order(in Input, steps []*tracker.Step) []*tracker.Step {
	list := make([]ranked, len(steps))
	x := newIndexer(in, len(steps))
	for i, s := range steps {
		list[i] = x.rank(s)
	}
	sort.SliceStable(list, func(i, j int) bool {
		a, b := list[i], list[j]
		switch {
		case a.priority != b.priority:
			return a.priority < b.priority
		case a.urgency != b.urgency:
			return a.urgency < b.urgency
		case a.step.Spec.LongRunning != b.step.Spec.LongRunning:
			return b.step.Spec.LongRunning
		case a.account != b.account:
			return a.account < b.account
		case a.precedence != b.precedence:
			return a.precedence > b.precedence
		case a.left != b.left:
			return a.left < b.left
		default:
			return a.deadline.Before(b.deadline)
		}
	})
	for i, r := range list {
		steps[i] = r.step
	}
	return steps
}

func rank(in Input, s *tracker.Step) ranked { return newIndexer(in, 1).rank(s) }

func (x *indexer) rank(s *tracker.Step) ranked {
	in, o := x.in, s.Occurrence
	q := o.Job.Queue
	chain := longestChains(o)
	objective := objectiveOf(o, chain.total)
	r := ranked{step: s, priority: q.Priority, deadline: o.DueAt.Add(objective)}
	r.account = in.Sharer.StandingOf(rowOf(s)).Precedence
	if s.Spec.LongRunning {
		r.deadline = s.ReadyAt // first come, first served
		return r
	}
	expected := in.Estimator != nil
	left := specifier.Span(float64(chain.left) * in.State.RuntimeRatio(o.Job.Spec.Queue))
	if expected {
		left = x.of(o).timeLeft
	}
	end := in.Now.Add(left)
	switch {
	case end.After(o.DueAt.Add(tooLateFactor * objective)):
		r.urgency = tooLate
		return r
	case end.After(r.deadline):
		r.urgency = late
	}
	r.left = o.RemainingShare()
	if expected {
		r.left, r.precedence = x.of(o).workLeft, in.Service.precedence(o)
	}
	r.rankByShare(in)
	return r
}

// objectiveOf returns the objective of an occurrence, from when it is due: what its caller was
// promised, by the declared durations.
func objectiveOf(o *tracker.Occurrence, longestChain time.Duration) time.Duration {
	return objectiveIn(o.Job.Queue, longestChain)
}

func objectiveIn(q specifier.Queue, longestChain time.Duration) time.Duration {
	return specifier.Sum(specifier.Span(float64(longestChain)*q.Slack), q.Target)
}

// chainLengths are the lengths of the longest dependency chains of an occurrence, by declared
// durations.
type chainLengths struct {
	total time.Duration
	left  time.Duration // over the steps that are not finished
}

// longestChains returns the lengths of the longest dependency chains of an occurrence.
func longestChains(o *tracker.Occurrence) chainLengths {
	var c chainLengths
	total := make([]time.Duration, len(o.Steps))
	left := make([]time.Duration, len(o.Steps))
	for i, s := range o.Steps {
		for _, a := range s.Spec.After {
			total[i], left[i] = max(total[i], total[a]), max(left[i], left[a])
		}
		total[i] = specifier.Sum(total[i], s.Spec.Estimate())
		if !s.Finished() {
			left[i] = specifier.Sum(left[i], s.Spec.Estimate())
		}
		c.total, c.left = max(c.total, total[i]), max(c.left, left[i])
	}
	return c
}
