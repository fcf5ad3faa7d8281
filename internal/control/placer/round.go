package placer

import (
	"math"

	"bamboospread/internal/fleet/describer"
)

// round is the working state of one call of Plan.
type round struct {
	config         Config
	snapshot       *Snapshot
	weights        weights
	limits         limits
	vms            []vmState
	vmIndex        map[string]int
	tasksOn        [][]int // indexes into Snapshot.Placed, by VM
	total          describer.Resources
	relativeDemand float64 // processors requested by queued batch tasks divided by free processors, at most 1
	tenants        map[string]*tenantState
	replicas       map[string]*replicaCounts // by service
	effects        map[pair]float64
	failed         map[failureKey]failure // tasks that found no VM in this round, and why
	evictionsLeft  int                    // remaining budget
	evicted        map[string]bool        // tasks evicted by this round
	fitsElsewhere  map[string]bool        // whether a task that failed on some VMs fits on another, by task ID
	plan           Plan
}

// vmState is a VM with the changes decided in this round.
type vmState struct {
	vm        *VM
	free      describer.Resources
	blocked   string // why no task can start on it; empty if one can
	reserved  string // ID of the task it is reserved for
	throttled bool   // a batch task on it is throttled
	services  []serviceState
}

// serviceState is a service on a VM with its predicted pressure.
type serviceState struct {
	name        string
	reported    bool    // there is a recent report
	logPressure float64 // logarithm of the predicted pressure: p99 divided by the objective
	// interferers counts the batch tasks on the VM that slow the service by at
	// least negligibleEffect.
	interferers int
}

type pair struct{ service, class string }

// replicaCounts counts the replicas of a service by location.
type replicaCounts struct {
	zones, racks, vms map[string]int
	staying           int // replicas on reachable VMs that do not have to be drained
}

// weights are the policy weights of the fleet text, scaled to a mean of one.
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
		config: c, snapshot: s, weights: newWeights(s.Fleet.Policy()),
		vms: make([]vmState, len(s.VMs)), vmIndex: make(map[string]int, len(s.VMs)), tasksOn: make([][]int, len(s.VMs)),
		tenants: make(map[string]*tenantState), replicas: make(map[string]*replicaCounts),
		effects: make(map[pair]float64), failed: make(map[failureKey]failure),
		evictionsLeft: s.EvictionsLeft, evicted: make(map[string]bool), fitsElsewhere: make(map[string]bool),
		plan: Plan{Waits: make(map[string]string, len(s.Queued))},
	}
	for i := range s.VMs {
		v := &s.VMs[i]
		r.vmIndex[v.Name] = i
		r.vms[i] = vmState{vm: v, free: v.Total.Sub(v.Committed), blocked: r.blockedReason(v)}
		r.total = r.total.Add(v.Total)
	}
	r.limits = newLimits(r.weights)
	r.addPlaced()
	for i := range r.vms {
		r.predictPressure(i)
	}
	return r
}

// queuedDemand returns the processors requested by queued batch tasks divided
// by the free processors, at most 1. Held tasks are not counted: a task that
// can never run must not affect how fast others start.
func (r *round) queuedDemand(queue []int) float64 {
	var waiting, free int64
	for _, i := range queue {
		if t := &r.snapshot.Queued[i]; t.Service == "" {
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

// addPlaced counts the placed tasks by VM, tenant and service.
func (r *round) addPlaced() {
	for i := range r.snapshot.Placed {
		t := &r.snapshot.Placed[i]
		r.tenant(t.Tenant).add(t.Needs, r.total)
		at, ok := r.vmIndex[t.VM]
		if !ok {
			continue
		}
		r.tasksOn[at] = append(r.tasksOn[at], i)
		if t.Service != "" {
			r.countReplica(t.Service, at)
		} else if t.Percent > 0 && t.Percent < fullPercent {
			r.vms[at].throttled = true
		}
	}
}

func (r *round) countReplica(service string, at int) {
	counts := r.replicas[service]
	if counts == nil {
		counts = &replicaCounts{zones: make(map[string]int), racks: make(map[string]int), vms: make(map[string]int)}
		r.replicas[service] = counts
	}
	v := r.vms[at].vm
	counts.zones[v.Zone]++
	counts.racks[v.Zone+"/"+v.Rack]++
	counts.vms[v.Name]++
	if v.Reachable && !r.mustDrain(v) {
		counts.staying++
	}
}

// mustDrain reports whether tasks have to leave the VM.
func (r *round) mustDrain(v *VM) bool { return v.Leaving || r.snapshot.Fleet.ZoneIsOut(v.Zone) }

// predictPressure sets the predicted pressure of each service on a VM.
// Measurements lag, so tasks that started after the window are not reflected in
// them and their predicted effect is added. Otherwise a VM with low measured
// pressure would attract many tasks at once.
func (r *round) predictPressure(at int) {
	v := &r.vms[at]
	for _, name := range v.vm.Services {
		st := serviceState{name: name, logPressure: math.Log(unknownPressure)}
		w, ok := r.latestWindow(v.vm.Name, name)
		if ok {
			st.reported, st.logPressure = true, math.Log(max(w.Ratio, idlePressure))
		}
		for _, i := range r.tasksOn[at] {
			t := &r.snapshot.Placed[i]
			if t.Service != "" {
				continue
			}
			effect := r.effect(name, t.Class) * processorShare(t.Percent)
			if effect >= negligibleEffect {
				st.interferers++
			}
			if unmeasured := !ok || t.Started.After(w.From.Add(w.To.Sub(w.From)/2)); unmeasured {
				st.logPressure += effect
			}
		}
		v.services = append(v.services, st)
	}
}

// latestWindow returns the newest measurement of a service on a VM.
func (r *round) latestWindow(vm, service string) (Window, bool) {
	if w := r.recentWindows(vm, service); len(w) > 0 {
		return w[0], true
	}
	return Window{}, false
}

func (r *round) recentWindows(vm, service string) []Window {
	if r.snapshot.RecentWindows != nil {
		return r.snapshot.RecentWindows(vm, service)
	}
	if r.snapshot.Pressure == nil {
		return nil
	}
	p := r.snapshot.Pressure(vm, service)
	if p <= 0 {
		return nil
	}
	return []Window{{From: r.snapshot.Now, To: r.snapshot.Now, Ratio: p}}
}

// processorShare converts a throttle percentage to a share of the full
// processor time.
func processorShare(percent int) float64 {
	if percent <= 0 || percent >= fullPercent {
		return 1
	}
	return float64(percent) / fullPercent
}

// commit reserves the resources of a task that starts on a VM in this round.
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
		v.services[i].logPressure += effect
		if effect >= negligibleEffect {
			v.services[i].interferers++
		}
	}
}
