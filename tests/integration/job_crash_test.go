package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/standin/executor"
	"bamboospread/tests/harness"
)

// After maxCrashes workers have crashed under a task, it may start fewer than forbiddenStarts
// times more.
const (
	maxCrashes      = 3
	forbiddenStarts = 3
)

// crashesOf returns how many workers have crashed under a task, and how often it started after
// maxCrashes of them.
func (r *jobTestbed) crashesOf(task string) (crashes, startsAfter int) {
	r.t.Helper()
	for _, e := range r.JobEvents() {
		switch {
		case e.Task != task:
		case e.Kind == "crash":
			crashes++
		case e.Kind == "start" && crashes >= maxCrashes:
			startsAfter++
		}
	}
	return crashes, startsAfter
}

func (r *jobTestbed) awaitCrash(task string) {
	r.t.Helper()
	harness.WaitFor(r.t, jobTimeout, "a crash", func(context.Context) error {
		if crashes, _ := r.crashesOf(task); crashes == 0 {
			return fmt.Errorf("no worker has crashed under %s", task)
		}
		return nil
	})
}

// checkReasonShown checks that callers and operators learn from the job's id which task made it fail
// and why.
func (r *jobTestbed) checkReasonShown(job, task string) {
	r.t.Helper()
	want := "task " + task + " crashes its workers"
	if a, err := r.operator.GetJob(r.t.Context(), job); err != nil || !strings.Contains(a.Reason, want) {
		r.t.Errorf("the reason is %q, %v; want %q in it", a.Reason, err, want)
	}
	entries := "--entries=" + r.Entries[0].HTTP + "," + r.Entries[1].HTTP
	for _, args := range [][]string{{"status", entries, "--job", job}, {"explain", entries, "job", job}} {
		if out, _ := harness.Run(r.t, args...); !strings.Contains(out, want) {
			r.t.Errorf("%s: %s; want %q in it", args[0], out, want)
		}
	}
	for _, message := range []string{"worker crashed", "task suspected", "job ended"} {
		found := false
		for _, l := range r.jobLogLines() {
			found = found || strings.Contains(l, `message="`+message+`"`) && strings.Contains(l, job)
		}
		if !found {
			r.t.Errorf("no line %q with the job's id", message)
		}
	}
}

func (r *jobTestbed) jobLogLines() (lines []string) {
	for _, e := range r.Entries {
		lines = append(lines, e.LogLines()...)
	}
	for _, vm := range r.JobVMs {
		lines = append(lines, vm.Agent.LogLines()...)
	}
	return lines
}

// TestTaskThatCrashesItsWorkersIsGivenUp guards against a task that takes down one worker after
// the other, with everything that runs there, because a run that ends with its worker counts for
// nothing. Jobs whose tasks stood beside it must end as done.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for _, tt := range []struct {
		name   string
		during func(ctx context.Context, r *jobTestbed, task string)
	}{
		{"no other fault", func(context.Context, *jobTestbed, string) {}},
		{"owner replaced between the crashes", func(ctx context.Context, r *jobTestbed, task string) {
			r.awaitCrash(task)
			e := r.jobOwner()
			e.Kill()
			wait(ctx, time.Second)
			e.Restart()
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newJobTestbed(t, harness.Seed(t))
			ctx, cancel := context.WithTimeout(t.Context(), jobLoadTime)
			defer cancel()
			submitted := make(chan struct{})
			go func() { defer close(submitted); r.submitUntil(ctx) }()
			wait(ctx, time.Second)
			crashing := &specifier.Job{ID: "00000000000004d5", Queue: "labels", Payload: `{"run-ms":300,"crash-index":0,"crash-ms":10}`, Steps: []specifier.Step{
				{Count: 3, EstimateMillis: 300, Needs: specifier.Resources{CPUMillis: 500, MemoryMB: 100}},
			}}
			if _, err := r.operator.SubmitJob(ctx, crashing); err != nil {
				t.Fatal(err)
			}
			task := specifier.TaskID{Job: crashing.ID}.String()
			tt.during(context.WithoutCancel(ctx), r, task)
			harness.WaitFor(t, jobTimeout, "the end of the crashing job", func(ctx context.Context) error {
				if _, startsAfter := r.crashesOf(task); startsAfter >= forbiddenStarts {
					t.Fatalf("%s has started %d times since %d workers have crashed under it", task, startsAfter, maxCrashes)
				}
				a, err := r.operator.GetJob(ctx, crashing.ID)
				if err != nil {
					return err
				}
				if a.State != "failed" {
					return fmt.Errorf("it is %s", a.State)
				}
				return nil
			})
			r.checkReasonShown(crashing.ID, task)
			<-submitted
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

// startsOf returns the starts of a task, oldest first.
func (r *jobTestbed) startsOf(task string) (starts []executor.Event) {
	r.t.Helper()
	for _, e := range r.JobEvents() {
		if e.Task == task && e.Kind == "start" {
			starts = append(starts, e)
		}
	}
	return starts
}

// endExecutor injects a fault that ends the executor of a VM, which may not answer then.
func (r *jobTestbed) endExecutor(name string, f executor.Faults) {
	r.t.Helper()
	body, err := json.Marshal(f)
	if err != nil {
		r.t.Fatal(err)
	}
	for _, vm := range r.JobVMs {
		if vm.Name != name {
			continue
		}
		if resp, err := http.Post(vm.ExecutorURL+"/control/faults", "application/json", bytes.NewReader(body)); err == nil {
			resp.Body.Close()
		}
	}
}

// TestTaskOnRestartedWorkersIsNotGivenUp guards against a job that fails because the workers under
// its task were restarted one after the other: it starts on the next one at once, and is alone there.
func TestTaskOnRestartedWorkersIsNotGivenUp(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault executor.Faults
	}{
		{"process ends", executor.Faults{Crash: true}},
		{"state lost", executor.Faults{NewIncarnation: true}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newJobTestbed(t, harness.Seed(t))
			j := &specifier.Job{ID: "00000000000004d6", Queue: "labels", Payload: `{"run-ms":1500}`, Steps: []specifier.Step{
				{Count: 1, EstimateMillis: 1500, Needs: specifier.Resources{CPUMillis: 500, MemoryMB: 100}},
			}}
			r.submit(j)
			task := specifier.TaskID{Job: j.ID}.String()
			for n, age := range []time.Duration{400 * time.Millisecond, 100 * time.Millisecond, 600 * time.Millisecond} {
				harness.WaitFor(t, jobTimeout, "a start", func(context.Context) error {
					if starts := r.startsOf(task); len(starts) <= n {
						return fmt.Errorf("%d starts", len(starts))
					}
					return nil
				})
				start := r.startsOf(task)[n]
				time.Sleep(time.Until(start.At.Add(age)))
				r.endExecutor(start.VM, tt.fault)
			}
			r.awaitJobs()
			r.checkDuplicateRuns()
		})
	}
}
