// Package journaler keeps a cell's journal in the platform's key-value service:
// entries with increasing sequence numbers, each created only if its key is absent,
// and snapshots that shorten recovery. Only the first owner to create an entry gets
// its sequence number; this fences off an earlier owner of the cell.
package journaler

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/store/keeper"
)

// Retry intervals and size limits.
const (
	minRetryInterval     = 20 * time.Millisecond
	maxRetryInterval     = 500 * time.Millisecond
	MaxEntryBytes        = 768 << 10 // total size of the records of one entry
	chunkBytes           = 768 << 10 // stays below the store's size limit when encoded as base64 in JSON
	maxTries             = 20        // of opening the journal, and of setting the snapshot head
	defaultSnapshotEvery = 500
)

// ErrFenced is returned when the sequence number of an append is taken by another
// owner's entry: this process does not own the cell any more.
type ErrFenced struct {
	Cell string
	Seq  int64
}

func (e ErrFenced) Error() string {
	return fmt.Sprintf("journal of cell %s: entry %d belongs to another owner", e.Cell, e.Seq)
}

// IsErrFenced reports whether err is, or wraps, an ErrFenced.
func IsErrFenced(err error) bool { var e ErrFenced; return errors.As(err, &e) }

// Config holds the settings of a Journaler.
type Config struct {
	Cell    string
	EntryID string
	// Store calls; FromKeeper sets them.
	GetRecord      func(ctx context.Context, key string) (keeper.Record, error)
	FindRecords    func(ctx context.Context, o keeper.ListOptions) (keeper.ListResult, error)
	CompareAndSwap func(ctx context.Context, o keeper.SwapOptions) (int64, error)
	DeleteRecord   func(ctx context.Context, key string, revision int64) error
	// NewID returns an id that is unique among the journal entries of all processes.
	NewID func() string
	// Pause waits between retries and deletions; nil: pauser.Pause.
	Pause         func(ctx context.Context, d time.Duration) error
	SnapshotEvery int           // entries between snapshots; 0: 500
	DeletePause   time.Duration // between deletions of old entries, to limit the load on the store
}

// Entry is a group of records that are journalled together.
type Entry struct {
	Epoch   int64             `json:"epoch"`
	Seq     int64             `json:"seq"`
	ID      string            `json:"id"`
	EntryID string            `json:"entry-id"`
	Opens   bool              `json:"opens,omitempty"` // first entry of its epoch
	Records []json.RawMessage `json:"records,omitempty"`
}

// Recovered holds the data from which a new owner rebuilds its state.
type Recovered struct {
	Snapshot []byte // nil: none
	Entries  []Entry
	Epoch    int64 // of the new owner; the last of Entries is its own opening entry
}

// Journaler appends the entries of one epoch. Only one goroutine may use it, except
// that Snapshot may run concurrently with Append.
type Journaler struct {
	config        Config
	epoch         int64
	nextSeq       int64
	head          head
	headRev       int64
	unsnapshotted chan entryRef // entries that no snapshot covers yet
	// leftoversDeleted is true once the store was searched for entries and chunks of
	// earlier owners and failed snapshots, and these were deleted.
	leftoversDeleted bool
}

// entryRef identifies an entry. Once a snapshot covers it, it is deleted unless it is an
// opening entry.
type entryRef struct {
	seq      int64
	revision int64
	opens    bool
}

// New returns a Journaler. Open must be called before any other method.
func New(c Config) *Journaler {
	if c.SnapshotEvery <= 0 {
		c.SnapshotEvery = defaultSnapshotEvery
	}
	if c.Pause == nil {
		c.Pause = pauser.Pause
	}
	return &Journaler{config: c, unsnapshotted: make(chan entryRef, 1<<16)}
}

// FromKeeper returns c with its store calls set to those of k.
func FromKeeper(c Config, k *keeper.Keeper) Config {
	c.GetRecord, c.FindRecords = k.GetRecord, k.FindRecords
	c.CompareAndSwap, c.DeleteRecord = k.CompareAndSwap, k.DeleteRecord
	return c
}

// Epoch returns the epoch opened by Open.
func (j *Journaler) Epoch() int64 { return j.epoch }

// NextSeq returns the sequence number of the next append.
func (j *Journaler) NextSeq() int64 { return j.nextSeq }

func (j *Journaler) entryKey(seq int64) string {
	return fmt.Sprintf("cells/%s/journal/%020d", j.config.Cell, seq)
}

// Append journals records at the next sequence number. It returns once the outcome is
// known: nil, ErrFenced, or the error of ctx, after which the records may or may not be
// journalled.
func (j *Journaler) Append(ctx context.Context, records []json.RawMessage) error {
	e := Entry{Epoch: j.epoch, Seq: j.nextSeq, ID: j.config.NewID(), EntryID: j.config.EntryID, Records: records}
	revision, existing, err := j.createEntry(ctx, e)
	if err != nil {
		return err
	}
	if existing != nil {
		return ErrFenced{Cell: j.config.Cell, Seq: e.Seq}
	}
	j.advance(e, revision)
	return nil
}

func (j *Journaler) advance(e Entry, revision int64) {
	j.nextSeq = e.Seq + 1
	select {
	case j.unsnapshotted <- entryRef{e.Seq, revision, e.Opens}:
	default: // stays in the store until the next owner deletes leftovers
	}
}

// createEntry writes an entry if its sequence number is free. If the number is taken,
// it returns the existing value.
//
// A reply lost after the write took effect looks like an outage, and the retry then
// conflicts with the entry that was just written. Every entry contains a unique id, so
// equal bytes prove that the existing entry is the one written here.
func (j *Journaler) createEntry(ctx context.Context, e Entry) (revision int64, existing []byte, err error) {
	value, err := json.Marshal(e)
	if err != nil {
		return 0, nil, fmt.Errorf("encode journal entry %d: %w", e.Seq, err)
	}
	key := j.entryKey(e.Seq)
	for wait := minRetryInterval; ; wait = min(2*wait, maxRetryInterval) {
		revision, err = j.config.CompareAndSwap(ctx, keeper.SwapOptions{Key: key, Value: value})
		var conflict keeper.ErrConflict
		switch {
		case err == nil:
			return revision, nil, nil
		case errors.As(err, &conflict):
			current, readErr := j.conflictingRecord(ctx, conflict)
			if readErr == nil {
				if bytes.Equal(current.Value, value) {
					return current.Revision, nil, nil
				}
				return 0, current.Value, nil
			}
			if keeper.IsErrKeyNotExist(readErr) {
				// The entry was created by another owner and deleted since. Only a
				// successor deletes entries at or above this sequence number.
				return 0, nil, ErrFenced{Cell: j.config.Cell, Seq: e.Seq}
			}
		}
		if err := j.config.Pause(ctx, wait); err != nil {
			return 0, nil, fmt.Errorf("append entry %d of cell %s: %w", e.Seq, j.config.Cell, err)
		}
	}
}

// conflictingRecord returns the record that caused a conflict, from the store if the
// error does not contain it.
func (j *Journaler) conflictingRecord(ctx context.Context, c keeper.ErrConflict) (keeper.Record, error) {
	if len(c.Current.Value) > 0 {
		return c.Current, nil
	}
	return j.config.GetRecord(ctx, c.Key)
}
