// Package follower keeps the newest fleet record that a process can get, by a watch
// of the store and from its peers. Its version never decreases.
package follower

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/fleet/recorder"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/messenger"
)

// Times of the watch loop.
const (
	watchWait        = 900 * time.Millisecond // limits how long a watch on a stalled connection goes unnoticed
	minRetryDelay    = 50 * time.Millisecond
	maxRetryDelay    = time.Second
	peerPollInterval = 500 * time.Millisecond
	peerTimeout      = 2 * time.Second
)

// Sources of a record, as logged in events.
const (
	fromStore = "store"
	fromPeer  = "peer"
)

// maxKeptTexts is the number of recent versions whose text is kept.
const maxKeptTexts = 32

// Config holds the settings of a Follower.
type Config struct {
	Keeper   *keeper.Keeper // nil: the process gets records from peers only
	Reporter *reporter.Reporter
	// FetchFromPeer returns the record of another process if its version is higher
	// than the given one, else an empty reply. It is called about twice a second and
	// should make no call when no peer is known to have a higher version. It may be
	// nil.
	FetchFromPeer func(ctx context.Context, above int64) (messenger.FleetReply, error)
	// Changed, if set, is called with each applied version in increasing order. It
	// must not block.
	Changed func(f *describer.Fleet)
	Now     func() time.Time
}

// Follower holds the newest known fleet record. It is safe for concurrent use.
type Follower struct {
	config  Config
	current atomic.Pointer[snapshot]

	mu                sync.Mutex // guards the fields below and writes to current
	revision          int64      // store revision up to which all changes were applied
	storeRead         bool       // the store was read at least once
	readAt            time.Time  // time at which the last successful read of the store was sent
	unreadableVersion int64      // version of the stored record, if it could not be decoded
	checkedRevision   int64      // store revision of the record that determined unreadableVersion
	texts             map[int64]string
}

// snapshot is the immutable current state.
type snapshot struct {
	fleet  *describer.Fleet
	reply  messenger.FleetReply
	record recorder.Record
}

// New returns a Follower that holds the empty fleet of version 0.
func New(c Config) *Follower {
	if c.Reporter == nil {
		c.Reporter = reporter.Discard()
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	f := &Follower{config: c, texts: make(map[int64]string)}
	f.current.Store(&snapshot{fleet: describer.New(describer.Config{})})
	return f
}

// Known reports whether the fleet is known: the follower has a record, or it has
// read the store and found none.
func (f *Follower) Known() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeRead || f.current.Load().fleet.Version() > 0
}

// Fleet returns the current fleet, never nil. Its version is 0 before the first
// record.
func (f *Follower) Fleet() *describer.Fleet { return f.current.Load().fleet }

// Version returns the version of the current fleet.
func (f *Follower) Version() int64 { return f.Fleet().Version() }

// PeerReply returns the current record in its stored encoding, for peers.
func (f *Follower) PeerReply() messenger.FleetReply { return f.current.Load().reply }

// CurrentRecord returns the current record, decoded.
func (f *Follower) CurrentRecord() recorder.Record { return f.current.Load().record }

// FindText returns the fleet text of a recent version.
func (f *Follower) FindText(version int64) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	text, ok := f.texts[version]
	return text, ok
}

// Offer applies a record from a peer, or one just accepted by the store, if its
// version is higher than the current one.
func (f *Follower) Offer(r messenger.FleetReply) error {
	if len(r.Record) == 0 || r.Version <= f.Version() {
		return nil
	}
	return f.apply(r.Record, fromPeer, 0)
}

// apply makes value the current record if its version is higher.
//
// Records arrive concurrently from the watch, from peers and from Refresh. An old
// record can arrive late, and applying it would take a zone back in that operators
// have taken out. Comparing versions under the lock prevents a return to an older
// version. Versions are assigned by compare-and-swap, so each identifies one content.
func (f *Follower) apply(value []byte, source string, revision int64) error {
	record, fleet, err := recorder.Decode(value)
	f.mu.Lock()
	defer f.mu.Unlock()
	if source == fromStore && revision > f.checkedRevision {
		f.checkedRevision, f.unreadableVersion = revision, 0
	}
	if err != nil {
		return f.recordUnreadable(err, source, revision)
	}
	if current := f.Version(); record.Version <= current {
		if source == fromStore && record.Version < current {
			f.config.Reporter.Report(reporter.FleetVersionDecreased, reporter.Fields{"held": current, "stored": record.Version})
		}
		return nil
	}
	f.texts[record.Version] = record.Text
	delete(f.texts, record.Version-maxKeptTexts)
	f.current.Store(&snapshot{
		fleet: fleet, record: record,
		reply: messenger.FleetReply{Version: record.Version, Record: value},
	})
	f.config.Reporter.Report(reporter.FleetVersionApplied, reporter.Fields{"version": record.Version, "change-id": record.ChangeID, "source": source})
	if f.config.Changed != nil {
		f.config.Changed(fleet)
	}
	return nil
}

