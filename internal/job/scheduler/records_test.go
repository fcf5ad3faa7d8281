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
	"bamboospread/internal/store/keeper"
)

var (
	errTooLarge   = errors.New("value too large")
	errForbidden  = errors.New("status 403")
	errConflicts  = keeper.ErrConflict{Key: ProgressKey(largeJobID), Current: keeper.Record{Key: ProgressKey(largeJobID), Revision: 9}}
	errNoResponse = keeper.ErrOutcomeUnknown{Cause: errNoAnswer}
)

const largeJobID = "0000000000000001"

// Guards against a cell in which no end of any job is acknowledged any more because the record of one job can't
// be written, and against second runs of that job's tasks once another owner has the cell.
func TestRefusedRecordHoldsBackNoOthers(t *testing.T) {
	refused := func(key string, err error) func(keeper.Put) error {
		return func(p keeper.Put) error {
			if p.Key == key {
				return err
			}
			return nil
		}
	}
	tests := []struct {
		name    string
		refuses func(keeper.Put) error
	}{
		{"too large", func(p keeper.Put) error {
			if p.Key == ProgressKey(largeJobID) && len(p.Value) > 100 {
				return errTooLarge
			}
			return nil
		}},
		{"forbidden", refused(ProgressKey(largeJobID), errForbidden)},
		{"another writer", refused(ProgressKey(largeJobID), errConflicts)},
		{"never answered", refused(ProgressKey(largeJobID), errNoResponse)},
		{"a snapshot", refused("cells/jobs/learned", errTooLarge)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newReplay(t, 0)
			starts := make(map[string]int)
			r.startFault = func(task string) startFault {
				if starts[task]++; starts[task] > 1 {
					t.Fatalf("task %s starts twice", task)
				}
				return noFault
			}
			step := specifier.Step{Count: 600, Needs: specifier.Resources{CPUMillis: 100, MemoryMB: 10}, EstimateMillis: 1500}
			r.submit("urgent", step) // has the ID of the large job
			r.run(time.Second)
			r.store.refuses = tt.refuses
			var small []string
			for range 10 {
				r.submit("urgent", specifier.Step{Count: 4, Needs: step.Needs, EstimateMillis: 300})
				small = append(small, fmt.Sprintf("%016x", r.jobs))
				r.run(300 * time.Millisecond)
			}
			r.run(3 * time.Second)
			for _, id := range small {
				if got := r.owner.state.Jobs[id].ReportedState(); got != tracker.JobDone {
					t.Errorf("job %s is reported as %s", id, got)
				}
			}
			for _, a := range r.agents {
				if n := len(a.report.Ends); n > 0 {
					t.Errorf("%d ends of %s are not acknowledged", n, a.report.VM)
				}
			}
			r.store.refuses = nil
			r.replaceOwner(100 * time.Millisecond)
			r.run(3 * time.Second)
			if got := r.owner.state.Jobs[largeJobID].ReportedState(); got != tracker.JobDone || len(starts) != 600+4*len(small) {
				t.Errorf("the job that was refused is reported as %s, %d tasks have started", got, len(starts))
			}
			for key := range r.store.records {
				if key == heldEndsKey {
					t.Error("the record of held ends is kept after their job is stored")
				}
			}
		})
	}
}

// Guards against acknowledged ends that are lost: the removal of the record of held ends has failed, and is
// repeated after ends are held again.
func TestRemovalLeavesEndsThatAreHeldSince(t *testing.T) {
	r := newReplay(t, 0)
	r.submit("urgent", specifier.Step{Count: 4, Needs: specifier.Resources{CPUMillis: 100, MemoryMB: 10}, EstimateMillis: 1000})
	r.run(500 * time.Millisecond)
	r.store.refuses = func(p keeper.Put) error {
		if p.Key == ProgressKey(largeJobID) {
			return errForbidden
		}
		return nil
	}
	r.owner.state.Jobs[largeJobID].Refused = true
	r.run(time.Second)
	r.owner.removals = append(r.owner.removals, heldEndsKey)
	r.run(time.Second)
	if got := string(r.store.records[heldEndsKey].Value); !strings.Contains(got, largeJobID) {
		t.Errorf("held ends: %q", got)
	}
}

