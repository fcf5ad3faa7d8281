package admitter

import (
	"cmp"
	"slices"
	"time"
)

// Waiting is the work of a job that has not begun and can still be of value.
type Waiting struct {
	Pool    Pool
	Account string
	OnTime  bool    // can end within its objective
	Rank    float64 // in the order within a backlog, the lowest is served first
	Work    float64 // core-seconds
}

// Queue is a queue with its pool.
type Queue struct {
	Name string
	Pool Pool
	Room *Room
}

// Backlog is what the owner knows of the work that is accepted and not done.
type Backlog struct {
	Queues  []Queue
	Waiting []Waiting
	Meter   *Meter
	// Ready is the work of the tasks that could start but have waited for room, and Running the
	// processors that running tasks of the pool declare.
	Ready   map[Pool]float64 // core-seconds
	Running map[Pool]float64 // cores
	// Share returns the share of a pool that an account is entitled to; nil: not shared by accounts.
	Share func(account string, priority int) float64
}

// minQueue is how long the running tasks of a pool would take for the tasks that wait for room, from
// which the pool counts as saturated. Tasks that wait for earlier steps, or some that few VMs may run,
// are no backlog.
const minQueue = time.Second

// Saturated reports whether work waits for room in a pool. Otherwise a new job does not wait, and what is
// done says nothing about the capacity.
func (b Backlog) Saturated(p Pool) bool {
	return b.Ready[p] > 0 && b.Ready[p] >= b.Running[p]*minQueue.Seconds()
}

// Tabulate returns the rows of the table for a backlog. Of queues without backlog and room there is
// no row.
func Tabulate(b Backlog) []Row {
	byPool := make(map[Pool][]Waiting)
	for _, w := range b.Waiting {
		byPool[w.Pool] = append(byPool[w.Pool], w)
	}
	for _, all := range byPool {
		slices.SortFunc(all, func(a, b Waiting) int { return cmp.Compare(a.Rank, b.Rank) })
	}
	var rows []Row
	for _, q := range b.Queues {
		waiting, drain := byPool[q.Pool], b.Meter.Drain(q.Pool)
		if !b.Saturated(q.Pool) {
			waiting = nil
		}
		if len(waiting) == 0 && q.Room == nil {
			continue
		}
		rows = append(rows, Row{Queue: q.Name, Drain: drain, OnTime: pointsOf(onTimeOf(waiting)), Ahead: pointsOf(waiting), Room: q.Room})
		if drain > 0 {
			rows = append(rows, accountRows(b, q, waiting, drain)...)
		}
	}
	return rows[:min(len(rows), maxRows)]
}

// accountRows returns a row for each account with waiting work, if there are several. An account waits
// for its own work, at its part of the drain: idle shares are lent, so the parts of the accounts that
// wait add up to the whole.
func accountRows(b Backlog, q Queue, waiting []Waiting, drain float64) (rows []Row) {
	if b.Share == nil {
		return nil
	}
	byAccount, shares := make(map[string][]Waiting), 0.0
	var names []string
	for _, w := range waiting {
		if w.Account == "" {
			return nil
		}
		if byAccount[w.Account] == nil {
			names = append(names, w.Account)
			shares += b.Share(w.Account, q.Pool.Priority)
		}
		byAccount[w.Account] = append(byAccount[w.Account], w)
	}
	if len(names) < 2 || shares <= 0 {
		return nil
	}
	slices.Sort(names)
	for _, name := range names {
		part := b.Share(name, q.Pool.Priority) / shares
		rows = append(rows, Row{Queue: q.Name, Account: name, Drain: drain * part, OnTime: pointsOf(onTimeOf(byAccount[name])), Ahead: pointsOf(byAccount[name])})
	}
	return rows
}

func onTimeOf(all []Waiting) (found []Waiting) {
	for _, w := range all {
		if w.OnTime {
			found = append(found, w)
		}
	}
	return found
}

// pointsOf returns the cumulative work of jobs that are sorted by rank. With more than maxPoints jobs,
// only the ends of equal parts of the work are kept.
func pointsOf(sorted []Waiting) []Point {
	total := 0.0
	for _, w := range sorted {
		total += w.Work
	}
	var points []Point
	sum := 0.0
	for i, w := range sorted {
		sum += w.Work
		if i+1 < len(sorted) && sorted[i+1].Rank == w.Rank {
			continue // jobs of one rank are one point
		}
		if i+1 == len(sorted) || sum >= total*float64(len(points)+1)/maxPoints {
			points = append(points, Point{Rank: w.Rank, Work: sum})
		}
	}
	return points
}
