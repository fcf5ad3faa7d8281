package guardian

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

// logBuffer collects log lines of several goroutines.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *logBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.buffer.String(), text)
}

// logTo makes the guardian write its log to b.
func (e *testEnv) logTo(b *logBuffer) {
	e.t.Helper()
	r, err := reporter.New(reporter.Config{Writer: b, Format: "json", Level: "info", Role: "agent", Name: "agent-1"})
	if err != nil {
		e.t.Fatal(err)
	}
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	e.g.config.Reporter = r
}

// endWorker ends the worker's process.
func (e *testEnv) endWorker() {
	e.worker.withLock(func() {
		e.worker.ended = true
		clear(e.worker.runs)
	})
}

// restartWorker starts another process of the worker.
func (e *testEnv) restartWorker(incarnation string) {
	e.worker.withLock(func() {
		e.worker.ended, e.worker.unreachable, e.worker.unresponsive, e.worker.incarnation, e.worker.fence = false, false, false, incarnation, Fence{}
		clear(e.worker.runs)
	})
}

// Guards against a crash that can't be told from other ends of a worker: "worker crashed" must
// be logged once for each crash, and neither for a worker that leaves nor for one that was out
// of reach.
func TestOnlyCrashesAreLoggedAsCrashes(t *testing.T) {
	tests := []struct {
		name    string
		end     func(e *testEnv)
		crashes int
	}{
		{"process ends", func(e *testEnv) { e.endWorker() }, 1},
		{"process ends and another starts at once", func(e *testEnv) { e.restartWorker("incarnation-2") }, 1},
		{"process ends and another starts later", func(e *testEnv) {
			e.endWorker()
			e.until("no runs", func() bool { return len(e.report().Runs) == 0 })
			e.restartWorker("incarnation-2")
		}, 1},
		{"silent, then another process", func(e *testEnv) {
			e.worker.withLock(func() { e.worker.unresponsive = true })
			e.until("no runs", func() bool { return len(e.report().Runs) == 0 })
			e.restartWorker("incarnation-2")
		}, 1},
		{"out of reach", func(e *testEnv) {
			e.worker.withLock(func() { e.worker.unresponsive = true })
			e.until("no runs", func() bool { return len(e.report().Runs) == 0 })
			e.worker.withLock(func() { e.worker.unresponsive = false })
		}, 0},
		{"unreachable, then another process", func(e *testEnv) {
			e.worker.withLock(func() { e.worker.unreachable = true })
			e.until("no runs", func() bool { return len(e.report().Runs) == 0 })
			e.restartWorker("incarnation-2")
		}, 1},
		{"unreachable", func(e *testEnv) {
			e.worker.withLock(func() { e.worker.unreachable = true })
			time.Sleep(10 * pollRetryPause)
			e.worker.withLock(func() { e.worker.unreachable = false })
		}, 0},
		{"unreachable until its leases have ended", func(e *testEnv) {
			e.worker.withLock(func() { e.worker.unreachable = true })
			e.until("no runs", func() bool { return len(e.report().Runs) == 0 })
			e.worker.withLock(func() { e.worker.unreachable = false })
		}, 0},
		{"leaves", func(e *testEnv) {
			e.announce(true)
			e.endWorker()
			e.until("no runs", func() bool { return len(e.report().Runs) == 0 })
			e.restartWorker("incarnation-2")
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var log logBuffer
			e := newTestEnv(t, newFakeWorker())
			e.logTo(&log)
			e.own(1)
			e.order(1, messenger.WorkStart, 0, 1)
			e.until("a run", func() bool { return e.confirmed() == 1 })
			tt.end(e)
			e.until("the end of the case", func() bool { return log.count("worker crashed") >= tt.crashes })
			time.Sleep(2 * pollWait)
			if got := len(e.report().Crashes); got != tt.crashes {
				t.Errorf("%d crashes reported, want %d", got, tt.crashes)
			}
			if got := log.count("worker crashed"); got != tt.crashes {
				t.Errorf("%d crashes logged, want %d", got, tt.crashes)
			}
			if got := log.count(taskID(0).String() + "/1 after "); got != tt.crashes {
				t.Errorf("%d crashes name the run, want %d", got, tt.crashes)
			}
		})
	}
}

