package soak

import (
	"cmp"
	"strings"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/standin/executor"
)

// Each kind of violation must be found, and similar but correct histories must not be
// reported.
func TestChecksFindViolations(t *testing.T) {
	const job = "00000000000004d2"
	start := time.Now().Add(-time.Minute)
	second := func(n float64) time.Time { return start.Add(time.Duration(n * float64(time.Second))) }
	event := func(at float64, vm, kind, task string, run int64, outcome string) executor.Event {
		return executor.Event{At: second(at), VM: vm, Incarnation: "1", Kind: kind, Task: job + "." + task, Run: run, Outcome: outcome}
	}
	needs := specifier.Resources{CPUMillis: vmMillis, MemoryMB: 100}
	spec := &specifier.Job{ID: job, Steps: []specifier.Step{{Count: 1, Needs: needs}, {Count: 1, Needs: needs, After: []int{0}}}}
	started := []executor.Event{event(0, "a", "start", "0.0.0", 1, "")}
	done := append(started[:1:1], event(1, "a", "end", "0.0.0", 1, "done"))
	acknowledged := append(done[:2:2], event(1.5, "a", "acknowledged", "0.0.0", 1, "done"))
	expired := append(started[:1:1], event(9, "a", "end", "0.0.0", 1, "lapsed"))
	var crashing []executor.Event // six starts that crash their executor
	for n := range int64(maxCrashes + forbiddenStarts) {
		for _, kind := range []string{"start", "crash", "end"} {
			crashing = append(crashing, event(float64(n), "a", kind, "0.0.0", 1+n, ""))
		}
	}
	gang := &specifier.Job{ID: job, Steps: []specifier.Step{{Count: 2, Gang: true, Label: rareLabel, MaxPerVM: 1}}}
	other := event(5, "job-vm-2", "start", "0.0.1", 1, "") // its VM lacks the label
	elsewhere := event(7, "b", "start", "0.0.0", 2, "")
	tests := []struct {
		name   string
		events []executor.Event
		record record
		frozen window
		death  time.Time
		want   string // prefix of the findings; empty: none
	}{
		{"nothing", done, record{}, window{}, time.Time{}, ""},
		{"stopped in time", done, record{acked: second(0.5)}, window{}, time.Time{}, ""},
		{"runs on after a cancellation", started, record{acked: second(0.5)}, window{}, time.Time{}, "cancelled"},
		{"starts after a cancellation", append(done[:2:2], elsewhere), record{acked: second(0.5)}, window{}, time.Time{}, "cancelled"},
		{"in two places", append(expired[:1:1], elsewhere, expired[1]), record{}, window{}, time.Time{}, "twice"},
		{"frozen in one of two places", append(expired[:1:1], elsewhere, expired[1]), record{}, window{second(1), second(8.99)}, time.Time{}, ""},
		{"unfrozen long before", append(expired[:1:1], elsewhere, expired[1]), record{}, window{second(1), second(6)}, time.Time{}, "twice"},
		{"its executor ended", append(started[:1:1], elsewhere), record{}, window{}, second(6), ""},
		{"a long-running task again", append(acknowledged[:3:3], elsewhere), record{spec: &specifier.Job{ID: "00000000000004d2", Steps: []specifier.Step{{Count: 1, LongRunning: true}}}}, window{}, time.Time{}, ""},
		{"again before its end was acknowledged", append(done[:2:2], elsewhere), record{}, window{}, time.Time{}, ""},
		{"again after its end was acknowledged", append(acknowledged[:3:3], elsewhere), record{}, window{}, time.Time{}, "twice"},
		{"out of order", append(started[:1:1], event(0.5, "b", "start", "0.1.0", 1, "")), record{}, window{}, time.Time{}, "order"},
		{"in order", append(done[:2:2], event(1.2, "b", "start", "0.1.0", 1, "")), record{}, window{}, time.Time{}, ""},
		{"over capacity", append(started[:1:1], event(0.5, "a", "start", "0.0.1", 1, "")), record{}, window{}, time.Time{}, "capacity"},
		{"over quota", append(started[:1:1], event(0.5, "b", "start", "0.0.1", 1, "")), record{}, window{}, time.Time{}, "quota"},
		{"refused", started, record{refused: true}, window{}, time.Time{}, "refused"},
		{"two starts after three crashes", crashing[:13:13], record{crashes: true}, window{}, time.Time{}, ""},
		{"three starts after three crashes", crashing, record{crashes: true}, window{}, time.Time{}, "crashes"},
		{"a gang", []executor.Event{event(5, "job-vm-1", "start", "0.0.0", 1, ""), event(5.1, "job-vm-1", "end", "0.0.0", 1, "done"), event(5.2, "job-vm-1", "start", "0.0.1", 1, "")}, record{spec: gang}, window{}, time.Time{}, ""},
		{"one member of a gang", []executor.Event{event(5, "job-vm-1", "start", "0.0.0", 1, "")}, record{spec: gang}, window{}, time.Time{}, "gang"},
		{"above the bound of a step", []executor.Event{event(5, "job-vm-1", "start", "0.0.0", 1, ""), event(5, "job-vm-1", "start", "0.0.1", 1, "")}, record{spec: gang}, window{}, time.Time{}, "bound"},
		{"without the label", []executor.Event{event(5, "job-vm-1", "start", "0.0.0", 1, ""), other}, record{spec: gang}, window{}, time.Time{}, "label"},
		{"shown as done", done, record{done: second(2)}, window{}, time.Time{}, "accepted"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.record.spec = cmp.Or(tt.record.spec, spec)
			if tt.want == "quota" {
				withAccount := *spec
				withAccount.Account, tt.record.spec = quotaAccount, &withAccount
			}
			endTimes := make(map[string][]time.Time)
			if !tt.death.IsZero() {
				endTimes["a"] = []time.Time{tt.death}
			}
			h := newHistory(tt.events, map[string][]window{"a": {tt.frozen}}, endTimes, []window{{from: second(0)}}, map[string]record{job: tt.record}, time.Now())
			found := h.check()
			if tt.want == "" && len(found) > 0 || tt.want != "" && len(found) == 0 {
				t.Fatalf("found %q, want %q", found, tt.want)
			}
			for _, f := range found {
				if !strings.HasPrefix(f, tt.want) {
					t.Errorf("found %s, want %s", f, tt.want)
				}
			}
		})
	}
}

