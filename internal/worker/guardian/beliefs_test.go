package guardian

import (
	"context"
	"testing"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/wire/messenger"
)

// Guards against two runs of one task: neither the start nor the stop of a run is answered,
// the agent is restarted, and the owner takes the run for one that the worker had and that
// is gone. A run that no look has shown is not confirmed, also while it is being stopped.
func TestAStartWithoutAnAnswerIsNotConfirmedByItsStop(t *testing.T) {
	worker := newFakeWorker()
	worker.deaf = 1000
	b := newBedWith(t, worker, func(w *Worker) {
		w.Stop = func(context.Context, StopCall) error { return errNoAnswer }
	})
	b.own(1)
	b.order(1, messenger.WorkStart, 0, 1)
	var run messenger.WorkRun
	b.until("stop of the start that was not answered", func() bool {
		runs := b.report().Runs
		if len(runs) != 1 {
			return false
		}
		run = runs[0]
		return run.Stopping
	})
	if run.Confirmed {
		t.Errorf("told as confirmed: %+v", run)
	}
}

// Guards against a late start that is carried out in a life of the worker that knows of no
// stop: the stop was answered by the life before, and the answer is read after the change.
func TestAStopThatTheLifeBeforeAnsweredIsRepeated(t *testing.T) {
	worker := newFakeWorker()
	worker.deaf = 1000
	asked, answer := make(chan struct{}, 100), make(chan struct{})
	b := newBedWith(t, worker, func(w *Worker) {
		w.Stop = func(context.Context, StopCall) error {
			asked <- struct{}{}
			<-answer
			return nil
		}
	})
	b.own(1)
	b.order(1, messenger.WorkStart, 0, 1)
	<-asked
	worker.change(func() { worker.life = "life-2" })
	b.announce(false)
	b.until("a report of the new life", func() bool { return b.report().Life == "life-2" })
	close(answer)
	select {
	case <-asked:
	case <-time.After(time.Second):
		t.Errorf("the new life is told of no stop; reported runs: %+v", b.report().Runs)
	}
}

// Guards against an owner that asks for advice, and plans, with what the worker was in its
// life before: another boot has another id and may be of another kind.
func TestFactsOfAnotherLifeAreToldWithinASession(t *testing.T) {
	worker := newFakeWorker()
	b := newBed(t, worker)
	b.own(1)
	worker.change(func() { worker.life = "life-2" })
	b.g.Announce(Announcement{ID: "id-2", Life: "life-2", Zone: "z", Capacity: specifier.Resources{CPUMillis: 4000, MemoryMB: 1000}})
	b.until("a report of the new life", func() bool { return b.report().Life == "life-2" })
	if f := b.report().Facts; f == nil || f.WorkerID != "id-2" || f.Capacity.CPUMillis != 4000 {
		t.Errorf("told %+v", f)
	}
}

// Guards against a filling task that disturbs, or stands still, for good: a pace that was
// not answered is carried out after the one that followed.
func TestAPaceThatIsCarriedOutLateDoesNotStay(t *testing.T) {
	const late = 200 * time.Millisecond
	worker := newFakeWorker()
	first := true
	b := newBedWith(t, worker, func(w *Worker) {
		w.Pace = func(ctx context.Context, c PaceCall) error {
			held := false
			worker.change(func() { held, first = first, false })
			if held {
				time.AfterFunc(late, func() { worker.change(func() { worker.paces = append(worker.paces, c.Percent) }) })
				return errNoAnswer
			}
			return worker.pace(ctx, c)
		}
	})
	b.own(1)
	b.order(1, messenger.WorkStart, 0, 1)
	b.until("a run", func() bool { return b.confirmed() == 1 })
	b.pace(100)
	b.until("a call for the first pace", func() bool {
		called := false
		worker.change(func() { called = !first })
		return called
	})
	b.pace(0)
	time.Sleep(2 * late)
	b.until("the last pace ordered in force", func() bool {
		ok := false
		worker.change(func() { n := len(worker.paces); ok = n > 1 && worker.paces[n-1] == 0 })
		return ok
	})
}

// Guards against two runs of one task after a change of owner: a worker that answers no looks
// still carries out a start of the owner before, which no report to the next one lists.
func TestNoReportOfASilentWorkerToANewOwnerBeforeItsLeasesAreOver(t *testing.T) {
	worker := newFakeWorker()
	b := newBed(t, worker)
	b.own(1)
	b.order(1, messenger.WorkStart, 0, 1)
	b.until("a run", func() bool { return b.confirmed() == 1 })
	worker.change(func() { worker.silent = true })
	b.until("a report of a silent worker", func() bool { return !b.report().Ready })
	b.g.Follow(2)
	if rep, ok := b.g.Report(b.sess); ok {
		t.Fatalf("reported %+v", rep)
	}
	b.until("a report once the leases are over", func() bool {
		rep, ok := b.g.Report(b.sess)
		return ok && len(rep.Runs) == 0
	})
}

func TestASilentWorkerIsReportedToANewOwnerOnceItAnswers(t *testing.T) {
	worker := newFakeWorker()
	b := newBed(t, worker)
	b.own(1)
	worker.change(func() { worker.silent = true })
	b.until("a report of a silent worker", func() bool { return !b.report().Ready })
	b.g.Follow(2)
	worker.change(func() {
		worker.silent = false
		worker.runs[accountant.RunKey{Task: taskID(0), Number: 1}] = true // a late start
	})
	if rep := b.report(); len(rep.Runs) != 1 || !rep.Ready {
		t.Errorf("reported %+v", rep)
	}
}

// Guards against two runs of one task: a start is cut off by its stop before it is answered,
// the worker forgets the stop with its life, and the start is carried out late.
func TestAStartThatIsCutOffByItsStopStaysInDoubt(t *testing.T) {
	worker := newFakeWorker()
	called := make(chan struct{}, 1)
	b := newBedWith(t, worker, func(w *Worker) {
		w.Start = func(ctx context.Context, _ StartCall) error {
			called <- struct{}{}
			<-ctx.Done()
			return ctx.Err()
		}
	})
	b.own(1)
	b.order(1, messenger.WorkStart, 0, 1)
	<-called
	b.order(1, messenger.WorkStop, 0, 1)
	b.until("an end of the run", func() bool { return len(b.report().Runs) == 0 })
	worker.change(func() { worker.life, worker.stops = "life-2", nil })
	b.announce(false)
	b.until("a stop in the new life", func() bool {
		stopped := false
		worker.change(func() { stopped = len(worker.stops) > 0 })
		return stopped
	})
}
