package integration

import (
	"context"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/standin/executor"
	"bamboospread/internal/standin/storer"
	"bamboospread/tests/harness"
	"bamboospread/tests/proxy"
)

// jobFault is a fault that is injected and undone while jobs are submitted.
type jobFault struct {
	name   string
	inject func(ctx context.Context, r *jobTestbed)
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// jobOwner returns the entry that was the latest to take the jobs' cell according to the entries' logs.
func (r *jobTestbed) jobOwner() *harness.Entry {
	owner, latest := r.Entries[0], 0
	for _, e := range r.Entries {
		for _, line := range e.LogLines() {
			if match := epochField.FindStringSubmatch(line); match != nil && containsEvent(line, "ownership taken") {
				if epoch, err := strconv.Atoi(match[1]); err == nil && epoch > latest {
					owner, latest = e, epoch
				}
			}
		}
	}
	return owner
}

// epochField matches the epoch in a line of the log.
var epochField = regexp.MustCompile(` epoch=(\d+)`)

var jobFaults = []jobFault{
	{"no fault", func(context.Context, *jobTestbed) {}},
	{"owner killed", func(ctx context.Context, r *jobTestbed) {
		e := r.jobOwner()
		e.Kill()
		wait(ctx, time.Second)
		e.Restart()
	}},
	{"owner paused", func(ctx context.Context, r *jobTestbed) {
		e := r.jobOwner()
		e.Pause()
		wait(ctx, 4*time.Second)
		e.Resume()
	}},
	{"agent killed", func(ctx context.Context, r *jobTestbed) {
		for _, vm := range r.JobVMs[:2] {
			vm.Agent.Kill()
			wait(ctx, 300*time.Millisecond)
			vm.Agent.Restart()
		}
	}},
	{"agent paused past its grant", func(ctx context.Context, r *jobTestbed) {
		vm := r.JobVMs[0]
		vm.Agent.Pause()
		wait(ctx, 7*time.Second)
		vm.Agent.Resume()
	}},
	{"VM cut off past its grant", func(ctx context.Context, r *jobTestbed) {
		r.SetJobAgentFaults(r.JobVMs[0], proxy.Faults{Cut: proxy.BothDirections})
		wait(ctx, 7*time.Second)
		r.SetJobAgentFaults(r.JobVMs[0], proxy.Faults{})
	}},
	{"executor loses its state", func(ctx context.Context, r *jobTestbed) {
		for _, vm := range r.JobVMs {
			r.Control(vm.ExecutorURL+"/control/faults", executor.Faults{NewIncarnation: true})
			wait(ctx, 700*time.Millisecond)
		}
	}},
	{"orders executed late", func(ctx context.Context, r *jobTestbed) {
		for _, vm := range r.JobVMs {
			r.Control(vm.ExecutorURL+"/control/faults", executor.Faults{LateMillis: 3000})
			wait(ctx, 1500*time.Millisecond)
			r.Control(vm.ExecutorURL+"/control/faults", executor.Faults{})
		}
	}},
	{"store down", func(ctx context.Context, r *jobTestbed) {
		r.SetStore(storer.Faults{Down: true})
		wait(ctx, 4*time.Second)
		r.SetStore(storer.Faults{})
	}},
	{"store down, leases paused", func(ctx context.Context, r *jobTestbed) {
		r.SetStore(storer.Faults{Down: true, PauseLeases: true})
		wait(ctx, 4*time.Second)
		r.SetStore(storer.Faults{})
	}},
	{"store drops its history", func(ctx context.Context, r *jobTestbed) {
		for range 8 {
			r.SetStore(storer.Faults{DropHistory: true})
			wait(ctx, 400*time.Millisecond)
		}
	}},
	{"store loses answers", func(ctx context.Context, r *jobTestbed) {
		r.SetStore(storer.Faults{LoseAnswers: 0.3})
		wait(ctx, 4*time.Second)
		r.SetStore(storer.Faults{})
	}},
	{"everything killed at once", func(ctx context.Context, r *jobTestbed) {
		for _, e := range r.Entries {
			e.Kill()
		}
		for _, vm := range r.JobVMs {
			vm.Agent.Kill()
		}
		wait(ctx, 500*time.Millisecond)
		for _, vm := range r.JobVMs {
			vm.Agent.Restart()
		}
		for _, e := range r.Entries {
			e.Restart()
		}
	}},
}

// TestJobsUnderFaults: callers submit jobs while faults are injected. Every accepted job
// must end as done with its steps in order, no task may run twice, no VM may exceed its
// capacity, and no refused job may run.
func TestJobsUnderFaults(t *testing.T) {
	seed := harness.Seed(t)
	for _, f := range jobFaults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			r := newJobTestbed(t, seed)
			ctx, cancel := context.WithTimeout(t.Context(), jobLoadTime)
			defer cancel()
			submitted := make(chan struct{})
			go func() { defer close(submitted); r.submitUntil(ctx) }()
			wait(ctx, 1500*time.Millisecond)
			f.inject(context.WithoutCancel(ctx), r)
			<-submitted
			r.ClearFaults()
			r.awaitJobs()
			r.checkDuplicateRuns()
			r.checkOrder()
			r.checkCapacity()
			if len(r.accepted) < 5 {
				t.Errorf("only %d jobs were accepted", len(r.accepted))
			}
		})
	}
}

