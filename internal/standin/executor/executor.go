// Package executor is a stand-in for the executor of a VM. It runs simulated tasks
// of jobs under leases, remembers which runs were stopped, and keeps ends until they
// are acknowledged. On demand it delays orders or starts a new incarnation.
// It does not refuse starts for lack of capacity: tests use its record of starts and
// ends to check the guarantees of the scheduler.
package executor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/inspector"
	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/standin/recorder"
	"bamboospread/internal/standin/server"
	"bamboospread/internal/worker/guardian"
	"bamboospread/internal/worker/invoker"
)

const (
	advanceInterval = 10 * time.Millisecond // between two updates of the progress of tasks
	// maxAdvance limits the progress made between two updates: a process that was paused
	// made none in the meantime.
	maxAdvance       = 250 * time.Millisecond
	failDelay        = 30 * time.Millisecond // run time of a task with the fault fail-all
	maxPollWait      = 2 * time.Second
	restartDelay     = time.Second           // from a crash to the next incarnation
	listenRetryDelay = 50 * time.Millisecond // while another socket has the port
	defaultRunTime   = 500 * time.Millisecond
	checkpointPrefix = "progress-ms="
)

// Config holds the settings of an Executor.
type Config struct {
	VM        string
	Capacity  specifier.Resources
	Labels    []string
	LeaseMax  time.Duration       // longer leases are shortened to this; default 10 s
	StopTime  time.Duration       // duration of a stop; default 50 ms
	LapseTime time.Duration       // how long runs take to end once their leases have expired, also if these are renewed meanwhile
	Process   *inspector.Identity // stated to the agent; may be nil
	Now       func() time.Time
	OnEvent   func(Event)        // called for each event; may be nil
	Recorder  *recorder.Recorder // records each event; may be nil
}

// Event is a start or an end of a run, the acknowledgement of an end, or the expiry
// of the leases.
type Event struct {
	At          time.Time `json:"at"`
	VM          string    `json:"vm"`
	Incarnation string    `json:"life"`
	Kind        string    `json:"kind"` // start, end, acknowledged, lapse (all leases expired), or crash
	Task        string    `json:"task"`
	Run         int64     `json:"run"`
	Outcome     string    `json:"how,omitempty"`
	Epoch       int64     `json:"epoch,omitempty"`
	Payload     string    `json:"payload,omitempty"`
}

// payload controls the behaviour of a task.
type payload struct {
	RunMillis   int64 `json:"run-ms"`       // run time; 0: half a second; below 0: until it is stopped
	Fail        bool  `json:"fail"`         // ends failed after the run time
	TailMillis  int64 `json:"tail-ms"`      // tail latency that a long-running task reports
	Checkpoint  bool  `json:"checkpointed"` // reports checkpoints
	CrashIndex  *int  `json:"crash-index"`  // the task of the first step with this index crashes its executor at CrashMillis
	CrashMillis int64 `json:"crash-ms"`     // after its start
}

type run struct {
	task      string
	number    int64
	payload   payload
	progress  time.Duration
	pace      int
	stopAt    time.Time // when a stop completes; zero: not being stopped
	lapseAt   time.Time // when the run ends for its expired lease, which no renewal prevents; zero: it has not expired
	startedAt time.Time
}

// crashes reports whether the run crashes its executor.
func (r *run) crashes() bool {
	id, err := specifier.ParseTaskID(r.task)
	return err == nil && r.payload.CrashIndex != nil && id.Step == 0 && id.Index == *r.payload.CrashIndex
}

// Faults are the faults that the stand-in injects.
type Faults struct {
	FailAll        bool  `json:"fail-all"`
	Refuse         bool  `json:"refuse"`         // refuse all starts; they have no effect
	Silent         bool  `json:"silent"`         // neither execute nor answer any call
	LateMillis     int64 `json:"late-ms"`        // do not answer starts and stops, and execute them after this delay
	Leaving        bool  `json:"leaving"`        // report that the VM is leaving
	SpeedPercent   int64 `json:"speed-percent"`  // of all tasks; 0: 100
	NewIncarnation bool  `json:"reborn-now"`     // drop all state and start a new incarnation, once
	Crash          bool  `json:"crash-now"`      // end the process and start another one after a second, once
	HoldProgress   bool  `json:"stands-still"`   // tasks make no progress
	ClockSlow      int64 `json:"clock-slow-pct"` // percentage by which the clock runs slow
}

