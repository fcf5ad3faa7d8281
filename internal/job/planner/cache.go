package planner

import (
	"slices"
	"time"

	"bamboospread/internal/job/tracker"
)

// Cache keeps results that are expensive to compute and change little from one round to the
// next: the headroom left to the long-running tasks of a VM, and the processors that
// best-effort images may use. Computing them for all VMs in each round would delay starts on a
// large fleet if the owner has little processor time. A nil Cache keeps nothing. It is not safe
// for concurrent use.
type Cache struct {
	vms         map[string]cachedVM
	demand      *demandModel
	scarcities  *scarcities
	fleetUsable []float64
	fleetServed float64
	demandAt    time.Time
}

// NewCache returns an empty Cache.
func NewCache() *Cache { return &Cache{vms: make(map[string]cachedVM)} }

// cacheTTL is how long a cached result is valid: reports arrive at this interval.
const cacheTTL = 250 * time.Millisecond

// cachedVM is the result for a VM at one of its versions.
type cachedVM struct {
	version    int64
	at         time.Time
	neighbours []neighbour
}

// restore sets the neighbours of a VM if the cached ones are still valid.
func (c *Cache) restore(m *vmState) {
	if c == nil {
		return
	}
	r, ok := c.vms[m.vm.Name]
	if !ok || r.version != m.vm.Version || m.now.Sub(r.at) >= cacheTTL {
		return
	}
	m.neighbours, m.neighboursKnown = slices.Clone(r.neighbours), true
}

// storeNeighbours caches the headroom of the long-running tasks of a VM before the round
// places anything there.
func (c *Cache) storeNeighbours(vm *tracker.VM, now time.Time, all []neighbour) {
	if c == nil {
		return
	}
	c.vms[vm.Name] = cachedVM{version: vm.Version, at: now, neighbours: slices.Clone(all)}
}

// demandModel returns the demand model of this round or of one shortly before. It also sets
// fleetUsable and fleetServed.
func (r *round) demandModel() *demandModel {
	if r.demand != nil {
		return r.demand
	}
	c := r.in.Cache
	if c != nil && c.demand != nil && r.now.Sub(c.demandAt) < cacheTTL {
		r.demand, r.fleetUsable, r.fleetServed, r.scarcities = c.demand, c.fleetUsable, c.fleetServed, c.scarcities
		return r.demand
	}
	idle := 0.0
	for _, m := range r.vmStates {
		idle += m.idle()
	}
	r.demand = newDemandModel(r.in, idle)
	r.fleetUsable = make([]float64, len(r.demand.images))
	for _, m := range r.vmStates {
		addScaled(r.fleetUsable, r.demand.usable(m), 1)
	}
	r.fleetServed = r.demand.served(r.fleetUsable)
	r.scarcities = newScarcities(r.demand, r.fleetUsable)
	if c != nil {
		c.demand, c.fleetUsable, c.fleetServed, c.scarcities, c.demandAt = r.demand, r.fleetUsable, r.fleetServed, r.scarcities, r.now
	}
	return r.demand
}
