// Package executor is a stand-in for the executor of a VM: it runs pretended tasks
// of jobs under leases, marks what was stopped, keeps ends until they are
// acknowledged, carries orders out late on demand and begins a new life on demand.
// It refuses nothing for want of room: tests use its record of starts and ends as
// the witness for what the scheduler promises.
package executor

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/standin/recorder"
	"bamboospread/internal/standin/server"
	"bamboospread/internal/worker/guardian"
	"bamboospread/internal/worker/steerer"
)

const (
	step = 10 * time.Millisecond // how often tasks move on
	// maxStep bounds the work done between two steps: a process that was paused
	// has done none meanwhile.
	maxStep        = 250 * time.Millisecond
	failAfter      = 30 * time.Millisecond // on a VM that fails everything
	maxWait        = 2 * time.Second
	defaultRun     = 500 * time.Millisecond
	progressPrefix = "progress-ms="
)

// Config holds the settings of an Executor.
type Config struct {
	VM       string
	Capacity specifier.Resources
	Labels   []string
	LeaseMax time.Duration // longer leases are shortened; default 10 s
	StopTime time.Duration // that a stop takes; default 50 ms
	Now      func() time.Time
	Witness  func(Event)        // told of each start and end; may be nil
	Recorder *recorder.Recorder // likewise; may be nil
}

// Event is a start or an end, as the executor saw it.
type Event struct {
	At      time.Time `json:"at"`
	VM      string    `json:"vm"`
	Life    string    `json:"life"`
	Kind    string    `json:"kind"` // start, end, acknowledged, or lapse of all leases
	Task    string    `json:"task"`
	Run     int64     `json:"run"`
	How     string    `json:"how,omitempty"`
	Epoch   int64     `json:"epoch,omitempty"`
	Payload string    `json:"payload,omitempty"`
}

// payload tells a task how to behave.
type payload struct {
	RunMillis  int64 `json:"run-ms"`       // run time; 0: half a second; below 0: until it is stopped
	Fail       bool  `json:"fail"`         // ends failed after the run time
	TailMillis int64 `json:"tail-ms"`      // of a lasting task, undisturbed
	Checkpoint bool  `json:"checkpointed"` // hands out checkpoints
}

type run struct {
	task     string
	number   int64
	payload  payload
	progress time.Duration
	pace     int
	stopAt   time.Time // zero: not being stopped
}

// Faults are the faults in force.
type Faults struct {
	FailAll      bool  `json:"fail-all"`
	Refuse       bool  `json:"refuse"`         // starts, surely
	Silent       bool  `json:"silent"`         // no call is answered; none is carried out
	LateMillis   int64 `json:"late-ms"`        // starts and stops are not answered and carried out so much later
	Leaving      bool  `json:"leaving"`        // says that it leaves
	SpeedPercent int64 `json:"speed-percent"`  // 0: 100
	RebornNow    bool  `json:"reborn-now"`     // forgets everything and begins another life
	HoldProgress bool  `json:"stands-still"`   // tasks make no progress
	ClockSlow    int64 `json:"clock-slow-pct"` // its clock runs so many percent slow
}

// Executor is the executor of one VM. It is safe for concurrent use.
type Executor struct {
	config Config
	mux    *http.ServeMux

	mu       sync.Mutex
	life     int64
	bornAt   time.Time
	epoch    int64 // highest seen in this life
	runs     map[string]*run
	marks    map[string]int64 // highest run stopped or ended, by task
	ends     []steerer.End
	seq      int64
	leaseEnd time.Duration // on the clock of this life
	lapsed   bool
	last     time.Time
	faults   Faults
	changed  chan struct{}
	events   []Event
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
	e := &Executor{config: c, mux: http.NewServeMux(), changed: make(chan struct{})}
	e.beginLifeLocked()
	e.routes()
	return e
}

