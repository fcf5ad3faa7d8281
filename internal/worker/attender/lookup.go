package attender

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/messenger"
)

// Limits of the search for the owner of the cell.
const (
	// vacancyWait is how long a watch for a new owner waits before the record is read again.
	vacancyWait  = 900 * time.Millisecond
	storeTimeout = time.Second
	// askInterval is the minimum time between queries of the entries while the store does not
	// answer: each query opens connections.
	askInterval = 600 * time.Millisecond
)

// errTakingOver is returned while an entry is preparing to own the cell.
type errTakingOver struct{ entry string }

func (e errTakingOver) Error() string {
	return fmt.Sprintf("entry %s is taking the cell over", e.entry)
}

// errOwnerUnknown is returned while the cell has no known owner, so that no connection to an
// owner was attempted.
type errOwnerUnknown struct{ cause error }

func (e errOwnerUnknown) Error() string {
	return fmt.Sprintf("owner of the cell is not known: %v", e.cause)
}
func (e errOwnerUnknown) Unwrap() error { return e.cause }

// findOwner looks the owner up in the store, then asks the known entries.
func (a *Attender) findOwner(ctx context.Context) (messenger.CellOwner, error) {
	if a.config.FindRecords == nil {
		return a.locator.Find(ctx)
	}
	o, err := a.ownerFromStore(ctx)
	if err == nil {
		return o, nil
	}
	var takingOver errTakingOver
	answered := keeper.IsErrKeyNotExist(err) || errors.As(err, &takingOver)
	if now := a.config.Now(); !answered && now.Sub(a.entriesAskedAt) >= askInterval {
		a.entriesAskedAt = now
		if o, askErr := a.locator.Find(ctx); askErr == nil {
			return o, nil
		}
	}
	return messenger.CellOwner{}, errOwnerUnknown{err}
}

// ownerFromStore reads the owner's record. If there is none, or its owner has not taken over yet,
// it waits for the next change of the record: agents that read it again and again would use most of
// the calls that the store allows on a large fleet.
func (a *Attender) ownerFromStore(ctx context.Context) (messenger.CellOwner, error) {
	key := fmt.Sprintf("cells/%s/owner", a.config.Cell)
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	found, err := a.config.FindRecords(callCtx, keeper.ListOptions{Prefix: key, Limit: 1})
	if err != nil {
		return messenger.CellOwner{}, err
	}
	o, err := decodeOwner(key, a.config.Cell, found.Records)
	if err == nil || a.config.Watch == nil {
		return o, err
	}
	watchCtx, cancelWatch := context.WithTimeout(ctx, vacancyWait+storeTimeout)
	defer cancelWatch()
	seen, watchErr := a.config.Watch(watchCtx, keeper.WatchOptions{Prefix: key, After: found.Revision, Wait: vacancyWait})
	if watchErr != nil {
		return messenger.CellOwner{}, watchErr
	}
	var records []keeper.Record
	for _, c := range seen.Changes {
		if !c.Deleted {
			records = append(records, c.Record)
		}
	}
	return decodeOwner(key, a.config.Cell, records)
}

// decodeOwner returns the owner that the last record of key names.
func decodeOwner(key, cell string, records []keeper.Record) (o messenger.CellOwner, err error) {
	err = keeper.ErrKeyNotExist{Key: key}
	for _, r := range records {
		if r.Key != key {
			continue
		}
		if o, err = messenger.DecodeOwner(r.Value, cell); err != nil {
			err = fmt.Errorf("decode owner: %w", err)
		} else if o.Epoch == 0 {
			err = errTakingOver{o.EntryID}
		}
	}
	return o, err
}
