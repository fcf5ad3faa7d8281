package placer

import (
	"sort"
	"strconv"
)

// drain evicts tasks from zones that are out and from leaving VMs, within the
// eviction budget. Batch tasks that cannot be checkpointed stay: an eviction is
// certain to lose their work, staying is not. A replica is evicted only once
// enough other replicas run elsewhere. The longest-running tasks go first,
// since they would lose the most work if the budget were used up before the
// zone is lost.
func (r *round) drain() {
	var candidates []drainCandidate
	for at := range r.vms {
		v := r.vms[at].vm
		if !v.Reachable || !r.mustDrain(v) {
			continue
		}
		reason := "VM is leaving"
		if r.snapshot.Fleet.ZoneIsOut(v.Zone) {
			reason = "zone " + v.Zone + " is out"
		}
		for _, i := range r.tasksOn[at] {
			if t := &r.snapshot.Placed[i]; !t.Stopping && r.canDrain(t) {
				candidates = append(candidates, drainCandidate{t, v, reason})
			}
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].task.Started.Before(candidates[j].task.Started) })
	for _, c := range candidates {
		if r.evictionsLeft <= 0 {
			return
		}
		r.evict(c.task, c.reason, map[string]string{"vm": c.vm.Name, "zone": c.vm.Zone})
	}
}

// drainCandidate is a task that has to leave its VM.
type drainCandidate struct {
	task   *Task
	vm     *VM
	reason string
}

func (r *round) canDrain(t *Task) bool {
	if t.Service == "" {
		return t.Checkpoint
	}
	s, ok := r.snapshot.Fleet.Service(t.Service)
	return !ok || r.replicas[t.Service].staying >= s.Replicas
}

func (r *round) evict(t *Task, reason string, inputs map[string]string) {
	r.evictionsLeft--
	r.evicted[t.ID] = true
	inputs["evictions-left"] = strconv.Itoa(r.evictionsLeft)
	r.plan.Evictions = append(r.plan.Evictions, Eviction{TaskID: t.ID, Reason: reason, Inputs: inputs})
}
