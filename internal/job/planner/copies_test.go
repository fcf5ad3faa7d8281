package planner

import (
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// newCopyFixture returns a step of one task that may have copies, running on vm-1, and free
// capacity on vm-2.
func newCopyFixture(t *testing.T, change func(*specifier.Step)) (*fixture, *tracker.Task) {
	t.Helper()
	b := newFixture()
	b.vm("vm-1", "in", "r1", cores(4))
	spec := specifier.Step{Count: 1, Needs: cores(1), EstimateMillis: 1000, Copies: true}
	if change != nil {
		change(&spec)
	}
	j := b.job("q", spec)
	b.apply(b.plan(begin), begin)
	b.vm("vm-2", "in", "r2", cores(4))
	return b, j.Occurrences[0].Steps[0].Tasks[0]
}

func (b *fixture) apply(starts []Start, now time.Time) {
	for _, s := range starts {
		b.state.Place(s.Task, s.VM, s.Number, now)
	}
}

// reportProgress applies a report of vm-1 with the given progress of its runs at a time after
// begin.
func (b *fixture) reportProgress(percent int, after time.Duration) time.Time {
	vm := b.state.VMs["vm-1"]
	rep := tracker.Report{Incarnation: "1", Ready: true, OrdersSeen: vm.OrderSeq}
	for key := range vm.Runs {
		rep.Runs = append(rep.Runs, tracker.ReportedRun{Key: key, Confirmed: true, Progress: percent})
	}
	now := begin.Add(after)
	b.state.Apply(vm, rep, now)
	return now
}

// A small batch ends seconds late because one of its tasks is on a worker that has become
// slow, or on a VM out of contact. Nothing fails, so nothing else would start it again. Where
// copies are allowed, one starts on another VM; otherwise none may.
func TestStragglersGetACopy(t *testing.T) {
	tests := []struct {
		name     string
		step     func(*specifier.Step)
		percent  int
		after    time.Duration
		detached bool
		want     bool
	}{
		{"on schedule", nil, 60, 600 * time.Millisecond, false, false},
		{"a little slow", nil, 50, 800 * time.Millisecond, false, false},
		{"just started", nil, 1, 300 * time.Millisecond, false, false},
		{"slow worker", nil, 20, 900 * time.Millisecond, false, true},
		{"stalled", nil, 0, 900 * time.Millisecond, false, true},
		{"nearly done", nil, 90, 4 * time.Second, false, false},
		{"VM out of contact", nil, 50, 500 * time.Millisecond, true, true},
		{"slow, no copies allowed", func(s *specifier.Step) { s.Copies = false }, 20, 900 * time.Millisecond, false, false},
		{"VM out of contact, no copies allowed", func(s *specifier.Step) { s.Copies = false }, 50, 500 * time.Millisecond, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, task := newCopyFixture(t, tt.step)
			b.reportProgress(0, 0)
			now := b.reportProgress(tt.percent, tt.after)
			if tt.detached {
				b.state.Detach(b.state.VMs["vm-1"])
			}
			starts := b.plan(now)
			if got := len(starts) == 1; got != tt.want {
				t.Fatalf("%d starts, want a copy: %t", len(starts), tt.want)
			}
			if !tt.want {
				return
			}
			if s := starts[0]; !s.Copy || s.VM.Name != "vm-2" || s.Number <= task.Runs[0].Number {
				t.Errorf("copy %t on %s with number %d", s.Copy, s.VM.Name, s.Number)
			}
			b.apply(starts, now)
			b.vm("vm-3", "in", "r3", cores(4)) // capacity for a third run, which would only repeat work
			if again := b.plan(now); len(again) != 0 {
				t.Errorf("%d more copies", len(again))
			}
		})
	}
}

// The first of two copies that ends counts, and the other one is stopped. A failure of one
// copy does not end the other.
func TestFirstCopyCounts(t *testing.T) {
	b, task := newCopyFixture(t, nil)
	b.reportProgress(0, 0)
	now := b.reportProgress(10, 900*time.Millisecond)
	b.apply(b.plan(now), now)
	if len(task.Runs) != 2 {
		t.Fatalf("%d runs", len(task.Runs))
	}
	first, second := task.Runs[0], task.Runs[1]
	if stopped := tracker.Unwanted(b.state.SortedVMs()); len(stopped) != 0 {
		t.Fatalf("%d copies are stopped before one has ended", len(stopped))
	}
	b.state.EndRun(second.VM, second.Key(), tracker.EndDone, "", now)
	if !task.Done || task.Step.Occurrence.Job.State != tracker.JobDone {
		t.Error("the task is not done")
	}
	if stopped := tracker.Unwanted(b.state.SortedVMs()); len(stopped) != 1 || stopped[0] != first {
		t.Errorf("%d runs are stopped, want the first copy", len(stopped))
	}
}

// A task with three allowed failures has failed twice: a copy of its third run could exceed
// the limit.
func TestNoCopyBeyondMaxFailures(t *testing.T) {
	b, task := newCopyFixture(t, nil)
	task.SetFailed([]int64{101, 102})
	b.reportProgress(0, 0)
	if starts := b.plan(b.reportProgress(10, 900*time.Millisecond)); len(starts) != 0 {
		t.Error("a copy was started")
	}
}

// One task of a step is a straggler while another one waits, and one VM has free capacity. If
// the same round gave the copy and the waiting task a place there, the VM would run more tasks
// of the step than its job allows per VM.
func TestCopiesAndWaitingTasksShareLimitPerVM(t *testing.T) {
	b, slow := newCopyFixture(t, func(s *specifier.Step) { s.Count, s.MaxPerVM = 2, 1 })
	waiting := slow.Step.Tasks[1]
	if len(waiting.Runs) > 0 {
		t.Fatal("both tasks run on one VM")
	}
	b.reportProgress(1, 0)
	now := b.reportProgress(20, 900*time.Millisecond)
	if !needsCopy(Input{Now: now, State: b.state}, slow) {
		t.Fatal("the first task is not a straggler")
	}
	starts := b.plan(now)
	if len(starts) != 1 || starts[0].Task != waiting || starts[0].VM.Name != "vm-2" {
		t.Errorf("starts %v, want the waiting task on vm-2 and nothing else", vmsByTask(starts))
	}
}

// Guards against tasks that wait for the leases of a worker that does not answer, though they may run in
// copies: its runs may have ended.
func TestRunOfUnresponsiveWorkerGetsACopy(t *testing.T) {
	b, task := newCopyFixture(t, nil)
	b.reportProgress(0, 0)
	now := b.reportProgress(40, 400*time.Millisecond)
	if needsCopy(Input{Now: now, State: b.state}, task) {
		t.Error("a copy beside a run on schedule")
	}
	run := task.Runs[0]
	rep := tracker.Report{Incarnation: "1", OrdersSeen: run.VM.OrderSeq, Unresponsive: time.Second, Runs: []tracker.ReportedRun{{Key: run.Key(), Confirmed: true, Progress: 40}}}
	b.state.Apply(run.VM, rep, now)
	if !needsCopy(Input{Now: now, State: b.state}, task) {
		t.Error("no copy")
	}
}
