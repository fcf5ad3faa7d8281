package worker_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/standin/piper"
	"bamboospread/internal/standin/recorder"
	"bamboospread/internal/standin/worker"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/driver"
)

// fixture is a worker with a clock that the test advances.
type fixture struct {
	*driver.Driver
	w      *worker.Worker
	url    string
	client *http.Client
	at     time.Time
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := newWorker(t)
	h := httptest.NewServer(f.w.Handler())
	t.Cleanup(h.Close)
	f.url = h.URL
	f.Driver = f.newDriver(driver.Config{CallTimeout: callTimeout})
	return f
}

// newBubbleFixture is newFixture in a bubble, where only a call that the worker holds takes time.
func newBubbleFixture(t *testing.T) *fixture {
	t.Helper()
	f := newWorker(t)
	client, end := piper.Serve(f.w.Handler())
	t.Cleanup(end)
	f.url, f.client = "http://worker", client
	f.Driver = f.newDriver(driver.Config{CallTimeout: callTimeout})
	return f
}

const callTimeout = 200 * time.Millisecond

// newDriver returns a driver of the fixture's worker, by default with its clock.
func (f *fixture) newDriver(c driver.Config) *driver.Driver {
	c.URL, c.HTTP = f.url, f.client
	if c.Now == nil {
		c.Now = func() time.Time { return f.at }
	}
	return driver.New(c)
}

func newWorker(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{at: time.Unix(1000, 0)}
	now := func() time.Time { return f.at }
	rec, err := recorder.Open(filepath.Join(t.TempDir(), "witness"))
	if err != nil {
		t.Fatal(err)
	}
	total := describer.Resources{Millicores: 4000, MemoryBytes: 1 << 30}
	f.w = worker.New(worker.Config{
		Capacity: messenger.Capacity{VM: "vm-1", Zone: "a", Rack: "r", Total: total}, Now: now, Recorder: rec,
	})
	return f
}

