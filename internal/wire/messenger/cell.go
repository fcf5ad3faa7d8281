package messenger

import (
	"time"

	"bamboospread/internal/fleet/describer"
)

// TaskState is the state of a task in its cell.
type TaskState string

// States of a task. Starting, Running and Stopping hold resources of a VM.
const (
	TaskQueued    TaskState = "queued"
	TaskStarting  TaskState = "starting"  // start is journalled, not yet confirmed
	TaskRunning   TaskState = "running"   // confirmed by the agent
	TaskStopping  TaskState = "stopping"  // eviction or cancellation is journalled
	TaskCompleted TaskState = "completed" // final
	TaskCancelled TaskState = "cancelled" // final
	TaskHeld      TaskState = "held"      // can't run; Reason tells why
)

// TaskSpec is what a tenant submits.
type TaskSpec struct {
	ID     string              `json:"id"` // chosen by the submitter or the entry; submitting it again is harmless
	Tenant string              `json:"tenant"`
	Class  string              `json:"class"`
	Needs  describer.Resources `json:"needs"` // zero: those of the class
	// RunTime is declared and may be far off; zero: that of the class.
	RunTimeMillis int64  `json:"run-time-ms,omitempty"`
	Urgent        bool   `json:"urgent,omitempty"`
	Payload       string `json:"payload,omitempty"` // passed to the worker as it is
	// Service names the service of which this task is a replica; empty for a
	// batch task. A replica has no end of its own.
	Service string `json:"service,omitempty"`
}

// OrderKind tells an agent what to do with a task.
type OrderKind string

// Kinds of orders.
const (
	OrderStart      OrderKind = "start"
	OrderStop       OrderKind = "stop"       // end now; used for cancellations
	OrderCheckpoint OrderKind = "checkpoint" // checkpoint, then end; used for moves
	OrderThrottle   OrderKind = "throttle"   // run at Percent of the processors
)

// Order is a journalled decision on its way to an agent.
type Order struct {
	Kind       OrderKind           `json:"kind"`
	TaskID     string              `json:"task-id"`
	Attempt    int64               `json:"attempt"` // rises with each start of the task, over all VMs
	Epoch      int64               `json:"epoch"`
	Needs      describer.Resources `json:"needs"`
	Class      string              `json:"class,omitempty"`
	Tenant     string              `json:"tenant,omitempty"`
	Service    string              `json:"service,omitempty"`
	Payload    string              `json:"payload,omitempty"`
	RunTime    int64               `json:"run-time-ms,omitempty"`
	Checkpoint string              `json:"checkpoint,omitempty"` // to resume from
	Percent    int                 `json:"percent,omitempty"`    // with throttle: 1 to 100
	// VoidAfterMillis counts from the moment at which the agent sent the poll
	// that this order answers; a start is refused later than that.
	VoidAfterMillis int64 `json:"void-after-ms,omitempty"`
}

// ReportState is how an agent describes an attempt.
type ReportState string

// States of an attempt. All but Running are repeated until acknowledged.
const (
	ReportRunning   ReportState = "running"
	ReportCompleted ReportState = "completed"
	ReportFailed    ReportState = "failed"  // ended by itself with an error
	ReportStopped   ReportState = "stopped" // ended on order, Checkpoint may be set
	ReportRefused   ReportState = "refused" // never started; tombstone kept
	ReportLost      ReportState = "lost"    // lease ran out or VM restarted; not running any more
)

// TaskReport tells the owner about one attempt.
type TaskReport struct {
	TaskID     string              `json:"task-id"`
	Attempt    int64               `json:"attempt"`
	State      ReportState         `json:"state"`
	Reason     string              `json:"reason,omitempty"`
	Checkpoint string              `json:"checkpoint,omitempty"` // latest
	Needs      describer.Resources `json:"needs,omitzero"`
	Class      string              `json:"class,omitempty"`
	Tenant     string              `json:"tenant,omitempty"`
	Service    string              `json:"service,omitempty"`
	Percent    int                 `json:"percent,omitempty"` // of the processors at which it runs; 0: the worker does not tell
}

// Usage is a measurement of the VM over a past window.
type Usage struct {
	FromMillis    int64         `json:"from-ms"` // window, Unix time in ms on the VM's clock
	ToMillis      int64         `json:"to-ms"`
	Tasks         []TaskUsage   `json:"tasks,omitempty"`
	Services      []ServiceLoad `json:"services,omitempty"`
	MillicoresAll int64         `json:"millicores-all"`
}

