// Package attender maintains an agent's session with the owner of its cell: it finds the
// owner, reports to it and passes its orders to the guardian.
package attender

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"bamboospread/internal/job/locator"
	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/abridger"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/guardian"
)

// Intervals and timeouts.
const (
	// maxReportInterval is the longest pause between reports. The owner detaches a VM after
	// 1.5 s without a report.
	maxReportInterval = 400 * time.Millisecond
	// minReportInterval is the shortest time between reports, so that ends that occur together
	// share a report.
	minReportInterval = 20 * time.Millisecond
	reportTimeout     = time.Second // for a reply; a connection that no longer responds is detected only by this
	// dialTimeout is long compared with the round trip to the farthest peer, about 30 ms. A
	// VM without power does not even refuse a connection, and agents must look for a new
	// owner in the meantime.
	dialTimeout = 300 * time.Millisecond
	// retryPause is the pause after a failure. It doubles with each consecutive failure up to
	// retryPauseMax. An owner is replaced within 3 s. Without backoff, agents whose calls
	// time out on an overloaded entry open connections faster than it can accept them, and it
	// never recovers. While the cell has no known owner, no entry can be overloaded and the
	// pause stays constant: with backoff, agents found the new owner up to 1.3 s after its
	// takeover, and work waited for the last agent.
	retryPause    = 150 * time.Millisecond
	retryPauseMax = 1200 * time.Millisecond
)

// Config holds the settings of an Attender.
type Config struct {
	Cell     string
	Guardian *guardian.Guardian
	// FindRecords and Watch read the owner's address from the store. They are nil if agents cannot
	// reach the store.
	FindRecords func(ctx context.Context, o keeper.ListOptions) (keeper.ListResult, error)
	Watch       func(ctx context.Context, o keeper.WatchOptions) (keeper.WatchResult, error)
	Entries     []string // addresses of the entries to query before any other is known
	Now         func() time.Time
	Reporter    *reporter.Reporter
}

// Attender maintains the session. Run must be called once.
type Attender struct {
	config         Config
	abridger       *abridger.Abridger
	locator        *locator.Locator // asked when the store does not answer
	ownerLost      bool
	pause          time.Duration       // after the next failure
	corrected      messenger.CellOwner // the latest owner that was found under an earlier epoch: its address and epoch
	entriesAskedAt time.Time           // when the entries were last queried
}

// New returns an Attender.
func New(c Config) *Attender {
	return &Attender{config: c, abridger: abridger.New(), locator: locator.New(c.Entries)}
}

// Run finds owners and maintains sessions with them until ctx ends.
func (a *Attender) Run(ctx context.Context) error {
	a.pause = retryPause
	for ctx.Err() == nil {
		if err := a.attend(ctx); err != nil && ctx.Err() == nil {
			a.logOwnerLost(err)
			var unknown errOwnerUnknown
			if errors.As(err, &unknown) {
				a.pause = retryPause
			}
			_ = pauser.Pause(ctx, a.pause)
			a.pause = min(2*a.pause, retryPauseMax)
		}
	}
	return ctx.Err()
}

// logOwnerLost logs the loss of the owner once, not on every attempt.
func (a *Attender) logOwnerLost(err error) {
	if !a.ownerLost {
		a.ownerLost = true
		a.config.Reporter.Report(reporter.OwnerLost, reporter.Fields{"error": err.Error()})
	}
}

// attend runs one session until it fails.
func (a *Attender) attend(ctx context.Context) error {
	owner, err := a.findOwner(ctx)
	if err != nil {
		return err
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	payloads := abridger.NewPayloadRestorer()
	conn, err := connector.Dial(dialCtx, owner.Address, func(_ context.Context, _ *connector.Conn, method string, params json.RawMessage) (any, error) {
		return a.handle(payloads, method, params)
	})
	cancel()
	if err != nil {
		return err
	}
	defer conn.Close()
	if a.corrected.Address == owner.Address {
		owner.Epoch = max(owner.Epoch, a.corrected.Epoch)
	}
	session := a.config.Guardian.BeginSession()
	a.config.Guardian.Follow(owner.Epoch)
	for {
		if err := a.report(ctx, conn, session, owner); err != nil {
			return err
		}
		if err := a.wait(ctx, conn); err != nil {
			return err
		}
	}
}

// report sends a report to the owner and applies its reply.
func (a *Attender) report(ctx context.Context, conn *connector.Conn, session int64, owner messenger.CellOwner) error {
	rep, ok := a.config.Guardian.Report(session)
	if !ok {
		return nil // the state of the worker is not known yet
	}
	rep.KeepsPayloads, rep.Epoch = abridger.KeptPayloads, owner.Epoch
	sentAt := a.config.Now()
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reply messenger.WorkReply
	if err := conn.Call(callCtx, messenger.MethodWorkReport, a.abridger.Abridge(rep), &reply); err != nil {
		return err
	}
	if reply.Outdated {
		a.corrected = messenger.CellOwner{Address: owner.Address, Epoch: reply.Epoch}
		return fmt.Errorf("report to owner %s under epoch %d, it has epoch %d", conn.Remote(), owner.Epoch, reply.Epoch)
	}
	if !a.config.Guardian.ApplyReply(sentAt, rep.Incarnation, reply) {
		return fmt.Errorf("reply from owner %s with outdated epoch %d", conn.Remote(), reply.Epoch)
	}
	a.locator.Remember(reply.Entries)
	a.ownerLost, a.pause = false, retryPause
	return nil
}

// wait returns when the next report is due. News is due at once, whatever interval the owner asks
// for: its rate depends on the work that ends, and not on the number of agents.
func (a *Attender) wait(ctx context.Context, conn *connector.Conn) error {
	if err := pauser.Pause(ctx, minReportInterval); err != nil {
		return err
	}
	timer := time.NewTimer(max(maxReportInterval, a.config.Guardian.RequestedReportInterval()) - minReportInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-conn.Done():
		return fmt.Errorf("connection to owner %s ended", conn.Remote())
	case <-a.config.Guardian.News():
	case <-a.config.Guardian.Wake():
	case <-timer.C:
	}
	return nil
}

// handle answers calls of the owner, which sends orders one message at a time.
func (a *Attender) handle(payloads *abridger.PayloadRestorer, method string, params json.RawMessage) (any, error) {
	if method != messenger.MethodWorkOrders {
		return nil, connector.Errorf(messenger.CodeBadRequest, "unknown method %s", method)
	}
	o, err := connector.Decode[messenger.WorkOrders](params)
	if err != nil {
		a.config.Reporter.Report(reporter.MessageMalformed, reporter.Fields{"method": method, "error": err.Error()})
		return nil, err
	}
	if err := payloads.Restore(o.Orders); err != nil {
		a.config.Reporter.Report(reporter.MessageMalformed, reporter.Fields{"method": method, "error": err.Error()})
		return nil, connector.Errorf(messenger.CodeBadRequest, "%v", err)
	}
	if err := a.config.Guardian.Execute(o); err != nil {
		return nil, connector.Errorf(messenger.CodeBadRequest, "%v", err)
	}
	return messenger.Empty{}, nil
}
