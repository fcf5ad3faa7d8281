package tracker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bamboospread/internal/job/specifier"
)

func TestStepsRunInOrderAndJobEnds(t *testing.T) {
	tr := newState(t, 2)
	j := addJob(t, tr, 1, specifier.Step{Count: 2, Needs: oneCore}, specifier.Step{Count: 1, Needs: oneCore, After: []int{0}})
	vm := attach(tr, "vm")
	if got := tr.WaitingSteps(begin); len(got) != 1 || got[0].Number != 0 {
		t.Fatalf("waiting steps %v", got)
	}
	for i, task := range j.Occurrences[0].Steps[0].Tasks {
		tr.Place(task, vm, tr.NextNumber(task), begin)
		tr.Apply(vm, Report{Incarnation: "1", Ready: true, OrdersSeen: int64(i + 1), Ends: []ReportedEnd{{Seq: int64(i + 1), Key: key(1, 0, i, 1), Outcome: EndDone}}}, at(10))
	}
	steps := tr.WaitingSteps(at(10))
	if len(steps) != 1 || steps[0].Number != 1 || j.State != JobRunning {
		t.Fatalf("waiting steps %v, job %s", steps, j.State)
	}
	tr.Place(steps[0].Tasks[0], vm, 1, at(10))
	tr.Apply(vm, Report{Incarnation: "1", Ready: true, OrdersSeen: 3, Ends: []ReportedEnd{{Seq: 3, Key: key(1, 1, 0, 1), Outcome: EndDone}}}, at(20))
	if j.State != JobDone || vm.Committed != (specifier.Resources{}) || len(tr.TakeEnded()) != 1 {
		t.Errorf("job %s, committed %+v", j.State, vm.Committed)
	}
}

// Guards against a job that callers see as done and whose tasks then run again: the owner
// reported the end before it was stored and then crashed, so the next owner did not know
// it. A final state is reported, and an end acknowledged, only once it is stored.
func TestFinalStateReportedOnceStored(t *testing.T) {
	tr := newState(t, 2)
	j := addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore})
	vm := attach(tr, "vm")
	tr.Place(j.Occurrences[0].Steps[0].Tasks[0], vm, 1, begin)
	tr.Apply(vm, Report{Incarnation: "1", Ready: true, OrdersSeen: 1, Ends: []ReportedEnd{{Seq: 1, Key: key(1, 0, 0, 1), Outcome: EndDone}}}, at(10))
	if j.ReportedState() != JobRunning || vm.EndStored != 0 {
		t.Fatalf("state %s reported, end %d acknowledged before the write", j.ReportedState(), vm.EndStored)
	}
	f := tr.BeginFlush()
	tr.EndFlush(f, nil)
	if j.ReportedState() != JobRunning || vm.EndStored != 0 {
		t.Fatalf("state %s reported, end %d acknowledged after a failed write", j.ReportedState(), vm.EndStored)
	}
	f = tr.BeginFlush()
	if len(f.Jobs) != 1 {
		t.Fatalf("%d jobs are written again, want 1", len(f.Jobs))
	}
	tr.EndFlush(f, map[string]JobState{j.Spec.ID: j.State})
	if j.ReportedState() != JobDone || vm.EndStored != 1 {
		t.Errorf("state %s reported, end %d acknowledged", j.ReportedState(), vm.EndStored)
	}
}

// An end that is reported while a write is in flight must wait for the next write.
func TestEndDuringWriteWaitsForNextWrite(t *testing.T) {
	tr := newState(t, 2)
	j := addJob(t, tr, 1, specifier.Step{Count: 2, Needs: oneCore})
	vm := attach(tr, "vm")
	for _, task := range j.Occurrences[0].Steps[0].Tasks {
		tr.Place(task, vm, 1, begin)
	}
	end := func(seq int64, index int) {
		tr.Apply(vm, Report{Incarnation: "1", Ready: true, Ends: []ReportedEnd{{Seq: seq, Key: key(1, 0, index, 1), Outcome: EndDone}}}, at(10))
	}
	end(1, 0)
	f := tr.BeginFlush()
	state := j.State
	end(2, 1)
	tr.EndFlush(f, map[string]JobState{j.Spec.ID: state})
	if vm.EndStored != 1 || j.ReportedState() != JobRunning {
		t.Errorf("end %d acknowledged, job reported as %s", vm.EndStored, j.ReportedState())
	}
	if f := tr.BeginFlush(); len(f.Jobs) != 1 {
		t.Errorf("%d jobs in the next write", len(f.Jobs))
	}
}

