package placer

import "math"

const (
	// largeShare is the share of the largest VM from which a task counts as
	// large: smaller ones find a gap by themselves.
	largeShare = 0.25
	// vmsPerReservation bounds how much of the cell stands by for large tasks.
	vmsPerReservation = 20
)

// startAged serves large tasks that have waited long, oldest first, and returns
// the rest of the queue. Small tasks would otherwise take each gap before it is
// large enough, and the large one would wait for ever. A VM that is nearest to
// having room is kept free for it; as room on that VM only grows from then on,
// later rounds choose it again. One for each tenant, so that no tenant can block
// the cell with them.
func (r *round) startAged(queue []int) []int {
	left := max(1, len(r.vms)/vmsPerReservation)
	largest := r.largestVM()
	served := make(map[string]bool)
	rest := queue[:0]
	for _, i := range queue {
		t := &r.s.Queued[i]
		if left == 0 || served[t.Tenant] || !r.isAged(t, largest) {
			rest = append(rest, i)
			continue
		}
		reason := r.tryStart(t)
		if reason == "" {
			continue
		}
		r.plan.Waits[t.ID] = reason
		if r.reserve(t) {
			served[t.Tenant] = true
			left--
		}
	}
	return rest
}

func (r *round) isAged(t *Task, largest *vmState) bool {
	return largest != nil && t.Service == "" && r.s.Now.Sub(t.Submitted) >= r.config.ReserveAfter &&
		!t.NotBefore.After(r.s.Now) && dominantShare(t.Needs, largest.vm.Total) >= largeShare
}

func (r *round) largestVM() *vmState {
	var largest *vmState
	for i := range r.vms {
		if largest == nil || r.vms[i].vm.Total.Millicores > largest.vm.Total.Millicores {
			largest = &r.vms[i]
		}
	}
	return largest
}

// reserve keeps the VM free that lacks least for a task.
func (r *round) reserve(t *Task) bool {
	ts := r.tenant(t.Tenant)
	if !withinQuota(ts.used.Add(t.Needs), ts.quota) {
		return false
	}
	best, least := -1, math.Inf(1)
	for i := range r.vms {
		v := &r.vms[i]
		if v.blocked != "" || v.reserved != "" || !t.Needs.Fits(v.vm.Total) || r.avoids(t, v.vm) || t.Needs.Fits(v.free) {
			continue
		}
		if lack := dominantShare(t.Needs.Sub(v.free), v.vm.Total); lack < least {
			best, least = i, lack
		}
	}
	if best < 0 {
		return false
	}
	r.vms[best].reserved = t.ID
	r.plan.Waits[t.ID] = "waits for room on VM " + r.vms[best].vm.Name + ", which is kept free for it"
	return true
}
