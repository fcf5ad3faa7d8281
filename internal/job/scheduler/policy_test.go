package scheduler

import (
	"context"
	"errors"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/messenger"
)

// Guards against starts in a zone that operators have taken out, while the store refuses reads
// of the policy but still renews the ownership lease. Long-running tasks are not moved
// meanwhile, either.
func TestNoStartWithStalePolicy(t *testing.T) {
	tests := []struct {
		name   string
		age    time.Duration
		starts int
	}{
		{"recent", time.Second, 1},
		{"at the limit", maxPolicyAge, 1},
		{"above the limit", maxPolicyAge + time.Millisecond, 0},
		{"never read", 1 << 62, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Now()
			policy := &specifier.Policy{Version: 1, Queues: []specifier.Queue{{Name: "q", MaxFailures: 1, Slack: 2}}}
			age := time.Duration(0)
			s := New(Config{Cell: "jobs", Reporter: reporter.Discard(), Now: time.Now, Policy: func() *specifier.Policy { return policy }, PolicyAge: func() time.Duration { return age }})
			state := tracker.New(tracker.Config{Policy: policy})
			o := newOwner(s, 1, state, now)
			o.members["vm-1"] = true
			r := messenger.WorkReport{
				VM: "vm-1", Session: 1, Incarnation: "1", Ready: true, Granted: true,
				VMInfo: &messenger.WorkVMInfo{Capacity: specifier.Resources{CPUMillis: 1000, MemoryMB: 1000}},
			}
			parsed, info, err := parseReport(r)
			if err != nil {
				t.Fatal(err)
			}
			e := reportReceived{report: r, parsed: parsed, info: info, answer: make(chan messenger.WorkReply, 1)}
			e.apply(o, now)
			age = tt.age
			state.AddJob(&specifier.Job{ID: "00000000000004d2", Queue: "q", Steps: []specifier.Step{{Count: 1, Needs: specifier.Resources{CPUMillis: 1}}}}, time.Time{}, now)
			o.rearrange(now)
			if got := !o.moves.madeAt.IsZero(); got != (tt.starts > 0) {
				t.Errorf("searched for moves: %t", got)
			}
			o.startWaitingTasks(now)
			if got := len(o.sessions["vm-1"].queued); got != tt.starts {
				t.Errorf("%d starts ordered, want %d", got, tt.starts)
			}
		})
	}
}

// Guards against long-running tasks that are moved into a zone that is out: once a newer policy is
// confirmed, its age counts in the checks, which must not go by the policy before it.
func TestChecksGoByTheNewestPolicy(t *testing.T) {
	now := time.Now()
	policy := &specifier.Policy{Version: 2}
	transact := func(context.Context, keeper.Transaction) (int64, error) { return 0, errors.New("not used") }
	s := New(Config{Cell: "jobs", Reporter: reporter.Discard(), Now: time.Now, Policy: func() *specifier.Policy { return policy }, Store: keeper.Calls{Transact: transact}})
	o := newOwner(s, 1, tracker.New(tracker.Config{Policy: policy}), now)
	o.placement.madeAt = now // not due
	policy = &specifier.Policy{Version: 4, ZonesOut: map[string]bool{"a": true}}
	o.runRound(t.Context(), now)
	if got := o.state.Policy().Version; got != 4 || o.checks.madeAt != now {
		t.Errorf("checks made at %s by version %d", o.checks.madeAt, got)
	}
}
