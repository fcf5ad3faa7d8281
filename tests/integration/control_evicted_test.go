package integration

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/standin/worker"
	"bamboospread/tests/harness"
)

// zoneOutAndIn takes a zone with running tasks out and back in, twice.
var zoneOutAndIn = cellFault{"a zone leaves and returns", func(r *cellTestbed) {
	for range 2 {
		zone := r.busyVM(2).Zone
		time.Sleep(500 * time.Millisecond) // so that there is progress to checkpoint
		r.setZone(zone, describer.ZoneOut)
		time.Sleep(3 * time.Second)
		r.setZone(zone, describer.ZoneIn)
	}
}}

// TestEvictedTaskResumesOnce: sorting runs are checkpointed when their zone is taken out,
// and each must resume elsewhere from that checkpoint, once, and complete, while the
// owner, the agents or the store fail during the move. A checkpoint that is journalled is
// not lost with the owner; one that the agent has not reported yet is reported to the new
// owner.
func TestEvictedTaskResumesOnce(t *testing.T) {
	seed := harness.Seed(t)
	scenarios := append([]scenario{
		single(zoneOutAndIn), concurrent(zoneOutAndIn, ownerKilled), concurrent(zoneOutAndIn, storeLosesAnswers),
		concurrent(zoneOutAndIn, agentKilled), concurrent(zoneOutAndIn, ownerPaused),
		{name: "zone leaves, owner killed, VM unreachable", concurrent: true, faults: []cellFault{zoneOutAndIn, ownerKilled, vmCut}},
	}, concurrent(zoneOutAndIn, []cellFault{storeSlow, storeDown, vmMessagesHeld, ownerCutFromStore}[seed%4]))
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			r := newCellTestbed(t, seed, 4, harness.FleetText)
			random := rand.New(rand.NewPCG(seed, 6))
			r.runUnderFaults(func(ctx context.Context) {
				r.submitUntil(ctx, "sorting-run", 1200*time.Millisecond, func() int64 { return 1500 + random.Int64N(2500) })
			}, s.concurrent, s.faults...)
			r.checkNoDuplicates()
			r.checkCapacity()
			r.checkResumed()
		})
	}
}

// checkResumed fails if an attempt did not start from the last checkpoint. The checkpoint
// of a VM that was unreachable past its lease may be lost; only then an earlier one may be
// used.
func (r *cellTestbed) checkResumed() {
	r.t.Helper()
	type checkpoint struct {
		progress int64
		vm       string
	}
	recorded := make(map[string][]checkpoint)
	checkpoints, resumed := 0, 0
	for _, e := range r.TaskEvents() {
		switch e.Event {
		case worker.EventCheckpointed:
			checkpoints++
			recorded[e.Task] = append(recorded[e.Task], checkpoint{e.ProgressMillis, e.VM})
		case worker.EventStart:
			candidates := recorded[e.Task]
			ok := false
			for len(candidates) > 0 && !ok {
				last := candidates[len(candidates)-1]
				ok = e.ProgressMillis == last.progress
				if !ok && !r.unreachable[last.vm] {
					break
				}
				if !ok {
					candidates = candidates[:len(candidates)-1]
				}
			}
			if ok {
				resumed++
			} else if len(candidates) > 0 || e.ProgressMillis != 0 {
				r.t.Errorf("%s attempt %d started on %s from %d ms, its checkpoints: %v", e.Task, e.Attempt, e.VM, e.ProgressMillis, recorded[e.Task])
			}
		}
	}
	if checkpoints == 0 {
		r.t.Error("no task was evicted, so the scenario tests nothing")
	}
	r.t.Logf("%d checkpoints, %d starts from a checkpoint", checkpoints, resumed)
}
