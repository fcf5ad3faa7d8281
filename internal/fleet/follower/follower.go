// Package follower keeps a process at the newest fleet record that it can learn
// of: by a watch of the store, and from its peers.
// Versions only rise.
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
	watchWait    = 900 * time.Millisecond // bounds how long a watch that went silent is believed in
	firstPause   = 50 * time.Millisecond
	longestPause = time.Second
	peerInterval = 500 * time.Millisecond
	peerTimeout  = 2 * time.Second
)

// Sources of a record, as they stand in events.
const (
	fromStore = "store"
	fromPeer  = "peer"
)

// keptTexts is the number of earlier versions whose text is remembered.
const keptTexts = 32

// Config holds the settings of a Follower.
type Config struct {
	Keeper   *keeper.Keeper // nil: the process learns from peers only
	Reporter *reporter.Reporter
	// FetchFromPeer returns the record of another process if that is above a
	// version, else an empty reply. It is called about twice a second and should
	// make no call when no peer is known to be ahead. It may be nil.
	FetchFromPeer func(ctx context.Context, above int64) (messenger.FleetReply, error)
	// Changed, if set, is told each version taken, in rising order. It must
	// not block.
	Changed func(f *describer.Fleet)
	Now     func() time.Time
}

// Follower holds the newest record known. It is safe for concurrent use.
type Follower struct {
	config  Config
	current atomic.Pointer[state]

	mu         sync.Mutex // guards what follows and writes of current
	revision   int64      // of the store, up to which all changes were seen
	known      bool       // the store was read at least once
	readAt     time.Time  // when the last read of the store that was answered was sent
	unreadable int64      // version of the record in the store, if it could not be read
	judgedAt   int64      // the store's revision of the record by which that was told
	texts      map[int64]string
}

// state is an immutable snapshot.
type state struct {
	fleet *describer.Fleet
	reply messenger.FleetReply
	meta  recorder.Record
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
	f.current.Store(&state{fleet: describer.New(describer.Config{})})
	return f
}

// Known tells whether the fleet is known: a record is held, or the store was read
// and has none.
func (f *Follower) Known() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known || f.current.Load().fleet.Version() > 0
}

// Fleet returns the fleet in force, never nil; its version is 0 before the
// first record.
func (f *Follower) Fleet() *describer.Fleet { return f.current.Load().fleet }

// Version returns the version in force.
func (f *Follower) Version() int64 { return f.Fleet().Version() }

// Record returns the record in force in its stored form, for peers.
func (f *Follower) Record() messenger.FleetReply { return f.current.Load().reply }

// Stored returns the record in force, decoded.
func (f *Follower) Stored() recorder.Record { return f.current.Load().meta }

// FindText returns the text of a recent version.
func (f *Follower) FindText(version int64) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	text, ok := f.texts[version]
	return text, ok
}

// Offer takes a record from a peer, or one just accepted by the store, if its
// version is higher than the one held.
func (f *Follower) Offer(r messenger.FleetReply) error {
	if len(r.Record) == 0 || r.Version <= f.Version() {
		return nil
	}
	return f.take(r.Record, fromPeer, 0)
}

// take makes value the record in force if its version is higher.
//
// Records arrive by several ways at once: watch, peers, refresh. An old one can
// come late, and taking it would put a zone back in that operators have taken
// out. Comparing versions under the lock keeps every process from going back,
// and versions are given by compare-and-swap, so that each names one content.
func (f *Follower) take(value []byte, source string, revision int64) error {
	record, fleet, err := recorder.Decode(value)
	f.mu.Lock()
	defer f.mu.Unlock()
	if source == fromStore && revision > f.judgedAt {
		f.judgedAt, f.unreadable = revision, 0
	}
	if err != nil {
		return f.refuse(err, source, revision)
	}
	if held := f.Version(); record.Version <= held {
		if source == fromStore && record.Version < held {
			f.config.Reporter.Report(reporter.FleetWentBack, reporter.Fields{"held": held, "stored": record.Version})
		}
		return nil
	}
	f.texts[record.Version] = record.Text
	delete(f.texts, record.Version-keptTexts)
	f.current.Store(&state{
		fleet: fleet, meta: record,
		reply: messenger.FleetReply{Version: record.Version, Record: value},
	})
	f.config.Reporter.Report(reporter.FleetVersionTaken, reporter.Fields{"version": record.Version, "change-id": record.ChangeID, "source": source})
	if f.config.Changed != nil {
		f.config.Changed(fleet)
	}
	return nil
}

