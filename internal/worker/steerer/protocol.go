// Package steerer is the client of an executor: the process on a VM that runs the
// tasks of jobs under leases, and its protocol, HTTP with JSON in kebab case.
package steerer

import (
	"time"

	"bamboospread/internal/job/specifier"
)

// Paths of the executor's interface. All are POSTs but PathVM.
const (
	PathVM    = "/v1/vm"    // GET: VM
	PathStart = "/v1/start" // Start
	PathStop  = "/v1/stop"  // Stop
	PathPace  = "/v1/pace"  // Pace
	PathLook  = "/v1/look"  // Look, Seen
)

// HeaderLife names the life of the executor that a call is meant for. Every other one refuses
// it, whenever it is carried out.
const HeaderLife = "Bamboospread-Executor-Life"

// VM is what an executor says of itself.
type VM struct {
	Life     string              `json:"life"`
	Capacity specifier.Resources `json:"capacity"`
	Labels   []string            `json:"labels,omitempty"`
	Leaving  bool                `json:"leaving,omitempty"`
}

// Start asks for a run. Times are ms on the executor's clock.
type Start struct {
	Task        string `json:"task"`
	Run         int64  `json:"run"`
	Payload     string `json:"payload"`
	Checkpoint  string `json:"checkpoint,omitempty"`
	Ticket      string `json:"ticket,omitempty"`
	Epoch       int64  `json:"epoch"`
	LeaseMillis int64  `json:"lease-until-ms"` // all runs have a lease until then; refused afterwards
}

// Stop asks for the end of a run, or marks it so that it never starts.
type Stop struct {
	Task  string `json:"task"`
	Run   int64  `json:"run"`
	Epoch int64  `json:"epoch"`
}

// Pace sets the speed of a run.
type Pace struct {
	Task    string `json:"task"`
	Run     int64  `json:"run"`
	Percent int    `json:"percent"`
	Epoch   int64  `json:"epoch"`
}

// Look renews the leases, lets ends be forgotten and asks what runs.
type Look struct {
	Epoch       int64 `json:"epoch"`
	Seen        int64 `json:"seen"`
	LeaseMillis int64 `json:"lease-until-ms,omitempty"`
	WaitMillis  int64 `json:"wait-ms,omitempty"`
}

// Seen is the answer to a Look.
type Seen struct {
	Life        string `json:"life"`
	ClockMillis int64  `json:"clock-ms"`
	Runs        []Run  `json:"runs"`
	Ends        []End  `json:"ends"`
}

// Run is a run at the executor.
type Run struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Progress   int    `json:"progress"` // percent
	Measure    int64  `json:"measure"`
}

// End is a run that ended and was not forgotten.
type End struct {
	Seq        int64  `json:"seq"`
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	How        string `json:"how"` // accountant.End
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Refusal is the body of status 409: nothing was done and nothing will be.
type Refusal struct {
	Reason string `json:"reason"` // guardian.RefusalReason
}

func millis(d time.Duration) int64 { return d.Milliseconds() }
