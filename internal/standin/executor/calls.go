package executor

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"bamboospread/internal/job/tracker"
	"bamboospread/internal/standin/server"
	"bamboospread/internal/worker/guardian"
	"bamboospread/internal/worker/invoker"
)

func (e *Executor) routes() {
	e.mux.HandleFunc("GET "+invoker.PathVM, e.describeVM)
	handle(e, invoker.PathStart, true, e.startLocked)
	handle(e, invoker.PathStop, true, e.stopLocked)
	handle(e, invoker.PathPace, false, e.paceLocked)
	e.mux.HandleFunc("POST "+invoker.PathPoll, e.pollStatus)
	e.mux.HandleFunc("POST /control/faults", func(rw http.ResponseWriter, r *http.Request) {
		var f Faults
		if server.ReadJSON(rw, r, &f) {
			e.SetFaults(f)
			server.WriteJSON(rw, http.StatusOK, f)
		}
	})
	e.mux.HandleFunc("GET /control/witness", func(rw http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(rw, http.StatusOK, e.Events())
	})
}

// handle registers an order. do runs with the lock held, after tasks were advanced to
// the present. With the fault late-ms, a delayable order gets no answer and is executed
// after the delay. An order that names another incarnation of the executor is refused,
// also after a delay.
func handle[C any](e *Executor, path string, delayable bool, do func(C) (int, any)) {
	e.mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) {
		var c C
		if !server.ReadJSON(rw, r, &c) {
			return
		}
		executeLocked := func() (int, any) {
			if e.isForOtherIncarnationLocked(r) {
				return refusal(guardian.RefusedIncarnation)
			}
			e.advanceLocked()
			if e.down {
				return refusal(guardian.RefusedIncarnation)
			}
			return do(c)
		}
		e.mu.Lock()
		delay := time.Duration(e.faults.LateMillis) * time.Millisecond
		if e.faults.Silent || delayable && delay > 0 {
			silent := e.faults.Silent
			e.mu.Unlock()
			if !silent {
				time.AfterFunc(delay, func() {
					e.mu.Lock()
					defer e.mu.Unlock()
					executeLocked()
				})
			}
			<-r.Context().Done()
			return
		}
		defer e.mu.Unlock()
		status, body := executeLocked()
		server.WriteJSON(rw, status, body)
	})
}

// isForOtherIncarnationLocked reports whether a call is meant for another incarnation.
func (e *Executor) isForOtherIncarnationLocked(r *http.Request) bool {
	want := r.Header.Get(invoker.HeaderIncarnation)
	return want != "" && want != e.incarnationName()
}

func (e *Executor) describeVM(rw http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	vm := invoker.VM{Incarnation: e.incarnationName(), Capacity: e.config.Capacity, Labels: e.config.Labels, Leaving: e.faults.Leaving, Process: e.config.Process}
	silent := e.faults.Silent || e.down
	e.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	server.WriteJSON(rw, http.StatusOK, vm)
}

// isStaleEpochLocked reports whether epoch is below the highest one seen, and else records it.
func (e *Executor) isStaleEpochLocked(epoch int64) bool {
	if epoch < e.epoch {
		return true
	}
	e.epoch = epoch
	return false
}

func (e *Executor) extendLeaseLocked(untilMillis int64) {
	until := min(time.Duration(untilMillis)*time.Millisecond, e.clockLocked()+e.config.LeaseMax)
	e.leaseEnd = max(e.leaseEnd, until)
}

func (e *Executor) startLocked(c invoker.Start) (int, any) {
	if e.isStaleEpochLocked(c.Epoch) {
		return refusal(guardian.RefusedEpoch)
	}
	e.extendLeaseLocked(c.LeaseMillis)
	r := e.runs[c.Task]
	switch {
	case r != nil && r.number == c.Run:
		return http.StatusOK, struct{}{}
	case c.Run <= e.highestEnded[c.Task] || r != nil && c.Run < r.number:
		return refusal(guardian.RefusedEndedRun)
	case e.clockLocked().Milliseconds() > c.LeaseMillis:
		return refusal(guardian.RefusedLease)
	case e.faults.Refuse:
		return refusal(guardian.RefusedUnhealthy)
	}
	p, err := readPayload(c.Payload)
	if err != nil {
		return refusal(guardian.RefusedMalformed)
	}
	if r != nil {
		e.recordLocked(Event{Kind: "end", Task: c.Task, Run: r.number, Outcome: string(tracker.EndLost)})
	}
	r = &run{task: c.Task, number: c.Run, payload: p, pace: 100, startedAt: e.config.Now()}
	if ms, ok := strings.CutPrefix(c.Checkpoint, checkpointPrefix); ok {
		if done, err := strconv.ParseInt(ms, 10, 64); err == nil {
			r.progress = time.Duration(done) * time.Millisecond
		}
	}
	e.runs[c.Task] = r
	e.recordLocked(Event{Kind: "start", Task: c.Task, Run: c.Run, Epoch: c.Epoch, Payload: c.Payload})
	return http.StatusOK, struct{}{}
}

