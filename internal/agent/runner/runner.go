// Package runner executes the orders of a cell's owner on the agent's own VM and
// reports the tasks that the worker runs. It is the last safeguard before the
// worker: it refuses orders of earlier owners, starts that arrive too late, and
// tasks that would exceed the capacity of the VM.
package runner

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/driver"
)

const (
	pollWaitTime        = time.Second // how long the owner may keep a poll pending
	pollTimeout         = 2500 * time.Millisecond
	retryDelay          = 150 * time.Millisecond
	endCheckInterval    = 100 * time.Millisecond // for tasks that end while a poll waits
	usageInterval       = time.Second
	maxCapacityAge      = 10 * time.Second
	maxConcurrentOrders = 8
)

// Config holds the settings of a Runner.
type Config struct {
	Cell        string
	AgentID     string
	Incarnation int64
	Driver      *driver.Driver
	// CallOwner calls the owner of the cell.
	CallOwner   func(ctx context.Context, method string, params, result any) error
	Upstreams   func() []messenger.Upstream    // may be nil
	ServiceLoad func() []messenger.ServiceLoad // may be nil
	// ServiceNeeds returns the resources that one upstream of a service occupies.
	// May be nil.
	ServiceNeeds func(service string) (describer.Resources, bool)
	Reporter     *reporter.Reporter
	Now          func() time.Time
}

// Runner is the part of an agent that runs tasks. Only Drain may be called from
// other goroutines than that of Run.
type Runner struct {
	config            Config
	epoch             int64 // highest seen
	sequence          int64
	leaseUntil        reading
	renewalDue        bool // the worker has not answered the renewal up to leaseUntil
	capacity          messenger.Capacity
	capacityAt        time.Time
	usageAt           time.Time
	connected         bool
	workerUnreachable bool
	tasks             []driver.Task
	loads             []loadWindow                                   // of the local upstreams, oldest first
	refused           map[messenger.TaskAttempt]messenger.TaskReport // until acknowledged
	sentStarts        map[string]sentStart                           // the latest one of each task, until its end is acknowledged

	leaving      atomic.Bool
	draining     chan struct{} // closed by the first Drain
	leavingAcked chan struct{} // closed when the owner has answered a poll with Leaving
}

// New returns a Runner.
func New(c Config) *Runner {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Reporter == nil {
		c.Reporter = reporter.Discard()
	}
	return &Runner{
		config: c, refused: make(map[messenger.TaskAttempt]messenger.TaskReport), sentStarts: make(map[string]sentStart),
		draining: make(chan struct{}), leavingAcked: make(chan struct{}),
	}
}

// Run polls the owner until ctx ends. Tasks that run at that time continue under
// their lease, so that an agent that replaces this one finds them.
func (r *Runner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := r.pollOnce(ctx); err != nil {
			_ = pauser.Pause(ctx, retryDelay)
		}
	}
	return nil
}

// Drain announces to the owner that this agent leaves, so that the owner starts
// nothing more here, and returns when the owner has answered.
func (r *Runner) Drain(ctx context.Context) error {
	if r.leaving.CompareAndSwap(false, true) {
		close(r.draining)
	}
	select {
	case <-r.leavingAcked:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("announce to owner of cell %s that agent %s leaves: %w", r.config.Cell, r.config.AgentID, ctx.Err())
	}
}

// pollOnce makes one poll and executes its orders.
func (r *Runner) pollOnce(ctx context.Context) error {
	if err := r.prepare(ctx); err != nil {
		if !r.workerUnreachable {
			r.config.Reporter.Report(reporter.RunnerWorkerNotResponding, reporter.Fields{"error": err.Error()})
		}
		r.workerUnreachable = true
		return err
	}
	r.workerUnreachable = false
	p := r.newPoll(ctx)
	// Lease and expiry of orders count from here, before the poll is sent: the
	// owner counts from later times, so they always expire first on this side.
	sent := r.readClocks()
	reply, err := r.call(ctx, p)
	if err != nil {
		r.setConnected(false, err)
		return err
	}
	if reply == nil { // cancelled because a task ended or the agent leaves
		return nil
	}
	return r.applyReply(ctx, sent, p, *reply)
}

// prepare makes the calls to the worker that a poll depends on. A poll without the full list would
// make the owner treat the missing attempts as ended and run them elsewhere while they are running
// here. One that names the epoch of an owner tells it that no lease of an earlier owner, which may be
// much longer, is in force at the worker any more.
func (r *Runner) prepare(ctx context.Context) error {
	if err := r.readWorker(ctx); err != nil {
		return err
	}
	if r.renewalDue {
		return r.renewLeases(ctx)
	}
	return nil
}

func (r *Runner) setConnected(connected bool, err error) {
	if connected == r.connected {
		return
	}
	r.connected = connected
	if connected {
		r.config.Reporter.Report(reporter.RunnerSessionOpened, reporter.Fields{"cell": r.config.Cell, "epoch": r.epoch})
		return
	}
	r.config.Reporter.Report(reporter.RunnerSessionLost, reporter.Fields{"cell": r.config.Cell, "error": err.Error()})
}

