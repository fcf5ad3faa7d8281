package planner

import (
	"sort"
	"time"

	"bamboospread/internal/job/accountant"
)

// urgency tells how much a caller still gains from a job.
type urgency int

const (
	inTime   urgency = iota // can end within its objective
	late                    // worth less, but something
	hopeless                // worth nothing more: only finished
)

type ranked struct {
	step     *accountant.Step
	priority int
	urgency  urgency
	left     float64 // share of its work that is not done
	deadline time.Time
}

// order sorts steps: by priority of the queue, then by what is still to be gained, those
// that end before those that last, then by the share of their work that is left, jobs that
// are nearly done first, whatever their size. Under a backlog, deadlines alone would start
// all jobs a little and end none in time.
func order(in Input, steps []*accountant.Step) []*accountant.Step {
	list := make([]ranked, len(steps))
	for i, s := range steps {
		list[i] = rank(in, s)
	}
	sort.SliceStable(list, func(i, j int) bool {
		a, b := list[i], list[j]
		switch {
		case a.priority != b.priority:
			return a.priority < b.priority
		case a.urgency != b.urgency:
			return a.urgency < b.urgency
		case a.step.Spec.Lasting != b.step.Spec.Lasting:
			return b.step.Spec.Lasting
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

func rank(in Input, s *accountant.Step) ranked {
	o := s.Occurrence
	q := o.Job.Queue
	chain := chainOf(o)
	objective := time.Duration(float64(chain.total)*q.Slack) + q.Target
	r := ranked{step: s, priority: q.Priority, deadline: o.DueAt.Add(objective)}
	if s.Spec.Lasting {
		r.deadline = s.ReadyAt // first come first served
		return r
	}
	end := in.Now.Add(time.Duration(float64(chain.left) * in.State.Stretch(o.Job.Spec.Queue)))
	switch {
	case end.After(o.DueAt.Add(lateFactor * objective)):
		r.urgency = hopeless
		return r
	case end.After(r.deadline):
		r.urgency = late
	}
	r.left = o.Left()
	return r
}

// chainLengths are the longest chains of declared work of an occurrence.
type chainLengths struct {
	total time.Duration
	left  time.Duration // over the steps that are not finished
}

// chainOf returns the longest chains of work of an occurrence.
func chainOf(o *accountant.Occurrence) chainLengths {
	var c chainLengths
	total := make([]time.Duration, len(o.Steps))
	left := make([]time.Duration, len(o.Steps))
	for i, s := range o.Steps {
		for _, a := range s.Spec.After {
			total[i], left[i] = max(total[i], total[a]), max(left[i], left[a])
		}
		total[i] += s.Spec.Estimate()
		if !s.Finished() {
			left[i] += s.Spec.Estimate()
		}
		c.total, c.left = max(c.total, total[i]), max(c.left, left[i])
	}
	return c
}
