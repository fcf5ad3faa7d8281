// Package estimator learns how long tasks run, as distributions by queue and image relative to what
// their callers declared. It answers load whose declared durations are far off: what waits, and for
// how long, can't be judged by them then. It uses no clock: samples are passed in with their time. It
// is not safe for concurrent use.
package estimator

import (
	"math"
	"time"
)

// Kind identifies tasks with comparable run times.
type Kind struct {
	Queue, Image string
}

// Sample is what a run that was seen from its start shows of run times.
type Sample struct {
	Kind     Kind
	Declared time.Duration
	Work     time.Duration // run time at the speed of a sound VM, with all of its processors
	Took     time.Duration // run time as it was; 0: not known
	Tasks    int           // tasks of its step, which share the error of their declaration; 0 counts as 1
	Censored bool          // the run was stopped, or continues: it needs more than Work
	At       time.Time
}

const (
	// minSupport is the number of steps that a group needs before it predicts.
	minSupport = 8
	// maxGroups bounds the memory of the estimator, at some 2 to 6 KB a group.
	maxGroups = 512
	// paceWeight is the weight of a run in the mean ratio of run time to work.
	paceWeight = 0.03
	maxPace    = 8.0 // of one run: one that hardly got processors says little about the others
)

// Estimator holds the learned distributions.
type Estimator struct {
	groups map[groupKey]*group
	paces  map[string]float64 // mean ratio of run time to work, by queue
}

// New returns an Estimator that knows nothing.
func New() *Estimator {
	return &Estimator{groups: make(map[groupKey]*group), paces: make(map[string]float64)}
}

// groupKey identifies a group of tasks: those of a queue, of a queue with declared durations of an
// octave, or of an image of these.
type groupKey struct {
	kind   Kind
	octave int // noOctave: any
}

const noOctave = math.MinInt32

// octaveOf returns the octave of a declared duration. Declarations that are far off are too long on
// average where they are long, and too short where they are short.
func octaveOf(declared time.Duration) int {
	return int(math.Round(math.Log2(declared.Seconds())))
}

// keysOf returns the groups of a task, the narrowest first.
func keysOf(k Kind, declared time.Duration) [3]groupKey {
	octave := octaveOf(declared)
	return [3]groupKey{{k, octave}, {Kind{Queue: k.Queue}, octave}, {Kind{Queue: k.Queue}, noOctave}}
}

// Observe adds a sample.
func (e *Estimator) Observe(s Sample) {
	if s.Declared <= 0 || s.Work < 0 {
		return
	}
	for _, key := range keysOf(s.Kind, s.Declared) {
		e.group(key, s.At).add(s)
	}
	if !s.Censored && s.Took > 0 && s.Work > 0 {
		e.observePace(s.Kind.Queue, float64(s.Took)/float64(s.Work))
	}
}

func (e *Estimator) observePace(queue string, ratio float64) {
	mean, known := e.paces[queue]
	if !known {
		mean = 1
	}
	e.paces[queue] = mean + paceWeight*(min(max(ratio, 1), maxPace)-mean)
}

// group returns a group, which it adds if it is missing.
func (e *Estimator) group(key groupKey, at time.Time) *group {
	g := e.groups[key]
	if g == nil {
		if len(e.groups) >= maxGroups {
			e.dropOldest()
		}
		g = newGroup(at)
		e.groups[key] = g
	}
	return g
}

func (e *Estimator) dropOldest() {
	var oldest groupKey
	var found *group
	for key, g := range e.groups {
		if found == nil || g.at.Before(found.at) {
			oldest, found = key, g
		}
	}
	delete(e.groups, oldest)
}

// SetContinuing replaces the runs that continue, each with its work so far.
func (e *Estimator) SetContinuing(runs []Sample) {
	for _, g := range e.groups {
		g.resetContinuing()
	}
	for _, s := range runs {
		if s.Declared <= 0 || s.Work <= 0 {
			continue
		}
		for _, key := range keysOf(s.Kind, s.Declared) {
			// Groups without completed runs predict nothing.
			if g := e.groups[key]; g != nil {
				g.addContinuing(s)
			}
		}
	}
}

// RunTime returns the distribution of the run times of tasks of a kind with a declared duration. A
// nil Estimator, and one without enough samples, returns the declared duration.
func (e *Estimator) RunTime(k Kind, declared time.Duration) Distribution {
	d := Distribution{declared: declared}
	if e == nil || declared <= 0 {
		return d
	}
	for _, key := range keysOf(k, declared) {
		if g := e.groups[key]; g != nil && g.support >= minSupport {
			d.curve, d.support, d.group = g.survival(), g.support, key
			return d
		}
	}
	return d
}

// Pace returns the mean ratio of run time to work of a queue, at least 1: best-effort tasks get a part
// of the processors that they ask for.
func (e *Estimator) Pace(queue string) float64 {
	if e == nil {
		return 1
	}
	return max(e.paces[queue], 1)
}

// Size returns the number of groups.
func (e *Estimator) Size() int { return len(e.groups) }