// readWorker reads the capacity and the tasks of the worker.
func (r *Runner) readWorker(ctx context.Context) error {
	now := r.config.Now()
	if r.capacityAt.IsZero() || now.Sub(r.capacityAt) > maxCapacityAge {
		c, err := r.config.Driver.GetVM(ctx)
		if err != nil {
			return fmt.Errorf("read capacity: %w", err)
		}
		r.capacity, r.capacityAt = c, now
	}
	tasks, err := r.config.Driver.FindTasks(ctx)
	if err != nil {
		return fmt.Errorf("list tasks: %w", err)
	}
	r.tasks = tasks
	return nil
}

func (r *Runner) newPoll(ctx context.Context) messenger.Poll {
	r.sequence++
	p := messenger.Poll{
		Cell: r.config.Cell, AgentID: r.config.AgentID, Incarnation: r.config.Incarnation, Epoch: r.epoch,
		Sequence: r.sequence, Capacity: r.capacity, Upstreams: r.upstreams(), Leaving: r.leaving.Load(),
		WaitMillis: messenger.Millis(pollWaitTime), WorkerLife: r.config.Driver.Life(),
	}
	if !r.connected {
		p.WaitMillis = 0 // the latest renewal is older than after a poll that was answered
	}
	for _, t := range r.tasks {
		// The worker's report replaces an earlier refusal recorded here.
		delete(r.refused, messenger.TaskAttempt{TaskID: t.TaskID, Attempt: t.Attempt})
		p.Tasks = append(p.Tasks, messenger.TaskReport{
			TaskID: t.TaskID, Attempt: t.Attempt, State: t.State, Reason: t.Reason, Checkpoint: t.Checkpoint,
			Needs: t.Needs, Class: t.Class, Tenant: t.Tenant, Service: t.Service, Percent: t.Percent,
		})
	}
	for _, report := range r.refused {
		p.Tasks = append(p.Tasks, report)
	}
	if now := r.config.Now(); now.Sub(r.usageAt) >= usageInterval {
		r.usageAt = now
		if usage, err := r.config.Driver.GetUsage(ctx); err == nil && usage.ToMillis > 0 {
			r.recordLoad(now, r.serviceLoad())
			usage.Services = r.loadAt(time.UnixMilli(usage.ToMillis))
			p.Usage = &usage
		}
	}
	return p
}

// serviceLoad returns the measured load of the local upstreams. A service that had
// no requests and has none in flight is reported too, as idle: otherwise the owner
// could not distinguish it from one that hangs, and would keep batch tasks away.
func (r *Runner) serviceLoad() []messenger.ServiceLoad {
	if r.config.ServiceLoad == nil {
		return nil
	}
	loads := r.config.ServiceLoad()
	busy := make(map[string]bool)
	for _, l := range loads {
		busy[l.Service] = true
	}
	upstreams := r.upstreams()
	for _, u := range upstreams {
		if u.InFlight > 0 || u.State != messenger.UpstreamReady {
			busy[u.Service] = true
		}
	}
	for _, u := range upstreams {
		if !busy[u.Service] {
			busy[u.Service] = true
			loads = append(loads, messenger.ServiceLoad{Service: u.Service})
		}
	}
	return loads
}

func (r *Runner) upstreams() []messenger.Upstream {
	if r.config.Upstreams == nil {
		return nil
	}
	return r.config.Upstreams()
}

// call sends the poll and waits for the reply. It cancels the poll and returns no
// reply when a task has ended that the poll does not report as ended, or when the
// agent starts to leave: the next poll reports it at once. A reply to a cancelled
// poll is dropped together with its orders; the owner sends them again.
func (r *Runner) call(ctx context.Context, p messenger.Poll) (*messenger.PollReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var reply messenger.PollReply
	done := make(chan error, 1)
	go func() { done <- r.config.CallOwner(ctx, messenger.MethodPoll, p, &reply) }()
	ticker := time.NewTicker(endCheckInterval)
	defer ticker.Stop()
	draining := r.draining
	if p.Leaving {
		draining = nil
	}
	for {
		select {
		case err := <-done:
			if err != nil {
				return nil, fmt.Errorf("poll owner of cell %s: %w", r.config.Cell, err)
			}
			return &reply, nil
		case <-draining:
			cancel()
			<-done
			return nil, nil
		case <-ticker.C:
			if r.hasUnreportedEnd(ctx, p) {
				cancel()
				<-done
				return nil, nil
			}
		}
	}
}

// hasUnreportedEnd reports whether the worker has fewer running attempts than the
// poll lists: then one has ended that the poll does not report as ended.
func (r *Runner) hasUnreportedEnd(ctx context.Context, p messenger.Poll) bool {
	running := 0
	for _, t := range p.Tasks {
		if t.State == messenger.ReportRunning {
			running++
		}
	}
	if running == 0 {
		return false
	}
	tasks, err := r.config.Driver.FindTasks(ctx)
	if err != nil {
		return false
	}
	for _, t := range tasks {
		if t.State == messenger.ReportRunning {
			running--
		}
	}
	return running > 0
}
