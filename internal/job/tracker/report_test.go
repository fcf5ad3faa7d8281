package tracker

import (
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
)

// Guards against two runs of one task. The owner orders a start; the agent passes it to the
// worker and is killed before the worker answers; the worker carries it out seconds later.
// The agent's next process does not know the start and does not list the run, so the owner
// treated it as lost and started the task elsewhere. The run must be kept until its stop has
// been seen.
func TestUnconfirmedRunKeptAfterAgentRestart(t *testing.T) {
	tests := []struct {
		name    string
		process int64 // of the agent that attaches again; the start was ordered through process 1
		seen    bool  // the run was reported as running before
		kept    bool
	}{
		{"the same process", 1, false, false},
		{"another process", 2, false, true},
		{"another process, the run was reported as running", 2, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newState(t, 2)
			j := addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore})
			report := Report{Incarnation: "1", Process: 1, Ready: true}
			vm, _ := tr.Attach(VMInfo{Name: "vm", Capacity: oneCore}, report, begin)
			task := j.Occurrences[0].Steps[0].Tasks[0]
			tr.Place(task, vm, 1, begin)
			if tt.seen {
				report.OrdersSeen, report.Runs = 1, []ReportedRun{{Key: key(1, 0, 0, 1), Confirmed: true}}
				tr.Apply(vm, report, at(5))
				report.Runs = nil
			}
			report.Process = tt.process
			for range 2 { // the connection breaks before the stop has arrived
				tr.Attach(VMInfo{Name: "vm", Capacity: oneCore}, report, at(10))
			}
			if got := len(task.Runs) == 1; got != tt.kept {
				t.Fatalf("the run is kept: %t, want %t", got, tt.kept)
			}
			unconfirmed := vm.UnconfirmedRuns()
			if got := len(unconfirmed) == 1; got != tt.kept {
				t.Fatalf("%d runs are to be stopped", len(unconfirmed))
			}
			if !tt.kept {
				return
			}
			order := tr.Stop(unconfirmed[0], "unconfirmed", at(10))
			report.OrdersSeen = order - 1
			if tr.Apply(vm, report, at(20)); len(task.Runs) != 1 {
				t.Fatal("the run is removed before the agent has received the stop")
			}
			report.OrdersSeen, report.Runs = order, []ReportedRun{{Key: key(1, 0, 0, 1), Confirmed: true}}
			if tr.Apply(vm, report, at(30)); len(task.Runs) != 1 || len(vm.UnconfirmedRuns()) != 0 {
				t.Fatal("the run is removed or still unconfirmed while the agent is stopping it")
			}
			report.Runs = nil
			if tr.Apply(vm, report, at(40)); len(task.Runs) != 0 || !task.Waits(at(40)) {
				t.Error("the task does not wait after the run was stopped")
			}
		})
	}
}

// Guards against a cancelled job that keeps running: the connection breaks, or the agent's
// orders expire, while a stop is in transit. The agent opens another session and still lists
// the run. The owner must decide the stop again, since nothing else does.
func TestStopRepeatedInNewSession(t *testing.T) {
	tr := newState(t, 2)
	j := addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore, LongRunning: true})
	report := Report{Incarnation: "1", Process: 1, Ready: true}
	vm, _ := tr.Attach(VMInfo{Name: "vm", Capacity: oneCore}, report, begin)
	tr.Place(j.Occurrences[0].Steps[0].Tasks[0], vm, 1, begin)
	report.OrdersSeen, report.Runs = 1, []ReportedRun{{Key: key(1, 0, 0, 1), Confirmed: true}}
	tr.Apply(vm, report, at(5))
	tr.Cancel(jobID(1), at(10))
	for _, r := range Unwanted(tr.SortedVMs()) {
		tr.Stop(r, "job ended", at(10))
	}
	if got := len(Unwanted(tr.SortedVMs())); got != 0 {
		t.Fatalf("%d stops would be ordered twice in one session", got)
	}
	tr.Attach(VMInfo{Name: "vm", Capacity: oneCore}, report, at(20))
	if got := len(Unwanted(tr.SortedVMs())); got != 1 {
		t.Errorf("%d runs are to be stopped in the new session, want 1", got)
	}
}

