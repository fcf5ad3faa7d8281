package guardian

import (
	"context"
	"testing"
	"time"

	"bamboospread/internal/wire/messenger"
)

// noAnswer is an order that gets no answer and takes the time that calls may.
func noAnswer(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a task that waits behind a stop that nobody answers: its start was not
// answered either, and the worker refuses it once its time is over.
func TestAnUnansweredStartHoldsItsTaskUntilItIsVoid(t *testing.T) {
	tests := []struct {
		name   string
		clock  func(time.Duration) time.Duration // of the worker
		listed bool                              // long after the start was sent
	}{
		{"the worker's clock runs", func(d time.Duration) time.Duration { return d }, false},
		{"it was suspended", func(time.Duration) time.Duration { return time.Second }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			worker := newFakeWorker()
			begin := time.Now()
			b := newBedWith(t, worker, func(w *Worker) {
				w.Start = func(ctx context.Context, _ StartCall) error { return noAnswer(ctx) }
				w.Stop = func(ctx context.Context, _ StopCall) error { return noAnswer(ctx) }
				w.Look = func(ctx context.Context, c LookCall) (Look, error) {
					l, err := worker.look(ctx, c)
					l.Clock = tt.clock(time.Since(begin))
					return l, err
				}
			})
			b.own(1)
			b.order(1, messenger.WorkStart, 0, 1)
			for from := time.Now(); time.Since(from) < startLife; time.Sleep(10 * time.Millisecond) {
				if len(b.report().Runs) != 1 {
					t.Fatalf("not listed %s after the order", time.Since(from))
				}
			}
			time.Sleep(lookWait)
			if got := len(b.report().Runs) == 1; got != tt.listed {
				t.Errorf("listed %t, want %t", got, tt.listed)
			}
		})
	}
}

// Guards against a late start that is carried out though its task runs elsewhere: each start
// names the life of the worker that it is meant for and the time after which it is void.
func TestAStartIsBounded(t *testing.T) {
	worker := newFakeWorker()
	b := newBed(t, worker)
	b.own(1)
	b.order(1, messenger.WorkStart, 0, 1)
	b.until("a run", func() bool { return b.confirmed() == 1 })
	worker.change(func() {
		c := worker.starts[0]
		if bound := time.Since(worker.begin) + startLife; c.Life != "life-1" || c.Until <= 0 || c.Until > bound {
			t.Errorf("start for life %q until %s, want life-1 and %s at most", c.Life, c.Until, bound)
		}
	})
}

// Guards against tasks that wait for a worker that is gone: what it had not carried out ended
// with it. Only a start that was still on its way may have come to the next life.
func TestWhichUnansweredStartsAreListedInTheNextLife(t *testing.T) {
	tests := []struct {
		name   string
		before bool // it was given up before the worker last answered
		listed int
	}{
		{"given up before", true, 0},
		{"on its way", false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			worker := newFakeWorker()
			b := newBedWith(t, worker, func(w *Worker) {
				w.Start = func(ctx context.Context, _ StartCall) error {
					if tt.before {
						return errNoAnswer
					}
					return noAnswer(ctx)
				}
				w.Stop = func(ctx context.Context, _ StopCall) error { return noAnswer(ctx) }
				w.Look = func(ctx context.Context, c LookCall) (Look, error) {
					l, err := worker.look(ctx, c)
					if l.Life == "life-2" {
						l.Clock += time.Hour // tells nothing of a bound on the clock of life-1
					}
					return l, err
				}
			})
			b.own(1)
			b.order(1, messenger.WorkStart, 0, 1)
			b.until("the start", func() bool { return len(b.report().Runs) == 1 })
			time.Sleep(2 * lookPause) // a look is answered meanwhile
			worker.change(func() { worker.life, worker.epoch = "life-2", 0 })
			b.until("a report of the next life", func() bool { return b.report().Life == "life-2" })
			time.Sleep(4 * lookPause) // looks are answered meanwhile
			if got := len(b.report().Runs); got != tt.listed {
				t.Errorf("%d runs are listed, want %d", got, tt.listed)
			}
		})
	}
}

// Guards against an owner that books, and waits for, a run that only an earlier process of the
// agent had in doubt.
func TestDoubtsOfAnEarlierProcessAreNotListed(t *testing.T) {
	worker := newFakeWorker()
	stops := make(chan StopCall, 10)
	b := newBedWith(t, worker, func(w *Worker) {
		w.Stop = func(ctx context.Context, c StopCall) error {
			stops <- c
			return noAnswer(ctx)
		}
	})
	b.g.Follow(1)
	b.sess = b.g.BeginSession()
	rep := b.report()
	b.g.Granted(time.Now(), rep.Life, messenger.WorkReply{Epoch: 1, GrantMillis: time.Minute.Milliseconds(), Doubts: []messenger.WorkDoubt{
		{Task: taskID(0).String(), Run: 7, AgeMillis: 1000},
	}})
	if c := <-stops; c.Run != 7 {
		t.Errorf("stopped %+v", c)
	}
	if rep := b.report(); len(rep.Runs) != 0 || len(rep.Doubts) != 1 {
		t.Errorf("reported runs %+v and doubts %+v", rep.Runs, rep.Doubts)
	}
}

// Guards against a run that lapses at once: the look that waits was sent before there was a
// grant, and a start by itself gives a lease for as long as it may take only.
func TestALeaseIsAskedForOnceThereIsAGrant(t *testing.T) {
	worker := newFakeWorker()
	worker.idle = true
	asked := make(chan LookCall, 100)
	b := newBedWith(t, worker, func(w *Worker) {
		w.Look = func(ctx context.Context, c LookCall) (Look, error) {
			asked <- c
			return worker.look(ctx, c)
		}
	})
	b.g.Follow(1)
	b.sess = b.g.BeginSession()
	b.report()
	b.until("a look that waits", func() bool { return (<-asked).Wait == lookIdle })
	b.grant(1, time.Minute)
	select {
	case c := <-asked:
		if c.LeaseUntil <= 0 {
			t.Errorf("asked %+v after the grant, want a lease", c)
		}
	case <-time.After(lookIdle / 2):
		t.Error("no lease was asked for")
	}
}

// Guards against a task that waits for good for a start that nobody answered, at a worker that
// is gone: it is released with the worker's leases, and not before the start is void.
func TestAnUnansweredStartIsReleasedOnceASilentWorkerIsGivenUp(t *testing.T) {
	tests := []struct {
		name   string
		change func(f *fakeWorker)
		least  time.Duration // from the start
		most   time.Duration
	}{
		{"no process", func(f *fakeWorker) { f.absent = true }, startLife, 2 * startLife},
		{"no answer", func(f *fakeWorker) { f.silent = true }, startLife, 3 * time.Second}, // leases are a second here
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			worker := newFakeWorker()
			b := newBedWith(t, worker, func(w *Worker) {
				w.Stop = func(context.Context, StopCall) error { return errNoAnswer }
			})
			b.own(1)
			worker.change(func() { worker.deaf = 1000; tt.change(worker) })
			from := time.Now()
			b.order(1, messenger.WorkStart, 0, 1)
			b.until("the run", func() bool { return len(b.report().Runs) == 1 })
			b.until("an end of the run", func() bool { return len(b.report().Runs) == 0 })
			if took := time.Since(from); took < tt.least || took > tt.most {
				t.Errorf("released after %s, want %s to %s", took, tt.least, tt.most)
			}
		})
	}
}
