package integration

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"bamboospread/tests/harness"
)

// scenario is a set of faults, made one after the other or at once.
type scenario struct {
	name     string
	together bool
	faults   []cellFault
}

func alone(f cellFault) scenario { return scenario{name: f.name, faults: []cellFault{f}} }

func together(a, b cellFault) scenario {
	return scenario{name: a.name + ", and " + b.name, together: true, faults: []cellFault{a, b}}
}

// drawPairs returns two faults at once, as the seed has it.
func drawPairs(seed uint64, n int, from ...cellFault) []scenario {
	random := rand.New(rand.NewPCG(seed, 3))
	var out []scenario
	for range n {
		pair := random.Perm(len(from))[:2]
		out = append(out, together(from[pair[0]], from[pair[1]]))
	}
	return out
}

func shortRuns(random *rand.Rand) func() int64 {
	return func() int64 { return 200 + random.Int64N(1800) }
}

// longRuns outlast the leases, so that a task that is restarted too early or
// ended too late is seen.
func longRuns(random *rand.Rand) func() int64 {
	return func() int64 {
		if random.IntN(4) == 0 {
			return 16000
		}
		return 1000 + random.Int64N(5000)
	}
}

// TestTaskNeverRunsTwice: a label batch whose owner, agent or VM goes away must
// not run in two places when that one comes back. Owners, agents and links fail
// while batches are submitted; what was paused or cut wakes with old orders and
// old leases in hand. A successor may restart a task only after the old place
// has surely ended it, which the workers' records show.
func TestTaskNeverRunsTwice(t *testing.T) {
	seed := harness.Seed(t)
	scenarios := append([]scenario{
		alone(ownerPaused), alone(agentPaused), alone(vmCut), alone(ownerIslanded),
		{name: "links cut one way", faults: []cellFault{vmSendsOnly, vmHearsOnly}},
		{name: "store slow, losing answers, down", faults: []cellFault{storeSlow, storeLoses, storeDown}},
		together(ownerKilled, agentKilled),
		together(ownerCutFromStore, vmHeld),
	}, drawPairs(seed, 1, ownerPaused, agentPaused, vmCut, vmHeld, ownerCutFromStore, storeLoses, ownerKilled)...)
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			r := newTrial(t, seed, 4, harness.FleetText)
			random := rand.New(rand.NewPCG(seed, 4))
			r.under(func(ctx context.Context) { r.submitUntil(ctx, "label-batch", 250*time.Millisecond, longRuns(random)) }, s.together, s.faults...)
			r.checkOnce()
			r.checkRoom()
		})
	}
}

// TestVMNeverOvercommitted: tasks and upstreams together must stay within each
// VM, while declared run times and sizes are far off, the queue is longer than
// the fleet, and two owners believe to own the cell at once. The workers refuse
// nothing; their records show what was committed at each start.
func TestVMNeverOvercommitted(t *testing.T) {
	seed := harness.Seed(t)
	scenarios := append([]scenario{
		{name: "declared sizes far off", faults: []cellFault{storeSlow}},
		{name: "two owners at once", together: true, faults: []cellFault{ownerPaused, agentKilled}},
		together(ownerCutFromStore, storeLoses),
		together(ownerKilled, zoneRace),
	}, drawPairs(seed, 1, ownerPaused, agentPaused, vmCut, vmHeld, storeLoses, zoneRace, ownerKilled)...)
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			r := newTrial(t, seed, 3, harness.FleetText)
			random := rand.New(rand.NewPCG(seed, 5))
			r.under(func(ctx context.Context) {
				go r.submitUntil(ctx, "sorting-run", 300*time.Millisecond, shortRuns(random))
				r.submitUntil(ctx, "label-batch", 150*time.Millisecond, func() int64 { return 500 })
			}, s.together, s.faults...)
			r.checkRoom()
			r.checkOnce()
		})
	}
}