// Guards against best-effort tasks that stay starved: an owner throttles them and is
// replaced, and the next owner treats them as running at full speed and changes nothing. An
// owner must not assume a pace for a run that it did not start, nor that an order of a
// broken session was carried out.
func TestAdoptedRunHasUnknownPace(t *testing.T) {
	tr := newState(t, 2)
	addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore, BestEffort: true})
	report := Report{Incarnation: "1", Process: 1, Ready: true, Runs: []ReportedRun{{Key: key(1, 0, 0, 1), Confirmed: true}}}
	vm, _ := tr.Attach(VMInfo{Name: "vm", Capacity: oneCore}, report, begin)
	run := vm.Runs[key(1, 0, 0, 1)]
	if run.Pace != PaceUnknown {
		t.Errorf("an adopted run has pace %d", run.Pace)
	}
	run.Pace = 15
	tr.Attach(VMInfo{Name: "vm", Capacity: oneCore}, report, at(10))
	if run.Pace != PaceUnknown {
		t.Errorf("in a new session the run has pace %d", run.Pace)
	}
}

// Guards against tasks that together need more memory than their worker has. A job is
// cancelled, and all processes are killed before its run has stopped. The next owner has only
// the job's tombstone, without steps, and the agent's next process does not know what the run
// needs. Until the run has ended, nothing else may start on the VM.
func TestRunOfUnknownSizeMarksVM(t *testing.T) {
	tr := newState(t, 2)
	ended := specifier.Job{ID: jobID(1), Queue: "q", Ended: string(JobCancelled)}
	tr.AddJob(&ended, time.Time{}, begin)
	report := Report{Incarnation: "1", Process: 1, Ready: true, Runs: []ReportedRun{{Key: key(1, 0, 1, 2), Confirmed: true}}}
	vm, _ := tr.Attach(VMInfo{Name: "vm", Capacity: oneCore}, report, begin)
	if vm.SizesKnown() {
		t.Error("the VM counts as having only runs of known size")
	}
	if got := len(Unwanted(tr.SortedVMs())); got != 1 {
		t.Errorf("%d runs are to be stopped", got)
	}
	report.Runs = nil
	tr.Apply(vm, report, at(10))
	if !vm.SizesKnown() {
		t.Error("the VM counts as having a run of unknown size after the run has ended")
	}
	report.Runs = []ReportedRun{{Key: key(2, 0, 0, 1), Confirmed: true, Needs: oneCore}}
	tr.Apply(vm, report, at(20))
	if !vm.SizesKnown() || vm.Committed != oneCore {
		t.Errorf("%+v is committed for a run of the size %+v", vm.Committed, oneCore)
	}
}

// Guards against more unavailable long-running tasks than allowed: after a broken session or
// a change of owner, a run that its agent is stopping counted as running.
func TestStoppingRunsCountAsUnavailable(t *testing.T) {
	tests := []struct {
		name    string
		ordered bool // by this owner, in an earlier session
	}{
		{"ordered in an earlier session", true},
		{"ordered by an earlier owner", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newState(t, 2)
			j := addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore, LongRunning: true})
			task := j.Occurrences[0].Steps[0].Tasks[0]
			report := Report{Incarnation: "1", Process: 1, Ready: true, Runs: []ReportedRun{{Key: key(1, 0, 0, 1), Confirmed: true, Progress: 100}}}
			if tt.ordered {
				vm, _ := tr.Attach(VMInfo{Name: "vm", Capacity: oneCore}, report, begin)
				tr.Stop(vm.Runs[key(1, 0, 0, 1)], "yields", at(5))
			}
			report.Runs[0].Stopping = true
			tr.Attach(VMInfo{Name: "vm", Capacity: oneCore}, report, at(10))
			if got := task.Runs[0].State; got != Stopping || !task.Unavailable() {
				t.Errorf("the run is %s, unavailable: %t", got, task.Unavailable())
			}
		})
	}
}

