package scheduler

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
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
	fenced    bool             // the fence has rejected a write
}

func newWriter(transact func(ctx context.Context, t keeper.Transaction) (int64, error)) *writer {
	return &writer{transact: transact, revisions: make(map[string]int64)}
}

func (w *writer) setRevision(key string, revision int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revisions[key] = revision
}

// raiseRevision is setRevision for a record that may have been seen already at a later revision.
func (w *writer) raiseRevision(key string, revision int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revisions[key] = max(w.revisions[key], revision)
}

const (
	// maxPutsPerTransaction is the number of records per transaction. Each needs an expectation and
	// a put; the fence takes one entry.
	maxPutsPerTransaction = (keeper.MaxTransactionEntries - 1) / 2
	// maxBytesPerTransaction is the size of the values of a transaction with several records, so that large
	// ones don't delay others.
	maxBytesPerTransaction = 256 << 10
	// extraConflictTries is how many attempts, beyond one for each record, a write makes to update
	// outdated revisions before it fails until the next flush.
	extraConflictTries = 4
)

// errOwnershipEnded is returned by writes once another owner has the cell.
var errOwnershipEnded = errors.New("ownership has ended")

// isTransient reports whether a write has failed for no fault of its records.
func isTransient(err error) bool {
	return keeper.IsErrUnavailable(err) || keeper.IsErrOutcomeUnknown(err) || errors.Is(err, errOwnershipEnded) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// writeErrors are the errors of the records that could not be written, by key.
type writeErrors struct {
	all    map[string]error
	own    map[string]bool // those that failed in a transaction of their own
	others bool            // other records were written
}

func (e writeErrors) add(puts []keeper.Put, err error, own bool) {
	for _, p := range puts {
		e.all[p.Key] = err
		if own {
			e.own[p.Key] = true
		}
	}
}

// putAll writes records in as many transactions as they require. The records of a transaction that fails for
// one of them are written one by one. The smallest come first, and those with the keys in last at the end, so
// that they hold back no others.
func (w *writer) putAll(ctx context.Context, puts []keeper.Put, last map[string]bool) writeErrors {
	failed := writeErrors{all: make(map[string]error), own: make(map[string]bool)}
	var unavailable error // the store takes no records of this owner
	var write func(group []keeper.Put)
	write = func(group []keeper.Put) {
		if unavailable != nil {
			failed.add(group, unavailable, false)
			return
		}
		err := w.put(ctx, group)
		switch {
		case err == nil:
		case isTransient(err):
			failed.add(group, err, len(group) == 1)
			if !last[group[0].Key] {
				unavailable = err
			}
		case len(group) == 1:
			failed.add(group, err, true)
		default:
			for _, p := range group {
				write([]keeper.Put{p})
			}
		}
	}
	for _, group := range groupPuts(puts, last) {
		write(group)
	}
	failed.others = len(failed.all) < len(puts)
	return failed
}

// groupPuts returns the records by transaction.
func groupPuts(puts []keeper.Put, last map[string]bool) (groups [][]keeper.Put) {
	sorted := slices.Clone(puts)
	slices.SortStableFunc(sorted, func(a, b keeper.Put) int {
		if last[a.Key] != last[b.Key] {
			if last[a.Key] {
				return 1
			}
			return -1
		}
		return cmp.Compare(len(a.Value), len(b.Value))
	})
	bytes := 0
	for _, p := range sorted {
		n := len(groups) - 1
		if n < 0 || last[p.Key] || len(groups[n]) == maxPutsPerTransaction || bytes+len(p.Value) > maxBytesPerTransaction {
			groups, bytes = append(groups, nil), 0
			n++
		}
		groups[n] = append(groups[n], p)
		bytes += len(p.Value)
	}
	return groups
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
		if w.recordFenced(conflict) {
			return fmt.Errorf("%w: %w", errOwnershipEnded, err)
		}
		w.applyConflict(conflict)
	}
	return fmt.Errorf("write of %d records: %d conflicts: %w", len(puts), tries, conflict)
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

// remove removes records in one transaction, each at its known revision: a removal that takes effect late,
// after it was repeated, must not remove a record that was stored under the same key since. Records that
// have changed since their revisions became known are left.
func (w *writer) remove(ctx context.Context, keys []string) error {
	var conflict keeper.ErrConflict
	for range extraConflictTries + len(keys) {
		_, err := w.transact(ctx, w.removal(keys))
		if err == nil {
			w.forget(keys)
			return nil
		}
		if !errors.As(err, &conflict) {
			return err
		}
		if w.recordFenced(conflict) {
			return fmt.Errorf("%w: %w", errOwnershipEnded, err)
		}
		if keys = w.dropChanged(keys, conflict); len(keys) == 0 {
			return nil
		}
	}
	return fmt.Errorf("removal of %d records: too many conflicts, the last on %q at revision %d", len(keys), conflict.Current.Key, conflict.Current.Revision)
}

// removal returns the transaction that removes records. One without a known revision must not exist.
func (w *writer) removal(keys []string) keeper.Transaction {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := keeper.Transaction{Expect: []keeper.Expectation{w.fence}}
	for _, key := range keys {
		revision := w.revisions[key]
		t.Expect = append(t.Expect, keeper.Expectation{Key: key, Revision: revision})
		if revision != 0 {
			t.Removes = append(t.Removes, key)
		}
	}
	return t
}

func (w *writer) forget(keys []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, key := range keys {
		delete(w.revisions, key)
	}
}

// dropChanged updates the known revisions from a conflict and returns the keys without those of records
// that have changed.
func (w *writer) dropChanged(keys []string, c keeper.ErrConflict) []string {
	before := make(map[string]int64, len(keys))
	w.mu.Lock()
	for _, key := range keys {
		before[key] = w.revisions[key]
	}
	w.mu.Unlock()
	w.applyConflict(c)
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(keys), func(key string) bool { return before[key] != 0 && w.revisions[key] != before[key] })
}

// recordFenced reports whether a conflict shows that the ownership has ended, and if so records it.
func (w *writer) recordFenced(c keeper.ErrConflict) bool {
	if w.fence.Key != c.Key && w.fence.Key != c.Current.Key {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fenced = true
	return true
}

// ownershipEnded reports whether a write has shown that the ownership has ended.
func (w *writer) ownershipEnded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fenced
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
