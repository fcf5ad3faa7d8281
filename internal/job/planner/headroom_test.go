package planner

import (
	"slices"
	"testing"
	"time"

	"bamboospread/internal/job/learner"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// loadedFleet is a fleet on which every VM has a long-running task whose own load leaves the given
// headroom, far from full otherwise.
type loadedFleet struct {
	*fixture
	learner *learner.Learner
	cache   *Cache
}

func newLoadedFleet(headrooms ...float64) *loadedFleet {
	f := &loadedFleet{fixture: newFixture(), learner: learner.New(), cache: NewCache()}
	for n, headroom := range headrooms {
		vm := f.vm(string(rune('1'+n)), "in", "r1", cores(32))
		j := f.job("q", specifier.Step{Count: 1, Needs: cores(8), LongRunning: true, TailMillis: 100, Image: "l"})
		r := f.state.Place(j.Occurrences[0].Steps[0].Tasks[0], vm, 1, begin.Add(-time.Minute))
		r.State, r.StartedAt, r.Progress, r.Measure = tracker.Running, begin.Add(-time.Minute), 100, int64(100/headroom)
		for i := range 100 {
			f.learner.Observe(learner.Observation{Group: groupName(r), Image: "l", Headroom: headroom, At: begin.Add(time.Duration(i-100) * 300 * time.Millisecond)})
		}
	}
	return f
}

func (f *loadedFleet) input(after time.Duration) Input {
	return Input{Now: begin.Add(after), State: f.state, Learner: f.learner, Cache: f.cache}
}

func (f *loadedFleet) plan(after time.Duration) []Start {
	starts := Plan(f.input(after))
	for _, s := range starts {
		f.state.Place(s.Task, s.VM, s.Number, begin.Add(after))
	}
	return starts
}

// firstStart returns when the first task of a job starts, and on which VM.
func (f *loadedFleet) firstStart(j *tracker.Job, until time.Duration) (time.Duration, string) {
	for after := time.Duration(0); after <= until; after += 250 * time.Millisecond {
		for _, s := range f.plan(after) {
			if s.Task.Step.Occurrence.Job == j {
				return after, s.VM.Name
			}
		}
	}
	return -1, ""
}

func bestEffortStep(count int, change func(*specifier.Step)) specifier.Step {
	s := specifier.Step{Count: count, Needs: cores(1), EstimateMillis: 500, BestEffort: true, Image: "x"}
	if change != nil {
		change(&s)
	}
	return s
}

// Guards against best-effort tasks that wait without end while long-running tasks stay near their targets.
func TestWaitForHeadroomEnds(t *testing.T) {
	tests := []struct {
		name      string
		headrooms []float64
		step      specifier.Step
		from, to  time.Duration // in which it starts
		vm        string
	}{
		{"headroom to spare", []float64{2, 2}, bestEffortStep(1, nil), 0, 0, ""},
		{"headroom to spare on one VM", []float64{1.2, 2}, bestEffortStep(1, nil), 0, 0, "2"},
		{"near the target", []float64{1.2, 1.2}, bestEffortStep(1, nil), marginWait, marginWait, ""},
		{"most headroom first", []float64{1.15, 1.22}, bestEffortStep(1, nil), marginWait, marginWait, "2"},
		{"at the target", []float64{1.02, 1.02}, bestEffortStep(1, nil), headroomWait, headroomWait, ""},
		{"over the target by its own load", []float64{0.9, 0.9}, bestEffortStep(1, nil), headroomWait, headroomWait, ""},
		{"a large effect", []float64{1.5, 1.5}, bestEffortStep(1, func(s *specifier.Step) { s.Needs = cores(16) }), headroomWait, headroomWait, ""},
		{"a gang on one VM", []float64{1.02}, bestEffortStep(3, func(s *specifier.Step) { s.Gang = true }), headroomWait, headroomWait, ""},
		{"a gang on two VMs", []float64{1.02, 1.02}, bestEffortStep(3, func(s *specifier.Step) { s.Gang, s.MaxPerVM = true, 2 }), headroomWait, headroomWait, ""},
		{"long-running", []float64{1.02}, bestEffortStep(1, func(s *specifier.Step) { s.LongRunning = true }), headroomWait, headroomWait, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newLoadedFleet(tt.headrooms...)
			got, vm := f.firstStart(f.job("q", tt.step), time.Minute)
			if got < tt.from || got > tt.to || tt.vm != "" && vm != tt.vm {
				t.Errorf("starts after %s on VM %s, want %s to %s on %s", got, vm, tt.from, tt.to, tt.vm)
			}
		})
	}
}

