package guardian

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

const (
	testLimit = 5 * time.Second
	jobID     = "00000000000004d2"
)

var oneCore = specifier.Resources{CPUMillis: 1000, MemoryMB: 100}

func taskID(index int) specifier.TaskID { return specifier.TaskID{Job: jobID, Index: index} }

// fakeWorker is a worker with scripted answers that records the calls it gets.
type fakeWorker struct {
	mu                sync.Mutex
	incarnation       string
	fence             Fence // the highest one seen
	runs              map[tracker.RunKey]bool
	ends              []ListedEnd
	starts            []StartCall
	stops             []StopCall
	leases            []time.Duration
	unresponsive      bool // calls get no answer
	unreachable       bool // polls fail with ErrWorkerUnreachable
	ended             bool // polls fail with ErrWorkerEnded
	checksIncarnation bool // refuses polls that are meant for another incarnation
	lostStarts        int  // number of starts that get no answer and have no effect
	lostPaces         int  // number of paces that get no answer and have no effect
	ignoredStops      int  // number of stops that are answered and have no effect
	refusedPaces      int  // number of paces refused with the reason below
	refusal           RefusalReason
	paces             []int // that were applied
	listedEnds        int   // of an answer at most; 0: all
	reportsEndsAtOnce bool  // polls return immediately while ends are listed, as real workers do
	waitsFully        bool  // polls last their whole wait, as if nothing ended
	startedAt         time.Time
}

func newFakeWorker() *fakeWorker {
	return &fakeWorker{incarnation: "incarnation-1", runs: make(map[tracker.RunKey]bool), startedAt: time.Now()}
}

var errNoAnswer = errors.New("no answer")

// refuses reports whether a call is below the highest fence seen.
func (f *fakeWorker) refuses(c Fence) bool {
	return cmp.Or(cmp.Compare(c.Epoch, f.fence.Epoch), cmp.Compare(c.Generation, f.fence.Generation)) < 0
}

func (f *fakeWorker) calls() Worker {
	return Worker{Start: f.start, Stop: f.stop, Pace: f.pace, Poll: f.poll}
}

func (f *fakeWorker) start(_ context.Context, c StartCall) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, c)
	if f.unresponsive || f.lostStarts > 0 {
		f.lostStarts--
		return errNoAnswer
	}
	if f.refuses(c.Fence) {
		return ErrRefused{RefusedEpoch}
	}
	f.fence = c.Fence
	f.runs[tracker.RunKey{Task: c.Task, Number: c.Run}] = true
	return nil
}

func (f *fakeWorker) pace(_ context.Context, c PaceCall) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostPaces > 0 {
		f.lostPaces--
		return errNoAnswer
	}
	if f.refusedPaces > 0 {
		f.refusedPaces--
		return ErrRefused{f.refusal}
	}
	f.paces = append(f.paces, c.Percent)
	return nil
}

func (f *fakeWorker) stop(_ context.Context, c StopCall) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops = append(f.stops, c)
	if f.unresponsive || f.unreachable || f.ended {
		return errNoAnswer
	}
	if f.ignoredStops > 0 {
		f.ignoredStops--
		return nil
	}
	delete(f.runs, tracker.RunKey{Task: c.Task, Number: c.Run})
	return nil
}

func (f *fakeWorker) poll(ctx context.Context, c PollCall) (Status, error) {
	select {
	case <-ctx.Done():
		return Status{}, ctx.Err()
	case <-time.After(f.waitFor(c)):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return Status{}, ErrWorkerEnded{Incarnation: f.incarnation, Cause: ErrWorkerUnreachable{errNoAnswer}}
	}
	if f.unreachable {
		return Status{}, ErrWorkerUnreachable{errNoAnswer}
	}
	if f.unresponsive {
		return Status{}, errNoAnswer
	}
	if f.checksIncarnation && c.Incarnation != f.incarnation {
		return Status{}, ErrRefused{RefusedIncarnation}
	}
	if f.refuses(c.Fence) {
		return Status{}, ErrRefused{RefusedEpoch}
	}
	f.fence = c.Fence
	f.leases = append(f.leases, c.LeaseUntil)
	status := Status{Incarnation: f.incarnation, Clock: time.Since(f.startedAt)}
	for key := range f.runs {
		status.Runs = append(status.Runs, ListedRun{Task: key.Task, Run: key.Number})
	}
	for len(f.ends) > 0 && f.ends[0].Seq <= c.EndsSeen {
		f.ends = f.ends[1:]
	}
	status.Ends = append(status.Ends, f.ends...)
	if f.listedEnds > 0 {
		status.MoreEnds = len(status.Ends) >= f.listedEnds
		status.Ends = status.Ends[:min(len(status.Ends), f.listedEnds)]
	}
	return status, nil
}

