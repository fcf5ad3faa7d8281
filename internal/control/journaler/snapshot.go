package journaler

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"bamboospread/internal/store/keeper"
)

// head names the snapshot in force.
type head struct {
	Seq    int64 `json:"seq"` // last entry that it contains
	Epoch  int64 `json:"epoch"`
	Chunks int   `json:"chunks"`
}

func (j *Journaler) headKey() string { return fmt.Sprintf("cells/%s/snapshot-head", j.config.Cell) }

func (j *Journaler) chunkPrefix() string { return fmt.Sprintf("cells/%s/snapshot/", j.config.Cell) }

func (j *Journaler) chunkKey(seq int64, chunk int) string {
	return fmt.Sprintf("%s%020d/%04d", j.chunkPrefix(), seq, chunk)
}

// SnapshotDue tells whether enough entries have been appended since the last
// snapshot.
func (j *Journaler) SnapshotDue() bool { return len(j.tail) >= j.config.SnapshotEvery }

// Snapshot stores the state as of the entry seq and deletes what it replaces.
// It may run beside Append, but not beside another Snapshot. The snapshot holds
// exactly the entries up to seq, all of them journalled.
func (j *Journaler) Snapshot(ctx context.Context, seq int64, state []byte) error {
	err := j.snapshot(ctx, seq, state)
	if err != nil {
		j.listed = false // what is left over is looked for by the next one
	}
	return err
}

func (j *Journaler) snapshot(ctx context.Context, seq int64, state []byte) error {
	var chunks int
	for ; chunks == 0 || chunks*chunkBytes < len(state); chunks++ {
		part := state[chunks*chunkBytes : min(len(state), (chunks+1)*chunkBytes)]
		if err := j.putChunk(ctx, j.chunkKey(seq, chunks), part); err != nil {
			return err
		}
	}
	old := j.head
	if err := j.putHead(ctx, head{Seq: seq, Epoch: j.epoch, Chunks: chunks}); err != nil {
		return err
	}
	return errors.Join(j.deleteChunks(ctx, old), j.deleteEntries(ctx, seq))
}

func (j *Journaler) putChunk(ctx context.Context, key string, part []byte) error {
	_, err := j.config.CompareAndSwap(ctx, keeper.SwapOptions{Key: key, Value: part})
	var conflict keeper.ErrConflict
	if errors.As(err, &conflict) {
		current, readErr := j.readConflict(ctx, conflict)
		if readErr == nil && bytes.Equal(current.Value, part) {
			return nil
		}
	}
	if err != nil {
		return fmt.Errorf("write %s: %w", key, err)
	}
	return nil
}

// putHead moves the head to a later snapshot. It is swapped, so that a paused
// earlier owner that wakes can't move it back.
func (j *Journaler) putHead(ctx context.Context, h head) error {
	value, err := json.Marshal(h)
	if err != nil {
		return fmt.Errorf("encode snapshot head: %w", err)
	}
	for range maxOpenTries {
		revision, err := j.config.CompareAndSwap(ctx, keeper.SwapOptions{Key: j.headKey(), Value: value, ExpectRevision: j.headRev})
		if err == nil {
			j.head, j.headRev = h, revision
			return nil
		}
		if err := j.readHead(ctx); err != nil {
			return err
		}
		if j.head == h { // the answer to an earlier try was lost
			return nil
		}
		if j.head.Seq > h.Seq || j.head.Epoch > h.Epoch {
			return ErrFenced{Cell: j.config.Cell, Seq: h.Seq}
		}
		if err := j.config.Pause(ctx, firstRetry); err != nil {
			return err
		}
	}
	return fmt.Errorf("move snapshot head of cell %s: too many conflicts", j.config.Cell)
}

func (j *Journaler) readHead(ctx context.Context) error {
	record, err := j.config.GetRecord(ctx, j.headKey())
	if keeper.IsErrKeyNotExist(err) {
		j.head, j.headRev = head{}, 0
		return nil
	}
	if err != nil {
		return fmt.Errorf("read snapshot head: %w", err)
	}
	var h head
	if err := json.Unmarshal(record.Value, &h); err != nil {
		return fmt.Errorf("decode snapshot head: %w", err)
	}
	j.head, j.headRev = h, record.Revision
	return nil
}

