package accountant

import (
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
)

// Two runs of one task. The owner orders a start, the agent passes it on and is killed
// before the worker answers; the worker carries it out seconds later. The agent's next
// process knows nothing of it and does not list the run, so the owner took it for gone
// and started the task elsewhere. Now the run stays booked until its stop was seen.
func TestStartsOfAnEndedAgentProcess(t *testing.T) {
	tests := []struct {
		name    string
		process int64 // of the agent that attaches again; 1 ordered the start
		seen    bool  // the run was seen at the worker before
		keeps   bool
	}{
		{"the same process", 1, false, false},
		{"another process", 2, false, true},
		{"another process, the run was seen at work", 2, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newState(t, 2)
			j := addJob(t, a, 1, specifier.Step{Count: 1, Needs: oneCore})
			report := Report{Life: "1", Process: 1, Ready: true}
			vm, _ := a.Attach(Facts{Name: "vm", Capacity: oneCore}, report, begin)
			task := j.Occurrences[0].Steps[0].Tasks[0]
			a.Place(task, vm, 1, begin)
			if tt.seen {
				report.OrdersSeen, report.Runs = 1, []ReportedRun{{Key: key(1, 0, 0, 1), Confirmed: true}}
				a.Apply(vm, report, at(5))
				report.Runs = nil
			}
			report.Process = tt.process
			for range 2 { // the connection breaks before the stop has come
				a.Attach(Facts{Name: "vm", Capacity: oneCore}, report, at(10))
			}
			if got := len(task.Runs) == 1; got != tt.keeps {
				t.Fatalf("the run is kept: %t, want %t", got, tt.keeps)
			}
			uncertain := vm.UncertainRuns()
			if got := len(uncertain) == 1; got != tt.keeps {
				t.Fatalf("%d runs are to be stopped", len(uncertain))
			}
			if !tt.keeps {
				return
			}
			order := a.Stop(uncertain[0], "uncertain", at(10))
			report.OrdersSeen = order - 1
			if a.Apply(vm, report, at(20)); len(task.Runs) != 1 {
				t.Fatal("given up before the agent has the stop")
			}
			report.OrdersSeen, report.Runs = order, []ReportedRun{{Key: key(1, 0, 0, 1), Confirmed: true}}
			if a.Apply(vm, report, at(30)); len(task.Runs) != 1 || len(vm.UncertainRuns()) != 0 {
				t.Fatal("given up, or still uncertain, while the agent stops it")
			}
			report.Runs = nil
			if a.Apply(vm, report, at(40)); len(task.Runs) != 0 || !task.Waits(at(40)) {
				t.Error("the task does not wait once the run was stopped")
			}
		})
	}
}

// A cancelled job runs on for ever. The connection breaks, or the agent's orders are void,
// while a stop is on its way. The agent opens another session and still lists the run: the
// stop must be decided again, since nobody else will.
func TestStopsOfAnEarlierSessionAreOrderedAgain(t *testing.T) {
	a := newState(t, 2)
	j := addJob(t, a, 1, specifier.Step{Count: 1, Needs: oneCore, Lasting: true})
	report := Report{Life: "1", Process: 1, Ready: true}
	vm, _ := a.Attach(Facts{Name: "vm", Capacity: oneCore}, report, begin)
	a.Place(j.Occurrences[0].Steps[0].Tasks[0], vm, 1, begin)
	report.OrdersSeen, report.Runs = 1, []ReportedRun{{Key: key(1, 0, 0, 1), Confirmed: true}}
	a.Apply(vm, report, at(5))
	a.Cancel(jobID(1), at(10))
	for _, r := range a.Unwanted() {
		a.Stop(r, "job ended", at(10))
	}
	if got := len(a.Unwanted()); got != 0 {
		t.Fatalf("%d stops are ordered twice in one session", got)
	}
	a.Attach(Facts{Name: "vm", Capacity: oneCore}, report, at(20))
	if got := len(a.Unwanted()); got != 1 {
		t.Errorf("%d runs are to be stopped in the new session, want 1", got)
	}
}

// Filling tasks crawl for ever. An owner slows them down and is replaced; the next one
// takes them for runs at full speed and sees nothing to change. It must not believe to
// know the speed of a run that it did not start, nor that an order of a broken session
// was carried out.
func TestThePaceOfAnInheritedRunIsNotKnown(t *testing.T) {
	a := newState(t, 2)
	addJob(t, a, 1, specifier.Step{Count: 1, Needs: oneCore, Fills: true})
	report := Report{Life: "1", Process: 1, Ready: true, Runs: []ReportedRun{{Key: key(1, 0, 0, 1), Confirmed: true}}}
	vm, _ := a.Attach(Facts{Name: "vm", Capacity: oneCore}, report, begin)
	run := vm.Runs[key(1, 0, 0, 1)]
	if run.Pace != PaceUnknown {
		t.Errorf("an adopted run has pace %d", run.Pace)
	}
	run.Pace = 15
	a.Attach(Facts{Name: "vm", Capacity: oneCore}, report, at(10))
	if run.Pace != PaceUnknown {
		t.Errorf("in a new session the run has pace %d", run.Pace)
	}
}

