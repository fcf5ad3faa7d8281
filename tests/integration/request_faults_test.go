package integration

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"bamboospread/internal/standin/storer"
	"bamboospread/tests/proxy"
)

// fault is a fault that a scenario injects with begin and undoes with end.
type fault struct {
	name  string
	begin func(b *requestTestbed, random *rand.Rand)
	end   func(b *requestTestbed)
}

// resumeAll resumes every process that may be paused.
func (b *requestTestbed) resumeAll() {
	for _, e := range b.Entries {
		e.Resume()
	}
	for _, vm := range b.VMs {
		vm.Agent.Resume()
		vm.Upstream.Resume()
	}
}

func (b *requestTestbed) randomVM(random *rand.Rand) int    { return random.IntN(len(b.VMs)) }
func (b *requestTestbed) randomEntry(random *rand.Rand) int { return random.IntN(len(b.Entries)) }

func (b *requestTestbed) setAgentFaults(vm int, f proxy.Faults) {
	for _, e := range b.Entries {
		e.RPCLink.SetFor(b.VMs[vm].Agent.Name, f)
	}
}

// requestFaults returns the faults on the path of a request. Each affects a random
// process or link.
func requestFaults() []fault {
	noop := func(*requestTestbed) {}
	resetLinks := func(b *requestTestbed) {
		for _, e := range b.Entries {
			e.RPCLink.Reset()
			e.StoreLink.Reset()
		}
	}
	link := func(name string, f proxy.Faults) fault {
		return fault{name, func(b *requestTestbed, random *rand.Rand) { b.setAgentFaults(b.randomVM(random), f) }, resetLinks}
	}
	return []fault{
		{"kill entry", func(b *requestTestbed, random *rand.Rand) { b.Entries[b.randomEntry(random)].Restart() }, noop},
		{"kill agent", func(b *requestTestbed, random *rand.Rand) { b.VMs[b.randomVM(random)].Agent.Restart() }, noop},
		{"kill upstream", func(b *requestTestbed, random *rand.Rand) { b.VMs[b.randomVM(random)].Upstream.Restart() }, noop},
		{"freeze entry", func(b *requestTestbed, random *rand.Rand) { b.Entries[b.randomEntry(random)].Pause() }, (*requestTestbed).resumeAll},
		{"freeze agent", func(b *requestTestbed, random *rand.Rand) { b.VMs[b.randomVM(random)].Agent.Pause() }, (*requestTestbed).resumeAll},
		{"freeze upstream", func(b *requestTestbed, random *rand.Rand) { b.VMs[b.randomVM(random)].Upstream.Pause() }, (*requestTestbed).resumeAll},
		link("cut agent", proxy.Faults{Cut: proxy.BothDirections}),
		link("cut agent's answers", proxy.Faults{Cut: proxy.ToServer}),
		link("reset agent's links", proxy.Faults{Refuse: true}),
		link("hold agent's requests", proxy.Faults{Hold: proxy.ToClient}),
		link("slow link", proxy.Faults{Delay: 80 * time.Millisecond, BytesPerSec: 200 << 10}),
		{"store outage", func(b *requestTestbed, _ *rand.Rand) { b.SetStore(storer.Faults{Down: true}) }, func(b *requestTestbed) { b.SetStore(storer.Faults{}) }},
		{"store loses answers", func(b *requestTestbed, _ *rand.Rand) { b.SetStore(storer.Faults{LoseAnswers: 0.3}) }, func(b *requestTestbed) { b.SetStore(storer.Faults{}) }},
	}
}

// randomPairs is how many pairs of faults a test draws from its seed.
const randomPairs = 3

// scenarios returns each fault alone, some random pairs, and the pairs named.
func (b *requestTestbed) scenarios(named ...[2]string) [][]fault {
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
	for range randomPairs {
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

// runScenarios injects the scenarios one after the other, each under the load of run, and
// passes the responses of each to check.
func (b *requestTestbed) runScenarios(scenarios [][]fault, run func() (stop func() []response), check func(t *testing.T, all []response)) []response {
	random := rand.New(rand.NewPCG(b.seed, 7))
	var total []response
	for _, faults := range scenarios {
		stop := run()
		time.Sleep(faultDuration / 4)
		for _, f := range faults {
			f.begin(b, random)
		}
		time.Sleep(faultDuration)
		for _, f := range faults {
			f.end(b)
		}
		time.Sleep(faultDuration / 4)
		all := stop()
		total = append(total, all...)
		b.t.Run(nameOf(faults), func(t *testing.T) {
			t.Log(summarize(all))
			check(t, all)
		})
		b.awaitRecovery()
	}
	return total
}
