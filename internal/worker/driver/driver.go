// Package driver is the client of the worker on the agent's own VM.
package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/kernel/timekeeper"
	"bamboospread/internal/wire/messenger"
)

// maxErrorBytes limits how much of an error response goes into the message.
const maxErrorBytes = 512

// ErrStartExpired is returned when a start arrived after StartBy, or at another life of the worker than
// the one that listed its attempts last: the attempt was not started.
type ErrStartExpired struct{ TaskID string }

func (e ErrStartExpired) Error() string {
	return fmt.Sprintf("start of task %s expired before it arrived", e.TaskID)
}

// IsErrStartExpired reports whether err is, or wraps, an ErrStartExpired.
func IsErrStartExpired(err error) bool { return asError[ErrStartExpired](err) }

// ErrAttemptEnded is returned for the start of an attempt that has ended or was superseded by
// a higher one: it was not started.
type ErrAttemptEnded struct {
	TaskID  string
	Attempt int64
}

func (e ErrAttemptEnded) Error() string {
	return fmt.Sprintf("attempt %d of task %s has ended or was superseded", e.Attempt, e.TaskID)
}

// IsErrAttemptEnded reports whether err is, or wraps, an ErrAttemptEnded.
func IsErrAttemptEnded(err error) bool { return asError[ErrAttemptEnded](err) }

// ErrTaskNotExist is returned for an attempt that does not run on this VM.
type ErrTaskNotExist struct{ TaskID string }

func (e ErrTaskNotExist) Error() string { return fmt.Sprintf("task %s does not exist", e.TaskID) }

// IsErrTaskNotExist reports whether err is, or wraps, an ErrTaskNotExist.
func IsErrTaskNotExist(err error) bool { return asError[ErrTaskNotExist](err) }

// ErrUnavailable is returned when the worker could not be reached before the call was sent, or
// answered with status 503, which it does without an effect. A proxy may answer so after the
// worker has carried the call out: nothing may be concluded from a start that failed so before
// the worker has answered its stop.
type ErrUnavailable struct{ Cause error }

func (e ErrUnavailable) Error() string { return fmt.Sprintf("worker unavailable: %v", e.Cause) }
func (e ErrUnavailable) Unwrap() error { return e.Cause }

// IsErrUnavailable reports whether err is, or wraps, an ErrUnavailable.
func IsErrUnavailable(err error) bool { return asError[ErrUnavailable](err) }

// ErrOutcomeUnknown is returned when a call was sent and got no answer: it may take effect,
// even later, or not at all.
type ErrOutcomeUnknown struct{ Cause error }

func (e ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("no answer from worker, outcome unknown: %v", e.Cause)
}
func (e ErrOutcomeUnknown) Unwrap() error { return e.Cause }

// IsErrNotSent reports whether err shows that the call was not sent: no worker, and no proxy, can carry it out.
func IsErrNotSent(err error) bool {
	var unavailable ErrUnavailable
	return errors.As(err, &unavailable) && !asError[errStatus](unavailable.Cause)
}

// IsErrOutcomeUnknown reports whether err is, or wraps, an ErrOutcomeUnknown.
func IsErrOutcomeUnknown(err error) bool { return asError[ErrOutcomeUnknown](err) }

// ErrRenewalIgnored is returned for a renewal of leases that had no effect, since the worker has
// seen one with a higher number. The next renewal has a number above that one.
type ErrRenewalIgnored struct{ Number, Latest int64 }

func (e ErrRenewalIgnored) Error() string {
	return fmt.Sprintf("renewal %d of leases was ignored: the worker has seen renewal %d", e.Number, e.Latest)
}

// IsErrRenewalIgnored reports whether err is, or wraps, an ErrRenewalIgnored.
func IsErrRenewalIgnored(err error) bool { return asError[ErrRenewalIgnored](err) }

// ErrWorkerRestarted is returned for a renewal of leases that was meant for another life of the worker: it had
// no effect.
type ErrWorkerRestarted struct{ Life string }

func (e ErrWorkerRestarted) Error() string {
	return fmt.Sprintf("life %s of the worker has ended", e.Life)
}

