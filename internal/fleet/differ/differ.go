// Package differ lists the items and fields in which two fleets differ. It compares
// values, not text: comments, the order of lists and the notation of sizes are
// ignored.
package differ

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"bamboospread/internal/fleet/describer"
)

// field is one value of an item, formatted as in a fleet text.
type field struct{ name, value string }

// item is an availability zone, tenant, service, task class or queue, the policy,
// or the fleet itself.
type item struct {
	kind, name string
	fields     []field
}

func (i item) key() string { return strings.TrimSpace(i.kind + " " + i.name) }

// Diff returns a line for each difference between two fleets, in the order of
// the new text with removed items last. The result is empty if they are equal.
func Diff(old, current describer.Config) []string {
	before, after := itemsOf(old), itemsOf(current)
	previousItems := make(map[string]item, len(before))
	for _, i := range before {
		previousItems[i.key()] = i
	}
	lines := []string{}
	kept := make(map[string]bool)
	for _, i := range after {
		kept[i.key()] = true
		previous, ok := previousItems[i.key()]
		if !ok {
			lines = append(lines, "added "+i.key()+formatFields(i.fields))
			continue
		}
		for k, f := range i.fields {
			if previous.fields[k].value != f.value {
				lines = append(lines, fmt.Sprintf("changed %s: %s %s -> %s", i.key(), f.name, previous.fields[k].value, f.value))
			}
		}
	}
	for _, i := range before {
		if !kept[i.key()] {
			lines = append(lines, "removed "+i.key())
		}
	}
	return lines
}

func formatFields(fields []field) string {
	parts := make([]string, 0, len(fields))
	for _, f := range fields {
		parts = append(parts, f.name+" "+f.value)
	}
	if len(parts) == 0 {
		return ""
	}
	return ": " + strings.Join(parts, ", ")
}

func itemsOf(c describer.Config) []item {
	items := []item{{kind: "fleet", fields: []field{{"name", orNone(c.Name)}}}}
	for _, z := range c.Zones {
		items = append(items, item{"availability-zone", z.Name, []field{{"state", string(z.State)}}})
	}
	for _, t := range c.Tenants {
		items = append(items, item{"tenant", t.Name, append(resources("quota.", t.Quota),
			field{"weight", number(t.Weight)},
			field{"requests-per-second", number(t.RequestsPerSecond)},
			field{"burst", strconv.Itoa(t.Burst)})})
	}
	for _, s := range c.Services {
		items = append(items, serviceItem(s))
	}
	for _, t := range c.TaskClasses {
		items = append(items, item{"task-class", t.Name, append(resources("needs.", t.Needs),
			field{"run-time", t.RunTime.String()},
			field{"urgent", strconv.FormatBool(t.Urgent)},
			field{"checkpoint", strconv.FormatBool(t.Checkpoint)},
			field{"max-attempts", strconv.Itoa(t.MaxAttempts)},
			field{"hold-when-lost", strconv.FormatBool(t.HoldWhenLost)})})
	}
	for _, q := range c.Queues {
		items = append(items, item{"queue", q.Name, []field{
			{"service", orNone(q.Service)},
			{"priority", strconv.Itoa(q.Priority)},
			{"max-failures", strconv.Itoa(q.MaxFailures)},
			{"slack", number(q.Slack)},
			{"target", q.Target.String()},
		}})
	}
	if len(c.LoadControl) > 0 {
		items = append(items, item{"load-control", "", []field{{"decisions", strings.Join(c.LoadControl, ",")}}})
	}
	p := c.Policy
	return append(items, item{"policy", "", []field{
		{"tail-latency-weight", number(p.TailLatencyWeight)},
		{"throughput-weight", number(p.ThroughputWeight)},
		{"eviction-weight", number(p.EvictionWeight)},
		{"evictions-per-minute", number(p.EvictionsPerMinute)},
		{"outage-lease", p.OutageLease.String()},
	}})
}

func serviceItem(s describer.Service) item {
	needs := slices.Sorted(slices.Values(s.DependsOn))
	return item{"service", s.Name, append(resources("needs.", s.Needs),
		field{"tenant", s.Tenant},
		field{"replicas", strconv.Itoa(s.Replicas)},
		field{"slots", strconv.Itoa(s.Slots)},
		field{"connections", strconv.Itoa(s.Connections)},
		field{"latency-objective", s.LatencyObjective.Round(time.Microsecond).String()},
		field{"depends-on", orNone(strings.Join(needs, " "))})}
}

func resources(prefix string, r describer.Resources) []field {
	return []field{
		{prefix + "processors", number(float64(r.Millicores) / 1000)},
		{prefix + "memory", Memory(r.MemoryBytes)},
		{prefix + "accelerators", strconv.FormatInt(r.Accelerators, 10)},
	}
}

// Memory formats an amount of memory in the largest unit that divides it evenly.
func Memory(bytes int64) string {
	units := []struct {
		name string
		size int64
	}{{"GiB", 1 << 30}, {"GB", 1e9}, {"MiB", 1 << 20}, {"MB", 1e6}, {"KiB", 1 << 10}}
	for _, u := range units {
		if bytes != 0 && bytes%u.size == 0 {
			return strconv.FormatInt(bytes/u.size, 10) + u.name
		}
	}
	return strconv.FormatInt(bytes, 10)
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
