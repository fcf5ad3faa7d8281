package planner

import (
	"slices"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// UrgentDemand is what the urgent tasks of a queue hold and wait for, in thousandths of a core. It
// answers waves and bursts of urgent work: what it has been is what forecasts are made from.
type UrgentDemand struct {
	Held, Waiting int64
	Task          specifier.Resources // of a task in the mean
}

// CPUMillis is the demand in thousandths of a core.
func (d UrgentDemand) CPUMillis() int64 { return d.Held + d.Waiting }

// UrgentDemands returns the demand of each queue that has urgent tasks.
func UrgentDemands(in Input) map[string]UrgentDemand {
	r := newRound(in)
	r.loadVMs()
	return r.urgentDemands()
}

// urgentDemands returns the demand of each queue that has urgent tasks. Tasks that are too late to be
// of value to their callers, and those that no VM could run, do not count as waiting.
func (r *round) urgentDemands() map[string]UrgentDemand {
	sums := make(map[string]urgentSum)
	for _, s := range r.state.OpenSteps() {
		if !isUrgent(s) {
			continue
		}
		held, waiting := int64(0), int64(0) // tasks
		for _, t := range s.Tasks {
			held += int64(len(t.Runs))
			if t.Waits(r.now) {
				waiting++
			}
		}
		if waiting > 0 && (rank(r.in, s).urgency == tooLate || !r.limitedByCapacity(s, runsPerVM(s))) {
			waiting = 0
		}
		queue := s.Occurrence.Job.Queue.Name
		sum := sums[queue]
		sum.add(s.Spec.Needs, held, waiting)
		sums[queue] = sum
	}
	demands := make(map[string]UrgentDemand, len(sums))
	for queue, sum := range sums {
		demands[queue] = sum.demand()
	}
	return demands
}

// isUrgent reports whether long-running tasks make way for the tasks of a step.
func isUrgent(s *tracker.Step) bool {
	return !s.Spec.BestEffort && !s.Spec.LongRunning && !s.Spec.Gang && s.Occurrence.Job.Queue.Priority <= 0
}

type urgentSum struct {
	held, waiting specifier.Resources
	tasks         int64
}

func (u *urgentSum) add(needs specifier.Resources, held, waiting int64) {
	u.held = u.held.Add(needs.Times(held))
	u.waiting = u.waiting.Add(needs.Times(waiting))
	u.tasks += held + waiting
}

func (u *urgentSum) demand() UrgentDemand {
	d := UrgentDemand{Held: u.held.CPUMillis, Waiting: u.waiting.CPUMillis}
	if u.tasks > 0 {
		all := u.held.Add(u.waiting)
		d.Task = specifier.Resources{CPUMillis: all.CPUMillis / u.tasks, MemoryMB: all.MemoryMB / u.tasks}
	}
	return d
}

// urgentQueues returns the names of the queues that may have urgent tasks, sorted.
func urgentQueues(in Input) []string {
	var names []string
	for _, q := range in.State.Policy().Queues {
		if q.Priority <= 0 {
			names = append(names, q.Name)
		}
	}
	slices.Sort(names)
	return names
}
