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

func fixedCapacity(n int) func(string) int { return func(string) int { return n } }

// tenantLoad sends requests of one tenant for a given time, with exponentially
// distributed intervals at a mean rate, and counts them.
type tenantLoad struct {
	tenant         string
	weight, rate   float64 // rate in requests per second
	sent, refused  atomic.Int64
	slowestRefusal atomic.Int64
}

func (l *tenantLoad) run(a *Admitter, random *rand.Rand, length, serviceTime time.Duration) {
	var group sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() / l.rate * float64(time.Second)))
		group.Go(func() {
			l.sent.Add(1)
			start := time.Now()
			release, err := a.Admit(context.Background(), Options{
				Service: "s", Tenant: l.tenant, Weight: l.weight, Deadline: start.Add(500 * time.Millisecond),
			})
			if err != nil {
				l.refused.Add(1)
				l.slowestRefusal.Store(max(l.slowestRefusal.Load(), int64(time.Since(start))))
				return
			}
			time.Sleep(serviceTime)
			release()
		})
	}
	group.Wait()
}

// TestTenantWithinItsShareIsNotRefused guards against one tenant's flood causing
// refusals for another. A capacity of 8800 requests per second (88 slots of 10 ms)
// gets 17600 per second from one tenant and a third of the capacity, which is less
// than its half, from the other. The flooding tenant must be refused quickly; the
// other must not be refused. Runs in virtual time.
func TestTenantWithinItsShareIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Config{Capacity: fixedCapacity(88)})
		flooding := &tenantLoad{tenant: "flooding", weight: 1, rate: 17600}
		steady := &tenantLoad{tenant: "steady", weight: 1, rate: 2900}
		var group sync.WaitGroup
		for i, l := range []*tenantLoad{flooding, steady} {
			group.Go(func() { l.run(a, rand.New(rand.NewPCG(uint64(i), 7)), 2*time.Second, 10*time.Millisecond) })
		}
		group.Wait()
		refusedShare := float64(steady.refused.Load()) / float64(steady.sent.Load())
		ran := flooding.sent.Load() - flooding.refused.Load() + steady.sent.Load() - steady.refused.Load()
		t.Logf("steady: %d sent, %.4f refused; flooding: %d sent, %d refused; slowest refusal %s; ran %d of 17600 possible",
			steady.sent.Load(), refusedShare, flooding.sent.Load(), flooding.refused.Load(), time.Duration(flooding.slowestRefusal.Load()), ran)
		if refusedShare > 0.01 {
			t.Errorf("%.4f of the steady tenant's requests were refused", refusedShare)
		}
		if time.Duration(flooding.slowestRefusal.Load()) > 50*time.Millisecond {
			t.Errorf("a refusal took %s", time.Duration(flooding.slowestRefusal.Load()))
		}
		if ran < 17600*9/10 {
			t.Errorf("only %d requests ran", ran)
		}
	})
}

// TestQueueIsOrderedByDeadline takes the only slot and queues three requests: they
// must run in the order of their deadlines, not of their arrival.
func TestQueueIsOrderedByDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Config{Capacity: fixedCapacity(1)})
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
				releaseNext, err := a.Admit(context.Background(), options(d*time.Millisecond))
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				order = append(order, d)
				mu.Unlock()
				releaseNext()
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
		name      string
		config    Config
		options   Options
		earlier   int
		maxDelay  time.Duration
		rateLimit bool
		canceled  bool
	}{
		{"no upstream", Config{Capacity: fixedCapacity(0)}, Options{}, 0, defaultMaxWait + dispatchInterval, false, false},
		{"full", Config{Capacity: fixedCapacity(1)}, Options{}, 1, defaultMaxWait + dispatchInterval, false, false},
		{"queue full", Config{Capacity: fixedCapacity(1), QueueLimit: 1}, Options{}, 2, 0, false, false},
		{"rate limit exceeded", Config{Capacity: fixedCapacity(8)}, Options{Rate: 1, Burst: 1}, 1, 0, true, false},
		{"caller disconnected", Config{Capacity: fixedCapacity(1)}, Options{}, 1, 0, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := New(c.config)
				o := c.options
				o.Service, o.Tenant, o.Weight, o.Deadline = "s", "t", 1, time.Now().Add(time.Second)
				for range c.earlier {
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
				start := time.Now()
				_, err := a.Admit(ctx, o)
				var refused ErrRefused
				if !errors.As(err, &refused) || refused.RetryAfter <= 0 || refused.RateLimit != c.rateLimit {
					t.Fatalf("got %v", err)
				}
				if took := time.Since(start); took > c.maxDelay {
					t.Errorf("refused after %s", took)
				}
				time.Sleep(2 * time.Second) // wait for the earlier requests to end
			})
		})
	}
}

// TestCapacityNeverExceeded sends random requests: the running ones must never
// exceed the capacity, and at the end none may be left running or waiting.
func TestCapacityNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		capacity := rapid.IntRange(0, 4).Draw(rt, "capacity")
		serviceTimes := rapid.SliceOfN(rapid.IntRange(0, 30), 1, 40).Draw(rt, "service times")
		synctest.Test(t, func(*testing.T) {
			a := New(Config{Capacity: fixedCapacity(capacity), QueueLimit: 5})
			var running, most atomic.Int64
			var group sync.WaitGroup
			for i, serviceTime := range serviceTimes {
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
					time.Sleep(time.Duration(serviceTime) * time.Millisecond)
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
