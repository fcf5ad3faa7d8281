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

// pressedCell is a cell whose first VM runs a service and the given batch tasks.
func pressedCell(percent int, ratio float64) world {
	w := world{s: Snapshot{Now: start.Add(time.Hour), Fleet: describer.New(fleetOf()), VMs: vmsOf(3, "a"), EvictionsLeft: 3}}
	w.s.VMs[0].Services = []string{"depth"}
	for i, class := range []string{"quiet", "noisy"} {
		w.s.Placed = append(w.s.Placed, Task{
			ID: class, Class: class, Needs: cores(4), VM: "vm-00", Checkpoint: true,
			Percent: percent, Started: start.Add(time.Duration(i) * time.Minute),
		})
		w.s.VMs[0].Committed = w.s.VMs[0].Committed.Add(cores(4))
	}
	w.s.Interference = func(_, class string) (float64, float64) {
		return map[string]float64{"noisy": 0.5, "quiet": 0.001}[class], 1
	}
	w.s.Recent = windowsOf(w.s.Now, ratio, 4)
	return w
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
		name    string
		percent int
		ratio   float64
		reports int
		acted   time.Duration // before now
		budget  int
		config  Config
		want    string // "task percent" or "move task"
	}{
		{name: "throttles the culprit first", ratio: 1.3, reports: 2, budget: 3, want: "noisy 70"},
		{name: "one report is not enough", ratio: 1.3, reports: 1, budget: 3},
		{name: "one very bad report is", ratio: 2.5, reports: 1, budget: 3, want: "noisy 70"},
		{name: "steps down", percent: 70, ratio: 1.3, reports: 2, budget: 3, want: "noisy 40"},
		{name: "waits for reports that began after the last step", percent: 70, ratio: 1.3, reports: 4, acted: 7 * time.Second, budget: 3},
		{name: "moves when throttling is exhausted", percent: 20, ratio: 1.3, reports: 2, budget: 3, want: "move noisy"},
		{name: "keeps the budget", percent: 20, ratio: 1.3, reports: 2},
		{name: "moves at once without throttling", ratio: 1.3, reports: 2, budget: 3, config: Config{Ladder: LadderEvictOnly}, want: "move noisy"},
		{name: "does nothing when off", ratio: 1.3, reports: 2, budget: 3, config: Config{Ladder: LadderOff}},
		{name: "leaves the band between the thresholds alone", percent: 70, ratio: 0.9, reports: 4, budget: 3},
		{name: "relaxes when all is well", percent: 20, ratio: 0.4, reports: 4, budget: 3, want: "quiet 100,noisy 100"},
		{name: "relaxes only what is predicted to stay well", percent: 20, ratio: 0.69, reports: 4, budget: 3, want: "quiet 100,noisy 70"},
		{name: "silence is not idleness", percent: 20, reports: 0, budget: 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := pressedCell(c.percent, c.ratio)
			w.s.Recent = windowsOf(w.s.Now, c.ratio, c.reports)
			w.s.EvictionsLeft = c.budget
			if c.acted > 0 {
				w.s.VMs[0].Acted = w.s.Now.Add(-c.acted)
			}
			plan := New(c.config).Plan(w.s)
			var got []string
			for _, th := range plan.Throttles {
				got = append(got, fmt.Sprintf("%s %d", th.TaskID, th.Percent))
				wantReason(t, th.Reason)
			}
			for _, e := range plan.Evictions {
				got = append(got, "move "+e.TaskID)
				wantReason(t, e.Reason)
			}
			if s := strings.Join(got, ","); s != c.want {
				t.Errorf("got %q, want %q", s, c.want)
			}
		})
	}
}

