// Package guardian is the agent's side of jobs. It is the only caller of the VM's worker and
// therefore the last check of the VM's capacity and of what runs on it. It carries out the
// orders of the cell's owner, renews the leases of runs for as long as the owner has granted,
// and reports the state of the worker.
package guardian

import (
	"cmp"
	"context"
	"reflect"
	"sync"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/kernel/timekeeper"
	"bamboospread/internal/wire/messenger"
)

// Config holds the settings of a Guardian.
type Config struct {
	VM       string
	Worker   Worker
	LeaseMax time.Duration // longest lease that the worker accepts
	StopTime time.Duration // longest time that a stop takes
	Reporter *reporter.Reporter
	Now      func() time.Time // includes time spent suspended, never jumps
	// Uptime is the time since the VM was started. Of two processes of an agent since then, the later
	// one has the higher uptime. nil: there was no earlier process.
	Uptime func() time.Duration
}

type runState int

const (
	starting runState = iota // the start has not been answered yet
	running                  // confirmed by the worker
	stopping                 // a stop was requested
)

// run is a run that the worker has or may still receive.
type run struct {
	state            runState
	needs            specifier.Resources
	needsKnown       bool
	answeredAt       time.Time     // when its start or stop was answered; a poll sent later shows the actual state
	stopped          bool          // its stop was answered
	startUnconfirmed bool          // its start was not answered and may be carried out later
	confirmed        bool          // an answer or a poll has shown that the worker has or had the run
	inDoubt          bool          // the last poll listed neither the run nor all ends
	startExpiresAt   time.Duration // on the worker's clock, which refuses the start afterwards; 0: not known yet
	sentAt           time.Time     // when its start was last sent, or when it was found; zero: nothing has been sent
	startCallEndedAt time.Time     // when the start call was answered or given up; zero: not yet
	checkpoint       string
	progress         int
	measure          int64
	cancel           context.CancelFunc // cancels the start call
	pace             int                // last ordered, in percent
	sendingPace      bool               // the pace is being sent to the worker
	latePaceUntil    time.Time          // an unanswered pace call may be carried out until then
	repeatingPace    bool               // the pace is sent again periodically until then
}

// Guardian manages one worker. It is safe for concurrent use.
type Guardian struct {
	config Config
	news   chan struct{} // signalled when there is something that the owner acts on
	wake   chan struct{} // signalled when the owner's measurements of runs are old

	mu                      sync.Mutex
	vmInfo                  *messenger.WorkVMInfo
	incarnation             string        // of the worker; empty until first contact
	announced               string        // incarnation that vmInfo is of
	successor               *Announcement // by another incarnation, which no poll has confirmed yet
	successorAt             time.Time     // when the first announcement by it arrived
	leaving                 bool
	runs                    map[tracker.RunKey]*run
	unconfirmedStarts       map[tracker.RunKey]unconfirmedStart // starts without an answer
	ends                    []ListedEnd
	endsStored              int64
	endsConfirmed           int64 // the worker has answered a poll that allowed it to forget ends up to this number
	knownFromStart          bool  // this process has followed the incarnation since it began
	moreEnds                bool  // the worker may have ends that its last answer did not list
	epoch                   int64
	generation              int64 // of the calls' fence
	incarnationGeneration   int64 // the lowest one of calls that are meant for this incarnation
	generationStep          int64 // by which the next refusal raises the generation
	pollInProgress          bool
	pollGeneration          int64 // of the latest poll
	startGeneration         int64 // of the latest start
	pollAnswered            bool  // the incarnation that the latest poll was meant for has answered it
	confirmingPoll          bool  // the latest poll was to show whether the worker is still the same incarnation
	startsInFlight          int
	lastStartEndedAt        time.Time // when the latest call of a start ended
	session                 int64
	process                 int64 // identifies this agent process
	ordersSeen              int64
	grantUntil              time.Time             // the owner has granted lease time until then
	vmInfoAcked             *messenger.WorkVMInfo // acknowledged in this session by the reply to a report
	vmInfoSent              *messenger.WorkVMInfo // in the latest report
	requestedReportInterval time.Duration         // minimum time between reports without news that the owner asks for
	reportedAt              time.Time             // when the last report was made
	repliedAt               time.Time             // when the last report that got a reply was sent
	clock                   time.Duration         // the worker's clock in its latest answer to a poll
	clockAt                 time.Time             // when clock was received; zero: not yet from this incarnation
	failedPolls             int                   // in a row
	unreachable             bool                  // the latest poll was refused a connection
	deregisteredAt          time.Time             // when the worker, which leaves, has deregistered; zero: it has not
	processEnded            bool                  // the process of this incarnation is known to have ended
	pollsFailSince          time.Time             // when the first of the failed polls in a row ended; zero: the last poll was answered
	unresponsiveSince       time.Time             // when the worker began to count as unresponsive; zero: it responds
	crashRecorded           bool                  // the crash of this incarnation is recorded
	crashes                 []crash
	lastCrash               int64                   // number of the latest crash
	expiredRuns             map[tracker.RunKey]*run // runs whose leases expired while the worker was unresponsive
	leaseEnd                time.Time               // when all requested leases have expired for certain
	unrequestedLeaseEnd     time.Time               // likewise leases that a late call may have set before the first call meant for this incarnation
	cancelPoll              context.CancelFunc      // cancels the poll in progress
	polledEpoch             int64                   // epoch of the last poll that was meant for and answered by this incarnation
	lastPollSentAt          time.Time               // when that poll was sent; zero: this incarnation has answered none
	runCtx                  context.Context
}

