package journaler

import (
	"context"
	"encoding/json"
	"fmt"

	"bamboospread/internal/store/keeper"
)

// errTruncated means that the previous owner took a snapshot and deleted entries while
// they were being read: reading has to start again.
var errTruncated = fmt.Errorf("journal was truncated while it was read")

// Open reads the snapshot and the journal and opens a new epoch with an entry at the
// next free sequence number. From then on every append of an earlier owner fails,
// because its next sequence number is that of the opening entry or lower.
// openingRecords returns the records of the opening entry of an epoch.
func (j *Journaler) Open(ctx context.Context, openingRecords func(epoch int64) ([]json.RawMessage, error)) (Recovered, error) {
	var err error
	for range maxTries {
		var r Recovered
		if r, err = j.readState(ctx); err == nil {
			err = j.appendOpening(ctx, &r, openingRecords)
		}
		if err == nil {
			return r, nil
		}
		if err != errTruncated {
			break
		}
		if err := j.config.Pause(ctx, minRetryInterval); err != nil {
			return Recovered{}, err
		}
	}
	return Recovered{}, fmt.Errorf("recover cell %s: %w", j.config.Cell, err)
}

func (j *Journaler) readState(ctx context.Context) (Recovered, error) {
	r := Recovered{}
	for len(j.unsnapshotted) > 0 { // drop the entries of an earlier try
		<-j.unsnapshotted
	}
	if err := j.readHead(ctx); err != nil {
		return r, err
	}
	var err error
	if r.Snapshot, err = j.readChunks(ctx); err != nil {
		return r, err
	}
	r.Epoch, j.nextSeq = j.head.Epoch, j.head.Seq+1
	after := j.entryKey(j.head.Seq)
	for {
		page, err := j.config.FindRecords(ctx, keeper.ListOptions{Prefix: j.entryPrefix(), After: after})
		if err != nil {
			return r, fmt.Errorf("list journal: %w", err)
		}
		for _, record := range page.Records {
			if err := j.replay(&r, record.Value, record.Revision); err != nil {
				return r, err
			}
			after = record.Key
		}
		if !page.More {
			return r, nil
		}
	}
}

func (j *Journaler) entryPrefix() string { return fmt.Sprintf("cells/%s/journal/", j.config.Cell) }

// replay adds an entry that was read from the journal to r.
func (j *Journaler) replay(r *Recovered, value []byte, revision int64) error {
	var e Entry
	if err := json.Unmarshal(value, &e); err != nil {
		return fmt.Errorf("decode journal entry %d: %w", j.nextSeq, err)
	}
	if e.Seq != j.nextSeq {
		return errTruncated
	}
	r.Entries = append(r.Entries, e)
	r.Epoch = max(r.Epoch, e.Epoch)
	j.advance(e, revision)
	return nil
}

// appendOpening appends the opening entry. An earlier owner that still runs may append
// entries meanwhile; these are part of the state.
func (j *Journaler) appendOpening(ctx context.Context, r *Recovered, openingRecords func(epoch int64) ([]json.RawMessage, error)) error {
	headBefore := j.head
	for {
		records, err := openingRecords(r.Epoch + 1)
		if err != nil {
			return err
		}
		e := Entry{
			Epoch: r.Epoch + 1, Seq: j.nextSeq, ID: j.config.NewID(), EntryID: j.config.EntryID,
			Opens: true, Records: records,
		}
		revision, existing, err := j.createEntry(ctx, e)
		if err != nil {
			return err
		}
		if existing == nil {
			if err := j.checkHeadUnchanged(ctx, headBefore); err != nil {
				return err
			}
			r.Epoch = e.Epoch
			r.Entries = append(r.Entries, e)
			j.epoch = e.Epoch
			j.advance(e, revision)
			return nil
		}
		if err := j.replay(r, existing, 0); err != nil {
			return err
		}
	}
}

// checkHeadUnchanged checks that the snapshot head has not changed since the journal was
// listed. An earlier owner that still ran may have appended entries, taken a snapshot and
// deleted entries meanwhile. Because opening entries are never deleted, the list then
// looks complete, a sequence number after it is free again although it was used, and the
// new state lacks what was journalled under that number. That owner changed the head
// before it deleted anything, so a head that is unchanged after the opening entry was
// created proves that no entry was missed. An opening entry that was created in vain does
// no damage: its owner starts over and never acts under its epoch.
func (j *Journaler) checkHeadUnchanged(ctx context.Context, headBefore head) error {
	for {
		err := j.readHead(ctx)
		if err == nil && j.head != headBefore {
			return errTruncated
		}
		if err == nil {
			return nil
		}
		if err := j.config.Pause(ctx, maxRetryInterval); err != nil {
			return err
		}
	}
}
