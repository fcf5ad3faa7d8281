// Package describer defines the model of a fleet text: availability zones,
// tenants, services, task classes, queues and the policy. A Fleet is immutable and
// safe for concurrent use.
package describer

import "time"

// Resources is an amount of VM resources. The zero value requests nothing.
type Resources struct {
	Millicores   int64 `json:"millicores" yaml:"millicores"`     // thousandths of a processor
	MemoryBytes  int64 `json:"memory-bytes" yaml:"memory-bytes"` // bytes
	Accelerators int64 `json:"accelerators" yaml:"accelerators"` // whole devices
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Millicores + o.Millicores, r.MemoryBytes + o.MemoryBytes, r.Accelerators + o.Accelerators}
}

// Sub returns r - o; the result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Millicores - o.Millicores, r.MemoryBytes - o.MemoryBytes, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is within limit in every dimension.
func (r Resources) Fits(limit Resources) bool {
	return r.Millicores <= limit.Millicores && r.MemoryBytes <= limit.MemoryBytes && r.Accelerators <= limit.Accelerators
}

// ZoneState states whether an availability zone may receive new work.
type ZoneState string

// States of an availability zone.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// Zone is an availability zone of the fleet.
type Zone struct {
	Name  string
	State ZoneState
}

// Tenant owns services and tasks.
type Tenant struct {
	Name              string
	Quota             Resources // zero means no limit in that dimension
	Weight            float64   // share of the fleet relative to other tenants; at least 0.01
	RequestsPerSecond float64   // admission limit at each entry; 0 means no limit
	Burst             int       // requests above the rate that are admitted at once
}

// Service serves requests through upstreams that announce themselves.
type Service struct {
	Name             string
	Tenant           string
	Needs            Resources     // of one upstream
	Replicas         int           // upstreams that the scheduler keeps running; 0: started outside the scheduler
	Slots            int           // concurrent requests per upstream
	Connections      int           // connections accepted per upstream
	LatencyObjective time.Duration // expected p99
	DependsOn        []string      // names of other services
}

// TaskClass describes batch tasks of one kind.
type TaskClass struct {
	Name        string
	Needs       Resources
	RunTime     time.Duration // declared; often far from the real one
	Urgent      bool          // starts before the other tasks within the quota of its tenant
	Checkpoint  bool          // can be checkpointed and resumed
	MaxAttempts int           // failed attempts before the task is held
	// HoldWhenLost prevents a restart of a task whose VM was lost without a final
	// report: the task may have completed there.
	HoldWhenLost bool
}

// Queue accepts jobs of one kind.
type Queue struct {
	Name        string
	Service     string        // tasks run on the VMs of this service's agents; empty: on any VM
	Priority    int           // 0 comes first
	MaxFailures int           // runs of a task that may fail before its job fails
	Slack       float64       // the objective of a job is its critical path times Slack
	Target      time.Duration // added to the objective
}

// Policy holds the weights and budgets of the placement.
type Policy struct {
	TailLatencyWeight  float64
	ThroughputWeight   float64
	EvictionWeight     float64
	EvictionsPerMinute float64       // budget of planned evictions per cell
	OutageLease        time.Duration // how long tasks keep running while the cell's owner or the store is unreachable
}

// Config is the content of a fleet text.
type Config struct {
	Name        string
	Version     int64 // version of the stored record; 0 if the text is not stored
	Zones       []Zone
	Tenants     []Tenant
	Services    []Service
	TaskClasses []TaskClass
	Queues      []Queue
	Policy      Policy
	LoadControl []string // decisions under load that are asked for; names of specifier.LoadControl
}

// Fleet is a validated fleet text with its version.
type Fleet struct {
	config   Config
	zones    map[string]ZoneState
	tenants  map[string]Tenant
	services map[string]Service
	classes  map[string]TaskClass
}

// New returns the Fleet of a config that package validator has accepted.
func New(c Config) *Fleet {
	f := &Fleet{
		config: c, zones: make(map[string]ZoneState), tenants: make(map[string]Tenant),
		services: make(map[string]Service), classes: make(map[string]TaskClass),
	}
	for _, z := range c.Zones {
		f.zones[z.Name] = z.State
	}
	for _, t := range c.Tenants {
		f.tenants[t.Name] = t
	}
	for _, s := range c.Services {
		f.services[s.Name] = s
	}
	for _, t := range c.TaskClasses {
		f.classes[t.Name] = t
	}
	return f
}

// Name returns the name of the fleet.
func (f *Fleet) Name() string { return f.config.Name }

// Version returns the version of the stored record, which never decreases.
func (f *Fleet) Version() int64 { return f.config.Version }

// Zones returns the availability zones in the order of the text.
func (f *Fleet) Zones() []Zone { return f.config.Zones }

// ZoneIsOut reports whether operators have taken the availability zone out. A
// zone that the text does not name is treated as out: nothing starts there.
func (f *Fleet) ZoneIsOut(name string) bool { return f.zones[name] != ZoneIn }

// Tenants returns the tenants in the order of the text.
func (f *Fleet) Tenants() []Tenant { return f.config.Tenants }

// Tenant returns the tenant with the given name.
func (f *Fleet) Tenant(name string) (Tenant, bool) { t, ok := f.tenants[name]; return t, ok }

// Services returns the services in the order of the text.
func (f *Fleet) Services() []Service { return f.config.Services }

// Service returns the service with the given name.
func (f *Fleet) Service(name string) (Service, bool) { s, ok := f.services[name]; return s, ok }

// TaskClasses returns the task classes in the order of the text.
func (f *Fleet) TaskClasses() []TaskClass { return f.config.TaskClasses }

// TaskClass returns the task class with the given name.
func (f *Fleet) TaskClass(name string) (TaskClass, bool) { c, ok := f.classes[name]; return c, ok }

// Queues returns the queues of jobs in the order of the text.
func (f *Fleet) Queues() []Queue { return f.config.Queues }

// LoadControl returns the names of the decisions under load that are asked for.
func (f *Fleet) LoadControl() []string { return f.config.LoadControl }

// Policy returns the weights and budgets of the placement.
func (f *Fleet) Policy() Policy { return f.config.Policy }
