// Package calibrator measures how fast VMs execute tasks, from the progress of their runs compared
// with their own earlier progress and with that of similar runs on other VMs, and from the tail
// latencies of their long-running tasks. It answers a load of VMs that become several times slower for
// seconds while declared durations are wrong. It uses no clock: samples are passed in with their
// time. It is not safe for concurrent use.
package calibrator

import (
	"math"
	"slices"
	"time"
)

// Sample is the progress of a run since it last changed.
type Sample struct {
	VM, Task, Step, Queue, Image string
	Run                          int64
	Work                         time.Duration // declared work that was done; 0: the progress has not changed
	Resolution                   time.Duration // smallest amount of declared work that is reported
	Took                         time.Duration // time since the progress last changed
	Share                        float64       // of the requested processors that the run got
	Competing                    bool          // tasks of the VM may ask for more processors than it has
	At                           time.Time
}

// Speed is the measured speed of a VM.
type Speed struct {
	Factor float64       // 1: as the VMs in the mean; 0.2: a task takes five times as long
	Error  float64       // standard deviation of the logarithm of Factor
	Age    time.Duration // of the latest evidence
}

// Change is a change of a VM's speed that decisions depend on.
type Change struct {
	VM       string
	Slow     bool
	From, To Speed
	Evidence string        // what showed it
	Delay    time.Duration // from the earliest evidence of the present speed until it was known
}

// Limits of the decision whether a VM is slow.
const (
	slowBelow   = 0.5  // a VM whose factor is below it with a probability of certain is called slow
	soundAbove  = 0.75 // a slow VM whose factor is above it with that probability is called sound
	certain     = 0.8
	unknown     = 0.5 // error of a VM without evidence
	calmAfter   = 30 * time.Second
	holdFirst   = 250 * time.Millisecond // for which a slow VM must look sound; doubles with each call within calmAfter
	holdMax     = 4 * time.Second
	driftPerSec = 0.3                    // by which the variance of evidence grows in a second
	stalePerSec = 0.3                    // probability, by age in seconds, that evidence shows nothing any more
	maxAge      = 5 * time.Second        // of evidence
	maxLag      = time.Second            // of evidence behind the latest of the VM
	reportAge   = 600 * time.Millisecond // of what the latest report of a VM shows, when the next one comes
	expireEvery = time.Second            // time between searches for what is too old
	forgetAfter = 5 * time.Minute        // without any evidence of a VM
)

// vmState is what is known of a VM.
type vmState struct {
	runs  map[runKey]*run
	tails map[runKey]*tail
	tail  evidence // of all long-running tasks together
	estimate
	at       time.Time // of the latest evidence
	changed  bool      // there is evidence that is not evaluated
	isSlow   bool      // what it is called
	calls    int       // of slowness, in succession
	calledAt time.Time // the latest call of slowness
	shownAt  time.Time // since when the evidence contradicts what the VM is called; zero: it doesn't
	soundAt  time.Time // when it was last called sound
	reported Speed     // at the last change
}

// Calibrator holds the measured speeds.
type Calibrator struct {
	vms     map[string]*vmState
	kinds   map[kind]*level
	steps   map[string]*stepLevel
	images  map[string]*imageTail
	within  level // spread of the runs of a step
	changes []Change
	expired time.Time // when old evidence was last dropped
}

// New returns a Calibrator that knows nothing.
func New() *Calibrator {
	return &Calibrator{
		vms: make(map[string]*vmState), kinds: make(map[kind]*level), steps: make(map[string]*stepLevel), images: make(map[string]*imageTail),
		within: newLevel(priorWithin),
	}
}

func (c *Calibrator) vm(name string) *vmState {
	v := c.vms[name]
	if v == nil {
		v = &vmState{runs: make(map[runKey]*run), tails: make(map[runKey]*tail), estimate: estimate{spread: unknown}}
		c.vms[name] = v
	}
	return v
}

// Forget drops what is known of a VM, whose worker has been replaced.
func (c *Calibrator) Forget(vm string) { delete(c.vms, vm) }

// Speed returns the speed of a VM. A nil Calibrator, and one without samples of the VM, returns a
// Factor of 1.
func (c *Calibrator) Speed(vm string, now time.Time) Speed {
	if c == nil || c.vms[vm] == nil || c.vms[vm].at.IsZero() {
		return Speed{Factor: 1, Error: unknown}
	}
	v := c.vms[vm]
	age := max(now.Sub(v.at), 0)
	return Speed{Factor: math.Exp(v.mean), Error: math.Sqrt(v.spread*v.spread + drift(age)), Age: age}
}

