package scheduler

import (
	"context"
	"testing"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/connector"
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

// Callers' jobs stand still for seven seconds after a change of owner. A VM had left in
// order before it; the next owner knows it as a member, hears nothing of it, and waits
// until what might run there has surely ended. So a VM that takes nothing and runs
// nothing is no member any more, and one that comes back gets no order before the store
// has it as one again.
func TestIdleVMIsNoMember(t *testing.T) {
	now := time.Now()
	policy := &specifier.Policy{Version: 1, Queues: []specifier.Queue{{Name: "q", MaxFailures: 1, Slack: 2}}}
	stored := ""
	transact := func(_ context.Context, tx keeper.Transaction) (int64, error) {
		stored = string(tx.Puts[0].Value)
		return 1, nil
	}
	s := New(Config{Cell: "jobs", Reporter: reporter.Discard(), Now: time.Now, Policy: func() *specifier.Policy { return policy }, Store: keeper.Calls{Transact: transact}})
	state := accountant.New(accountant.Config{Policy: policy})
	o := newOwner(s, 1, state, now)
	state.AddJob(&specifier.Job{ID: "00000000000004d2", Queue: "q", Steps: []specifier.Step{{Count: 1, Needs: specifier.Resources{CPUMillis: 600}}}}, time.Time{}, now)
	report := func(ready bool) int64 {
		t.Helper()
		read, facts, err := readReport(messenger.WorkReport{
			VM: "vm-1", Session: 1, Life: "1", Ready: ready, Granted: true, Facts: &messenger.WorkFacts{Capacity: specifier.Resources{CPUMillis: 1000, MemoryMB: 1000}},
		})
		if err != nil {
			t.Fatal(err)
		}
		e := reportMade{report: messenger.WorkReport{VM: "vm-1", Session: 1, Granted: true}, read: read, facts: facts, answer: make(chan messenger.WorkReply, 1)}
		e.apply(o, now)
		o.startWaiting(now)
		return (<-e.answer).GrantMillis
	}
	store := func() {
		o.storeMembers(t.Context())
		(<-o.events).apply(o, now)
	}
	if grant := report(false); grant != 0 || len(o.joining) != 0 {
		t.Fatal("a VM that takes nothing joins")
	}
	if grant := report(true); grant != 0 || len(o.sessions["vm-1"].queued) != 0 {
		t.Fatal("granted or ordered before it is a member")
	}
	store()
	if stored != `["vm-1"]` {
		t.Fatalf("members %s", stored)
	}
	report(false)
	store()
	if stored != "[]" && stored != "null" {
		t.Errorf("members %s after it became idle", stored)
	}
	if report(true); len(o.sessions["vm-1"].queued) != 0 {
		t.Error("ordered to start before it is a member again")
	}
	store()
	if grant := report(true); grant == 0 || len(o.sessions["vm-1"].queued) != 1 {
		t.Errorf("grant %d ms, %d orders once it is a member again", grant, len(o.sessions["vm-1"].queued))
	}
}

// Guards against a VM that is lost until the owner changes: the time of day jumps back
// between two lives of its agent's process, whose sessions then have lower numbers.
func TestSessionsOfARestartedAgent(t *testing.T) {
	type opened struct {
		process, session int64
		taken            bool
	}
	tests := []struct {
		name string
		open []opened
	}{
		{"one process, one session after the other", []opened{{1, 10, true}, {1, 11, true}}},
		{"a report of the session before comes late", []opened{{1, 11, true}, {1, 10, false}}},
		{"a process begins below the one before", []opened{{1, 5000, true}, {2, 1000, true}, {2, 1001, true}}},
		{"a report of the process before comes late", []opened{{1, 1000, true}, {2, 5000, true}, {1, 1001, false}, {1, 6000, false}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Now()
			policy := &specifier.Policy{Version: 1}
			s := New(Config{Cell: "jobs", Reporter: reporter.Discard(), Now: time.Now, Policy: func() *specifier.Policy { return policy }})
			o := newOwner(s, 1, accountant.New(accountant.Config{Policy: policy}), now)
			for i, session := range tt.open {
				r := messenger.WorkReport{VM: "vm-1", Process: session.process, Session: session.session, Life: "1", Ready: true, Facts: &messenger.WorkFacts{}}
				read, facts, err := readReport(r)
				if err != nil {
					t.Fatal(err)
				}
				e := reportMade{conn: new(connector.Conn), report: r, read: read, facts: facts, answer: make(chan messenger.WorkReply, 1)}
				e.apply(o, now)
				if got := (<-e.answer).Epoch != 0; got != session.taken {
					t.Errorf("session %d is taken: %t, want %t", i, got, session.taken)
				}
			}
		})
	}
}

// Guards against a VM that is lost until the owner changes: the first report of an agent's
// process that has ended is read after those of the process that runs.
func TestALateReportOfAnEndedProcessDoesNotShutOutThePresentOne(t *testing.T) {
	ended := make(chan struct{})
	close(ended)
	open := make(chan struct{})
	tests := []struct {
		name     string
		gone     chan struct{} // ends with the connection of the late report
		late     bool          // the late report is taken
		after    time.Duration // between it and the next session of the process that runs
		accepted bool          // that session
	}{
		{"its connection has ended", ended, false, 0, true},
		{"its connection looks open", open, true, 0, false},
		{"its connection looks open and nothing more comes", open, true, silence + time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newStopBed(t)
			b.report.Process, b.report.Session = 2000, 2001
			if !b.tell(new(connector.Conn), nil) {
				t.Fatal("the process that runs is refused")
			}
			b.report.Process, b.report.Session = 1000, 1001
			if got := b.tell(new(connector.Conn), tt.gone); got != tt.late {
				t.Fatalf("the late report is taken: %t", got)
			}
			b.now = b.now.Add(tt.after)
			b.report.Process, b.report.Session = 2000, 2002
			if got := b.tell(new(connector.Conn), nil); got != tt.accepted {
				t.Errorf("the process that runs is taken: %t, want %t", got, tt.accepted)
			}
		})
	}
}

// Guards against an owner that remembers each process that an agent ever had.
func TestOnlyTheLatestProcessesOfAnAgentAreRemembered(t *testing.T) {
	const processes = 3 * endedKept
	var s *session
	for p := range int64(processes) {
		s = s.next(&accountant.VM{}, reportMade{report: messenger.WorkReport{Process: p + 1, Session: 1}})
	}
	if len(s.ended) != endedKept || s.ended[endedKept-1] != processes-1 {
		t.Errorf("%v are remembered", s.ended)
	}
}
