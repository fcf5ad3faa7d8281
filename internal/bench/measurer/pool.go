package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bamboospread/internal/control/learner"
	"bamboospread/internal/control/placer"
	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/wire/messenger"
)

// pool is a fake worker pool: it runs tasks in steps of a second, disturbs the
// service as the hidden truth says, and reports with a lag. It is no simulator
// of the system: orders arrive at once and no message is lost but reports.
type pool struct {
	user   user
	truth  truth
	now    time.Duration // since the start
	rng    *rand.Rand    // of measurements
	vms    []*vm
	tasks  map[string]*task
	load   float64
	loadOf func(now time.Duration) float64
	out    map[string]bool // zones that operators took out
	queue  []*task
	mail   []mail
	tally  tally
}

type vm struct {
	spec       placer.VM
	tasks      []*task
	placements []learner.Placement
	p99        float64 // as a ratio to the objective, now
	window     []float64
	silent     time.Duration // reports stop until then
	off        bool
}

type task struct {
	placer.Task
	arrival arrival
	done    float64 // seconds of work
	saved   float64 // work in the checkpoint
	warm    time.Duration
	stopped time.Duration // when the checkpoint is complete
	moves   int
}

type mail struct {
	at     time.Duration
	vm     *vm
	usage  messenger.Usage
	placed []learner.Placement
}

const (
	step           = time.Second
	reportEvery    = 5 * time.Second
	warmUp         = 4 * time.Second // of a started or resumed task, without progress
	checkpointTime = 3 * time.Second
	lostReports    = 0.05
	doubledReports = 0.02
	silentFor      = 4 * time.Minute
	baseRatio      = 0.42 // p99 of an undisturbed service without load, by its objective
	windowNoise    = 0.1
	sampleSpread   = 0.6 // of single answers: standard deviation of the logarithm
	ninetyNinth    = 2.326
	samplesPerStep = 20
)

var epoch = time.Date(2026, 12, 2, 6, 0, 0, 0, time.UTC)

func (p *pool) clock() time.Time { return epoch.Add(p.now) }

func newPool(u user, tr truth, seed uint64) *pool {
	p := &pool{user: u, truth: tr, rng: rand.New(rand.NewPCG(seed, 0xfeed)), tasks: make(map[string]*task), out: make(map[string]bool)}
	for i := range vmCount {
		p.vms = append(p.vms, &vm{spec: placer.VM{
			Name: fmt.Sprintf("vm-%02d", i), Zone: zoneName(i % u.zones), Rack: fmt.Sprintf("rack-%d", i/vmsPerRack),
			Total: u.total, Committed: u.service.Needs, Reachable: true, Services: []string{u.service.Name},
		}})
	}
	p.vms[1].silent = silentFor // a VM whose reports come only later
	p.tally = newTally()
	return p
}

// advance runs the pool for one step.
func (p *pool) advance() {
	p.now += step
	p.arrive()
	alive := 0
	for _, v := range p.vms {
		if !v.off && !p.out[v.spec.Zone] {
			alive++
		}
	}
	p.load = p.serviceLoad() * float64(vmCount) / float64(alive)
	for i, v := range p.vms {
		if v.off {
			continue
		}
		p.work(v)
		if !p.out[v.spec.Zone] { // callers are sent elsewhere
			p.answer(v)
		}
		if int(p.now/step+time.Duration(i))%int(reportEvery/step) == 0 {
			p.report(v)
		}
	}
}

func (p *pool) arrive() {
	for len(p.truth.arrivals) > 0 && p.truth.arrivals[0].at <= p.now {
		a := p.truth.arrivals[0]
		p.truth.arrivals = p.truth.arrivals[1:]
		c := p.user.classes[a.class]
		t := &task{arrival: a, Task: placer.Task{
			ID: fmt.Sprintf("%s-%d", c.name, len(p.tasks)), Tenant: c.tenant, Class: c.name, Needs: c.needs,
			Checkpoint: !c.fixed, Submitted: p.clock(),
		}}
		p.tasks[t.ID] = t
		p.queue = append(p.queue, t)
	}
}

// serviceLoad swings slowly and surges at random.
func (p *pool) serviceLoad() float64 {
	load := 0.5 + 0.25*math.Sin(2*math.Pi*p.now.Minutes()/30)
	for _, s := range p.truth.surges {
		if p.now >= s.from && p.now < s.to {
			load += 0.35
		}
	}
	return load
}

func (p *pool) effects() []float64 {
	if p.now > shiftAt {
		return p.truth.later
	}
	return p.truth.effect
}

