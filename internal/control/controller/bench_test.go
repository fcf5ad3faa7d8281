package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/control/journaler"
	"bamboospread/internal/standin/storer"
	"bamboospread/internal/standin/worker"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/messenger"
)

// BenchmarkOwnerFailover measures the time from the sudden end of the owner to the first
// start by its successor, also as a multiple of the owner's lease.
func BenchmarkOwnerFailover(b *testing.B) {
	for b.Loop() {
		c := newCell(b, 3, 2)
		c.submit(labels(400)...)
		c.waitFor("some completed", func() bool { return c.counts()[messenger.TaskCompleted] > 20 })
		killed := time.Now()
		for i, ctrl := range c.controllers {
			if ctrl.current.Load() != nil {
				c.stops[i]()
			}
		}
		var first time.Duration
		c.waitFor("a start by the successor", func() bool {
			var reply messenger.EventsReply
			_ = c.call(c.ctx, messenger.MethodEvents, messenger.EventsRequest{Cell: "c1", Limit: 5000}, &reply)
			for _, d := range reply.Decisions {
				if d.Epoch == 2 && d.Code == 504 {
					first = d.Time.Sub(killed)
					return true
				}
			}
			return false
		})
		b.ReportMetric(float64(first)/float64(ownerLease), "owner-leases/first-start")
		b.ReportMetric(first.Seconds()*1000, "ms/first-start")
	}
}

// BenchmarkStoreCalls counts the store calls per started task, with and without group
// commit, at a store that takes 5 ms to reply.
func BenchmarkStoreCalls(b *testing.B) {
	const tasks = 600
	for _, limit := range []int{0, 1} {
		b.Run(fmt.Sprintf("group-limit=%d", limit), func(b *testing.B) {
			for b.Loop() {
				c := newCellWith(b, 6, 1, func(config *Config) { config.GroupLimit = limit })
				c.waitFor("owner", func() bool { return len(c.status().VMs) == 6 })
				c.store.SetFaults(storer.Faults{DelayMillis: 5})
				before, began := c.store.Calls().Calls, time.Now()
				c.submit(labels(tasks)...)
				c.waitFor("all completed", func() bool { return c.counts()[messenger.TaskCompleted] == tasks })
				took := time.Since(began)
				total := int64(0)
				for kind, n := range c.store.Calls().Calls {
					n -= before[kind]
					total += n
					b.ReportMetric(float64(n)/tasks, kind+"/start")
				}
				b.ReportMetric(float64(total)/took.Seconds(), "store-calls/s")
				b.ReportMetric(tasks/took.Seconds(), "starts/s")
			}
		})
	}
}

