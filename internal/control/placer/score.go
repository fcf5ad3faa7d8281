package placer

import (
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"bamboospread/internal/fleet/describer"
)

const (
	// unknownPressure stands for a service without a recent report: neither
	// idle, which would draw tasks to a VM that may be drowning, nor overloaded.
	unknownPressure = 0.8
	idlePressure    = 0.2 // floor: a service without requests may get some at any moment
	comfortable     = 0.8 // pressure from which each further slowdown costs more
	steepness       = 5   // how much more
	// How long predictions may keep a task waiting, see outlasts.
	patience       = 20 * time.Second
	urgentPatience = 2 * time.Second
	negligible     = 0.005 // effect that is not worth a decision

	noticeableShare = 0.06 // of a VM, see classSize

	paceSlack = 1.5              // times its part that a task may disturb at once
	paceWait  = 10 * time.Minute // wait after which it may that much more
)

// Weights of the terms of a score that the fleet text does not set.
const (
	zoneSpreadCost   = 4.0 // for each replica of the same service in the zone
	rackSpreadCost   = 2.0 // and in the rack
	vmSpreadCost     = 8.0 // and on the VM
	acceleratorWaste = 2.0 // for a task without accelerators on a VM with free ones
)

// policyRefusal applies the part of the filter in which the policies differ.
func (r *round) policyRefusal(t *Task, v *vmState) string {
	if t.Service != "" {
		return ""
	}
	switch r.config.Policy {
	case PolicyFirstFit:
		return ""
	case PolicyStaticHeadroom:
		return r.headroomRefusal(t, v)
	}
	for i := range v.services {
		effect := r.effect(v.services[i].name, t.Class)
		refused := v.throttled || effect > r.allowance(t, v, &v.services[i])
		if effect >= negligible && refused && !r.outlasts(t, &v.services[i]) {
			return refusedPressure
		}
	}
	return ""
}

// outlasts tells whether a task has waited so long that predictions no longer
// keep it off a VM. A pair predicted to be harmful, or a service that misses its
// objective whatever runs beside it, would otherwise keep a task queued for
// good, also on VMs where nothing else disturbs: batch tasks must finish, and
// urgent ones start within seconds. One disturber on a VM bounds the harm, and
// the ladder throttles it if the service suffers.
func (r *round) outlasts(t *Task, s *serviceState) bool {
	waited := r.s.Now.Sub(t.Submitted)
	if t.Urgent {
		return waited >= urgentPatience || waited >= urgentPatience/2 && s.disturbers == 0
	}
	return waited >= patience && s.disturbers == 0
}

// allowance is the effect that a task may have on a service of a VM. What is
// left up to the limit belongs to the processors that are left: a task gets its
// part of it, times a slack that grows with its wait. Without that, the first
// disturbing task uses up what would have let many quiet ones run. When less
// waits than there is room for, parts are of the room that will be used.
func (r *round) allowance(t *Task, v *vmState, s *serviceState) float64 {
	left := math.Log(r.limits.admit) - s.log
	free := part(v.free.Millicores, v.vm.Total.Millicores) * r.demand
	takes := part(t.Needs.Millicores, v.vm.Total.Millicores)
	waited := max(0, r.s.Now.Sub(t.Submitted).Seconds())
	slack := paceSlack * (1 + waited/paceWait.Seconds())
	if free <= 0 {
		return left
	}
	return left * min(1, slack*takes/free)
}

// effect returns the predicted logarithm of the slowdown that one task of a
// class causes a service on the same VM. What is not known well is taken for
// more than its estimate, so that unknown pairs are tried where there is room.
func (r *round) effect(service, class string) float64 {
	key := pair{service, class}
	if e, ok := r.effects[key]; ok {
		return e
	}
	slowdown := r.config.UnknownEffect
	if r.config.Policy == PolicyLearned && r.s.Interference != nil {
		learned, confidence := r.s.Interference(service, class)
		unknown := (max(learned, 0) + r.config.UnknownEffect*min(1, r.weights.tail)) * r.classSize(class)
		slowdown = confidence*max(learned, 0) + (1-confidence)*unknown
	}
	e := math.Log1p(max(slowdown, 0))
	r.effects[key] = e
	return e
}

