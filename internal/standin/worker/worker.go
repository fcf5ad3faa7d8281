// Package worker is a stand-in for the worker of a VM. It runs simulated tasks under
// leases, reports usage with a lag, and takes checkpoints. It does not refuse starts
// for lack of capacity and has no data about other VMs: tests use its record of starts
// and ends to check the guarantees of the scheduler.
package worker

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/kernel/timekeeper"
	"bamboospread/internal/standin/recorder"
	"bamboospread/internal/standin/server"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/driver"
)

const (
	// advanceInterval is the time between two updates of the progress of tasks.
	advanceInterval = 10 * time.Millisecond
	// maxAdvance limits the progress made between two updates: a process that was
	// paused made none in the meantime.
	maxAdvance = 250 * time.Millisecond
	// failDelay is the run time of a task with the fault fail-all.
	failDelay = 30 * time.Millisecond
	// checkpointPrefix is the start of a checkpoint; the progress in ms follows.
	checkpointPrefix = "progress-ms="
)

// Config holds the settings of a Worker.
type Config struct {
	Capacity    messenger.Capacity
	UsageLag    time.Duration // default 2 s
	UsageWindow time.Duration // default 1 s
	Now         func() time.Time
	Clock       func() time.Duration // does not step; default: the boot clock, or, if Now is set, what follows it
	OnEvent     func(Event)          // called for each event; may be nil
	Recorder    *recorder.Recorder   // records each event; may be nil
}

// payload controls the behaviour of a task.
type payload struct {
	RunMillis     int64 `json:"run-ms"` // actual run time; 0: as declared
	Fail          bool  `json:"fail"`   // fail after the run time
	UseMillicores int64 `json:"use-millicores"`
	UseBytes      int64 `json:"use-memory-bytes"`
}

// task is an attempt that runs or has ended.
type task struct {
	info     driver.Task
	payload  payload
	runTime  time.Duration // 0: runs until it is stopped
	progress time.Duration
	leaseEnd time.Duration // on the worker's clock
	window   time.Duration // progress within the current usage window
}

// Worker is the worker of one VM. It is safe for concurrent use.
type Worker struct {
	config      Config
	mux         *http.ServeMux
	incarnation string // differs from that of any other Worker

	mu             sync.Mutex
	day            dayClock
	tasks          map[string]*task
	highestAttempt map[string]int64 // highest attempt started or stopped, by task
	latestRenewal  int64            // number of the latest lease renewal
	advancedAt     time.Duration    // when the progress of tasks was last updated
	faults         Faults
	unfrozen       chan struct{} // closed when answers are no longer held
	events         []Event
	usage          []messenger.Usage // closed windows, oldest first
	windowStart    time.Time
}

// New returns a Worker without tasks.
func New(c Config) *Worker {
	if c.UsageLag <= 0 {
		c.UsageLag = 2 * time.Second
	}
	if c.UsageWindow <= 0 {
		c.UsageWindow = time.Second
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
	w := &Worker{
		config: c, mux: http.NewServeMux(), incarnation: rand.Text(), tasks: make(map[string]*task), highestAttempt: make(map[string]int64),
		advancedAt: c.Clock(), windowStart: c.Now(), unfrozen: make(chan struct{}), day: dayClock{now: c.Now, clock: c.Clock},
	}
	w.day.observe()
	close(w.unfrozen)
	w.routes()
	return w
}

// Handler returns the worker's HTTP interface.
func (w *Worker) Handler() http.Handler { return w.mux }

// Run serves on l and advances tasks until ctx ends.
func (w *Worker) Run(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.advanceLoop(ctx)
	}()
	err := server.Serve(ctx, l, w.mux)
	cancel()
	<-ended
	return err
}

func (w *Worker) advanceLoop(ctx context.Context) {
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.mu.Lock()
			w.advanceLocked()
			w.mu.Unlock()
		}
	}
}

