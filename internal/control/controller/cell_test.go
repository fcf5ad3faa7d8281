package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bamboospread/internal/agent/runner"
	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/standin/storer"
	"bamboospread/internal/standin/worker"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/driver"
)

const (
	gib        = int64(1) << 30
	testLimit  = 20 * time.Second
	ownerLease = 600 * time.Millisecond
	vmLease    = 1500 * time.Millisecond
)

// cell runs a cell in one process: test servers of the store and the workers, and the real
// clients, runners and controllers, which call them over HTTP.
type cell struct {
	t            testing.TB
	ctx          context.Context
	store        *storer.Store
	storeURL     string
	fleet        atomic.Pointer[describer.Fleet]
	workers      []*worker.Worker
	controllers  []*Controller
	stops        []context.CancelFunc
	disconnected []*atomic.Bool
	refused      []*refusedCalls
}

// refusedCalls refuses connections of an agent to its worker.
type refusedCalls struct {
	// refuse, if set, returns whether the connection of a call is refused.
	refuse atomic.Pointer[func(*http.Request) bool]
}

func (c *refusedCalls) RoundTrip(r *http.Request) (*http.Response, error) {
	if refuse := c.refuse.Load(); refuse != nil && (*refuse)(r) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	return http.DefaultTransport.RoundTrip(r)
}

func newCell(t testing.TB, vms, controllers int) *cell {
	t.Helper()
	return newCellWith(t, vms, controllers, func(*Config) {})
}

func newCellWith(t testing.TB, vms, controllers int, change func(*Config)) *cell {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := &cell{t: t, ctx: ctx, store: storer.New(storer.Config{})}
	server := httptest.NewServer(c.store.Handler())
	c.storeURL = server.URL
	c.setFleet(1, "")
	var ended []chan error
	run := func(f func(context.Context) error) context.CancelFunc {
		own, stop := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() { done <- f(own) }()
		ended = append(ended, done)
		return stop
	}
	for i := range controllers {
		config := Config{
			Cell: "c1", EntryID: fmt.Sprintf("e%d", i), Keeper: keeper.New(keeper.Config{URL: c.storeURL, CallTimeout: 300 * time.Millisecond}),
			Refresh: c.refresh, Fleet: c.fleet.Load, OwnerLease: ownerLease, VMLease: vmLease, OutageLease: 2 * vmLease,
		}
		change(&config)
		ctrl := New(config)
		c.controllers = append(c.controllers, ctrl)
		c.stops = append(c.stops, run(ctrl.Run))
	}
	for i := range vms {
		c.addVM(i, run)
	}
	t.Cleanup(func() {
		cancel()
		for _, done := range ended {
			<-done
		}
		server.CloseClientConnections()
		server.Close()
	})
	return c
}

func (c *cell) addVM(i int, run func(func(context.Context) error) context.CancelFunc) {
	w := worker.New(worker.Config{Capacity: messenger.Capacity{
		VM: fmt.Sprintf("vm%d", i), Zone: fmt.Sprintf("z%d", i%2), Rack: fmt.Sprintf("r%d", i),
		Total: describer.Resources{Millicores: 4000, MemoryBytes: 8 * gib},
	}})
	server := httptest.NewServer(w.Handler())
	c.t.Cleanup(server.Close)
	c.workers = append(c.workers, w)
	// Calls advance the worker's tasks here, because its own loop does not run.
	run(func(ctx context.Context) error {
		d := driver.New(driver.Config{URL: server.URL})
		for ctx.Err() == nil {
			_, _ = d.FindTasks(ctx)
			_ = pauser.Pause(ctx, 10*time.Millisecond)
		}
		return nil
	})
	disconnected := &atomic.Bool{}
	c.disconnected = append(c.disconnected, disconnected)
	refused := &refusedCalls{}
	c.refused = append(c.refused, refused)
	r := runner.New(runner.Config{
		Cell: "c1", AgentID: fmt.Sprintf("a%d", i), Incarnation: 1,
		Driver: driver.New(driver.Config{URL: server.URL, HTTP: &http.Client{Transport: refused}}),
		CallOwner: func(ctx context.Context, method string, params, result any) error {
			if disconnected.Load() {
				return errors.New("agent disconnected")
			}
			return c.call(ctx, method, params, result)
		},
	})
	run(r.Run)
}

