package planner

import (
	"fmt"
	"testing"
	"time"

	"bamboospread/internal/job/learner"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// fleetSizes are the numbers of VMs at which decisions are measured, up to twice the largest fleet.
var fleetSizes = []int{11, 52, 160, 300, 1000, 2000}

// busyFleet returns a fleet at its peak: five long-running, four best-effort and four urgent
// tasks on each VM, a tenth as many waiting jobs as VMs, and the ended jobs of the time for
// which they are kept.
func busyFleet(vms int) (Input, *fixture) {
	b := newFixture(specifier.Queue{Name: "q", Slack: 2, MaxFailures: 3, Priority: 2}, specifier.Queue{Name: "urgent", Slack: 1.5, MaxFailures: 4})
	known := trainedLearner(map[string][]string{"l0": {"f0"}, "l1": {"f1", "f2"}, "l2": {"f3"}}, "f0", "f1", "f2", "f3", "f4", "f5")
	run := func(j *tracker.Job, vm *tracker.VM) {
		for _, t := range j.Occurrences[0].Steps[0].Tasks {
			r := b.state.Place(t, vm, 1, begin.Add(-time.Minute))
			r.State, r.StartedAt, r.Progress, r.Measure = tracker.Running, begin.Add(-time.Minute), 100, 8
		}
	}
	for n := range vms {
		vm := b.vm(fmt.Sprintf("vm-%03d", n), "in", fmt.Sprint("r", n/6), cores(64))
		vm.SeenAt = begin
		run(b.job("q", specifier.Step{Count: 5, Needs: cores(10), EstimateMillis: 500, LongRunning: true, TailMillis: 18, Image: fmt.Sprint("l", n%3)}), vm)
		for image := range 4 {
			run(b.job("q", specifier.Step{Count: 1, Needs: cores(6), EstimateMillis: 2200, BestEffort: true, Image: fmt.Sprint("f", (n+image)%6)}), vm)
		}
		run(b.job("urgent", specifier.Step{Count: 4, Needs: cores(1), EstimateMillis: 800}), vm)
	}
	for n := range 10 * vms {
		j := b.job("urgent", specifier.Step{Count: 6, Needs: cores(1), EstimateMillis: 800})
		if n >= vms/10 {
			b.state.Cancel(j.Spec.ID, begin)
		}
	}
	for n := range vms / 10 {
		b.job("q", specifier.Step{Count: 16, Needs: cores(6), EstimateMillis: 2200, BestEffort: true, Image: fmt.Sprint("f", n%6)})
	}
	b.state.TakeEnded()
	return Input{Now: begin.Add(2 * time.Second), State: b.state, Learner: known}, b
}

// BenchmarkBacklog measures a placement round with as many waiting best-effort steps as VMs,
// of images that interfere almost everywhere, and some urgent ones that start.
func BenchmarkBacklog(b *testing.B) {
	for _, vms := range []int{11, 52, 160, 300} {
		in, fleet := busyFleet(vms)
		for n := range vms {
			fleet.job("q", specifier.Step{Count: 16, Needs: cores(6), EstimateMillis: 2200, BestEffort: true, Image: fmt.Sprint("f", n%4)})
		}
		for range 3 {
			fleet.job("urgent", specifier.Step{Count: 10, Needs: cores(1), EstimateMillis: 800})
		}
		for _, cache := range []*Cache{nil, NewCache()} {
			in.Cache = cache
			b.Run(fmt.Sprintf("vms-%d/cache-%t", vms, cache != nil), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					Plan(in)
				}
			})
		}
	}
}

// BenchmarkRound measures the decisions of the owner in one round, at four fleet sizes.
func BenchmarkRound(b *testing.B) {
	parts := []struct {
		name string
		run  func(in Input)
	}{
		{"plan", func(in Input) { Plan(in) }},
		{"paces", func(in Input) { Paces(in) }},
		{"moves", func(in Input) { Moves(in) }},
		{"evictions", func(in Input) { Evictions(in) }},
		{"observe-one-report", func(in Input) { ObserveReport(learner.New(), in.State.VMs["vm-000"], in.Now) }},
		{"stalled", func(in Input) { in.State.Stalled(in.State.SortedVMs(), in.Now) }},
		{"unwanted", func(in Input) { tracker.Unwanted(in.State.SortedVMs()) }},
		{"open-due", func(in Input) { in.State.OpenDue(in.Now) }},
	}
	for _, vms := range fleetSizes {
		in, _ := busyFleet(vms)
		for _, p := range parts {
			b.Run(fmt.Sprintf("%s/vms-%d", p.name, vms), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					p.run(in)
				}
			})
		}
	}
}

