package follower

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
)

const testLimit = 5 * time.Second

const zoneKey = "op/evacuate/a"

// fakeStore has a record whose value is a version, and one while a zone is out.
type fakeStore struct {
	mu       sync.Mutex
	value    string
	out      bool
	revision int64
	dropped  bool // the history is gone once
	down     bool
	stale    string // what lists show instead of the value
	lag      int64  // how many revisions lists are behind; they show no zone out, and watches nothing
}

func (f *fakeStore) set(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
	f.revision++
}

func (f *fakeStore) find(context.Context, keeper.ListOptions) (keeper.ListResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return keeper.ListResult{}, keeper.ErrUnavailable{Cause: errors.New("down")}
	}
	value := f.value
	if f.stale != "" {
		value = f.stale
	}
	records := []keeper.Record{{Key: "op/config", Value: []byte(value)}}
	if f.out && f.lag == 0 {
		records = append(records, keeper.Record{Key: zoneKey})
	}
	return keeper.ListResult{Revision: f.revision - f.lag, Records: records}, nil
}

func (f *fakeStore) watch(ctx context.Context, o keeper.WatchOptions) (keeper.WatchResult, error) {
	for range 5 {
		f.mu.Lock()
		switch {
		case f.down:
			f.mu.Unlock()
			return keeper.WatchResult{}, keeper.ErrUnavailable{Cause: errors.New("down")}
		case f.dropped:
			f.dropped = false
			f.mu.Unlock()
			return keeper.WatchResult{}, keeper.ErrHistoryNotExist{After: o.After}
		case f.revision > o.After && f.lag == 0:
			defer f.mu.Unlock()
			return keeper.WatchResult{Revision: f.revision, Changes: []keeper.Change{
				{Record: keeper.Record{Key: "op/config", Value: []byte(f.value)}},
				{Record: keeper.Record{Key: zoneKey}, Deleted: !f.out},
			}}, nil
		}
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			return keeper.WatchResult{}, ctx.Err()
		case <-time.After(2 * time.Millisecond):
		}
	}
	return keeper.WatchResult{Revision: o.After}, nil // a change since the last look is for the next watch
}

func decode(records map[string][]byte) (*specifier.Policy, error) {
	_, out := records[zoneKey]
	v, err := strconv.ParseInt(string(records["op/config"]), 10, 64)
	return &specifier.Policy{Version: v, ZonesOut: map[string]bool{"a": out}}, err
}

func startFollower(t *testing.T, f *fakeStore) *Follower {
	t.Helper()
	w := New(Config{Store: keeper.Calls{FindRecords: f.find, Watch: f.watch}, Prefix: "op/", Decode: decode, Now: time.Now, Reporter: reporter.Discard()})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return w
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testLimit); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("no %s within %s", what, testLimit)
		}
	}
}

func TestFollowsChanges(t *testing.T) {
	f := &fakeStore{value: "1", revision: 1}
	w := startFollower(t, f)
	await(t, "version 1", func() bool { return w.Policy().Version == 1 })
	f.set(func() { f.value = "2" })
	await(t, "version 2", func() bool { return w.Policy().Version == 2 })
	f.set(func() { f.value = "3"; f.dropped = true })
	await(t, "version 3 after a gap in the history", func() bool { return w.Policy().Version == 3 })
}

// A list may be served by a part of the store that lags: what is in force must not
// go back.
func TestNeverGoesBack(t *testing.T) {
	f := &fakeStore{value: "5", revision: 1}
	w := startFollower(t, f)
	await(t, "version 5", func() bool { return w.Policy().Version == 5 })
	f.set(func() { f.dropped, f.stale = true, "4" })
	time.Sleep(50 * time.Millisecond)
	if v := w.Policy().Version; v != 5 {
		t.Errorf("version %d after a list that lags", v)
	}
}

func TestUnreadableTextLeavesTheOldOneInForce(t *testing.T) {
	f := &fakeStore{value: "5", revision: 1}
	w := startFollower(t, f)
	await(t, "version 5", func() bool { return w.Policy().Version == 5 })
	f.set(func() { f.value = "nonsense" })
	time.Sleep(50 * time.Millisecond)
	f.set(func() { f.value = "6" })
	await(t, "version 6", func() bool { return w.Policy().Version == 6 })
}

// The age tells how old the knowledge may be: it grows while the store is away,
// however long ago the last change was.
func TestAge(t *testing.T) {
	f := &fakeStore{value: "5", revision: 1}
	w := startFollower(t, f)
	await(t, "a fresh policy", func() bool { return w.Age() < 50*time.Millisecond })
	f.set(func() { f.down = true })
	await(t, "an old policy", func() bool { return w.Age() > 200*time.Millisecond })
	f.set(func() { f.down = false })
	await(t, "a fresh policy again", func() bool { return w.Age() < 50*time.Millisecond })
}

// A zone is taken out while the operators' text cannot be read, or is older than the
// one in force: the zone does not wait for the text, else tasks go on starting in it.
func TestZonesDoNotWaitForTheText(t *testing.T) {
	for _, text := range []string{"nonsense", "4"} {
		t.Run(text, func(t *testing.T) {
			f := &fakeStore{value: "5", revision: 1}
			w := startFollower(t, f)
			await(t, "version 5", func() bool { return w.Policy().Version == 5 })
			f.set(func() { f.value = text })
			f.set(func() { f.out = true })
			await(t, "zone out", func() bool { return w.Policy().ZonesOut["a"] })
			if v := w.Policy().Version; v != 5 {
				t.Errorf("version %d is in force", v)
			}
			f.set(func() { f.out = false })
			await(t, "zone back", func() bool { return !w.Policy().ZonesOut["a"] })
		})
	}
}

// The history is dropped and a part of the store that lags serves the list: the zone
// that it shows in is out, and must not come back until the store has caught up.
func TestListThatLagsBringsNoZoneBack(t *testing.T) {
	f := &fakeStore{value: "5", revision: 7, out: true}
	w := startFollower(t, f)
	await(t, "zone out", func() bool { return w.Policy().ZonesOut["a"] })
	f.set(func() { f.dropped, f.lag = true, 3 })
	for range 100 {
		time.Sleep(2 * time.Millisecond)
		if !w.Policy().ZonesOut["a"] {
			t.Fatal("the zone is back")
		}
	}
	f.set(func() { f.lag, f.value = 0, "6" })
	await(t, "version 6", func() bool { return w.Policy().Version == 6 })
}

// A store that lost its state counts anew: lists that stay behind are taken in the end.
func TestStoreThatCountsAnew(t *testing.T) {
	f := &fakeStore{value: "5", revision: 7}
	began, calls := time.Now(), 0
	w := New(Config{Store: keeper.Calls{FindRecords: f.find, Watch: f.watch}, Decode: decode, Reporter: reporter.Discard()})
	w.config.Now = func() time.Time {
		calls++
		return began.Add(time.Duration(calls) * lagLimit / 4)
	}
	w.newest = 9
	refused := 0
	for ; w.list(t.Context()) != nil; refused++ {
		if refused > 10 {
			t.Fatal("the list is never taken")
		}
	}
	if refused == 0 {
		t.Error("a list that lags was taken at once")
	}
	f.set(func() { f.value = "6" })
	if changed, err := w.step(t.Context()); !changed || err != nil {
		t.Errorf("change %t after the store counts anew, %v", changed, err)
	}
}
