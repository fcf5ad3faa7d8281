package placer

import (
	"fmt"

	"bamboospread/internal/fleet/describer"
)

// holdImpossible holds the tasks that can never run under the current fleet
// text and VMs, and returns the indexes of the others. Otherwise such a task
// would stay at the head of its tenant's queue, and a VM reserved for it would
// never be used again.
func (r *round) holdImpossible() []int {
	remaining := make([]int, 0, len(r.snapshot.Queued))
	fitsByNeeds := make(map[describer.Resources]bool) // whether any VM is large enough
	for i := range r.snapshot.Queued {
		t := &r.snapshot.Queued[i]
		reason := r.holdReason(t, fitsByNeeds)
		if reason == "" {
			remaining = append(remaining, i)
			continue
		}
		r.plan.Holds = append(r.plan.Holds, Hold{TaskID: t.ID, Reason: reason, Inputs: map[string]string{
			"tenant": t.Tenant, "needs": formatResources(t.Needs), "quota": formatResources(r.tenant(t.Tenant).quota),
		}})
	}
	return remaining
}

func (r *round) holdReason(t *Task, fitsByNeeds map[describer.Resources]bool) string {
	if quota := r.tenant(t.Tenant).quota; !withinQuota(t.Needs, quota) {
		return fmt.Sprintf("needs %s, more than the quota of tenant %s: %s", formatResources(t.Needs), t.Tenant, formatResources(quota))
	}
	if r.snapshot.Unreconciled || len(r.vms) == 0 {
		return ""
	}
	fits, ok := fitsByNeeds[t.Needs]
	if !ok {
		fits = r.fitsSomeVM(t, false)
		fitsByNeeds[t.Needs] = fits
	}
	if !fits {
		return fmt.Sprintf("needs %s, more than any VM of the cell has", formatResources(t.Needs))
	}
	return ""
}

// avoids reports whether a task must not start on a VM because it failed there.
// A task that failed on every VM large enough for it may run on any of them:
// the limit on its attempts ends its failures, and until then it must not wait
// for a VM that may never be added.
func (r *round) avoids(t *Task, v *VM) bool {
	if !t.Avoid[v.Name] {
		return false
	}
	fits, ok := r.fitsElsewhere[t.ID]
	if !ok {
		fits = r.fitsSomeVM(t, true)
		r.fitsElsewhere[t.ID] = fits
	}
	return fits
}

// fitsSomeVM reports whether any VM is large enough for the task when empty.
// VMs in zones that are out count, since those zones return.
func (r *round) fitsSomeVM(t *Task, respectAvoid bool) bool {
	for i := range r.vms {
		v := r.vms[i].vm
		if t.Needs.Fits(v.Total) && !(respectAvoid && t.Avoid[v.Name]) {
			return true
		}
	}
	return false
}

func formatResources(n describer.Resources) string {
	return fmt.Sprintf("%dm processors, %d bytes, %d accelerators", n.Millicores, n.MemoryBytes, n.Accelerators)
}
