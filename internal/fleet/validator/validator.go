// Package validator checks the syntax and the values of a fleet text. It reports
// all errors at once, with line and column.
package validator

import (
	"fmt"
	"math"
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/fleet/finder"
	"bamboospread/internal/fleet/parser"
)

// Limits of values; a value outside is treated as a mistake.
const (
	MaxMillicores   = 4096 * 1000
	MaxMemoryBytes  = 64 << 40
	MaxAccelerators = 1024
	MaxReplicas     = 10_000
	MaxSlots        = 10_000
	MaxConnections  = 100_000
	MaxAttempts     = 1000
	MaxRate         = 1e7
	MaxRunTime      = 30 * 24 * time.Hour
	MaxObjective    = time.Hour
	MinOutageLease  = 15 * time.Second
	MaxOutageLease  = 24 * time.Hour
	MinWeight       = 0.01
	MaxWeight       = 1e6
	MaxNameBytes    = 63
	MaxPriority     = 9
	MaxSlack        = 100
	MaxTarget       = 24 * time.Hour
)

// Check parses and validates text. The error, if any, is a finder.Findings.
func Check(text []byte) (describer.Config, error) {
	findings := &finder.Finder{}
	c := &checker{Result: parser.Parse(text, findings), findings: findings}
	// If nothing could be parsed, checking the values would only add findings
	// caused by that.
	if findings.Err() == nil || c.Has("fleet") || len(c.Config.Zones) > 0 {
		c.fleet()
	}
	return c.Config, findings.Err()
}

type checker struct {
	parser.Result
	findings *finder.Finder
}

func (c *checker) add(path, format string, args ...any) {
	c.findings.Add(c.Position(path), path, format, args...)
}

func (c *checker) fleet() {
	c.name("fleet", c.Config.Name)
	c.zones()
	tenants := c.tenants()
	c.services(tenants)
	c.dependencies()
	c.taskClasses()
	c.queues()
	c.policy()
	c.loadControl()
}

// name checks a name, which is used in paths, store keys and metric labels.
func (c *checker) name(path, name string) {
	switch {
	case name == "" && !c.Has(path):
		c.add(path, "the name is missing")
	case name == "":
		// Present, but empty or of the wrong type.
		c.add(path, "want a name")
	case len(name) > MaxNameBytes:
		c.add(path, "the name has %d bytes, more than the limit of %d", len(name), MaxNameBytes)
	case !isName(name):
		c.add(path, "want a name of lower-case letters, digits, dots and dashes that begins and ends with a letter or digit, not %q", name)
	}
}

func isName(s string) bool {
	for i, r := range s {
		inner := i > 0 && i < len(s)-1
		switch {
		case r >= 'a' && r <= 'z', r >= '0' && r <= '9':
		case inner && (r == '-' || r == '.'):
		default:
			return false
		}
	}
	return s != ""
}

// names checks the names of a list for validity and duplicates.
func (c *checker) names(list string, names []string) map[string]bool {
	known := make(map[string]bool, len(names))
	for i, name := range names {
		path := fmt.Sprintf("%s[%d].name", list, i)
		c.name(path, name)
		if known[name] && name != "" {
			c.add(path, "the name %q is given twice", name)
		}
		known[name] = true
	}
	return known
}

func (c *checker) zones() {
	names := make([]string, 0, len(c.Config.Zones))
	for _, z := range c.Config.Zones {
		names = append(names, z.Name)
	}
	c.names("availability-zones", names)
	if len(names) == 0 && !c.Has("availability-zones") {
		c.add("availability-zones", "availability-zones are missing: nothing could start anywhere")
	}
	for i, z := range c.Config.Zones {
		if z.State != describer.ZoneIn && z.State != describer.ZoneOut {
			c.add(fmt.Sprintf("availability-zones[%d].state", i), "want in or out, not %q", string(z.State))
		}
	}
}

