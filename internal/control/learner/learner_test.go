package learner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bamboospread/internal/wire/messenger"
)

var start = time.Date(2026, 12, 2, 6, 0, 0, 0, time.UTC)

// testbed simulates VMs with hidden effects that report every five seconds.
type testbed struct {
	now     time.Time
	rng     *rand.Rand
	effects map[string]float64 // true effects, by service/class
	base    map[string]float64 // latency of each service without batch tasks, in microseconds
	learner *Learner
	seed    uint64
}

func newTestbed(seed uint64, c Config) *testbed {
	b := &testbed{now: start, rng: rand.New(rand.NewPCG(seed, 1)), effects: make(map[string]float64), base: make(map[string]float64), seed: seed}
	c.Now = func() time.Time { return b.now }
	c.Objective = func(string) time.Duration { return 50 * time.Millisecond }
	b.learner = New(c)
	return b
}

// usage returns the report of a VM with the given placements for one window.
func (b *testbed) usage(service string, placed []Placement) messenger.Usage {
	from := b.now
	latency := b.base[service]
	for class, n := range sharesByClass(from, from.Add(5*time.Second), placed) {
		latency *= math.Pow(1+b.effects[service+"/"+class], n)
	}
	latency *= math.Exp(b.rng.NormFloat64() * 0.08)
	return messenger.Usage{
		FromMillis: from.UnixMilli(), ToMillis: from.Add(5 * time.Second).UnixMilli(),
		Services: []messenger.ServiceLoad{{Service: service, Requests: 200, P99Micros: int64(latency)}},
	}
}

// randomPlacements places up to three tasks of each class.
func (b *testbed) randomPlacements(classes ...string) []Placement {
	var placed []Placement
	for _, class := range classes {
		for i := range b.rng.IntN(4) {
			placed = append(placed, Placement{TaskID: fmt.Sprint(class, i), Class: class, From: start.Add(-time.Hour)})
		}
	}
	return placed
}

// run lets eight VMs report for a number of windows, with random placements.
func (b *testbed) run(windows int, service string, classes ...string) {
	for range windows {
		for vm := range 8 {
			placed := b.randomPlacements(classes...)
			b.learner.Observe(fmt.Sprint("vm", vm), b.usage(service, placed), placed)
		}
		b.now = b.now.Add(5 * time.Second)
	}
}

func (b *testbed) check(t *testing.T, service, class string, within float64) {
	t.Helper()
	got, confidence := b.learner.Interference(service, class)
	if want := b.effects[service+"/"+class]; math.Abs(got-want) > within {
		t.Errorf("seed %d: effect on %s of co-located %s: learned %.3f (confidence %.2f), true %.3f", b.seed, service, class, got, confidence, want)
	}
}

func TestLearnsEffects(t *testing.T) {
	for seed := range uint64(10) {
		b := newTestbed(seed, Config{})
		b.base["depth"], b.base["labels"] = 20000, 60000
		for _, key := range []string{"depth/x", "depth/y", "labels/x", "labels/y"} {
			b.effects[key] = b.rng.Float64() * 0.4
		}
		b.run(40, "depth", "x", "y")
		b.run(40, "labels", "x", "y")
		for _, service := range []string{"depth", "labels"} {
			b.check(t, service, "x", 0.05)
			b.check(t, service, "y", 0.05)
		}
	}
}

func TestEstimateFollowsChangedEffect(t *testing.T) {
	// The effect of a pair changes. The estimate must follow within ten
	// minutes.
	b := newTestbed(7, Config{})
	b.base["depth"], b.effects["depth/x"] = 20000, 0.3
	b.run(60, "depth", "x")
	b.check(t, "depth", "x", 0.05)
	b.effects["depth/x"] = 0.05
	b.run(120, "depth", "x")
	b.check(t, "depth", "x", 0.06)
}

