package placer

import (
	"fmt"

	"bamboospread/internal/fleet/describer"
)

// holdImpossible holds the tasks that can never run as things are and returns
// the others, by index. Without it such a task would stay at the head of its
// tenant's queue, and a VM reserved for it would never be used again.
func (r *round) holdImpossible() []int {
	rest := make([]int, 0, len(r.s.Queued))
	verdicts := make(map[describer.Resources]bool) // whether some VM is large enough
	for i := range r.s.Queued {
		t := &r.s.Queued[i]
		reason := r.holdReason(t, verdicts)
		if reason == "" {
			rest = append(rest, i)
			continue
		}
		r.plan.Holds = append(r.plan.Holds, Hold{TaskID: t.ID, Reason: reason, Inputs: map[string]string{
			"tenant": t.Tenant, "needs": describe(t.Needs), "quota": describe(r.tenant(t.Tenant).quota),
		}})
	}
	return rest
}

func (r *round) holdReason(t *Task, verdicts map[describer.Resources]bool) string {
	if quota := r.tenant(t.Tenant).quota; !withinQuota(t.Needs, quota) {
		return fmt.Sprintf("needs %s, beyond the quota of tenant %s: %s", describe(t.Needs), t.Tenant, describe(quota))
	}
	if r.s.Unsettled || len(r.vms) == 0 {
		return ""
	}
	fits, ok := verdicts[t.Needs]
	if !ok {
		fits = r.someVMCouldTake(t, false)
		verdicts[t.Needs] = fits
	}
	if !fits {
		return fmt.Sprintf("needs %s, beyond every VM of the cell", describe(t.Needs))
	}
	return ""
}

// avoids tells whether a task keeps off a VM on which it failed. One that failed
// on every VM that could take it may run on any: what ends its failures is the
// limit of its attempts, and until then it must not wait for a VM that never
// comes.
func (r *round) avoids(t *Task, v *VM) bool {
	if !t.Avoid[v.Name] {
		return false
	}
	elsewhere, ok := r.elsewhere[t.ID]
	if !ok {
		elsewhere = r.someVMCouldTake(t, true)
		r.elsewhere[t.ID] = elsewhere
	}
	return elsewhere
}

// someVMCouldTake tells whether a VM is large enough when empty. Zones that are
// out count: they come back.
func (r *round) someVMCouldTake(t *Task, heedAvoid bool) bool {
	for i := range r.vms {
		v := r.vms[i].vm
		if t.Needs.Fits(v.Total) && !(heedAvoid && t.Avoid[v.Name]) {
			return true
		}
	}
	return false
}

func describe(n describer.Resources) string {
	return fmt.Sprintf("%dm processors, %d bytes, %d accelerators", n.Millicores, n.MemoryBytes, n.Accelerators)
}
