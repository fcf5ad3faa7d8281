package placer

import (
	"sort"
	"strconv"
)

// drain evicts what runs in zones that are out and on VMs that leave, under the
// budget. A batch task that can't be checkpointed stays: moving it would lose
// its work for certain, staying may not. A replica goes only once enough others
// run elsewhere. What has run longest goes first: it has the most to lose if the
// budget doesn't last until the zone is gone.
func (r *round) drain() {
	var going []leaver
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
			if t := &r.s.Placed[i]; !t.Stopping && r.mayDrain(t) {
				going = append(going, leaver{t, v, why})
			}
		}
	}
	sort.SliceStable(going, func(i, j int) bool { return going[i].task.Started.Before(going[j].task.Started) })
	for _, l := range going {
		if r.evictions <= 0 {
			return
		}
		r.evict(l.task, l.why, map[string]string{"vm": l.vm.Name, "zone": l.vm.Zone})
	}
}

// leaver is a task that has to leave its VM.
type leaver struct {
	task *Task
	vm   *VM
	why  string
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
