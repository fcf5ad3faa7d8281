package tracker

import (
	"strings"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/worker/attributor"
)

// crashFixture replays the reports of VMs whose workers crash.
type crashFixture struct {
	t   *testing.T
	tr  *Tracker
	now time.Time
	seq map[string]int64
}

func newCrashFixture(t *testing.T) *crashFixture {
	t.Helper()
	return &crashFixture{t: t, tr: newState(t, 3), now: begin, seq: make(map[string]int64)}
}

// run lets a task run on a VM from now on.
func (f *crashFixture) run(vm string, task *Task) *Run {
	m := f.tr.VMs[vm]
	if m == nil {
		m = attach(f.tr, vm)
	}
	r := f.tr.Place(task, m, f.tr.NextNumber(task), f.now)
	f.report(vm)
	return r
}

// report replays a report that lists all runs of the VM as running.
func (f *crashFixture) report(vm string) Changes {
	m := f.tr.VMs[vm]
	rep := Report{Incarnation: m.Incarnation, Process: m.Process, Ready: true, OrdersSeen: m.OrderSeq}
	for key := range m.Runs {
		rep.Runs = append(rep.Runs, ReportedRun{Key: key, Confirmed: true})
	}
	return f.tr.Apply(m, rep, f.now)
}

// crash replays the report of a crash with these runs on the VM, by their age.
func (f *crashFixture) crash(vm string, ages map[*Run]time.Duration) Changes {
	m := f.tr.VMs[vm]
	f.seq[vm]++
	c := ReportedCrash{Seq: f.seq[vm]}
	for r, age := range ages {
		c.Runs = append(c.Runs, CrashedRun{Key: r.Key(), Age: age})
	}
	return f.tr.Apply(m, Report{Incarnation: m.Incarnation, Process: m.Process, Ready: false, OrdersSeen: m.OrderSeq, Crashes: []ReportedCrash{c}}, f.now)
}

// waitToGiveUp lets the time pass after which a task is given up.
func (f *crashFixture) waitToGiveUp() {
	f.now = f.now.Add(attributor.CrashesTogether)
	f.tr.GiveUpCrashingTasks(f.now)
}

// crashOnce lets tasks run on a VM and its worker crash.
func (f *crashFixture) crashOnce(vm string, ages map[*Task]time.Duration) Changes {
	f.now = f.now.Add(2 * attributor.CrashesTogether)
	f.reportOthers(vm)
	runs := make(map[*Run]time.Duration)
	for task, age := range ages {
		runs[f.run(vm, task)] = age
	}
	return f.crash(vm, runs)
}

func oneTask(count int) specifier.Step {
	return specifier.Step{Count: count, Needs: oneCore, EstimateMillis: 1000}
}

// Guards against a task that is blamed for a crash because it stood beside the one that caused it,
// and against one that causes crashes and is not.
func TestWhichTasksAreSuspectedOfACrash(t *testing.T) {
	const ms = time.Millisecond
	gang, longRunning := oneTask(2), specifier.Step{Count: 1, Needs: oneCore, LongRunning: true}
	gang.Gang = true
	const (
		none   = iota // the crash does not count for the task
		beside        // it is kept, and counts only if it is repeated at the same age
		counts
		sole // it counts, and the task is the only likely cause
	)
	tests := []struct {
		name  string
		steps []specifier.Step
		ages  []time.Duration // of the runs, by step and index; -1: not on the worker
		want  []int
	}{
		{"the only one that started just before", []specifier.Step{oneTask(3)}, []time.Duration{10 * ms, 1100 * ms, 5000 * ms}, []int{sole, counts, counts}},
		{"two started just before", []specifier.Step{oneTask(3)}, []time.Duration{10 * ms, 400 * ms, 5000 * ms}, []int{counts, counts, counts}},
		{"none started just before", []specifier.Step{oneTask(2)}, []time.Duration{3000 * ms, 5000 * ms}, []int{counts, counts}},
		{"the only one on the worker", []specifier.Step{oneTask(2)}, []time.Duration{3000 * ms, -1}, []int{sole, none}},
		{"a long-running task that has run for long", []specifier.Step{longRunning}, []time.Duration{3000 * ms}, []int{beside}},
		{"a long-running task that started just before", []specifier.Step{longRunning, oneTask(1)}, []time.Duration{10 * ms, 3000 * ms}, []int{sole, counts}},
		{"members of one gang", []specifier.Step{gang, oneTask(1)}, []time.Duration{10 * ms, 20 * ms, 3000 * ms}, []int{sole, sole, counts}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newCrashFixture(t)
			j := addJob(t, f.tr, 1, tt.steps...)
			var tasks []*Task
			for _, s := range j.Occurrences[0].Steps {
				tasks = append(tasks, s.Tasks...)
			}
			ages := make(map[*Task]time.Duration)
			for i, task := range tasks {
				if tt.ages[i] >= 0 {
					ages[task] = tt.ages[i]
				}
			}
			f.crashOnce("vm", ages)
			for i, task := range tasks {
				got := none
				for _, c := range task.Crashes() {
					got = counts
					switch {
					case c.Sole:
						got = sole
					case task.Step.Spec.LongRunning && !c.Likely && !task.Suspected() && attributor.Weight(task.Crashes()) == 0:
						got = beside
					}
				}
				if got != tt.want[i] {
					t.Errorf("task %d: %+v, want %d", i, task.Crashes(), tt.want[i])
				}
			}
		})
	}
}