// Slow reports whether a VM counts as slow. No VM does for a nil Calibrator.
func (c *Calibrator) Slow(vm string) bool {
	return c != nil && c.vms[vm] != nil && c.vms[vm].isSlow
}

// SoundSince returns when a VM was last found to have recovered; zero if it never was slow.
func (c *Calibrator) SoundSince(vm string) time.Time {
	if c == nil || c.vms[vm] == nil {
		return time.Time{}
	}
	return c.vms[vm].soundAt
}

// SlowCount returns how many VMs count as slow.
func (c *Calibrator) SlowCount() int {
	n := 0
	for _, v := range c.vms {
		if v.isSlow {
			n++
		}
	}
	return n
}

// TakeChanges returns the changes since the last call.
func (c *Calibrator) TakeChanges(now time.Time) []Change {
	if now.Sub(c.expired) >= expireEvery {
		c.expired = now
		for name, v := range c.vms {
			if c.expire(v, now); now.Sub(v.at) > forgetAfter && len(v.runs)+len(v.tails) == 0 {
				delete(c.vms, name)
			}
		}
		c.expireLevels(now)
	}
	for name, v := range c.vms {
		if v.isSlow { // it may have looked sound for long enough
			c.evaluate(name, v, now)
		}
	}
	changes := c.changes
	c.changes = nil
	return changes
}

// Settle evaluates what has been observed of a VM since the last call. It is called once all samples of
// a report have been added.
func (c *Calibrator) Settle(vm string, now time.Time) {
	v := c.vms[vm]
	if v == nil || !v.changed {
		return
	}
	c.evaluate(vm, v, now)
	for _, r := range v.runs {
		if r.pending {
			r.pending = false
			c.learn(vm, v, r)
		}
	}
}

// evaluate computes the speed of a VM and decides whether it is slow.
func (c *Calibrator) evaluate(name string, v *vmState, now time.Time) {
	v.changed = false
	all := evidenceOf(v, now)
	if len(all) > 0 {
		changed := changedShare
		if v.isSlow {
			changed = slowShare
		}
		v.estimate = posterior(all, changed)
		for _, e := range all {
			if e.at.After(v.at) {
				v.at = e.at
			}
		}
	}
	if !v.at.IsZero() {
		c.decide(name, v, all, now)
	}
}

// decide changes what the VM is called if the evidence has shown the contrary for long enough.
func (c *Calibrator) decide(name string, v *vmState, all []evidence, now time.Time) {
	s := c.Speed(name, now)
	contrary := len(all) > 0 && (!v.isSlow && v.slow > certain || v.isSlow && v.sound > certain && showsSound(all, now))
	if !contrary {
		v.shownAt = time.Time{}
		return
	}
	if v.shownAt.IsZero() {
		v.shownAt = now
	}
	if v.isSlow && now.Sub(v.shownAt) < v.hold() {
		return
	}
	if v.isSlow = !v.isSlow; v.isSlow {
		if now.Sub(v.calledAt) > calmAfter {
			v.calls = 0
		}
		v.calls++
		v.calledAt = now
	} else {
		v.soundAt = now
	}
	c.changes = append(c.changes, Change{VM: name, Slow: v.isSlow, From: v.reported, To: s, Evidence: describe(all), Delay: now.Sub(earliestSupport(all, v.mean, v.shownAt))})
	v.reported, v.shownAt = s, time.Time{}
}

// showsSound reports whether some present evidence shows a VM that is not slow: that the evidence of slowness has become
// old is not enough.
func showsSound(all []evidence, now time.Time) bool {
	return slices.ContainsFunc(all, func(e evidence) bool {
		return !e.upper && e.value > math.Log(slowBelow) && now.Sub(e.at) <= maxLag
	})
}

// hold is how long a slow VM must look sound before it is called so.
func (v *vmState) hold() time.Duration {
	d := holdFirst
	for n := 1; n < v.calls && d < holdMax; n++ {
		d *= 2
	}
	return min(d, holdMax)
}

// drift is the variance that evidence gains with its age.
func drift(age time.Duration) float64 { return driftPerSec * age.Seconds() }

// expire drops evidence that is too old to count.
func (c *Calibrator) expire(v *vmState, now time.Time) {
	for key, r := range v.runs {
		if now.Sub(r.at) > maxAge {
			delete(v.runs, key)
		}
	}
	for key, t := range v.tails {
		if now.Sub(t.at) > maxAge {
			delete(v.tails, key)
		}
	}
}
