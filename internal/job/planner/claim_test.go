package planner

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/specifier"
)

const (
	replayStep = 20 * time.Millisecond
	stopTime   = 500 * time.Millisecond // that a stop takes
	// returnBound is how long an overdue task may still be away while the tasks that end
	// leave enough room on some VM: what urgent tasks take to end and others to stop.
	returnBound = 3 * time.Second
)

// rush replays a load of urgent tasks that is more than a fleet can carry: their backlog
// takes all that becomes free.
type rush struct {
	*bed
	now  time.Time
	ends map[*accountant.Run]time.Time
	rand *rand.Rand
}

func newRush(b *bed) *rush {
	r := &rush{bed: b, now: begin, ends: make(map[*accountant.Run]time.Time), rand: rand.New(rand.NewPCG(1, 1))}
	for range 30 {
		r.comes()
	}
	return r
}

// comes takes an urgent job in: nine tasks of one to three cores that end within 1.6 s.
func (r *rush) comes() {
	j := r.job("urgent", specifier.Step{Count: 9, Needs: specifier.Resources{CPUMillis: 1000 * (1 + r.rand.Int64N(3)), MemoryMB: 100}, EstimateMillis: 300 + r.rand.Int64N(1300)})
	j.Occurrences[0].DueAt, j.Occurrences[0].Steps[0].ReadyAt = r.now, r.now
}

// until replays the load until done, and returns how long that took.
func (r *rush) until(limit time.Duration, done func() bool) (time.Duration, bool) {
	from := r.now
	for r.now.Sub(from) < limit {
		if done() {
			return r.now.Sub(from), true
		}
		r.now = r.now.Add(replayStep)
		r.endDue()
		r.comes()
		in := Input{Now: r.now, State: r.state}
		yields, pressed := Yields(in)
		if pressed {
			in.PressedAt = r.now
		}
		for _, run := range yields {
			run.Task.Yielded = true
			r.stop(run)
		}
		for _, t := range Turns(in) {
			r.state.SetMove(t.Task, t.Moving(r.now), r.now)
			t.Run.Task.Yielded = true
			r.stop(t.Run)
		}
		for _, run := range Preemptions(in) {
			r.stop(run)
		}
		for _, s := range Plan(in) {
			run := r.state.Place(s.Task, s.VM, s.Number, r.now)
			run.State, run.StartedAt, run.Progress = accountant.Running, r.now, 100
			if spec := run.Step().Spec; !spec.Lasting && !spec.Fills {
				r.ends[run] = r.now.Add(run.Step().Spec.Estimate())
			}
		}
	}
	return 0, false
}

func (r *rush) stop(run *accountant.Run) {
	r.state.Stop(run, "makes room", r.now)
	r.ends[run] = r.now.Add(stopTime)
}

func (r *rush) endDue() {
	for run, at := range r.ends {
		if r.now.Before(at) {
			continue
		}
		delete(r.ends, run)
		how := accountant.EndDone
		if run.State == accountant.Stopping {
			how = accountant.EndStopped
		}
		r.state.EndRun(run.VM, run.Key(), how, "", r.now)
	}
}

// crawl lets filling tasks take all memory that is free, and stand still.
func (r *rush) crawl() {
	r.job("filling", specifier.Step{Count: 400, Needs: specifier.Resources{CPUMillis: 100, MemoryMB: 3000}, EstimateMillis: 2000, Fills: true, Image: "x"})
}

// halfFullFleet is VMs with two lasting tasks of 8 of 32 cores each.
func halfFullFleet(vms int) (*bed, *accountant.Job) {
	b := newBed(specifier.Queue{Name: "lasting"}, specifier.Queue{Name: "urgent", Slack: 1.5}, specifier.Queue{Name: "filling", Priority: 2, Slack: 2})
	j := b.job("lasting", specifier.Step{Count: 2 * vms, Needs: cores(8), Lasting: true})
	for n := range vms {
		vm := b.vm(string(rune('a'+n)), "in", "r1", cores(32))
		for _, t := range j.Occurrences[0].Steps[0].Tasks[2*n : 2*n+2] {
			b.atWork(t, vm)
		}
	}
	return b, j
}

