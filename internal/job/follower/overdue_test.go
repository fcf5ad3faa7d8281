package follower

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
)

// lossyStore loses the answers of watches while silent; lists are answered.
type lossyStore struct {
	fakeStore

	silent atomic.Bool
	lost   atomic.Int64 // watches that were not answered
}

// lossLimit is how long an unanswered watch lasts, as with other entries that are asked in vain.
const lossLimit = 4 * time.Second

func (l *lossyStore) watch(ctx context.Context, o keeper.WatchOptions) (keeper.WatchResult, error) {
	if l.silent.Load() {
		l.lost.Add(1)
		select {
		case <-ctx.Done():
		case <-time.After(lossLimit):
		}
		return keeper.WatchResult{}, keeper.ErrUnavailable{Cause: errors.New("no answer")}
	}
	return l.fakeStore.watch(ctx, o)
}

// Guards against callers that are served by a configuration that was replaced seconds before: the answer
// of a watch was lost, and nothing else was read until it failed, though the store answered.
func TestLostWatchDelaysNoChange(t *testing.T) {
	s := &lossyStore{fakeStore: fakeStore{value: "2", revision: 1}}
	w := New(Config{Store: keeper.Calls{FindRecords: s.find, Watch: s.watch}, Prefix: "op/", Decode: decode, Now: time.Now, Reporter: reporter.Discard()})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	await(t, "version 2", func() bool { return w.Policy().Version == 2 })
	s.silent.Store(true)
	await(t, "watch without an answer", func() bool { return s.lost.Load() > 0 })
	const margin = 500 * time.Millisecond // for a busy machine
	for _, version := range []string{"4", "6"} {
		s.set(func() { s.value = version })
		changedAt := time.Now()
		await(t, "version "+version, func() bool { return strconv.FormatInt(w.Policy().Version, 10) == version })
		if took := time.Since(changedAt); took > confirmedAge+overdueTime+margin {
			t.Errorf("version %s is in force %s after it was stored", version, took)
		}
	}
	s.silent.Store(false)
	s.set(func() { s.value = "8" })
	await(t, "version 8, by a watch", func() bool { return w.Policy().Version == 8 })
}

// Guards against older records in place of newer ones: the answer of an overdue watch comes while the
// records that were read beside it are complete, and must not be applied to them.
func TestOverdueWatchDoesNotRevertTheList(t *testing.T) {
	answered := make(chan struct{})
	f := New(Config{Prefix: "op/", Decode: decode, Now: time.Now, Reporter: reporter.Discard(), Store: keeper.Calls{
		Watch: func(context.Context, keeper.WatchOptions) (keeper.WatchResult, error) {
			<-answered
			return keeper.WatchResult{Revision: 2, Changes: []keeper.Change{{Record: keeper.Record{Key: "op/config", Value: []byte("3"), Revision: 2}}}}, nil
		},
		FindRecords: func(context.Context, keeper.ListOptions) (keeper.ListResult, error) {
			close(answered)
			time.Sleep(20 * time.Millisecond) // the watch is answered first
			return keeper.ListResult{Revision: 3, Records: []keeper.Record{{Key: "op/config", Value: []byte("4"), Revision: 3}}}, nil
		},
	}})
	f.after, f.newestRevision, f.records, f.lost = 1, 1, map[string][]byte{"op/config": []byte("2")}, true
	at, changed, err := f.step(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	f.confirm(at, changed)
	if f.Policy().Version != 4 || f.after != 3 {
		t.Errorf("version %d at revision %d", f.Policy().Version, f.after)
	}
}

// Guards against a process that stood still and then waits for changes, so that it refuses callers for
// almost a second more, and against watches without a wait while the store is merely slow.
func TestNextWait(t *testing.T) {
	tests := []struct {
		name          string
		age, transfer time.Duration
		lost          bool
		want          time.Duration
	}{
		{"after an answer in time", watchWait, 0, false, watchWait},
		{"slow store", watchWait + 300*time.Millisecond, 300 * time.Millisecond, false, 300 * time.Millisecond},
		{"slow store, after a shorter wait", 600 * time.Millisecond, 300 * time.Millisecond, false, watchWait},
		{"after standing still", 5 * time.Second, 0, false, 0},
		{"store lost", 0, 0, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Now()
			f := New(Config{Now: func() time.Time { return now }, Reporter: reporter.Discard()})
			at := now.Add(-tt.age)
			f.contact.Store(&at)
			f.transfer, f.lost = tt.transfer, tt.lost
			if got := f.nextWait(); got != tt.want {
				t.Errorf("waits for %s, want %s", got, tt.want)
			}
		})
	}
}

// Guards against a read of the store every few milliseconds after one slow answer: the time that a call
// takes is measured anew with each.
func TestSlowAnswerIsForgotten(t *testing.T) {
	now := time.Now()
	var took time.Duration
	f := New(Config{Prefix: "op/", Decode: decode, Reporter: reporter.Discard(), Now: func() time.Time { return now }, Store: keeper.Calls{
		Watch: func(context.Context, keeper.WatchOptions) (keeper.WatchResult, error) {
			now = now.Add(took)
			return keeper.WatchResult{Revision: 1}, nil
		},
	}})
	f.after = 1
	for _, took = range []time.Duration{3 * time.Second, 5 * time.Millisecond} {
		at, changed, err := f.step(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		f.confirm(at, changed)
	}
	if got := f.nextWait(); got < watchWait-100*time.Millisecond {
		t.Errorf("waits for %s after an answer in time", got)
	}
}
