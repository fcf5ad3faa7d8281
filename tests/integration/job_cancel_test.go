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
	longRunningJobs = 8
	tasksPerJob     = 3
	// cancelLimit is how long tasks may continue to run once their cancellation is
	// acknowledged and all VMs are reachable.
	cancelLimit = 4 * time.Second
	// stopOrderTime is longer than an owner takes from a cancellation to its stop orders.
	stopOrderTime = 400 * time.Millisecond
)

// Guards against tasks of a cancelled job that never stop: the stop order of the owner is
// lost with a process that ends, while the executors and their tasks keep running.
func TestCancelledTasksEndWhenStopOrdersAreLost(t *testing.T) {
	tests := []struct {
		name   string
		cancel func(r *jobTestbed, jobs []string)
	}{
		{"all processes restart as jobs are cancelled", func(r *jobTestbed, jobs []string) {
			r.killAll()
			r.restartAll()
			r.cancel(jobs)
		}},
		{"agents are killed before they read the stop orders", func(r *jobTestbed, jobs []string) {
			for _, vm := range r.JobVMs {
				vm.Agent.Pause()
			}
			r.cancel(jobs)
			time.Sleep(stopOrderTime)
			for _, vm := range r.JobVMs {
				vm.Agent.Kill()
				vm.Agent.Restart()
			}
		}},
		{"sessions break before the stop orders are read", func(r *jobTestbed, jobs []string) {
			for _, vm := range r.JobVMs {
				r.SetJobAgentFaults(vm, proxy.Faults{Cut: proxy.BothDirections})
			}
			r.cancel(jobs)
			time.Sleep(stopOrderTime)
			r.ClearFaults()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newJobTestbed(t, harness.Seed(t))
			jobs := r.submitLongRunning()
			r.awaitRunning(len(jobs) * tasksPerJob)
			tt.cancel(r, jobs)
			harness.WaitFor(t, cancelLimit, "the end of cancelled tasks", func(context.Context) error {
				if n := r.running(); n > 0 {
					return fmt.Errorf("%d tasks still run", n)
				}
				return nil
			})
		})
	}
}

// submitLongRunning submits long-running jobs and returns their ids.
func (r *jobTestbed) submitLongRunning() []string {
	r.t.Helper()
	var ids []string
	for n := range longRunningJobs {
		j := &specifier.Job{
			ID: fmt.Sprintf("%016x", 0x2000+n), Queue: "labels", Payload: `{"run-ms":-1}`,
			Steps: []specifier.Step{{Count: tasksPerJob, LongRunning: true, Needs: specifier.Resources{CPUMillis: 500, MemoryMB: 100}}},
		}
		r.submit(j)
		ids = append(ids, j.ID)
	}
	return ids
}

func (r *jobTestbed) awaitRunning(tasks int) {
	r.t.Helper()
	harness.WaitFor(r.t, jobTimeout, "all long-running tasks running", func(context.Context) error {
		if n := r.running(); n < tasks {
			return fmt.Errorf("%d of %d tasks run", n, tasks)
		}
		return nil
	})
}

// running counts the runs that have not ended, by the executors' records.
func (r *jobTestbed) running() int {
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

func (r *jobTestbed) killAll() {
	for _, e := range r.Entries {
		e.Kill()
	}
	for _, vm := range r.JobVMs {
		vm.Agent.Kill()
	}
}

func (r *jobTestbed) restartAll() {
	for _, vm := range r.JobVMs {
		vm.Agent.Restart()
	}
	for _, e := range r.Entries {
		e.Restart()
	}
}

// cancel retries each cancellation until it is acknowledged.
func (r *jobTestbed) cancel(jobs []string) {
	r.t.Helper()
	for _, id := range jobs {
		harness.WaitFor(r.t, jobTimeout, "the acknowledgement of a cancellation", func(ctx context.Context) error {
			_, err := r.operator.CancelJob(ctx, id)
			return err
		})
	}
}