func TestLadderDoesNotSwing(t *testing.T) {
	// A service hovers about its objective, reports lag and are noisy. Without
	// the band between the thresholds and the wait for fresh reports, tasks are
	// throttled and released by turns, each turn a disturbance of its own.
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.Float64Range(0.3, 1.2).Draw(t, "base")
		w := pressedCell(0, 1)
		lag, steps := 10*time.Second, 0
		var history []Window
		for second := range 600 {
			w.s.Now = w.s.Now.Add(time.Second)
			if second%5 == 0 {
				noise := rapid.Float64Range(0.95, 1.05).Draw(t, "noise")
				ratio := base * noise
				for _, task := range w.s.Placed {
					slow, _ := w.s.Interference("depth", task.Class)
					ratio *= math.Pow(1+slow, share(task.Percent))
				}
				history = append([]Window{{From: w.s.Now.Add(-5 * time.Second), To: w.s.Now, Ratio: ratio}}, history...)
			}
			seen := history
			for len(seen) > 0 && seen[0].To.After(w.s.Now.Add(-lag)) {
				seen = seen[1:]
			}
			w.s.Recent = func(string, string) []Window { return seen[:min(4, len(seen))] }
			plan := New(Config{}).Plan(w.s)
			steps += len(plan.Throttles)
			w.apply(plan)
			w.s.EvictionsLeft = 0
		}
		if steps > 8 {
			t.Fatalf("%d steps of the ladder in ten minutes of the same load, base %.2f", steps, base)
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
		{name: "nothing while all is well", budget: 9, others: 2},
		{name: "zone out", out: true, budget: 9, others: 2, want: "movable replica"},
		{name: "replica stays until replaced", out: true, budget: 9, others: 1, want: "movable"},
		{name: "budget", out: true, budget: 1, others: 2, want: "movable"},
		{name: "VM leaves", leaving: true, budget: 9, others: 1, want: "movable"},
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
	w := world{s: Snapshot{Now: start, Fleet: describer.New(fleetOf()), VMs: vmsOf(2, "a")}}
	for i := range w.s.VMs {
		w.s.VMs[i].ReturnedAt = start
	}
	for i := range 100 {
		w.s.Queued = append(w.s.Queued, queued(fmt.Sprint(i), "t0", cores(1)))
	}
	counts := make(map[int]int)
	for second := range 61 {
		w.s.Now = start.Add(time.Duration(second) * time.Second)
		w.apply(New(Config{}).Plan(w.s))
		counts[second] = len(w.s.Placed)
	}
	if counts[0] > 8 || counts[30] > 40 || counts[60] != 64 {
		t.Errorf("running after 0, 30 and 60 s: %d, %d, %d", counts[0], counts[30], counts[60])
	}
}

func TestPlacementUnderInterference(t *testing.T) {
	// Two VMs with a service each: one is calm, one near its objective. A task
	// that disturbs goes to the calm one; with reports missing it is refused
	// the doubtful VM rather than drawn to it.
	w := world{s: Snapshot{Now: start, Fleet: describer.New(fleetOf()), VMs: vmsOf(2, "a")}}
	for i := range w.s.VMs {
		w.s.VMs[i].Services = []string{"depth"}
	}
	w.s.Queued = []Task{queued("x", "t0", cores(4))}
	w.s.Interference = func(string, string) (float64, float64) { return 0.3, 1 }
	for _, c := range []struct {
		ratios [2]float64
		want   string
	}{
		{[2]float64{0.85, 0.3}, "vm-01"},
		{[2]float64{0.3, 0.85}, "vm-00"},
		{[2]float64{0, 0.5}, "vm-01"},
		{[2]float64{0.85, 0.85}, ""},
	} {
		w.s.Pressure = func(vm, _ string) float64 { return c.ratios[vm[4]-'0'] }
		if got := startsOf(New(Config{}).Plan(w.s))["x"]; got != c.want {
			t.Errorf("pressures %v: started on %q, want %q", c.ratios, got, c.want)
		}
	}
}

func TestStartsThatReportsDoNotShowCount(t *testing.T) {
	// A VM was calm in its last report, and three disturbing tasks started
	// after it. By the report alone it would draw the next one as well, and
	// each VM in turn a herd of them.
	w := pressedCell(0, 0.5)
	w.s.VMs[1].Services = []string{"depth"}
	for i := range 3 {
		w.s.Placed = append(w.s.Placed, Task{ID: fmt.Sprint("new", i), Class: "noisy", Needs: cores(2), VM: "vm-00", Started: w.s.Now.Add(-time.Second)})
	}
	w.s.VMs[2].Quarantined = true
	w.s.Queued = []Task{{ID: "next", Class: "noisy", Needs: cores(2), Submitted: w.s.Now}}
	if got := startsOf(New(Config{}).Plan(w.s))["next"]; got != "vm-01" {
		t.Errorf("started on %q, want vm-01", got)
	}
}

func TestYoungRefusalDoesNotSpeakForOld(t *testing.T) {
	// Two tenants queue the same kind of task; the one with the smaller share
	// goes first and its young task may not disturb that much yet. The older
	// task of the other tenant may.
	w := pressedCell(0, 0.5)
	w.s.Interference = func(string, string) (float64, float64) { return 0.5, 1 }
	w.s.VMs = w.s.VMs[:1]
	w.s.Queued = []Task{queued("old", "t1", cores(8)), queued("young", "t0", cores(8))}
	w.s.Queued[1].Submitted = w.s.Now
	for i := range 4 { // enough demand that the pace counts
		w.s.Queued = append(w.s.Queued, Task{ID: fmt.Sprint("large", i), Tenant: "t2", Class: "x", Needs: cores(25), Submitted: w.s.Now})
	}
	w.s.Placed[0].Tenant, w.s.Placed[1].Tenant = "t1", "t1"
	starts := startsOf(New(Config{}).Plan(w.s))
	if _, ok := starts["old"]; !ok || starts["young"] != "" {
		t.Errorf("started %v, want only the old task", starts)
	}
}

func TestTinyUnknownTasksStart(t *testing.T) {
	// Sixty watchers of a tenth of a processor, of a class that nothing is known
	// of, beside an idle service. Taken for as harmful as large tasks, one of
	// them filled the VM, and the rest waited for minutes.
	c := fleetOf()
	c.TaskClasses = []describer.TaskClass{{Name: "watcher", Needs: describer.Resources{Millicores: 100}}}
	s := Snapshot{Now: start, Fleet: describer.New(c), VMs: vmsOf(1, "a")}
	s.VMs[0].Services, s.VMs[0].Committed = []string{"depth"}, cores(8)
	s.Recent = windowsOf(start, 0, 2)
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
