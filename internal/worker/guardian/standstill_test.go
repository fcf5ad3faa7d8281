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
