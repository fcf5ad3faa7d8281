package journaler

import (
	"context"
	"encoding/json"
	"fmt"

	"bamboospread/internal/platform/keeper"
)

// errMoved tells that the previous owner snapshotted and deleted entries while
// they were being read: reading starts again.
var errMoved = fmt.Errorf("journal was shortened while it was read")

// Open reads snapshot and journal and opens a new epoch with an entry at the
// next free sequence number. From then on every append of an earlier owner
// fails: it holds the number at which that entry stands, or a lower one.
// Opening returns the records of the opening entry for its epoch.
func (j *Journaler) Open(ctx context.Context, opening func(epoch int64) ([]json.RawMessage, error)) (Recovered, error) {
	var r Recovered
	var err error
	for try := 0; try < maxOpenTries; try++ {
		if r, err = j.read(ctx); err != errMoved {
			break
		}
		if err := pause(ctx, firstRetry); err != nil {
			return Recovered{}, err
		}
	}
	if err != nil {
		return Recovered{}, fmt.Errorf("recover cell %s: %w", j.config.Cell, err)
	}
	if err := j.open(ctx, &r, opening); err != nil {
		return Recovered{}, fmt.Errorf("open epoch of cell %s: %w", j.config.Cell, err)
	}
	return r, nil
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
