package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bamboospread/internal/standin/executor"
	"bamboospread/internal/standin/storer"
	"bamboospread/tests/proxy"
)

const (
	minBurst           = 6 * time.Second
	maxBurst           = 9 * time.Second
	maxFault           = 4 * time.Second
	maxFaultPastLeases = 7 * time.Second         // longer than every lease
	ackLimit           = 1500 * time.Millisecond // how long an injection waits for the acknowledgement of its cancellations
	minInjections      = 4                       // per burst
	maxInjections      = 10
	takeoverTime       = 3500 * time.Millisecond
	maxCancelled       = 4 // at a time
	maxRepeats         = 4 // of one fault in a row
)

// fault is a fault that begin injects; the function that begin returns ends it.
type fault struct {
	name  string
	begin func() (end func())
}

// faultKinds are the faults to draw from, with their relative frequency.
var faultKinds = []struct {
	weight int
	draw   func(b *testbed, r *rand.Rand) fault
}{
	{4, func(b *testbed, r *rand.Rand) fault { return stopFault(r, "entries and agents", b.entries, b.agents) }},
	{1, func(b *testbed, r *rand.Rand) fault {
		return stopFault(r, "everything", b.entries, b.agents, b.executors)
	}},
	{2, func(b *testbed, r *rand.Rand) fault { return stopFault(r, "agents", b.agents) }},
	{2, func(b *testbed, r *rand.Rand) fault { return stopFault(r, "entries", b.entries) }},
	{3, func(b *testbed, r *rand.Rand) fault { return stopFault(r, "an entry", drawSome(r, b.entries, 1)) }},
	{3, func(b *testbed, r *rand.Rand) fault { return stopFault(r, "an agent", drawSome(r, b.agents, 1)) }},
	{2, func(b *testbed, r *rand.Rand) fault { return stopFault(r, "an executor", drawSome(r, b.executors, 1)) }},
	{2, func(b *testbed, r *rand.Rand) fault {
		i := r.IntN(jobVMs)
		return stopFault(r, "a VM", b.agents[i:i+1], b.executors[i:i+1])
	}},
	{1, func(b *testbed, r *rand.Rand) fault { return rollingRestartFault(b, r, "entries", b.entries) }},
	{1, func(b *testbed, r *rand.Rand) fault { return rollingRestartFault(b, r, "agents", b.agents) }},
	{3, func(b *testbed, r *rand.Rand) fault {
		return freezeFault("entries", drawSome(r, b.entries, 1+r.IntN(2)))
	}},
	{3, func(b *testbed, r *rand.Rand) fault {
		return freezeFault("agents", drawSome(r, b.agents, 1+r.IntN(jobVMs)))
	}},
	{1, func(b *testbed, r *rand.Rand) fault {
		return freezeFault("executors", drawSome(r, b.executors, 1+r.IntN(2)))
	}},
	{4, takeoverFault},
	{6, func(b *testbed, r *rand.Rand) fault { return linkFault(r, "entries and agents", b.agentLinks) }},
	{4, func(b *testbed, r *rand.Rand) fault { return linkFault(r, "entries and store", b.storeLinks) }},
	{4, func(b *testbed, r *rand.Rand) fault { return linkFault(r, "agents and executors", b.executorLinks) }},
	{2, func(b *testbed, r *rand.Rand) fault { return linkFault(r, "callers and entries", b.callerLinks) }},
	{6, func(b *testbed, r *rand.Rand) fault {
		f := storeFaults[r.IntN(len(storeFaults))]
		return fault{fmt.Sprintf("store %+v", f), func() func() { return b.storeStack.push(f) }}
	}},
	{5, func(b *testbed, r *rand.Rand) fault {
		f := executorFaults[r.IntN(len(executorFaults))]
		return pushFault(fmt.Sprintf("executors %+v", f), drawSome(r, b.executorStacks, 1+r.IntN(jobVMs)), f)
	}},
}

var storeFaults = []storer.Faults{
	{Down: true}, {Down: true}, {Down: true, PauseLeases: true}, {DropHistory: true}, {LoseAnswers: 0.3}, {LoseAnswers: 0.8}, {DelayMillis: 200}, {DelayMillis: 700},
}

var executorFaults = []executor.Faults{
	{Refuse: true}, {Silent: true}, {LateMillis: 800}, {LateMillis: 3000}, {Leaving: true}, {SpeedPercent: 20}, {NewIncarnation: true}, {HoldProgress: true}, {NewIncarnation: true, LateMillis: 1500},
}

