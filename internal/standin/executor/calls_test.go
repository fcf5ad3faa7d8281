package executor

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
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
			late := delay
			if tt.restarted {
				late = 10 * delay // the restart below has to come first
			}
			if tt.delayed {
				e.SetFaults(Faults{LateMillis: late.Milliseconds()})
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

// Guards against ends that nobody has read and that an executor forgets, against leases that last too
// long and against runs that stop: a call of the agent that was meant for the executor's former life
// and arrives in the next one must have no effect there.
func TestCallsForFormerLifeAreRefused(t *testing.T) {
	task := specifier.TaskID{Job: "00000000000004d2"}
	tests := []struct {
		name string
		call func(ctx context.Context, calls guardian.Worker, incarnation string) error
	}{
		{"poll", func(ctx context.Context, calls guardian.Worker, incarnation string) error {
			_, err := calls.Poll(ctx, guardian.PollCall{Incarnation: incarnation, EndsSeen: 5, LeaseUntil: time.Hour})
			return err
		}},
		{"start", func(ctx context.Context, calls guardian.Worker, incarnation string) error {
			return calls.Start(ctx, guardian.StartCall{Task: task, Run: 9, Incarnation: incarnation, Until: time.Hour})
		}},
		{"stop", func(ctx context.Context, calls guardian.Worker, incarnation string) error {
			return calls.Stop(ctx, guardian.StopCall{Task: task, Run: 9, Incarnation: incarnation})
		}},
		{"pace", func(ctx context.Context, calls guardian.Worker, incarnation string) error {
			return calls.Pace(ctx, guardian.PaceCall{Task: task, Run: 1, Percent: 0, Incarnation: incarnation})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			e := New(Config{VM: "vm-1", Now: time.Now, LeaseMax: time.Hour})
			server := httptest.NewServer(e.Handler())
			t.Cleanup(server.Close)
			var announced []string // by the invoker
			calls := invoker.New(invoker.Config{URL: server.URL, OnAnnouncement: func(a guardian.Announcement) { announced = append(announced, a.Incarnation) }}).Calls()
			poll := func() guardian.Status {
				status, err := calls.Poll(t.Context(), guardian.PollCall{})
				if err != nil {
					t.Fatal(err)
				}
				return status
			}
			former := poll().Incarnation
			e.SetFaults(Faults{NewIncarnation: true})
			next := poll().Incarnation
			for index, payload := range []string{`{"run-ms":1}`, `{"run-ms":-1}`} {
				start := guardian.StartCall{Task: specifier.TaskID{Job: task.Job, Index: 1 - index}, Run: 1, Payload: payload, Incarnation: next, Until: 30 * time.Minute}
				if err := calls.Start(t.Context(), start); err != nil {
					t.Fatal(err)
				}
			}
			for deadline := time.Now().Add(5 * time.Second); len(poll().Ends) == 0; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("no end is listed")
				}
			}
			lease := e.leaseEnd
			err := tt.call(t.Context(), calls, former)
			var refused guardian.ErrRefused
			if !errors.As(err, &refused) || refused.Reason != guardian.RefusedIncarnation {
				t.Errorf("answered %v", err)
			}
			if status := poll(); len(status.Ends) != 1 || len(status.Runs) != 1 || e.runs[task.String()].pace != 100 || e.leaseEnd != lease {
				t.Errorf("listed afterwards: %+v, pace %d, end of leases %s, before %s", status, e.runs[task.String()].pace, e.leaseEnd, lease)
			}
			if tt.name == "poll" && (len(announced) != 1 || announced[0] != next) {
				t.Errorf("the agent was told of %q", announced)
			}
		})
	}
}

// The stand-in must end runs as a real executor may: some time after their leases have expired, and listed
// until then; a renewal in between comes too late.
func TestRunsEndAfterTheirLapseTime(t *testing.T) {
	const lease, lapseTime = time.Second, 400 * time.Millisecond
	now := time.Unix(1000, 0)
	e := New(Config{VM: "vm-1", LapseTime: lapseTime, Now: func() time.Time { return now }})
	advance := func(d time.Duration) int {
		e.mu.Lock()
		defer e.mu.Unlock()
		now = now.Add(d)
		e.advanceLocked()
		return len(e.runs)
	}
	e.mu.Lock()
	status, _ := e.startLocked(invoker.Start{Task: "00000000000004d2.0.0.0", Run: 1, Payload: `{"run-ms":-1}`, LeaseMillis: lease.Milliseconds()})
	e.mu.Unlock()
	if status != http.StatusOK {
		t.Fatalf("the start is answered with %d", status)
	}
	for _, step := range []struct {
		after time.Duration
		runs  int
		renew bool
	}{
		{lease, 1, false},
		{time.Millisecond, 1, false}, // its lease has expired
		{lapseTime - time.Millisecond, 1, true},
		{time.Millisecond, 0, false},
	} {
		if runs := advance(step.after); runs != step.runs {
			t.Fatalf("%d runs at %s, want %d", runs, now.Sub(time.Unix(1000, 0)), step.runs)
		}
		if step.renew {
			e.mu.Lock()
			e.extendLeaseLocked(time.Minute.Milliseconds())
			e.mu.Unlock()
		}
	}
	events := e.Events()
	if last := events[len(events)-1]; last.Kind != "end" || last.Outcome != string(tracker.EndLapsed) {
		t.Errorf("the last event is %+v", last)
	}
}
