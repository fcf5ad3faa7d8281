package controller

import (
	"testing"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/wire/messenger"
)

// Guards against orders that are lost with a reply: each order must be repeated until a poll
// reports its effect.
func TestOrdersAreRepeatedUntilPollConfirms(t *testing.T) {
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
			to := newTestOwner(t)
			to.apply(bookkeeper.Record{Submitted: &bookkeeper.Submitted{Spec: messenger.TaskSpec{ID: "t"}}},
				bookkeeper.Record{Started: &bookkeeper.Started{Task: "t", VM: "vm", Attempt: 1}})
			to.apply(tt.records...)
			for i := range 3 {
				if orders := to.poll(tt.reports...); len(orders) != 1 || orders[0].Kind != tt.want {
					t.Errorf("reply to poll %d: %+v, want one %s order", i, orders, tt.want)
				}
			}
		})
	}
}

// A poll overrides the recorded state: an attempt that it does not list has ended, an attempt
// that is not assigned to the VM is ordered to stop until the poll no longer lists it, and a
// reported end is acknowledged each time.
func TestPollOverridesRecordedState(t *testing.T) {
	to := newTestOwner(t)
	to.startTask("t")
	unassigned := messenger.TaskReport{TaskID: "unassigned", Attempt: 4, State: messenger.ReportRunning}
	for i := range 2 {
		if orders := to.poll(unassigned); len(orders) != 1 || orders[0].Kind != messenger.OrderStop || orders[0].TaskID != "unassigned" {
			t.Errorf("reply to poll %d with an unassigned attempt: %+v", i, orders)
		}
	}
	if state := to.state.Task("t").State; state != messenger.TaskQueued {
		t.Errorf("task of an attempt that the poll does not list is %s", state)
	}
	unassigned.State = messenger.ReportStopped
	for i := range 2 {
		to.session("vm").acked = nil // lost with the reply
		if to.poll(unassigned); len(to.session("vm").acked) != 1 {
			t.Errorf("poll %d with an ended attempt: acknowledged %+v", i, to.session("vm").acked)
		}
	}
}

// A restarted agent has no upstreams at first: their capacity must stay committed, and be
// freed once they were not announced for longer than serviceUsageGrace.
func TestCapacityIsKeptForUnannouncedUpstreams(t *testing.T) {
	to := newTestOwner(t)
	s := to.session("vm")
	committed := []bookkeeper.ServiceUsage{{Service: "s", Count: 2}}
	kept := func() int64 {
		if usage := s.mergeServiceUsage(committed, nil, to.now); len(usage) == 1 {
			return usage[0].Count
		}
		return 0
	}
	if n := kept(); n != 2 {
		t.Errorf("%d kept immediately, want 2", n)
	}
	to.now = to.now.Add(serviceUsageGrace)
	if n := kept(); n != 2 {
		t.Errorf("%d kept during the grace period, want 2", n)
	}
	s.mergeServiceUsage(committed, []bookkeeper.ServiceUsage{{Service: "s", Count: 2}}, to.now) // announced again
	to.now = to.now.Add(serviceUsageGrace)
	if n := kept(); n != 2 {
		t.Errorf("%d kept after they were announced again, want 2", n)
	}
	to.now = to.now.Add(serviceUsageGrace + 1)
	if n := kept(); n != 0 {
		t.Errorf("%d kept after the grace period, want 0", n)
	}
}