// refuse notes a record that can't be read. It may be one that a newer program
// wrote: the fleet held stays in force, but is known not to be the newest.
func (f *Follower) refuse(err error, source string, revision int64) error {
	var bad recorder.ErrUnreadable
	if errors.As(err, &bad) && source == fromStore && revision >= f.judgedAt {
		f.unreadable = max(bad.Version, f.Version()+1)
	}
	f.config.Reporter.Report(reporter.FleetUnreadable, reporter.Fields{"version": bad.Version, "source": source, "error": err.Error()})
	return err
}

// Age is how long ago the fleet held was surely the newest. It is beyond all bounds while the
// store has one that can't be read.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.readAt.IsZero() || f.unreadable > f.Version() {
		return math.MaxInt64
	}
	return f.config.Now().Sub(f.readAt)
}

// Refresh makes one call to the store, and returns a fleet that was the newest
// at some moment after the call of Refresh began.
func (f *Follower) Refresh(ctx context.Context) (*describer.Fleet, error) {
	if f.config.Keeper == nil {
		return nil, errors.New("refresh fleet: the process has no store")
	}
	f.mu.Lock()
	after, known := f.revision, f.known
	f.mu.Unlock()
	var err error
	if known {
		err = f.watch(ctx, after, 0)
	} else {
		err = f.read(ctx)
	}
	if err != nil {
		return nil, fmt.Errorf("refresh fleet: %w", err)
	}
	f.mu.Lock()
	unreadable := f.unreadable
	f.mu.Unlock()
	// Without this a start could obey a fleet that is known to be outdated: the
	// record that could not be read may take a zone out.
	if unreadable > f.Version() {
		return nil, recorder.ErrUnreadable{Version: unreadable, Cause: errors.New("a newer record is stored that this program can't read")}
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
	if found.Revision < f.revision { // the service counts anew
		f.judgedAt = 0
	}
	f.mu.Unlock()
	for _, r := range found.Records {
		if r.Key == recorder.Key {
			// A record that can't be read is noted by take; the revision moves on.
			_ = f.take(r.Value, fromStore, r.Revision)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// Not the highest seen: after a loss of its state the service counts anew.
	f.known, f.revision, f.readAt = true, found.Revision, sentAt
	return nil
}

// watch takes the changes after a revision.
func (f *Follower) watch(ctx context.Context, after int64, wait time.Duration) error {
	sentAt := f.config.Now()
	result, err := f.config.Keeper.Watch(ctx, keeper.WatchOptions{Prefix: recorder.Key, After: after, Wait: wait})
	if keeper.IsErrHistoryNotExist(err) {
		// Every watch from this revision fails from now on, so the text held would
		// stay in force for good; what the record holds is the newest.
		return f.read(ctx)
	}
	if err != nil {
		return err
	}
	if result.Revision < after {
		// The service lost its state and counts anew; read what it holds.
		return f.read(ctx)
	}
	for _, c := range result.Changes {
		switch {
		case c.Record.Key != recorder.Key:
		case c.Deleted:
			f.config.Reporter.Report(reporter.FleetRecordDeleted, reporter.Fields{"held": f.Version()})
		default:
			_ = f.take(c.Record.Value, fromStore, c.Record.Revision)
		}
	}
	f.seen(result.Revision, sentAt)
	return nil
}

// seen notes that all changes up to a revision were taken, by a read sent at sentAt.
func (f *Follower) seen(revision int64, sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision, f.readAt = max(f.revision, revision), sentAt
}
