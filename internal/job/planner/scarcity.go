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
	s, known := r.scarcities[m.vm.Name]
	if !known {
		s = r.newScarcity(d, m)
		r.scarcities[m.vm.Name] = s
	}
	if i, found := slices.BinarySearch(d.images, image); found {
		return s.total - s.byImage[i]
	}
	return s.total
}

func (r *round) newScarcity(d *demandModel, m *vmState) scarcity {
	unmet, sum := d.marginal(r.fleetUsable), 0.0
	for i := range unmet {
		unmet[i] *= d.needs[i]
		sum += unmet[i]
	}
	s := scarcity{byImage: d.sharesWithout(m, "")}
	for i := range unmet {
		s.byImage[i] *= unmet[i] / max(sum, 1)
		s.total += s.byImage[i]
	}
	return s
}
