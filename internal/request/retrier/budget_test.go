package retrier

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bamboospread/internal/wire/messenger"
)

const (
	fakeSlots   = 88
	fakeWork    = 10 * time.Millisecond
	fakePatient = 100 * time.Millisecond // an attempt is given up after this
	fakeLoad    = 0.6
	fakeRun     = 8 * time.Second
	stallBegins = 2 * time.Second
	stallEnds   = 3 * time.Second
	settledFrom = 5 * time.Second // judged from here on
)

// stall sends idempotent requests to a pool of slots that stands still for a
// second. Attempts that were given up still take their turn, as at an upstream
// that cannot know. It returns attempts per request, and the share answered in
// time well after the stall.
func stall(t *testing.T, mayRetry func(r *Retrier, tries int) bool) (attempts, answered float64) {
	synctest.Test(t, func(*testing.T) {
		random := rand.New(rand.NewPCG(5, 6))
		slots := make(chan struct{}, fakeSlots)
		r := New(Config{})
		began := time.Now()
		var mu sync.Mutex
		sent, tried, judged, good := 0, 0, 0, 0
		attempt := func() bool {
			done := make(chan struct{})
			go func() {
				slots <- struct{}{}
				if at := time.Since(began); at > stallBegins && at < stallEnds {
					time.Sleep(stallEnds - at)
				}
				time.Sleep(fakeWork)
				<-slots
				close(done)
			}()
			select {
			case <-done:
				return true
			case <-time.After(fakePatient):
				return false
			}
		}
		var group sync.WaitGroup
		for time.Since(began) < fakeRun {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(fakeWork) / (fakeSlots * fakeLoad)))
			late := time.Since(began) > settledFrom
			group.Go(func() {
				r.Begin("s")
				ok := false
				for tries := 1; ; tries++ {
					mu.Lock()
					tried++
					mu.Unlock()
					if ok = attempt(); ok || !mayRetry(r, tries) {
						break
					}
				}
				mu.Lock()
				defer mu.Unlock()
				sent++
				if late {
					judged++
					if ok {
						good++
					}
				}
			})
		}
		group.Wait()
		attempts, answered = float64(tried)/float64(sent), float64(good)/float64(judged)
		for len(slots) > 0 {
			time.Sleep(time.Second)
		}
	})
	return attempts, answered
}

// TestBudgetKeepsAStallShort compares retries without a budget, none, and with
// the budget, in virtual time at 0.6 of the capacity. Without a budget each
// request given up comes three times, the pool falls further behind than it can
// make good, and it stays so long after the stall.
func TestBudgetKeepsAStallShort(t *testing.T) {
	unknown := func(tries int) Attempted {
		return Attempted{Service: "s", Outcome: messenger.OutcomeUnknown, Idempotent: true, Tries: tries, Left: time.Second}
	}
	free, freeAnswered := stall(t, func(_ *Retrier, tries int) bool { return tries < defaultMaxTries })
	none, noneAnswered := stall(t, func(*Retrier, int) bool { return false })
	used, usedAnswered := stall(t, func(r *Retrier, tries int) bool { return r.MaySend(unknown(tries)) })
	t.Logf("no budget: %.2f attempts a request, %.3f answered from 2 s after the stall", free, freeAnswered)
	t.Logf("no retry:  %.2f attempts a request, %.3f answered", none, noneAnswered)
	t.Logf("budget:    %.2f attempts a request, %.3f answered", used, usedAnswered)
	if used > 1.15 || usedAnswered < freeAnswered || usedAnswered < 0.9 {
		t.Errorf("with the budget %.2f attempts a request, %.3f answered", used, usedAnswered)
	}
}
