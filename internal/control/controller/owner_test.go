package controller

import (
	"testing"
	"time"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/control/journaler"
	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/wire/messenger"
)

// testOwner is an owner whose loop does not run. The test applies records and acts as the
// agent of its only VM.
type testOwner struct {
	*owner
	t   *testing.T
	now time.Time
}

func newTestOwner(t *testing.T) *testOwner {
	to := &testOwner{t: t, now: time.Now()}
	fleet := describer.New(describer.Config{Zones: []describer.Zone{{Name: "z", State: describer.ZoneIn}}})
	c := New(Config{Cell: "c1", EntryID: "e", Fleet: func() *describer.Fleet { return fleet }, Now: func() time.Time { return to.now }})
	to.owner = c.newOwner(journaler.New(journaler.Config{}), bookkeeper.New(), to.now, 0)
	to.apply(bookkeeper.Record{VMSeen: &bookkeeper.VMSeen{Capacity: messenger.Capacity{VM: "vm", Zone: "z", Total: describer.Resources{Millicores: 1000}}}})
	return to
}

func (to *testOwner) apply(records ...bookkeeper.Record) {
	to.t.Helper()
	for _, r := range records {
		r.At = to.now
		if err := to.state.Apply(r); err != nil {
			to.t.Fatal(err)
		}
	}
}

func (to *testOwner) call() callEvent {
	return callEvent{received: to.now, result: make(chan callResult, 1)}
}

// startTask records a task that runs on the VM.
func (to *testOwner) startTask(id string) {
	to.apply(bookkeeper.Record{Submitted: &bookkeeper.Submitted{Spec: messenger.TaskSpec{ID: id}}},
		bookkeeper.Record{Started: &bookkeeper.Started{Task: id, VM: "vm", Attempt: 1}},
		bookkeeper.Record{Confirmed: &bookkeeper.Confirmed{Task: id, Attempt: 1}})
}

// poll returns the orders in reply to a poll one second later, and marks them as sent.
func (to *testOwner) poll(reports ...messenger.TaskReport) []messenger.Order {
	to.now = to.now.Add(time.Second)
	to.contact = contactEvent{fleet: to.fleet, began: to.now}
	s := to.session("vm")
	to.applyReports(s, messenger.Poll{Capacity: messenger.Capacity{VM: "vm"}, Tasks: reports})
	s.pending = &pendingPoll{call: to.call()}
	orders := to.ordersFor("vm", s, to.now)
	for _, o := range orders {
		s.sentOrders[sentOrder{messenger.TaskAttempt{TaskID: o.TaskID, Attempt: o.Attempt}, o.Kind, o.Percent}] = to.now
	}
	return orders
}

// Guards against a task that stays at the wrong speed because an order to throttle it, or to
// end the throttling, was lost with a reply that the agent no longer waited for.
func TestThrottleIsRepeatedUntilReported(t *testing.T) {
	to := newTestOwner(t)
	to.startTask("t")
	at := func(percent int) messenger.TaskReport {
		return messenger.TaskReport{TaskID: "t", Attempt: 1, State: messenger.ReportRunning, Percent: percent}
	}
	steps := []struct {
		wanted, reported, ordered int
	}{
		{0, 100, 0},
		{50, 100, 50},
		{50, 100, 50}, // the order was lost
		{50, 50, 0},
		{100, 50, 100},
		{100, 50, 100}, // the order was lost
		{100, 100, 0},
		{50, 100, 50}, // the same order as before
		{50, 0, 50},   // the worker does not report it
	}
	for i, step := range steps {
		if step.wanted > 0 {
			to.apply(bookkeeper.Record{Throttled: &bookkeeper.Throttled{Task: "t", Percent: step.wanted}})
		}
		ordered := 0
		for _, o := range to.poll(at(step.reported)) {
			if o.Kind != messenger.OrderThrottle {
				t.Errorf("step %d: unexpected order %+v", i, o)
			}
			ordered = o.Percent
		}
		if ordered != step.ordered {
			t.Errorf("step %d: ordered %d%%, want %d%%", i, ordered, step.ordered)
		}
	}
}