// Guards against a cell in which no end is acknowledged any more after the workers of a rack have crashed under a
// job with many tasks: its record holds a crash for each of them.
func TestCrashUnderLargeJobStopsNoAcknowledgement(t *testing.T) {
	tests := []struct{ count, crashes int }{{8000, 2}, {16_000, 1}, {specifier.MaxTasks, 1}}
	for _, tt := range tests {
		count := tt.count
		t.Run(fmt.Sprint(count, " tasks"), func(t *testing.T) {
			r := newReplay(t, 0)
			r.store.refuses = func(p keeper.Put) error {
				if len(p.Value) > keeper.MaxValueBytes {
					return errTooLarge
				}
				return nil
			}
			r.submit("urgent", specifier.Step{Count: count, Needs: specifier.Resources{CPUMillis: 10, MemoryMB: 1}, EstimateMillis: 600_000})
			now := r.now
			for crash := range tt.crashes {
				for n := range 3 {
					report := tracker.Report{Incarnation: fmt.Sprint("life-", crash), Ready: true}
					vm, _ := r.owner.state.Attach(tracker.VMInfo{Name: fmt.Sprint("rack-vm-", n)}, report, now)
					crashed := tracker.ReportedCrash{Seq: int64(crash + 1)}
					for index := n; index < count; index += 3 {
						task := r.owner.state.Find(specifier.TaskID{Job: largeJobID, Index: index})
						run := r.owner.state.Place(task, vm, int64(crash+1), now)
						crashed.Runs = append(crashed.Runs, tracker.CrashedRun{Key: run.Key(), Age: 20 * time.Second})
					}
					report.Incarnation, report.OrdersSeen, report.Crashes = fmt.Sprint("life-", crash+1), vm.OrderSeq, []tracker.ReportedCrash{crashed}
					r.owner.state.Apply(vm, report, now)
				}
			}
			r.submit("urgent", specifier.Step{Count: 4, Needs: specifier.Resources{CPUMillis: 10, MemoryMB: 1}, EstimateMillis: 200})
			small := fmt.Sprintf("%016x", r.jobs)
			r.runUntil(2*time.Second, func() bool { return r.owner.state.Jobs[small].ReportedState() == tracker.JobDone })
			r.run(200 * time.Millisecond)
			if got := r.owner.state.Jobs[small].ReportedState(); got != tracker.JobDone {
				t.Errorf("the small job is reported as %s", got)
			}
			if got := r.store.records[ProgressKey(largeJobID)]; len(got.Value) == 0 {
				t.Error("the progress of the large job is not stored")
			}
			for _, a := range r.agents {
				if n := len(a.report.Ends); n > 0 {
					t.Errorf("%d ends of %s are not acknowledged", n, a.report.VM)
				}
			}
		})
	}
}

// Guards against a record that holds back others by its transaction: each must be written if the store takes it.
func TestRecordsAreWrittenApart(t *testing.T) {
	puts := func(n int) (all []keeper.Put) {
		for i := range n {
			all = append(all, keeper.Put{Key: fmt.Sprintf("progress/%02d", i), Value: []byte(strings.Repeat("x", 10+i))})
		}
		return append(all, keeper.Put{Key: "progress/large", Value: make([]byte, tracker.MaxRecordBytes)})
	}
	tests := []struct {
		name   string
		fails  map[string]error
		last   map[string]bool
		want   int // records that are written, of 41
		calls  int
		failed string // in a transaction of its own
	}{
		{"none fails", nil, nil, 41, 4, ""},
		{"one is refused", map[string]error{"progress/20": errForbidden}, nil, 40, 4 + maxPutsPerTransaction, "progress/20"},
		{"the large one is refused", map[string]error{"progress/large": errTooLarge}, nil, 40, 4, "progress/large"},
		{"the large one is not answered", map[string]error{"progress/large": errNoResponse}, nil, 40, 4, "progress/large"},
		{"the first is not answered", map[string]error{"progress/00": errNoResponse}, nil, 0, 1, ""},
		{"the first is not answered again", map[string]error{"progress/00": errNoResponse}, map[string]bool{"progress/00": true}, 40, 5, "progress/00"},
		{"one of two that have failed before", map[string]error{"progress/00": errNoResponse}, map[string]bool{"progress/00": true, "progress/01": true}, 40, 6, "progress/00"},
		{"the ownership has ended", map[string]error{"progress/00": keeper.ErrConflict{Key: "owner"}}, nil, 0, 1, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			calls := 0
			store := replayStore{records: make(map[string]keeper.Record), refuses: func(p keeper.Put) error { return tt.fails[p.Key] }}
			w := newWriter(store.calls().Transact)
			w.fence = keeper.Expectation{Key: "owner", Revision: 1}
			transact := w.transact
			w.transact = func(ctx context.Context, tx keeper.Transaction) (int64, error) {
				calls++
				return transact(ctx, tx)
			}
			failed := w.putAll(t.Context(), puts(40), tt.last)
			if len(store.records) != tt.want || len(failed.all) != 41-tt.want || calls != tt.calls {
				t.Errorf("%d records are written in %d calls, %d have failed, want %d in %d calls", len(store.records), calls, len(failed.all), tt.want, tt.calls)
			}
			if tt.failed != "" && !failed.own[tt.failed] || tt.failed == "" && len(failed.own) != 0 {
				t.Errorf("failed in transactions of their own: %v, want %q", failed.own, tt.failed)
			}
		})
	}
}
