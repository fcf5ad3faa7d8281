package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/fleet/recorder"
	"bamboospread/internal/wire/messenger"
	"bamboospread/tests/harness"
	"bamboospread/tests/proxy"
)

// tasksPerVM is the number of tasks per VM at the target size: 22,000 service and
// 100,000 batch tasks on 4,500 VMs.
const tasksPerVM = 27

func submit(b *testing.B, k *harness.Cluster, prefix string, n int, needs describer.Resources, runTime time.Duration) {
	b.Helper()
	const batch = 500
	operator := k.Operator()
	for done := 0; done < n; done += batch {
		var specs []messenger.TaskSpec
		for i := done; i < min(n, done+batch); i++ {
			specs = append(specs, messenger.TaskSpec{
				ID: fmt.Sprintf("%s-%06d", prefix, i), Tenant: "packhouse", Class: "queue-watcher", Needs: needs,
				RunTimeMillis: runTime.Milliseconds(),
			})
		}
		harness.WaitFor(b, 30*time.Second, "tasks accepted", func(ctx context.Context) error {
			reply, err := operator.Submit(ctx, specs)
			for _, v := range reply.Results { // at first the owner may not have the fleet text
				if !v.Accepted {
					return fmt.Errorf("task %s: %s", v.ID, v.Reason)
				}
			}
			return err
		})
	}
}

// startCluster starts a store and entries without VMs.
func startCluster(b *testing.B, entries int) *harness.Cluster {
	b.Helper()
	k := harness.New(b, harness.Config{Entries: entries, VMs: -1})
	k.ApplyFleet(harness.FleetText)
	return k
}

// startProxy returns a proxy to the RPC address of an entry that does not identify
// the opener of a connection: that is slow for the many connections of one test
// process.
func startProxy(b *testing.B, e *harness.Entry) *proxy.Proxy {
	b.Helper()
	at := slices.Index(e.Args, "--rpc-listen")
	p, err := proxy.New(proxy.Config{Target: e.Args[at+1]})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(p.Close)
	return p
}

var smallNeeds = describer.Resources{Millicores: 2000, MemoryBytes: 4 << 30}

// BenchmarkOwnerByVMs measures an owner whose agents poll and each run as many tasks
// as at the target size.
func BenchmarkOwnerByVMs(b *testing.B) {
	for _, vms := range []int{25, 100, 400} {
		b.Run(fmt.Sprint("vms=", vms), func(b *testing.B) {
			k := startCluster(b, 1)
			l := startProxy(b, k.Entries[0])
			agents := startAgents(b, l.Address(), vms)
			submit(b, k, "task", vms*tasksPerVM, smallNeeds, time.Hour)
			waitTasks(b, func() int { return countTasks(agents) }, vms*tasksPerVM)
			probe{pid: k.Entries[0].PID(), links: []*proxy.Proxy{l}, store: k.StoreURL}.measure(b)
			reportRoundTime(b, k)
		})
	}
}

// reportRoundTime reports the mean time of a placement round.
func reportRoundTime(b *testing.B, k *harness.Cluster) {
	b.Helper()
	sum, n := readMetric(b, k.Entries[0], "bamboospread_cell_placement_round_seconds_sum"), readMetric(b, k.Entries[0], "bamboospread_cell_placement_round_seconds_count")
	if n > 0 {
		b.ReportMetric(1000*sum/n, "ms/round")
	}
}