func TestReports(t *testing.T) {
	confirmed := func(k RunKey) ReportedRun { return ReportedRun{Key: k, Confirmed: true, Checkpoint: "c1"} }
	tests := []struct {
		name   string
		report Report
		state  string // of the run that was ordered; empty: lost
		lost   int
		adopt  int
	}{
		{"order not received yet", Report{Incarnation: "1", Ready: true}, "ordered", 0, 0},
		{"order received, start not answered", Report{Incarnation: "1", Ready: true, OrdersSeen: 1, Runs: []ReportedRun{{Key: key(1, 0, 0, 1)}}}, "ordered", 0, 0},
		{"confirmed", Report{Incarnation: "1", Ready: true, OrdersSeen: 1, Runs: []ReportedRun{confirmed(key(1, 0, 0, 1))}}, "running", 0, 0},
		{"refused", Report{Incarnation: "1", Ready: true, OrdersSeen: 1}, "", 1, 0},
		{"another incarnation", Report{Incarnation: "2", Ready: true, OrdersSeen: 1}, "", 1, 0},
		{"a run of an earlier owner", Report{Incarnation: "1", Ready: true, OrdersSeen: 1, Runs: []ReportedRun{confirmed(key(1, 0, 0, 1)), confirmed(key(1, 0, 1, 7))}}, "running", 0, 1},
		{"a run of an unknown job", Report{Incarnation: "1", Ready: true, OrdersSeen: 1, Runs: []ReportedRun{confirmed(key(1, 0, 0, 1)), confirmed(key(9, 0, 0, 1))}}, "running", 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newState(t, 2)
			j := addJob(t, tr, 1, specifier.Step{Count: 2, Needs: oneCore, Checkpoints: true})
			vm := attach(tr, "vm")
			tr.Place(j.Occurrences[0].Steps[0].Tasks[0], vm, 1, begin)
			c := tr.Apply(vm, tt.report, at(10))
			state := ""
			if r := vm.Runs[key(1, 0, 0, 1)]; r != nil {
				state = r.State.String()
			}
			if diff := cmp.Diff([]any{tt.state, tt.lost, tt.adopt}, []any{state, len(c.Lost), len(c.Adopted)}); diff != "" {
				t.Error(diff)
			}
			checkCommitted(t, tr)
		})
	}
}

// A run is stopped if its job has ended, its task is done, or its task has another run
// and allows no copies.
func TestUnwantedRuns(t *testing.T) {
	tests := []struct {
		name   string
		copies bool
		change func(tr *Tracker)
		want   int
	}{
		{"two runs of one task", false, func(*Tracker) {}, 1},
		{"a copy", true, func(*Tracker) {}, 0},
		{"cancelled", true, func(tr *Tracker) { tr.Cancel(jobID(1), at(5)) }, 2},
		{"completed by the other run", true, func(tr *Tracker) {
			tr.Apply(tr.VMs["one"], Report{Incarnation: "1", Ready: true, Ends: []ReportedEnd{{Seq: 1, Key: key(1, 0, 0, 1), Outcome: EndDone}}}, at(5))
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newState(t, 2)
			addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore, Copies: tt.copies})
			for i, name := range []string{"one", "two"} {
				vm := attach(tr, name)
				tr.Apply(vm, Report{Incarnation: "1", Ready: true, Runs: []ReportedRun{{Key: key(1, 0, 0, int64(i+1)), Confirmed: true}}}, begin)
			}
			tt.change(tr)
			if got := len(Unwanted(tr.SortedVMs())); got != tt.want {
				t.Errorf("%d runs are stopped, want %d", got, tt.want)
			}
		})
	}
}

func TestFailures(t *testing.T) {
	tr := newState(t, 2)
	j := addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore})
	longRunning := addJob(t, tr, 2, specifier.Step{Count: 1, Needs: oneCore, LongRunning: true})
	vm := attach(tr, "vm")
	for run := range int64(3) {
		tr.EndRun(vm, key(1, 0, 0, run+1), EndFailed, "", at(10))
		tr.EndRun(vm, key(2, 0, 0, run+1), EndFailed, "", at(10))
	}
	if j.State != JobFailed {
		t.Errorf("the job is %s after the allowed failures", j.State)
	}
	if longRunning.State.Final() {
		t.Errorf("a long-running job ended as %s", longRunning.State)
	}
}

