package scheduler

import (
	"context"
	"errors"
	"sync"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/learner"
	"bamboospread/internal/job/planner"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/abridger"
	"bamboospread/internal/wire/connector"
)

// Lengths of the owner's work.
const (
	// tick bounds how late the owner sees what no event tells it: times that have
	// come, agents that went silent, lasting tasks over their targets.
	tick = 150 * time.Millisecond
	// roundGap is the shortest time between rounds of placement: reports that come
	// together share one, or the owner of a large fleet would do nothing else.
	roundGap = 10 * time.Millisecond
	// surveyGap is the same for what follows figures and silence: reports are a mean over
	// half a second, so nothing is gained by looking at them more often.
	surveyGap = 60 * time.Millisecond
	// moveGap is the shortest time between looks for lasting tasks that should move, on a
	// fleet of moveVMs; on a larger one it is less, moveGapLeast at least.
	moveGap      = 600 * time.Millisecond
	moveVMs      = 16
	moveGapLeast = 200 * time.Millisecond
	// silence is how long an agent may send no report before nothing more is given
	// to it. Agents report twice a second.
	silence = 1500 * time.Millisecond
	// policyTrust is how old the policy may be while tasks start by it. Watches prove each
	// second that it is the newest; operators count on a zone that is out within 5 s.
	policyTrust = 3 * time.Second
	// keepEnded is how long an ended job is known. Callers ask for two minutes;
	// late repeats of a submission come within seconds.
	keepEnded   = 10 * time.Minute
	forgetEvery = time.Minute
	// memberLife is how many times the longest lease a VM is not heard before it is
	// no member any more: nothing can run there. Each member that is gone for good
	// makes the next change of owner wait for it.
	memberLife  = 2
	eventBuffer = 256
	// flushGap is the shortest time between writes of progress: without it nearly each
	// end of a task would be a call of its own.
	flushGap = 100 * time.Millisecond
	// flushPause follows a write of progress that failed: a store that refuses at
	// once would be asked a hundred times a second.
	flushPause = 250 * time.Millisecond
)

var errCellLost = errors.New("lease of the cell ran out")

// event is something that the owner's loop takes in.
type event interface{ apply(o *owner, now time.Time) }

// owner is one ownership of the cell. Only its loop touches the fields below
// events.
type owner struct {
	s       *Scheduler
	epoch   int64
	writer  *writer
	started time.Time
	events  chan event
	done    chan struct{} // closed when the loop has ended

	restorersMu sync.Mutex
	restorers   map[*connector.Conn]*abridger.Restorer // of the agents' reports

	state      *accountant.Accountant
	learner    *learner.Learner
	memory     *planner.Memory
	sessions   map[string]*session  // by VM
	cancelled  map[string]bool      // cancellations that came before their job
	members    map[string]bool      // VMs that the store has as members, and that may be granted leases
	listed     map[string]bool      // VMs that the store may have as members
	joining    map[string]bool      // VMs to be stored as members
	leaving    map[string]bool      // members that were not heard for long
	unheard    map[string]bool      // members that have not reported to this owner
	storing    bool                 // a write of the members is on its way
	dropAfter  time.Time            // VMs that are not heard are taken out of the members only after this
	judged     map[string]time.Time // end of the quarantine that was told, by VM
	settled    bool
	stale      bool // the policy is too old to place by
	followFrom int64
	asking     bool // a question is on its way to the advising service
	flushing   bool
	flushAfter time.Time // not before this, after a write that failed
	learnedAt  time.Time // when what was learned was last stored
	removals   []string  // keys of forgotten jobs
	dirty      bool      // something changed that placement depends on
	placedAt   time.Time // when the last round of placement was
	surveyedAt time.Time
	movedAt    time.Time            // when moves were last looked for
	waitsAt    time.Time            // when waits were last told
	waitTold   map[string]time.Time // by step
	pressedAt  time.Time            // when an urgent task last had waited too long for room
	forgetAt   time.Time
}