// BenchmarkOwnerByStarts measures an owner of 50 VMs at several start rates.
func BenchmarkOwnerByStarts(b *testing.B) {
	for _, rate := range []int{20, 60, 180} {
		b.Run(fmt.Sprint("starts=", rate), func(b *testing.B) {
			k := startCluster(b, 1)
			startAgents(b, startProxy(b, k.Entries[0]).Address(), 50)
			stop := make(chan struct{})
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					case <-time.After(time.Second):
						submit(b, k, fmt.Sprint("wave", i), rate, smallNeeds, 4*time.Second)
					}
				}
			}()
			before := readMetric(b, k.Entries[0], "bamboospread_cell_starts_total")
			probe{pid: k.Entries[0].PID(), links: []*proxy.Proxy{k.Entries[0].StoreLink}, store: k.StoreURL}.measure(b)
			b.ReportMetric((readMetric(b, k.Entries[0], "bamboospread_cell_starts_total")-before)/(settlingTime+measurementTime).Seconds(), "starts/s")
			close(stop)
			<-ended
		})
	}
}

// BenchmarkOwnerByTasks measures an owner that holds queued tasks.
func BenchmarkOwnerByTasks(b *testing.B) {
	for _, tasks := range []int{1000, 10000, 30000, 100000} {
		b.Run(fmt.Sprint("tasks=", tasks), func(b *testing.B) {
			k := startCluster(b, 1)
			submit(b, k, "task", tasks, smallNeeds, time.Hour)
			probe{pid: k.Entries[0].PID(), store: k.StoreURL}.measure(b)
			reportRoundTime(b, k)
		})
	}
}

// BenchmarkEntryByAgents measures an entry that has sessions with agents.
func BenchmarkEntryByAgents(b *testing.B) {
	for _, agents := range []int{200, 600, 1800} {
		b.Run(fmt.Sprint("agents=", agents), func(b *testing.B) {
			k := startCluster(b, 1)
			l := startProxy(b, k.Entries[0])
			startHeartbeats(b, l.Address(), agents)
			probe{pid: k.Entries[0].PID(), links: []*proxy.Proxy{l}}.measure(b)
		})
	}
}

// BenchmarkCells measures the store calls of idle entries that own one cell each.
func BenchmarkCells(b *testing.B) {
	for _, cells := range []int{1, 2, 4, 8} {
		b.Run(fmt.Sprint("cells=", cells), func(b *testing.B) {
			k := startCluster(b, 1)
			for i := 1; i < cells; i++ {
				name := fmt.Sprint("entry-of-cell-", i)
				harness.StartProcess(b, name, "entry", "--id", name, "--cell", fmt.Sprint("cell-", i),
					"--listen", harness.FreeAddress(b), "--rpc-listen", harness.FreeAddress(b), "--store-url", k.StoreURL, "--zone", "zone-a")
			}
			probe{pid: k.Store.PID(), store: k.StoreURL}.measure(b)
		})
	}
}

// BenchmarkAgentByTasks measures a real agent whose worker runs tasks.
func BenchmarkAgentByTasks(b *testing.B) {
	for _, tasks := range []int{0, 9, 27, 54} {
		b.Run(fmt.Sprint("tasks=", tasks), func(b *testing.B) {
			k := harness.New(b, harness.Config{Entries: 1, VMs: 1})
			k.ApplyFleet(harness.FleetText)
			submit(b, k, "task", tasks, describer.Resources{Millicores: 100, MemoryBytes: 1 << 28}, time.Hour)
			waitTasks(b, func() int {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				s, err := k.Operator().GetStatus(ctx)
				if err != nil {
					return -1
				}
				return s.Tasks[messenger.TaskRunning]
			}, tasks)
			probe{pid: k.VMs[0].Agent.PID(), links: []*proxy.Proxy{k.Entries[0].RPCLink}}.measure(b)
		})
	}
}

// BenchmarkAgentByEntries measures a real agent that has sessions with several
// entries.
func BenchmarkAgentByEntries(b *testing.B) {
	for _, entries := range []int{1, 2, 4, 8} {
		b.Run(fmt.Sprint("entries=", entries), func(b *testing.B) {
			k := harness.New(b, harness.Config{Entries: entries, VMs: 1})
			k.ApplyFleet(harness.FleetText)
			p := probe{pid: k.VMs[0].Agent.PID()}
			p.measure(b)
		})
	}
}

