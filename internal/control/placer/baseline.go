package placer

// firstOf returns the first VM that takes the task.
func (r *round) firstOf(t *Task) (candidate, bool) {
	if t.Service != "" { // replicas are spread under every policy
		return r.bestOf(t, 0, len(r.vms))
	}
	for i := range r.vms {
		if r.refusal(t, i) == "" {
			return candidate{at: i}, true
		}
	}
	return candidate{}, false
}

// headroomRefusal leaves a fixed share of the processors of a VM free if a
// service runs on it.
func (r *round) headroomRefusal(t *Task, v *vmState) string {
	if len(v.vm.Services) == 0 {
		return ""
	}
	if left := v.free.Millicores - t.Needs.Millicores; float64(left) < r.config.Headroom*float64(v.vm.Total.Millicores) {
		return refusedHeadroom
	}
	return ""
}
