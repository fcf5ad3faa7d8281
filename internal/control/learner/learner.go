// Package learner estimates by how much each class of batch tasks slows each
// service on the same VM, from usage reports that lag. Each report is matched to
// what was placed in the window that it measured. A Learner is used from one
// goroutine; it bounds its own memory and needs nothing stored: after a change
// of owner it learns again.
package learner

import (
	"time"

	"bamboospread/internal/control/placer"
	"bamboospread/internal/wire/messenger"
)

// Placement is the presence of a batch task on a VM, at one throttle. A task
// whose throttle changed has several.
type Placement struct {
	TaskID  string
	Class   string
	From    time.Time
	To      time.Time // zero: it is still there
	Percent int       // 0 or 100: not throttled
}

// Config holds the settings of a Learner; zero values take the defaults.
type Config struct {
	// Objective returns the latency objective of a service, 0 if it has none.
	Objective     func(service string) time.Duration
	Now           func() time.Time
	StaleAfter    time.Duration // age of a report from which pressure is unknown; default 20 s
	ForgetAfter   time.Duration // time in which unconfirmed knowledge is lost; default 30 min
	PriorSlowdown float64       // of one task, when nothing is known; default 0.05
	MaxServices   int           // default 512
	MaxClasses    int           // for each service; default 48
	MaxVMs        int           // default 8192
}

const (
	defaultStaleAfter    = 20 * time.Second
	defaultForgetAfter   = 30 * time.Minute
	defaultPriorSlowdown = 0.05
	defaultMaxServices   = 512
	defaultMaxClasses    = 48
	defaultMaxVMs        = 8192
)

// Learner holds what was learned.
type Learner struct {
	config   Config
	services map[string]*model
	classes  map[string]*mean // over services
	all      mean             // over pairs
	vms      map[string]*history
}

// New returns a Learner that knows nothing.
func New(c Config) *Learner {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Objective == nil {
		c.Objective = func(string) time.Duration { return 0 }
	}
	if c.StaleAfter <= 0 {
		c.StaleAfter = defaultStaleAfter
	}
	if c.ForgetAfter <= 0 {
		c.ForgetAfter = defaultForgetAfter
	}
	if c.PriorSlowdown <= 0 {
		c.PriorSlowdown = defaultPriorSlowdown
	}
	if c.MaxServices <= 0 {
		c.MaxServices = defaultMaxServices
	}
	if c.MaxClasses <= 0 {
		c.MaxClasses = defaultMaxClasses
	}
	if c.MaxVMs <= 0 {
		c.MaxVMs = defaultMaxVMs
	}
	return &Learner{
		config: c, services: make(map[string]*model),
		classes: make(map[string]*mean), vms: make(map[string]*history),
	}
}

// Observe takes in a report of a VM with what was placed there. A report that
// was seen before, or comes long after later ones, changes nothing.
func (l *Learner) Observe(vm string, usage messenger.Usage, placed []Placement) {
	from, to := time.UnixMilli(usage.FromMillis), time.UnixMilli(usage.ToMillis)
	if !to.After(from) {
		return
	}
	h := l.history(vm)
	if !h.accept(from, to) {
		return
	}
	now := l.config.Now()
	shares := sharesByClass(from, to, placed)
	for _, s := range usage.Services {
		if s.Requests == 0 && s.P99Micros == 0 { // idle: it misses nothing, and teaches nothing
			h.add(s.Service, placer.Window{From: from, To: to}, now)
			continue
		}
		if s.Requests <= 0 || s.P99Micros <= 0 {
			continue
		}
		l.model(s.Service, now).learn(l, sample{
			at: now, latency: micros(s.P99Micros), requests: s.Requests,
			rate: float64(s.Requests) / to.Sub(from).Seconds(), shares: shares,
		})
		if objective := l.config.Objective(s.Service); objective > 0 {
			ratio := float64(micros(s.P99Micros)) / float64(objective)
			h.add(s.Service, placer.Window{From: from, To: to, Ratio: ratio}, now)
		}
	}
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// sharesByClass returns for each class the mean number of its tasks that ran at
// full share within a window.
func sharesByClass(from, to time.Time, placed []Placement) map[string]float64 {
	shares := make(map[string]float64)
	for _, p := range placed {
		start, end := p.From, p.To
		if start.Before(from) {
			start = from
		}
		if end.IsZero() || end.After(to) {
			end = to
		}
		if overlap := end.Sub(start); overlap > 0 {
			shares[p.Class] += float64(overlap) / float64(to.Sub(from)) * share(p.Percent)
		}
	}
	return shares
}

func share(percent int) float64 {
	if percent <= 0 || percent > 100 {
		return 1
	}
	return float64(percent) / 100
}
