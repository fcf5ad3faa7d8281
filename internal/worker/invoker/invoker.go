package invoker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/worker/guardian"
)

// Timeouts and intervals.
const (
	callTimeout      = 3 * time.Second
	describeInterval = time.Second
)

// Config holds the settings of an Invoker.
type Config struct {
	URL             string // of the executor, http://host:port
	Zone            string
	Rack            string
	Service         string
	OnAnnouncement  func(guardian.Announcement)
	OnDescribeError func(error)
	DescribeEvery   time.Duration // default 1 s
}

// Invoker calls one executor. It is safe for concurrent use.
type Invoker struct {
	config Config
	client *http.Client
	// describing is held during a description, so that they arrive in order.
	describing chan struct{}

	mu        sync.Mutex
	processes []*process // of the executors that have described themselves, the latest last; earlier ones only while they live
}

// New returns an Invoker.
func New(c Config) *Invoker {
	if c.DescribeEvery <= 0 {
		c.DescribeEvery = describeInterval
	}
	return &Invoker{config: c, client: &http.Client{Timeout: callTimeout}, describing: make(chan struct{}, 1)}
}

// Calls returns the calls for a guardian.
func (i *Invoker) Calls() guardian.Worker {
	return guardian.Worker{Start: i.start, Stop: i.stop, Pace: i.pace, Poll: i.poll}
}

// Run polls the executor's description until ctx ends.
func (i *Invoker) Run(ctx context.Context) error {
	defer i.closeProcesses()
	for {
		if err := i.describe(ctx); err != nil && ctx.Err() == nil {
			i.config.OnDescribeError(err)
		}
		if err := pauser.Pause(ctx, i.config.DescribeEvery); err != nil {
			return err
		}
	}
}

func (i *Invoker) describe(ctx context.Context) error {
	select {
	case i.describing <- struct{}{}:
		defer func() { <-i.describing }()
	case <-ctx.Done():
		return ctx.Err()
	}
	var vm VM
	if err := i.call(ctx, http.MethodGet, PathVM, "", nil, &vm); err != nil {
		return err
	}
	i.watch(vm.Incarnation, vm.Process)
	i.config.OnAnnouncement(guardian.Announcement{
		Incarnation: vm.Incarnation, Zone: i.config.Zone, Rack: i.config.Rack, Service: i.config.Service,
		Labels: vm.Labels, Capacity: vm.Capacity, Leaving: vm.Leaving,
	})
	return nil
}

// call makes a call that is meant for one incarnation of the executor; empty: for any.
func (i *Invoker) call(ctx context.Context, method, path, incarnation string, body, answer any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	r, err := http.NewRequestWithContext(ctx, method, i.config.URL+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	r.Header.Set(HeaderIncarnation, incarnation)
	reply, err := i.client.Do(r)
	if err != nil {
		return guardian.CallError(err)
	}
	defer reply.Body.Close()
	switch reply.StatusCode {
	case http.StatusOK:
		if answer == nil {
			return nil
		}
		return json.NewDecoder(reply.Body).Decode(answer)
	case http.StatusConflict:
		var refusal Refusal
		if err := json.NewDecoder(reply.Body).Decode(&refusal); err != nil {
			return fmt.Errorf("decode refusal of %s: %w", path, err)
		}
		return guardian.ErrRefused{Reason: guardian.RefusalReason(refusal.Reason)}
	}
	return fmt.Errorf("executor answered %s with status %d", path, reply.StatusCode)
}

func (i *Invoker) start(ctx context.Context, c guardian.StartCall) error {
	return i.call(ctx, http.MethodPost, PathStart, c.Incarnation, Start{
		Task: c.Task.String(), Run: c.Run, Payload: c.Payload, Checkpoint: c.Checkpoint, Ticket: c.Ticket,
		Epoch: c.Fence.Epoch, LeaseMillis: millis(c.Until),
	}, nil)
}

func (i *Invoker) stop(ctx context.Context, c guardian.StopCall) error {
	return i.call(ctx, http.MethodPost, PathStop, c.Incarnation, Stop{Task: c.Task.String(), Run: c.Run, Epoch: c.Fence.Epoch}, nil)
}

func (i *Invoker) pace(ctx context.Context, c guardian.PaceCall) error {
	return i.call(ctx, http.MethodPost, PathPace, c.Incarnation, Pace{Task: c.Task.String(), Run: c.Run, Percent: c.Percent, Epoch: c.Fence.Epoch}, nil)
}

func (i *Invoker) poll(ctx context.Context, c guardian.PollCall) (guardian.Status, error) {
	if former := i.formerProcess(c); former != nil {
		return guardian.Status{}, *former
	}
	var a PollResponse
	err := i.call(ctx, http.MethodPost, PathPoll, c.Incarnation, PollRequest{Epoch: c.Fence.Epoch, EndsSeen: c.EndsSeen, LeaseMillis: millis(c.LeaseUntil), WaitMillis: millis(c.Wait)}, &a)
	var refused guardian.ErrRefused
	if errors.As(err, &refused) && refused.Reason == guardian.RefusedIncarnation {
		// The executor has restarted. Its description names the incarnation that the next poll is for.
		return guardian.Status{}, errors.Join(err, i.describe(ctx))
	}
	if err != nil {
		return guardian.Status{}, i.pollError(err)
	}
	status := guardian.Status{Incarnation: a.Incarnation, Clock: time.Duration(a.ClockMillis) * time.Millisecond, MoreEnds: a.MoreEnds}
	for _, r := range a.Runs {
		id, err := specifier.ParseTaskID(r.Task)
		if err != nil {
			return status, err
		}
		status.Runs = append(status.Runs, guardian.ListedRun{Task: id, Run: r.Run, Checkpoint: r.Checkpoint, Progress: r.Progress, Measure: r.Measure})
	}
	for _, e := range a.Ends {
		id, err := specifier.ParseTaskID(e.Task)
		if err != nil {
			return status, err
		}
		status.Ends = append(status.Ends, guardian.ListedEnd{Seq: e.Seq, Task: id, Run: e.Run, Outcome: e.Outcome, Checkpoint: e.Checkpoint})
	}
	return status, nil
}
