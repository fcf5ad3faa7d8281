package placer

import "strconv"

// drain evicts what runs in zones that are out and on VMs that leave, under the
// budget. A batch task that can't be checkpointed stays: moving it would lose
// its work for certain, staying may not. A replica goes only once enough others
// run elsewhere.
func (r *round) drain() {
	for at := range r.vms {
		v := r.vms[at].vm
		if !v.Reachable || !r.goes(v) {
			continue
		}
		why := "VM leaves"
		if r.s.Fleet.ZoneIsOut(v.Zone) {
			why = "zone " + v.Zone + " is out"
		}
		for _, i := range r.tasks[at] {
			t := &r.s.Placed[i]
			if r.evictions <= 0 {
				return
			}
			if t.Stopping || !r.mayDrain(t) {
				continue
			}
			r.evict(t, why, map[string]string{"vm": v.Name, "zone": v.Zone})
		}
	}
}

func (r *round) mayDrain(t *Task) bool {
	if t.Service == "" {
		return t.Checkpoint
	}
	s, ok := r.s.Fleet.Service(t.Service)
	return !ok || r.spread[t.Service].elsewhere >= s.Replicas
}

func (r *round) evict(t *Task, reason string, inputs map[string]string) {
	r.evictions--
	r.moving[t.ID] = true
	inputs["evictions-left"] = strconv.Itoa(r.evictions)
	r.plan.Evictions = append(r.plan.Evictions, Eviction{TaskID: t.ID, Reason: reason, Inputs: inputs})
}