func (f *fixture) advance(t *testing.T, d time.Duration) {
	t.Helper()
	for ; d > 0; d -= 100 * time.Millisecond {
		f.at = f.at.Add(min(d, 100*time.Millisecond))
		if _, err := f.FindTasks(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
}

func (f *fixture) eventKinds() string {
	var eventKinds []string
	for _, e := range f.w.Events() {
		eventKinds = append(eventKinds, string(e.Event))
	}
	return strings.Join(eventKinds, " ")
}

func startOptions(attempt int64) driver.StartOptions {
	return driver.StartOptions{
		TaskID: "t", Attempt: attempt, Needs: describer.Resources{Millicores: 3000},
		RunTime: time.Second, Lease: 10 * time.Second,
	}
}

func TestAttempts(t *testing.T) { synctest.Test(t, testAttempts) }

func testAttempts(t *testing.T) {
	ctx := context.Background()
	f := newBubbleFixture(t)
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	must(f.StartTask(ctx, startOptions(2)))
	must(f.StartTask(ctx, startOptions(2)))
	if err := f.StartTask(ctx, startOptions(1)); !driver.IsErrAttemptEnded(err) {
		t.Fatal(err)
	}
	f.advance(t, 300*time.Millisecond)
	must(f.ThrottleTask(ctx, "t", 2, 50))
	f.advance(t, 400*time.Millisecond)
	for range 2 {
		checkpoint, err := f.CheckpointTask(ctx, "t", 2)
		must(err)
		if checkpoint != "progress-ms=500" {
			t.Fatal(checkpoint)
		}
	}
	if err := f.StartTask(ctx, startOptions(2)); !driver.IsErrAttemptEnded(err) {
		t.Fatal(err)
	}
	must(f.ForgetTask(ctx, "t", 2))
	if err := f.StartTask(ctx, startOptions(2)); !driver.IsErrAttemptEnded(err) {
		t.Fatal(err)
	}
	o := startOptions(3)
	o.Checkpoint = "progress-ms=500"
	must(f.StartTask(ctx, o))
	f.advance(t, 500*time.Millisecond)
	tasks, err := f.FindTasks(ctx)
	must(err)
	if len(tasks) != 1 || tasks[0].State != messenger.ReportCompleted {
		t.Fatal(tasks)
	}
	if _, err := f.StopTask(ctx, "never", 7); err != nil {
		t.Fatal(err)
	}
	o = startOptions(7)
	o.TaskID = "never"
	if err := f.StartTask(ctx, o); !driver.IsErrAttemptEnded(err) {
		t.Fatal(err)
	}
	if diff := cmp.Diff("start checkpointed start completed", f.eventKinds()); diff != "" {
		t.Error(diff)
	}
}

// A start order is delayed in a queue until after its deadline. It must not start, since
// the configuration on which it was based may have changed.
func TestStartAfterDeadline(t *testing.T) { synctest.Test(t, testStartAfterDeadline) }

func testStartAfterDeadline(t *testing.T) {
	f := newBubbleFixture(t)
	o := startOptions(1)
	o.StartBy = f.at.Add(-time.Millisecond)
	if err := f.StartTask(context.Background(), o); !driver.IsErrStartExpired(err) {
		t.Fatal(err)
	}
	if f.eventKinds() != "" {
		t.Error(f.eventKinds())
	}
}

// The VM is paused for longer than the lease and the run time of the task. When it
// resumes, the task ends as lost: it may run on another VM by then and must not also
// complete.
func TestTaskPausedPastLeaseIsLost(t *testing.T) { synctest.Test(t, testTaskPausedPastLeaseIsLost) }

func testTaskPausedPastLeaseIsLost(t *testing.T) {
	f := newBubbleFixture(t)
	if err := f.StartTask(context.Background(), startOptions(1)); err != nil {
		t.Fatal(err)
	}
	f.at = f.at.Add(11 * time.Second)
	f.advance(t, time.Second)
	if f.eventKinds() != "start lost" {
		t.Error(f.eventKinds())
	}
}

// A renewal with a long lease arrives after one that was issued later with a short
// lease. The short lease applies, since the caller relies on it.
func TestOutOfOrderRenewalIsIgnored(t *testing.T) { synctest.Test(t, testOutOfOrderRenewalIsIgnored) }

func testOutOfOrderRenewalIsIgnored(t *testing.T) {
	ctx := context.Background()
	f := newBubbleFixture(t)
	o := startOptions(1)
	o.RunTime = time.Minute
	if err := f.StartTask(ctx, o); err != nil {
		t.Fatal(err)
	}
	sent := f.at
	f.advance(t, 100*time.Millisecond)
	if err := f.RenewLeases(ctx, time.Second); err != nil {
		t.Fatal(err)
	}
	late := f.newDriver(driver.Config{Now: func() time.Time { return sent }})
	if err := late.RenewLeases(ctx, time.Hour); !driver.IsErrRenewalIgnored(err) {
		t.Fatal(err)
	}
	f.advance(t, 2*time.Second)
	if f.eventKinds() != "start lost" {
		t.Error(f.eventKinds())
	}
}

// The time of day steps back between two processes of an agent, or within one. Later
// renewals must still apply, since leases would otherwise expire on a healthy VM. The
// first renewal of the new process has no effect, and says so.
func TestRenewalAfterClockStepsBack(t *testing.T) { synctest.Test(t, testRenewalAfterClockStepsBack) }

func testRenewalAfterClockStepsBack(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		ctx := context.Background()
		f := newBubbleFixture(t)
		o := startOptions(1)
		o.RunTime = time.Minute
		if err := f.StartTask(ctx, o); err != nil {
			t.Fatal(err)
		}
		if err := f.RenewLeases(ctx, 10*time.Second); err != nil {
			t.Fatal(err)
		}
		f.advance(t, 100*time.Millisecond)
		f.at = f.at.Add(-5 * time.Second)
		if restarted {
			f.Driver = f.newDriver(driver.Config{})
		}
		for i := range 2 {
			if err := f.RenewLeases(ctx, time.Second); driver.IsErrRenewalIgnored(err) != (restarted && i == 0) || err != nil && i > 0 {
				t.Fatal(err)
			}
		}
		f.advance(t, 2*time.Second)
		if f.eventKinds() != "start lost" {
			t.Errorf("restarted %t: %s: the later renewals were not applied", restarted, f.eventKinds())
		}
	}
}

func TestFaultsAndEvents(t *testing.T) { synctest.Test(t, testFaultsAndEvents) }

func testFaultsAndEvents(t *testing.T) {
	ctx := context.Background()
	f := newBubbleFixture(t)
	f.w.SetFaults(worker.Faults{Refuse: true})
	if err := f.StartTask(ctx, startOptions(1)); !driver.IsErrUnavailable(err) {
		t.Fatal(err)
	}
	f.w.SetFaults(worker.Faults{Freeze: true})
	if err := f.StartTask(ctx, startOptions(1)); !driver.IsErrOutcomeUnknown(err) {
		t.Fatal(err)
	}
	f.w.SetFaults(worker.Faults{FailAll: true})
	o := startOptions(1)
	o.TaskID = "u"
	if err := f.StartTask(ctx, o); err != nil {
		t.Fatal(err)
	}
	if events := f.w.Events(); len(events) != 2 || events[0].OverCommitted || !events[1].OverCommitted {
		t.Error(events)
	}
	f.advance(t, 100*time.Millisecond)
	if f.eventKinds() != "start start failed failed" {
		t.Error(f.eventKinds())
	}
	f.advance(t, 4*time.Second)
	u, err := f.GetUsage(ctx)
	if err != nil || u.ToMillis == 0 || f.at.UnixMilli()-u.ToMillis < 2000 {
		t.Error(u, err)
	}
}
