package tracker

import (
	"testing"
	"time"
)

// loseAgent replays the first report of the next process of a VM's agent, without any runs.
func (f *crashFixture) loseAgent(vm, incarnation string) Changes {
	m := f.tr.VMs[vm]
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
		crashes   int
	}{
		{"a first crash", 0, time.Second, true, 0},
		{"a repeated crash", 1, time.Second, true, 2},
		{"a run that has outlived the earlier crash", 1, 3 * time.Second, true, 0},
		{"the worker runs on", 1, time.Second, false, 1},
		{"a run that was not seen running", 1, -1, true, 1},
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
			if got := len(c.Suspicions) == 1; got != (tt.crashes > tt.reported) {
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
