package planner

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bamboospread/internal/job/estimator"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// estimated returns the input for decisions by run times that took a thousand times as long as declared.
func estimated(b *fixture) Input {
	e := estimator.New()
	for range 100 {
		e.Observe(estimator.Sample{Kind: estimator.Kind{Queue: "q"}, Declared: time.Second, Work: 1000 * time.Second, Took: 1000 * time.Second, Tasks: 1, At: begin})
	}
	return Input{Now: begin, State: b.state, Estimator: e}
}

// Guards against durations that overflow: work of an accepted job that is negative, or an objective before it
// is due.
func TestDurationsOfAcceptedJobsAreNotNegative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := specifier.MaxEstimate.Milliseconds()
		millis := rapid.OneOf(rapid.Int64Range(0, 100_000), rapid.Int64Range(0, most), rapid.Just(most))
		q := specifier.Queue{
			Name: "q", Slack: rapid.SampledFrom([]float64{0, 1.5, 1e6, math.MaxFloat64}).Draw(t, "slack"),
			Target: rapid.SampledFrom([]time.Duration{0, time.Second, specifier.MaxSpan}).Draw(t, "target"),
		}
		var steps []specifier.Step
		for i := range rapid.SampledFrom([]int{1, 2, specifier.MaxSteps}).Draw(t, "steps") {
			s := specifier.Step{Count: rapid.IntRange(1, specifier.MaxTasks/specifier.MaxSteps).Draw(t, "count"), Needs: cores(1), EstimateMillis: millis.Draw(t, "estimate")}
			s.Checkpoints, s.BestEffort = rapid.Bool().Draw(t, "checkpoints"), rapid.Bool().Draw(t, "best effort")
			if i > 0 {
				s.After = []int{i - 1}
			}
			steps = append(steps, s)
		}
		b := newFixture(q)
		vm := b.vm("vm", "z", "r", cores(64))
		spec := &specifier.Job{ID: jobID(1), Queue: "q", Steps: steps, AcceptedMillis: begin.UnixMilli()}
		if err := specifier.Check(spec); err != nil {
			t.Fatal(err)
		}
		if l := LimitsOf(q, spec); l.Objective < 0 || l.TooLate < l.Objective || l.Chain < 0 {
			t.Fatalf("limits %+v", l)
		}
		j := b.job("q", steps...)
		o := j.Occurrences[0]
		if c := longestChains(o); c.total < 0 || c.left < 0 || c.left > c.total {
			t.Fatalf("chains %+v", c)
		}
		s := o.Steps[0]
		run := b.state.Place(s.Tasks[0], vm, b.state.NextNumber(s.Tasks[0]), begin)
		for _, progress := range []int{0, 1, 50, 100} {
			b.state.Apply(vm, tracker.Report{Incarnation: vm.Incarnation, Ready: true, OrdersSeen: 1000, Runs: []tracker.ReportedRun{{Key: run.Key(), Confirmed: true, Progress: progress, Measure: 1}}}, begin)
			r := &round{in: Input{Now: begin, State: b.state}, now: begin, state: b.state}
			if lost, rest := lostWork(run), r.rest(run); lost < 0 || rest < 0 {
				t.Fatalf("at %d percent a stop loses %s, and %s are left", progress, lost, rest)
			}
			in := estimated(b)
			if found := newIndexer(in, 1).of(o); found.workLeft < 0 || found.timeLeft < 0 {
				t.Fatalf("at %d percent %+v are left", progress, found)
			}
			if d := in.departure(run); d.There < 0 || d.Elsewhere < 0 {
				t.Fatalf("at %d percent %+v", progress, d)
			}
		}
	})
}

// Guards against a sum over the tasks of the widest step that overflows.
func TestWorkOfTheWidestJobIsNotNegative(t *testing.T) {
	b := newFixture(specifier.Queue{Name: "q", Slack: 2})
	o := b.job("q", specifier.Step{Count: specifier.MaxTasks, Needs: cores(1), EstimateMillis: specifier.MaxEstimate.Milliseconds()}).Occurrences[0]
	found := newIndexer(Input{Now: begin, State: b.state, Estimator: estimator.New()}, 1).of(o)
	if want := specifier.MaxTasks * specifier.MaxEstimate.Seconds(); math.Abs(found.workLeft-want) > want/1e9 {
		t.Errorf("%v core-seconds are left, want %v", found.workLeft, want)
	}
}
