// Package attender keeps an agent's session with the owner of its cell: it finds
// the owner, reports to it and hands its orders to the guardian.
package attender

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/abridger"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/guardian"
)

// Lengths.
const (
	// reportEvery is the longest pause between reports. The owner gives up on an
	// agent that is silent three times as long.
	reportEvery = 400 * time.Millisecond
	// reportGap is the shortest, unless the owner wants a longer one: ends that come
	// together share a report.
	reportGap   = 20 * time.Millisecond
	reportLimit = time.Second // for an answer; a silent connection shows only by this
	// dialLimit is long against the farthest peer, some 30 ms away and back. A VM without
	// power does not even refuse, and agents must look for its successor meanwhile.
	dialLimit  = 300 * time.Millisecond
	storeLimit = time.Second
	// findPause is the pause after a failure, doubled with each in a row up to
	// findPauseMax. An owner is replaced within 3 s; without growth, agents whose
	// calls time out on an overloaded entry open connections faster than it can
	// take them, and it never recovers. While nobody is known to own the cell
	// there is nobody to overload, and the pause does not grow: with growth, agents
	// found the owner up to 1.3 s after it had taken over, and work waited for the last.
	findPause    = 150 * time.Millisecond
	findPauseMax = 1200 * time.Millisecond
	// askEvery is how often at most the entries are asked while the store does not
	// answer: each question is a connection, of every agent to every entry.
	askEvery = 600 * time.Millisecond
)

// Config holds the settings of an Attender.
type Config struct {
	Cell     string
	Guardian *guardian.Guardian
	// GetRecord reads the store, for the owner's address; nil if agents do not
	// reach the store.
	GetRecord func(ctx context.Context, key string) (keeper.Record, error)
	Entries   []string // addresses to ask for the owner first
	Now       func() time.Time
	Reporter  *reporter.Reporter
}

// Attender keeps the session. Run must be called once.
type Attender struct {
	config   Config
	abridger *abridger.Abridger
	entries  []messenger.PeerAddress // to ask when the store does not answer
	lost     bool
	pause    time.Duration // after the next failure
	asked    time.Time     // when the entries were last asked
}

// New returns an Attender.
func New(c Config) *Attender {
	a := &Attender{config: c, abridger: abridger.New()}
	for _, address := range c.Entries {
		a.entries = append(a.entries, messenger.PeerAddress{Address: address})
	}
	return a
}

// Run finds owners and keeps sessions with them until ctx ends.
func (a *Attender) Run(ctx context.Context) error {
	a.pause = findPause
	for ctx.Err() == nil {
		if err := a.attend(ctx); err != nil && ctx.Err() == nil {
			a.noteLost(err)
			var unknown errOwnerUnknown
			if errors.As(err, &unknown) {
				a.pause = findPause
			}
			_ = pauser.Pause(ctx, a.pause)
			a.pause = min(2*a.pause, findPauseMax)
		}
	}
	return ctx.Err()
}

// noteLost logs once when the owner is lost, not at each try.
func (a *Attender) noteLost(err error) {
	if !a.lost {
		a.lost = true
		a.config.Reporter.Report(reporter.OwnerLost, reporter.Fields{"error": err.Error()})
	}
}

// attend keeps one session until it fails.
func (a *Attender) attend(ctx context.Context) error {
	owner, err := a.find(ctx)
	if err != nil {
		return err
	}
	dial, cancel := context.WithTimeout(ctx, dialLimit)
	conn, err := connector.Dial(dial, owner.Address, a.handle)
	cancel()
	if err != nil {
		return err
	}
	defer conn.Close()
	session := a.config.Guardian.BeginSession()
	a.config.Guardian.Follow(owner.Epoch)
	for {
		if err := a.report(ctx, conn, session); err != nil {
			return err
		}
		if err := a.wait(ctx, conn); err != nil {
			return err
		}
	}
}

func (a *Attender) report(ctx context.Context, conn *connector.Conn, session int64) error {
	rep, ok := a.config.Guardian.Report(session)
	if !ok {
		return nil // nothing is known of the worker yet
	}
	sentAt := a.config.Now()
	limit, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	var reply messenger.WorkReply
	if err := conn.Call(limit, messenger.MethodWorkReport, a.abridger.Abridge(rep), &reply); err != nil {
		return err
	}
	if !a.config.Guardian.ApplyReply(sentAt, rep.Life, reply) {
		return fmt.Errorf("owner %s has epoch %d, which is over", conn.Remote(), reply.Epoch)
	}
	if len(reply.Entries) > 0 {
		a.entries = reply.Entries
	}
	a.lost, a.pause = false, findPause
	return nil
}