func TestOutliersAreClipped(t *testing.T) {
	// One report in thirty has a p99 fifty times too high, as after a pause of
	// the VM. Without clipping, it would be attributed to the co-located tasks.
	b := newTestbed(3, Config{})
	b.base["depth"], b.effects["depth/x"], b.effects["depth/y"] = 20000, 0.2, 0
	for i := range 240 {
		placed := b.randomPlacements("x", "y")
		u := b.usage("depth", placed)
		if i%30 == 29 {
			u.Services[0].P99Micros *= 50
		}
		b.learner.Observe("vm0", u, placed)
		b.now = b.now.Add(5 * time.Second)
	}
	b.check(t, "depth", "x", 0.08)
	b.check(t, "depth", "y", 0.08)
}

func TestUnknownPairsFallBack(t *testing.T) {
	b := newTestbed(5, Config{})
	prior, confidence := b.learner.Interference("depth", "x")
	if math.Abs(prior-defaultPriorSlowdown) > 1e-9 || confidence != 0 {
		t.Errorf("without data: slowdown %.3f, confidence %.2f", prior, confidence)
	}
	b.base["depth"], b.base["labels"] = 20000, 20000
	b.effects = map[string]float64{"depth/noisy": 0.5, "depth/harmless": 0, "labels/noisy": 0.5, "labels/harmless": 0, "labels/other": 0.5}
	b.run(60, "depth", "noisy", "harmless")
	b.run(60, "labels", "noisy", "harmless", "other")
	noisy, _ := b.learner.Interference("new", "noisy")
	harmless, _ := b.learner.Interference("new", "harmless")
	if noisy < 2*harmless || noisy < 0.15 {
		t.Errorf("effect on a new service: noisy class %.3f, harmless class %.3f", noisy, harmless)
	}
	service, _ := b.learner.Interference("labels", "unseen")
	if service < 0.1 {
		t.Errorf("effect of an unseen class on a sensitive service: %.3f", service)
	}
}

func TestOrderAndRepeatsDoNotMatter(t *testing.T) {
	// Reports arrive duplicated and out of order, as when replies are lost. The
	// estimates must stay close to those from the reports in order, and the
	// latest window must be the same.
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		ordered, mixed := newTestbed(seed, Config{}), newTestbed(seed, Config{})
		ordered.base["depth"], ordered.effects["depth/x"] = 20000, 0.3
		type report struct {
			u      messenger.Usage
			placed []Placement
		}
		var reports []report
		for range 60 {
			placed := ordered.randomPlacements("x")
			reports = append(reports, report{ordered.usage("depth", placed), placed})
			ordered.learner.Observe("vm", reports[len(reports)-1].u, placed)
			ordered.now = ordered.now.Add(5 * time.Second)
		}
		for i := 0; i+2 < len(reports); i += 3 {
			for _, k := range rapid.Permutation([]int{0, 1, 2, 0, 1, 2}).Draw(t, "order") {
				mixed.learner.Observe("vm", reports[i+k].u, reports[i+k].placed)
			}
			mixed.now = mixed.now.Add(15 * time.Second)
		}
		a, ca := ordered.learner.Interference("depth", "x")
		b, cb := mixed.learner.Interference("depth", "x")
		if math.Abs(a-b) > 0.03 || math.Abs(ca-cb) > 0.03 {
			t.Fatalf("in order %.3f (%.2f), mixed %.3f (%.2f)", a, ca, b, cb)
		}
		if p, q := ordered.learner.RecentWindows("vm", "depth")[0], mixed.learner.RecentWindows("vm", "depth")[0]; p != q {
			t.Fatalf("latest window %+v and %+v", p, q)
		}
	})
}

