package storer_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bamboospread/internal/standin/piper"
	"bamboospread/internal/standin/storer"
	"bamboospread/internal/store/keeper"
)

func start(t *testing.T, c storer.Config) (*storer.Store, *keeper.Keeper) {
	t.Helper()
	s := storer.New(c)
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	return s, keeper.New(keeper.Config{URL: h.URL, CallTimeout: 10 * time.Second})
}

func TestRecords(t *testing.T) {
	ctx := context.Background()
	_, k := start(t, storer.Config{})
	if _, err := k.GetRecord(ctx, "a/1"); !keeper.IsErrKeyNotExist(err) {
		t.Fatalf("got %v", err)
	}
	first, err := k.CompareAndSwap(ctx, keeper.SwapOptions{Key: "a/1", Value: []byte("x")})
	if err != nil {
		t.Fatal(err)
	}
	_, err = k.CompareAndSwap(ctx, keeper.SwapOptions{Key: "a/1", Value: []byte("y")})
	want := keeper.ErrConflict{Key: "a/1", Current: keeper.Record{Key: "a/1", Value: []byte("x"), Revision: first}}
	if diff := cmp.Diff(want, err); diff != "" {
		t.Fatal(diff)
	}
	second, err := k.CompareAndSwap(ctx, keeper.SwapOptions{Key: "a/1", Value: []byte("y"), ExpectRevision: first})
	if err != nil || second <= first {
		t.Fatal(second, err)
	}
	big := bytes.Repeat([]byte{7}, keeper.MaxValueBytes)
	if _, err := k.CompareAndSwap(ctx, keeper.SwapOptions{Key: "a/2", Value: big}); err != nil {
		t.Fatal(err)
	}
	if _, err := k.CompareAndSwap(ctx, keeper.SwapOptions{Key: "a/3", Value: append(big, 7)}); err == nil {
		t.Fatal("a value above the limit was accepted")
	}
	list, err := k.FindRecords(ctx, keeper.ListOptions{Prefix: "a/", Limit: 1})
	if err != nil || len(list.Records) != 1 || !list.More || string(list.Records[0].Value) != "y" {
		t.Fatal(list, err)
	}
	if err := k.DeleteRecord(ctx, "a/1", first); !keeper.IsErrConflict(err) {
		t.Fatal(err)
	}
	if err := k.DeleteRecord(ctx, "a/1", second); err != nil {
		t.Fatal(err)
	}
	w, err := k.Watch(ctx, keeper.WatchOptions{Prefix: "a/1", After: first})
	if err != nil || len(w.Changes) != 1 || !w.Changes[0].Deleted {
		t.Fatal(w, err)
	}
}

