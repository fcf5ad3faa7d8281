package guardian

import (
	"context"
	"testing"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/wire/messenger"
)

// A task runs twice. A start gets no answer and is carried out seconds later, after
// its task was started elsewhere. So it is listed as long as it may come, and
// stopped, which makes the worker refuse it, before the owner hears that it is gone.
func TestUnansweredStartIsStoppedBeforeItIsGone(t *testing.T) {
	worker := newFakeWorker()
	b := newBed(t, worker)
	b.own(1)
	worker.change(func() { worker.deaf = 1000 })
	b.order(1, messenger.WorkStart, 0, 1)
	if got := b.report().Runs; len(got) != 1 || got[0].Confirmed {
		t.Fatalf("reported %+v while the start may come", got)
	}
	b.until("an end of the doubt", func() bool { return len(b.report().Runs) == 0 })
	worker.change(func() {
		if len(worker.stops) == 0 || worker.stops[0].Run != 1 {
			t.Errorf("gone without a stop: %+v", worker.stops)
		}
	})
}

// The worker begins another life. What it ran is lost, but a start that was not
// answered may still come to the new life: it is stopped there first.
func TestUnansweredStartIsStoppedInTheNextLife(t *testing.T) {
	worker := newFakeWorker()
	b := newBedWith(t, worker, func(w *Worker) {
		w.Start = func(ctx context.Context, c StartCall) error {
			err := worker.start(ctx, c)
			if err != nil {
				<-ctx.Done()
			}
			return err
		}
	})
	b.own(1)
	b.order(1, messenger.WorkStart, 0, 1)
	b.until("a run", func() bool { return b.confirmed() == 1 })
	worker.change(func() { worker.deaf = 1000 })
	b.order(1, messenger.WorkStart, 1, 1)
	worker.change(func() {
		worker.life, worker.runs, worker.epoch = "life-2", make(map[accountant.RunKey]bool), 0
	})
	b.until("reports of the new life without runs", func() bool {
		rep := b.report()
		return rep.Life == "life-2" && len(rep.Runs) == 0
	})
	worker.change(func() {
		if len(worker.stops) != 1 || worker.stops[0].Task != taskID(1) {
			t.Errorf("stopped %+v, want the start that was not answered", worker.stops)
		}
	})
}

// Tasks of a worker that has ended wait for leases that nobody holds any more. When
// no process listens where it was, its runs have ended with it; a worker that only
// gives no answer may still run them. A start that was not answered may come to
// the next life.
func TestRunsOfAWorkerThatEnded(t *testing.T) {
	tests := []struct {
		name   string
		change func(f *fakeWorker)
		left   int
	}{
		{"no process", func(f *fakeWorker) { f.absent = true }, 1},
		{"no answer", func(f *fakeWorker) { f.silent = true }, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			worker := newFakeWorker()
			b := newBed(t, worker)
			b.own(1)
			b.order(1, messenger.WorkStart, 0, 1)
			b.until("a run", func() bool { return b.confirmed() == 1 })
			worker.change(func() { worker.deaf = 1000 })
			b.order(1, messenger.WorkStart, 1, 1)
			worker.change(func() { tt.change(worker) })
			time.Sleep((looksToEnd + 2) * lookPause)
			if got := len(b.report().Runs); got != tt.left {
				t.Errorf("%d runs are listed, want %d", got, tt.left)
			}
		})
	}
}

// A start gets no answer, is stopped, and the worker begins another life, which
// knows nothing of the stop; the start may still come. It is stopped there again.
func TestStoppedStartIsStoppedAgainInTheNextLife(t *testing.T) {
	worker := newFakeWorker()
	b := newBed(t, worker)
	b.own(1)
	worker.change(func() { worker.deaf = 1000 })
	b.order(1, messenger.WorkStart, 0, 1)
	b.until("an end of the doubt", func() bool { return len(b.report().Runs) == 0 })
	worker.change(func() { worker.life, worker.epoch, worker.stops = "life-2", 0, nil })
	b.until("a stop in the next life", func() bool {
		stops := 0
		worker.change(func() { stops = len(worker.stops) })
		return stops == 1
	})
}

