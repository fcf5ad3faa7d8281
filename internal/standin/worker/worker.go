// Package worker is a stand-in for the worker of a VM. It runs pretended tasks
// under leases, reports usage with a lag, and takes checkpoints. It refuses
// nothing for lack of room and knows nothing of other VMs: tests use its record
// of starts and ends as the witness for what the scheduler promises.
package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/standin/recorder"
	"bamboospread/internal/standin/server"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/driver"
)

const (
	// step is how often tasks move on.
	step = 10 * time.Millisecond
	// maxStep bounds the work done between two steps: a process that was
	// paused has done none meanwhile.
	maxStep = 250 * time.Millisecond
	// failAfter is how long a task runs on a worker that fails everything.
	failAfter = 30 * time.Millisecond
	// checkpointPrefix begins a checkpoint; the progress in ms follows.
	checkpointPrefix = "progress-ms="
)

// Config holds the settings of a Worker.
type Config struct {
	Capacity    messenger.Capacity
	UsageLag    time.Duration // default 2 s
	UsageWindow time.Duration // default 1 s
	Now         func() time.Time
	Witness     func(Event)        // told of each start and end; may be nil
	Recorder    *recorder.Recorder // likewise; may be nil
}

// payload tells a task how to behave.
type payload struct {
	RunMillis     int64 `json:"run-ms"` // real run time; 0: as declared
	Fail          bool  `json:"fail"`   // end with an error after the run time
	UseMillicores int64 `json:"use-millicores"`
	UseBytes      int64 `json:"use-memory-bytes"`
}

// task is an attempt that runs or has ended.
type task struct {
	info     driver.Task
	payload  payload
	runTime  time.Duration // 0: no end of its own
	progress time.Duration
	leaseEnd time.Time
	window   time.Duration // progress within the current usage window
}

// Worker is the worker of one VM. It is safe for concurrent use.
type Worker struct {
	config Config
	mux    *http.ServeMux

	mu       sync.Mutex
	tasks    map[string]*task
	seen     map[string]int64 // highest attempt started or stopped, by task
	issued   int64            // of the latest renewal of leases
	last     time.Time        // when tasks last moved on
	faults   Faults
	thawed   chan struct{} // closed when answers are no longer held
	events   []Event
	usage    []messenger.Usage // closed windows, oldest first
	windowAt time.Time
}

// New returns a Worker without tasks.
func New(c Config) *Worker {
	if c.UsageLag <= 0 {
		c.UsageLag = 2 * time.Second
	}
	if c.UsageWindow <= 0 {
		c.UsageWindow = time.Second
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	w := &Worker{
		config: c, mux: http.NewServeMux(), tasks: make(map[string]*task), seen: make(map[string]int64),
		last: c.Now(), windowAt: c.Now(), thawed: make(chan struct{}),
	}
	close(w.thawed)
	w.routes()
	return w
}

// Handler returns the worker's HTTP interface.
func (w *Worker) Handler() http.Handler { return w.mux }

// Run serves on l and moves tasks on until ctx ends.
func (w *Worker) Run(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.moveOn(ctx)
	}()
	err := server.Serve(ctx, l, w.mux)
	cancel()
	<-ended
	return err
}

func (w *Worker) moveOn(ctx context.Context) {
	ticker := time.NewTicker(step)
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

// advanceLocked brings every task up to now. The lease is looked at before the
// work: a task that was paused past its lease must not complete on waking,
// since it may run elsewhere by then.
func (w *Worker) advanceLocked() {
	now := w.config.Now()
	elapsed := min(now.Sub(w.last), maxStep)
	w.last = now
	for _, t := range w.tasks {
		if t.info.State != messenger.ReportRunning {
			continue
		}
		if !now.Before(t.leaseEnd) {
			w.endLocked(t, messenger.ReportLost, "lease ran out")
			continue
		}
		done := elapsed * time.Duration(t.info.Percent) / 100 * time.Duration(w.faults.speed()) / 100
		t.progress += done
		t.window += done
		switch {
		case w.faults.FailAll && t.progress >= failAfter:
			w.endLocked(t, messenger.ReportFailed, "worker fails everything")
		case t.runTime == 0 || t.progress < t.runTime:
		case t.payload.Fail:
			w.endLocked(t, messenger.ReportFailed, "payload asks to fail")
		default:
			w.endLocked(t, messenger.ReportCompleted, "")
		}
	}
	w.closeWindowLocked(now)
}

func (w *Worker) startLocked(c driver.StartCall) error {
	t := &task{leaseEnd: w.leaseEnd(c.LeaseUntil), info: driver.Task{
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
	w.seen[c.TaskID] = c.Attempt
	w.tasks[c.TaskID] = t
	w.recordLocked(t, EventStart, t.progress)
	return nil
}

// leaseEnd turns a moment on the VM's clock into one on the monotonic clock.
func (w *Worker) leaseEnd(unixNano int64) time.Time {
	now := w.config.Now()
	return now.Add(time.Unix(0, unixNano).Sub(now))
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

// committedLocked sums up what the running tasks asked for.
func (w *Worker) committedLocked() describer.Resources {
	var sum describer.Resources
	for _, t := range w.tasks {
		if t.info.State == messenger.ReportRunning {
			sum = sum.Add(t.info.Needs)
		}
	}
	return sum
}

// closeWindowLocked ends the usage window when its time is over.
func (w *Worker) closeWindowLocked(now time.Time) {
	length := now.Sub(w.windowAt)
	if length < w.config.UsageWindow {
		return
	}
	u := messenger.Usage{FromMillis: w.windowAt.UnixMilli(), ToMillis: now.UnixMilli()}
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
	w.windowAt = now
	w.usage = append(w.usage, u)
	for len(w.usage) > 1 && w.usage[1].ToMillis <= now.Add(-w.config.UsageLag).UnixMilli() {
		w.usage = w.usage[1:]
	}
}
