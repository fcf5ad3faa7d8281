// Package forwarder carries an entry's calls to the owner of the cell, which may
// be this very process.
package forwarder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// Lengths of calls to the owner.
const (
	// CallLimit is how long the owner may take. It answers in milliseconds; a
	// connection that has gone silent shows only by this.
	CallLimit  = 700 * time.Millisecond
	helloPause = time.Second
)

// Config holds the settings of a Forwarder.
type Config struct {
	Self     messenger.PeerAddress
	Owner    func() (messenger.CellOwner, bool)
	Handle   connector.Handler // answers calls of this process to itself
	Reporter *reporter.Reporter
}

// Forwarder calls the owner. It is safe for concurrent use.
type Forwarder struct {
	config Config
	mu     sync.Mutex
	conn   *connector.Conn
	to     string // address of conn
	lost   bool
}

// ErrOwnerNotExist is returned while no owner is known.
type ErrOwnerNotExist struct{}

func (ErrOwnerNotExist) Error() string { return "no owner of the cell is known" }

// NotDone tells of an error of Call that the call surely had no effect.
func NotDone(err error) bool {
	var none ErrOwnerNotExist
	var dial errDial
	code := connector.CodeOf(err)
	return errors.As(err, &none) || errors.As(err, &dial) || code == messenger.CodeNotOwner || code == messenger.CodeBadRequest
}

// NotOwner tells of an error of Call that the entry which owned the cell was reached and
// owns it no more.
func NotOwner(err error) bool { return connector.CodeOf(err) == messenger.CodeNotOwner }

// errDial is returned when no connection came about: nothing was sent.
type errDial struct{ cause error }

func (e errDial) Error() string { return e.cause.Error() }
func (e errDial) Unwrap() error { return e.cause }

// New returns a Forwarder without a connection.
func New(c Config) *Forwarder { return &Forwarder{config: c} }

// Call calls the owner and decodes its answer into result, a pointer.
func (f *Forwarder) Call(ctx context.Context, method string, params, result any) error {
	owner, ok := f.config.Owner()
	if !ok {
		return ErrOwnerNotExist{}
	}
	ctx, cancel := context.WithTimeout(ctx, CallLimit)
	defer cancel()
	if owner.EntryID == f.config.Self.EntryID {
		return f.callSelf(ctx, method, params, result)
	}
	conn, err := f.connect(ctx, owner.Address)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, params, result)
	if err != nil && connector.CodeOf(err) == 0 {
		// No answer: the connection may have gone silent for good.
		f.drop(conn)
	}
	return err
}

func (f *Forwarder) callSelf(ctx context.Context, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return fmt.Errorf("encode %s: %w", method, err)
	}
	a, err := f.config.Handle(ctx, nil, method, raw)
	if err != nil || result == nil {
		return err
	}
	raw, err = json.Marshal(a)
	if err != nil {
		return fmt.Errorf("encode answer to %s: %w", method, err)
	}
	return json.Unmarshal(raw, result)
}

func (f *Forwarder) connect(ctx context.Context, address string) (*connector.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != nil && f.to == address {
		select {
		case <-f.conn.Done():
		default:
			return f.conn, nil
		}
	}
	if f.conn != nil {
		f.conn.Close()
		f.conn = nil
	}
	conn, err := connector.Dial(ctx, address, f.config.Handle)
	if err != nil {
		return nil, errDial{err}
	}
	f.conn, f.to = conn, address
	return conn, nil
}

func (f *Forwarder) drop(conn *connector.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn == conn {
		f.conn = nil
	}
	conn.Close()
}

// Run tells the owner about this entry until ctx ends, so that agents learn of
// more than one entry.
func (f *Forwarder) Run(ctx context.Context) error {
	for {
		var w messenger.WorkOwner
		f.note(f.Call(ctx, messenger.MethodWorkHello, f.config.Self, &w))
		if err := pauser.Pause(ctx, helloPause); err != nil {
			return err
		}
	}
}

// note logs when the owner is lost and when it is back.
func (f *Forwarder) note(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err != nil && !f.lost:
		f.config.Reporter.Report(reporter.OwnerUnreachable, reporter.Fields{"error": err.Error()})
	case err == nil && f.lost:
		f.config.Reporter.Report(reporter.OwnerReached, reporter.Fields{"address": f.to})
	}
	f.lost = err != nil
}
