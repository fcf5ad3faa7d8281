// Package invoker is the client of an executor, the process on a VM that runs the tasks of
// jobs under leases. It defines the executor's protocol: HTTP with JSON in kebab case.
package invoker

import (
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/inspector"
)

// Paths of the executor's API. All are POSTs except PathVM.
const (
	PathVM    = "/v1/vm"    // GET: VM
	PathStart = "/v1/start" // Start
	PathStop  = "/v1/stop"  // Stop
	PathPace  = "/v1/pace"  // Pace
	PathPoll  = "/v1/look"  // PollRequest, PollResponse
)

// HeaderIncarnation carries the incarnation of the executor that a call is meant for. Any other
// incarnation refuses the call, whenever it arrives.
const HeaderIncarnation = "Bamboospread-Executor-Life"

// VM is an executor's description of itself.
type VM struct {
	Incarnation string              `json:"life"`
	Capacity    specifier.Resources `json:"capacity"`
	Labels      []string            `json:"labels,omitempty"`
	Leaving     bool                `json:"leaving,omitempty"`
	// Process is the executor's process, if all its runs end with it. An agent that sees the process
	// then need not wait for the leases once it has ended.
	Process *inspector.Identity `json:"process,omitempty"`
}

// Start requests a run. Times are ms on the executor's clock.
type Start struct {
	Task        string `json:"task"`
	Run         int64  `json:"run"`
	Payload     string `json:"payload"`
	Checkpoint  string `json:"checkpoint,omitempty"`
	Ticket      string `json:"ticket,omitempty"`
	Epoch       int64  `json:"epoch"`
	LeaseMillis int64  `json:"lease-until-ms"` // all runs have a lease until then; the start is refused afterwards
}

// Stop requests the end of a run. A run that has not started yet is marked so that it never
// starts.
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

// PollRequest renews the leases, allows ends to be dropped and polls what runs.
type PollRequest struct {
	Epoch       int64 `json:"epoch"`
	EndsSeen    int64 `json:"seen"`
	LeaseMillis int64 `json:"lease-until-ms,omitempty"`
	WaitMillis  int64 `json:"wait-ms,omitempty"`
}

// PollResponse is the answer to a PollRequest.
type PollResponse struct {
	Incarnation string `json:"life"`
	ClockMillis int64  `json:"clock-ms"`
	Runs        []Run  `json:"runs"`
	Ends        []End  `json:"ends"`                // at most MaxListedEnds, the earliest
	MoreEnds    bool   `json:"more-ends,omitempty"` // there are others, which are listed once these are seen
}

// MaxListedEnds is how many ends an executor lists in an answer.
const MaxListedEnds = 500

// Run is a run on the executor.
type Run struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Progress   int    `json:"progress"` // percent
	Measure    int64  `json:"measure"`
}

// End is an ended run that was not dropped yet.
type End struct {
	Seq        int64  `json:"seq"`
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Outcome    string `json:"how"` // tracker.End
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Refusal is the body of status 409: the call had no effect and never will.
type Refusal struct {
	Reason string `json:"reason"` // guardian.RefusalReason
}

func millis(d time.Duration) int64 { return d.Milliseconds() }
