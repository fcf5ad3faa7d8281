package tracker

import (
	"slices"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
)

// runTasks starts n tasks on a VM, each as the only task of a separate job.
func runTasks(t *testing.T, tr *Tracker, vm *VM, n int, step specifier.Step) {
	t.Helper()
	for i := range n {
		j := addJob(t, tr, 100+i, step)
		tr.Place(j.Occurrences[0].Steps[0].Tasks[0], vm, 1, begin)
	}
}

// reportProgress applies a report with the same progress for all runs of a VM.
func reportProgress(tr *Tracker, vm *VM, millis, percent int, age time.Duration) {
	rep := Report{Incarnation: "1", Ready: true, OrdersSeen: 1000, Age: age}
	for k := range vm.Runs {
		rep.Runs = append(rep.Runs, ReportedRun{Key: k, Confirmed: true, Progress: percent, Measure: 1000})
	}
	tr.Apply(vm, rep, at(millis))
}

var oneSecond = specifier.Step{Count: 1, Needs: specifier.Resources{CPUMillis: 500, MemoryMB: 10}, EstimateMillis: 1000}

// Guards against callers that wait although VMs are idle: a worker answers and reports
// processors in use, but its tasks make no progress. It looks the least loaded and gets
// more and more tasks.
func TestWorkerWithStalledTasksIsQuarantined(t *testing.T) {
	tr := newState(t, 3)
	vm := attach(tr, "vm")
	runTasks(t, tr, vm, 4, oneSecond)
	for millis := 0; millis <= 1500; millis += 300 {
		reportProgress(tr, vm, millis, 0, 0)
		stopped := len(tr.Stalled(tr.SortedVMs(), at(millis)))
		if millis <= 600 && stopped > 0 {
			t.Fatalf("%d runs are stopped after %d ms", stopped, millis)
		}
		if millis == 1500 && (stopped != 4 || !vm.Quarantined(at(millis))) {
			t.Errorf("%d runs are stopped after %d ms, quarantined: %t", stopped, millis, vm.Quarantined(at(millis)))
		}
	}
}

func TestProgressingTasksAreNotStopped(t *testing.T) {
	tests := []struct {
		name     string
		step     specifier.Step
		progress func(millis int) int
		age      time.Duration
	}{
		{"as declared", oneSecond, func(ms int) int { return ms / 40 }, 0},
		{"six times slower", oneSecond, func(ms int) int { return ms / 60 }, 0},
		{"long tasks", specifier.Step{Count: 1, Needs: oneCore, EstimateMillis: 60_000}, func(ms int) int { return ms / 2000 }, 0},
		{"no contact with the worker", oneSecond, func(int) int { return 0 }, 3 * time.Second},
		{"long-running tasks", specifier.Step{Count: 1, Needs: oneCore, EstimateMillis: 300, LongRunning: true}, func(int) int { return 100 }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newState(t, 3)
			vm := attach(tr, "vm")
			runTasks(t, tr, vm, 3, tt.step)
			for millis := 0; millis <= 3000; millis += 300 {
				age := min(tt.age, time.Duration(millis)*time.Millisecond)
				reportProgress(tr, vm, millis, tt.progress(millis), age)
				if got := tr.Stalled(tr.SortedVMs(), at(millis)); len(got) > 0 {
					t.Fatalf("%d runs are stopped after %d ms", len(got), millis)
				}
			}
		})
	}
}

func TestSlowWorker(t *testing.T) {
	for _, tt := range []struct {
		name    string
		percent int // progress per 300 ms of a task with a declared duration of 3 s
		slow    bool
	}{{"as declared", 10, false}, {"half as fast", 5, false}, {"six times slower", 2, true}} {
		t.Run(tt.name, func(t *testing.T) {
			tr := newState(t, 3)
			vm := attach(tr, "vm")
			step := oneSecond
			step.EstimateMillis = 3000
			runTasks(t, tr, vm, 4, step)
			for i := range 9 {
				reportProgress(tr, vm, 300*i, tt.percent*i, 0)
			}
			if vm.Slow() != tt.slow {
				t.Errorf("a speed of %.2f after %d samples counts as slow: %t", vm.Speed.Value, vm.Speed.Samples, vm.Slow())
			}
		})
	}
}

// Tasks fail on a faulty worker, and on a healthy one if the task itself is faulty. Only
// the faulty worker is quarantined.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	tr := newState(t, 100)
	faulty, healthy := attach(tr, "faulty"), attach(tr, "healthy")
	for i := range 6 {
		addJob(t, tr, 1+i, oneSecond)
		tr.EndRun(faulty, key(1+i, 0, 0, 1), EndFailed, "", at(i))
		tr.EndRun(healthy, key(1, 0, 0, int64(10+i)), EndFailed, "", at(i)) // always the same task
	}
	if !faulty.Quarantined(at(10)) || healthy.Quarantined(at(10)) {
		t.Errorf("quarantined: %t and %t, want true and false", faulty.Quarantined(at(10)), healthy.Quarantined(at(10)))
	}
	first := faulty.Health.QuarantinedUntil
	tr.EndRun(faulty, key(1, 0, 0, 99), EndFailed, "", first.Add(time.Second))
	if !faulty.Health.QuarantinedUntil.After(first) {
		t.Error("a failure right after the quarantine does not start another")
	}
	tr.EndRun(faulty, key(1, 0, 0, 100), EndDone, "", faulty.Health.QuarantinedUntil)
	if faulty.Health.ConsecutiveQuarantines != 0 {
		t.Error("a completed task does not clear the health record")
	}
}