// IsErrWorkerRestarted reports whether err is, or wraps, an ErrWorkerRestarted.
func IsErrWorkerRestarted(err error) bool { return asError[ErrWorkerRestarted](err) }

func asError[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// Config holds the settings of a Driver.
type Config struct {
	URL         string        // of the worker, http://host:port
	CallTimeout time.Duration // default 2 s
	HTTP        *http.Client  // default: a new client
	Now         func() time.Time
	Clock       func() time.Duration // does not step; default: the boot clock, or, if Now is set, what follows it
}

// Driver is a client of a worker. It is safe for concurrent use.
type Driver struct {
	config     Config
	client     *http.Client
	lastNumber atomic.Int64 // number of the latest lease renewal, including those of earlier processes
	worker     atomic.Pointer[workerState]
}

// workerState is what the worker stated when it listed its attempts last.
type workerState struct {
	life, incarnation string
	clock             time.Duration // of the worker
	at                time.Duration // of the agent's clock, not before the worker's reading
}

func (w workerState) process() string {
	if w.incarnation != "" {
		return w.incarnation
	}
	return w.life
}

// bound converts a time on the agent's clock to the worker's. The result is not later: the worker's clock
// may have read more than the state says when its answer arrived.
func (w workerState) bound(until time.Duration) int64 {
	return max(1, int64(w.clock+until-w.at)) // 0 means no bound
}

// New returns a client of the worker at c.URL.
func New(c Config) *Driver {
	if c.CallTimeout <= 0 {
		c.CallTimeout = 2 * time.Second
	}
	if c.Clock == nil && c.Now != nil {
		c.Clock = timekeeper.Forward(c.Now)
	}
	if c.Clock == nil {
		c.Clock = timekeeper.Uptime
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	client := c.HTTP
	if client == nil {
		client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	}
	d := &Driver{config: c, client: client}
	d.worker.Store(&workerState{})
	return d
}

// Life names the process of the worker that listed its attempts last; empty if it does not say.
func (d *Driver) Life() string { return d.worker.Load().process() }

// Clock returns the reading of the agent's clock on which bounds are counted. It does not step.
func (d *Driver) Clock() time.Duration { return d.config.Clock() }

// StartOptions describes the attempt that StartTask starts.
type StartOptions struct {
	TaskID     string
	Attempt    int64
	Needs      describer.Resources
	Class      string
	Tenant     string
	Service    string
	Payload    string
	Checkpoint string // to resume from
	RunTime    time.Duration
	Lease      time.Duration // from the call on; the worker ends the task afterwards
	LeaseUntil time.Time     // if set, replaces Lease
	StartBy    time.Time     // zero: no limit
	// LeaseUntilClock and StartByClock are the same two times on the agent's clock. A worker that states its own
	// clock goes by them.
	LeaseUntilClock, StartByClock time.Duration
	Life                          string // of the worker, as returned by Life; if set, nothing is sent to another one
}

// StartTask starts an attempt. It is no error if the attempt is already running.
//
// The lease is sent as a time on the worker's clock rather than as a duration: with a duration, a
// call that waits in a queue or a paused process would give the task more time than the owner
// of its cell accounts for. A worker that states no clock gets times of day.
func (d *Driver) StartTask(ctx context.Context, o StartOptions) error {
	c := StartCall{
		TaskID: o.TaskID, Attempt: o.Attempt, Needs: o.Needs, Class: o.Class, Tenant: o.Tenant,
		Service: o.Service, Payload: o.Payload, Checkpoint: o.Checkpoint,
		RunTime:    messenger.Millis(o.RunTime),
		LeaseUntil: d.config.Now().Add(o.Lease).UnixNano(),
	}
	if !o.LeaseUntil.IsZero() {
		c.LeaseUntil = o.LeaseUntil.UnixNano()
	} else {
		o.LeaseUntilClock = d.config.Clock() + o.Lease
	}
	if !o.StartBy.IsZero() {
		c.StartBy = o.StartBy.UnixNano()
	}
	w := d.worker.Load()
	if o.Life != "" && o.Life != w.process() {
		return ErrStartExpired{TaskID: o.TaskID}
	}
	c.Life = w.life
	if w.incarnation != "" && o.LeaseUntilClock != 0 && (o.StartBy.IsZero() || o.StartByClock != 0) {
		c.Incarnation, c.LeaseUntilClock = w.incarnation, w.bound(o.LeaseUntilClock)
		if o.StartByClock != 0 {
			c.StartByClock = w.bound(o.StartByClock)
		}
	}
	return d.post(ctx, PathStart, TaskCall{TaskID: o.TaskID, Attempt: o.Attempt}, c, nil)
}

// StopTask ends an attempt and returns its latest checkpoint. An attempt that the worker has
// not seen yet cannot start afterwards.
func (d *Driver) StopTask(ctx context.Context, taskID string, attempt int64) (string, error) {
	a, err := d.end(ctx, PathStop, taskID, attempt)
	return a.Checkpoint, err
}

// CheckpointTask checkpoints an attempt, ends it and returns the checkpoint. An attempt that
// the worker has not seen yet cannot start afterwards.
func (d *Driver) CheckpointTask(ctx context.Context, taskID string, attempt int64) (string, error) {
	a, err := d.end(ctx, PathCheckpoint, taskID, attempt)
	return a.Checkpoint, err
}

// EndTask ends an attempt as StopTask does, or CheckpointTask, and returns the life of the worker that has
// answered. One that does not say is asked for its list: if that names the life that the attempt was sent to,
// no other has answered in between.
func (d *Driver) EndTask(ctx context.Context, taskID string, attempt int64, checkpoint bool) (string, error) {
	path := PathStop
	if checkpoint {
		path = PathCheckpoint
	}
	a, err := d.end(ctx, path, taskID, attempt)
	if err != nil || a.Incarnation != "" {
		return a.Incarnation, err
	}
	if _, err := d.FindTasks(ctx); err != nil {
		return "", err
	}
	return d.Life(), nil
}

func (d *Driver) end(ctx context.Context, path, taskID string, attempt int64) (EndAnswer, error) {
	var a EndAnswer
	c := TaskCall{TaskID: taskID, Attempt: attempt}
	err := d.post(ctx, path, c, c, &a)
	return a, err
}

// ThrottleTask limits an attempt to percent of its processors.
func (d *Driver) ThrottleTask(ctx context.Context, taskID string, attempt int64, percent int) error {
	c := TaskCall{TaskID: taskID, Attempt: attempt, Percent: percent}
	return d.post(ctx, PathThrottle, c, c, nil)
}

// ForgetTask removes an ended attempt. Its number is kept, so that it cannot start again.
func (d *Driver) ForgetTask(ctx context.Context, taskID string, attempt int64) error {
	c := TaskCall{TaskID: taskID, Attempt: attempt}
	return d.post(ctx, PathForget, c, c, nil)
}

// RenewLeases sets the leases of all running tasks to end after lease, counted from this
// call. The worker ends a task whose lease expires.
func (d *Driver) RenewLeases(ctx context.Context, lease time.Duration) error {
	return d.RenewLeasesUntil(ctx, d.config.Now().Add(lease), d.config.Clock()+lease)
}

// RenewLeasesUntil sets the leases of all running tasks to end at a time, which is given as the time of
// day and on the agent's clock, so that a caller paused before the call does not extend them.
func (d *Driver) RenewLeasesUntil(ctx context.Context, until time.Time, untilClock time.Duration) error {
	c := LeaseCall{Number: d.nextNumber(d.config.Now().UnixNano()), Until: until.UnixNano()}
	if w := d.worker.Load(); w.incarnation != "" {
		c.Incarnation, c.UntilClock = w.incarnation, w.bound(untilClock)
	}
	var a LeaseAnswer
	err := d.post(ctx, PathLeases, TaskCall{}, c, &a)
	if IsErrStartExpired(err) {
		return ErrWorkerRestarted{Life: c.Incarnation}
	}
	if err != nil {
		return err
	}
	if a.Number > c.Number {
		// An earlier process numbered its renewals by a clock that has jumped back since.
		// This call had no effect; the next ones will.
		d.nextNumber(a.Number)
		return ErrRenewalIgnored{Number: c.Number, Latest: a.Number}
	}
	return nil
}

// nextNumber returns a number that is at least minimum and greater than all it has returned.
func (d *Driver) nextNumber(minimum int64) int64 {
	for {
		last := d.lastNumber.Load()
		next := max(minimum, last+1)
		if d.lastNumber.CompareAndSwap(last, next) {
			return next
		}
	}
}

// GetVM returns the size and location of the VM.
func (d *Driver) GetVM(ctx context.Context) (messenger.Capacity, error) {
	var a messenger.Capacity
	return a, d.get(ctx, PathVM, &a)
}

// FindTasks lists the running attempts and the ended ones that were not removed yet.
func (d *Driver) FindTasks(ctx context.Context) ([]Task, error) {
	var a TasksAnswer
	err := d.get(ctx, PathTasks, &a)
	if err == nil {
		d.worker.Store(&workerState{life: a.Life, incarnation: a.Incarnation, clock: time.Duration(a.Clock), at: d.config.Clock()})
	}
	return a.Tasks, err
}

// GetUsage returns the latest measurement, which is delayed.
func (d *Driver) GetUsage(ctx context.Context) (messenger.Usage, error) {
	var a messenger.Usage
	return a, d.get(ctx, PathUsage, &a)
}

func (d *Driver) get(ctx context.Context, path string, answer any) error {
	err := d.do(ctx, http.MethodGet, path, nil, answer)
	var unknown ErrOutcomeUnknown
	if errors.As(err, &unknown) {
		return ErrUnavailable{unknown.Cause} // reading has no effect
	}
	return err
}

func (d *Driver) post(ctx context.Context, path string, task TaskCall, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode worker call %s: %w", path, err)
	}
	err = d.do(ctx, http.MethodPost, path, data, answer)
	var status errStatus
	if !errors.As(err, &status) {
		return err
	}
	switch status.code {
	case http.StatusPreconditionFailed:
		return ErrStartExpired{TaskID: task.TaskID}
	case http.StatusConflict:
		return ErrAttemptEnded{TaskID: task.TaskID, Attempt: task.Attempt}
	case http.StatusNotFound:
		return ErrTaskNotExist{TaskID: task.TaskID}
	}
	return err
}

// errStatus is a response of the worker with a status other than 200. Unless it is wrapped in
// ErrUnavailable or ErrOutcomeUnknown, it is a definite answer of the worker.
type errStatus struct {
	code int
	text string
}

func (e errStatus) Error() string {
	return fmt.Sprintf("worker answered with status %d: %s", e.code, e.text)
}

// do makes one call. Without a response it returns ErrUnavailable if the call never got a
// connection, so that nothing was sent, and ErrOutcomeUnknown otherwise. Neither says that the
// worker's process has ended.
func (d *Driver) do(ctx context.Context, method, path string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, d.config.CallTimeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	r, err := http.NewRequestWithContext(ctx, method, d.config.URL+path, bytes.NewReader(body))
	if err != nil {
		return ErrUnavailable{err}
	}
	reply, err := d.client.Do(r)
	if err != nil && !sent.Load() {
		return ErrUnavailable{err}
	}
	if err != nil {
		return ErrOutcomeUnknown{err}
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(reply.Body)
	switch {
	case err != nil:
		return ErrOutcomeUnknown{err}
	case reply.StatusCode == http.StatusServiceUnavailable:
		return ErrUnavailable{errStatus{reply.StatusCode, string(data)}}
	case reply.StatusCode >= http.StatusInternalServerError:
		return ErrOutcomeUnknown{errStatus{reply.StatusCode, string(data)}}
	case reply.StatusCode != http.StatusOK:
		return errStatus{reply.StatusCode, string(data[:min(len(data), maxErrorBytes)])}
	case answer == nil:
		return nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return ErrOutcomeUnknown{fmt.Errorf("decode worker answer to %s: %w", path, err)}
	}
	return nil
}
