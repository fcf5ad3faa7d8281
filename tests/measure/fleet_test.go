package measure

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"bamboospread/internal/agent/announcer"
	"bamboospread/internal/agent/gatekeeper"
	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/fleet/follower"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/operator/requester"
	"bamboospread/internal/service/server"
	"bamboospread/internal/standin/storer"
	"bamboospread/internal/standin/worker"
	"bamboospread/internal/wire/messenger"
	"bamboospread/tests/harness"
)

// spread is a store, three entries and the announcers and followers of agents in
// this process; the proxy of the harness would cost more than all of them.
type spread struct {
	store     *storer.Store
	operator  *requester.Requester
	followers []*follower.Follower
}

// BenchmarkConfigurationSpread measures the time from the answer "done" to the
// moment at which the last of 300 agents holds the version.
func BenchmarkConfigurationSpread(b *testing.B) {
	const agents, changes = 300, 20
	s := newSpread(b, agents)
	waitAll(b, s.followers, 1)
	var last, half []time.Duration
	before, began := s.store.Calls().Calls, time.Now()
	for n := range changes {
		state := []describer.ZoneState{describer.ZoneOut, describer.ZoneIn}[n%2]
		a, err := s.operator.SetZone(context.Background(), "zone-c", state, fmt.Sprintf("change-%d", n))
		if err != nil {
			b.Fatal(err)
		}
		lags := waitAll(b, s.followers, a.Version)
		last, half = append(last, lags[agents-1]), append(half, lags[agents/2])
		time.Sleep(time.Duration(17*n) * time.Millisecond) // out of step with the heartbeats
	}
	slices.Sort(last)
	slices.Sort(half)
	b.Logf("%d agents, %d changes in %s: half of the agents after %s, the last after %s (medians of the changes), at worst %s", agents, changes,
		time.Since(began).Round(time.Second), half[changes/2].Round(time.Millisecond), last[changes/2].Round(time.Millisecond), last[changes-1].Round(time.Millisecond))
	for kind, n := range s.store.Calls().Calls {
		b.Logf("store calls of kind %s: %d", kind, n-before[kind])
	}
}

func newSpread(b *testing.B, agents int) *spread {
	b.Helper()
	s := &spread{store: storer.New(storer.Config{})}
	store := httptest.NewServer(s.store.Handler())
	var run []func(context.Context) error
	var rpc, http []string
	for i := range 3 {
		e, err := server.New(server.Config{
			ID: fmt.Sprintf("entry-%d", i), Listen: "127.0.0.1:0", RPCListen: "127.0.0.1:0", Zone: "zone-a", StoreURL: store.URL,
			Peers: rpc, Cell: "main", Reporter: reporter.Discard(), StopLimit: time.Second,
		})
		if err != nil {
			b.Fatal(err)
		}
		rpc, http = append(rpc, e.RPCAddress()), append(http, e.HTTPAddress())
		run = append(run, e.Run)
	}
	for i := range agents {
		f := follower.New(follower.Config{})
		s.followers = append(s.followers, f)
		run = append(run, newAnnouncer(fmt.Sprintf("agent-%d", i), rpc[i%len(rpc)], f).Run)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, len(run))
	for _, r := range run {
		go func() { ended <- r(ctx) }()
	}
	b.Cleanup(func() {
		cancel()
		for range run {
			<-ended
		}
		store.CloseClientConnections()
		store.Close()
	})
	s.operator = requester.New(requester.Config{Entries: http})
	if _, err := s.operator.Apply(ctx, requester.ApplyOptions{Text: []byte(harness.FleetText), ChangeID: "first"}); err != nil {
		b.Fatal(err)
	}
	return s
}

