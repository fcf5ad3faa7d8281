package controller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"bamboospread/internal/agent/runner"
	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/standin/worker"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/driver"
)

const (
	// maxCrashes is how many workers a task may crash before it is given up, as for a job.
	maxCrashes   = 5
	crashAge     = 50 * time.Millisecond  // of the attempt that crashes its worker
	restartDelay = 300 * time.Millisecond // from a crash to the next process of the worker
)

// crashingWorker is a worker whose process ends soon after the start of one task, and starts
// again without its state.
type crashingWorker struct {
	config  worker.Config
	task    string
	current atomic.Pointer[worker.Worker]
	down    atomic.Bool
	crashes *atomic.Int64
}

func (w *crashingWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if w.down.Load() {
		panic(http.ErrAbortHandler)
	}
	w.current.Load().Handler().ServeHTTP(rw, r)
}

func (w *crashingWorker) run(ctx context.Context) error {
	for ctx.Err() == nil {
		_ = pauser.Pause(ctx, 5*time.Millisecond)
		for _, e := range w.current.Load().Events() {
			if e.Task != w.task || e.Event != worker.EventStart {
				continue
			}
			_ = pauser.Pause(ctx, crashAge)
			w.crashes.Add(1)
			w.down.Store(true)
			_ = pauser.Pause(ctx, restartDelay)
			w.current.Store(worker.New(w.config))
			w.down.Store(false)
			break
		}
	}
	return ctx.Err()
}

// addCrashingVM adds a VM whose worker crashes under the task.
func (c *cell) addCrashingVM(i int, task string, crashes *atomic.Int64) {
	w := &crashingWorker{task: task, crashes: crashes, config: worker.Config{Capacity: messenger.Capacity{
		VM: fmt.Sprintf("vm%d", i), Zone: fmt.Sprintf("z%d", i%2), Rack: fmt.Sprintf("r%d", i),
		Total: describer.Resources{Millicores: 4000, MemoryBytes: 8 * gib},
	}}}
	w.current.Store(worker.New(w.config))
	server := httptest.NewServer(w)
	d := driver.New(driver.Config{URL: server.URL})
	r := runner.New(runner.Config{Cell: "c1", AgentID: fmt.Sprintf("a%d", i), Incarnation: 1, Driver: d, CallOwner: c.call})
	advance := func(ctx context.Context) error {
		for ctx.Err() == nil {
			_, _ = d.FindTasks(ctx)
			_ = pauser.Pause(ctx, 10*time.Millisecond)
		}
		return ctx.Err()
	}
	ctx, cancel := context.WithCancel(c.ctx)
	ended := make(chan error, 3)
	for _, run := range []func(context.Context) error{w.run, r.Run, advance} {
		go func() { ended <- run(ctx) }()
	}
	c.t.Cleanup(func() {
		cancel()
		err := errors.Join(<-ended, <-ended, <-ended)
		if !errors.Is(err, context.Canceled) {
			c.t.Error(err)
		}
		server.CloseClientConnections()
		server.Close()
	})
}

// Guards against a task that takes down one worker after the other without end, with what runs
// beside it: an attempt that is lost with its worker was queued again and never counted.
func TestTaskOfClassThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	c := newCell(t, 0, 1)
	var crashes atomic.Int64
	for i := range 3 {
		c.addCrashingVM(i, "crashing", &crashes)
	}
	c.waitFor("VMs known", func() bool { return len(c.status().VMs) == 3 })
	c.submit(messenger.TaskSpec{ID: "crashing", Tenant: "caroni", Class: "labels", RunTimeMillis: 5000})
	c.waitFor("given up", func() bool {
		return c.task("crashing").State == messenger.TaskHeld || crashes.Load() > maxCrashes
	})
	if n := crashes.Load(); n > maxCrashes {
		t.Fatalf("the task has crashed %d workers and is %s, attempt %d; want it given up after %d", n, c.task("crashing").State, c.task("crashing").Attempt, maxCrashes)
	}
}
