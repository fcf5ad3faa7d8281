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
	burstShortest = 6 * time.Second
	burstLongest  = 9 * time.Second
	faultLongest  = 4 * time.Second
	grantOver     = 7 * time.Second         // past every lease
	ackLimit      = 1500 * time.Millisecond // that a fault waits for cancellations
	fewestStrikes = 4                       // of a burst
	mostStrikes   = 10
	ownerReplaced = 3500 * time.Millisecond
	mostCancelled = 4 // at a time
	longestSeries = 4 // of one fault, time after time
)

// fault is something that begins and ends.
type fault struct {
	name  string
	begin func() (end func())
}

// kinds are the faults that are drawn, each with how often.
var kinds = []struct {
	weight int
	draw   func(b *bed, r *rand.Rand) fault
}{
	{4, func(b *bed, r *rand.Rand) fault { return ending(r, "entries and agents", b.entries, b.agents) }},
	{1, func(b *bed, r *rand.Rand) fault { return ending(r, "everything", b.entries, b.agents, b.workers) }},
	{2, func(b *bed, r *rand.Rand) fault { return ending(r, "agents", b.agents) }},
	{2, func(b *bed, r *rand.Rand) fault { return ending(r, "entries", b.entries) }},
	{3, func(b *bed, r *rand.Rand) fault { return ending(r, "an entry", some(r, b.entries, 1)) }},
	{3, func(b *bed, r *rand.Rand) fault { return ending(r, "an agent", some(r, b.agents, 1)) }},
	{2, func(b *bed, r *rand.Rand) fault { return ending(r, "an executor", some(r, b.workers, 1)) }},
	{2, func(b *bed, r *rand.Rand) fault {
		i := r.IntN(jobVMs)
		return ending(r, "a VM", b.agents[i:i+1], b.workers[i:i+1])
	}},
	{1, func(b *bed, r *rand.Rand) fault { return rolling(b, r, "entries", b.entries) }},
	{1, func(b *bed, r *rand.Rand) fault { return rolling(b, r, "agents", b.agents) }},
	{3, func(b *bed, r *rand.Rand) fault { return freezing("entries", some(r, b.entries, 1+r.IntN(2))) }},
	{3, func(b *bed, r *rand.Rand) fault { return freezing("agents", some(r, b.agents, 1+r.IntN(jobVMs))) }},
	{1, func(b *bed, r *rand.Rand) fault { return freezing("executors", some(r, b.workers, 1+r.IntN(2))) }},
	{4, takeover},
	{6, func(b *bed, r *rand.Rand) fault { return linking(r, "entries and agents", b.agentLinks) }},
	{4, func(b *bed, r *rand.Rand) fault { return linking(r, "entries and store", b.storeLinks) }},
	{4, func(b *bed, r *rand.Rand) fault { return linking(r, "agents and executors", b.workerLinks) }},
	{2, func(b *bed, r *rand.Rand) fault { return linking(r, "callers and entries", b.callerLinks) }},
	{6, func(b *bed, r *rand.Rand) fault {
		f := storeFaults[r.IntN(len(storeFaults))]
		return fault{fmt.Sprintf("store %+v", f), func() func() { return b.store.put(f) }}
	}},
	{5, func(b *bed, r *rand.Rand) fault {
		f := executorFaults[r.IntN(len(executorFaults))]
		return putting(fmt.Sprintf("executors %+v", f), some(r, b.machines, 1+r.IntN(jobVMs)), f)
	}},
}

var storeFaults = []storer.Faults{
	{Down: true}, {Down: true}, {Down: true, PauseLeases: true}, {DropHistory: true}, {LoseAnswers: 0.3}, {LoseAnswers: 0.8}, {DelayMillis: 200}, {DelayMillis: 700},
}

