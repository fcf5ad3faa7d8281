package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawCandidates(t *rapid.T) []Candidate {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Candidate {
		return Candidate{
			Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), Slots: rapid.IntRange(1, 8).Draw(t, "slots"),
			InFlight: rapid.IntRange(0, 10).Draw(t, "in-flight"), Age: time.Hour,
			Latency:  time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond,
			Health:   HealthStatus(rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "health")),
			Excluded: rapid.Bool().Draw(t, "excluded"), Avoid: rapid.Bool().Draw(t, "avoid"),
		}
	}), 0, 12).Draw(t, "candidates")
}

// TestChooseProperties checks with random candidates that one is chosen whenever one
// is usable, that a tried or ejected one is never chosen, and a full one only if all
// are full.
func TestChooseProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := drawCandidates(t)
		seed := rapid.Uint64().Draw(t, "seed")
		b := New(Config{Zone: "a", Random: rand.New(rand.NewPCG(seed, 1)).IntN})
		eject := b.ejectionAllowed(list)
		usable, notFull, preferred, probes, preferredProbes := 0, 0, 0, 0, 0
		for i := range list {
			if eject && !list[i].Excluded && list[i].Health == ProbeDue {
				probes++
				if !list[i].Avoid {
					preferredProbes++
				}
			}
			if !list[i].Excluded && (!eject || list[i].Health == Healthy) {
				usable++
				if !list[i].full() {
					notFull++
					if !list[i].Avoid {
						preferred++
					}
				}
			}
		}
		c := b.Choose(list)
		if (c.Index >= 0) != (usable+probes > 0) {
			t.Fatalf("%d usable candidates and %d probes, chose index %d", usable, probes, c.Index)
		}
		if c.Index < 0 {
			return
		}
		got := list[c.Index]
		if preferredProbes > 0 || usable == 0 {
			if got.Health != ProbeDue && eject || got.Excluded || got.Avoid && preferredProbes > 0 || c.Full != got.full() {
				t.Fatalf("%d probes, %d of them in zones in service, chose %+v, %+v", probes, preferredProbes, got, c)
			}
			return
		}
		if got.Excluded || (eject && got.Health != Healthy) || got.full() != (notFull == 0) || c.Full != got.full() || (got.Avoid && preferred > 0) {
			t.Fatalf("%d candidates not full, chose %+v, %+v", notFull, got, c)
		}
	})
}

// share returns how often the candidate at index 0 is chosen in 10000 choices.
func share(b *Balancer, list []Candidate) float64 {
	n := 0
	for range 10000 {
		if b.Choose(list).Index == 0 {
			n++
		}
	}
	return float64(n) / 10000
}

func TestChooseShares(t *testing.T) {
	established := Candidate{Zone: "a", Slots: 8, InFlight: 2, Latency: 10 * time.Millisecond, Age: time.Hour}
	with := func(change func(*Candidate)) []Candidate {
		list := make([]Candidate, 11)
		for i := range list {
			list[i] = established
		}
		change(&list[0])
		return list
	}
	cases := []struct {
		name     string
		list     []Candidate
		min, max float64
	}{
		{"equal", with(func(*Candidate) {}), 0.07, 0.11},
		{"slow", with(func(c *Candidate) { c.Latency *= 20 }), 0, 0},
		{"new", with(func(c *Candidate) { c.Age, c.Latency = 0, 0 }), 0.005, 0.015},
		{"new, half of the slow start", with(func(c *Candidate) { c.Age, c.Latency = defaultSlowStart/2, 0 }), 0.03, 0.06},
		{"other zone", with(func(c *Candidate) { c.Zone = "b" }), 0, 0},
		{"own zone", with(func(c *Candidate) { c.Zone = "c" }), 1, 1},
		{"own zone above its load limit", with(func(c *Candidate) { c.Zone, c.InFlight = "c", 7 }), 0, 0},
		{"own zone slow", with(func(c *Candidate) { c.Zone, c.Latency = "c", time.Second }), 0, 0},
		{"ejected", with(func(c *Candidate) { c.Health = Ejected }), 0, 0},
		{"zone out of service", with(func(c *Candidate) { c.Avoid = true }), 0, 0},
		{"probe due", with(func(c *Candidate) { c.Health = ProbeDue }), 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			zone := "a"
			if c.list[0].Zone == "c" {
				zone = "c"
			}
			b := New(Config{Zone: zone, Random: rand.New(rand.NewPCG(1, 2)).IntN})
			if got := share(b, c.list); got < c.min || got > c.max {
				t.Errorf("share %.3f, want %.3f to %.3f", got, c.min, c.max)
			}
		})
	}
}

// TestEjectionIsCapped guards against ejecting most upstreams of a service: with 6
// of 11 failing, the other 5 would get all requests, so none may be ejected.
func TestEjectionIsCapped(t *testing.T) {
	for _, c := range []struct {
		failing int
		want    bool
	}{{0, false}, {1, true}, {5, true}, {6, false}, {11, false}} {
		list := make([]Candidate, 11)
		for i := range c.failing {
			list[i].Health = Ejected
		}
		if got := New(Config{}).ejectionAllowed(list); got != c.want {
			t.Errorf("%d of 11 failing: ejection allowed %v, want %v", c.failing, got, c.want)
		}
	}
}

// TestHealthStatusFollowsResults records a sequence of results ("o" success, "x"
// failure, "." a pause of one second) and checks the status at the end.
func TestHealthStatusFollowsResults(t *testing.T) {
	cases := []struct {
		name, results string
		want          HealthStatus
	}{
		{"only successes", "oooooooo", Healthy},
		{"some failures", "xxxxoxxxxo", Healthy},
		{"consecutive failures", "xxxxx", Ejected},
		{"most of a window", "xxxoxxxoxxxoxxxoxxxo", Ejected},
		{"probe after a second", "xxxxx.", ProbeDue},
		{"probe succeeds", "xxxxx.o", Healthy},
		{"probe fails", "xxxxx.x", Ejected},
		{"longer ejection after a failed probe", "xxxxx.x.", Ejected},
		{"second probe", "xxxxx.x..", ProbeDue},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h, now := &Health{}, time.Now()
			for _, r := range c.results {
				if r == '.' {
					now = now.Add(time.Second)
					continue
				}
				h.BeginProbe(now)
				now = now.Add(time.Millisecond)
				h.Observe(now, time.Millisecond, r == 'x')
			}
			if got := h.Status(now); got != c.want {
				t.Errorf("got status %d, want %d", got, c.want)
			}
		})
	}
}

func TestOneProbeAtATime(t *testing.T) {
	h, now := &Health{}, time.Now()
	for range ejectAfterFailures {
		h.Observe(now, time.Millisecond, true)
	}
	now = now.Add(2 * firstEjection)
	if !h.BeginProbe(now) || h.BeginProbe(now) || h.Status(now) != Ejected {
		t.Error("a second probe was allowed while the first was in flight")
	}
	if !h.BeginProbe(now.Add(probeTimeout)) {
		t.Error("a probe without a result blocks the next one after its timeout")
	}
}
