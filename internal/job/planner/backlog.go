package planner

import (
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// What admission needs to know of the order within a backlog and of objectives. It follows rank.

// FreshRank is the rank of a job that has just come in the order within a backlog.
func FreshRank(*specifier.Job) float64 { return 1 }

// BacklogPlace is the place of an occurrence in the order within a backlog.
type BacklogPlace struct {
	OnTime bool    // such are served before those that are late
	Rank   float64 // among these, the lowest is served first
	Work   float64 // of its tasks that have not started, in core-seconds
}

// BacklogPlaceOf returns the place of an occurrence. ok is false if it is too late, so that it is
// served last, or has only long-running tasks.
func BacklogPlaceOf(in Input, o *tracker.Occurrence) (p BacklogPlace, ok bool) {
	p.Rank = o.RemainingShare()
	for _, s := range o.Steps {
		if s.Finished() || s.Spec.LongRunning {
			continue
		}
		if !ok {
			u := rank(in, s).urgency
			if u == tooLate {
				return BacklogPlace{}, false
			}
			p.OnTime, ok = u == onTime, true
		}
		for _, t := range s.Tasks {
			if !t.Done && len(t.Runs) == 0 {
				p.Work += s.Spec.CoreSeconds()
			}
		}
	}
	return p, ok
}

// Limits are the times that a job may take, from when it was due; 0 if its queue has no objective.
type Limits struct {
	Objective time.Duration
	TooLate   time.Duration // it has no value any more
	Chain     time.Duration // length of its longest chain of tasks
}

// LimitsOf returns the limits of a job.
func LimitsOf(q specifier.Queue, j *specifier.Job) Limits {
	chain := time.Duration(0)
	ends := make([]time.Duration, len(j.Steps))
	for i, s := range j.Steps {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] = specifier.Sum(ends[i], s.Estimate())
		chain = max(chain, ends[i])
	}
	objective := objectiveIn(q, chain)
	return Limits{objective, tooLateFactor * objective, chain}
}