// Requests without an answer and acknowledged ones that have not taken effect must be
// reported as outstanding.
func TestOutstandingReportsUnfinishedJobs(t *testing.T) {
	longRunning := &specifier.Job{ID: "00000000000004d2", Steps: []specifier.Step{{Count: 1, LongRunning: true}}}
	short := &specifier.Job{ID: "00000000000004d2", Steps: []specifier.Step{{Count: 1}}}
	now := time.Now()
	tests := []struct {
		name   string
		record record
		want   int
	}{
		{"refused", record{spec: short, refused: true}, 0},
		{"being submitted", record{spec: short, submitting: true}, 1},
		{"failed", record{spec: short, accepted: now, state: stateFailed}, 1},
		{"failed, with a task that crashes its executors", record{spec: short, accepted: now, crashes: true, state: stateFailed}, 0},
		{"not ended", record{spec: short, accepted: now, state: "running"}, 1},
		{"done", record{spec: short, accepted: now, done: now, state: stateDone}, 0},
		{"long-running task that does not run", record{spec: longRunning, accepted: now}, 1},
		{"cancellation not acknowledged", record{spec: short, accepted: now, cancelRequested: true}, 1},
		{"cancelled and still running", record{spec: short, accepted: now, cancelRequested: true, acked: now, state: "running"}, 1},
		{"cancelled", record{spec: longRunning, accepted: now, cancelRequested: true, acked: now, state: stateCancelled}, 0},
	}
	for _, tt := range tests {
		h := newHistory(nil, nil, nil, nil, map[string]record{longRunning.ID: tt.record}, now)
		if found := h.outstanding(); len(found) != tt.want {
			t.Errorf("%s: %q, want %d", tt.name, found, tt.want)
		}
	}
}
