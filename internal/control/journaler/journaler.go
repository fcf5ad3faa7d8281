// Package journaler keeps a cell's journal in the platform's key-value service:
// entries that are created only if absent, with sequence numbers that only
// rise, and snapshots that shorten recovery. Whoever creates an entry first
// wins its sequence number, which is what keeps two owners of a cell apart.
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

// Lengths and sizes.
const (
	firstRetry        = 20 * time.Millisecond
	lastRetry         = 500 * time.Millisecond
	MaxEntryBytes     = 768 << 10 // of the records of one entry
	chunkBytes        = 768 << 10 // base64 in JSON stays within the store's limit
	maxOpenTries      = 20
	defaultSnapshotAt = 500
)

// ErrFenced is returned when another owner's entry stands at the sequence
// number of an append: this process does not own the cell any more.
type ErrFenced struct {
	Cell string
	Seq  int64
}

func (e ErrFenced) Error() string {
	return fmt.Sprintf("journal of cell %s: entry %d belongs to another owner", e.Cell, e.Seq)
}

// IsErrFenced tells whether err is, or wraps, an ErrFenced.
func IsErrFenced(err error) bool { var e ErrFenced; return errors.As(err, &e) }

// Config holds the settings of a Journaler.
type Config struct {
	Cell    string
	EntryID string
	// The calls of keeper.Keeper that the journal uses.
	GetRecord      func(ctx context.Context, key string) (keeper.Record, error)
	FindRecords    func(ctx context.Context, o keeper.ListOptions) (keeper.ListResult, error)
	CompareAndSwap func(ctx context.Context, o keeper.SwapOptions) (int64, error)
	DeleteRecord   func(ctx context.Context, key string, revision int64) error
	// NewID returns an id that no other entry of any process has.
	NewID func() string
	// Pause waits between tries; nil: by a timer.
	Pause         func(ctx context.Context, d time.Duration) error
	SnapshotEvery int           // entries between snapshots; 0: 500
	DeletePause   time.Duration // between deletions of old entries, to spare the store
}

// Entry is one journalled group of records.
type Entry struct {
	Epoch   int64             `json:"epoch"`
	Seq     int64             `json:"seq"`
	ID      string            `json:"id"`
	EntryID string            `json:"entry-id"`
	Opens   bool              `json:"opens,omitempty"` // first entry of its epoch
	Records []json.RawMessage `json:"records,omitempty"`
}

// Recovered is what a new owner builds its state from.
type Recovered struct {
	Snapshot []byte // nil: none
	Entries  []Entry
	Epoch    int64 // of the new owner; its own opening entry is the last of Entries
}

// Journaler appends for one epoch. It belongs to one goroutine, but for
// Snapshot, which may run beside Append.
type Journaler struct {
	config  Config
	epoch   int64
	next    int64
	head    head
	headRev int64
	tail    chan ref // entries appended or replayed that the next snapshots cover
	listed  bool
}

// ref is an entry that a snapshot makes superfluous.
type ref struct {
	seq      int64
	revision int64
	opens    bool
}

// New returns a Journaler; Open must be called before the rest.
func New(c Config) *Journaler {
	if c.SnapshotEvery <= 0 {
		c.SnapshotEvery = defaultSnapshotAt
	}
	if c.Pause == nil {
		c.Pause = pauser.Pause
	}
	return &Journaler{config: c, tail: make(chan ref, 1<<16)}
}

// FromKeeper sets the calls of c to those of k.
func FromKeeper(c Config, k *keeper.Keeper) Config {
	c.GetRecord, c.FindRecords = k.GetRecord, k.FindRecords
	c.CompareAndSwap, c.DeleteRecord = k.CompareAndSwap, k.DeleteRecord
	return c
}

// Epoch returns the epoch opened by Open.
func (j *Journaler) Epoch() int64 { return j.epoch }

// Next returns the sequence number of the next append.
func (j *Journaler) Next() int64 { return j.next }

func (j *Journaler) entryKey(seq int64) string {
	return fmt.Sprintf("cells/%s/journal/%020d", j.config.Cell, seq)
}

// Append journals records at the next sequence number and returns when that is
// settled: nil, ErrFenced, or the error of ctx, after which it may or may not
// have been journalled.
func (j *Journaler) Append(ctx context.Context, records []json.RawMessage) error {
	e := Entry{Epoch: j.epoch, Seq: j.next, ID: j.config.NewID(), EntryID: j.config.EntryID, Records: records}
	revision, taken, err := j.create(ctx, e)
	if err != nil {
		return err
	}
	if taken != nil {
		return ErrFenced{Cell: j.config.Cell, Seq: e.Seq}
	}
	j.advance(e, revision)
	return nil
}

func (j *Journaler) advance(e Entry, revision int64) {
	j.next = e.Seq + 1
	select {
	case j.tail <- ref{e.Seq, revision, e.Opens}:
	default: // left in the store; the listing of the next owner removes it
	}
}

// create writes an entry if its sequence number is free. If the number is
// taken it returns the value that stands there.
//
// An answer lost after the effect looks like an outage, and the repeat then
// meets its own entry as a conflict. The bytes carry an id that no other entry
// has, so equal bytes prove that it was ours.
func (j *Journaler) create(ctx context.Context, e Entry) (revision int64, taken []byte, err error) {
	value, err := json.Marshal(e)
	if err != nil {
		return 0, nil, fmt.Errorf("encode journal entry %d: %w", e.Seq, err)
	}
	key := j.entryKey(e.Seq)
	for wait := firstRetry; ; wait = min(2*wait, lastRetry) {
		revision, err = j.config.CompareAndSwap(ctx, keeper.SwapOptions{Key: key, Value: value})
		var conflict keeper.ErrConflict
		switch {
		case err == nil:
			return revision, nil, nil
		case errors.As(err, &conflict):
			current, readErr := j.readConflict(ctx, conflict)
			if readErr == nil {
				if bytes.Equal(current.Value, value) {
					return current.Revision, nil, nil
				}
				return 0, current.Value, nil
			}
			if keeper.IsErrKeyNotExist(readErr) {
				// Taken and deleted since: only a successor deletes at or above
				// our number.
				return 0, nil, ErrFenced{Cell: j.config.Cell, Seq: e.Seq}
			}
		}
		if err := j.config.Pause(ctx, wait); err != nil {
			return 0, nil, fmt.Errorf("append entry %d of cell %s: %w", e.Seq, j.config.Cell, err)
		}
	}
}

func (j *Journaler) readConflict(ctx context.Context, c keeper.ErrConflict) (keeper.Record, error) {
	if len(c.Current.Value) > 0 {
		return c.Current, nil
	}
	return j.config.GetRecord(ctx, c.Key)
}
