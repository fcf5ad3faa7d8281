package planner

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

const (
	replayStep = 20 * time.Millisecond
	stopTime   = 500 * time.Millisecond // how long a stop takes
	// returnBound is how long an overdue task may still be unavailable while ending tasks
	// leave enough capacity on some VM: the time that urgent tasks take to end and others to
	// stop.
	returnBound = 3 * time.Second
)

// overload replays more urgent tasks than a fleet can run: their backlog takes all capacity
// that becomes free.
type overload struct {
	*fixture
	now  time.Time
	ends map[*tracker.Run]time.Time
	rand *rand.Rand

	pressure bool // urgent tasks wait too long all the time
}

func newOverload(b *fixture) *overload {
	r := &overload{fixture: b, now: begin, ends: make(map[*tracker.Run]time.Time), rand: rand.New(rand.NewPCG(1, 1))}
	for range 30 {
		r.submitUrgent()
	}
	return r
}

// submitUrgent adds an urgent job: nine tasks of one to three cores that end within 1.6 s.
func (r *overload) submitUrgent() {
	j := r.job("urgent", specifier.Step{Count: 9, Needs: specifier.Resources{CPUMillis: 1000 * (1 + r.rand.Int64N(3)), MemoryMB: 100}, EstimateMillis: 300 + r.rand.Int64N(1300)})
	j.Occurrences[0].DueAt, j.Occurrences[0].Steps[0].ReadyAt = r.now, r.now
}

// replayUntil replays the load until done returns true, and returns how long that took.
func (r *overload) replayUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	from := r.now
	for r.now.Sub(from) < limit {
		if done() {
			return r.now.Sub(from), true
		}
		r.now = r.now.Add(replayStep)
		r.endDue()
		r.submitUrgent()
		in := Input{Now: r.now, State: r.state}
		yields, underPressure := Yields(in)
		if underPressure || r.pressure {
			in.UrgentDelayedAt = r.now
		}
		for _, run := range yields {
			run.Task.Yielded = true
			r.stop(run)
		}
		for _, t := range Rotations(in) {
			r.state.SetRelocation(t.Task, t.Relocation(r.now), r.now)
			t.Run.Task.Yielded = true
			r.stop(t.Run)
		}
		for _, run := range Preemptions(in) {
			r.stop(run)
		}
		for _, s := range Plan(in) {
			run := r.state.Place(s.Task, s.VM, s.Number, r.now)
			run.State, run.StartedAt, run.Progress = tracker.Running, r.now, 100
			if spec := run.Step().Spec; !spec.LongRunning && !spec.BestEffort {
				r.ends[run] = r.now.Add(run.Step().Spec.Estimate())
			}
		}
	}
	return 0, false
}

func (r *overload) stop(run *tracker.Run) {
	r.state.Stop(run, "frees capacity for a task", r.now)
	r.ends[run] = r.now.Add(stopTime)
}

func (r *overload) endDue() {
	for run, at := range r.ends {
		if r.now.Before(at) {
			continue
		}
		delete(r.ends, run)
		outcome := tracker.EndDone
		if run.State == tracker.Stopping {
			outcome = tracker.EndStopped
		}
		r.state.EndRun(run.VM, run.Key(), outcome, "", r.now)
	}
}

// starveBestEffort submits best-effort tasks that take all free memory and make no progress.
func (r *overload) starveBestEffort() {
	r.job("best-effort", specifier.Step{Count: 400, Needs: specifier.Resources{CPUMillis: 100, MemoryMB: 3000}, EstimateMillis: 2000, BestEffort: true, Image: "x"})
}

// halfFullFleet returns a fleet on which every VM runs two long-running tasks of 8 of 32 cores
// each.
func halfFullFleet(vms int) (*fixture, *tracker.Job) {
	b := newFixture(specifier.Queue{Name: "long-running"}, specifier.Queue{Name: "urgent", Slack: 1.5}, specifier.Queue{Name: "best-effort", Priority: 2, Slack: 2})
	j := b.job("long-running", specifier.Step{Count: 2 * vms, Needs: cores(8), LongRunning: true})
	for n := range vms {
		vm := b.vm(string(rune('a'+n)), "in", "r1", cores(32))
		for _, t := range j.Occurrences[0].Steps[0].Tasks[2*n : 2*n+2] {
			b.runOn(t, vm)
		}
	}
	return b, j
}