// Guards against a start that is blamed for a crash that came before it.
func TestStartsAfterTheCrashAreNotOnTheWorker(t *testing.T) {
	worker := newFakeWorker()
	var log logBuffer
	e := newTestEnvWith(t, worker, func(w *Worker) {
		start := w.Start
		w.Start = func(ctx context.Context, c StartCall) error {
			worker.mu.Lock()
			ended := worker.ended
			worker.mu.Unlock()
			if ended {
				return ErrWorkerUnreachable{errNoAnswer}
			}
			return start(ctx, c)
		}
	})
	e.logTo(&log)
	e.own(1)
	e.order(1, messenger.WorkStart, 0, 1)
	e.until("a run", func() bool { return e.confirmed() == 1 })
	e.endWorker()
	e.order(1, messenger.WorkStart, 1, 1)
	e.until("the crash", func() bool { return log.count("worker crashed") == 1 })
	if log.count(taskID(0).String()+"/1 after ") != 1 || log.count(taskID(1).String()+"/1 after ") != 0 {
		t.Error("the crash must name the run of task 0 only")
	}
}

// Guards against a crash that the owner never learns of: the report with it was lost, or the owner
// ended before it had stored the crash.
func TestCrashIsReportedUntilStored(t *testing.T) {
	e := newTestEnv(t, newFakeWorker())
	e.own(1)
	e.order(1, messenger.WorkStart, 0, 1)
	e.until("a run", func() bool { return e.confirmed() == 1 })
	e.endWorker()
	e.until("the crash", func() bool { return len(e.report().Crashes) == 1 })
	e.restartWorker("incarnation-2")
	e.announce(false)
	e.own(2) // another owner, which has stored nothing
	rep := e.report()
	if len(rep.Crashes) != 1 || len(rep.Crashes[0].Runs) != 1 || rep.Crashes[0].Runs[0].Task != taskID(0).String() {
		t.Fatalf("the next owner gets %+v", rep.Crashes)
	}
	e.g.ApplyReply(time.Now(), rep.Incarnation, messenger.WorkReply{Epoch: 2, CrashesStored: rep.Crashes[0].Seq})
	if rep = e.report(); len(rep.Crashes) != 0 {
		t.Errorf("reported after it was stored: %+v", rep.Crashes)
	}
}

// Guards against a crash under a start that was not answered: the worker may have crashed before it
// could answer.
func TestUnansweredStartIsOnTheCrashedWorker(t *testing.T) {
	worker := newFakeWorker()
	e := newTestEnvWith(t, worker, func(w *Worker) {
		w.Start = func(context.Context, StartCall) error {
			worker.withLock(func() { worker.ended = true })
			return errNoAnswer
		}
	})
	e.own(1)
	e.order(1, messenger.WorkStart, 0, 1)
	e.until("the crash", func() bool { return len(e.report().Crashes) == 1 })
	if runs := e.report().Crashes[0].Runs; len(runs) != 1 || runs[0].Task != taskID(0).String() {
		t.Errorf("the crash names %+v", runs)
	}
}

// Guards against a crash that is taken for one just noticed: if no poll failed, the worker may have
// lost its state any time since the last answer.
func TestTimeOfCrashIsKnownFromFailedPolls(t *testing.T) {
	tests := []struct {
		name    string
		end     func(e *testEnv)
		unknown bool
	}{
		{"another incarnation answers the next poll", func(e *testEnv) { e.restartWorker("incarnation-2") }, true},
		{"polls fail", func(e *testEnv) { e.endWorker() }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			e := newTestEnv(t, newFakeWorker())
			e.own(1)
			e.order(1, messenger.WorkStart, 0, 1)
			e.until("a run", func() bool { return e.confirmed() == 1 })
			tt.end(e)
			e.until("the crash", func() bool { return len(e.report().Crashes) == 1 })
			if got := e.report().Crashes[0].TimeUnknown; got != tt.unknown {
				t.Errorf("time unknown %t", got)
			}
		})
	}
}

