package integration

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"bamboospread/tests/harness"
)

// TestHeldBatchCompletesExactlyOnce: label batches whose class says hold-when-lost
// must be printed once, also when the VM that printed them is lost before it could
// tell. VMs are cut off or their agents away past the lease while batches run and
// complete there unheard; the owner holds those batches and learns of them when the
// VM is back. Every accepted batch must then have completed, none twice: unlike in
// TestTaskNeverRunsTwice no second completion is allowed.
func TestHeldBatchCompletesExactlyOnce(t *testing.T) {
	seed := harness.Seed(t)
	text := strings.Replace(harness.FleetText, "{name: label-batch, ", "{name: label-batch, hold-when-lost: true, ", 1)
	if text == harness.FleetText {
		t.Fatal("the fleet text has no class label-batch to change")
	}
	for _, s := range []scenario{
		alone(agentPaused), alone(vmCut),
		{name: "links cut one way", faults: []cellFault{vmSendsOnly, vmHearsOnly}},
		together(ownerKilled, agentKilled), together(ownerPaused, vmHeld), together(storeDown, vmCut),
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			r := newTrial(t, seed, 4, text)
			random := rand.New(rand.NewPCG(seed, 7))
			r.under(func(ctx context.Context) { r.submitUntil(ctx, "label-batch", 150*time.Millisecond, shortRuns(random)) }, s.together, s.faults...)
			clear(r.away) // no VM is excused
			r.checkOnce()
			r.checkRoom()
		})
	}
}
