package follower

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/fleet/recorder"
	"bamboospread/internal/standin/storer"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/messenger"
)

const waitLimit = 10 * time.Second

func newStore(t testing.TB) (*storer.Store, *keeper.Keeper) {
	t.Helper()
	store := storer.New(storer.Config{})
	server := httptest.NewServer(store.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections() // ends waiting watches
		server.Close()
	})
	return store, keeper.New(keeper.Config{URL: server.URL, CallTimeout: 200 * time.Millisecond})
}

func valueOf(t interface{ Fatal(...any) }, version int64) []byte {
	value, err := recorder.Encode(recorder.Record{
		Version: version, ChangeID: fmt.Sprint(version),
		Text: fmt.Sprintf("fleet: v%d\navailability-zones: [{name: a}]\n", version),
	})
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func put(t testing.TB, k *keeper.Keeper, value []byte) {
	t.Helper()
	old, err := k.GetRecord(context.Background(), recorder.Key)
	if err != nil && !keeper.IsErrKeyNotExist(err) {
		t.Fatal(err)
	}
	if _, err := k.CompareAndSwap(context.Background(), keeper.SwapOptions{Key: recorder.Key, Value: value, ExpectRevision: old.Revision}); err != nil {
		t.Fatal(err)
	}
}

// run starts the follower's loops and stops them at the end of the test.
func run(t testing.TB, f *Follower) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func waitVersion(t testing.TB, f *Follower, version int64) {
	t.Helper()
	for end := time.Now().Add(waitLimit); f.Version() != version; time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("version %d after %s, want %d", f.Version(), waitLimit, version)
		}
	}
}

func TestWatchAppliesEachVersion(t *testing.T) {
	_, k := newStore(t)
	f := New(Config{Keeper: k})
	run(t, f)
	for v := range int64(5) {
		put(t, k, valueOf(t, v+1))
		waitVersion(t, f, v+1)
	}
	if text, ok := f.FindText(3); !ok || text != "fleet: v3\navailability-zones: [{name: a}]\n" {
		t.Errorf("text of version 3: %q, %v", text, ok)
	}
	if got := f.PeerReply(); got.Version != 5 || string(got.Record) != string(valueOf(t, 5)) {
		t.Errorf("record %+v", got)
	}
}

// TestVersionNeverDecreases offers records concurrently, as the watch, peers and Refresh
// do. An old record must never replace a newer one.
func TestVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var applied []int64
		f := New(Config{Changed: func(fleet *describer.Fleet) { applied = append(applied, fleet.Version()) }})
		offers := rapid.SliceOf(rapid.Int64Range(1, 8)).Draw(t, "offers")
		var group sync.WaitGroup
		for _, v := range offers {
			reply := messenger.FleetReply{Version: v, Record: valueOf(t, v)}
			group.Go(func() {
				if err := f.Offer(reply); err != nil {
					t.Error(err)
				}
			})
		}
		group.Wait()
		if !slices.IsSorted(applied) || len(slices.Compact(slices.Clone(applied))) != len(applied) {
			t.Errorf("applied in this order: %v", applied)
		}
		if len(offers) > 0 && f.Version() != slices.Max(offers) {
			t.Errorf("version %d of %v", f.Version(), offers)
		}
	})
}

// TestOfferUsesVersionOfRecord offers a record whose peer reports a higher version than
// the record has. It must not be applied under the reported version.
func TestOfferUsesVersionOfRecord(t *testing.T) {
	f := New(Config{})
	for _, offer := range []messenger.FleetReply{{Version: 5, Record: valueOf(t, 5)}, {Version: 9, Record: valueOf(t, 4)}, {Version: 6}} {
		if err := f.Offer(offer); err != nil {
			t.Error(err)
		}
	}
	if f.Version() != 5 {
		t.Errorf("version %d", f.Version())
	}
}

