package elector

import (
	"context"
	"errors"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/standin/storer"
	"bamboospread/internal/store/keeper"
)

// Guards against a cell without an owner for up to two seconds: the owner is killed and
// restarts at once, but its record exists until its lease has expired, so it would wait
// for itself. It must replace its own record and never that of another entry.
func TestReplacesRecordOfEarlierIncarnation(t *testing.T) {
	const lease = 2 * time.Second
	tests := []struct {
		name    string
		id      string
		address string
		replace bool
		want    bool // acquired before the first lease expires
	}{
		{"the same entry", "entry-1", "127.0.0.1:1", true, true},
		{"the same entry without ReplaceOwnRecord", "entry-1", "127.0.0.1:1", false, false},
		{"another entry", "entry-2", "127.0.0.1:2", true, false},
		{"the same name at another address", "entry-1", "127.0.0.1:3", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(storer.New(storer.Config{}).Handler())
			t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
			k := keeper.New(keeper.Config{URL: server.URL, CallTimeout: time.Second})
			began := time.Now()
			first := New(FromKeeper(Config{Cell: "c", EntryID: "entry-1", Address: "127.0.0.1:1", Lease: lease}, k))
			if err := first.Acquire(t.Context()); err != nil {
				t.Fatal(err)
			}
			if err := first.Publish(t.Context(), 1); err != nil {
				t.Fatal(err)
			}
			second := New(FromKeeper(Config{Cell: "c", EntryID: tt.id, Address: tt.address, Lease: lease, ReplaceOwnRecord: tt.replace}, k))
			deadline := time.Now().Add(lease / 2)
			if !tt.want {
				deadline = began.Add(lease * 3 / 4) // the lease certainly lasts longer
			}
			ctx, cancel := context.WithDeadline(t.Context(), deadline)
			defer cancel()
			if got := second.Acquire(ctx) == nil; got != tt.want {
				t.Fatalf("acquired before the lease expired: %t, want %t", got, tt.want)
			}
			if !tt.want {
				return
			}
			if err := second.Publish(t.Context(), 2); err != nil {
				t.Fatal(err)
			}
			swap := keeper.SwapOptions{Key: "x", Value: []byte("late")}
			fence := first.Fence()
			if _, err := k.Transact(t.Context(), keeper.Transaction{Expect: []keeper.Expectation{fence}, Puts: []keeper.Put{{Key: swap.Key, Value: swap.Value}}}); !keeper.IsErrConflict(err) {
				t.Errorf("transaction of the earlier incarnation: %v, want a conflict", err)
			}
		})
	}
}

// Guards against delays on a large fleet when the smallest entry, whose processor and link
// are busy with callers, becomes the owner because it is the first to see a vacant cell. It
// must leave the cell to other entries for a moment, and acquire it if none does.
func TestAcquireDelayLetsOthersAcquireFirst(t *testing.T) {
	server := httptest.NewServer(storer.New(storer.Config{}).Handler())
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	k := keeper.New(keeper.Config{URL: server.URL, CallTimeout: time.Second})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	acquired := make(chan error, 1)
	small := New(FromKeeper(Config{Cell: "c", EntryID: "small", Lease: time.Second, AcquireDelay: 300 * time.Millisecond}, k))
	go func() { acquired <- small.Acquire(ctx) }()
	time.Sleep(50 * time.Millisecond)
	large := New(FromKeeper(Config{Cell: "c", EntryID: "large", Lease: time.Second}, k))
	if err := large.Acquire(ctx); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-acquired:
		t.Fatalf("the small entry acquired the cell while the large one owns it: %v", err)
	case <-time.After(500 * time.Millisecond):
	}
	if err := large.Release(ctx); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-acquired:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(2 * time.Second):
		t.Error("the small entry did not acquire the vacant cell")
	}
}