// classSize is 1 for classes whose tasks take a noticeable part of a VM, and
// less in proportion for smaller ones: by the same guess for each, a handful of
// tiny tasks would seem to fill a VM before anything is known of them.
func (r *round) classSize(class string) float64 {
	c, ok := r.s.Fleet.TaskClass(class)
	if !ok || len(r.vms) == 0 {
		return 1
	}
	return min(1, dominantShare(c.Needs, r.vms[0].vm.Total)/noticeableShare)
}

// candidate is a VM with its score; less is better.
type candidate struct {
	at             int
	score          float64
	harm, fragment float64
}

// best returns the best VM for a task. In a large cell it weighs a sample, and
// all VMs only if none of the sample will do.
func (r *round) best(t *Task) (candidate, bool) {
	n := len(r.vms)
	if r.config.Policy == PolicyFirstFit || r.config.Policy == PolicyStaticHeadroom {
		return r.firstOf(t)
	}
	if n > 2*r.config.Candidates {
		if c, ok := r.bestOf(t, r.sampleStart(t.ID), r.config.Candidates); ok {
			return c, ok
		}
	}
	return r.bestOf(t, 0, n)
}

// sampleStart spreads the samples over the VMs by the id of the task and the
// time, the same for the same snapshot.
func (r *round) sampleStart(id string) int {
	h := fnv.New64a()
	fmt.Fprint(h, id, r.s.Now.UnixNano())
	return int(h.Sum64() % uint64(len(r.vms)))
}

// bestOf weighs count VMs from a starting point on, in steps that are coprime
// with the number of VMs, so that neighbours in a rack are not sampled together.
func (r *round) bestOf(t *Task, start, count int) (candidate, bool) {
	best, found := candidate{}, false
	n := len(r.vms)
	step := stepFor(n)
	for k, at := 0, start; k < count && n > 0; k, at = k+1, (at+step)%n {
		if r.refusal(t, at) != "" {
			continue
		}
		c := r.score(t, at)
		if !found || c.score < best.score {
			best, found = c, true
		}
	}
	return best, found
}

// stepFor returns a step that visits each of n VMs once.
func stepFor(n int) int {
	for step := n*5/8 + 1; step < n; step++ {
		if gcd(step, n) == 1 {
			return step
		}
	}
	return 1
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// score weighs a VM that may take the task.
func (r *round) score(t *Task, at int) candidate {
	v := &r.vms[at]
	c := candidate{at: at, harm: r.harm(t, v), fragment: r.fragmentation(t, v)}
	c.score = r.weights.tail*c.harm + 0.3*r.weights.throughput*c.fragment + r.spreadCost(t, v)
	return c
}

// harm is the predicted loss of latency of the services on the VM. A service
// without a recent report counts double.
func (r *round) harm(t *Task, v *vmState) float64 {
	if t.Service != "" {
		return 0
	}
	sum := 0.0
	for i := range v.services {
		s := &v.services[i]
		before := math.Exp(s.log)
		after := before * math.Exp(r.effect(s.name, t.Class))
		loss := after - before + steepness*(max(0, after-comfortable)-max(0, before-comfortable))
		if !s.known {
			loss *= 2
		}
		sum += loss
	}
	return sum
}

// fragmentation prefers the VM that the task fills best in its dominant
// dimension, and keeps accelerators for the tasks that need them.
func (r *round) fragmentation(t *Task, v *vmState) float64 {
	left := 1 - dominantShare(v.vm.Total.Sub(v.free).Add(t.Needs), v.vm.Total)
	if t.Needs.Accelerators == 0 && v.free.Accelerators > 0 {
		left += acceleratorWaste
	}
	return left
}

// spreadCost keeps replicas of a service apart.
func (r *round) spreadCost(t *Task, v *vmState) float64 {
	sp := r.spread[t.Service]
	if t.Service == "" || sp == nil {
		return 0
	}
	return zoneSpreadCost*float64(sp.zones[v.vm.Zone]) + rackSpreadCost*float64(sp.racks[v.vm.Zone+"/"+v.vm.Rack]) +
		vmSpreadCost*float64(sp.vms[v.vm.Name])
}

// dominantShare is the largest share of total that a part of used takes.
func dominantShare(used, total describer.Resources) float64 {
	return max(part(used.Millicores, total.Millicores), part(used.MemoryBytes, total.MemoryBytes), part(used.Accelerators, total.Accelerators))
}

func part(used, total int64) float64 {
	switch {
	case used <= 0:
		return 0
	case total <= 0:
		return math.Inf(1)
	}
	return float64(used) / float64(total)
}

func decimal(f float64) string { return fmt.Sprintf("%.3g", f) }
