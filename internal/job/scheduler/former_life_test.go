package scheduler

import (
	"testing"
	"time"

	"bamboospread/internal/job/tracker"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// Guards against ends that are forgotten before anybody has read them, or never: in each life of a worker the
// agent is told the number of that life's stored ends, also within one session.
func TestStoredEndsAreSentForTheLifeThatListedThem(t *testing.T) {
	b := newStopFixture(t)
	conn := new(connector.Conn)
	end := func(life string, seq int64, run int64) {
		t.Helper()
		b.report.Incarnation, b.report.Runs = life, nil
		b.report.Ends = []messenger.WorkEnd{{Seq: seq, Task: stoppedJob + ".0.0.0", Run: run, Outcome: "failed"}}
		if !b.sendReportOn(conn, nil) {
			t.Fatal("the report is refused")
		}
	}
	store := func() {
		f, states := b.o.state.BeginFlush(), make(map[string]tracker.JobState)
		for _, j := range f.Jobs {
			states[j.Spec.ID] = j.State
		}
		for _, vm := range b.o.state.EndFlush(f, states) {
			b.o.unsent[b.o.sessions[vm.Name]] = true
		}
		b.o.sendOrders()
	}
	b.sendReportOn(conn, nil)
	s := b.o.sessions["vm-1"]
	s.sending = true // keeps what is sent in the outbox
	end("1", 57, 1)
	store()
	end("2", 1, 2)
	b.o.unsent[s] = true
	b.o.sendOrders()
	store()
	want := []messenger.WorkOrders{{Incarnation: "1", EndsStored: 57}, {Incarnation: "2", EndsStored: 1}}
	if len(s.outbox) != len(want) {
		t.Fatalf("sent: %+v", s.outbox)
	}
	for i, m := range s.outbox {
		if m.Incarnation != want[i].Incarnation || m.EndsStored != want[i].EndsStored || len(m.Orders) != 0 {
			t.Errorf("message %d: %+v", i, m)
		}
	}
}

// Guards against tasks that run twice: a report of an agent's ended process that is read after those of the
// running one, while its connection seems open, lacks runs that have started since, so these must not be lost.
func TestLateReportOfEndedProcessLosesNoRun(t *testing.T) {
	b := newStopFixture(t)
	b.report.Process, b.report.Session = 2000, 2001
	if !b.sendReportOn(new(connector.Conn), nil) {
		t.Fatal("the running process is refused")
	}
	b.report.Process, b.report.Session, b.report.Runs = 1000, 1001, nil
	b.sendReportOn(new(connector.Conn), make(chan struct{}))
	if n := len(b.o.state.VMs["vm-1"].Runs); n != 1 {
		t.Errorf("%d runs on the VM, want 1", n)
	}
}

// Guards against a cancelled job that runs: a removal of an expired cancellation that the store carries out late,
// after the owner has repeated it, must not remove a cancellation of the same id that was accepted since.
func TestLateRemovalLeavesLaterRecords(t *testing.T) {
	store, w := newLateStore()
	o := newOwner(newFollowScheduler(keeper.Calls{Transact: store.transact}), 1, tracker.New(tracker.Config{}), time.Unix(1_000_000, 0))
	o.writer = w
	accept := func() {
		if _, err := store.apply(keeper.Transaction{Expect: []keeper.Expectation{{Key: CancelKey("a")}}, Puts: []keeper.Put{{Key: CancelKey("a")}}}); err != nil {
			t.Fatal(err)
		}
	}
	accept()
	for _, lost := range []bool{true, false} {
		store.loseAnswers = lost
		if err := o.remove(t.Context(), []string{CancelKey("a")}); (err != nil) != lost {
			t.Fatalf("answer lost: %t, %v", lost, err)
		}
	}
	accept()
	store.applyLate()
	if _, ok := store.records[CancelKey("a")]; !ok {
		t.Error("the later cancellation was removed")
	}
}
