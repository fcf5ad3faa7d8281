package accountant

import (
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
)

// runTasks starts so many tasks, each of a job of its own, on a VM.
func runTasks(t *testing.T, a *Accountant, vm *VM, n int, step specifier.Step) {
	t.Helper()
	for i := range n {
		j := addJob(t, a, 100+i, step)
		a.Place(j.Occurrences[0].Steps[0].Tasks[0], vm, 1, begin)
	}
}

// progress reports the same progress of all runs.
func progress(a *Accountant, vm *VM, millis, percent int, age time.Duration) {
	rep := Report{Life: "1", Ready: true, OrdersSeen: 1000, Age: age}
	for k := range vm.Runs {
		rep.Runs = append(rep.Runs, ReportedRun{Key: k, Confirmed: true, Progress: percent, Measure: 1000})
	}
	a.Apply(vm, rep, at(millis))
}

var oneSecond = specifier.Step{Count: 1, Needs: specifier.Resources{CPUMillis: 500, MemoryMB: 10}, EstimateMillis: 1000}

// Callers wait, though VMs are idle. A worker answers and reports processors in
// use, but its tasks make no progress; it looks the idlest and gets ever more.
func TestWorkerOnWhichTasksStandStill(t *testing.T) {
	a := newState(t, 3)
	vm := attach(a, "vm")
	runTasks(t, a, vm, 4, oneSecond)
	for millis := 0; millis <= 1500; millis += 300 {
		progress(a, vm, millis, 0, 0)
		stopped := len(a.Stalled(at(millis)))
		if millis <= 600 && stopped > 0 {
			t.Fatalf("%d runs are stopped after %d ms", stopped, millis)
		}
		if millis == 1500 && (stopped != 4 || !vm.Quarantined(at(millis))) {
			t.Errorf("after %d ms %d runs are stopped, quarantined %t", millis, stopped, vm.Quarantined(at(millis)))
		}
	}
}

func TestMovingTasksAreLeftAlone(t *testing.T) {
	tests := []struct {
		name     string
		step     specifier.Step
		progress func(millis int) int
		age      time.Duration
	}{
		{"as declared", oneSecond, func(ms int) int { return ms / 40 }, 0},
		{"six times slower", oneSecond, func(ms int) int { return ms / 60 }, 0},
		{"long tasks", specifier.Step{Count: 1, Needs: oneCore, EstimateMillis: 60_000}, func(ms int) int { return ms / 2000 }, 0},
		{"nothing heard of the worker", oneSecond, func(int) int { return 0 }, 3 * time.Second},
		{"lasting tasks", specifier.Step{Count: 1, Needs: oneCore, EstimateMillis: 300, Lasting: true}, func(int) int { return 100 }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newState(t, 3)
			vm := attach(a, "vm")
			runTasks(t, a, vm, 3, tt.step)
			for millis := 0; millis <= 3000; millis += 300 {
				age := min(tt.age, time.Duration(millis)*time.Millisecond)
				progress(a, vm, millis, tt.progress(millis), age)
				if got := a.Stalled(at(millis)); len(got) > 0 {
					t.Fatalf("%d runs are stopped after %d ms", len(got), millis)
				}
			}
		})
	}
}

func TestSlowWorker(t *testing.T) {
	for _, tt := range []struct {
		name    string
		percent int // in 300 ms, of a task that declares 3 s
		slow    bool
	}{{"as declared", 10, false}, {"half as fast", 5, false}, {"six times slower", 2, true}} {
		t.Run(tt.name, func(t *testing.T) {
			a := newState(t, 3)
			vm := attach(a, "vm")
			step := oneSecond
			step.EstimateMillis = 3000
			runTasks(t, a, vm, 4, step)
			for i := range 9 {
				progress(a, vm, 300*i, tt.percent*i, 0)
			}
			if vm.Slow() != tt.slow {
				t.Errorf("speed %.2f after %d samples counts as slow: %t", vm.Speed.Value, vm.Speed.Samples, vm.Slow())
			}
		})
	}
}

// Tasks fail on a worker that fails everything, and on one that is sound when they
// themselves are at fault. Only the first is quarantined.
func TestWorkerThatFailsEverything(t *testing.T) {
	a := newState(t, 100)
	bad, sound := attach(a, "bad"), attach(a, "sound")
	for i := range 6 {
		addJob(t, a, 1+i, oneSecond)
		a.EndRun(bad, key(1+i, 0, 0, 1), EndFailed, "", at(i))
		a.EndRun(sound, key(1, 0, 0, int64(10+i)), EndFailed, "", at(i)) // one task's own fault
	}
	if !bad.Quarantined(at(10)) || sound.Quarantined(at(10)) {
		t.Errorf("quarantined: %t and %t", bad.Quarantined(at(10)), sound.Quarantined(at(10)))
	}
	first := bad.Health.QuarantineTo
	a.EndRun(bad, key(1, 0, 0, 99), EndFailed, "", first.Add(time.Second))
	if !bad.Health.QuarantineTo.After(first) {
		t.Error("a failure right after the quarantine begins no other")
	}
	a.EndRun(bad, key(1, 0, 0, 100), EndDone, "", bad.Health.QuarantineTo)
	if bad.Health.Times != 0 {
		t.Error("a task that was done does not clear the worker")
	}
}

// A lasting task stays away though its VM has room. The VM was quarantined, and was
// to take one task at a time until one is done; the lasting tasks that it had from
// before counted as that one task, and never are done.
func TestProbationEndsBesideLastingTasks(t *testing.T) {
	a := newState(t, 3)
	vm := attach(a, "vm")
	lasting := specifier.Step{Count: 1, Needs: oneCore, Lasting: true}
	runTasks(t, a, vm, 2, lasting)
	progress(a, vm, 0, 100, 0)
	vm.quarantine("tasks fail", begin)
	after := int(quarantineFirst/time.Millisecond) + 1
	if vm.Probes() != 0 {
		t.Fatalf("%d runs from before count as probes", vm.Probes())
	}
	probe := addJob(t, a, 500, lasting)
	a.Place(probe.Occurrences[0].Steps[0].Tasks[0], vm, 1, at(after))
	for millis := after; millis <= after+2100; millis += 300 {
		progress(a, vm, millis, 100, 0)
		a.Stalled(at(millis))
		if waited := millis - after; waited < 1200 && !vm.OnProbation() {
			t.Fatalf("probation is over after %d ms", waited)
		}
	}
	if vm.OnProbation() {
		t.Error("a task is at work for 2 s, and the VM is still on probation")
	}
}