// wait returns when the next report is due.
func (a *Attender) wait(ctx context.Context, conn *connector.Conn) error {
	timer := time.NewTimer(reportEvery)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-conn.Done():
		return fmt.Errorf("connection to owner %s ended", conn.Remote())
	case <-a.config.Guardian.Wake():
		return pauser.Pause(ctx, max(reportGap, a.config.Guardian.ReportGap()))
	case <-timer.C:
		return nil
	}
}

// handle answers the owner's calls.
func (a *Attender) handle(_ context.Context, _ *connector.Conn, method string, params json.RawMessage) (any, error) {
	if method != messenger.MethodWorkOrders {
		return nil, connector.Errorf(messenger.CodeBadRequest, "unknown method %s", method)
	}
	o, err := connector.Decode[messenger.WorkOrders](params)
	if err != nil {
		a.config.Reporter.Report(reporter.MessageMalformed, reporter.Fields{"method": method, "error": err.Error()})
		return nil, err
	}
	if err := a.config.Guardian.Execute(o); err != nil {
		return nil, connector.Errorf(messenger.CodeBadRequest, "%v", err)
	}
	return messenger.Empty{}, nil
}

// errTakingOver is returned while an entry prepares to own the cell.
type errTakingOver struct{ entry string }

func (e errTakingOver) Error() string {
	return fmt.Sprintf("entry %s is taking the cell over", e.entry)
}

// errOwnerUnknown is returned while nobody is known to own the cell: no connection to
// an owner was tried.
type errOwnerUnknown struct{ cause error }

func (e errOwnerUnknown) Error() string { return fmt.Sprintf("owner not known: %v", e.cause) }
func (e errOwnerUnknown) Unwrap() error { return e.cause }

// errNoOwner is returned when no entry could name an owner.
var errNoOwner = errors.New("no entry knows an owner")

// find asks the store for the owner, then the entries that are known.
func (a *Attender) find(ctx context.Context) (messenger.CellOwner, error) {
	if a.config.GetRecord == nil {
		return a.askEntries(ctx)
	}
	o, err := a.askStore(ctx)
	if err == nil {
		return o, nil
	}
	var takingOver errTakingOver
	answered := keeper.IsErrKeyNotExist(err) || errors.As(err, &takingOver)
	if now := a.config.Now(); !answered && now.Sub(a.asked) >= askEvery {
		a.asked = now
		if o, askErr := a.askEntries(ctx); askErr == nil {
			return o, nil
		}
	}
	return messenger.CellOwner{}, errOwnerUnknown{err}
}

func (a *Attender) askStore(ctx context.Context) (o messenger.CellOwner, err error) {
	limit, cancel := context.WithTimeout(ctx, storeLimit)
	defer cancel()
	record, err := a.config.GetRecord(limit, fmt.Sprintf("cells/%s/owner", a.config.Cell))
	if err != nil {
		return o, err
	}
	if err := json.Unmarshal(record.Value, &o); err != nil {
		return o, fmt.Errorf("decode owner: %w", err)
	}
	if o.Epoch == 0 {
		return o, errTakingOver{o.EntryID}
	}
	return o, nil
}

func (a *Attender) askEntries(ctx context.Context) (messenger.CellOwner, error) {
	err := errNoOwner
	for _, e := range a.entries {
		o, askErr := ask(ctx, e.Address)
		if askErr == nil && o.Epoch > 0 {
			return o, nil
		}
		if askErr != nil {
			err = askErr
		}
	}
	return messenger.CellOwner{}, err
}

func ask(ctx context.Context, address string) (messenger.CellOwner, error) {
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	conn, err := connector.Dial(ctx, address, refuse)
	if err != nil {
		return messenger.CellOwner{}, err
	}
	defer conn.Close()
	var w messenger.WorkOwner
	err = conn.Call(ctx, messenger.MethodWorkOwner, messenger.Empty{}, &w)
	return w.Owner, err
}

func refuse(_ context.Context, _ *connector.Conn, method string, _ json.RawMessage) (any, error) {
	return nil, connector.Errorf(messenger.CodeBadRequest, "unknown method %s", method)
}
