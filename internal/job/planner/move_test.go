package planner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bamboospread/internal/job/learner"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// trainedLearner returns a learner that has observed which best-effort images interfere with
// which long-running images.
func trainedLearner(interfering map[string][]string, images ...string) *learner.Learner {
	l := learner.New()
	for n := range 40 {
		at := begin.Add(time.Duration(n-40) * 300 * time.Millisecond)
		for longRunning, interferingImages := range interfering {
			l.Observe(learner.Observation{Group: longRunning, Image: longRunning, Headroom: 2.4, At: at})
			for _, bestEffort := range images {
				effect := 0.8
				for _, image := range interferingImages {
					if image == bestEffort {
						effect = 10
					}
				}
				l.Observe(learner.Observation{Group: longRunning, Image: longRunning, Headroom: 2.4 - 0.1*effect, Use: learner.Use{bestEffort: 0.1}, At: at})
			}
		}
	}
	return l
}

// mixedFleet is a fleet on which every VM has run one long-running task of each of two images
// for a long time, as placed while no effects of the images were known.
type mixedFleet struct {
	*fixture
	vms     []*tracker.VM
	jobs    []*tracker.Job
	learner *learner.Learner
}

func newMixedFleet(count int) *mixedFleet {
	f := &mixedFleet{fixture: newFixture(), learner: trainedLearner(map[string][]string{"a": {"x"}, "b": {"y"}}, "x", "y")}
	for _, image := range []string{"a", "b"} {
		f.jobs = append(f.jobs, f.job("q", specifier.Step{Count: count, Needs: cores(12), LongRunning: true, TailMillis: 18, Image: image}))
	}
	for n := range count {
		vm := f.vm(string(rune('1'+n)), "in", "r1", cores(32))
		f.vms = append(f.vms, vm)
		for _, j := range f.jobs {
			f.run(j.Occurrences[0].Steps[0].Tasks[n], vm)
		}
	}
	return f
}

// run places a task on a VM as running.
func (f *mixedFleet) run(t *tracker.Task, vm *tracker.VM) {
	r := f.state.Place(t, vm, f.state.NextNumber(t), begin.Add(-time.Minute))
	r.State, r.StartedAt, r.Progress, r.Measure = tracker.Running, begin.Add(-time.Minute), 100, 8
}

// submitBestEffort adds a job of waiting best-effort tasks of an image.
func (f *mixedFleet) submitBestEffort(image string) *tracker.Job {
	return f.job("q", specifier.Step{Count: 8, Needs: cores(4), EstimateMillis: 2000, BestEffort: true, Image: image})
}

func (f *mixedFleet) moves() []Move {
	return Moves(Input{Now: begin.Add(2 * time.Second), State: f.state, Learner: f.learner})
}

// fail ends a run of the first VM.
func (f *mixedFleet) fail() *tracker.Task {
	r := longRunningRuns(f.vms[0])[0]
	f.state.EndRun(f.vms[0], r.Key(), tracker.EndFailed, "", begin)
	return r.Task
}

// move carries out moves at once.
func (f *mixedFleet) move(moves []Move) {
	for _, m := range moves {
		t := m.Run.Task
		f.state.EndRun(m.Run.VM, m.Run.Key(), tracker.EndStopped, "", begin)
		f.run(t, m.To)
	}
}

