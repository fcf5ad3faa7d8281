package planner

import (
	"testing"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/specifier"
)

// Filling tasks stand still for ten seconds while a VM has room for them: a lasting task
// came to their VM, or its load swung up, and they were slowed down to nothing. They stop
// and go on elsewhere, unless there is no such place, they hardly crawl, or much of their
// work would be thrown away.
func TestCrawlingTasksGoOnElsewhere(t *testing.T) {
	tests := []struct {
		name   string
		change func(b *bed, run *accountant.Run)
		evict  bool
	}{
		{"crawls", func(*bed, *accountant.Run) {}, true},
		{"works at half its speed", func(_ *bed, r *accountant.Run) { r.Pace = 60 }, false},
		{"was slowed down just now", func(_ *bed, r *accountant.Run) { r.PacedAt = begin.Add(-crawlFor / 2) }, false},
		{"its pace is not known", func(_ *bed, r *accountant.Run) { r.Pace = accountant.PaceUnknown }, false},
		{"no other VM", func(b *bed, _ *accountant.Run) { b.state.Detach(b.state.VMs["two"]) }, false},
		{"the other VM is busy", func(b *bed, _ *accountant.Run) { b.state.VMs["two"].FillCPU = 30_000 }, false},
		{"much would be lost", func(_ *bed, r *accountant.Run) { r.Step().Spec.Checkpoints, r.Progress = false, 80 }, false},
		{"little would be lost", func(_ *bed, r *accountant.Run) { r.Step().Spec.Checkpoints, r.Progress = false, 10 }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBed()
			one := b.vm("one", "in", "r1", cores(32))
			b.vm("two", "in", "r1", cores(32))
			lasting := b.job("q", specifier.Step{Count: 1, Needs: cores(8), Lasting: true, TailMillis: 18, Image: "a"})
			b.state.Place(lasting.Occurrences[0].Steps[0].Tasks[0], one, 1, begin.Add(-time.Minute))
			fill := b.job("q", specifier.Step{Count: 1, Needs: cores(4), EstimateMillis: 3000, Fills: true, Image: "x", Checkpoints: true})
			run := b.state.Place(fill.Occurrences[0].Steps[0].Tasks[0], one, 1, begin.Add(-2*time.Second))
			run.State, run.StartedAt, run.Progress = accountant.Running, begin.Add(-2*time.Second), 80
			run.SetPace(10, begin.Add(-crawlFor))
			tt.change(b, run)
			known := taught(map[string][]string{"a": {"x"}}, "x")
			if got := Evictions(Input{Now: begin, State: b.state, Learner: known}); len(got) > 0 != tt.evict {
				t.Errorf("%d runs are stopped", len(got))
			}
		})
	}
}