// Guards against a long-running task that stays unavailable although its VM has free
// capacity. After a quarantine the VM accepted one task at a time until one was done. The
// long-running tasks from before the quarantine counted as that task and were never done.
func TestProbationEndsWithLongRunningTasks(t *testing.T) {
	tr := newState(t, 3)
	vm := attach(tr, "vm")
	longRunning := specifier.Step{Count: 1, Needs: oneCore, LongRunning: true}
	runTasks(t, tr, vm, 2, longRunning)
	reportProgress(tr, vm, 0, 100, 0)
	vm.quarantine("tasks failed", begin)
	after := int(quarantineFirst/time.Millisecond) + 1
	if n := vm.Probes(&longRunning, at(after)); n != 0 {
		t.Fatalf("%d runs from before the quarantine count as probes", n)
	}
	probe := addJob(t, tr, 500, longRunning)
	tr.Place(probe.Occurrences[0].Steps[0].Tasks[0], vm, 1, at(after))
	for millis := after; millis <= after+2100; millis += 300 {
		reportProgress(tr, vm, millis, 100, 0)
		tr.Stalled(tr.SortedVMs(), at(millis))
		if elapsed := millis - after; elapsed < 1200 && !vm.OnProbation() {
			t.Fatalf("probation ended after %d ms", elapsed)
		}
	}
	if vm.OnProbation() {
		t.Error("the VM is still on probation although a task has been running for 2 s")
	}
}

// Guards against a faulty worker that gets tasks again without a pause: after 32 quarantines in a
// row the duration overflowed and was no longer above zero.
func TestQuarantineStaysAtItsMaximum(t *testing.T) {
	vm := attach(newState(t, 3), "vm")
	now := begin
	for n := range 100 {
		vm.quarantine("tasks failed", now)
		want := min(quarantineFirst*time.Duration(1<<min(n, 10)), quarantineMax)
		if got := vm.Health.QuarantinedUntil.Sub(now); got != want {
			t.Fatalf("quarantine %d takes %s, want %s", n+1, got, want)
		}
		now = vm.Health.QuarantinedUntil
	}
}

// Guards against a slow VM that is not noticed while its runs make no progress, and against rates that something else
// than the speed of the VM determines.
func TestObserverOfProgress(t *testing.T) {
	change := func(f func(*specifier.Step)) specifier.Step { s := oneSecond; f(&s); return s }
	tests := []struct {
		name    string
		step    specifier.Step
		prepare func(r *Run)
		want    []int // percent in each report
	}{
		{"progress, none and progress", oneSecond, nil, []int{20, 0, 0, 30}},
		{"throttled", oneSecond, func(r *Run) { r.SetPace(30, at(0)) }, nil},
		{"throttled until shortly before", oneSecond, func(r *Run) { r.SetPace(30, at(0)); r.SetPace(100, at(250)) }, nil},
		{"resumed from a checkpoint", oneSecond, func(r *Run) { r.Resumed = true }, []int{0, 0, 30}},
		{"a gang", change(func(s *specifier.Step) { s.Gang = true }), nil, nil},
		{"long-running", change(func(s *specifier.Step) { s.LongRunning = true }), nil, nil},
		{"away from its data", change(func(s *specifier.Step) { s.DataRack = "far" }), nil, nil},
		{"best-effort, before its share is known", change(func(s *specifier.Step) { s.BestEffort = true }), nil, nil},
		{"best-effort, later", change(func(s *specifier.Step) { s.BestEffort = true }), func(r *Run) { r.StartedAt = at(-1000) }, []int{20, 0, 0, 30}},
		{"being stopped", oneSecond, func(r *Run) { r.State = Stopping }, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newState(t, 3)
			var got []int
			tr.SetObserver(Observer{RunDone: func(*Run, time.Duration) {}, Progress: func(_ *Run, progress int, took time.Duration) {
				if got = append(got, progress); took <= 0 {
					t.Errorf("progress in %s", took)
				}
			}})
			vm := attach(tr, "vm")
			runTasks(t, tr, vm, 1, tt.step)
			reportProgress(tr, vm, 0, 0, 0)
			for _, r := range vm.Runs {
				if tt.prepare != nil {
					tt.prepare(r)
				}
			}
			for i, percent := range []int{20, 20, 20, 50} {
				for _, r := range vm.Runs {
					if r.State == Stopping {
						r.StopOrder = 1 << 40 // the agent has not received it
					}
				}
				reportProgress(tr, vm, 200*(i+1), percent, 0)
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("observed %v, want %v", got, tt.want)
			}
		})
	}
}
