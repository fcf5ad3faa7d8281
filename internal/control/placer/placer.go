// Package placer decides which task starts, moves, is throttled or waits. All
// functions are pure: they read a Snapshot and return decisions; time, network
// and store stay with the caller.
package placer

import (
	"time"

	"bamboospread/internal/fleet/describer"
)

// VM is a machine as the placer sees it.
type VM struct {
	Name        string
	Zone        string
	Rack        string
	Total       describer.Resources
	Committed   describer.Resources // by everything that holds resources, also stopping tasks
	Reachable   bool
	Leaving     bool
	Quarantined bool
	Services    []string  // services with an upstream or replica on the VM
	ReturnedAt  time.Time // when its zone came back, zero if long ago
	// Acted is when a throttle or eviction was last decided on the VM, zero if
	// never. Measurements that began earlier don't lead to the next step.
	Acted time.Time
}

// Task is a task as the placer sees it.
type Task struct {
	ID         string
	Tenant     string
	Class      string
	Service    string // non-empty for a replica
	Needs      describer.Resources
	Urgent     bool
	Checkpoint bool   // can be checkpointed
	VM         string // where it holds resources; empty: queued
	Stopping   bool   // a stop or checkpoint is under way
	Submitted  time.Time
	Started    time.Time
	NotBefore  time.Time       // backoff after a failure
	Avoid      map[string]bool // VMs on which it failed
	Percent    int             // throttle in force, 0 or 100: none
}

// Window is one measurement of a service on a VM.
type Window struct {
	From, To time.Time
	Ratio    float64 // p99 divided by the objective
}

// Snapshot is what a round decides on. The placer does not change it.
type Snapshot struct {
	Now    time.Time
	Fleet  *describer.Fleet
	VMs    []VM
	Queued []Task // in the order of submission
	Placed []Task
	// Interference predicts by how much a task class slows a service on one VM
	// (0.2: 20% longer answers), and how sure that is (0 to 1). May be nil.
	Interference func(service, class string) (slowdown, confidence float64)
	// Pressure is the measured latency of a service on a VM divided by its
	// objective; 0 if no report is recent. May be nil.
	Pressure func(vm, service string) float64
	// Recent returns the latest measurements of a service on a VM, newest
	// first, and none if no report is recent. If nil, Pressure stands for one
	// measurement that ends now.
	Recent func(vm, service string) []Window
	// EvictionsLeft is the budget of planned evictions in this round.
	EvictionsLeft int
	// Unsettled tells that VMs of the cell may still be unknown, as after a
	// change of owner: then nothing is held for being larger than every VM.
	Unsettled bool
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

// Hold marks a queued task that can never run as things are.
type Hold struct {
	TaskID string
	Reason string
	Inputs map[string]string
}

// Plan is the outcome of a round.
type Plan struct {
	Starts    []Start
	Evictions []Eviction
	Throttles []Throttle
	Holds     []Hold
	Waits     map[string]string // reason for each task that stays queued
}

// Policy names a way of placing.
type Policy string

// Policies. All but Learned are baselines to measure against.
const (
	PolicyLearned        Policy = "learned"         // the default
	PolicyNoLearning     Policy = "no-learning"     // as Learned, with one prior for every pair
	PolicyFirstFit       Policy = "first-fit"       // the first VM with room
	PolicyStaticHeadroom Policy = "static-headroom" // first fit that leaves processors free beside services
)

// Ladder tells what is done against a service that misses its objective.
type Ladder string

// Ladders.
const (
	LadderFull      Ladder = "full"       // throttle, then checkpoint and move; the default
	LadderEvictOnly Ladder = "evict-only" // checkpoint and move at once
	LadderOff       Ladder = "off"        // nothing
)

// Config holds the settings of a Placer; zero values take the defaults.
type Config struct {
	MaxStarts     int           // in one round; default 256
	Policy        Policy        // default PolicyLearned
	Ladder        Ladder        // default LadderFull
	Headroom      float64       // share of processors that PolicyStaticHeadroom leaves free; default 0.3
	Candidates    int           // VMs that are weighed for a start; default 48; all, if fewer VMs exist
	ReserveAfter  time.Duration // wait after which a large task gets a VM reserved; default 30 s
	RefillTime    time.Duration // over which a returned zone fills up; default 60 s
	UnknownEffect float64       // slowdown that an unknown pair is taken for; default 0.05
}

const (
	defaultMaxStarts     = 256
	defaultHeadroom      = 0.3
	defaultCandidates    = 48
	defaultReserveAfter  = 30 * time.Second
	defaultRefillTime    = time.Minute
	defaultUnknownEffect = 0.05
)

// Placer plans rounds. It keeps no state between them.
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
	if c.UnknownEffect <= 0 {
		c.UnknownEffect = defaultUnknownEffect
	}
	return &Placer{config: c}
}

// Plan decides one round: what can never run is held, work leaves zones and VMs
// that go, services under pressure are relieved, then queued tasks start.
func (p *Placer) Plan(s Snapshot) Plan {
	r := newRound(p.config, &s)
	queue := r.holdImpossible()
	r.demand = r.queuedDemand(queue)
	r.drain()
	r.climb()
	queue = r.startAged(queue)
	r.startByShare(queue)
	return r.plan
}
