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

// cellModel applies plans as the owner of a cell does, without delay.
type cellModel struct {
	s Snapshot
}

func (m *cellModel) vm(name string) *VM {
	for i := range m.s.VMs {
		if m.s.VMs[i].Name == name {
			return &m.s.VMs[i]
		}
	}
	return nil
}

func (m *cellModel) apply(p Plan) {
	started := make(map[string]string)
	for _, st := range p.Starts {
		started[st.TaskID] = st.VM
	}
	held := make(map[string]bool)
	for _, h := range p.Holds {
		held[h.TaskID] = true
	}
	var rest []Task
	for _, t := range m.s.Queued {
		switch vm, ok := started[t.ID]; {
		case ok:
			t.VM, t.Started = vm, m.s.Now
			v := m.vm(vm)
			v.Committed = v.Committed.Add(t.Needs)
			m.s.Placed = append(m.s.Placed, t)
		case !held[t.ID]:
			rest = append(rest, t)
		}
	}
	m.s.Queued = rest
	for _, th := range p.Throttles {
		t := m.placed(th.TaskID)
		t.Percent = th.Percent
		m.vm(t.VM).LastAdjustedAt = m.s.Now
	}
	for _, e := range p.Evictions {
		m.vm(m.placed(e.TaskID).VM).LastAdjustedAt = m.s.Now
		m.end(e.TaskID)
	}
}

func (m *cellModel) placed(id string) *Task {
	for i := range m.s.Placed {
		if m.s.Placed[i].ID == id {
			return &m.s.Placed[i]
		}
	}
	return nil
}

func (m *cellModel) end(id string) {
	for i, t := range m.s.Placed {
		if t.ID == id {
			v := m.vm(t.VM)
			v.Committed = v.Committed.Sub(t.Needs)
			m.s.Placed = append(m.s.Placed[:i], m.s.Placed[i+1:]...)
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

func checkReason(t *testing.T, got string) {
	t.Helper()
	if got == "" {
		t.Error("a decision has no reason")
	}
}
