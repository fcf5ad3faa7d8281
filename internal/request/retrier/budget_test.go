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
	fakeSlots          = 88
	fakeWork           = 10 * time.Millisecond
	fakeAttemptTimeout = 100 * time.Millisecond // an attempt is abandoned after it
	fakeLoad           = 0.6
	fakeDuration       = 8 * time.Second
	stallBegins        = 2 * time.Second
	stallEnds          = 3 * time.Second
	measureFrom        = 5 * time.Second // answers are counted from here on
)

// simulateStall sends idempotent requests to a pool of slots that stalls for a second.
// Abandoned attempts still occupy a slot, as at an upstream that is not notified of
// them. It returns the attempts per request, and the share of the requests that is
// answered in time from measureFrom on.
func simulateStall(t *testing.T, mayRetry func(r *Retrier, tries int) bool) (attempts, answered float64) {
	synctest.Test(t, func(*testing.T) {
		random := rand.New(rand.NewPCG(5, 6))
		slots := make(chan struct{}, fakeSlots)
		r := New(Config{})
		start := time.Now()
		var mu sync.Mutex
		sent, made, measured, measuredAnswered := 0, 0, 0, 0
		attempt := func() bool {
			done := make(chan struct{})
			go func() {
				slots <- struct{}{}
				if at := time.Since(start); at > stallBegins && at < stallEnds {
					time.Sleep(stallEnds - at)
				}
				time.Sleep(fakeWork)
				<-slots
				close(done)
			}()
			select {
			case <-done:
				return true
			case <-time.After(fakeAttemptTimeout):
				return false
			}
		}
		var group sync.WaitGroup
		for time.Since(start) < fakeDuration {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(fakeWork) / (fakeSlots * fakeLoad)))
			measure := time.Since(start) > measureFrom
			group.Go(func() {
				r.CountRequest("s")
				ok := false
				for tries := 1; ; tries++ {
					mu.Lock()
					made++
					mu.Unlock()
					if ok = attempt(); ok || !mayRetry(r, tries) {
						break
					}
				}
				mu.Lock()
				defer mu.Unlock()
				sent++
				if measure {
					measured++
					if ok {
						measuredAnswered++
					}
				}
			})
		}
		group.Wait()
		attempts, answered = float64(made)/float64(sent), float64(measuredAnswered)/float64(measured)
		for len(slots) > 0 {
			time.Sleep(time.Second)
		}
	})
	return attempts, answered
}

// TestBudgetShortensRecoveryFromStall compares retries without a budget, no retries,
// and retries with the budget, in virtual time at 0.6 of the capacity. Without a
// budget each abandoned request is sent three times, the backlog grows faster than the
// pool can work it off, and the overload lasts long after the stall.
func TestBudgetShortensRecoveryFromStall(t *testing.T) {
	unanswered := func(tries int) FailedAttempt {
		return FailedAttempt{Service: "s", Outcome: messenger.OutcomeUnknown, Idempotent: true, UnknownAttempts: tries, TimeLeft: time.Second}
	}
	unbounded, unboundedAnswered := simulateStall(t, func(_ *Retrier, tries int) bool { return tries < defaultMaxUnknownAttempts })
	noRetry, noRetryAnswered := simulateStall(t, func(*Retrier, int) bool { return false })
	budgeted, budgetedAnswered := simulateStall(t, func(r *Retrier, tries int) bool { return r.AllowRetry(unanswered(tries)) })
	t.Logf("no budget: %.2f attempts per request, %.3f answered from 2 s after the stall", unbounded, unboundedAnswered)
	t.Logf("no retry:  %.2f attempts per request, %.3f answered", noRetry, noRetryAnswered)
	t.Logf("budget:    %.2f attempts per request, %.3f answered", budgeted, budgetedAnswered)
	if budgeted > 1.15 || budgetedAnswered < unboundedAnswered || budgetedAnswered < 0.9 {
		t.Errorf("with the budget %.2f attempts per request, %.3f answered", budgeted, budgetedAnswered)
	}
}
