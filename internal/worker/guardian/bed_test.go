package guardian

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

const (
	testLimit = 5 * time.Second
	jobID     = "00000000000004d2"
)

var oneCore = specifier.Resources{CPUMillis: 1000, MemoryMB: 100}

func taskID(index int) specifier.TaskID { return specifier.TaskID{Job: jobID, Index: index} }

// fakeWorker answers as told and notes what it was asked.
type fakeWorker struct {
	mu          sync.Mutex
	life        string
	epoch       int64
	runs        map[accountant.RunKey]bool
	ends        []SeenEnd
	starts      []StartCall
	stops       []StopCall
	leases      []time.Duration
	silent      bool // calls get no answer
	absent      bool // looks find no process
	deaf        int  // so many starts get no answer
	deafToPaces int  // so many paces get no answer
	idleStops   int  // so many stops are answered and have no effect
	refusePaces int  // so many paces are refused, for the reason that follows
	refusal     RefusalReason
	paces       []int // that were answered
	eager       bool  // looks wait for nothing while ends are listed, as real workers do
	idle        bool  // looks wait as long as they may, since nothing ends
	begin       time.Time
}

func newFakeWorker() *fakeWorker {
	return &fakeWorker{life: "life-1", runs: make(map[accountant.RunKey]bool), begin: time.Now()}
}

var errNoAnswer = errors.New("no answer")

func (f *fakeWorker) calls() Worker {
	return Worker{Start: f.start, Stop: f.stop, Pace: f.pace, Look: f.look}
}

func (f *fakeWorker) start(_ context.Context, c StartCall) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, c)
	if f.silent || f.deaf > 0 {
		f.deaf--
		return errNoAnswer
	}
	if c.Epoch < f.epoch {
		return ErrRefused{RefusedEpoch}
	}
	f.epoch = c.Epoch
	f.runs[accountant.RunKey{Task: c.Task, Number: c.Run}] = true
	return nil
}

func (f *fakeWorker) pace(_ context.Context, c PaceCall) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.deafToPaces > 0 {
		f.deafToPaces--
		return errNoAnswer
	}
	if f.refusePaces > 0 {
		f.refusePaces--
		return ErrRefused{f.refusal}
	}
	f.paces = append(f.paces, c.Percent)
	return nil
}

func (f *fakeWorker) stop(_ context.Context, c StopCall) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops = append(f.stops, c)
	if f.silent || f.absent {
		return errNoAnswer
	}
	if f.idleStops > 0 {
		f.idleStops--
		return nil
	}
	delete(f.runs, accountant.RunKey{Task: c.Task, Number: c.Run})
	return nil
}

func (f *fakeWorker) look(ctx context.Context, c LookCall) (Look, error) {
	select {
	case <-ctx.Done():
		return Look{}, ctx.Err()
	case <-time.After(f.waitFor(c)):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.absent {
		return Look{}, ErrWorkerNotExist{errNoAnswer}
	}
	if f.silent {
		return Look{}, errNoAnswer
	}
	if c.Epoch < f.epoch {
		return Look{}, ErrRefused{RefusedEpoch}
	}
	f.epoch = c.Epoch
	f.leases = append(f.leases, c.LeaseUntil)
	l := Look{Life: f.life, Clock: time.Since(f.begin)}
	for key := range f.runs {
		l.Runs = append(l.Runs, SeenRun{Task: key.Task, Run: key.Number})
	}
	for _, e := range f.ends {
		if e.Seq > c.Seen {
			l.Ends = append(l.Ends, e)
		}
	}
	return l, nil
}

func (f *fakeWorker) waitFor(c LookCall) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.idle {
		return c.Wait
	}
	if f.eager && len(f.ends) > 0 && f.ends[len(f.ends)-1].Seq > c.Seen {
		return 0
	}
	return min(c.Wait, 20*time.Millisecond)
}

func (f *fakeWorker) change(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

// bed is a guardian over a fake worker, with the test as its owner.
type bed struct {
	t      *testing.T
	worker *fakeWorker
	g      *Guardian
	seq    int64
	sess   int64
}

func newBed(t *testing.T, worker *fakeWorker) *bed {
	t.Helper()
	return newBedWith(t, worker, func(*Worker) {})
}

// newBedWith is newBed with calls of the worker that are changed first.
func newBedWith(t *testing.T, worker *fakeWorker, change func(w *Worker)) *bed {
	t.Helper()
	calls := worker.calls()
	change(&calls)
	b := &bed{t: t, worker: worker}
	b.g = New(Config{
		VM: "vm-1", Worker: calls, LeaseMax: time.Second, StopTime: 50 * time.Millisecond, Reporter: reporter.Discard(), Now: time.Now,
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- b.g.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	b.announce(false)
	return b
}

func (b *bed) announce(leaving bool) {
	b.g.Announce(Announcement{Life: b.worker.life, Zone: "z", Capacity: specifier.Resources{CPUMillis: 2000, MemoryMB: 1000}, Leaving: leaving})
}

// report waits for a report.
func (b *bed) report() messenger.WorkReport {
	b.t.Helper()
	var rep messenger.WorkReport
	b.until("a report", func() bool {
		var ok bool
		rep, ok = b.g.Report(b.sess)
		return ok
	})
	return rep
}

// own makes the test the owner of an epoch, with a grant.
func (b *bed) own(epoch int64) {
	b.t.Helper()
	b.g.Follow(epoch)
	b.sess = b.g.BeginSession()
	b.grant(epoch, time.Minute)
}

func (b *bed) grant(epoch int64, d time.Duration) {
	b.t.Helper()
	rep := b.report()
	if !b.g.Granted(time.Now(), rep.Life, messenger.WorkReply{Epoch: epoch, GrantMillis: d.Milliseconds()}) {
		b.t.Fatal("the grant was refused")
	}
}

func (b *bed) order(epoch int64, kind messenger.WorkOrderKind, index int, run int64) {
	b.seq++
	_ = b.g.Obey(messenger.WorkOrders{Epoch: epoch, Session: b.sess, Life: b.worker.life, Orders: []messenger.WorkOrder{{
		Seq: b.seq, Kind: kind, Task: taskID(index).String(), Run: run, Needs: oneCore,
	}}})
}

func (b *bed) until(what string, ok func() bool) {
	b.t.Helper()
	deadline := time.Now().Add(testLimit)
	for !ok() {
		if time.Now().After(deadline) {
			b.t.Fatalf("no %s within %s", what, testLimit)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (b *bed) confirmed() int {
	n := 0
	for _, r := range b.report().Runs {
		if r.Confirmed {
			n++
		}
	}
	return n
}