func (b *fixture) runOn(t *tracker.Task, vm *tracker.VM) {
	r := b.state.Place(t, vm, 1, begin.Add(-time.Minute))
	r.State, r.StartedAt, r.Progress = tracker.Running, begin.Add(-time.Minute), 100
}

// Guards against long-running tasks that were stopped by the owner, or lost their VM, being
// unavailable for as long as a backlog of urgent tasks takes every gap.
func TestLongRunningTasksReturnUnderBacklog(t *testing.T) {
	yield := func(r *overload, task *tracker.Task) {
		run := task.Runs[0]
		task.Yielded = true
		r.state.EndRun(run.VM, run.Key(), tracker.EndStopped, "", r.now)
	}
	tests := []struct {
		name             string
		starveBestEffort bool // best-effort tasks hold all memory
		stop             func(r *overload, task *tracker.Task)
		bound            time.Duration
	}{
		{"moved", false, func(r *overload, task *tracker.Task) {
			run := task.Runs[0]
			r.state.SetRelocation(task, tracker.Relocation{To: "j", Until: r.now.Add(moveHold)}, r.now)
			r.state.EndRun(run.VM, run.Key(), tracker.EndStopped, "", r.now)
		}, moveHold},
		{"moved to a VM that was removed", false, func(r *overload, task *tracker.Task) {
			run := task.Runs[0]
			r.state.SetRelocation(task, tracker.Relocation{To: "removed", Until: r.now.Add(moveHold)}, r.now)
			r.state.EndRun(run.VM, run.Key(), tracker.EndStopped, "", r.now)
		}, returnAfterPressure + returnBound},
		{"yielded", false, yield, returnAfterPressure + returnBound},
		{"yielded while best-effort tasks hold all memory", true, yield, returnAfterPressure + returnBound},
		{"failed", false, func(r *overload, task *tracker.Task) {
			run := task.Runs[0]
			r.state.EndRun(run.VM, run.Key(), tracker.EndFailed, "", r.now)
		}, returnAfterPressure + returnBound},
		{"lost with its VM", false, func(r *overload, task *tracker.Task) {
			vm := task.Runs[0].VM
			vm.Ready = false
			r.state.Detach(vm)
			r.state.DropRuns(vm, r.now)
		}, returnAfterPressure + returnBound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, longRunning := halfFullFleet(10)
			r := newOverload(b)
			if tt.starveBestEffort {
				r.starveBestEffort()
			}
			r.replayUntil(2*time.Second, func() bool { return false })
			tasks := longRunning.Occurrences[0].Steps[0].Tasks
			task := tasks[slices.IndexFunc(tasks, func(t *tracker.Task) bool { return !t.Unavailable() })]
			tt.stop(r, task)
			took, back := r.replayUntil(20*time.Second, func() bool { return !task.Unavailable() })
			if !back || took > tt.bound {
				t.Errorf("running again %t after %s, want within %s", back, took, tt.bound)
			}
			for _, vm := range r.state.VMs {
				if !vm.Capacity.Fits(vm.Committed) {
					t.Errorf("%s has %+v of %+v", vm.Name, vm.Committed, vm.Capacity)
				}
			}
		})
	}
}

