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
	fakeMean      = 20 * time.Millisecond
	fakeRun       = 4 * time.Second
	fakeWarmUp    = time.Second
)

// fakeUpstream runs fakeSlots requests at once; others wait for a slot.
type fakeUpstream struct {
	slots    chan struct{}
	slow     float64
	failing  bool
	health   Health
	inFlight int
}

// trial is one way of choosing under one fault, in virtual time.
type trial struct {
	load   float64 // of the capacity
	slow   float64 // factor of upstream 0
	fail   bool    // upstream 0 fails at once
	choose func(list []Candidate) int
}

type result struct {
	p50, p99, p999 time.Duration
	failed         float64
}

func (c trial) run(t *testing.T) result {
	var out result
	synctest.Test(t, func(*testing.T) {
		random := rand.New(rand.NewPCG(11, 8))
		ups := make([]*fakeUpstream, fakeUpstreams)
		for i := range ups {
			ups[i] = &fakeUpstream{slots: make(chan struct{}, fakeSlots), slow: 1}
		}
		ups[0].slow, ups[0].failing = max(c.slow, 1), c.fail
		var mu sync.Mutex
		var times []time.Duration
		failed := 0
		var group sync.WaitGroup
		began := time.Now()
		gap := float64(fakeMean) / (c.load * fakeUpstreams * fakeSlots)
		for time.Since(began) < fakeRun {
			time.Sleep(time.Duration(random.ExpFloat64() * gap))
			work := time.Duration(random.ExpFloat64() * float64(fakeMean))
			warm := time.Since(began) < fakeWarmUp
			group.Go(func() {
				sent := time.Now()
				mu.Lock()
				u := ups[c.choose(candidates(ups, sent))]
				u.health.BeginProbe(sent)
				u.inFlight++
				mu.Unlock()
				if !u.failing {
					u.slots <- struct{}{}
					time.Sleep(time.Duration(float64(work) * u.slow))
					<-u.slots
				}
				took := time.Since(sent)
				u.health.Observe(time.Now(), took, u.failing)
				mu.Lock()
				defer mu.Unlock()
				u.inFlight--
				if warm {
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
			Slots: fakeSlots, InFlight: u.inFlight, Latency: u.health.Latency(now), Age: time.Hour, Health: u.health.Verdict(now),
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

// TestRoutingChoices compares the choice with plain baselines, in virtual time:
// 11 upstreams of 8 slots, exponential work of 20 ms, arrivals at random. It
// prints the figures and holds that the choice is no worse than round robin and
// better where an upstream is slow or fails.
func TestRoutingChoices(t *testing.T) {
	full := func() func([]Candidate) int { return balanced(func(*Candidate) {}) }
	ways := []struct {
		name string
		make func() func([]Candidate) int
	}{
		{"round robin", roundRobin},
		{"random", uniform},
		{"two choices by load", func() func([]Candidate) int {
			return balanced(func(c *Candidate) { c.Latency, c.Health = 0, Healthy })
		}},
		{"by load and latency", func() func([]Candidate) int { return balanced(func(c *Candidate) { c.Health = Healthy }) }},
		{"and ejection (used)", full},
	}
	faults := []struct {
		name  string
		trial trial
	}{
		{"none, load 0.5", trial{load: 0.5}},
		{"none, load 0.8", trial{load: 0.8}},
		{"one 20 times slower, load 0.5", trial{load: 0.5, slow: 20}},
		{"one fails at once, load 0.5", trial{load: 0.5, fail: true}},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			results := make([]result, len(ways))
			for i, way := range ways {
				f.trial.choose = way.make()
				r := f.trial.run(t)
				results[i] = r
				t.Logf("%-20s p50 %6.1f ms  p99 %8.1f ms  p99.9 %8.1f ms  failed %.4f", way.name,
					r.p50.Seconds()*1e3, r.p99.Seconds()*1e3, r.p999.Seconds()*1e3, r.failed)
			}
			first, used := results[0], results[len(results)-1]
			if float64(used.p99) > 1.1*float64(first.p99) {
				t.Errorf("p99 %s, with round robin %s", used.p99, first.p99)
			}
			if f.trial.slow > 1 && 2*used.p99 > first.p99 {
				t.Errorf("one slow: p99 %s, with round robin %s", used.p99, first.p99)
			}
			if f.trial.fail && used.failed > first.failed/10 {
				t.Errorf("one fails: %.4f failed, with round robin %.4f", used.failed, first.failed)
			}
		})
	}
}
