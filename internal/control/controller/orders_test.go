package controller

import (
	"testing"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/wire/messenger"
)

// A reply is lost, and with it its orders and acknowledgements: each order comes again
// until a poll tells of its effect.
func TestOrdersAreRepeatedUntilAPollTellsOfThem(t *testing.T) {
	running := messenger.TaskReport{TaskID: "t", Attempt: 1, State: messenger.ReportRunning}
	stop := func(kind bookkeeper.StopKind) bookkeeper.Record {
		return bookkeeper.Record{Stopping: &bookkeeper.Stopping{Task: "t", Attempt: 1, Kind: kind}}
	}
	confirmed := bookkeeper.Record{Confirmed: &bookkeeper.Confirmed{Task: "t", Attempt: 1}}
	tests := []struct {
		name    string
		records []bookkeeper.Record
		reports []messenger.TaskReport
		want    messenger.OrderKind
	}{
		{"start", nil, nil, messenger.OrderStart},
		{"withdrawal", []bookkeeper.Record{stop(bookkeeper.StopAbort)}, nil, messenger.OrderStop},
		{"cancellation", []bookkeeper.Record{confirmed, stop(bookkeeper.StopCancel)}, []messenger.TaskReport{running}, messenger.OrderStop},
		{"move", []bookkeeper.Record{confirmed, stop(bookkeeper.StopMove)}, []messenger.TaskReport{running}, messenger.OrderCheckpoint},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDesk(t)
			d.apply(bookkeeper.Record{Submitted: &bookkeeper.Submitted{Spec: messenger.TaskSpec{ID: "t"}}},
				bookkeeper.Record{Started: &bookkeeper.Started{Task: "t", VM: "vm", Attempt: 1}})
			d.apply(tt.records...)
			for i := range 3 {
				if orders := d.poll(tt.reports...); len(orders) != 1 || orders[0].Kind != tt.want {
					t.Errorf("poll %d is answered with %+v", i, orders)
				}
			}
		})
	}
}

// What a poll lists counts, whatever the owner believes: an attempt that it lacks has
// ended, one that the owner does not know is stopped until it is gone, and the end of one
// is acknowledged each time that it is told.
func TestPollsCorrectTheBooks(t *testing.T) {
	d := newDesk(t)
	d.run("t")
	stray := messenger.TaskReport{TaskID: "stray", Attempt: 4, State: messenger.ReportRunning}
	for i := range 2 {
		if orders := d.poll(stray); len(orders) != 1 || orders[0].Kind != messenger.OrderStop || orders[0].TaskID != "stray" {
			t.Errorf("poll %d with a stray attempt is answered with %+v", i, orders)
		}
	}
	if state := d.books.Task("t").State; state != messenger.TaskQueued {
		t.Errorf("an attempt that the poll lacks is %s", state)
	}
	stray.State = messenger.ReportStopped
	for i := range 2 {
		d.session("vm").acked = nil // lost with the reply
		if d.poll(stray); len(d.session("vm").acked) != 1 {
			t.Errorf("poll %d with an end: acknowledged %+v", i, d.session("vm").acked)
		}
	}
}

// A restarted agent knows no upstreams for a moment: their room is kept, and freed once
// they have been away for long.
func TestRoomOfUpstreamsThatAreNotAnnounced(t *testing.T) {
	d := newDesk(t)
	s := d.session("vm")
	had := []bookkeeper.ServiceHold{{Service: "s", Count: 2}}
	kept := func() int64 {
		if holds := s.keepHolds(had, nil, d.now); len(holds) == 1 {
			return holds[0].Count
		}
		return 0
	}
	if n := kept(); n != 2 {
		t.Errorf("%d kept at once", n)
	}
	d.now = d.now.Add(holdGrace)
	if n := kept(); n != 2 {
		t.Errorf("%d kept within the grace", n)
	}
	s.keepHolds(had, []bookkeeper.ServiceHold{{Service: "s", Count: 2}}, d.now) // back
	d.now = d.now.Add(holdGrace)
	if n := kept(); n != 2 {
		t.Errorf("%d kept after they were back", n)
	}
	d.now = d.now.Add(holdGrace + 1)
	if n := kept(); n != 0 {
		t.Errorf("%d kept after the grace", n)
	}
}
