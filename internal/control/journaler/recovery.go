package journaler

import (
	"context"
	"encoding/json"
	"fmt"

	"bamboospread/internal/store/keeper"
)

// errMoved tells that the previous owner snapshotted and deleted entries while
// they were being read: reading starts again.
var errMoved = fmt.Errorf("journal was shortened while it was read")

// Open reads snapshot and journal and opens a new epoch with an entry at the
// next free sequence number. From then on every append of an earlier owner
// fails: it holds the number at which that entry stands, or a lower one.
// Opening returns the records of the opening entry for its epoch.
func (j *Journaler) Open(ctx context.Context, opening func(epoch int64) ([]json.RawMessage, error)) (Recovered, error) {
	var err error
	for range maxOpenTries {
		var r Recovered
		if r, err = j.read(ctx); err == nil {
			err = j.open(ctx, &r, opening)
		}
		if err == nil {
			return r, nil
		}
		if err != errMoved {
			break
		}
		if err := j.config.Pause(ctx, firstRetry); err != nil {
			return Recovered{}, err
		}
	}
	return Recovered{}, fmt.Errorf("recover cell %s: %w", j.config.Cell, err)
}

func (j *Journaler) read(ctx context.Context) (Recovered, error) {
	r := Recovered{}
	for len(j.tail) > 0 {
		<-j.tail
	}
	if err := j.readHead(ctx); err != nil {
		return r, err
	}
	var err error
	if r.Snapshot, err = j.readChunks(ctx); err != nil {
		return r, err
	}
	r.Epoch, j.next = j.head.Epoch, j.head.Seq+1
	after := j.entryKey(j.head.Seq)
	for {
		page, err := j.config.FindRecords(ctx, keeper.ListOptions{Prefix: j.prefix(), After: after})
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

func (j *Journaler) prefix() string { return fmt.Sprintf("cells/%s/journal/", j.config.Cell) }

func (j *Journaler) replay(r *Recovered, value []byte, revision int64) error {
	var e Entry
	if err := json.Unmarshal(value, &e); err != nil {
		return fmt.Errorf("decode journal entry %d: %w", j.next, err)
	}
	if e.Seq != j.next {
		return errMoved
	}
	r.Entries = append(r.Entries, e)
	r.Epoch = max(r.Epoch, e.Epoch)
	j.advance(e, revision)
	return nil
}

// open appends the opening entry. An earlier owner that still runs may take
// numbers meanwhile; its entries are part of the state.
func (j *Journaler) open(ctx context.Context, r *Recovered, opening func(epoch int64) ([]json.RawMessage, error)) error {
	before := j.head
	for {
		records, err := opening(r.Epoch + 1)
		if err != nil {
			return err
		}
		e := Entry{
			Epoch: r.Epoch + 1, Seq: j.next, ID: j.config.NewID(), EntryID: j.config.EntryID,
			Opens: true, Records: records,
		}
		revision, taken, err := j.create(ctx, e)
		if err != nil {
			return err
		}
		if taken == nil {
			if err := j.confirmOpen(ctx, before); err != nil {
				return err
			}
			r.Epoch = e.Epoch
			r.Entries = append(r.Entries, e)
			j.epoch = e.Epoch
			j.advance(e, revision)
			return nil
		}
		if err := j.replay(r, taken, 0); err != nil {
			return err
		}
	}
}

// confirmOpen checks that the snapshot's head has not moved since the journal
// was listed. An earlier owner that still ran may have appended, snapshotted and
// deleted entries meanwhile. Since opening entries are left standing, the list
// then looks whole, a number after it is free again although it was used, and
// the new state lacks what was journalled under it. That owner moved the head
// before it deleted, so a head that stands still after the opening entry was
// created proves that nothing was missed. An opening entry that stands where it
// should not is harmless: its owner starts over and never acts under its epoch.
func (j *Journaler) confirmOpen(ctx context.Context, before head) error {
	for {
		err := j.readHead(ctx)
		if err == nil && j.head != before {
			return errMoved
		}
		if err == nil {
			return nil
		}
		if err := j.config.Pause(ctx, lastRetry); err != nil {
			return err
		}
	}
}