// BenchmarkRecovery measures how long a new owner takes to rebuild its state from journals
// of different lengths, with and without snapshots.
func BenchmarkRecovery(b *testing.B) {
	for _, length := range []int{100, 1000, 5000} {
		for _, every := range []int{0, 500} {
			b.Run(fmt.Sprintf("entries=%d/snapshot-every=%d", length, every), func(b *testing.B) {
				c := newCell(b, 0, 0)
				k := keeper.New(keeper.Config{URL: c.storeURL})
				writeJournal(b, k, length, every)
				ctrl := New(Config{Cell: "c1", EntryID: "next", Keeper: k, Fleet: c.fleet.Load, Refresh: c.refresh})
				for b.Loop() {
					j := journaler.New(journaler.FromKeeper(journaler.Config{Cell: "c1", EntryID: "next", NewID: ctrl.config.NewID}, k))
					if _, err := ctrl.recover(context.Background(), j, time.Now()); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// writeJournal journals the records of complete tasks, two tasks to an entry.
func writeJournal(b *testing.B, k *keeper.Keeper, length, every int) {
	b.Helper()
	ids := idSource("writer")
	j := journaler.New(journaler.FromKeeper(journaler.Config{Cell: "c1", EntryID: "writer", NewID: ids}, k))
	none := func(int64) ([]json.RawMessage, error) { return nil, nil }
	if _, err := j.Open(context.Background(), none); err != nil {
		b.Fatal(err)
	}
	cellState := bookkeeper.New()
	for n := range length {
		var records []json.RawMessage
		for _, r := range taskRecords(n) {
			raw, err := json.Marshal(r)
			if err == nil {
				err = cellState.Apply(r)
			}
			if err != nil {
				b.Fatal(err)
			}
			records = append(records, raw)
		}
		if err := j.Append(context.Background(), records); err != nil {
			b.Fatal(err)
		}
		if every > 0 && (n+1)%every == 0 {
			state, err := cellState.Encode()
			if err == nil {
				err = j.Snapshot(context.Background(), j.NextSeq()-1, state)
			}
			if err != nil {
				b.Fatal(err)
			}
		}
	}
}

// taskRecords returns the records of two tasks from submission to completion.
func taskRecords(n int) []bookkeeper.Record {
	at := time.Date(2026, 12, 3, 0, 0, n, 0, time.UTC)
	var records []bookkeeper.Record
	if n == 0 {
		records = append(records, bookkeeper.Record{At: at, VMSeen: &bookkeeper.VMSeen{Capacity: messenger.Capacity{VM: "vm", Zone: "z0"}}})
	}
	for i := range 2 {
		id := fmt.Sprintf("task-%d-%d", n, i)
		spec := messenger.TaskSpec{ID: id, Tenant: "caroni", Class: "labels", Payload: "{}"}
		d := &messenger.Decision{Code: 504, Task: id, VM: "vm", Reason: "least predicted interference, then best fit", Inputs: map[string]string{"score": "0.225", "zone": "z0"}}
		records = append(records,
			bookkeeper.Record{At: at, Submitted: &bookkeeper.Submitted{Spec: spec, Digest: "d"}, Decision: d},
			bookkeeper.Record{At: at, Started: &bookkeeper.Started{Task: id, VM: "vm", Attempt: 1}, Decision: d},
			bookkeeper.Record{At: at, Confirmed: &bookkeeper.Confirmed{Task: id, Attempt: 1}, Decision: d},
			bookkeeper.Record{At: at, Ended: &bookkeeper.Ended{Task: id, Attempt: 1, Next: messenger.TaskCompleted}, Decision: d})
	}
	return records
}

// BenchmarkStoreOutage makes the store unavailable for 6 s, a tenth of a minute, under three
// lease policies for an outage, whose leases are a tenth of their real length as well: the
// longer lease of 18 s; the short lease also in the outage, with which tasks stop; and an
// unlimited lease, with which nothing restarts. One VM is lost permanently during the
// outage. The benchmark reports the work lost on the other VMs, in task seconds, and the
// time from the end of the outage until the lost VM's tasks run again (60 s: not within the
// measured time).
func BenchmarkStoreOutage(b *testing.B) {
	policies := []struct {
		name  string
		lease time.Duration
	}{{"longer-lease", 18 * time.Second}, {"stop-at-once", vmLease}, {"never-restart", time.Hour}}
	for _, p := range policies {
		b.Run(p.name, func(b *testing.B) {
			for b.Loop() {
				lost, recovered := storeOutage(b, p.lease)
				b.ReportMetric(lost.Seconds(), "task-s-lost")
				b.ReportMetric(recovered.Seconds(), "s-to-recover")
			}
		})
	}
}

func storeOutage(b *testing.B, lease time.Duration) (lost, recovered time.Duration) {
	const notRecovered = 60 * time.Second
	c := newCellWith(b, 4, 1, func(config *Config) { config.OutageLease = lease })
	specs := labels(12)
	for i := range specs {
		specs[i].RunTimeMillis = 300000
	}
	c.submit(specs...)
	c.waitFor("all run", func() bool { return c.counts()[messenger.TaskRunning] == len(specs) })
	time.Sleep(2 * time.Second)
	c.store.SetFaults(storer.Faults{Down: true})
	time.Sleep(2 * time.Second)
	c.disconnected[0].Store(true)
	startsOnLostVM := 0
	for _, e := range c.workers[0].Events() {
		if e.Event == worker.EventStart {
			startsOnLostVM++
		}
	}
	time.Sleep(4 * time.Second)
	c.store.SetFaults(storer.Faults{})
	available := time.Now()
	for recovered = notRecovered; time.Since(available) < 25*time.Second; time.Sleep(20 * time.Millisecond) {
		restarted := 0
		for _, w := range c.workers[1:] {
			for _, e := range w.Events() {
				if e.Event == worker.EventStart && e.Attempt > 1 {
					restarted++
				}
			}
		}
		if restarted >= startsOnLostVM {
			recovered = time.Since(available)
			break
		}
	}
	for _, w := range c.workers[1:] {
		for _, e := range w.Events() {
			if e.Event == worker.EventLost {
				lost += messenger.FromMillis(e.ProgressMillis)
			}
		}
	}
	return lost, recovered
}
