package integration

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/tests/harness"
	"bamboospread/tests/proxy"
)

// frozenAgentTasks is how many tasks run when a frozen agent awakes.
const frozenAgentTasks = 4

// TestFrozenAgentEndsNoRuns guards against tasks that run twice at once: an agent's process stands still, the
// next one starts tasks, and the former one awakes while it can't reach the worker and the network resets the
// connections of the next one.
func TestFrozenAgentEndsNoRuns(t *testing.T) {
	t.Parallel()
	r := newLinkedJobTestbed(t, harness.Seed(t), 3)
	vm, others := r.JobVMs[0], r.JobVMs[1:]
	await := func(message string, vm *harness.JobVM, want int) {
		t.Helper()
		harness.WaitFor(t, jobTimeout, fmt.Sprintf("%q of %s", message, vm.Name), func(context.Context) error {
			n := 0
			for _, l := range r.jobLogLines() {
				if hasMessage(l, message) && strings.Contains(l, "vm="+vm.Name) {
					n++
				}
			}
			if n < want {
				return fmt.Errorf("%d lines, want %d", n, want)
			}
			return nil
		})
	}
	for _, vm := range r.JobVMs { // the tasks start on the first VM
		await("VM attached", vm, 1)
		vm.Agent.Pause()
	}
	vm.ExecutorLink.Set(unreachable)
	next := r.StartNextAgent(vm)
	await("VM attached", vm, 2)
	for _, vm := range others {
		await("VM detached", vm, 1)
	}
	r.submit(&specifier.Job{ID: "00000000000004d7", Queue: "sorting", Payload: fmt.Sprintf(`{"run-ms":%d}`, unreachableRunMillis), Steps: []specifier.Step{
		{Count: frozenAgentTasks, EstimateMillis: unreachableRunMillis, Needs: specifier.Resources{CPUMillis: 1000, MemoryMB: 256}},
	}})
	harness.WaitFor(t, jobTimeout, "the start of all tasks", func(context.Context) error {
		if n := len(spans(r.JobEvents())); n < frozenAgentTasks {
			return fmt.Errorf("%d tasks have started", n)
		}
		return nil
	})
	for _, vm := range others { // they have room for the tasks
		vm.Agent.Resume()
	}
	wait(t.Context(), time.Second) // until the owner knows what runs
	for _, e := range r.Entries {
		e.RPCLink.SetFor(next.Name, proxy.Faults{Refuse: true})
	}
	vm.Agent.Resume()
	wait(t.Context(), beyondSilence)
	vm.Agent.Kill()
	r.ClearFaults()
	r.awaitJobs()
	r.checkDuplicateRuns()
	r.checkOrder()
	r.checkCapacity()
}
