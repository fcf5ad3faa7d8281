package integration

import (
	"context"
	"fmt"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/tests/harness"
	"bamboospread/tests/proxy"
)

const (
	lastingJobs  = 8
	lastingTasks = 3
	// cancelLimit is how long after a cancellation was acknowledged, and all VMs are in
	// touch, its tasks may run on.
	cancelLimit = 4 * time.Second
	// orderTime is more than an owner takes from a cancellation to the order of its stops.
	orderTime = 400 * time.Millisecond
)

// Guards against tasks of a cancelled job that run on for good: the stop that the owner
// ordered is lost with a process that ends, while the executors and their tasks live on.
func TestCancelledTasksEndThoughTheirStopsAreLost(t *testing.T) {
	tests := []struct {
		name   string
		cancel func(r *jobTrial, jobs []string)
	}{
		{"all processes restart as jobs are cancelled", func(r *jobTrial, jobs []string) {
			r.killAll()
			r.restartAll()
			r.cancel(jobs)
		}},
		{"agents end with the stop not yet read", func(r *jobTrial, jobs []string) {
			for _, vm := range r.JobVMs {
				vm.Agent.Pause()
			}
			r.cancel(jobs)
			time.Sleep(orderTime)
			for _, vm := range r.JobVMs {
				vm.Agent.Kill()
				vm.Agent.Restart()
			}
		}},
		{"sessions break with the stop not yet read", func(r *jobTrial, jobs []string) {
			for _, vm := range r.JobVMs {
				r.SetJobAgentFaults(vm, proxy.Faults{Cut: proxy.BothDirections})
			}
			r.cancel(jobs)
			time.Sleep(orderTime)
			r.ClearFaults()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newJobTrial(t, harness.Seed(t))
			jobs := r.submitLasting()
			r.awaitRunning(len(jobs) * lastingTasks)
			tt.cancel(r, jobs)
			harness.WaitFor(t, cancelLimit, "the end of cancelled tasks", func(context.Context) error {
				if n := r.running(); n > 0 {
					return fmt.Errorf("%d tasks run on", n)
				}
				return nil
			})
		})
	}
}

// submitLasting hands lasting jobs in and returns their ids.
func (r *jobTrial) submitLasting() []string {
	r.t.Helper()
	var ids []string
	for n := range lastingJobs {
		j := &specifier.Job{
			ID: fmt.Sprintf("%016x", 0x2000+n), Queue: "labels", Payload: `{"run-ms":-1}`,
			Steps: []specifier.Step{{Count: lastingTasks, Lasting: true, Needs: specifier.Resources{CPUMillis: 500, MemoryMB: 100}}},
		}
		r.submit(j)
		ids = append(ids, j.ID)
	}
	return ids
}

func (r *jobTrial) awaitRunning(tasks int) {
	r.t.Helper()
	harness.WaitFor(r.t, jobSettle, "all lasting tasks at work", func(context.Context) error {
		if n := r.running(); n < tasks {
			return fmt.Errorf("%d of %d tasks run", n, tasks)
		}
		return nil
	})
}

// running counts the runs that have not ended, by the executors' records.
func (r *jobTrial) running() int {
	r.t.Helper()
	n := 0
	for _, runs := range spans(r.JobEvents()) {
		for _, s := range runs {
			if s.to.IsZero() {
				n++
			}
		}
	}
	return n
}

func (r *jobTrial) killAll() {
	for _, e := range r.Entries {
		e.Kill()
	}
	for _, vm := range r.JobVMs {
		vm.Agent.Kill()
	}
}

func (r *jobTrial) restartAll() {
	for _, vm := range r.JobVMs {
		vm.Agent.Restart()
	}
	for _, e := range r.Entries {
		e.Restart()
	}
}

// cancel repeats each cancellation until it is acknowledged.
func (r *jobTrial) cancel(jobs []string) {
	r.t.Helper()
	for _, id := range jobs {
		harness.WaitFor(r.t, jobSettle, "the acknowledgement of a cancellation", func(ctx context.Context) error {
			_, err := r.operator.CancelJob(ctx, id)
			return err
		})
	}
}