// recordUnreadable records that a record could not be decoded. A newer program
// version may have written it: the current fleet stays in use, but is known not to be
// the newest.
func (f *Follower) recordUnreadable(err error, source string, revision int64) error {
	var unreadable recorder.ErrUnreadable
	if errors.As(err, &unreadable) && source == fromStore && revision >= f.checkedRevision {
		f.unreadableVersion = max(unreadable.Version, f.Version()+1)
	}
	f.config.Reporter.Report(reporter.FleetUnreadable, reporter.Fields{"version": unreadable.Version, "source": source, "error": err.Error()})
	return err
}

// Age returns the time since the current fleet was last known to be the newest. It is
// the maximum duration before the first read of the store, and while the store holds a
// record that can't be decoded.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.readAt.IsZero() || f.unreadableVersion > f.Version() {
		return math.MaxInt64
	}
	return f.config.Now().Sub(f.readAt)
}

// Refresh makes one call to the store and returns a fleet that was the newest at
// some time after Refresh was called.
func (f *Follower) Refresh(ctx context.Context) (*describer.Fleet, error) {
	if f.config.Keeper == nil {
		return nil, errors.New("refresh fleet: the process has no store")
	}
	f.mu.Lock()
	after, storeRead := f.revision, f.storeRead
	f.mu.Unlock()
	var err error
	if storeRead {
		err = f.watch(ctx, after, 0)
	} else {
		err = f.read(ctx)
	}
	if err != nil {
		return nil, fmt.Errorf("refresh fleet: %w", err)
	}
	f.mu.Lock()
	unreadableVersion := f.unreadableVersion
	f.mu.Unlock()
	// Otherwise a task could be started according to a fleet that is known to be
	// outdated: the record that can't be decoded may take a zone out.
	if unreadableVersion > f.Version() {
		return nil, recorder.ErrUnreadable{Version: unreadableVersion, Cause: errors.New("the store holds a newer record that this program can't decode")}
	}
	return f.Fleet(), nil
}

// read reads the record and the store's revision in one call.
func (f *Follower) read(ctx context.Context) error {
	sentAt := f.config.Now()
	found, err := f.config.Keeper.FindRecords(ctx, keeper.ListOptions{Prefix: recorder.Key, Limit: 1})
	if err != nil {
		return err
	}
	f.mu.Lock()
	if found.Revision < f.revision { // the store has lost its state and restarted its revisions
		f.checkedRevision = 0
	}
	f.mu.Unlock()
	for _, r := range found.Records {
		if r.Key == recorder.Key {
			// apply logs a record that can't be decoded; the revision advances anyway.
			_ = f.apply(r.Value, fromStore, r.Revision)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// Not the maximum: a store that has lost its state restarts its revisions.
	f.storeRead, f.revision, f.readAt = true, found.Revision, sentAt
	return nil
}

// watch applies the changes after a revision.
func (f *Follower) watch(ctx context.Context, after int64, wait time.Duration) error {
	sentAt := f.config.Now()
	result, err := f.config.Keeper.Watch(ctx, keeper.WatchOptions{Prefix: recorder.Key, After: after, Wait: wait})
	if keeper.IsErrHistoryNotExist(err) {
		// Every later watch from this revision would fail too and the current text
		// would never be replaced. The stored record is the newest.
		return f.read(ctx)
	}
	if err != nil {
		return err
	}
	if result.Revision < after {
		// The store has lost its state and restarted its revisions; read the record.
		return f.read(ctx)
	}
	for _, c := range result.Changes {
		switch {
		case c.Record.Key != recorder.Key:
		case c.Deleted:
			f.config.Reporter.Report(reporter.FleetRecordDeleted, reporter.Fields{"held": f.Version()})
		default:
			_ = f.apply(c.Record.Value, fromStore, c.Record.Revision)
		}
	}
	f.markRead(result.Revision, sentAt)
	return nil
}

// markRead records that a read sent at sentAt returned all changes up to revision.
func (f *Follower) markRead(revision int64, sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision, f.readAt = max(f.revision, revision), sentAt
}
