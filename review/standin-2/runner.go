package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	beatInterval  = 1100 * time.Millisecond
	stopTime      = 50 * time.Millisecond
	holdMax       = 10 * time.Second
	maxHoldWait   = 2 * time.Second
	maxListedEnds = 500
)

// work is what the tasks of a submission do. It is the text of the submission's spec.
type work struct {
	RunMillis   int64 `json:"run_ms"`   // run time; 0: until it is stopped
	StartMillis int64 `json:"start_ms"` // until a task that lasts is at work
	FailMillis  int64 `json:"fail_ms"`  // ends failed after this time; 0: doesn't
	CrashMillis int64 `json:"crash_ms"` // crashes its runner after this time; 0: doesn't
	Serves      bool  `json:"serves"`   // reports the runner's tail latency
}

type task struct {
	name    string
	run     int64
	work    work
	started time.Time
	stopAt  time.Time // when its stop is complete; zero: it is not being stopped
	percent int
	pace    int
}

// end is the row of an ended run.
type end struct {
	seq  int64
	name string
	run  int64
	how  string
}

// runner is a stand-in of a runner, which may crash and start again.
type runner struct {
	lab             *lab
	name            string // of its machine
	address         string // of its calls
	control         string // where it registers
	id              string
	cpu, mem        int64
	labels          []string
	restartAfter    time.Duration // a crashed runner is back after this time
	firstBeatAfter  time.Duration
	labelsOnRestart []string

	mu       sync.Mutex
	tail     int64 // tail latency of the tasks that serve, in ms
	born     time.Time
	fence    int64
	lease    time.Duration // on its own clock, which starts with it
	tasks    map[string]*task
	highest  map[string]int64 // highest run that was stopped or has ended, by task
	ends     []end
	lastEnd  int64
	sequence int64
	changed  chan struct{}
	stopBoot context.CancelFunc
}

// boot starts the runner's process.
func (r *runner) boot() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.mu.Lock()
	r.born, r.fence, r.lease, r.lastEnd, r.sequence, r.ends = time.Now(), 0, 0, 0, 0, nil
	r.tasks, r.highest, r.changed, r.stopBoot = make(map[string]*task), make(map[string]int64), make(chan struct{}), cancel
	r.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.start)
	mux.HandleFunc("POST /run-stop", r.stop)
	mux.HandleFunc("POST /hold", r.hold)
	mux.HandleFunc("POST /pace", r.setPace)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(ctx, func() { server.Close() })
	r.lab.note("runner %s boots with labels %v", r.name, r.labels)
	go r.beat(ctx)
	go r.tick(ctx)
	return nil
}

// crash ends the runner's process without a word.
func (r *runner) crash(cause string) {
	r.mu.Lock()
	r.lab.event(event{kind: "crash", runner: r.name, task: cause})
	for _, t := range r.tasks {
		r.lab.event(event{kind: "lost", runner: r.name, task: t.name, run: t.run})
	}
	r.tasks = make(map[string]*task)
	r.stopBoot()
	r.mu.Unlock()
	time.AfterFunc(r.restartAfter, func() {
		if r.labelsOnRestart != nil {
			r.labels = r.labelsOnRestart
		}
		for r.boot() != nil {
			time.Sleep(20 * time.Millisecond)
		}
	})
}

func (r *runner) beat(ctx context.Context) {
	wait := time.After(r.firstBeatAfter)
	for {
		select {
		case <-ctx.Done():
			return
		case <-wait:
		}
		r.mu.Lock()
		r.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": service, "address": r.address, "zone": r.lab.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]any{"cpu": r.cpu, "mem_mb": r.mem, "gpu": 0}, "labels": r.labels, "clock_ms": r.clockLocked().Milliseconds(),
			"sequence": r.sequence, "born": r.born.UnixMilli(),
		})
		r.mu.Unlock()
		q, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+r.control+"/instances/"+r.id, bytes.NewReader(body))
		q.Header.Set("Content-Type", "application/json")
		wait = time.After(beatInterval)
		a, err := http.DefaultClient.Do(q)
		if err != nil {
			wait = time.After(100 * time.Millisecond)
			continue
		}
		a.Body.Close()
	}
}

func (r *runner) clockLocked() time.Duration { return time.Since(r.born) }

// tick lets the tasks work, end, fail and lapse.
func (r *runner) tick(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		if cause := r.step(); cause != "" {
			r.crash(cause)
			return
		}
	}
}

// step returns the task that crashes the runner now, if there is one.
func (r *runner) step() (crashing string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	lapsed := r.clockLocked() > r.lease
	for _, t := range r.tasks {
		age := now.Sub(t.started).Milliseconds()
		switch {
		case lapsed:
			r.endLocked(t, "lapsed")
		case t.work.CrashMillis > 0 && age >= t.work.CrashMillis:
			return t.name
		case !t.stopAt.IsZero() && now.After(t.stopAt):
			r.endLocked(t, "stopped")
		case t.work.FailMillis > 0 && age >= t.work.FailMillis:
			r.endLocked(t, "failed")
		case t.work.RunMillis > 0 && age >= t.work.RunMillis:
			r.endLocked(t, "done")
		case t.work.RunMillis > 0:
			t.percent = int(100 * age / t.work.RunMillis)
		case age >= t.work.StartMillis:
			if t.percent != 100 {
				r.lab.event(event{kind: "at-work", runner: r.name, task: t.name, run: t.run})
			}
			t.percent = 100
		}
	}
	return ""
}

