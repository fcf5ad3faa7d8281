package planner

import (
	"maps"
	"math"
	"slices"

	"bamboospread/internal/job/learner"
	"bamboospread/internal/job/tracker"
)

// The long-running tasks of a VM determine which best-effort images may use its idle
// processors: an image that interferes with one of them is kept off the whole VM. If
// long-running tasks are spread at random, each VM soon has one for every image that would
// interfere with it, and best-effort tasks wait while most processors are idle.

const (
	// spareHeadroom is the headroom that a long-running task can lose on average before its VM
	// admits no more best-effort tasks.
	spareHeadroom = 0.85
	// defaultUsableShare is the share of a VM's idle processors that a best-effort image is
	// expected to use next to a long-running image without reports of the pair: one pair in
	// five interferes strongly and leaves almost nothing.
	defaultUsableShare = 0.75
	// baselineDemand is the share of the fleet's idle processors that is assumed as demand of
	// the best-effort images in any case, all of them together, so that images without present
	// demand count too.
	baselineDemand = 0.3
)

// demandModel holds the demand of each best-effort image and the shares of idle processors
// that it may use.
type demandModel struct {
	images []string             // best-effort images, sorted
	needs  []float64            // demand in thousandths of a core, by best-effort image
	shares map[string][]float64 // by long-running image: the share of a VM's idle processors that each best-effort image may use
	share  shareFunc
	in     Input
}

// shareFunc returns the share of a VM's idle processors that a best-effort image may use next to a
// long-running one. l may be nil.
type shareFunc func(l *learner.Learner, longRunning, bestEffort string) float64

func newDemandModel(in Input, idle float64) *demandModel {
	needed := make(map[string]float64)
	if in.Learner != nil {
		for _, image := range in.Learner.BestEffortImages() {
			needed[image] = 0
		}
	}
	for _, s := range in.State.OpenSteps() {
		if s.Spec.BestEffort && !s.Spec.LongRunning {
			needed[s.Spec.Image] += float64(len(s.Tasks)-s.Done) * float64(s.Spec.Needs.CPUMillis)
		}
	}
	d := &demandModel{in: in, share: typicalShare, shares: make(map[string][]float64), images: slices.Sorted(maps.Keys(needed))}
	for _, image := range d.images {
		d.needs = append(d.needs, needed[image]+idle*baselineDemand/float64(len(needed)))
	}
	return d
}

// byKnownEffects returns the model of the same demand in which effects that are not known cost
// nothing.
func (d *demandModel) byKnownEffects() *demandModel {
	return &demandModel{in: d.in, share: knownShare, shares: make(map[string][]float64), images: d.images, needs: d.needs}
}

// sharesNextTo returns the share of idle processors that each best-effort image may use next
// to a long-running image.
func (d *demandModel) sharesNextTo(longRunning string) []float64 {
	shares, ok := d.shares[longRunning]
	if !ok {
		for _, bestEffort := range d.images {
			shares = append(shares, d.share(d.in.Learner, longRunning, bestEffort))
		}
		d.shares[longRunning] = shares
	}
	return shares
}

// typicalShare takes the mean of all pairs for an effect as far as it is not known.
func typicalShare(l *learner.Learner, longRunning, bestEffort string) float64 {
	return shareByEffect(l, longRunning, bestEffort, defaultUsableShare)
}

// knownShare takes an effect for nothing as far as it is not known.
func knownShare(l *learner.Learner, longRunning, bestEffort string) float64 {
	return shareByEffect(l, longRunning, bestEffort, 1)
}

func shareByEffect(l *learner.Learner, longRunning, bestEffort string, unknown float64) float64 {
	if l == nil {
		return unknown
	}
	effect, confidence := l.KnownEffect(longRunning, bestEffort)
	known := min(spareHeadroom/max(effect, spareHeadroom), 1)
	return confidence*known + (1-confidence)*unknown
}

// imageCounts is the number of long-running tasks of each image on a VM.
type imageCounts map[string]int

func countImages(vm *tracker.VM) imageCounts {
	c := make(imageCounts)
	for _, run := range vm.Runs {
		if s := run.Step().Spec; s.LongRunning && run.State != tracker.Stopping {
			c[s.Image]++
		}
	}
	return c
}

func (c imageCounts) adjusted(image string, by int) imageCounts {
	next := maps.Clone(c)
	if next[image] += by; next[image] <= 0 {
		delete(next, image)
	}
	return next
}

// usable returns how many thousandths of a core of a VM each best-effort image may use.
func (d *demandModel) usable(m *vmState) []float64 {
	usable := d.sharesWithout(m, "")
	for i := range usable {
		usable[i] *= m.idle()
	}
	return usable
}

// served returns how much of the demand is met by the usable processors, summed over all
// best-effort images. The gain of an image diminishes as more of its demand is met, so
// processors are worth most to an image that has few.
func (d *demandModel) served(usable []float64) float64 {
	sum := 0.0
	for i, need := range d.needs {
		if need+usable[i] > 0 {
			sum += need * usable[i] / (need + usable[i])
		}
	}
	return sum
}

// marginal returns how much more demand is met by another thousandth of a core of usable
// processors, by best-effort image.
func (d *demandModel) marginal(usable []float64) []float64 {
	weights := make([]float64, len(d.needs))
	for i, need := range d.needs {
		if need > 0 {
			weights[i] = need / (need + usable[i]) * need / (need + usable[i])
		}
	}
	return weights
}

// sharesWithout returns the share of a VM's idle processors that each best-effort image may use
// next to all long-running images there except one.
func (d *demandModel) sharesWithout(m *vmState, without string) []float64 {
	remaining := make([]float64, len(d.images))
	for i := range remaining {
		remaining[i] = 1
	}
	for image := range m.imageCounts() {
		if image == without {
			continue
		}
		for i, share := range d.sharesNextTo(image) {
			remaining[i] *= share
		}
	}
	return remaining
}

// addLongRunning adds a long-running task to a VM.
func (m *vmState) addLongRunning(s *tracker.Step) {
	m.images = m.imageCounts().adjusted(s.Spec.Image, 1)
	m.free = m.free.Sub(s.Spec.Committed())
	m.longRunning++
	m.longRunningCPU += s.Spec.Needs.CPUMillis
}

// removeLongRunning removes a long-running task from a VM.
func (m *vmState) removeLongRunning(s *tracker.Step) {
	m.images = m.imageCounts().adjusted(s.Spec.Image, -1)
	m.free = m.free.Add(s.Spec.Committed())
	m.longRunning--
	m.longRunningCPU -= s.Spec.Needs.CPUMillis
}

// servedLoss returns how much best-effort demand would no longer be served if a long-running
// task started on a VM, rounded to whole cores, so that other criteria decide where the loss
// is small.
func (r *round) servedLoss(m *vmState, s *tracker.Step) float64 {
	d := r.demandModel()
	if len(d.images) == 0 {
		return 0
	}
	joined := *m
	joined.addLongRunning(s)
	left := slices.Clone(r.fleetUsable)
	addScaled(left, d.usable(m), -1)
	addScaled(left, d.usable(&joined), 1)
	return math.Round((r.fleetServed - d.served(left)) / millisPerCore)
}

const millisPerCore = 1000

func dot(a, b []float64) (sum float64) {
	for i := range a {
		sum += a[i] * b[i]
	}
	return sum
}

func addScaled(sum, values []float64, factor float64) {
	for i, v := range values {
		sum[i] += factor * v
	}
}