func TestRepeatedReportIsIgnored(t *testing.T) {
	b := newTestbed(4, Config{})
	b.base["depth"], b.effects["depth/x"] = 20000, 0.3
	placed := b.randomPlacements("x", "y", "z")
	u := b.usage("depth", placed)
	b.learner.Observe("vm", u, placed)
	before, confidenceBefore := b.learner.Interference("depth", "x")
	for range 5 {
		b.learner.Observe("vm", u, placed)
	}
	if after, confidenceAfter := b.learner.Interference("depth", "x"); after != before || confidenceAfter != confidenceBefore {
		t.Errorf("repeated reports changed the estimate (confidence) from %v (%v) to %v (%v)", before, confidenceBefore, after, confidenceAfter)
	}
}

func TestPressureWithoutReportsIsUnknown(t *testing.T) {
	b := newTestbed(1, Config{})
	b.base["depth"] = 40000
	b.run(2, "depth", "x")
	if p := b.learner.Pressure("vm0", "depth"); p < 0.5 {
		t.Errorf("pressure %.2f with recent reports", p)
	}
	u := messenger.Usage{FromMillis: b.now.UnixMilli(), ToMillis: b.now.Add(time.Second).UnixMilli(), Services: []messenger.ServiceLoad{{Service: "idle"}}}
	b.learner.Observe("vm0", u, nil)
	if p := b.learner.Pressure("vm0", "idle"); p <= 0 || p > 0.1 {
		t.Errorf("pressure %.2f of an idle service", p)
	}
	if p := b.learner.Pressure("vm0", "stuck"); p != 0 {
		t.Errorf("pressure %.2f of a service missing from the reports", p)
	}
	b.now = b.now.Add(time.Minute)
	if p := b.learner.Pressure("vm0", "depth"); p != 0 {
		t.Errorf("pressure %.2f a minute after the last report", p)
	}
	if got := b.learner.RecentWindows("vm0", "depth"); got != nil {
		t.Errorf("windows %v a minute after the last report", got)
	}
}

func TestSharesByClass(t *testing.T) {
	from := start
	at := func(s float64) time.Time { return from.Add(time.Duration(s * float64(time.Second))) }
	got := sharesByClass(from, at(10), []Placement{
		{Class: "before", From: at(-9), To: at(-1)},
		{Class: "half", From: at(-9), To: at(5)},
		{Class: "throttled", From: at(-9), To: at(5)},
		{Class: "throttled", From: at(5), Percent: 20},
		{Class: "after", From: at(11)},
	})
	want := map[string]float64{"half": 0.5, "throttled": 0.6}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	b := newTestbed(2, Config{MaxServices: 4, MaxClasses: 5, MaxVMs: 6})
	for i := range 200 {
		service := fmt.Sprint("service", i%17)
		b.base[service] = 20000
		placed := []Placement{{Class: fmt.Sprint("class", i%23), From: start.Add(-time.Hour)}}
		b.learner.Observe(fmt.Sprint("vm", i%11), b.usage(service, placed), placed)
		b.now = b.now.Add(time.Second)
	}
	l := b.learner
	if len(l.services) > 4 || len(l.vms) > 6 || len(l.classes) > 20 {
		t.Errorf("%d services, %d VMs, %d classes", len(l.services), len(l.vms), len(l.classes))
	}
	for name, m := range l.services {
		if len(m.names) > 5 || len(m.state) > 5+firstClass {
			t.Errorf("service %s has %d classes", name, len(m.names))
		}
	}
}

// BenchmarkObserve measures one report:
//
//	go test -bench Observe ./internal/control/learner
func BenchmarkObserve(b *testing.B) {
	for _, classes := range []int{5, 20, 48} {
		b.Run(fmt.Sprint("classes=", classes), func(b *testing.B) {
			bed := newTestbed(1, Config{})
			bed.base["depth"] = 20000
			var names []string
			for i := range classes {
				names = append(names, fmt.Sprint("c", i))
			}
			placed := bed.randomPlacements(names...)
			u := bed.usage("depth", placed)
			for b.Loop() {
				u.FromMillis += 5000
				u.ToMillis += 5000
				bed.learner.Observe("vm", u, placed)
			}
		})
	}
}
