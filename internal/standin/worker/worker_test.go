package worker_test

import (
	"context"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/standin/recorder"
	"bamboospread/internal/standin/worker"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/driver"
)

// fixture is a worker with a clock that the test advances.
type fixture struct {
	*driver.Driver
	w   *worker.Worker
	url string
	at  time.Time
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	b := &fixture{at: time.Unix(1000, 0)}
	now := func() time.Time { return b.at }
	rec, err := recorder.Open(filepath.Join(t.TempDir(), "witness"))
	if err != nil {
		t.Fatal(err)
	}
	total := describer.Resources{Millicores: 4000, MemoryBytes: 1 << 30}
	b.w = worker.New(worker.Config{
		Capacity: messenger.Capacity{VM: "vm-1", Zone: "a", Rack: "r", Total: total}, Now: now, Recorder: rec,
	})
	h := httptest.NewServer(b.w.Handler())
	t.Cleanup(h.Close)
	b.url = h.URL
	b.Driver = driver.New(driver.Config{URL: h.URL, Now: now, CallTimeout: 200 * time.Millisecond})
	return b
}

func (b *fixture) advance(t *testing.T, d time.Duration) {
	t.Helper()
	for ; d > 0; d -= 100 * time.Millisecond {
		b.at = b.at.Add(min(d, 100*time.Millisecond))
		if _, err := b.FindTasks(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
}

func (b *fixture) eventKinds() string {
	var eventKinds []string
	for _, e := range b.w.Events() {
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

func TestAttempts(t *testing.T) {
	ctx := context.Background()
	b := newFixture(t)
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	must(b.StartTask(ctx, startOptions(2)))
	must(b.StartTask(ctx, startOptions(2)))
	if err := b.StartTask(ctx, startOptions(1)); !driver.IsErrAttemptEnded(err) {
		t.Fatal(err)
	}
	b.advance(t, 300*time.Millisecond)
	must(b.ThrottleTask(ctx, "t", 2, 50))
	b.advance(t, 400*time.Millisecond)
	for range 2 {
		checkpoint, err := b.CheckpointTask(ctx, "t", 2)
		must(err)
		if checkpoint != "progress-ms=500" {
			t.Fatal(checkpoint)
		}
	}
	if err := b.StartTask(ctx, startOptions(2)); !driver.IsErrAttemptEnded(err) {
		t.Fatal(err)
	}
	must(b.ForgetTask(ctx, "t", 2))
	if err := b.StartTask(ctx, startOptions(2)); !driver.IsErrAttemptEnded(err) {
		t.Fatal(err)
	}
	o := startOptions(3)
	o.Checkpoint = "progress-ms=500"
	must(b.StartTask(ctx, o))
	b.advance(t, 500*time.Millisecond)
	tasks, err := b.FindTasks(ctx)
	must(err)
	if len(tasks) != 1 || tasks[0].State != messenger.ReportCompleted {
		t.Fatal(tasks)
	}
	if _, err := b.StopTask(ctx, "never", 7); err != nil {
		t.Fatal(err)
	}
	o = startOptions(7)
	o.TaskID = "never"
	if err := b.StartTask(ctx, o); !driver.IsErrAttemptEnded(err) {
		t.Fatal(err)
	}
	if diff := cmp.Diff("start checkpointed start completed", b.eventKinds()); diff != "" {
		t.Error(diff)
	}
}

// A start order is delayed in a queue until after its deadline. It must not start, since
// the configuration on which it was based may have changed.
func TestStartAfterDeadline(t *testing.T) {
	b := newFixture(t)
	o := startOptions(1)
	o.StartBy = b.at.Add(-time.Millisecond)
	if err := b.StartTask(context.Background(), o); !driver.IsErrStartExpired(err) {
		t.Fatal(err)
	}
	if b.eventKinds() != "" {
		t.Error(b.eventKinds())
	}
}

// The VM is paused for longer than the lease and the run time of the task. When it
// resumes, the task ends as lost: it may run on another VM by then and must not also
// complete.
func TestTaskPausedPastLeaseIsLost(t *testing.T) {
	b := newFixture(t)
	if err := b.StartTask(context.Background(), startOptions(1)); err != nil {
		t.Fatal(err)
	}
	b.at = b.at.Add(11 * time.Second)
	b.advance(t, time.Second)
	if b.eventKinds() != "start lost" {
		t.Error(b.eventKinds())
	}
}

// A renewal with a long lease arrives after one that was issued later with a short
// lease. The short lease applies, since the caller relies on it.
func TestOutOfOrderRenewalIsIgnored(t *testing.T) {
	ctx := context.Background()
	b := newFixture(t)
	o := startOptions(1)
	o.RunTime = time.Minute
	if err := b.StartTask(ctx, o); err != nil {
		t.Fatal(err)
	}
	sent := b.at
	b.advance(t, 100*time.Millisecond)
	if err := b.RenewLeases(ctx, time.Second); err != nil {
		t.Fatal(err)
	}
	late := driver.New(driver.Config{URL: b.url, Now: func() time.Time { return sent }})
	if err := late.RenewLeases(ctx, time.Hour); err != nil {
		t.Fatal(err)
	}
	b.advance(t, 2*time.Second)
	if b.eventKinds() != "start lost" {
		t.Error(b.eventKinds())
	}
}

// The time of day steps back between two processes of an agent, or within one. Later
// renewals must still apply, since leases would otherwise expire on a healthy VM. The
// first renewal of the new process may be lost.
func TestRenewalAfterClockStepsBack(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		ctx := context.Background()
		b := newFixture(t)
		o := startOptions(1)
		o.RunTime = time.Minute
		if err := b.StartTask(ctx, o); err != nil {
			t.Fatal(err)
		}
		if err := b.RenewLeases(ctx, 10*time.Second); err != nil {
			t.Fatal(err)
		}
		b.advance(t, 100*time.Millisecond)
		b.at = b.at.Add(-5 * time.Second)
		if restarted {
			b.Driver = driver.New(driver.Config{URL: b.url, Now: func() time.Time { return b.at }})
		}
		for range 2 {
			if err := b.RenewLeases(ctx, time.Second); err != nil {
				t.Fatal(err)
			}
		}
		b.advance(t, 2*time.Second)
		if b.eventKinds() != "start lost" {
			t.Errorf("restarted %t: %s: the later renewals were not applied", restarted, b.eventKinds())
		}
	}
}

func TestFaultsAndEvents(t *testing.T) {
	ctx := context.Background()
	b := newFixture(t)
	b.w.SetFaults(worker.Faults{Refuse: true})
	if err := b.StartTask(ctx, startOptions(1)); !driver.IsErrUnavailable(err) {
		t.Fatal(err)
	}
	b.w.SetFaults(worker.Faults{Freeze: true})
	if err := b.StartTask(ctx, startOptions(1)); !driver.IsErrOutcomeUnknown(err) {
		t.Fatal(err)
	}
	b.w.SetFaults(worker.Faults{FailAll: true})
	o := startOptions(1)
	o.TaskID = "u"
	if err := b.StartTask(ctx, o); err != nil {
		t.Fatal(err)
	}
	if events := b.w.Events(); len(events) != 2 || events[0].OverCommitted || !events[1].OverCommitted {
		t.Error(events)
	}
	b.advance(t, 100*time.Millisecond)
	if b.eventKinds() != "start start failed failed" {
		t.Error(b.eventKinds())
	}
	b.advance(t, 4*time.Second)
	u, err := b.GetUsage(ctx)
	if err != nil || u.ToMillis == 0 || b.at.UnixMilli()-u.ToMillis < 2000 {
		t.Error(u, err)
	}
}
