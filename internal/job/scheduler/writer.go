package scheduler

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"bamboospread/internal/store/keeper"
)

// writer writes the records that only the owner writes. It is safe for concurrent use.
//
// A write whose answer was lost may take effect seconds later, after newer ones. The fence does
// not reject it, since the owner is still the same. The record would revert, and the next owner
// would restart tasks that were done and acknowledged. So each write expects the current
// revision of its records: a newer write changes it, and the late one fails.
type writer struct {
	transact  func(ctx context.Context, t keeper.Transaction) (int64, error)
	fence     keeper.Expectation // fails once the ownership has ended
	mu        sync.Mutex
	revisions map[string]int64 // last known, by key; 0: no record
}

func newWriter(transact func(ctx context.Context, t keeper.Transaction) (int64, error)) *writer {
	return &writer{transact: transact, revisions: make(map[string]int64)}
}

func (w *writer) setRevision(key string, revision int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revisions[key] = revision
}

// put writes records in one transaction. If an earlier write with a lost answer took effect,
// this one conflicts; put then updates the revisions and overwrites the records.
func (w *writer) put(ctx context.Context, puts []keeper.Put) error {
	var conflict keeper.ErrConflict
	tries := extraConflictTries + len(puts) // a store may report only one conflicting record at a time
	for range tries {
		revision, err := w.transact(ctx, w.transaction(puts))
		if err == nil {
			for _, p := range puts {
				w.setRevision(p.Key, revision)
			}
			return nil
		}
		if !errors.As(err, &conflict) {
			return err
		}
		if w.fence.Key == conflict.Key || w.fence.Key == conflict.Current.Key {
			return fmt.Errorf("ownership has ended: %w", err)
		}
		w.applyConflict(conflict)
	}
	return fmt.Errorf("write of %d records: %d conflicts, the last on %q at revision %d", len(puts), tries, conflict.Current.Key, conflict.Current.Revision)
}

func (w *writer) transaction(puts []keeper.Put) keeper.Transaction {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := keeper.Transaction{Expect: []keeper.Expectation{w.fence}, Puts: puts}
	for _, p := range puts {
		t.Expect = append(t.Expect, keeper.Expectation{Key: p.Key, Revision: w.revisions[p.Key]})
	}
	return t
}

// applyConflict updates the known revisions from a conflict.
func (w *writer) applyConflict(c keeper.ErrConflict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revisions[c.Current.Key] = c.Current.Revision
	for _, r := range c.Records {
		if r.Key != w.fence.Key {
			w.revisions[r.Key] = r.Revision
		}
	}
}
