package placer

import (
	"container/heap"
	"fmt"
	"time"

	"bamboospread/internal/fleet/describer"
)

// minWeight prevents a division by zero for a tenant with a tiny weight.
const minWeight = 0.01

// tenantState is the current usage and the limits of a tenant.
type tenantState struct {
	name   string
	quota  describer.Resources
	weight float64
	used   describer.Resources
	share  float64 // dominant share of the cell, divided by the weight
	queue  []int   // queued tasks of the priority level that is being started
}

func (r *round) tenant(name string) *tenantState {
	if ts := r.tenants[name]; ts != nil {
		return ts
	}
	ts := &tenantState{name: name, weight: 1}
	if t, ok := r.snapshot.Fleet.Tenant(name); ok {
		ts.quota, ts.weight = t.Quota, max(t.Weight, minWeight)
	}
	r.tenants[name] = ts
	return ts
}

func (ts *tenantState) add(needs, total describer.Resources) {
	ts.used = ts.used.Add(needs)
	ts.share = dominantShare(ts.used, total) / ts.weight
}

// withinQuota reports whether used is within the quota. A zero quota for a
// resource means no limit.
func withinQuota(used, quota describer.Resources) bool {
	return (quota.Millicores == 0 || used.Millicores <= quota.Millicores) &&
		(quota.MemoryBytes == 0 || used.MemoryBytes <= quota.MemoryBytes) &&
		(quota.Accelerators == 0 || used.Accelerators <= quota.Accelerators)
}

// priorityLevel returns the priority level of a task, which takes precedence
// over tenant shares: services first, then urgent tasks, then all others.
func priorityLevel(t *Task) int {
	switch {
	case t.Service != "":
		return 0
	case t.Urgent:
		return 1
	}
	return 2
}

const priorityLevels = 3

// startByShare starts queued tasks level by level. Within a level the tenant
// with the smallest dominant share goes next, with its oldest task. A task that
// finds no VM does not block the tasks behind it.
func (r *round) startByShare(queue []int) {
	byLevel := make([][]int, priorityLevels)
	for _, i := range queue {
		l := priorityLevel(&r.snapshot.Queued[i])
		byLevel[l] = append(byLevel[l], i)
	}
	for _, tasks := range byLevel {
		waiting := r.tenantsByShare(tasks)
		for waiting.Len() > 0 {
			ts := waiting[0]
			t := &r.snapshot.Queued[ts.queue[0]]
			ts.queue = ts.queue[1:]
			if reason := r.tryStart(t); reason != "" {
				r.plan.Waits[t.ID] = reason
			}
			if len(ts.queue) == 0 {
				heap.Pop(&waiting)
			} else {
				heap.Fix(&waiting, 0)
			}
		}
	}
}

func (r *round) tenantsByShare(tasks []int) byShare {
	var waiting byShare
	for _, i := range tasks {
		ts := r.tenant(r.snapshot.Queued[i].Tenant)
		if len(ts.queue) == 0 {
			waiting = append(waiting, ts)
		}
		ts.queue = append(ts.queue, i)
	}
	heap.Init(&waiting)
	return waiting
}

// tryStart starts a task and returns "", or returns the reason why it waits.
func (r *round) tryStart(t *Task) string {
	if len(r.plan.Starts) >= r.config.MaxStarts {
		return "limit of starts in this round is reached"
	}
	if wait := t.NotBefore.Sub(r.snapshot.Now); wait > 0 {
		return fmt.Sprintf("backoff after a failure until %s", t.NotBefore.UTC().Format(time.RFC3339))
	}
	ts := r.tenant(t.Tenant)
	if !withinQuota(ts.used.Add(t.Needs), ts.quota) {
		return "quota of tenant " + t.Tenant + " is exhausted"
	}
	key := newFailureKey(t)
	if f, ok := r.failed[key]; ok && !t.Submitted.Before(f.submitted) {
		return f.reason // capacity only shrinks within a round, and a younger task has a smaller effect allowance
	}
	c, ok := r.bestVM(t)
	if !ok {
		reason := r.waitReason(t)
		if len(t.Avoid) == 0 {
			r.failed[key] = failure{reason, t.Submitted}
		}
		return reason
	}
	r.start(t, c)
	return ""
}

func (r *round) start(t *Task, c candidate) {
	v := r.vms[c.at].vm
	r.plan.Starts = append(r.plan.Starts, Start{
		TaskID: t.ID, VM: v.Name, Reason: r.startReason(t),
		Inputs: map[string]string{
			"policy": string(r.config.Policy), "zone": v.Zone, "score": formatFloat(c.score),
			"interference": formatFloat(c.interference), "fragmentation": formatFloat(c.fragmentation),
			"tenant-share": formatFloat(r.tenant(t.Tenant).share), "free": formatResources(r.vms[c.at].free),
		},
	})
	r.commit(t, c.at)
}

func (r *round) startReason(t *Task) string {
	switch {
	case r.config.Policy == PolicyFirstFit:
		return "first VM with enough free capacity"
	case r.config.Policy == PolicyStaticHeadroom:
		return "first VM with enough free capacity besides the headroom"
	case t.Service != "":
		return "best spread of replicas over zones, racks and VMs"
	}
	return "least predicted interference, then best fit"
}

// byShare is a heap of tenants ordered by dominant share, then by name.
type byShare []*tenantState

func (h byShare) Len() int { return len(h) }
func (h byShare) Less(i, j int) bool {
	if h[i].share != h[j].share {
		return h[i].share < h[j].share
	}
	return h[i].name < h[j].name
}
func (h byShare) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *byShare) Push(x any) { *h = append(*h, x.(*tenantState)) }

// Pop implements heap.Interface.
func (h *byShare) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
