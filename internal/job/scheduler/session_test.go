package scheduler

import (
	"testing"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

// The first task of a new VM is refused there and started again. The owner orders a
// start as soon as it has answered the report that grants; the order overtakes the
// answer, and the agent has no lease to start anything under. So the owner waits
// until the agent itself tells that it holds a grant.
func TestNothingStartsBeforeTheAgentTellsOfAGrant(t *testing.T) {
	now := time.Now()
	policy := &specifier.Policy{Version: 1, Queues: []specifier.Queue{{Name: "q", MaxFailures: 1, Slack: 2}}}
	s := New(Config{Cell: "jobs", Reporter: reporter.Discard(), Now: time.Now, Policy: func() *specifier.Policy { return policy }})
	state := accountant.New(accountant.Config{Policy: policy})
	state.AddJob(&specifier.Job{ID: "00000000000004d2", Queue: "q", Steps: []specifier.Step{{Count: 1}}}, time.Time{}, now)
	o := newOwner(s, 1, state, now)
	o.members["vm-1"] = true
	for _, tt := range []struct {
		granted bool
		orders  int
	}{{false, 0}, {false, 0}, {true, 1}} {
		r := messenger.WorkReport{
			VM: "vm-1", Session: 1, Life: "1", Ready: true, Granted: tt.granted,
			Facts: &messenger.WorkFacts{Capacity: specifier.Resources{CPUMillis: 1000, MemoryMB: 1000}},
		}
		read, facts, err := readReport(r)
		if err != nil {
			t.Fatal(err)
		}
		e := reportMade{report: r, read: read, facts: facts, answer: make(chan messenger.WorkReply, 1)}
		e.apply(o, now)
		if a := <-e.answer; a.GrantMillis == 0 {
			t.Error("a member is granted nothing")
		}
		o.startWaiting(now)
		if got := len(o.sessions["vm-1"].queued); got != tt.orders {
			t.Errorf("%d orders to an agent that tells granted: %t", got, tt.granted)
		}
	}
}
