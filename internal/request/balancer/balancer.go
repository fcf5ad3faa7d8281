// Package balancer chooses an upstream for a request. Its decisions are pure
// functions of the candidates; time and randomness come in as function fields.
package balancer

import (
	"math/rand/v2"
	"time"
)

const (
	defaultSlowStart  = 10 * time.Second
	slowStartFloor    = 0.1
	defaultZoneRoom   = 0.8
	defaultZoneFactor = 1.5
	defaultEjectShare = 0.5
)

// Config holds the settings of a Balancer. Zero values take the defaults.
type Config struct {
	Zone string // own availability zone; empty: none is preferred
	// ZoneRoom is the share of an upstream's slots up to which one of the own
	// zone is preferred; default 0.8.
	ZoneRoom float64
	// ZoneFactor is how many times better one of another zone must be to be
	// taken although the own zone has room; default 1.5.
	ZoneFactor float64
	// SlowStart is the time in which a new upstream comes to its full share;
	// default 10 s.
	SlowStart time.Duration
	// MaxEjectedShare bounds the share of a service's upstreams that may be
	// ejected. Above it none is: many failing at once tell of the service or of
	// the network, and sending all to the few others would bring those down.
	MaxEjectedShare float64
	Random          func(n int) int // in [0, n); nil: math/rand
}

// Candidate is an upstream as the balancer sees it.
type Candidate struct {
	Zone     string
	Slots    int
	InFlight int           // own requests and those of other entries, as far as known
	Latency  time.Duration // moving mean; 0: not known yet
	Age      time.Duration // since it was first seen
	Health   Verdict
	Excluded bool // was tried for this request
	Avoid    bool // is in a zone taken out: used only when no other has room
}

func (c *Candidate) full() bool { return c.InFlight >= c.Slots }

// Choice is the result of Choose.
type Choice struct {
	Index int // -1: there is no candidate at all
	Full  bool
}

// Balancer chooses among candidates. It has no state.
type Balancer struct{ config Config }

// New returns a Balancer.
func New(c Config) *Balancer {
	if c.ZoneRoom <= 0 {
		c.ZoneRoom = defaultZoneRoom
	}
	if c.ZoneFactor <= 0 {
		c.ZoneFactor = defaultZoneFactor
	}
	if c.SlowStart <= 0 {
		c.SlowStart = defaultSlowStart
	}
	if c.MaxEjectedShare <= 0 {
		c.MaxEjectedShare = defaultEjectShare
	}
	if c.Random == nil {
		c.Random = rand.IntN
	}
	return &Balancer{config: c}
}

// Choose returns the better of two random candidates of the own zone while it
// has room, else of all. With every candidate full it returns the least loaded
// one with Full set.
func (b *Balancer) Choose(list []Candidate) Choice {
	eject := b.ejects(list)
	if i := findProbe(list); i >= 0 && eject {
		return Choice{Index: i, Full: list[i].full()}
	}
	mean := meanLatency(list)
	usable := func(c *Candidate) bool {
		return !c.Excluded && !(eject && c.Health != Healthy)
	}
	started := b.holdBack(list)
	if choice := b.among(list, mean, func(c *Candidate) bool { return usable(c) && started(c) && !c.Avoid }); choice.Index >= 0 && !choice.Full {
		return choice
	}
	if choice := b.among(list, mean, func(c *Candidate) bool { return usable(c) && !c.Avoid }); choice.Index >= 0 && !choice.Full {
		return choice
	}
	return b.among(list, mean, usable)
}

// holdBack decides which new upstreams take part in this choice: each with the
// chance that its age gives it, so that its share of the requests rises evenly.
// Counting its age against it in the comparison instead would give it nothing
// at a low load, and then all at once.
func (b *Balancer) holdBack(list []Candidate) func(*Candidate) bool {
	youngest := b.config.SlowStart
	for i := range list {
		youngest = min(youngest, list[i].Age)
	}
	if youngest >= b.config.SlowStart {
		return func(*Candidate) bool { return true }
	}
	chance := time.Duration(b.config.Random(int(b.config.SlowStart)))
	return func(c *Candidate) bool {
		return max(c.Age, time.Duration(slowStartFloor*float64(b.config.SlowStart))) > chance
	}
}

// among chooses among the usable candidates.
func (b *Balancer) among(list []Candidate, mean time.Duration, usable func(*Candidate) bool) Choice {
	own := b.better(list, mean, func(c *Candidate) bool {
		return usable(c) && b.config.Zone != "" && c.Zone == b.config.Zone && float64(c.InFlight) < b.config.ZoneRoom*float64(c.Slots)
	})
	other := b.better(list, mean, func(c *Candidate) bool {
		return usable(c) && !c.full() && (own < 0 || c.Zone != b.config.Zone)
	})
	switch {
	case own >= 0 && (other < 0 || b.score(&list[own], mean) <= b.config.ZoneFactor*b.score(&list[other], mean)):
		return Choice{Index: own}
	case other >= 0:
		return Choice{Index: other}
	}
	return Choice{Index: leastLoaded(list, usable), Full: true}
}

// better picks two different random candidates that match and returns the better.
func (b *Balancer) better(list []Candidate, mean time.Duration, match func(*Candidate) bool) int {
	n := 0
	for i := range list {
		if match(&list[i]) {
			n++
		}
	}
	if n == 0 {
		return -1
	}
	first := nth(list, match, b.config.Random(n))
	if n == 1 {
		return first
	}
	second := nth(list, match, b.config.Random(n-1))
	if second >= first {
		second = nthAfter(list, match, second)
	}
	if b.score(&list[second], mean) < b.score(&list[first], mean) {
		return second
	}
	return first
}

// score estimates how long a request waits and runs; lower is better.
func (b *Balancer) score(c *Candidate, mean time.Duration) float64 {
	latency := c.Latency
	if latency <= 0 {
		latency = max(mean, time.Microsecond)
	}
	load := float64(c.InFlight+1) / float64(max(c.Slots, 1))
	return load * float64(latency)
}

func (b *Balancer) ejects(list []Candidate) bool {
	n := 0
	for i := range list {
		if list[i].Health != Healthy {
			n++
		}
	}
	return n > 0 && float64(n) <= b.config.MaxEjectedShare*float64(len(list))
}

func findProbe(list []Candidate) int {
	for i := range list {
		if list[i].Health == ProbeDue && !list[i].Excluded {
			return i
		}
	}
	return -1
}

func meanLatency(list []Candidate) time.Duration {
	var sum time.Duration
	n := 0
	for i := range list {
		if list[i].Latency > 0 {
			sum += list[i].Latency
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

func nth(list []Candidate, match func(*Candidate) bool, n int) int {
	for i := range list {
		if match(&list[i]) {
			if n == 0 {
				return i
			}
			n--
		}
	}
	return -1
}

func nthAfter(list []Candidate, match func(*Candidate) bool, i int) int {
	for i++; i < len(list); i++ {
		if match(&list[i]) {
			return i
		}
	}
	return -1
}

func leastLoaded(list []Candidate, usable func(*Candidate) bool) int {
	best := -1
	for i := range list {
		if !usable(&list[i]) {
			continue
		}
		if best < 0 || list[i].InFlight*list[best].Slots < list[best].InFlight*list[i].Slots {
			best = i
		}
	}
	return best
}
