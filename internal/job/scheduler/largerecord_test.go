package scheduler

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
)

// Guards against a cell that stores no progress any more because the record of one job is too large.
func TestLargeRecordDoesNotBlockOthers(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	stored := make(map[string]bool)
	transact := func(_ context.Context, tx keeper.Transaction) (int64, error) {
		for _, p := range tx.Puts {
			if len(p.Value) > keeper.MaxValueBytes {
				return 0, errors.New("value too large")
			}
		}
		for _, p := range tx.Puts {
			stored[p.Key] = true
		}
		return 1, nil
	}
	s := New(Config{Cell: "jobs", Reporter: reporter.Discard(), Now: func() time.Time { return now }, Policy: func() *specifier.Policy { return &specifier.Policy{} }, Store: keeper.Calls{Transact: transact}})
	state := tracker.New(tracker.Config{Policy: s.config.Policy()})
	o := newOwner(s, 1, state, now)
	info := tracker.VMInfo{Name: "vm", Capacity: specifier.Resources{CPUMillis: 1 << 30, MemoryMB: 1 << 30}}
	vm, _ := state.Attach(info, tracker.Report{Incarnation: "1", Ready: true}, now)
	end := func(job string, count int, outcome tracker.End) {
		state.AddJob(&specifier.Job{ID: job, Steps: []specifier.Step{{Count: count, Checkpoints: true}}}, time.Time{}, now)
		for n := range count - 1 {
			key := tracker.RunKey{Task: specifier.TaskID{Job: job, Index: n}, Number: 1}
			state.EndRun(vm, key, outcome, strings.Repeat("<", 100), now)
		}
	}
	large, small := fmt.Sprintf("%016x", 1), fmt.Sprintf("%016x", 2)
	end(large, 4000, tracker.EndStopped)
	end(small, 2, tracker.EndDone)
	for range 3 {
		o.flush(t.Context())
		if o.flushing {
			(<-o.events).apply(o, now)
		}
		now = now.Add(time.Second)
	}
	if !stored[ProgressKey(small)] {
		t.Error("the progress of the small job is not stored")
	}
}