// Guards against best-effort jobs that wait forever while the VMs are half idle: each VM has
// one long-running task that x would interfere with and one that y would. The long-running
// tasks are exchanged until some VMs are available to x and others to y, and then stay.
func TestLongRunningTasksMoveForBestEffort(t *testing.T) {
	f := newMixedFleet(4)
	f.submitBestEffort("x")
	f.submitBestEffort("y")
	countVMs := func() map[string]int { // VMs on which each image starts
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
	before := countVMs()
	for range 8 {
		moves := f.moves()
		if len(moves) == 0 {
			break
		}
		f.move(moves)
	}
	if got := f.moves(); len(got) != 0 {
		t.Errorf("%d long-running tasks still move", len(got))
	}
	after := countVMs()
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

// A long-running task that moves is unavailable to its users for some two seconds. It must not
// move without need, before it has run for a while, or during another move. A task that finds
// no capacity for long, or fails, blocks no move, unless the limit of its step allows no other
// task to be unavailable.
func TestWhenLongRunningTasksMove(t *testing.T) {
	tests := []struct {
		name   string
		change func(f *mixedFleet)
		moves  bool
	}{
		{"best-effort tasks wait", func(*mixedFleet) {}, true},
		{"nothing waits", func(f *mixedFleet) { f.state.Cancel(jobID(3), begin) }, false},
		{"they have just started", func(f *mixedFleet) {
			for _, vm := range f.vms {
				for _, r := range vm.Runs {
					r.StartedAt = begin
				}
			}
		}, false},
		{"one has failed", func(f *mixedFleet) { f.fail() }, true},
		{"one moves and is not running yet", func(f *mixedFleet) {
			f.fail().SetRelocation(tracker.Relocation{To: "2", Until: begin.Add(moveHold)})
		}, false},
		{"one has moved and is running", func(f *mixedFleet) {
			f.jobs[0].Occurrences[0].Steps[0].Tasks[0].SetRelocation(tracker.Relocation{To: "1", Until: begin.Add(moveHold)})
		}, true},
		{"no other task may be unavailable", func(f *mixedFleet) {
			for _, j := range f.jobs {
				j.Spec.Steps[0].MaxUnavailable = 1
				j.Occurrences[0].Steps[0].Tasks[0].Runs[0].Progress = 0
			}
		}, false},
		{"no effects of the images are known", func(f *mixedFleet) { f.learner = learner.New() }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newMixedFleet(4)
			f.submitBestEffort("x")
			tt.change(f)
			if got := f.moves(); len(got) > 0 != tt.moves {
				t.Errorf("%d long-running tasks move", len(got))
			}
		})
	}
}

// A step allows one of its tasks to be unavailable. Two of them must not leave a VM at once.
func TestMovesRespectMaxUnavailable(t *testing.T) {
	for _, unavailable := range []int{0, 1, 2} {
		f := newMixedFleet(4)
		for _, j := range f.jobs {
			j.Spec.Steps[0].MaxUnavailable = unavailable
		}
		f.submitBestEffort("x")
		moving := make(map[*tracker.Step]int)
		for range 6 {
			clear(moving)
			moves := f.moves()
			for _, m := range moves {
				moving[m.Run.Step()]++
			}
			for _, n := range moving {
				if unavailable > 0 && n > unavailable {
					t.Errorf("%d tasks of a job move at once, %d may be unavailable", n, unavailable)
				}
			}
			f.move(moves)
		}
	}
}

// A moving task starts on the VM selected for it, even if that VM has no capacity until
// another task has left. After the hold has expired it starts on any VM.
func TestMovingTaskWaitsForDestination(t *testing.T) {
	f := newMixedFleet(2)
	f.vm("spare", "in", "r1", cores(32))
	run := longRunningRunsOf(f.vms[0], "a")[0]
	task := run.Task
	task.SetRelocation(tracker.Relocation{To: f.vms[1].Name, Until: begin.Add(moveHold)})
	f.state.EndRun(run.VM, run.Key(), tracker.EndStopped, "", begin)
	if got := f.plan(begin); len(got) != 0 {
		t.Fatalf("starts on %s while its place is taken", got[0].VM.Name)
	}
	if got := f.plan(begin.Add(moveHold)); len(got) != 1 {
		t.Fatalf("%d tasks start after the wait", len(got))
	}
	other := longRunningRunsOf(f.vms[1], "b")[0]
	f.state.EndRun(other.VM, other.Key(), tracker.EndStopped, "", begin)
	other.Task.NotBefore = begin.Add(time.Hour)
	if got := f.plan(begin); len(got) != 1 || got[0].VM != f.vms[1] {
		t.Errorf("starts %v, want %s", vmsByTask(got), f.vms[1].Name)
	}
}

// Guards against a long-running task that waits forever although the fleet has enough free
// capacity: each VM has some, none as much as it needs. A smaller task moves to another VM,
// and it starts.
func TestMoveDefragmentsCapacity(t *testing.T) {
	f := newMixedFleet(3) // 32 cores each, 24 in use
	big := f.job("q", specifier.Step{Count: 1, Needs: cores(14), LongRunning: true, TailMillis: 18, Image: "a"})
	if got := f.plan(begin); len(got) != 0 {
		t.Fatalf("starts at once: %v", vmsByTask(got))
	}
	small := f.vm("small", "in", "r1", cores(12))
	moves := f.moves()
	if len(moves) != 1 || moves[0].To != small {
		t.Fatalf("%d moves: %+v", len(moves), moves)
	}
	f.move(moves)
	if got := f.plan(begin); len(got) != 1 || got[0].Task.Step.Occurrence.Job != big {
		t.Errorf("starts %v, want the waiting task", vmsByTask(got))
	}
}

// Two tasks of a step that allows one to be unavailable must not leave their VM together;
// tasks of two jobs may.
// Guards against the users of one long-running job who lose most of its tasks at once because many
// exchanges are made together.
func TestExchangesLeaveMostTasksOfAStep(t *testing.T) {
	const count = 14
	f := newMixedFleet(count)
	for range 12 * count { // other long-running tasks, so that the limit of the fleet does not bind
		f.job("q", specifier.Step{Count: 1, Needs: cores(1), LongRunning: true, TailMillis: 18, Image: "c"})
	}
	for range count {
		f.submitBestEffort("x")
		f.submitBestEffort("y")
	}
	moving := make(map[*tracker.Step]int)
	for _, m := range f.moves() {
		moving[m.Run.Step()]++
	}
	for _, n := range moving {
		if n > maxMoving {
			t.Errorf("%d of %d tasks of a step move at once, want %d at most", n, count, maxMoving)
		}
	}
	if len(moving) == 0 {
		t.Error("no tasks move")
	}
}

func TestWithinMaxUnavailable(t *testing.T) {
	f := newMixedFleet(2)
	a0, a1, b0 := longRunningRunsOf(f.vms[0], "a")[0], longRunningRunsOf(f.vms[1], "a")[0], longRunningRunsOf(f.vms[0], "b")[0]
	tests := []struct {
		name        string
		unavailable int
		runs        []*tracker.Run
		want        bool
	}{
		{"two of one job, no limit", 0, []*tracker.Run{a0, a1}, true},
		{"two of one job, one may be unavailable", 1, []*tracker.Run{a0, a1}, false},
		{"two of one job, two may be unavailable", 2, []*tracker.Run{a0, a1}, true},
		{"one each of two jobs, one may be unavailable", 1, []*tracker.Run{a0, b0}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, j := range f.jobs {
				j.Spec.Steps[0].MaxUnavailable = tt.unavailable
			}
			if got := withinMaxUnavailable(tt.runs); got != tt.want {
				t.Errorf("may leave together: %t", got)
			}
			if got := withinMaxUnavailable(tt.runs[:1], tt.runs[1:]); got != tt.want {
				t.Errorf("may be exchanged: %t", got)
			}
		})
	}
}

