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

// pool is a simulated worker pool. It advances tasks in steps of a second, applies the
// interference of the ground truth to the service, and reports with a lag. It does not
// simulate the whole system: orders arrive immediately, and only reports can be lost.
type pool struct {
	user           user
	truth          truth
	now            time.Duration // since the start
	rng            *rand.Rand    // for measurements
	vms            []*vm
	tasks          map[string]*task
	load           float64
	loadOf         func(now time.Duration) float64
	zonesOut       map[string]bool // zones that operators took out
	queue          []*task
	pendingReports []delayedReport
	tally          tally
}

type vm struct {
	spec           placer.VM
	tasks          []*task
	placements     []learner.Placement
	p99            float64 // current ratio to the objective
	window         []float64
	noReportsUntil time.Duration
	off            bool
}

type task struct {
	placer.Task
	arrival        arrival
	done           float64       // completed seconds of work
	saved          float64       // work in the checkpoint
	warmUntil      time.Duration // no progress until then
	checkpointedAt time.Duration // when the checkpoint is complete
	moves          int
}

type delayedReport struct {
	at     time.Duration
	vm     *vm
	usage  messenger.Usage
	placed []learner.Placement
}

const (
	step                  = time.Second
	reportInterval        = 5 * time.Second
	warmUp                = 4 * time.Second // time without progress after a start or resume
	checkpointTime        = 3 * time.Second
	lostReportShare       = 0.05
	duplicatedReportShare = 0.02
	firstReportAfter      = 4 * time.Minute
	idleP99Ratio          = 0.42 // ratio of p99 to the objective without interference and load
	windowNoise           = 0.1
	sampleSpread          = 0.6   // standard deviation of the logarithm of a single latency
	normalQuantile99      = 2.326 // 99% quantile of the standard normal distribution
	samplesPerStep        = 20
)

var startTime = time.Date(2026, 12, 2, 6, 0, 0, 0, time.UTC)

func (p *pool) clock() time.Time { return startTime.Add(p.now) }

func newPool(u user, tr truth, seed uint64) *pool {
	p := &pool{user: u, truth: tr, rng: rand.New(rand.NewPCG(seed, 0xfeed)), tasks: make(map[string]*task), zonesOut: make(map[string]bool)}
	for i := range vmCount {
		p.vms = append(p.vms, &vm{spec: placer.VM{
			Name: fmt.Sprintf("vm-%02d", i), Zone: zoneName(i % u.zones), Rack: fmt.Sprintf("rack-%d", i/vmsPerRack),
			Total: u.total, Committed: u.service.Needs, Reachable: true, Services: []string{u.service.Name},
		}})
	}
	p.vms[1].noReportsUntil = firstReportAfter // its reports start late
	p.tally = newTally()
	return p
}

// advance simulates one step.
func (p *pool) advance() {
	p.now += step
	p.enqueueArrivals()
	serving := 0
	for _, v := range p.vms {
		if !v.off && !p.zonesOut[v.spec.Zone] {
			serving++
		}
	}
	p.load = p.serviceLoad() * float64(vmCount) / float64(serving)
	for i, v := range p.vms {
		if v.off {
			continue
		}
		p.advanceVM(v)
		if !p.zonesOut[v.spec.Zone] { // otherwise its callers use other zones
			p.sampleLatencies(v)
		}
		if int(p.now/step+time.Duration(i))%int(reportInterval/step) == 0 {
			p.sendReport(v)
		}
	}
}

func (p *pool) enqueueArrivals() {
	for len(p.truth.arrivals) > 0 && p.truth.arrivals[0].at <= p.now {
		a := p.truth.arrivals[0]
		p.truth.arrivals = p.truth.arrivals[1:]
		c := p.user.classes[a.class]
		t := &task{arrival: a, Task: placer.Task{
			ID: fmt.Sprintf("%s-%d", c.name, len(p.tasks)), Tenant: c.tenant, Class: c.name, Needs: c.needs,
			Checkpoint: !c.noCheckpoint, Submitted: p.clock(),
		}}
		p.tasks[t.ID] = t
		p.queue = append(p.queue, t)
	}
}

