package tracker

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// faultFleet is a fleet on which runs end at once.
type faultFleet struct {
	t    *testing.T
	tr   *Tracker
	vms  []*VM
	jobs int
	run  int64
	now  time.Time
}

func newFaultFleet(t *testing.T, vms int) *faultFleet {
	f := &faultFleet{t: t, tr: newState(t, 1000), now: begin}
	for n := range vms {
		f.vms = append(f.vms, attach(f.tr, fmt.Sprintf("vm-%02d", n)))
	}
	return f
}

func (f *faultFleet) submit(tasks int) *Step {
	f.jobs++
	step := oneSecond
	step.Count = tasks
	return addJob(f.t, f.tr, f.jobs, step).Occurrences[0].Steps[0]
}

// end runs a task on a VM and ends the run.
func (f *faultFleet) end(s *Step, index int, vm *VM, how End) {
	f.run++
	f.now = f.now.Add(time.Millisecond)
	r := f.tr.Place(s.Tasks[index], vm, f.run, f.now)
	f.tr.EndRun(vm, r.Key(), how, "", f.now)
}

// quarantined counts the VMs in quarantine.
func (f *faultFleet) quarantined() (n int) {
	for _, vm := range f.vms {
		if vm.Quarantined(f.now) {
			n++
		}
	}
	return n
}

// failEverywhere fails tasks of the steps on each VM, VM by VM, a number of tasks of each step at once.
func (f *faultFleet) failEverywhere(steps []*Step, atOnce int) {
	for n, vm := range f.vms {
		for _, s := range steps {
			for i := range atOnce {
				f.end(s, (n*atOnce+i)%len(s.Tasks), vm, EndFailed)
			}
		}
	}
}

func (f *faultFleet) submitAll(jobs, tasks int) (steps []*Step) {
	for range jobs {
		steps = append(steps, f.submit(tasks))
	}
	return steps
}

// Guards against sound VMs that are quarantined because of jobs whose tasks fail everywhere, so that other
// work waits on an idle fleet, and against faulty VMs that are not.
func TestFailuresAreAttributed(t *testing.T) {
	tests := []struct {
		name string
		vms  int
		play func(f *faultFleet)
		want int // VMs in quarantine
	}{
		{"one hopeless job on one VM", 1, func(f *faultFleet) { f.failEverywhere(f.submitAll(1, 36), 12) }, 0},
		{"two hopeless jobs on one VM", 1, func(f *faultFleet) { f.failEverywhere(f.submitAll(2, 36), 12) }, 0},
		{"two hopeless jobs", 11, func(f *faultFleet) { f.failEverywhere(f.submitAll(2, 36), 4) }, 0},
		{"three hopeless jobs on three VMs", 3, func(f *faultFleet) { f.failEverywhere(f.submitAll(3, 36), 4) }, 0},
		{"six hopeless jobs", 11, func(f *faultFleet) { f.failEverywhere(f.submitAll(6, 36), 4) }, 0},
		{"hopeless jobs after sound ones", 11, func(f *faultFleet) {
			for _, vm := range f.vms {
				f.end(f.submit(1), 0, vm, EndDone)
			}
			f.failEverywhere(f.submitAll(2, 36), 4)
		}, 0},
		{"tasks of three jobs on one VM", 2, func(f *faultFleet) {
			for range 3 {
				f.end(f.submit(1), 0, f.vms[0], EndFailed)
			}
		}, 1},
		{"three tasks of a job that is sound elsewhere", 2, func(f *faultFleet) {
			s := f.submit(6)
			f.end(s, 5, f.vms[1], EndDone)
			for i := range 3 {
				f.end(s, i, f.vms[0], EndFailed)
			}
		}, 1},
		{"three tasks of a job that turns out to be sound", 2, func(f *faultFleet) {
			s := f.submit(6)
			for i := range 3 {
				f.end(s, i, f.vms[0], EndFailed)
			}
			f.end(s, 0, f.vms[1], EndDone)
		}, 1},
		{"two tasks of a job that is sound elsewhere", 2, func(f *faultFleet) {
			s := f.submit(6)
			f.end(s, 5, f.vms[1], EndDone)
			for i := range 2 {
				f.end(s, i, f.vms[0], EndFailed)
			}
		}, 0},
		{"the same task again and again", 2, func(f *faultFleet) {
			s := f.submit(2)
			f.end(s, 1, f.vms[1], EndDone)
			for range 20 {
				f.end(s, 0, f.vms[0], EndFailed)
			}
		}, 0},
		{"three faulty VMs and one large job", 11, func(f *faultFleet) {
			s := f.submit(99)
			for i := range 66 {
				how := EndDone
				if i%11 < 3 {
					how = EndFailed
				}
				f.end(s, i, f.vms[i%11], how)
			}
		}, 3},
		{"half of the tasks of two jobs are hopeless", 5, func(f *faultFleet) {
			for _, s := range f.submitAll(2, 40) {
				for i := range 40 {
					if i%2 == 0 {
						f.end(s, i, f.vms[i/2%5], EndFailed)
					} else {
						f.end(s, i, f.vms[i/2%5], EndDone)
					}
				}
				for i := range 15 { // several in a row
					f.end(s, 2*i, f.vms[i%5], EndFailed)
				}
			}
		}, 0},
		{"all VMs are faulty", 3, func(f *faultFleet) { f.failEverywhere(f.submitAll(12, 6), 1) }, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFaultFleet(t, tt.vms)
			tt.play(f)
			if got := f.quarantined(); got != tt.want {
				t.Errorf("%d VMs are quarantined, want %d", got, tt.want)
			}
		})
	}
}