// Guards against a cancelled job that keeps running because its stop, once ordered, is assumed
// to be carried out.
func TestIgnoredStopIsOrderedAgain(t *testing.T) {
	tr := newState(t, 2)
	addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore, LongRunning: true})
	report := Report{Incarnation: "1", Process: 1, Ready: true, Runs: []ReportedRun{{Key: key(1, 0, 0, 1), Confirmed: true, Progress: 100}}}
	vm, _ := tr.Attach(VMInfo{Name: "vm", Capacity: oneCore}, report, begin)
	tr.Cancel(jobID(1), at(10))
	order := tr.Stop(Unwanted(tr.SortedVMs())[0], "job ended", at(10))
	report.OrdersSeen = order - 1
	if tr.Apply(vm, report, at(20)); len(Unwanted(tr.SortedVMs())) != 0 {
		t.Fatal("the stop is ordered again while the order is in transit")
	}
	report.OrdersSeen, report.Runs[0].Stopping = order, true
	if tr.Apply(vm, report, at(30)); len(Unwanted(tr.SortedVMs())) != 0 {
		t.Fatal("the stop is ordered again while the agent carries it out")
	}
	report.Runs[0].Stopping = false
	if tr.Apply(vm, report, at(40)); len(Unwanted(tr.SortedVMs())) != 1 {
		t.Error("the stop is not ordered again although the agent has received it and does not stop the run")
	}
}

// Guards against a long-running task that stays unavailable although there is free capacity:
// its stop was lost, but the move or yield that it was stopped for still counts when it ends
// later.
func TestMoveAndYieldClearedWithLostStop(t *testing.T) {
	tests := []struct {
		name     string
		stopping bool // the agent has received the stop
	}{
		{"the stop was lost", false},
		{"the stop was received", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newState(t, 2)
			j := addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore, LongRunning: true})
			task := j.Occurrences[0].Steps[0].Tasks[0]
			report := Report{Incarnation: "1", Process: 1, Ready: true, Runs: []ReportedRun{{Key: key(1, 0, 0, 1), Confirmed: true}}}
			vm, _ := tr.Attach(VMInfo{Name: "vm", Capacity: oneCore}, report, begin)
			task.Yielded = true
			task.SetRelocation(Relocation{To: "other", Until: at(1000)})
			tr.Stop(vm.Runs[key(1, 0, 0, 1)], "yields", at(5))
			report.Runs[0].Stopping = tt.stopping
			tr.Attach(VMInfo{Name: "vm", Capacity: oneCore}, report, at(10))
			if got := task.Yielded && task.MovesElsewhere("vm", at(20)); got != tt.stopping {
				t.Errorf("yielded: %t, moving to %q", task.Yielded, task.Relocation().To)
			}
		})
	}
}

// Guards against a long-running task without a run that counts as running: a restarted agent
// finds the run at its worker, and then a new incarnation of the worker starts.
func TestRunFoundByRestartedAgentIsLostWithWorker(t *testing.T) {
	tr := newState(t, 2)
	j := addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore, LongRunning: true})
	task := j.Occurrences[0].Steps[0].Tasks[0]
	report := Report{Incarnation: "1", Process: 1, Ready: true}
	vm, _ := tr.Attach(VMInfo{Name: "vm", Capacity: oneCore}, report, begin)
	tr.Place(task, vm, 1, begin)
	report.Process, report.Runs = 2, []ReportedRun{{Key: key(1, 0, 0, 1), Confirmed: true}}
	tr.Attach(VMInfo{Name: "vm", Capacity: oneCore}, report, at(10))
	if len(task.Runs) != 1 || len(vm.UnconfirmedRuns()) != 0 {
		t.Fatal("the run that the agent lists does not count as confirmed")
	}
	report.Incarnation, report.Runs = "2", nil
	if tr.Apply(vm, report, at(1000)); len(task.Runs) != 0 {
		t.Errorf("the run of the earlier incarnation is still %s, and its task never starts again", task.Runs[0].State)
	}
}

