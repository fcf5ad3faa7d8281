package placer

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bamboospread/internal/fleet/describer"
)

// loadedCell returns a cell whose first VM runs a service with the given
// pressure and two batch tasks, one of them interfering.
func loadedCell(percent int, ratio float64) cellModel {
	m := cellModel{s: Snapshot{Now: start.Add(time.Hour), Fleet: describer.New(fleetOf()), VMs: vmsOf(3, "a"), EvictionsLeft: 3}}
	m.s.VMs[0].Services = []string{"depth"}
	for i, class := range []string{"harmless", "noisy"} {
		m.s.Placed = append(m.s.Placed, Task{
			ID: class, Class: class, Needs: cores(4), VM: "vm-00", Checkpoint: true,
			Percent: percent, Started: start.Add(time.Duration(i) * time.Minute),
		})
		m.s.VMs[0].Committed = m.s.VMs[0].Committed.Add(cores(4))
	}
	m.s.Interference = func(_, class string) (float64, float64) {
		return map[string]float64{"noisy": 0.5, "harmless": 0.001}[class], 1
	}
	m.s.RecentWindows = windowsOf(m.s.Now, ratio, 4)
	return m
}

func windowsOf(now time.Time, ratio float64, n int) func(string, string) []Window {
	var all []Window
	for i := range n {
		to := now.Add(-time.Duration(i) * 5 * time.Second)
		all = append(all, Window{From: to.Add(-5 * time.Second), To: to, Ratio: ratio})
	}
	return func(string, string) []Window { return all }
}

func TestLadder(t *testing.T) {
	cases := []struct {
		name            string
		percent         int
		ratio           float64
		reports         int
		sinceAdjustment time.Duration // before now
		budget          int
		config          Config
		want            string // "TASK PERCENT" or "move TASK"
	}{
		{name: "throttles the interfering task first", ratio: 1.3, reports: 2, budget: 3, want: "noisy 70"},
		{name: "one report is not enough", ratio: 1.3, reports: 1, budget: 3},
		{name: "one report far above the objective is enough", ratio: 2.5, reports: 1, budget: 3, want: "noisy 70"},
		{name: "steps down", percent: 70, ratio: 1.3, reports: 2, budget: 3, want: "noisy 40"},
		{name: "waits for reports that began after the last step", percent: 70, ratio: 1.3, reports: 4, sinceAdjustment: 7 * time.Second, budget: 3},
		{name: "moves when throttling is exhausted", percent: 20, ratio: 1.3, reports: 2, budget: 3, want: "move noisy"},
		{name: "does not exceed the eviction budget", percent: 20, ratio: 1.3, reports: 2},
		{name: "moves without throttling in evict-only mode", ratio: 1.3, reports: 2, budget: 3, config: Config{Ladder: LadderEvictOnly}, want: "move noisy"},
		{name: "does nothing when off", ratio: 1.3, reports: 2, budget: 3, config: Config{Ladder: LadderOff}},
		{name: "changes nothing between the thresholds", percent: 70, ratio: 0.9, reports: 4, budget: 3},
		{name: "relaxes when pressure is low", percent: 20, ratio: 0.4, reports: 4, budget: 3, want: "harmless 100,noisy 100"},
		{name: "relaxes only as far as predicted pressure stays low", percent: 20, ratio: 0.69, reports: 4, budget: 3, want: "harmless 100,noisy 70"},
		{name: "keeps throttles without reports", percent: 20, reports: 0, budget: 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := loadedCell(c.percent, c.ratio)
			m.s.RecentWindows = windowsOf(m.s.Now, c.ratio, c.reports)
			m.s.EvictionsLeft = c.budget
			if c.sinceAdjustment > 0 {
				m.s.VMs[0].LastAdjustedAt = m.s.Now.Add(-c.sinceAdjustment)
			}
			plan := New(c.config).Plan(m.s)
			var got []string
			for _, th := range plan.Throttles {
				got = append(got, fmt.Sprintf("%s %d", th.TaskID, th.Percent))
				checkReason(t, th.Reason)
			}
			for _, e := range plan.Evictions {
				got = append(got, "move "+e.TaskID)
				checkReason(t, e.Reason)
			}
			if s := strings.Join(got, ","); s != c.want {
				t.Errorf("got %q, want %q", s, c.want)
			}
		})
	}
}

