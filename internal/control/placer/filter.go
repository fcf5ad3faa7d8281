package placer

import (
	"fmt"
	"time"

	"bamboospread/internal/fleet/describer"
)

// Reasons for which nothing starts on a VM.
const (
	blockedUnreachable = "not reachable"
	blockedLeaving     = "leaving"
	blockedQuarantined = "quarantined"
	blockedZoneOut     = "zone is out, or not in the fleet text"
)

// Reasons for which a task does not start on a VM that takes others.
const (
	refusedRoom     = "no room"
	refusedReserved = "kept free for a larger task that waits"
	refusedAvoid    = "the task failed there"
	refusedRefill   = "its zone fills up gradually"
	refusedHeadroom = "headroom beside a service"
	refusedPressure = "a service there would miss its objective"
)

// Terms of the gradual refill: a returned VM takes this share of its capacity
// at once and the rest in step with the time.
const refillAtOnce = 0.1

func (r *round) blockedReason(v *VM) string {
	switch {
	case r.s.Fleet.ZoneIsOut(v.Zone):
		return blockedZoneOut
	case !v.Reachable:
		return blockedUnreachable
	case v.Leaving:
		return blockedLeaving
	case v.Quarantined:
		return blockedQuarantined
	}
	return ""
}

// refusal tells why a task may not start on a VM; empty: it may.
func (r *round) refusal(t *Task, at int) string {
	v := &r.vms[at]
	switch {
	case v.blocked != "":
		return v.blocked
	case !t.Needs.Fits(v.free):
		return refusedRoom
	case v.reserved != "" && v.reserved != t.ID:
		return refusedReserved
	case r.avoids(t, v.vm):
		return refusedAvoid
	case !r.refillAllows(t, v):
		return refusedRefill
	}
	return r.policyRefusal(t, v)
}

// refillAllows keeps a returned zone from being filled in one round: a herd of
// starts would hit workers, stores of images and services at their coldest. The
// share of the VM that may be committed rises with the time since the return,
// so that the limit doesn't depend on the rate of rounds; one task always may.
func (r *round) refillAllows(t *Task, v *vmState) bool {
	if v.vm.ReturnedAt.IsZero() || t.Service != "" {
		return true
	}
	since := r.s.Now.Sub(v.vm.ReturnedAt)
	if since >= r.config.RefillTime {
		return true
	}
	used := v.vm.Total.Sub(v.free)
	if used == (describer.Resources{}) {
		return true
	}
	allowed := refillAtOnce + (1-refillAtOnce)*float64(since)/float64(r.config.RefillTime)
	return dominantShare(used.Add(t.Needs), v.vm.Total) <= allowed
}

// failureKey groups tasks that meet the same refusals.
type failureKey struct {
	needs   describer.Resources
	class   string
	service string
	urgent  bool
}

// failure is why a task found no VM in this round.
type failure struct {
	reason    string
	submitted time.Time
}

func keyOf(t *Task) failureKey {
	return failureKey{needs: t.Needs, class: t.Class, service: t.Service, urgent: t.Urgent}
}

// waitReason tells why no VM takes a task: the commonest refusal with counts.
func (r *round) waitReason(t *Task) string {
	counts := make(map[string]int)
	for i := range r.vms {
		counts[r.refusal(t, i)]++
	}
	best := ""
	for reason, n := range counts {
		if best == "" || n > counts[best] || n == counts[best] && reason < best {
			best = reason
		}
	}
	if best == "" {
		return "no VM is known"
	}
	return fmt.Sprintf("no VM takes it: %s on %d of %d VMs", best, counts[best], len(r.vms))
}