// New returns a Guardian that has no state of its worker yet.
func New(c Config) *Guardian {
	now := c.Now()
	return &Guardian{
		config: c, news: make(chan struct{}, 1), wake: make(chan struct{}, 1), runs: make(map[tracker.RunKey]*run), unconfirmedStarts: make(map[tracker.RunKey]unconfirmedStart), runCtx: context.Background(),
		session: now.UnixMilli(), process: now.UnixMilli(),
		// An earlier process may have requested the longest lease just before it ended.
		// Without this, a single unanswered poll before the first lease of this process would
		// mark all runs as ended for the owner, which would start them a second time.
		leaseEnd: now.Add(timekeeper.Longest(c.LeaseMax)), generation: firstGeneration(c.Uptime), generationStep: 1,
	}
}

// News is signalled when there is something to report that the owner acts on at once, such as
// the end of a run: the next step of its job waits for it.
func (g *Guardian) News() <-chan struct{} { return g.news }

// Wake is signalled when the owner's measurements of runs are old and there is no other news.
func (g *Guardian) Wake() <-chan struct{} { return g.wake }

func (g *Guardian) signal() { notify(g.news) }

func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Announce records what the worker announced about itself. An announcement by another incarnation may
// be a late one of a worker that has ended, while the present one lives: it counts once that
// incarnation has answered a poll, which is sent at once.
func (g *Guardian) Announce(a Announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.incarnation == "":
		g.beginIncarnationLocked(a.Incarnation)
	case a.Incarnation != g.incarnation:
		g.setSuccessorLocked(a)
		return
	}
	g.applyAnnouncementLocked(a)
}

func (g *Guardian) setSuccessorLocked(a Announcement) {
	if g.successor == nil || g.successor.Incarnation != a.Incarnation {
		g.successorAt = g.config.Now()
		g.cancelPollLocked()
	}
	g.successor = &a
}

// confirmSuccessorLocked applies the announcement of the incarnation that has answered a poll sent at
// pollSentAt. Once another one has answered, the announcement was late.
func (g *Guardian) confirmSuccessorLocked(pollSentAt time.Time) {
	a := g.successor
	switch {
	case a == nil:
	case a.Incarnation == g.incarnation:
		g.successor = nil
		g.applyAnnouncementLocked(*a)
	case !pollSentAt.Before(g.successorAt):
		g.successor = nil
		g.config.Reporter.Report(reporter.AnnouncementLate, reporter.Fields{"life": g.incarnation, "announced": a.Incarnation})
	}
}

