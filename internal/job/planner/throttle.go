package planner

import (
	"sort"
	"time"

	"bamboospread/internal/job/tracker"
)

// Limits of throttling. The load of long-running tasks varies, so a best-effort task that did
// not interfere a second ago may do so now. The runs that interfere most are throttled before
// a target is missed, and the others continue at full pace.
const (
	// throttleHeadroom is the headroom below which best-effort runs are throttled, and
	// raiseHeadroom the one that must remain before they speed up. Between the two nothing
	// changes, so that variations between reports do not make paces oscillate.
	throttleHeadroom = 1.12
	raiseHeadroom    = 1.3
	// reportWeight is the weight of a long-running task's own report against the estimate from
	// all tasks of its step: its VM may be slow, and its report is noisy.
	reportWeight = 0.5
	// controlDelay is the time from the middle of a report's period until a pace that is ordered by
	// it has an effect.
	controlDelay = 500 * time.Millisecond
)

// paceLevels are the paces in use, in percent.
var paceLevels = []int{paceFull, 60, 30, 10, 0}

// bestEffortRun is a best-effort run during the calculation of paces.
type bestEffortRun struct {
	run     *tracker.Run
	use     float64 // at full pace, as a share of the VM
	level   int     // index of paceLevels
	starved bool    // it has been throttled for so long that it is to work as the targets allow
}

func (b bestEffortRun) useAt(level int) float64 { return b.use * float64(paceLevels[level]) / paceFull }

// throttledPaces returns a pace for each best-effort run of a VM based on the learned effects:
// the present pace if it is within bounds, otherwise the nearest one that is.
func throttledPaces(in Input, vm *tracker.VM) []Pace {
	runs := bestEffortRuns(in, vm)
	if len(runs) == 0 {
		return nil
	}
	protected := protectedRuns(in, vm)
	low, high := throttle(in, runs, protected, raiseHeadroom), throttle(in, runs, protected, throttleHeadroom)
	paces := make([]Pace, len(runs))
	for i, b := range runs {
		pace := b.run.Pace
		if pace == tracker.PaceUnknown {
			pace = paceFull
		}
		percent := min(max(pace, paceLevels[low[i].level]), paceLevels[high[i].level])
		paces[i] = Pace{b.run, percent}
	}
	return paces
}

func bestEffortRuns(in Input, vm *tracker.VM) []bestEffortRun {
	var runs []bestEffortRun
	for _, r := range vm.Runs {
		if r.Step().Spec.BestEffort && r.State == tracker.Running {
			runs = append(runs, bestEffortRun{run: r, use: fullPaceUse(r, in.Now), starved: throttledFor(r, in.Now) >= headroomWait})
		}
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].run.Key().Less(runs[j].run.Key()) })
	return runs
}

// throttledFor is how long a run has been below full pace.
func throttledFor(r *tracker.Run, now time.Time) time.Duration {
	if r.Pace == paceFull || r.Pace == tracker.PaceUnknown || r.PacedAt.IsZero() {
		return 0
	}
	return now.Sub(r.PacedAt)
}

// protectedRun is a long-running run with the headroom that it would have without best-effort
// tasks.
type protectedRun struct {
	image string
	alone float64
}

func protectedRuns(in Input, vm *tracker.VM) []protectedRun {
	if in.Learner == nil {
		return nil
	}
	use := measuredUse(vm)
	var all []protectedRun
	for _, r := range vm.Runs {
		if !hasMeasuredTail(r) || in.Now.Sub(r.StartedAt) < warmUp {
			continue
		}
		image := r.Step().Spec.Image
		alone := headroom(r)
		for i, u := range use {
			alone += u * in.Learner.Effect(image, i)
		}
		own, _ := in.Learner.OwnHeadroom(groupName(r))
		expected := reportWeight*alone + (1-reportWeight)*own + in.Learner.Trend(groupName(r), controlDelay)
		all = append(all, protectedRun{image, expected})
	}
	return all
}

// throttle lowers the pace of best-effort runs, level by level, until each long-running run
// has at least the given headroom or no run that interferes with it can be throttled further.
func throttle(in Input, runs []bestEffortRun, protected []protectedRun, least float64) []bestEffortRun {
	throttled := append([]bestEffortRun(nil), runs...)
	for _, p := range protected {
		left := p.alone
		for _, b := range throttled {
			left -= b.useAt(b.level) * in.Learner.Effect(p.image, b.image())
		}
		for left < least {
			worst := mostInterfering(in, throttled, p.image, left >= targetHeadroom)
			if worst < 0 {
				break
			}
			b := &throttled[worst]
			left += (b.useAt(b.level) - b.useAt(b.level+1)) * in.Learner.Effect(p.image, b.image())
			b.level++
		}
	}
	return throttled
}

func (b bestEffortRun) image() string { return b.run.Step().Spec.Image }

// minEffect is the effect below which throttling a run gains nothing.
const minEffect = 0.3

// mostInterfering returns the index of the run whose use costs the image most headroom per
// processor, or -1. Throttling that run loses the least work. While the target is met, starved runs keep
// the lowest pace at which they work.
func mostInterfering(in Input, runs []bestEffortRun, image string, targetMet bool) int {
	best, largest := -1, minEffect
	for i, b := range runs {
		lowest := len(paceLevels) - 1
		if b.starved && targetMet {
			lowest--
		}
		if b.level >= lowest || b.use == 0 {
			continue
		}
		// Of equal ones take the fastest, so that no run is throttled to zero before the
		// others.
		if e := in.Learner.Effect(image, b.image()); e > largest || e == largest && best >= 0 && b.level < runs[best].level {
			best, largest = i, e
		}
	}
	return best
}
