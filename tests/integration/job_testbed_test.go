package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/operator/requester"
	"bamboospread/internal/standin/executor"
	"bamboospread/tests/harness"
)

const (
	jobFleet = harness.FleetText + `queues:
  - {name: labels, priority: 0, max-failures: 4, slack: 2, target: 250ms}
  - {name: sorting, priority: 2, max-failures: 4, slack: 2, target: 1s}
`
	jobVMMillis       = 8000
	jobSubmitInterval = 200 * time.Millisecond
	jobLoadTime       = 8 * time.Second // how long jobs are submitted while faults are injected
	jobTimeout        = 45 * time.Second
)

// jobTestbed is a cluster that runs jobs under faults. The checks use the events that
// the executors record.
type jobTestbed struct {
	*harness.Cluster
	t        *testing.T
	random   *rand.Rand
	operator *requester.Requester

	mu       sync.Mutex
	accepted map[string]*specifier.Job
	refused  map[string]bool // every attempt to submit it was refused
}

func newJobTestbed(t *testing.T, seed uint64) *jobTestbed {
	t.Helper()
	return newLinkedJobTestbed(t, seed, 0)
}

// newLinkedJobTestbed returns a testbed in which the agents of some VMs, the last ones, reach their
// executors through a proxy.
func newLinkedJobTestbed(t *testing.T, seed uint64, links int, executorArgs ...string) *jobTestbed {
	t.Helper()
	return newJobTestbedOf(t, seed, harness.Config{Entries: 2, JobVMs: 3, ExecutorLinks: links, ExecutorArgs: executorArgs})
}

// newJobTestbedOf returns a testbed with the processes of c, all of whose VMs have executors.
func newJobTestbedOf(t *testing.T, seed uint64, c harness.Config) *jobTestbed {
	t.Helper()
	c.NoVMs = true
	c.ExecutorArgs = append([]string{"--cpu-millis", fmt.Sprint(jobVMMillis), "--memory-mb", "16000", "--lease-max", "10s"}, c.ExecutorArgs...)
	k := harness.New(t, c)
	k.ApplyFleet(jobFleet)
	return &jobTestbed{
		Cluster: k, t: t, random: rand.New(rand.NewPCG(seed, 11)), operator: k.Operator(),
		accepted: make(map[string]*specifier.Job), refused: make(map[string]bool),
	}
}

// drawJob returns a job of one to three steps, each of which depends on the previous one.
func (r *jobTestbed) drawJob(n int) *specifier.Job {
	j := &specifier.Job{
		ID: fmt.Sprintf("%016x", 0x1000+n), Queue: []string{"labels", "sorting"}[r.random.IntN(2)],
		Payload: fmt.Sprintf(`{"run-ms":%d,"checkpointed":true}`, 100+r.random.IntN(500)),
	}
	for i := range 1 + r.random.IntN(3) {
		s := specifier.Step{
			Count: 1 + r.random.IntN(4), EstimateMillis: 300, Checkpoints: true, BestEffort: r.random.IntN(3) == 0,
			Needs: specifier.Resources{CPUMillis: 500 * (1 + r.random.Int64N(6)), MemoryMB: 100 * (1 + r.random.Int64N(20))},
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// submitUntil submits jobs until ctx ends. A submission whose outcome is unknown is
// retried with the same id until its outcome is known.
func (r *jobTestbed) submitUntil(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		j := r.drawJob(n)
		r.submit(j)
		select {
		case <-ctx.Done():
		case <-time.After(jobSubmitInterval):
		}
	}
}

// submit submits a job to any entry.
func (r *jobTestbed) submit(j *specifier.Job) { r.submitTo(r.operator, j) }

// submitTo submits a job to the entries of a client. That none can take it is final only if no earlier try may
// have been accepted.
func (r *jobTestbed) submitTo(operator *requester.Requester, j *specifier.Job) {
	ctx, cancel := context.WithTimeout(context.Background(), jobTimeout)
	defer cancel()
	for unknown := false; ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		_, err := operator.SubmitJob(ctx, j)
		unknown = unknown || err != nil && !requester.IsErrUnavailable(err)
		r.mu.Lock()
		switch {
		case err == nil:
			r.accepted[j.ID] = j
		case !unknown:
			r.refused[j.ID] = true
		}
		r.mu.Unlock()
		if err == nil || !unknown {
			return
		}
	}
	r.t.Errorf("the outcome of the submission of job %s is still unknown after %s", j.ID, jobTimeout)
}

// awaitJobs waits until every accepted job is shown as done.
func (r *jobTestbed) awaitJobs() {
	r.t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	unfinished := make(map[string]bool)
	for id := range r.accepted {
		unfinished[id] = true
	}
	harness.WaitFor(r.t, jobTimeout, "the end of all jobs", func(ctx context.Context) error {
		for id := range unfinished {
			a, err := r.operator.GetJob(ctx, id)
			if err != nil {
				return fmt.Errorf("job %s: %w", id, err)
			}
			if a.State != "done" {
				e, err := r.operator.ExplainJob(ctx, id)
				return fmt.Errorf("job %s is %s: %+v %v", id, a.State, e, err)
			}
			delete(unfinished, id)
		}
		return nil
	})
}

// span is a run as its executor recorded it.
type span struct {
	vm, incarnation string
	run             int64
	from, to        time.Time // to is zero while the run has not ended
	outcome         string
	acknowledged    bool // its end was acknowledged
	expired         bool // leases expired between its end and the acknowledgement
}

// spans collects the runs of each task.
func spans(events []executor.Event) map[string][]*span {
	all := make(map[string][]*span)
	find := func(e executor.Event) *span {
		for _, s := range all[e.Task] {
			if s.vm == e.VM && s.incarnation == e.Incarnation && s.run == e.Run {
				return s
			}
		}
		return nil
	}
	for _, e := range events {
		switch e.Kind {
		case "start":
			all[e.Task] = append(all[e.Task], &span{vm: e.VM, incarnation: e.Incarnation, run: e.Run, from: e.At})
		case "end":
			if s := find(e); s != nil {
				s.to, s.outcome = e.At, e.Outcome
			}
		case "acknowledged":
			if s := find(e); s != nil {
				s.acknowledged = true
			}
		case "lapse":
			for _, runs := range all {
				for _, s := range runs {
					if s.vm == e.VM && s.incarnation == e.Incarnation && !s.acknowledged && !s.to.IsZero() {
						s.expired = true
					}
				}
			}
		}
	}
	return all
}

// checkDuplicateRuns checks that no task had two runs at the same time, and that none
// started again after its end as done was acknowledged.
func (r *jobTestbed) checkDuplicateRuns() {
	r.t.Helper()
	for task, runs := range spans(r.JobEvents()) {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if a.to.IsZero() || b.from.Before(a.to) {
					r.t.Errorf("%s: run %d on %s from %s to %s, run %d on %s from %s", task, a.run, a.vm, formatTime(a.from), formatTime(a.to), b.run, b.vm, formatTime(b.from))
				}
				if a.outcome == "done" && a.acknowledged && !a.expired {
					r.t.Errorf("%s: run %d on %s was done at %s and acknowledged; run %d began on %s at %s", task, a.run, a.vm, formatTime(a.to), b.run, b.vm, formatTime(b.from))
				}
				if b.run <= a.run {
					r.t.Errorf("%s: run %d after run %d", task, b.run, a.run)
				}
			}
		}
	}
}

