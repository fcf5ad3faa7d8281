package tracker

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bamboospread/internal/job/specifier"
)

// Guards against runs that are restarted without end: a declared duration that overflows let each count as
// stalled from its start.
func TestNoRunIsStalledFromItsStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimate := rapid.OneOf(rapid.Int64Range(1, math.MaxInt64), rapid.SampledFrom([]int64{
			1, specifier.MaxEstimate.Milliseconds(), math.MaxInt64/int64(time.Millisecond) + 1, math.MaxInt64,
		})).Draw(t, "estimate")
		raw, err := json.Marshal(specifier.Job{ID: jobID(1), Queue: "q", Steps: []specifier.Step{{
			Count: 1, Needs: oneCore, EstimateMillis: estimate, BestEffort: rapid.Bool().Draw(t, "best effort"),
		}}})
		if err != nil {
			t.Fatal(err)
		}
		// Also those that an earlier build has stored.
		spec, err := DecodeJob(raw)
		if err != nil {
			t.Fatalf("a stored job can't be read: %v", err)
		}
		tr := New(Config{Policy: &specifier.Policy{Version: 1, Queues: []specifier.Queue{{Name: "q", Slack: 2}}}})
		tr.AddJob(spec, time.Time{}, begin)
		vm := attach(tr, "vm")
		tr.Place(tr.Jobs[spec.ID].Occurrences[0].Steps[0].Tasks[0], vm, 1, begin)
		for millis := 0; millis <= 600; millis += 100 {
			reportProgress(tr, vm, millis, 0, 0)
			if stalled, _ := vm.stalled(); len(stalled) > 0 {
				t.Fatalf("stalled after %d ms with an estimate of %d ms", millis, estimate)
			}
		}
		reportProgress(tr, vm, 1500, 0, 0)
		if stalled, _ := vm.stalled(); len(stalled) > 0 && estimate > 100_000 {
			t.Fatalf("stalled after 1500 ms with an estimate of %d ms", estimate)
		}
	})
}