// Guards against a fleet whose best-effort tasks wait for most of a minute while its long-running
// tasks change places a pair at a time: half of the VMs have to be available to each image after
// five moves in a row, some ten seconds.
func TestFleetIsRearrangedWithinSeconds(t *testing.T) {
	const vms, movesInARow = 52, 5
	f := newMixedFleet(vms)
	for range vms {
		f.submitBestEffort("x")
		f.submitBestEffort("y")
	}
	for range movesInARow {
		f.move(f.moves())
	}
	available := make(map[string]int) // VMs by long-running image that they have alone
	for _, vm := range f.vms {
		if images := countImages(vm); len(images) == 1 {
			for image := range images {
				available[image]++
			}
		}
	}
	if available["a"] < vms*2/5 || available["b"] < vms*2/5 {
		t.Errorf("VMs with one long-running image: %v of %d; want nearly half for each", available, vms)
	}
}

// Guards against a large fleet that is rearranged one move at a time while its best-effort
// tasks wait for minutes: moves run concurrently on different VMs, for a share of the
// long-running tasks at once.
func TestMovesRunConcurrentlyOnLargeFleet(t *testing.T) {
	tests := []struct {
		name  string
		vms   int
		limit int // long-running tasks that are unavailable at once
	}{
		{"small", 4, maxMoving},
		{"large", 160, 32},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newMixedFleet(tt.vms)
			for range tt.vms {
				f.submitBestEffort("x")
				f.submitBestEffort("y")
			}
			unavailable := 0
			partner := make(map[string]string) // of each VM that takes part
			for {
				moves := f.moves()
				if len(moves) == 0 {
					break
				}
				before := len(partner)
				for _, m := range moves {
					from, to := m.Run.VM.Name, m.To.Name
					if partner[from] == "" && partner[to] == "" {
						partner[from], partner[to] = to, from
					}
					if partner[from] != to || partner[to] != from {
						t.Fatalf("%s takes part in two exchanges", from)
					}
					f.state.SetRelocation(m.Run.Task, m.Relocation(begin), begin)
					f.state.EndRun(m.Run.VM, m.Run.Key(), tracker.EndStopped, "", begin)
					unavailable++
				}
				if len(partner) == before {
					t.Fatal("VMs take part again before their tasks run")
				}
			}
			if unavailable == 0 || unavailable > tt.limit {
				t.Errorf("%d long-running tasks are unavailable at once, want at most %d", unavailable, tt.limit)
			}
			if tt.vms > 100 && len(partner) < 6 {
				t.Errorf("%d VMs take part in concurrent exchanges, want 6 at least", len(partner))
			}
		})
	}
}

