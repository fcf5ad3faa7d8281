package executor

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/worker/guardian"
	"bamboospread/internal/worker/steerer"
)

// Guards against a stand-in that refuses less, or more, than the workers that it stands for: a
// start is void after its time and in another life, also when it is carried out late.
func TestWhichStartsAreCarriedOut(t *testing.T) {
	const late = 200 * time.Millisecond
	tests := []struct {
		name    string
		life    string        // that the start names; empty: the present one
		valid   time.Duration // from now on
		late    bool          // it is carried out late
		reborn  bool          // another life begins before
		started bool
	}{
		{"at once", "", time.Second, false, false, true},
		{"for another life", "other", time.Second, false, false, false},
		{"after its time", "", -time.Millisecond, false, false, false},
		{"late, in time", "", time.Second, true, false, true},
		{"late, after its time", "", late / 2, true, false, false},
		{"late, in another life", "", time.Minute, true, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			e := New(Config{VM: "vm-1", Now: time.Now})
			server := httptest.NewServer(e.Handler())
			t.Cleanup(server.Close)
			calls := steerer.New(steerer.Config{URL: server.URL}).Calls()
			time.Sleep(2 * time.Millisecond) // its clock is above 0
			seen, err := calls.Look(t.Context(), guardian.LookCall{LeaseUntil: time.Minute})
			if err != nil {
				t.Fatal(err)
			}
			call := guardian.StartCall{Task: specifier.TaskID{Job: "00000000000004d2"}, Run: 1, Payload: `{"run-ms":-1}`, Life: tt.life, Until: seen.Clock + tt.valid}
			if call.Life == "" {
				call.Life = seen.Life
			}
			if tt.late {
				e.SetFaults(Faults{LateMillis: late.Milliseconds()})
			}
			limit, cancel := context.WithTimeout(t.Context(), late/2)
			defer cancel()
			err = calls.Start(limit, call)
			var refused guardian.ErrRefused
			if !tt.late && (err == nil) != tt.started || !tt.started && !tt.late && !errors.As(err, &refused) || tt.late && err == nil {
				t.Errorf("answered %v", err)
			}
			e.SetFaults(Faults{RebornNow: tt.reborn})
			if tt.late {
				time.Sleep(2 * late)
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
