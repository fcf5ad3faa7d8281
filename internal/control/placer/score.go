package placer

import (
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"bamboospread/internal/fleet/describer"
)

const (
	// unknownPressure is assumed for a service without a recent report: neither
	// idle, which would attract tasks to a VM that may be overloaded, nor
	// overloaded.
	unknownPressure = 0.8
	idlePressure    = 0.2 // lower bound: an idle service may get requests at any moment
	lossKnee        = 0.8 // pressure above which latency loss is weighted more
	lossSteepness   = 5   // additional weight above that pressure
	// Wait after which predicted interference may no longer keep a task queued,
	// see overridesPrediction.
	overrideAfter       = 20 * time.Second
	urgentOverrideAfter = 2 * time.Second
	negligibleEffect    = 0.005 // smaller effects do not cause a refusal, throttle or move

	noticeableVMShare = 0.06 // share of a VM, see classSizeFactor

	// A task may initially use allowanceSlack times its proportional part of
	// the remaining pressure, and as much again for each allowanceSlackWait
	// that it has waited.
	allowanceSlack     = 1.5
	allowanceSlackWait = 10 * time.Minute
)

// Weights of the score terms that the fleet text does not configure.
const (
	zoneSpreadCost   = 4.0 // for each replica of the same service in the same zone
	rackSpreadCost   = 2.0 // for each in the same rack
	vmSpreadCost     = 8.0 // for each on the same VM
	acceleratorWaste = 2.0 // for a task that needs no accelerators on a VM with free ones
)

// policyRefusalReason applies the checks that depend on the policy.
func (r *round) policyRefusalReason(t *Task, v *vmState) string {
	if t.Service != "" {
		return ""
	}
	switch r.config.Policy {
	case PolicyFirstFit:
		return ""
	case PolicyStaticHeadroom:
		return r.headroomRefusalReason(t, v)
	}
	for i := range v.services {
		effect := r.effect(v.services[i].name, t.Class)
		refused := v.throttled || effect > r.effectAllowance(t, v, &v.services[i])
		if effect >= negligibleEffect && refused && !r.overridesPrediction(t, &v.services[i]) {
			return refusedInterference
		}
	}
	return ""
}

// overridesPrediction reports whether a task has waited so long that predicted
// interference no longer keeps it off a VM. Otherwise a task whose class is
// predicted to interfere strongly, or a service that misses its objective
// regardless of co-located tasks, would keep the task queued forever, even on
// VMs without another interfering task. Batch tasks must finish, and urgent
// ones must start within seconds. The interference is bounded to one
// interfering task per VM for tasks that are not urgent, and the ladder
// throttles it if the service misses its objective.
func (r *round) overridesPrediction(t *Task, s *serviceState) bool {
	waited := r.snapshot.Now.Sub(t.Submitted)
	if t.Urgent {
		return waited >= urgentOverrideAfter || waited >= urgentOverrideAfter/2 && s.interferers == 0
	}
	return waited >= overrideAfter && s.interferers == 0
}

// effectAllowance returns the effect that a task may have on a service of a VM.
// The pressure left up to the admission limit is divided among the free
// processors: a task gets its proportional part, times a factor that grows with
// its wait. Otherwise the first interfering task would use up the pressure that
// many tasks with low interference could share. If the queued tasks need less
// than the free processors, the pressure is divided among the processors that
// they will use.
func (r *round) effectAllowance(t *Task, v *vmState, s *serviceState) float64 {
	left := math.Log(r.limits.admitUpTo) - s.logPressure
	free := fraction(v.free.Millicores, v.vm.Total.Millicores) * r.relativeDemand
	needed := fraction(t.Needs.Millicores, v.vm.Total.Millicores)
	waited := max(0, r.snapshot.Now.Sub(t.Submitted).Seconds())
	slack := allowanceSlack * (1 + waited/allowanceSlackWait.Seconds())
	if free <= 0 {
		return left
	}
	return left * min(1, slack*needed/free)
}

// effect returns the logarithm of the predicted slowdown that one task of a
// class causes a service on the same VM. With low confidence a slowdown above
// the estimate is assumed, so that pairs without data are tried where the
// pressure is low.
func (r *round) effect(service, class string) float64 {
	key := pair{service, class}
	if e, ok := r.effects[key]; ok {
		return e
	}
	slowdown := r.config.UnknownSlowdown
	if r.config.Policy == PolicyLearned && r.snapshot.Interference != nil {
		learned, confidence := r.snapshot.Interference(service, class)
		unknown := (max(learned, 0) + r.config.UnknownSlowdown*min(1, r.weights.tail)) * r.classSizeFactor(class)
		slowdown = confidence*max(learned, 0) + (1-confidence)*unknown
	}
	e := math.Log1p(max(slowdown, 0))
	r.effects[key] = e
	return e
}

