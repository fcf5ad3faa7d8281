package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
)

// BenchmarkLargeJob measures a write of progress, and a takeover, of a cell with one job of the most tasks, from a
// store in memory that takes values up to keeper.MaxValueBytes. In each case as many workers as named have
// crashed under each task.
func BenchmarkLargeJob(b *testing.B) {
	for _, crashes := range []int{0, 1, 3} {
		store := &replayStore{records: make(map[string]keeper.Record)}
		calls := store.calls()
		transact := calls.Transact
		refused := 0
		calls.Transact = func(ctx context.Context, tx keeper.Transaction) (int64, error) {
			for _, p := range tx.Puts {
				if len(p.Value) > keeper.MaxValueBytes {
					refused++
					return 0, errors.New("value too large")
				}
			}
			return transact(ctx, tx)
		}
		now := time.Unix(1_000_000, 0)
		policy := &specifier.Policy{Version: 1, Queues: []specifier.Queue{{Name: "q"}}}
		s := New(Config{Cell: "jobs", Reporter: reporter.Discard(), Now: func() time.Time { return now }, Policy: func() *specifier.Policy { return policy }, Store: calls})
		spec := &specifier.Job{ID: fmt.Sprintf("%016x", 1), Queue: "q", Steps: []specifier.Step{{Count: specifier.MaxTasks, Checkpoints: true}}}
		value, err := json.Marshal(spec)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := transact(b.Context(), keeper.Transaction{Puts: []keeper.Put{{Key: JobKey(spec.ID), Value: value}}}); err != nil {
			b.Fatal(err)
		}
		o, err := s.takeOver(b.Context(), 1)
		if err != nil {
			b.Fatal(err)
		}
		vm, _ := o.state.Attach(tracker.VMInfo{Name: "vm"}, tracker.Report{Incarnation: "1", Ready: true}, now)
		for n := range crashes {
			crashed := tracker.ReportedCrash{Seq: int64(n + 1)}
			for index := range specifier.MaxTasks {
				key := tracker.RunKey{Task: specifier.TaskID{Job: spec.ID, Index: index}, Number: int64(n + 1)}
				crashed.Runs = append(crashed.Runs, tracker.CrashedRun{Key: key, Age: 20 * time.Second})
			}
			o.state.Apply(vm, tracker.Report{Incarnation: "1", Ready: true, Crashes: []tracker.ReportedCrash{crashed}}, now)
		}
		flush := func() {
			now = now.Add(time.Second)
			key := tracker.RunKey{Task: specifier.TaskID{Job: spec.ID}, Number: now.Unix()}
			o.state.EndRun(vm, key, tracker.EndStopped, fmt.Sprint("checkpoint-", now.Unix()), now)
			o.flush(b.Context())
			if !o.flushing {
				b.Fatal("nothing is written")
			}
			(<-o.events).apply(o, now)
		}
		flush()
		b.Run(fmt.Sprintf("flush/crashes=%d", crashes), func(b *testing.B) {
			refused = 0
			for b.Loop() {
				flush()
			}
			b.ReportMetric(float64(len(store.records[ProgressKey(spec.ID)].Value)), "stored-bytes")
			b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
		})
		b.Run(fmt.Sprintf("takeover/crashes=%d", crashes), func(b *testing.B) {
			for b.Loop() {
				if _, err := s.takeOver(b.Context(), 2); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
