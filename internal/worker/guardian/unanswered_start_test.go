package guardian

import (
	"context"
	"testing"
	"time"

	"bamboospread/internal/job/tracker"
	"bamboospread/internal/wire/messenger"
)

// Guards against a task that runs twice: a start gets no answer and is carried out seconds
// later, after its task was started elsewhere. So the run is listed for as long as the start
// may be carried out, and is stopped, which makes the worker refuse the start, before it is
// reported as ended.
func TestUnansweredStartIsStoppedBeforeItIsDropped(t *testing.T) {
	worker, reported := newFakeWorker(), make(chan struct{})
	e := newTestEnvWith(t, worker, func(w *Worker) {
		w.Stop = func(ctx context.Context, c StopCall) error {
			<-reported // once the stop is answered, the run may be dropped
			return worker.stop(ctx, c)
		}
	})
	e.own(1)
	worker.withLock(func() { worker.lostStarts = 1000 })
	e.order(1, messenger.WorkStart, 0, 1)
	got := e.report().Runs
	close(reported)
	if len(got) != 1 || got[0].Confirmed {
		t.Fatalf("reported %+v while the start may be carried out", got)
	}
	e.until("end of the unconfirmed start", func() bool { return len(e.report().Runs) == 0 })
	worker.withLock(func() {
		if len(worker.stops) == 0 || worker.stops[0].Run != 1 {
			t.Errorf("dropped without a stop: %+v", worker.stops)
		}
	})
}

// The worker has a new incarnation. Its runs are lost, but an unanswered start may still
// reach the new incarnation, where it is stopped first.
func TestUnansweredStartIsStoppedInNextIncarnation(t *testing.T) {
	worker := newFakeWorker()
	e := newTestEnvWith(t, worker, func(w *Worker) {
		w.Start = func(ctx context.Context, c StartCall) error {
			err := worker.start(ctx, c)
			if err != nil {
				<-ctx.Done()
			}
			return err
		}
	})
	e.own(1)
	e.order(1, messenger.WorkStart, 0, 1)
	e.until("a run", func() bool { return e.confirmed() == 1 })
	worker.withLock(func() { worker.lostStarts = 1000 })
	e.order(1, messenger.WorkStart, 1, 1)
	worker.withLock(func() {
		worker.incarnation, worker.runs, worker.fence = "incarnation-2", make(map[tracker.RunKey]bool), Fence{}
	})
	e.until("report of the new incarnation without runs", func() bool {
		rep := e.report()
		return rep.Incarnation == "incarnation-2" && len(rep.Runs) == 0
	})
	worker.withLock(func() {
		if len(worker.stops) != 1 || worker.stops[0].Task != taskID(1) {
			t.Errorf("stopped %+v, want only the unanswered start", worker.stops)
		}
	})
}

// Guards against tasks that wait for the leases of a worker whose process has ended, and against
// tasks that run twice: a worker that does not answer, or refuses connections, may still run them. An
// unanswered start may reach the next incarnation.
func TestRunsOfEndedWorker(t *testing.T) {
	tests := []struct {
		name   string
		change func(f *fakeWorker)
		left   int
	}{
		{"process ended", func(f *fakeWorker) { f.ended = true }, 1},
		{"unreachable", func(f *fakeWorker) { f.unreachable = true }, 2},
		{"no answer", func(f *fakeWorker) { f.unresponsive = true }, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			worker := newFakeWorker()
			e := newTestEnv(t, worker)
			e.own(1)
			e.order(1, messenger.WorkStart, 0, 1)
			e.until("a run", func() bool { return e.confirmed() == 1 })
			worker.withLock(func() { worker.lostStarts = 1000 })
			e.order(1, messenger.WorkStart, 1, 1)
			worker.withLock(func() { tt.change(worker) })
			time.Sleep(6 * pollRetryPause)
			if got := len(e.report().Runs); got != tt.left {
				t.Errorf("%d runs are listed, want %d", got, tt.left)
			}
		})
	}
}

// A start gets no answer and is stopped. The next incarnation of the worker has no record of
// the stop, and the start may still arrive, so it is stopped there again.
func TestStoppedStartIsStoppedAgainInNextIncarnation(t *testing.T) {
	worker := newFakeWorker()
	e := newTestEnv(t, worker)
	e.own(1)
	worker.withLock(func() { worker.lostStarts = 1000 })
	e.order(1, messenger.WorkStart, 0, 1)
	e.until("end of the unconfirmed start", func() bool { return len(e.report().Runs) == 0 })
	worker.withLock(func() { worker.incarnation, worker.fence, worker.stops = "incarnation-2", Fence{}, nil })
	e.until("stop in the next incarnation", func() bool {
		stops := 0
		worker.withLock(func() { stops = len(worker.stops) })
		return stops == 1
	})
}

