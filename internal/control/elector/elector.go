// Package elector competes for the ownership of a cell by a lease in the
// platform's key-value service, and knows until when this process surely holds
// it. Ownership by lease only decides who should act; that two owners never
// both decide is the journal's doing.
package elector

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/messenger"
)

// Lengths.
const (
	DefaultLease = 3 * time.Second
	retryPause   = 100 * time.Millisecond
	// watchWait bounds how long a watch that has gone silent, or is told nothing any
	// more, leaves this process to believe in an owner that has gone.
	watchWait   = 900 * time.Millisecond
	renewShare  = 6 // renewals in one lease
	outageShare = 3 // a third of the lease without a renewal counts as an outage
	// patienceCalls is how many calls another process may need, as long as they take at
	// present, to learn of a vacancy and to take the cell.
	patienceCalls = 6
)

// Config holds the settings of an Elector.
type Config struct {
	Cell    string
	EntryID string
	Address string        // RPC address of this process
	Lease   time.Duration // 0: DefaultLease
	// ReplaceOwn lets this process replace a record that an earlier life of it left
	// behind, without waiting for the lease. What an owner does must then be safe
	// also while its lease stands, by the epoch alone.
	ReplaceOwn bool
	// Patience is how long this process leaves a vacant cell to others at least; longer
	// while the store is slow, up to the lease.
	Patience time.Duration
	Now      func() time.Time
	// The calls of keeper.Keeper that elections use.
	FindRecords    func(ctx context.Context, o keeper.ListOptions) (keeper.ListResult, error)
	GetRecord      func(ctx context.Context, key string) (keeper.Record, error)
	CompareAndSwap func(ctx context.Context, o keeper.SwapOptions) (int64, error)
	GrantLease     func(ctx context.Context, ttl time.Duration) (keeper.Lease, error)
	KeepAlive      func(ctx context.Context, lease int64) error
	RevokeLease    func(ctx context.Context, lease int64) error
	Watch          func(ctx context.Context, o keeper.WatchOptions) (keeper.WatchResult, error)
}

// FromKeeper sets the calls of c to those of k.
func FromKeeper(c Config, k *keeper.Keeper) Config {
	c.FindRecords, c.GetRecord, c.CompareAndSwap, c.Watch = k.FindRecords, k.GetRecord, k.CompareAndSwap, k.Watch
	c.GrantLease, c.KeepAlive, c.RevokeLease = k.GrantLease, k.KeepAlive, k.RevokeLease
	return c
}