// Guards against a faulty VM that is not found while the tasks of its job take long elsewhere.
func TestProgressElsewhereShowsFault(t *testing.T) {
	f := newFaultFleet(t, 2)
	s := f.submit(6)
	r := f.tr.Place(s.Tasks[5], f.vms[1], 1, begin)
	for millis := 0; millis <= 1800; millis += 300 {
		f.tr.Apply(f.vms[1], Report{Incarnation: "1", Ready: true, OrdersSeen: 1000, Runs: []ReportedRun{{Key: r.Key(), Confirmed: true, Progress: 1 + millis/100}}}, at(millis))
	}
	f.now = at(1800)
	for i := range 3 {
		f.end(s, i, f.vms[0], EndFailed)
	}
	if f.quarantined() != 1 {
		t.Error("the VM is not quarantined")
	}
}

// Guards against a quarantine of a sound VM that outlasts the evidence.
func TestQuarantineEndsWithItsEvidence(t *testing.T) {
	f := newFaultFleet(t, 6)
	steps := f.submitAll(4, 36)
	for _, s := range steps {
		f.end(s, 0, f.vms[0], EndFailed)
	}
	if !f.vms[0].Quarantined(f.now) {
		t.Fatal("four jobs of which nothing is known do not show that the VM is faulty")
	}
	for _, s := range steps {
		for n, vm := range f.vms[1:] {
			f.end(s, n+1, vm, EndFailed)
		}
	}
	if f.quarantined() > 0 || f.vms[0].OnProbation() {
		t.Errorf("%d VMs are quarantined, though the jobs fail everywhere", f.quarantined())
	}
}

// Guards against sound VMs that are quarantined because the tasks of one job stand still everywhere.
func TestStalledTasksOfOneJob(t *testing.T) {
	tr := newState(t, 3)
	step := oneSecond
	step.Count = 6
	s := addJob(t, tr, 1, step).Occurrences[0].Steps[0]
	vms := []*VM{attach(tr, "a"), attach(tr, "b")}
	for i, task := range s.Tasks {
		tr.Place(task, vms[i%2], 1, begin)
	}
	stopped := 0
	for millis := 0; millis <= 4500; millis += 300 {
		for _, vm := range vms {
			reportProgress(tr, vm, millis, 0, 0)
		}
		stopped = max(stopped, len(tr.Stalled(tr.SortedVMs(), at(millis))))
		if vms[0].Quarantined(at(millis)) || vms[1].Quarantined(at(millis)) {
			t.Fatalf("quarantined after %d ms", millis)
		}
	}
	if stopped != 6 {
		t.Errorf("%d stalled runs are stopped, want 6", stopped)
	}
}

// Guards against records of failures that grow with the number of failures.
func TestFailureRecordsAreBounded(t *testing.T) {
	f := newFaultFleet(t, 1)
	for range 3 * maxStreakSteps {
		s := f.submit(20)
		for i := range s.Tasks {
			f.end(s, i, f.vms[0], EndFailed)
		}
	}
	if n := f.vms[0].FailedTasks(); n > maxStreakSteps*maxStreakTasks {
		t.Errorf("%d failed tasks are kept", n)
	}
}

// Whatever the order of failures, jobs that fail everywhere quarantine no VM as long as they are fewer than
// the VMs on which each of them has failed.
func TestFewHopelessJobsQuarantineNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFaultFleet(t, rapid.IntRange(1, 12).Draw(rt, "vms"))
		jobs := f.submitAll(rapid.IntRange(1, len(f.vms)).Draw(rt, "jobs"), 12)
		type failure struct{ job, vm, task int }
		var all []failure
		for j := range jobs {
			for v := range f.vms {
				for i := range rapid.IntRange(1, 3).Draw(rt, "tasks") {
					all = append(all, failure{j, v, (3*v + i) % 12})
				}
			}
		}
		for _, x := range rapid.Permutation(all).Draw(rt, "order") {
			f.end(jobs[x.job], x.task, f.vms[x.vm], EndFailed)
		}
		if len(f.vms) > 2 && f.quarantined() > 0 {
			rt.Errorf("%d of %d VMs are quarantined by %d jobs", f.quarantined(), len(f.vms), len(jobs))
		}
	})
}
