// Package forwarder sends an entry's calls to the owner of the cell, which may be the same
// process.
package forwarder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"bamboospread/internal/job/locator"
	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// Call timeout and interval of hellos.
const (
	// CallTimeout is how long a call to the owner may take until its answer begins to arrive. The owner
	// answers in milliseconds; only the timeout detects a stalled connection.
	CallTimeout   = 700 * time.Millisecond
	helloInterval = time.Second
	// lostHelloInterval applies while the owner does not answer: an entry that reaches neither the
	// store nor the owner refuses its callers until it has found the next owner.
	lostHelloInterval = 300 * time.Millisecond
)

// Config holds the settings of a Forwarder.
type Config struct {
	Self   messenger.PeerAddress
	Owner  func() (messenger.CellOwner, bool)
	Handle connector.Handler // handles calls if this process is the owner, and calls from the owner
	// Admission returns which admission table this entry has; nil: it takes no part.
	Admission func() *messenger.AdmissionState
	// UseAdmission takes what the owner of an epoch answered to a hello that was sent at the given time.
	UseAdmission func(epoch int64, u *messenger.AdmissionUpdate, sentAt time.Time)
	// Locator finds the owner while StoreUnreachable, and LearnOwner records it; nil: it is found in
	// the store only.
	Locator          *locator.Locator
	StoreUnreachable func() bool
	LearnOwner       func(o messenger.CellOwner)
	// RecordContact, if set, is told after each hello whether the owner has answered it.
	RecordContact func(answered bool)
	Now           func() time.Time // for UseAdmission
	Reporter      *reporter.Reporter
}

// Forwarder sends calls to the owner. It is safe for concurrent use.
type Forwarder struct {
	config      Config
	mu          sync.Mutex
	conn        *connector.Conn
	connAddress string
	lost        bool
}

// ErrOwnerNotExist is returned while no owner of the cell is known.
type ErrOwnerNotExist struct{}

func (ErrOwnerNotExist) Error() string { return "no owner of the cell is known" }

// HadNoEffect reports whether an error of Call proves that the call had no effect.
func HadNoEffect(err error) bool {
	var none ErrOwnerNotExist
	var dial dialError
	code := connector.CodeOf(err)
	return errors.As(err, &none) || errors.As(err, &dial) || code == messenger.CodeNotOwner || code == messenger.CodeBadRequest
}

// NotOwner reports whether an error of Call came from an entry that no longer owns the cell.
func NotOwner(err error) bool { return connector.CodeOf(err) == messenger.CodeNotOwner }

// dialError is returned if no connection could be opened, so nothing was sent.
type dialError struct{ cause error }

func (e dialError) Error() string { return e.cause.Error() }
func (e dialError) Unwrap() error { return e.cause }

// New returns a Forwarder. It connects to the owner on the first call.
func New(c Config) *Forwarder { return &Forwarder{config: c} }

// Call sends a call to the owner and decodes the answer into result, a pointer.
func (f *Forwarder) Call(ctx context.Context, method string, params, result any) error {
	owner, ok := f.config.Owner()
	if !ok {
		return ErrOwnerNotExist{}
	}
	startedAt := time.Now()
	limitedCtx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	if owner.EntryID == f.config.Self.EntryID {
		return f.callSelf(limitedCtx, method, params, result)
	}
	conn, err := f.connect(limitedCtx, owner.Address)
	if err != nil {
		return err
	}
	err = conn.CallWithin(ctx, CallTimeout-time.Since(startedAt), method, params, result)
	if err != nil && connector.CodeOf(err) == 0 {
		// No answer: the connection may have stalled for good.
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
	if f.conn != nil && f.connAddress == address {
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
		return nil, dialError{err}
	}
	f.conn, f.connAddress = conn, address
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

// Run sends hellos to the owner until ctx ends, so that agents learn the addresses of all
// entries.
func (f *Forwarder) Run(ctx context.Context) error {
	for {
		err := f.sayHello(ctx)
		if err != nil && f.locateOwner(ctx) {
			err = f.sayHello(ctx)
		}
		f.reportReachability(err)
		if f.config.RecordContact != nil {
			f.config.RecordContact(err == nil)
		}
		interval := helloInterval
		if err != nil {
			interval = lostHelloInterval
		}
		if err := pauser.Pause(ctx, interval); err != nil {
			return err
		}
	}
}

// locateOwner asks other entries for the owner if it can't be read from the store, and reports
// whether they have named one.
func (f *Forwarder) locateOwner(ctx context.Context) bool {
	if f.config.Locator == nil || !f.config.StoreUnreachable() {
		return false
	}
	o, err := f.config.Locator.Find(ctx)
	if err != nil {
		return false
	}
	f.config.LearnOwner(o)
	return true
}

// sayHello announces this entry to the owner.
func (f *Forwarder) sayHello(ctx context.Context) error {
	var w messenger.WorkOwner
	h := messenger.WorkHello{PeerAddress: f.config.Self}
	if f.config.Admission == nil {
		return f.Call(ctx, messenger.MethodWorkHello, h, &w)
	}
	h.Admission = f.config.Admission()
	sentAt := f.config.Now()
	err := f.Call(ctx, messenger.MethodWorkHello, h, &w)
	if err != nil {
		return err
	}
	f.config.UseAdmission(w.Owner.Epoch, w.Admission, sentAt)
	if f.config.Locator != nil {
		f.config.Locator.Remember(w.Entries)
	}
	return nil
}

// reportReachability logs when the owner is lost and when it is reachable again.
func (f *Forwarder) reportReachability(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err != nil && !f.lost:
		f.config.Reporter.Report(reporter.OwnerUnreachable, reporter.Fields{"error": err.Error()})
	case err == nil && f.lost:
		f.config.Reporter.Report(reporter.OwnerReachable, reporter.Fields{"address": f.connAddress})
	}
	f.lost = err != nil
}
