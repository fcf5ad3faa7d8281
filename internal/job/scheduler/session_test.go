package scheduler

import (
	"context"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// Guards against a refused first task on a new VM: the owner orders a start directly after the
// reply with the grant, the order overtakes the reply, and the agent has no lease to start
// anything under. So the owner waits until the agent itself reports the grant.
func TestNoStartBeforeAgentReportsGrant(t *testing.T) {
	now := time.Now()
	policy := &specifier.Policy{Version: 1, Queues: []specifier.Queue{{Name: "q", MaxFailures: 1, Slack: 2}}}
	s := New(Config{Cell: "jobs", Reporter: reporter.Discard(), Now: time.Now, Policy: func() *specifier.Policy { return policy }})
	state := tracker.New(tracker.Config{Policy: policy})
	state.AddJob(&specifier.Job{ID: "00000000000004d2", Queue: "q", Steps: []specifier.Step{{Count: 1}}}, time.Time{}, now)
	o := newOwner(s, 1, state, now)
	o.members["vm-1"] = true
	for _, tt := range []struct {
		granted bool
		orders  int
	}{{false, 0}, {false, 0}, {true, 1}} {
		r := messenger.WorkReport{
			VM: "vm-1", Session: 1, Incarnation: "1", Ready: true, Granted: tt.granted,
			VMInfo: &messenger.WorkVMInfo{Capacity: specifier.Resources{CPUMillis: 1000, MemoryMB: 1000}},
		}
		parsed, info, err := parseReport(r)
		if err != nil {
			t.Fatal(err)
		}
		e := reportReceived{report: r, parsed: parsed, info: info, answer: make(chan messenger.WorkReply, 1)}
		e.apply(o, now)
		if a := <-e.answer; a.GrantMillis == 0 {
			t.Error("a member got no grant")
		}
		o.startWaitingTasks(now)
		if got := len(o.sessions["vm-1"].queued); got != tt.orders {
			t.Errorf("%d orders to an agent that reports granted: %t", got, tt.granted)
		}
	}
}

// Guards against jobs that stall for seven seconds after a change of owner: a VM had left
// cleanly before it, and the next owner knows it as a member and waits until its runs have
// certainly ended. So an idle VM is removed from the members, and one that returns gets no
// orders before it is stored as a member again.
func TestIdleVMRemovedFromMembers(t *testing.T) {
	now := time.Now()
	policy := &specifier.Policy{Version: 1, Queues: []specifier.Queue{{Name: "q", MaxFailures: 1, Slack: 2}}}
	stored := ""
	transact := func(_ context.Context, tx keeper.Transaction) (int64, error) {
		stored = string(tx.Puts[0].Value)
		return 1, nil
	}
	s := New(Config{Cell: "jobs", Reporter: reporter.Discard(), Now: time.Now, Policy: func() *specifier.Policy { return policy }, Store: keeper.Calls{Transact: transact}})
	state := tracker.New(tracker.Config{Policy: policy})
	o := newOwner(s, 1, state, now)
	state.AddJob(&specifier.Job{ID: "00000000000004d2", Queue: "q", Steps: []specifier.Step{{Count: 1, Needs: specifier.Resources{CPUMillis: 600}}}}, time.Time{}, now)
	report := func(ready bool) int64 {
		t.Helper()
		parsed, info, err := parseReport(messenger.WorkReport{
			VM: "vm-1", Session: 1, Incarnation: "1", Ready: ready, Granted: true, VMInfo: &messenger.WorkVMInfo{Capacity: specifier.Resources{CPUMillis: 1000, MemoryMB: 1000}},
		})
		if err != nil {
			t.Fatal(err)
		}
		e := reportReceived{report: messenger.WorkReport{VM: "vm-1", Session: 1, Granted: true}, parsed: parsed, info: info, answer: make(chan messenger.WorkReply, 1)}
		e.apply(o, now)
		o.startWaitingTasks(now)
		return (<-e.answer).GrantMillis
	}
	store := func() {
		o.storeMembers(t.Context())
		(<-o.events).apply(o, now)
	}
	if grant := report(false); grant != 0 || len(o.joining) != 0 {
		t.Fatal("a VM that is not ready joins")
	}
	if grant := report(true); grant != 0 || len(o.sessions["vm-1"].queued) != 0 {
		t.Fatal("grant or order before the VM is a member")
	}
	store()
	if stored != `["vm-1"]` {
		t.Fatalf("members %s", stored)
	}
	report(false)
	store()
	if stored != "[]" {
		t.Errorf("members %s after it became idle", stored)
	}
	if report(true); len(o.sessions["vm-1"].queued) != 0 {
		t.Error("start ordered before the VM is a member again")
	}
	store()
	if grant := report(true); grant == 0 || len(o.sessions["vm-1"].queued) != 1 {
		t.Errorf("grant %d ms, %d orders once the VM is a member again", grant, len(o.sessions["vm-1"].queued))
	}
}

// Guards against a VM that is lost until the next change of owner: the time of day jumps back
// between two processes of its agent, so the later sessions have lower numbers.
func TestSessionsOfRestartedAgent(t *testing.T) {
	type opened struct {
		process, session int64
		accepted         bool
	}
	tests := []struct {
		name string
		open []opened
	}{
		{"one process with consecutive sessions", []opened{{1, 10, true}, {1, 11, true}}},
		{"late report of the previous session", []opened{{1, 11, true}, {1, 10, false}}},
		{"new process with lower session numbers", []opened{{1, 5000, true}, {2, 1000, true}, {2, 1001, true}}},
		{"late report of the previous process", []opened{{1, 1000, true}, {2, 5000, true}, {1, 1001, false}, {1, 6000, false}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Now()
			policy := &specifier.Policy{Version: 1}
			s := New(Config{Cell: "jobs", Reporter: reporter.Discard(), Now: time.Now, Policy: func() *specifier.Policy { return policy }})
			o := newOwner(s, 1, tracker.New(tracker.Config{Policy: policy}), now)
			var process int64
			var done chan struct{} // closed with the connections of the process
			for i, session := range tt.open {
				if session.process != process {
					if done != nil {
						close(done) // the process has ended
					}
					process, done = session.process, make(chan struct{})
				}
				r := messenger.WorkReport{VM: "vm-1", Process: session.process, Session: session.session, Incarnation: "1", Ready: true, VMInfo: &messenger.WorkVMInfo{}}
				parsed, info, err := parseReport(r)
				if err != nil {
					t.Fatal(err)
				}
				e := reportReceived{conn: new(connector.Conn), connDone: done, report: r, parsed: parsed, info: info, answer: make(chan messenger.WorkReply, 1)}
				e.apply(o, now)
				if got := (<-e.answer).Epoch != 0; got != session.accepted {
					t.Errorf("session %d is accepted: %t, want %t", i, got, session.accepted)
				}
			}
		})
	}
}

// Guards against a VM that is lost until the next change of owner, or whose runs are lost: the first
// report of an agent's ended process is read after those of the running one.
func TestLateReportOfEndedProcess(t *testing.T) {
	ended := make(chan struct{})
	close(ended)
	open := make(chan struct{})
	tests := []struct {
		name     string
		connDone chan struct{} // closed with the connection of the late report
		later    bool          // that connection was opened after the running process's one
		silent   time.Duration // between the last report of the running process and the late one
		late     bool          // the late report is accepted
		after    time.Duration // between it and the next session of the running process
		accepted bool          // the next session of the running process is accepted
	}{
		{"its connection has ended", ended, false, 0, false, 0, true},
		{"its connection seems open", open, false, 0, false, 0, true},
		{"its connection seems open, the running process has been silent", open, false, reportTimeout + time.Millisecond, false, 0, true},
		{"its connection was opened later and has ended", ended, true, 0, false, 0, true},
		{"its connection was opened later", open, true, 0, false, 0, true},
		{"its connection was opened later, the running process has been silent", open, true, reportTimeout + time.Millisecond, true, 0, false},
		{"the same, and no more reports arrive", open, true, reportTimeout + time.Millisecond, true, reportTimeout + time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newStopFixture(t)
			b.report.Process, b.report.Session, b.connNumber = 2000, 2001, 2
			if !b.sendReportOn(new(connector.Conn), nil) {
				t.Fatal("the running process is refused")
			}
			b.now = b.now.Add(tt.silent)
			if b.connNumber = 1; tt.later {
				b.connNumber = 3
			}
			b.report.Process, b.report.Session = 1000, 1001
			if got := b.sendReportOn(new(connector.Conn), tt.connDone); got != tt.late {
				t.Fatalf("the late report is accepted: %t", got)
			}
			b.now = b.now.Add(tt.after)
			b.report.Process, b.report.Session, b.connNumber = 2000, 2002, 4
			if got := b.sendReportOn(new(connector.Conn), nil); got != tt.accepted {
				t.Errorf("the running process is accepted: %t, want %t", got, tt.accepted)
			}
		})
	}
}

// Guards against unbounded growth of the list of an agent's earlier processes.
func TestEndedProcessesBounded(t *testing.T) {
	const processes = 3 * maxEndedProcesses
	var s *session
	for p := range int64(processes) {
		s = s.next(&tracker.VM{}, reportReceived{report: messenger.WorkReport{Process: p + 1, Session: 1}})
	}
	if len(s.ended) != maxEndedProcesses || s.ended[maxEndedProcesses-1] != processes-1 {
		t.Errorf("remembered processes: %v", s.ended)
	}
}
