package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Behaviour of a runner.
const (
	maxHoldWait   = 2 * time.Second
	maxListedEnds = 500
	stopTime      = 300 * time.Millisecond // of a stop; the bound, stop_timeout_ms, is 400
	startupTime   = 20 * time.Millisecond
	lastingFrom   = 10 * time.Minute // work of tasks that last
)

// taskRun is a run on a runner.
type taskRun struct {
	task      string
	number    int64
	startedAt time.Time
	work      time.Duration
	stopping  bool
	timer     *time.Timer
}

// listedEnd is an end that the system has not taken note of yet.
type listedEnd struct {
	seq    int64
	task   string
	number int64
	how    string
}

// runner is an application runner: it does what /run-start and the others tell it, and sends heartbeats
// to the process on its machine. It does not guard its capacity.
type runner struct {
	id, zone, rack, service string
	cpu, memory             int64
	beatTo                  string // address of the control port on its machine
	address                 string
	holdMax                 time.Duration
	record                  *record
	born                    time.Time

	mu       sync.Mutex
	token    int64
	running  map[string]*taskRun
	highest  map[string]int64 // highest run that was stopped or has ended, by task
	ends     []listedEnd
	lastSeq  int64
	deadline time.Time
	sequence int64
	changed  chan struct{}
	down     bool // it has crashed and is not back yet
	keeps    bool // the next start gets no answer and is kept
	kept     *runnerCall
	onBegin  func() // is called as the runner is back; nil: nothing
}

func newRunner(r *runner) *runner {
	r.begin()
	return r
}

// begin begins a boot of the runner.
func (r *runner) begin() {
	r.running, r.highest, r.changed, r.born = make(map[string]*taskRun), make(map[string]int64), make(chan struct{}), time.Now()
	r.token, r.ends, r.lastSeq, r.deadline, r.sequence, r.down, r.keeps = 0, nil, 0, time.Time{}, 0, false, false
}

// crash ends the runner with all that runs on it. It is back after a time, under another id.
func (r *runner) crash(after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.note("runner %s crashes with %d runs", r.id, len(r.running))
	r.down = true
	for _, t := range r.running {
		t.timer.Stop()
		r.record.ended(r.id, t.task, t.number, lostRun)
	}
	r.running, r.ends = make(map[string]*taskRun), nil
	time.AfterFunc(after, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.id = fmt.Sprintf("i-%08x", rand.Uint32())
		r.begin()
		if r.onBegin != nil {
			r.onBegin()
			return
		}
		r.record.note("runner %s is back", r.id)
	})
}

// keepNextStart leaves the next start without an answer.
func (r *runner) keepNextStart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keeps = true
}

// keep keeps a start, if it is the next one.
func (r *runner) keep(c runnerCall) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.keeps {
		return false
	}
	r.keeps, r.kept = false, &c
	r.record.note("runner %s gets the start of %s run %d and does not answer", r.id, c.Task, c.Run)
	return true
}

// crashAndCarryOut crashes the runner. It is back after a time under the same id, and the first call that it
// carries out then is the start that it has not answered. It reports whether there is one.
func (r *runner) crashAndCarryOut(after time.Duration) bool {
	r.mu.Lock()
	id, kept := r.id, r.kept
	r.mu.Unlock()
	if kept == nil {
		return false
	}
	r.crash(after)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onBegin = func() {
		r.id = id
		reason := r.start(*kept)
		r.token = max(r.token, kept.Token)
		r.record.note("runner %s is back under its id and carries the late start of %s run %d out: %q", r.id, kept.Task, kept.Run, reason)
	}
	return true
}

// isDown reports whether the runner has crashed and is not back yet.
func (r *runner) isDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() }

// beat sends heartbeats until done is closed.
func (r *runner) beat(done <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for {
		if r.isDown() {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		r.mu.Lock()
		r.sequence++
		body, err := json.Marshal(map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]int64{"cpu": r.cpu, "mem_mb": r.memory, "gpu": 0}, "labels": []string{"a", r.rack},
			"clock_ms": r.clock(), "sequence": r.sequence, "born": r.born.UnixMilli(),
		})
		id := r.id
		r.mu.Unlock()
		if err != nil {
			panic(err)
		}
		pause := 1500 * time.Millisecond
		q, err := http.NewRequest(http.MethodPut, "http://"+r.beatTo+"/instances/"+id, bytes.NewReader(body))
		if err != nil {
			panic(err)
		}
		q.Header.Set("Content-Type", "application/json")
		a, err := client.Do(q)
		if err != nil {
			pause = 200 * time.Millisecond // the process on its machine has not started yet
		} else {
			a.Body.Close()
		}
		select {
		case <-done:
			return
		case <-time.After(pause):
		}
	}
}

func (r *runner) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.call(r.start))
	mux.HandleFunc("POST /run-stop", r.call(r.stop))
	mux.HandleFunc("POST /pace", r.call(func(runnerCall) string { return "" }))
	mux.HandleFunc("POST /hold", r.hold)
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if r.isDown() {
			panic(http.ErrAbortHandler) // resets the channel
		}
		mux.ServeHTTP(w, q)
	})
}

// runnerCall is the body of a call.
type runnerCall struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// decode reads a call for this boot and checks its token. It answers those that it refuses.
func (r *runner) decode(w http.ResponseWriter, q *http.Request) (c runnerCall, ok bool) {
	r.mu.Lock()
	id := r.id
	r.mu.Unlock()
	if want := q.Header.Get("X-Expected-Instance"); want != "" && want != id {
		answer(w, http.StatusMisdirectedRequest, map[string]any{"clock_ms": r.clock(), "born": r.born.UnixMilli()})
		return c, false
	}
	if err := json.NewDecoder(q.Body).Decode(&c); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{"clock_ms": r.clock()})
		return c, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Token < r.token {
		r.refuse(w, "fence")
		return c, false
	}
	r.token = c.Token
	return c, true
}

