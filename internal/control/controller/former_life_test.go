package controller

import (
	"testing"
	"time"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/wire/messenger"
)

// newClassOwner returns an owner of a cell with a task that was started in one life of the VM's worker.
func newClassOwner(t *testing.T, class string) *testOwner {
	to := newTestOwner(t)
	to.fleet = describer.New(describer.Config{Version: 1, Zones: []describer.Zone{{Name: "z", State: describer.ZoneIn}}, TaskClasses: []describer.TaskClass{
		{Name: "labels"}, {Name: "prints", HoldWhenLost: true},
	}})
	to.apply(bookkeeper.Record{Submitted: &bookkeeper.Submitted{Spec: messenger.TaskSpec{ID: "t", Class: class}}},
		bookkeeper.Record{Started: &bookkeeper.Started{Task: "t", VM: "vm", Attempt: 1, Incarnation: 7, WorkerLife: "first"}})
	return to
}

// pollOf applies a poll that names the life of the worker.
func (to *testOwner) pollOf(life string, incarnation int64, reports ...messenger.TaskReport) {
	s := to.session("vm")
	p := messenger.Poll{Capacity: messenger.Capacity{VM: "vm"}, Incarnation: incarnation, Sequence: s.sequence + 1, WorkerLife: life, Tasks: reports}
	to.recordPoll(s, p)
	to.applyReports(s, p)
	for _, t := range to.state.Tasks() {
		if t.State == messenger.TaskHeld && t.EndUnreported {
			to.requeueIfNeverStarted(t, to.now)
		}
	}
	to.now = to.now.Add(time.Second)
}

var endUnknown = messenger.TaskReport{TaskID: "t", Attempt: 1, State: messenger.ReportLost, EndUnknown: true, Reason: "the worker has started again"}

// Guards against tasks that run twice: an attempt whose end is unknown, since its worker has started again, may
// have completed, so a task of a class that holds lost tasks stays held whatever the agent reports later.
func TestAttemptOfFormerLifeIsLost(t *testing.T) {
	for _, tt := range []struct {
		class string
		stop  bookkeeper.StopKind
		want  messenger.TaskState
	}{
		{"labels", "", messenger.TaskQueued},
		{"prints", "", messenger.TaskHeld},
		{"labels", bookkeeper.StopMove, messenger.TaskQueued},
		{"prints", bookkeeper.StopMove, messenger.TaskHeld},
		{"prints", bookkeeper.StopAbort, messenger.TaskHeld},
		{"prints", bookkeeper.StopCancel, messenger.TaskCancelled},
	} {
		to := newClassOwner(t, tt.class)
		if tt.stop != "" {
			to.apply(bookkeeper.Record{Stopping: &bookkeeper.Stopping{Task: "t", Attempt: 1, Kind: tt.stop}})
		}
		for i, reports := range [][]messenger.TaskReport{{endUnknown}, {endUnknown}, nil, nil} {
			to.pollOf("next", 7, reports...)
			if task := to.state.Task("t"); task.State != tt.want || task.Failures != 0 {
				t.Errorf("class %s, stop %q: %s after poll %d, %d failures, want %s", tt.class, tt.stop, task.State, i, task.Failures, tt.want)
			} else if !task.Confirmed {
				t.Error("an owner of an earlier build would conclude that the attempt never started")
			}
		}
	}
}

// Guards against tasks that run twice: a VM that lists no attempt of a lost task has never started it only if
// neither its agent nor its worker has started again.
func TestTaskHeldForLostVMAwaitsWorkerOfItsStart(t *testing.T) {
	for _, tt := range []struct {
		name        string
		life        string
		incarnation int64
		want        messenger.TaskState
	}{
		{"same agent and worker", "first", 7, messenger.TaskQueued},
		{"worker restarted", "next", 7, messenger.TaskHeld},
		{"agent restarted", "first", 8, messenger.TaskHeld},
	} {
		to := newClassOwner(t, "prints")
		to.expireVM("vm", to.session("vm"), to.now)
		if state := to.state.Task("t").State; state != messenger.TaskHeld {
			t.Fatalf("%s after the lease of its VM", state)
		}
		to.session("vm").epochAcked = true
		to.now = to.now.Add(time.Second)
		to.pollOf(tt.life, tt.incarnation)
		if state := to.state.Task("t").State; state != tt.want {
			t.Errorf("%s: %s, want %s", tt.name, state, tt.want)
		}
	}
}

// Guards against tasks that run twice after a change of owner: the next owner's orders name the life for which
// the start was decided, not the present one.
func TestRepeatedOrderNamesLifeOfItsStart(t *testing.T) {
	to := newClassOwner(t, "prints")
	snapshot, err := to.state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if to.state, err = bookkeeper.Decode(snapshot); err != nil {
		t.Fatal(err)
	}
	s := to.session("vm")
	to.pollOf("next", 8)
	to.contact = contactEvent{fleet: to.fleet, began: to.now}
	s.pending = &pendingPoll{call: to.call()}
	orders := to.ordersFor("vm", s, to.now)
	if len(orders) != 1 || orders[0].Kind != messenger.OrderStart || orders[0].WorkerLife != "first" || orders[0].AgentIncarnation != 7 {
		t.Errorf("%+v", orders)
	}
}

// Guards against a task that takes down one worker after the other without end because it does so before a poll
// has listed its attempt.
func TestTaskThatCrashesWorkersBeforeAnyPollIsGivenUp(t *testing.T) {
	to := newClassOwner(t, "labels")
	for attempt := int64(1); ; attempt++ {
		report := endUnknown
		report.Attempt = attempt
		to.pollOf("next", 7, report)
		task := to.state.Task("t")
		if task.State == messenger.TaskHeld {
			return
		}
		if attempt == maxCrashes {
			t.Fatalf("%s after it has crashed %d workers", task.State, attempt)
		}
		to.apply(bookkeeper.Record{Started: &bookkeeper.Started{Task: "t", VM: "vm", Attempt: attempt + 1, Incarnation: 7, WorkerLife: "next"}})
	}
}
