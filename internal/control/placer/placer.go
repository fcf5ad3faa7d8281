// Package placer decides which tasks start, move, are throttled or wait. All
// functions are pure: they read a Snapshot and return decisions. The caller
// provides the time and does all network and store access.
package placer

import (
	"time"

	"bamboospread/internal/fleet/describer"
)

// VM describes a VM to the placer.
type VM struct {
	Name        string
	Zone        string
	Rack        string
	Total       describer.Resources
	Committed   describer.Resources // held by all tasks and upstreams, including stopping tasks
	Reachable   bool
	Leaving     bool
	Quarantined bool
	Services    []string  // services with an upstream or a replica on the VM
	ReturnedAt  time.Time // when its zone returned; zero if it did not return recently
	// LastAdjustedAt is the time of the latest throttle or eviction decision for the VM,
	// zero if there was none. Measurements that began earlier do not trigger
	// the next step.
	LastAdjustedAt time.Time
}

// Task describes a task to the placer.
type Task struct {
	ID         string
	Tenant     string
	Class      string
	Service    string // non-empty for a replica
	Needs      describer.Resources
	Urgent     bool
	Checkpoint bool   // can be checkpointed
	VM         string // VM on which it holds resources; empty if queued
	Stopping   bool   // a stop or checkpoint is in progress
	Submitted  time.Time
	Started    time.Time
	NotBefore  time.Time       // end of the backoff after a failure
	Avoid      map[string]bool // VMs on which it failed
	Percent    int             // current throttle; 0 or 100 if not throttled
}

// Window is one measurement of a service on a VM.
type Window struct {
	From, To time.Time
	Ratio    float64 // p99 divided by the objective
}

// Snapshot is the input of a round. The placer does not change it.
type Snapshot struct {
	Now    time.Time
	Fleet  *describer.Fleet
	VMs    []VM
	Queued []Task // in submission order
	Placed []Task
	// Interference returns the predicted relative slowdown that one task of a
	// class causes a service on the same VM (0.2: 20% higher latency), and the
	// confidence in it (0 to 1). May be nil.
	Interference func(service, class string) (slowdown, confidence float64)
	// Pressure returns the measured p99 of a service on a VM divided by its
	// latency objective; 0 if there is no recent report. May be nil.
	Pressure func(vm, service string) float64
	// RecentWindows returns the latest measurements of a service on a VM, newest
	// first; none if there is no recent report. If RecentWindows is nil, the value of
	// Pressure is used as a single measurement that ends now.
	RecentWindows func(vm, service string) []Window
	// EvictionsLeft is the remaining budget of planned evictions.
	EvictionsLeft int
	// Unreconciled is set while some VMs of the cell may not be known yet, as
	// after a change of owner. No task is then held for being larger than every
	// VM.
	Unreconciled bool
}

// Start places a queued task.
type Start struct {
	TaskID string
	VM     string
	Reason string
	Inputs map[string]string
}

// Eviction checkpoints a placed task so that it resumes elsewhere.
type Eviction struct {
	TaskID string
	Reason string
	Inputs map[string]string
}

// Throttle sets the processor share of a placed task.
type Throttle struct {
	TaskID  string
	Percent int
	Reason  string
	Inputs  map[string]string
}

// Hold takes a task that can never run under the current fleet text and VMs out
// of the queue.
type Hold struct {
	TaskID string
	Reason string
	Inputs map[string]string
}

// Plan is the result of a round.
type Plan struct {
	Starts    []Start
	Evictions []Eviction
	Throttles []Throttle
	Holds     []Hold
	Waits     map[string]string // reason for each task that stays queued, by task ID
}

// Policy selects a placement policy.
type Policy string

// Placement policies. All except PolicyLearned are baselines for comparison.
const (
	PolicyLearned        Policy = "learned"         // the default
	PolicyNoLearning     Policy = "no-learning"     // like PolicyLearned, with the same slowdown assumed for every service and task class
	PolicyFirstFit       Policy = "first-fit"       // the first VM with enough free capacity
	PolicyStaticHeadroom Policy = "static-headroom" // first fit that keeps processors free on VMs with services
)

// Ladder selects the actions taken when a service misses its latency objective.
type Ladder string

// Values of Ladder.
const (
	LadderFull      Ladder = "full"       // throttle, then checkpoint and move; the default
	LadderEvictOnly Ladder = "evict-only" // checkpoint and move without throttling first
	LadderOff       Ladder = "off"        // no action
)

// Config holds the settings of a Placer; zero values select the defaults.
type Config struct {
	MaxStarts       int           // starts in one round; default 256
	Policy          Policy        // default PolicyLearned
	Ladder          Ladder        // default LadderFull
	Headroom        float64       // share of processors that PolicyStaticHeadroom keeps free; default 0.3
	Candidates      int           // VMs scored for a start; default 48; all in a cell of at most twice as many
	ReserveAfter    time.Duration // wait after which a VM is reserved for a large task; default 30 s
	RefillTime      time.Duration // time over which a returned zone is refilled; default 60 s
	UnknownSlowdown float64       // slowdown assumed for a service and task class without data; default 0.05
}

const (
	defaultMaxStarts       = 256
	defaultHeadroom        = 0.3
	defaultCandidates      = 48
	defaultReserveAfter    = 30 * time.Second
	defaultRefillTime      = time.Minute
	defaultUnknownSlowdown = 0.05
)

// Placer plans rounds. It keeps no state between rounds.
type Placer struct{ config Config }

// New returns a Placer.
func New(c Config) *Placer {
	if c.MaxStarts <= 0 {
		c.MaxStarts = defaultMaxStarts
	}
	if c.Policy == "" {
		c.Policy = PolicyLearned
	}
	if c.Ladder == "" {
		c.Ladder = LadderFull
	}
	if c.Headroom <= 0 {
		c.Headroom = defaultHeadroom
	}
	if c.Candidates <= 0 {
		c.Candidates = defaultCandidates
	}
	if c.ReserveAfter <= 0 {
		c.ReserveAfter = defaultReserveAfter
	}
	if c.RefillTime <= 0 {
		c.RefillTime = defaultRefillTime
	}
	if c.UnknownSlowdown <= 0 {
		c.UnknownSlowdown = defaultUnknownSlowdown
	}
	return &Placer{config: c}
}

// Plan decides one round in this order: hold tasks that can never run, drain
// zones and VMs that must be vacated, apply the ladder to services that miss
// their objectives, then start queued tasks.
func (p *Placer) Plan(s Snapshot) Plan {
	r := newRound(p.config, &s)
	queue := r.holdImpossible()
	r.relativeDemand = r.queuedDemand(queue)
	r.drain()
	r.applyLadder()
	queue = r.startAged(queue)
	r.startByShare(queue)
	return r.plan
}
