package controller

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/agent/runner"
	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/standin/worker"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/driver"
)

// forgettingWorker completes the first task that it is sent and starts again before it answers that start.
type forgettingWorker struct {
	config worker.Config
	mu     sync.Mutex
	lives  []*worker.Worker
}

func (w *forgettingWorker) present() *worker.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lives[len(w.lives)-1]
}

func (w *forgettingWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	present := w.present()
	present.Handler().ServeHTTP(rw, r)
	if r.URL.Path != driver.PathStart || len(present.Events()) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.lives) > 1 {
		return
	}
	for len(present.Events()) < 2 {
		time.Sleep(5 * time.Millisecond)
		present.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, driver.PathTasks, nil))
	}
	w.lives = append(w.lives, worker.New(w.config))
}

// events returns those of all lives.
func (w *forgettingWorker) events() []worker.Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []worker.Event
	for _, life := range w.lives {
		all = append(all, life.Events()...)
	}
	return all
}

// Guards against tasks that complete twice although their class holds lost ones, and against others that wait:
// the worker completes an attempt and starts again before any poll has listed it.
func TestAttemptCompletedInFormerLife(t *testing.T) {
	for _, tt := range []struct {
		class       string
		want        messenger.TaskState
		completions int
	}{{"prints", messenger.TaskHeld, 1}, {"labels", messenger.TaskCompleted, 2}} {
		c := newCell(t, 0, 1)
		w := &forgettingWorker{config: worker.Config{Capacity: messenger.Capacity{
			VM: "vm0", Zone: "z0", Rack: "r0", Total: describer.Resources{Millicores: 4000, MemoryBytes: 8 * gib},
		}}}
		w.lives = []*worker.Worker{worker.New(w.config)}
		server := httptest.NewServer(w)
		r := runner.New(runner.Config{Cell: "c1", AgentID: "a0", Incarnation: 1, Driver: driver.New(driver.Config{URL: server.URL}), CallOwner: c.call})
		ctx, cancel := context.WithCancel(c.ctx)
		ended := make(chan error, 1)
		go func() { ended <- r.Run(ctx) }()
		t.Cleanup(func() {
			cancel()
			if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
				t.Error(err)
			}
			server.CloseClientConnections()
			server.Close()
		})
		c.waitFor("VM known", func() bool { return len(c.status().VMs) == 1 })
		c.submit(messenger.TaskSpec{ID: "t", Tenant: "caroni", Class: tt.class, RunTimeMillis: 10})
		c.waitFor("held or completed", func() bool {
			s := c.task("t").State
			return s == messenger.TaskHeld || s == messenger.TaskCompleted
		})
		time.Sleep(2 * vmLease) // long enough to start again
		if s := c.task("t").State; s != tt.want {
			t.Errorf("class %s: %s, want %s", tt.class, s, tt.want)
		}
		completions, attempts := 0, make(map[int64]int)
		for _, e := range w.events() {
			switch e.Event {
			case worker.EventStart:
				attempts[e.Attempt]++
			case worker.EventCompleted:
				completions++
			}
		}
		if completions != tt.completions || attempts[1] != 1 {
			t.Errorf("class %s: %d completions, want %d; starts by attempt %v", tt.class, completions, tt.completions, attempts)
		}
	}
}
