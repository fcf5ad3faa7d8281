package admitter

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

func isRefused(err error) bool {
	var r ErrRefused
	return errors.As(err, &r)
}

func fixed(n int) func(string) int { return func(string) int { return n } }

// flood sends requests of one tenant at random moments around an even rate for
// the given time and counts them.
type flood struct {
	tenant         string
	weight, rate   float64 // requests a second
	sent, refused  atomic.Int64
	slowestRefusal atomic.Int64
}

func (f *flood) run(a *Admitter, random *rand.Rand, length, hold time.Duration) {
	var group sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() / f.rate * float64(time.Second)))
		group.Go(func() {
			f.sent.Add(1)
			began := time.Now()
			release, err := a.Admit(context.Background(), Options{
				Service: "s", Tenant: f.tenant, Weight: f.weight, Deadline: began.Add(500 * time.Millisecond),
			})
			if err != nil {
				f.refused.Add(1)
				f.slowestRefusal.Store(max(f.slowestRefusal.Load(), int64(time.Since(began))))
				return
			}
			time.Sleep(hold)
			release()
		})
	}
	group.Wait()
}

// TestTenantWithinItsShareIsNotRefused floods 88 slots of 10 ms (8800 requests a
// second) with one tenant's 17600 a second while another sends a third of the
// capacity, below its half. The flooding tenant is refused, at once; the other
// must not be, whatever the first one has waiting. In virtual time.
func TestTenantWithinItsShareIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Config{Capacity: fixed(88)})
		loud := &flood{tenant: "loud", weight: 1, rate: 17600}
		quiet := &flood{tenant: "quiet", weight: 1, rate: 2900}
		var group sync.WaitGroup
		for i, f := range []*flood{loud, quiet} {
			group.Go(func() { f.run(a, rand.New(rand.NewPCG(uint64(i), 7)), 2*time.Second, 10*time.Millisecond) })
		}
		group.Wait()
		quietShare := float64(quiet.refused.Load()) / float64(quiet.sent.Load())
		ran := loud.sent.Load() - loud.refused.Load() + quiet.sent.Load() - quiet.refused.Load()
		t.Logf("quiet: %d sent, %.4f refused; loud: %d sent, %d refused; slowest refusal %s; ran %d of 17600 possible",
			quiet.sent.Load(), quietShare, loud.sent.Load(), loud.refused.Load(), time.Duration(loud.slowestRefusal.Load()), ran)
		if quietShare > 0.01 {
			t.Errorf("%.4f of the quiet tenant's requests were refused", quietShare)
		}
		if time.Duration(loud.slowestRefusal.Load()) > 50*time.Millisecond {
			t.Errorf("a refusal took %s", time.Duration(loud.slowestRefusal.Load()))
		}
		if ran < 17600*9/10 {
			t.Errorf("only %d ran", ran)
		}
	})
}

// TestWaitsInOrderOfDeadlines fills the only place and lets three wait: they run
// in the order of their deadlines, not of their coming.
func TestWaitsInOrderOfDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Config{Capacity: fixed(1)})
		options := func(d time.Duration) Options {
			return Options{Service: "s", Tenant: "t", Weight: 1, Deadline: time.Now().Add(d)}
		}
		release, err := a.Admit(context.Background(), options(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		var mu sync.Mutex
		var order []time.Duration
		var group sync.WaitGroup
		for _, d := range []time.Duration{300, 100, 200} {
			group.Go(func() {
				next, err := a.Admit(context.Background(), options(d*time.Millisecond))
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				order = append(order, d)
				mu.Unlock()
				next()
			})
			synctest.Wait()
		}
		release()
		group.Wait()
		if len(order) != 3 || order[0] != 100 || order[1] != 200 || order[2] != 300 {
			t.Errorf("ran in the order %v", order)
		}
	})
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name     string
		config   Config
		options  Options
		held     int
		slowest  time.Duration
		rate     bool
		canceled bool
	}{
		{"no upstream", Config{Capacity: fixed(0)}, Options{}, 0, defaultMaxWait + pumpInterval, false, false},
		{"full", Config{Capacity: fixed(1)}, Options{}, 1, defaultMaxWait + pumpInterval, false, false},
		{"queue full", Config{Capacity: fixed(1), QueueLimit: 1}, Options{}, 2, 0, false, false},
		{"above its rate", Config{Capacity: fixed(8)}, Options{Rate: 1, Burst: 1}, 1, 0, true, false},
		{"caller gone", Config{Capacity: fixed(1)}, Options{}, 1, 0, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := New(c.config)
				o := c.options
				o.Service, o.Tenant, o.Weight, o.Deadline = "s", "t", 1, time.Now().Add(time.Second)
				for range c.held {
					go func() {
						if release, err := a.Admit(context.Background(), o); err == nil {
							time.Sleep(time.Second)
							release()
						}
					}()
					synctest.Wait()
				}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if c.canceled {
					cancel()
				}
				began := time.Now()
				_, err := a.Admit(ctx, o)
				var refused ErrRefused
				if !errors.As(err, &refused) || refused.RetryAfter <= 0 || refused.RateLimit != c.rate {
					t.Fatalf("got %v", err)
				}
				if took := time.Since(began); took > c.slowest {
					t.Errorf("refused after %s", took)
				}
				time.Sleep(2 * time.Second) // the held ones end
			})
		})
	}
}

// TestNeverAboveCapacity lets random requests come and go: those that run never
// exceed the capacity, and none is lost: at the end nothing runs or waits.
func TestNeverAboveCapacity(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		capacity := rapid.IntRange(0, 4).Draw(rt, "capacity")
		holds := rapid.SliceOfN(rapid.IntRange(0, 30), 1, 40).Draw(rt, "holds")
		synctest.Test(t, func(*testing.T) {
			a := New(Config{Capacity: fixed(capacity), QueueLimit: 5})
			var running, most atomic.Int64
			var group sync.WaitGroup
			for i, hold := range holds {
				time.Sleep(time.Duration(i%4) * time.Millisecond)
				group.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(20+i)*time.Millisecond)
					defer cancel()
					release, err := a.Admit(ctx, Options{Service: "s", Tenant: string(rune('a' + i%3)), Weight: 1, Deadline: time.Now().Add(100 * time.Millisecond)})
					if err != nil {
						if !isRefused(err) {
							rt.Errorf("got %v", err)
						}
						return
					}
					most.Store(max(most.Load(), running.Add(1)))
					time.Sleep(time.Duration(hold) * time.Millisecond)
					running.Add(-1)
					release()
				})
			}
			group.Wait()
			q := a.queueOf("s")
			if int(most.Load()) > capacity || q.inUse != 0 || q.waiting != 0 {
				rt.Errorf("most %d of %d, left %d running, %d waiting", most.Load(), capacity, q.inUse, q.waiting)
			}
		})
	})
}
