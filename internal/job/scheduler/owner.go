package scheduler

import (
	"context"
	"errors"
	"sync"
	"time"

	"bamboospread/internal/job/learner"
	"bamboospread/internal/job/planner"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/abridger"
	"bamboospread/internal/wire/connector"
)

// Intervals and limits of the owner's loop.
const (
	// tickInterval bounds the delay of changes that cause no event: due times, agents that
	// stopped reporting, long-running tasks over their targets.
	tickInterval = 150 * time.Millisecond
	// minRoundInterval is the shortest time between rounds of placement. Reports that arrive
	// together share a round.
	minRoundInterval = 10 * time.Millisecond
	// minCheckInterval is the shortest time between periodic checks. Reported measurements are
	// a mean over half a second, so checking more often gains nothing.
	minCheckInterval = 60 * time.Millisecond
	// minCheckedVMs is how many VMs each periodic check looks at, those that have changed first. On a
	// larger fleet, a VM without changes is looked at less often: its agent reports at least twice a
	// second, and each report is a change.
	minCheckedVMs = 256
	// moveInterval is the time between searches for long-running tasks to move, on a fleet of
	// moveIntervalVMs. It shrinks on larger fleets, down to minMoveInterval.
	moveInterval    = 600 * time.Millisecond
	moveIntervalVMs = 16
	minMoveInterval = 200 * time.Millisecond
	// gangRoomInterval is the time between checks for gangs that have waited too long.
	gangRoomInterval = 250 * time.Millisecond
	// reportTimeout is the time without a report after which a VM is detached and gets no new
	// tasks. Agents report at least twice a second.
	reportTimeout = 1500 * time.Millisecond
	// maxPolicyAge is the age of the policy above which no tasks start. Watches confirm it
	// every second; operators expect starts to end within 5 s after they take a zone out.
	maxPolicyAge = 3 * time.Second
	// endedJobRetention is how long an ended job is kept. Callers query its state for two
	// minutes; late repeats of a submission arrive within seconds.
	endedJobRetention   = 10 * time.Minute
	removeEndedInterval = time.Minute
	// goneVMRetention is how long a VM without contact and runs is kept. Without it, each VM that was
	// ever replaced would cost memory and time in each decision for as long as the owner runs.
	goneVMRetention = 10 * time.Minute
	eventBuffer     = 256
	// minFlushInterval is the shortest time between writes of progress; without it, almost
	// every end of a task would cause a write of its own.
	minFlushInterval = 100 * time.Millisecond
	// flushRetryDelay follows a failed write of progress; without it, a store that refuses at
	// once would be called a hundred times a second.
	flushRetryDelay = 250 * time.Millisecond
)

var errCellLost = errors.New("ownership lease of the cell expired")

// event is an input to the owner's loop.
type event interface{ apply(o *owner, now time.Time) }

// owner is one ownership of the cell. The fields from state on are accessed by the loop only.
type owner struct {
	s       *Scheduler
	epoch   int64
	writer  *writer
	started time.Time
	phases  phaseTimes // of the takeover
	events  chan event
	done    chan struct{} // closed when the loop has ended

	restorersMu sync.Mutex
	restorers   map[*connector.Conn]*abridger.Restorer // for abridged agent reports

	state               *tracker.Tracker
	learner             *learner.Learner
	load                *loadControl
	shares              accountShares
	forecasts           forecasts
	cache               *planner.Cache
	sessions            map[string]*session // by VM
	unsent              map[*session]bool   // with orders to send, or ends to acknowledge
	window              *window             // of starts that agents have not answered
	checkedVMs          []*tracker.VM       // that the present periodic checks look at
	cancelled           map[string]bool     // stored cancellations, also of jobs that are not known yet
	unknown             unknownJobs         // what is kept of jobs that are not known yet
	members             map[string]bool     // VMs that are stored as members and may be granted leases
	listed              map[string]bool     // VMs that may be stored as members
	joining             map[string]bool     // VMs to be stored as members
	leaving             map[string]bool     // members to remove: idle or without a report for long
	unreported          map[string]bool     // members that have not reported to this owner yet
	storingMembers      bool                // a write of the members is in flight
	silences            silences
	numbers             numbers              // of runs
	dropAfter           time.Time            // members without reports are removed only after this
	reportedQuarantines map[string]time.Time // end of the quarantine that was last logged, by VM
	reconciled          bool
	revisionAfterFormer int64    // of the store once the former owner's lease had certainly expired; 0: not known yet
	lapsed              []string // members that had not reported when their leases had certainly ended
	awaitedReported     bool
	policyStale         bool // the policy is too old to start tasks
	watchFrom           int64
	advicePending       bool // a request to the advising service is in flight
	flushing            bool
	flushAfter          time.Time // no write before this
	snapshotAt          time.Time // when snapshots were last stored
	removals            []string  // keys of expired jobs to remove
	records             progressRecords
	dirty               bool // something changed that affects placement
	placement           decision
	checks              decision
	moves               decision             // search for long-running tasks to move
	gangRooms           decision             // search for room for gangs
	waitsCheckedAt      time.Time            // when waiting steps were last checked
	waitReportedAt      map[string]time.Time // when a waiting step was last logged, by step
	urgentDelayedAt     time.Time            // when an urgent task had last waited too long for free capacity
	removeEndedAt       time.Time
}