// newAnnouncer is the part of an agent that learns the fleet.
func newAnnouncer(name, entry string, f *follower.Follower) *announcer.Announcer {
	return announcer.New(announcer.Config{
		AgentID: name, VM: name, Zone: "zone-a", Rack: "r", Incarnation: 1, Entries: []string{entry},
		Gatekeeper: gatekeeper.New(gatekeeper.Config{Reporter: reporter.Discard()}), Reporter: reporter.Discard(),
		FleetVersion: f.Version,
		OnFleetVersion: func(_ int64, fetch func(context.Context) (messenger.FleetReply, error)) {
			if r, err := fetch(context.Background()); err == nil {
				_ = f.Offer(r)
			}
		},
	})
}

// waitAll waits until all followers hold a version, and returns how long each
// took, sorted.
func waitAll(b *testing.B, followers []*follower.Follower, version int64) []time.Duration {
	b.Helper()
	began := time.Now()
	lags := make([]time.Duration, 0, len(followers))
	open := slices.Clone(followers)
	for len(open) > 0 {
		open = slices.DeleteFunc(open, func(f *follower.Follower) bool {
			if f.Version() < version {
				return false
			}
			lags = append(lags, time.Since(began))
			return true
		})
		if time.Since(began) > 30*time.Second {
			b.Fatalf("%d followers lack version %d", len(open), version)
		}
		time.Sleep(time.Millisecond)
	}
	return lags
}

// zoneRun is what the workers recorded in one run.
type zoneRun struct {
	completed, evicted, tasksTwice int
	redoneMillis                   int64 // work done more than once
}

// BenchmarkZoneLeavesAndReturns compares the tasks completed and the evictions of
// two runs at the same time: in one a zone of three leaves for the middle third.
func BenchmarkZoneLeavesAndReturns(b *testing.B) {
	const third = 15 * time.Second
	runs := make([]zoneRun, 2)
	done := make(chan struct{})
	for i := range runs {
		// Without upstreams: beside a service the placement holds tasks back.
		k := harness.New(b, harness.Config{VMs: 6, UpstreamArgs: []string{"--agent", "http://127.0.0.1:1"}})
		k.ApplyFleet(harness.FleetText)
		submitRuns(b, k)
		go func() {
			defer func() { done <- struct{}{} }()
			for n, state := range []describer.ZoneState{"", describer.ZoneOut, describer.ZoneIn} {
				if i == 1 && state != "" {
					if _, err := k.Operator().SetZone(context.Background(), "zone-b", state, fmt.Sprint(n)); err != nil {
						b.Error(err)
					}
				}
				time.Sleep(third)
			}
			runs[i] = countRun(k)
		}()
	}
	<-done
	<-done
	still, left := runs[0], runs[1]
	b.Logf("no zone change: %+v", still)
	b.Logf("zone leaves and returns: %+v, completed %.2f of the other run", left, float64(left.completed)/float64(still.completed))
}

func submitRuns(b *testing.B, k *harness.Cluster) {
	b.Helper()
	specs := make([]messenger.TaskSpec, 1600)
	for i := range specs {
		specs[i] = messenger.TaskSpec{
			ID: fmt.Sprintf("run-%d", i), Tenant: "packhouse", Class: "sorting-run",
			Needs: describer.Resources{Millicores: 4000, MemoryBytes: 4 << 30},
		}
	}
	harness.WaitFor(b, 20*time.Second, "tasks submitted", func(ctx context.Context) error {
		r, err := k.Operator().Submit(ctx, specs)
		if err == nil && !r.Verdicts[0].Accepted {
			err = fmt.Errorf("refused: %s", r.Verdicts[0].Reason)
		}
		return err
	})
}

func countRun(k *harness.Cluster) zoneRun {
	var r zoneRun
	reached := make(map[string]int64) // progress at the last end of each task
	ended := make(map[string]int)
	for _, e := range k.TaskEvents() {
		switch e.Event {
		case worker.EventStart:
			r.redoneMillis += max(0, reached[e.Task]-e.ProgressMillis)
		case worker.EventCompleted:
			r.completed++
			if ended[e.Task]++; ended[e.Task] > 1 {
				r.tasksTwice++
			}
		default:
			r.evicted++
			reached[e.Task] = e.ProgressMillis
		}
	}
	return r
}
