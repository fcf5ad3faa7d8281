package tracker

import (
	"fmt"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
)

var (
	begin     = time.Unix(1_000_000, 0)
	oneCore   = specifier.Resources{CPUMillis: 1000, MemoryMB: 100}
	eightCore = specifier.Resources{CPUMillis: 8000, MemoryMB: 8000}
)

// at returns the time the given number of milliseconds after begin.
func at(millis int) time.Time { return begin.Add(time.Duration(millis) * time.Millisecond) }

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

func newState(t *testing.T, maxFailures int) *Tracker {
	t.Helper()
	return New(Config{Policy: &specifier.Policy{Version: 1, Queues: []specifier.Queue{{Name: "q", MaxFailures: maxFailures, Slack: 2}}}})
}

func addJob(t *testing.T, tr *Tracker, n int, steps ...specifier.Step) *Job {
	t.Helper()
	spec := &specifier.Job{ID: jobID(n), Queue: "q", Steps: steps, AcceptedMillis: begin.UnixMilli()}
	if err := specifier.Check(spec); err != nil {
		t.Fatal(err)
	}
	if !tr.AddJob(spec, time.Time{}, begin) {
		t.Fatalf("job %d is not new", n)
	}
	return tr.Jobs[spec.ID]
}

// attach opens a session of a VM without runs.
func attach(tr *Tracker, name string) *VM {
	vm, _ := tr.Attach(VMInfo{Name: name, Zone: "z", Capacity: eightCore}, Report{Incarnation: "1", Ready: true}, begin)
	return vm
}

func task(n, step, index int) specifier.TaskID {
	return specifier.TaskID{Job: jobID(n), Step: step, Index: index}
}

func key(n, step, index int, run int64) RunKey { return RunKey{task(n, step, index), run} }

// encode returns the record of a job.
func encode(t *testing.T, j *Job) []byte {
	t.Helper()
	e, err := j.Encode(MaxRecordBytes)
	if err != nil {
		t.Fatal(err)
	}
	return e.Value
}