func newOwner(s *Scheduler, epoch int64, state *tracker.Tracker, now time.Time) *owner {
	load := newLoadControl()
	state.SetObserver(load.observer(s.config.Now))
	o := &owner{
		s: s, epoch: epoch, started: now, phases: phaseTimes{now: s.config.Now, startedAt: now}, state: state, load: load, forecasts: newForecasts(), learner: learner.New(), snapshotAt: now, records: newProgressRecords(), cache: planner.NewCache(), writer: newWriter(s.config.Store.Transact), events: make(chan event, eventBuffer), done: make(chan struct{}),
		placement: decision{name: "placement", planned: minRoundInterval}, checks: decision{name: "checks", planned: minCheckInterval}, moves: decision{name: "moves", planned: moveInterval}, gangRooms: decision{name: "gang rooms", planned: gangRoomInterval},
		restorers: make(map[*connector.Conn]*abridger.Restorer),
		sessions:  make(map[string]*session), unsent: make(map[*session]bool), window: newWindow(), cancelled: make(map[string]bool), unknown: newUnknownJobs(), members: make(map[string]bool), listed: make(map[string]bool),
		joining: make(map[string]bool), leaving: make(map[string]bool), unreported: make(map[string]bool), silences: newSilences(), reportedQuarantines: make(map[string]time.Time), waitReportedAt: make(map[string]time.Time), dirty: true, removeEndedAt: now.Add(removeEndedInterval),
	}
	o.numbers.taken.Store(epoch)
	return o
}

// send passes an event to the loop.
func (o *owner) send(ctx context.Context, e event) error {
	select {
	case o.events <- e:
		return nil
	case <-o.done:
		return errCellLost
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run executes the loop until ctx or the ownership ends.
func (o *owner) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	followed := make(chan struct{}, 2)
	for _, read := range []func(context.Context){o.follow, o.findFormerLeaseOver} {
		go func() {
			read(ctx)
			followed <- struct{}{}
		}()
	}
	defer func() {
		cancel()
		close(o.done)
		<-followed
		<-followed
		o.closeSessions()
		o.s.config.Metrics.stopsOverdue(0)
		o.s.config.Metrics.accounts(nil)
	}()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var due <-chan time.Time // the next round, if a change waits for it
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-due:
		case e := <-o.events:
			o.apply(e)
			o.drainEvents()
		case <-ticker.C:
			o.dirty = true
		}
		if !o.holdsCell() {
			return errCellLost
		}
		o.runRound(ctx, o.s.config.Now())
		due = nil
		if o.dirty {
			due = time.After(o.placement.interval())
		}
	}
}

// holdsCell reports whether this owner may still decide. The store can drop its lease early: then a write
// shows that the ownership has ended while the lease goes on by the clock of this process.
func (o *owner) holdsCell() bool { return o.s.elector.Held() && !o.writer.ownershipEnded() }

// apply applies an event that was taken from the queue. Its time is read after that: with an earlier one, a
// report would count as received before it was sent, and the leases granted by its answer as ended too early.
func (o *owner) apply(e event) { e.apply(o, o.s.config.Now()) }

// drainEvents applies all queued events, so that one round of decisions covers them.
func (o *owner) drainEvents() {
	for range eventBuffer {
		select {
		case e := <-o.events:
			o.apply(e)
		default:
			return
		}
	}
}

