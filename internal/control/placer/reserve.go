package placer

import "math"

const (
	// largeTaskShare is the share of the largest VM from which on a task counts
	// as large. Smaller tasks find free capacity without a reservation.
	largeTaskShare = 0.25
	// vmsPerReservation limits how much of the cell is reserved for large
	// tasks: one reservation per this many VMs, at least one.
	vmsPerReservation = 20
)

// startAged starts large tasks that have waited long, oldest first, and returns
// the rest of the queue. Otherwise small tasks would use all freed capacity
// before enough of it is free in one place, and a large task would wait
// forever. If a large task does not fit, the VM that lacks least is reserved
// for it. From then on the free capacity of that VM only grows, so later rounds
// choose it again. Each tenant gets at most one reservation, so that no tenant
// can block the cell.
func (r *round) startAged(queue []int) []int {
	reservationsLeft := max(1, len(r.vms)/vmsPerReservation)
	largest := r.largestVM()
	reserved := make(map[string]bool)
	remaining := queue[:0]
	for _, i := range queue {
		t := &r.snapshot.Queued[i]
		if reservationsLeft == 0 || reserved[t.Tenant] || !r.isAged(t, largest) {
			remaining = append(remaining, i)
			continue
		}
		reason := r.tryStart(t)
		if reason == "" {
			continue
		}
		r.plan.Waits[t.ID] = reason
		if r.reserve(t) {
			reserved[t.Tenant] = true
			reservationsLeft--
		}
	}
	return remaining
}

func (r *round) isAged(t *Task, largest *vmState) bool {
	return largest != nil && t.Service == "" && r.snapshot.Now.Sub(t.Submitted) >= r.config.ReserveAfter &&
		!t.NotBefore.After(r.snapshot.Now) && dominantShare(t.Needs, largest.vm.Total) >= largeTaskShare
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

// reserve reserves the VM that lacks the least capacity for the task.
func (r *round) reserve(t *Task) bool {
	ts := r.tenant(t.Tenant)
	if !withinQuota(ts.used.Add(t.Needs), ts.quota) {
		return false
	}
	best, leastLack := -1, math.Inf(1)
	for i := range r.vms {
		v := &r.vms[i]
		if v.blocked != "" || v.reserved != "" || !t.Needs.Fits(v.vm.Total) || r.avoids(t, v.vm) || t.Needs.Fits(v.free) {
			continue
		}
		if lack := dominantShare(t.Needs.Sub(v.free), v.vm.Total); lack < leastLack {
			best, leastLack = i, lack
		}
	}
	if best < 0 {
		return false
	}
	r.vms[best].reserved = t.ID
	r.plan.Waits[t.ID] = "waits for capacity on VM " + r.vms[best].vm.Name + ", which is reserved for it"
	return true
}