func (r *runner) refuse(w http.ResponseWriter, reason string) {
	answer(w, http.StatusConflict, map[string]any{"clock_ms": r.clock(), "born": r.born.UnixMilli(), "reason": reason})
}

// call serves a call that carry carries out. carry returns why it is refused, or nothing.
func (r *runner) call(carry func(runnerCall) string) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		c, ok := r.decode(w, q)
		if !ok {
			return
		}
		if q.URL.Path == "/run-start" && r.keep(c) {
			<-q.Context().Done()
			return
		}
		r.mu.Lock()
		reason := carry(c)
		r.mu.Unlock()
		if reason != "" {
			r.refuse(w, reason)
			return
		}
		answer(w, http.StatusOK, map[string]any{"clock_ms": r.clock(), "born": r.born.UnixMilli()})
	}
}

func (r *runner) extend(deadline int64) {
	if deadline <= 0 {
		return
	}
	until := r.born.Add(time.Duration(deadline) * time.Millisecond)
	if longest := time.Now().Add(r.holdMax); until.After(longest) {
		until = longest
	}
	if until.After(r.deadline) {
		r.deadline = until
	}
}

func (r *runner) start(c runnerCall) string {
	if c.Deadline < r.clock() {
		return "late"
	}
	if now := r.running[c.Task]; now != nil && now.number == c.Run {
		r.extend(c.Deadline)
		return ""
	}
	r.extend(c.Deadline)
	if c.Run <= r.highest[c.Task] {
		return "old"
	}
	if now := r.running[c.Task]; now != nil {
		// The pages do not say what a second run of a task does beside the first: it runs too.
		r.record.note("runner %s has two runs of %s", r.id, c.Task)
	}
	t := &taskRun{task: c.Task, number: c.Run, startedAt: time.Now(), work: workOf(c.Spec, c.Task)}
	r.running[c.Task] = t
	t.timer = time.AfterFunc(startupTime+t.work, func() { r.finish(t, "done") })
	r.record.started(r.id, c.Task, c.Run)
	return ""
}

func (r *runner) stop(c runnerCall) string {
	if t := r.running[c.Task]; t != nil && t.number == c.Run {
		if !t.stopping {
			t.stopping = true
			t.timer.Stop()
			time.AfterFunc(stopTime, func() { r.finish(t, "stopped") })
		}
		return ""
	}
	r.highest[c.Task] = max(r.highest[c.Task], c.Run)
	return ""
}

// finish ends a run.
func (r *runner) finish(t *taskRun, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.down && r.running[t.task] == t && !(how == "done" && t.stopping) {
		r.finishLocked(t, how)
	}
}

func (r *runner) finishLocked(t *taskRun, how string) {
	t.timer.Stop()
	delete(r.running, t.task)
	r.highest[t.task] = max(r.highest[t.task], t.number)
	r.lastSeq++
	r.ends = append(r.ends, listedEnd{r.lastSeq, t.task, t.number, how})
	r.record.ended(r.id, t.task, t.number, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// expire ends all runs once their lease has ended, until done is closed.
func (r *runner) expire(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		r.mu.Lock()
		if time.Now().After(r.deadline) {
			for _, t := range r.running {
				r.finishLocked(t, "lapsed")
			}
		}
		r.mu.Unlock()
	}
}

// hold renews the lease, forgets the ends that the system has taken note of, and lists runs and ends.
func (r *runner) hold(w http.ResponseWriter, q *http.Request) {
	c, ok := r.decode(w, q)
	if !ok {
		return
	}
	r.mu.Lock()
	r.extend(c.Deadline)
	for len(r.ends) > 0 && r.ends[0].seq <= c.LastSeen {
		r.record.takenNote(r.id, r.ends[0].task, r.ends[0].number)
		r.ends = r.ends[1:]
	}
	born := r.born
	limit := time.NewTimer(min(time.Duration(c.Wait)*time.Millisecond, maxHoldWait))
	defer limit.Stop()
	for waiting := c.Wait > 0; waiting && len(r.ends) == 0; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-limit.C:
			waiting = false
		case <-q.Context().Done():
			return
		}
		r.mu.Lock()
	}
	if r.down || r.born != born {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, finished := [][]any{}, [][]any{}
	for _, t := range r.running {
		percent := min(100*time.Since(t.startedAt)/max(t.work, 1), 99)
		if t.work >= lastingFrom { // at work after a short startup
			percent = 100
		}
		running = append(running, []any{t.task, t.number, "", int64(percent), 100})
	}
	for _, e := range r.ends[:min(len(r.ends), maxListedEnds)] {
		finished = append(finished, []any{e.seq, e.task, e.number, e.how, ""})
	}
	body := map[string]any{"clock_ms": r.clock(), "born": r.born.UnixMilli(), "running": running, "finished": finished}
	r.mu.Unlock()
	answer(w, http.StatusOK, body)
}

// workOf returns how long a task works. A spec names the times in ms, by which the occurrences take turns.
func workOf(spec, task string) time.Duration {
	times := strings.Split(strings.TrimPrefix(spec, "work-ms "), " ")
	parts := strings.Split(task, ".")
	occurrence, err := strconv.Atoi(parts[1])
	if err != nil {
		panic(err)
	}
	ms, err := strconv.Atoi(times[occurrence%len(times)])
	if err != nil {
		panic(fmt.Sprintf("spec %q: %v", spec, err))
	}
	return time.Duration(ms) * time.Millisecond
}