// Guards against a task that crashes one worker after another because an agent stops before an
// owner has stored the crash that the agent has seen.
func TestPlannedStopAwaitsStoredCrash(t *testing.T) {
	tests := []struct {
		name       string
		crash      bool
		away       bool  // the worker does not answer, and a run was on it
		stored     int64 // by the owner's reply that comes during the stop
		wantWaited bool
	}{
		{name: "no crash"},
		{name: "crash that is stored during the stop", crash: true, stored: 1, wantWaited: true},
		{name: "crash that no owner stores", crash: true, wantWaited: true},
		{name: "worker that may have crashed", away: true, wantWaited: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := New(Config{VM: "vm-1", Reporter: reporter.Discard(), Now: time.Now})
				g.Announce(Announcement{Incarnation: "incarnation-1"})
				if tt.crash {
					call, from := g.nextPoll()
					g.applyPoll(Status{Incarnation: "incarnation-2"}, call, from)
				}
				if tt.away {
					g.runs[tracker.RunKey{Task: taskID(0), Number: 1}] = &run{state: running, confirmed: true}
					_, from := g.nextPoll()
					for range failedPollsToUnresponsive {
						g.recordFailedPoll(ErrWorkerUnreachable{errNoAnswer}, from)
					}
				}
				began := time.Now()
				const replyAfter = time.Second
				if tt.stored > 0 {
					time.AfterFunc(replyAfter, func() { g.ApplyReply(time.Now(), "incarnation-2", messenger.WorkReply{CrashesStored: tt.stored}) })
				}
				if err := g.AwaitCrashesStored(t.Context()); err != nil {
					t.Fatal(err)
				}
				waited, want := time.Since(began), time.Duration(0)
				switch {
				case tt.stored > 0:
					want = replyAfter
				case tt.wantWaited:
					want = CrashReportTimeout
				}
				if waited < want || waited > want+2*crashStoredInterval {
					t.Errorf("waited %s, want %s", waited, want)
				}
			})
		})
	}
}

// Guards against crashes that are taken for one another's companions, or not, by when they are reported:
// without proof a crash is reported only once the worker is back, with the time since it came.
func TestCrashIsReportedWithItsTime(t *testing.T) {
	const away = 500 * time.Millisecond
	e := newTestEnv(t, newFakeWorker())
	e.own(1)
	e.order(1, messenger.WorkStart, 0, 1)
	e.until("a run", func() bool { return e.confirmed() == 1 })
	e.worker.withLock(func() { e.worker.unreachable = true; clear(e.worker.runs) })
	endedAt := time.Now()
	e.until("an unresponsive worker", func() bool { return e.report().UnresponsiveMillis > 0 })
	time.Sleep(away)
	if rep := e.report(); len(rep.Crashes) != 0 || rep.UnresponsiveMillis < away.Milliseconds() || len(rep.Runs) != 1 {
		t.Fatalf("before the worker is back: %+v", rep)
	}
	e.restartWorker("incarnation-2")
	e.until("the crash", func() bool { return len(e.report().Crashes) == 1 })
	rep := e.report()
	if ago, ended := rep.Crashes[0].AgoMillis, time.Since(endedAt).Milliseconds(); ago < away.Milliseconds() || ago > ended || rep.UnresponsiveMillis != 0 {
		t.Errorf("crash reported as of %d ms ago, the worker ended %d ms ago: %+v", ago, ended, rep)
	}
}
