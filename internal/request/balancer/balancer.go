// Package balancer chooses an upstream for a request. Decisions are pure functions of
// the candidates; time and randomness are passed in.
package balancer

import (
	"math/rand/v2"
	"time"
)

const (
	defaultSlowStart       = 10 * time.Second
	slowStartMinShare      = 0.1
	defaultMaxZoneLoad     = 0.8
	defaultZonePreference  = 1.5
	defaultMaxEjectedShare = 0.5
)

// Config holds the settings of a Balancer. Zero values take the defaults.
type Config struct {
	Zone string // availability zone of the entry; empty: no zone is preferred
	// MaxZoneLoad is the share of its slots in use up to which an upstream in the
	// entry's zone is preferred; default 0.8.
	MaxZoneLoad float64
	// ZonePreference is the factor by which the score of an upstream in another zone
	// must be better to be chosen while the entry's zone has free capacity; default
	// 1.5.
	ZonePreference float64
	// SlowStart is the time over which a new upstream is ramped up to its full share
	// of the requests; default 10 s.
	SlowStart time.Duration
	// MaxEjectedShare bounds the share of a service's upstreams that may be
	// ejected; default 0.5. Above it none is ejected: if many fail at once, the
	// service or the network is the likely cause, and sending all requests to the
	// few remaining upstreams would overload them.
	MaxEjectedShare float64
	Random          func(n int) int // in [0, n); nil: math/rand
}

// Candidate is the state of an upstream that a choice depends on.
type Candidate struct {
	Zone     string
	Slots    int
	InFlight int           // requests of this entry and, as far as known, of other entries
	Latency  time.Duration // moving average; 0: not measured yet
	Age      time.Duration // since it was first seen
	Health   HealthStatus
	Excluded bool // already tried for this request
	Avoid    bool // in a zone that is out of service: used only if no other candidate has a free slot
}

func (c *Candidate) full() bool { return c.InFlight >= c.Slots }

// Choice is the result of Choose.
type Choice struct {
	Index int // -1: there is no usable candidate
	Full  bool
}

// Balancer chooses among candidates. It has no state.
type Balancer struct{ config Config }

// New returns a Balancer.
func New(c Config) *Balancer {
	if c.MaxZoneLoad <= 0 {
		c.MaxZoneLoad = defaultMaxZoneLoad
	}
	if c.ZonePreference <= 0 {
		c.ZonePreference = defaultZonePreference
	}
	if c.SlowStart <= 0 {
		c.SlowStart = defaultSlowStart
	}
	if c.MaxEjectedShare <= 0 {
		c.MaxEjectedShare = defaultMaxEjectedShare
	}
	if c.Random == nil {
		c.Random = rand.IntN
	}
	return &Balancer{config: c}
}

// Choose returns the better of two random candidates of the entry's zone while that
// zone has free capacity, otherwise of all zones. If every candidate is full, it
// returns the least loaded one with Full set. While ejection is allowed, an upstream
// with a probe due is chosen first; one in a zone that is out of service only if no
// other candidate is usable.
func (b *Balancer) Choose(list []Candidate) Choice {
	eject := b.ejectionAllowed(list)
	if eject {
		if choice := probe(list, func(c *Candidate) bool { return !c.Avoid }); choice.Index >= 0 {
			return choice
		}
	}
	mean := meanLatency(list)
	usable := func(c *Candidate) bool {
		return !c.Excluded && !(eject && c.Health != Healthy)
	}
	rampedUp := b.slowStartFilter(list)
	if choice := b.chooseAmong(list, mean, func(c *Candidate) bool { return usable(c) && rampedUp(c) && !c.Avoid }); choice.Index >= 0 && !choice.Full {
		return choice
	}
	if choice := b.chooseAmong(list, mean, func(c *Candidate) bool { return usable(c) && !c.Avoid }); choice.Index >= 0 && !choice.Full {
		return choice
	}
	choice := b.chooseAmong(list, mean, usable)
	if choice.Index < 0 && eject {
		return probe(list, func(*Candidate) bool { return true })
	}
	return choice
}

// slowStartFilter decides which new upstreams take part in this choice. The
// probability rises with the age of the upstream, so that its share of the requests
// rises evenly. Including the age in the score instead would send it nothing at a
// low load and then its full share at once.
func (b *Balancer) slowStartFilter(list []Candidate) func(*Candidate) bool {
	youngest := b.config.SlowStart
	for i := range list {
		youngest = min(youngest, list[i].Age)
	}
	if youngest >= b.config.SlowStart {
		return func(*Candidate) bool { return true }
	}
	minAge := time.Duration(b.config.Random(int(b.config.SlowStart)))
	return func(c *Candidate) bool {
		return max(c.Age, time.Duration(slowStartMinShare*float64(b.config.SlowStart))) > minAge
	}
}

// chooseAmong chooses among the usable candidates; it prefers the entry's zone.
func (b *Balancer) chooseAmong(list []Candidate, mean time.Duration, usable func(*Candidate) bool) Choice {
	own := b.betterOfTwo(list, mean, func(c *Candidate) bool {
		return usable(c) && b.config.Zone != "" && c.Zone == b.config.Zone && float64(c.InFlight) < b.config.MaxZoneLoad*float64(c.Slots)
	})
	other := b.betterOfTwo(list, mean, func(c *Candidate) bool {
		return usable(c) && !c.full() && (own < 0 || c.Zone != b.config.Zone)
	})
	switch {
	case own >= 0 && (other < 0 || b.score(&list[own], mean) <= b.config.ZonePreference*b.score(&list[other], mean)):
		return Choice{Index: own}
	case other >= 0:
		return Choice{Index: other}
	}
	return Choice{Index: leastLoaded(list, usable), Full: true}
}

// betterOfTwo picks two different random candidates that match and returns the index
// of the one with the better score, or -1 if none matches.
func (b *Balancer) betterOfTwo(list []Candidate, mean time.Duration, match func(*Candidate) bool) int {
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

// score estimates how long a request would wait and run; lower is better.
func (b *Balancer) score(c *Candidate, mean time.Duration) float64 {
	latency := c.Latency
	if latency <= 0 {
		latency = max(mean, time.Microsecond)
	}
	load := float64(c.InFlight+1) / float64(max(c.Slots, 1))
	return load * float64(latency)
}

// ejectionAllowed reports whether any upstream is unhealthy and the share of
// unhealthy ones does not exceed MaxEjectedShare.
func (b *Balancer) ejectionAllowed(list []Candidate) bool {
	n := 0
	for i := range list {
		if list[i].Health != Healthy {
			n++
		}
	}
	return n > 0 && float64(n) <= b.config.MaxEjectedShare*float64(len(list))
}

// probe chooses the first matching candidate with a probe due.
func probe(list []Candidate, match func(*Candidate) bool) Choice {
	for i := range list {
		if c := &list[i]; c.Health == ProbeDue && !c.Excluded && match(c) {
			return Choice{Index: i, Full: c.full()}
		}
	}
	return Choice{Index: -1}
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