// A worker is given more memory than it has. A job is cancelled, and before its run has
// stopped all processes are killed: the next owner has only the job's remains, without its
// steps, and the agent's next process doesn't know what the run takes. Until the run is
// gone nothing may start beside it.
func TestNothingStartsBesideARunOfUnknownSize(t *testing.T) {
	a := newState(t, 2)
	ended := specifier.Job{ID: jobID(1), Queue: "q", Ended: string(JobCancelled)}
	a.AddJob(&ended, time.Time{}, begin)
	report := Report{Life: "1", Process: 1, Ready: true, Runs: []ReportedRun{{Key: key(1, 0, 1, 2), Confirmed: true}}}
	vm, _ := a.Attach(Facts{Name: "vm", Capacity: oneCore}, report, begin)
	if vm.Sized() {
		t.Error("the VM counts as one whose runs are all of known size")
	}
	if got := len(a.Unwanted()); got != 1 {
		t.Errorf("%d runs are to be stopped", got)
	}
	report.Runs = nil
	a.Apply(vm, report, at(10))
	if !vm.Sized() {
		t.Error("the VM takes nothing though the run is gone")
	}
	report.Runs = []ReportedRun{{Key: key(2, 0, 0, 1), Confirmed: true, Needs: oneCore}}
	a.Apply(vm, report, at(20))
	if !vm.Sized() || vm.Committed != oneCore {
		t.Errorf("a run whose size the agent tells takes %+v", vm.Committed)
	}
}

// Guards against more lasting tasks away than their users can spare: after a broken session,
// or a change of owner, a run that its agent is stopping counted as at work.
func TestRunsThatTheAgentIsStoppingAreAway(t *testing.T) {
	tests := []struct {
		name    string
		ordered bool // by this owner, in an earlier session
	}{
		{"ordered in an earlier session", true},
		{"ordered by an earlier owner", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newState(t, 2)
			j := addJob(t, a, 1, specifier.Step{Count: 1, Needs: oneCore, Lasting: true})
			task := j.Occurrences[0].Steps[0].Tasks[0]
			report := Report{Life: "1", Process: 1, Ready: true, Runs: []ReportedRun{{Key: key(1, 0, 0, 1), Confirmed: true, Progress: 100}}}
			if tt.ordered {
				vm, _ := a.Attach(Facts{Name: "vm", Capacity: oneCore}, report, begin)
				a.Stop(vm.Runs[key(1, 0, 0, 1)], "yields", at(5))
			}
			report.Runs[0].Stopping = true
			a.Attach(Facts{Name: "vm", Capacity: oneCore}, report, at(10))
			if got := task.Runs[0].State; got != Stopping || !task.Away() {
				t.Errorf("the run is %s, away: %t", got, task.Away())
			}
		})
	}
}

// Guards against a cancelled job that runs on since its stop, once ordered, is believed.
func TestStopsThatTheAgentDoesNotCarryOutAreOrderedAgain(t *testing.T) {
	a := newState(t, 2)
	addJob(t, a, 1, specifier.Step{Count: 1, Needs: oneCore, Lasting: true})
	report := Report{Life: "1", Process: 1, Ready: true, Runs: []ReportedRun{{Key: key(1, 0, 0, 1), Confirmed: true, Progress: 100}}}
	vm, _ := a.Attach(Facts{Name: "vm", Capacity: oneCore}, report, begin)
	a.Cancel(jobID(1), at(10))
	order := a.Stop(a.Unwanted()[0], "job ended", at(10))
	report.OrdersSeen = order - 1
	if a.Apply(vm, report, at(20)); len(a.Unwanted()) != 0 {
		t.Fatal("ordered again while the order is on its way")
	}
	report.OrdersSeen, report.Runs[0].Stopping = order, true
	if a.Apply(vm, report, at(30)); len(a.Unwanted()) != 0 {
		t.Fatal("ordered again while the agent carries it out")
	}
	report.Runs[0].Stopping = false
	if a.Apply(vm, report, at(40)); len(a.Unwanted()) != 1 {
		t.Error("not ordered again though the agent has the order and does not stop the run")
	}
}