// Guards against a task that crashes its workers without limit, and against a job that fails
// because of crashes that its tasks did not cause.
func TestTaskIsGivenUpAfterCrashes(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name   string
		starts []bool // of the task, each ends with a crash; true: another task started with it
		failed bool
	}{
		{"one crash", []bool{false}, false},
		{"one crash beside another start, one alone", []bool{true, false}, false},
		{"two crashes alone", []bool{false, false}, false},
		{"three crashes alone", []bool{false, false, false}, true},
		{"two crashes beside other starts, one alone", []bool{true, true, false}, true},
		{"one crash alone, two beside other starts", []bool{false, true, true}, false},
		{"three crashes beside other starts", []bool{true, true, true}, false},
		{"four crashes beside other starts", []bool{true, true, true, true}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newCrashFixture(t)
			guilty := addJob(t, f.tr, 1, oneTask(1))
			others := addJob(t, f.tr, 2, oneTask(len(tt.starts)))
			for i, with := range tt.starts {
				ages := map[*Task]time.Duration{guilty.Occurrences[0].Steps[0].Tasks[0]: 10 * ms}
				if with {
					ages[others.Occurrences[0].Steps[0].Tasks[i]] = 20 * ms
				}
				f.crashOnce("vm", ages)
			}
			f.waitToGiveUp()
			if got := guilty.State == JobFailed; got != tt.failed {
				t.Errorf("the job is %s", guilty.State)
			}
			if tt.failed && !strings.Contains(guilty.Reason, task(1, 0, 0).String()) {
				t.Errorf("reason %q does not name the task", guilty.Reason)
			}
			if others.State.Final() {
				t.Errorf("the other job is %s: %s", others.State, others.Reason)
			}
		})
	}
}

// Guards against a gang that crashes workers without limit because another of its members is on
// the crashed VM each time.
func TestGangIsGivenUpAfterCrashes(t *testing.T) {
	f := newCrashFixture(t)
	gang := oneTask(2)
	gang.Gang = true
	j := addJob(t, f.tr, 1, gang)
	tasks := j.Occurrences[0].Steps[0].Tasks
	f.crashOnce("vm-1", map[*Task]time.Duration{tasks[0]: time.Millisecond})
	if !tasks[1].Suspected() {
		t.Error("the other member of the gang is not suspected")
	}
	f.crashOnce("vm-2", map[*Task]time.Duration{tasks[1]: time.Millisecond})
	f.crashOnce("vm-3", map[*Task]time.Duration{tasks[0]: time.Millisecond})
	f.waitToGiveUp()
	if j.State != JobFailed {
		t.Errorf("the job is %s", j.State)
	}
}

// Guards against tasks that stay suspected after they were shown not to be the cause, and would
// fail at the next crashes beside them.
func TestRunThatOutlivesTheCrashClearsItsTask(t *testing.T) {
	tests := []struct {
		name    string
		age     time.Duration // at the crash
		ran     time.Duration // the next run
		cleared bool
	}{
		{"shorter than the least observation", 10 * time.Millisecond, attributor.MinObservation - 10*time.Millisecond, false},
		{"longer than the least observation", 10 * time.Millisecond, attributor.MinObservation + 10*time.Millisecond, true},
		{"up to the same age", 3 * time.Second, 3 * time.Second, false},
		{"well beyond the same age", 3 * time.Second, 7 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newCrashFixture(t)
			j := addJob(t, f.tr, 1, oneTask(1))
			suspected := j.Occurrences[0].Steps[0].Tasks[0]
			f.crashOnce("vm-1", map[*Task]time.Duration{suspected: tt.age})
			f.run("vm-2", suspected)
			f.now = f.now.Add(tt.ran)
			c := f.report("vm-2")
			if got := len(suspected.Crashes()) == 0; got != tt.cleared || len(c.Cleared) == 1 != tt.cleared {
				t.Errorf("crashes %+v, cleared %v", suspected.Crashes(), c.Cleared)
			}
			if tasks := f.tr.SuspectedTasks(); tt.cleared && len(tasks) > 0 {
				t.Errorf("suspected: %v", tasks)
			}
		})
	}
}