var executorFaults = []executor.Faults{
	{Refuse: true}, {Silent: true}, {LateMillis: 800}, {LateMillis: 3000}, {Leaving: true}, {SpeedPercent: 20}, {RebornNow: true}, {HoldProgress: true}, {RebornNow: true, LateMillis: 1500},
}

var linkFaults = []proxy.Faults{
	{Delay: 60 * time.Millisecond}, {Delay: 350 * time.Millisecond}, {Refuse: true}, {Cut: proxy.ToServer}, {Cut: proxy.ToClient}, {Cut: proxy.BothDirections}, {Hold: proxy.ToServer}, {Hold: proxy.ToClient}, {Hold: proxy.BothDirections}, {DropAnswers: true},
}

// some draws n of all.
func some[T any](r *rand.Rand, all []T, n int) []T {
	drawn := slices.Clone(all)
	r.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:min(n, len(drawn))]
}

// ending ends processes at once and starts them again.
func ending(r *rand.Rand, name string, groups ...[]*member) fault {
	all, graceful := slices.Concat(groups...), r.IntN(4) == 0
	return fault{fmt.Sprintf("%s ended, graceful %v", name, graceful), func() func() {
		each(all, func(m *member) { m.end(graceful) })
		return func() { each(all, (*member).begin) }
	}}
}

// rolling ends and starts processes one after the other.
func rolling(b *bed, r *rand.Rand, name string, all []*member) fault {
	gap, graceful := time.Duration(r.Int64N(int64(time.Second))), r.IntN(2) == 0
	return fault{fmt.Sprintf("%s ended in turn, graceful %v, gap %s", name, graceful, gap), func() func() {
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for _, m := range all {
				m.end(graceful)
				wait(b.t.Context(), gap/2)
				m.begin()
				wait(b.t.Context(), gap)
			}
		}()
		return func() { <-ended }
	}}
}

func each[T any](all []T, do func(T)) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for _, one := range all {
		calls.Go(func() { do(one) })
	}
}

func freezing(name string, all []*member) fault {
	return fault{fmt.Sprintf("%d %s frozen", len(all), name), func() func() {
		each(all, (*member).freeze)
		return func() { each(all, (*member).thaw) }
	}}
}

// takeover replaces the agents and freezes an entry while starts are on their way that
// nobody knows of any more: they come to executors just as another entry takes over and
// the first looks under its epoch are held up.
func takeover(b *bed, r *rand.Rand) fault {
	e, lead := b.entries[r.IntN(len(b.entries))], time.Duration(r.Int64N(int64(2*time.Second)))
	late := executor.Faults{LateMillis: 1500 + r.Int64N(2500)}
	heldAfter := ownerReplaced/3 + time.Duration(r.Int64N(int64(ownerReplaced/2)))
	name := fmt.Sprintf("%s frozen and agents replaced %s after starts are late by %d ms, looks held %s later", e.Name, lead, late.LateMillis, heldAfter)
	return fault{name, func() func() {
		lateEnd := putting("", b.machines, late).begin()
		wait(b.t.Context(), lead)
		e.freeze()
		frozen, held := time.After(ownerReplaced), time.After(heldAfter)
		each(b.agents, func(m *member) { m.end(false) })
		lateEnd()
		each(b.agents, (*member).begin)
		<-held
		heldEnd := putting("", b.workerLinks, proxy.Faults{Hold: proxy.ToServer}).begin()
		return func() { <-frozen; e.thaw(); heldEnd() }
	}}
}

func linking(r *rand.Rand, name string, links []*stack[proxy.Faults]) fault {
	f := linkFaults[r.IntN(len(linkFaults))]
	n := 1 + r.IntN(len(links))
	if r.IntN(3) == 0 {
		n = len(links)
	}
	return putting(fmt.Sprintf("%d links of %s %+v", n, name, f), some(r, links, n), f)
}

