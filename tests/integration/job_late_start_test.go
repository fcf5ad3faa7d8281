package integration

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/standin/executor"
	"bamboospread/tests/harness"
	"bamboospread/tests/proxy"
)

const lateStartLoad = 12 * time.Second // how long jobs are submitted while starts are late

// pauses draws pauses. Those of the testbed belong to the goroutine that submits jobs.
type pauses struct{ random *rand.Rand }

func (p pauses) wait(ctx context.Context, from, to time.Duration) {
	wait(ctx, from+time.Duration(p.random.Int64N(int64(to-from))))
}

// countLogLines returns how many lines of the agents' logs contain all of the texts.
func (r *jobTestbed) countLogLines(texts ...string) (n int) {
	for _, vm := range r.JobVMs {
		for _, line := range vm.Agent.LogLines() {
			found := true
			for _, text := range texts {
				found = found && strings.Contains(line, text)
			}
			if found {
				n++
			}
		}
	}
	return n
}

// refuseInBursts makes an agent's connections be refused a few times, for less than it takes until the agent
// sends no starts.
func refuseInBursts(ctx context.Context, p pauses, vm *harness.JobVM) {
	const shortest, longest = 10 * time.Millisecond, 90 * time.Millisecond
	for range 4 {
		vm.ExecutorLink.Set(proxy.Faults{Unreachable: true})
		p.wait(ctx, shortest, longest)
		vm.ExecutorLink.Reset()
		p.wait(ctx, shortest, longest)
	}
}

// TestLateStartsBesideRefusedConnections guards against tasks that run twice: a start that counts as never
// sent, or as refused, must not be carried out, and one without an answer that is carried out late, beside
// connections that are refused, must not start its task a second time.
func TestLateStartsBesideRefusedConnections(t *testing.T) {
	const shortest, longest = 20 * time.Millisecond, 900 * time.Millisecond // around the time in which a start is valid
	hold, unreachable := proxy.Faults{Hold: proxy.ToServer}, proxy.Faults{Unreachable: true}
	for _, tt := range []struct {
		name   string
		inject func(ctx context.Context, p pauses, r *jobTestbed, vm *harness.JobVM)
	}{
		{"delivered while connections are refused", func(ctx context.Context, p pauses, _ *jobTestbed, vm *harness.JobVM) {
			vm.ExecutorFarLink.Set(hold)
			p.wait(ctx, shortest, longest)
			refuseInBursts(ctx, p, vm)
			vm.ExecutorLink.Set(unreachable)
			vm.ExecutorFarLink.Reset()
			p.wait(ctx, shortest, longest)
			vm.ExecutorLink.Reset()
			refuseInBursts(ctx, p, vm)
		}},
		{"delivered after connections are accepted again", func(ctx context.Context, p pauses, _ *jobTestbed, vm *harness.JobVM) {
			vm.ExecutorFarLink.Set(hold)
			p.wait(ctx, shortest, longest)
			vm.ExecutorLink.Set(unreachable)
			p.wait(ctx, shortest, longest)
			vm.ExecutorLink.Reset()
			p.wait(ctx, 0, longest)
			vm.ExecutorFarLink.Reset()
		}},
		{"delivered to the next life", func(ctx context.Context, p pauses, r *jobTestbed, vm *harness.JobVM) {
			vm.ExecutorFarLink.Set(hold)
			p.wait(ctx, shortest, longest)
			vm.ExecutorLink.Set(unreachable)
			if vm == r.JobVMs[0] { // of one VM only: tasks that see many crashes are given up
				r.Control(vm.ExecutorURL+"/control/faults", executor.Faults{NewIncarnation: true})
			}
			vm.ExecutorFarLink.Reset()
			p.wait(ctx, 0, longest)
			vm.ExecutorLink.Reset()
		}},
		{"answers lost, then refused", func(ctx context.Context, p pauses, _ *jobTestbed, vm *harness.JobVM) {
			vm.ExecutorFarLink.Set(proxy.Faults{DropAnswers: true})
			p.wait(ctx, shortest, longest)
			refuseInBursts(ctx, p, vm)
			vm.ExecutorFarLink.Reset()
			refuseInBursts(ctx, p, vm)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			seed := harness.Seed(t)
			r := newLinkedJobTestbed(t, seed, 3, "--lapse-time", lapseTime.String())
			ctx, cancel := context.WithTimeout(t.Context(), lateStartLoad)
			defer cancel()
			submitted := make(chan struct{})
			go func() { defer close(submitted); r.submitUntil(ctx) }()
			var injected sync.WaitGroup
			for n, vm := range r.JobVMs {
				p := pauses{rand.New(rand.NewPCG(seed, 12+uint64(n)))}
				injected.Go(func() {
					for ctx.Err() == nil {
						tt.inject(ctx, p, r, vm)
						p.wait(ctx, shortest, longest)
					}
				})
			}
			injected.Wait()
			<-submitted
			r.ClearFaults()
			r.awaitJobs()
			r.checkDuplicateRuns()
			r.checkOrder()
			r.checkCapacity()
			starts := 0
			for _, runs := range spans(r.JobEvents()) {
				starts += len(runs)
			}
			unanswered, notSent := r.countLogLines("start not answered"), r.countLogLines("start rejected", "worker unreachable")
			t.Logf("%d starts were carried out; %d were not answered, %d were not sent", starts, unanswered, notSent)
			if unanswered == 0 {
				t.Error("no start was without an answer")
			}
		})
	}
}