func (e *Executor) beginLifeLocked() {
	for _, key := range e.keysLocked() {
		e.noteLocked(Event{Kind: "end", Task: key, Run: e.runs[key].number, How: string(accountant.EndLost)})
	}
	e.life++
	e.bornAt, e.last = e.config.Now(), e.config.Now()
	e.epoch, e.seq, e.leaseEnd, e.lapsed = 0, 0, 0, false
	e.runs, e.marks, e.ends = make(map[string]*run), make(map[string]int64), nil
}

// lifeName differs between lives, also of several processes.
func (e *Executor) lifeName() string { return strconv.FormatInt(e.bornAt.UnixNano(), 36) }

// Handler returns the executor's HTTP interface.
func (e *Executor) Handler() http.Handler { return e.mux }

// Run serves on l and moves tasks on until ctx ends.
func (e *Executor) Run(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.moveOn(ctx)
	}()
	err := server.Serve(ctx, l, e.mux)
	cancel()
	<-ended
	return err
}

func (e *Executor) moveOn(ctx context.Context) {
	ticker := time.NewTicker(step)
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

// clockLocked is the executor's own clock.
func (e *Executor) clockLocked() time.Duration {
	d := e.config.Now().Sub(e.bornAt)
	return d - d*time.Duration(e.faults.ClockSlow)/100
}

// advanceLocked moves tasks on to now.
func (e *Executor) advanceLocked() {
	now := e.config.Now()
	passed := min(now.Sub(e.last), maxStep)
	e.last = now
	lapsed := e.clockLocked() > e.leaseEnd
	if lapsed && !e.lapsed && e.leaseEnd > 0 {
		e.noteLocked(Event{Kind: "lapse"})
	}
	e.lapsed = lapsed
	for _, key := range e.keysLocked() {
		r := e.runs[key]
		switch {
		case lapsed:
			e.endLocked(r, accountant.EndLapsed)
		case !r.stopAt.IsZero():
			if !now.Before(r.stopAt) {
				e.endLocked(r, accountant.EndStopped)
			}
		default:
			e.workLocked(r, passed)
		}
	}
}

func (e *Executor) workLocked(r *run, passed time.Duration) {
	if e.faults.HoldProgress {
		return
	}
	speed := e.faults.SpeedPercent
	if speed <= 0 {
		speed = 100
	}
	r.progress += passed * time.Duration(speed) * time.Duration(r.pace) / (100 * 100)
	goal := time.Duration(r.payload.RunMillis) * time.Millisecond
	if goal == 0 {
		goal = defaultRun
	}
	switch {
	case e.faults.FailAll && r.progress >= failAfter:
		e.endLocked(r, accountant.EndFailed)
	case goal < 0 || r.progress < goal:
	case r.payload.Fail:
		e.endLocked(r, accountant.EndFailed)
	default:
		e.endLocked(r, accountant.EndDone)
	}
}

func (e *Executor) keysLocked() []string {
	keys := make([]string, 0, len(e.runs))
	for k := range e.runs {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func (e *Executor) endLocked(r *run, how accountant.End) {
	e.seq++
	e.marks[r.task] = max(e.marks[r.task], r.number)
	delete(e.runs, r.task)
	e.ends = append(e.ends, steerer.End{Seq: e.seq, Task: r.task, Run: r.number, How: string(how), Checkpoint: r.checkpoint()})
	e.noteLocked(Event{Kind: "end", Task: r.task, Run: r.number, How: string(how)})
	close(e.changed)
	e.changed = make(chan struct{})
}

func (r *run) checkpoint() string {
	if !r.payload.Checkpoint {
		return ""
	}
	return progressPrefix + strconv.FormatInt(r.progress.Milliseconds(), 10)
}

func (e *Executor) noteLocked(v Event) {
	v.At, v.VM, v.Life = e.config.Now(), e.config.VM, e.lifeName()
	e.events = append(e.events, v)
	if e.config.Witness != nil {
		e.config.Witness(v)
	}
	e.config.Recorder.Append(v)
}

// Events returns the starts and ends so far.
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
	if f.RebornNow {
		e.beginLifeLocked()
		f.RebornNow = false
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
	return http.StatusConflict, steerer.Refusal{Reason: string(reason)}
}
