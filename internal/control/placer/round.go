package placer

import (
	"math"

	"bamboospread/internal/fleet/describer"
)

// round is the working state of one Plan.
type round struct {
	config    Config
	s         *Snapshot
	weights   weights
	limits    limits
	vms       []vmState
	byName    map[string]int
	tasks     [][]int // indexes into Placed, for each VM
	total     describer.Resources
	demand    float64 // processors of queued batch tasks by those free for them, at most 1
	tenants   map[string]*tenantState
	spread    map[string]*spreadState // for each service with replicas
	effects   map[pair]float64
	failed    map[failureKey]failure // what found no VM in this round, and why
	evictions int                    // left of the budget
	moving    map[string]bool        // tasks that this round evicts
	elsewhere map[string]bool        // whether a task that failed somewhere could run where it did not
	plan      Plan
}

// vmState is a VM with what this round adds to it.
type vmState struct {
	vm        *VM
	free      describer.Resources
	blocked   string // why nothing starts on it; empty: something may
	reserved  string // task for which it is kept free
	throttled bool   // a batch task on it runs at less than its full share
	services  []serviceState
}

// serviceState is a service on a VM with its predicted pressure.
type serviceState struct {
	name  string
	known bool    // a recent report exists
	log   float64 // logarithm of the predicted p99 divided by the objective
	// disturbers counts batch tasks on the VM that slow the service noticeably.
	disturbers int
}

type pair struct{ service, class string }

// spreadState counts the replicas of a service.
type spreadState struct {
	zones, racks, vms map[string]int
	elsewhere         int // replicas on VMs that stay
}

// weights are the fleet's policy weights with a mean of one.
type weights struct{ tail, throughput, eviction float64 }

func newWeights(p describer.Policy) weights {
	sum := p.TailLatencyWeight + p.ThroughputWeight + p.EvictionWeight
	if sum <= 0 {
		return weights{1, 1, 1}
	}
	k := 3 / sum
	return weights{p.TailLatencyWeight * k, p.ThroughputWeight * k, p.EvictionWeight * k}
}

func newRound(c Config, s *Snapshot) *round {
	r := &round{
		config: c, s: s, weights: newWeights(s.Fleet.Policy()),
		vms: make([]vmState, len(s.VMs)), byName: make(map[string]int, len(s.VMs)), tasks: make([][]int, len(s.VMs)),
		tenants: make(map[string]*tenantState), spread: make(map[string]*spreadState),
		effects: make(map[pair]float64), failed: make(map[failureKey]failure),
		evictions: s.EvictionsLeft, moving: make(map[string]bool), elsewhere: make(map[string]bool),
		plan: Plan{Waits: make(map[string]string, len(s.Queued))},
	}
	for i := range s.VMs {
		v := &s.VMs[i]
		r.byName[v.Name] = i
		r.vms[i] = vmState{vm: v, free: v.Total.Sub(v.Committed), blocked: r.blockedReason(v)}
		r.total = r.total.Add(v.Total)
	}
	r.limits = newLimits(r.weights)
	r.addPlaced()
	for i := range r.vms {
		r.measure(i)
	}
	return r
}

// queuedDemand leaves out what is held: a task that can never run must not
// change the pace of the others.
func (r *round) queuedDemand(queue []int) float64 {
	var waiting, free int64
	for _, i := range queue {
		if t := &r.s.Queued[i]; t.Service == "" {
			waiting += t.Needs.Millicores
		}
	}
	for i := range r.vms {
		if v := &r.vms[i]; v.blocked == "" {
			free += max(0, v.free.Millicores)
		}
	}
	if waiting >= free {
		return 1
	}
	return float64(waiting) / float64(free)
}

// addPlaced counts what runs by VM, tenant and service.
func (r *round) addPlaced() {
	for i := range r.s.Placed {
		t := &r.s.Placed[i]
		r.tenant(t.Tenant).add(t.Needs, r.total)
		at, ok := r.byName[t.VM]
		if !ok {
			continue
		}
		r.tasks[at] = append(r.tasks[at], i)
		if t.Service != "" {
			r.countReplica(t.Service, at)
		} else if t.Percent > 0 && t.Percent < fullPercent {
			r.vms[at].throttled = true
		}
	}
}

func (r *round) countReplica(service string, at int) {
	sp := r.spread[service]
	if sp == nil {
		sp = &spreadState{zones: make(map[string]int), racks: make(map[string]int), vms: make(map[string]int)}
		r.spread[service] = sp
	}
	v := r.vms[at].vm
	sp.zones[v.Zone]++
	sp.racks[v.Zone+"/"+v.Rack]++
	sp.vms[v.Name]++
	if v.Reachable && !r.goes(v) {
		sp.elsewhere++
	}
}

// goes tells whether work has to leave the VM.
func (r *round) goes(v *VM) bool { return v.Leaving || r.s.Fleet.ZoneIsOut(v.Zone) }

// measure sets the predicted pressure of each service on a VM. A measurement
// lags: tasks that started after its window are not in it, so that without
// their predicted effect a VM which looks idle would draw a herd of tasks.
func (r *round) measure(at int) {
	v := &r.vms[at]
	for _, name := range v.vm.Services {
		st := serviceState{name: name, log: math.Log(unknownPressure)}
		w, ok := r.lastWindow(v.vm.Name, name)
		if ok {
			st.known, st.log = true, math.Log(max(w.Ratio, idlePressure))
		}
		for _, i := range r.tasks[at] {
			t := &r.s.Placed[i]
			if t.Service != "" {
				continue
			}
			effect := r.effect(name, t.Class) * share(t.Percent)
			if effect >= negligible {
				st.disturbers++
			}
			if unseen := !ok || t.Started.After(w.From.Add(w.To.Sub(w.From)/2)); unseen {
				st.log += effect
			}
		}
		v.services = append(v.services, st)
	}
}

// lastWindow returns the newest measurement of a service on a VM.
func (r *round) lastWindow(vm, service string) (Window, bool) {
	if w := r.recent(vm, service); len(w) > 0 {
		return w[0], true
	}
	return Window{}, false
}

func (r *round) recent(vm, service string) []Window {
	if r.s.Recent != nil {
		return r.s.Recent(vm, service)
	}
	if r.s.Pressure == nil {
		return nil
	}
	p := r.s.Pressure(vm, service)
	if p <= 0 {
		return nil
	}
	return []Window{{From: r.s.Now, To: r.s.Now, Ratio: p}}
}

// share returns a throttle as a share of the full processor time.
func share(percent int) float64 {
	if percent <= 0 || percent >= fullPercent {
		return 1
	}
	return float64(percent) / fullPercent
}

// commit takes room on a VM for a task that starts in this round.
func (r *round) commit(t *Task, at int) {
	v := &r.vms[at]
	v.free = v.free.Sub(t.Needs)
	r.tenant(t.Tenant).add(t.Needs, r.total)
	if t.Service != "" {
		r.countReplica(t.Service, at)
		return
	}
	for i := range v.services {
		effect := r.effect(v.services[i].name, t.Class)
		v.services[i].log += effect
		if effect >= negligible {
			v.services[i].disturbers++
		}
	}
}