// Guards against a moving long-running task that finds no capacity: its stop takes longer than
// the hold, and other tasks take the capacity on both VMs in the meantime. Capacity is held
// from the end of its run, and what it leaves is held for the task that it moves for.
func TestCapacityOfMoveIsHeldFromEndOfRun(t *testing.T) {
	b := newFixture(specifier.Queue{Name: "q", Slack: 20})
	from, to := b.vm("from", "in", "r1", cores(16)), b.vm("to", "in", "r1", cores(8))
	small := b.job("q", specifier.Step{Count: 1, Needs: cores(8), LongRunning: true})
	large := b.job("q", specifier.Step{Count: 1, Needs: cores(16), LongRunning: true})
	mover, next := small.Occurrences[0].Steps[0].Tasks[0], large.Occurrences[0].Steps[0].Tasks[0]
	b.runOn(mover, from)
	run := mover.Runs[0]
	move := Move{Run: run, To: to, For: next.Step}
	b.state.Stop(run, "moves", begin)
	b.state.SetRelocation(mover, move.Relocation(begin), begin)
	b.urgent("q", 24)
	late := begin.Add(2 * moveHold)
	if got := b.plan(late); len(got) != 0 {
		t.Fatalf("%d tasks start on the capacity of the move", len(got))
	}
	b.state.EndRun(from, run.Key(), tracker.EndStopped, "", late)
	want := map[string]string{mover.ID().String(): "to", next.ID().String(): "from"}
	if diff := cmp.Diff(want, vmsByTask(b.plan(late))); diff != "" {
		t.Error(diff)
	}
}

// Guards against a long-running task that stays unavailable while VMs have capacity one after
// another: other long-running tasks would take it by moves for best-effort tasks.
func TestNoMoveForBestEffortWhileLongRunningIsOverdue(t *testing.T) {
	for _, overdue := range []bool{false, true} {
		f := newMixedFleet(4)
		f.submitBestEffort("x")
		unavailable := f.job("q", specifier.Step{Count: 1, Needs: cores(16), LongRunning: true, Image: "a"})
		task := unavailable.Occurrences[0].Steps[0].Tasks[0]
		task.HasRun, task.WaitSince = true, begin.Add(2*time.Second)
		if overdue {
			task.WaitSince = begin.Add(-time.Minute)
		}
		for _, m := range f.moves() {
			if overdue == (m.For == nil) {
				t.Errorf("overdue %t: %s moves for best-effort tasks: %t", overdue, m.Run.Key().Task, m.For == nil)
			}
		}
	}
}
