package planner

import (
	"sort"

	"bamboospread/internal/job/accountant"
)

// Limits of easing. The load of lasting tasks swings, so what could fill beside them
// a second ago may disturb them now. The runs that disturb most are slowed down
// before a target is missed, and the others work on.
const (
	// easeHeadroom is the headroom below which filling runs are slowed down, and
	// raiseHeadroom the one that must be left before they speed up: between the two
	// nothing changes, so that the swing of a report does not move paces to and fro.
	easeHeadroom  = 1.12
	raiseHeadroom = 1.3
	// reportWeight is how much a lasting task's own report counts against what all
	// tasks of its step show: its VM may be slow, and its report is noisy.
	reportWeight = 0.5
)

// easeLevels are the paces used, in percent.
var easeLevels = []int{paceFull, 60, 30, 10, 0}

// filling is a filling run while the paces of its VM are worked out.
type filling struct {
	run   *accountant.Run
	use   float64 // at full pace, as a share of the VM
	level int     // index of easeLevels
}

func (f filling) usesAt(level int) float64 { return f.use * float64(easeLevels[level]) / paceFull }

// easedPaces returns a pace for each filling run of a VM by what is learned of the
// images: the one in force where it is good enough, else the nearest that is.
func easedPaces(in Input, vm *accountant.VM) []Pace {
	fills := fillingRuns(in, vm)
	if len(fills) == 0 {
		return nil
	}
	guarded := guardedRuns(in, vm)
	low, high := ease(in, fills, guarded, raiseHeadroom), ease(in, fills, guarded, easeHeadroom)
	paces := make([]Pace, len(fills))
	for i, f := range fills {
		pace := f.run.Pace
		if pace == accountant.PaceUnknown {
			pace = paceFull
		}
		percent := min(max(pace, easeLevels[low[i].level]), easeLevels[high[i].level])
		paces[i] = Pace{f.run, percent}
	}
	return paces
}

func fillingRuns(in Input, vm *accountant.VM) []filling {
	var fills []filling
	for _, r := range vm.Runs {
		if r.Step().Spec.Fills && r.State == accountant.Running {
			fills = append(fills, filling{run: r, use: fullUse(r, in.Now)})
		}
	}
	sort.Slice(fills, func(i, j int) bool { return fills[i].run.Key().Less(fills[j].run.Key()) })
	return fills
}

// guarded is a lasting run with the headroom that it would have alone.
type guarded struct {
	image string
	alone float64
}

func guardedRuns(in Input, vm *accountant.VM) []guarded {
	if in.Learner == nil {
		return nil
	}
	use := measuredUse(vm)
	var all []guarded
	for _, r := range vm.Runs {
		if !served(r) || in.Now.Sub(r.StartedAt) < warmUp {
			continue
		}
		image := r.Step().Spec.Image
		alone := headroom(r)
		for i, u := range use {
			alone += u * in.Learner.Effect(image, i)
		}
		own, _ := in.Learner.OwnHeadroom(groupOf(r))
		all = append(all, guarded{image, reportWeight*alone + (1-reportWeight)*own})
	}
	return all
}

// ease slows filling runs down, level by level, until each lasting run has the least
// headroom or nothing that disturbs it is left.
func ease(in Input, fills []filling, lasting []guarded, least float64) []filling {
	eased := append([]filling(nil), fills...)
	for _, g := range lasting {
		left := g.alone
		for _, f := range eased {
			left -= f.usesAt(f.level) * in.Learner.Effect(g.image, f.image())
		}
		for left < least {
			worst := loudest(in, eased, g.image)
			if worst < 0 {
				break
			}
			f := &eased[worst]
			left += (f.usesAt(f.level) - f.usesAt(f.level+1)) * in.Learner.Effect(g.image, f.image())
			f.level++
		}
	}
	return eased
}

func (f filling) image() string { return f.run.Step().Spec.Image }

// effectLeast is the effect below which slowing a run down gains nothing.
const effectLeast = 0.3

// loudest returns the run whose work costs the image most headroom for each
// processor it uses, or -1: slowing that one down wastes least work.
func loudest(in Input, fills []filling, image string) int {
	best, most := -1, effectLeast
	for i, f := range fills {
		if f.level == len(easeLevels)-1 || f.use == 0 {
			continue
		}
		// Of equal ones the fastest, so that none stands still before the others.
		if e := in.Learner.Effect(image, f.image()); e > most || e == most && best >= 0 && f.level < fills[best].level {
			best, most = i, e
		}
	}
	return best
}
