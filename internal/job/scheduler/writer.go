package scheduler

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"bamboospread/internal/store/keeper"
)

// writer writes the records that only the owner writes. It is safe for concurrent
// use.
//
// A write whose answer was lost may be carried out seconds later, after newer ones.
// The fence does not stop it, since the owner is still the same; the record would
// go back, and the next owner would start tasks again that were done and
// acknowledged. So each write expects the revision that its record has: a newer
// write changes it, and the late one fails.
type writer struct {
	transact  func(ctx context.Context, t keeper.Transaction) (int64, error)
	fence     keeper.Expectation // fails once the ownership has ended
	mu        sync.Mutex
	revisions map[string]int64 // as last seen; 0: no record
}

func newWriter(transact func(ctx context.Context, t keeper.Transaction) (int64, error)) *writer {
	return &writer{transact: transact, revisions: make(map[string]int64)}
}

func (w *writer) saw(key string, revision int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revisions[key] = revision
}

// put writes records together. What a lost write has left behind shows as a
// conflict; the records are then written over what stands.
func (w *writer) put(ctx context.Context, puts []keeper.Put) error {
	var conflict keeper.ErrConflict
	tries := conflictTries + len(puts) // a store may tell one record of a conflict only
	for range tries {
		revision, err := w.transact(ctx, w.transaction(puts))
		if err == nil {
			for _, p := range puts {
				w.saw(p.Key, revision)
			}
			return nil
		}
		if !errors.As(err, &conflict) {
			return err
		}
		if w.fence.Key == conflict.Key || w.fence.Key == conflict.Current.Key {
			return fmt.Errorf("ownership has ended: %w", err)
		}
		w.learn(conflict)
	}
	return fmt.Errorf("revisions of %d records changed %d times, last that of %q to %d", len(puts), tries, conflict.Current.Key, conflict.Current.Revision)
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

func (w *writer) learn(c keeper.ErrConflict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revisions[c.Current.Key] = c.Current.Revision
	for _, r := range c.Records {
		if r.Key != w.fence.Key {
			w.revisions[r.Key] = r.Revision
		}
	}
}
