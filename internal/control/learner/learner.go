// Package learner estimates how much each class of batch tasks slows each
// service on the same VM. It uses usage reports that arrive with a delay, and
// matches each report to the tasks that were placed in the window it measured.
// A Learner must be used from a single goroutine. Its memory is bounded and
// nothing is stored: after a change of owner it learns again.
package learner

import (
	"time"

	"bamboospread/internal/control/placer"
	"bamboospread/internal/wire/messenger"
)

// Placement is a period in which a batch task was on a VM at one throttle
// percentage. A task whose throttle changed has several placements.
type Placement struct {
	TaskID  string
	Class   string
	From    time.Time
	To      time.Time // zero if the task is still there
	Percent int       // 0 or 100: not throttled
}

// Config holds the settings of a Learner; zero values select the defaults.
type Config struct {
	// Objective returns the latency objective of a service, 0 if it has none.
	Objective     func(service string) time.Duration
	Now           func() time.Time
	StaleAfter    time.Duration // report age above which the pressure is unknown; default 20 s
	ForgetAfter   time.Duration // time after which an estimate without new measurements has no confidence left; default 30 min
	PriorSlowdown float64       // assumed slowdown by one task without any data; default 0.05
	MaxServices   int           // default 512
	MaxClasses    int           // per service; default 48
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

// Learner holds the estimates and the recent reports.
type Learner struct {
	config   Config
	services map[string]*model
	classes  map[string]*mean // mean effect of each class over all services
	all      mean             // mean effect over all pairs of service and class
	vms      map[string]*history
}

// New returns a Learner without data.
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

// Observe processes a usage report of a VM and the batch tasks that were placed
// there. A report that was processed before, or that arrives long after later
// ones, changes nothing.
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
		if s.Requests == 0 && s.P99Micros == 0 { // an idle service misses no objective and gives no data about interference
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

// sharesByClass returns for each class the mean number of its tasks that ran
// within a window, weighted by their processor shares.
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
			shares[p.Class] += float64(overlap) / float64(to.Sub(from)) * processorShare(p.Percent)
		}
	}
	return shares
}

func processorShare(percent int) float64 {
	if percent <= 0 || percent > 100 {
		return 1
	}
	return float64(percent) / 100
}
