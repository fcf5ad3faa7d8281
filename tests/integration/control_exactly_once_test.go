package integration

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"bamboospread/tests/harness"
)

// TestHeldBatchCompletesExactlyOnce: label batches whose class sets hold-when-lost must be
// printed once, even if contact with the VM is lost before it could report that it printed
// them. VMs are cut off or their agents paused past the lease while batches run and
// complete there without being reported; the owner holds those batches and gets the
// reports when the VM is back. Every accepted batch must then have completed, and none
// twice: unlike in TestTaskNeverRunsTwice no second completion is allowed.
func TestHeldBatchCompletesExactlyOnce(t *testing.T) {
	seed := harness.Seed(t)
	text := strings.Replace(harness.FleetText, "{name: label-batch, ", "{name: label-batch, hold-when-lost: true, ", 1)
	if text == harness.FleetText {
		t.Fatal("the fleet text has no class label-batch to change")
	}
	for _, s := range []scenario{
		single(agentPaused), single(vmCut),
		{name: "links cut one way", faults: []cellFault{vmSendsOnly, vmReceivesOnly}},
		concurrent(ownerKilled, agentKilled), concurrent(ownerPaused, vmMessagesHeld), concurrent(storeDown, vmCut),
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			r := newCellTestbed(t, seed, 4, text)
			random := rand.New(rand.NewPCG(seed, 7))
			r.runUnderFaults(func(ctx context.Context) { r.submitUntil(ctx, "label-batch", 150*time.Millisecond, shortRuns(random)) }, s.concurrent, s.faults...)
			clear(r.unreachable) // no VM is exempt from the check
			r.checkNoDuplicates()
			r.checkCapacity()
		})
	}
}
