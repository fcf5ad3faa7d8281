package driver

import (
	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/wire/messenger"
)

// Paths of the worker's HTTP API.
const (
	PathVM         = "/v1/vm"               // GET: messenger.Capacity
	PathUsage      = "/v1/usage"            // GET: messenger.Usage
	PathTasks      = "/v1/tasks"            // GET: TasksAnswer
	PathStart      = "/v1/tasks/start"      // POST StartCall
	PathStop       = "/v1/tasks/stop"       // POST TaskCall: EndAnswer
	PathCheckpoint = "/v1/tasks/checkpoint" // POST TaskCall: EndAnswer
	PathThrottle   = "/v1/tasks/throttle"   // POST TaskCall
	PathForget     = "/v1/tasks/forget"     // POST TaskCall
	PathLeases     = "/v1/leases"           // POST LeaseCall
)

// StartCall requests the start of an attempt. LeaseUntil and StartBy are times of day in Unix ns, which
// may step back; they apply only if Incarnation is empty, as it is for a worker that states no clock.
type StartCall struct {
	TaskID     string              `json:"task-id"`
	Attempt    int64               `json:"attempt"`
	Needs      describer.Resources `json:"needs"`
	Class      string              `json:"class,omitempty"`
	Tenant     string              `json:"tenant,omitempty"`
	Service    string              `json:"service,omitempty"`
	Payload    string              `json:"payload,omitempty"`
	Checkpoint string              `json:"checkpoint,omitempty"`
	RunTime    int64               `json:"run-time-ms,omitempty"`
	LeaseUntil int64               `json:"lease-until-ns"`
	StartBy    int64               `json:"start-by-ns,omitempty"` // 0: no limit
	Life       string              `json:"life,omitempty"`        // of the worker; any other refuses the start; empty: any carries it out
	// Incarnation names the worker whose clock the bounds below are counted on; any other refuses the start.
	Incarnation     string `json:"incarnation,omitempty"`
	LeaseUntilClock int64  `json:"lease-until-clock-ns,omitempty"`
	StartByClock    int64  `json:"start-by-clock-ns,omitempty"` // 0: no limit
}

// TaskCall identifies an attempt.
type TaskCall struct {
	TaskID  string `json:"task-id"`
	Attempt int64  `json:"attempt"`
	Percent int    `json:"percent,omitempty"` // for a throttle
}

// LeaseCall renews the leases of all running tasks. The worker ignores a call with a lower
// number than the latest one it has seen.
type LeaseCall struct {
	Number int64 `json:"issued-ns"`
	Until  int64 `json:"until-ns"` // time of day; applies only if Incarnation is empty
	// Incarnation names the worker on whose clock UntilClock is counted; any other refuses the renewal.
	Incarnation string `json:"incarnation,omitempty"`
	UntilClock  int64  `json:"until-clock-ns,omitempty"`
}

// LeaseAnswer holds the number of the latest renewal that the worker has seen. If it is higher
// than that of the call itself, the call was ignored.
type LeaseAnswer struct {
	Number int64 `json:"issued-ns,omitempty"`
}

// EndAnswer holds the checkpoint from which an ended attempt can be resumed.
type EndAnswer struct {
	Checkpoint string `json:"checkpoint"`
	// Incarnation names the worker that answered: only of its own life does it know what has run. Empty: the
	// worker does not say.
	Incarnation string `json:"incarnation,omitempty"`
}

// TasksAnswer lists the attempts known to the worker.
type TasksAnswer struct {
	Tasks []Task `json:"tasks"`
	// Life is what a start by the time of day has to name: it changes with the worker's process and each
	// time that the time of day steps back. Empty: the worker names none.
	Life string `json:"life,omitempty"`
	// Incarnation names the worker's process. The next one knows nothing of the attempts of this one, nor
	// which it was told to refuse. Empty, as Clock is then: the worker states no clock.
	Incarnation string `json:"incarnation,omitempty"`
	Clock       int64  `json:"clock-ns,omitempty"` // reading of the worker's clock, which does not step
}

// Task is an attempt on the worker. Ended attempts are listed until they are removed.
type Task struct {
	TaskID     string                `json:"task-id"`
	Attempt    int64                 `json:"attempt"`
	State      messenger.ReportState `json:"state"`
	Reason     string                `json:"reason,omitempty"`
	Checkpoint string                `json:"checkpoint,omitempty"`
	Needs      describer.Resources   `json:"needs"`
	Class      string                `json:"class,omitempty"`
	Tenant     string                `json:"tenant,omitempty"`
	Service    string                `json:"service,omitempty"`
	Percent    int                   `json:"percent,omitempty"` // as last throttled; 100: not throttled
}