func (j *Journaler) readChunks(ctx context.Context) ([]byte, error) {
	var state []byte
	for chunk := range j.head.Chunks {
		record, err := j.config.GetRecord(ctx, j.chunkKey(j.head.Seq, chunk))
		if keeper.IsErrKeyNotExist(err) {
			return nil, errMoved
		}
		if err != nil {
			return nil, fmt.Errorf("read snapshot chunk %d: %w", chunk, err)
		}
		state = append(state, record.Value...)
	}
	return state, nil
}

func (j *Journaler) deleteChunks(ctx context.Context, old head) error {
	if !j.listed {
		return j.listChunks(ctx)
	}
	for chunk := range old.Chunks {
		key := j.chunkKey(old.Seq, chunk)
		record, err := j.config.GetRecord(ctx, key)
		if keeper.IsErrKeyNotExist(err) {
			continue
		}
		if err == nil {
			err = j.config.DeleteRecord(ctx, key, record.Revision)
		}
		if err != nil {
			return fmt.Errorf("delete snapshot chunk %s: %w", key, err)
		}
	}
	return nil
}

// listChunks deletes the chunks of all earlier snapshots, also of ones that failed. Those
// above the head are left: a successor may be writing them.
func (j *Journaler) listChunks(ctx context.Context) error {
	after, end := "", j.chunkKey(j.head.Seq, 0)
	for {
		page, err := j.config.FindRecords(ctx, keeper.ListOptions{Prefix: j.chunkPrefix(), After: after})
		if err != nil {
			return fmt.Errorf("list old snapshots: %w", err)
		}
		for _, record := range page.Records {
			after = record.Key
			if after >= end {
				return nil
			}
			err := j.config.DeleteRecord(ctx, record.Key, record.Revision)
			if err != nil && !keeper.IsErrKeyNotExist(err) && !keeper.IsErrConflict(err) {
				return fmt.Errorf("delete snapshot chunk %s: %w", record.Key, err)
			}
		}
		if !page.More {
			return nil
		}
	}
}

// deleteEntries deletes the journal up to seq, but never an opening entry.
//
// A paused earlier owner holds as its next sequence number the one at which its
// successor's opening entry stands. Were that entry deleted because a snapshot
// covers it, the owner's create-if-absent would succeed when it wakes, and it
// would take its decisions as journalled and start tasks twice. Any other entry
// may go: an owner only ever repeats a number that it was already writing, and
// such a repeat lies below the snapshot's head, where nobody reads.
func (j *Journaler) deleteEntries(ctx context.Context, seq int64) error {
	if !j.listed {
		if err := j.listOld(ctx, seq); err != nil {
			return err
		}
		j.listed = true
	}
	for {
		select {
		case r := <-j.tail:
			if r.seq > seq {
				j.putBack(r)
				return nil
			}
			if r.opens || r.revision == 0 {
				continue
			}
			if err := j.deleteEntry(ctx, r); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// putBack returns an entry that was read too far; order does not matter beyond
// the count, since each is compared with the snapshot's sequence number.
func (j *Journaler) putBack(r ref) {
	select {
	case j.tail <- r:
	default:
	}
}

func (j *Journaler) deleteEntry(ctx context.Context, r ref) error {
	err := j.config.DeleteRecord(ctx, j.entryKey(r.seq), r.revision)
	if err != nil && !keeper.IsErrKeyNotExist(err) && !keeper.IsErrConflict(err) {
		return fmt.Errorf("delete journal entry %d: %w", r.seq, err)
	}
	if j.config.DeletePause > 0 {
		return j.config.Pause(ctx, j.config.DeletePause)
	}
	return nil
}

// listOld deletes what an earlier owner left below the snapshot, once an epoch.
func (j *Journaler) listOld(ctx context.Context, seq int64) error {
	after := ""
	for {
		page, err := j.config.FindRecords(ctx, keeper.ListOptions{Prefix: j.prefix(), After: after})
		if err != nil {
			return fmt.Errorf("list old journal: %w", err)
		}
		for _, record := range page.Records {
			after = record.Key
			var e Entry
			if err := json.Unmarshal(record.Value, &e); err != nil {
				return fmt.Errorf("decode old entry %s: %w", record.Key, err)
			}
			if e.Seq > seq {
				return nil
			}
			if e.Opens {
				continue
			}
			if err := j.deleteEntry(ctx, ref{e.Seq, record.Revision, false}); err != nil {
				return err
			}
		}
		if !page.More {
			return nil
		}
	}
}