// TestRefreshReturnsAcceptedChange stores a change and refreshes at once. Task starts
// rely on the returned fleet, so an older one would start a task in a zone that was
// already out.
func TestRefreshReturnsAcceptedChange(t *testing.T) {
	store, k := newStore(t)
	f := New(Config{Keeper: k})
	for v := range int64(4) {
		if v > 0 {
			put(t, k, valueOf(t, v))
		}
		before := store.Calls().Calls
		fleet, err := f.Refresh(context.Background())
		if err != nil || fleet.Version() != v {
			t.Errorf("got %v, %v; want version %d", fleet, err, v)
		}
		after := store.Calls().Calls
		calls := int64(0)
		for kind := range after {
			calls += after[kind] - before[kind]
		}
		if calls != 1 {
			t.Errorf("refresh made %d calls, want 1", calls)
		}
	}
	store.SetFaults(storer.Faults{Down: true})
	if _, err := f.Refresh(context.Background()); !keeper.IsErrUnavailable(err) {
		t.Errorf("store down: %v", err)
	}
}

// TestRecordIsReadAgainAfterDroppedHistory guards against serving callers by an old fleet
// text forever. If the store drops its history while a follower is not connected, every
// watch from the follower's revision is rejected, so it has to read the record again.
func TestRecordIsReadAgainAfterDroppedHistory(t *testing.T) {
	store, k := newStore(t)
	f := New(Config{Keeper: k})
	put(t, k, valueOf(t, 1))
	if _, err := f.Refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	put(t, k, valueOf(t, 2))
	store.SetFaults(storer.Faults{DropHistory: true})
	for range 2 {
		if fleet, err := f.Refresh(context.Background()); err != nil || fleet.Version() != 2 {
			t.Errorf("got %v, %v; want version 2", fleet, err)
		}
	}
}

// TestUnreadableRecordIsNotApplied stores a record that only a newer program can decode.
// The current fleet stays in use for requests, but Refresh must fail: the new record may
// take a zone out, so nothing may be started according to the old one.
func TestUnreadableRecordIsNotApplied(t *testing.T) {
	_, k := newStore(t)
	f := New(Config{Keeper: k})
	put(t, k, valueOf(t, 1))
	if _, err := f.Refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	put(t, k, []byte(`{"version":2,"text":"fleet: f\nnew-key: 1"}`))
	for range 2 {
		if _, err := f.Refresh(context.Background()); !errors.As(err, &recorder.ErrUnreadable{}) {
			t.Errorf("got %v, want ErrUnreadable", err)
		}
	}
	if f.Version() != 1 {
		t.Errorf("version %d", f.Version())
	}
	put(t, k, valueOf(t, 3))
	if fleet, err := f.Refresh(context.Background()); err != nil || fleet.Version() != 3 {
		t.Errorf("got %v, %v", fleet, err)
	}
}

// TestUnreadableRecordIsReplaced stores a record with a much higher version that can't be
// decoded, then restores the previous one. If the follower kept waiting for the high
// version, nothing would ever start again. The unreadable record is ignored when it
// arrives again late.
func TestUnreadableRecordIsReplaced(t *testing.T) {
	_, k := newStore(t)
	f := New(Config{Keeper: k})
	put(t, k, valueOf(t, 1))
	unreadable := []byte(`{"version":1000000,"text":"fleet: f\nnew-key: 1"}`)
	put(t, k, unreadable)
	if _, err := f.Refresh(context.Background()); !errors.As(err, &recorder.ErrUnreadable{}) {
		t.Fatalf("got %v, want ErrUnreadable", err)
	}
	late, err := k.GetRecord(context.Background(), recorder.Key)
	if err != nil {
		t.Fatal(err)
	}
	put(t, k, valueOf(t, 1))
	for range 2 {
		if fleet, err := f.Refresh(context.Background()); err != nil || fleet.Version() != 1 {
			t.Errorf("got %v, %v", fleet, err)
		}
		_ = f.apply(late.Value, fromStore, late.Revision)
	}
	// The readable record arrives late; the unreadable one is newer.
	put(t, k, unreadable)
	if _, err := f.Refresh(context.Background()); !errors.As(err, &recorder.ErrUnreadable{}) {
		t.Fatalf("got %v, want ErrUnreadable", err)
	}
	_ = f.apply(valueOf(t, 1), fromStore, late.Revision)
	if _, err := f.Refresh(context.Background()); !errors.As(err, &recorder.ErrUnreadable{}) {
		t.Errorf("got %v, want ErrUnreadable", err)
	}
}

