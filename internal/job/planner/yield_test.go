package planner

import (
	"testing"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/specifier"
)

// fullFleet is a fleet on which lasting tasks have set aside all processors before any
// urgent work came: 10 VMs with four tasks each, of four jobs.
func fullFleet() (*bed, []*accountant.Job) {
	b := newBed(specifier.Queue{Name: "lasting"}, specifier.Queue{Name: "urgent", Slack: 1.5}, specifier.Queue{Name: "later", Priority: 2, Slack: 2})
	var jobs []*accountant.Job
	for range 4 {
		jobs = append(jobs, b.job("lasting", specifier.Step{Count: 10, Needs: cores(8), Lasting: true}))
	}
	for n := range 10 {
		vm := b.vm(string(rune('a'+n)), "in", "r1", cores(32))
		for _, j := range jobs {
			r := b.state.Place(j.Occurrences[0].Steps[0].Tasks[n], vm, 1, begin.Add(-time.Minute))
			r.State, r.StartedAt, r.Progress = accountant.Running, begin.Add(-time.Minute), 100
		}
	}
	return b, jobs
}

// Urgent jobs that take a second wait for half a minute, and more come all the time:
// lasting tasks hold every processor. Some of these yield, no more than are needed and
// than their users can spare, and none for work that can wait or for a short wait.
func TestLastingTasksYieldToUrgentOnes(t *testing.T) {
	tests := []struct {
		name   string
		after  time.Duration // of the urgent task's acceptance
		change func(b *bed, lasting []*accountant.Job)
		want   int
	}{
		{"one VM's worth is needed", yieldAfter, func(b *bed, _ []*accountant.Job) { b.urgent("urgent", 4) }, 1},
		{"much is needed", yieldAfter, func(b *bed, _ []*accountant.Job) { b.urgent("urgent", 400) }, 3},
		{"they have waited for a moment only", yieldAfter - time.Millisecond, func(b *bed, _ []*accountant.Job) { b.urgent("urgent", 4) }, 0},
		{"the work can wait", yieldAfter, func(b *bed, _ []*accountant.Job) { b.urgent("later", 4) }, 0},
		{"a VM has room", yieldAfter, func(b *bed, _ []*accountant.Job) {
			b.urgent("urgent", 4)
			b.vm("new", "in", "r1", cores(32))
		}, 0},
		{"one is on its way out", yieldAfter, func(b *bed, lasting []*accountant.Job) {
			b.urgent("urgent", 4)
			b.state.Stop(lasting[0].Occurrences[0].Steps[0].Tasks[0].Runs[0], "moves", begin)
		}, 0},
		{"as many have yielded as may", yieldAfter, func(b *bed, lasting []*accountant.Job) {
			b.urgent("urgent", 400)
			for _, task := range lasting[0].Occurrences[0].Steps[0].Tasks[:8] {
				task.Yielded = true
				b.state.EndRun(task.Runs[0].VM, task.Runs[0].Key(), accountant.EndStopped, "", begin)
				b.fill(task)
			}
		}, 0},
		{"as many are away since their VM was lost", yieldAfter, func(b *bed, _ []*accountant.Job) {
			b.urgent("urgent", 400)
			for _, vm := range []string{"a", "b"} {
				b.state.Detach(b.state.VMs[vm])
				b.state.Lose(b.state.VMs[vm], begin)
			}
		}, 0},
		{"their callers gain nothing any more", 5 * time.Second, func(b *bed, _ []*accountant.Job) { b.urgent("urgent", 400) }, 0},
		{"no VM is large enough for them", yieldAfter, func(b *bed, _ []*accountant.Job) {
			b.job("urgent", specifier.Step{Count: 4, Needs: cores(33), EstimateMillis: 800})
		}, 0},
		{"no VM has what they ask for", yieldAfter, func(b *bed, _ []*accountant.Job) {
			b.job("urgent", specifier.Step{Count: 4, Needs: cores(1), Label: "gold", EstimateMillis: 800})
		}, 0},
		{"the users can't spare any", yieldAfter, func(b *bed, lasting []*accountant.Job) {
			b.urgent("urgent", 4)
			for _, j := range lasting {
				j.Spec.Steps[0].MaxAway = 1
			}
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, lasting := fullFleet()
			tt.change(b, lasting)
			runs, _ := Yields(Input{Now: begin.Add(tt.after), State: b.state})
			if len(runs) != tt.want {
				t.Errorf("%d lasting tasks yield, want %d", len(runs), tt.want)
			}
		})
	}
}

