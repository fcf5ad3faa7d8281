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

// fleetSetup runs a store, three entries and the announcers and followers of agents
// in this process, without the harness, whose proxy would use more processor time
// than all of them.
type fleetSetup struct {
	store     *storer.Store
	operator  *requester.Requester
	followers []*follower.Follower
}

// BenchmarkConfigurationPropagation measures the time from the answer "done" until
// the last of 300 agents has the version.
func BenchmarkConfigurationPropagation(b *testing.B) {
	const agents, changes = 300, 20
	s := newFleetSetup(b, agents)
	awaitVersion(b, s.followers, 1)
	var lastLags, medianLags []time.Duration
	before, startedAt := s.store.Calls().Calls, time.Now()
	for n := range changes {
		state := []describer.ZoneState{describer.ZoneOut, describer.ZoneIn}[n%2]
		a, err := s.operator.SetZone(context.Background(), "zone-c", state, fmt.Sprintf("change-%d", n))
		if err != nil {
			b.Fatal(err)
		}
		lags := awaitVersion(b, s.followers, a.Version)
		lastLags, medianLags = append(lastLags, lags[agents-1]), append(medianLags, lags[agents/2])
		time.Sleep(time.Duration(17*n) * time.Millisecond) // not in phase with the heartbeats
	}
	slices.Sort(lastLags)
	slices.Sort(medianLags)
	b.Logf("%d agents, %d changes in %s: half of the agents after %s, the last after %s (medians over the changes), maximum %s", agents, changes,
		time.Since(startedAt).Round(time.Second), medianLags[changes/2].Round(time.Millisecond), lastLags[changes/2].Round(time.Millisecond), lastLags[changes-1].Round(time.Millisecond))
	for kind, n := range s.store.Calls().Calls {
		b.Logf("store calls of kind %s: %d", kind, n-before[kind])
	}
}

func newFleetSetup(b *testing.B, agents int) *fleetSetup {
	b.Helper()
	s := &fleetSetup{store: storer.New(storer.Config{})}
	store := httptest.NewServer(s.store.Handler())
	var run []func(context.Context) error
	var rpc, http []string
	for i := range 3 {
		e, err := server.New(server.Config{
			ID: fmt.Sprintf("entry-%d", i), Listen: "127.0.0.1:0", RPCListen: "127.0.0.1:0", Zone: "zone-a", StoreURL: store.URL,
			Peers: rpc, Cell: "main", Reporter: reporter.Discard(), StopTimeout: time.Second,
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

// newAnnouncer returns the part of an agent that receives the fleet text.
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

// awaitVersion waits until all followers have a version, and returns how long each
// took, sorted.
func awaitVersion(b *testing.B, followers []*follower.Follower, version int64) []time.Duration {
	b.Helper()
	startedAt := time.Now()
	lags := make([]time.Duration, 0, len(followers))
	waiting := slices.Clone(followers)
	for len(waiting) > 0 {
		waiting = slices.DeleteFunc(waiting, func(f *follower.Follower) bool {
			if f.Version() < version {
				return false
			}
			lags = append(lags, time.Since(startedAt))
			return true
		})
		if time.Since(startedAt) > 30*time.Second {
			b.Fatalf("%d followers lack version %d", len(waiting), version)
		}
		time.Sleep(time.Millisecond)
	}
	return lags
}

// zoneResult summarizes the events that the workers recorded in one run.
type zoneResult struct {
	completed, evicted, tasksTwice int
	redoneMillis                   int64 // work done more than once after evictions
}

// BenchmarkZoneLeavesAndReturns compares the completed tasks and the evictions of
// two concurrent runs: in one of them one of three zones is out for the middle third.
func BenchmarkZoneLeavesAndReturns(b *testing.B) {
	const phase = 15 * time.Second
	results := make([]zoneResult, 2)
	done := make(chan struct{})
	for i := range results {
		// No upstreams register: the placement restricts tasks co-located with a service.
		k := harness.New(b, harness.Config{VMs: 6, UpstreamArgs: []string{"--agent", "http://127.0.0.1:1"}})
		k.ApplyFleet(harness.FleetText)
		submitTasks(b, k)
		go func() {
			defer func() { done <- struct{}{} }()
			for n, state := range []describer.ZoneState{"", describer.ZoneOut, describer.ZoneIn} {
				if i == 1 && state != "" {
					if _, err := k.Operator().SetZone(context.Background(), "zone-b", state, fmt.Sprint(n)); err != nil {
						b.Error(err)
					}
				}
				time.Sleep(phase)
			}
			results[i] = countEvents(k)
		}()
	}
	<-done
	<-done
	unchanged, changed := results[0], results[1]
	b.Logf("no zone change: %+v", unchanged)
	b.Logf("zone leaves and returns: %+v, completed %.2f times the tasks of the other run", changed, float64(changed.completed)/float64(unchanged.completed))
}

func submitTasks(b *testing.B, k *harness.Cluster) {
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
		if err == nil && !r.Results[0].Accepted {
			err = fmt.Errorf("refused: %s", r.Results[0].Reason)
		}
		return err
	})
}

func countEvents(k *harness.Cluster) zoneResult {
	var r zoneResult
	lastProgress := make(map[string]int64) // of each task when its last attempt ended
	ended := make(map[string]int)
	for _, e := range k.TaskEvents() {
		switch e.Event {
		case worker.EventStart:
			r.redoneMillis += max(0, lastProgress[e.Task]-e.ProgressMillis)
		case worker.EventCompleted:
			r.completed++
			if ended[e.Task]++; ended[e.Task] > 1 {
				r.tasksTwice++
			}
		default:
			r.evicted++
			lastProgress[e.Task] = e.ProgressMillis
		}
	}
	return r
}
