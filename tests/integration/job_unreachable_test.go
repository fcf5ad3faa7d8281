package integration

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/standin/executor"
	"bamboospread/tests/harness"
	"bamboospread/tests/proxy"
)

const (
	unreachableRunMillis = 6000
	// quickRestart is far below every lease and allows for a busy machine.
	quickRestart = 2 * time.Second
)

// submitLongTasks submits a job of six tasks that run for some seconds, and waits until all of them
// run. It returns the VM with the most of them, and how many it has.
func (r *jobTestbed) submitLongTasks() (vm *harness.JobVM, tasks int) {
	r.t.Helper()
	r.submit(&specifier.Job{ID: "00000000000004d6", Queue: "sorting", Payload: fmt.Sprintf(`{"run-ms":%d}`, unreachableRunMillis), Steps: []specifier.Step{
		{Count: 6, MaxPerVM: 3, EstimateMillis: unreachableRunMillis, Needs: specifier.Resources{CPUMillis: 1000, MemoryMB: 256}},
	}})
	harness.WaitFor(r.t, jobTimeout, "the start of all tasks", func(context.Context) error {
		if n := len(spans(r.JobEvents())); n < 6 {
			return fmt.Errorf("%d tasks have started", n)
		}
		return nil
	})
	counts := make(map[string]int)
	for _, runs := range spans(r.JobEvents()) {
		counts[runs[0].vm]++
	}
	for _, candidate := range r.JobVMs {
		if counts[candidate.Name] > tasks {
			vm, tasks = candidate, counts[candidate.Name]
		}
	}
	return vm, tasks
}

// startsSince returns the starts after a time.
func (r *jobTestbed) startsSince(from time.Time) (starts []executor.Event) {
	r.t.Helper()
	for _, e := range r.JobEvents() {
		if e.Kind == "start" && e.At.After(from) {
			starts = append(starts, e)
		}
	}
	return starts
}

// TestUnreachableWorkerKeepsItsRuns guards against tasks that run twice at once, and are blamed for a
// crash: a worker whose connections are reset and refused, as by a filter, a proxy or a closed listener,
// lives on with its runs.
func TestUnreachableWorkerKeepsItsRuns(t *testing.T) {
	unreachable := proxy.Faults{Unreachable: true}
	for _, tt := range []struct {
		name   string
		inject func(ctx context.Context, r *jobTestbed, vm *harness.JobVM)
	}{
		{"shorter than the leases", func(ctx context.Context, _ *jobTestbed, vm *harness.JobVM) {
			vm.ExecutorLink.Set(unreachable)
			wait(ctx, 700*time.Millisecond)
		}},
		{"about as long as the leases", func(ctx context.Context, _ *jobTestbed, vm *harness.JobVM) {
			vm.ExecutorLink.Set(unreachable)
			wait(ctx, 5*time.Second)
		}},
		{"longer than the leases", func(ctx context.Context, _ *jobTestbed, vm *harness.JobVM) {
			vm.ExecutorLink.Set(unreachable)
			wait(ctx, 8*time.Second)
		}},
		{"connections are accepted and reset", func(ctx context.Context, _ *jobTestbed, vm *harness.JobVM) {
			vm.ExecutorLink.Set(proxy.Faults{Refuse: true})
			wait(ctx, 3*time.Second)
		}},
		{"again and again", func(ctx context.Context, _ *jobTestbed, vm *harness.JobVM) {
			for range 6 {
				vm.ExecutorLink.Set(unreachable)
				wait(ctx, 400*time.Millisecond)
				vm.ExecutorLink.Reset()
				wait(ctx, 100*time.Millisecond)
			}
		}},
		{"agent started again meanwhile", func(ctx context.Context, _ *jobTestbed, vm *harness.JobVM) {
			vm.ExecutorLink.Set(unreachable)
			wait(ctx, 500*time.Millisecond)
			vm.Agent.Kill()
			vm.Agent.Restart()
			wait(ctx, 2*time.Second)
		}},
		{"owner replaced meanwhile", func(ctx context.Context, r *jobTestbed, vm *harness.JobVM) {
			vm.ExecutorLink.Set(unreachable)
			wait(ctx, 100*time.Millisecond)
			e := r.jobOwner()
			e.Kill()
			wait(ctx, 3*time.Second)
			e.Restart()
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newLinkedJobTestbed(t, harness.Seed(t), 3)
			vm, _ := r.submitLongTasks()
			tt.inject(t.Context(), r, vm)
			r.ClearFaults()
			r.awaitJobs()
			r.checkDuplicateRuns()
			if !slices.ContainsFunc(vm.Agent.LogLines(), func(l string) bool { return strings.Contains(l, `message="worker not responding"`) }) {
				t.Error("the fault had no effect")
			}
			for _, l := range r.jobLogLines() {
				if strings.Contains(l, `message="worker crashed"`) || strings.Contains(l, `message="task suspected"`) {
					t.Errorf("a worker that lives has crashed: %s", l)
				}
			}
		})
	}
}

// TestTasksOfEndedWorkerStartAgainAtOnce guards against tasks that wait for the leases of a worker whose
// process has certainly ended.
func TestTasksOfEndedWorkerStartAgainAtOnce(t *testing.T) {
	statesNoProcess := []string{"--state-process=false"}
	for _, tt := range []struct {
		name  string
		links int // how many agents reach their executor through a proxy
		back  time.Duration
		args  []string // of the executors
	}{
		{"stays away", 0, 0, nil},
		{"stays away behind a proxy", 3, 0, nil},
		{"is back at once", 0, time.Millisecond, nil},
		{"is back after some time", 3, 700 * time.Millisecond, nil},
		{"states no process and is back at once", 0, time.Millisecond, statesNoProcess},
		{"states no process and is back after some time", 0, 700 * time.Millisecond, statesNoProcess},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newLinkedJobTestbed(t, harness.Seed(t), tt.links, tt.args...)
			vm, tasks := r.submitLongTasks()
			ended := time.Now()
			vm.Executor.Kill()
			if tt.back > 0 {
				wait(t.Context(), tt.back)
				vm.Executor.Restart()
			}
			harness.WaitFor(t, tt.back+quickRestart, "the tasks' next starts", func(context.Context) error {
				if n := len(r.startsSince(ended)); n < tasks {
					return fmt.Errorf("%d of %d tasks have started again", n, tasks)
				}
				return nil
			})
			harness.WaitFor(t, quickRestart, "the crash", func(context.Context) error {
				for _, l := range vm.Agent.LogLines() {
					if strings.Contains(l, `message="worker crashed"`) {
						return nil
					}
				}
				return errors.New("no crash is logged")
			})
		})
	}
}