// BenchmarkMessages reports the encoded sizes of the periodic messages.
func BenchmarkMessages(b *testing.B) {
	for _, tasks := range []int{0, 9, 27, 54} {
		b.Run(fmt.Sprint("poll/tasks=", tasks), func(b *testing.B) {
			a := &fakeAgent{tasks: make(map[messenger.TaskAttempt]*fakeTask)}
			var r messenger.PollReply
			for i := range tasks {
				r.Orders = append(r.Orders, messenger.Order{
					Kind: messenger.OrderStart, TaskID: fmt.Sprintf("sorting-run-2026-12-02-%06d", i), Attempt: 1,
					Class: "sorting-run", Tenant: "packhouse", Needs: smallNeeds, RunTime: 3600000,
				})
			}
			a.applyReply(r)
			p := messenger.Poll{Cell: "main", AgentID: "agent-vm-0001", Incarnation: time.Now().UnixNano(), Tasks: a.reports(), Usage: a.usage(time.Now())}
			reportSize(b, p, "B/poll")
			p.Usage = nil
			reportSize(b, p, "B/poll-without-usage")
			reportSize(b, r, "B/start-orders")
		})
	}
	for _, entries := range []int{2, 8, 24} {
		b.Run(fmt.Sprint("heartbeat/entries=", entries), func(b *testing.B) {
			upstreams := []messenger.Upstream{{ID: "runner-vm-0001", Service: "labelling", Slots: 8, Connections: 64, State: messenger.UpstreamReady}}
			reportSize(b, messenger.Heartbeat{AgentID: "agent-vm-0001", Incarnation: time.Now().UnixNano(), Sequence: 1000, Upstreams: upstreams, FleetVersion: 1000}, "B/heartbeat")
			r := messenger.AnnounceReply{EntryID: "entry-1", FleetVersion: 1000}
			for i := range entries {
				r.Peers = append(r.Peers, messenger.PeerAddress{EntryID: fmt.Sprint("entry-", i), Address: "10.0.0.10:8081"})
			}
			r.Owners = []messenger.CellOwner{{Cell: "main", Epoch: 10, EntryID: "entry-1", Address: "10.0.0.10:8081"}}
			reportSize(b, r, "B/reply")
		})
	}
}

// BenchmarkFleetRecord reports the size of the fleet record that every agent fetches
// after a change, for a number of teams with one service and one task class each.
func BenchmarkFleetRecord(b *testing.B) {
	for _, teams := range []int{32, 100, 320} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			var text strings.Builder
			text.WriteString("fleet: large\navailability-zones:\n  - {name: zone-a, state: in}\ntenants:\n")
			for i := range teams {
				fmt.Fprintf(&text, "  - {name: team-%03d, weight: 2, quota: {processors: 260, memory: 1000GB}, requests-per-second: 400, burst: 200}\n", i)
			}
			text.WriteString("services:\n")
			for i := range teams {
				fmt.Fprintf(&text, "  - {name: service-%03d, tenant: team-%03d, needs: {processors: 8, memory: 16GiB}, slots: 8, connections: 64, latency-objective: 250ms}\n", i, i)
			}
			text.WriteString("task-classes:\n")
			for i := range teams {
				fmt.Fprintf(&text, "  - {name: class-%03d, needs: {processors: 4, memory: 12GiB}, run-time: 20m, checkpoint: true, max-attempts: 5}\n", i)
			}
			record, err := json.Marshal(recorder.Record{Version: 1000, ChangeID: "change", Text: text.String(), AppliedAt: time.Now()})
			if err != nil {
				b.Fatal(err)
			}
			reportSize(b, messenger.FleetReply{Version: 1000, Record: record}, "B/reply")
		})
	}
}

func reportSize(b *testing.B, v any, unit string) {
	b.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data)), unit)
	b.ReportMetric(0, "ns/op")
}
