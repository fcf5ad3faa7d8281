package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"bamboospread/internal/fleet/describer"
)

// user is one of the two users, with its VM sizes, task classes and policy.
type user struct {
	name    string
	zones   int
	total   describer.Resources // of a VM
	service describer.Service
	classes []class
	policy  describer.Policy
}

// class is a task class and its share of the arriving work.
type class struct {
	name         string
	tenant       string
	needs        describer.Resources
	runTime      time.Duration // declared
	work         float64       // share of the arriving work, in processor time
	noCheckpoint bool          // cannot be checkpointed
	inWaves      bool
	longRunning  bool
}

const (
	vmCount    = 11
	vmsPerRack = 3
	gib        = 1 << 30
)

func resources(millicores, gibs int64) describer.Resources {
	return describer.Resources{Millicores: millicores, MemoryBytes: gibs * gib}
}

// users returns Caroni, whose policy weights throughput and evictions, and Sneeuwpeil,
// whose policy weights tail latency.
func users() []user {
	return []user{
		{
			name: "caroni", zones: 4, total: resources(32000, 125),
			service: describer.Service{Name: "labels", Tenant: "packhouse", Needs: resources(8000, 16), Slots: 8, Connections: 64, LatencyObjective: 400 * time.Millisecond},
			classes: []class{
				{name: "label-batch", tenant: "packhouse", needs: resources(2000, 4), runTime: time.Minute, work: 0.3, inWaves: true},
				{name: "sorting-run", tenant: "sorting", needs: resources(4000, 12), runTime: 3 * time.Minute, work: 0.3},
				{name: "print-watch", tenant: "packhouse", needs: resources(500, 1), runTime: 20 * time.Minute, work: 0.05, longRunning: true},
				{name: "manifest", tenant: "export", needs: resources(1000, 2), runTime: 30 * time.Second, work: 0.1, noCheckpoint: true},
				{name: "photo-check", tenant: "sorting", needs: resources(3000, 8), runTime: 2 * time.Minute, work: 0.15, inWaves: true},
				{name: "trace-index", tenant: "export", needs: resources(8000, 24), runTime: 5 * time.Minute, work: 0.1},
			},
			policy: describer.Policy{TailLatencyWeight: 1, ThroughputWeight: 2, EvictionWeight: 2, EvictionsPerMinute: 6},
		},
		{
			name: "sneeuwpeil", zones: 3, total: resources(64000, 250),
			service: describer.Service{Name: "depth", Tenant: "lookup", Needs: resources(16000, 32), Slots: 8, Connections: 64, LatencyObjective: 150 * time.Millisecond},
			classes: []class{
				{name: "report-render", tenant: "reports", needs: resources(4000, 8), runTime: time.Minute, work: 0.3, inWaves: true},
				{name: "upload-check", tenant: "uploads", needs: resources(2000, 4), runTime: 40 * time.Second, work: 0.15, inWaves: true},
				{name: "forecast", tenant: "reports", needs: resources(16000, 64), runTime: 6 * time.Minute, work: 0.2},
				{name: "map-tiles", tenant: "agencies", needs: resources(6000, 16), runTime: 2 * time.Minute, work: 0.2},
				{name: "archive", tenant: "uploads", needs: resources(2000, 16), runTime: 4 * time.Minute, work: 0.1, noCheckpoint: true},
				{name: "feed-watch", tenant: "agencies", needs: resources(1000, 2), runTime: 20 * time.Minute, work: 0.05, longRunning: true},
			},
			policy: describer.Policy{TailLatencyWeight: 4, ThroughputWeight: 1, EvictionWeight: 1, EvictionsPerMinute: 6},
		},
	}
}

// fleet returns the user's fleet with the given zones out.
func (u user) fleet(zonesOut map[string]bool, policy describer.Policy) *describer.Fleet {
	c := describer.Config{Name: u.name, Services: []describer.Service{u.service}, Policy: policy}
	for z := range u.zones {
		zone := describer.Zone{Name: zoneName(z), State: describer.ZoneIn}
		if zonesOut[zone.Name] {
			zone.State = describer.ZoneOut
		}
		c.Zones = append(c.Zones, zone)
	}
	seen := make(map[string]bool)
	for _, cl := range u.classes {
		c.TaskClasses = append(c.TaskClasses, describer.TaskClass{Name: cl.name, Needs: cl.needs, RunTime: cl.runTime, Checkpoint: !cl.noCheckpoint})
		if !seen[cl.tenant] {
			seen[cl.tenant] = true
			c.Tenants = append(c.Tenants, describer.Tenant{Name: cl.tenant, Weight: 1})
		}
	}
	return describer.New(c)
}

