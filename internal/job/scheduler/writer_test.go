package scheduler

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"bamboospread/internal/store/keeper"
)

// lateStore is a store that can lose the answer of a write and apply it later.
type lateStore struct {
	revision    int64
	records     map[string]keeper.Record
	loseAnswers bool
	late        []keeper.Transaction
}

func (s *lateStore) transact(_ context.Context, t keeper.Transaction) (int64, error) {
	if s.loseAnswers {
		s.late = append(s.late, t)
		return 0, keeper.ErrOutcomeUnknown{Cause: errors.New("no answer")}
	}
	return s.apply(t)
}

func (s *lateStore) apply(t keeper.Transaction) (int64, error) {
	for _, e := range t.Expect {
		if r := s.records[e.Key]; r.Revision != e.Revision {
			r.Key = e.Key
			return 0, keeper.ErrConflict{Key: e.Key, Current: r}
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.records[p.Key] = keeper.Record{Key: p.Key, Value: p.Value, Revision: s.revision}
	}
	for _, key := range t.Removes {
		delete(s.records, key)
	}
	return s.revision, nil
}

func (s *lateStore) applyLate() {
	for _, t := range s.late {
		_, _ = s.apply(t) // a failed expectation is the desired result
	}
	s.late = nil
}

func newLateStore() (*lateStore, *writer) {
	s := &lateStore{records: map[string]keeper.Record{"owner": {Key: "owner", Revision: 1}}, revision: 1}
	w := newWriter(s.transact)
	w.fence = keeper.Expectation{Key: "owner", Revision: 1}
	return s, w
}

func put(t *testing.T, w *writer, value string) error {
	t.Helper()
	return w.put(t.Context(), []keeper.Put{{Key: "progress/a", Value: []byte(value)}, {Key: "progress/b", Value: []byte(value)}})
}

// Guards against a second run of a done and acknowledged task under the next owner: a write of
// its job's progress gets no answer, a newer one is stored and the end acknowledged, and then
// the first takes effect and reverts the record.
func TestLateWriteDoesNotRevertProgress(t *testing.T) {
	tests := []struct {
		name string
		when func(s *lateStore, w *writer) // runs between the lost write and the newer one
	}{
		{"applied after the newer one", func(*lateStore, *writer) {}},
		{"applied before the newer one", func(s *lateStore, _ *writer) { s.applyLate() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, w := newLateStore()
			if err := put(t, w, "first"); err != nil {
				t.Fatal(err)
			}
			s.loseAnswers = true
			if err := put(t, w, "older"); !keeper.IsErrOutcomeUnknown(err) {
				t.Fatalf("got %v", err)
			}
			s.loseAnswers = false
			tt.when(s, w)
			if err := put(t, w, "newer"); err != nil {
				t.Fatal(err)
			}
			s.applyLate()
			if got := string(s.records["progress/a"].Value); got != "newer" {
				t.Errorf("the record holds %q", got)
			}
		})
	}
}

func TestWriterRejectedByFence(t *testing.T) {
	s, w := newLateStore()
	s.records["owner"] = keeper.Record{Key: "owner", Revision: 9}
	if err := put(t, w, "x"); !keeper.IsErrConflict(err) {
		t.Errorf("got %v", err)
	}
	if len(s.records) != 1 {
		t.Error("a replaced owner wrote")
	}
}

// Guards against jobs that never end: the store reports one conflict at a time, and a write of
// many records gives up before it has updated all revisions.
func TestWriteResolvesConflictOfEveryRecord(t *testing.T) {
	s, w := newLateStore()
	var puts []keeper.Put
	for i := range maxPutsPerTransaction {
		key := fmt.Sprintf("progress/%d", i)
		puts = append(puts, keeper.Put{Key: key, Value: []byte("new")})
		s.records[key] = keeper.Record{Key: key, Revision: int64(100 + i)}
	}
	if err := w.put(t.Context(), puts); err != nil {
		t.Error(err)
	}
}

// Guards against a replaced owner that repeats its write: a conflict may name the key of another
// record, so that only the record returned with it shows that the fence has failed.
func TestReplacedOwnerDoesNotRetryWrite(t *testing.T) {
	s, w := newLateStore()
	s.records["owner"] = keeper.Record{Key: "owner", Revision: 2}
	tries := 0
	w.transact = func(ctx context.Context, tx keeper.Transaction) (int64, error) {
		tries++
		_, err := s.transact(ctx, tx)
		var conflict keeper.ErrConflict
		if errors.As(err, &conflict) {
			conflict.Key = tx.Puts[0].Key
			return 0, conflict
		}
		return 0, err
	}
	if err := put(t, w, "late"); err == nil || tries != 1 {
		t.Errorf("%d tries, %v", tries, err)
	}
}

// Guards against records that are removed, or kept, wrongly: a removal applies to the revision that is known,
// and leaves a record that was stored since.
func TestRemovalAppliesToKnownRevision(t *testing.T) {
	const key = "progress/a"
	for _, tt := range []struct {
		name    string
		known   func(stored int64) int64
		changed bool // since the revision became known
		left    bool
	}{
		{"known", func(stored int64) int64 { return stored }, false, false},
		{"not known", func(int64) int64 { return 0 }, false, false},
		{"changed since", func(stored int64) int64 { return stored }, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, w := newLateStore()
			store := func() int64 {
				revision, err := s.apply(keeper.Transaction{Puts: []keeper.Put{{Key: key}}})
				if err != nil {
					t.Fatal(err)
				}
				return revision
			}
			w.setRevision(key, tt.known(store()))
			if tt.changed {
				store()
			}
			if err := w.remove(t.Context(), []string{key, "progress/b"}); err != nil {
				t.Fatal(err)
			}
			if _, left := s.records[key]; left != tt.left {
				t.Errorf("left: %t", left)
			}
		})
	}
}