// Deregister records that the worker has deregistered, which it does last when it leaves: it ends, and
// all its runs with it. The deregistration of a former incarnation may be late, so it counts only for a
// worker that has announced that it leaves, and once its connections are refused.
func (g *Guardian) Deregister(workerID string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving && g.announced == g.incarnation && g.vmInfo != nil && g.vmInfo.WorkerID == workerID && g.deregisteredAt.IsZero() {
		g.deregisteredAt = g.config.Now()
	}
}

func (g *Guardian) applyAnnouncementLocked(a Announcement) {
	changed := g.announced != a.Incarnation || g.leaving != a.Leaving || g.vmInfo == nil
	g.leaving, g.announced = a.Leaving, a.Incarnation
	if !a.Leaving {
		g.deregisteredAt = time.Time{}
	}
	vmInfo := &messenger.WorkVMInfo{WorkerID: a.ID, Zone: a.Zone, Rack: a.Rack, Service: a.Service, Labels: a.Labels, Capacity: a.Capacity}
	if g.vmInfo == nil || !reflect.DeepEqual(*vmInfo, *g.vmInfo) {
		g.vmInfo, changed = vmInfo, true // reported again
	}
	if changed {
		g.config.Reporter.Report(reporter.WorkerAnnounced, reporter.Fields{"life": a.Incarnation, "leaving": a.Leaving, "cpu": a.Capacity.CPUMillis, "memory-mb": a.Capacity.MemoryMB})
		g.signal()
	}
}

// beginIncarnationLocked records that the worker has lost all its state, including orders it
// had not carried out yet. A start that was still being sent after the previous incarnation
// last answered may have reached the new one instead: it is stopped there before it is
// reported as ended.
func (g *Guardian) beginIncarnationLocked(incarnation string) {
	if g.incarnation != "" {
		g.config.Reporter.Report(reporter.WorkerRestarted, reporter.Fields{"life": incarnation, "before": g.incarnation, "runs": len(g.runs)})
	}
	crashedAt := g.pollsFailSince
	if crashedAt.IsZero() {
		crashedAt = g.config.Now()
	}
	g.recordCrashLocked(crashedAt, incarnationAnswered)
	g.crashRecorded, g.expiredRuns = false, nil
	// The failed polls are those of the process that has ended. Counted against the next one,
	// which may not answer yet, they would make a second crash of the same tasks.
	g.failedPolls, g.processEnded, g.unreachable, g.pollsFailSince, g.deregisteredAt = 0, false, false, time.Time{}, time.Time{}
	lastPollSentAt := g.lastPollSentAt
	g.knownFromStart = g.incarnation != ""
	g.incarnation, g.ends, g.endsStored, g.endsConfirmed, g.moreEnds = incarnation, nil, 0, 0, false
	g.clockAt, g.polledEpoch, g.lastPollSentAt = time.Time{}, 0, time.Time{}
	g.raiseGenerationLocked(1)
	g.incarnationGeneration, g.unrequestedLeaseEnd = g.generation, time.Time{}
	for key, r := range g.runs {
		r.startExpiresAt = neverExpires // the previous expiry was on another clock
		switch {
		case !r.startUnconfirmed, !r.startCallEndedAt.IsZero() && r.startCallEndedAt.Before(lastPollSentAt):
			delete(g.runs, key)
		case r.state != stopping:
			g.stopLocked(key, r, "new incarnation of the worker")
		case r.stopped:
			r.stopped = false // the answer came from the previous incarnation
			go g.stop(g.runCtx, key)
		}
	}
	g.fenceUnconfirmedStartsLocked()
	g.signal()
}

// Run polls the worker until ctx ends.
func (g *Guardian) Run(ctx context.Context) error {
	g.mu.Lock()
	g.runCtx = ctx
	g.mu.Unlock()
	for ctx.Err() == nil {
		g.poll(ctx)
	}
	return ctx.Err()
}

