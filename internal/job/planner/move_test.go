package planner

import (
	"testing"
	"time"

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
// not move for nothing, before it has worked for a while, while another is away, nor
// beyond the number that its job lets be away.
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
		{"one is away", func(f *mixedFleet) {
			for key := range f.vms[0].Runs {
				f.state.EndRun(f.vms[0], key, accountant.EndFailed, "", begin)
				return
			}
		}, false},
		{"one has begun again and is not at work", func(f *mixedFleet) {
			for _, r := range f.vms[0].Runs {
				r.Progress = 0
				return
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
	spare := f.vm("spare", "in", "r1", cores(32))
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
	_ = spare
}