func newOwner(s *Scheduler, epoch int64, state *accountant.Accountant, now time.Time) *owner {
	return &owner{
		s: s, epoch: epoch, started: now, state: state, learner: learner.New(), learnedAt: now, memory: planner.NewMemory(), writer: newWriter(s.config.Store.Transact), events: make(chan event, eventBuffer), done: make(chan struct{}),
		restorers: make(map[*connector.Conn]*abridger.Restorer),
		sessions:  make(map[string]*session), cancelled: make(map[string]bool), members: make(map[string]bool), listed: make(map[string]bool),
		joining: make(map[string]bool), leaving: make(map[string]bool), unheard: make(map[string]bool), judged: make(map[string]time.Time), waitTold: make(map[string]time.Time), dirty: true, forgetAt: now.Add(forgetEvery),
	}
}

// send hands an event to the loop.
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

// run works until ctx or the ownership ends.
func (o *owner) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	followed := make(chan struct{})
	go func() {
		defer close(followed)
		o.follow(ctx)
	}()
	defer func() {
		cancel()
		close(o.done)
		<-followed
		o.closeSessions()
		o.s.config.Meters.stopsOverdue(0)
	}()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var due <-chan time.Time // the next round, while a change waits for it
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-due:
		case e := <-o.events:
			now := o.s.config.Now()
			e.apply(o, now)
			o.drain(now)
		case <-ticker.C:
			o.dirty = true
		}
		if !o.s.elector.Held() {
			return errCellLost
		}
		o.act(ctx, o.s.config.Now())
		due = nil
		if o.dirty {
			due = time.After(roundGap)
		}
	}
}

// drain applies the events that wait, so that one round of decisions serves all.
func (o *owner) drain(now time.Time) {
	for range eventBuffer {
		select {
		case e := <-o.events:
			e.apply(o, now)
		default:
			return
		}
	}
}

// act decides and sends what follows from the state. Starts follow a change at once but
// for roundGap; the rest waits for the next survey, so that urgent work is not queued
// behind it.
func (o *owner) act(ctx context.Context, now time.Time) {
	if now.Sub(o.surveyedAt) >= surveyGap {
		o.surveyedAt, o.dirty = now, true
		o.survey(ctx, now)
	}
	if o.dirty && now.Sub(o.placedAt) >= roundGap {
		o.placedAt, o.dirty = now, false
		if p := o.s.config.Policy(); p != o.state.Policy() {
			o.state.SetPolicy(p)
		}
		o.settle(now)
		o.startWaiting(now)
	}
	o.noteEnded(now)
	o.storeMembers(ctx)
	o.flush(ctx)
	o.sendOrders()
}

// survey looks at what is not urgent and at what no event tells: runs that nobody wants
// any more, times that have come, VMs that went silent, tasks that stand still or disturb.
func (o *owner) survey(ctx context.Context, now time.Time) {
	o.state.OpenDue(now)
	o.watchVMs(now)
	o.stopUnwanted()
	o.tellOverdueStops(now)
	o.judge(now)
	o.askAdvice(ctx, now)
	o.pace(now)
	o.rearrange(now)
	o.tellWaits(now)
	o.forget(now)
}

// stalePolicy tells whether the policy may lack a zone that operators have taken out: the
// store may refuse its reads and still renew the ownership.
func (o *owner) stalePolicy() bool {
	age := o.s.config.PolicyAge()
	if stale := age > policyTrust; stale != o.stale {
		o.stale = stale
		o.s.config.Reporter.Report(reporter.StartsHeld, reporter.Fields{"held": stale, "policy": o.state.Policy().Version, "policy-age": age.String()})
	}
	return o.stale
}

// watchVMs detaches VMs that are not heard and gives up what ran there once its
// leases have surely run out.
func (o *owner) watchVMs(now time.Time) {
	for name := range o.listed {
		if vm := o.state.VMs[name]; now.After(o.dropAfter) && now.Sub(o.started) > memberLife*o.leaseOver() && (vm == nil || now.Sub(vm.GrantedAt) > memberLife*o.leaseOver()) {
			o.leaving[name] = true
		}
	}
	for _, vm := range o.state.VMs {
		quiet := now.Sub(vm.GrantedAt)
		if vm.Attached && quiet > silence {
			o.state.Detach(vm)
			o.s.config.Reporter.Report(reporter.VMDetached, reporter.Fields{"vm": vm.Name, "quiet": quiet.String(), "runs": len(vm.Runs)})
		}
		if !vm.Attached && len(vm.Runs) > 0 && quiet > o.leaseOver() {
			o.reportLost(vm, o.state.Lose(vm, now), "leases ran out")
		}
	}
}

