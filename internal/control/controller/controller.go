// Package controller runs a cell: it competes for the ownership of the cell, recovers
// the cell's state, handles reports and submissions, and schedules tasks. One goroutine
// owns the state. Its decisions are journalled before anything acts on them.
package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboospread/internal/control/elector"
	"bamboospread/internal/control/journaler"
	"bamboospread/internal/control/placer"
	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// Leases and timeouts.
const (
	DefaultVMLease     = 6 * time.Second
	DefaultOutageLease = 180 * time.Second
	reacquireDelay     = 200 * time.Millisecond // from the end of an epoch to the next try to own the cell
	resultTimeout      = 5 * time.Second        // for a call, including its journal append
)

// Config holds the settings of a Controller.
type Config struct {
	Cell       string
	EntryID    string
	RPCAddress string
	Keeper     *keeper.Keeper
	// Refresh reads the fleet from the store. The result was current at some moment
	// after the call began.
	Refresh func(ctx context.Context) (*describer.Fleet, error)
	// Fleet returns the newest known fleet without calling the store.
	Fleet  func() *describer.Fleet
	Placer *placer.Placer
	// ObserveUsage receives a usage report of a VM together with the tasks that were placed on
	// it in the reported time window. May be nil.
	ObserveUsage  func(vm string, usage messenger.Usage, placed []Placement)
	Interference  func(service, class string) (slowdown, confidence float64) // may be nil
	Pressure      func(vm, service string) float64                           // may be nil
	RecentWindows func(vm, service string) []placer.Window                   // may be nil
	Reporter      *reporter.Reporter
	Metrics       *metrics.Set
	Now           func() time.Time
	OwnerLease    time.Duration // 0: elector.DefaultLease
	VMLease       time.Duration // 0: DefaultVMLease
	OutageLease   time.Duration // 0: that of the fleet's policy, else DefaultOutageLease
	// GroupLimit is the maximum number of records in one journal entry; 0: limited by
	// size only. 1 turns group commit off, for measurements.
	GroupLimit    int
	SnapshotEvery int // journal entries between snapshots; 0: the journaler's default
	// NewID returns an id that is unique among all processes.
	NewID func() string
}

// Placement is a task or replica that was placed on a VM for a period of time.
type Placement struct {
	TaskID  string
	Class   string
	Service string
	Percent int // 0 or 100: not throttled
	From    time.Time
	To      time.Time // zero: still placed
}

// Controller competes for the ownership of a cell and runs the cell while it owns it.
type Controller struct {
	config  Config
	elector *elector.Elector
	current atomic.Pointer[owner]

	draining   chan struct{} // closed by the first Drain
	drain      sync.Once
	ended      chan struct{} // closed when Run acquires nothing any more
	releaseErr error         // of a drained process, once ended is closed
}