func (r *runner) endLocked(t *task, how string) {
	delete(r.tasks, t.name)
	r.highest[t.name] = max(r.highest[t.name], t.run)
	r.lastEnd++
	r.ends = append(r.ends, end{r.lastEnd, t.name, t.run, how})
	r.lab.event(event{kind: how, runner: r.name, task: t.name, run: t.run})
	close(r.changed)
	r.changed = make(chan struct{})
}

// call is the body of all calls of a runner.
type call struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
	Percent  int    `json:"percent"`
}

// accept decodes a call and checks its instance and its generation number. It returns with the
// runner locked, unless the call was refused.
func (r *runner) accept(w http.ResponseWriter, q *http.Request) (c call, ok bool) {
	if err := json.NewDecoder(q.Body).Decode(&c); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return c, false
	}
	if want := q.Header.Get("X-Expected-Instance"); want != "" && want != r.id {
		answer(w, http.StatusMisdirectedRequest, map[string]any{})
		return c, false
	}
	r.mu.Lock()
	if c.Fence < r.fence {
		r.refuseLocked(w, "fence")
		return c, false
	}
	r.fence = c.Fence
	if c.Deadline > 0 {
		r.lease = max(r.lease, min(time.Duration(c.Deadline)*time.Millisecond, r.clockLocked()+holdMax))
	}
	return c, true
}

func (r *runner) refuseLocked(w http.ResponseWriter, reason string) {
	clock := r.clockLocked().Milliseconds()
	r.mu.Unlock()
	answer(w, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": reason})
}

func (r *runner) succeedLocked(w http.ResponseWriter) {
	clock := r.clockLocked().Milliseconds()
	r.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"clock_ms": clock})
}

func (r *runner) start(w http.ResponseWriter, q *http.Request) {
	c, ok := r.accept(w, q)
	if !ok {
		return
	}
	known := r.tasks[c.Task]
	switch {
	case known != nil && known.run == c.Run:
		r.succeedLocked(w)
		return
	case c.Run <= r.highest[c.Task] || known != nil && c.Run < known.run:
		r.refuseLocked(w, "old")
		return
	case c.Deadline <= r.clockLocked().Milliseconds():
		r.refuseLocked(w, "late")
		return
	}
	t := &task{name: c.Task, run: c.Run, started: time.Now(), pace: 100}
	if err := json.Unmarshal([]byte(c.Spec), &t.work); err != nil {
		r.mu.Unlock()
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	r.tasks[c.Task] = t
	r.lab.event(event{kind: "start", runner: r.name, task: c.Task, run: c.Run, detail: fmt.Sprintf("fence %d labels %s", c.Fence, strings.Join(r.labels, ","))})
	r.succeedLocked(w)
}

func (r *runner) stop(w http.ResponseWriter, q *http.Request) {
	c, ok := r.accept(w, q)
	if !ok {
		return
	}
	r.highest[c.Task] = max(r.highest[c.Task], c.Run)
	if t := r.tasks[c.Task]; t != nil && t.run <= c.Run && t.stopAt.IsZero() {
		t.stopAt = time.Now().Add(stopTime)
		r.lab.event(event{kind: "stop-order", runner: r.name, task: t.name, run: t.run, detail: fmt.Sprintf("at %d percent, pace %d", t.percent, t.pace)})
	}
	r.succeedLocked(w)
}

func (r *runner) setPace(w http.ResponseWriter, q *http.Request) {
	c, ok := r.accept(w, q)
	if !ok {
		return
	}
	if t := r.tasks[c.Task]; t != nil && t.run == c.Run {
		t.pace = c.Percent
	}
	r.succeedLocked(w)
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request) {
	c, ok := r.accept(w, q)
	if !ok {
		return
	}
	for len(r.ends) > 0 && r.ends[0].seq <= c.LastSeen {
		r.ends = r.ends[1:]
	}
	if wait := min(time.Duration(c.Wait)*time.Millisecond, maxHoldWait); len(r.ends) == 0 && wait > 0 {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		case <-q.Context().Done():
		}
		r.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, t := range r.tasks {
		measure := int64(500) * int64(t.pace) / 100
		if t.work.Serves {
			measure = r.tail
		}
		running = append(running, []any{t.name, t.run, "", t.percent, measure})
	}
	sort.Slice(running, func(a, b int) bool { return running[a][0].(string) < running[b][0].(string) })
	for _, e := range r.ends[:min(len(r.ends), maxListedEnds)] {
		finished = append(finished, []any{e.seq, e.name, e.run, e.how, ""})
	}
	clock, born := r.clockLocked().Milliseconds(), r.born.UnixMilli()
	r.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"clock_ms": clock, "born": born, "running": running, "finished": finished})
}

func (r *runner) setTail(ms int64) {
	r.mu.Lock()
	r.tail = ms
	r.mu.Unlock()
	r.lab.note("tasks that serve on runner %s report a tail of %d ms from now on", r.name, ms)
}