// Guards against a lasting task that stays away though there is room: its stop was lost, and
// what it was stopped for, to move or to yield, is still believed when it ends later.
func TestAMoveOrAYieldIsForgottenWithItsStop(t *testing.T) {
	tests := []struct {
		name     string
		stopping bool // the agent has the stop
	}{
		{"the stop was lost", false},
		{"the stop was not lost", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newState(t, 2)
			j := addJob(t, a, 1, specifier.Step{Count: 1, Needs: oneCore, Lasting: true})
			task := j.Occurrences[0].Steps[0].Tasks[0]
			report := Report{Life: "1", Process: 1, Ready: true, Runs: []ReportedRun{{Key: key(1, 0, 0, 1), Confirmed: true}}}
			vm, _ := a.Attach(Facts{Name: "vm", Capacity: oneCore}, report, begin)
			task.Yielded, task.Moves = true, Moving{To: "other", Until: at(1000)}
			a.Stop(vm.Runs[key(1, 0, 0, 1)], "yields", at(5))
			report.Runs[0].Stopping = tt.stopping
			a.Attach(Facts{Name: "vm", Capacity: oneCore}, report, at(10))
			if got := task.Yielded && task.Waiting("vm", at(20)); got != tt.stopping {
				t.Errorf("yielded: %t, moves to %q", task.Yielded, task.Moves.To)
			}
		})
	}
}

// Guards against a lasting task that runs nowhere and counts as at work: a restarted agent
// finds the run at its worker, and the worker begins another life.
func TestARunThatARestartedAgentFoundIsLostWithItsWorker(t *testing.T) {
	a := newState(t, 2)
	j := addJob(t, a, 1, specifier.Step{Count: 1, Needs: oneCore, Lasting: true})
	task := j.Occurrences[0].Steps[0].Tasks[0]
	report := Report{Life: "1", Process: 1, Ready: true}
	vm, _ := a.Attach(Facts{Name: "vm", Capacity: oneCore}, report, begin)
	a.Place(task, vm, 1, begin)
	report.Process, report.Runs = 2, []ReportedRun{{Key: key(1, 0, 0, 1), Confirmed: true}}
	a.Attach(Facts{Name: "vm", Capacity: oneCore}, report, at(10))
	if len(task.Runs) != 1 || len(vm.UncertainRuns()) != 0 {
		t.Fatal("the run that the agent lists is not taken for one that is known")
	}
	report.Life, report.Runs = "2", nil
	if a.Apply(vm, report, at(1000)); len(task.Runs) != 0 {
		t.Errorf("the run of the life before is still %s, and its task never starts again", task.Runs[0].State)
	}
}

// Guards against the only run of a task that works being stopped: a VM lists a run of it that
// is being stopped since its start may still come, and is heard before the one where it works.
func TestARunThatIsBeingStoppedDoesNotOustOneThatWorks(t *testing.T) {
	a := newState(t, 2)
	j := addJob(t, a, 1, specifier.Step{Count: 1, Needs: oneCore, Lasting: true})
	a.Attach(Facts{Name: "vm-b", Capacity: oneCore}, Report{Life: "1", Process: 1, Ready: true, Runs: []ReportedRun{{Key: key(1, 0, 0, 1), Stopping: true, Confirmed: true}}}, begin)
	a.Attach(Facts{Name: "vm-a", Capacity: oneCore}, Report{Life: "1", Process: 1, Ready: true, Runs: []ReportedRun{{Key: key(1, 0, 0, 2), Confirmed: true, Progress: 100}}}, at(5))
	for _, r := range a.Unwanted() {
		t.Errorf("run %d on %s is to be stopped", r.Number, r.VM.Name)
	}
	if j.Occurrences[0].Steps[0].Tasks[0].Away() {
		t.Error("the task counts as away though one of its runs is at work")
	}
}

// Guards against a stop that is told as overdue as soon as it is ordered: an earlier one, which
// the agent did not carry out, was forgotten.
func TestAStopIsOverdueFromItsOwnOrderOn(t *testing.T) {
	a := newState(t, 3)
	addJob(t, a, 1, specifier.Step{Count: 1, Needs: oneCore})
	vm := attach(a, "vm")
	run := a.Place(a.Find(task(1, 0, 0)), vm, 1, at(0))
	listed := Report{Life: "1", Ready: true, Runs: []ReportedRun{{Key: run.Key(), Confirmed: true}}}
	listed.OrdersSeen = a.Stop(run, "moves", at(10))
	a.Apply(vm, listed, at(20)) // the agent has the order and lists the run as one that stays
	a.Apply(vm, listed, at(5000))
	a.Stop(run, "moves", at(5000))
	if got := a.OverdueStops(time.Second, at(5999)); len(got) != 0 {
		t.Errorf("%d stops are overdue too early", len(got))
	}
	if got := a.OverdueStops(time.Second, at(6000)); len(got) != 1 {
		t.Errorf("%d stops are overdue, want 1", len(got))
	}
}
