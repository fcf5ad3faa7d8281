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

// TestCopyRunsWhenVMIsUnreachable guards against a small batch that ends seconds late. The
// VM of its only task is cut off while the task runs; the run there may continue until its
// lease expires, so a task that does not allow copies has to wait for that. If copies are
// allowed, one runs elsewhere at once and the job is done before the lease could have
// expired.
func TestCopyRunsWhenVMIsUnreachable(t *testing.T) {
	t.Parallel()
	r := newJobTestbed(t, harness.Seed(t))
	j := &specifier.Job{ID: "00000000000004d4", Queue: "labels", Payload: `{"run-ms":1200}`, Steps: []specifier.Step{
		{Count: 1, EstimateMillis: 1200, Needs: specifier.Resources{CPUMillis: 500, MemoryMB: 100}, Copies: true},
	}}
	task := specifier.TaskID{Job: j.ID}.String()
	r.submit(j)
	var first *span
	harness.WaitFor(t, jobTimeout, "the first run", func(context.Context) error {
		if runs := spans(r.JobEvents())[task]; len(runs) > 0 {
			first = runs[0]
			return nil
		}
		return fmt.Errorf("%s does not run", task)
	})
	for _, vm := range r.JobVMs {
		if vm.Name == first.vm {
			r.SetJobAgentFaults(vm, proxy.Faults{Cut: proxy.BothDirections})
		}
	}
	cutAt := time.Now()
	r.awaitJobs()
	took := time.Since(cutAt)
	runs := spans(r.JobEvents())[task]
	if len(runs) < 2 || runs[1].vm == first.vm {
		t.Fatalf("%d runs, want a copy on another VM", len(runs))
	}
	// A grant is 5 s; the loss of contact is detected after 1.5 s; the copy runs for 1.2 s.
	if took > 4500*time.Millisecond {
		t.Errorf("done %s after the cut", took)
	}
}