func (f *fakeWorker) waitFor(c PollCall) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waitsFully {
		return c.Wait
	}
	if f.reportsEndsAtOnce && len(f.ends) > 0 && f.ends[len(f.ends)-1].Seq > c.EndsSeen {
		return 0
	}
	return min(c.Wait, 20*time.Millisecond)
}

func (f *fakeWorker) withLock(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

// testEnv is a guardian over a fake worker; the test acts as its owner.
type testEnv struct {
	t       *testing.T
	worker  *fakeWorker
	g       *Guardian
	seq     int64
	session int64
}

func newTestEnv(t *testing.T, worker *fakeWorker) *testEnv {
	t.Helper()
	return newTestEnvWith(t, worker, func(*Worker) {})
}

// newTestEnvWith is newTestEnv with some calls of the worker replaced.
func newTestEnvWith(t *testing.T, worker *fakeWorker, change func(w *Worker)) *testEnv {
	t.Helper()
	calls := worker.calls()
	change(&calls)
	e := &testEnv{t: t, worker: worker}
	e.g = New(Config{
		VM: "vm-1", Worker: calls, LeaseMax: time.Second, StopTime: 50 * time.Millisecond, Reporter: reporter.Discard(), Now: time.Now,
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.g.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	e.announce(false)
	return e
}

func (e *testEnv) announce(leaving bool) {
	e.g.Announce(Announcement{Incarnation: e.worker.incarnation, Zone: "z", Capacity: specifier.Resources{CPUMillis: 2000, MemoryMB: 1000}, Leaving: leaving})
}

// report waits until the guardian can report and returns the report.
func (e *testEnv) report() messenger.WorkReport {
	e.t.Helper()
	var rep messenger.WorkReport
	e.until("a report", func() bool {
		var ok bool
		rep, ok = e.g.Report(e.session)
		return ok
	})
	return rep
}

// own makes the test the owner with this epoch and grants lease time.
func (e *testEnv) own(epoch int64) {
	e.t.Helper()
	e.g.Follow(epoch)
	e.session = e.g.BeginSession()
	e.grant(epoch, time.Minute)
}

func (e *testEnv) grant(epoch int64, d time.Duration) {
	e.t.Helper()
	rep := e.report()
	if !e.g.ApplyReply(time.Now(), rep.Incarnation, messenger.WorkReply{Epoch: epoch, GrantMillis: d.Milliseconds()}) {
		e.t.Fatal("the grant was refused")
	}
}

func (e *testEnv) order(epoch int64, kind messenger.WorkOrderKind, index int, run int64) {
	e.seq++
	_ = e.g.Execute(messenger.WorkOrders{Epoch: epoch, Session: e.session, Incarnation: e.worker.incarnation, Orders: []messenger.WorkOrder{{
		Seq: e.seq, Kind: kind, Task: taskID(index).String(), Run: run, Needs: oneCore,
	}}})
}

func (e *testEnv) until(what string, ok func() bool) {
	e.t.Helper()
	deadline := time.Now().Add(testLimit)
	for !ok() {
		if time.Now().After(deadline) {
			e.t.Fatalf("%s: not seen within %s", what, testLimit)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (e *testEnv) confirmed() int {
	n := 0
	for _, r := range e.report().Runs {
		if r.Confirmed {
			n++
		}
	}
	return n
}
