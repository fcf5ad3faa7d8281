package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bamboospread/internal/fleet/describer"
)

var policies = []Policy{PolicyLearned, PolicyNoLearning, PolicyFirstFit, PolicyStaticHeadroom}

// drawSnapshot draws a cell in which committed resources match the placed
// tasks.
func drawSnapshot(t *rapid.T) Snapshot {
	resources := rapid.Custom(func(t *rapid.T) describer.Resources {
		return describer.Resources{
			Millicores:   rapid.Int64Range(0, 40).Draw(t, "cores") * 1000,
			MemoryBytes:  rapid.Int64Range(0, 40).Draw(t, "memory") << 30,
			Accelerators: rapid.Int64Range(0, 2).Draw(t, "accelerators"),
		}
	})
	var tenants []describer.Tenant
	for i := range 3 {
		q := describer.Resources{Millicores: rapid.Int64Range(0, 60).Draw(t, "quota") * 1000}
		tenants = append(tenants, describer.Tenant{Name: fmt.Sprint("t", i), Weight: rapid.Float64Range(0, 4).Draw(t, "weight"), Quota: q})
	}
	s := Snapshot{Now: start.Add(time.Hour), Fleet: describer.New(fleetOf(tenants...)), EvictionsLeft: rapid.IntRange(0, 5).Draw(t, "budget")}
	for i := range rapid.IntRange(0, 120).Draw(t, "vms") {
		v := VM{
			Name: fmt.Sprint("vm", i), Zone: rapid.SampledFrom([]string{"a", "b", "c", "unnamed"}).Draw(t, "zone"),
			Rack: fmt.Sprint("r", i/3), Total: resources.Draw(t, "total"),
			Reachable:   rapid.IntRange(0, 9).Draw(t, "reach") > 0,
			Leaving:     rapid.IntRange(0, 9).Draw(t, "leave") == 0,
			Quarantined: rapid.IntRange(0, 9).Draw(t, "quarantine") == 0,
		}
		if rapid.Bool().Draw(t, "serves") {
			v.Services = []string{"depth"}
		}
		if rapid.IntRange(0, 3).Draw(t, "returned") == 0 {
			v.ReturnedAt = s.Now.Add(-time.Duration(rapid.IntRange(0, 100).Draw(t, "since")) * time.Second)
		}
		s.VMs = append(s.VMs, v)
	}
	for i := range rapid.IntRange(0, 60).Draw(t, "tasks") {
		task := Task{
			ID: fmt.Sprint("task", i), Tenant: fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "tenant")),
			Class: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "class"), Needs: resources.Draw(t, "needs"),
			Urgent: rapid.Bool().Draw(t, "urgent"), Checkpoint: rapid.Bool().Draw(t, "checkpoint"),
			Submitted: start.Add(time.Duration(i) * time.Minute), Percent: rapid.SampledFrom([]int{0, 100, 70, 20}).Draw(t, "percent"),
		}
		if rapid.IntRange(0, 5).Draw(t, "replica") == 0 {
			task.Service = "depth"
		}
		if n := len(s.VMs); n > 0 && rapid.Bool().Draw(t, "placed") {
			v := &s.VMs[rapid.IntRange(0, n-1).Draw(t, "at")]
			if task.Needs.Fits(v.Total.Sub(v.Committed)) {
				v.Committed = v.Committed.Add(task.Needs)
				task.VM = v.Name
				s.Placed = append(s.Placed, task)
				continue
			}
		}
		s.Queued = append(s.Queued, task)
	}
	ratio := rapid.Float64Range(0, 3).Draw(t, "ratio")
	s.Pressure = func(string, string) float64 { return ratio }
	s.Interference = func(_, class string) (float64, float64) { return float64(len(class)) * 0.1, 0.5 }
	return s
}

func TestPlanRespectsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		p := New(Config{Policy: rapid.SampledFrom(policies).Draw(t, "policy")})
		before := fmt.Sprintf("%+v", s.VMs)
		plan := p.Plan(s)
		if fmt.Sprintf("%+v", s.VMs) != before {
			t.Fatal("Plan changed its snapshot")
		}
		checkStarts(t, s, plan)
		checkEvictions(t, s, plan)
		if diff := cmp.Diff(plan, p.Plan(s)); diff != "" {
			t.Fatalf("two plans of the same snapshot differ: %s", diff)
		}
	})
}

// checkStarts checks that no VM capacity or quota is exceeded, that no task
// starts on a blocked VM, and that each queued task has exactly one decision.
func checkStarts(t *rapid.T, s Snapshot, plan Plan) {
	free, vms := make(map[string]describer.Resources), make(map[string]VM)
	for _, v := range s.VMs {
		free[v.Name], vms[v.Name] = v.Total.Sub(v.Committed), v
	}
	used := make(map[string]describer.Resources)
	for _, task := range s.Placed {
		used[task.Tenant] = used[task.Tenant].Add(task.Needs)
	}
	starts, holds := startsOf(plan), make(map[string]bool)
	for _, h := range plan.Holds {
		holds[h.TaskID] = true
	}
	if len(starts) != len(plan.Starts) {
		t.Fatal("a task starts twice")
	}
	for _, task := range s.Queued {
		vm, ok := starts[task.ID]
		_, waits := plan.Waits[task.ID]
		if n := countTrue(ok) + countTrue(waits) + countTrue(holds[task.ID]); n != 1 {
			t.Fatalf("task %s has %d decisions, want 1", task.ID, n)
		}
		if !ok {
			continue
		}
		v := vms[vm]
		if v.Leaving || !v.Reachable || v.Quarantined || s.Fleet.ZoneIsOut(v.Zone) {
			t.Fatalf("task %s starts on blocked VM %+v", task.ID, v)
		}
		if free[vm] = free[vm].Sub(task.Needs); !(describer.Resources{}).Fits(free[vm]) {
			t.Fatalf("capacity of VM %s is exceeded: %+v free", vm, free[vm])
		}
		tenant, _ := s.Fleet.Tenant(task.Tenant)
		if used[task.Tenant] = used[task.Tenant].Add(task.Needs); !withinQuota(used[task.Tenant], tenant.Quota) && task.Needs != (describer.Resources{}) {
			t.Fatalf("quota of tenant %s is exceeded: %+v used", task.Tenant, used[task.Tenant])
		}
	}
}

func countTrue(b bool) int {
	if b {
		return 1
	}
	return 0
}

func checkEvictions(t *rapid.T, s Snapshot, plan Plan) {
	if len(plan.Evictions) > s.EvictionsLeft {
		t.Fatalf("%d evictions with a budget of %d", len(plan.Evictions), s.EvictionsLeft)
	}
	seen := make(map[string]bool)
	for _, e := range plan.Evictions {
		if seen[e.TaskID] || e.Reason == "" {
			t.Fatalf("eviction %+v is a duplicate or has no reason", e)
		}
		seen[e.TaskID] = true
	}
}

func TestImpossibleTaskDoesNotBlockOthers(t *testing.T) {
	// A tenant submits a task larger than any VM or than its quota ahead of
	// others. Without a hold it would stay at the head of the queue, and a VM
	// would be reserved for it forever. The starts must be the same as without
	// it.
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		if len(s.VMs) == 0 {
			return
		}
		p := New(Config{})
		want := p.Plan(s)
		huge := queued("huge", "t0", cores(100000))
		huge.Submitted = start.Add(-time.Hour)
		with := s
		with.Queued = append([]Task{huge}, s.Queued...)
		got := p.Plan(with)
		if len(got.Holds) != len(want.Holds)+1 {
			t.Fatalf("holds %+v", got.Holds)
		}
		if diff := cmp.Diff(want.Starts, got.Starts); diff != "" {
			t.Fatalf("an impossible task changed the starts: %s", diff)
		}
	})
}
