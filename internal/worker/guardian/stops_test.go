package guardian

import (
	"context"
	"testing"
	"time"

	"bamboospread/internal/wire/messenger"
)

// Guards against an owner that cannot know which runs are being stopped.
func TestReportsTellWhichRunsAreBeingStopped(t *testing.T) {
	worker := newFakeWorker()
	b := newBedWith(t, worker, func(w *Worker) {
		w.Stop = func(context.Context, StopCall) error { return errNoAnswer }
	})
	b.own(1)
	b.order(1, messenger.WorkStart, 0, 1)
	b.order(1, messenger.WorkStart, 1, 1)
	b.until("two runs", func() bool { return b.confirmed() == 2 })
	b.order(1, messenger.WorkStop, 0, 1)
	for _, r := range b.report().Runs {
		if want := r.Task == taskID(0).String(); r.Stopping != want {
			t.Errorf("%s is told as being stopped: %t", r.Task, r.Stopping)
		}
	}
}

// Guards against a worker that is asked again and again for a stop that it is carrying out.
func TestAStopThatTakesItsTimeIsNotRepeated(t *testing.T) {
	worker := newFakeWorker()
	stops := 0
	b := newBedWith(t, worker, func(w *Worker) {
		w.Stop = func(ctx context.Context, c StopCall) error {
			worker.change(func() { stops++ })
			time.AfterFunc(300*time.Millisecond, func() { _ = worker.stop(ctx, c) })
			return nil
		}
	})
	b.own(1)
	b.order(1, messenger.WorkStart, 0, 1)
	b.until("a run", func() bool { return b.confirmed() == 1 })
	b.order(1, messenger.WorkStop, 0, 1)
	b.until("an end of the run", func() bool { return len(b.report().Runs) == 0 })
	worker.change(func() {
		if stops != 1 {
			t.Errorf("the worker was asked %d times", stops)
		}
	})
}
