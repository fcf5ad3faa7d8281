package messenger

import (
	"time"

	"bamboospread/internal/fleet/describer"
)

// TaskState is the state of a task in its cell.
type TaskState string

// States of a task. Starting, running and stopping tasks hold resources of a VM.
const (
	TaskQueued    TaskState = "queued"
	TaskStarting  TaskState = "starting"  // start is journalled but not yet confirmed
	TaskRunning   TaskState = "running"   // confirmed by the agent
	TaskStopping  TaskState = "stopping"  // eviction or cancellation is journalled
	TaskCompleted TaskState = "completed" // final
	TaskCancelled TaskState = "cancelled" // final
	TaskHeld      TaskState = "held"      // can't run; Reason says why
)

// TaskSpec is what a tenant submits.
type TaskSpec struct {
	ID     string              `json:"id"` // set by the submitter or the entry; submitting it again has no effect
	Tenant string              `json:"tenant"`
	Class  string              `json:"class"`
	Needs  describer.Resources `json:"needs"` // zero: the needs of the class
	// RunTimeMillis is an estimate and may be far off; zero: the run time of the class.
	RunTimeMillis int64  `json:"run-time-ms,omitempty"`
	Urgent        bool   `json:"urgent,omitempty"`
	Payload       string `json:"payload,omitempty"` // passed to the worker unchanged
	// Service names the service of which this task is a replica; empty for a
	// batch task. A replica runs until it is stopped.
	Service string `json:"service,omitempty"`
}

// OrderKind is the action of an order.
type OrderKind string

// Kinds of orders.
const (
	OrderStart      OrderKind = "start"
	OrderStop       OrderKind = "stop"       // end immediately; used for cancellations
	OrderCheckpoint OrderKind = "checkpoint" // write a checkpoint, then end; used for moves
	OrderThrottle   OrderKind = "throttle"   // run at Percent of the processor share
)

// Order is a journalled decision that is sent to an agent.
type Order struct {
	Kind       OrderKind           `json:"kind"`
	TaskID     string              `json:"task-id"`
	Attempt    int64               `json:"attempt"` // increases with each start of the task, across all VMs
	Epoch      int64               `json:"epoch"`
	Needs      describer.Resources `json:"needs"`
	Class      string              `json:"class,omitempty"`
	Tenant     string              `json:"tenant,omitempty"`
	Service    string              `json:"service,omitempty"`
	Payload    string              `json:"payload,omitempty"`
	RunTime    int64               `json:"run-time-ms,omitempty"`
	Checkpoint string              `json:"checkpoint,omitempty"` // to resume from
	Percent    int                 `json:"percent,omitempty"`    // with throttle: 1 to 100
	// Time after which a start is refused, counted from when the agent sent the
	// poll that this order answers.
	ExpiresAfterMillis int64 `json:"void-after-ms,omitempty"`
	// AgentIncarnation is the agent's process, and WorkerLife the worker's, when the start of the attempt was
	// decided. Zero and empty: not known.
	AgentIncarnation int64  `json:"agent-incarnation,omitempty"`
	WorkerLife       string `json:"worker-life,omitempty"`
}

// ReportState is the state of an attempt as reported by its agent.
type ReportState string

// States of an attempt. All but ReportRunning are repeated until acknowledged.
const (
	ReportRunning   ReportState = "running"
	ReportCompleted ReportState = "completed"
	ReportFailed    ReportState = "failed"  // ended with an error, without an order
	ReportStopped   ReportState = "stopped" // ended by an order; Checkpoint may be set
	ReportRefused   ReportState = "refused" // never started; the agent keeps a tombstone
	ReportLost      ReportState = "lost"    // lease expired or VM restarted; no longer running
)

