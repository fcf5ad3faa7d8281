package placer

import (
	"fmt"
	"time"

	"bamboospread/internal/fleet/describer"
)

// Reasons why no task can start on a VM.
const (
	blockedUnreachable = "not reachable"
	blockedLeaving     = "leaving"
	blockedQuarantined = "quarantined"
	blockedZoneOut     = "zone is out or not in the fleet text"
)

// Reasons why a task cannot start on a VM that accepts other tasks.
const (
	refusedCapacity     = "not enough free capacity"
	refusedReserved     = "reserved for a large task that has waited long"
	refusedFailedBefore = "an earlier attempt of the task failed there"
	refusedZoneRefill   = "its zone has just returned and is refilled gradually"
	refusedHeadroom     = "processors are kept free for a service"
	refusedInterference = "a service there would miss its objective"
)

// initialRefillShare is the share of its capacity that a VM of a returned zone
// accepts immediately. The limit rises linearly to the full capacity over
// Config.RefillTime.
const initialRefillShare = 0.1

func (r *round) blockedReason(v *VM) string {
	switch {
	case r.snapshot.Fleet.ZoneIsOut(v.Zone):
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

// refusalReason returns why the task cannot start on the VM, or "" if it can.
func (r *round) refusalReason(t *Task, at int) string {
	v := &r.vms[at]
	switch {
	case v.blocked != "":
		return v.blocked
	case !t.Needs.Fits(v.free):
		return refusedCapacity
	case v.reserved != "" && v.reserved != t.ID:
		return refusedReserved
	case r.avoids(t, v.vm):
		return refusedFailedBefore
	case !r.refillAllows(t, v):
		return refusedZoneRefill
	}
	return r.policyRefusalReason(t, v)
}

// refillAllows limits how fast a returned zone is filled. If it were filled in
// one round, all its tasks would start at once and overload workers, image
// stores and services while their caches are cold. The share of the VM that may
// be committed grows with the time since the return, so the limit does not
// depend on how often rounds run. One task may always start.
func (r *round) refillAllows(t *Task, v *vmState) bool {
	if v.vm.ReturnedAt.IsZero() || t.Service != "" {
		return true
	}
	since := r.snapshot.Now.Sub(v.vm.ReturnedAt)
	if since >= r.config.RefillTime {
		return true
	}
	used := v.vm.Total.Sub(v.free)
	if used == (describer.Resources{}) {
		return true
	}
	allowed := initialRefillShare + (1-initialRefillShare)*float64(since)/float64(r.config.RefillTime)
	return dominantShare(used.Add(t.Needs), v.vm.Total) <= allowed
}

// failureKey groups tasks that are refused for the same reasons.
type failureKey struct {
	needs   describer.Resources
	class   string
	service string
	urgent  bool
}

// failure records why a task found no VM in this round.
type failure struct {
	reason    string
	submitted time.Time
}

func newFailureKey(t *Task) failureKey {
	return failureKey{needs: t.Needs, class: t.Class, service: t.Service, urgent: t.Urgent}
}

// waitReason returns why no VM accepts a task: the most frequent refusal
// reason, with its count.
func (r *round) waitReason(t *Task) string {
	counts := make(map[string]int)
	for i := range r.vms {
		counts[r.refusalReason(t, i)]++
	}
	best := ""
	for reason, n := range counts {
		if best == "" || n > counts[best] || n == counts[best] && reason < best {
			best = reason
		}
	}
	if best == "" {
		return "the cell has no known VM"
	}
	return fmt.Sprintf("no VM accepts the task; most frequent reason: %s (%d of %d VMs)", best, counts[best], len(r.vms))
}
