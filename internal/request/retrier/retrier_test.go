package retrier

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"bamboospread/internal/wire/messenger"
)

func TestAllowRetry(t *testing.T) {
	cases := []struct {
		name string
		a    FailedAttempt
		want bool
	}{
		{"not run", FailedAttempt{Outcome: messenger.OutcomeNotRun, NotRunAttempts: 1, TimeLeft: time.Second}, true},
		{"not run too often", FailedAttempt{Outcome: messenger.OutcomeNotRun, NotRunAttempts: 4, TimeLeft: time.Second}, false},
		{"not run, no time", FailedAttempt{Outcome: messenger.OutcomeNotRun, NotRunAttempts: 1}, false},
		{"unknown", FailedAttempt{Outcome: messenger.OutcomeUnknown, UnknownAttempts: 1, TimeLeft: time.Second}, false},
		{"unknown, idempotent", FailedAttempt{Outcome: messenger.OutcomeUnknown, Idempotent: true, UnknownAttempts: 1, TimeLeft: time.Second}, true},
		{"unknown, too often", FailedAttempt{Outcome: messenger.OutcomeUnknown, Idempotent: true, UnknownAttempts: 3, TimeLeft: time.Second}, false},
		{"run", FailedAttempt{Outcome: messenger.OutcomeRun, Idempotent: true, TimeLeft: time.Second}, false},
		{"invalid outcome", FailedAttempt{Outcome: "maybe", Idempotent: true, TimeLeft: time.Second}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := New(Config{}).AllowRetry(c.a); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// TestBudgetBoundsRetries fails every attempt of a random sequence of requests. The
// retries must not exceed the sum of the full budget, a tenth of the requests and the
// retries added with time.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		start := now
		r := New(Config{Now: func() time.Time { return now }})
		requests, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			r.CountRequest("s")
			requests++
			for tries := 1; r.AllowRetry(FailedAttempt{Service: "s", Outcome: messenger.OutcomeUnknown, Idempotent: true, UnknownAttempts: tries, TimeLeft: time.Second}); tries++ {
				retries++
			}
		}
		limit := defaultMaxBudget + defaultRetryRatio*float64(requests) + defaultRetriesPerSecond*now.Sub(start).Seconds()
		if float64(retries) > limit+1e-6 {
			t.Fatalf("%d retries of %d requests in %s, limit %.1f", retries, requests, now.Sub(start), limit)
		}
	})
}