// runRound makes the decisions that are due and sends the resulting orders. Starts follow a
// change within minRoundInterval; everything else waits for the next periodic checks, so that
// it does not delay urgent tasks.
func (o *owner) runRound(ctx context.Context, now time.Time) {
	o.takePolicy(now)
	if o.checks.due(now) {
		o.dirty = true
		o.decide(&o.checks, now, func() { o.runChecks(ctx, now) })
	}
	if o.dirty && o.placement.due(now) {
		o.dirty = false
		o.decide(&o.placement, now, func() { o.place(now) })
	}
	o.reportEndedJobs(now)
	o.storeMembers(ctx)
	o.takeNumbers(ctx)
	if o.silences.returned {
		o.storeSilences(ctx)
	}
	o.flush(ctx)
	o.sendOrders()
}

// takePolicy puts the newest policy in force for the decisions of a round, whose age is checked in it.
func (o *owner) takePolicy(now time.Time) {
	if p := o.s.config.Policy(); p != o.state.Policy() {
		o.state.SetPolicy(p)
		o.updateShares(now) // the quotas of a policy are in force with it
	}
}

// place starts waiting tasks by the newest policy.
func (o *owner) place(now time.Time) {
	o.takePolicy(now)
	o.reconcile(now)
	o.startWaitingTasks(now)
}

// runChecks handles what is not urgent or causes no event: runs that are no longer needed, due
// times, VMs that stopped reporting, tasks that stall or interfere with others.
func (o *owner) runChecks(ctx context.Context, now time.Time) {
	o.checkedVMs = o.state.VMsToCheck(minCheckedVMs)
	o.state.OpenDue(now)
	o.state.GiveUpCrashingTasks(now)
	o.checkVMContact(now)
	o.storeSilences(ctx)
	o.stopUnneeded()
	o.reportOverdueStops(now)
	o.checkHealth(now)
	o.checkLoad(now)
	o.requestAdvice(ctx, now)
	o.adjustPaces(now)
	o.rearrange(now)
	o.reportWaits(now)
	o.removeEndedJobs(now)
}

// isPolicyStale reports whether the policy may lack a zone that operators have taken out. This
// happens if the store refuses reads but still renews the ownership lease.
func (o *owner) isPolicyStale() bool {
	age := o.s.config.PolicyAge()
	if stale := age > maxPolicyAge; stale != o.policyStale {
		o.policyStale = stale
		o.s.config.Reporter.Report(reporter.StartsHeld, reporter.Fields{"held": stale, "policy": o.state.Policy().Version, "policy-age": age.String()})
	}
	return o.policyStale
}

// checkVMContact detaches VMs that stopped reporting, and gives up their runs once their leases
// have certainly expired.
func (o *owner) checkVMContact(now time.Time) {
	for name := range o.listed {
		if now.After(o.dropAfter) && o.hasLapsed(name, now) {
			o.leaving[name] = true // so that no later owner waits for it
		}
	}
	for _, vm := range o.state.VMs {
		sinceContact := now.Sub(vm.GrantedAt)
		if vm.Attached && sinceContact > reportTimeout {
			o.state.Detach(vm)
			o.s.config.Reporter.Report(reporter.VMDetached, reporter.Fields{"vm": vm.Name, "quiet": sinceContact.String(), "runs": len(vm.Runs)})
		}
		if !vm.Attached && (len(vm.Runs) > 0 || vm.MoreEnds) && o.hasLapsed(vm.Name, now) {
			o.reportLost(vm, o.state.DropRuns(vm, now), tracker.LossLeasesExpired, now)
		}
		if !vm.Attached && len(vm.Runs) == 0 && sinceContact > goneVMRetention {
			o.state.ForgetVM(vm)
			delete(o.sessions, vm.Name)
			delete(o.reportedQuarantines, vm.Name)
		}
	}
}

// leaseExpiry returns the time after the last grant to an agent when its runs have certainly
// ended.
func (o *owner) leaseExpiry() time.Duration {
	return LeaseExpiry(o.s.config.Grant, o.s.config.StopTime)
}

func (o *owner) reportLost(vm *tracker.VM, lost []*tracker.Run, cause tracker.LossCause, now time.Time) {
	for _, r := range lost {
		o.s.config.Reporter.Report(reporter.JobRunLost, reporter.Fields{
			"task": r.Key().Task.String(), "run": r.Number, "vm": vm.Name, "life": vm.Incarnation, "state": r.State.String(), "cause": string(cause),
			"confirmed": !r.StartedAt.IsZero(), "granted-ago": now.Sub(vm.GrantedAt).String(), "epoch": o.epoch,
		})
	}
}

func (o *owner) stopUnneeded() {
	for _, r := range tracker.Unwanted(o.checkedVMs) {
		o.orderStop(r, "job ended")
	}
}

