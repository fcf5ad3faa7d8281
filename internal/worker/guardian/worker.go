package guardian

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"bamboospread/internal/job/specifier"
)

// Worker holds the calls of a VM's worker as function fields. A call returns ErrRefused if
// the worker did nothing and never will. After any other error the call may still be carried
// out at any time, also by a later incarnation of the worker: it refuses calls whose fence is
// below the highest one it has seen.
type Worker struct {
	Start func(ctx context.Context, c StartCall) error
	Stop  func(ctx context.Context, c StopCall) error
	Pace  func(ctx context.Context, c PaceCall) error
	Poll  func(ctx context.Context, c PollCall) (Status, error)
	// LateStarts is set if a start without an answer may be carried out by a later incarnation of the worker
	// under the same ID, before that one has answered a call: its calls name no incarnation.
	LateStarts bool
}

// Fence orders the calls of a worker. One fence is below another if its epoch is lower, or if
// the epochs are equal and its generation is lower.
type Fence struct {
	Epoch int64 // of the owner
	// Generation rises with each incarnation of the worker and with each status poll that may
	// be carried out late. It rises across the processes of an agent too.
	Generation int64
}

// StartCall requests a run. A run that the worker already has is confirmed. A call that is
// carried out late starts nothing after its expiry or in another incarnation of the worker.
type StartCall struct {
	Task        specifier.TaskID
	Run         int64
	Payload     string
	Checkpoint  string
	Ticket      string
	Fence       Fence
	Incarnation string        // of the worker; any other incarnation refuses the call
	Until       time.Duration // on the worker's clock, which refuses the call afterwards; all runs of the worker have a lease until then
}

// StopCall requests the end of a run. Once it is answered, the worker refuses the run
// permanently if it has not arrived yet.
type StopCall struct {
	Task        specifier.TaskID
	Run         int64
	Fence       Fence
	Incarnation string // of the worker
}

// PaceCall sets the speed of a run.
type PaceCall struct {
	Task        specifier.TaskID
	Run         int64
	Percent     int
	Fence       Fence
	Incarnation string // of the worker
}

// PollCall polls the status of the worker: it renews the leases and lists what runs.
type PollCall struct {
	Fence       Fence
	Incarnation string        // of the worker, which EndsSeen and LeaseUntil are meant for; empty before the first contact
	Replaces    string        // the incarnation that the polled one would replace while its runs have not ended; empty: none
	EndsSeen    int64         // the worker may drop ends up to this number; 0: no further ones
	LeaseUntil  time.Duration // on the worker's clock; 0: no renewal
	Wait        time.Duration // how long the answer may wait for a run to end
}

// Status is the status that a worker returns.
type Status struct {
	Incarnation string        // incarnation of the worker; changes whenever the worker has lost its state
	Clock       time.Duration // of the worker, when it answered
	Runs        []ListedRun
	Ends        []ListedEnd
	// MoreEnds is set if the worker may have more ends than it lists. A run that is not listed may be
	// one of them, and has not been lost then.
	MoreEnds bool
}

// ListedRun is a run on the worker.
type ListedRun struct {
	Task       specifier.TaskID
	Run        int64
	Checkpoint string
	Progress   int   // percent
	Measure    int64 // tail latency in ms for a long-running task with a target, else CPU use in thousandths of a core
}

// ListedEnd is an ended run that the worker has not been allowed to drop yet.
type ListedEnd struct {
	Seq        int64
	Task       specifier.TaskID
	Run        int64
	Outcome    string // tracker.End
	Checkpoint string
}

// Announcement is what a worker announces about itself.
type Announcement struct {
	ID          string // identifies the worker to the advising service; empty without one
	Incarnation string
	Zone        string
	Rack        string
	Service     string
	Labels      []string
	Capacity    specifier.Resources
	Leaving     bool
}

// RefusalReason is the reason why a worker refused a call.
type RefusalReason string

// Reasons of refusals.
const (
	RefusedEpoch       RefusalReason = "epoch"     // the worker has seen a higher fence
	RefusedEndedRun    RefusalReason = "run"       // this run, or a later one of the task, was stopped or ended there
	RefusedLease       RefusalReason = "lease"     // the lease had expired when the call arrived
	RefusedCapacity    RefusalReason = "room"      // not enough free capacity
	RefusedTicket      RefusalReason = "ticket"    // another ticket is required
	RefusedUnhealthy   RefusalReason = "unhealthy" // the worker accepts no calls at present
	RefusedIncarnation RefusalReason = "life"      // the call was meant for another incarnation of the worker
	RefusedMalformed   RefusalReason = "malformed" // the worker cannot parse the call
)

// retryable reports whether the same call may be accepted a moment later.
func (r RefusalReason) retryable() bool { return r == RefusedUnhealthy || r == RefusedEpoch }

// ErrWorkerUnreachable is returned by calls whose connection was refused: nothing has been sent. The
// worker may live all the same, behind a filter, a proxy, a full backlog or a closed listener.
type ErrWorkerUnreachable struct{ Cause error }

func (e ErrWorkerUnreachable) Error() string { return fmt.Sprintf("worker unreachable: %v", e.Cause) }
func (e ErrWorkerUnreachable) Unwrap() error { return e.Cause }

// IsErrWorkerUnreachable reports whether err is, or wraps, an ErrWorkerUnreachable.
func IsErrWorkerUnreachable(err error) bool {
	var target ErrWorkerUnreachable
	return errors.As(err, &target)
}

// CallError returns the error of a call that got no answer but err: ErrWorkerUnreachable if its
// connection was refused, else err.
func CallError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" && errors.Is(op, syscall.ECONNREFUSED) {
		return ErrWorkerUnreachable{Cause: err}
	}
	return err
}

// ErrWorkerEnded is returned by polls if the process of an incarnation of the worker is known to have
// ended, and all its runs with it.
type ErrWorkerEnded struct {
	Incarnation string
	Cause       error
}

func (e ErrWorkerEnded) Error() string {
	return fmt.Sprintf("the process of incarnation %s of the worker has ended: %v", e.Incarnation, e.Cause)
}
func (e ErrWorkerEnded) Unwrap() error { return e.Cause }

// ErrFormerWorkerLives is returned by a poll of an incarnation that would replace one whose process is
// known to live: its runs go on until their leases have ended.
type ErrFormerWorkerLives struct {
	Incarnation string // the former one
	PID         int
}

func (e ErrFormerWorkerLives) Error() string {
	return fmt.Sprintf("another worker answers, and process %d of incarnation %s lives", e.PID, e.Incarnation)
}

// ErrRefused is returned for a call that had no effect and never will.
type ErrRefused struct{ Reason RefusalReason }

func (e ErrRefused) Error() string { return fmt.Sprintf("worker refused: %s", e.Reason) }
