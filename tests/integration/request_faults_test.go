package integration

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"bamboospread/internal/standin/storer"
	"bamboospread/tests/proxy"
)

// fault is a failure that a scenario causes; end undoes it.
type fault struct {
	name  string
	begin func(b *requestBed, random *rand.Rand)
	end   func(b *requestBed)
}

// resumeAll wakes every process that may stand still.
func (b *requestBed) resumeAll() {
	for _, e := range b.Entries {
		e.Resume()
	}
	for _, vm := range b.VMs {
		vm.Agent.Resume()
		vm.Upstream.Resume()
	}
}

func (b *requestBed) anyVM(random *rand.Rand) int    { return random.IntN(len(b.VMs)) }
func (b *requestBed) anyEntry(random *rand.Rand) int { return random.IntN(len(b.Entries)) }

func (b *requestBed) agentLink(vm int, f proxy.Faults) {
	for _, e := range b.Entries {
		e.RPCLink.SetFor(b.VMs[vm].Agent.Name, f)
	}
}

// requestFaults are the faults of a request's path. Each hits a process or link
// chosen at random.
func requestFaults() []fault {
	nothing := func(*requestBed) {}
	heal := func(b *requestBed) {
		for _, e := range b.Entries {
			e.RPCLink.Reset()
			e.StoreLink.Reset()
		}
	}
	link := func(name string, f proxy.Faults) fault {
		return fault{name, func(b *requestBed, random *rand.Rand) { b.agentLink(b.anyVM(random), f) }, heal}
	}
	return []fault{
		{"kill entry", func(b *requestBed, random *rand.Rand) { b.Entries[b.anyEntry(random)].Restart() }, nothing},
		{"kill agent", func(b *requestBed, random *rand.Rand) { b.VMs[b.anyVM(random)].Agent.Restart() }, nothing},
		{"kill upstream", func(b *requestBed, random *rand.Rand) { b.VMs[b.anyVM(random)].Upstream.Restart() }, nothing},
		{"freeze entry", func(b *requestBed, random *rand.Rand) { b.Entries[b.anyEntry(random)].Pause() }, (*requestBed).resumeAll},
		{"freeze agent", func(b *requestBed, random *rand.Rand) { b.VMs[b.anyVM(random)].Agent.Pause() }, (*requestBed).resumeAll},
		{"freeze upstream", func(b *requestBed, random *rand.Rand) { b.VMs[b.anyVM(random)].Upstream.Pause() }, (*requestBed).resumeAll},
		link("cut agent", proxy.Faults{Cut: proxy.BothDirections}),
		link("cut agent's answers", proxy.Faults{Cut: proxy.ToServer}),
		link("reset agent's links", proxy.Faults{Refuse: true}),
		link("hold agent's requests", proxy.Faults{Hold: proxy.ToClient}),
		link("slow link", proxy.Faults{Delay: 80 * time.Millisecond, BytesPerSec: 200 << 10}),
		{"store outage", func(b *requestBed, _ *rand.Rand) { b.SetStore(storer.Faults{Down: true}) }, func(b *requestBed) { b.SetStore(storer.Faults{}) }},
		{"store loses answers", func(b *requestBed, _ *rand.Rand) { b.SetStore(storer.Faults{LoseAnswers: 0.3}) }, func(b *requestBed) { b.SetStore(storer.Faults{}) }},
	}
}

// pairs is how many pairs of faults a test causes, chosen by its seed.
const pairs = 3

// scenarios are all faults alone, some two at a time, and the pairs named.
func (b *requestBed) scenarios(named ...[2]string) [][]fault {
	all := requestFaults()
	find := func(name string) fault {
		for _, f := range all {
			if f.name == name {
				return f
			}
		}
		b.t.Fatalf("no fault %q", name)
		return fault{}
	}
	random := rand.New(rand.NewPCG(b.seed, 99))
	var list [][]fault
	for _, f := range all {
		list = append(list, []fault{f})
	}
	for range pairs {
		i := random.IntN(len(all))
		j := (i + 1 + random.IntN(len(all)-1)) % len(all)
		list = append(list, []fault{all[i], all[j]})
	}
	for _, pair := range named {
		list = append(list, []fault{find(pair[0]), find(pair[1])})
	}
	return list
}

func nameOf(faults []fault) string {
	var names []string
	for _, f := range faults {
		names = append(names, f.name)
	}
	return strings.Join(names, " and ")
}

// each causes one scenario after the other while run is under way for each, and
// hands its answers to check.
func (b *requestBed) each(scenarios [][]fault, run func() (stop func() []got), check func(t *testing.T, all []got)) []got {
	random := rand.New(rand.NewPCG(b.seed, 7))
	var total []got
	for _, faults := range scenarios {
		stop := run()
		time.Sleep(faultLength / 4)
		for _, f := range faults {
			f.begin(b, random)
		}
		time.Sleep(faultLength)
		for _, f := range faults {
			f.end(b)
		}
		time.Sleep(faultLength / 4)
		all := stop()
		total = append(total, all...)
		b.t.Run(nameOf(faults), func(t *testing.T) {
			t.Log(summarise(all))
			check(t, all)
		})
		b.recover()
	}
	return total
}
