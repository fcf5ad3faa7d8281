// Package guardian is the agent's side of jobs: the one caller of a VM's worker
// and so the last guard of its capacity and of what runs. It carries out the
// orders of the cell's owner, keeps the leases of what runs alive while the owner
// grants it, and reports.
package guardian

import (
	"context"
	"reflect"
	"sync"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

// Config holds the settings of a Guardian.
type Config struct {
	VM       string
	Worker   Worker
	LeaseMax time.Duration // longest lease that the worker gives
	StopTime time.Duration // longest time that a stop takes
	Reporter *reporter.Reporter
	Now      func() time.Time // counts suspensions, does not jump
}

type runState int

const (
	starting runState = iota // the start was not answered yet
	running                  // the worker has confirmed it
	stopping                 // a stop was asked for
)

// run is a run that the worker has or may still get.
type run struct {
	state      runState
	needs      specifier.Resources
	known      bool          // needs are known
	settledAt  time.Time     // when its start or stop was answered; a look sent later shows the truth
	stopped    bool          // its stop was answered
	doubt      bool          // its start was not answered, and may be carried out later
	confirmed  bool          // an answer or a look has shown that the worker has, or had, it
	voidAfter  time.Duration // on the worker's clock: refused if it comes later; 0: not known yet
	callEnd    time.Time     // when the call that starts it was answered or given up; zero: not yet
	checkpoint string
	progress   int
	measure    int64
	cancel     context.CancelFunc // of its start
	pace       int                // ordered last, in percent
	pacing     bool               // the worker is being told
	paceDoubt  time.Time          // until then a pace that was not answered may be carried out
	repacing   bool               // the pace is repeated until then
}

// Guardian looks after one worker. It is safe for concurrent use.
type Guardian struct {
	config Config
	wake   chan struct{} // something new to report

	mu          sync.Mutex
	facts       *messenger.WorkFacts
	life        string // of the worker; empty until it was seen
	leaving     bool
	runs        map[accountant.RunKey]*run
	doubts      map[accountant.RunKey]doubt // starts without an answer
	ends        []SeenEnd
	endsStored  int64
	epoch       int64
	session     int64
	process     int64 // names this process
	ordersSeen  int64
	grantUntil  time.Time            // the owner lets runs go on until then
	factsTold   *messenger.WorkFacts // in this session, by a report that was answered
	factsSent   *messenger.WorkFacts // by the latest report
	gap         time.Duration        // that the owner wants between reports
	reportedAt  time.Time            // when the last report was made
	repliedAt   time.Time            // sent time of the last report that was answered
	clock       time.Duration
	clockAt     time.Time          // when clock was received; zero: not known in this life
	looksFailed int                // in a row
	looksAbsent int                // in a row, that found no process
	silentFrom  time.Time          // since when looks fail; zero: they do not
	leaseEnd    time.Time          // when leases asked for have surely run out
	hurry       context.CancelFunc // ends the look that waits
	looked      int64              // epoch of the last look that was answered in this life
	aliveAt     time.Time          // when that look was sent; zero: none was answered in this life
	context     context.Context
}

// New returns a Guardian without knowledge of its worker.
func New(c Config) *Guardian {
	now := c.Now()
	return &Guardian{
		config: c, wake: make(chan struct{}, 1), runs: make(map[accountant.RunKey]*run), doubts: make(map[accountant.RunKey]doubt), context: context.Background(),
		session: now.UnixMilli(), process: now.UnixMilli(),
		// An earlier process may have asked for the longest lease just before it ended.
		// Without this, one look without an answer before the first lease of this
		// process would end all that runs in the owner's books, and it would start all
		// of it a second time.
		leaseEnd: now.Add(leaseOver(c.LeaseMax)),
	}
}

// Wake is signalled when there is something new to report.
func (g *Guardian) Wake() <-chan struct{} { return g.wake }

func (g *Guardian) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Announce takes what the worker said of itself.
func (g *Guardian) Announce(a Announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := g.life != a.Life || g.leaving != a.Leaving || g.facts == nil
	if g.life != a.Life {
		g.beginLifeLocked(a.Life)
	}
	g.leaving = a.Leaving
	facts := &messenger.WorkFacts{WorkerID: a.ID, Zone: a.Zone, Rack: a.Rack, Service: a.Service, Labels: a.Labels, Capacity: a.Capacity}
	if g.facts == nil || !reflect.DeepEqual(*facts, *g.facts) {
		g.facts, changed = facts, true // told again
	}
	if changed {
		g.config.Reporter.Report(reporter.WorkerAnnounced, reporter.Fields{"life": a.Life, "leaving": a.Leaving, "cpu": a.Capacity.CPUMillis, "memory-mb": a.Capacity.MemoryMB})
		g.signal()
	}
}

// beginLifeLocked notes that the worker has forgotten everything, orders that it had not
// carried out yet included. A start that was still being sent after the life before last
// answered may have come to the new life instead: it is stopped there before the owner
// hears that it is gone.
func (g *Guardian) beginLifeLocked(life string) {
	if g.life != "" {
		g.config.Reporter.Report(reporter.WorkerReborn, reporter.Fields{"life": life, "before": g.life, "runs": len(g.runs)})
	}
	aliveAt := g.aliveAt
	g.life, g.ends, g.endsStored, g.clockAt, g.looked, g.aliveAt = life, nil, 0, time.Time{}, 0, time.Time{}
	for key, r := range g.runs {
		r.voidAfter = neverVoid // it was bounded on another clock
		switch {
		case !r.doubt, !r.callEnd.IsZero() && r.callEnd.Before(aliveAt):
			delete(g.runs, key)
		case r.state != stopping:
			g.stopLocked(key, r, "worker reborn")
		case r.stopped:
			r.stopped = false // by the life before
			go g.stop(g.context, key)
		}
	}
	g.fenceDoubtsLocked()
	g.signal()
}

// Run looks at the worker until ctx ends.
func (g *Guardian) Run(ctx context.Context) error {
	g.mu.Lock()
	g.context = ctx
	g.mu.Unlock()
	for ctx.Err() == nil {
		g.look(ctx)
	}
	return ctx.Err()
}

// committedLocked is what all runs take, those that are being stopped included.
func (g *Guardian) committedLocked() specifier.Resources {
	var sum specifier.Resources
	for _, r := range g.runs {
		sum = sum.Add(r.needs)
	}
	return sum
}

// Report returns a whole report for the session, or false if the worker has not
// been seen well enough. What a report does not list, the owner starts elsewhere:
// an agent that was just started must not report before it has looked, and after
// a change of owner a look must have shown the new epoch to the worker, so that
// no order of the old owner can add a run any more.
func (g *Guardian) Report(session int64) (messenger.WorkReport, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.facts == nil || g.clockAt.IsZero() || !g.completeLocked() {
		return messenger.WorkReport{}, false
	}
	g.reportedAt = g.config.Now()
	rep := messenger.WorkReport{
		VM: g.config.VM, Session: session, Process: g.process, Life: g.life, OrdersSeen: g.ordersSeen,
		AgeMillis: g.config.Now().Sub(g.clockAt).Milliseconds(),
		Ready:     !g.leaving && g.silentFrom.IsZero(), Granted: g.grantUntil.After(g.config.Now()),
	}
	if g.factsTold != g.facts {
		rep.Facts = g.facts
	}
	g.factsSent = g.facts
	for key, r := range g.runs {
		w := messenger.WorkRun{Task: key.Task.String(), Run: key.Number, Confirmed: r.confirmed, Stopping: r.state == stopping, Checkpoint: r.checkpoint, Progress: r.progress, Measure: r.measure}
		if r.known && !r.confirmed {
			needs := r.needs
			w.Needs = &needs
		}
		rep.Runs = append(rep.Runs, w)
	}
	for _, e := range g.ends {
		if e.Seq > g.endsStored {
			rep.Ends = append(rep.Ends, messenger.WorkEnd{Seq: e.Seq, Task: e.Task.String(), Run: e.Run, How: e.How, Checkpoint: e.Checkpoint})
		}
	}
	rep.Doubts = g.doubtsLocked()
	return rep, true
}

// completeLocked tells whether the runs that are known are all that the worker may have: it
// has answered a look under the owner's epoch, or it is silent and nothing runs there any
// more. A silent worker may still carry out a start of the owner before.
func (g *Guardian) completeLocked() bool {
	return g.looked == g.epoch || !g.silentFrom.IsZero() && g.endedLocked()
}

// endedLocked tells whether all that ran at a silent worker has surely ended.
func (g *Guardian) endedLocked() bool {
	return g.looksAbsent >= looksToEnd || g.config.Now().After(g.leaseEnd.Add(g.config.StopTime))
}

// BeginSession makes orders of earlier sessions void.
func (g *Guardian) BeginSession() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.session++
	g.ordersSeen, g.factsTold, g.factsSent = 0, nil, nil
	return g.session
}

