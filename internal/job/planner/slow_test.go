package planner

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bamboospread/internal/job/calibrator"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/worker/attributor"
)

// calibratorWith returns a calibrator to which VMs are slow, by the tail latencies of long-running tasks that rose two
// seconds before begin.
func calibratorWith(slow ...string) *calibrator.Calibrator {
	c := calibrator.New()
	for at := -12 * time.Second; at <= 0; at += 250 * time.Millisecond {
		for _, vm := range slow {
			observeTails(c, vm, begin.Add(at), at >= -2*time.Second)
		}
	}
	return c
}

func observeTails(c *calibrator.Calibrator, vm string, at time.Time, risen bool) {
	var tails []calibrator.Tail
	for n := range 4 {
		latency := 8.0
		if risen {
			latency = 320
		}
		tails = append(tails, calibrator.Tail{VM: vm, Task: fmt.Sprint(vm, n), Image: vm, Run: 1, Latency: latency, At: at})
	}
	c.ObserveTails(tails)
	c.Settle(vm, at)
	c.TakeChanges(at)
}

// slowFixture has a slow VM and two others.
func slowFixture(slow ...string) (*fixture, Input) {
	b := newFixture(specifier.Queue{Name: "q", Slack: 2, MaxFailures: 3})
	b.vm("vm-1", "in", "r1", cores(32))
	b.vm("vm-2", "in", "r2", cores(32))
	b.vm("vm-3", "in", "r3", cores(32))
	return b, Input{Now: begin, State: b.state, Calibrator: calibratorWith(slow...)}
}

// runAllOn places the tasks of a job's first step on a VM, as running for a while.
func (b *fixture) runAllOn(j *tracker.Job, vm string, progress int) []*tracker.Run {
	var runs []*tracker.Run
	for _, t := range j.Occurrences[0].Steps[0].Tasks {
		r := b.state.Place(t, b.state.VMs[vm], b.state.NextNumber(t), begin.Add(-time.Minute))
		r.State, r.StartedAt, r.Progress, r.ProgressedAt = tracker.Running, begin.Add(-time.Minute), progress, begin
		runs = append(runs, r)
	}
	return runs
}

var (
	urgentTask     = specifier.Step{Count: 4, Needs: cores(2), EstimateMillis: 1000}
	bestEffortTask = specifier.Step{Count: 4, Needs: cores(2), EstimateMillis: 4000, BestEffort: true, Image: "x", Checkpoints: true}
	longRunning    = specifier.Step{Count: 4, Needs: cores(4), LongRunning: true, TailMillis: 18, Image: "l"}
)

// Guards against urgent tasks that start on a slow VM while others have capacity.
func TestUrgentTasksStartOnSoundVMs(t *testing.T) {
	b, in := slowFixture("vm-1")
	b.runAllOn(b.job("q", longRunning), "vm-1", 100) // urgent tasks prefer VMs with long-running ones
	b.job("q", urgentTask)
	for _, in.Now = range []time.Time{begin, begin.Add(maxPatience)} {
		starts := Plan(in)
		if len(starts) != 4 {
			t.Errorf("%d tasks start", len(starts))
		}
		for _, s := range starts {
			if s.VM.Name == "vm-1" {
				t.Errorf("a task starts on the slow VM after %s", in.Now.Sub(begin))
			}
		}
	}
}

// Guards against urgent tasks that wait for long because only a slow VM has capacity.
func TestUrgentTaskStartsOnSlowVMAfterPatience(t *testing.T) {
	b, in := slowFixture("vm-1")
	b.runAllOn(b.job("q", specifier.Step{Count: 1, Needs: cores(32), LongRunning: true}), "vm-2", 100)
	b.runAllOn(b.job("q", specifier.Step{Count: 1, Needs: cores(32), LongRunning: true}), "vm-3", 100)
	b.job("q", urgentTask)
	if starts := Plan(in); len(starts) != 0 {
		t.Errorf("%d tasks start on the slow VM at once", len(starts))
	}
	in.Now = begin.Add(maxPatience)
	if starts := Plan(in); len(starts) != 4 {
		t.Errorf("%d tasks start on the slow VM after %s", len(starts), maxPatience)
	}
}