// Guards against a missed vacancy: the owner's record is deleted while the watch of another
// entry gets no reply, or no changes any more, as from a store whose revisions restarted.
// The entry must acquire the cell within the time that the loss of an owner may take.
func TestVacancyIsDetectedWithoutWatchEvent(t *testing.T) {
	const limit = 2500 * time.Millisecond
	watches := []struct {
		name  string
		watch func(ctx context.Context, o keeper.WatchOptions) (keeper.WatchResult, error)
	}{
		{"no reply", func(ctx context.Context, o keeper.WatchOptions) (keeper.WatchResult, error) {
			err := pauser.Pause(ctx, o.Wait+time.Second)
			return keeper.WatchResult{}, errors.Join(err, keeper.ErrUnavailable{Cause: errors.New("no reply")})
		}},
		{"no changes", func(ctx context.Context, o keeper.WatchOptions) (keeper.WatchResult, error) {
			return keeper.WatchResult{Revision: o.After}, pauser.Pause(ctx, o.Wait)
		}},
	}
	for _, tt := range watches {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(storer.New(storer.Config{}).Handler())
			t.Cleanup(server.Close)
			k := keeper.New(keeper.Config{URL: server.URL, CallTimeout: time.Second})
			first := New(FromKeeper(Config{Cell: "c", EntryID: "entry-1"}, k))
			if err := first.Acquire(t.Context()); err != nil {
				t.Fatal(err)
			}
			c := FromKeeper(Config{Cell: "c", EntryID: "entry-2"}, k)
			waits := make(chan struct{}, 1)
			c.Watch = func(ctx context.Context, o keeper.WatchOptions) (keeper.WatchResult, error) {
				select {
				case waits <- struct{}{}:
				default:
				}
				return tt.watch(ctx, o)
			}
			ctx, cancel := context.WithCancel(t.Context())
			acquired := make(chan error, 1)
			go func() { acquired <- New(c).Acquire(ctx) }()
			<-waits
			if err := first.Release(t.Context()); err != nil {
				t.Fatal(err)
			}
			defer func() { cancel(); <-acquired }()
			select {
			case err := <-acquired:
				acquired <- err
			case <-time.After(limit):
				t.Errorf("not acquired within %s", limit)
			}
		})
	}
}

// newElectorsOnCompactedStore returns two electors at a store without history before its current
// revision, and the number of calls that entry-2 makes. The first one owns the cell.
func newElectorsOnCompactedStore(t *testing.T, acquireDelay time.Duration) (first, second *Elector, calls *atomic.Int64) {
	t.Helper()
	server := httptest.NewServer(storer.New(storer.Config{}).Handler())
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	k := keeper.New(keeper.Config{URL: server.URL, CallTimeout: time.Second})
	first = New(FromKeeper(Config{Cell: "c", EntryID: "entry-1"}, k))
	if err := first.Acquire(t.Context()); err != nil {
		t.Fatal(err)
	}
	dropped, err := k.CompareAndSwap(t.Context(), keeper.SwapOptions{Key: "another", Value: []byte("{}")})
	if err != nil {
		t.Fatal(err)
	}
	calls = &atomic.Int64{}
	c := FromKeeper(Config{Cell: "c", EntryID: "entry-2", AcquireDelay: acquireDelay}, k)
	watch, find, get := c.Watch, c.FindRecords, c.GetRecord
	c.Watch = func(ctx context.Context, o keeper.WatchOptions) (keeper.WatchResult, error) {
		calls.Add(1)
		if o.After < dropped {
			return keeper.WatchResult{}, keeper.ErrHistoryNotExist{After: o.After}
		}
		return watch(ctx, o)
	}
	c.FindRecords = func(ctx context.Context, o keeper.ListOptions) (keeper.ListResult, error) {
		calls.Add(1)
		return find(ctx, o)
	}
	c.GetRecord = func(ctx context.Context, key string) (keeper.Record, error) {
		calls.Add(1)
		return get(ctx, key)
	}
	return first, New(c), calls
}

// Guards against entries that call the store in a tight loop once it has discarded the
// revision at which the owner acquired the cell.
func TestWatchAfterHistoryCompaction(t *testing.T) {
	first, second, calls := newElectorsOnCompactedStore(t, 0)
	acquired := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { acquired <- second.Acquire(ctx) }()
	time.Sleep(watchWait + 500*time.Millisecond)
	if n := calls.Load(); n > 6 {
		t.Errorf("%d store calls while nothing changed, want 6 at most", n)
	}
	released := time.Now()
	if err := first.Release(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := <-acquired; err != nil || time.Since(released) > watchWait/2 {
		t.Errorf("acquired after %s, %v", time.Since(released), err)
	}
	cancel()
}

// Guards against an entry on a small VM that acquires a cell at the moment it becomes vacant
// because it happened to check just then.
func TestAcquireDelayStartsAtVacancy(t *testing.T) {
	const acquireDelay = 400 * time.Millisecond
	tests := []struct {
		name  string
		watch func(ctx context.Context, o keeper.WatchOptions) (keeper.WatchResult, error)
		slow  time.Duration // delay of each list call
		least time.Duration // from the vacancy to the acquisition
	}{
		{"watched", nil, 0, acquireDelay},
		{"every watch fails", func(context.Context, keeper.WatchOptions) (keeper.WatchResult, error) {
			return keeper.WatchResult{}, keeper.ErrUnavailable{Cause: errors.New("refused")}
		}, 0, acquireDelay},
		{"the store is slow", nil, 150 * time.Millisecond, takeoverCalls * 150 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			first, second, _ := newElectorsOnCompactedStore(t, acquireDelay)
			if tt.watch != nil {
				second.config.Watch = tt.watch
			}
			find := second.config.FindRecords
			second.config.FindRecords = func(ctx context.Context, o keeper.ListOptions) (keeper.ListResult, error) {
				if err := pauser.Pause(ctx, tt.slow); err != nil {
					return keeper.ListResult{}, err
				}
				return find(ctx, o)
			}
			acquired := make(chan error, 1)
			go func() { acquired <- second.Acquire(t.Context()) }()
			time.Sleep(1200 * time.Millisecond)
			released := time.Now()
			if err := first.Release(t.Context()); err != nil {
				t.Fatal(err)
			}
			if err := <-acquired; err != nil || time.Since(released) < tt.least {
				t.Errorf("acquired after %s, %v, want %s at least", time.Since(released), err, tt.least)
			}
		})
	}
}

