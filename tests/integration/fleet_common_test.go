package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/fleet/recorder"
	"bamboospread/internal/operator/requester"
	"bamboospread/internal/store/keeper"
	"bamboospread/tests/harness"
)

// scenes bounds the clusters that run at once: more would compete for the
// machine until leases lapse that no scenario touches.
var scenes = make(chan struct{}, 5)

// oneOfFew makes a scenario run beside others, a few at a time.
func oneOfFew(t *testing.T) {
	t.Helper()
	t.Parallel()
	scenes <- struct{}{}
	t.Cleanup(func() { <-scenes })
}

// background runs work until the test or stop ends it.
func background(t *testing.T, work func(ctx context.Context)) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		work(ctx)
	}()
	stop = sync.OnceFunc(func() {
		cancel()
		<-done
	})
	t.Cleanup(stop)
	return stop
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// operatorOf returns a client of some entries that gives up soon.
func operatorOf(timeout time.Duration, entries ...*harness.Entry) *requester.Requester {
	var addresses []string
	for _, e := range entries {
		addresses = append(addresses, e.HTTP)
	}
	return requester.New(requester.Config{Entries: addresses, Timeout: timeout})
}

// ownerOf returns the entry that owns the cell and one that does not.
func ownerOf(t *testing.T, k *harness.Cluster) (owner, other *harness.Entry) {
	t.Helper()
	harness.WaitFor(t, 20*time.Second, "an owner of the cell", func(ctx context.Context) error {
		s, err := k.Operator().GetStatus(ctx)
		if err != nil {
			return err
		}
		owner, other = nil, nil
		for _, e := range k.Entries {
			if e.Name == s.Owner {
				owner = e
			} else {
				other = e
			}
		}
		if owner == nil {
			return fmt.Errorf("owner %q is not an entry", s.Owner)
		}
		return nil
	})
	return owner, other
}

// getJSON reads a URL within a short time.
func getJSON(ctx context.Context, url string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	return json.NewDecoder(a.Body).Decode(v)
}

// acceptances notes when the store first showed each version of the fleet. It
// asks the store itself, by no process of the system.
type acceptances struct {
	keeper *keeper.Keeper
	mu     sync.Mutex
	at     map[int64]time.Time
}

func watchAcceptances(t *testing.T, k *harness.Cluster) *acceptances {
	t.Helper()
	a := &acceptances{keeper: keeper.New(keeper.Config{URL: k.StoreURL}), at: make(map[int64]time.Time)}
	background(t, func(ctx context.Context) {
		after := int64(0)
		for ctx.Err() == nil {
			r, err := a.keeper.Watch(ctx, keeper.WatchOptions{Prefix: recorder.Key, After: after, Wait: time.Second})
			if err != nil {
				sleep(ctx, 20*time.Millisecond)
				continue
			}
			after = max(after, r.Revision)
			for _, c := range r.Changes {
				a.note(c.Record.Value)
			}
		}
	})
	return a
}

func (a *acceptances) note(value []byte) {
	r, _, err := recorder.Decode(value)
	if err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	// A watch tells only the latest of several changes; those before it were
	// accepted no later.
	for v := r.Version; v > 0 && a.at[v].IsZero(); v-- {
		a.at[v] = time.Now()
	}
}

// when returns when a version was first seen in the store, zero if never.
func (a *acceptances) when(version int64) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.at[version]
}

// record returns the stored record.
func (a *acceptances) record(t *testing.T) recorder.Record {
	t.Helper()
	var r recorder.Record
	harness.WaitFor(t, 10*time.Second, "the stored record", func(ctx context.Context) error {
		stored, err := a.keeper.GetRecord(ctx, recorder.Key)
		if err != nil {
			return err
		}
		r, _, err = recorder.Decode(stored.Value)
		return err
	})
	return r
}
