package integration

import (
	"context"
	"testing"
	"time"

	"bamboospread/tests/harness"
	"bamboospread/tests/proxy"
)

const (
	ownerPause  = 4 * time.Second // longer than the owner's lease
	longAbsence = 9 * time.Second // longer than the leases of runs
)

// replaceOwner kills the owner, and starts its process again after a time without it.
func (r *jobTestbed) replaceOwner(ctx context.Context, away time.Duration) {
	e := r.jobOwner()
	e.Kill()
	wait(ctx, away)
	e.Start()
}

// freezeOwner stops the owner until another process has replaced it.
func (r *jobTestbed) freezeOwner(ctx context.Context) {
	e := r.jobOwner()
	e.Pause()
	wait(ctx, ownerPause)
	e.Resume()
}

// TestChangeOfOwnerBesideSilentVMs guards against tasks that run twice: the next owner's first reports lack
// the runs of a VM whose worker is unreachable or whose agent is silent, and runs there go on.
func TestChangeOfOwnerBesideSilentVMs(t *testing.T) {
	unreachable, cut := proxy.Faults{Unreachable: true}, proxy.Faults{Cut: proxy.BothDirections}
	for _, tt := range []struct {
		name   string
		inject func(ctx context.Context, r *jobTestbed, vm *harness.JobVM)
	}{
		{"worker unreachable, owner killed", func(ctx context.Context, r *jobTestbed, vm *harness.JobVM) {
			vm.ExecutorLink.Set(unreachable)
			wait(ctx, 200*time.Millisecond)
			r.replaceOwner(ctx, time.Second)
			wait(ctx, longAbsence)
		}},
		{"worker unreachable, owner frozen", func(ctx context.Context, r *jobTestbed, vm *harness.JobVM) {
			vm.ExecutorLink.Set(unreachable)
			wait(ctx, 200*time.Millisecond)
			r.freezeOwner(ctx)
			wait(ctx, time.Second)
		}},
		{"worker unreachable, two owners killed", func(ctx context.Context, r *jobTestbed, vm *harness.JobVM) {
			vm.ExecutorLink.Set(unreachable)
			r.replaceOwner(ctx, 3*time.Second)
			r.replaceOwner(ctx, 3*time.Second)
		}},
		{"worker unreachable and agent killed, owner killed", func(ctx context.Context, r *jobTestbed, vm *harness.JobVM) {
			vm.ExecutorLink.Set(unreachable)
			vm.Agent.Kill()
			r.replaceOwner(ctx, time.Second)
			vm.Agent.Start()
			wait(ctx, longAbsence)
		}},
		{"agent frozen, owner killed", func(ctx context.Context, r *jobTestbed, vm *harness.JobVM) {
			vm.Agent.Pause()
			wait(ctx, 200*time.Millisecond)
			r.replaceOwner(ctx, time.Second)
			wait(ctx, 2*time.Second)
			vm.Agent.Resume()
		}},
		{"agent frozen for long, owner killed", func(ctx context.Context, r *jobTestbed, vm *harness.JobVM) {
			vm.Agent.Pause()
			wait(ctx, 200*time.Millisecond)
			r.replaceOwner(ctx, time.Second)
			wait(ctx, longAbsence)
			vm.Agent.Resume()
		}},
		{"agent cut off, owner frozen", func(ctx context.Context, r *jobTestbed, vm *harness.JobVM) {
			r.SetJobAgentFaults(vm, cut)
			wait(ctx, 200*time.Millisecond)
			r.freezeOwner(ctx)
			wait(ctx, 3*time.Second)
		}},
		{"agent's reports held until the owner's process owns the cell again", func(ctx context.Context, r *jobTestbed, vm *harness.JobVM) {
			r.SetJobAgentFaults(vm, proxy.Faults{Hold: proxy.ToServer})
			wait(ctx, 200*time.Millisecond)
			r.freezeOwner(ctx)
			r.freezeOwner(ctx)
			r.SetJobAgentFaults(vm, proxy.Faults{})
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newLinkedJobTestbed(t, harness.Seed(t), 3, "--lapse-time", lapseTime.String())
			vm, _ := r.submitLongTasks()
			tt.inject(t.Context(), r, vm)
			r.ClearFaults()
			r.awaitJobs()
			r.checkDuplicateRuns()
			if taken := r.countEntryLines("ownership taken"); taken < 2 {
				t.Errorf("the cell had %d owners", taken)
			}
		})
	}
}

// countEntryLines returns how many lines of the entries' logs contain a text.
func (r *jobTestbed) countEntryLines(text string) (n int) {
	for _, e := range r.Entries {
		for _, line := range e.LogLines() {
			if containsEvent(line, text) {
				n++
			}
		}
	}
	return n
}
