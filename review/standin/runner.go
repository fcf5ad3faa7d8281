package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

// Bounds of a runner, as in the settings of caroni-label.
const (
	heartbeatInterval = 1100 * time.Millisecond
	heartbeatTimeout  = time.Second
	holdMax           = 10 * time.Second
	stopDuration      = 50 * time.Millisecond // at most stop_timeout_ms
	gangTimeout       = 3 * time.Second
	maxWait           = 2 * time.Second
	endsPerAnswer     = 500 // "500 at a time"
	advanceInterval   = 5 * time.Millisecond
	failDelay         = 30 * time.Millisecond
)

// behaviour is what the stand-in does with the tasks of a step.
type behaviour struct {
	duration time.Duration                 // of a task's work
	spread   func(index int) time.Duration // added to it; nil: none
	gang     int                           // number of members; 0: no gang
}

// world is what the runners of a test share.
type world struct {
	mu         sync.Mutex
	behaviours map[string]behaviour // by ID.STEP
	present    map[string]int       // members of a gang's run that have come, by ID.K.STEP/RUN
	rec        *recorder
}

type taskRun struct {
	task    string
	run     int64
	started time.Time // when it began to work; zero: a gang that waits
	came    time.Time
	ends    time.Time // when its work is done
	stopAt  time.Time
	fails   bool
}

type ended struct {
	n    int64
	task string
	run  int64
	how  string
}

// runner is a stand-in of a runner that doesn't guard its capacity.
type runner struct {
	world       *world
	id          string
	zone, rack  string
	kind        string
	address     string // of its own calls
	control     string // of the agent beside it
	service     string
	cpu, mem    int64
	born        time.Time
	mu          sync.Mutex
	fence       int64
	lease       time.Duration
	runs        map[string]*taskRun
	highest     map[string]int64
	finished    []ended
	lastN, seen int64
	changed     chan struct{}
	sequence    int
	lapsed      bool
	failing     bool // it fails all that it starts, its health is good
}

func newRunner(r *runner) *runner {
	r.born, r.runs, r.highest, r.changed = time.Now(), make(map[string]*taskRun), make(map[string]int64), make(chan struct{})
	return r
}

func (r *runner) clock() time.Duration { return time.Since(r.born) }

// serve serves calls and sends heartbeats until the process ends.
func (r *runner) serve() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /run-start", r.handle(r.start))
	mux.HandleFunc("POST /run-stop", r.handle(r.stop))
	mux.HandleFunc("POST /pace", r.handle(func(c call) (int, string) { return r.fenced(c), "fence" }))
	mux.HandleFunc("POST /hold", r.hold)
	if err := listen(r.address, mux); err != nil {
		return err
	}
	go func() {
		for ; ; time.Sleep(heartbeatInterval) {
			r.beat()
		}
	}()
	go func() {
		for ; ; time.Sleep(advanceInterval) {
			r.mu.Lock()
			r.advanceLocked()
			r.mu.Unlock()
		}
	}()
	return nil
}

func (r *runner) beat() {
	r.mu.Lock()
	r.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]int64{"cpu": r.cpu, "mem_mb": r.mem, "gpu": 0}, "labels": []string{r.kind, r.rack},
		"clock_ms": r.clock().Milliseconds(), "sequence": r.sequence, "born": r.born.UnixMilli(), "machine": "m-" + r.id,
	})
	r.mu.Unlock()
	q, err := http.NewRequest(http.MethodPut, "http://"+r.control+"/instances/"+r.id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	q.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: heartbeatTimeout}
	if a, err := client.Do(q); err == nil {
		_ = a.Body.Close()
	}
}

// call is the body of any call.
type call struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fencing_token"`
	Seen     int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// readCall reads a call, and refuses one that is meant for another boot.
func (r *runner) readCall(rw http.ResponseWriter, q *http.Request) (c call, ok bool) {
	if want := q.Header.Get("X-Expected-Instance"); want != "" && want != r.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return c, false
	}
	return c, read(rw, q, &c)
}

func (r *runner) handle(do func(call) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, q *http.Request) {
		c, ok := r.readCall(rw, q)
		if !ok {
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.advanceLocked()
		status, reason := do(c)
		body := map[string]any{"clock_ms": r.clock().Milliseconds()}
		if status != http.StatusOK {
			body["reason"] = reason
		}
		answer(rw, status, body)
	}
}

func (r *runner) fenced(c call) int {
	if c.Fence < r.fence {
		return http.StatusConflict
	}
	r.fence = c.Fence
	return http.StatusOK
}

func (r *runner) extendLocked(deadline int64) {
	r.lease = max(r.lease, min(time.Duration(deadline)*time.Millisecond, r.clock()+holdMax))
}

func (r *runner) start(c call) (int, string) {
	if r.fenced(c) != http.StatusOK {
		return http.StatusConflict, "fence"
	}
	r.extendLocked(c.Deadline)
	old := r.runs[c.Task]
	switch {
	case old != nil && old.run == c.Run:
		return http.StatusOK, ""
	case c.Run <= r.highest[c.Task] || old != nil && c.Run < old.run:
		return http.StatusConflict, "old"
	case r.clock().Milliseconds() > c.Deadline:
		return http.StatusConflict, "late"
	}
	t := &taskRun{task: c.Task, run: c.Run, came: time.Now(), fails: r.failing}
	r.runs[c.Task] = t
	r.world.rec.add("start  %s run %d at %s, fence %d", c.Task, c.Run, r.id, c.Fence)
	r.world.started(r, t)
	return http.StatusOK, ""
}