// advanceLocked updates all tasks to the present. It checks the lease before the
// progress: a task that was paused for longer than its lease must not complete when it
// resumes, since it may run on another VM by then.
func (w *Worker) advanceLocked() {
	w.day.observe()
	now := w.config.Clock()
	elapsed := min(now-w.advancedAt, maxAdvance)
	w.advancedAt = now
	for _, t := range w.tasks {
		if t.info.State != messenger.ReportRunning {
			continue
		}
		if now >= t.leaseEnd {
			w.endLocked(t, messenger.ReportLost, "lease expired")
			continue
		}
		step := elapsed * time.Duration(t.info.Percent) / 100 * time.Duration(w.faults.speed()) / 100
		t.progress += step
		t.window += step
		switch {
		case w.faults.FailAll && t.progress >= failDelay:
			w.endLocked(t, messenger.ReportFailed, "failed by fault injection")
		case t.runTime == 0 || t.progress < t.runTime:
		case t.payload.Fail:
			w.endLocked(t, messenger.ReportFailed, "failure requested by the payload")
		default:
			w.endLocked(t, messenger.ReportCompleted, "")
		}
	}
	w.closeWindowLocked(w.config.Now())
}

func (w *Worker) startLocked(c driver.StartCall) error {
	t := &task{leaseEnd: w.leaseEnd(c), info: driver.Task{
		TaskID: c.TaskID, Attempt: c.Attempt, State: messenger.ReportRunning, Checkpoint: c.Checkpoint,
		Needs: c.Needs, Class: c.Class, Tenant: c.Tenant, Service: c.Service, Percent: 100,
	}}
	if strings.HasPrefix(c.Payload, "{") {
		if err := json.Unmarshal([]byte(c.Payload), &t.payload); err != nil {
			return fmt.Errorf("payload: %w", err)
		}
	}
	t.runTime = messenger.FromMillis(c.RunTime)
	if t.payload.RunMillis > 0 {
		t.runTime = messenger.FromMillis(t.payload.RunMillis)
	}
	if c.Service != "" {
		t.runTime = 0
	}
	if c.Checkpoint != "" {
		ms, err := strconv.ParseInt(strings.TrimPrefix(c.Checkpoint, checkpointPrefix), 10, 64)
		if err != nil {
			return fmt.Errorf("checkpoint %q: %w", c.Checkpoint, err)
		}
		t.progress = messenger.FromMillis(ms)
	}
	w.highestAttempt[c.TaskID] = c.Attempt
	w.tasks[c.TaskID] = t
	w.recordLocked(t, EventStart, t.progress)
	return nil
}

func (w *Worker) endLocked(t *task, state messenger.ReportState, reason string) {
	t.info.State, t.info.Reason = state, reason
	w.recordLocked(t, EventKind(state), t.progress)
}

func (w *Worker) checkpointLocked(t *task) {
	t.info.Checkpoint = checkpointPrefix + strconv.FormatInt(t.progress.Milliseconds(), 10)
	t.info.State, t.info.Reason = messenger.ReportStopped, "checkpointed"
	w.recordLocked(t, EventCheckpointed, t.progress)
}

// committedLocked returns the sum of the requested resources of the running tasks.
func (w *Worker) committedLocked() describer.Resources {
	var sum describer.Resources
	for _, t := range w.tasks {
		if t.info.State == messenger.ReportRunning {
			sum = sum.Add(t.info.Needs)
		}
	}
	return sum
}

// closeWindowLocked ends the usage window when its length has passed.
func (w *Worker) closeWindowLocked(now time.Time) {
	length := now.Sub(w.windowStart)
	if length < w.config.UsageWindow {
		return
	}
	u := messenger.Usage{FromMillis: w.windowStart.UnixMilli(), ToMillis: now.UnixMilli()}
	for _, t := range w.tasks {
		if t.info.State != messenger.ReportRunning && t.window == 0 {
			continue
		}
		use := messenger.TaskUsage{
			TaskID: t.info.TaskID, Millicores: t.info.Needs.Millicores, MemoryBytes: t.info.Needs.MemoryBytes,
			ProgressPermille: int64(1000 * t.window / length),
		}
		if t.payload.UseMillicores > 0 {
			use.Millicores = t.payload.UseMillicores
		}
		if t.payload.UseBytes > 0 {
			use.MemoryBytes = t.payload.UseBytes
		}
		use.Millicores = use.Millicores * int64(t.info.Percent) / 100
		u.MillicoresAll += use.Millicores
		u.Tasks = append(u.Tasks, use)
		t.window = 0
	}
	w.windowStart = now
	w.usage = append(w.usage, u)
	for len(w.usage) > 1 && w.usage[1].ToMillis <= now.Add(-w.config.UsageLag).UnixMilli() {
		w.usage = w.usage[1:]
	}
}