var linkFaults = []proxy.Faults{
	{Delay: 60 * time.Millisecond}, {Delay: 350 * time.Millisecond}, {Refuse: true}, {Cut: proxy.ToServer}, {Cut: proxy.ToClient}, {Cut: proxy.BothDirections}, {Hold: proxy.ToServer}, {Hold: proxy.ToClient}, {Hold: proxy.BothDirections}, {DropAnswers: true},
}

// drawSome draws n elements of all.
func drawSome[T any](r *rand.Rand, all []T, n int) []T {
	drawn := slices.Clone(all)
	r.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:min(n, len(drawn))]
}

// stopFault stops processes concurrently and starts them again when the fault ends.
func stopFault(r *rand.Rand, name string, groups ...[]*managedProcess) fault {
	all, graceful := slices.Concat(groups...), r.IntN(4) == 0
	return fault{fmt.Sprintf("%s ended, graceful %v", name, graceful), func() func() {
		forEach(all, func(m *managedProcess) { m.stop(graceful) })
		return func() { forEach(all, (*managedProcess).start) }
	}}
}

// rollingRestartFault stops and starts processes one after the other.
func rollingRestartFault(b *testbed, r *rand.Rand, name string, all []*managedProcess) fault {
	gap, graceful := time.Duration(r.Int64N(int64(time.Second))), r.IntN(2) == 0
	return fault{fmt.Sprintf("%s ended in turn, graceful %v, gap %s", name, graceful, gap), func() func() {
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for _, m := range all {
				m.stop(graceful)
				wait(b.t.Context(), gap/2)
				m.start()
				wait(b.t.Context(), gap)
			}
		}()
		return func() { <-ended }
	}}
}

func forEach[T any](all []T, do func(T)) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for _, one := range all {
		calls.Go(func() { do(one) })
	}
}

func freezeFault(name string, all []*managedProcess) fault {
	return fault{fmt.Sprintf("%d %s frozen", len(all), name), func() func() {
		forEach(all, (*managedProcess).freeze)
		return func() { forEach(all, (*managedProcess).unfreeze) }
	}}
}

// takeoverFault freezes an entry and replaces the agents while starts are in flight, so
// that no process has a record of these starts any more. They reach the executors while
// another entry takes over and the first status polls under its epoch are delayed.
func takeoverFault(b *testbed, r *rand.Rand) fault {
	e, lead := b.entries[r.IntN(len(b.entries))], time.Duration(r.Int64N(int64(2*time.Second)))
	late := executor.Faults{LateMillis: 1500 + r.Int64N(2500)}
	heldAfter := takeoverTime/3 + time.Duration(r.Int64N(int64(takeoverTime/2)))
	name := fmt.Sprintf("%s frozen and agents replaced %s after starts are late by %d ms, status polls held %s later", e.Name, lead, late.LateMillis, heldAfter)
	return fault{name, func() func() {
		lateEnd := pushFault("", b.executorStacks, late).begin()
		wait(b.t.Context(), lead)
		e.freeze()
		frozen, held := time.After(takeoverTime), time.After(heldAfter)
		forEach(b.agents, func(m *managedProcess) { m.stop(false) })
		lateEnd()
		forEach(b.agents, (*managedProcess).start)
		<-held
		heldEnd := pushFault("", b.executorLinks, proxy.Faults{Hold: proxy.ToServer}).begin()
		return func() { <-frozen; e.unfreeze(); heldEnd() }
	}}
}

func linkFault(r *rand.Rand, name string, links []*faultStack[proxy.Faults]) fault {
	f := linkFaults[r.IntN(len(linkFaults))]
	n := 1 + r.IntN(len(links))
	if r.IntN(3) == 0 {
		n = len(links)
	}
	return pushFault(fmt.Sprintf("%d links of %s %+v", n, name, f), drawSome(r, links, n), f)
}

func pushFault[F any](name string, places []*faultStack[F], f F) fault {
	return fault{name, func() func() {
		var mu sync.Mutex
		var ends []func()
		forEach(places, func(s *faultStack[F]) {
			end := s.push(f)
			mu.Lock()
			defer mu.Unlock()
			ends = append(ends, end)
		})
		return func() { forEach(ends, func(end func()) { end() }) }
	}}
}