// Executor is the executor of one VM. It is safe for concurrent use.
type Executor struct {
	config Config
	mux    *http.ServeMux

	mu           sync.Mutex
	incarnation  int64
	startedAt    time.Time
	epoch        int64 // highest one seen in this incarnation
	runs         map[string]*run
	highestEnded map[string]int64 // highest run that was stopped or has ended, by task
	ends         []invoker.End
	seq          int64
	leaseEnd     time.Duration // on the clock of this incarnation
	leaseExpired bool
	advancedAt   time.Time
	faults       Faults
	changed      chan struct{}
	crash        chan struct{} // delivers once for each crash
	down         bool          // crashed, and not started again
	events       []Event
}

// New returns an Executor without runs.
func New(c Config) *Executor {
	if c.LeaseMax <= 0 {
		c.LeaseMax = 10 * time.Second
	}
	if c.StopTime <= 0 {
		c.StopTime = 50 * time.Millisecond
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	e := &Executor{config: c, mux: http.NewServeMux(), changed: make(chan struct{}), crash: make(chan struct{}, 1)}
	e.startIncarnationLocked()
	e.routes()
	return e
}

func (e *Executor) startIncarnationLocked() {
	e.dropRunsLocked()
	e.incarnation++
	e.startedAt, e.advancedAt = e.config.Now(), e.config.Now()
	e.epoch, e.seq, e.leaseEnd, e.leaseExpired = 0, 0, 0, false
	e.runs, e.highestEnded, e.ends = make(map[string]*run), make(map[string]int64), nil
}

// incarnationName identifies the incarnation. It is unique across processes too.
func (e *Executor) incarnationName() string { return strconv.FormatInt(e.startedAt.UnixNano(), 36) }

// Handler returns the executor's HTTP interface.
func (e *Executor) Handler() http.Handler { return e.mux }

// Run serves on l and advances tasks until ctx ends.
func (e *Executor) Run(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.advanceLoop(ctx)
	}()
	err := server.ServeUntilCrash(ctx, l, e.mux, e.crash)
	for errors.Is(err, server.ErrCrashed) {
		if l, err = e.restart(ctx, l.Addr().String()); err == nil {
			err = server.ServeUntilCrash(ctx, l, e.mux, e.crash)
		}
	}
	cancel()
	<-ended
	return err
}

// restart listens again after a crash and starts the next incarnation.
func (e *Executor) restart(ctx context.Context, address string) (net.Listener, error) {
	delay := restartDelay
	for {
		if err := pauser.Pause(ctx, delay); err != nil {
			return nil, err
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			delay = listenRetryDelay
			continue
		}
		e.mu.Lock()
		e.startIncarnationLocked()
		e.down = false
		e.mu.Unlock()
		return l, nil
	}
}

// crashLocked ends the process with everything that runs.
func (e *Executor) crashLocked(task string, run int64) {
	if e.down {
		return
	}
	e.recordLocked(Event{Kind: "crash", Task: task, Run: run})
	e.dropRunsLocked()
	e.down = true
	e.crash <- struct{}{}
}

func (e *Executor) dropRunsLocked() {
	for _, key := range e.sortedTasksLocked() {
		e.recordLocked(Event{Kind: "end", Task: key, Run: e.runs[key].number, Outcome: string(tracker.EndLost)})
	}
	e.runs = make(map[string]*run)
}

func (e *Executor) advanceLoop(ctx context.Context) {
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.mu.Lock()
			e.advanceLocked()
			e.mu.Unlock()
		}
	}
}

// clockLocked returns the time on the executor's own clock.
func (e *Executor) clockLocked() time.Duration {
	d := e.config.Now().Sub(e.startedAt)
	return d - d*time.Duration(e.faults.ClockSlow)/100
}