// Lasting tasks never run again. Their worker is gone without a word, its agent
// lives on, and each look that gets no answer may have renewed their leases. So a
// silent worker gets no renewal, and its runs end with the lease that it had.
func TestRunsOfASilentWorkerEndWithTheirLease(t *testing.T) {
	worker := newFakeWorker()
	b := newBed(t, worker)
	b.own(1)
	b.order(1, messenger.WorkStart, 0, 1)
	b.until("a run", func() bool { return b.confirmed() == 1 })
	worker.change(func() { worker.silent = true })
	begin := time.Now()
	b.until("an end of the run", func() bool {
		b.grant(1, time.Minute) // the owner is heard all the while
		return len(b.report().Runs) == 0
	})
	if took := time.Since(begin); took < 900*time.Millisecond {
		t.Errorf("the run counts as ended after %s, its lease was longer", took)
	}
}

// Two runs of one task, on two VMs. An agent is killed and back; its worker goes on
// under the lease that the earlier process asked for. The new one looks once and finds
// what runs, and the next look gets no answer before it has asked for a lease of its
// own. It must not take the runs for ended: of the earlier lease it knows only how
// long it can be at most.
func TestRunsOutliveTheirAgentsProcess(t *testing.T) {
	worker := newFakeWorker()
	worker.epoch = 3
	worker.runs[accountant.RunKey{Task: taskID(0), Number: 2001}] = true
	b := newBed(t, worker)
	b.g.Follow(3)
	b.until("the run", func() bool { return len(b.report().Runs) == 1 })
	worker.change(func() { worker.silent = true })
	from := time.Now()
	for time.Since(from) < 700*time.Millisecond {
		if rep := b.report(); len(rep.Runs) != 1 {
			t.Fatalf("%s after the last answer the run counts as ended; leases may be a second long", time.Since(from))
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.until("an end of the run", func() bool { return len(b.report().Runs) == 0 })
}

// An agent is told to stop a run that its earlier process may have sent to the worker.
// It lists the run until the worker has answered the stop, so that the task starts
// nowhere else meanwhile.
func TestStopOfARunThatIsNotKnown(t *testing.T) {
	worker := newFakeWorker()
	b := newBed(t, worker)
	b.own(1)
	worker.change(func() { worker.silent = true })
	b.order(1, messenger.WorkStop, 0, 7)
	if rep := b.report(); len(rep.Runs) != 1 || rep.Runs[0].Run != 7 {
		t.Fatalf("the run is not listed while its stop is not answered: %+v", rep.Runs)
	}
	worker.change(func() { worker.silent = false })
	b.until("an end of the run", func() bool { return len(b.report().Runs) == 0 })
	worker.change(func() {
		if n := len(worker.stops); n == 0 || worker.stops[n-1].Run != 7 {
			t.Errorf("the worker was told to stop %+v", worker.stops)
		}
	})
}

// Guards against a task that runs again after its end was noted: a start is sent again since
// nobody answers, the worker carries one copy out, and another one in its next life.
func TestAStartIsSentOnce(t *testing.T) {
	tests := []struct {
		name  string
		err   error
		sends int
	}{
		{"no answer", errNoAnswer, 1},
		{"no process listens", ErrWorkerNotExist{errNoAnswer}, startTries},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			worker := newFakeWorker()
			sends := 0
			b := newBedWith(t, worker, func(w *Worker) {
				w.Start = func(context.Context, StartCall) error {
					worker.change(func() { sends++ })
					return tt.err
				}
			})
			b.own(1)
			b.order(1, messenger.WorkStart, 0, 1)
			b.until("an end of the run", func() bool { return len(b.report().Runs) == 0 })
			worker.change(func() {
				if sends != tt.sends || len(worker.stops) == 0 {
					t.Errorf("sent %d times and stopped %d times, want %d sends and a stop", sends, len(worker.stops), tt.sends)
				}
			})
		})
	}
}

// Guards against work that is stopped for nothing: the answer to a start is lost, and a look
// shows that the worker has it.
func TestAStartThatALookShowsIsNotStopped(t *testing.T) {
	worker := newFakeWorker()
	b := newBedWith(t, worker, func(w *Worker) {
		w.Start = func(ctx context.Context, c StartCall) error {
			if err := worker.start(ctx, c); err != nil {
				return err
			}
			<-ctx.Done()
			return ctx.Err()
		}
	})
	b.own(1)
	b.order(1, messenger.WorkStart, 0, 1)
	b.until("a run", func() bool { return b.confirmed() == 1 })
	time.Sleep(callLimit + 2*callPause)
	worker.change(func() {
		if len(worker.stops) > 0 {
			t.Errorf("stopped %+v", worker.stops)
		}
	})
	if b.confirmed() != 1 {
		t.Error("the run is gone")
	}
}