func formatTime(t time.Time) string { return t.Format("05.000") }

// checkOrder checks that no task began before each task of the previous step was done,
// that every accepted job's tasks are done, and that no refused job ran.
func (r *jobTestbed) checkOrder() {
	r.t.Helper()
	all := spans(r.JobEvents())
	for id, j := range r.accepted {
		for step, s := range j.Steps {
			for index := range s.Count {
				task := specifier.TaskID{Job: id, Step: step, Index: index}
				if doneAt(all[task.String()]).IsZero() {
					r.t.Errorf("%s is not done", task)
				}
				if len(s.After) == 0 || len(all[task.String()]) == 0 {
					continue
				}
				for before := range j.Steps[step-1].Count {
					earlier := specifier.TaskID{Job: id, Step: step - 1, Index: before}
					if began := all[task.String()][0].from; began.Before(doneAt(all[earlier.String()])) {
						r.t.Errorf("%s began before %s was done", task, earlier)
					}
				}
			}
		}
	}
	for task := range all {
		id, _, _ := strings.Cut(task, ".")
		if r.refused[id] && r.accepted[id] == nil {
			r.t.Errorf("%s ran although its job was refused", task)
		}
	}
}

// doneAt returns when a task was first done.
func doneAt(runs []*span) time.Time {
	for _, s := range runs {
		if s.outcome == "done" {
			return s.to
		}
	}
	return time.Time{}
}

// checkCapacity checks that no VM was ever committed beyond its capacity.
func (r *jobTestbed) checkCapacity() {
	r.t.Helper()
	needs := make(map[string]specifier.Resources)
	for id, j := range r.accepted {
		for step, s := range j.Steps {
			for index := range s.Count {
				needs[specifier.TaskID{Job: id, Step: step, Index: index}.String()] = s.Committed()
			}
		}
	}
	used := make(map[string]specifier.Resources)
	for _, e := range r.JobEvents() {
		switch e.Kind {
		case "start":
			used[e.VM] = used[e.VM].Add(needs[e.Task])
			if used[e.VM].CPUMillis > jobVMMillis {
				r.t.Errorf("%s has %d of %d thousandths of a core committed at %s", e.VM, used[e.VM].CPUMillis, jobVMMillis, formatTime(e.At))
			}
		case "end":
			used[e.VM] = used[e.VM].Sub(needs[e.Task])
		}
	}
}