// Guards against long-running tasks that lose their response times to a backlog that has waited: a task
// starts only when the reports show the effect of the one before.
func TestStartsWithoutHeadroomAreSpaced(t *testing.T) {
	tests := []struct {
		name      string
		headrooms []float64
		throttled bool          // what has started is throttled to zero
		first     time.Duration // when a task of the backlog starts
		starts    int           // within ten seconds from then on
	}{
		{"what starts is throttled to zero", []float64{1.02, 1.02}, true, headroomWait, 10},
		{"what starts works, on half of the VMs", []float64{1.02, 1.02}, false, headroomWait, 3},
		{"others work on a third of the VMs", []float64{1.02, 1.02, 1.6}, false, headroomWait, 3},
		{"others work on half of the VMs", []float64{1.02, 1.02, 1.6, 1.6}, false, busyHeadroomWait, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newLoadedFleet(tt.headrooms...)
			for _, vm := range f.state.SortedVMs()[2:] { // leave no room for others
				full := f.job("q", bestEffortStep(1, func(s *specifier.Step) { s.Needs = cores(4) }))
				r := f.state.Place(full.Occurrences[0].Steps[0].Tasks[0], vm, 1, begin.Add(-time.Second))
				r.State, r.StartedAt = tracker.Running, begin.Add(-time.Second)
				vm.BestEffortCPU = 64_000
			}
			backlog := f.job("q", bestEffortStep(40, nil))
			last := make(map[*tracker.VM]time.Duration)
			first, count := time.Duration(-1), 0
			for after := time.Duration(0); first < 0 || after < first+10*time.Second; after += 250 * time.Millisecond {
				for _, s := range f.plan(after) {
					if s.Task.Step.Occurrence.Job != backlog {
						continue
					}
					if before, ok := last[s.VM]; ok && after-before < startSpacing {
						t.Fatalf("two starts on VM %s within %s", s.VM.Name, after-before)
					}
					if first < 0 {
						first = after
					}
					last[s.VM] = after
					count++
					if tt.throttled {
						s.Task.Runs[0].SetPace(0, begin.Add(after))
					}
				}
			}
			if first != tt.first || count != tt.starts {
				t.Errorf("the first start is after %s, and %d are within ten seconds, want %s and %d", first, count, tt.first, tt.starts)
			}
		})
	}
}

// Guards against a task that has waited and is passed over because a newer one of its image fits nowhere.
func TestNewTasksDontHideTasksThatHaveWaited(t *testing.T) {
	f := newLoadedFleet(1.02)
	old := f.job("q", bestEffortStep(1, func(s *specifier.Step) { s.Needs = cores(2) }))
	newer := f.job("q", bestEffortStep(1, nil))
	newer.Occurrences[0].Steps[0].ReadyAt = begin.Add(headroomWait)
	newer.Occurrences[0].DueAt = begin.Add(-time.Hour) // goes first
	if starts := f.plan(headroomWait); len(starts) != 1 || starts[0].Task.Step.Occurrence.Job != old {
		t.Errorf("%d starts, want that of the task that has waited", len(starts))
	}
}

// Guards against evictions to a VM without headroom, from which the task would be evicted again.
func TestEvictionNeedsHeadroom(t *testing.T) {
	for _, headroom := range []float64{2.4, 1.02} {
		f := newLoadedFleet(0.9, headroom)
		j := f.job("q", bestEffortStep(1, func(s *specifier.Step) { s.Checkpoints = true }))
		r := f.state.Place(j.Occurrences[0].Steps[0].Tasks[0], f.state.VMs["1"], 1, begin.Add(-time.Minute))
		r.State, r.StartedAt = tracker.Running, begin.Add(-time.Minute)
		r.SetPace(0, begin.Add(-time.Minute))
		if got := len(Evictions(f.input(0))); got != 0 != (headroom > minHeadroom) {
			t.Errorf("%d evictions to a VM with a headroom of %.2f", got, headroom)
		}
	}
}