// Guards against a cell without an owner for the length of a lease: a process stopped competing
// while its acquisition was at the store, and left its record there.
func TestCancelledAcquisitionLeavesNoRecord(t *testing.T) {
	for _, c := range []struct {
		name string
		wrap func(config *Config, cancel context.CancelFunc)
	}{
		{"cancelled before the swap", func(config *Config, cancel context.CancelFunc) {
			grant := config.GrantLease
			config.GrantLease = func(ctx context.Context, ttl time.Duration) (keeper.Lease, error) {
				defer cancel()
				return grant(ctx, ttl)
			}
		}},
		{"cancelled before the swap is answered", func(config *Config, cancel context.CancelFunc) {
			swap := config.CompareAndSwap
			config.CompareAndSwap = func(ctx context.Context, o keeper.SwapOptions) (int64, error) {
				defer cancel()
				if _, err := swap(ctx, o); err != nil {
					return 0, err
				}
				return 0, keeper.ErrOutcomeUnknown{Cause: context.Canceled}
			}
		}},
		{"cancelled after the swap", func(config *Config, cancel context.CancelFunc) {
			swap := config.CompareAndSwap
			config.CompareAndSwap = func(ctx context.Context, o keeper.SwapOptions) (int64, error) {
				defer cancel()
				return swap(ctx, o)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := storer.New(storer.Config{})
			server := httptest.NewServer(store.Handler())
			t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
			k := keeper.New(keeper.Config{URL: server.URL, CallTimeout: time.Second})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			config := FromKeeper(Config{Cell: "c", EntryID: "leaving", Lease: time.Minute}, k)
			c.wrap(&config, cancel)
			if err := New(config).Acquire(ctx); err == nil {
				t.Error("the cancelled acquisition succeeded")
			}
			if record, err := k.GetRecord(t.Context(), "cells/c/owner"); !keeper.IsErrKeyNotExist(err) {
				t.Errorf("record %s, error %v", record.Value, err)
			}
		})
	}
}

// Guards against a cell that never has an owner again: another writer has left a record under the
// owner's key, which no lease deletes.
func TestRecordWithoutLeaseIsReplaced(t *testing.T) {
	const lease = 600 * time.Millisecond
	tests := []struct {
		name, value string
		delay       time.Duration // AcquireDelay
	}{
		{"not JSON", "\x00", 0},
		{"another owner", `{"cell":"c","epoch":9223372036854775807,"entry-id":"odd","address":"10.0.0.1:99999999"}`, 0},
		{"another owner, small entry", `{"cell":"c","epoch":3,"entry-id":"odd","address":"10.0.0.1:1"}`, 10 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(storer.New(storer.Config{}).Handler())
			t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
			k := keeper.New(keeper.Config{URL: server.URL, CallTimeout: time.Second})
			if _, err := k.CompareAndSwap(t.Context(), keeper.SwapOptions{Key: "cells/c/owner", Value: []byte(tt.value)}); err != nil {
				t.Fatal(err)
			}
			e := New(FromKeeper(Config{Cell: "c", EntryID: "entry-1", Address: "127.0.0.1:1", Lease: lease, AcquireDelay: tt.delay}, k))
			ctx, cancel := context.WithTimeout(t.Context(), 2*lease)
			defer cancel()
			if err := e.Acquire(ctx); err != nil {
				t.Fatal(err)
			}
			if err := e.Publish(t.Context(), 1); err != nil {
				t.Error(err)
			}
		})
	}
}
