package planner

import (
	"slices"
	"time"

	"bamboospread/internal/job/accountant"
)

// Memory keeps from one round to the next what is costly to work out and changes little:
// what the lasting tasks of a VM have left, and what the fleet offers to filling images.
// It answers large fleets under an owner with little processor: worked out anew for all
// VMs in each round, it delays the starts that a round is for. A nil Memory keeps nothing.
// It is used by one goroutine.
type Memory struct {
	vms    map[string]remembered
	look   *outlook
	all    []float64
	base   float64
	lookAt time.Time
}

// NewMemory returns an empty Memory.
func NewMemory() *Memory { return &Memory{vms: make(map[string]remembered)} }

// memoryLife is how long something is remembered: reports come as often.
const memoryLife = 250 * time.Millisecond

// remembered is what is known of a VM as it was at a version.
type remembered struct {
	version    int64
	at         time.Time
	neighbours []neighbour
}

// recall gives a room what is still true of its VM.
func (y *Memory) recall(m *room) {
	if y == nil {
		return
	}
	r, ok := y.vms[m.vm.Name]
	if !ok || r.version != m.vm.Version || m.now.Sub(r.at) >= memoryLife {
		return
	}
	m.neighbours, m.met = slices.Clone(r.neighbours), true
}

// keepNeighbours remembers what the lasting tasks of a VM have left before the round
// places anything there.
func (y *Memory) keepNeighbours(vm *accountant.VM, now time.Time, all []neighbour) {
	if y == nil {
		return
	}
	y.vms[vm.Name] = remembered{version: vm.Version, at: now, neighbours: slices.Clone(all)}
}

// outlook returns what the fleet offers to filling images and what they get of it, of
// this round or of one shortly before.
func (r *round) outlook() *outlook {
	if r.look != nil {
		return r.look
	}
	y := r.in.Memory
	if y != nil && y.look != nil && r.now.Sub(y.lookAt) < memoryLife {
		r.look, r.all, r.base = y.look, y.all, y.base
		return r.look
	}
	idle := 0.0
	for _, m := range r.rooms {
		idle += m.idle()
	}
	r.look = newOutlook(r.in, idle)
	r.all = make([]float64, len(r.look.fills))
	for _, m := range r.rooms {
		add(r.all, r.look.open(m), 1)
	}
	r.base = r.look.served(r.all)
	if y != nil {
		y.look, y.all, y.base, y.lookAt = r.look, r.all, r.base, r.now
	}
	return r.look
}
