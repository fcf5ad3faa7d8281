// Package elector acquires the ownership of a cell with a lease in the platform's
// key-value service, and tracks until when this process certainly holds it. The
// lease only selects which process should act; the journal's fencing is what
// prevents two owners from both committing decisions.
package elector

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/messenger"
)

// Durations, and fractions of the lease.
const (
	DefaultLease  = 3 * time.Second
	retryInterval = 100 * time.Millisecond
	// watchWait limits how long a watch that gets no reply, or no changes any more, can
	// delay the detection that the owner's record was deleted.
	watchWait = 900 * time.Millisecond
	// contactWatchWait is the wait while the owner answers this process. Deletions are still seen at
	// once, and an owner that stops answering ends the watch. Without it, the calls of all entries
	// that wait for nothing grow with their number and are most of what the store serves.
	contactWatchWait = 10 * time.Second
	// contactRetryInterval follows a failed read while the owner answers this process.
	contactRetryInterval = time.Second
	// contactMaxAge is how long an answer of the owner counts. Entries call it once a second.
	contactMaxAge       = 2 * time.Second
	renewalsPerLease    = 6
	overdueLeaseDivisor = 3 // no renewal for a third of the lease counts as a store outage
	// takeoverCalls is the number of store calls that another process may need to detect
	// a vacancy and acquire the cell, each as long as the last read of the owner's record.
	takeoverCalls = 6
)

// Config holds the settings of an Elector.
type Config struct {
	Cell    string
	EntryID string
	Address string        // RPC address of this process
	Lease   time.Duration // 0: DefaultLease
	// ReplaceOwnRecord lets this process replace the record of its own earlier incarnation
	// without waiting for that lease to expire. The epoch alone must then protect
	// whatever an owner does, because the earlier lease may still be valid.
	ReplaceOwnRecord bool
	// AcquireDelay is the minimum time that this process leaves a vacant cell to other
	// processes before it tries to acquire it. While the store is slow the delay is
	// longer, up to the length of the lease.
	AcquireDelay time.Duration
	Now          func() time.Time
	// Store calls; FromKeeper sets them.
	FindRecords    func(ctx context.Context, o keeper.ListOptions) (keeper.ListResult, error)
	GetRecord      func(ctx context.Context, key string) (keeper.Record, error)
	CompareAndSwap func(ctx context.Context, o keeper.SwapOptions) (int64, error)
	GrantLease     func(ctx context.Context, ttl time.Duration) (keeper.Lease, error)
	KeepAlive      func(ctx context.Context, lease int64) error
	RevokeLease    func(ctx context.Context, lease int64) error
	Watch          func(ctx context.Context, o keeper.WatchOptions) (keeper.WatchResult, error)
}

// FromKeeper returns c with its store calls set to those of k.
func FromKeeper(c Config, k *keeper.Keeper) Config {
	c.FindRecords, c.GetRecord, c.CompareAndSwap, c.Watch = k.FindRecords, k.GetRecord, k.CompareAndSwap, k.Watch
	c.GrantLease, c.KeepAlive, c.RevokeLease = k.GrantLease, k.KeepAlive, k.RevokeLease
	return c
}

// Elector competes for the ownership of one cell.
type Elector struct {
	config      Config
	lease       int64
	lastRenewal atomic.Pointer[time.Time] // when the last successful renewal was sent
	lastSeen    atomic.Pointer[messenger.CellOwner]
	revision    int64
	readLatency time.Duration // of the last successful read of the owner's record

	contactMu     sync.Mutex
	ownerAnswered time.Time          // when the owner last answered this process
	cancelWatch   context.CancelFunc // ends the watch in progress
}