// committedLocked returns the resources of all runs, including those being stopped.
func (g *Guardian) committedLocked() specifier.Resources {
	var sum specifier.Resources
	for _, r := range g.runs {
		sum = sum.Add(r.needs)
	}
	return sum
}

// Report returns a full report for the session, or false if the state of the worker is not
// known well enough. The owner restarts elsewhere whatever a report does not list. Therefore
// an agent that has just started must not report before its first poll, and after a change of
// owner a poll must have passed the new epoch to the worker, so that no order of the old
// owner can add a run. An incarnation that has not announced itself is not ready: its labels, its
// capacity and its service may differ from those of the one before.
func (g *Guardian) Report(session int64) (messenger.WorkReport, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.vmInfo == nil || g.clockAt.IsZero() || !g.runsCompleteLocked() {
		return messenger.WorkReport{}, false
	}
	g.reportedAt = g.config.Now()
	rep := messenger.WorkReport{
		VM: g.config.VM, Session: session, Process: g.process, Incarnation: g.incarnation, OrdersSeen: g.ordersSeen,
		AgeMillis: g.config.Now().Sub(g.clockAt).Milliseconds(), LeaseMillis: max(g.unrequestedLeaseEnd.Sub(g.config.Now()), 0).Milliseconds(),
		Ready: !g.leaving && g.unresponsiveSince.IsZero() && g.announced == g.incarnation, Granted: g.grantUntil.After(g.config.Now()), MoreEnds: g.moreEnds,
	}
	if !g.unresponsiveSince.IsZero() {
		rep.UnresponsiveMillis = max(g.config.Now().Sub(g.pollsFailSince).Milliseconds(), 1)
	}
	if g.vmInfoAcked != g.vmInfo {
		rep.VMInfo = g.vmInfo
	}
	g.vmInfoSent = g.vmInfo
	for key, r := range g.runs {
		w := messenger.WorkRun{Task: key.Task.String(), Run: key.Number, Confirmed: r.confirmed, Stopping: r.state == stopping, Checkpoint: r.checkpoint, Progress: r.progress, Measure: r.measure}
		if r.needsKnown && !r.confirmed {
			needs := r.needs
			w.Needs = &needs
		}
		rep.Runs = append(rep.Runs, w)
	}
	for _, e := range g.ends {
		if e.Seq > g.endsStored {
			rep.Ends = append(rep.Ends, messenger.WorkEnd{Seq: e.Seq, Task: e.Task.String(), Run: e.Run, Outcome: e.Outcome, Checkpoint: e.Checkpoint})
		}
	}
	rep.UnconfirmedStarts, rep.LateStarts, rep.Crashes = g.unconfirmedStartsLocked(), g.config.Worker.LateStarts, g.crashesLocked()
	return rep, true
}

// runsCompleteLocked reports whether the known runs are all that the worker may have: it has
// answered a poll under the owner's epoch, or it is unresponsive and all its runs have ended.
// An unresponsive worker may still carry out a start of the previous owner.
func (g *Guardian) runsCompleteLocked() bool {
	return g.polledEpoch == g.epoch || !g.unresponsiveSince.IsZero() && g.allRunsEndedLocked()
}

// Waiting returns how many ends the owner has not stored yet, and how many runs may be among further
// ends that the worker could not list.
func (g *Guardian) Waiting() (ends, runsInDoubt int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.runs {
		if r.inDoubt {
			runsInDoubt++
		}
	}
	return len(g.ends), runsInDoubt
}

// allRunsEndedLocked reports whether everything on an unresponsive worker has ended for
// certain.
func (g *Guardian) allRunsEndedLocked() bool { return g.proofOfEndLocked() != "" }

// proofOfEndLocked returns what shows that everything on an unresponsive worker has ended; empty:
// nothing does.
func (g *Guardian) proofOfEndLocked() endProof {
	switch {
	case g.processEnded:
		return processEnded
	case !g.deregisteredAt.IsZero() && g.unreachable && g.config.Now().Sub(g.deregisteredAt) > g.config.StopTime:
		return workerLeft
	case g.config.Now().After(g.leaseEnd.Add(g.config.StopTime)):
		return leasesExpired
	}
	return ""
}