// Only failed runs count against the limit of a task: a lost VM or an expired lease is
// not the task's fault.
func TestOnlyFailedRunsCountAsFailures(t *testing.T) {
	tr := newState(t, 1)
	j := addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore, Checkpoints: true})
	vm := attach(tr, "vm")
	for run, outcome := range []End{EndStopped, EndLapsed, EndGangBroken, EndGangIncomplete, EndLost} {
		tr.EndRun(vm, key(1, 0, 0, int64(run+1)), outcome, "c", at(10))
	}
	task := j.Occurrences[0].Steps[0].Tasks[0]
	if j.State.Final() || len(task.Failed()) != 0 || task.Checkpoint != "c" || tr.NextNumber(task) != 6 {
		t.Errorf("job %s, failed runs %v, checkpoint %q, next run %d", j.State, task.Failed(), task.Checkpoint, tr.NextNumber(task))
	}
}

func TestRecordKeepsProgress(t *testing.T) {
	tr := newState(t, 3)
	steps := []specifier.Step{{Count: 10, Needs: oneCore}, {Count: 1, Needs: oneCore, After: []int{0}}}
	j := addJob(t, tr, 1, steps...)
	vm := attach(tr, "vm")
	for _, i := range []int{0, 3, 9} {
		tr.EndRun(vm, key(1, 0, i, 1), EndDone, "", at(10))
	}
	tr.EndRun(vm, key(1, 0, 4, 1), EndFailed, "", at(10))
	value := encode(t, j)
	next := newState(t, 3)
	restored := addJob(t, next, 1, steps...)
	if err := next.Restore(jobID(1), value, at(20)); err != nil {
		t.Fatal(err)
	}
	step := restored.Occurrences[0].Steps[0]
	var done []int
	for i, task := range step.Tasks {
		if task.Done {
			done = append(done, i)
		}
	}
	if diff := cmp.Diff([]int{0, 3, 9}, done); diff != "" || step.Done != 3 || len(step.Tasks[4].Failed()) != 1 {
		t.Errorf("restored %+v: %s", done, diff)
	}
}

func TestRestoreRejectsInvalidRecords(t *testing.T) {
	for _, value := range []string{"", "{", `{"state":"running","open":[{"number":0,"steps":[]}]}`, `{"state":"running","open":[{"number":0,"steps":[{"done":"xy"}]}]}`} {
		tr := newState(t, 3)
		addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore})
		if err := tr.Restore(jobID(1), []byte(value), begin); err == nil {
			t.Errorf("%q was accepted", value)
		}
	}
}

// A worker refuses a run whose number is not higher than those it has seen. A new owner
// does not know the numbers of runs that were lost with their VM, so its own numbers
// start above all that earlier owners can have assigned.
func TestRunNumbersIncreaseAcrossOwners(t *testing.T) {
	tr := New(Config{RunFloor: 2000, Policy: &specifier.Policy{}})
	spec := &specifier.Job{ID: jobID(1), Steps: []specifier.Step{{Count: 2, Needs: oneCore, Gang: true}}}
	tr.AddJob(spec, at(5000), begin)
	s := tr.Jobs[spec.ID].Occurrences[0].Steps[0]
	vm := attach(tr, "vm")
	tr.Apply(vm, Report{Incarnation: "1", Ready: true, Runs: []ReportedRun{{Key: key(1, 0, 0, 2005), Confirmed: true}}}, begin)
	if got := tr.NextNumber(s.Tasks[1]); got != 2001 {
		t.Errorf("first run has number %d", got)
	}
	if got := tr.GangNumber(s); got != 2006 {
		t.Errorf("the gang's next run has number %d", got)
	}
}

func TestOccurrences(t *testing.T) {
	tr := newState(t, 2)
	spec := &specifier.Job{ID: jobID(1), Queue: "q", Occurrences: 3, FirstMillis: at(100).UnixMilli(), IntervalMillis: 100, Steps: []specifier.Step{{Count: 1, Needs: oneCore}}}
	tr.AddJob(spec, time.Time{}, begin)
	j := tr.Jobs[spec.ID]
	vm := attach(tr, "vm")
	for i, millis := range []int{50, 100, 250, 300} {
		tr.OpenDue(at(millis))
		if want := []int{0, 1, 2, 3}[i]; j.Next != want {
			t.Errorf("%d occurrences were opened after %d ms, want %d", j.Next, millis, want)
		}
	}
	for k := range 3 {
		id := specifier.TaskID{Job: spec.ID, Occurrence: k}
		tr.EndRun(vm, RunKey{id, 1}, EndDone, "", at(400))
		if done := j.State == JobDone; done != (k == 2) {
			t.Errorf("the job is %s after %d occurrences", j.State, k+1)
		}
	}
}