func (b *bed) atWork(t *accountant.Task, vm *accountant.VM) {
	r := b.state.Place(t, vm, 1, begin.Add(-time.Minute))
	r.State, r.StartedAt, r.Progress = accountant.Running, begin.Add(-time.Minute), 100
}

// Guards against lasting tasks that the owner stopped, or that lost their VM, staying away
// for as long as a backlog of urgent tasks takes every gap.
func TestLastingTasksComeBackUnderABacklog(t *testing.T) {
	yield := func(r *rush, task *accountant.Task) {
		run := task.Runs[0]
		task.Yielded = true
		r.state.EndRun(run.VM, run.Key(), accountant.EndStopped, "", r.now)
	}
	tests := []struct {
		name  string
		crawl bool // filling tasks hold all memory
		stop  func(r *rush, task *accountant.Task)
		bound time.Duration
	}{
		{"moved", false, func(r *rush, task *accountant.Task) {
			run := task.Runs[0]
			r.state.SetMove(task, accountant.Moving{To: "j", Until: r.now.Add(MoveHold)}, r.now)
			r.state.EndRun(run.VM, run.Key(), accountant.EndStopped, "", r.now)
		}, MoveHold},
		{"moved to a VM that has left", false, func(r *rush, task *accountant.Task) {
			run := task.Runs[0]
			r.state.SetMove(task, accountant.Moving{To: "gone", Until: r.now.Add(MoveHold)}, r.now)
			r.state.EndRun(run.VM, run.Key(), accountant.EndStopped, "", r.now)
		}, pressedAway + returnBound},
		{"yielded", false, yield, pressedAway + returnBound},
		{"yielded while filling tasks hold all memory", true, yield, pressedAway + returnBound},
		{"failed", false, func(r *rush, task *accountant.Task) {
			run := task.Runs[0]
			r.state.EndRun(run.VM, run.Key(), accountant.EndFailed, "", r.now)
		}, pressedAway + returnBound},
		{"lost with its VM", false, func(r *rush, task *accountant.Task) {
			vm := task.Runs[0].VM
			vm.Ready = false
			r.state.Detach(vm)
			r.state.Lose(vm, r.now)
		}, pressedAway + returnBound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, lasting := halfFullFleet(10)
			r := newRush(b)
			if tt.crawl {
				r.crawl()
			}
			r.until(2*time.Second, func() bool { return false })
			tasks := lasting.Occurrences[0].Steps[0].Tasks
			task := tasks[slices.IndexFunc(tasks, func(t *accountant.Task) bool { return !t.Away() })]
			tt.stop(r, task)
			took, back := r.until(20*time.Second, func() bool { return !task.Away() })
			if !back || took > tt.bound {
				t.Errorf("back %t after %s, want within %s", back, took, tt.bound)
			}
			for _, vm := range r.state.VMs {
				if !vm.Capacity.Fits(vm.Committed) {
					t.Errorf("%s has %+v of %+v", vm.Name, vm.Committed, vm.Capacity)
				}
			}
		})
	}
}

// Guards against room held for nothing: what no VM could take even when all that ends has
// ended, or has been away for a moment only, keeps urgent tasks from no VM.
func TestRoomIsHeldOnlyWhereItHelps(t *testing.T) {
	tests := []struct {
		name string
		away time.Duration
		task int64 // cores
		want int   // urgent tasks that start
	}{
		{"away for a moment", returnAfter - time.Millisecond, 20, 16},
		{"overdue, and fits once others end", returnAfter, 20, 0},
		{"overdue, and fits nowhere", returnAfter, 40, 16},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBed(specifier.Queue{Name: "lasting"}, specifier.Queue{Name: "urgent", Slack: 1.5})
			vm := b.vm("vm", "in", "r1", cores(32))
			b.urgent("urgent", 16)
			for _, s := range b.plan(begin) {
				b.state.Place(s.Task, vm, s.Number, begin)
			}
			j := b.job("lasting", specifier.Step{Count: 1, Needs: cores(tt.task), Lasting: true})
			task := j.Occurrences[0].Steps[0].Tasks[0]
			task.Ran, task.WaitSince = true, begin.Add(-tt.away)
			b.urgent("urgent", 32)
			if got := len(b.plan(begin)); got != tt.want {
				t.Errorf("%d tasks start, want %d", got, tt.want)
			}
		})
	}
}