// Guards against an owner that forgets what the last one saw: the task would start crashing workers
// anew after each change of owner. A crash that was stored and not acknowledged is reported to the
// next owner again and counts once.
func TestNextOwnerKnowsCrashes(t *testing.T) {
	f := newCrashFixture(t)
	j := addJob(t, f.tr, 1, oneTask(1))
	crashing := j.Occurrences[0].Steps[0].Tasks[0]
	f.crashOnce("vm-1", map[*Task]time.Duration{crashing: time.Millisecond})
	value := encode(t, j)
	next := newCrashFixture(t)
	next.tr.runFloor = 1000
	restored := addJob(t, next.tr, 1, oneTask(1))
	if err := next.tr.Restore(restored.Spec.ID, value, begin); err != nil {
		t.Fatal(err)
	}
	again := restored.Occurrences[0].Steps[0].Tasks[0]
	if len(again.Crashes()) != 1 || again.Crashes()[0] != crashing.Crashes()[0] {
		t.Fatalf("restored %+v, stored %+v", again.Crashes(), crashing.Crashes())
	}
	repeated := Report{Incarnation: "1", Process: 7, Crashes: []ReportedCrash{{Seq: 1, Runs: []CrashedRun{{Key: key(1, 0, 0, 1), Age: time.Millisecond}}}}}
	next.tr.Attach(VMInfo{Name: "vm-1", Capacity: eightCore}, repeated, begin)
	if len(again.Crashes()) != 1 || restored.State.Final() {
		t.Fatalf("the crash counts twice: %+v, %s", again.Crashes(), restored.State)
	}
	next.crashOnce("vm-2", map[*Task]time.Duration{again: time.Millisecond})
	next.crashOnce("vm-3", map[*Task]time.Duration{again: time.Millisecond})
	next.waitToGiveUp()
	if restored.State != JobFailed {
		t.Errorf("after three crashes, two of them under the next owner, the job is %s", restored.State)
	}
	value = encode(t, restored)
	last := newCrashFixture(t)
	failed := addJob(t, last.tr, 1, oneTask(1))
	if err := last.tr.Restore(failed.Spec.ID, value, begin); err != nil {
		t.Fatal(err)
	}
	if failed.ReportedState() != JobFailed || failed.ReportedReason() != restored.Reason {
		t.Errorf("restored as %s, reason %q", failed.ReportedState(), failed.ReportedReason())
	}
}

// Guards against a crash that is acknowledged before it is stored: the next owner would not learn
// of it.
func TestCrashIsAcknowledgedOnceStored(t *testing.T) {
	f := newCrashFixture(t)
	j := addJob(t, f.tr, 1, oneTask(1))
	vm := func() *VM { return f.tr.VMs["vm"] }
	f.crashOnce("vm", map[*Task]time.Duration{j.Occurrences[0].Steps[0].Tasks[0]: time.Millisecond})
	flush := f.tr.BeginFlush()
	if len(flush.Jobs) != 1 || vm().CrashStored != 0 {
		t.Fatalf("%d jobs to store, crash %d acknowledged", len(flush.Jobs), vm().CrashStored)
	}
	f.tr.EndFlush(flush, nil)
	if vm().CrashStored != 0 {
		t.Error("acknowledged after a failed write")
	}
	flush = f.tr.BeginFlush()
	f.tr.EndFlush(flush, map[string]JobState{j.Spec.ID: j.State})
	if vm().CrashStored != 1 {
		t.Errorf("crash %d acknowledged after the write", vm().CrashStored)
	}
	if again := f.tr.BeginFlush(); !again.Empty() {
		t.Error("an acknowledged crash is written again")
	}
	f.tr.Attach(VMInfo{Name: "vm", Capacity: eightCore}, Report{Incarnation: "2", Process: vm().Process + 1}, begin)
	if vm().CrashSeen != 0 || vm().CrashStored != 0 {
		t.Error("numbers of the earlier process of the agent are kept")
	}
}