func (e *Executor) stopLocked(c invoker.Stop) (int, any) {
	if e.isStaleEpochLocked(c.Epoch) {
		return refusal(guardian.RefusedEpoch)
	}
	e.highestEnded[c.Task] = max(e.highestEnded[c.Task], c.Run)
	if r := e.runs[c.Task]; r != nil && r.number <= c.Run && r.stopAt.IsZero() {
		r.stopAt = e.config.Now().Add(e.config.StopTime)
	}
	return http.StatusOK, struct{}{}
}

func (e *Executor) paceLocked(c invoker.Pace) (int, any) {
	if e.isStaleEpochLocked(c.Epoch) {
		return refusal(guardian.RefusedEpoch)
	}
	if r := e.runs[c.Task]; r != nil && r.number == c.Run && c.Percent >= 0 && c.Percent <= 100 {
		r.pace = c.Percent
	}
	return http.StatusOK, struct{}{}
}

// pollStatus waits until a run ends or the wait time is over, then lists the running tasks
// and the ends that were not acknowledged.
func (e *Executor) pollStatus(rw http.ResponseWriter, r *http.Request) {
	var c invoker.PollRequest
	if !server.ReadJSON(rw, r, &c) {
		return
	}
	e.mu.Lock()
	if e.faults.Silent {
		e.mu.Unlock()
		<-r.Context().Done()
		return
	}
	if reason := e.pollRefusalLocked(r, c); reason != "" {
		e.mu.Unlock()
		status, body := refusal(reason)
		server.WriteJSON(rw, status, body)
		return
	}
	e.advanceLocked()
	if c.LeaseMillis > 0 {
		e.extendLeaseLocked(c.LeaseMillis)
	}
	e.acknowledgeLocked(c.EndsSeen)
	if wait := min(time.Duration(c.WaitMillis)*time.Millisecond, maxPollWait); len(e.ends) == 0 && wait > 0 {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
		}
		e.mu.Lock()
	}
	e.advanceLocked()
	status, down := e.statusLocked(), e.down
	e.mu.Unlock()
	if down { // a process that has crashed answers nothing
		<-r.Context().Done()
		return
	}
	server.WriteJSON(rw, http.StatusOK, status)
}

// pollRefusalLocked returns why a poll is refused, or "".
func (e *Executor) pollRefusalLocked(r *http.Request, c invoker.PollRequest) guardian.RefusalReason {
	switch {
	case e.isForOtherIncarnationLocked(r):
		return guardian.RefusedIncarnation
	case e.isStaleEpochLocked(c.Epoch):
		return guardian.RefusedEpoch
	}
	return ""
}

func (e *Executor) acknowledgeLocked(seen int64) {
	for len(e.ends) > 0 && e.ends[0].Seq <= seen {
		e.recordLocked(Event{Kind: "acknowledged", Task: e.ends[0].Task, Run: e.ends[0].Run, Outcome: e.ends[0].Outcome})
		e.ends = e.ends[1:]
	}
}

func (e *Executor) statusLocked() invoker.PollResponse {
	listed := e.ends[:min(len(e.ends), invoker.MaxListedEnds)]
	s := invoker.PollResponse{Incarnation: e.incarnationName(), ClockMillis: e.clockLocked().Milliseconds(), Ends: append([]invoker.End(nil), listed...), MoreEnds: len(listed) < len(e.ends)}
	for _, key := range e.sortedTasksLocked() {
		r := e.runs[key]
		v := invoker.Run{Task: r.task, Run: r.number, Checkpoint: r.checkpoint(), Progress: 100, Measure: r.payload.TailMillis}
		if runTime := r.payload.RunMillis; runTime > 0 {
			v.Progress = int(100 * r.progress.Milliseconds() / runTime)
		}
		s.Runs = append(s.Runs, v)
	}
	return s
}
