package main

import (
	"time"

	"bamboospread/internal/control/learner"
	"bamboospread/internal/control/placer"
	"bamboospread/internal/fleet/describer"
)

// Times of a run.
const (
	runLength         = time.Hour
	warmUpLength      = 5 * time.Minute // not measured
	effectShiftAt     = 20 * time.Minute
	zoneOutAt         = 30 * time.Minute
	zoneOffAt         = zoneOutAt + 90*time.Second // tasks that still run there lose their progress
	zoneBackAt        = 40 * time.Minute
	zoneMeasuredUntil = 45 * time.Minute // end of the period of the zone measures
	outageZone        = "zone-a"
)

// variant is a placement policy that is measured.
type variant struct {
	name   string
	config placer.Config
	oracle bool // uses the interference of the ground truth
	// weights replaces the policy weights of the user, to compare different weights.
	weights *describer.Policy
}

func variants() []variant {
	return []variant{
		{name: "learned"},
		{name: "no-learning", config: placer.Config{Policy: placer.PolicyNoLearning}},
		{name: "static-headroom", config: placer.Config{Policy: placer.PolicyStaticHeadroom, Ladder: placer.LadderOff}},
		{name: "static-headroom+ladder", config: placer.Config{Policy: placer.PolicyStaticHeadroom}},
		{name: "first-fit", config: placer.Config{Policy: placer.PolicyFirstFit, Ladder: placer.LadderOff}},
		{name: "first-fit+evictions", config: placer.Config{Policy: placer.PolicyFirstFit, Ladder: placer.LadderEvictOnly}},
		{name: "first-fit+ladder", config: placer.Config{Policy: placer.PolicyFirstFit}},
		{name: "oracle", oracle: true},
		{name: "learned, tail 4:1:1", weights: &describer.Policy{TailLatencyWeight: 4, ThroughputWeight: 1, EvictionWeight: 1}},
		{name: "learned, even 1:1:1", weights: &describer.Policy{TailLatencyWeight: 1, ThroughputWeight: 1, EvictionWeight: 1}},
		{name: "learned, work 1:2:2", weights: &describer.Policy{TailLatencyWeight: 1, ThroughputWeight: 2, EvictionWeight: 2}},
	}
}

// runner runs one pool with one variant.
type runner struct {
	pool           *pool
	variant        variant
	placer         *placer.Placer
	learner        *learner.Learner
	policy         describer.Policy
	evictionBudget float64
}

func newRunner(u user, v variant, seed uint64) *runner {
	policy := u.policy
	if v.weights != nil {
		policy = *v.weights
		policy.EvictionsPerMinute = u.policy.EvictionsPerMinute
	}
	p := newPool(u, drawTruth(u, seed, runLength), seed)
	return &runner{
		pool: p, variant: v, placer: placer.New(v.config), policy: policy,
		learner: learner.New(learner.Config{
			Now:       p.clock,
			Objective: func(string) time.Duration { return u.service.LatencyObjective },
		}),
	}
}

// run simulates the whole run and returns its counts.
func (r *runner) run() *tally {
	for r.pool.now < runLength {
		r.switchZones()
		r.pool.advance()
		r.pool.deliverReports(r.learner)
		r.planAndApply()
	}
	r.pool.finish()
	return &r.pool.tally
}

// planAndApply plans once and applies the plan.
func (r *runner) planAndApply() {
	perMinute := r.policy.EvictionsPerMinute
	r.evictionBudget = min(perMinute, r.evictionBudget+perMinute/60)
	s := r.pool.snapshot(r.pool.user.fleet(r.pool.zonesOut, r.policy), r.learner, int(r.evictionBudget))
	if r.variant.oracle {
		s.Interference = r.pool.trueInterference
	}
	plan := r.placer.Plan(s)
	r.evictionBudget -= float64(len(plan.Evictions))
	r.pool.apply(plan)
}

// switchZones takes a zone out, turns its VMs off, and brings it back.
func (r *runner) switchZones() {
	p := r.pool
	switch p.now {
	case zoneOutAt:
		p.zonesOut[outageZone] = true
	case zoneOffAt:
		p.switchZone(outageZone, false)
	case zoneBackAt:
		delete(p.zonesOut, outageZone)
		p.switchZone(outageZone, true)
	}
}