// serviceLoad returns the load of the service: a slow sine wave plus random surges.
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
	if p.now > effectShiftAt {
		return p.truth.shiftedEffect
	}
	return p.truth.effect
}

// advanceVM advances the tasks of a VM by one step and sets the latency of the service.
func (p *pool) advanceVM(v *vm) {
	used := float64(p.user.service.Needs.Millicores) * min(1, p.load)
	interference, committed, throttled := 0.0, 0.0, 0.0
	for _, t := range v.tasks {
		s := speedFactor(t.Percent)
		used += float64(t.Needs.Millicores) * p.truth.usage[t.arrival.class] * s
		committed += float64(t.Needs.Millicores)
		throttled += float64(t.Needs.Millicores) * (1 - s)
		interference += p.effects()[t.arrival.class] * t.arrival.effect * s * (0.6 + 0.8*p.load)
	}
	p.tally.addCapacity(float64(v.spec.Total.Sub(p.user.service.Needs).Millicores), committed, throttled)
	over := max(1, used/float64(v.spec.Total.Millicores))
	v.p99 = idleP99Ratio * (1 + 0.6*p.load*p.load) * math.Exp(interference) * over * over
	v.window = append(v.window, v.p99)
	var rest []*task
	for _, t := range v.tasks {
		if !p.advanceTask(v, t, speedFactor(t.Percent)/over) {
			rest = append(rest, t)
		}
	}
	v.tasks = rest
}

// advanceTask advances a task and reports whether it has left the VM.
func (p *pool) advanceTask(v *vm, t *task, speed float64) bool {
	if t.Stopping {
		if p.now < t.checkpointedAt {
			return false
		}
		t.saved = t.done
		p.removeTask(v, t)
		p.queue = append(p.queue, t)
		return true
	}
	if p.now < t.warmUntil {
		return false
	}
	t.done += speed * step.Seconds()
	if t.done < t.arrival.runTime {
		return false
	}
	p.removeTask(v, t)
	p.tally.addCompleted(t, p.now)
	return true
}

func (p *pool) removeTask(v *vm, t *task) {
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

func (p *pool) sampleLatencies(v *vm) {
	for range int(samplesPerStep * p.load) {
		p.tally.addAnswer(p.now, v.p99*math.Exp(sampleSpread*(p.rng.NormFloat64()-normalQuantile99)), v.p99)
	}
}

// sendReport sends the measurement of the last window. It arrives with a lag, and may be
// lost or duplicated.
func (p *pool) sendReport(v *vm) {
	window := v.window
	v.window = nil
	if len(window) == 0 || p.now < v.noReportsUntil || p.rng.Float64() < lostReportShare {
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
	if p.rng.Float64() < duplicatedReportShare {
		n = 2
	}
	for range n {
		lag := 5*time.Second + time.Duration(p.rng.Int64N(int64(10*time.Second)))
		p.pendingReports = append(p.pendingReports, delayedReport{at: p.now + lag, vm: v, usage: usage})
	}
}

// deliverReports passes the reports that are due to the learner.
func (p *pool) deliverReports(l *learner.Learner) {
	var rest []delayedReport
	for _, m := range p.pendingReports {
		if m.at > p.now {
			rest = append(rest, m)
			continue
		}
		l.Observe(m.vm.spec.Name, m.usage, m.vm.placements)
	}
	p.pendingReports = rest
	for _, v := range p.vms {
		recent := v.placements[:0]
		for _, pl := range v.placements {
			if pl.To.IsZero() || p.clock().Sub(pl.To) < time.Minute {
				recent = append(recent, pl)
			}
		}
		v.placements = recent
	}
}

func speedFactor(percent int) float64 {
	if percent <= 0 {
		return 1
	}
	return float64(percent) / 100
}

// snapshot returns the state of the pool in the form that the placer gets from the
// owner of a cell.
func (p *pool) snapshot(f *describer.Fleet, l *learner.Learner, evictions int) placer.Snapshot {
	s := placer.Snapshot{
		Now: p.clock(), Fleet: f, EvictionsLeft: evictions,
		Interference: l.Interference, Pressure: l.Pressure, RecentWindows: l.RecentWindows,
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