// Guards against long-running tasks that are never restarted: their worker is lost without
// notice while its agent continues, and each unanswered poll may have renewed their leases.
// So an unresponsive worker gets no renewal, and its runs end with their current lease.
func TestRunsOfUnresponsiveWorkerEndWithTheirLease(t *testing.T) {
	worker := newFakeWorker()
	e := newTestEnv(t, worker)
	e.own(1)
	e.order(1, messenger.WorkStart, 0, 1)
	e.until("a run", func() bool { return e.confirmed() == 1 })
	worker.withLock(func() { worker.unresponsive = true })
	from := time.Now()
	e.until("an end of the run", func() bool {
		e.grant(1, time.Minute) // the owner stays in contact
		return len(e.report().Runs) == 0
	})
	if took := time.Since(from); took < 900*time.Millisecond {
		t.Errorf("the run counts as ended after %s, before the end of its lease", took)
	}
}

// Guards against two runs of one task on two VMs. An agent is restarted; its worker continues
// under the lease that the earlier process requested. The new process sees the run in its
// first poll, and the next poll gets no answer before it has requested a lease of its own. It
// must not treat the runs as ended: of the earlier lease it knows only the maximum length.
func TestRunsSurviveAgentRestart(t *testing.T) {
	worker := newFakeWorker()
	worker.fence.Epoch = 3
	worker.runs[tracker.RunKey{Task: taskID(0), Number: 2001}] = true
	e := newTestEnv(t, worker)
	e.g.Follow(3)
	e.until("the run", func() bool { return len(e.report().Runs) == 1 })
	worker.withLock(func() { worker.unresponsive = true })
	from := time.Now()
	for time.Since(from) < 700*time.Millisecond {
		if rep := e.report(); len(rep.Runs) != 1 {
			t.Fatalf("the run counts as ended %s after the last answer; leases may last a second", time.Since(from))
		}
		time.Sleep(10 * time.Millisecond)
	}
	e.until("an end of the run", func() bool { return len(e.report().Runs) == 0 })
}

// An agent is ordered to stop a run that its earlier process may have sent to the worker. It
// lists the run until the worker has answered the stop, so that the task is not started
// elsewhere in the meantime.
func TestStopOfUnknownRun(t *testing.T) {
	worker := newFakeWorker()
	e := newTestEnv(t, worker)
	e.own(1)
	worker.withLock(func() { worker.unresponsive = true })
	e.order(1, messenger.WorkStop, 0, 7)
	if rep := e.report(); len(rep.Runs) != 1 || rep.Runs[0].Run != 7 {
		t.Fatalf("the run is not listed while its stop is not answered: %+v", rep.Runs)
	}
	worker.withLock(func() { worker.unresponsive = false })
	e.until("an end of the run", func() bool { return len(e.report().Runs) == 0 })
	worker.withLock(func() {
		if n := len(worker.stops); n == 0 || worker.stops[n-1].Run != 7 {
			t.Errorf("the worker got the stops %+v", worker.stops)
		}
	})
}

// Guards against a task that runs again after its end was recorded: an unanswered start is
// sent again, the worker carries out one copy, and its next incarnation another.
func TestStartIsSentOnce(t *testing.T) {
	tests := []struct {
		name    string
		err     error
		sends   int
		stopped bool
	}{
		{"no answer", errNoAnswer, 1, true},
		{"connection refused", ErrWorkerUnreachable{errNoAnswer}, startAttempts, false}, // nothing was sent
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			worker := newFakeWorker()
			sends := 0
			e := newTestEnvWith(t, worker, func(w *Worker) {
				w.Start = func(context.Context, StartCall) error {
					worker.withLock(func() { sends++ })
					return tt.err
				}
			})
			e.own(1)
			e.order(1, messenger.WorkStart, 0, 1)
			e.until("an end of the run", func() bool { return len(e.report().Runs) == 0 })
			worker.withLock(func() {
				if stopped := len(worker.stops) > 0; sends != tt.sends || stopped != tt.stopped {
					t.Errorf("sent %d times and stopped %d times, want %d sends, stopped: %t", sends, len(worker.stops), tt.sends, tt.stopped)
				}
			})
		})
	}
}

// Guards against a run that is stopped needlessly: the answer to a start is lost, and a poll
// shows that the worker has the run.
func TestUnansweredStartFoundByPollIsNotStopped(t *testing.T) {
	worker := newFakeWorker()
	e := newTestEnvWith(t, worker, func(w *Worker) {
		w.Start = func(ctx context.Context, c StartCall) error {
			if err := worker.start(ctx, c); err != nil {
				return err
			}
			<-ctx.Done()
			return ctx.Err()
		}
	})
	e.own(1)
	e.order(1, messenger.WorkStart, 0, 1)
	e.until("a run", func() bool { return e.confirmed() == 1 })
	time.Sleep(callTimeout + 2*callPause)
	worker.withLock(func() {
		if len(worker.stops) > 0 {
			t.Errorf("stopped %+v", worker.stops)
		}
	})
	if e.confirmed() != 1 {
		t.Error("the run was dropped")
	}
}
