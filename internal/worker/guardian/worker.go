package guardian

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bamboospread/internal/job/specifier"
)

// Worker holds the calls of a VM's worker as function fields. A call returns
// ErrRefused if the worker surely did nothing and never will; any other error
// leaves open whether and when the call is carried out.
type Worker struct {
	Start func(ctx context.Context, c StartCall) error
	Stop  func(ctx context.Context, c StopCall) error
	Pace  func(ctx context.Context, c PaceCall) error
	Look  func(ctx context.Context, c LookCall) (Look, error)
}

// StartCall asks for a run. A run that the worker has already is confirmed. A call that is
// carried out late starts nothing once its time is over, nor in another life of the worker.
type StartCall struct {
	Task       specifier.TaskID
	Run        int64
	Payload    string
	Checkpoint string
	Ticket     string
	Epoch      int64         // the worker refuses one below the highest it has seen
	Life       string        // of the worker; every other one refuses the call
	Until      time.Duration // on the worker's clock, which refuses the call afterwards; all that runs there has a lease until then
}

// StopCall asks for the end of a run. Once it is answered, the worker refuses the
// run for good if it has not come yet.
type StopCall struct {
	Task  specifier.TaskID
	Run   int64
	Epoch int64
}

// PaceCall sets the speed of a run.
type PaceCall struct {
	Task    specifier.TaskID
	Run     int64
	Percent int
	Epoch   int64
}

// LookCall renews the leases and asks what runs.
type LookCall struct {
	Epoch      int64
	Seen       int64         // ends up to this number may be forgotten
	LeaseUntil time.Duration // on the worker's clock; 0: no renewal
	Wait       time.Duration // how long the answer may wait for an end
}

// Look is what a worker says.
type Look struct {
	Life  string        // changes whenever the worker has forgotten everything
	Clock time.Duration // of the worker, when it answered
	Runs  []SeenRun
	Ends  []SeenEnd
}

// SeenRun is a run at the worker.
type SeenRun struct {
	Task       specifier.TaskID
	Run        int64
	Checkpoint string
	Progress   int   // percent
	Measure    int64 // tail latency in ms of a lasting task with a target, else thousandths of a core in use
}

// SeenEnd is an end that the worker has not been told to forget.
type SeenEnd struct {
	Seq        int64
	Task       specifier.TaskID
	Run        int64
	How        string // accountant.End
	Checkpoint string
}

// Announcement is what a worker says of itself unasked.
type Announcement struct {
	ID       string // by which an advising service knows the worker; empty if none does
	Life     string
	Zone     string
	Rack     string
	Service  string
	Labels   []string
	Capacity specifier.Resources
	Leaving  bool
}

// RefusalReason tells why a worker refused a start.
type RefusalReason string

// Reasons of refusals.
const (
	RefusedEpoch     RefusalReason = "epoch"     // the worker has seen a higher one
	RefusedRun       RefusalReason = "run"       // a run that is not lower was stopped or ended there
	RefusedLease     RefusalReason = "lease"     // the lease had run out when the call came
	RefusedRoom      RefusalReason = "room"      // it does not fit
	RefusedTicket    RefusalReason = "ticket"    // it needs another ticket
	RefusedUnhealthy RefusalReason = "unhealthy" // the worker takes nothing
	RefusedLife      RefusalReason = "life"      // it was meant for another life of the worker
	RefusedMalformed RefusalReason = "malformed" // the worker cannot read it
)

// passes tells whether the same call may be taken a moment later.
func (r RefusalReason) passes() bool { return r == RefusedUnhealthy || r == RefusedEpoch }

// ErrWorkerNotExist is returned by a look when no process listens where the worker
// was: it has ended, and everything that it ran with it.
type ErrWorkerNotExist struct{ Cause error }

func (e ErrWorkerNotExist) Error() string { return fmt.Sprintf("no worker: %v", e.Cause) }
func (e ErrWorkerNotExist) Unwrap() error { return e.Cause }

// IsErrWorkerNotExist tells whether err is, or wraps, an ErrWorkerNotExist.
func IsErrWorkerNotExist(err error) bool {
	var target ErrWorkerNotExist
	return errors.As(err, &target)
}

// ErrRefused is returned for a call that surely had no effect.
type ErrRefused struct{ Reason RefusalReason }

func (e ErrRefused) Error() string { return fmt.Sprintf("worker refused: %s", e.Reason) }
