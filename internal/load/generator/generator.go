// Package generator sends requests in an open loop and measures the answers.
// Arrivals follow a schedule that does not wait for answers, and latency is
// measured from the scheduled time. Slow answers therefore neither reduce the
// load nor hide the delay of later requests.
package generator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Defaults of a Config.
const (
	DefaultTimeout     = 2 * time.Second
	DefaultMaxInFlight = 10_000
)

// Tenant is a tenant with its share of the load.
type Tenant struct {
	Name  string
	Share float64
}

// Config holds the settings of a Generator.
type Config struct {
	Targets     []string      // base URLs, used in turn
	Path        string        // appended to the base URL
	Method      string        // GET or POST; the answer to a POST must be its body
	Rate        float64       // mean arrivals per second
	Duration    time.Duration // of the measured period
	WarmUp      time.Duration // under load before the measured period, not counted
	Slice       time.Duration // length of the slices of the report; 0: none
	Timeout     time.Duration
	BodyBytes   int
	Tenants     []Tenant // empty: no tenant header
	Keyed       bool     // send an Idempotency-Key
	MaxInFlight int
	Seed        uint64
	HTTP        *http.Client // nil: a new client
}

// Generator sends requests according to a Config.
type Generator struct {
	config Config
	client *http.Client
	prefix string // of all request ids
}

// New returns a Generator.
func New(c Config) *Generator {
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.MaxInFlight <= 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	if c.Method == "" {
		c.Method = http.MethodGet
	}
	client := c.HTTP
	if client == nil {
		client = &http.Client{Transport: &http.Transport{
			MaxIdleConns: 0, MaxIdleConnsPerHost: 1024, IdleConnTimeout: time.Minute, DisableCompression: true,
		}}
	}
	return &Generator{config: c, client: client, prefix: fmt.Sprintf("load-%d", c.Seed)}
}

// arrival is one scheduled request.
type arrival struct {
	number  int64
	at      time.Time
	offset  time.Duration // since the end of the warm-up
	tenant  string
	counted bool
}

// Run sends the load, waits for the outstanding answers and returns the report.
func (g *Generator) Run(ctx context.Context) Report {
	results := make(chan result, 1024)
	collected := make(chan Report)
	go func() { collected <- collect(g.config, results) }()
	var inFlight sync.WaitGroup
	slots := make(chan struct{}, g.config.MaxInFlight)
	for a := range g.schedule() {
		if !sleepUntil(ctx, a.at) {
			break
		}
		lag := time.Since(a.at)
		select {
		case slots <- struct{}{}:
		default:
			results <- result{arrival: a, outcome: outcomeNotSent, lag: lag}
			continue
		}
		inFlight.Go(func() {
			defer func() { <-slots }()
			r := g.send(ctx, a)
			r.lag = lag
			results <- r
		})
	}
	inFlight.Wait()
	close(results)
	return <-collected
}

// schedule yields arrivals with exponentially distributed gaps, as from many
// independent callers.
func (g *Generator) schedule() func(yield func(arrival) bool) {
	random := rand.New(rand.NewPCG(g.config.Seed, 1))
	return func(yield func(arrival) bool) {
		start := time.Now()
		var since time.Duration
		for n := int64(0); ; n++ {
			since += time.Duration(random.ExpFloat64() / g.config.Rate * float64(time.Second))
			if since >= g.config.WarmUp+g.config.Duration {
				return
			}
			a := arrival{
				number: n, at: start.Add(since), offset: since - g.config.WarmUp,
				tenant: pickTenant(g.config.Tenants, random.Float64()), counted: since >= g.config.WarmUp,
			}
			if !yield(a) {
				return
			}
		}
	}
}

// pickTenant returns the tenant at the point x, from 0 to 1, of the cumulative shares.
func pickTenant(tenants []Tenant, x float64) string {
	var sum float64
	for _, t := range tenants {
		sum += t.Share
	}
	x *= sum
	for _, t := range tenants {
		if x -= t.Share; x < 0 {
			return t.Name
		}
	}
	return ""
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
