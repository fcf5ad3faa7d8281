package executor

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/worker/guardian"
	"bamboospread/internal/worker/invoker"
)

// The stand-in must refuse the same starts as a real executor: a start has expired after its
// deadline and in another incarnation, also when its execution is delayed.
func TestExpiredStartsAreRefused(t *testing.T) {
	const delay = 200 * time.Millisecond
	tests := []struct {
		name        string
		incarnation string        // that the start names; empty: the current one
		valid       time.Duration // until the deadline
		delayed     bool          // execution is delayed
		restarted   bool          // a new incarnation starts before it is executed
		started     bool
	}{
		{"without delay", "", time.Second, false, false, true},
		{"for another incarnation", "other", time.Second, false, false, false},
		{"after its deadline", "", -time.Millisecond, false, false, false},
		{"delayed, before its deadline", "", time.Second, true, false, true},
		{"delayed, after its deadline", "", delay / 2, true, false, false},
		{"delayed, in another incarnation", "", time.Minute, true, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			e := New(Config{VM: "vm-1", Now: time.Now})
			server := httptest.NewServer(e.Handler())
			t.Cleanup(server.Close)
			calls := invoker.New(invoker.Config{URL: server.URL}).Calls()
			time.Sleep(2 * time.Millisecond) // so that the clock of the executor is above 0
			status, err := calls.Poll(t.Context(), guardian.PollCall{LeaseUntil: time.Minute})
			if err != nil {
				t.Fatal(err)
			}
			call := guardian.StartCall{Task: specifier.TaskID{Job: "00000000000004d2"}, Run: 1, Payload: `{"run-ms":-1}`, Incarnation: tt.incarnation, Until: status.Clock + tt.valid}
			if call.Incarnation == "" {
				call.Incarnation = status.Incarnation
			}
			if tt.delayed {
				e.SetFaults(Faults{LateMillis: delay.Milliseconds()})
			}
			limit, cancel := context.WithTimeout(t.Context(), delay/2)
			defer cancel()
			err = calls.Start(limit, call)
			var refused guardian.ErrRefused
			if !tt.delayed && (err == nil) != tt.started || !tt.started && !tt.delayed && !errors.As(err, &refused) || tt.delayed && err == nil {
				t.Errorf("answered %v", err)
			}
			e.SetFaults(Faults{NewIncarnation: tt.restarted})
			if tt.delayed {
				time.Sleep(2 * delay)
			}
			starts := 0
			for _, v := range e.Events() {
				if v.Kind == "start" {
					starts++
				}
			}
			if got := starts == 1; got != tt.started {
				t.Errorf("%d starts, want one: %t", starts, tt.started)
			}
		})
	}
}