// TestRecordComesFromPeerWithoutStore runs a process that missed an accepted change because
// the store became unreachable right after it: it must get the change from a peer.
func TestRecordComesFromPeerWithoutStore(t *testing.T) {
	store, k := newStore(t)
	store.SetFaults(storer.Faults{Down: true})
	tests := []struct {
		name string
		k    *keeper.Keeper
	}{{"store down", k}, {"no store", nil}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := New(Config{Keeper: tt.k, FetchFromPeer: func(_ context.Context, above int64) (messenger.FleetReply, error) {
				if above >= 2 {
					return messenger.FleetReply{Version: 2}, nil
				}
				return messenger.FleetReply{Version: 2, Record: valueOf(t, 2)}, nil
			}})
			run(t, f)
			waitVersion(t, f, 2)
		})
	}
}

// TestFollowerRecoversFromStoreReset replaces the store by an empty one whose revisions
// start again at a low number. The follower must not wait for the store to reach the old
// revision, and must not return to an older version.
func TestFollowerRecoversFromStoreReset(t *testing.T) {
	_, k := newStore(t)
	_, empty := newStore(t)
	f := New(Config{Keeper: k})
	for v := range int64(6) {
		put(t, k, valueOf(t, v+1))
	}
	if _, err := f.Refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	f.config.Keeper = empty
	put(t, empty, valueOf(t, 2))
	if fleet, err := f.Refresh(context.Background()); err != nil || fleet.Version() != 6 {
		t.Errorf("got %v, %v", fleet, err)
	}
	put(t, empty, valueOf(t, 7))
	if fleet, err := f.Refresh(context.Background()); err != nil || fleet.Version() != 7 {
		t.Errorf("got %v, %v", fleet, err)
	}
	put(t, empty, []byte(`{"version":8,"text":"fleet: f\nnew-key: 1"}`))
	if _, err := f.Refresh(context.Background()); !errors.As(err, &recorder.ErrUnreadable{}) {
		t.Errorf("got %v, want ErrUnreadable", err)
	}
}

func TestEmptyFollower(t *testing.T) {
	f := New(Config{})
	if diff := cmp.Diff(messenger.FleetReply{}, f.PeerReply()); diff != "" || f.Fleet() == nil || f.Version() != 0 {
		t.Errorf("%s, version %d", diff, f.Version())
	}
	if _, err := f.Refresh(context.Background()); err == nil {
		t.Error("refreshed without a store")
	}
}

// TestStalledWatchDelaysChangeBriefly stalls the connection of a waiting watch without
// closing it, in a process without peers, while the text changes. Jobs start according to
// the current text, so a zone that was taken out would get starts until the stalled watch
// times out.
func TestStalledWatchDelaysChangeBriefly(t *testing.T) {
	const maxDelay = 2 * time.Second
	var stallNext atomic.Bool
	store := storer.New(storer.Config{}).Handler()
	stalled, release := make(chan struct{}, 1), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, keeper.KindWatch) && stallNext.CompareAndSwap(true, false) {
			stalled <- struct{}{}
			<-release
			return
		}
		store.ServeHTTP(w, r)
	}))
	t.Cleanup(func() { close(release); server.CloseClientConnections(); server.Close() })
	k := keeper.New(keeper.Config{URL: server.URL, CallTimeout: 200 * time.Millisecond})
	f := New(Config{Keeper: k})
	run(t, f)
	put(t, k, valueOf(t, 1))
	waitVersion(t, f, 1)
	stallNext.Store(true)
	put(t, k, valueOf(t, 2)) // ends the waiting watch
	<-stalled
	changed := time.Now()
	put(t, k, valueOf(t, 3))
	waitVersion(t, f, 3)
	if took := time.Since(changed); took > maxDelay {
		t.Errorf("applied after %s", took)
	}
}
