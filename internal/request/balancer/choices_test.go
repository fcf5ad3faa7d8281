package balancer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	fakeUpstreams = 11
	fakeSlots     = 8
	fakeMeanWork  = 20 * time.Millisecond
	fakeDuration  = 4 * time.Second
	fakeWarmUp    = time.Second
)

// fakeUpstream runs up to fakeSlots requests concurrently; others wait for a slot.
type fakeUpstream struct {
	slots    chan struct{}
	slowdown float64
	failing  bool
	health   Health
	inFlight int
}

// simulation runs one balancing policy under one fault, in virtual time.
type simulation struct {
	load     float64 // share of the capacity
	slowdown float64 // latency factor of upstream 0
	fail     bool    // upstream 0 fails immediately
	choose   func(list []Candidate) int
}

type result struct {
	p50, p99, p999 time.Duration
	failed         float64
}

func (s simulation) run(t *testing.T) result {
	var out result
	synctest.Test(t, func(*testing.T) {
		random := rand.New(rand.NewPCG(11, 8))
		ups := make([]*fakeUpstream, fakeUpstreams)
		for i := range ups {
			ups[i] = &fakeUpstream{slots: make(chan struct{}, fakeSlots), slowdown: 1}
		}
		ups[0].slowdown, ups[0].failing = max(s.slowdown, 1), s.fail
		var mu sync.Mutex
		var times []time.Duration
		failed := 0
		var group sync.WaitGroup
		start := time.Now()
		gap := float64(fakeMeanWork) / (s.load * fakeUpstreams * fakeSlots)
		for time.Since(start) < fakeDuration {
			time.Sleep(time.Duration(random.ExpFloat64() * gap))
			work := time.Duration(random.ExpFloat64() * float64(fakeMeanWork))
			warmUp := time.Since(start) < fakeWarmUp
			group.Go(func() {
				sent := time.Now()
				mu.Lock()
				u := ups[s.choose(candidates(ups, sent))]
				u.health.BeginProbe(sent)
				u.inFlight++
				mu.Unlock()
				if !u.failing {
					u.slots <- struct{}{}
					time.Sleep(time.Duration(float64(work) * u.slowdown))
					<-u.slots
				}
				took := time.Since(sent)
				u.health.Observe(time.Now(), took, u.failing)
				mu.Lock()
				defer mu.Unlock()
				u.inFlight--
				if warmUp {
					return
				}
				times = append(times, took)
				if u.failing {
					failed++
				}
			})
		}
		group.Wait()
		slices.Sort(times)
		at := func(q float64) time.Duration { return times[int(q*float64(len(times)-1))] }
		out = result{at(0.5), at(0.99), at(0.999), float64(failed) / float64(len(times))}
	})
	return out
}

func candidates(ups []*fakeUpstream, now time.Time) []Candidate {
	list := make([]Candidate, len(ups))
	for i, u := range ups {
		list[i] = Candidate{
			Slots: fakeSlots, InFlight: u.inFlight, Latency: u.health.Latency(now), Age: time.Hour, Health: u.health.Status(now),
		}
	}
	return list
}

func roundRobin() func([]Candidate) int {
	next := 0
	return func(list []Candidate) int { next++; return next % len(list) }
}

func uniform() func([]Candidate) int {
	random := rand.New(rand.NewPCG(3, 4))
	return func(list []Candidate) int { return random.IntN(len(list)) }
}

func balanced(change func(*Candidate)) func([]Candidate) int {
	b := New(Config{Random: rand.New(rand.NewPCG(1, 2)).IntN})
	return func(list []Candidate) int {
		for i := range list {
			change(&list[i])
		}
		return b.Choose(list).Index
	}
}

// TestRoutingChoices compares the balancer with simple policies in virtual time: 11
// upstreams with 8 slots, exponentially distributed work with a mean of 20 ms, random
// arrivals. It logs the results and requires that the balancer's p99 is at most 1.1
// times that of round robin, at most half of it if one upstream is slow, and that it
// has at most a tenth of the failures if one upstream fails.
func TestRoutingChoices(t *testing.T) {
	allFactors := func() func([]Candidate) int { return balanced(func(*Candidate) {}) }
	policies := []struct {
		name string
		make func() func([]Candidate) int
	}{
		{"round robin", roundRobin},
		{"random", uniform},
		{"two choices by load", func() func([]Candidate) int {
			return balanced(func(c *Candidate) { c.Latency, c.Health = 0, Healthy })
		}},
		{"by load and latency", func() func([]Candidate) int { return balanced(func(c *Candidate) { c.Health = Healthy }) }},
		{"and ejection (used)", allFactors},
	}
	faults := []struct {
		name       string
		simulation simulation
	}{
		{"none, load 0.5", simulation{load: 0.5}},
		{"none, load 0.8", simulation{load: 0.8}},
		{"one 20 times slower, load 0.5", simulation{load: 0.5, slowdown: 20}},
		{"one fails immediately, load 0.5", simulation{load: 0.5, fail: true}},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			results := make([]result, len(policies))
			for i, policy := range policies {
				f.simulation.choose = policy.make()
				r := f.simulation.run(t)
				results[i] = r
				t.Logf("%-20s p50 %6.1f ms  p99 %8.1f ms  p99.9 %8.1f ms  failed %.4f", policy.name,
					r.p50.Seconds()*1e3, r.p99.Seconds()*1e3, r.p999.Seconds()*1e3, r.failed)
			}
			baseline, current := results[0], results[len(results)-1]
			if float64(current.p99) > 1.1*float64(baseline.p99) {
				t.Errorf("p99 %s, with round robin %s", current.p99, baseline.p99)
			}
			if f.simulation.slowdown > 1 && 2*current.p99 > baseline.p99 {
				t.Errorf("one slow: p99 %s, with round robin %s", current.p99, baseline.p99)
			}
			if f.simulation.fail && current.failed > baseline.failed/10 {
				t.Errorf("one fails: %.4f failed, with round robin %.4f", current.failed, baseline.failed)
			}
		})
	}
}
