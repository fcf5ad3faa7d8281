package scheduler

import (
	"context"
	"errors"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// Guards against a gang whose members on other VMs are started and end alone, because one was placed on
// a VM that joins and whose agent has no grant yet.
func TestGangWaitsForGrantOfItsVMs(t *testing.T) {
	o := newTestOwner(func(context.Context, keeper.Transaction) (int64, error) { return 0, errors.New("not used") })
	o.state.SetPolicy(&specifier.Policy{Version: 1, Queues: []specifier.Queue{{Name: "q"}}})
	gang := &specifier.Job{ID: "00000000000004d2", Queue: "q", Steps: []specifier.Step{{Count: 2, Needs: specifier.Resources{CPUMillis: 1000, MemoryMB: 100}, Gang: true}}}
	o.state.AddJob(gang, time.Time{}, time.Now())
	report := func(vm string, granted bool) {
		applyReport(t, o, new(connector.Conn), messenger.WorkReport{
			VM: vm, Process: 1, Session: 1, Incarnation: "1", Ready: true, Granted: granted, VMInfo: &messenger.WorkVMInfo{Capacity: specifier.Resources{CPUMillis: 1000, MemoryMB: 1000}},
		})
	}
	orders := func() map[string]int {
		o.startWaitingTasks(time.Now())
		count := make(map[string]int)
		for name, s := range o.sessions {
			if n := len(s.queued); n > 0 {
				count[name] = n
			}
		}
		return count
	}
	o.members["vm-1"] = true
	report("vm-1", true)
	report("vm-2", false)
	if got := orders(); len(got) > 0 {
		t.Errorf("orders %v while vm-2 has no grant", got)
	}
	o.members["vm-2"] = true
	report("vm-2", true)
	if got := orders(); got["vm-1"] != 1 || got["vm-2"] != 1 {
		t.Errorf("orders %v, want one for each VM", got)
	}
}
