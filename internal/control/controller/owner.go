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

// Lengths of the owner's work.
const (
	tickEvery   = 50 * time.Millisecond
	deletePause = 10 * time.Millisecond
	callQueue   = 1024
)

// callEvent is a call that waits for its answer.
type callEvent struct {
	request  any
	received time.Time
	answer   chan answer // holds one
}

type answer struct {
	result any
	err    error
}

// appendEvent tells that an append is settled.
type appendEvent struct {
	group group
	err   error
}

// contactEvent tells that a store contact has ended.
type contactEvent struct {
	fleet *describer.Fleet
	began time.Time
	err   error
}

// snapshotEvent tells that a snapshot has ended.
type snapshotEvent struct{ err error }

// owner is this process's ownership of the cell in one epoch. Its fields belong
// to the goroutine of run.
type owner struct {
	config     Config
	held       func() bool // whether the ownership is surely held now
	strained   func() bool // whether the store may be away
	epoch      int64
	tookOver   time.Time
	priorLease time.Duration // the longest that an earlier owner may have granted
	books      *bookkeeper.Books
	journal    *journaler.Journaler

	calls     chan callEvent
	appended  chan appendEvent
	contacted chan contactEvent
	snapshots chan snapshotEvent
	stop      chan struct{}
	done      chan struct{}

	commits  commits
	rest     *time.Timer  // ends the rest after the beginning of an append
	contact  contactEvent // the last that succeeded
	doubtful []doubtfulSubmit
	asking   bool // a contact is under way
	asked    time.Time
	fleet    *describer.Fleet // newest known
	returned map[string]time.Time
	sessions map[string]*session
	evicts   budget
	planned  time.Time
	dirty    bool // something changed that a plan depends on
	urgent   bool // an urgent task was queued
	waits    map[string]string
	outage   bool
	settled  bool
	stopping bool
	checked  time.Time
	swept    time.Time
	freed    freed
	meters   meters
}

func (c *Controller) recover(ctx context.Context, j *journaler.Journaler, tookOver time.Time) (*owner, error) {
	outage := c.config.OutageLease
	if outage <= 0 {
		outage = DefaultOutageLease
		if p := c.config.Fleet().Policy().OutageLease; p > 0 {
			outage = p
		}
	}
	r, err := j.Open(ctx, func(epoch int64) ([]json.RawMessage, error) { return c.opening(epoch, outage) })
	if err != nil {
		return nil, err
	}
	books := bookkeeper.New()
	if r.Snapshot != nil {
		if books, err = bookkeeper.Decode(r.Snapshot); err != nil {
			return nil, err
		}
	}
	var prior time.Duration
	for _, e := range r.Entries {
		prior = books.MaxLease()
		for _, raw := range e.Records {
			var record bookkeeper.Record
			if err := json.Unmarshal(raw, &record); err != nil {
				return nil, fmt.Errorf("decode record of entry %d: %w", e.Seq, err)
			}
			if err := books.Apply(record); err != nil {
				return nil, fmt.Errorf("replay entry %d: %w", e.Seq, err)
			}
		}
	}
	c.config.OutageLease = outage
	c.config.Reporter.Report(reporter.EpochOpened, reporter.Fields{
		"cell": c.config.Cell, "epoch": r.Epoch, "entries": len(r.Entries), "snapshot-bytes": len(r.Snapshot),
		"took": c.config.Now().Sub(tookOver).String(),
	})
	return c.newOwner(j, books, tookOver, prior), nil
}

func (c *Controller) opening(epoch int64, outage time.Duration) ([]json.RawMessage, error) {
	record := bookkeeper.Record{
		At:       c.config.Now().Round(0),
		TookOver: &bookkeeper.TookOver{Epoch: epoch, EntryID: c.config.EntryID, VMLease: c.config.VMLease, OutageLease: outage},
		Decision: &messenger.Decision{Code: int(reporter.EpochOpened), Reason: "cell taken over by " + c.config.EntryID},
	}
	raw, err := json.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("encode opening record: %w", err)
	}
	return []json.RawMessage{raw}, nil
}

func (c *Controller) newOwner(j *journaler.Journaler, books *bookkeeper.Books, tookOver time.Time, prior time.Duration) *owner {
	o := &owner{
		config: c.config, held: c.elector.Held, strained: c.elector.RenewalOverdue,
		epoch: j.Epoch(), tookOver: tookOver, priorLease: prior, books: books, journal: j,
		calls: make(chan callEvent, callQueue), appended: make(chan appendEvent, 1),
		contacted: make(chan contactEvent, 1), snapshots: make(chan snapshotEvent, 1),
		stop: make(chan struct{}, 1), done: make(chan struct{}),
		commits: commits{next: j.NextSeq(), open: make(map[string]int)},
		fleet:   c.config.Fleet(), returned: make(map[string]time.Time),
		sessions: make(map[string]*session), waits: make(map[string]string), dirty: true,
	}
	o.meters = newMeters(c.config.Metrics, c.config.Cell)
	for _, name := range books.VMs() {
		o.sessions[name] = &session{leaseUntil: o.leaseEnd(tookOver, prior), strays: make(map[messenger.TaskAttempt]bool), sent: make(map[sentOrder]time.Time)}
	}
	return o
}

