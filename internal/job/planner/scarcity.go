package planner

import "slices"

// scarcityWeight is the weight of the scarcity of a VM against its best-effort capacity, as a share
// of its processors, when the VM for a best-effort task is chosen.
const scarcityWeight = 3.0

// scarcity is the share of the fleet's best-effort demand that may use the idle processors of a VM,
// weighted by how much of it is not met. An image that may run almost anywhere takes the VMs that
// no other may use and leaves the rest to those that have no choice.
type scarcity struct {
	total   float64
	byImage []float64
}

// scarcityFor returns the scarcity of a VM for best-effort images other than the given one, from 0
// to 1.
func (r *round) scarcityFor(m *vmState, image string) float64 {
	d := r.demandModel()
	s, known := r.scarcities.byVM[m.vm.Name]
	if !known {
		s = r.scarcities.of(d.sharesWithout(m, ""))
		r.scarcities.byVM[m.vm.Name] = s
	}
	if i, found := slices.BinarySearch(d.images, image); found {
		return s.total - s.byImage[i]
	}
	return s.total
}

// scarcities holds the scarcity of VMs as far as it has been computed.
type scarcities struct {
	unmet []float64 // share of each best-effort image in the demand that is not met
	byVM  map[string]scarcity
}

func newScarcities(d *demandModel, fleetUsable []float64) *scarcities {
	unmet, sum := d.marginal(fleetUsable), 0.0
	for i := range unmet {
		unmet[i] *= d.needs[i]
		sum += unmet[i]
	}
	for i := range unmet {
		unmet[i] /= max(sum, 1)
	}
	return &scarcities{unmet: unmet, byVM: make(map[string]scarcity)}
}

// of returns the scarcity of a VM by the share of its idle processors that each image may use.
func (s *scarcities) of(shares []float64) scarcity {
	found := scarcity{byImage: shares}
	for i, unmet := range s.unmet {
		found.byImage[i] *= unmet
		found.total += found.byImage[i]
	}
	return found
}
