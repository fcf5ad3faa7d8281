package executor

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/standin/server"
	"bamboospread/internal/worker/guardian"
	"bamboospread/internal/worker/steerer"
)

func (e *Executor) routes() {
	e.mux.HandleFunc("GET "+steerer.PathVM, e.describe)
	handle(e, steerer.PathStart, true, e.startLocked)
	handle(e, steerer.PathStop, true, e.stopLocked)
	handle(e, steerer.PathPace, false, e.paceLocked)
	e.mux.HandleFunc("POST "+steerer.PathLook, e.look)
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

// handle registers an order; do runs with the lock held and tasks up to date. With
// the fault "late" an order that may be late gets no answer and is carried out
// later. Another life of the executor than the one that it names refuses it then, too.
func handle[C any](e *Executor, path string, mayBeLate bool, do func(C) (int, any)) {
	e.mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) {
		var c C
		if !server.ReadJSON(rw, r, &c) {
			return
		}
		carryOutLocked := func() (int, any) {
			if want := r.Header.Get(steerer.HeaderLife); want != "" && want != e.lifeName() {
				return refusal(guardian.RefusedLife)
			}
			e.advanceLocked()
			return do(c)
		}
		e.mu.Lock()
		late := time.Duration(e.faults.LateMillis) * time.Millisecond
		if e.faults.Silent || mayBeLate && late > 0 {
			silent := e.faults.Silent
			e.mu.Unlock()
			if !silent {
				time.AfterFunc(late, func() {
					e.mu.Lock()
					defer e.mu.Unlock()
					carryOutLocked()
				})
			}
			<-r.Context().Done()
			return
		}
		defer e.mu.Unlock()
		status, body := carryOutLocked()
		server.WriteJSON(rw, status, body)
	})
}

func (e *Executor) describe(rw http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	vm := steerer.VM{Life: e.lifeName(), Capacity: e.config.Capacity, Labels: e.config.Labels, Leaving: e.faults.Leaving}
	silent := e.faults.Silent
	e.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	server.WriteJSON(rw, http.StatusOK, vm)
}

// fencedLocked refuses an epoch below the highest one seen.
func (e *Executor) fencedLocked(epoch int64) bool {
	if epoch < e.epoch {
		return true
	}
	e.epoch = epoch
	return false
}

func (e *Executor) leaseLocked(untilMillis int64) {
	until := min(time.Duration(untilMillis)*time.Millisecond, e.clockLocked()+e.config.LeaseMax)
	e.leaseEnd = max(e.leaseEnd, until)
}

func (e *Executor) startLocked(c steerer.Start) (int, any) {
	if e.fencedLocked(c.Epoch) {
		return refusal(guardian.RefusedEpoch)
	}
	e.leaseLocked(c.LeaseMillis)
	r := e.runs[c.Task]
	switch {
	case r != nil && r.number == c.Run:
		return http.StatusOK, struct{}{}
	case c.Run <= e.marks[c.Task] || r != nil && c.Run < r.number:
		return refusal(guardian.RefusedRun)
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
		e.noteLocked(Event{Kind: "end", Task: c.Task, Run: r.number, How: string(accountant.EndLost)})
	}
	r = &run{task: c.Task, number: c.Run, payload: p, pace: 100}
	if ms, ok := strings.CutPrefix(c.Checkpoint, progressPrefix); ok {
		if done, err := strconv.ParseInt(ms, 10, 64); err == nil {
			r.progress = time.Duration(done) * time.Millisecond
		}
	}
	e.runs[c.Task] = r
	e.noteLocked(Event{Kind: "start", Task: c.Task, Run: c.Run, Epoch: c.Epoch, Payload: c.Payload})
	return http.StatusOK, struct{}{}
}

func (e *Executor) stopLocked(c steerer.Stop) (int, any) {
	if e.fencedLocked(c.Epoch) {
		return refusal(guardian.RefusedEpoch)
	}
	e.marks[c.Task] = max(e.marks[c.Task], c.Run)
	if r := e.runs[c.Task]; r != nil && r.number <= c.Run && r.stopAt.IsZero() {
		r.stopAt = e.config.Now().Add(e.config.StopTime)
	}
	return http.StatusOK, struct{}{}
}

func (e *Executor) paceLocked(c steerer.Pace) (int, any) {
	if e.fencedLocked(c.Epoch) {
		return refusal(guardian.RefusedEpoch)
	}
	if r := e.runs[c.Task]; r != nil && r.number == c.Run && c.Percent >= 0 && c.Percent <= 100 {
		r.pace = c.Percent
	}
	return http.StatusOK, struct{}{}
}

// look waits for an end, then lists what runs and what ended.
func (e *Executor) look(rw http.ResponseWriter, r *http.Request) {
	var c steerer.Look
	if !server.ReadJSON(rw, r, &c) {
		return
	}
	e.mu.Lock()
	if e.faults.Silent {
		e.mu.Unlock()
		<-r.Context().Done()
		return
	}
	if e.fencedLocked(c.Epoch) {
		e.mu.Unlock()
		status, body := refusal(guardian.RefusedEpoch)
		server.WriteJSON(rw, status, body)
		return
	}
	e.advanceLocked()
	if c.LeaseMillis > 0 {
		e.leaseLocked(c.LeaseMillis)
	}
	e.forgetLocked(c.Seen)
	if wait := min(time.Duration(c.WaitMillis)*time.Millisecond, maxWait); len(e.ends) == 0 && wait > 0 {
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
	seen := e.seenLocked()
	e.mu.Unlock()
	server.WriteJSON(rw, http.StatusOK, seen)
}

func (e *Executor) forgetLocked(seen int64) {
	for len(e.ends) > 0 && e.ends[0].Seq <= seen {
		e.noteLocked(Event{Kind: "acknowledged", Task: e.ends[0].Task, Run: e.ends[0].Run, How: e.ends[0].How})
		e.ends = e.ends[1:]
	}
}

func (e *Executor) seenLocked() steerer.Seen {
	s := steerer.Seen{Life: e.lifeName(), ClockMillis: e.clockLocked().Milliseconds(), Ends: append([]steerer.End(nil), e.ends...)}
	for _, key := range e.keysLocked() {
		r := e.runs[key]
		v := steerer.Run{Task: r.task, Run: r.number, Checkpoint: r.checkpoint(), Progress: 100, Measure: r.payload.TailMillis}
		if goal := r.payload.RunMillis; goal > 0 {
			v.Progress = int(100 * r.progress.Milliseconds() / goal)
		}
		s.Runs = append(s.Runs, v)
	}
	return s
}