func TestLadderDoesNotOscillate(t *testing.T) {
	// The pressure of a service stays near its objective, and reports lag and
	// are noisy. Without the gap between the thresholds and the wait for newer
	// reports, tasks would be throttled and released alternately, and each
	// change would affect the service.
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.Float64Range(0.3, 1.2).Draw(t, "base")
		m := loadedCell(0, 1)
		lag, steps := 10*time.Second, 0
		var history []Window
		for second := range 600 {
			m.s.Now = m.s.Now.Add(time.Second)
			if second%5 == 0 {
				noise := rapid.Float64Range(0.95, 1.05).Draw(t, "noise")
				ratio := base * noise
				for _, task := range m.s.Placed {
					slow, _ := m.s.Interference("depth", task.Class)
					ratio *= math.Pow(1+slow, processorShare(task.Percent))
				}
				history = append([]Window{{From: m.s.Now.Add(-5 * time.Second), To: m.s.Now, Ratio: ratio}}, history...)
			}
			seen := history
			for len(seen) > 0 && seen[0].To.After(m.s.Now.Add(-lag)) {
				seen = seen[1:]
			}
			m.s.RecentWindows = func(string, string) []Window { return seen[:min(4, len(seen))] }
			plan := New(Config{}).Plan(m.s)
			steps += len(plan.Throttles)
			m.apply(plan)
			m.s.EvictionsLeft = 0
		}
		if steps > 8 {
			t.Fatalf("%d ladder steps in ten minutes of constant load, base %.2f", steps, base)
		}
	})
}

func TestDrain(t *testing.T) {
	tasks := []Task{
		{ID: "movable", Class: "x", Needs: cores(1), VM: "vm-00", Checkpoint: true},
		{ID: "fixed", Class: "x", Needs: cores(1), VM: "vm-00"},
		{ID: "replica", Service: "depth", Needs: cores(1), VM: "vm-00"},
	}
	elsewhere := func(n int) (list []Task) {
		for i := range n {
			list = append(list, Task{ID: fmt.Sprint("other", i), Service: "depth", Needs: cores(1), VM: fmt.Sprintf("vm-%02d", i+1)})
		}
		return list
	}
	cases := []struct {
		name    string
		out     bool
		leaving bool
		budget  int
		others  int
		want    string
	}{
		{name: "nothing to drain", budget: 9, others: 2},
		{name: "zone out", out: true, budget: 9, others: 2, want: "movable replica"},
		{name: "replica stays until replaced", out: true, budget: 9, others: 1, want: "movable"},
		{name: "eviction budget", out: true, budget: 1, others: 2, want: "movable"},
		{name: "VM is leaving", leaving: true, budget: 9, others: 1, want: "movable"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := Snapshot{Now: start, Fleet: describer.New(fleetOf()), VMs: vmsOf(3, "a"), EvictionsLeft: c.budget}
			s.VMs[0].Leaving = c.leaving
			if c.out {
				s.VMs[0].Zone = "c"
			}
			s.Placed = append(append(s.Placed, tasks...), elsewhere(c.others)...)
			var got []string
			for _, e := range New(Config{}).Plan(s).Evictions {
				got = append(got, e.TaskID)
			}
			if g := strings.Join(got, " "); g != c.want {
				t.Errorf("evicted %q, want %q", g, c.want)
			}
		})
	}
}

func TestReturnedZoneFillsGradually(t *testing.T) {
	m := cellModel{s: Snapshot{Now: start, Fleet: describer.New(fleetOf()), VMs: vmsOf(2, "a")}}
	for i := range m.s.VMs {
		m.s.VMs[i].ReturnedAt = start
	}
	for i := range 100 {
		m.s.Queued = append(m.s.Queued, queued(fmt.Sprint(i), "t0", cores(1)))
	}
	counts := make(map[int]int)
	for second := range 61 {
		m.s.Now = start.Add(time.Duration(second) * time.Second)
		m.apply(New(Config{}).Plan(m.s))
		counts[second] = len(m.s.Placed)
	}
	if counts[0] > 8 || counts[30] > 40 || counts[60] != 64 {
		t.Errorf("running after 0, 30 and 60 s: %d, %d, %d", counts[0], counts[30], counts[60])
	}
}

func TestPlacementUnderInterference(t *testing.T) {
	// Two VMs run a service each, one with low pressure and one near its
	// objective. An interfering task must start on the VM with low pressure. A
	// VM without reports must be avoided, not preferred.
	m := cellModel{s: Snapshot{Now: start, Fleet: describer.New(fleetOf()), VMs: vmsOf(2, "a")}}
	for i := range m.s.VMs {
		m.s.VMs[i].Services = []string{"depth"}
	}
	m.s.Queued = []Task{queued("x", "t0", cores(4))}
	m.s.Interference = func(string, string) (float64, float64) { return 0.3, 1 }
	for _, c := range []struct {
		ratios [2]float64
		want   string
	}{
		{[2]float64{0.85, 0.3}, "vm-01"},
		{[2]float64{0.3, 0.85}, "vm-00"},
		{[2]float64{0, 0.5}, "vm-01"},
		{[2]float64{0.85, 0.85}, ""},
	} {
		m.s.Pressure = func(vm, _ string) float64 { return c.ratios[vm[4]-'0'] }
		if got := startsOf(New(Config{}).Plan(m.s))["x"]; got != c.want {
			t.Errorf("pressures %v: started on %q, want %q", c.ratios, got, c.want)
		}
	}
}