// Guards against a task that is blamed although it was done before its worker crashed.
func TestDoneTaskIsNotSuspected(t *testing.T) {
	f := newCrashFixture(t)
	j := addJob(t, f.tr, 1, oneTask(2))
	done := j.Occurrences[0].Steps[0].Tasks[0]
	r := f.run("vm", done)
	f.tr.Apply(r.VM, Report{
		Incarnation: "1", Ends: []ReportedEnd{{Seq: 1, Key: r.Key(), Outcome: EndDone}},
		Crashes: []ReportedCrash{{Seq: 1, Runs: []CrashedRun{{Key: r.Key(), Age: time.Millisecond}}}},
	}, f.now)
	if !done.Done || len(done.Crashes()) != 0 {
		t.Errorf("done %t, crashes %+v", done.Done, done.Crashes())
	}
}

// Guards against a job that fails because several workers crashed at once, for example with their
// rack, while its task had just started on one of them. The first crash is reported before the
// others.
func TestNoTaskIsTheSoleCauseOfCrashesTogether(t *testing.T) {
	tests := []struct {
		name   string
		vm     string // of another crash
		after  time.Duration
		failed bool
	}{
		{"another VM at once", "other", 0, false},
		{"another VM a moment later", "other", attributor.CrashesTogether / 2, false},
		{"another VM much later", "other", 2 * attributor.CrashesTogether, true},
		{"the same VM", "vm", attributor.CrashesTogether / 2, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newCrashFixture(t)
			j := addJob(t, f.tr, 1, oneTask(1))
			attach(f.tr, "other")
			for range attributor.ObservedCrashesToGiveUp {
				f.crashOnce("vm", map[*Task]time.Duration{j.Occurrences[0].Steps[0].Tasks[0]: time.Millisecond})
			}
			if j.State == JobFailed {
				t.Fatal("failed before other crashes can be reported")
			}
			// A round of placement may come between the end of the wait and the failure.
			if late := f.now.Add(attributor.CrashesTogether); j.Occurrences[0].Steps[0].Tasks[0].Waits(late) {
				t.Error("the task may start although it is about to be given up")
			}
			f.now = f.now.Add(tt.after)
			f.tr.GiveUpCrashingTasks(f.now)
			f.crash(tt.vm, nil)
			f.waitToGiveUp()
			if got := j.State == JobFailed; got != tt.failed {
				t.Errorf("the job is %s: %+v", j.State, j.Occurrences[0].Steps[0].Tasks[0].Crashes())
			}
		})
	}
}

// Guards against a job that fails because several workers crashed at once, of which each is reported when
// it is back: what counts is when they crashed, and which others do not answer since.
func TestCrashesReportedApartCountByTheirTime(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name         string
		ago          time.Duration // since the crash of the task's worker, when it is reported
		otherAgo     time.Duration // since the crash of another worker, reported 2 s later; below 0: none
		unresponsive time.Duration // for which the other worker has not answered when the first crash is reported; 0: it answers
		sole         bool
	}{
		{name: "together, reported apart", ago: second, otherAgo: 3 * second, sole: false},
		{name: "apart, reported apart", ago: second, otherAgo: second, sole: true},
		{name: "the other one does not answer since", ago: second, otherAgo: -1, unresponsive: second, sole: false},
		{name: "the other one has not answered for long", ago: second, otherAgo: -1, unresponsive: 10 * second, sole: true},
		{name: "no other", ago: second, otherAgo: -1, sole: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newCrashFixture(t)
			task := addJob(t, f.tr, 1, oneTask(1)).Occurrences[0].Steps[0].Tasks[0]
			other := attach(f.tr, "other")
			report := func(vm *VM, rep Report) {
				rep.Incarnation, rep.Process, rep.OrdersSeen = vm.Incarnation, vm.Process, vm.OrderSeq
				f.tr.Apply(vm, rep, f.now)
			}
			r := f.run("vm", task)
			f.now = f.now.Add(2 * second)
			report(other, Report{Unresponsive: tt.unresponsive})
			report(f.tr.VMs["vm"], Report{Crashes: []ReportedCrash{{Seq: 1, Ago: tt.ago, Runs: []CrashedRun{{Key: r.Key(), Age: time.Millisecond}}}}})
			f.now = f.now.Add(2 * second)
			if tt.otherAgo >= 0 {
				report(other, Report{Crashes: []ReportedCrash{{Seq: 1, Ago: tt.otherAgo}}})
			}
			if len(task.Crashes()) != 1 || task.Crashes()[0].Sole != tt.sole {
				t.Errorf("crashes %+v, want sole %t", task.Crashes(), tt.sole)
			}
		})
	}
}
