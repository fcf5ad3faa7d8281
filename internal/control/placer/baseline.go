package placer

// firstFit returns the first VM that can accept the task.
func (r *round) firstFit(t *Task) (candidate, bool) {
	if t.Service != "" { // every policy spreads replicas
		return r.bestAmong(t, 0, len(r.vms))
	}
	for i := range r.vms {
		if r.refusalReason(t, i) == "" {
			return candidate{at: i}, true
		}
	}
	return candidate{}, false
}

// headroomRefusalReason refuses a task that would leave less than Config.Headroom
// of the processors free on a VM that runs a service. It returns "" otherwise.
func (r *round) headroomRefusalReason(t *Task, v *vmState) string {
	if len(v.vm.Services) == 0 {
		return ""
	}
	if left := v.free.Millicores - t.Needs.Millicores; float64(left) < r.config.Headroom*float64(v.vm.Total.Millicores) {
		return refusedHeadroom
	}
	return ""
}
