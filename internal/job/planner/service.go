package planner

import (
	"maps"
	"slices"
	"time"

	"bamboospread/internal/job/tracker"
)

// Service counts which jobs were served in time, so that an order by work left does not starve large
// jobs under a backlog: while those are served less than half as often as the rest, they go first. It
// uses no clock.
type Service struct {
	queues map[string]*queueService
	open   map[occurrenceKey]*awaited
}

// Limits of the counts of a queue.
const (
	// leastServedShare is how often large jobs are to be served in time, as a share of how often the
	// others are.
	leastServedShare = 0.5
	// preferredBelow is the share below which they go first: it shows only later, when jobs end, what
	// a change of the order gains.
	preferredBelow = 0.75
	// minOutcomes is the number of large jobs, and of others, below which nothing is concluded.
	minOutcomes = 4
	// maxOutcomes is the number of jobs at which the counts are halved, so that they follow the load.
	maxOutcomes  = 128
	meanSizeJobs = 300 // jobs over which their size is averaged
)

type queueService struct {
	meanSize    float64 // declared core-seconds
	sized       float64 // number of jobs in the mean
	large, rest outcomes
	largeFirst  bool
}

type outcomes struct{ all, inTime float64 }

func (c outcomes) share() float64 { return c.inTime / max(c.all, 1) }

type occurrenceKey struct {
	job    string
	number int
}

// awaited is an occurrence whose outcome is not known yet.
type awaited struct {
	queue    string
	large    bool
	kept     bool // it started while it was preferred, and stays so: its work would be lost otherwise
	deadline time.Time
	started  bool
	missed   bool
	seen     bool
}

// ServiceChange is a change of whether large jobs of a queue go first.
type ServiceChange struct {
	Queue       string
	LargeFirst  bool
	Large, Rest float64 // shares served in time
	Size        float64 // declared core-seconds above which a job is large
}

// NewService returns a Service without counts.
func NewService() *Service {
	return &Service{queues: make(map[string]*queueService), open: make(map[occurrenceKey]*awaited)}
}

// Update counts the outcomes since the last call. A job that passes its objective has not been served,
// also if it never ends.
func (v *Service) Update(state *tracker.Tracker, now time.Time) (changes []ServiceChange) {
	for _, s := range state.OpenSteps() {
		o := s.Occurrence
		if s.Spec.LongRunning {
			continue
		}
		key := occurrenceKey{o.Job.Spec.ID, o.Number}
		a := v.open[key]
		if a == nil {
			a = v.add(o)
			v.open[key] = a
		}
		a.seen = true
		v.queues[a.queue].update(a, o.Job.Started, now)
	}
	for key, a := range v.open {
		if a.seen {
			a.seen = false
			continue
		}
		delete(v.open, key)
		if j := state.Jobs[key.job]; j != nil && (j.State == tracker.JobDone || !j.State.Final()) {
			v.queues[a.queue].update(a, true, now)
		}
	}
	return v.takeChanges()
}

// add begins to await an occurrence.
func (v *Service) add(o *tracker.Occurrence) *awaited {
	queue, size := o.Job.Spec.Queue, declaredWork(o)
	q := v.queues[queue]
	if q == nil {
		q = &queueService{}
		v.queues[queue] = q
	}
	q.sized = min(q.sized+1, meanSizeJobs)
	q.meanSize += (size - q.meanSize) / q.sized
	return &awaited{queue: queue, large: size > q.meanSize, deadline: o.DueAt.Add(objectiveOf(o, longestChains(o).total))}
}

func (v *Service) takeChanges() (changes []ServiceChange) {
	for _, name := range slices.Sorted(maps.Keys(v.queues)) {
		q := v.queues[name]
		starved := q.large.all >= minOutcomes && q.rest.all >= minOutcomes && q.large.share() < preferredBelow*q.rest.share()
		if starved == q.largeFirst {
			continue
		}
		q.largeFirst = starved
		changes = append(changes, ServiceChange{Queue: name, LargeFirst: starved, Large: q.large.share(), Rest: q.rest.share(), Size: q.meanSize})
	}
	return changes
}

// update counts what has become known of an occurrence. One that has started counts as served until it
// misses its objective: the order follows the counts, and ends show only seconds later what it has done.
func (q *queueService) update(a *awaited, started bool, now time.Time) {
	c := &q.rest
	if a.large {
		c = &q.large
	}
	switch late := now.After(a.deadline); {
	case a.missed:
	case late && a.started:
		a.missed = true
		c.inTime = max(c.inTime-1, 0)
	case late:
		a.missed = true
		q.count(c, 0)
	case started && !a.started:
		a.started, a.kept = true, a.large && q.largeFirst
		q.count(c, 1)
	}
}

func (q *queueService) count(c *outcomes, inTime float64) {
	c.all++
	c.inTime += inTime
	if q.large.all+q.rest.all >= maxOutcomes {
		for _, c := range []*outcomes{&q.large, &q.rest} {
			c.all, c.inTime = c.all/2, c.inTime/2
		}
	}
}

// precedence returns the precedence of an occurrence over the others of its priority, the highest
// first. Large jobs that have started come before those that have not: many begun at once would all be late.
func (v *Service) precedence(o *tracker.Occurrence) int {
	if v == nil {
		return 0
	}
	switch a := v.open[occurrenceKey{o.Job.Spec.ID, o.Number}]; {
	case a == nil:
		return 0
	case a.kept:
		return 2
	case a.large && v.queues[a.queue].largeFirst:
		return 1
	}
	return 0
}

// declaredWork is the declared core-seconds of an occurrence.
func declaredWork(o *tracker.Occurrence) (sum float64) {
	for _, s := range o.Steps {
		sum += float64(len(s.Tasks)) * s.Spec.CoreSeconds()
	}
	return sum
}