// Gap is the time that the owner wants between reports at least.
func (g *Guardian) Gap() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gap
}

// Granted takes the owner's answer to a report sent at sentAt. It returns false if
// the answer is of an owner that was replaced.
func (g *Guardian) Granted(sentAt time.Time, life string, reply messenger.WorkReply) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if reply.Epoch < g.epoch {
		return false
	}
	g.followLocked(reply.Epoch)
	g.repliedAt, g.factsTold = sentAt, g.factsSent
	g.gap = time.Duration(reply.GapMillis) * time.Millisecond
	if until := sentAt.Add(time.Duration(reply.GrantMillis) * time.Millisecond); until.After(g.grantUntil) {
		if !g.grantUntil.After(g.config.Now()) {
			g.signal()      // the owner orders nothing before it hears of the grant
			g.hurryLocked() // the look that waits asks for no lease
		}
		g.grantUntil = until
	}
	if life == g.life {
		g.storedLocked(reply.EndsStored)
	}
	for _, n := range reply.Needs {
		g.learnNeedsLocked(n)
	}
	for _, d := range reply.Doubts {
		g.inheritLocked(d)
	}
	g.fenceDoubtsLocked()
	return true
}

// Follow prepares for the orders of an owner: from now on the worker is asked
// under its epoch.
func (g *Guardian) Follow(epoch int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.followLocked(epoch)
}

