package scheduler

import (
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// Guards against stops by several decisions of a round that together exceed what may be unavailable of a
// step, and against a stop of a cancelled job that waits for it.
func TestInterruptionsKeepMaxUnavailable(t *testing.T) {
	for _, limit := range []int{0, 1, 2} {
		b := newStopFixture(t)
		b.sendReport()
		vm := b.o.state.VMs["vm-1"]
		spec := &specifier.Job{ID: "00000000000000fe", Queue: "q", AcceptedMillis: b.now.UnixMilli(), Steps: []specifier.Step{{Count: 4, LongRunning: true, MaxUnavailable: limit}}}
		if !b.o.state.AddJob(spec, time.Time{}, b.now) {
			t.Fatal("the job is not new")
		}
		ordered := 0
		tasks := b.o.state.Jobs[spec.ID].Occurrences[0].Steps[0].Tasks
		for _, task := range tasks {
			r := b.o.state.Place(task, vm, 1, b.now)
			r.State, r.StartedAt, r.Progress = tracker.Running, b.now, 100
		}
		for i, task := range tasks {
			if b.o.interrupt(task.Runs[0], []string{"moves", "yields"}[i%2]) {
				ordered++
			}
		}
		want := limit
		if limit == 0 {
			want = len(tasks)
		}
		if ordered != want {
			t.Errorf("%d stops are ordered where %d may be unavailable", ordered, limit)
		}
		b.o.state.Cancel(spec.ID, b.now)
		b.o.checkedVMs = []*tracker.VM{vm}
		b.o.stopUnneeded()
		for _, task := range tasks {
			if task.Runs[0].State != tracker.Stopping {
				t.Error("a run of the cancelled job is not stopped")
			}
		}
	}
}
