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

// bench is a worker with a clock that the test moves.
type bench struct {
	*driver.Driver
	w   *worker.Worker
	url string
	at  time.Time
}

func start(t *testing.T) *bench {
	t.Helper()
	b := &bench{at: time.Unix(1000, 0)}
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

func (b *bench) pass(t *testing.T, d time.Duration) {
	t.Helper()
	for ; d > 0; d -= 100 * time.Millisecond {
		b.at = b.at.Add(min(d, 100*time.Millisecond))
		if _, err := b.FindTasks(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
}

func (b *bench) kinds() string {
	var kinds []string
	for _, e := range b.w.Events() {
		kinds = append(kinds, string(e.Event))
	}
	return strings.Join(kinds, " ")
}

func options(attempt int64) driver.StartOptions {
	return driver.StartOptions{
		TaskID: "t", Attempt: attempt, Needs: describer.Resources{Millicores: 3000},
		RunTime: time.Second, Lease: 10 * time.Second,
	}
}

func TestAttempts(t *testing.T) {
	ctx := context.Background()
	b := start(t)
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	must(b.StartTask(ctx, options(2)))
	must(b.StartTask(ctx, options(2)))
	if err := b.StartTask(ctx, options(1)); !driver.IsErrAttemptOver(err) {
		t.Fatal(err)
	}
	b.pass(t, 300*time.Millisecond)
	must(b.ThrottleTask(ctx, "t", 2, 50))
	b.pass(t, 400*time.Millisecond)
	for range 2 {
		checkpoint, err := b.CheckpointTask(ctx, "t", 2)
		must(err)
		if checkpoint != "progress-ms=500" {
			t.Fatal(checkpoint)
		}
	}
	if err := b.StartTask(ctx, options(2)); !driver.IsErrAttemptOver(err) {
		t.Fatal(err)
	}
	must(b.ForgetTask(ctx, "t", 2))
	if err := b.StartTask(ctx, options(2)); !driver.IsErrAttemptOver(err) {
		t.Fatal(err)
	}
	o := options(3)
	o.Checkpoint = "progress-ms=500"
	must(b.StartTask(ctx, o))
	b.pass(t, 500*time.Millisecond)
	tasks, err := b.FindTasks(ctx)
	must(err)
	if len(tasks) != 1 || tasks[0].State != messenger.ReportCompleted {
		t.Fatal(tasks)
	}
	if _, err := b.StopTask(ctx, "never", 7); err != nil {
		t.Fatal(err)
	}
	o = options(7)
	o.TaskID = "never"
	if err := b.StartTask(ctx, o); !driver.IsErrAttemptOver(err) {
		t.Fatal(err)
	}
	if diff := cmp.Diff("start checkpointed start completed", b.kinds()); diff != "" {
		t.Error(diff)
	}
}

// A start order waits in a queue until after its time. It must not start, since
// the configuration that it obeyed may have changed.
func TestStartTooLate(t *testing.T) {
	b := start(t)
	o := options(1)
	o.StartBy = b.at.Add(-time.Millisecond)
	if err := b.StartTask(context.Background(), o); !driver.IsErrTooLate(err) {
		t.Fatal(err)
	}
	if b.kinds() != "" {
		t.Error(b.kinds())
	}
}

// The VM is paused past the lease and past the task's run time. On waking the
// task ends as lost: it may run elsewhere by then and must not also complete.
func TestPausedPastLeaseIsLost(t *testing.T) {
	b := start(t)
	if err := b.StartTask(context.Background(), options(1)); err != nil {
		t.Fatal(err)
	}
	b.at = b.at.Add(11 * time.Second)
	b.pass(t, time.Second)
	if b.kinds() != "start lost" {
		t.Error(b.kinds())
	}
}

// A renewal with a long lease is overtaken by a later one with a short lease.
// The short one counts, since the caller counts on it.
func TestOvertakenRenewalIsVoid(t *testing.T) {
	ctx := context.Background()
	b := start(t)
	o := options(1)
	o.RunTime = time.Minute
	if err := b.StartTask(ctx, o); err != nil {
		t.Fatal(err)
	}
	sent := b.at
	b.pass(t, 100*time.Millisecond)
	if err := b.RenewLeases(ctx, time.Second); err != nil {
		t.Fatal(err)
	}
	late := driver.New(driver.Config{URL: b.url, Now: func() time.Time { return sent }})
	if err := late.RenewLeases(ctx, time.Hour); err != nil {
		t.Fatal(err)
	}
	b.pass(t, 2*time.Second)
	if b.kinds() != "start lost" {
		t.Error(b.kinds())
	}
}

// The time of day jumps back between two processes of an agent, or within one: renewals
// go on to count, else leases run out on a VM that is well. The first one of the new
// process may be lost.
func TestRenewalAfterTheClockJumpedBack(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		ctx := context.Background()
		b := start(t)
		o := options(1)
		o.RunTime = time.Minute
		if err := b.StartTask(ctx, o); err != nil {
			t.Fatal(err)
		}
		if err := b.RenewLeases(ctx, 10*time.Second); err != nil {
			t.Fatal(err)
		}
		b.pass(t, 100*time.Millisecond)
		b.at = b.at.Add(-5 * time.Second)
		if restarted {
			b.Driver = driver.New(driver.Config{URL: b.url, Now: func() time.Time { return b.at }})
		}
		for range 2 {
			if err := b.RenewLeases(ctx, time.Second); err != nil {
				t.Fatal(err)
			}
		}
		b.pass(t, 2*time.Second)
		if b.kinds() != "start lost" {
			t.Errorf("restarted %t: %s: the later renewals did not count", restarted, b.kinds())
		}
	}
}

func TestFaultsAndWitness(t *testing.T) {
	ctx := context.Background()
	b := start(t)
	b.w.SetFaults(worker.Faults{Refuse: true})
	if err := b.StartTask(ctx, options(1)); !driver.IsErrUnavailable(err) {
		t.Fatal(err)
	}
	b.w.SetFaults(worker.Faults{Freeze: true})
	if err := b.StartTask(ctx, options(1)); !driver.IsErrOutcomeUnknown(err) {
		t.Fatal(err)
	}
	b.w.SetFaults(worker.Faults{FailAll: true})
	o := options(1)
	o.TaskID = "u"
	if err := b.StartTask(ctx, o); err != nil {
		t.Fatal(err)
	}
	if events := b.w.Events(); len(events) != 2 || events[0].OverCommitted || !events[1].OverCommitted {
		t.Error(events)
	}
	b.pass(t, 100*time.Millisecond)
	if b.kinds() != "start start failed failed" {
		t.Error(b.kinds())
	}
	b.pass(t, 4*time.Second)
	u, err := b.GetUsage(ctx)
	if err != nil || u.ToMillis == 0 || b.at.UnixMilli()-u.ToMillis < 2000 {
		t.Error(u, err)
	}
}