func (c *cell) setFleet(version int64, zoneOut string) {
	zones := []describer.Zone{{Name: "z0", State: describer.ZoneIn}, {Name: "z1", State: describer.ZoneIn}}
	for i := range zones {
		if zones[i].Name == zoneOut {
			zones[i].State = describer.ZoneOut
		}
	}
	c.fleet.Store(describer.New(describer.Config{
		Name: "test", Version: version, Zones: zones,
		Tenants: []describer.Tenant{{Name: "caroni", Weight: 1, Quota: describer.Resources{Millicores: 100000}}},
		TaskClasses: []describer.TaskClass{{
			Name: "labels", Needs: describer.Resources{Millicores: 1000, MemoryBytes: gib},
			RunTime: 200 * time.Millisecond, Checkpoint: true, MaxAttempts: 3,
		}, {
			Name: "prints", Needs: describer.Resources{Millicores: 1000, MemoryBytes: gib},
			RunTime: 200 * time.Millisecond, Checkpoint: true, MaxAttempts: 3, HoldWhenLost: true,
		}},
		Policy: describer.Policy{EvictionsPerMinute: 600},
	}))
}

func (c *cell) refresh(context.Context) (*describer.Fleet, error) { return c.fleet.Load(), nil }

// call sends a call to each controller until it reaches the owner of the cell.
func (c *cell) call(ctx context.Context, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	err = errors.New("no controller")
	for _, ctrl := range c.controllers {
		var a any
		if a, err = ctrl.Handle(ctx, method, raw); err == nil {
			out, _ := json.Marshal(a)
			return json.Unmarshal(out, result)
		}
		if connector.CodeOf(err) != messenger.CodeNotOwner {
			return err
		}
	}
	return err
}

// waitFor waits until f returns true, and fails the test after testLimit.
func (c *cell) waitFor(what string, f func() bool) {
	c.t.Helper()
	for end := time.Now().Add(testLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f() {
			return
		}
	}
	var s messenger.Status
	err := c.call(c.ctx, messenger.MethodStatus, messenger.StatusRequest{Cell: "c1"}, &s)
	var events messenger.EventsReply
	_ = c.call(c.ctx, messenger.MethodEvents, messenger.EventsRequest{Cell: "c1"}, &events)
	for _, d := range events.Decisions[max(0, len(events.Decisions)-40):] {
		c.t.Logf("%d %s %d %s %s %s %v", d.Number, d.Time.Format("05.000"), d.Code, d.Task, d.VM, d.Reason, d.Inputs)
	}
	c.t.Fatalf("%s: not reached within %s; status %+v, %v", what, testLimit, s, err)
}

func (c *cell) submit(specs ...messenger.TaskSpec) []messenger.SubmitResult {
	c.t.Helper()
	var reply messenger.SubmitReply
	c.waitFor("submission", func() bool {
		return c.call(c.ctx, messenger.MethodSubmit, messenger.SubmitRequest{Cell: "c1", Tasks: specs}, &reply) == nil
	})
	return reply.Results
}

func (c *cell) task(id string) messenger.Task {
	var reply messenger.FindTasksReply
	err := c.call(c.ctx, messenger.MethodFindTasks, messenger.FindTasksOptions{Cell: "c1", IDs: []string{id}}, &reply)
	if err != nil || len(reply.Tasks) == 0 {
		return messenger.Task{}
	}
	return reply.Tasks[0]
}

func (c *cell) counts() map[messenger.TaskState]int {
	var s messenger.Status
	_ = c.call(c.ctx, messenger.MethodStatus, messenger.StatusRequest{Cell: "c1"}, &s)
	return s.Tasks
}

// checkWorkerEvents fails the test if, by the events of the workers, a task ran twice at the
// same time, completed twice, or overcommitted a VM.
func (c *cell) checkWorkerEvents() {
	c.t.Helper()
	var all []worker.Event
	for _, w := range c.workers {
		all = append(all, w.Events()...)
	}
	running, completed := make(map[string]map[string]bool), make(map[string]int)
	sortEvents(all)
	for _, e := range all {
		at := fmt.Sprintf("%s/%d", e.VM, e.Attempt)
		if running[e.Task] == nil {
			running[e.Task] = make(map[string]bool)
		}
		if e.OverCommitted {
			c.t.Errorf("%s is overcommitted by %s", e.VM, e.Task)
		}
		switch e.Event {
		case worker.EventStart:
			if len(running[e.Task]) > 0 {
				c.t.Errorf("%s started as %s while it is running as %v", e.Task, at, running[e.Task])
			}
			running[e.Task][at] = true
		default:
			delete(running[e.Task], at)
		}
		if e.Event == worker.EventCompleted {
			if completed[e.Task]++; completed[e.Task] > 1 {
				c.t.Errorf("%s completed %d times", e.Task, completed[e.Task])
			}
		}
	}
}
