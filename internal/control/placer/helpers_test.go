package placer

import (
	"fmt"
	"testing"
	"time"

	"bamboospread/internal/fleet/describer"
)

var start = time.Date(2026, 12, 2, 6, 0, 0, 0, time.UTC)

func cores(n int64) describer.Resources {
	return describer.Resources{Millicores: n * 1000, MemoryBytes: n << 32}
}

func fleetOf(tenants ...describer.Tenant) describer.Config {
	return describer.Config{
		Zones:   []describer.Zone{{Name: "a", State: describer.ZoneIn}, {Name: "b", State: describer.ZoneIn}, {Name: "c", State: describer.ZoneOut}},
		Tenants: tenants,
		Services: []describer.Service{
			{Name: "depth", Tenant: "s", Needs: cores(4), Replicas: 2, LatencyObjective: 50 * time.Millisecond},
		},
	}
}

func vmsOf(n int, zones ...string) []VM {
	var vms []VM
	for i := range n {
		vms = append(vms, VM{
			Name: fmt.Sprintf("vm-%02d", i), Zone: zones[i%len(zones)], Rack: fmt.Sprintf("rack-%d", i/3),
			Total: cores(32), Reachable: true,
		})
	}
	return vms
}

func queued(id, tenant string, needs describer.Resources) Task {
	return Task{ID: id, Tenant: tenant, Class: "label", Needs: needs, Checkpoint: true, Submitted: start}
}

// world applies plans, as the owner of a cell does, without any delay.
type world struct {
	s Snapshot
}

func (w *world) vm(name string) *VM {
	for i := range w.s.VMs {
		if w.s.VMs[i].Name == name {
			return &w.s.VMs[i]
		}
	}
	return nil
}

func (w *world) apply(p Plan) {
	started := make(map[string]string)
	for _, st := range p.Starts {
		started[st.TaskID] = st.VM
	}
	held := make(map[string]bool)
	for _, h := range p.Holds {
		held[h.TaskID] = true
	}
	var rest []Task
	for _, t := range w.s.Queued {
		switch vm, ok := started[t.ID]; {
		case ok:
			t.VM, t.Started = vm, w.s.Now
			v := w.vm(vm)
			v.Committed = v.Committed.Add(t.Needs)
			w.s.Placed = append(w.s.Placed, t)
		case !held[t.ID]:
			rest = append(rest, t)
		}
	}
	w.s.Queued = rest
	for _, th := range p.Throttles {
		t := w.placed(th.TaskID)
		t.Percent = th.Percent
		w.vm(t.VM).Acted = w.s.Now
	}
	for _, e := range p.Evictions {
		w.vm(w.placed(e.TaskID).VM).Acted = w.s.Now
		w.end(e.TaskID)
	}
}

func (w *world) placed(id string) *Task {
	for i := range w.s.Placed {
		if w.s.Placed[i].ID == id {
			return &w.s.Placed[i]
		}
	}
	return nil
}

func (w *world) end(id string) {
	for i, t := range w.s.Placed {
		if t.ID == id {
			v := w.vm(t.VM)
			v.Committed = v.Committed.Sub(t.Needs)
			w.s.Placed = append(w.s.Placed[:i], w.s.Placed[i+1:]...)
			return
		}
	}
}

func startsOf(p Plan) map[string]string {
	m := make(map[string]string)
	for _, s := range p.Starts {
		m[s.TaskID] = s.VM
	}
	return m
}

func wantReason(t *testing.T, got string) {
	t.Helper()
	if got == "" {
		t.Error("a decision carries no reason")
	}
}