// Guards against tasks of young jobs that stay away: several VMs are lost at once under a
// backlog, and tasks of older jobs yield, come back and yield again in front of them.
func TestNoLastingTaskStaysAwayForLong(t *testing.T) {
	const vms, lost = 40, 13
	b, old := halfFullFleet(vms)
	young := b.job("lasting", specifier.Step{Count: vms / 2, Needs: cores(8), Lasting: true})
	for n, task := range young.Occurrences[0].Steps[0].Tasks {
		b.atWork(task, b.state.VMs[string(rune('a'+n))])
	}
	r := newRush(b)
	r.until(2*time.Second, func() bool { return false })
	for n := range lost {
		vm := r.state.VMs[string(rune('a'+n))]
		vm.Ready = false
		r.state.Detach(vm)
		r.state.Lose(vm, r.now)
	}
	worst := time.Duration(0)
	r.until(15*time.Second, func() bool {
		for _, j := range []*accountant.Job{old, young} {
			for _, task := range j.Occurrences[0].Steps[0].Tasks {
				if len(task.Runs) == 0 {
					worst = max(worst, r.now.Sub(task.WaitSince))
				}
			}
		}
		return false
	})
	if worst == 0 || worst > pressedAway+returnBound {
		t.Errorf("a lasting task was away for %s, want at most %s", worst, pressedAway+returnBound)
	}
}

// Guards against the same where room comes for one task at a time: the task that has been away
// longest gets it, however young its job is.
func TestTheTaskThatIsAwayLongestComesBackFirst(t *testing.T) {
	b := newBed()
	b.vm("vm", "in", "r1", cores(8))
	for n, away := range []time.Duration{returnAfter + time.Second, returnAfter + 10*time.Second} {
		j := b.job("q", specifier.Step{Count: 1, Needs: cores(8), Lasting: true})
		s := j.Occurrences[0].Steps[0]
		s.ReadyAt = begin.Add(time.Duration(n-2) * time.Minute)
		s.Tasks[0].Ran, s.Tasks[0].WaitSince = true, begin.Add(-away)
	}
	if starts := b.plan(begin); len(starts) != 1 || starts[0].Task.ID().Job != jobID(2) {
		t.Errorf("starts %v, want the task of job 2", places(starts))
	}
}

// Guards against urgent tasks that starve where a fleet is too small for them and the lasting
// ones: these come back in the place of others of their kind, one for one.
func TestLastingTasksTakeTurnsWhileUrgentOnesWait(t *testing.T) {
	tests := []struct {
		name    string
		away    time.Duration
		pressed bool
		change  func(b *bed, lasting []*accountant.Job)
		want    int
	}{
		{"one is overdue", pressedAway, true, func(*bed, []*accountant.Job) {}, 1},
		{"away for a moment", pressedAway - time.Millisecond, true, func(*bed, []*accountant.Job) {}, 0},
		{"no urgent task waits", time.Minute, false, func(*bed, []*accountant.Job) {}, 0},
		{"one is about to make room for it", pressedAway, true, func(b *bed, lasting []*accountant.Job) {
			task := lasting[0].Occurrences[0].Steps[0].Tasks[0]
			b.state.SetMove(task, Turn{Run: lasting[1].Occurrences[0].Steps[0].Tasks[0].Runs[0]}.Moving(begin), begin)
		}, 0},
		{"the users of the others can't spare any", pressedAway, true, func(_ *bed, lasting []*accountant.Job) {
			for _, j := range lasting[1:] {
				j.Spec.Steps[0].MaxAway = 1
			}
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, lasting := fullFleet()
			task := lasting[0].Occurrences[0].Steps[0].Tasks[0]
			b.state.EndRun(task.Runs[0].VM, task.Runs[0].Key(), accountant.EndStopped, "", begin)
			b.fill(task)
			task.WaitSince = begin.Add(-tt.away)
			tt.change(b, lasting)
			in := Input{Now: begin, State: b.state}
			if tt.pressed {
				in.PressedAt = begin
			}
			turns := Turns(in)
			if len(turns) != tt.want {
				t.Fatalf("%d turns, want %d", len(turns), tt.want)
			}
			if tt.want == 1 && (turns[0].Task != task || turns[0].Run.Step() == task.Step) {
				t.Errorf("turn %+v", turns[0])
			}
		})
	}
}