// New returns an Elector.
func New(c Config) *Elector {
	if c.Lease <= 0 {
		c.Lease = DefaultLease
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Elector{config: c}
}

func (e *Elector) key() string { return fmt.Sprintf("cells/%s/owner", e.config.Cell) }

// LastSeenOwner returns the owner as last read from the store.
func (e *Elector) LastSeenOwner() (messenger.CellOwner, bool) {
	o := e.lastSeen.Load()
	if o == nil || o.EntryID == "" || o.Epoch == 0 {
		return messenger.CellOwner{}, false
	}
	return *o, true
}

// Held reports whether this process certainly holds the ownership now.
//
// The lease is counted from before the renewal was sent, whereas the store counts
// from when it received the renewal, so the lease expires here before it expires in
// the store. A process that was paused finds it expired when it resumes. The wall
// clock is compared as well, because the monotonic clock does not advance while a
// whole VM is suspended.
func (e *Elector) Held() bool { return e.sinceRenewal() < e.config.Lease }

// RenewalOverdue reports whether the lease was not renewed for so long that the store
// may be unavailable.
func (e *Elector) RenewalOverdue() bool { return e.sinceRenewal() > e.config.Lease/overdueLeaseDivisor }

func (e *Elector) sinceRenewal() time.Duration {
	at := e.lastRenewal.Load()
	if at == nil {
		return 1 << 62
	}
	now := e.config.Now()
	return max(now.Sub(*at), now.Round(0).Sub(at.Round(0)))
}

// Acquire waits until this process holds the ownership. The owner's record has no
// epoch until Publish is called.
func (e *Elector) Acquire(ctx context.Context) error {
	for awaitFirst := e.config.AcquireDelay > 0; ; {
		if awaitFirst {
			e.awaitVacancy(ctx)
			if err := pauser.Pause(ctx, e.acquireDelay()); err != nil {
				return err
			}
		}
		heldByOther, err := e.tryAcquire(ctx)
		if ctx.Err() != nil {
			if err == nil && !heldByOther {
				_ = e.Release(context.WithoutCancel(ctx)) // nobody runs the cell, and others wait for it
			}
			return ctx.Err()
		}
		if err == nil && !heldByOther {
			return nil
		}
		awaitFirst = heldByOther || e.config.AcquireDelay > 0
		if err != nil {
			_ = pauser.Pause(ctx, retryInterval)
		}
	}
}

// acquireDelay returns how long this process currently leaves a vacant cell to others.
func (e *Elector) acquireDelay() time.Duration {
	if e.config.AcquireDelay <= 0 {
		return 0
	}
	return max(e.config.AcquireDelay, min(takeoverCalls*e.readLatency, e.config.Lease))
}

// tryAcquire tries once to acquire the ownership; heldByOther means that another process
// has it.
func (e *Elector) tryAcquire(ctx context.Context) (heldByOther bool, err error) {
	record, err := e.config.GetRecord(ctx, e.key())
	switch {
	case keeper.IsErrKeyNotExist(err):
		record = keeper.Record{}
	case err != nil:
		return false, err
	case !e.isReplaceable(record):
		e.rememberOwner(record)
		return true, nil
	}
	e.lastSeen.Store(nil)
	if record, err = e.revokeFormerLease(ctx, record); err != nil {
		return false, err
	}
	sent := e.config.Now()
	lease, err := e.config.GrantLease(ctx, e.config.Lease)
	if err != nil {
		return false, err
	}
	value, err := e.encodeOwner(0)
	if err != nil {
		return false, err
	}
	rev, err := e.config.CompareAndSwap(ctx, keeper.SwapOptions{Key: e.key(), Value: value, ExpectRevision: record.Revision, Lease: lease.ID})
	if keeper.IsErrOutcomeUnknown(err) { // the reply was lost: read back to resolve the outcome
		record, readErr := e.config.GetRecord(ctx, e.key())
		if readErr == nil && record.Lease == lease.ID {
			rev, err = record.Revision, nil
		}
	}
	if err != nil {
		// If the swap took effect all the same, revoking the lease deletes the record.
		_ = e.config.RevokeLease(context.WithoutCancel(ctx), lease.ID)
		return keeper.IsErrConflict(err), ignoreConflict(err)
	}
	e.lease, e.revision = lease.ID, rev
	e.lastRenewal.Store(&sent)
	return false, nil
}

// revokeFormerLease ends the lease of a replaceable record, and returns the record that is left. A former process
// that is still alive would otherwise renew its lease, and go on as owner beside this one for longer than a lease.
func (e *Elector) revokeFormerLease(ctx context.Context, record keeper.Record) (keeper.Record, error) {
	if record.Lease == 0 {
		return record, nil
	}
	err := e.config.RevokeLease(ctx, record.Lease)
	switch {
	case err == nil:
		return keeper.Record{}, nil
	case keeper.IsErrLeaseNotExist(err):
		return record, nil
	}
	return record, fmt.Errorf("revoke lease %d of the earlier incarnation: %w", record.Lease, err)
}

// isReplaceable reports whether a record belongs to no owner, or to an earlier incarnation of this
// process. An owner writes its record under its lease; one without a lease is of another writer, and
// would stay for good.
func (e *Elector) isReplaceable(record keeper.Record) bool {
	return record.Lease == 0 || e.isOwnEarlierRecord(record)
}

// isOwnEarlierRecord reports whether a record belongs to an earlier incarnation of this
// process and may be replaced.
//
// All processes may be killed at once and restart within half a second. Without this
// the cell has no owner until the killed owner's lease expires, and callers' work stalls
// for up to two seconds. Only one process of an entry runs at an address, so the earlier
// one has ended.
func (e *Elector) isOwnEarlierRecord(record keeper.Record) bool {
	o, err := messenger.DecodeOwner(record.Value, e.config.Cell)
	if !e.config.ReplaceOwnRecord || err != nil {
		return false
	}
	return o.EntryID == e.config.EntryID && o.Address == e.config.Address
}

func ignoreConflict(err error) error {
	if keeper.IsErrConflict(err) {
		return nil
	}
	return err
}

func (e *Elector) encodeOwner(epoch int64) ([]byte, error) {
	value, err := json.Marshal(messenger.CellOwner{
		Cell: e.config.Cell, Epoch: epoch, EntryID: e.config.EntryID, Address: e.config.Address,
	})
	if err != nil {
		return nil, fmt.Errorf("encode owner of cell %s: %w", e.config.Cell, err)
	}
	return value, nil
}

func (e *Elector) rememberOwner(record keeper.Record) {
	if o, err := messenger.DecodeOwner(record.Value, e.config.Cell); err == nil {
		e.lastSeen.Store(&o)
	}
}

// LearnOwner records an owner that another process has named, unless a later one is known.
func (e *Elector) LearnOwner(o messenger.CellOwner) {
	for {
		known := e.lastSeen.Load()
		if known != nil && known.Epoch >= o.Epoch || e.lastSeen.CompareAndSwap(known, &o) {
			return
		}
	}
}

// awaitVacancy returns when the owner's record does not exist, or belongs to an earlier
// incarnation of this process.
func (e *Elector) awaitVacancy(ctx context.Context) {
	for ctx.Err() == nil {
		sent := e.config.Now()
		record, revision, err := e.findOwner(ctx)
		if err == nil {
			e.readLatency = e.config.Now().Sub(sent)
			if record.Revision == 0 || e.isReplaceable(record) {
				e.lastSeen.Store(nil)
				return
			}
			e.rememberOwner(record)
			deleted, watchErr := e.watchUntilDeleted(ctx, revision)
			if deleted {
				e.lastSeen.Store(nil)
				return
			}
			err = watchErr
		}
		if err != nil {
			e.pauseAfterFailure(ctx)
		}
	}
}

// RecordContact records whether the owner has answered a call of this process. If it has not, its
// record is read again at once.
func (e *Elector) RecordContact(answered bool) {
	e.contactMu.Lock()
	defer e.contactMu.Unlock()
	if answered {
		e.ownerAnswered = e.config.Now()
		return
	}
	e.ownerAnswered = time.Time{}
	if e.cancelWatch != nil {
		e.cancelWatch()
	}
}

// inContactLocked reports whether the owner has answered this process lately.
func (e *Elector) inContactLocked() bool {
	return !e.ownerAnswered.IsZero() && e.config.Now().Sub(e.ownerAnswered) <= contactMaxAge
}

// pauseAfterFailure pauses after a failed read of the owner's record.
func (e *Elector) pauseAfterFailure(ctx context.Context) {
	e.contactMu.Lock()
	pause := retryInterval
	if e.inContactLocked() {
		pause = contactRetryInterval
	}
	e.contactMu.Unlock()
	_ = pauser.Pause(ctx, pause)
}

// beginWatch returns the context and the wait of a watch, which ends early if the owner stops
// answering.
func (e *Elector) beginWatch(ctx context.Context) (context.Context, context.CancelFunc, time.Duration) {
	e.contactMu.Lock()
	defer e.contactMu.Unlock()
	if !e.inContactLocked() {
		e.cancelWatch = nil
		return ctx, func() {}, watchWait
	}
	watchCtx, cancel := context.WithCancel(ctx)
	e.cancelWatch = cancel
	return watchCtx, cancel, contactWatchWait
}

// findOwner reads the owner's record, with revision 0 if there is none, and the store's
// current revision. A watch has to start at the current revision and not at the record's:
// the store may already have discarded the revision at which a long ownership began.
func (e *Elector) findOwner(ctx context.Context) (keeper.Record, int64, error) {
	found, err := e.config.FindRecords(ctx, keeper.ListOptions{Prefix: e.key(), Limit: 1})
	if err != nil {
		return keeper.Record{}, 0, err
	}
	for _, r := range found.Records {
		if r.Key == e.key() {
			return r, found.Revision, nil
		}
	}
	return keeper.Record{}, found.Revision, nil
}

// watchUntilDeleted watches the owner's record until it is deleted, or until a watch fails
// or returns no changes.
func (e *Elector) watchUntilDeleted(ctx context.Context, after int64) (deleted bool, err error) {
	for {
		watchCtx, cancel, wait := e.beginWatch(ctx)
		seen, err := e.config.Watch(watchCtx, keeper.WatchOptions{Prefix: e.key(), After: after, Wait: wait})
		interrupted := watchCtx.Err() != nil
		cancel()
		if interrupted {
			return false, nil // the owner does not answer: its record is read next
		}
		if err != nil || len(seen.Changes) == 0 {
			return false, err
		}
		after = max(after, seen.Revision)
		for _, c := range seen.Changes {
			if c.Deleted {
				return true, nil
			}
			e.rememberOwner(c.Record)
		}
	}
}

// Publish writes the epoch into the owner's record, so that other processes find the
// new owner.
func (e *Elector) Publish(ctx context.Context, epoch int64) error {
	value, err := e.encodeOwner(epoch)
	if err != nil {
		return err
	}
	for {
		rev, err := e.config.CompareAndSwap(ctx, keeper.SwapOptions{Key: e.key(), Value: value, ExpectRevision: e.revision, Lease: e.lease})
		if err == nil {
			e.revision = rev
			break
		}
		record, readErr := e.config.GetRecord(ctx, e.key())
		if readErr == nil && record.Lease == e.lease && record.Revision != e.revision {
			e.revision = record.Revision // the swap took effect, only its reply was lost
			break
		}
		if keeper.IsErrConflict(err) || keeper.IsErrLeaseNotExist(err) || !e.Held() {
			return fmt.Errorf("publish owner of cell %s: %w", e.config.Cell, err)
		}
		if err := pauser.Pause(ctx, retryInterval); err != nil {
			return err
		}
	}
	e.lastSeen.Store(&messenger.CellOwner{Cell: e.config.Cell, Epoch: epoch, EntryID: e.config.EntryID, Address: e.config.Address})
	return nil
}

// RenewLease renews the lease until the lease has expired or ctx ends.
func (e *Elector) RenewLease(ctx context.Context) error {
	for {
		if err := pauser.Pause(ctx, e.config.Lease/renewalsPerLease); err != nil {
			return err
		}
		sent := e.config.Now()
		err := e.config.KeepAlive(ctx, e.lease)
		if err == nil {
			e.lastRenewal.Store(&sent)
			continue
		}
		if keeper.IsErrLeaseNotExist(err) {
			e.lastRenewal.Store(nil)
			e.lastSeen.Store(nil)
			return err
		}
	}
}

// Fence returns the condition that makes a transaction of this owner fail once the
// ownership has ended. It is valid after Publish.
func (e *Elector) Fence() keeper.Expectation {
	return keeper.Expectation{Key: e.key(), Revision: e.revision}
}

// Release ends the ownership by revoking the lease.
func (e *Elector) Release(ctx context.Context) error {
	e.lastRenewal.Store(nil)
	if err := e.config.RevokeLease(ctx, e.lease); err != nil {
		return fmt.Errorf("release cell %s: %w", e.config.Cell, err)
	}
	return nil
}