// Guards against a service of which nothing starts any more because all its VMs are slow.
func TestOnlySlowVMs(t *testing.T) {
	for _, spec := range []specifier.Step{urgentTask, bestEffortTask, longRunning} {
		b, in := slowFixture("vm-1", "vm-2", "vm-3")
		b.job("q", spec)
		if starts := Plan(in); len(starts) != 4 {
			t.Errorf("best-effort %t, long-running %t: %d of 4 tasks start", spec.BestEffort, spec.LongRunning, len(starts))
		}
	}
}

// Guards against a slow VM that is never found to have recovered, and against a backlog that starts on it before.
func TestSlowVMGetsOneProbe(t *testing.T) {
	b, in := slowFixture("vm-1")
	b.job("q", specifier.Step{Count: 60, Needs: cores(2), EstimateMillis: 4000, BestEffort: true, Image: "x"})
	countOn := func(now time.Time) int {
		in.Now = now
		n := 0
		for _, s := range Plan(in) {
			if s.VM.Name == "vm-1" {
				n++
			}
		}
		return n
	}
	if n := countOn(begin.Add(probeAfter / 2)); n != 0 {
		t.Errorf("%d tasks start while the speed is known", n)
	}
	if n := countOn(begin.Add(2 * probeAfter)); n != 1 {
		t.Errorf("%d tasks start as probes", n)
	}
	b.runAllOn(b.job("q", specifier.Step{Count: 1, Needs: cores(2), EstimateMillis: 4000, BestEffort: true, Image: "x"}), "vm-1", 10)
	if n := countOn(begin.Add(2 * probeAfter)); n != 0 {
		t.Errorf("%d more tasks start beside a probe", n)
	}
}

// Guards against a backlog that lands at once on a VM that has recovered.
func TestRecoveredVMIsFilledInSteps(t *testing.T) {
	b, in := slowFixture("vm-1")
	for at := time.Duration(0); at < 4*time.Second; at += 250 * time.Millisecond {
		observeTails(in.Calibrator, "vm-1", begin.Add(at), false)
	}
	since := in.Calibrator.SoundSince("vm-1")
	if in.Calibrator.Slow("vm-1") || since.IsZero() {
		t.Fatal("it has not recovered")
	}
	b.job("q", specifier.Step{Count: 60, Needs: cores(1), EstimateMillis: 4000, BestEffort: true, Image: "x"})
	last := 0
	for _, after := range []time.Duration{0, rampStep, 2 * rampStep, rampSteps * rampStep} {
		in.Now = since.Add(after)
		n := 0
		for _, s := range Plan(in) {
			if s.VM.Name == "vm-1" {
				n++
			}
		}
		if limit := 1 << (after / rampStep); after < rampSteps*rampStep && n > limit || n < last || n == 0 {
			t.Errorf("%d starts %s after the recovery", n, after)
		}
		last = n
	}
}

// Guards against runs that stay on a slow VM although they would end sooner elsewhere, and against stops that gain
// nothing.
func TestRunsLeaveSlowVM(t *testing.T) {
	change := func(s specifier.Step, f func(*specifier.Step)) specifier.Step { f(&s); return s }
	tests := []struct {
		name     string
		step     specifier.Step
		progress int
		prepare  func(b *fixture, runs []*tracker.Run)
		leave    int
	}{
		{"urgent, just started", urgentTask, 10, nil, 4},
		{"urgent, nearly done", urgentTask, 90, nil, 0},
		{"best-effort with checkpoints", bestEffortTask, 50, nil, 4},
		{"best-effort with checkpoints, nearly done", bestEffortTask, 98, nil, 0},
		{"best-effort without checkpoints, half done", change(bestEffortTask, func(s *specifier.Step) { s.Checkpoints = false }), 50, nil, 4},
		{"best-effort without checkpoints, nearly done", change(bestEffortTask, func(s *specifier.Step) { s.Checkpoints = false }), 85, nil, 0},
		{"a gang", change(bestEffortTask, func(s *specifier.Step) { s.Gang = true }), 10, nil, 0},
		{"a copy starts first", change(urgentTask, func(s *specifier.Step) { s.Copies = true }), 10, nil, 0},
		{"no capacity elsewhere", urgentTask, 10, func(b *fixture, _ []*tracker.Run) {
			b.runAllOn(b.job("q", specifier.Step{Count: 1, Needs: cores(31), LongRunning: true}), "vm-2", 100)
			b.runAllOn(b.job("q", specifier.Step{Count: 1, Needs: cores(31), LongRunning: true}), "vm-3", 100)
		}, 0},
		{"capacity for one elsewhere", urgentTask, 10, func(b *fixture, _ []*tracker.Run) {
			b.runAllOn(b.job("q", specifier.Step{Count: 1, Needs: cores(29), LongRunning: true}), "vm-2", 100)
			b.runAllOn(b.job("q", specifier.Step{Count: 1, Needs: cores(31), LongRunning: true}), "vm-3", 100)
		}, 1},
		{"out of contact", urgentTask, 10, func(b *fixture, _ []*tracker.Run) { b.state.Detach(b.state.VMs["vm-1"]) }, 0},
		{"suspected of a crash", urgentTask, 10, func(_ *fixture, runs []*tracker.Run) {
			for _, r := range runs {
				r.Task.SetCrashes([]attributor.Crash{{}})
			}
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, in := slowFixture("vm-1")
			runs := b.runAllOn(b.job("q", tt.step), "vm-1", tt.progress)
			if tt.prepare != nil {
				tt.prepare(b, runs)
			}
			if got := Departures(in); len(got) != tt.leave {
				t.Errorf("%d of %d runs leave, want %d", len(got), len(runs), tt.leave)
			}
			in.Calibrator = nil
			if got := Departures(in); len(got) != 0 {
				t.Errorf("%d runs leave without load control", len(got))
			}
		})
	}
}

