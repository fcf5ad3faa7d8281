package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/registrar"
	"bamboospread/internal/operator/handler"
	"bamboospread/internal/service/agent"
	"bamboospread/internal/standin/executor"
)

const (
	jobVMCount = 2
	jobID      = "00000000000004d2"
	jobQueue   = "labels"
	jobLimit   = 15 * time.Second // from its submission to its end
	jobPayload = `{"run-ms":300}`
)

// jobSteps are the steps of the demo's job: the second one starts after the first one
// is done.
var jobSteps = []specifier.Step{
	{Count: 4, Needs: specifier.Resources{CPUMillis: 500, MemoryMB: 256}, EstimateMillis: 300},
	{Count: 6, Needs: specifier.Resources{CPUMillis: 2000, MemoryMB: 512}, EstimateMillis: 300, After: []int{0}},
}

// jobCounts holds the counts of the executors for the job, and the state that was
// reported to its caller.
type jobCounts struct {
	state string
	done  int
	twice int // tasks that were done twice, or had two runs at the same time
	early int // 1 if a task of the second step started before the first step was done
}

// addJobVMs adds the VMs that run jobs.
func (d *Demonstrator) addJobVMs(services *registrar.Registrar, rpc []string) error {
	var executors, agents []service
	for i := range jobVMCount {
		name := fmt.Sprintf("job-vm-%d", i+1)
		e := executor.New(executor.Config{VM: name, Capacity: specifier.Resources{CPUMillis: 16_000, MemoryMB: 64_000}})
		d.executors = append(d.executors, e)
		run, url, err := listen(e.Run)
		if err != nil {
			return err
		}
		a, err := agent.New(agent.Config{
			ID: "agent-" + name, VM: name, Zone: zoneNames[2*i], Rack: "rack-jobs", Entries: rpc, ExecutorURL: url,
			LocalListen: "127.0.0.1:0", Listen: "127.0.0.1:0", Cell: "main", StopTimeout: stopTimeout, Reporter: d.config.Reporter,
		})
		if err != nil {
			return err
		}
		executors, agents = append(executors, run), append(agents, a.Run)
	}
	d.addService(services, "executors", runTogether(executors))
	d.addService(services, "job-agents", runTogether(agents))
	return nil
}

// runJob submits the job once through each entry and waits for its end.
func (d *Demonstrator) runJob(ctx context.Context, obs *observations) error {
	ctx, cancel := context.WithTimeout(ctx, jobLimit)
	defer cancel()
	body, err := json.Marshal(specifier.Job{Payload: jobPayload, Steps: jobSteps})
	if err != nil {
		return fmt.Errorf("encode job: %w", err)
	}
	for _, entry := range d.entries { // repeated through another entry, it is still one job
		if err := d.call(ctx, http.MethodPut, entry+"/v1/queues/"+jobQueue+"/jobs/"+jobID, body, nil); err != nil {
			return fmt.Errorf("submit job: %w", err)
		}
	}
	d.progress("job of %d steps submitted", len(jobSteps))
	var a handler.JobAnswer
	for ctx.Err() == nil && a.State != "done" && a.State != "failed" {
		sleep(ctx, 100*time.Millisecond)
		if err := d.call(ctx, http.MethodGet, d.entries[0]+"/v1/jobs/"+jobID, nil, &a); err != nil {
			continue // polled again
		}
	}
	obs.mu.Lock()
	obs.jobState = a.State
	obs.mu.Unlock()
	d.progress("job is %s", a.State)
	return nil
}

// countJob counts the job's tasks in the events of the executors.
func (d *Demonstrator) countJob(state string) jobCounts {
	c := jobCounts{state: state}
	running, done := make(map[string]int), make(map[string]int)
	var firstSecond, lastFirst time.Time
	for _, e := range d.executors {
		for _, v := range e.Events() {
			id, err := specifier.ParseTaskID(v.Task)
			if err != nil {
				continue // not a task of a job
			}
			switch {
			case v.Kind == "start":
				running[v.Task]++
				if running[v.Task] > 1 {
					c.twice++
				}
				if id.Step == 1 && (firstSecond.IsZero() || v.At.Before(firstSecond)) {
					firstSecond = v.At
				}
			case v.Kind == "end":
				running[v.Task]--
				if v.Outcome == "done" {
					done[v.Task]++
					if id.Step == 0 && v.At.After(lastFirst) {
						lastFirst = v.At
					}
				}
			}
		}
	}
	for _, n := range done {
		c.done++
		c.twice += n - 1
	}
	if !firstSecond.IsZero() && firstSecond.Before(lastFirst) {
		c.early++
	}
	return c
}

func jobTaskCount() int {
	n := 0
	for _, s := range jobSteps {
		n += s.Count
	}
	return n
}

// guaranteesHold reports whether the guarantees about the job hold.
func (c jobCounts) guaranteesHold() bool {
	return c.state == "done" && c.done == jobTaskCount() && c.twice == 0 && c.early == 0
}
