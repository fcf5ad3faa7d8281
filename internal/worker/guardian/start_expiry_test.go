package guardian

import (
	"context"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/wire/messenger"
)

// noAnswer blocks until the call times out.
func noAnswer(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a task that is blocked by a stop without an answer. Its start was not
// answered either, and the worker refuses the start once it has expired.
func TestUnansweredStartBlocksItsTaskUntilItExpires(t *testing.T) {
	tests := []struct {
		name   string
		clock  func(time.Duration) time.Duration // of the worker
		listed bool                              // long after the start was sent
	}{
		{"running clock", func(d time.Duration) time.Duration { return d }, false},
		{"suspended worker", func(time.Duration) time.Duration { return time.Second }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			worker := newFakeWorker()
			begin := time.Now()
			e := newTestEnvWith(t, worker, func(w *Worker) {
				w.Start = func(ctx context.Context, _ StartCall) error { return noAnswer(ctx) }
				w.Stop = func(ctx context.Context, _ StopCall) error { return noAnswer(ctx) }
				w.Poll = func(ctx context.Context, c PollCall) (Status, error) {
					status, err := worker.poll(ctx, c)
					status.Clock = tt.clock(time.Since(begin))
					return status, err
				}
			})
			e.own(1)
			e.order(1, messenger.WorkStart, 0, 1)
			for from := time.Now(); time.Since(from) < startValidity; time.Sleep(10 * time.Millisecond) {
				if len(e.report().Runs) != 1 {
					t.Fatalf("not listed %s after the order", time.Since(from))
				}
			}
			time.Sleep(pollWait)
			if got := len(e.report().Runs) == 1; got != tt.listed {
				t.Errorf("listed %t, want %t", got, tt.listed)
			}
		})
	}
}

// Guards against a late start that is carried out although its task runs elsewhere: each
// start names the incarnation of the worker that it is meant for and the time at which it
// expires.
func TestStartNamesIncarnationAndExpiry(t *testing.T) {
	worker := newFakeWorker()
	e := newTestEnv(t, worker)
	e.own(1)
	e.order(1, messenger.WorkStart, 0, 1)
	e.until("a run", func() bool { return e.confirmed() == 1 })
	worker.withLock(func() {
		c := worker.starts[0]
		if bound := time.Since(worker.startedAt) + startValidity; c.Incarnation != "incarnation-1" || c.Until <= 0 || c.Until > bound {
			t.Errorf("start for incarnation %q until %s, want incarnation-1 and %s at most", c.Incarnation, c.Until, bound)
		}
	})
}

// polledAfterStart reports whether a poll was answered that was sent after the start of the only
// run, and, if callEnded is set, after its call was given up.
func (e *testEnv) polledAfterStart(callEnded bool) bool {
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	for _, r := range e.g.runs {
		after := r.sentAt
		if callEnded {
			after = r.startCallEndedAt
		}
		return !after.IsZero() && after.Before(e.g.lastPollSentAt)
	}
	return false
}

// Guards against tasks that wait for a lost incarnation: starts that it had not carried out
// ended with it. Only a start that was still on its way may have reached the next
// incarnation.
func TestUnansweredStartsListedInNextIncarnation(t *testing.T) {
	tests := []struct {
		name   string
		before bool // the call was given up before the worker last answered
		listed int
	}{
		{"given up before the last poll", true, 0},
		{"on its way", false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			worker := newFakeWorker()
			e := newTestEnvWith(t, worker, func(w *Worker) {
				w.Start = func(ctx context.Context, _ StartCall) error {
					if tt.before {
						return errNoAnswer
					}
					return noAnswer(ctx)
				}
				w.Stop = func(ctx context.Context, _ StopCall) error { return noAnswer(ctx) }
				w.Poll = func(ctx context.Context, c PollCall) (Status, error) {
					status, err := worker.poll(ctx, c)
					if status.Incarnation == "incarnation-2" {
						status.Clock += time.Hour // unrelated to an expiry on the clock of incarnation-1
					}
					return status, err
				}
			})
			e.own(1)
			e.order(1, messenger.WorkStart, 0, 1)
			e.until("the start", func() bool { return len(e.report().Runs) == 1 })
			e.until("an answer to a poll sent after the start", func() bool { return e.polledAfterStart(tt.before) })
			worker.withLock(func() { worker.incarnation, worker.fence = "incarnation-2", Fence{} })
			e.until("report of the next incarnation", func() bool { return e.report().Incarnation == "incarnation-2" })
			time.Sleep(4 * pollRetryPause) // polls are answered in this time
			if got := len(e.report().Runs); got != tt.listed {
				t.Errorf("%d runs are listed, want %d", got, tt.listed)
			}
		})
	}
}