func putting[F any](name string, places []*stack[F], f F) fault {
	return fault{name, func() func() {
		var mu sync.Mutex
		var ends []func()
		each(places, func(s *stack[F]) {
			end := s.put(f)
			mu.Lock()
			defer mu.Unlock()
			ends = append(ends, end)
		})
		return func() { each(ends, func(end func()) { end() }) }
	}}
}

// strike is a fault, or a series of it, with the cancellations around each.
type strike struct {
	fault
	times                  int
	at, lasts              time.Duration
	before, during, behind int           // how many jobs are cancelled
	gap                    time.Duration // between a cancellation and what is next to it
	into                   time.Duration // from the beginning to a cancellation during it
}

func drawStrike(b *bed, r *rand.Rand, burst time.Duration) strike {
	sum := 0
	for _, k := range kinds {
		sum += k.weight
	}
	drawn := r.IntN(sum)
	var s strike
	for _, k := range kinds {
		if drawn -= k.weight; drawn < 0 {
			s.fault = k.draw(b, r)
			break
		}
	}
	longest := faultLongest
	if r.IntN(8) == 0 {
		longest = grantOver
	}
	s.times = 1
	if r.IntN(3) == 0 {
		s.times, longest = 2+r.IntN(longestSeries-1), longest/longestSeries
	}
	s.lasts = 20*time.Millisecond + time.Duration(r.Int64N(int64(longest)))
	if r.IntN(3) == 0 {
		s.lasts /= 10
	}
	s.at = time.Duration(r.Int64N(int64(max(burst-s.lasts*time.Duration(s.times), time.Second))))
	for _, n := range []*int{&s.before, &s.during, &s.behind} {
		if r.IntN(2) == 0 {
			*n = 1 + r.IntN(mostCancelled)
		}
	}
	if s.into = time.Duration(r.Int64N(int64(s.lasts))); r.IntN(2) == 0 {
		s.into /= 10
	}
	if s.gap = time.Duration(r.Int64N(int64(500 * time.Millisecond))); r.IntN(2) == 0 {
		s.gap /= 20
	}
	return s
}

// burst draws faults that overlap and carries them out; it returns once all have
// ended. Cancellations go on until limit ends.
func (b *bed) burst(ctx, limit context.Context, r *rand.Rand) {
	lasts := burstShortest + time.Duration(r.Int64N(int64(burstLongest-burstShortest)))
	var strikes sync.WaitGroup
	for range fewestStrikes + r.IntN(mostStrikes-fewestStrikes+1) {
		s, c := drawStrike(b, r, lasts), b.callers[r.IntN(len(b.callers))]
		strikes.Go(func() {
			wait(ctx, s.at)
			for range s.times {
				b.strike(limit, s, c)
			}
		})
	}
	strikes.Wait()
	// Twice: what a process was told while it was frozen comes late.
	for range 2 {
		each(b.machines, func(s *stack[executor.Faults]) { s.put(executor.Faults{})() })
		b.store.put(storer.Faults{})()
		wait(limit, thawBound)
	}
}

func (b *bed) strike(limit context.Context, s strike, c *caller) {
	b.cancelWithin(limit, c, s.before)
	wait(limit, s.gap)
	b.note("begin %s for %s", s.name, s.lasts)
	end := s.begin()
	if s.during > 0 {
		b.faulty.Go(func() { wait(limit, s.into); c.cancelSome(limit, s.during) })
	}
	wait(limit, s.lasts)
	end()
	b.note("end %s", s.name)
	if s.behind > 0 {
		b.faulty.Go(func() { wait(limit, s.gap); c.cancelSome(limit, s.behind) })
	}
}

// cancelWithin cancels jobs and returns once that is acknowledged, or goes on behind.
func (b *bed) cancelWithin(limit context.Context, c *caller, n int) {
	if n == 0 {
		return
	}
	acked := make(chan struct{})
	b.faulty.Go(func() { defer close(acked); c.cancelSome(limit, n) })
	select {
	case <-acked:
	case <-time.After(ackLimit):
	}
}
