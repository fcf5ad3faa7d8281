package planner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// A round with a cache must place tasks like one that computes everything anew, also right
// after tasks were started on a VM or reported. Otherwise tasks that the cache does not
// include interfere with a long-running task.
func TestCacheDoesNotChangePlacement(t *testing.T) {
	in, b := busyFleet(11)
	cached := in
	cached.Cache = NewCache()
	for round := range 12 {
		now := begin.Add(2*time.Second + time.Duration(round)*20*time.Millisecond)
		in.Now, cached.Now = now, now
		b.job("q", specifier.Step{Count: 3, Needs: cores(2), EstimateMillis: 900, BestEffort: true, Image: "f5"})
		starts := Plan(cached)
		if diff := cmp.Diff(vmsByTask(Plan(in)), vmsByTask(starts)); diff != "" {
			t.Fatalf("round %d: %s", round, diff)
		}
		for _, s := range starts {
			r := b.state.Place(s.Task, s.VM, s.Number, now)
			r.State, r.StartedAt = tracker.Running, now
		}
	}
}

// Guards against the use of outdated headroom after a task was placed. The result for a VM is
// computed anew once the VM has changed or the cached result has expired.
func TestChangedVMIsNotCached(t *testing.T) {
	f := newMixedFleet(2)
	f.submitBestEffort("x")
	in := Input{Now: begin, State: f.state, Learner: f.learner, Cache: NewCache()}
	Plan(in)
	vm := f.vms[0]
	isCached := func(now time.Time) bool {
		state := vmStateOf(vm, now)
		m := &state
		in.Cache.restore(m)
		return m.neighboursKnown
	}
	if !isCached(begin) {
		t.Fatal("nothing is cached for a VM after a round")
	}
	if isCached(begin.Add(cacheTTL)) {
		t.Error("the cached result is valid after its expiry")
	}
	f.run(f.submitBestEffort("y").Occurrences[0].Steps[0].Tasks[0], vm)
	if isCached(begin) {
		t.Error("the cached result is valid after a task was placed")
	}
}