// Guards against an owner that reserves capacity, and waits, for an unconfirmed start that
// only an earlier agent process has sent.
func TestUnconfirmedStartsOfEarlierProcessAreNotListed(t *testing.T) {
	worker := newFakeWorker()
	stops := make(chan StopCall, 10)
	e := newTestEnvWith(t, worker, func(w *Worker) {
		w.Stop = func(ctx context.Context, c StopCall) error {
			stops <- c
			return noAnswer(ctx)
		}
	})
	e.g.Follow(1)
	e.session = e.g.BeginSession()
	rep := e.report()
	e.g.ApplyReply(time.Now(), rep.Incarnation, messenger.WorkReply{Epoch: 1, GrantMillis: time.Minute.Milliseconds(), UnconfirmedStarts: []messenger.WorkUnconfirmedStart{
		{Task: taskID(0).String(), Run: 7, AgeMillis: 1000},
	}})
	if c := <-stops; c.Run != 7 {
		t.Errorf("stopped %+v", c)
	}
	if rep := e.report(); len(rep.Runs) != 0 || len(rep.UnconfirmedStarts) != 1 {
		t.Errorf("reported runs %+v and unconfirmed starts %+v", rep.Runs, rep.UnconfirmedStarts)
	}
}

// Guards against a run whose lease expires immediately: the poll in progress was sent before
// there was a grant, and a start on its own gives a lease only for as long as the start is
// valid.
func TestLeaseIsRequestedOnceGranted(t *testing.T) {
	worker := newFakeWorker()
	worker.waitsFully = true
	asked := make(chan PollCall, 100)
	e := newTestEnvWith(t, worker, func(w *Worker) {
		w.Poll = func(ctx context.Context, c PollCall) (Status, error) {
			asked <- c
			return worker.poll(ctx, c)
		}
	})
	e.g.Follow(1)
	e.session = e.g.BeginSession()
	e.report()
	e.until("poll in progress", func() bool {
		c := <-asked
		return c.Fence.Epoch == 1 && c.Wait == pollWaitIdle
	})
	e.grant(1, time.Minute)
	select {
	case c := <-asked:
		if c.LeaseUntil <= 0 {
			t.Errorf("polled with %+v after the grant, want a lease", c)
		}
	case <-time.After(pollWaitIdle / 2):
		t.Error("no lease was requested")
	}
}

// Guards against a task that waits forever for an unanswered start on a lost worker: the task
// is released with the worker's leases, and not before the start has expired.
func TestUnansweredStartIsReleasedOnceWorkerIsGivenUp(t *testing.T) {
	tests := []struct {
		name   string
		change func(f *fakeWorker)
		least  time.Duration // since the start
		most   time.Duration
	}{
		{"process ended", func(f *fakeWorker) { f.ended = true }, startValidity, 2 * startValidity},
		{"unreachable", func(f *fakeWorker) { f.unreachable = true }, startValidity, 3 * time.Second},
		{"no answer", func(f *fakeWorker) { f.unresponsive = true }, startValidity, 3 * time.Second}, // leases last a second here
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			worker := newFakeWorker()
			e := newTestEnvWith(t, worker, func(w *Worker) {
				w.Stop = func(context.Context, StopCall) error { return errNoAnswer }
			})
			e.own(1)
			worker.withLock(func() { worker.lostStarts = 1000; tt.change(worker) })
			from := time.Now()
			e.order(1, messenger.WorkStart, 0, 1)
			e.until("the run", func() bool { return len(e.report().Runs) == 1 })
			e.until("an end of the run", func() bool { return len(e.report().Runs) == 0 })
			if took := time.Since(from); took < tt.least || took > tt.most {
				t.Errorf("released after %s, want %s to %s", took, tt.least, tt.most)
			}
		})
	}
}

// Guards against a task that waits for a start that was never sent: no process listened at the
// worker's address, and the start was kept as unconfirmed, to be stopped in each later incarnation.
func TestStartThatFoundNoWorkerIsNotUnconfirmed(t *testing.T) {
	worker := newFakeWorker()
	e := newTestEnvWith(t, worker, func(w *Worker) {
		w.Start = func(context.Context, StartCall) error { return ErrWorkerUnreachable{errNoAnswer} }
	})
	e.own(1)
	e.order(1, messenger.WorkStart, 0, 1)
	e.until("the end of the attempts", func() bool { return len(e.report().Runs) == 0 })
	if rep := e.report(); len(rep.UnconfirmedStarts) != 0 {
		t.Errorf("unconfirmed: %+v", rep.UnconfirmedStarts)
	}
	worker.withLock(func() {
		if len(worker.stops) != 0 {
			t.Errorf("%d stops for a start that was not sent", len(worker.stops))
		}
	})
}

// Guards against a question that changes state: whether an order can be carried out must not extend
// the time for which the runs of a worker that stops answering count as running.
func TestRejectedStartDoesNotExtendLeases(t *testing.T) {
	e := newTestEnv(t, newFakeWorker())
	e.own(1)
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	e.g.config.LeaseMax = time.Hour
	before := e.g.leaseEnd
	if reason := e.g.rejectReasonLocked(messenger.WorkOrder{Needs: specifier.Resources{CPUMillis: 1 << 40}}); reason == "" {
		t.Fatal("the order is not rejected")
	}
	if e.g.leaseEnd != before {
		t.Errorf("the leases end %s later", e.g.leaseEnd.Sub(before))
	}
}