func containsEvent(line, message string) bool { return strings.Contains(line, message) }

// TestJobIsTraceableInLogs: from a job's id and the logs an on-call engineer must be able
// to see which process accepted the job, where each task ran and how it ended.
func TestJobIsTraceableInLogs(t *testing.T) {
	t.Parallel()
	r := newJobTestbed(t, harness.Seed(t))
	j := &specifier.Job{ID: "00000000000004d2", Queue: "labels", Payload: `{"run-ms":100}`, Steps: []specifier.Step{
		{Count: 1, EstimateMillis: 100, Needs: specifier.Resources{CPUMillis: 500, MemoryMB: 100}},
	}}
	r.submit(j)
	r.awaitJobs()
	var lines []string
	for _, e := range r.Entries {
		lines = append(lines, e.LogLines()...)
	}
	for _, vm := range r.JobVMs {
		lines = append(lines, vm.Agent.LogLines()...)
	}
	for _, want := range []struct{ message, field string }{
		{"job accepted", "job=" + j.ID},
		{"job loaded", "job=" + j.ID},
		{"start decided", "task=" + j.ID + ".0.0.0"},
		{"run started", "task=" + j.ID + ".0.0.0"},
		{"run ended", "task=" + j.ID + ".0.0.0"},
		{"run end recorded", "task=" + j.ID + ".0.0.0"},
		{"job ended", "job=" + j.ID},
	} {
		found := 0
		for _, l := range lines {
			if strings.Contains(l, `message="`+want.message+`"`) && strings.Contains(l, want.field) {
				found++
			}
		}
		if found != 1 {
			t.Errorf("%d lines %q with %s, want 1", found, want.message, want.field)
		}
	}
}

// TestCancelledJobStops: a long-running job is cancelled by command. Its tasks must end,
// and it must stay cancelled even if it is submitted again.
func TestCancelledJobStops(t *testing.T) {
	t.Parallel()
	r := newJobTestbed(t, harness.Seed(t))
	j := &specifier.Job{ID: "00000000000004d3", Queue: "labels", Payload: `{"run-ms":-1}`, Steps: []specifier.Step{
		{Count: 3, Needs: specifier.Resources{CPUMillis: 500, MemoryMB: 100}, LongRunning: true},
	}}
	r.submit(j)
	awaitRunning := func(want int) {
		harness.WaitFor(t, jobTimeout, "running tasks", func(context.Context) error {
			if got := r.running(); got != want {
				return fmt.Errorf("%d tasks run, want %d", got, want)
			}
			return nil
		})
	}
	awaitRunning(3)
	entries := "--entries=" + r.Entries[0].HTTP
	if out, code := harness.Run(t, "cancel", entries, "--job", j.ID); code != 0 {
		t.Fatalf("cancel ended with %d: %s", code, out)
	}
	awaitRunning(0)
	r.submit(j)
	if out, _ := harness.Run(t, "status", entries, "--job", j.ID); !strings.Contains(out, "is cancelled") {
		t.Errorf("after a repeated submission: %s", out)
	}
	time.Sleep(time.Second)
	awaitRunning(0)
}
