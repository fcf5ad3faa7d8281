package planner

import (
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// Guards against best-effort tasks that are stalled for ten seconds while another VM has
// capacity: a long-running task has started on their VM, or its load has risen, and they were
// throttled to almost nothing. They are stopped and continue on another VM, unless there is no
// such VM, they are throttled only a little or only briefly, or too much of their work would be lost.
func TestStarvedTasksAreEvicted(t *testing.T) {
	tests := []struct {
		name   string
		change func(b *fixture, run *tracker.Run)
		evict  bool
	}{
		{"starved", func(*fixture, *tracker.Run) {}, true},
		{"throttled to 60%", func(_ *fixture, r *tracker.Run) { r.Pace = 60 }, false},
		{"throttled just now", func(_ *fixture, r *tracker.Run) { r.PacedAt = begin.Add(-starvedFor / 2) }, false},
		{"pace not known", func(_ *fixture, r *tracker.Run) { r.Pace = tracker.PaceUnknown }, false},
		{"no other VM", func(b *fixture, _ *tracker.Run) { b.state.Detach(b.state.VMs["two"]) }, false},
		{"the other VM is busy", func(b *fixture, _ *tracker.Run) { b.state.VMs["two"].BestEffortCPU = 30_000 }, false},
		{"much would be lost", func(_ *fixture, r *tracker.Run) { r.Step().Spec.Checkpoints, r.Progress = false, 80 }, false},
		{"little would be lost", func(_ *fixture, r *tracker.Run) { r.Step().Spec.Checkpoints, r.Progress = false, 10 }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture()
			one := b.vm("one", "in", "r1", cores(32))
			b.vm("two", "in", "r1", cores(32))
			longRunning := b.job("q", specifier.Step{Count: 1, Needs: cores(8), LongRunning: true, TailMillis: 18, Image: "a"})
			b.state.Place(longRunning.Occurrences[0].Steps[0].Tasks[0], one, 1, begin.Add(-time.Minute))
			bestEffort := b.job("q", specifier.Step{Count: 1, Needs: cores(4), EstimateMillis: 3000, BestEffort: true, Image: "x", Checkpoints: true})
			run := b.state.Place(bestEffort.Occurrences[0].Steps[0].Tasks[0], one, 1, begin.Add(-2*time.Second))
			run.State, run.StartedAt, run.Progress = tracker.Running, begin.Add(-2*time.Second), 80
			run.SetPace(10, begin.Add(-starvedFor))
			tt.change(b, run)
			known := trainedLearner(map[string][]string{"a": {"x"}}, "x")
			if got := Evictions(Input{Now: begin, State: b.state, Learner: known}); len(got) > 0 != tt.evict {
				t.Errorf("%d runs are stopped", len(got))
			}
		})
	}
}