// advanceLocked updates all tasks to the present.
func (e *Executor) advanceLocked() {
	now := e.config.Now()
	elapsed := min(now.Sub(e.advancedAt), maxAdvance)
	e.advancedAt = now
	leaseExpired := e.clockLocked() > e.leaseEnd
	if leaseExpired && !e.leaseExpired && e.leaseEnd > 0 {
		e.recordLocked(Event{Kind: "lapse"})
	}
	e.leaseExpired = leaseExpired
	for _, key := range e.sortedTasksLocked() {
		r := e.runs[key]
		if leaseExpired && r.lapseAt.IsZero() {
			r.lapseAt = now.Add(e.config.LapseTime)
		}
		switch {
		case !r.lapseAt.IsZero():
			if !now.Before(r.lapseAt) {
				e.endLocked(r, tracker.EndLapsed)
			}
		case r.crashes() && now.Sub(r.startedAt) >= time.Duration(r.payload.CrashMillis)*time.Millisecond:
			e.crashLocked(r.task, r.number)
			return
		case !r.stopAt.IsZero():
			if !now.Before(r.stopAt) {
				e.endLocked(r, tracker.EndStopped)
			}
		default:
			e.advanceRunLocked(r, elapsed)
		}
	}
}

func (e *Executor) advanceRunLocked(r *run, elapsed time.Duration) {
	if e.faults.HoldProgress {
		return
	}
	speed := e.faults.SpeedPercent
	if speed <= 0 {
		speed = 100
	}
	r.progress += elapsed * time.Duration(speed) * time.Duration(r.pace) / (100 * 100)
	runTime := time.Duration(r.payload.RunMillis) * time.Millisecond
	if runTime == 0 {
		runTime = defaultRunTime
	}
	switch {
	case e.faults.FailAll && r.progress >= failDelay:
		e.endLocked(r, tracker.EndFailed)
	case runTime < 0 || r.progress < runTime:
	case r.payload.Fail:
		e.endLocked(r, tracker.EndFailed)
	default:
		e.endLocked(r, tracker.EndDone)
	}
}

func (e *Executor) sortedTasksLocked() []string {
	keys := make([]string, 0, len(e.runs))
	for k := range e.runs {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func (e *Executor) endLocked(r *run, outcome tracker.End) {
	e.seq++
	e.highestEnded[r.task] = max(e.highestEnded[r.task], r.number)
	delete(e.runs, r.task)
	e.ends = append(e.ends, invoker.End{Seq: e.seq, Task: r.task, Run: r.number, Outcome: string(outcome), Checkpoint: r.checkpoint()})
	e.recordLocked(Event{Kind: "end", Task: r.task, Run: r.number, Outcome: string(outcome)})
	close(e.changed)
	e.changed = make(chan struct{})
}

func (r *run) checkpoint() string {
	if !r.payload.Checkpoint {
		return ""
	}
	return checkpointPrefix + strconv.FormatInt(r.progress.Milliseconds(), 10)
}

func (e *Executor) recordLocked(v Event) {
	v.At, v.VM, v.Incarnation = e.config.Now(), e.config.VM, e.incarnationName()
	e.events = append(e.events, v)
	if e.config.OnEvent != nil {
		e.config.OnEvent(v)
	}
	e.config.Recorder.Append(v)
}

// Events returns the events so far, oldest first.
func (e *Executor) Events() []Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Event(nil), e.events...)
}

// SetFaults replaces the faults in force.
func (e *Executor) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advanceLocked()
	if f.NewIncarnation {
		e.startIncarnationLocked()
		f.NewIncarnation = false
	}
	if f.Crash {
		e.crashLocked("", 0)
		f.Crash = false
	}
	e.faults = f
}

func readPayload(text string) (payload, error) {
	var p payload
	if strings.TrimSpace(text) == "" {
		return p, nil
	}
	if err := json.Unmarshal([]byte(text), &p); err != nil {
		return p, fmt.Errorf("payload: %w", err)
	}
	return p, nil
}

func refusal(reason guardian.RefusalReason) (int, any) {
	return http.StatusConflict, invoker.Refusal{Reason: string(reason)}
}