func zoneName(z int) string { return fmt.Sprintf("zone-%c", 'a'+z) }

// truth is the ground truth of a seed, which the placement policies do not know.
type truth struct {
	effect        []float64 // logarithm of the slowdown by one task of each class at full load
	shiftedEffect []float64 // the same after the shift
	usage         []float64 // used processors relative to the declared ones
	arrivals      []arrival
	surges        []surge
}

// arrival is a task with its true run time.
type arrival struct {
	at      time.Duration
	class   int
	runTime float64 // seconds of work without throttling and contention
	effect  float64 // factor on the effect of its class
}

// surge is a period of higher load on the service.
type surge struct{ from, to time.Duration }

// Parameters of the distributions from which the ground truth is drawn.
const (
	effectOfFullVM = 0.8 // expected sum of the effects on a VM that is fully committed to an even mix of classes
	effectSpread   = 1.1 // standard deviation of the logarithm between classes
	taskSpread     = 0.3 // the same between the tasks of a class
	usageSpread    = 0.35
	runTimeSpread  = 0.7
	demandRatio    = 1.2 // arriving work relative to the capacity of the pool
	waveShare      = 0.5 // share of the tasks of a class with inWaves that arrive in waves
	waveInterval   = 8 * time.Minute
	surgeInterval  = 10 * time.Minute
	surgeLength    = 90 * time.Second
)

func drawTruth(u user, seed uint64, length time.Duration) truth {
	rng := rand.New(rand.NewPCG(seed, 0xbead))
	tr := truth{}
	free := u.total.Sub(u.service.Needs)
	for _, c := range u.classes {
		share := float64(c.needs.Millicores) / float64(free.Millicores)
		draw := func() float64 {
			return effectOfFullVM * share * math.Exp(effectSpread*rng.NormFloat64()-effectSpread*effectSpread/2)
		}
		first := draw()
		then := first
		if rng.Float64() < 1.0/3 {
			then = draw()
		}
		tr.effect, tr.shiftedEffect = append(tr.effect, first), append(tr.shiftedEffect, then)
		tr.usage = append(tr.usage, min(2, math.Exp(usageSpread*rng.NormFloat64())))
	}
	for i, c := range u.classes {
		tr.arrivals = append(tr.arrivals, drawArrivals(rng, u, i, c, length)...)
	}
	sort.SliceStable(tr.arrivals, func(i, j int) bool { return tr.arrivals[i].at < tr.arrivals[j].at })
	for at := time.Duration(rng.Int64N(int64(surgeInterval))); at < length; at += surgeInterval/2 + time.Duration(rng.Int64N(int64(surgeInterval))) {
		tr.surges = append(tr.surges, surge{at, at + surgeLength})
	}
	return tr
}

// drawArrivals draws the tasks of a class. They arrive at random times or, with inWaves,
// partly in waves.
func drawArrivals(rng *rand.Rand, u user, index int, c class, length time.Duration) []arrival {
	free := float64(vmCount) * float64(u.total.Millicores-u.service.Needs.Millicores)
	perTask := float64(c.needs.Millicores) * c.runTime.Seconds()
	n := int(demandRatio * free * c.work * length.Seconds() / perTask)
	factor := math.Exp(runTimeSpread*rng.NormFloat64()/2 - runTimeSpread*runTimeSpread/8)
	waves := int(length / waveInterval)
	offset := time.Duration(rng.Int64N(int64(waveInterval)))
	var list []arrival
	for range n {
		at := time.Duration(rng.Int64N(int64(length)))
		if c.inWaves && rng.Float64() < waveShare {
			at = offset + time.Duration(rng.IntN(waves))*waveInterval + time.Duration(rng.Int64N(int64(20*time.Second)))
		}
		list = append(list, arrival{
			at: at, class: index, effect: math.Exp(taskSpread * rng.NormFloat64()),
			runTime: c.runTime.Seconds() * factor * math.Exp(runTimeSpread*rng.NormFloat64()-runTimeSpread*runTimeSpread/2),
		})
	}
	return list
}
