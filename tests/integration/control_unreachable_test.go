package integration

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"bamboospread/internal/standin/worker"
	"bamboospread/internal/wire/messenger"
	"bamboospread/tests/harness"
	"bamboospread/tests/proxy"
)

const (
	unreachableTasks = 6
	// unreachableTaskMillis is longer than all faults: no task completes on a VM that is given up.
	unreachableTaskMillis = 9000
)

// submitLongTasks submits tasks that run for some seconds, waits until all of them run, and returns the
// VM with the most of them.
func (r *cellTestbed) submitLongTasks() *harness.VM {
	r.t.Helper()
	var specs []messenger.TaskSpec
	for i := range unreachableTasks {
		specs = append(specs, messenger.TaskSpec{
			ID: fmt.Sprint("long-", i), Tenant: "packhouse", Class: "label-batch", Payload: fmt.Sprintf(`{"run-ms":%d}`, unreachableTaskMillis),
		})
	}
	r.submit(r.t.Context(), specs)
	counts := make(map[string]int)
	harness.WaitFor(r.t, completionLimit, "the start of all tasks", func(context.Context) error {
		clear(counts)
		for _, e := range r.TaskEvents() {
			counts[e.VM]++
		}
		if n := len(harness.CountStarts(r.TaskEvents())); n < unreachableTasks {
			return fmt.Errorf("%d tasks have started", n)
		}
		return nil
	})
	time.Sleep(500 * time.Millisecond) // polls report them
	busiest := r.VMs[0]
	for _, vm := range r.VMs {
		if counts[vm.Name] > counts[busiest.Name] {
			busiest = vm
		}
	}
	return busiest
}

// vmLinkFault makes a VM unreachable over one of its links and ends that again.
type vmLinkFault struct {
	name string
	// kept is set if the fault is shorter than the leases: no task may be given up.
	kept   bool
	inject func(r *cellTestbed, vm *harness.VM)
}

// checkLink plays faults of a link while tasks run, each beside the others.
func checkLink(t *testing.T, faults []vmLinkFault) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			r := newLinkedCellTestbed(t, harness.Seed(t), 3, harness.FleetText, true)
			vm := r.submitLongTasks()
			f.inject(r, vm)
			r.ClearFaults()
			r.awaitCompleted()
			r.checkNoDuplicates()
			r.checkCapacity()
			for id, n := range harness.CountStarts(r.TaskEvents()) {
				if f.kept && n > 1 {
					t.Errorf("%s was given up: %d starts", id, n)
				}
			}
			for _, e := range r.Entries {
				for _, l := range e.LogLines() {
					// The worker lists each attempt until its end is acknowledged. One that it
					// does not list would count as lost in a crash.
					if strings.Contains(l, "crashes its workers") || strings.Contains(l, "no longer reported by its VM") {
						t.Errorf("a worker that lives has crashed: %s", l)
					}
				}
			}
			for _, e := range r.TaskEvents() {
				if e.Event == worker.EventFailed {
					t.Errorf("%s failed on %s", e.Task, e.VM)
				}
			}
		})
	}
}

// TestUnreachableWorkerKeepsItsTasks guards against tasks of classes that run twice at once, or are given
// up: a worker whose connections are reset and refused, as by a filter, a proxy or a closed listener,
// lives on with its tasks.
func TestUnreachableWorkerKeepsItsTasks(t *testing.T) {
	unreachable := proxy.Faults{Unreachable: true}
	during := func(d time.Duration, f proxy.Faults) func(*cellTestbed, *harness.VM) {
		return func(_ *cellTestbed, vm *harness.VM) {
			vm.WorkerLink.Set(f)
			time.Sleep(d)
		}
	}
	checkLink(t, []vmLinkFault{
		{"shorter than the leases", true, during(700*time.Millisecond, unreachable)},
		{"about as long as the leases", false, during(testVMLease, unreachable)},
		{"longer than the leases", false, during(5*time.Second, unreachable)},
		{"connections are accepted and reset", false, during(3*time.Second, proxy.Faults{Refuse: true})},
		{"again and again", false, func(_ *cellTestbed, vm *harness.VM) {
			for range 10 {
				vm.WorkerLink.Set(unreachable)
				time.Sleep(300 * time.Millisecond)
				vm.WorkerLink.Reset()
				time.Sleep(100 * time.Millisecond)
			}
		}},
		{"agent started again meanwhile", false, func(_ *cellTestbed, vm *harness.VM) {
			vm.WorkerLink.Set(unreachable)
			time.Sleep(300 * time.Millisecond)
			vm.Agent.Restart()
			time.Sleep(500 * time.Millisecond)
			vm.WorkerLink.Reset()
			time.Sleep(500 * time.Millisecond)
			vm.WorkerLink.Set(unreachable)
			time.Sleep(4 * time.Second)
		}},
		{"owner replaced meanwhile", false, func(r *cellTestbed, vm *harness.VM) {
			vm.WorkerLink.Set(unreachable)
			time.Sleep(100 * time.Millisecond)
			e := r.Entries[r.ownerIndex()]
			e.Kill()
			time.Sleep(pastLeaseTime)
			e.Start()
		}},
	})
}

// TestUnreachableAgentKeepsItsTasks guards against tasks of classes that run twice at once, or are given
// up: an agent whose session with the cell's owner is closed or refused lives on, and so do its worker
// and their tasks.
func TestUnreachableAgentKeepsItsTasks(t *testing.T) {
	reset := func(r *cellTestbed, vm *harness.VM) { r.SetAgentFaults(vm, proxy.Faults{Refuse: true}) }
	checkLink(t, []vmLinkFault{
		{"reset once", true, func(r *cellTestbed, vm *harness.VM) {
			reset(r, vm)
			r.SetAgentFaults(vm, proxy.Faults{})
			time.Sleep(time.Second)
		}},
		{"reset for longer than the leases", false, func(r *cellTestbed, vm *harness.VM) {
			reset(r, vm)
			time.Sleep(5 * time.Second)
		}},
		{"the entries refuse all connections for a moment", true, func(r *cellTestbed, _ *harness.VM) {
			for _, e := range r.Entries {
				e.RPCLink.Set(proxy.Faults{Unreachable: true})
			}
			time.Sleep(300 * time.Millisecond)
		}},
		{"the entries refuse all connections for longer than the leases", false, func(r *cellTestbed, _ *harness.VM) {
			for _, e := range r.Entries {
				e.RPCLink.Set(proxy.Faults{Unreachable: true})
			}
			time.Sleep(4 * time.Second)
		}},
		{"agent started again meanwhile", false, func(r *cellTestbed, vm *harness.VM) {
			reset(r, vm)
			vm.Agent.Restart()
			time.Sleep(4 * time.Second)
		}},
		{"owner replaced meanwhile", false, func(r *cellTestbed, vm *harness.VM) {
			reset(r, vm)
			e := r.Entries[r.ownerIndex()]
			e.Kill()
			time.Sleep(pastLeaseTime)
			e.Start()
		}},
	})
}