func (r *runner) stop(c call) (int, string) {
	if r.fenced(c) != http.StatusOK {
		return http.StatusConflict, "fence"
	}
	r.highest[c.Task] = max(r.highest[c.Task], c.Run)
	if t := r.runs[c.Task]; t != nil && t.run <= c.Run && t.stopAt.IsZero() {
		t.stopAt = time.Now().Add(stopDuration)
	}
	return http.StatusOK, ""
}

func (r *runner) advanceLocked() {
	now := time.Now()
	lapsed := r.lease > 0 && r.clock() > r.lease
	if lapsed && !r.lapsed {
		r.world.rec.lapsed(r.id)
	}
	if r.lapsed = lapsed; lapsed {
		for _, t := range r.sortedLocked() {
			r.endLocked(t, "lapsed")
		}
	}
	for _, t := range r.sortedLocked() {
		switch {
		case !t.stopAt.IsZero() && now.After(t.stopAt):
			r.endLocked(t, "stopped")
		case !t.stopAt.IsZero():
		case t.fails && now.Sub(t.came) > failDelay:
			r.endLocked(t, "failed")
		case t.started.IsZero():
			if r.world.begin(t); t.started.IsZero() && now.Sub(t.came) > gangTimeout {
				r.endLocked(t, "alone")
			}
		case now.After(t.ends):
			r.endLocked(t, "done")
		}
	}
}

func (r *runner) sortedLocked() []*taskRun {
	all := make([]*taskRun, 0, len(r.runs))
	for _, t := range r.runs {
		all = append(all, t)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].task < all[j].task })
	return all
}

func (r *runner) endLocked(t *taskRun, how string) {
	r.lastN++
	delete(r.runs, t.task)
	r.highest[t.task] = max(r.highest[t.task], t.run)
	r.finished = append(r.finished, ended{r.lastN, t.task, t.run, how})
	r.world.rec.add("end    %s run %d at %s, N %d, %s", t.task, t.run, r.id, r.lastN, how)
	r.world.rec.ended(r.id, r.lastN, t.task, t.run, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) hold(rw http.ResponseWriter, q *http.Request) {
	c, ok := r.readCall(rw, q)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advanceLocked()
	if r.fenced(c) != http.StatusOK {
		answer(rw, http.StatusConflict, map[string]any{"clock_ms": r.clock().Milliseconds(), "reason": "fence"})
		return
	}
	r.extendLocked(c.Deadline)
	if c.Seen > r.seen {
		r.world.rec.seen(r.id, c.Seen)
		r.seen = c.Seen
		for len(r.finished) > 0 && r.finished[0].n <= r.seen {
			r.finished = r.finished[1:]
		}
	}
	if wait := min(time.Duration(c.Wait)*time.Millisecond, maxWait); wait > 0 && len(r.finished) == 0 {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		case <-q.Context().Done():
		}
		r.mu.Lock()
		r.advanceLocked()
	}
	running, finished := [][]any{}, [][]any{}
	for _, t := range r.sortedLocked() {
		running = append(running, []any{t.task, t.run, "", t.percent(), 100})
	}
	for _, e := range r.finished[:min(len(r.finished), endsPerAnswer)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
	}
	answer(rw, http.StatusOK, map[string]any{"clock_ms": r.clock().Milliseconds(), "running": running, "finished": finished, "born": r.born.UnixMilli()})
}

func (t *taskRun) percent() int {
	if t.started.IsZero() || !t.ends.After(t.started) {
		return 0
	}
	return min(int(100*time.Since(t.started)/t.ends.Sub(t.started)), 99)
}

// parts splits a task's name.
func parts(task string) (id string, k, step, index int) {
	if _, err := fmt.Sscanf(task, "%16s.%d.%d.%d", &id, &k, &step, &index); err != nil {
		panic(fmt.Sprintf("task %q: %v", task, err))
	}
	return id, k, step, index
}

// started notes that a run has come to a runner.
func (w *world) started(r *runner, t *taskRun) {
	w.rec.started(r.id, t.task, t.run)
	id, k, step, _ := parts(t.task)
	w.mu.Lock()
	w.present[fmt.Sprintf("%s.%d.%d/%d", id, k, step, t.run)]++
	w.mu.Unlock()
	w.begin(t)
}

// begin lets a run begin its work, once all members of its gang have come.
func (w *world) begin(t *taskRun) {
	id, k, step, index := parts(t.task)
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.behaviours[fmt.Sprintf("%s.%d", id, step)]
	if w.present[fmt.Sprintf("%s.%d.%d/%d", id, k, step, t.run)] < b.gang {
		return
	}
	t.started = time.Now()
	t.ends = t.started.Add(b.duration)
	if b.spread != nil {
		t.ends = t.ends.Add(b.spread(index))
	}
}

// setFailing makes a runner fail all that it starts from now on, or ends that.
func (r *runner) setFailing(failing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = failing
	r.world.rec.add("runner %s fails all that it starts: %t", r.id, failing)
}