// run owns the cell until ctx ends, another owner is met, or a stop is asked.
func (o *owner) run(ctx context.Context) error {
	work, cancel := context.WithCancel(ctx)
	defer o.end(cancel)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	o.rest = time.NewTimer(appendRest)
	defer o.rest.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.stop:
			o.stopping = true
		case call := <-o.calls:
			o.take(call)
			o.takeWaiting()
		case e := <-o.appended:
			if err := o.settle(work, e); err != nil {
				return err
			}
		case e := <-o.contacted:
			o.takeContact(e)
		case e := <-o.snapshots:
			o.takeSnapshot(e)
		case <-o.rest.C:
			o.commits.resting = false
		case <-tick.C:
			o.tick()
		}
		o.plan()
		o.flush(work)
		o.askContact(work)
		o.answerPolls()
		if o.stopping && o.commits.idle() {
			return nil
		}
	}
}

// end leaves no call without an answer and waits for what runs aside.
func (o *owner) end(cancel context.CancelFunc) {
	cancel()
	close(o.done)
	if o.commits.appending {
		<-o.appended
	}
	if o.asking {
		<-o.contacted
	}
	if o.commits.snapshotting {
		<-o.snapshots
	}
}

// takeWaiting takes all calls that wait already, so that one journal entry
// carries what they decide.
func (o *owner) takeWaiting() {
	for range callQueue {
		select {
		case call := <-o.calls:
			o.take(call)
		default:
			return
		}
	}
}

func (o *owner) take(call callEvent) {
	if o.stopping {
		call.fail(messenger.CodeNotOwner, "cell %s is being handed over", o.config.Cell)
		return
	}
	switch r := call.request.(type) {
	case messenger.Poll:
		o.takePoll(call, r)
	case messenger.SubmitRequest:
		o.takeSubmit(call, r)
	case messenger.CancelRequest:
		o.takeCancel(call, r)
	case messenger.ClaimRequest:
		o.takeClaim(call, r)
	case messenger.SettleRequest:
		o.takeSettle(call, r)
	case messenger.FindTasksOptions:
		call.succeed(o.findTasks(r))
	case messenger.StatusRequest:
		call.succeed(o.status())
	case messenger.ExplainRequest:
		o.takeExplain(call, r)
	case messenger.EventsRequest:
		call.succeed(o.events(r))
	}
}

func (e callEvent) succeed(result any) { e.answer <- answer{result: result} }

func (e callEvent) fail(code int64, format string, args ...any) {
	e.answer <- answer{err: connector.Errorf(code, format, args...)}
}

// tick does what time alone brings about.
func (o *owner) tick() {
	o.checkFleet()
	o.checkOutage()
	now := o.config.Now()
	if now.Sub(o.checked) < checkEvery {
		return
	}
	o.checked = now
	o.checkLeases(now)
	o.checkStarts(now)
	o.checkQuarantines(now)
	o.checkHeld()
	o.checkReplicas()
	o.checkZones(now)
	o.checkRoom()
	o.checkClaims(now)
}

const checkEvery = 200 * time.Millisecond

// checkFleet takes a newer fleet over.
func (o *owner) checkFleet() {
	o.takeFleet(o.config.Fleet())
}

func (o *owner) takeFleet(f *describer.Fleet) {
	if f == nil || f.Version() <= o.fleet.Version() {
		return
	}
	for _, z := range f.Zones() {
		if o.fleet.Version() > 0 && o.fleet.ZoneIsOut(z.Name) && z.State == describer.ZoneIn {
			o.returned[z.Name] = o.config.Now()
		}
	}
	o.fleet, o.dirty = f, true
}

// checkOutage notes the begin and the end of a store outage as this process
// sees it, and answers waiting polls at once, so that agents get the other
// lease in the time that is left.
func (o *owner) checkOutage() {
	strained := o.strained()
	if strained == o.outage {
		return
	}
	o.outage = strained
	code := reporter.OutageLeaseEnded
	if strained {
		code = reporter.OutageLeaseGranted
	}
	o.config.Reporter.Report(code, reporter.Fields{"cell": o.config.Cell, "lease": o.config.OutageLease.String()})
	for _, s := range o.sessions {
		s.answerNow = true
	}
}