// Guards against a long-running task that ended with its VM and is unavailable twice as long as others under
// pressure: it counted as unavailable only once the leases of its VM had certainly ended.
func TestTaskLostWithItsVMReturnsUnderPressure(t *testing.T) {
	const leases = 6100 * time.Millisecond // from the last contact until they have certainly ended
	tests := []struct {
		name string
		seen time.Duration // before contact was lost
		want time.Duration // from the loss of contact
	}{
		{"leases as long as pressure defers others", 0, leases + rotationWait + returnBound},
		{"its worker had not answered for a while", time.Second, leases + rotationWait + returnBound - time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, longRunning := halfFullFleet(10)
			r := newOverload(b)
			r.starveBestEffort()
			r.replayUntil(2*time.Second, func() bool { return false })
			tasks := longRunning.Occurrences[0].Steps[0].Tasks
			task := tasks[slices.IndexFunc(tasks, func(t *tracker.Task) bool { return !t.Unavailable() })]
			r.pressure = true
			vm, lostAt := task.Runs[0].VM, r.now
			vm.Ready, vm.SeenAt = false, r.now.Add(-tt.seen)
			r.state.Detach(vm)
			r.replayUntil(leases, func() bool { return false })
			r.state.DropRuns(vm, r.now)
			_, back := r.replayUntil(20*time.Second, func() bool { return !task.Unavailable() })
			if took := r.now.Sub(lostAt); !back || took > tt.want {
				t.Errorf("running again %t, %s after the loss of contact, want within %s", back, took, tt.want)
			}
		})
	}
}

// Guards against useless reservations. A task that fits on no VM even when all other tasks
// have ended, or that has been unavailable only briefly, must not keep urgent tasks off any
// VM.
func TestNoUselessReservation(t *testing.T) {
	tests := []struct {
		name        string
		unavailable time.Duration
		task        int64 // cores
		want        int   // urgent tasks that start
	}{
		{"unavailable only briefly", returnAfter - time.Millisecond, 20, 16},
		{"overdue, fits once others end", returnAfter, 20, 0},
		{"overdue, fits on no VM", returnAfter, 40, 16},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(specifier.Queue{Name: "long-running"}, specifier.Queue{Name: "urgent", Slack: 1.5})
			vm := b.vm("vm", "in", "r1", cores(32))
			b.urgent("urgent", 16)
			for _, s := range b.plan(begin) {
				b.state.Place(s.Task, vm, s.Number, begin)
			}
			j := b.job("long-running", specifier.Step{Count: 1, Needs: cores(tt.task), LongRunning: true})
			task := j.Occurrences[0].Steps[0].Tasks[0]
			task.HasRun, task.WaitSince = true, begin.Add(-tt.unavailable)
			b.urgent("urgent", 32)
			if got := len(b.plan(begin)); got != tt.want {
				t.Errorf("%d tasks start, want %d", got, tt.want)
			}
		})
	}
}

// Guards against starvation of tasks of young jobs. Several VMs are lost at once under a
// backlog, and tasks of older jobs would yield, start again and yield again ahead of them.
func TestNoLongRunningTaskStarves(t *testing.T) {
	const vms, lost = 40, 13
	b, old := halfFullFleet(vms)
	young := b.job("long-running", specifier.Step{Count: vms / 2, Needs: cores(8), LongRunning: true})
	for n, task := range young.Occurrences[0].Steps[0].Tasks {
		b.runOn(task, b.state.VMs[string(rune('a'+n))])
	}
	r := newOverload(b)
	r.replayUntil(2*time.Second, func() bool { return false })
	for n := range lost {
		vm := r.state.VMs[string(rune('a'+n))]
		vm.Ready = false
		r.state.Detach(vm)
		r.state.DropRuns(vm, r.now)
	}
	worst := time.Duration(0)
	r.replayUntil(15*time.Second, func() bool {
		for _, j := range []*tracker.Job{old, young} {
			for _, task := range j.Occurrences[0].Steps[0].Tasks {
				if len(task.Runs) == 0 {
					worst = max(worst, r.now.Sub(task.WaitSince))
				}
			}
		}
		return false
	})
	if worst == 0 || worst > returnAfterPressure+returnBound {
		t.Errorf("a long-running task was unavailable for %s, want at most %s", worst, returnAfterPressure+returnBound)
	}
}