// injection is a fault that is injected once or several times, with cancellations
// before, during and after it.
type injection struct {
	fault
	repeats               int
	at, duration          time.Duration
	before, during, after int           // how many jobs are cancelled
	gap                   time.Duration // between a cancellation and what is next to it
	cancelOffset          time.Duration // from the beginning to a cancellation during it
}

func drawInjection(b *testbed, r *rand.Rand, burst time.Duration) (s injection) {
	sum := 0
	for _, k := range faultKinds {
		sum += k.weight
	}
	drawn := r.IntN(sum)
	for _, k := range faultKinds {
		if drawn -= k.weight; drawn < 0 {
			s.fault = k.draw(b, r)
			break
		}
	}
	s.drawSchedule(r, burst)
	return s
}

// drawSchedule draws when a fault is injected, how often, and what is cancelled near it.
func (s *injection) drawSchedule(r *rand.Rand, burst time.Duration) {
	longest := maxFault
	if r.IntN(8) == 0 {
		longest = maxFaultPastLeases
	}
	s.repeats = 1
	if r.IntN(3) == 0 {
		s.repeats, longest = 2+r.IntN(maxRepeats-1), longest/maxRepeats
	}
	s.duration = 20*time.Millisecond + time.Duration(r.Int64N(int64(longest)))
	if r.IntN(3) == 0 {
		s.duration /= 10
	}
	s.at = time.Duration(r.Int64N(int64(max(burst-s.duration*time.Duration(s.repeats), time.Second))))
	for _, n := range []*int{&s.before, &s.during, &s.after} {
		if r.IntN(2) == 0 {
			*n = 1 + r.IntN(maxCancelled)
		}
	}
	if s.cancelOffset = time.Duration(r.Int64N(int64(s.duration))); r.IntN(2) == 0 {
		s.cancelOffset /= 10
	}
	if s.gap = time.Duration(r.Int64N(int64(500 * time.Millisecond))); r.IntN(2) == 0 {
		s.gap /= 20
	}
}

// burst draws overlapping faults and injects them; it returns once all have ended.
// Cancellations are retried until seedCtx ends. Refusals of connections are drawn from a source of their own.
func (b *testbed) burst(ctx, seedCtx context.Context, r, refusing *rand.Rand) {
	duration := minBurst + time.Duration(r.Int64N(int64(maxBurst-minBurst)))
	var injections sync.WaitGroup
	start := func(s injection, c *caller) {
		injections.Go(func() {
			wait(ctx, s.at)
			for range s.repeats {
				b.inject(seedCtx, s, c)
			}
		})
	}
	for range minInjections + r.IntN(maxInjections-minInjections+1) {
		s, c := drawInjection(b, r, duration), b.callers[r.IntN(len(b.callers))]
		start(s, c)
	}
	for _, s := range b.drawRefusals(refusing, duration) {
		b.refusals += s.repeats
		start(s, b.callers[refusing.IntN(len(b.callers))])
	}
	injections.Wait()
	// Twice, since requests that were sent to a process while it was frozen arrive late.
	for range 2 {
		forEach(b.executorStacks, func(s *faultStack[executor.Faults]) { s.push(executor.Faults{})() })
		b.storeStack.push(storer.Faults{})()
		wait(seedCtx, unfreezeBound)
	}
}

func (b *testbed) inject(seedCtx context.Context, s injection, c *caller) {
	b.cancelWithin(seedCtx, c, s.before)
	wait(seedCtx, s.gap)
	b.logEvent("begin %s for %s", s.name, s.duration)
	end := s.begin()
	if s.during > 0 {
		b.background.Go(func() { wait(seedCtx, s.cancelOffset); c.cancelSome(seedCtx, s.during) })
	}
	wait(seedCtx, s.duration)
	end()
	b.logEvent("end %s", s.name)
	if s.after > 0 {
		b.background.Go(func() { wait(seedCtx, s.gap); c.cancelSome(seedCtx, s.after) })
	}
}

// cancelWithin cancels jobs and returns once that is acknowledged, at the latest after
// ackLimit; the cancellations then continue in the background.
func (b *testbed) cancelWithin(seedCtx context.Context, c *caller, n int) {
	if n == 0 {
		return
	}
	acked := make(chan struct{})
	b.background.Go(func() { defer close(acked); c.cancelSome(seedCtx, n) })
	select {
	case <-acked:
	case <-time.After(ackLimit):
	}
}