func (c *checker) tenants() map[string]bool {
	names := make([]string, 0, len(c.Config.Tenants))
	for _, t := range c.Config.Tenants {
		names = append(names, t.Name)
	}
	known := c.names("tenants", names)
	for i, t := range c.Config.Tenants {
		path := fmt.Sprintf("tenants[%d]", i)
		c.resources(path+".quota", t.Quota)
		c.floatRange(path+".weight", t.Weight, MinWeight, MaxWeight)
		c.floatRange(path+".requests-per-second", t.RequestsPerSecond, 0, MaxRate)
		c.intRange(path+".burst", t.Burst, 0, MaxRate)
	}
	return known
}

func (c *checker) services(tenants map[string]bool) {
	names := make([]string, 0, len(c.Config.Services))
	for _, s := range c.Config.Services {
		names = append(names, s.Name)
	}
	c.names("services", names)
	for i, s := range c.Config.Services {
		path := fmt.Sprintf("services[%d]", i)
		switch {
		case s.Tenant == "":
			c.add(path+".tenant", "the tenant is missing")
		case !tenants[s.Tenant]:
			c.add(path+".tenant", "there is no tenant %q", s.Tenant)
		}
		c.needs(path+".needs", s.Needs)
		c.intRange(path+".replicas", s.Replicas, 0, MaxReplicas)
		c.intRange(path+".slots", s.Slots, 1, MaxSlots)
		c.intRange(path+".connections", s.Connections, 1, MaxConnections)
		c.durationRange(path+".latency-objective", s.LatencyObjective, time.Millisecond, MaxObjective)
	}
}

func (c *checker) taskClasses() {
	names := make([]string, 0, len(c.Config.TaskClasses))
	for _, t := range c.Config.TaskClasses {
		names = append(names, t.Name)
	}
	c.names("task-classes", names)
	for i, t := range c.Config.TaskClasses {
		path := fmt.Sprintf("task-classes[%d]", i)
		c.needs(path+".needs", t.Needs)
		c.durationRange(path+".run-time", t.RunTime, time.Millisecond, MaxRunTime)
		c.intRange(path+".max-attempts", t.MaxAttempts, 1, MaxAttempts)
	}
}

func (c *checker) policy() {
	p := c.Config.Policy
	c.floatRange("policy.tail-latency-weight", p.TailLatencyWeight, 0, MaxWeight)
	c.floatRange("policy.throughput-weight", p.ThroughputWeight, 0, MaxWeight)
	c.floatRange("policy.eviction-weight", p.EvictionWeight, 0, MaxWeight)
	c.floatRange("policy.evictions-per-minute", p.EvictionsPerMinute, 0, MaxRate)
	c.durationRange("policy.outage-lease", p.OutageLease, MinOutageLease, MaxOutageLease)
}

// needs checks sizes that must not be zero: an unlimited amount of work that needs
// no processor or no memory would fit on one VM.
func (c *checker) needs(path string, r describer.Resources) {
	if r.Millicores == 0 {
		c.add(path+".processors", "processors are missing or zero")
	}
	if r.MemoryBytes == 0 {
		c.add(path+".memory", "memory is missing or zero")
	}
	c.resources(path, r)
}

func (c *checker) resources(path string, r describer.Resources) {
	c.amount(path+".processors", r.Millicores, MaxMillicores, "thousandths")
	c.amount(path+".memory", r.MemoryBytes, MaxMemoryBytes, "bytes")
	c.amount(path+".accelerators", r.Accelerators, MaxAccelerators, "devices")
}

func (c *checker) amount(path string, v, limit int64, unit string) {
	if v < 0 || v > limit {
		c.add(path, "%d %s is impossible; want 0 to %d", v, unit, limit)
	}
}

func (c *checker) intRange(path string, v, low, high int) {
	if v < low || v > high {
		c.add(path, "%d is out of range; want %d to %d", v, low, high)
	}
}

func (c *checker) floatRange(path string, v, low, high float64) {
	if math.IsNaN(v) || v < low || v > high {
		c.add(path, "%g is out of range; want %g to %g", v, low, high)
	}
}

func (c *checker) durationRange(path string, v, low, high time.Duration) {
	if v < low || v > high {
		c.add(path, "%s is out of range; want %s to %s", v, low, high)
	}
}