// Guards against more runs that leave than fit elsewhere: those that are being stopped keep their place.
func TestDeparturesInProgressKeepTheirPlace(t *testing.T) {
	b, in := slowFixture("vm-1")
	b.runAllOn(b.job("q", specifier.Step{Count: 1, Needs: cores(29), LongRunning: true}), "vm-2", 100)
	b.runAllOn(b.job("q", specifier.Step{Count: 1, Needs: cores(31), LongRunning: true}), "vm-3", 100)
	b.runAllOn(b.job("q", urgentTask), "vm-1", 10)
	for _, want := range []int{1, 0} {
		leaving := Departures(in)
		if len(leaving) != want {
			t.Fatalf("%d runs leave, want %d", len(leaving), want)
		}
		for _, d := range leaving {
			b.state.Stop(d.Run, LeavesSlowVM, begin)
		}
	}
}

// Guards against a task whose copies are allowed and whose only run is on a slow VM.
func TestRunOnSlowVMGetsCopy(t *testing.T) {
	b, in := slowFixture("vm-1")
	spec := urgentTask
	spec.Copies = true
	j := b.job("q", spec)
	b.runAllOn(j, "vm-1", 40)
	for _, task := range j.Occurrences[0].Steps[0].Tasks {
		task.Runs[0].StartedAt = begin.Add(-100 * time.Millisecond) // too young to be a straggler
	}
	starts := Plan(in)
	for _, s := range starts {
		if !s.Copy || s.VM.Name == "vm-1" {
			t.Errorf("copy %t on %s", s.Copy, s.VM.Name)
		}
	}
	if len(starts) != 4 {
		t.Errorf("%d copies", len(starts))
	}
	in.Calibrator = nil
	if starts := Plan(in); len(starts) != 0 {
		t.Errorf("%d copies without load control", len(starts))
	}
}

