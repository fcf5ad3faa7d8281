package guardian

import (
	"context"
	"testing"
	"time"

	"bamboospread/internal/wire/messenger"
)

// Guards against an owner that cannot see which runs are being stopped.
func TestReportsShowWhichRunsAreStopping(t *testing.T) {
	worker := newFakeWorker()
	e := newTestEnvWith(t, worker, func(w *Worker) {
		w.Stop = func(context.Context, StopCall) error { return errNoAnswer }
	})
	e.own(1)
	e.order(1, messenger.WorkStart, 0, 1)
	e.order(1, messenger.WorkStart, 1, 1)
	e.until("two runs", func() bool { return e.confirmed() == 2 })
	e.order(1, messenger.WorkStop, 0, 1)
	for _, r := range e.report().Runs {
		if want := r.Task == taskID(0).String(); r.Stopping != want {
			t.Errorf("%s is reported as stopping: %t", r.Task, r.Stopping)
		}
	}
}

// Guards against repeated stops of a run that the worker is already stopping.
func TestSlowStopIsNotRepeated(t *testing.T) {
	worker := newFakeWorker()
	stops := 0
	e := newTestEnvWith(t, worker, func(w *Worker) {
		w.Stop = func(ctx context.Context, c StopCall) error {
			worker.withLock(func() { stops++ })
			time.AfterFunc(300*time.Millisecond, func() { _ = worker.stop(ctx, c) })
			return nil
		}
	})
	e.own(1)
	e.order(1, messenger.WorkStart, 0, 1)
	e.until("a run", func() bool { return e.confirmed() == 1 })
	e.order(1, messenger.WorkStop, 0, 1)
	e.until("an end of the run", func() bool { return len(e.report().Runs) == 0 })
	worker.withLock(func() {
		if stops != 1 {
			t.Errorf("the worker got %d stops, want 1", stops)
		}
	})
}
