package planner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/specifier"
)

// A round that remembers must place as one that works everything out anew, also right
// after tasks have come to a VM or were reported on: else a lasting task is disturbed by
// those that the memory has not seen.
func TestRoundsWithAMemoryPlaceTheSame(t *testing.T) {
	in, b := busyFleet(11)
	remembering := in
	remembering.Memory = NewMemory()
	for round := range 12 {
		now := begin.Add(2*time.Second + time.Duration(round)*20*time.Millisecond)
		in.Now, remembering.Now = now, now
		b.job("q", specifier.Step{Count: 3, Needs: cores(2), EstimateMillis: 900, Fills: true, Image: "f5"})
		starts := Plan(remembering)
		if diff := cmp.Diff(places(Plan(in)), places(starts)); diff != "" {
			t.Fatalf("round %d: %s", round, diff)
		}
		for _, s := range starts {
			r := b.state.Place(s.Task, s.VM, s.Number, now)
			r.State, r.StartedAt = accountant.Running, now
		}
	}
}

// A lasting task is disturbed by what was placed a moment ago: the memory still has what
// it had left before. A VM that has changed is worked out anew, and so is one after a while.
func TestAChangedVMIsNotRemembered(t *testing.T) {
	f := newMixedFleet(2)
	f.wait("x")
	in := Input{Now: begin, State: f.state, Learner: f.learner, Memory: NewMemory()}
	Plan(in)
	vm := f.vms[0]
	remembers := func(now time.Time) bool {
		m := newRoom(vm, now)
		in.Memory.recall(m)
		return m.met
	}
	if !remembers(begin) {
		t.Fatal("nothing is remembered of a VM that was looked at")
	}
	if remembers(begin.Add(memoryLife)) {
		t.Error("it is remembered for too long")
	}
	f.work(f.wait("y").Occurrences[0].Steps[0].Tasks[0], vm)
	if remembers(begin) {
		t.Error("it is remembered as it was before a task came")
	}
}
