package planner

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// starvedFleet is a VM with a long-running task over its target and a step of best-effort long-running tasks
// that are throttled to zero beside it, and an empty VM.
func starvedFleet(tasks, maxUnavailable int) (*loadedFleet, []*tracker.Run) {
	f := newLoadedFleet(0.6)
	f.vm("2", "in", "r1", cores(32))
	j := f.job("q", bestEffortStep(tasks, func(s *specifier.Step) { s.LongRunning, s.MaxUnavailable = true, maxUnavailable }))
	var runs []*tracker.Run
	for _, t := range j.Occurrences[0].Steps[0].Tasks {
		r := f.state.Place(t, f.state.VMs["1"], 1, begin.Add(-time.Minute))
		r.State, r.StartedAt, r.Progress = tracker.Running, begin.Add(-time.Minute), 100
		r.SetPace(0, begin.Add(-starvedFor))
		runs = append(runs, r)
	}
	return f, runs
}

// Guards against evictions that stop all long-running tasks of a step at once, whatever may be unavailable.
func TestEvictionsKeepMaxUnavailable(t *testing.T) {
	tests := []struct {
		name           string
		maxUnavailable int
		change         func(f *loadedFleet, runs []*tracker.Run)
		want           int
	}{
		{"one", 1, func(*loadedFleet, []*tracker.Run) {}, 1},
		{"two", 2, func(*loadedFleet, []*tracker.Run) {}, 2},
		{"one is being stopped", 1, func(f *loadedFleet, runs []*tracker.Run) { f.state.Stop(runs[0], "test", begin) }, 0},
		{"one of two is lost", 2, func(f *loadedFleet, runs []*tracker.Run) {
			f.state.EndRun(runs[0].VM, runs[0].Key(), tracker.EndLost, "", begin)
		}, 1},
		{"one is on a VM out of contact", 1, func(f *loadedFleet, runs []*tracker.Run) {
			vm := f.vm("3", "in", "r1", cores(32))
			f.state.EndRun(runs[0].VM, runs[0].Key(), tracker.EndLost, "", begin)
			r := f.state.Place(runs[0].Task, vm, 2, begin)
			r.State, r.StartedAt, r.Progress = tracker.Running, begin, 100
			f.state.Detach(vm)
		}, 0},
		{"one is starting, and can't while it is throttled", 1, func(_ *loadedFleet, runs []*tracker.Run) { runs[0].Progress = 0 }, 1},
		{"no limit of its own", 0, func(*loadedFleet, []*tracker.Run) {}, maxMoving},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, runs := starvedFleet(7, tt.maxUnavailable)
			tt.change(f, runs)
			if got := Evictions(f.input(0)); len(got) != tt.want {
				t.Errorf("%d of %d are stopped, want %d", len(got), len(runs), tt.want)
			}
		})
	}
}

// Guards against decisions of one round that keep the limit each by itself and exceed it together. The owner
// stops a run only if MayInterrupt allows it.
func TestStopsOfARoundKeepMaxUnavailable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f, in := drawStops(rt)
		atWork := make(map[*tracker.Step]int)
		for _, s := range f.state.OpenSteps() {
			atWork[s] = len(s.Tasks) - s.Unavailable()
		}
		decisions := []struct {
			name   string
			decide func() []*tracker.Run
		}{
			{"evictions", func() []*tracker.Run { return Evictions(in) }},
			{"yields", func() []*tracker.Run { runs, _ := Yields(in); return runs }},
			{"preemptions", func() []*tracker.Run { return Preemptions(in) }},
			{"rotations", func() []*tracker.Run { return runsOf(Rotations(in), func(x Rotation) *tracker.Run { return x.Run }) }},
			{"moves", func() []*tracker.Run { return runsOf(Moves(in), func(x Move) *tracker.Run { return x.Run }) }},
			{"slow moves", func() []*tracker.Run { return runsOf(SlowMoves(in), func(x Move) *tracker.Run { return x.Run }) }},
		}
		for _, d := range rapid.Permutation(decisions).Draw(rt, "order") {
			for _, run := range d.decide() {
				if !run.MayInterrupt() {
					rt.Errorf("%s choose run %v, with %d of its step unavailable", d.name, run.Key(), run.Step().Unavailable())
				}
				f.state.Stop(run, d.name, in.Now)
			}
		}
		for s, before := range atWork {
			if limit := s.Spec.MaxUnavailable; limit > 0 && before-(len(s.Tasks)-s.Unavailable()) > max(limit-(len(s.Tasks)-before), 0) {
				rt.Errorf("step %s: %d at work before, %d unavailable now, at most %d may be", s.Name(), before, s.Unavailable(), limit)
			}
		}
	})
}

func runsOf[D any](decisions []D, run func(D) *tracker.Run) (runs []*tracker.Run) {
	for _, d := range decisions {
		runs = append(runs, run(d))
	}
	return runs
}

// drawStops draws a fleet on which several decisions stop long-running tasks: starved ones, ones on slow VMs
// over their targets, and waiting urgent, best-effort and long-running tasks.
func drawStops(rt *rapid.T) (*loadedFleet, Input) {
	f := newLoadedFleet()
	vms := rapid.IntRange(2, 5).Draw(rt, "vms")
	for n := range vms {
		f.vm(fmt.Sprint(n+1), "in", "r1", cores(32))
	}
	for range rapid.IntRange(1, 4).Draw(rt, "long-running jobs") {
		bestEffort := rapid.Bool().Draw(rt, "best-effort")
		step := specifier.Step{
			Count: rapid.IntRange(2, 6).Draw(rt, "tasks"), Needs: cores(rapid.Int64Range(2, 8).Draw(rt, "cores")), LongRunning: true,
			TailMillis: 100, Image: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "image"), BestEffort: bestEffort,
			MaxUnavailable: rapid.IntRange(0, 2).Draw(rt, "max unavailable"),
		}
		for _, t := range f.job("q", step).Occurrences[0].Steps[0].Tasks {
			vm := f.state.VMs[fmt.Sprint(rapid.IntRange(1, vms).Draw(rt, "vm"))]
			if !vm.Capacity.Sub(vm.Committed).Fits(step.Committed()) {
				continue
			}
			r := f.state.Place(t, vm, 1, begin.Add(-time.Minute))
			r.State, r.StartedAt = tracker.Running, begin.Add(-time.Minute)
			r.Progress = rapid.SampledFrom([]int{100, 100, 100, 0}).Draw(rt, "progress")
			r.Measure = rapid.Int64Range(30, 300).Draw(rt, "tail")
			if bestEffort {
				r.SetPace(rapid.SampledFrom([]int{0, 100}).Draw(rt, "pace"), begin.Add(-starvedFor))
			}
		}
	}
	f.job("q", specifier.Step{Count: rapid.IntRange(0, 20).Draw(rt, "urgent"), Needs: cores(4), EstimateMillis: 500})
	f.job("q", bestEffortStep(rapid.IntRange(0, 8).Draw(rt, "waiting"), func(s *specifier.Step) { s.Needs, s.Image = cores(4), "x" }))
	in := f.input(3 * time.Second)
	in.Calibrator, in.UrgentDelayedAt = calibratorWith("1"), in.Now
	return f, in
}
