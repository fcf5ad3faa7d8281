package planner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/learner"
	"bamboospread/internal/job/specifier"
)

// taught is a learner that knows which filling images are loud beside which lasting ones.
func taught(loud map[string][]string, fills ...string) *learner.Learner {
	l := learner.New()
	for n := range 40 {
		at := begin.Add(time.Duration(n-40) * 300 * time.Millisecond)
		for lasting, louds := range loud {
			l.Observe(learner.Observation{Group: lasting, Image: lasting, Headroom: 2.4, At: at})
			for _, fill := range fills {
				effect := 0.8
				for _, image := range louds {
					if image == fill {
						effect = 10
					}
				}
				l.Observe(learner.Observation{Group: lasting, Image: lasting, Headroom: 2.4 - 0.1*effect, Use: learner.Use{fill: 0.1}, At: at})
			}
		}
	}
	return l
}

// mixedFleet is a fleet on which every VM holds one lasting task of each of two images,
// at work for long, as they come to stand while nothing is known of them.
type mixedFleet struct {
	*bed
	vms     []*accountant.VM
	jobs    []*accountant.Job
	learner *learner.Learner
}

func newMixedFleet(count int) *mixedFleet {
	f := &mixedFleet{bed: newBed(), learner: taught(map[string][]string{"a": {"x"}, "b": {"y"}}, "x", "y")}
	for _, image := range []string{"a", "b"} {
		f.jobs = append(f.jobs, f.job("q", specifier.Step{Count: count, Needs: cores(12), Lasting: true, TailMillis: 18, Image: image}))
	}
	for n := range count {
		vm := f.vm(string(rune('1'+n)), "in", "r1", cores(32))
		f.vms = append(f.vms, vm)
		for _, j := range f.jobs {
			f.work(j.Occurrences[0].Steps[0].Tasks[n], vm)
		}
	}
	return f
}

// work lets a task be at work on a VM.
func (f *mixedFleet) work(t *accountant.Task, vm *accountant.VM) {
	r := f.state.Place(t, vm, f.state.NextNumber(t), begin.Add(-time.Minute))
	r.State, r.StartedAt, r.Progress, r.Measure = accountant.Running, begin.Add(-time.Minute), 100, 8
}

// wait lets filling tasks of an image wait.
func (f *mixedFleet) wait(image string) *accountant.Job {
	return f.job("q", specifier.Step{Count: 8, Needs: cores(4), EstimateMillis: 2000, Fills: true, Image: image})
}

func (f *mixedFleet) moves() []Move {
	return Moves(Input{Now: begin.Add(2 * time.Second), State: f.state, Learner: f.learner})
}

// fail ends a run of the first VM.
func (f *mixedFleet) fail() *accountant.Task {
	r := lastingRuns(f.vms[0])[0]
	f.state.EndRun(f.vms[0], r.Key(), accountant.EndFailed, "", begin)
	return r.Task
}

// move carries out moves at once.
func (f *mixedFleet) move(moves []Move) {
	for _, m := range moves {
		t := m.Run.Task
		f.state.EndRun(m.Run.VM, m.Run.Key(), accountant.EndStopped, "", begin)
		f.work(t, m.To)
	}
}

// Filling jobs wait for ever while the VMs are half idle: each VM holds one lasting task
// that x would disturb and one that y would. The lasting tasks change places until there
// are VMs open to x and others open to y, and then stay where they are.
func TestLastingTasksMakeRoomForFillingOnes(t *testing.T) {
	f := newMixedFleet(4)
	f.wait("x")
	f.wait("y")
	open := func() map[string]int { // VMs on which each image starts
		vms := make(map[string]map[string]bool)
		count := make(map[string]int)
		for _, s := range Plan(Input{Now: begin, State: f.state, Learner: f.learner}) {
			image := s.Task.Step.Spec.Image
			if vms[image] == nil {
				vms[image] = make(map[string]bool)
			}
			vms[image][s.VM.Name] = true
			count[image] = len(vms[image])
		}
		return count
	}
	before := open()
	for range 8 {
		moves := f.moves()
		if len(moves) == 0 {
			break
		}
		f.move(moves)
	}
	if got := f.moves(); len(got) != 0 {
		t.Errorf("%d lasting tasks still move", len(got))
	}
	after := open()
	for _, image := range []string{"x", "y"} {
		if before[image] != 0 || after[image] != len(f.vms)/2 {
			t.Errorf("%s starts on %d VMs, on %d before the moves", image, after[image], before[image])
		}
	}
	for _, vm := range f.vms {
		if !vm.Capacity.Fits(vm.Committed) {
			t.Errorf("%s has %+v of %+v", vm.Name, vm.Committed, vm.Capacity)
		}
	}
}