// Guards against best-effort tasks that are throttled to zero without end although the long-running task
// stays within its target beside them at the lowest pace.
func TestStarvedTaskWorksWithinTarget(t *testing.T) {
	tests := []struct {
		name     string
		headroom float64
		after    time.Duration // since it was first throttled
		want     int
	}{
		{"throttled just now", 1.05, time.Second, 0},
		{"throttled for long", 1.05, headroomWait, 10},
		{"the target is missed by the load itself", 0.95, headroomWait, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newLoadedFleet(tt.headroom)
			j := f.job("q", bestEffortStep(1, nil))
			r := f.state.Place(j.Occurrences[0].Steps[0].Tasks[0], f.state.VMs["1"], 1, begin.Add(-time.Minute))
			r.State, r.StartedAt = tracker.Running, begin.Add(-time.Minute)
			r.SetPace(0, begin.Add(-tt.after))
			if pace := throttledPaces(f.input(0), f.state.VMs["1"])[0].Percent; pace != tt.want {
				t.Errorf("pace is %d, want %d", pace, tt.want)
			}
		})
	}
}

// Guards against a VM on probation that accepts no best-effort task while the one that is to show that
// its worker is sound is throttled to zero.
func TestWaitForProbeEnds(t *testing.T) {
	f := newLoadedFleet(2.4)
	vm := f.state.VMs["1"]
	vm.Health = tracker.Health{QuarantinedUntil: begin, ConsecutiveQuarantines: 1}
	f.job("q", bestEffortStep(1, nil))
	for _, s := range f.plan(0) {
		s.Task.Runs[0].SetPace(0, begin)
	}
	got, _ := f.firstStart(f.job("q", bestEffortStep(3, nil)), time.Minute)
	if got <= 0 || got > 4*time.Second {
		t.Errorf("the next task starts after %s, want at most 4 s", got)
	}
	if n := len(f.plan(got + time.Second)); n != 0 {
		t.Errorf("%d more tasks start within a second", n)
	}
}

// Guards against a slow VM, the only one that may run a task, that accepts no best-effort task while a
// stream of urgent tasks runs there.
func TestWaitForSlowVMEnds(t *testing.T) {
	f := newLoadedFleet(2.4, 2.4)
	slow := f.state.VMs["1"]
	slow.Labels = map[string]bool{"only": true}
	c := calibratorWith("1")
	in := func(after time.Duration) Input {
		i := f.input(after)
		i.Calibrator = c
		return i
	}
	if !in(0).slow(slow) {
		t.Fatal("the VM does not count as slow")
	}
	urgent := f.job("q", specifier.Step{Count: 1, Needs: cores(1), EstimateMillis: 500})
	f.state.Place(urgent.Occurrences[0].Steps[0].Tasks[0], slow, 1, begin)
	waiting := f.job("q", bestEffortStep(2, func(s *specifier.Step) { s.Label = "only" }))
	if n := len(Plan(in(slowVMWait - time.Millisecond))); n != 0 {
		t.Fatalf("%d tasks start beside the urgent one at once", n)
	}
	if starts := Plan(in(slowVMWait)); len(starts) != 1 || starts[0].Task.Step.Occurrence.Job != waiting {
		t.Errorf("%d tasks start on the slow VM after %s, want 1", len(starts), slowVMWait)
	}
}

// Guards against a VM that a best-effort task never gets because others depend on it: scarcity ranks VMs
// and excludes none.
func TestScarceVMTakesAnyTaskWithoutOtherChoice(t *testing.T) {
	f := &mixedFleet{fixture: newFixture(), learner: trainedLearner(map[string][]string{"a": {"x"}, "b": nil}, "x", "z")}
	for n, image := range []string{"a", "b"} {
		j := f.job("q", specifier.Step{Count: 1, Needs: cores(8), LongRunning: true, TailMillis: 18, Image: image})
		f.run(j.Occurrences[0].Steps[0].Tasks[0], f.vm(string(rune('1'+n)), "in", "r1", cores(32), image))
	}
	f.job("q", specifier.Step{Count: 30, Needs: cores(8), EstimateMillis: 2000, BestEffort: true, Image: "x"})
	only := f.job("q", specifier.Step{Count: 1, Needs: cores(8), EstimateMillis: 100, BestEffort: true, Image: "z", Label: "b"})
	if !slices.ContainsFunc(Plan(Input{Now: begin, State: f.state, Learner: f.learner}), func(s Start) bool { return s.Task.Step.Occurrence.Job == only }) {
		t.Error("the task does not start on the VM that others depend on")
	}
}