// Guards against a stop of the only active run of a task. One VM lists a run of the task that
// is being stopped because its start may still be carried out. It reports before the VM with
// the active run.
func TestStoppingRunDoesNotReplaceActiveRun(t *testing.T) {
	tr := newState(t, 2)
	j := addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore, LongRunning: true})
	tr.Attach(VMInfo{Name: "vm-b", Capacity: oneCore}, Report{Incarnation: "1", Process: 1, Ready: true, Runs: []ReportedRun{{Key: key(1, 0, 0, 1), Stopping: true, Confirmed: true}}}, begin)
	tr.Attach(VMInfo{Name: "vm-a", Capacity: oneCore}, Report{Incarnation: "1", Process: 1, Ready: true, Runs: []ReportedRun{{Key: key(1, 0, 0, 2), Confirmed: true, Progress: 100}}}, at(5))
	for _, r := range Unwanted(tr.SortedVMs()) {
		t.Errorf("run %d on %s is to be stopped", r.Number, r.VM.Name)
	}
	if j.Occurrences[0].Steps[0].Tasks[0].Unavailable() {
		t.Error("the task counts as unavailable although one of its runs is active")
	}
}

// Guards against a stop that is reported as overdue as soon as it is ordered: its time counted
// from an earlier stop that the agent did not carry out and that was cleared.
func TestStopIsOverdueFromItsOwnOrder(t *testing.T) {
	tr := newState(t, 3)
	addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore})
	vm := attach(tr, "vm")
	run := tr.Place(tr.Find(task(1, 0, 0)), vm, 1, at(0))
	listed := Report{Incarnation: "1", Ready: true, Runs: []ReportedRun{{Key: run.Key(), Confirmed: true}}}
	listed.OrdersSeen = tr.Stop(run, "moves", at(10))
	tr.Apply(vm, listed, at(20)) // the agent has received the order and does not list the run as stopping
	tr.Apply(vm, listed, at(5000))
	tr.Stop(run, "moves", at(5000))
	if got := tr.OverdueStops(time.Second, at(5999)); len(got) != 0 {
		t.Errorf("%d stops are overdue too early", len(got))
	}
	if got := tr.OverdueStops(time.Second, at(6000)); len(got) != 1 {
		t.Errorf("%d stops are overdue, want 1", len(got))
	}
}

// Guards against tasks that start again after they were done: a report that may lack ends says nothing
// of the runs that it does not list, and their progress says nothing of the worker.
func TestReportThatLacksEndsLosesNoRun(t *testing.T) {
	tr := newState(t, 3)
	vm := attach(tr, "vm")
	runTasks(t, tr, vm, 4, oneSecond)
	var listed ReportedRun
	for key := range vm.Runs {
		listed = ReportedRun{Key: key, Confirmed: true}
		break
	}
	for millis := 0; millis <= 4000; millis += 200 {
		rep := Report{Incarnation: "1", Ready: true, OrdersSeen: 1000, MoreEnds: true, Runs: []ReportedRun{listed}}
		if c := tr.Apply(vm, rep, at(millis)); len(c.Lost) > 0 || len(vm.Runs) != 4 {
			t.Fatalf("%d runs are lost after %d ms, %d left", len(c.Lost), millis, len(vm.Runs))
		}
		if stalled := tr.Stalled(tr.SortedVMs(), at(millis)); len(stalled) > 0 || vm.OnProbation() {
			t.Fatalf("%d runs have stalled after %d ms, on probation: %t", len(stalled), millis, vm.OnProbation())
		}
	}
	c := tr.Apply(vm, Report{Incarnation: "1", Ready: true, OrdersSeen: 1000, Runs: []ReportedRun{listed}}, at(4200))
	if len(c.Lost) != 3 {
		t.Errorf("%d runs are lost by a complete report, want 3", len(c.Lost))
	}
}

// Guards against tasks that an earlier owner's runs have done and that start again: neither the owner
// nor a restarted agent knows runs whose ends the worker does not list yet.
func TestNoReconciliationWhileEndsAreMissing(t *testing.T) {
	tr := newState(t, 3)
	vm := attach(tr, "vm")
	j := addJob(t, tr, 1, oneSecond)
	j.ReconcileAt = at(1000)
	tr.Apply(vm, Report{Incarnation: "1", Ready: true, MoreEnds: true}, at(0))
	if tr.Reconcile(true, at(2000)); j.Startable() {
		t.Error("the job may start while ends are missing")
	}
	tr.Detach(vm)
	if tr.Reconcile(true, at(3000)); j.Startable() {
		t.Error("the job may start before the leases of the VM have expired")
	}
	tr.DropRuns(vm, at(9000))
	if tr.Reconcile(true, at(9000)); !j.Startable() {
		t.Error("the job does not start after the VM is lost")
	}
}