// checkCommitted compares the committed resources of each VM with those of its runs.
func checkCommitted(t *testing.T, tr *Tracker) {
	t.Helper()
	for _, vm := range tr.VMs {
		var committed specifier.Resources
		for _, r := range vm.Runs {
			committed = committed.Add(r.Step().Spec.Committed())
		}
		if vm.Committed != committed {
			t.Errorf("%s has %+v committed, its runs use %+v", vm.Name, vm.Committed, committed)
		}
	}
}

// Guards against a job that is shown as failed although no task reached its limit of
// failures: an end is stored, the owner crashes before it acknowledges it, and the worker
// reports it to the next owner, which counts it a second time.
func TestFailureReportedTwiceCountsOnce(t *testing.T) {
	tr := newState(t, 2)
	j := addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore})
	tr.EndRun(attach(tr, "vm"), key(1, 0, 0, 1), EndFailed, "", at(10))
	value := encode(t, j)
	next := newState(t, 2)
	restored := addJob(t, next, 1, specifier.Step{Count: 1, Needs: oneCore})
	if err := next.Restore(jobID(1), value, at(20)); err != nil {
		t.Fatal(err)
	}
	next.Apply(attach(next, "vm"), Report{Incarnation: "1", Ready: true, Ends: []ReportedEnd{{Seq: 1, Key: key(1, 0, 0, 1), Outcome: EndFailed}}}, at(30))
	if restored.State.Final() {
		t.Errorf("the job is %s after one failure of two", restored.State)
	}
}

// Jobs from before a change of owner wait until each VM has reported or its leases have
// expired. Jobs submitted later wait only for the lease of the earlier owner.
func TestReconcile(t *testing.T) {
	tr := newState(t, 2)
	for i, reconcileAt := range []time.Time{at(7000), at(2000), {}} {
		tr.AddJob(&specifier.Job{ID: jobID(i), Queue: "q", Steps: []specifier.Step{{Count: 1, Needs: oneCore}}}, reconcileAt, begin)
	}
	for _, tt := range []struct{ millis, startable, waiting int }{{1999, 1, 2}, {2000, 2, 1}, {7000, 3, 0}} {
		waiting := tr.Reconcile(false, at(tt.millis))
		if got := len(tr.WaitingSteps(at(tt.millis))); got != tt.startable || waiting != tt.waiting {
			t.Errorf("%d jobs may start and %d wait after %d ms", got, waiting, tt.millis)
		}
	}
	b := newState(t, 2)
	b.AddJob(&specifier.Job{ID: jobID(1), Queue: "q", Steps: []specifier.Step{{Count: 1, Needs: oneCore}}}, at(7000), begin)
	if b.Reconcile(true, at(1)); len(b.WaitingSteps(at(1))) != 1 {
		t.Error("the job waits although every VM has reported")
	}
}

// Guards against an owner whose decisions get slower with its running time, or that crashes:
// the list of open jobs still contains jobs that have ended or were removed.
func TestEndedJobsLeaveOpenList(t *testing.T) {
	tr := newState(t, 2)
	addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore})
	addJob(t, tr, 2, specifier.Step{Count: 1, Needs: oneCore})
	if got := len(tr.open); got != 2 {
		t.Fatalf("%d jobs are open", got)
	}
	tr.Cancel(jobID(1), at(10))
	if got := tr.open; len(got) != 1 || got[0].Spec.ID != jobID(2) {
		t.Errorf("open jobs are %v", got)
	}
	if err := tr.Restore(jobID(2), []byte(`{"state":"cancelled","ended-ms":20,"next":1}`), at(20)); err != nil {
		t.Fatal(err)
	}
	if got := tr.open; len(got) != 0 {
		t.Errorf("open jobs are %v after a record of an ended job was restored", got)
	}
	tr.Forget(at(60_000))
	if got := len(tr.WaitingSteps(at(60_000))); got != 0 {
		t.Errorf("%d steps wait", got)
	}
}