// TaskUsage is the use of one task within the window.
type TaskUsage struct {
	TaskID      string `json:"task-id"`
	Millicores  int64  `json:"millicores"`
	MemoryBytes int64  `json:"memory-bytes"`
	// ProgressPermille is the work done in the window, in thousandths of what
	// an undisturbed VM would have done.
	ProgressPermille int64 `json:"progress-permille"`
}

// ServiceLoad is what the agent measured of a local upstream in the window.
type ServiceLoad struct {
	Service    string `json:"service"`
	Requests   int64  `json:"requests"`
	MeanMicros int64  `json:"mean-us"`
	P99Micros  int64  `json:"p99-us"`
}

// Poll renews the session of a VM with the owner of its cell, reports, and
// waits for orders.
type Poll struct {
	Cell        string       `json:"cell"`
	AgentID     string       `json:"agent-id"`
	Incarnation int64        `json:"incarnation"`
	Epoch       int64        `json:"epoch"` // highest that the agent has seen
	Sequence    int64        `json:"sequence"`
	Capacity    Capacity     `json:"capacity"`
	Upstreams   []Upstream   `json:"upstreams,omitempty"` // their services' needs are committed on the VM
	Tasks       []TaskReport `json:"tasks,omitempty"`     // every attempt that runs or awaits acknowledgement
	Usage       *Usage       `json:"usage,omitempty"`
	Leaving     bool         `json:"leaving,omitempty"` // the agent drains
	WaitMillis  int64        `json:"wait-ms"`           // how long the owner may hold the answer
}

// TaskAttempt names one attempt of a task.
type TaskAttempt struct {
	TaskID  string `json:"task-id"`
	Attempt int64  `json:"attempt"`
}

// PollReply renews the lease of the VM and carries orders.
type PollReply struct {
	Epoch       int64         `json:"epoch"`
	EntryID     string        `json:"entry-id"`
	LeaseMillis int64         `json:"lease-ms"` // counts from when the agent sent the poll
	Outage      bool          `json:"outage"`   // the lease is the longer one for store outages
	Orders      []Order       `json:"orders,omitempty"`
	Acked       []TaskAttempt `json:"acked,omitempty"` // final reports that are journalled
	ZonesOut    []string      `json:"zones-out,omitempty"`
}

// SubmitRequest submits tasks to a cell; each is accepted or refused alone.
type SubmitRequest struct {
	Cell  string     `json:"cell"`
	Tasks []TaskSpec `json:"tasks"`
}

// SubmitReply holds a verdict for each task, in order.
type SubmitReply struct {
	Verdicts []SubmitVerdict `json:"verdicts"`
}

// SubmitVerdict tells whether a task is journalled.
type SubmitVerdict struct {
	ID       string    `json:"id"`
	Accepted bool      `json:"accepted"`
	State    TaskState `json:"state,omitempty"`
	Reason   string    `json:"reason,omitempty"` // of a refusal, or why it is held
}

// CancelRequest cancels tasks by id, or all of a tenant and class.
type CancelRequest struct {
	Cell   string   `json:"cell"`
	IDs    []string `json:"ids,omitempty"`
	Tenant string   `json:"tenant,omitempty"`
	Class  string   `json:"class,omitempty"`
}

// CancelReply counts what was cancelled and lists ids that do not exist.
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

// FindTasksReply lists tasks in the order of their submission.
type FindTasksReply struct {
	Tasks []Task `json:"tasks"`
}

// Task is what operators see of a task.
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

// Status is the state of a cell at a glance.
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

// ExplainRequest asks for the story of a task, VM or service.
type ExplainRequest struct {
	Cell string `json:"cell"`
	Kind string `json:"kind"` // "task", "vm" or "service"
	Name string `json:"name"`
}

// ExplainReply tells the story as decisions, oldest first.
type ExplainReply struct {
	Summary   string     `json:"summary"`
	Decisions []Decision `json:"decisions"`
}

// EventsRequest asks for decisions with numbers above Above.
type EventsRequest struct {
	Cell  string `json:"cell"`
	Above int64  `json:"above"`
	Limit int    `json:"limit,omitempty"`
}

// EventsReply lists decisions, oldest first.
type EventsReply struct {
	Decisions []Decision `json:"decisions"`
}

// Decision is a numbered event of the cell with its inputs and reason.
type Decision struct {
	Number  int64             `json:"number"` // rises by one in the cell
	Code    int               `json:"code"`   // event code, see docs/EVENTS.md
	Time    time.Time         `json:"time"`
	Epoch   int64             `json:"epoch"`
	Task    string            `json:"task,omitempty"`
	VM      string            `json:"vm,omitempty"`
	Service string            `json:"service,omitempty"`
	Reason  string            `json:"reason"`
	Inputs  map[string]string `json:"inputs,omitempty"`
}
