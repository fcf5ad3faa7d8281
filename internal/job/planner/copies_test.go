package planner

import (
	"testing"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/specifier"
)

// copyBed has a step of one task of which copies may run, at work on vm-1, and room
// on vm-2.
func copyBed(t *testing.T, change func(*specifier.Step)) (*bed, *accountant.Task) {
	t.Helper()
	b := newBed()
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

func (b *bed) apply(starts []Start, now time.Time) {
	for _, s := range starts {
		b.state.Place(s.Task, s.VM, s.Number, now)
	}
}

// progress lets vm-1 report its run with so much progress at so long after begin.
func (b *bed) progress(percent int, after time.Duration) time.Time {
	vm := b.state.VMs["vm-1"]
	rep := accountant.Report{Life: "1", Ready: true, OrdersSeen: vm.OrderSeq}
	for key := range vm.Runs {
		rep.Runs = append(rep.Runs, accountant.ReportedRun{Key: key, Confirmed: true, Progress: percent})
	}
	now := begin.Add(after)
	b.state.Apply(vm, rep, now)
	return now
}

// A caller's small batch ends seconds late. One of its tasks is on a worker that
// turned slow, or on a VM that is not heard; nothing else fails, so nothing starts
// it again. Where copies are allowed, one begins elsewhere; else it must not.
func TestStragglersGetACopy(t *testing.T) {
	tests := []struct {
		name    string
		step    func(*specifier.Step)
		percent int
		after   time.Duration
		silent  bool
		want    bool
	}{
		{"on its way", nil, 60, 600 * time.Millisecond, false, false},
		{"a little slow", nil, 50, 800 * time.Millisecond, false, false},
		{"just begun", nil, 1, 300 * time.Millisecond, false, false},
		{"slow worker", nil, 20, 900 * time.Millisecond, false, true},
		{"stands still", nil, 0, 900 * time.Millisecond, false, true},
		{"nearly done", nil, 90, 4 * time.Second, false, false},
		{"VM not heard", nil, 50, 500 * time.Millisecond, true, true},
		{"slow, no copies allowed", func(s *specifier.Step) { s.Copies = false }, 20, 900 * time.Millisecond, false, false},
		{"VM not heard, no copies allowed", func(s *specifier.Step) { s.Copies = false }, 50, 500 * time.Millisecond, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, task := copyBed(t, tt.step)
			b.progress(0, 0)
			now := b.progress(tt.percent, tt.after)
			if tt.silent {
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
			b.vm("vm-3", "in", "r3", cores(4)) // room for a third run, which would only repeat work
			if again := b.plan(now); len(again) != 0 {
				t.Errorf("%d more copies", len(again))
			}
		})
	}
}

// The first of two copies that ends counts; the other one is stopped, and a failure
// of one does not end what the other does.
func TestFirstCopyCounts(t *testing.T) {
	b, task := copyBed(t, nil)
	b.progress(0, 0)
	now := b.progress(10, 900*time.Millisecond)
	b.apply(b.plan(now), now)
	if len(task.Runs) != 2 {
		t.Fatalf("%d runs", len(task.Runs))
	}
	first, second := task.Runs[0], task.Runs[1]
	if stopped := b.state.Unwanted(); len(stopped) != 0 {
		t.Fatalf("%d copies are stopped before one has ended", len(stopped))
	}
	b.state.EndRun(second.VM, second.Key(), accountant.EndDone, "", now)
	if !task.Done || task.Step.Occurrence.Job.State != accountant.JobDone {
		t.Error("the task is not done")
	}
	if stopped := b.state.Unwanted(); len(stopped) != 1 || stopped[0] != first {
		t.Errorf("%d runs are stopped, want the first copy", len(stopped))
	}
}

// A task that may fail three times has failed twice: a copy beside its third run
// could be a run beyond the last allowed failure.
func TestNoCopyBeyondTheLastAttempt(t *testing.T) {
	b, task := copyBed(t, nil)
	task.Failed = []int64{101, 102}
	b.progress(0, 0)
	if starts := b.plan(b.progress(10, 900*time.Millisecond)); len(starts) != 0 {
		t.Error("a copy was started")
	}
}

// A worker runs more tasks of a step than its job allows on one VM. One task of the step
// straggles while another waits, and one VM has room: in one and the same round the first
// would get a copy there and the second would start there too.
func TestCopiesAndWaitingTasksShareTheLimitOfAVM(t *testing.T) {
	b, slow := copyBed(t, func(s *specifier.Step) { s.Count, s.MaxPerVM = 2, 1 })
	waiting := slow.Step.Tasks[1]
	if len(waiting.Runs) > 0 {
		t.Fatal("both tasks run on one VM")
	}
	b.progress(1, 0)
	now := b.progress(20, 900*time.Millisecond)
	if !wantsCopy(slow, now) {
		t.Fatal("the first task does not straggle")
	}
	starts := b.plan(now)
	if len(starts) != 1 || starts[0].Task != waiting || starts[0].VM.Name != "vm-2" {
		t.Errorf("starts %v, want the waiting task on vm-2 and nothing else", places(starts))
	}
}
