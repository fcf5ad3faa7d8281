package controller

import (
	"fmt"
	"slices"
	"time"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

// Budget of planned evictions.
const (
	defaultEvictionsPerMinute = 60
	burstDivisor              = 6 // a sixth of a minute's budget may be used at once
	zoneReturnRetention       = 10 * time.Minute
)

// tokenBucket limits the rate of planned evictions.
type tokenBucket struct {
	tokens float64
	at     time.Time
}

func (b *tokenBucket) refill(now time.Time, perMinute float64) {
	limit := max(1, perMinute/burstDivisor)
	if b.at.IsZero() {
		b.tokens = limit
	} else {
		b.tokens = min(limit, b.tokens+now.Sub(b.at).Minutes()*perMinute)
	}
	b.at = now
}

func (b *tokenBucket) left(now time.Time, perMinute float64) int {
	b.refill(now, perMinute)
	return int(b.tokens)
}

func (b *tokenBucket) take(now time.Time, perMinute float64) bool {
	if b.left(now, perMinute) < 1 {
		return false
	}
	b.tokens--
	return true
}

func (o *owner) evictionRate() float64 {
	if rate := o.fleet.Policy().EvictionsPerMinute; rate > 0 {
		return rate
	}
	return defaultEvictionsPerMinute
}

// checkZones withdraws starts in zones that were taken out. Running tasks there are moved
// by the placement rounds, within the eviction budget.
func (o *owner) checkZones(now time.Time) {
	for zone, at := range o.zoneReturnedAt {
		if now.Sub(at) > zoneReturnRetention {
			delete(o.zoneReturnedAt, zone)
		}
	}
	if o.fleet.Version() > 0 {
		o.withdrawStarts()
	}
}

// checkReplicas maintains the configured number of replicas of each service. Replicas in a
// zone that was taken out are stopped only once as many run elsewhere.
func (o *owner) checkReplicas() {
	if o.fleet.Version() == 0 || o.appendSlow() {
		return
	}
	byService := make(map[string][]*bookkeeper.Task)
	for _, t := range o.state.Tasks() {
		if t.Spec.Service != "" && !t.Final() && t.Stop != bookkeeper.StopCancel {
			byService[t.Spec.Service] = append(byService[t.Spec.Service], t)
		}
	}
	for _, service := range o.fleet.Services() {
		o.reconcileReplicas(service, byService[service.Name])
		delete(byService, service.Name)
	}
	for _, remaining := range byService {
		for _, t := range remaining {
			o.cancel(t, "the service was removed from the fleet text", newCommitWait(func() {}))
		}
	}
}

func (o *owner) reconcileReplicas(service describer.Service, have []*bookkeeper.Task) {
	var leaving, staying []*bookkeeper.Task
	running := 0
	for _, t := range have {
		if t.HoldsResources() && o.zoneOut(t.VM) {
			leaving = append(leaving, t)
			continue
		}
		staying = append(staying, t)
		if t.State == messenger.TaskRunning {
			running++
		}
	}
	for n := len(staying); n < service.Replicas; n++ {
		o.addReplica(service)
	}
	// Cancel surplus replicas: first those that do not run yet, then the latest.
	slices.SortStableFunc(staying, func(a, b *bookkeeper.Task) int { return startRank(a) - startRank(b) })
	for len(staying) > service.Replicas {
		last := staying[len(staying)-1]
		staying = staying[:len(staying)-1]
		o.cancel(last, "more replicas than configured", newCommitWait(func() {}))
	}
	// Stop a leaving replica only if the running replicas elsewhere and the other leaving
	// ones still make up the configured number.
	for n := 0; n < len(leaving) && running+len(leaving)-n > service.Replicas; n++ {
		o.cancel(leaving[n], "replaced, its zone was taken out", newCommitWait(func() {}))
	}
}

func startRank(t *bookkeeper.Task) int {
	switch t.State {
	case messenger.TaskRunning:
		return 0
	case messenger.TaskStarting:
		return 1
	}
	return 2
}

func (o *owner) addReplica(service describer.Service) {
	id := ""
	for n := o.state.NextOrder(); id == "" || o.state.Task(id) != nil; n++ {
		id = fmt.Sprintf("%s%s-%d", replicaPrefix, service.Name, n)
	}
	spec := messenger.TaskSpec{ID: id, Tenant: service.Tenant, Service: service.Name, Needs: service.Needs, Urgent: true}
	o.decide(bookkeeper.Record{Submitted: &bookkeeper.Submitted{Spec: spec}}, reporter.TaskSubmitted,
		messenger.Decision{Task: id, Service: service.Name, Reason: fmt.Sprintf("the service is configured with %d replicas", service.Replicas)}, nil)
	o.urgent = true
}
