// Package placer decides which task starts, moves or waits. All functions are
// pure: they read a Snapshot and return decisions; time, network and store stay
// with the caller.
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
	// EvictionsLeft is the budget of planned evictions in this round.
	EvictionsLeft int
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
}

// Plan is the outcome of a round.
type Plan struct {
	Starts    []Start
	Evictions []Eviction
	Throttles []Throttle
	Holds     []Hold
	Waits     map[string]string // reason for each task that stays queued
}

// Config holds the settings of a Placer.
type Config struct {
	MaxStarts int // in one round; 0: 256
}

// Placer plans rounds.
type Placer struct{ config Config }

// New returns a Placer.
func New(c Config) *Placer {
	if c.MaxStarts <= 0 {
		c.MaxStarts = 256
	}
	return &Placer{config: c}
}

// Plan decides one round. First version: first fit in the order of submission.
func (p *Placer) Plan(s Snapshot) Plan {
	free := make(map[string]describer.Resources, len(s.VMs))
	for _, v := range s.VMs {
		free[v.Name] = v.Total.Sub(v.Committed)
	}
	plan := Plan{Waits: make(map[string]string)}
	for _, t := range s.Queued {
		plan.Waits[t.ID] = "no VM has room"
		for _, v := range s.VMs {
			if !v.Reachable || v.Leaving || v.Quarantined || s.Fleet.ZoneIsOut(v.Zone) || t.Avoid[v.Name] || !t.Needs.Fits(free[v.Name]) {
				continue
			}
			free[v.Name] = free[v.Name].Sub(t.Needs)
			plan.Starts = append(plan.Starts, Start{TaskID: t.ID, VM: v.Name, Reason: "first VM with room"})
			delete(plan.Waits, t.ID)
			break
		}
		if len(plan.Starts) == p.config.MaxStarts {
			break
		}
	}
	return plan
}
