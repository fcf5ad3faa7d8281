package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/control/journaler"
	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// Intervals and queue sizes of the owner.
const (
	tickInterval  = 50 * time.Millisecond
	deletePause   = 10 * time.Millisecond // between deletions of journal entries
	callQueueSize = 1024
)

// callEvent is a call that waits for its result.
type callEvent struct {
	request  any
	received time.Time
	result   chan callResult // holds one
}

type callResult struct {
	value any
	err   error
}

// appendEvent reports the outcome of a journal append.
type appendEvent struct {
	group commitGroup
	err   error
}

// contactEvent reports the outcome of a store contact, which reads the fleet.
type contactEvent struct {
	fleet *describer.Fleet
	began time.Time
	err   error
}

// snapshotEvent reports the outcome of a snapshot.
type snapshotEvent struct{ err error }

// owner runs the cell for one epoch. Its fields are accessed only by the goroutine of run.
type owner struct {
	config         Config
	held           func() bool // whether the ownership is certainly held now
	renewalOverdue func() bool // whether the store may be unavailable
	epoch          int64
	takeoverAt     time.Time
	priorLease     time.Duration // the longest lease that an earlier owner may have granted
	state          *bookkeeper.CellState
	applyRecord    func(bookkeeper.Record) error // applies a record to the state
	journal        *journaler.Journaler

	calls     chan callEvent
	appended  chan appendEvent
	contacted chan contactEvent
	snapshots chan snapshotEvent
	stop      <-chan struct{} // closed when the owner is to stop; nil once it is stopping
	done      chan struct{}

	commits          commitQueue
	appendTimer      *time.Timer  // fires when the next append may start
	contact          contactEvent // the last successful one
	deferred         []deferredSubmit
	contactInFlight  bool
	contactStartedAt time.Time
	fleet            *describer.Fleet // newest known version
	zoneReturnedAt   map[string]time.Time
	sessions         map[string]*session
	evictionBudget   tokenBucket
	plannedAt        time.Time
	dirty            bool // something changed that the placement depends on
	urgent           bool // an urgent task was queued
	waitReasons      map[string]string
	outage           bool
	reconciled       bool // no lease of an earlier owner is valid any more
	stopping         bool
	checkedAt        time.Time
	claimsSweptAt    time.Time
	notRun           notRunRequests
	metrics          cellMetrics
}

// recover reads the journal, opens an epoch and rebuilds the cell's state.
func (c *Controller) recover(ctx context.Context, j *journaler.Journaler, takeoverAt time.Time) (*owner, error) {
	outage := c.config.OutageLease
	if outage <= 0 {
		outage = DefaultOutageLease
		if p := c.config.Fleet().Policy().OutageLease; p > 0 {
			outage = p
		}
	}
	r, err := j.Open(ctx, func(epoch int64) ([]json.RawMessage, error) { return c.openingRecords(epoch, outage) })
	if err != nil {
		return nil, err
	}
	state := bookkeeper.New()
	if r.Snapshot != nil {
		if state, err = bookkeeper.Decode(r.Snapshot); err != nil {
			return nil, err
		}
	}
	var priorLease time.Duration
	for _, e := range r.Entries {
		priorLease = state.MaxLease()
		for _, raw := range e.Records {
			var record bookkeeper.Record
			if err := json.Unmarshal(raw, &record); err != nil {
				return nil, fmt.Errorf("decode record of entry %d: %w", e.Seq, err)
			}
			if err := state.Apply(record); err != nil {
				return nil, fmt.Errorf("replay entry %d: %w", e.Seq, err)
			}
		}
	}
	c.config.OutageLease = outage
	c.config.Reporter.Report(reporter.EpochOpened, reporter.Fields{
		"cell": c.config.Cell, "epoch": r.Epoch, "entries": len(r.Entries), "snapshot-bytes": len(r.Snapshot),
		"took": c.config.Now().Sub(takeoverAt).String(),
	})
	return c.newOwner(j, state, takeoverAt, priorLease), nil
}

func (c *Controller) openingRecords(epoch int64, outage time.Duration) ([]json.RawMessage, error) {
	record := bookkeeper.Record{
		At:       c.config.Now().Round(0),
		Takeover: &bookkeeper.Takeover{Epoch: epoch, EntryID: c.config.EntryID, VMLease: c.config.VMLease, OutageLease: outage},
		Decision: &messenger.Decision{Code: int(reporter.EpochOpened), Reason: "cell taken over by " + c.config.EntryID},
	}
	raw, err := json.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("encode opening record: %w", err)
	}
	return []json.RawMessage{raw}, nil
}

func (c *Controller) newOwner(j *journaler.Journaler, state *bookkeeper.CellState, takeoverAt time.Time, priorLease time.Duration) *owner {
	o := &owner{
		config: c.config, held: c.elector.Held, renewalOverdue: c.elector.RenewalOverdue,
		epoch: j.Epoch(), takeoverAt: takeoverAt, priorLease: priorLease, state: state, applyRecord: state.Apply, journal: j,
		calls: make(chan callEvent, callQueueSize), appended: make(chan appendEvent, 1),
		contacted: make(chan contactEvent, 1), snapshots: make(chan snapshotEvent, 1),
		stop: c.draining, done: make(chan struct{}),
		commits: commitQueue{nextSeq: j.NextSeq(), uncommitted: make(map[string]int)},
		fleet:   c.config.Fleet(), zoneReturnedAt: make(map[string]time.Time),
		sessions: make(map[string]*session), waitReasons: make(map[string]string), dirty: true,
	}
	o.metrics = newCellMetrics(c.config.Metrics, c.config.Cell)
	for _, name := range state.VMs() {
		o.sessions[name] = &session{leaseUntil: o.earlierLeasesEnd(), unassigned: make(map[messenger.TaskAttempt]bool), sentOrders: make(map[sentOrder]time.Time)}
	}
	return o
}