func TestStartsAfterLastReportCount(t *testing.T) {
	// The last report of a VM shows low pressure, but three interfering tasks
	// started after it. If only the report counted, the VM would attract the
	// next task as well, and one VM after the other would get many tasks at
	// once.
	m := loadedCell(0, 0.5)
	m.s.VMs[1].Services = []string{"depth"}
	for i := range 3 {
		m.s.Placed = append(m.s.Placed, Task{ID: fmt.Sprint("new", i), Class: "noisy", Needs: cores(2), VM: "vm-00", Started: m.s.Now.Add(-time.Second)})
	}
	m.s.VMs[2].Quarantined = true
	m.s.Queued = []Task{{ID: "next", Class: "noisy", Needs: cores(2), Submitted: m.s.Now}}
	if got := startsOf(New(Config{}).Plan(m.s))["next"]; got != "vm-01" {
		t.Errorf("started on %q, want vm-01", got)
	}
}

func TestRefusalOfYoungTaskDoesNotBlockOlderTask(t *testing.T) {
	// Two tenants queue tasks of the same kind. The tenant with the smaller
	// share goes first, and its young task is refused because its effect
	// allowance is still too small. The older task of the other tenant has a
	// larger allowance and must start.
	m := loadedCell(0, 0.5)
	m.s.Interference = func(string, string) (float64, float64) { return 0.5, 1 }
	m.s.VMs = m.s.VMs[:1]
	m.s.Queued = []Task{queued("old", "t1", cores(8)), queued("young", "t0", cores(8))}
	m.s.Queued[1].Submitted = m.s.Now
	for i := range 4 { // enough demand that the effect allowance limits starts
		m.s.Queued = append(m.s.Queued, Task{ID: fmt.Sprint("large", i), Tenant: "t2", Class: "x", Needs: cores(25), Submitted: m.s.Now})
	}
	m.s.Placed[0].Tenant, m.s.Placed[1].Tenant = "t1", "t1"
	starts := startsOf(New(Config{}).Plan(m.s))
	if _, ok := starts["old"]; !ok || starts["young"] != "" {
		t.Errorf("started %v, want only the old task", starts)
	}
}

func TestTinyTasksOfUnknownClassStart(t *testing.T) {
	// Sixty tasks with a tenth of a processor each, of a class without data,
	// are queued for a VM with an idle service. When they were assumed to
	// interfere as much as large tasks, one of them used up the VM and the rest
	// waited for minutes.
	c := fleetOf()
	c.TaskClasses = []describer.TaskClass{{Name: "watcher", Needs: describer.Resources{Millicores: 100}}}
	s := Snapshot{Now: start, Fleet: describer.New(c), VMs: vmsOf(1, "a")}
	s.VMs[0].Services, s.VMs[0].Committed = []string{"depth"}, cores(8)
	s.RecentWindows = windowsOf(start, 0, 2)
	s.Interference = func(string, string) (float64, float64) { return 0.05, 0 }
	for i := range 60 {
		s.Queued = append(s.Queued, Task{ID: fmt.Sprint(i), Class: "watcher", Needs: describer.Resources{Millicores: 100}, Submitted: start})
	}
	if n := len(New(Config{}).Plan(s).Starts); n < 50 {
		t.Errorf("%d of 60 start", n)
	}
}

func TestReplicasSpread(t *testing.T) {
	s := Snapshot{Now: start, Fleet: describer.New(fleetOf()), VMs: vmsOf(8, "a", "b")}
	for i := range 4 {
		replica := queued(fmt.Sprint(i), "s", cores(4))
		replica.Service = "depth"
		s.Queued = append(s.Queued, replica)
	}
	racks := make(map[string]int)
	for _, st := range New(Config{}).Plan(s).Starts {
		for _, v := range s.VMs {
			if v.Name == st.VM {
				racks[v.Zone+v.Rack]++
			}
		}
	}
	if len(racks) != 4 {
		t.Errorf("replicas by zone and rack: %v", racks)
	}
}
