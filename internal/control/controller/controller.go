// Package controller owns a cell: it competes for the ownership, recovers the
// cell's state, takes reports and submissions, and decides. One goroutine holds
// the state; what it decides is journalled before anybody acts on it.
package controller

import (
	"context"
	"encoding/json"
	"fmt"
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

// Lengths.
const (
	DefaultVMLease     = 6 * time.Second
	DefaultOutageLease = 180 * time.Second
	recoveryPause      = 200 * time.Millisecond
	answerLimit        = 5 * time.Second // how long a call waits for the journal
)

// Config holds the settings of a Controller.
type Config struct {
	Cell       string
	EntryID    string
	RPCAddress string
	Keeper     *keeper.Keeper
	// Refresh returns the fleet as it was in the store at some moment after the
	// call began.
	Refresh func(ctx context.Context) (*describer.Fleet, error)
	// Fleet returns the newest known fleet without a store call.
	Fleet  func() *describer.Fleet
	Placer *placer.Placer
	// Observe takes a usage report of a VM with what was placed in its window.
	// May be nil.
	Observe      func(vm string, usage messenger.Usage, placed []Placement)
	Interference func(service, class string) (slowdown, confidence float64) // may be nil
	Pressure     func(vm, service string) float64                           // may be nil
	Recent       func(vm, service string) []placer.Window                   // may be nil
	Reporter     *reporter.Reporter
	Metrics      *metrics.Set
	Now          func() time.Time
	OwnerLease   time.Duration // 0: elector.DefaultLease
	VMLease      time.Duration // 0: DefaultVMLease
	OutageLease  time.Duration // 0: that of the fleet's policy, else DefaultOutageLease
	// GroupLimit bounds the records of one journal entry; 0: by size only. 1
	// turns group commit off, for measurements.
	GroupLimit    int
	SnapshotEvery int // journal entries between snapshots; 0: the journaler's default
	// NewID returns an id that no other process ever returns.
	NewID func() string
}

// Placement is what was on a VM in a window of time.
type Placement struct {
	TaskID  string
	Class   string
	Service string
	Percent int // 0 or 100: not throttled
	From    time.Time
	To      time.Time // zero: still there
}

// Controller competes for a cell and owns it at times.
type Controller struct {
	config  Config
	elector *elector.Elector
	current atomic.Pointer[owner]
	drained atomic.Bool
}

// New returns a Controller; Run starts it.
func New(c Config) *Controller {
	if c.Now == nil {
		c.Now = time.Now
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
	return &Controller{config: c, elector: elector.New(elector.FromKeeper(e, c.Keeper))}
}

// Run competes for the cell and owns it whenever it wins, until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.drained.Load() {
			<-ctx.Done()
			break
		}
		if err := c.elector.Acquire(ctx); err != nil {
			continue
		}
		if err := c.own(ctx); err != nil && ctx.Err() == nil && !c.drained.Load() {
			c.config.Reporter.Report(reporter.OwnershipLost, reporter.Fields{"cell": c.config.Cell, "error": err.Error()})
		}
		_ = pauser.Pause(ctx, recoveryPause)
	}
	return nil
}

// own runs one epoch.
func (c *Controller) own(parent context.Context) error {
	tookOver := c.config.Now()
	ctx, cancel := context.WithCancel(parent)
	kept := make(chan error, 1)
	go func() {
		kept <- c.elector.Keep(ctx)
		cancel()
	}()
	err := c.ownUntil(ctx, tookOver)
	cancel()
	if keepErr := <-kept; err == nil || ctx.Err() != nil && keeper.IsErrLeaseNotExist(keepErr) {
		err = keepErr
	}
	return err
}

func (c *Controller) ownUntil(ctx context.Context, tookOver time.Time) error {
	j := journaler.New(journaler.FromKeeper(journaler.Config{
		Cell: c.config.Cell, EntryID: c.config.EntryID, NewID: c.config.NewID,
		SnapshotEvery: c.config.SnapshotEvery, DeletePause: deletePause,
	}, c.config.Keeper))
	o, err := c.recover(ctx, j, tookOver)
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

// Owner returns the owner of the cell as far as this process knows.
func (c *Controller) Owner() (messenger.CellOwner, bool) { return c.elector.Known() }

// Drain hands the ownership over: what is decided is journalled, then the lease
// is released, so that another process need not wait for it to run out.
func (c *Controller) Drain(ctx context.Context) error {
	c.drained.Store(true)
	o := c.current.Load()
	if o == nil {
		return nil
	}
	select {
	case o.stop <- struct{}{}:
	case <-o.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-o.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	return c.elector.Release(ctx)
}

// Handle answers a call about the cell. An error tells by its code whether
// anything was done.
func (c *Controller) Handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	request, err := decode(method, params)
	if err != nil {
		return nil, err
	}
	o := c.current.Load()
	if o == nil {
		return nil, c.notOwner()
	}
	call := callEvent{request: request, received: c.config.Now(), answer: make(chan answer, 1)}
	select {
	case o.calls <- call:
	case <-o.done:
		return nil, c.notOwner()
	case <-ctx.Done():
		return nil, connector.Errorf(messenger.CodeUnavailable, "cell %s: caller gone", c.config.Cell)
	}
	limit := time.NewTimer(answerLimit)
	defer limit.Stop()
	select {
	case a := <-call.answer:
		return a.result, a.err
	case <-o.done:
		select { // the last act of the owner may have been this answer
		case a := <-call.answer:
			return a.result, a.err
		default:
		}
		return nil, connector.Errorf(messenger.CodeUnknown, "cell %s changed hands: ask again with the same id", c.config.Cell)
	case <-limit.C:
		return nil, connector.Errorf(messenger.CodeUnknown, "cell %s: the store did not answer in time: ask again with the same id", c.config.Cell)
	case <-ctx.Done():
		return nil, connector.Errorf(messenger.CodeUnknown, "cell %s: caller gone", c.config.Cell)
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
	case messenger.MethodSettle:
		return connector.Decode[messenger.SettleRequest](params)
	case messenger.MethodFindTasks:
		return connector.Decode[messenger.FindTasksOptions](params)
	case messenger.MethodStatus:
		return connector.Decode[messenger.StatusRequest](params)
	case messenger.MethodExplain:
		return connector.Decode[messenger.ExplainRequest](params)
	case messenger.MethodEvents:
		return connector.Decode[messenger.EventsRequest](params)
	}
	return nil, connector.Errorf(messenger.CodeBadRequest, "method %s is not known", method)
}

// idSource returns ids that start with the process and its start time.
func idSource(entryID string) func() string {
	start := time.Now().UnixNano()
	var n atomic.Int64
	return func() string { return fmt.Sprintf("%s-%d-%d", entryID, start, n.Add(1)) }
}