// stopOverdueAfter is the time after the first stop order when a stop is overdue. The order and
// the report take some 100 ms each, the worker a second at most.
const stopOverdueAfter = 2 * time.Second

func (o *owner) reportOverdueStops(now time.Time) {
	overdue := o.state.OverdueStops(stopOverdueAfter, now)
	o.s.config.Metrics.stopsOverdue(len(overdue))
	for _, r := range overdue {
		if !r.OverdueReported {
			r.OverdueReported = true
			o.s.config.Reporter.Report(reporter.JobStopOverdue, reporter.Fields{"task": r.Key().Task.String(), "run": r.Number, "vm": r.VM.Name, "state": r.State.String(), "cause": r.StopCause, "since": now.Sub(r.StoppedAt).String(), "attached": r.VM.Attached})
		}
	}
}

// checkHealth stops stalled runs and logs new quarantines of VMs and the end of their probation.
func (o *owner) checkHealth(now time.Time) {
	for _, r := range o.state.Stalled(o.checkedVMs, now) {
		o.interrupt(r, "stalled")
	}
	for _, vm := range o.state.VMs {
		until, reported := o.reportedQuarantines[vm.Name]
		switch {
		case reported && !vm.OnProbation():
			delete(o.reportedQuarantines, vm.Name)
			o.s.config.Reporter.Report(reporter.JobVMReleased, reporter.Fields{"vm": vm.Name, "life": vm.Incarnation, "after": now.Sub(until).String()})
		case vm.Quarantined(now) && until != vm.Health.QuarantinedUntil:
			o.reportedQuarantines[vm.Name] = vm.Health.QuarantinedUntil
			o.s.config.Reporter.Report(reporter.JobVMQuarantined, reporter.Fields{"vm": vm.Name, "failed": vm.FailedTasks(), "cause": vm.Health.Cause, "for": vm.Health.QuarantinedUntil.Sub(now).String()})
		}
	}
}

// input returns the input to a round of decisions.
func (o *owner) input(now time.Time) planner.Input {
	in := planner.Input{Now: now, State: o.state, VMs: o.checkedVMs, Learner: o.learner, UrgentDelayedAt: o.urgentDelayedAt, Cache: o.cache, TakesOrders: o.takesOrders}
	o.addLoadControl(&in)
	return in
}

func (o *owner) startWaitingTasks(now time.Time) {
	if o.isPolicyStale() {
		return
	}
	if !o.window.open(now) {
		o.dirty = true // again once agents have answered
		return
	}
	var previous *tracker.Step
	for _, s := range planner.Plan(o.input(now)) {
		if step := s.Task.Step; !o.window.open(now) && !(step.Spec.Gang && step == previous) {
			o.dirty = true
			return
		}
		previous = s.Task.Step
		if !o.mayNumber(s.Number) {
			continue // once the number is this owner's
		}
		o.orderStart(o.sessions[s.VM.Name], s, now)
	}
}

// takesOrders reports whether a VM's agent has a grant, under which it may start runs, and is stored as
// a member that is not silent, so that the next owner waits for it.
func (o *owner) takesOrders(vm *tracker.VM) bool {
	s := o.sessions[vm.Name]
	return s != nil && s.granted && o.members[vm.Name] && !o.silences.named[vm.Name]
}

func (o *owner) adjustPaces(now time.Time) {
	for _, p := range planner.Paces(o.input(now)) {
		o.orderPace(p)
	}
}

func (o *owner) removeEndedJobs(now time.Time) {
	if now.Before(o.removeEndedAt) {
		return
	}
	o.removeEndedAt = now.Add(removeEndedInterval)
	for _, id := range o.state.Forget(now.Add(-endedJobRetention)) {
		o.removals = append(o.removals, JobKey(id), CancelKey(id), ProgressKey(id))
		delete(o.cancelled, id)
	}
	for _, id := range o.unknown.expire(now) {
		o.removals = append(o.removals, CancelKey(id))
		delete(o.cancelled, id)
	}
}

// reportEndedJobs logs and counts the jobs that have ended.
func (o *owner) reportEndedJobs(now time.Time) {
	for _, j := range o.state.TakeEnded() {
		o.s.config.Metrics.jobEnded(j, now)
		fields := reporter.Fields{"job": j.Spec.ID, "state": string(j.State), "queue": j.Spec.Queue, "account": j.Spec.Account, "turnaround": now.Sub(j.Spec.Due(0)).String()}
		if j.Reason != "" {
			fields["reason"] = j.Reason
		}
		o.s.config.Reporter.Report(reporter.JobEnded, fields)
	}
}
