package guardian

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"bamboospread/internal/wire/messenger"
)

// Guards against tasks with two runs for over a second after a worker and its clock stood still: a poll that it may
// answer late shows the runs late, which count as ended, run elsewhere and have to be stopped.
func TestRunsOfReturningWorkerAreSeenAtOnce(t *testing.T) {
	worker := newFakeWorker()
	var waited atomic.Int64 // by polls of the worker while it counts as unresponsive
	var silent atomic.Bool
	e := newTestEnvWith(t, worker, func(w *Worker) {
		poll := w.Poll
		w.Poll = func(ctx context.Context, c PollCall) (Status, error) {
			if silent.Load() {
				waited.Store(max(waited.Load(), int64(c.Wait)))
			}
			return poll(ctx, c)
		}
	})
	e.own(1)
	e.order(1, messenger.WorkStart, 0, 1)
	e.until("the run", func() bool { return e.confirmed() == 1 })
	worker.withLock(func() { worker.unresponsive = true })
	e.until("the worker counts as unresponsive", func() bool { return !e.report().Ready })
	time.Sleep(2 * pollRetryPause) // of the poll that was under way
	silent.Store(true)
	e.until("the run is given up", func() bool { return len(e.report().Runs) == 0 })
	time.Sleep(2 * pollRetryPause)
	silent.Store(false)
	if w := time.Duration(waited.Load()); w > 0 {
		t.Errorf("the worker may take %s to answer once it is back", w)
	}
	worker.withLock(func() { worker.unresponsive, worker.waitsFully = false, true })
	backAt := time.Now()
	e.until("the run is seen again", func() bool { return len(e.report().Runs) == 1 })
	if took := time.Since(backAt); took > pollWait {
		t.Errorf("the run is seen %s after the worker is back", took)
	}
}

// Guards against tasks with two runs for as long as a worker's clock is behind: it keeps runs whose leases have ended
// by all other clocks, and the owner, which starts their tasks elsewhere, is not reached.
func TestRunsThatOutliveTheirLeasesAreStopped(t *testing.T) {
	tests := []struct {
		name     string
		renewals int  // of a grant of half a second
		silent   bool // the worker answers nothing until the leases have ended
	}{
		{"the owner is not reached", 0, false},
		{"the owner is not reached any more", 4, false},
		{"nor does the worker answer", 4, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const grant = time.Second
			worker := newFakeWorker() // ends no run by itself
			e := newTestEnv(t, worker)
			e.g.Follow(1)
			e.session = e.g.BeginSession()
			e.grant(1, grant)
			e.order(1, messenger.WorkStart, 0, 1)
			e.until("the run", func() bool { return e.confirmed() == 1 })
			for range tt.renewals {
				e.grant(1, grant)
				time.Sleep(grant / 4)
			}
			stops := func() (n int) {
				worker.withLock(func() { n = len(worker.stops) })
				return n
			}
			e.grant(1, grant)
			grantedAt := time.Now()
			if stops() > 0 {
				t.Fatal("a run is stopped under a grant that lasts")
			}
			if tt.silent {
				worker.withLock(func() { worker.unresponsive = true })
				e.until("the run is given up", func() bool { return len(e.report().Runs) == 0 })
				worker.withLock(func() { worker.unresponsive = false })
			}
			e.until("its stop", func() bool { return stops() > 0 })
			if after := time.Since(grantedAt); after < grant-10*time.Millisecond {
				t.Errorf("the run is stopped %s after the grant of %s", after, grant)
			}
			e.until("its end", func() bool { return len(e.report().Runs) == 0 })
		})
	}
}
