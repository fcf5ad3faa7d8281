package worker

import (
	"net/http"
	"sort"
	"time"

	"bamboospread/internal/standin/server"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/driver"
)

// Faults are the faults that the stand-in injects.
type Faults struct {
	FailAll      bool  `json:"fail-all"`      // fail every task shortly after its start
	Refuse       bool  `json:"refuse"`        // refuse every start with 503
	DelayMillis  int64 `json:"delay-ms"`      // before the effect of each call
	Freeze       bool  `json:"freeze"`        // delay every answer, after the effect, until this is unset
	SpeedPercent int64 `json:"speed-percent"` // of all tasks; 0: 100
}

func (f Faults) speed() int64 {
	if f.SpeedPercent <= 0 {
		return 100
	}
	return f.SpeedPercent
}

func (w *Worker) routes() {
	handle(w, "GET "+driver.PathVM, func(struct{}) (int, any) { return http.StatusOK, w.config.Capacity })
	handle(w, "GET "+driver.PathTasks, w.list)
	handle(w, "GET "+driver.PathUsage, w.reportUsage)
	handle(w, "POST "+driver.PathStart, w.start)
	handle(w, "POST "+driver.PathStop, w.stop)
	handle(w, "POST "+driver.PathCheckpoint, w.checkpoint)
	handle(w, "POST "+driver.PathThrottle, w.throttle)
	handle(w, "POST "+driver.PathForget, w.forget)
	handle(w, "POST "+driver.PathLeases, w.renew)
	w.mux.HandleFunc("POST /control/faults", func(rw http.ResponseWriter, r *http.Request) {
		var f Faults
		if server.ReadJSON(rw, r, &f) {
			w.SetFaults(f)
			server.WriteJSON(rw, http.StatusOK, f)
		}
	})
	w.mux.HandleFunc("GET /control/witness", func(rw http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(rw, http.StatusOK, w.Events())
	})
}

// SetFaults replaces the faults in force.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case f.Freeze && !w.faults.Freeze:
		w.unfrozen = make(chan struct{})
	case !f.Freeze && w.faults.Freeze:
		close(w.unfrozen)
	}
	w.faults = f
}

// handle registers a call. do runs with the lock held, after tasks were advanced to the
// present.
func handle[C any](w *Worker, pattern string, do func(C) (int, any)) {
	w.mux.HandleFunc(pattern, func(rw http.ResponseWriter, r *http.Request) {
		var c C
		if r.Method == http.MethodPost && !server.ReadJSON(rw, r, &c) {
			return
		}
		w.mu.Lock()
		delay := time.Duration(w.faults.DelayMillis) * time.Millisecond
		w.mu.Unlock()
		time.Sleep(delay)
		w.mu.Lock()
		w.advanceLocked()
		status, answer := do(c)
		unfrozen := w.unfrozen
		w.mu.Unlock()
		select {
		case <-unfrozen:
			server.WriteJSON(rw, status, answer)
		case <-r.Context().Done():
		}
	})
}

func (w *Worker) start(c driver.StartCall) (int, any) {
	t := w.tasks[c.TaskID]
	running := t != nil && t.info.State == messenger.ReportRunning
	switch {
	case running && t.info.Attempt == c.Attempt:
		return http.StatusOK, struct{}{}
	case c.Attempt <= w.highestAttempt[c.TaskID]:
		return http.StatusConflict, "attempt has ended or a later one was started"
	case w.isForFormerLife(c):
		return http.StatusPreconditionFailed, "start is meant for another life of the worker"
	case w.isLate(c):
		return http.StatusPreconditionFailed, "start deadline has passed"
	case w.faults.Refuse:
		return http.StatusServiceUnavailable, "refused by fault injection"
	case running:
		// Two concurrent attempts on one VM are an error of the scheduler. The
		// record shows the second start before the end of the first attempt.
		defer w.endLocked(t, messenger.ReportLost, "replaced by a later attempt")
	}
	if err := w.startLocked(c); err != nil {
		return http.StatusBadRequest, err.Error()
	}
	return http.StatusOK, struct{}{}
}

// endAttempt ends the attempt if it runs. It also records the attempt as a tombstone, so
// that a start that arrives later is refused, even if the attempt never ran.
func (w *Worker) endAttempt(c driver.TaskCall, do func(*task)) (int, any) {
	t := w.tasks[c.TaskID]
	w.highestAttempt[c.TaskID] = max(w.highestAttempt[c.TaskID], c.Attempt)
	if t == nil || t.info.Attempt != c.Attempt {
		return http.StatusOK, driver.EndAnswer{Incarnation: w.incarnation}
	}
	if t.info.State == messenger.ReportRunning {
		do(t)
	}
	return http.StatusOK, driver.EndAnswer{Checkpoint: t.info.Checkpoint, Incarnation: w.incarnation}
}

func (w *Worker) stop(c driver.TaskCall) (int, any) {
	return w.endAttempt(c, func(t *task) { w.endLocked(t, messenger.ReportStopped, "stopped") })
}

func (w *Worker) checkpoint(c driver.TaskCall) (int, any) {
	return w.endAttempt(c, w.checkpointLocked)
}

func (w *Worker) throttle(c driver.TaskCall) (int, any) {
	t := w.tasks[c.TaskID]
	if t == nil || t.info.Attempt != c.Attempt || t.info.State != messenger.ReportRunning {
		return http.StatusNotFound, "no such attempt"
	}
	if c.Percent < 1 || c.Percent > 100 {
		return http.StatusBadRequest, "percent must be from 1 to 100"
	}
	t.info.Percent = c.Percent
	return http.StatusOK, struct{}{}
}

func (w *Worker) forget(c driver.TaskCall) (int, any) {
	t := w.tasks[c.TaskID]
	if t != nil && t.info.Attempt == c.Attempt && t.info.State != messenger.ReportRunning {
		delete(w.tasks, c.TaskID)
	}
	return http.StatusOK, struct{}{}
}

// renew sets the leases of all tasks. Calls may arrive out of order: an old call with
// a longer lease would extend the leases beyond what the caller granted last, so only
// the call with the highest number is applied.
func (w *Worker) renew(c driver.LeaseCall) (int, any) {
	end, latest := time.Duration(c.UntilClock), w.latestRenewal
	switch {
	case c.Incarnation == "":
		end, latest = w.day.toClock(c.Until), max(latest, w.day.refusedUpTo)
	case c.Incarnation != w.incarnation:
		return http.StatusPreconditionFailed, "renewal is meant for another life of the worker"
	}
	if c.Number < latest {
		return http.StatusOK, driver.LeaseAnswer{Number: latest}
	}
	w.latestRenewal = c.Number
	for _, t := range w.tasks {
		t.leaseEnd = end
	}
	return http.StatusOK, driver.LeaseAnswer{Number: w.latestRenewal}
}

func (w *Worker) list(struct{}) (int, any) {
	a := driver.TasksAnswer{
		Life: w.life(), Incarnation: w.incarnation, Clock: int64(w.config.Clock()), Tasks: make([]driver.Task, 0, len(w.tasks)),
	}
	for _, t := range w.tasks {
		a.Tasks = append(a.Tasks, t.info)
	}
	sort.Slice(a.Tasks, func(i, j int) bool { return a.Tasks[i].TaskID < a.Tasks[j].TaskID })
	return http.StatusOK, a
}

func (w *Worker) reportUsage(struct{}) (int, any) {
	latest := messenger.Usage{}
	for _, u := range w.usage {
		if u.ToMillis <= w.config.Now().Add(-w.config.UsageLag).UnixMilli() {
			latest = u
		}
	}
	return http.StatusOK, latest
}