// work moves the tasks of a VM on by a step and sets the latency of the service.
func (p *pool) work(v *vm) {
	used := float64(p.user.service.Needs.Millicores) * min(1, p.load)
	disturbance, held, slowed := 0.0, 0.0, 0.0
	for _, t := range v.tasks {
		s := share(t.Percent)
		used += float64(t.Needs.Millicores) * p.truth.usage[t.arrival.class] * s
		held += float64(t.Needs.Millicores)
		slowed += float64(t.Needs.Millicores) * (1 - s)
		disturbance += p.effects()[t.arrival.class] * t.arrival.effect * s * (0.6 + 0.8*p.load)
	}
	p.tally.hold(float64(v.spec.Total.Sub(p.user.service.Needs).Millicores), held, slowed)
	over := max(1, used/float64(v.spec.Total.Millicores))
	v.p99 = baseRatio * (1 + 0.6*p.load*p.load) * math.Exp(disturbance) * over * over
	v.window = append(v.window, v.p99)
	var rest []*task
	for _, t := range v.tasks {
		if !p.progress(v, t, share(t.Percent)/over) {
			rest = append(rest, t)
		}
	}
	v.tasks = rest
}

// progress moves a task on and tells whether it has left the VM.
func (p *pool) progress(v *vm, t *task, speed float64) bool {
	if t.Stopping {
		if p.now < t.stopped {
			return false
		}
		t.saved = t.done
		p.leave(v, t)
		p.queue = append(p.queue, t)
		return true
	}
	if p.now < t.warm {
		return false
	}
	t.done += speed * step.Seconds()
	if t.done < t.arrival.runTime {
		return false
	}
	p.leave(v, t)
	p.tally.complete(t, p.now)
	return true
}

func (p *pool) leave(v *vm, t *task) {
	v.spec.Committed = v.spec.Committed.Sub(t.Needs)
	v.endPlacement(t.ID, p.clock())
	t.VM, t.Stopping, t.Percent = "", false, 0
}

func (v *vm) endPlacement(id string, now time.Time) {
	for i := range v.placements {
		if pl := &v.placements[i]; pl.TaskID == id && pl.To.IsZero() {
			pl.To = now
		}
	}
}

func (p *pool) answer(v *vm) {
	for range int(samplesPerStep * p.load) {
		p.tally.answer(p.now, v.p99*math.Exp(sampleSpread*(p.rng.NormFloat64()-ninetyNinth)), v.p99)
	}
}

// report posts the measurement of the last window; it arrives later, sometimes
// twice or never.
func (p *pool) report(v *vm) {
	window := v.window
	v.window = nil
	if len(window) == 0 || p.now < v.silent || p.rng.Float64() < lostReports {
		return
	}
	ratio := 0.0
	for _, r := range window {
		ratio += r / float64(len(window))
	}
	ratio *= math.Exp(windowNoise * p.rng.NormFloat64())
	usage := messenger.Usage{
		FromMillis: p.clock().Add(-time.Duration(len(window)) * step).UnixMilli(), ToMillis: p.clock().UnixMilli(),
		Services: []messenger.ServiceLoad{{
			Service: p.user.service.Name, Requests: int64(300 * p.load),
			P99Micros: int64(ratio * float64(p.user.service.LatencyObjective.Microseconds())),
		}},
	}
	n := 1
	if p.rng.Float64() < doubledReports {
		n = 2
	}
	for range n {
		lag := 5*time.Second + time.Duration(p.rng.Int64N(int64(10*time.Second)))
		p.mail = append(p.mail, mail{at: p.now + lag, vm: v, usage: usage})
	}
}

// deliver hands the reports that are due to the learner.
func (p *pool) deliver(l *learner.Learner) {
	var rest []mail
	for _, m := range p.mail {
		if m.at > p.now {
			rest = append(rest, m)
			continue
		}
		l.Observe(m.vm.spec.Name, m.usage, m.vm.placements)
	}
	p.mail = rest
	for _, v := range p.vms {
		kept := v.placements[:0]
		for _, pl := range v.placements {
			if pl.To.IsZero() || p.clock().Sub(pl.To) < time.Minute {
				kept = append(kept, pl)
			}
		}
		v.placements = kept
	}
}

func share(percent int) float64 {
	if percent <= 0 {
		return 1
	}
	return float64(percent) / 100
}

// snapshot shows the pool as the owner of a cell sees it.
func (p *pool) snapshot(f *describer.Fleet, l *learner.Learner, evictions int) placer.Snapshot {
	s := placer.Snapshot{
		Now: p.clock(), Fleet: f, EvictionsLeft: evictions,
		Interference: l.Interference, Pressure: l.Pressure, Recent: l.Recent,
	}
	for _, v := range p.vms {
		s.VMs = append(s.VMs, v.spec)
		for _, t := range v.tasks {
			s.Placed = append(s.Placed, t.Task)
		}
	}
	for _, t := range p.queue {
		s.Queued = append(s.Queued, t.Task)
	}
	return s
}