// New returns a Controller; Run starts it.
func New(c Config) *Controller {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.OwnerLease <= 0 {
		c.OwnerLease = elector.DefaultLease
	}
	if c.VMLease <= 0 {
		c.VMLease = DefaultVMLease
	}
	if c.Reporter == nil {
		c.Reporter = reporter.Discard()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.Placer == nil {
		c.Placer = placer.New(placer.Config{})
	}
	if c.NewID == nil {
		c.NewID = idSource(c.EntryID)
	}
	e := elector.Config{Cell: c.Cell, EntryID: c.EntryID, Address: c.RPCAddress, Lease: c.OwnerLease, Now: c.Now}
	return &Controller{
		config: c, elector: elector.New(elector.FromKeeper(e, c.Keeper)),
		draining: make(chan struct{}), ended: make(chan struct{}),
	}
}

// Run competes for the cell, and runs it for as long as it owns it, until ctx ends. Once
// drained it owns nothing and only waits for the end of ctx.
func (c *Controller) Run(ctx context.Context) error {
	c.compete(ctx)
	close(c.ended)
	<-ctx.Done()
	return nil
}

// compete acquires and runs the cell in turn until ctx ends or Drain is called.
func (c *Controller) compete(parent context.Context) {
	ctx, cancel := context.WithCancel(parent) // ends with a drain as well
	defer cancel()
	go func() {
		select {
		case <-c.draining:
			cancel()
		case <-ctx.Done():
		}
	}()
	for ctx.Err() == nil {
		if err := c.elector.Acquire(ctx); err != nil {
			continue
		}
		err := c.runEpoch(parent) // a drained owner first journals its decisions
		if parent.Err() == nil && ctx.Err() != nil {
			c.releaseErr = c.release(parent)
		} else if err != nil && parent.Err() == nil {
			c.config.Reporter.Report(reporter.OwnershipLost, reporter.Fields{"cell": c.config.Cell, "error": err.Error()})
		}
		_ = pauser.Pause(ctx, reacquireDelay)
	}
}

// release releases the lease, which may have ended with the epoch.
func (c *Controller) release(ctx context.Context) error {
	if err := c.elector.Release(ctx); !keeper.IsErrLeaseNotExist(err) {
		return err
	}
	return nil
}

// runEpoch runs the cell for one epoch while it renews the ownership lease.
func (c *Controller) runEpoch(parent context.Context) error {
	takeoverAt := c.config.Now()
	ctx, cancel := context.WithCancel(parent)
	renewal := make(chan error, 1)
	go func() {
		renewal <- c.elector.RenewLease(ctx)
		cancel()
	}()
	err := c.recoverAndRun(ctx, takeoverAt)
	cancel()
	if renewErr := <-renewal; err == nil || ctx.Err() != nil && keeper.IsErrLeaseNotExist(renewErr) {
		err = renewErr
	}
	return err
}

// recoverAndRun recovers the cell's state, publishes this process as the owner and runs
// the cell.
func (c *Controller) recoverAndRun(ctx context.Context, takeoverAt time.Time) error {
	j := journaler.New(journaler.FromKeeper(journaler.Config{
		Cell: c.config.Cell, EntryID: c.config.EntryID, NewID: c.config.NewID,
		SnapshotEvery: c.config.SnapshotEvery, DeletePause: deletePause,
	}, c.config.Keeper))
	o, err := c.recover(ctx, j, takeoverAt)
	if err != nil {
		c.config.Reporter.Report(reporter.RecoveryFailed, reporter.Fields{"cell": c.config.Cell, "error": err.Error()})
		_ = c.elector.Release(context.WithoutCancel(ctx))
		return err
	}
	if err := c.elector.Publish(ctx, o.epoch); err != nil {
		return err
	}
	c.current.Store(o)
	defer c.current.CompareAndSwap(o, nil)
	return o.run(ctx)
}

// Owner returns the last known owner of the cell.
func (c *Controller) Owner() (messenger.CellOwner, bool) { return c.elector.LastSeenOwner() }

// Drain gives up the ownership for good: it waits until all decisions are journalled and
// the lease is released, so that another process need not wait for the lease to expire. A
// process that does not own the cell, or is just acquiring it, stops competing for it. Run
// must have been started.
func (c *Controller) Drain(ctx context.Context) error {
	c.drain.Do(func() { close(c.draining) })
	select {
	case <-c.ended:
		return c.releaseErr
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Handle handles an RPC call for the cell. The code of an error says whether the call
// had any effect.
func (c *Controller) Handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	request, err := decode(method, params)
	if err != nil {
		return nil, err
	}
	o := c.current.Load()
	if o == nil {
		return nil, c.notOwner()
	}
	call := callEvent{request: request, received: c.config.Now(), result: make(chan callResult, 1)}
	select {
	case o.calls <- call:
	case <-o.done:
		return nil, c.notOwner()
	case <-ctx.Done():
		return nil, connector.Errorf(messenger.CodeUnavailable, "cell %s: the call was cancelled before it was accepted", c.config.Cell)
	}
	limit := time.NewTimer(resultTimeout)
	defer limit.Stop()
	select {
	case r := <-call.result:
		return r.value, r.err
	case <-o.done:
		select { // the owner may have sent this result just before it stopped
		case r := <-call.result:
			return r.value, r.err
		default:
		}
		return nil, connector.Errorf(messenger.CodeUnknown, "cell %s: ownership ended during the call: repeat it with the same id", c.config.Cell)
	case <-limit.C:
		return nil, connector.Errorf(messenger.CodeUnknown, "cell %s: no result within %s, the store may be slow: repeat the call with the same id", c.config.Cell, resultTimeout)
	case <-ctx.Done():
		return nil, connector.Errorf(messenger.CodeUnknown, "cell %s: the call was cancelled before its result was known", c.config.Cell)
	}
}

func (c *Controller) notOwner() error {
	return connector.Errorf(messenger.CodeNotOwner, "%s does not own cell %s", c.config.EntryID, c.config.Cell)
}

func decode(method string, params json.RawMessage) (any, error) {
	switch method {
	case messenger.MethodPoll:
		return connector.Decode[messenger.Poll](params)
	case messenger.MethodSubmit:
		return connector.Decode[messenger.SubmitRequest](params)
	case messenger.MethodCancel:
		return connector.Decode[messenger.CancelRequest](params)
	case messenger.MethodClaim:
		return connector.Decode[messenger.ClaimRequest](params)
	case messenger.MethodResolveClaim:
		return connector.Decode[messenger.ResolveClaimRequest](params)
	case messenger.MethodFindTasks:
		return connector.Decode[messenger.FindTasksOptions](params)
	case messenger.MethodStatus:
		return connector.Decode[messenger.StatusRequest](params)
	case messenger.MethodExplain:
		return connector.Decode[messenger.ExplainRequest](params)
	case messenger.MethodEvents:
		return connector.Decode[messenger.EventsRequest](params)
	}
	return nil, connector.Errorf(messenger.CodeBadRequest, "unknown method %q", method)
}

// idSource returns a function that generates ids from the entry id, the start time of
// the process and a counter.
func idSource(entryID string) func() string {
	start := time.Now().UnixNano()
	var n atomic.Int64
	return func() string { return fmt.Sprintf("%s-%d-%d", entryID, start, n.Add(1)) }
}
