package controller

import (
	"testing"
	"time"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/control/journaler"
	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/wire/messenger"
)

// desk is an owner whose loop does not run; the test applies records and plays the
// agent of its one VM.
type desk struct {
	*owner
	t   *testing.T
	now time.Time
}

func newDesk(t *testing.T) *desk {
	d := &desk{t: t, now: time.Now()}
	fleet := describer.New(describer.Config{Zones: []describer.Zone{{Name: "z", State: describer.ZoneIn}}})
	c := New(Config{Cell: "c1", EntryID: "e", Fleet: func() *describer.Fleet { return fleet }, Now: func() time.Time { return d.now }})
	d.owner = c.newOwner(journaler.New(journaler.Config{}), bookkeeper.New(), d.now, 0)
	d.apply(bookkeeper.Record{VMSeen: &bookkeeper.VMSeen{Capacity: messenger.Capacity{VM: "vm", Zone: "z", Total: describer.Resources{Millicores: 1000}}}})
	return d
}

func (d *desk) apply(records ...bookkeeper.Record) {
	d.t.Helper()
	for _, r := range records {
		r.At = d.now
		if err := d.books.Apply(r); err != nil {
			d.t.Fatal(err)
		}
	}
}

func (d *desk) call() callEvent { return callEvent{received: d.now, answer: make(chan answer, 1)} }

// run has a task run on the VM.
func (d *desk) run(id string) {
	d.apply(bookkeeper.Record{Submitted: &bookkeeper.Submitted{Spec: messenger.TaskSpec{ID: id}}},
		bookkeeper.Record{Started: &bookkeeper.Started{Task: id, VM: "vm", Attempt: 1}},
		bookkeeper.Record{Confirmed: &bookkeeper.Confirmed{Task: id, Attempt: 1}})
}

// poll returns the orders that answer a poll a second later, as if they were handed out.
func (d *desk) poll(reports ...messenger.TaskReport) []messenger.Order {
	d.now = d.now.Add(time.Second)
	d.contact = contactEvent{fleet: d.fleet, began: d.now}
	s := d.session("vm")
	d.takeReports(s, messenger.Poll{Capacity: messenger.Capacity{VM: "vm"}, Tasks: reports})
	s.parked = &parkedPoll{call: d.call()}
	orders := d.ordersFor("vm", s, d.now)
	for _, o := range orders {
		s.sent[sentOrder{messenger.TaskAttempt{TaskID: o.TaskID, Attempt: o.Attempt}, o.Kind, o.Percent}] = d.now
	}
	return orders
}

// A throttle, or the end of one, is lost with a reply that the agent gave up: the task
// must not run at the wrong pace for good.
func TestThrottleIsOrderedUntilTheWorkerHasIt(t *testing.T) {
	d := newDesk(t)
	d.run("t")
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
		{50, 100, 50}, // as once before
		{50, 0, 50},   // the worker does not tell
	}
	for i, step := range steps {
		if step.wanted > 0 {
			d.apply(bookkeeper.Record{Throttled: &bookkeeper.Throttled{Task: "t", Percent: step.wanted}})
		}
		ordered := 0
		for _, o := range d.poll(at(step.reported)) {
			if o.Kind != messenger.OrderThrottle {
				t.Errorf("step %d: ordered %+v", i, o)
			}
			ordered = o.Percent
		}
		if ordered != step.ordered {
			t.Errorf("step %d: ordered %d%%, want %d%%", i, ordered, step.ordered)
		}
	}
}
