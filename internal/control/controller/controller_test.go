package controller

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/standin/worker"
	"bamboospread/internal/wire/messenger"
)

func sortEvents(all []worker.Event) {
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time.Before(all[j].Time) })
}

func labels(n int) []messenger.TaskSpec {
	specs := make([]messenger.TaskSpec, n)
	for i := range specs {
		specs[i] = messenger.TaskSpec{ID: fmt.Sprintf("batch-%03d", i), Tenant: "caroni", Class: "labels"}
	}
	return specs
}

// TestTasksCompleteOnce submits more tasks than fit at once, twice with the same ids: each
// must run and complete once.
func TestTasksCompleteOnce(t *testing.T) {
	set := metrics.NewSet()
	c := newCellWith(t, 3, 1, func(config *Config) { config.Metrics = set })
	for range 2 {
		for _, result := range c.submit(labels(40)...) {
			if !result.Accepted {
				t.Errorf("%s refused: %s", result.ID, result.Reason)
			}
		}
	}
	c.waitFor("all completed", func() bool { return c.counts()[messenger.TaskCompleted] == 40 })
	c.checkWorkerEvents()
	var output strings.Builder
	set.WritePrometheus(&output)
	if want := `bamboospread_task_turnaround_seconds_count{cell="c1",tenant="caroni",class="labels"} 40`; !strings.Contains(output.String(), want) {
		t.Errorf("metrics without %s", want)
	}
}

// TestTasksContinueAfterOwnerFailover kills the owner while tasks run: the successor must
// recover the state, adopt the attempts that the agents report and start the other tasks.
func TestTasksContinueAfterOwnerFailover(t *testing.T) {
	c := newCell(t, 3, 2)
	c.submit(labels(60)...)
	c.waitFor("some completed", func() bool { return c.counts()[messenger.TaskCompleted] > 5 })
	for i, ctrl := range c.controllers {
		if ctrl.current.Load() != nil {
			c.stops[i]()
		}
	}
	c.waitFor("all completed", func() bool { return c.counts()[messenger.TaskCompleted] == 60 })
	c.checkWorkerEvents()
}

// TestTasksOfLostVMRestartAfterLease disconnects an agent: its tasks may run elsewhere only
// after the lease at the worker has expired.
func TestTasksOfLostVMRestartAfterLease(t *testing.T) {
	c := newCell(t, 2, 1)
	specs := labels(6)
	for i := range specs {
		specs[i].RunTimeMillis = 3000
	}
	c.submit(specs...)
	c.waitFor("running", func() bool { return c.counts()[messenger.TaskRunning] == 6 })
	c.disconnected[0].Store(true)
	disconnected := time.Now()
	c.waitFor("all completed", func() bool { return c.counts()[messenger.TaskCompleted] == 6 })
	t.Logf("completed %v after the agent was disconnected", time.Since(disconnected))
	c.checkWorkerEvents()
}

// TestZoneOutMovesTasks takes a zone out: its tasks must be checkpointed and resume from
// the checkpoint in the other zone.
func TestZoneOutMovesTasks(t *testing.T) {
	c := newCell(t, 4, 1)
	specs := labels(6)
	for i := range specs {
		specs[i].RunTimeMillis = 2000
	}
	c.submit(specs...)
	c.waitFor("running", func() bool { return c.counts()[messenger.TaskRunning] == 6 })
	time.Sleep(500 * time.Millisecond)
	c.setFleet(2, "z1")
	out := time.Now()
	c.waitFor("all completed", func() bool { return c.counts()[messenger.TaskCompleted] == 6 })
	c.checkWorkerEvents()
	for _, w := range c.workers {
		for _, e := range w.Events() {
			if e.Zone == "z1" && e.Event == worker.EventStart && e.Time.After(out.Add(maxContactAge+startValidity)) {
				t.Errorf("%s started in z1 at %v after it was taken out", e.Task, e.Time.Sub(out))
			}
			if e.Event == worker.EventStart && e.Attempt > 1 && e.ProgressMillis == 0 {
				t.Errorf("%s started from the beginning instead of resuming", e.Task)
			}
		}
	}
}