func (g *Guardian) followLocked(epoch int64) {
	if epoch <= g.epoch {
		return
	}
	g.config.Reporter.Report(reporter.OwnerFollowed, reporter.Fields{"epoch": epoch, "before": g.epoch})
	g.epoch = epoch
	g.hurryLocked() // the look that waits has the old epoch
}

// hurryLocked ends the look that waits, so that another one follows at once.
func (g *Guardian) hurryLocked() {
	if g.hurry != nil {
		g.hurry()
	}
}

func (g *Guardian) storedLocked(seq int64) {
	g.endsStored = max(g.endsStored, seq)
	i := 0
	for i < len(g.ends) && g.ends[i].Seq <= g.endsStored {
		i++
	}
	g.ends = g.ends[i:]
}

func (g *Guardian) learnNeedsLocked(n messenger.WorkRun) {
	id, err := specifier.ParseTaskID(n.Task)
	if err != nil || n.Needs == nil {
		g.config.Reporter.Report(reporter.OrderMalformed, reporter.Fields{"task": n.Task, "error": errText(err)})
		return
	}
	if r := g.runs[accountant.RunKey{Task: id, Number: n.Run}]; r != nil {
		r.needs, r.known = *n.Needs, true
	}
}

func errText(err error) string {
	if err == nil {
		return "no needs"
	}
	return err.Error()
}