// Guards against long-running tasks that stay over their targets on a slow VM, and against moves that users have not
// allowed.
func TestLongRunningTasksLeaveSlowVM(t *testing.T) {
	change := func(f func(*specifier.Step)) specifier.Step { s := longRunning; f(&s); return s }
	tests := []struct {
		name    string
		step    specifier.Step
		prepare func(in *Input, b *fixture, runs []*tracker.Run)
		moves   int
	}{
		{"all over target", longRunning, nil, 4},
		{"within the target", longRunning, func(_ *Input, _ *fixture, runs []*tracker.Run) {
			for _, r := range runs {
				r.Measure = 10
			}
		}, 0},
		{"one may be unavailable", change(func(s *specifier.Step) { s.MaxUnavailable = 1 }), nil, 1},
		{"one is unavailable already", change(func(s *specifier.Step) { s.MaxUnavailable = 1 }), func(_ *Input, b *fixture, runs []*tracker.Run) {
			b.state.Stop(runs[0], "", begin)
		}, 0},
		{"just started", longRunning, func(_ *Input, _ *fixture, runs []*tracker.Run) {
			for _, r := range runs {
				r.StartedAt = begin.Add(-time.Second)
			}
		}, 0},
		{"moved from a slow VM shortly before", longRunning, func(_ *Input, _ *fixture, runs []*tracker.Run) {
			for _, r := range runs {
				r.Task.SetRelocation(tracker.Relocation{From: "vm-2", To: "vm-1", Until: begin.Add(-slowMoveRest / 2)})
			}
		}, 0},
		{"urgent tasks wait", longRunning, func(in *Input, _ *fixture, _ []*tracker.Run) { in.UrgentDelayedAt = begin }, 0},
		{"capacity for one elsewhere", longRunning, func(_ *Input, b *fixture, _ []*tracker.Run) {
			b.runAllOn(b.job("q", specifier.Step{Count: 1, Needs: cores(28), LongRunning: true}), "vm-2", 100)
			b.runAllOn(b.job("q", specifier.Step{Count: 1, Needs: cores(29), LongRunning: true}), "vm-3", 100)
		}, 1},
		{"the capacity elsewhere is for urgent tasks", longRunning, func(_ *Input, b *fixture, _ []*tracker.Run) {
			b.runAllOn(b.job("q", specifier.Step{Count: 1, Needs: cores(28), LongRunning: true}), "vm-2", 100)
			b.runAllOn(b.job("q", specifier.Step{Count: 1, Needs: cores(29), EstimateMillis: 1000}), "vm-3", 10)
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, in := slowFixture("vm-1")
			runs := b.runAllOn(b.job("q", tt.step), "vm-1", 100)
			for _, r := range runs {
				r.Measure = 300
			}
			if tt.prepare != nil {
				tt.prepare(&in, b, runs)
			}
			moves := SlowMoves(in)
			if len(moves) != tt.moves {
				t.Errorf("%d of %d tasks move, want %d", len(moves), len(runs), tt.moves)
			}
			for _, m := range moves {
				if m.To.Name == "vm-1" {
					t.Error("it moves to the slow VM")
				}
			}
		})
	}
}

// Under any load, what leaves slow VMs is bounded, goes to VMs that are not slow and have room for it, and nothing leaves
// twice.
func TestDeparturesFitElsewhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, in := slowFixture("vm-1")
		for range rapid.IntRange(0, 12).Draw(t, "jobs") {
			spec := rapid.SampledFrom([]specifier.Step{urgentTask, bestEffortTask, longRunning}).Draw(t, "step")
			spec.Count = rapid.IntRange(1, 5).Draw(t, "tasks")
			vm := b.state.VMs[rapid.SampledFrom([]string{"vm-1", "vm-2", "vm-3"}).Draw(t, "vm")]
			need := specifier.Resources{}
			for range spec.Count {
				need = need.Add(spec.Committed())
			}
			if !vm.Capacity.Sub(vm.Committed).Fits(need) {
				continue
			}
			for _, r := range b.runAllOn(b.job("q", spec), vm.Name, rapid.IntRange(0, 100).Draw(t, "progress")) {
				if r.Measure = 8; spec.LongRunning && rapid.Bool().Draw(t, "over") {
					r.Measure = 300
				}
			}
		}
		for range 10 {
			leaving := Departures(in)
			for _, d := range leaving {
				if d.Run.VM.Name != "vm-1" || d.To.Name == "vm-1" || d.Run.State == tracker.Stopping {
					t.Fatalf("%s leaves %s for %s", d.Run.Task.ID(), d.Run.VM.Name, d.To.Name)
				}
				b.state.Stop(d.Run, LeavesSlowVM, begin)
			}
			stopping := 0
			need := specifier.Resources{}
			for _, r := range b.state.VMs["vm-1"].Runs {
				if r.State == tracker.Stopping {
					stopping++
					need = need.Add(r.Step().Spec.Committed())
				}
			}
			free := specifier.Resources{}
			for _, vm := range []string{"vm-2", "vm-3"} {
				free = free.Add(b.state.VMs[vm].Capacity.Sub(b.state.VMs[vm].Committed))
			}
			if stopping > minLeaving || !free.Fits(need) {
				t.Fatalf("%d runs leave that need %+v of %+v", stopping, need, free)
			}
		}
	})
}