// TaskReport reports the state of one attempt to the owner.
type TaskReport struct {
	TaskID     string              `json:"task-id"`
	Attempt    int64               `json:"attempt"`
	State      ReportState         `json:"state"`
	Reason     string              `json:"reason,omitempty"`
	Checkpoint string              `json:"checkpoint,omitempty"` // latest one
	Needs      describer.Resources `json:"needs,omitzero"`
	Class      string              `json:"class,omitempty"`
	Tenant     string              `json:"tenant,omitempty"`
	Service    string              `json:"service,omitempty"`
	Percent    int                 `json:"percent,omitempty"` // of the processor share at which it runs; 0: not reported by the worker
	// Unavailable is set with ReportRefused if the worker was unavailable. An owner
	// that does not know it takes the report for any other refusal.
	Unavailable bool `json:"unavailable,omitempty"`
	// EndUnknown is set with ReportLost if the attempt may have run, and completed, in a former life of the
	// worker. An owner that does not know it takes the attempt for one that did not complete.
	EndUnknown bool `json:"end-unknown,omitempty"`
}

// Usage is the resource usage of a VM, measured over a past window.
type Usage struct {
	FromMillis    int64         `json:"from-ms"` // window, Unix time in ms by the VM's clock
	ToMillis      int64         `json:"to-ms"`
	Tasks         []TaskUsage   `json:"tasks,omitempty"`
	Services      []ServiceLoad `json:"services,omitempty"`
	MillicoresAll int64         `json:"millicores-all"`
}

// TaskUsage is the resource usage of one task within the window.
type TaskUsage struct {
	TaskID      string `json:"task-id"`
	Millicores  int64  `json:"millicores"`
	MemoryBytes int64  `json:"memory-bytes"`
	// ProgressPermille is the work done in the window, in thousandths of the work
	// that would have been done without interference.
	ProgressPermille int64 `json:"progress-permille"`
}

// ServiceLoad is the load of a local upstream, measured by the agent in the window.
type ServiceLoad struct {
	Service    string `json:"service"`
	Requests   int64  `json:"requests"`
	MeanMicros int64  `json:"mean-us"`
	P99Micros  int64  `json:"p99-us"`
}

// Poll renews the session of a VM with the owner of its cell, reports the state
// of the VM and waits for orders.
type Poll struct {
	Cell        string       `json:"cell"`
	AgentID     string       `json:"agent-id"`
	Incarnation int64        `json:"incarnation"`
	Epoch       int64        `json:"epoch"` // highest epoch that the agent has seen; its worker has answered a renewal of leases since
	Sequence    int64        `json:"sequence"`
	Capacity    Capacity     `json:"capacity"`
	Upstreams   []Upstream   `json:"upstreams,omitempty"` // the needs of their services are committed on the VM
	Tasks       []TaskReport `json:"tasks,omitempty"`     // every attempt that is running or awaits acknowledgement
	Usage       *Usage       `json:"usage,omitempty"`
	Leaving     bool         `json:"leaving,omitempty"`     // the agent is draining
	WorkerLife  string       `json:"worker-life,omitempty"` // of the worker that listed Tasks; empty: it names none
	WaitMillis  int64        `json:"wait-ms"`               // how long the owner may delay the answer
}

// TaskAttempt identifies one attempt of a task.
type TaskAttempt struct {
	TaskID  string `json:"task-id"`
	Attempt int64  `json:"attempt"`
}

// PollReply renews the lease of the VM and contains orders.
type PollReply struct {
	Epoch       int64         `json:"epoch"`
	EntryID     string        `json:"entry-id"`
	LeaseMillis int64         `json:"lease-ms"` // counted from when the agent sent the poll
	Outage      bool          `json:"outage"`   // the lease is the longer one used during store outages
	Orders      []Order       `json:"orders,omitempty"`
	Acked       []TaskAttempt `json:"acked,omitempty"` // final reports that are journalled
	ZonesOut    []string      `json:"zones-out,omitempty"`
}

// SubmitRequest submits tasks to a cell; each is accepted or refused individually.
type SubmitRequest struct {
	Cell  string     `json:"cell"`
	Tasks []TaskSpec `json:"tasks"`
}

// SubmitReply contains the result of each task, in the order of the request.
type SubmitReply struct {
	Results []SubmitResult `json:"verdicts"`
}

// SubmitResult is the result of submitting a task; an accepted task is journalled.
type SubmitResult struct {
	ID       string    `json:"id"`
	Accepted bool      `json:"accepted"`
	State    TaskState `json:"state,omitempty"`
	Reason   string    `json:"reason,omitempty"` // why it is refused or held
}

