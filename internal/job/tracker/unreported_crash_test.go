package tracker

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// reportOthers replays reports of all VMs but one, whose agents are in contact.
func (f *crashFixture) reportOthers(vm string) {
	for name := range f.tr.VMs {
		if name != vm {
			f.report(name)
		}
	}
}

// loseAgent replays the first report of the next process of a VM's agent, without any runs. The other agents
// are in contact.
func (f *crashFixture) loseAgent(vm, incarnation string) Changes {
	m := f.tr.VMs[vm]
	f.reportOthers(vm)
	_, c := f.tr.Attach(VMInfo{Name: vm, Capacity: eightCore}, Report{Incarnation: incarnation, Process: m.Process + 1, Ready: true}, f.now)
	return c
}

// Guards against a task that crashes workers without limit because some crashes also end the agent,
// which then cannot report them, and against tasks that are blamed for a loss of power.
func TestCrashThatAlsoEndsTheAgentCounts(t *testing.T) {
	const crashAge = 1280 * time.Millisecond
	tests := []struct {
		name      string
		reported  int           // crashes of the task's workers before
		seenAge   time.Duration // of the run in the last report
		restarted bool          // the worker ended, too
		crashes   int           // kept after it
		suspected bool          // of this one
	}{
		{"a first crash", 0, time.Second, true, 1, true},
		{"a repeated crash", 1, time.Second, true, 2, true},
		{"a run that has outlived the earlier crash", 1, 3 * time.Second, true, 1, true},
		{"the worker runs on", 1, time.Second, false, 1, false},
		{"a run that was not seen running", 1, -1, true, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newCrashFixture(t)
			j := addJob(t, f.tr, 1, oneTask(1))
			crashing := j.Occurrences[0].Steps[0].Tasks[0]
			for range tt.reported {
				f.crashOnce("vm-1", map[*Task]time.Duration{crashing: crashAge})
			}
			attach(f.tr, "vm-2")
			f.tr.VMs["vm-2"].Process = 1
			if tt.seenAge >= 0 {
				f.run("vm-2", crashing)
				f.now = f.now.Add(tt.seenAge)
				f.report("vm-2")
			} else {
				f.tr.Place(crashing, f.tr.VMs["vm-2"], f.tr.NextNumber(crashing), f.now)
			}
			f.now = f.now.Add(time.Second)
			incarnation := "1"
			if tt.restarted {
				incarnation = "2"
			}
			c := f.loseAgent("vm-2", incarnation)
			if len(crashing.Crashes()) != tt.crashes {
				t.Errorf("crashes %+v, want %d", crashing.Crashes(), tt.crashes)
			}
			if got := len(c.Suspicions) == 1; got != tt.suspected {
				t.Errorf("suspicions %+v", c.Suspicions)
			}
		})
	}
}

// Guards against three starts of a task after three crashes of which one also ended the agent, if
// other tasks started beside it each time.
func TestTaskIsGivenUpDespiteAnUnreportedCrash(t *testing.T) {
	const crashAge = 1280 * time.Millisecond
	f := newCrashFixture(t)
	j := addJob(t, f.tr, 1, oneTask(1))
	others := addJob(t, f.tr, 2, oneTask(4)).Occurrences[0].Steps[0].Tasks
	crashing := j.Occurrences[0].Steps[0].Tasks[0]
	crash := func(vm string, other *Task) {
		f.crashOnce(vm, map[*Task]time.Duration{crashing: crashAge, other: 10 * time.Millisecond})
	}
	crash("vm-1", others[0])
	attach(f.tr, "vm-2")
	f.tr.VMs["vm-2"].Process = 1
	f.run("vm-2", crashing)
	f.now = f.now.Add(time.Second)
	f.report("vm-2")
	f.loseAgent("vm-2", "2")
	crash("vm-3", others[1])
	crash("vm-4", others[2])
	crash("vm-5", others[3])
	f.waitToGiveUp()
	if j.State != JobFailed {
		t.Errorf("the job is %s after five crashes: %+v", j.State, crashing.Crashes())
	}
}

// bringDown lets a task run on VMs and end them, worker and agent together, at this age.
func (f *crashFixture) bringDown(crashing *Task, age time.Duration, vms ...string) {
	for _, vm := range vms {
		f.startBeforeLoss(crashing, age, vm)
		f.now = f.now.Add(2 * time.Second)
		f.loseAgent(vm, fmt.Sprint(f.tr.VMs[vm].Process+1))
	}
}

// startBeforeLoss lets a task run on a VM whose last report comes at this age.
func (f *crashFixture) startBeforeLoss(crashing *Task, age time.Duration, vm string) {
	f.now = f.now.Add(2 * time.Second)
	if f.tr.VMs[vm] == nil {
		attach(f.tr, vm)
		f.tr.VMs[vm].Process = 1
	}
	f.run(vm, crashing)
	f.now = f.now.Add(age)
	f.report(vm)
}

