package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"bamboospread/internal/standin/executor"
	"bamboospread/tests/harness"
	"bamboospread/tests/proxy"
)

const (
	maxRefusals       = 4                      // per burst
	maxLead           = 600 * time.Millisecond // from the beginning of a refusal to what happens to a process during it
	executorLinksName = "agents and executors"
)

// Half of them reset the open connections, the others leave them.
var refusals = []proxy.Faults{{Unreachable: true}, {RefuseNew: true}}

// refusedLinks are links of one kind on which connections are refused.
type refusedLinks struct {
	name  string
	links []*faultStack[proxy.Faults]
	// ends returns the processes at the ends of a link.
	ends func(i int) []*managedProcess
}

func (b *testbed) refusedLinks() []refusedLinks {
	entry := func(i int) []*managedProcess { return b.entries[i : i+1] }
	vm := func(i int) int { return i + len(b.agents) - len(b.executorLinks) } // the first ones have no link
	return []refusedLinks{
		{executorLinksName, b.executorLinks, func(i int) []*managedProcess { return []*managedProcess{b.agents[vm(i)], b.executors[vm(i)]} }},
		{"entries and agents", b.rpcLinks, func(i int) []*managedProcess { return append(entry(i), b.agents...) }},
		{"entries and store", b.storeLinks, entry},
		{"callers and entries", b.callerLinks, entry},
	}
}

// drawRefusals draws when connections are refused during a burst, at least once between agents and
// executors. Its random source is its own, so that the other faults of a seed do not depend on it.
func (b *testbed) drawRefusals(r *rand.Rand, burst time.Duration) (all []injection) {
	places := b.refusedLinks()
	place := places[0]
	for range 1 + r.IntN(maxRefusals) {
		s := injection{fault: b.refusalFault(r, place)}
		s.drawSchedule(r, burst)
		all, place = append(all, s), places[r.IntN(len(places))]
	}
	return all
}

// refusalFault refuses connections, in half of the cases while something happens to a process at one end.
func (b *testbed) refusalFault(r *rand.Rand, place refusedLinks) fault {
	f, all := refusals[r.IntN(len(refusals))], r.IntN(3) == 0
	order := r.Perm(len(place.links))
	if !all {
		order = order[:1+r.IntN(len(order))]
	}
	var links []*faultStack[proxy.Faults]
	for _, i := range order {
		links = append(links, place.links[i])
	}
	refused := pushFault(fmt.Sprintf("%d links of %s %+v", len(links), place.name, f), links, f)
	if r.IntN(2) == 0 {
		return refused
	}
	ends := place.ends(order[0])
	one := drawSome(r, ends, 1)
	switch kind := r.IntN(5); {
	case kind < 2:
		return b.overlapping(r, refused, stopFault(r, one[0].Name, one))
	case kind < 4 || place.name != executorLinksName:
		return b.overlapping(r, refused, freezeFault(one[0].Name, one))
	}
	stack := b.executorStacks[order[0]+len(b.executorStacks)-len(place.links)]
	return b.overlapping(r, refused, pushFault("new incarnation", []*faultStack[executor.Faults]{stack}, executor.Faults{NewIncarnation: true}))
}

// overlapping begins a second fault during the first; either may end first.
func (b *testbed) overlapping(r *rand.Rand, first, second fault) fault {
	lead, firstEndsFirst := time.Duration(r.Int64N(int64(maxLead))), r.IntN(2) == 0
	return fault{fmt.Sprintf("%s, %s later %s, first ends first %v", first.name, lead, second.name, firstEndsFirst), func() func() {
		endFirst := first.begin()
		wait(b.t.Context(), lead)
		endSecond := second.begin()
		return func() {
			if firstEndsFirst {
				endFirst()
				endSecond()
				return
			}
			endSecond()
			endFirst()
		}
	}}
}

// Guards against a soak that no longer refuses connections: each burst must do so between agents and
// executors, and all bursts together on each kind of link, with and without resets, beside other faults.
func TestRefusalsAreDrawn(t *testing.T) {
	stacks := func(n int) (all []*faultStack[proxy.Faults]) {
		for range n {
			all = append(all, newFaultStack(func(proxy.Faults) {}))
		}
		return all
	}
	processes := func(name string, n int) (all []*managedProcess) {
		for range n {
			all = append(all, &managedProcess{Process: &harness.Process{Name: name}})
		}
		return all
	}
	b := &testbed{
		t: t, entries: processes("entry", 2), agents: processes("agent", jobVMs), executors: processes("executor", jobVMs),
		executorLinks: stacks(jobVMs - 1), rpcLinks: stacks(2), storeLinks: stacks(2), callerLinks: stacks(2),
		executorStacks: make([]*faultStack[executor.Faults], jobVMs),
	}
	var names []string
	for seed := range uint64(100) {
		drawn := b.drawRefusals(rand.New(rand.NewPCG(seed, refusalSource)), minBurst)
		if !strings.Contains(drawn[0].name, executorLinksName) {
			t.Errorf("seed %d begins with %s", seed, drawn[0].name)
		}
		for _, s := range drawn {
			names = append(names, s.name)
		}
	}
	text := strings.Join(names, "\n")
	for _, place := range b.refusedLinks() {
		if !strings.Contains(text, place.name) {
			t.Errorf("no refusal on links of %s", place.name)
		}
	}
	for _, want := range []string{"Unreachable:true", "RefuseNew:true", "executor ended", "agent ended", "entry ended", "executor frozen", "agent frozen", "entry frozen", "new incarnation"} {
		if !strings.Contains(text, want) {
			t.Errorf("no %q", want)
		}
	}
}