// A lasting task that moves is away for some two seconds, and its users with it. It must
// not move for nothing, before it has worked for a while, nor while another one moves.
// One that finds no room for long, or fails, holds up no move, unless the users of its
// job let none of the others be away.
func TestWhenLastingTasksStay(t *testing.T) {
	tests := []struct {
		name   string
		change func(f *mixedFleet)
		moves  bool
	}{
		{"filling tasks wait", func(*mixedFleet) {}, true},
		{"nothing waits", func(f *mixedFleet) { f.state.Cancel(jobID(3), begin) }, false},
		{"they have just started", func(f *mixedFleet) {
			for _, vm := range f.vms {
				for _, r := range vm.Runs {
					r.StartedAt = begin
				}
			}
		}, false},
		{"one has failed", func(f *mixedFleet) { f.fail() }, true},
		{"one moves and is not at work yet", func(f *mixedFleet) {
			f.fail().Moves = accountant.Moving{To: "2", Until: begin.Add(MoveHold)}
		}, false},
		{"one has moved and is at work", func(f *mixedFleet) {
			f.jobs[0].Occurrences[0].Steps[0].Tasks[0].Moves = accountant.Moving{To: "1", Until: begin.Add(MoveHold)}
		}, true},
		{"no other task may be away", func(f *mixedFleet) {
			for _, j := range f.jobs {
				j.Spec.Steps[0].MaxAway = 1
				j.Occurrences[0].Steps[0].Tasks[0].Runs[0].Progress = 0
			}
		}, false},
		{"nothing is known of the images", func(f *mixedFleet) { f.learner = learner.New() }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newMixedFleet(4)
			f.wait("x")
			tt.change(f)
			if got := f.moves(); len(got) > 0 != tt.moves {
				t.Errorf("%d lasting tasks move", len(got))
			}
		})
	}
}

// The users of a job allow one of its tasks to be away. A VM with two of them can't be
// emptied of both at once.
func TestMovesKeepToTheTasksThatMayBeAway(t *testing.T) {
	for _, away := range []int{0, 1, 2} {
		f := newMixedFleet(4)
		for _, j := range f.jobs {
			j.Spec.Steps[0].MaxAway = away
		}
		f.wait("x")
		moving := make(map[*accountant.Step]int)
		for range 6 {
			clear(moving)
			moves := f.moves()
			for _, m := range moves {
				moving[m.Run.Step()]++
			}
			for _, n := range moving {
				if away > 0 && n > away {
					t.Errorf("%d tasks of a job move at once, %d may be away", n, away)
				}
			}
			f.move(moves)
		}
	}
}

// A task that moves starts on the VM that was chosen for it, also if that has no room
// until another has left; after a while it starts anywhere.
func TestAMovingTaskWaitsForItsPlace(t *testing.T) {
	f := newMixedFleet(2)
	f.vm("spare", "in", "r1", cores(32))
	run := runsOf(f.vms[0], "a")[0]
	task := run.Task
	task.Moves = accountant.Moving{To: f.vms[1].Name, Until: begin.Add(MoveHold)}
	f.state.EndRun(run.VM, run.Key(), accountant.EndStopped, "", begin)
	if got := f.plan(begin); len(got) != 0 {
		t.Fatalf("starts on %s while its place is taken", got[0].VM.Name)
	}
	if got := f.plan(begin.Add(MoveHold)); len(got) != 1 {
		t.Fatalf("%d tasks start after the wait", len(got))
	}
	other := runsOf(f.vms[1], "b")[0]
	f.state.EndRun(other.VM, other.Key(), accountant.EndStopped, "", begin)
	other.Task.NotBefore = begin.Add(time.Hour)
	if got := f.plan(begin); len(got) != 1 || got[0].VM != f.vms[1] {
		t.Errorf("starts %v, want %s", places(got), f.vms[1].Name)
	}
}

// A lasting task waits for ever though the fleet has room enough: each VM has some, none
// as much as it needs. A smaller one moves together with others, and it starts.
func TestALastingTaskGetsScatteredRoom(t *testing.T) {
	f := newMixedFleet(3) // 32 cores each, 24 taken
	big := f.job("q", specifier.Step{Count: 1, Needs: cores(14), Lasting: true, TailMillis: 18, Image: "a"})
	if got := f.plan(begin); len(got) != 0 {
		t.Fatalf("starts at once: %v", places(got))
	}
	small := f.vm("small", "in", "r1", cores(12))
	moves := f.moves()
	if len(moves) != 1 || moves[0].To != small {
		t.Fatalf("%d moves: %+v", len(moves), moves)
	}
	f.move(moves)
	if got := f.plan(begin); len(got) != 1 || got[0].Task.Step.Occurrence.Job != big {
		t.Errorf("starts %v, want the waiting task", places(got))
	}
}

