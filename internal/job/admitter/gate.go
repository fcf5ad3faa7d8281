package admitter

import (
	"fmt"
	"slices"
	"time"

	"bamboospread/internal/job/specifier"
)

// Limits of decisions.
const (
	// minWait is the expected wait below which there is no backlog to speak of.
	minWait = time.Second
	// uncountedDelay is the time within which a job that an entry stored may be missing in the owner's
	// next table.
	uncountedDelay = 150 * time.Millisecond
	// longRunningRetryAfter is the time after which to retry where long-running jobs find no room: they
	// end when their callers cancel them, which nobody can predict.
	longRunningRetryAfter = 10 * time.Second
)

// Request is a job about to be stored.
type Request struct {
	Queue, Account string
	Priority       int
	Rank           float64       // in the order within a backlog
	Work           float64       // core-seconds
	Chain          time.Duration // of its longest chain of tasks
	Objective      time.Duration // after its first send it is late
	Limit          time.Duration // after its first send it has no value any more; 0: no limit
	FirstAt        time.Time     // when it first came
	Returning      bool          // after a refusal, at its return time or later
	ReturnIn       time.Duration // after a refusal, before its return time: until then
	LongRunning    []specifier.Step
}

// Decision is the answer to a Request.
type Decision struct {
	Refuse     bool
	Reason     string
	RetryAfter time.Duration
	Wait       time.Duration // expected until the first task starts
	Bound      time.Duration // longest wait with which the job can be of value, from now
	Known      bool          // a table was used
	Version    int64         // of the table
	Epoch      int64
	Age        time.Duration // of the table
}

// Gate decides at an entry. It is not safe for concurrent use.
type Gate struct {
	table      *Table
	computedAt time.Time
	letIn      []admitted
	returns    returns
}

// admitted is a job that was let in.
type admitted struct {
	at             time.Time
	queue, account string
	rank, work     float64
	longRunning    []specifier.Step
}

// NewGate returns a Gate without a table: it lets everything in.
func NewGate() *Gate { return &Gate{returns: newReturns()} }

// Use replaces the table if t is newer. computedAt is on the clock of this entry.
func (g *Gate) Use(t *Table, computedAt time.Time) {
	if g.table != nil && (t.Epoch < g.table.Epoch || t.Epoch == g.table.Epoch && t.Version <= g.table.Version) {
		return
	}
	if g.table == nil || t.Epoch != g.table.Epoch {
		g.returns = newReturns()
	}
	g.table, g.computedAt = t, computedAt
	kept := g.letIn[:0]
	for _, a := range g.letIn {
		if a.at.After(computedAt.Add(-uncountedDelay)) {
			kept = append(kept, a)
		}
	}
	g.letIn = kept
}

// Drop forgets the table: the owner that gave it has been replaced, or gives none any more.
func (g *Gate) Drop(epoch int64) {
	if g.table != nil && epoch >= g.table.Epoch {
		g.table, g.letIn, g.returns = nil, nil, newReturns()
	}
}

// Version returns the epoch and version of the table, zero without one.
func (g *Gate) Version() (epoch, version int64) {
	if g.table == nil {
		return 0, 0
	}
	return g.table.Epoch, g.table.Version
}

// Decide answers a request. A job that is let in counts against the table until a newer one comes.
func (g *Gate) Decide(q Request, now time.Time) Decision {
	d := Decision{Bound: q.Limit - q.Chain - now.Sub(q.FirstAt)}
	if g.table == nil || now.Sub(g.computedAt) > TableTTL {
		return d
	}
	d.Known, d.Version, d.Epoch, d.Age = true, g.table.Version, g.table.Epoch, now.Sub(g.computedAt)
	row, byAccount := g.table.row(q.Queue, q.Account)
	if row == nil || byAccount && row.Account != q.Account {
		return d // nothing of this account waits
	}
	if len(q.LongRunning) > 0 {
		return g.decideLongRunning(d, row, q, now)
	}
	if row.Drain <= 0 {
		return d
	}
	d.Wait = g.wait(row, q, now)
	if !d.tooLate(q) {
		g.letIn = append(g.letIn, admitted{at: now, queue: q.Queue, account: row.Account, rank: q.Rank, work: q.Work})
		g.returns.settle(key(row), q.FirstAt)
		return d
	}
	d.Refuse = true
	d.Reason = fmt.Sprintf("no room: the first task is expected to wait %s, which leaves no value (at most %s)", d.Wait.Round(time.Millisecond), max(d.Bound, 0).Round(time.Millisecond))
	if q.ReturnIn > 0 { // keeps its place
		d.RetryAfter = max(q.ReturnIn, minRetryAfter)
		return d
	}
	fresh := q.Limit - q.Chain
	d.RetryAfter = g.returns.schedule(key(row), d.Wait-max(fresh, minWait), q.Work*float64(max(g.table.Entries, 1))/row.Drain, q, now)
	return d
}

// tooLate reports whether the job certainly has no value for its caller. A job that has become old on
// its way is let in as soon as there is room.
func (d Decision) tooLate(q Request) bool {
	bound := d.Bound
	if q.Priority == 0 {
		bound += q.Chain
	}
	return q.Limit > 0 && d.Wait > minWait && d.Wait > bound
}

// wait returns the expected wait of a job. If it can start in time behind the jobs that can be in time
// themselves, it waits for these alone. Otherwise it becomes late, and waits for all that have a value.
func (g *Gate) wait(row *Row, q Request, now time.Time) time.Duration {
	wait := g.waitBehind(row, row.OnTime, q, now)
	if wait <= q.Objective-q.Chain-now.Sub(q.FirstAt) {
		return wait
	}
	return g.waitBehind(row, row.Ahead, q, now)
}

// waitBehind returns the expected wait for the work in the table, for what this entry has let in since,
// and, if the job comes for the first time, for the callers that are due to return now.
func (g *Gate) waitBehind(row *Row, points []Point, q Request, now time.Time) time.Duration {
	work := upTo(points, q.Rank)
	for _, a := range g.letIn {
		if a.queue == q.Queue && a.account == row.Account && a.rank <= q.Rank {
			work += a.work
		}
	}
	if !q.Returning {
		work += g.returns.due(key(row), now)
	}
	wait := specifier.Span(work / row.Drain * float64(time.Second))
	return max(wait-now.Sub(g.computedAt), 0)
}

// decideLongRunning refuses a long-running job that the fleet cannot hold beside those that it holds and
// those that this entry has let in since.
func (g *Gate) decideLongRunning(d Decision, row *Row, q Request, now time.Time) Decision {
	if row.Room == nil {
		return d
	}
	steps := slices.Clone(q.LongRunning)
	for _, a := range g.letIn {
		if a.queue == q.Queue {
			steps = append(steps, a.longRunning...)
		}
	}
	if row.Room.holds(steps) {
		g.letIn = append(g.letIn, admitted{at: now, queue: q.Queue, longRunning: q.LongRunning})
		return d
	}
	d.Refuse, d.RetryAfter = true, longRunningRetryAfter
	d.Reason = "no room: the long-running tasks need more than the VMs have left"
	return d
}

func key(r *Row) rowKey { return rowKey{r.Queue, r.Account} }