// leaseOver is how long after an agent was last granted anything its runs have
// surely ended.
func (o *owner) leaseOver() time.Duration {
	g := o.s.config.Grant
	return g + g/50 + grantSlack
}

func (o *owner) reportLost(vm *accountant.VM, lost []*accountant.Run, cause string) {
	for _, r := range lost {
		o.s.config.Reporter.Report(reporter.JobRunLost, reporter.Fields{"task": r.Key().Task.String(), "run": r.Number, "vm": vm.Name, "state": r.State.String(), "cause": cause})
	}
}

// settle ends the wait for VMs that may run tasks of earlier owners. An earlier
// owner may have granted until its own lease ended, which may be after this
// ownership began if the store dropped the lease early. Jobs that came to this
// owner after its beginning wait only for that lease: no earlier owner can have
// started them later.
func (o *owner) settle(now time.Time) {
	if o.settled {
		return
	}
	if waiting := o.state.Settle(len(o.unheard) == 0, now); waiting > 0 || now.Sub(o.started) < o.s.config.Lease && len(o.unheard) > 0 {
		return
	}
	o.settled = true
	o.s.config.Reporter.Report(reporter.CellSettled, reporter.Fields{"epoch": o.epoch, "unheard": len(o.unheard), "after": now.Sub(o.started).String()})
}

func (o *owner) stopUnwanted() {
	for _, r := range o.state.Unwanted() {
		o.orderStop(r, "job ended")
	}
}

// stopOverdue is how long after its first order a stop is overdue: the order and the
// report take some 100 ms each, the worker a second at most.
const stopOverdue = 2 * time.Second

func (o *owner) tellOverdueStops(now time.Time) {
	overdue := o.state.OverdueStops(stopOverdue, now)
	o.s.config.Meters.stopsOverdue(len(overdue))
	for _, r := range overdue {
		if !r.StopTold {
			r.StopTold = true
			o.s.config.Reporter.Report(reporter.JobStopOverdue, reporter.Fields{"task": r.Key().Task.String(), "run": r.Number, "vm": r.VM.Name, "state": r.State.String(), "cause": r.StopCause, "since": now.Sub(r.StoppedAt).String(), "attached": r.VM.Attached})
		}
	}
}

// judge stops what stands still and tells which VMs were found at fault.
func (o *owner) judge(now time.Time) {
	for _, r := range o.state.Stalled(now) {
		o.orderStop(r, "stands still")
	}
	for _, vm := range o.state.VMs {
		if vm.Quarantined(now) && o.judged[vm.Name] != vm.Health.QuarantineTo {
			o.judged[vm.Name] = vm.Health.QuarantineTo
			o.s.config.Reporter.Report(reporter.VMJudged, reporter.Fields{"vm": vm.Name, "failed": len(vm.Health.Failed), "cause": vm.Health.Cause, "for": vm.Health.QuarantineTo.Sub(now).String()})
		}
	}
}

// input is what a round of decisions reads.
func (o *owner) input(now time.Time) planner.Input {
	return planner.Input{Now: now, State: o.state, Learner: o.learner, PressedAt: o.pressedAt, Memory: o.memory}
}

func (o *owner) startWaiting(now time.Time) {
	if o.stalePolicy() {
		return
	}
	for _, s := range planner.Plan(o.input(now)) {
		if sess := o.sessions[s.VM.Name]; sess != nil && sess.granted && o.members[s.VM.Name] {
			o.orderStart(sess, s, now)
		}
	}
}

func (o *owner) pace(now time.Time) {
	for _, p := range planner.Paces(o.input(now)) {
		o.orderPace(p)
	}
}

func (o *owner) forget(now time.Time) {
	if now.Before(o.forgetAt) {
		return
	}
	o.forgetAt = now.Add(forgetEvery)
	for _, id := range o.state.Forget(now.Add(-keepEnded)) {
		o.removals = append(o.removals, JobKey(id), CancelKey(id), ProgressKey(id))
		delete(o.cancelled, id)
	}
}

// noteEnded reports the jobs that have ended.
func (o *owner) noteEnded(now time.Time) {
	for _, j := range o.state.TakeEnded() {
		o.s.config.Meters.jobEnded(j, now)
		o.s.config.Reporter.Report(reporter.JobEnded, reporter.Fields{"job": j.Spec.ID, "state": string(j.State), "queue": j.Spec.Queue, "turnaround": now.Sub(j.Spec.Due(0)).String()})
	}
}