// Elector competes for one cell.
type Elector struct {
	config  Config
	lease   int64
	renewed atomic.Pointer[time.Time] // sent time of the last renewal that succeeded
	known   atomic.Pointer[messenger.CellOwner]
	rev     int64
	took    time.Duration // by the last read of the owner's record that was answered
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

// Known returns the owner as last seen in the store.
func (e *Elector) Known() (messenger.CellOwner, bool) {
	o := e.known.Load()
	if o == nil || o.EntryID == "" || o.Epoch == 0 {
		return messenger.CellOwner{}, false
	}
	return *o, true
}

// Held tells whether this process surely holds the ownership now.
//
// The time counts from before the renewal was sent, while the store counts from
// when it received it, so this side always ends first. A process that was
// paused finds the time gone when it wakes. The wall clock is compared as well,
// since the monotonic clock stands still while a whole VM is suspended.
func (e *Elector) Held() bool { return e.sinceRenewal() < e.config.Lease }

// Strained tells that the lease could not be renewed for so long that the store
// may be away.
func (e *Elector) Strained() bool { return e.sinceRenewal() > e.config.Lease/outageShare }

func (e *Elector) sinceRenewal() time.Duration {
	at := e.renewed.Load()
	if at == nil {
		return 1 << 62
	}
	now := e.config.Now()
	return max(now.Sub(*at), now.Round(0).Sub(at.Round(0)))
}

// Acquire waits until this process holds the ownership. The owner's record
// carries no epoch until Publish.
func (e *Elector) Acquire(ctx context.Context) error {
	for wait := e.config.Patience > 0; ; {
		if wait {
			e.awaitVacancy(ctx)
			if err := pauser.Pause(ctx, e.patience()); err != nil {
				return err
			}
		}
		taken, err := e.try(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil && !taken {
			return nil
		}
		wait = taken || e.config.Patience > 0
		if err != nil {
			_ = pauser.Pause(ctx, retryPause)
		}
	}
}

// patience is how long this process leaves a vacant cell to others now.
func (e *Elector) patience() time.Duration {
	if e.config.Patience <= 0 {
		return 0
	}
	return max(e.config.Patience, min(patienceCalls*e.took, e.config.Lease))
}

// try makes one attempt; taken means that another process holds the ownership.
func (e *Elector) try(ctx context.Context) (taken bool, err error) {
	record, err := e.config.GetRecord(ctx, e.key())
	switch {
	case keeper.IsErrKeyNotExist(err):
		record = keeper.Record{}
	case err != nil:
		return false, err
	case !e.left(record):
		e.learn(record)
		return true, nil
	}
	e.known.Store(nil)
	sent := e.config.Now()
	lease, err := e.config.GrantLease(ctx, e.config.Lease)
	if err != nil {
		return false, err
	}
	value, err := e.record(0)
	if err != nil {
		return false, err
	}
	rev, err := e.config.CompareAndSwap(ctx, keeper.SwapOptions{Key: e.key(), Value: value, ExpectRevision: record.Revision, Lease: lease.ID})
	if keeper.IsErrOutcomeUnknown(err) { // settle a lost answer by reading back
		record, readErr := e.config.GetRecord(ctx, e.key())
		if readErr == nil && record.Lease == lease.ID {
			rev, err = record.Revision, nil
		}
	}
	if err != nil {
		// If it took effect unseen, the record goes with the lease.
		_ = e.config.RevokeLease(ctx, lease.ID)
		return keeper.IsErrConflict(err), ignoreConflict(err)
	}
	e.lease, e.rev = lease.ID, rev
	e.renewed.Store(&sent)
	return false, nil
}

// left tells whether a record was left behind by an earlier life of this process.
//
// All processes may be killed at once and be back within half a second; without this
// nobody owns the cell until the dead owner's lease has run out, and callers' work
// stands still for up to two seconds. There is one process of an entry at an address,
// so the earlier one has ended.
func (e *Elector) left(record keeper.Record) bool {
	var o messenger.CellOwner
	if !e.config.ReplaceOwn || json.Unmarshal(record.Value, &o) != nil {
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

func (e *Elector) record(epoch int64) ([]byte, error) {
	value, err := json.Marshal(messenger.CellOwner{
		Cell: e.config.Cell, Epoch: epoch, EntryID: e.config.EntryID, Address: e.config.Address,
	})
	if err != nil {
		return nil, fmt.Errorf("encode owner of cell %s: %w", e.config.Cell, err)
	}
	return value, nil
}

func (e *Elector) learn(record keeper.Record) {
	var o messenger.CellOwner
	if json.Unmarshal(record.Value, &o) == nil {
		e.known.Store(&o)
	}
}

// awaitVacancy returns when the owner's record is gone, or is one of an earlier life of this
// process.
func (e *Elector) awaitVacancy(ctx context.Context) {
	for ctx.Err() == nil {
		sent := e.config.Now()
		record, revision, err := e.find(ctx)
		if err == nil {
			e.took = e.config.Now().Sub(sent)
			if record.Revision == 0 || e.left(record) {
				e.known.Store(nil)
				return
			}
			e.learn(record)
			gone, watchErr := e.follow(ctx, revision)
			if gone {
				e.known.Store(nil)
				return
			}
			err = watchErr
		}
		if err != nil {
			_ = pauser.Pause(ctx, retryPause)
		}
	}
}

// find reads the owner's record, of revision 0 if there is none, and the store's revision. A
// watch has to begin there: the store forgets the one at which a long ownership began.
func (e *Elector) find(ctx context.Context) (keeper.Record, int64, error) {
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

// follow watches the owner's record until it is gone or a watch tells nothing.
func (e *Elector) follow(ctx context.Context, after int64) (gone bool, err error) {
	for {
		seen, err := e.config.Watch(ctx, keeper.WatchOptions{Prefix: e.key(), After: after, Wait: watchWait})
		if err != nil || len(seen.Changes) == 0 {
			return false, err
		}
		after = max(after, seen.Revision)
		for _, c := range seen.Changes {
			if c.Deleted {
				return true, nil
			}
			e.learn(c.Record)
		}
	}
}

// Publish writes the epoch into the owner's record, so that others find the
// new owner.
func (e *Elector) Publish(ctx context.Context, epoch int64) error {
	value, err := e.record(epoch)
	if err != nil {
		return err
	}
	for {
		rev, err := e.config.CompareAndSwap(ctx, keeper.SwapOptions{Key: e.key(), Value: value, ExpectRevision: e.rev, Lease: e.lease})
		if err == nil {
			e.rev = rev
			break
		}
		record, readErr := e.config.GetRecord(ctx, e.key())
		if readErr == nil && record.Lease == e.lease && record.Revision != e.rev {
			e.rev = record.Revision // the answer was lost after the effect
			break
		}
		if keeper.IsErrConflict(err) || keeper.IsErrLeaseNotExist(err) || !e.Held() {
			return fmt.Errorf("publish owner of cell %s: %w", e.config.Cell, err)
		}
		if err := pauser.Pause(ctx, retryPause); err != nil {
			return err
		}
	}
	e.known.Store(&messenger.CellOwner{Cell: e.config.Cell, Epoch: epoch, EntryID: e.config.EntryID, Address: e.config.Address})
	return nil
}

// Keep renews the lease until it has ended or ctx ends.
func (e *Elector) Keep(ctx context.Context) error {
	for {
		if err := pauser.Pause(ctx, e.config.Lease/renewShare); err != nil {
			return err
		}
		sent := e.config.Now()
		err := e.config.KeepAlive(ctx, e.lease)
		if err == nil {
			e.renewed.Store(&sent)
			continue
		}
		if keeper.IsErrLeaseNotExist(err) {
			e.renewed.Store(nil)
			e.known.Store(nil)
			return err
		}
	}
}

// Fence returns what a transaction of this owner must expect, so that it fails
// once the ownership has ended. It is valid after Publish.
func (e *Elector) Fence() keeper.Expectation {
	return keeper.Expectation{Key: e.key(), Revision: e.rev}
}

// Release gives the ownership up.
func (e *Elector) Release(ctx context.Context) error {
	e.renewed.Store(nil)
	if err := e.config.RevokeLease(ctx, e.lease); err != nil {
		return fmt.Errorf("release cell %s: %w", e.config.Cell, err)
	}
	return nil
}