// TestSubmitDecisions submits tasks that can't run, and one that always fails.
func TestSubmitDecisions(t *testing.T) {
	c := newCell(t, 4, 1)
	c.waitFor("VMs known", func() bool { return c.counts() != nil && len(c.status().VMs) == 4 })
	cases := []struct {
		name     string
		spec     messenger.TaskSpec
		accepted bool
		state    messenger.TaskState
	}{
		{"unknown tenant", messenger.TaskSpec{ID: "a", Tenant: "nobody", Class: "labels"}, false, ""},
		{"unknown class", messenger.TaskSpec{ID: "b", Tenant: "caroni", Class: "none"}, false, ""},
		{"too big for any VM", messenger.TaskSpec{ID: "c", Tenant: "caroni", Class: "labels", Needs: describer.Resources{Millicores: 9000}}, true, messenger.TaskHeld},
		{"beyond quota", messenger.TaskSpec{ID: "d", Tenant: "caroni", Class: "labels", Needs: describer.Resources{Millicores: 200000}}, true, messenger.TaskHeld},
		{"ordinary", messenger.TaskSpec{ID: "e", Tenant: "caroni", Class: "labels"}, true, messenger.TaskQueued},
		{"always fails", messenger.TaskSpec{ID: "f", Tenant: "caroni", Class: "labels", Payload: `{"run-ms":20,"fail":true}`}, true, messenger.TaskQueued},
		{"same id, other task", messenger.TaskSpec{ID: "e", Tenant: "caroni", Class: "labels", Payload: "x"}, false, ""},
	}
	for _, tc := range cases {
		result := c.submit(tc.spec)[0]
		if result.Accepted != tc.accepted || result.State != tc.state || result.Reason == "" && tc.state != messenger.TaskQueued {
			t.Errorf("%s: got %+v", tc.name, result)
		}
	}
	c.waitFor("held after all its attempts failed", func() bool { return c.task("f").State == messenger.TaskHeld })
	if f := c.task("f"); f.Failures != 3 {
		t.Errorf("got %+v, want 3 failures", f)
	}
	var reply messenger.CancelReply
	if err := c.call(c.ctx, messenger.MethodCancel, messenger.CancelRequest{Cell: "c1", IDs: []string{"c", "nope"}}, &reply); err != nil || reply.Cancelled != 1 || len(reply.Unknown) != 1 {
		t.Errorf("cancel: %+v, %v", reply, err)
	}
}

func (c *cell) status() messenger.Status {
	var s messenger.Status
	_ = c.call(c.ctx, messenger.MethodStatus, messenger.StatusRequest{Cell: "c1"}, &s)
	return s
}

// TestFailingWorkerIsQuarantined makes one worker fail every task: it must not use up the
// attempts of many tasks.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	c := newCell(t, 3, 1)
	c.workers[0].SetFaults(worker.Faults{FailAll: true})
	c.submit(labels(40)...)
	c.waitFor("all completed", func() bool { return c.counts()[messenger.TaskCompleted] == 40 })
	if q := c.status().VMs[0].Quarantined; q == "" {
		t.Error("the failing worker is not in quarantine")
	}
	c.checkWorkerEvents()
}

// TestCancelManyTasks cancels thousands of tasks at once, some of them running.
func TestCancelManyTasks(t *testing.T) {
	c := newCell(t, 2, 1)
	c.submit(labels(2000)...)
	c.waitFor("some run", func() bool { return c.counts()[messenger.TaskRunning] > 0 })
	var reply messenger.CancelReply
	if err := c.call(c.ctx, messenger.MethodCancel, messenger.CancelRequest{Cell: "c1", Class: "labels"}, &reply); err != nil {
		t.Fatal(err)
	}
	c.waitFor("none left", func() bool {
		n := c.counts()
		return n[messenger.TaskCompleted]+n[messenger.TaskCancelled] == 2000
	})
	c.checkWorkerEvents()
}

// TestClaims claims a key repeatedly, also after a change of owner.
func TestClaims(t *testing.T) {
	c := newCell(t, 1, 2)
	claim := func(request, digest string) (reply messenger.ClaimReply) {
		c.waitFor("claim", func() bool {
			return c.call(c.ctx, messenger.MethodClaim, messenger.ClaimRequest{
				Cell: "c1", Tenant: "caroni", Service: "print", Key: "k", Digest: digest, RequestID: request,
			}, &reply) == nil
		})
		return reply
	}
	expect := func(what string, got messenger.ClaimReply, want messenger.ClaimState) {
		t.Helper()
		if got.State != want {
			t.Errorf("%s: got %s, want %s", what, got.State, want)
		}
	}
	expect("first", claim("r1", "d"), messenger.ClaimGranted)
	expect("again", claim("r1", "d"), messenger.ClaimGranted)
	expect("other request", claim("r2", "d"), messenger.ClaimHeld)
	expect("other digest", claim("r1", "x"), messenger.ClaimMismatch)
	for i, ctrl := range c.controllers {
		if ctrl.current.Load() != nil {
			c.stops[i]()
		}
	}
	expect("other request at the successor", claim("r2", "d"), messenger.ClaimHeld)
	resolve := messenger.ResolveClaimRequest{Cell: "c1", Tenant: "caroni", Key: "k", RequestID: "r1", Outcome: messenger.OutcomeRun, Answer: &messenger.StoredAnswer{Status: 201, Complete: true}}
	if err := c.call(c.ctx, messenger.MethodResolveClaim, resolve, &messenger.Empty{}); err != nil {
		t.Fatal(err)
	}
	got := claim("r2", "d")
	expect("after it ran", got, messenger.ClaimResolved)
	if got.Answer == nil || got.Answer.Status != 201 {
		t.Errorf("stored answer: %+v", got.Answer)
	}
}