// run runs the cell until ctx ends, another owner is detected, or a stop is requested.
func (o *owner) run(ctx context.Context) error {
	work, cancel := context.WithCancel(ctx)
	defer o.shutdown(cancel)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	o.appendTimer = time.NewTimer(minAppendInterval)
	defer o.appendTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.stop:
			o.stopping, o.stop = true, nil
		case call := <-o.calls:
			o.handle(call)
			o.handleQueuedCalls()
		case e := <-o.appended:
			if err := o.completeAppend(work, e); err != nil {
				return err
			}
		case e := <-o.contacted:
			o.completeContact(e)
		case e := <-o.snapshots:
			o.completeSnapshot(e)
		case <-o.appendTimer.C:
			o.commits.rateLimited = false
		case <-tick.C:
			o.tick()
		}
		o.plan()
		o.flush(work)
		o.startContact(work)
		o.replyToPolls()
		if o.stopping && o.commits.idle() {
			return nil
		}
	}
}

// shutdown unblocks all callers and waits for the goroutines in flight.
func (o *owner) shutdown(cancel context.CancelFunc) {
	cancel()
	close(o.done)
	if o.commits.appending {
		<-o.appended
	}
	if o.contactInFlight {
		<-o.contacted
	}
	if o.commits.snapshotting {
		<-o.snapshots
	}
}

// handleQueuedCalls handles all calls that are already queued, so that their decisions
// are journalled in one entry.
func (o *owner) handleQueuedCalls() {
	for range callQueueSize {
		select {
		case call := <-o.calls:
			o.handle(call)
		default:
			return
		}
	}
}

func (o *owner) handle(call callEvent) {
	if o.stopping {
		call.fail(messenger.CodeNotOwner, "cell %s: %s is giving up the ownership", o.config.Cell, o.config.EntryID)
		return
	}
	switch r := call.request.(type) {
	case messenger.Poll:
		o.handlePoll(call, r)
	case messenger.SubmitRequest:
		o.handleSubmit(call, r)
	case messenger.CancelRequest:
		o.handleCancel(call, r)
	case messenger.ClaimRequest:
		o.handleClaim(call, r)
	case messenger.ResolveClaimRequest:
		o.handleResolveClaim(call, r)
	case messenger.FindTasksOptions:
		call.succeed(o.findTasks(r))
	case messenger.StatusRequest:
		call.succeed(o.status())
	case messenger.ExplainRequest:
		o.handleExplain(call, r)
	case messenger.EventsRequest:
		call.succeed(o.events(r))
	}
}

func (e callEvent) succeed(result any) { e.result <- callResult{value: result} }

func (e callEvent) fail(code int64, format string, args ...any) {
	e.result <- callResult{err: connector.Errorf(code, format, args...)}
}

// failRefused fails a call, without effect, if the state refused its record.
func (o *owner) failRefused(call callEvent, err error) {
	if err != nil {
		call.fail(messenger.CodeUnavailable, "cell %s: the decision was refused: %v", o.config.Cell, err)
	}
}

// tick runs the periodic checks.
func (o *owner) tick() {
	o.checkFleet()
	o.checkOutage()
	now := o.config.Now()
	if now.Sub(o.checkedAt) < checkInterval {
		return
	}
	o.checkedAt = now
	o.checkLeases(now)
	o.checkStarts(now)
	o.checkQuarantines(now)
	o.checkHeld()
	o.checkReplicas()
	o.checkZones(now)
	o.checkOvercommit()
	o.expireClaims(now)
}

const checkInterval = 200 * time.Millisecond

// checkFleet applies a newer version of the fleet.
func (o *owner) checkFleet() {
	o.updateFleet(o.config.Fleet())
}

func (o *owner) updateFleet(f *describer.Fleet) {
	if f == nil || f.Version() <= o.fleet.Version() {
		return
	}
	for _, z := range f.Zones() {
		if o.fleet.Version() > 0 && o.fleet.ZoneIsOut(z.Name) && z.State == describer.ZoneIn {
			o.zoneReturnedAt[z.Name] = o.config.Now()
		}
	}
	o.fleet, o.dirty = f, true
}

// checkOutage detects the start and the end of a store outage from the lease renewals of
// this process. It replies to pending polls at once, so that agents get the changed lease
// before their current one expires.
func (o *owner) checkOutage() {
	overdue := o.renewalOverdue()
	if overdue == o.outage {
		return
	}
	o.outage = overdue
	code := reporter.OutageLeaseEnded
	if overdue {
		code = reporter.OutageLeaseGranted
	}
	o.config.Reporter.Report(code, reporter.Fields{"cell": o.config.Cell, "lease": o.config.OutageLease.String()})
	for _, s := range o.sessions {
		s.replyNow = true
	}
}
