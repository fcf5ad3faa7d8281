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
