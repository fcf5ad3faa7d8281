package retrier

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"bamboospread/internal/wire/messenger"
)

func TestMaySend(t *testing.T) {
	cases := []struct {
		name string
		a    Attempted
		want bool
	}{
		{"not run", Attempted{Outcome: messenger.OutcomeNotRun, Moves: 1, Left: time.Second}, true},
		{"not run too often", Attempted{Outcome: messenger.OutcomeNotRun, Moves: 4, Left: time.Second}, false},
		{"not run, no time", Attempted{Outcome: messenger.OutcomeNotRun, Moves: 1}, false},
		{"unknown", Attempted{Outcome: messenger.OutcomeUnknown, Tries: 1, Left: time.Second}, false},
		{"unknown, idempotent", Attempted{Outcome: messenger.OutcomeUnknown, Idempotent: true, Tries: 1, Left: time.Second}, true},
		{"unknown, too often", Attempted{Outcome: messenger.OutcomeUnknown, Idempotent: true, Tries: 3, Left: time.Second}, false},
		{"run", Attempted{Outcome: messenger.OutcomeRun, Idempotent: true, Left: time.Second}, false},
		{"nonsense", Attempted{Outcome: "maybe", Idempotent: true, Left: time.Second}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := New(Config{}).MaySend(c.a); got != c.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

// TestBudgetBoundsRetries fails every attempt of random many requests. However
// they come, retries stay below the reserve, a tenth of the requests and what
// time earned.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		began := now
		r := New(Config{Now: func() time.Time { return now }})
		requests, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			r.Begin("s")
			requests++
			for tries := 1; r.MaySend(Attempted{Service: "s", Outcome: messenger.OutcomeUnknown, Idempotent: true, Tries: tries, Left: time.Second}); tries++ {
				retries++
			}
		}
		limit := defaultReserve + defaultShare*float64(requests) + defaultPerSecond*now.Sub(began).Seconds()
		if float64(retries) > limit+1e-6 {
			t.Fatalf("%d retries of %d requests in %s", retries, requests, now.Sub(began))
		}
	})
}
