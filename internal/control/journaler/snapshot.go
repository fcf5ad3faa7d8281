package journaler

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"bamboospread/internal/store/keeper"
)

// head identifies the current snapshot.
type head struct {
	Seq    int64 `json:"seq"` // last entry that the snapshot contains
	Epoch  int64 `json:"epoch"`
	Chunks int   `json:"chunks"`
}

func (j *Journaler) headKey() string { return fmt.Sprintf("cells/%s/snapshot-head", j.config.Cell) }

func (j *Journaler) chunkPrefix() string { return fmt.Sprintf("cells/%s/snapshot/", j.config.Cell) }

func (j *Journaler) chunkKey(seq int64, chunk int) string {
	return fmt.Sprintf("%s%020d/%04d", j.chunkPrefix(), seq, chunk)
}

// SnapshotDue reports whether enough entries have been appended since the last
// snapshot.
func (j *Journaler) SnapshotDue() bool { return len(j.unsnapshotted) >= j.config.SnapshotEvery }

// Snapshot stores the state as of entry seq and deletes the entries and the earlier
// snapshot that it replaces. It may run concurrently with Append, but not with another
// Snapshot. The state must contain exactly the entries up to seq, all of them journalled.
func (j *Journaler) Snapshot(ctx context.Context, seq int64, state []byte) error {
	err := j.snapshot(ctx, seq, state)
	if err != nil {
		j.leftoversDeleted = false // the next snapshot searches for what this one left in the store
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
		current, readErr := j.conflictingRecord(ctx, conflict)
		if readErr == nil && bytes.Equal(current.Value, part) {
			return nil
		}
	}
	if err != nil {
		return fmt.Errorf("write %s: %w", key, err)
	}
	return nil
}

// putHead sets the head to a later snapshot. It uses compare-and-swap, so that an earlier
// owner that was paused can't set it back when it resumes.
func (j *Journaler) putHead(ctx context.Context, h head) error {
	value, err := json.Marshal(h)
	if err != nil {
		return fmt.Errorf("encode snapshot head: %w", err)
	}
	for range maxTries {
		revision, err := j.config.CompareAndSwap(ctx, keeper.SwapOptions{Key: j.headKey(), Value: value, ExpectRevision: j.headRev})
		if err == nil {
			j.head, j.headRev = h, revision
			return nil
		}
		if err := j.readHead(ctx); err != nil {
			return err
		}
		if j.head == h { // an earlier try took effect, only its reply was lost
			return nil
		}
		if j.head.Seq > h.Seq || j.head.Epoch > h.Epoch {
			return ErrFenced{Cell: j.config.Cell, Seq: h.Seq}
		}
		if err := j.config.Pause(ctx, minRetryInterval); err != nil {
			return err
		}
	}
	return fmt.Errorf("set snapshot head of cell %s to entry %d: %d tries failed", j.config.Cell, h.Seq, maxTries)
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
			return nil, errTruncated
		}
		if err != nil {
			return nil, fmt.Errorf("read snapshot chunk %d: %w", chunk, err)
		}
		state = append(state, record.Value...)
	}
	return state, nil
}

// deleteChunks deletes the chunks of the snapshot that was replaced.
func (j *Journaler) deleteChunks(ctx context.Context, old head) error {
	if !j.leftoversDeleted {
		return j.deleteEarlierChunks(ctx)
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

// deleteEarlierChunks deletes the chunks of all earlier snapshots, including those that
// failed. Chunks above the head stay: a successor may be writing them.
func (j *Journaler) deleteEarlierChunks(ctx context.Context) error {
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

// deleteEntries deletes the journal up to seq, except for opening entries.
//
// The next sequence number of a paused earlier owner is that of its successor's opening
// entry. If that entry were deleted because a snapshot covers it, the earlier owner's
// create-if-absent would succeed when it resumes: it would treat its decisions as
// journalled and start tasks twice. Any other entry may be deleted: an owner only retries
// a number that it was already writing, and such a retry is below the snapshot head,
// where entries are not read any more.
func (j *Journaler) deleteEntries(ctx context.Context, seq int64) error {
	if !j.leftoversDeleted {
		if err := j.deleteEarlierEntries(ctx, seq); err != nil {
			return err
		}
		j.leftoversDeleted = true
	}
	for {
		select {
		case r := <-j.unsnapshotted:
			if r.seq > seq {
				j.requeue(r)
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

// requeue puts back an entry that the snapshot does not cover. The order of the queue does
// not matter, since each entry is compared with the snapshot's sequence number and
// SnapshotDue uses only the number of entries.
func (j *Journaler) requeue(r entryRef) {
	select {
	case j.unsnapshotted <- r:
	default:
	}
}

func (j *Journaler) deleteEntry(ctx context.Context, r entryRef) error {
	err := j.config.DeleteRecord(ctx, j.entryKey(r.seq), r.revision)
	if err != nil && !keeper.IsErrKeyNotExist(err) && !keeper.IsErrConflict(err) {
		return fmt.Errorf("delete journal entry %d: %w", r.seq, err)
	}
	if j.config.DeletePause > 0 {
		return j.config.Pause(ctx, j.config.DeletePause)
	}
	return nil
}

// deleteEarlierEntries deletes the entries up to seq that earlier owners left in the store.
// It runs once per epoch, and again after a snapshot failed.
func (j *Journaler) deleteEarlierEntries(ctx context.Context, seq int64) error {
	after := ""
	for {
		page, err := j.config.FindRecords(ctx, keeper.ListOptions{Prefix: j.entryPrefix(), After: after})
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
			if err := j.deleteEntry(ctx, entryRef{e.Seq, record.Revision, false}); err != nil {
				return err
			}
		}
		if !page.More {
			return nil
		}
	}
}