// A lease expires while the service refuses every call. Its records are deleted when
// the service answers again, and a watch reports it.
func TestLeaseExpiresWhileDown(t *testing.T) {
	ctx := context.Background()
	s, k := start(t, storer.Config{})
	l, err := k.GrantLease(ctx, 60*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	revision, err := k.CompareAndSwap(ctx, keeper.SwapOptions{Key: "o", Value: []byte("x"), Lease: l.ID})
	if err != nil {
		t.Fatal(err)
	}
	s.SetFaults(storer.Faults{Down: true})
	if err := k.KeepAlive(ctx, l.ID); !keeper.IsErrUnavailable(err) {
		t.Fatal(err)
	}
	time.Sleep(80 * time.Millisecond)
	s.SetFaults(storer.Faults{})
	w, err := k.Watch(ctx, keeper.WatchOptions{Prefix: "o", After: revision, Wait: time.Second})
	if err != nil || len(w.Changes) != 1 || !w.Changes[0].Deleted {
		t.Fatal(w, err)
	}
	if err := k.KeepAlive(ctx, l.ID); !keeper.IsErrLeaseNotExist(err) {
		t.Fatal(err)
	}
}

// The service refuses every call for longer than a lease, and leases are paused
// meanwhile. The lease still exists after the outage and then expires as usual.
func TestPausedLeaseSurvivesOutage(t *testing.T) {
	ctx := context.Background()
	s, k := start(t, storer.Config{})
	l, err := k.GrantLease(ctx, 200*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	s.SetFaults(storer.Faults{Down: true, PauseLeases: true})
	time.Sleep(300 * time.Millisecond)
	s.SetFaults(storer.Faults{})
	if err := k.KeepAlive(ctx, l.ID); err != nil {
		t.Fatalf("a lease expired while leases were paused: %v", err)
	}
	time.Sleep(300 * time.Millisecond)
	if err := k.KeepAlive(ctx, l.ID); !keeper.IsErrLeaseNotExist(err) {
		t.Fatalf("after the outage: %v", err)
	}
}

// Guards against a fault that shows an owner the end of its lease, or that holds back the calls of others.
func TestHiddenEndOfLease(t *testing.T) {
	s, k := start(t, storer.Config{})
	ctx := t.Context()
	var ids, revisions []int64
	for i := range 2 {
		l, err := k.GrantLease(ctx, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		revision, err := k.CompareAndSwap(ctx, keeper.SwapOptions{Key: fmt.Sprint("owner", i), Value: []byte("x"), Lease: l.ID})
		if err != nil {
			t.Fatal(err)
		}
		ids, revisions = append(ids, l.ID), append(revisions, revision)
	}
	write := func(i int) error {
		_, err := k.Transact(ctx, keeper.Transaction{
			Expect: []keeper.Expectation{{Key: fmt.Sprint("owner", i), Revision: revisions[i]}}, Puts: []keeper.Put{{Key: "k", Value: []byte("x")}},
		})
		return err
	}
	s.SetFaults(storer.Faults{HideFromRenewals: true, HideFromWrites: true})
	if err := k.RevokeLease(ctx, ids[0]); err != nil {
		t.Fatal(err)
	}
	renewed, written := make(chan error, 1), make(chan error, 1)
	go func() { renewed <- k.KeepAlive(ctx, ids[0]) }()
	go func() { written <- write(0) }()
	if err := k.KeepAlive(ctx, ids[1]); err != nil {
		t.Errorf("the renewal of another lease: %v", err)
	}
	if err := write(1); err != nil {
		t.Errorf("the write of another owner: %v", err)
	}
	select {
	case err := <-renewed:
		t.Errorf("the renewal of an ended lease is answered: %v", err)
	case err := <-written:
		t.Errorf("the write is answered: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	s.SetFaults(storer.Faults{})
	if err := <-renewed; !keeper.IsErrLeaseNotExist(err) {
		t.Errorf("once the fault has ended, the renewal: %v", err)
	}
	if err := <-written; !keeper.IsErrConflict(err) {
		t.Errorf("once the fault has ended, the write: %v", err)
	}
}

// The service drops its history. A watch from an earlier revision fails; one from the
// newest revision continues and returns later changes.
func TestDroppedHistory(t *testing.T) {
	ctx := context.Background()
	s, k := start(t, storer.Config{})
	first, err := k.CompareAndSwap(ctx, keeper.SwapOptions{Key: "a", Value: []byte("x")})
	if err != nil {
		t.Fatal(err)
	}
	second, err := k.CompareAndSwap(ctx, keeper.SwapOptions{Key: "a", Value: []byte("y"), ExpectRevision: first})
	if err != nil {
		t.Fatal(err)
	}
	s.SetFaults(storer.Faults{DropHistory: true})
	if _, err := k.Watch(ctx, keeper.WatchOptions{Prefix: "a", After: first}); !keeper.IsErrHistoryNotExist(err) {
		t.Errorf("from an earlier revision: %v", err)
	}
	if w, err := k.Watch(ctx, keeper.WatchOptions{Prefix: "a", After: second}); err != nil || len(w.Changes) != 0 {
		t.Errorf("from the newest revision: %v, %v", w, err)
	}
	if _, err := k.CompareAndSwap(ctx, keeper.SwapOptions{Key: "b", Value: []byte("z")}); err != nil {
		t.Fatal(err)
	}
	if w, err := k.Watch(ctx, keeper.WatchOptions{Prefix: "b", After: second}); err != nil || len(w.Changes) != 1 {
		t.Errorf("later changes: %v, %v", w, err)
	}
}

func TestOutcomeOfWrites(t *testing.T) {
	ctx := context.Background()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	cases := []struct {
		name    string
		config  storer.Config
		faults  storer.Faults
		closed  bool
		is      func(error) bool
		written bool
	}{
		{"down", storer.Config{}, storer.Faults{Down: true}, false, keeper.IsErrUnavailable, false},
		{"no listener", storer.Config{}, storer.Faults{}, true, keeper.IsErrUnavailable, false},
		{"answer lost", storer.Config{}, storer.Faults{LoseAnswers: 1}, false, keeper.IsErrOutcomeUnknown, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, k := start(t, c.config)
			if c.closed {
				k = keeper.New(keeper.Config{URL: "http://" + closed.Addr().String()})
			}
			// The first call leaves an idle connection that the second one uses.
			_, _ = k.GetRecord(ctx, "a")
			s.SetFaults(c.faults)
			if _, err := k.CompareAndSwap(ctx, keeper.SwapOptions{Key: "a", Value: []byte("x")}); !c.is(err) {
				t.Errorf("got %v", err)
			}
			if written := s.Record("a").Revision > 0; written != c.written {
				t.Errorf("written %v, want %v", written, c.written)
			}
			if n := s.Calls().Calls[keeper.KindSwap]; n > 1 {
				t.Errorf("the write was sent %d times", n)
			}
		})
	}
}

// Guards against a write that takes effect before its delay has passed, or not at all because its caller has
// given it up.
func TestDelayedWriteTakesEffectAfterCallerHasGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := storer.New(storer.Config{})
		client, end := piper.Serve(s.Handler())
		t.Cleanup(end)
		k := keeper.New(keeper.Config{URL: "http://store", CallTimeout: 10 * time.Second, HTTP: client})
		// The first call leaves an idle connection that the second one uses.
		_, _ = k.GetRecord(t.Context(), "a")
		faults := storer.Faults{DelayMillis: 1000}
		s.SetFaults(faults)
		limited, cancel := context.WithTimeout(t.Context(), faults.Delay()/2)
		defer cancel()
		if _, err := k.CompareAndSwap(limited, keeper.SwapOptions{Key: "a", Value: []byte("x")}); !keeper.IsErrOutcomeUnknown(err) {
			t.Errorf("got %v", err)
		}
		for _, written := range []bool{false, true} {
			if got := s.Record("a").Revision > 0; got != written {
				t.Errorf("written %v, want %v", got, written)
			}
			time.Sleep(faults.Delay()/2 + time.Millisecond)
		}
		if n := s.Calls().Calls[keeper.KindSwap]; n != 1 {
			t.Errorf("the write was sent %d times", n)
		}
	})
}

// Answers are lost after the effect, and another writer may have written first. The
// caller gets a revision only if its own value was written at that revision, and a
// conflict only if another record exists.
func TestSwapReportsTrueOutcome(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		s := storer.New(storer.Config{Seed: rapid.Uint64().Draw(rt, "seed")})
		h := httptest.NewServer(s.Handler())
		defer h.Close()
		k := keeper.New(keeper.Config{URL: h.URL})
		if rapid.Bool().Draw(rt, "other first") {
			if _, err := k.CompareAndSwap(ctx, keeper.SwapOptions{Key: "a", Value: []byte("other")}); err != nil {
				rt.Fatal(err)
			}
		}
		before := s.Record("a")
		s.SetFaults(storer.Faults{LoseAnswers: 0.5})
		revision, err := k.SwapResolved(ctx, keeper.SwapOptions{Key: "a", Value: []byte("mine")})
		now := s.Record("a")
		switch {
		case err == nil && (string(now.Value) != "mine" || now.Revision != revision):
			rt.Fatalf("got revision %d, but the record is %+v", revision, now)
		case keeper.IsErrConflict(err) && before.Revision == 0:
			rt.Fatalf("got a conflict without another writer: %v", err)
		case err != nil && !keeper.IsErrConflict(err):
			rt.Fatal(err)
		}
	})
}

// The answer is lost after the effect, and the service is then down until the caller's
// deadline. The caller must get an unknown outcome, and not that nothing was written.
func TestSwapReportsUnknownOutcome(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	s, k := start(t, storer.Config{})
	s.SetFaults(storer.Faults{LoseAnswers: 1})
	go func() {
		for s.Record("a").Revision == 0 {
			time.Sleep(time.Millisecond)
		}
		s.SetFaults(storer.Faults{Down: true})
	}()
	if _, err := k.SwapResolved(ctx, keeper.SwapOptions{Key: "a", Value: []byte("x")}); !keeper.IsErrOutcomeUnknown(err) {
		t.Fatal(err)
	}
}

func TestRateLimit(t *testing.T) {
	ctx := context.Background()
	at := time.Unix(100, 0)
	_, k := start(t, storer.Config{WritesPerSecond: 2, Now: func() time.Time { return at }})
	refused := 0
	for range 5 {
		if _, err := k.GrantLease(ctx, time.Minute); keeper.IsErrUnavailable(err) {
			refused++
		}
	}
	if refused != 3 {
		t.Errorf("%d refused, want 3", refused)
	}
}