// classSizeFactor is 1 for classes whose tasks use a noticeable share of a VM,
// and proportionally less for smaller ones. With the same assumed slowdown for
// every class, a few tiny tasks would appear to use up a VM before any data
// about them exists.
func (r *round) classSizeFactor(class string) float64 {
	c, ok := r.snapshot.Fleet.TaskClass(class)
	if !ok || len(r.vms) == 0 {
		return 1
	}
	return min(1, dominantShare(c.Needs, r.vms[0].vm.Total)/noticeableVMShare)
}

// candidate is a VM with its score; lower is better.
type candidate struct {
	at                          int
	score                       float64
	interference, fragmentation float64
}

// bestVM returns the VM with the lowest score for a task. In a large cell it
// scores a sample, and all VMs only if no VM of the sample accepts the task.
func (r *round) bestVM(t *Task) (candidate, bool) {
	n := len(r.vms)
	if r.config.Policy == PolicyFirstFit || r.config.Policy == PolicyStaticHeadroom {
		return r.firstFit(t)
	}
	if n > 2*r.config.Candidates {
		if c, ok := r.bestAmong(t, r.sampleStart(t.ID), r.config.Candidates); ok {
			return c, ok
		}
	}
	return r.bestAmong(t, 0, n)
}

// sampleStart returns the first VM of the sample, derived from the task ID and
// the time. It spreads samples over the VMs and is deterministic for a
// snapshot.
func (r *round) sampleStart(id string) int {
	h := fnv.New64a()
	fmt.Fprint(h, id, r.snapshot.Now.UnixNano())
	return int(h.Sum64() % uint64(len(r.vms)))
}

// bestAmong scores count VMs beginning at start, in steps that are coprime with
// the number of VMs, so that neighbours in a rack are not sampled together.
func (r *round) bestAmong(t *Task, start, count int) (candidate, bool) {
	best, found := candidate{}, false
	n := len(r.vms)
	step := coprimeStep(n)
	for k, at := 0, start; k < count && n > 0; k, at = k+1, (at+step)%n {
		if r.refusalReason(t, at) != "" {
			continue
		}
		c := r.score(t, at)
		if !found || c.score < best.score {
			best, found = c, true
		}
	}
	return best, found
}

// coprimeStep returns a step that visits each of n VMs once.
func coprimeStep(n int) int {
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

// score scores a VM that accepts the task.
func (r *round) score(t *Task, at int) candidate {
	v := &r.vms[at]
	c := candidate{at: at, interference: r.interferenceCost(t, v), fragmentation: r.fragmentation(t, v)}
	c.score = r.weights.tail*c.interference + 0.3*r.weights.throughput*c.fragmentation + r.spreadCost(t, v)
	return c
}

// interferenceCost is the predicted increase in latency of the services on the
// VM. It counts double for a service without a recent report.
func (r *round) interferenceCost(t *Task, v *vmState) float64 {
	if t.Service != "" {
		return 0
	}
	sum := 0.0
	for i := range v.services {
		s := &v.services[i]
		before := math.Exp(s.logPressure)
		after := before * math.Exp(r.effect(s.name, t.Class))
		loss := after - before + lossSteepness*(max(0, after-lossKnee)-max(0, before-lossKnee))
		if !s.reported {
			loss *= 2
		}
		sum += loss
	}
	return sum
}

// fragmentation is lowest for the VM that the task fills most in its dominant
// dimension, and higher for a task without accelerators on a VM with free ones,
// to keep those for tasks that need them.
func (r *round) fragmentation(t *Task, v *vmState) float64 {
	left := 1 - dominantShare(v.vm.Total.Sub(v.free).Add(t.Needs), v.vm.Total)
	if t.Needs.Accelerators == 0 && v.free.Accelerators > 0 {
		left += acceleratorWaste
	}
	return left
}

// spreadCost keeps the replicas of a service on different VMs, racks and zones.
func (r *round) spreadCost(t *Task, v *vmState) float64 {
	counts := r.replicas[t.Service]
	if t.Service == "" || counts == nil {
		return 0
	}
	return zoneSpreadCost*float64(counts.zones[v.vm.Zone]) + rackSpreadCost*float64(counts.racks[v.vm.Zone+"/"+v.vm.Rack]) +
		vmSpreadCost*float64(counts.vms[v.vm.Name])
}

// dominantShare returns the largest share of total that any resource of used
// takes.
func dominantShare(used, total describer.Resources) float64 {
	return max(fraction(used.Millicores, total.Millicores), fraction(used.MemoryBytes, total.MemoryBytes), fraction(used.Accelerators, total.Accelerators))
}

func fraction(used, total int64) float64 {
	switch {
	case used <= 0:
		return 0
	case total <= 0:
		return math.Inf(1)
	}
	return float64(used) / float64(total)
}

func formatFloat(f float64) string { return fmt.Sprintf("%.3g", f) }