// Guards against a task that brings down its machines without limit, and against one that is given up although only
// one VM ended under it, or at ages that differ, or because the count of an earlier owner is lost.
func TestTaskUnderWhichMachinesEndIsGivenUp(t *testing.T) {
	const age = 300 * time.Millisecond
	tests := []struct {
		name  string
		ends  func(f *crashFixture, crashing *Task)
		state JobState
	}{
		{"three", func(f *crashFixture, crashing *Task) { f.bringDown(crashing, age, "vm-1", "vm-2", "vm-3") }, JobRunning},
		{"four", func(f *crashFixture, crashing *Task) { f.bringDown(crashing, age, "vm-1", "vm-2", "vm-3", "vm-4") }, JobFailed},
		{"four on two VMs", func(f *crashFixture, crashing *Task) { f.bringDown(crashing, age, "vm-1", "vm-2", "vm-1", "vm-2") }, JobFailed},
		{"eight on one VM", func(f *crashFixture, crashing *Task) {
			f.bringDown(crashing, age, "vm-1", "vm-1", "vm-1", "vm-1", "vm-1", "vm-1", "vm-1", "vm-1")
		}, JobRunning},
		{"at ages that rise", func(f *crashFixture, crashing *Task) {
			for i, vm := range []string{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6"} {
				f.bringDown(crashing, time.Duration(i+1)*time.Second, vm)
			}
		}, JobRunning},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newCrashFixture(t)
			j := addJob(t, f.tr, 1, oneTask(1))
			crashing := j.Occurrences[0].Steps[0].Tasks[0]
			tt.ends(f, crashing)
			f.waitToGiveUp()
			if j.State != tt.state {
				t.Errorf("the job is %s, want %s; %+v", j.State, tt.state, crashing.Crashes())
			}
			restored := newState(t, 3)
			restored.AddJob(j.Spec, time.Time{}, f.now)
			if err := restored.Restore(j.Spec.ID, encode(t, j), f.now); err != nil {
				t.Fatal(err)
			}
			if next := restored.Jobs[j.Spec.ID]; tt.state == JobRunning && !slices.Equal(next.Occurrences[0].Steps[0].Tasks[0].Crashes(), crashing.Crashes()) {
				t.Errorf("the next owner knows of %+v, not of %+v", next.Occurrences[0].Steps[0].Tasks[0].Crashes(), crashing.Crashes())
			}
		})
	}
}

// Guards against tasks that are blamed for a loss of power of several VMs, whichever is back first.
func TestLossOfSeveralVMsIsNoCrash(t *testing.T) {
	const age = 300 * time.Millisecond
	for _, firstBack := range []time.Duration{200 * time.Millisecond, 3 * time.Second} {
		f := newCrashFixture(t)
		tasks := addJob(t, f.tr, 1, oneTask(2)).Occurrences[0].Steps[0].Tasks
		for i, vm := range []string{"vm-1", "vm-2"} {
			attach(f.tr, vm)
			f.tr.VMs[vm].Process = 1
			f.run(vm, tasks[i])
		}
		f.now = f.now.Add(age)
		f.report("vm-1")
		f.report("vm-2")
		attachAgain := func(vm string) {
			m := f.tr.VMs[vm]
			f.tr.Attach(VMInfo{Name: vm, Capacity: eightCore}, Report{Incarnation: "2", Process: m.Process + 1, Ready: true}, f.now)
		}
		f.now = f.now.Add(firstBack)
		attachAgain("vm-1")
		f.now = f.now.Add(4 * time.Second)
		attachAgain("vm-2")
		for _, task := range tasks {
			if len(task.Crashes()) > 0 {
				t.Errorf("first back after %s: %s is suspected: %+v", firstBack, task.ID(), task.Crashes())
			}
		}
	}
}

// Guards against a crash that is forgotten because the runs were given up before the VM was back, and against the
// start of a task that is to be given up if it was one. A VM that had only lost contact counts for nothing.
func TestRunsGivenUpBeforeTheirMachineIsBackCount(t *testing.T) {
	const age = 300 * time.Millisecond
	for _, ended := range []bool{true, false} {
		f := newCrashFixture(t)
		j := addJob(t, f.tr, 1, oneTask(1))
		crashing := j.Occurrences[0].Steps[0].Tasks[0]
		f.bringDown(crashing, age, "vm-1", "vm-2", "vm-3")
		f.startBeforeLoss(crashing, age, "vm-4")
		vm := f.tr.VMs["vm-4"]
		f.tr.Detach(vm)
		f.now = f.now.Add(6 * time.Second)
		f.reportOthers("vm-4")
		f.tr.DropRuns(vm, f.now)
		if crashing.Waits(f.now) {
			t.Errorf("it may start before it is known whether the VM has ended: %+v", crashing.Crashes())
		}
		if !crashing.Waits(f.now.Add(recentCrashTime)) {
			t.Error("it waits for longer than a VM is waited for")
		}
		want := JobRunning
		if ended {
			want = JobFailed
			f.loseAgent("vm-4", "2")
		} else {
			f.tr.Attach(VMInfo{Name: "vm-4", Capacity: eightCore}, Report{Incarnation: vm.Incarnation, Process: vm.Process, Ready: true}, f.now)
			if !crashing.Waits(f.now) {
				t.Error("it may not start though the VM had only lost contact")
			}
		}
		f.waitToGiveUp()
		if j.State != want {
			t.Errorf("ended %t: the job is %s, want %s; %+v", ended, j.State, want, crashing.Crashes())
		}
	}
}