// BeginSession starts a new session. Orders of earlier sessions expire.
func (g *Guardian) BeginSession() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.session++
	g.ordersSeen, g.vmInfoAcked, g.vmInfoSent = 0, nil, nil
	return g.session
}

// RequestedReportInterval returns the minimum time between reports without news that the owner
// asks for.
func (g *Guardian) RequestedReportInterval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.requestedReportInterval
}

// ApplyReply applies the owner's reply to a report sent at sentAt. It returns false if the reply
// is from an owner that has been replaced.
func (g *Guardian) ApplyReply(sentAt time.Time, incarnation string, reply messenger.WorkReply) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if reply.Epoch < g.epoch {
		return false
	}
	g.followLocked(reply.Epoch)
	g.repliedAt, g.vmInfoAcked = sentAt, g.vmInfoSent
	g.requestedReportInterval = time.Duration(cmp.Or(reply.QuietMillis, reply.GapMillis)) * time.Millisecond
	if until := sentAt.Add(time.Duration(reply.GrantMillis) * time.Millisecond); until.After(g.grantUntil) {
		if !g.grantUntil.After(g.config.Now()) {
			g.signal()           // the owner orders nothing before a report shows the grant
			g.cancelPollLocked() // the poll in progress requests no lease
		}
		g.grantUntil = until
	}
	if incarnation == g.incarnation {
		g.dropStoredEndsLocked(reply.EndsStored)
	}
	g.dropStoredCrashesLocked(reply.CrashesStored)
	for _, n := range reply.Needs {
		g.setNeedsLocked(n)
	}
	for _, s := range reply.UnconfirmedStarts {
		g.adoptUnconfirmedStartLocked(s)
	}
	g.fenceUnconfirmedStartsLocked()
	return true
}

// Follow prepares for the orders of a new owner: from now on calls to the worker carry its
// epoch.
func (g *Guardian) Follow(epoch int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.followLocked(epoch)
}

func (g *Guardian) followLocked(epoch int64) {
	if epoch <= g.epoch {
		return
	}
	g.config.Reporter.Report(reporter.OwnerAccepted, reporter.Fields{"epoch": epoch, "before": g.epoch})
	g.epoch = epoch
	// No earlier call is above the new epoch, whatever refusals under the previous one led to.
	g.generation, g.generationStep = firstGeneration(g.config.Uptime), 1
	g.incarnationGeneration = g.generation
	g.cancelPollLocked() // the poll in progress carries the old epoch
}

// cancelPollLocked cancels the poll in progress, so that the next one follows immediately. It raises
// the generation here and not when the poll has ended: a start sent in between would be below the
// next poll, and refused.
func (g *Guardian) cancelPollLocked() {
	if g.cancelPoll != nil {
		g.cancelPoll()
		g.cancelPoll = nil
	}
	if g.pollInProgress {
		g.raiseGenerationLocked(1)
	}
}

func (g *Guardian) dropStoredEndsLocked(seq int64) {
	g.endsStored = max(g.endsStored, seq)
	i := 0
	for i < len(g.ends) && g.ends[i].Seq <= g.endsStored {
		i++
	}
	g.ends = g.ends[i:]
}

func (g *Guardian) setNeedsLocked(n messenger.WorkRun) {
	id, err := specifier.ParseTaskID(n.Task)
	if err != nil || n.Needs == nil {
		g.config.Reporter.Report(reporter.OrderMalformed, reporter.Fields{"task": n.Task, "error": errText(err)})
		return
	}
	if r := g.runs[tracker.RunKey{Task: id, Number: n.Run}]; r != nil {
		r.needs, r.needsKnown = *n.Needs, true
	}
}

func errText(err error) string {
	if err == nil {
		return "needs are missing"
	}
	return err.Error()
}
