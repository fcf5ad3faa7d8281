package controller

import (
	"fmt"
	"slices"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/wire/messenger"
)

// Default limits of list replies.
const (
	defaultFindLimit   = 1000
	defaultEventsLimit = 500
)

func (o *owner) findTasks(r messenger.FindTasksOptions) messenger.FindTasksReply {
	limit := r.Limit
	if limit <= 0 {
		limit = defaultFindLimit
	}
	reply := messenger.FindTasksReply{Tasks: []messenger.Task{}}
	for _, t := range o.state.Tasks() {
		if len(reply.Tasks) == limit {
			break
		}
		if matches(t, r) {
			reply.Tasks = append(reply.Tasks, o.taskView(t))
		}
	}
	return reply
}

func matches(t *bookkeeper.Task, r messenger.FindTasksOptions) bool {
	return (len(r.IDs) == 0 || slices.Contains(r.IDs, t.Spec.ID)) &&
		(r.Tenant == "" || r.Tenant == t.Spec.Tenant) && (r.Class == "" || r.Class == t.Spec.Class) &&
		(r.State == "" || r.State == t.State) && (r.VM == "" || r.VM == t.VM)
}

func (o *owner) taskView(t *bookkeeper.Task) messenger.Task {
	view := messenger.Task{
		Spec: t.Spec, State: t.State, Reason: t.Reason, VM: t.VM, Attempt: t.Attempt, Failures: t.Failures,
		Evictions: t.Evictions, Checkpoint: t.Checkpoint, Submitted: t.Submitted, Changed: t.Changed,
	}
	if v := o.state.VM(t.VM); v != nil {
		view.Zone = v.Seen.Capacity.Zone
	}
	if t.State == messenger.TaskQueued && o.waitReasons[t.Spec.ID] != "" {
		view.Reason = o.waitReasons[t.Spec.ID]
	}
	return view
}

func (o *owner) status() messenger.Status {
	now := o.config.Now()
	s := messenger.Status{
		Cell: o.config.Cell, Owner: o.config.EntryID, Epoch: o.epoch, FleetVersion: o.fleet.Version(),
		StoreReached: !o.renewalOverdue(), JournalNext: o.commits.nextSeq, Tasks: o.state.Counts(),
		VMs: []messenger.VMStatus{}, Zones: []messenger.ZoneStatus{},
	}
	zones := make(map[string]*messenger.ZoneStatus)
	for _, z := range o.fleet.Zones() {
		s.Zones = append(s.Zones, messenger.ZoneStatus{Name: z.Name, State: z.State})
	}
	for i := range s.Zones {
		zones[s.Zones[i].Name] = &s.Zones[i]
	}
	for _, name := range o.state.VMs() {
		v := o.state.VM(name)
		c := v.Seen.Capacity
		s.VMs = append(s.VMs, messenger.VMStatus{
			VM: name, Zone: c.Zone, Rack: c.Rack, Total: c.Total, Committed: o.state.Committed(name),
			Tasks: o.state.CountOn(name), Reachable: o.session(name).reachable(now), Quarantined: v.Quarantined,
		})
		if z := zones[c.Zone]; z != nil {
			z.VMs++
			z.Tasks += o.state.CountOn(name)
		}
	}
	return s
}

func (o *owner) events(r messenger.EventsRequest) messenger.EventsReply {
	limit := r.Limit
	if limit <= 0 {
		limit = defaultEventsLimit
	}
	return messenger.EventsReply{Decisions: o.state.Decisions(r.Above, limit)}
}

// handleExplain replies with the state of a task, VM or service and the decisions about it.
func (o *owner) handleExplain(call callEvent, r messenger.ExplainRequest) {
	var reply messenger.ExplainReply
	var match func(*messenger.Decision) bool
	switch r.Kind {
	case "task":
		t := o.state.Task(r.Name)
		if t == nil {
			call.fail(messenger.CodeNotExist, "task %s does not exist", r.Name)
			return
		}
		reply.Summary = o.summarizeTask(t)
		match = func(d *messenger.Decision) bool { return d.Task == r.Name }
	case "vm":
		if o.state.VM(r.Name) == nil {
			call.fail(messenger.CodeNotExist, "VM %s does not exist", r.Name)
			return
		}
		reply.Summary = o.summarizeVM(r.Name)
		match = func(d *messenger.Decision) bool { return d.VM == r.Name }
	case "service":
		if _, ok := o.fleet.Service(r.Name); !ok {
			call.fail(messenger.CodeNotExist, "service %s does not exist", r.Name)
			return
		}
		reply.Summary = o.summarizeService(r.Name)
		match = func(d *messenger.Decision) bool { return d.Service == r.Name }
	default:
		call.fail(messenger.CodeBadRequest, "unknown kind %q: want task, vm or service", r.Kind)
		return
	}
	reply.Decisions = o.state.FindDecisions(match)
	call.succeed(reply)
}

func (o *owner) summarizeTask(t *bookkeeper.Task) string {
	view := o.taskView(t)
	text := fmt.Sprintf("task %s of tenant %s is %s", t.Spec.ID, t.Spec.Tenant, t.State)
	if t.HoldsResources() {
		text += fmt.Sprintf(" on VM %s in zone %s, attempt %d", t.VM, view.Zone, t.Attempt)
	}
	if view.Reason != "" {
		text += ": " + view.Reason
	}
	return text
}

func (o *owner) summarizeVM(name string) string {
	v, committed, total := o.state.VM(name), o.state.Committed(name), o.state.VM(name).Seen.Capacity.Total
	text := fmt.Sprintf("VM %s in zone %s holds %d tasks and has committed %d of %d millicores, %d of %d bytes of memory, %d of %d accelerators",
		name, v.Seen.Capacity.Zone, o.state.CountOn(name), committed.Millicores, total.Millicores,
		committed.MemoryBytes, total.MemoryBytes, committed.Accelerators, total.Accelerators)
	if v.Quarantined != "" {
		text += ", in quarantine: " + v.Quarantined
	}
	if !o.session(name).reachable(o.config.Now()) {
		text += ", not reachable"
	}
	return text
}

func (o *owner) summarizeService(name string) string {
	service, _ := o.fleet.Service(name)
	replicas, upstreams := 0, int64(0)
	for _, vm := range o.state.VMs() {
		for _, t := range o.state.On(vm) {
			if t.Spec.Service == name && t.State == messenger.TaskRunning {
				replicas++
			}
		}
		for _, u := range o.state.VM(vm).Seen.Services {
			if u.Service == name {
				upstreams += u.Count
			}
		}
	}
	return fmt.Sprintf("service %s has %d upstreams; %d of %d replicas managed by the scheduler are running", name, upstreams, replicas, service.Replicas)
}
