package integration

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/standin/executor"
	"bamboospread/tests/harness"
	"bamboospread/tests/proxy"
)

const (
	lapseRounds = 3
	// lapseTime is how long the executors take to end runs once their leases have expired. Agents allow
	// a second, as for a stop.
	lapseTime = 950 * time.Millisecond
	lapseJob  = "00000000000004d7"
)

// lapsedRun is a run that its executor ended because its lease had expired, and the next run of its task.
type lapsedRun struct {
	task               string
	expired, ended     time.Time
	startedAgain       time.Time
	vm, startedAgainOn string
}

// lapsedRuns returns the lapsed runs whose tasks have started again, in the order of their ends.
func lapsedRuns(events []executor.Event) (lapsed []lapsedRun) {
	for task, runs := range spans(events) {
		for i, s := range runs[:max(len(runs)-1, 0)] {
			if s.outcome == "lapsed" {
				lapsed = append(lapsed, lapsedRun{
					task: task, vm: s.vm, expired: lastBefore(events, "lapse", s.vm, s.to), ended: s.to, startedAgain: runs[i+1].from, startedAgainOn: runs[i+1].vm,
				})
			}
		}
	}
	slices.SortFunc(lapsed, func(a, b lapsedRun) int { return a.ended.Compare(b.ended) })
	return lapsed
}

// lastBefore returns when the last event of a kind on a VM was, up to a time.
func lastBefore(events []executor.Event, kind, vm string, until time.Time) (at time.Time) {
	for _, e := range events {
		if e.Kind == kind && e.VM == vm && !e.At.After(until) {
			at = e.At
		}
	}
	return at
}

// busiestJobVM returns the VM with the most runs, and how many it has.
func (r *jobTestbed) busiestJobVM() (vm *harness.JobVM, tasks int) {
	r.t.Helper()
	counts := make(map[string]int)
	for _, runs := range spans(r.JobEvents()) {
		if last := runs[len(runs)-1]; last.to.IsZero() {
			counts[last.vm]++
		}
	}
	for _, candidate := range r.JobVMs {
		if counts[candidate.Name] > tasks {
			vm, tasks = candidate, counts[candidate.Name]
		}
	}
	return vm, tasks
}

// awaitStartsSince waits until so many tasks have started since a time.
func (r *jobTestbed) awaitStartsSince(from time.Time, tasks int) {
	r.t.Helper()
	harness.WaitFor(r.t, jobTimeout, "the tasks' next starts", func(context.Context) error {
		if n := len(r.startsSince(from)); n < tasks {
			return fmt.Errorf("%d of %d tasks have started again", n, tasks)
		}
		return nil
	})
}

// reportMargins logs how long after the end of its lapsed run each task started again.
func (r *jobTestbed) reportMargins() {
	lapsed := lapsedRuns(r.JobEvents())
	if len(lapsed) == 0 {
		r.t.Error("no lapsed run's task has started again")
		return
	}
	for _, l := range lapsed {
		r.t.Logf("%s: leases expired on %s at %s; %.3f s later its run had ended, %.3f s later it started on %s", l.task, l.vm, formatTime(l.expired), l.ended.Sub(l.expired).Seconds(), l.startedAgain.Sub(l.expired).Seconds(), l.startedAgainOn)
	}
}

// TestLapsedRunsEndBeforeTheirTasksStartAgain guards against tasks that run twice at once: a worker whose
// agent is lost may take as long for the end of its runs, once their leases have expired, as for a stop.
func TestLapsedRunsEndBeforeTheirTasksStartAgain(t *testing.T) {
	for _, tt := range []struct {
		name string
		lose func(r *jobTestbed, vm *harness.JobVM)
		back func(r *jobTestbed, vm *harness.JobVM)
	}{
		{
			"agent frozen",
			func(_ *jobTestbed, vm *harness.JobVM) { vm.Agent.Pause() },
			func(_ *jobTestbed, vm *harness.JobVM) { vm.Agent.Resume() },
		},
		{
			"agent killed",
			func(_ *jobTestbed, vm *harness.JobVM) { vm.Agent.Kill() },
			func(_ *jobTestbed, vm *harness.JobVM) { vm.Agent.Start() },
		},
		{
			"agent cut off",
			func(r *jobTestbed, vm *harness.JobVM) {
				r.SetJobAgentFaults(vm, proxy.Faults{Cut: proxy.BothDirections})
			},
			func(r *jobTestbed, vm *harness.JobVM) { r.SetJobAgentFaults(vm, proxy.Faults{}) },
		},
		{
			"agent killed, then the owner",
			func(r *jobTestbed, vm *harness.JobVM) {
				vm.Agent.Kill()
				wait(r.t.Context(), 300*time.Millisecond)
				e := r.jobOwner()
				e.Kill()
				wait(r.t.Context(), time.Second)
				e.Start()
			},
			func(_ *jobTestbed, vm *harness.JobVM) { vm.Agent.Start() },
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newLinkedJobTestbed(t, harness.Seed(t), 0, "--lapse-time", lapseTime.String())
			r.submit(&specifier.Job{ID: lapseJob, Queue: "sorting", Payload: `{"run-ms":600000}`, Steps: []specifier.Step{
				{Count: 6, MaxPerVM: 3, EstimateMillis: 600_000, Needs: specifier.Resources{CPUMillis: 1000, MemoryMB: 256}},
			}})
			r.awaitStartsSince(time.Time{}, 6)
			for range lapseRounds {
				vm, tasks := r.busiestJobVM()
				lost := time.Now()
				tt.lose(r, vm)
				r.awaitStartsSince(lost, tasks)
				tt.back(r, vm)
				wait(t.Context(), 2*time.Second) // until the agent reports again
			}
			r.checkDuplicateRuns()
			r.reportMargins()
		})
	}
}