// fill takes the room that a lasting task has left.
func (b *bed) fill(t *accountant.Task) {
	for _, vm := range b.state.VMs {
		if vm.Committed.CPUMillis < vm.Capacity.CPUMillis {
			j := b.job("urgent", specifier.Step{Count: 1, Needs: t.Step.Spec.Needs, EstimateMillis: 800})
			b.state.Place(j.Occurrences[0].Steps[0].Tasks[0], vm, 1, begin)
		}
	}
}

func (b *bed) urgent(queue string, count int) {
	b.job(queue, specifier.Step{Count: count, Needs: cores(1), EstimateMillis: 800})
}

// A lasting task that yielded would come back into the first gap that the urgent ones
// leave, and have to go again, with its users away for two seconds each time. It stays
// away while urgent tasks wait and a moment longer, then it comes back.
func TestATaskThatYieldedStaysAwayForAMoment(t *testing.T) {
	b, _ := fullFleet()
	b.urgent("urgent", 4)
	runs, pressed := Yields(Input{Now: begin.Add(yieldAfter), State: b.state})
	if len(runs) != 1 || !pressed {
		t.Fatalf("%d runs yield, pressed %t", len(runs), pressed)
	}
	task := runs[0].Task
	task.Yielded = true
	b.state.EndRun(runs[0].VM, runs[0].Key(), accountant.EndStopped, "", begin)
	at := begin.Add(yieldAfter)
	for _, s := range Plan(Input{Now: at, State: b.state, PressedAt: at}) {
		if s.Task == task {
			t.Error("it comes back before the urgent tasks have started")
		}
		r := b.state.Place(s.Task, s.VM, s.Number, at)
		b.state.EndRun(s.VM, r.Key(), accountant.EndDone, "", at)
	}
	if got := Plan(Input{Now: at.Add(yieldRest / 2), State: b.state, PressedAt: at}); len(got) != 0 {
		t.Errorf("it comes back %s after the last urgent task waited", yieldRest/2)
	}
	if got := Plan(Input{Now: at.Add(yieldRest), State: b.state, PressedAt: at}); len(got) != 1 || got[0].Task != task {
		t.Errorf("starts %v, want the task that yielded", places(got))
	}
}

// Urgent tasks and lasting ones wait for the same room. Those that end go first: the
// room is free again in a second, and the lasting ones then have it for long.
func TestUrgentTasksStartBeforeLastingOnes(t *testing.T) {
	b := newBed(specifier.Queue{Name: "lasting"}, specifier.Queue{Name: "urgent", Slack: 2})
	b.job("lasting", specifier.Step{Count: 1, Needs: cores(8), Lasting: true})
	b.urgent("urgent", 8)
	b.vm("vm", "in", "r1", cores(8))
	starts := b.plan(begin)
	if len(starts) != 8 {
		t.Fatalf("%d tasks start", len(starts))
	}
	for _, s := range starts {
		if s.Task.Step.Spec.Lasting {
			t.Error("the lasting task takes the room")
		}
	}
}

// Guards against the tasks of the largest job yielding for all others: those yield first of
// whose job the smallest share is away.
func TestJobsTakeTheirShareOfYields(t *testing.T) {
	b := newBed(specifier.Queue{Name: "lasting"}, specifier.Queue{Name: "urgent", Slack: 1.5})
	large := b.job("lasting", specifier.Step{Count: 20, Needs: cores(8), Lasting: true})
	small := b.job("lasting", specifier.Step{Count: 4, Needs: cores(8), Lasting: true})
	tasks := append(large.Occurrences[0].Steps[0].Tasks, small.Occurrences[0].Steps[0].Tasks...)
	for n, task := range tasks {
		name := string(rune('a' + n/4))
		vm := b.state.VMs[name]
		if vm == nil {
			vm = b.vm(name, "in", "r1", cores(32))
		}
		b.atWork(task, vm)
	}
	b.urgent("urgent", 400)
	yielded := make(map[*accountant.Step]int)
	for range 4 {
		runs, _ := Yields(Input{Now: begin.Add(yieldAfter), State: b.state})
		for _, run := range runs[:min(1, len(runs))] {
			yielded[run.Step()]++
			run.Task.Yielded = true
			b.state.EndRun(run.VM, run.Key(), accountant.EndStopped, "", begin)
			b.fill(run.Task)
		}
	}
	if l, s := yielded[large.Occurrences[0].Steps[0]], yielded[small.Occurrences[0].Steps[0]]; l != 3 || s != 1 {
		t.Errorf("%d of 20 and %d of 4 tasks yield", l, s)
	}
}