// If capacity becomes free for one task at a time, the task that has been unavailable longest
// gets it, however young its job is.
func TestLongestUnavailableTaskReturnsFirst(t *testing.T) {
	b := newFixture()
	b.vm("vm", "in", "r1", cores(8))
	for n, unavailable := range []time.Duration{returnAfter + time.Second, returnAfter + 10*time.Second} {
		j := b.job("q", specifier.Step{Count: 1, Needs: cores(8), LongRunning: true})
		s := j.Occurrences[0].Steps[0]
		s.ReadyAt = begin.Add(time.Duration(n-2) * time.Minute)
		s.Tasks[0].HasRun, s.Tasks[0].WaitSince = true, begin.Add(-unavailable)
	}
	if starts := b.plan(begin); len(starts) != 1 || starts[0].Task.ID().Job != jobID(2) {
		t.Errorf("starts %v, want the task of job 2", vmsByTask(starts))
	}
}

// Guards against starvation of urgent tasks if a fleet is too small for them and the
// long-running tasks: a long-running task starts again in the place of another one, one for
// one.
func TestLongRunningTasksRotateUnderPressure(t *testing.T) {
	tests := []struct {
		name          string
		unavailable   time.Duration
		underPressure bool
		change        func(b *fixture, longRunning []*tracker.Job)
		want          int
	}{
		{"overdue", returnAfterPressure, true, func(*fixture, []*tracker.Job) {}, 1},
		{"unavailable only briefly", returnAfterPressure - time.Millisecond, true, func(*fixture, []*tracker.Job) {}, 0},
		{"no urgent task waits", time.Minute, false, func(*fixture, []*tracker.Job) {}, 0},
		{"a rotation for it is under way", returnAfterPressure, true, func(b *fixture, longRunning []*tracker.Job) {
			task := longRunning[0].Occurrences[0].Steps[0].Tasks[0]
			b.state.SetRelocation(task, Rotation{Run: longRunning[1].Occurrences[0].Steps[0].Tasks[0].Runs[0]}.Relocation(begin), begin)
		}, 0},
		{"no other task may be unavailable", returnAfterPressure, true, func(_ *fixture, longRunning []*tracker.Job) {
			for _, j := range longRunning[1:] {
				j.Spec.Steps[0].MaxUnavailable = 1
			}
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, longRunning := fullFleet()
			task := longRunning[0].Occurrences[0].Steps[0].Tasks[0]
			b.state.EndRun(task.Runs[0].VM, task.Runs[0].Key(), tracker.EndStopped, "", begin)
			b.occupy(task)
			task.WaitSince = begin.Add(-tt.unavailable)
			tt.change(b, longRunning)
			in := Input{Now: begin, State: b.state}
			if tt.underPressure {
				in.UrgentDelayedAt = begin
			}
			rotations := Rotations(in)
			if len(rotations) != tt.want {
				t.Fatalf("%d rotations, want %d", len(rotations), tt.want)
			}
			if tt.want == 1 && (rotations[0].Task != task || rotations[0].Run.Step() == task.Step) {
				t.Errorf("rotation is %+v", rotations[0])
			}
		})
	}
}

// Guards against capacity that nobody may use for the rest of a round: a gang that did not fit gave
// up the capacity reserved for one of its members, and the VM kept it neither reserved nor free.
func TestGangThatDoesNotFitKeepsItsReservation(t *testing.T) {
	b := newFixture()
	b.vm("vm", "in", "r1", cores(8))
	gang := b.job("q", specifier.Step{Count: 2, Needs: cores(5), EstimateMillis: 1000, Gang: true}).Occurrences[0].Steps[0]
	r := newRound(Input{Now: begin, State: b.state})
	r.loadVMs()
	m := r.findVM("vm")
	m.reserve(gang.Tasks[0])
	if starts := r.placeGang(gang); len(starts) != 0 {
		t.Fatalf("%d members start", len(starts))
	}
	if !m.reserved[gang.Tasks[0]] || m.free != cores(3) {
		t.Errorf("reserved %v, free %+v, want the reservation and 3 cores", m.reserved, m.free)
	}
	if m.release(gang.Tasks[0]); m.free != cores(8) {
		t.Errorf("%+v is free without the reservation, want 8 cores", m.free)
	}
}