// CancelRequest cancels tasks by id, or all tasks of a tenant and class.
type CancelRequest struct {
	Cell   string   `json:"cell"`
	IDs    []string `json:"ids,omitempty"`
	Tenant string   `json:"tenant,omitempty"`
	Class  string   `json:"class,omitempty"`
}

// CancelReply contains the number of cancelled tasks and the ids that do not exist.
type CancelReply struct {
	Cancelled int      `json:"cancelled"`
	Unknown   []string `json:"unknown,omitempty"`
}

// FindTasksOptions selects tasks; zero values select all.
type FindTasksOptions struct {
	Cell   string    `json:"cell"`
	IDs    []string  `json:"ids,omitempty"`
	Tenant string    `json:"tenant,omitempty"`
	Class  string    `json:"class,omitempty"`
	State  TaskState `json:"state,omitempty"`
	VM     string    `json:"vm,omitempty"`
	Limit  int       `json:"limit,omitempty"` // 0: 1000
}

// FindTasksReply lists tasks in the order of submission.
type FindTasksReply struct {
	Tasks []Task `json:"tasks"`
}

// Task is a task as shown to operators.
type Task struct {
	Spec       TaskSpec  `json:"spec"`
	State      TaskState `json:"state"`
	Reason     string    `json:"reason,omitempty"`
	VM         string    `json:"vm,omitempty"`
	Zone       string    `json:"zone,omitempty"`
	Attempt    int64     `json:"attempt"`
	Failures   int       `json:"failures"`
	Evictions  int       `json:"evictions"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	Submitted  time.Time `json:"submitted"`
	Changed    time.Time `json:"changed"`
}

// StatusRequest asks for the state of a cell.
type StatusRequest struct {
	Cell string `json:"cell"`
}

// Status is a summary of the state of a cell.
type Status struct {
	Cell         string            `json:"cell"`
	Owner        string            `json:"owner"`
	Epoch        int64             `json:"epoch"`
	FleetVersion int64             `json:"fleet-version"`
	StoreReached bool              `json:"store-reached"`
	JournalNext  int64             `json:"journal-next"`
	Tasks        map[TaskState]int `json:"tasks"`
	VMs          []VMStatus        `json:"vms"`
	Zones        []ZoneStatus      `json:"zones"`
}

// VMStatus is the state of a VM.
type VMStatus struct {
	VM          string              `json:"vm"`
	Zone        string              `json:"zone"`
	Rack        string              `json:"rack"`
	Total       describer.Resources `json:"total"`
	Committed   describer.Resources `json:"committed"`
	Tasks       int                 `json:"tasks"`
	Reachable   bool                `json:"reachable"`
	Quarantined string              `json:"quarantined,omitempty"` // reason
}

// ZoneStatus is the state of an availability zone.
type ZoneStatus struct {
	Name  string              `json:"name"`
	State describer.ZoneState `json:"state"`
	VMs   int                 `json:"vms"`
	Tasks int                 `json:"tasks"`
}

// ExplainRequest asks for the decisions about a task, VM or service.
type ExplainRequest struct {
	Cell string `json:"cell"`
	Kind string `json:"kind"` // "task", "vm" or "service"
	Name string `json:"name"`
}

// ExplainReply contains a summary and the decisions, oldest first.
type ExplainReply struct {
	Summary   string     `json:"summary"`
	Decisions []Decision `json:"decisions"`
}

// EventsRequest asks for decisions with a number above Above.
type EventsRequest struct {
	Cell  string `json:"cell"`
	Above int64  `json:"above"`
	Limit int    `json:"limit,omitempty"`
}

// EventsReply lists decisions, oldest first.
type EventsReply struct {
	Decisions []Decision `json:"decisions"`
}

// Decision is a numbered decision of the cell with its inputs and reason.
type Decision struct {
	Number  int64             `json:"number"` // increases by one with each decision of the cell
	Code    int               `json:"code"`   // event code, see docs/EVENTS.md
	Time    time.Time         `json:"time"`
	Epoch   int64             `json:"epoch"`
	Task    string            `json:"task,omitempty"`
	VM      string            `json:"vm,omitempty"`
	Service string            `json:"service,omitempty"`
	Reason  string            `json:"reason"`
	Inputs  map[string]string `json:"inputs,omitempty"`
}