// BenchmarkOneStep measures a placement round in which one urgent step of 13 tasks waits, and nothing
// else: the usual round on a fleet with free capacity.
func BenchmarkOneStep(b *testing.B) {
	for _, vms := range fleetSizes {
		in, fleet := busyFleet(vms)
		for _, s := range in.State.WaitingSteps(in.Now) {
			in.State.Cancel(s.Occurrence.Job.Spec.ID, in.Now)
		}
		fleet.job("urgent", specifier.Step{Count: 13, Needs: cores(1), EstimateMillis: 800})
		in.Cache = NewCache()
		b.Run(fmt.Sprintf("vms-%d", vms), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Plan(in)
			}
		})
	}
}

// BenchmarkFullFleet measures the less frequent decisions on a fleet where long-running tasks
// have reserved all processors, while other long-running tasks and urgent ones wait for
// capacity.
func BenchmarkFullFleet(b *testing.B) {
	parts := []struct {
		name string
		run  func(in Input)
	}{
		{"plan", func(in Input) { Plan(in) }},
		{"moves", func(in Input) { Moves(in) }},
		{"yields", func(in Input) { Yields(in) }},
		{"preemptions", func(in Input) { Preemptions(in) }},
		{"evictions", func(in Input) { Evictions(in) }},
		{"paces", func(in Input) { Paces(in) }},
	}
	for _, vms := range fleetSizes[1:] {
		in, fleet := busyFleet(vms)
		for n := range vms {
			vm := in.State.VMs[fmt.Sprintf("vm-%03d", n)]
			j := fleet.job("q", specifier.Step{Count: 1, Needs: specifier.Resources{CPUMillis: 7000, MemoryMB: 1000}, LongRunning: true, TailMillis: 18, Image: fmt.Sprint("l", n%3)})
			r := in.State.Place(j.Occurrences[0].Steps[0].Tasks[0], vm, 1, begin.Add(-time.Minute))
			r.State, r.StartedAt, r.Progress = tracker.Running, begin.Add(-time.Minute), 100
		}
		for n := range 20 {
			j := fleet.job("q", specifier.Step{Count: 24, Needs: cores(10), LongRunning: true, TailMillis: 18, Image: fmt.Sprint("l", n%3)})
			for _, t := range j.Occurrences[0].Steps[0].Tasks[:4] {
				t.HasRun, t.WaitSince = true, begin.Add(-time.Minute)
			}
		}
		for range 20 {
			fleet.job("urgent", specifier.Step{Count: 9, Needs: cores(5), EstimateMillis: 800})
		}
		for _, p := range parts {
			b.Run(fmt.Sprintf("%s/vms-%d", p.name, vms), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					p.run(in)
				}
			})
		}
	}
}

// BenchmarkMovesOfManyImages measures a search for moves with five tasks of 16 long-running
// images on each VM and waiting steps of 30 best-effort images, each of which interferes with
// three long-running images.
func BenchmarkMovesOfManyImages(b *testing.B) {
	const longRunningImages, bestEffortImages = 16, 30
	interfering, images := make(map[string][]string), make([]string, bestEffortImages)
	for n := range images {
		images[n] = fmt.Sprint("f", n)
		for k := range 3 {
			image := fmt.Sprint("l", (n+5*k)%longRunningImages)
			interfering[image] = append(interfering[image], images[n])
		}
	}
	known := trainedLearner(interfering, images...)
	for _, vms := range []int{11, 52, 160, 300} {
		fleet := newFixture(specifier.Queue{Name: "q", Slack: 2, MaxFailures: 3})
		for n := range vms {
			vm := fleet.vm(fmt.Sprintf("vm-%03d", n), "in", fmt.Sprint("r", n/6), cores(64))
			for k := range 5 {
				j := fleet.job("q", specifier.Step{Count: 1, Needs: cores(10), LongRunning: true, TailMillis: 18, Image: fmt.Sprint("l", (n*7+k*3)%longRunningImages)})
				r := fleet.state.Place(j.Occurrences[0].Steps[0].Tasks[0], vm, 1, begin.Add(-time.Minute))
				r.State, r.StartedAt, r.Progress, r.Measure = tracker.Running, begin.Add(-time.Minute), 100, 8
			}
		}
		for n := range images {
			fleet.job("q", specifier.Step{Count: 2 * vms, Needs: cores(4), EstimateMillis: 2200, BestEffort: true, Image: images[n]})
		}
		in := Input{Now: begin.Add(2 * time.Second), State: fleet.state, Learner: known}
		b.Run(fmt.Sprintf("vms-%d", vms), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Moves(in)
			}
		})
	}
}
