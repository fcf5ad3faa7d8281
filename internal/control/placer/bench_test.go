package placer

import (
	"fmt"
	"testing"
	"time"

	"bamboospread/internal/fleet/describer"
)

// largeCell returns a cell of the given size in steady state, with some queued
// tasks.
func largeCell(vms, tasks, waiting int) Snapshot {
	s := Snapshot{Now: start.Add(time.Hour), Fleet: describer.New(fleetOf()), VMs: vmsOf(vms, "a", "b"), EvictionsLeft: 10}
	for i := range s.VMs {
		s.VMs[i].Total = cores(64)
		s.VMs[i].Services = []string{fmt.Sprint("svc", i%30), fmt.Sprint("svc", (i+7)%30)}
	}
	needs := describer.Resources{Millicores: 2000, MemoryBytes: 4 << 30}
	for i := range tasks {
		v := &s.VMs[i%vms]
		v.Committed = v.Committed.Add(needs)
		s.Placed = append(s.Placed, Task{
			ID: fmt.Sprint("p", i), Tenant: fmt.Sprint("t", i%320), Class: fmt.Sprint("c", i%20), Needs: needs,
			VM: v.Name, Started: start, Checkpoint: true,
		})
	}
	for i := range waiting {
		s.Queued = append(s.Queued, Task{
			ID: fmt.Sprint("q", i), Tenant: fmt.Sprint("t", i%320), Class: fmt.Sprint("c", i%20), Needs: needs,
			Submitted: s.Now.Add(-time.Minute), Checkpoint: true,
		})
	}
	recent := windowsOf(s.Now, 0.6, 4)("", "")
	s.RecentWindows = func(string, string) []Window { return recent }
	s.Interference = func(string, string) (float64, float64) { return 0.01, 0.8 }
	return s
}

// BenchmarkPlan measures a round:
//
//	go test -bench Plan ./internal/control/placer
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ vms, tasks, waiting int }{
		{100, 2200, 22},
		{500, 11000, 110},
		{1500, 33000, 220},
		{4500, 100000, 220},
		{4500, 100000, 2200},
		{4500, 100000, 22000},
	} {
		s := largeCell(size.vms, size.tasks, size.waiting)
		b.Run(fmt.Sprintf("vms=%d/tasks=%d/queued=%d", size.vms, size.tasks, size.waiting), func(b *testing.B) {
			p := New(Config{})
			for b.Loop() {
				p.Plan(s)
			}
		})
	}
}
