package parser

import (
	"time"

	"github.com/goccy/go-yaml/ast"

	"bamboospread/internal/fleet/describer"
)

// Defaults for optional fields of a fleet text.
const (
	DefaultSlots              = 8
	DefaultConnections        = 64
	DefaultWeight             = 1.0
	DefaultMaxAttempts        = 3
	DefaultLatencyObjective   = 250 * time.Millisecond
	DefaultRunTime            = time.Minute
	DefaultOutageLease        = 180 * time.Second
	DefaultEvictionsPerMinute = 30.0
	DefaultMaxFailures        = 4
	DefaultSlack              = 2.0
	DefaultTarget             = time.Second
)

func (d *decoder) fleet(n ast.Node) describer.Config {
	c := describer.Config{Policy: describer.Policy{
		TailLatencyWeight: DefaultWeight, ThroughputWeight: DefaultWeight, EvictionWeight: DefaultWeight,
		EvictionsPerMinute: DefaultEvictionsPerMinute, OutageLease: DefaultOutageLease,
	}}
	d.object(n, "", map[string]field{
		"fleet":              d.text(&c.Name),
		"availability-zones": func(n ast.Node, p string) { d.list(n, p, d.zone(&c.Zones)) },
		"tenants":            func(n ast.Node, p string) { d.list(n, p, d.tenant(&c.Tenants)) },
		"services":           func(n ast.Node, p string) { d.list(n, p, d.service(&c.Services)) },
		"task-classes":       func(n ast.Node, p string) { d.list(n, p, d.taskClass(&c.TaskClasses)) },
		"queues":             func(n ast.Node, p string) { d.list(n, p, d.queue(&c.Queues)) },
		"policy":             d.policy(&c.Policy),
		"load-control":       func(n ast.Node, p string) { d.list(n, p, d.textItem(&c.LoadControl)) },
	})
	return c
}

func (d *decoder) zone(out *[]describer.Zone) field {
	return func(n ast.Node, path string) {
		z := describer.Zone{State: describer.ZoneIn}
		state := string(describer.ZoneIn)
		d.object(n, path, map[string]field{"name": d.text(&z.Name), "state": d.text(&state)})
		z.State = describer.ZoneState(state)
		*out = append(*out, z)
	}
}

func (d *decoder) tenant(out *[]describer.Tenant) field {
	return func(n ast.Node, path string) {
		t := describer.Tenant{Weight: DefaultWeight}
		d.object(n, path, map[string]field{
			"name":                d.text(&t.Name),
			"quota":               d.resources(&t.Quota),
			"weight":              d.number(&t.Weight),
			"requests-per-second": d.number(&t.RequestsPerSecond),
			"burst":               d.integer(&t.Burst),
		})
		*out = append(*out, t)
	}
}

func (d *decoder) service(out *[]describer.Service) field {
	return func(n ast.Node, path string) {
		s := describer.Service{Slots: DefaultSlots, Connections: DefaultConnections, LatencyObjective: DefaultLatencyObjective}
		d.object(n, path, map[string]field{
			"name":              d.text(&s.Name),
			"tenant":            d.text(&s.Tenant),
			"needs":             d.resources(&s.Needs),
			"replicas":          d.integer(&s.Replicas),
			"slots":             d.integer(&s.Slots),
			"connections":       d.integer(&s.Connections),
			"latency-objective": d.duration(&s.LatencyObjective),
			"depends-on":        func(n ast.Node, p string) { d.list(n, p, d.textItem(&s.DependsOn)) },
		})
		*out = append(*out, s)
	}
}

func (d *decoder) taskClass(out *[]describer.TaskClass) field {
	return func(n ast.Node, path string) {
		c := describer.TaskClass{RunTime: DefaultRunTime, MaxAttempts: DefaultMaxAttempts}
		d.object(n, path, map[string]field{
			"name":           d.text(&c.Name),
			"needs":          d.resources(&c.Needs),
			"run-time":       d.duration(&c.RunTime),
			"urgent":         d.boolean(&c.Urgent),
			"checkpoint":     d.boolean(&c.Checkpoint),
			"max-attempts":   d.integer(&c.MaxAttempts),
			"hold-when-lost": d.boolean(&c.HoldWhenLost),
		})
		*out = append(*out, c)
	}
}

func (d *decoder) queue(out *[]describer.Queue) field {
	return func(n ast.Node, path string) {
		q := describer.Queue{MaxFailures: DefaultMaxFailures, Slack: DefaultSlack, Target: DefaultTarget}
		d.object(n, path, map[string]field{
			"name":         d.text(&q.Name),
			"service":      d.text(&q.Service),
			"priority":     d.integer(&q.Priority),
			"max-failures": d.integer(&q.MaxFailures),
			"slack":        d.number(&q.Slack),
			"target":       d.duration(&q.Target),
		})
		*out = append(*out, q)
	}
}

func (d *decoder) policy(out *describer.Policy) field {
	return func(n ast.Node, path string) {
		d.object(n, path, map[string]field{
			"tail-latency-weight":  d.number(&out.TailLatencyWeight),
			"throughput-weight":    d.number(&out.ThroughputWeight),
			"eviction-weight":      d.number(&out.EvictionWeight),
			"evictions-per-minute": d.number(&out.EvictionsPerMinute),
			"outage-lease":         d.duration(&out.OutageLease),
		})
	}
}

// textItem decodes an item of a list of strings.
func (d *decoder) textItem(out *[]string) field {
	return func(n ast.Node, path string) {
		var s string
		d.text(&s)(n, path)
		*out = append(*out, s)
	}
}

func (d *decoder) resources(out *describer.Resources) field {
	return func(n ast.Node, path string) {
		accelerators := 0
		d.object(n, path, map[string]field{
			"processors":   d.processors(&out.Millicores),
			"memory":       d.memory(&out.MemoryBytes),
			"accelerators": d.integer(&accelerators),
		})
		out.Accelerators = int64(accelerators)
	}
}
