package main

import (
	"time"

	"bamboospread/internal/control/learner"
	"bamboospread/internal/control/placer"
	"bamboospread/internal/fleet/describer"
)

// Times of a run.
const (
	runLength   = time.Hour
	warmLength  = 5 * time.Minute // not measured
	shiftAt     = 20 * time.Minute
	zoneOutAt   = 30 * time.Minute
	zoneOffAt   = zoneOutAt + 90*time.Second // what still runs there is lost
	zoneBackAt  = 40 * time.Minute
	zoneDone    = 45 * time.Minute // end of the measured time of the zone's absence
	zoneThatGos = "zone-a"
)

// variant is a way of placing that is measured.
type variant struct {
	name   string
	config placer.Config
	oracle bool // knows the hidden effects
	// weights replaces the user's weights, to find the one that suits it.
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

// runner drives one pool with one variant.
type runner struct {
	pool    *pool
	variant variant
	placer  *placer.Placer
	learner *learner.Learner
	policy  describer.Policy
	budget  float64
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

// run runs to the end and returns what was counted.
func (r *runner) run() *tally {
	for r.pool.now < runLength {
		r.zones()
		r.pool.advance()
		r.pool.deliver(r.learner)
		r.round()
	}
	r.pool.finish()
	return &r.pool.tally
}

// round plans once and applies the plan.
func (r *runner) round() {
	perMinute := r.policy.EvictionsPerMinute
	r.budget = min(perMinute, r.budget+perMinute/60)
	s := r.pool.snapshot(r.pool.user.fleet(r.pool.out, r.policy), r.learner, int(r.budget))
	if r.variant.oracle {
		s.Interference = r.pool.trueInterference
	}
	plan := r.placer.Plan(s)
	r.budget -= float64(len(plan.Evictions))
	r.pool.apply(plan)
}

// zones takes a zone out and lets it return.
func (r *runner) zones() {
	p := r.pool
	switch p.now {
	case zoneOutAt:
		p.out[zoneThatGos] = true
	case zoneOffAt:
		p.switchZone(zoneThatGos, false)
	case zoneBackAt:
		delete(p.out, zoneThatGos)
		p.switchZone(zoneThatGos, true)
	}
}