// Two tasks of a job whose users let one be away stand on one VM. They must not leave it
// together, and those of two jobs may.
func TestTasksThatMayLeaveTogether(t *testing.T) {
	f := newMixedFleet(2)
	a0, a1, b0 := runsOf(f.vms[0], "a")[0], runsOf(f.vms[1], "a")[0], runsOf(f.vms[0], "b")[0]
	tests := []struct {
		name string
		away int
		runs []*accountant.Run
		want bool
	}{
		{"two of one job, no bound", 0, []*accountant.Run{a0, a1}, true},
		{"two of one job, one may be away", 1, []*accountant.Run{a0, a1}, false},
		{"two of one job, two may be away", 2, []*accountant.Run{a0, a1}, true},
		{"one each of two jobs, one may be away", 1, []*accountant.Run{a0, b0}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, j := range f.jobs {
				j.Spec.Steps[0].MaxAway = tt.away
			}
			if got := apart(tt.runs); got != tt.want {
				t.Errorf("may leave together: %t", got)
			}
			if got := apart(tt.runs[:1], tt.runs[1:]); got != tt.want {
				t.Errorf("may change places: %t", got)
			}
		})
	}
}

// Guards against a large fleet that arranges itself one move at a time, while its filling tasks
// wait for minutes: there moves go on beside each other, on other VMs, a share of the lasting
// tasks at once.
func TestMovesOfALargeFleetGoOnBesideEachOther(t *testing.T) {
	tests := []struct {
		name string
		vms  int
		most int // lasting tasks that are away at once
	}{
		{"small", 4, movesMost},
		{"large", 160, 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newMixedFleet(tt.vms)
			for range tt.vms {
				f.wait("x")
				f.wait("y")
			}
			rounds, away := 0, 0
			taken := make(map[string]bool)
			for {
				moves := f.moves()
				if len(moves) == 0 {
					break
				}
				rounds++
				from := make(map[string]bool)
				for _, m := range moves {
					if taken[m.Run.VM.Name] || taken[m.To.Name] {
						t.Fatalf("%s takes part in two moves", m.Run.VM.Name)
					}
					from[m.Run.VM.Name], from[m.To.Name] = true, true
					f.state.SetMove(m.Run.Task, m.Moving(begin), begin)
					f.state.EndRun(m.Run.VM, m.Run.Key(), accountant.EndStopped, "", begin)
					away++
				}
				for vm := range from {
					taken[vm] = true
				}
			}
			if away == 0 || away > tt.most {
				t.Errorf("%d lasting tasks are away at once, want at most %d", away, tt.most)
			}
			if tt.vms > 100 && rounds < 3 {
				t.Errorf("%d moves beside each other", rounds)
			}
		})
	}
}

// Guards against a lasting task that moves and finds no place: its stop takes longer than the
// hold, and the room on both VMs is taken by others meanwhile. Room is held from the end of
// its run on, and what it leaves is held for the task that it makes room for.
func TestRoomOfAMoveIsHeldFromItsEnd(t *testing.T) {
	b := newBed(specifier.Queue{Name: "q", Slack: 20})
	from, to := b.vm("from", "in", "r1", cores(16)), b.vm("to", "in", "r1", cores(8))
	small := b.job("q", specifier.Step{Count: 1, Needs: cores(8), Lasting: true})
	large := b.job("q", specifier.Step{Count: 1, Needs: cores(16), Lasting: true})
	mover, next := small.Occurrences[0].Steps[0].Tasks[0], large.Occurrences[0].Steps[0].Tasks[0]
	b.atWork(mover, from)
	run := mover.Runs[0]
	move := Move{Run: run, To: to, For: next.Step}
	b.state.Stop(run, "moves", begin)
	b.state.SetMove(mover, move.Moving(begin), begin)
	b.urgent("q", 24)
	late := begin.Add(2 * MoveHold)
	if got := b.plan(late); len(got) != 0 {
		t.Fatalf("%d tasks start in the room of the move", len(got))
	}
	b.state.EndRun(from, run.Key(), accountant.EndStopped, "", late)
	want := map[string]string{mover.ID().String(): "to", next.ID().String(): "from"}
	if diff := cmp.Diff(want, places(b.plan(late))); diff != "" {
		t.Error(diff)
	}
}

// Guards against a lasting task that stays away while VMs have room by turns: others move to
// each room as it becomes free, for the sake of filling tasks.
func TestNothingMovesForFillingTasksWhileALastingOneIsOverdue(t *testing.T) {
	for _, overdue := range []bool{false, true} {
		f := newMixedFleet(4)
		f.wait("x")
		away := f.job("q", specifier.Step{Count: 1, Needs: cores(16), Lasting: true, Image: "a"})
		task := away.Occurrences[0].Steps[0].Tasks[0]
		task.Ran, task.WaitSince = true, begin.Add(2*time.Second)
		if overdue {
			task.WaitSince = begin.Add(-time.Minute)
		}
		for _, m := range f.moves() {
			if overdue == (m.For == nil) {
				t.Errorf("overdue %t: %s moves for filling tasks: %t", overdue, m.Run.Key().Task, m.For == nil)
			}
		}
	}
}
