package planner

import (
	"maps"
	"math"
	"slices"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/learner"
)

// Lasting tasks decide which filling images may use what their VM leaves idle: an
// image that is loud beside one of them is kept from the whole VM. Spread at random,
// each VM soon holds one lasting task for every image that would disturb it, and
// filling work waits while most processors stand idle.

const (
	// spareHeadroom is what a lasting task has to give away in the mean before its VM
	// takes no more filling tasks.
	spareHeadroom = 0.85
	// unknownShare is the share of a VM's idle processors that a filling image is
	// expected to use beside a lasting image without reports of the pair: of five pairs
	// one is loud and leaves next to nothing.
	unknownShare = 0.75
	// comeBack is the part of the fleet's idle processors that is kept in mind for
	// filling images without demand at present, all of them together.
	comeBack = 0.3
)

// outlook is what the fleet offers to filling images, and what they want of it.
type outlook struct {
	fills  []string             // filling images
	needs  []float64            // thousandths of a core, by filling image
	shares map[string][]float64 // by lasting image: the share of a VM's idle processors open to each filling image
	in     Input
}

func newOutlook(in Input, idle float64) *outlook {
	asked := make(map[string]float64)
	if in.Learner != nil {
		for _, image := range in.Learner.BestEffortImages() {
			asked[image] = 0
		}
	}
	for _, s := range in.State.OpenSteps() {
		if s.Spec.Fills && !s.Spec.Lasting {
			asked[s.Spec.Image] += float64(len(s.Tasks)-s.Done) * float64(s.Spec.Needs.CPUMillis)
		}
	}
	o := &outlook{in: in, shares: make(map[string][]float64), fills: slices.Sorted(maps.Keys(asked))}
	for _, image := range o.fills {
		o.needs = append(o.needs, asked[image]+idle*comeBack/float64(len(asked)))
	}
	return o
}

// sharesBeside returns the share of idle processors that each filling image may use
// beside a lasting one.
func (o *outlook) sharesBeside(lasting string) []float64 {
	shares, ok := o.shares[lasting]
	if !ok {
		for _, fill := range o.fills {
			shares = append(shares, quietShare(o.in.Learner, lasting, fill))
		}
		o.shares[lasting] = shares
	}
	return shares
}

func quietShare(l *learner.Learner, lasting, fill string) float64 {
	if l == nil {
		return unknownShare
	}
	effect, trust := l.KnownEffect(lasting, fill)
	known := min(spareHeadroom/max(effect, spareHeadroom), 1)
	return trust*known + (1-trust)*unknownShare
}

// company is how many lasting tasks of each image a VM holds.
type company map[string]int

func companyOf(vm *accountant.VM) company {
	c := make(company)
	for _, run := range vm.Runs {
		if s := run.Step().Spec; s.Lasting && run.State != accountant.Stopping {
			c[s.Image]++
		}
	}
	return c
}

func (c company) changed(image string, by int) company {
	next := maps.Clone(c)
	if next[image] += by; next[image] <= 0 {
		delete(next, image)
	}
	return next
}

// open returns how many thousandths of a core each filling image may use of a VM.
func (o *outlook) open(m *room) []float64 {
	idle := m.idle()
	open := make([]float64, len(o.fills))
	for i := range open {
		open[i] = idle
	}
	for lasting := range m.company() {
		for i, share := range o.sharesBeside(lasting) {
			open[i] *= share
		}
	}
	return open
}

// served is what of its needs each filling image gets of the processors open to it, all
// together. Half of what is needed is worth more to an image that has nothing than to
// one that has plenty.
func (o *outlook) served(open []float64) float64 {
	sum := 0.0
	for i, need := range o.needs {
		if need+open[i] > 0 {
			sum += need * open[i] / (need + open[i])
		}
	}
	return sum
}

// join books a lasting task in a room.
func (m *room) join(s *accountant.Step) {
	m.images = m.company().changed(s.Spec.Image, 1)
	m.free = m.free.Sub(s.Spec.Committed())
	m.lasting++
	m.lastCPU += s.Spec.Needs.CPUMillis
}

// leave takes a lasting task out of a room.
func (m *room) leave(s *accountant.Step) {
	m.images = m.company().changed(s.Spec.Image, -1)
	m.free = m.free.Add(s.Spec.Committed())
	m.lasting--
	m.lastCPU -= s.Spec.Needs.CPUMillis
}

// takesOpen returns how many whole cores a lasting task takes from what filling images
// get. Whole ones, so that where next to nothing is lost the other reasons decide.
func (r *round) takesOpen(m *room, s *accountant.Step) float64 {
	o := r.outlook()
	if len(o.fills) == 0 {
		return 0
	}
	joined := *m
	joined.join(s)
	left := slices.Clone(r.all)
	add(left, o.open(m), -1)
	add(left, o.open(&joined), 1)
	return math.Round((r.base - o.served(left)) / coreMillis)
}

const coreMillis = 1000

func add(sum, values []float64, factor float64) {
	for i, v := range values {
		sum[i] += factor * v
	}
}
