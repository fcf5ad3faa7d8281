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

// scenarioSlots limits the clusters that run at the same time: more would compete for
// the machine so much that leases expire which no scenario is meant to affect.
var scenarioSlots = make(chan struct{}, 5)

// limitScenarios runs a scenario in parallel with others, up to the limit of scenarioSlots.
func limitScenarios(t *testing.T) {
	t.Helper()
	t.Parallel()
	scenarioSlots <- struct{}{}
	t.Cleanup(func() { <-scenarioSlots })
}

// runInBackground runs work until stop is called or the test ends.
func runInBackground(t *testing.T, work func(ctx context.Context)) (stop func()) {
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

// operatorOf returns an operator client of the given entries with a timeout.
func operatorOf(timeout time.Duration, entries ...*harness.Entry) *requester.Requester {
	var addresses []string
	for _, e := range entries {
		addresses = append(addresses, e.HTTP)
	}
	return requester.New(requester.Config{Entries: addresses, Timeout: timeout})
}

// ownerOf returns the entry that owns the cell and another entry.
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

// getJSON reads a URL with a short timeout.
func getJSON(ctx context.Context, url string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}

// acceptanceLog records when the store first showed each version of the fleet text. It
// reads the store directly and not through a process of the system.
type acceptanceLog struct {
	keeper *keeper.Keeper
	mu     sync.Mutex
	at     map[int64]time.Time
}

func watchAcceptance(t *testing.T, k *harness.Cluster) *acceptanceLog {
	t.Helper()
	a := &acceptanceLog{keeper: keeper.New(keeper.Config{URL: k.StoreURL}), at: make(map[int64]time.Time)}
	runInBackground(t, func(ctx context.Context) {
		after := int64(0)
		for ctx.Err() == nil {
			r, err := a.keeper.Watch(ctx, keeper.WatchOptions{Prefix: recorder.Key, After: after, Wait: time.Second})
			if err != nil {
				sleep(ctx, 20*time.Millisecond)
				continue
			}
			after = max(after, r.Revision)
			for _, c := range r.Changes {
				a.addVersions(c.Record.Value)
			}
		}
	})
	return a
}

func (a *acceptanceLog) addVersions(value []byte) {
	r, _, err := recorder.Decode(value)
	if err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	// A watch may return only the latest of several changes; the earlier ones were
	// accepted no later than that.
	for v := r.Version; v > 0 && a.at[v].IsZero(); v-- {
		a.at[v] = time.Now()
	}
}

// acceptedAt returns when a version was first seen in the store, or zero if it was not.
func (a *acceptanceLog) acceptedAt(version int64) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.at[version]
}

// record returns the stored record.
func (a *acceptanceLog) record(t *testing.T) recorder.Record {
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
