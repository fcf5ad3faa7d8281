package integration

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"bamboospread/tests/harness"
)

// scenario is a set of faults, injected one after the other or concurrently.
type scenario struct {
	name       string
	concurrent bool
	faults     []cellFault
}

func single(f cellFault) scenario { return scenario{name: f.name, faults: []cellFault{f}} }

func concurrent(a, b cellFault) scenario {
	return scenario{name: a.name + ", and " + b.name, concurrent: true, faults: []cellFault{a, b}}
}

// drawPairs returns n scenarios of two concurrent faults, drawn from the seed.
func drawPairs(seed uint64, n int, from ...cellFault) []scenario {
	random := rand.New(rand.NewPCG(seed, 3))
	var out []scenario
	for range n {
		pair := random.Perm(len(from))[:2]
		out = append(out, concurrent(from[pair[0]], from[pair[1]]))
	}
	return out
}

func shortRuns(random *rand.Rand) func() int64 {
	return func() int64 { return 200 + random.Int64N(1800) }
}

// longRuns draws run times some of which exceed the leases, so that the records show a
// task that is restarted too early or stopped too late.
func longRuns(random *rand.Rand) func() int64 {
	return func() int64 {
		if random.IntN(4) == 0 {
			return 16000
		}
		return 1000 + random.Int64N(5000)
	}
}

// TestTaskNeverRunsTwice: a label batch whose owner, agent or VM becomes unreachable must
// not run in two places when that one returns. Owners, agents and links fail while
// batches are submitted; after a pause or a cut a process continues with outdated orders
// and leases. A new owner may restart a task only once the old VM is certain to have ended
// it, which the workers' records show.
func TestTaskNeverRunsTwice(t *testing.T) {
	seed := harness.Seed(t)
	scenarios := append([]scenario{
		single(ownerPaused), single(agentPaused), single(vmCut), single(ownerIsolated),
		{name: "links cut one way", faults: []cellFault{vmSendsOnly, vmReceivesOnly}},
		{name: "store slow, then losing answers, then down", faults: []cellFault{storeSlow, storeLosesAnswers, storeDown}},
		concurrent(ownerKilled, agentKilled),
		concurrent(ownerCutFromStore, vmMessagesHeld),
	}, drawPairs(seed, 1, ownerPaused, agentPaused, vmCut, vmMessagesHeld, ownerCutFromStore, storeLosesAnswers, ownerKilled)...)
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			r := newCellTestbed(t, seed, 4, harness.FleetText)
			random := rand.New(rand.NewPCG(seed, 4))
			r.runUnderFaults(func(ctx context.Context) { r.submitUntil(ctx, "label-batch", 250*time.Millisecond, longRuns(random)) }, s.concurrent, s.faults...)
			r.checkNoDuplicates()
			r.checkCapacity()
		})
	}
}

// TestVMNeverOvercommitted: tasks and upstreams together must stay within the capacity of
// each VM while declared run times and sizes are far off, more tasks are queued than the
// fleet can run, and two entries both assume that they own the cell. The workers refuse
// nothing; their records show what was committed at each start.
func TestVMNeverOvercommitted(t *testing.T) {
	seed := harness.Seed(t)
	scenarios := append([]scenario{
		{name: "declared sizes far off", faults: []cellFault{storeSlow}},
		{name: "two owners at once", concurrent: true, faults: []cellFault{ownerPaused, agentKilled}},
		concurrent(ownerCutFromStore, storeLosesAnswers),
		concurrent(ownerKilled, zoneRace),
	}, drawPairs(seed, 1, ownerPaused, agentPaused, vmCut, vmMessagesHeld, storeLosesAnswers, zoneRace, ownerKilled)...)
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			r := newCellTestbed(t, seed, 3, harness.FleetText)
			random := rand.New(rand.NewPCG(seed, 5))
			r.runUnderFaults(func(ctx context.Context) {
				go r.submitUntil(ctx, "sorting-run", 300*time.Millisecond, shortRuns(random))
				r.submitUntil(ctx, "label-batch", 150*time.Millisecond, func() int64 { return 500 })
			}, s.concurrent, s.faults...)
			r.checkCapacity()
			r.checkNoDuplicates()
		})
	}
}
