package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bamboospread/internal/job/learner"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

var begin = time.Unix(1_000_000, 0)

func cores(n int64) specifier.Resources {
	return specifier.Resources{CPUMillis: 1000 * n, MemoryMB: 1000 * n}
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

type fixture struct {
	state *tracker.Tracker
	jobs  int
}

func newFixture(queues ...specifier.Queue) *fixture {
	if len(queues) == 0 {
		queues = []specifier.Queue{{Name: "q", Slack: 2, MaxFailures: 3}}
	}
	return &fixture{state: tracker.New(tracker.Config{Policy: &specifier.Policy{Version: 1, Queues: queues, ZonesOut: map[string]bool{"out": true}}})}
}

func (b *fixture) vm(name, zone, rack string, capacity specifier.Resources, labels ...string) *tracker.VM {
	vm, _ := b.state.Attach(tracker.VMInfo{Name: name, Zone: zone, Rack: rack, Labels: labels, Capacity: capacity}, tracker.Report{Incarnation: "1", Ready: true}, begin)
	return vm
}

func (b *fixture) job(queue string, steps ...specifier.Step) *tracker.Job {
	b.jobs++
	spec := &specifier.Job{ID: jobID(b.jobs), Queue: queue, Steps: steps, AcceptedMillis: begin.UnixMilli() + int64(b.jobs)}
	b.state.AddJob(spec, time.Time{}, begin)
	return b.state.Jobs[spec.ID]
}

func (b *fixture) plan(now time.Time) []Start { return Plan(Input{Now: now, State: b.state}) }

// vmsByTask returns the VMs of the starts by task.
func vmsByTask(starts []Start) map[string]string {
	m := make(map[string]string)
	for _, s := range starts {
		m[s.Task.ID().String()] = s.VM.Name
	}
	return m
}

func TestEligibleVMs(t *testing.T) {
	step := func(change func(*specifier.Step)) specifier.Step {
		s := specifier.Step{Count: 1, Needs: cores(2), EstimateMillis: 100}
		change(&s)
		return s
	}
	tests := []struct {
		name string
		step specifier.Step
		want string // VM; empty: none
	}{
		{"any VM with enough capacity", step(func(s *specifier.Step) { s.Needs = cores(6) }), "large"},
		{"no VM", step(func(s *specifier.Step) { s.Needs = cores(9) }), ""},
		{"label", step(func(s *specifier.Step) { s.Label = "ssd" }), "small"},
		{"label that no VM has", step(func(s *specifier.Step) { s.Label = "gold" }), ""},
		{"rack of its data", step(func(s *specifier.Step) { s.DataRack = "r1" }), "small"},
		{"another rack if that of its data has no capacity", step(func(s *specifier.Step) { s.DataRack = "r1"; s.Needs = cores(6) }), "large"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture()
			b.vm("small", "in", "r1", cores(4), "ssd")
			b.vm("large", "in", "r2", cores(8))
			b.vm("out", "out", "r3", cores(64), "ssd")
			b.job("q", tt.step)
			want := map[string]string{}
			if tt.want != "" {
				want[jobID(1)+".0.0.0"] = tt.want
			}
			if diff := cmp.Diff(want, vmsByTask(b.plan(begin))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestIneligibleVMs(t *testing.T) {
	tests := []struct {
		name   string
		change func(b *fixture, vm *tracker.VM)
	}{
		{"not connected", func(b *fixture, vm *tracker.VM) { b.state.Detach(vm) }},
		{"draining", func(b *fixture, vm *tracker.VM) { b.state.Apply(vm, tracker.Report{Incarnation: "1"}, begin) }},
		{"quarantined", func(_ *fixture, vm *tracker.VM) { vm.Health.QuarantinedUntil = begin.Add(time.Second) }},
		{"of another service", func(_ *fixture, vm *tracker.VM) { vm.Service = "other" }},
		{"with a run of unknown size", func(b *fixture, vm *tracker.VM) {
			b.state.Apply(vm, tracker.Report{Incarnation: "1", Ready: true, Runs: []tracker.ReportedRun{{
				Key: tracker.RunKey{Task: specifier.TaskID{Job: "ended"}, Number: 1}, Confirmed: true,
			}}}, begin)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(specifier.Queue{Name: "q", Service: "s"})
			vm := b.vm("vm", "in", "r1", cores(8))
			vm.Service = "s"
			b.job("q", specifier.Step{Count: 1, Needs: cores(1)})
			if len(b.plan(begin)) != 1 {
				t.Fatal("no task starts on a healthy VM")
			}
			tt.change(b, vm)
			if got := b.plan(begin); len(got) != 0 {
				t.Errorf("%d tasks start", len(got))
			}
			if why := Explain(Input{Now: begin, State: b.state}, b.state.Jobs[jobID(1)].Occurrences[0].Steps[0]); why != "1 VMs "+tt.name && why != "1 VMs draining or out of contact" {
				t.Errorf("explanation is %q", why)
			}
		})
	}
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	b := newFixture()
	b.vm("one", "in", "r1", cores(4))
	two := b.vm("two", "in", "r1", cores(3))
	b.job("q", specifier.Step{Count: 4, Needs: cores(2), Gang: true})
	if got := b.plan(begin); len(got) != 0 {
		t.Fatalf("%d of 4 members start with capacity for 3", len(got))
	}
	two.Capacity = cores(4)
	starts := b.plan(begin)
	numbers := make(map[int64]bool)
	for _, s := range starts {
		numbers[s.Number] = true
	}
	if len(starts) != 4 || len(numbers) != 1 {
		t.Errorf("%d members start, with the run numbers %v", len(starts), numbers)
	}
}

func TestMaxPerVM(t *testing.T) {
	b := newFixture()
	b.vm("one", "in", "r1", cores(8))
	b.vm("two", "in", "r1", cores(8))
	b.job("q", specifier.Step{Count: 6, Needs: cores(1), MaxPerVM: 2})
	count := make(map[string]int)
	for _, vm := range vmsByTask(b.plan(begin)) {
		count[vm]++
	}
	if diff := cmp.Diff(map[string]int{"one": 2, "two": 2}, count); diff != "" {
		t.Error(diff)
	}
}

func TestOrder(t *testing.T) {
	urgent := specifier.Queue{Name: "urgent", Priority: 0, Slack: 2}
	batch := specifier.Queue{Name: "batch", Priority: 2, Slack: 2, Target: time.Second}
	long := specifier.Step{Count: 1, Needs: cores(1), EstimateMillis: 10_000}
	short := specifier.Step{Count: 1, Needs: cores(1), EstimateMillis: 1000}
	tests := []struct {
		name string
		jobs func(b *fixture)
		now  time.Duration
		want int // job whose task starts first
	}{
		{"priority", func(b *fixture) { b.job("batch", short); b.job("urgent", long) }, 0, 2},
		{"earlier deadline", func(b *fixture) { b.job("batch", long); b.job("batch", short) }, 0, 2},
		{"on time before late", func(b *fixture) { b.job("batch", short); b.job("batch", long) }, 4 * time.Second, 2},
		{"late before too late", func(b *fixture) { b.job("batch", short); b.job("batch", long) }, 14 * time.Second, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(urgent, batch)
			b.vm("vm", "in", "r1", cores(1))
			tt.jobs(b)
			starts := b.plan(begin.Add(tt.now))
			if len(starts) != 1 || starts[0].Task.ID().Job != jobID(tt.want) {
				t.Errorf("starts %v", vmsByTask(starts))
			}
		})
	}
}

// Long-running tasks serve users, and best-effort tasks interfere with them. The two are
// placed on different VMs as long as there is enough capacity.
func TestBestEffortAvoidsLongRunningTasks(t *testing.T) {
	b := newFixture()
	one := b.vm("one", "in", "r1", cores(32))
	b.vm("two", "in", "r1", cores(32))
	longRunning := b.job("q", specifier.Step{Count: 2, Needs: cores(8), LongRunning: true, TailMillis: 20, Image: "l"})
	for _, s := range b.plan(begin) {
		b.state.Place(s.Task, s.VM, s.Number, begin)
	}
	if one.LongRunning != 2 {
		t.Fatalf("%d of 2 long-running tasks share a VM", one.LongRunning)
	}
	b.job("q", specifier.Step{Count: 4, Needs: cores(4), BestEffort: true, Image: "f"})
	for task, vm := range vmsByTask(b.plan(begin)) {
		if vm != "two" {
			t.Errorf("%s starts on the VM of the long-running tasks of %s", task, longRunning.Spec.ID)
		}
	}
}

// A best-effort image that made a long-running image miss its target is placed on another VM,
// and waits if there is none; other images are still admitted.
func TestInterferingImageIsKeptOff(t *testing.T) {
	b := newFixture()
	vm := b.vm("one", "in", "r1", cores(32))
	b.job("q", specifier.Step{Count: 1, Needs: cores(8), LongRunning: true, TailMillis: 20, Image: "l"})
	for _, s := range b.plan(begin) {
		b.state.Place(s.Task, s.VM, s.Number, begin)
	}
	known := learner.New()
	for n := range 20 {
		at := begin.Add(time.Duration(n) * 300 * time.Millisecond)
		known.Observe(learner.Observation{Group: "g", Image: "l", Headroom: 2.4, At: at})
		known.Observe(learner.Observation{Group: "g", Image: "l", Headroom: 0.3, Use: learner.Use{"interfering": 0.15}, At: at})
		known.Observe(learner.Observation{Group: "g", Image: "l", Headroom: 2.3, Use: learner.Use{"harmless": 0.25}, At: at})
	}
	for _, image := range []string{"interfering", "harmless"} {
		b.job("q", specifier.Step{Count: 1, Needs: cores(4), BestEffort: true, Image: image})
	}
	starts := Plan(Input{Now: begin, State: b.state, Learner: known})
	if len(starts) != 1 || starts[0].Task.Step.Spec.Image != "harmless" {
		t.Errorf("starts %v next to the long-running task of %s", vmsByTask(starts), vm.Name)
	}
}

// Once its quarantine has expired, a VM gets one task, not the whole queue: if the worker
// still fails everything, one run is lost and not dozens.
func TestQuarantinedVMIsProbedByOneTask(t *testing.T) {
	b := newFixture()
	vm := b.vm("vm", "in", "r1", cores(32))
	vm.Health.ConsecutiveQuarantines = 1
	b.job("q", specifier.Step{Count: 8, Needs: cores(1)})
	if got := len(b.plan(begin)); got != 1 {
		t.Errorf("%d tasks start", got)
	}
}

// Whatever is submitted, a round exceeds the capacity of no VM and starts no task twice.
func TestNeverOverCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newFixture()
		for i := range rapid.IntRange(1, 4).Draw(t, "vms") {
			b.vm(fmt.Sprint("vm-", i), "in", fmt.Sprint("r", i%2), cores(rapid.Int64Range(1, 16).Draw(t, "size")))
		}
		for range rapid.IntRange(1, 6).Draw(t, "jobs") {
			b.job("q", specifier.Step{
				Count: rapid.IntRange(1, 8).Draw(t, "count"), Needs: cores(rapid.Int64Range(1, 6).Draw(t, "needs")),
				Gang: rapid.Bool().Draw(t, "gang"), BestEffort: rapid.Bool().Draw(t, "best effort"), LongRunning: rapid.Bool().Draw(t, "long running"),
				MaxPerVM: rapid.IntRange(0, 3).Draw(t, "max"), SameRack: rapid.Bool().Draw(t, "rack"),
			})
		}
		seen := make(map[string]bool)
		for round := range 3 {
			for _, s := range b.plan(begin.Add(time.Duration(round) * time.Second)) {
				if id := s.Task.ID().String(); seen[id] {
					t.Fatalf("%s starts twice", id)
				} else {
					seen[id] = true
				}
				b.state.Place(s.Task, s.VM, s.Number, begin)
			}
		}
		for _, vm := range b.state.VMs {
			if !vm.Capacity.Fits(vm.Committed) {
				t.Fatalf("%s has %+v of %+v", vm.Name, vm.Committed, vm.Capacity)
			}
		}
	})
}

// Guards against starts beyond a capacity that has shrunk below what runs on the VM, in part or to
// nothing, and against capacity that is not used once it has grown again.
func TestStartsFollowChangingCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newFixture()
		var vms []*tracker.VM
		for i := range rapid.IntRange(1, 3).Draw(t, "vms") {
			vms = append(vms, b.vm(fmt.Sprint("vm-", i), "in", "r", cores(8)))
		}
		for round := range 6 {
			now := begin.Add(time.Duration(round) * 10 * time.Second)
			b.job("q", specifier.Step{
				Count: rapid.IntRange(1, 6).Draw(t, "count"), Needs: cores(rapid.Int64Range(1, 4).Draw(t, "needs")), EstimateMillis: 1000,
				BestEffort: rapid.Bool().Draw(t, "best effort"), LongRunning: rapid.Bool().Draw(t, "long running"), Gang: rapid.Bool().Draw(t, "gang"),
			})
			for _, vm := range vms {
				size := cores(rapid.Int64Range(0, 8).Draw(t, "size"))
				b.state.UpdateInfo(vm, tracker.VMInfo{Name: vm.Name, Zone: "in", Rack: "r", Capacity: size})
			}
			for _, s := range b.plan(now) {
				b.state.Place(s.Task, s.VM, s.Number, now)
				if !s.VM.Capacity.Fits(s.VM.Committed) {
					t.Fatalf("%s starts on %s with %+v of %+v", s.Task.ID(), s.VM.Name, s.VM.Committed, s.VM.Capacity)
				}
			}
		}
		for _, vm := range vms {
			b.state.DropRuns(vm, begin)
			b.state.UpdateInfo(vm, tracker.VMInfo{Name: vm.Name, Zone: "in", Rack: "r", Capacity: cores(8)})
		}
		b.job("q", specifier.Step{Count: 1, Needs: cores(1), EstimateMillis: 1000})
		if len(b.plan(begin.Add(time.Hour))) == 0 {
			t.Fatal("nothing starts on the grown capacity")
		}
	})
}

// Guards against a backlog in which all jobs are started and none is completed in time: those
// nearly done go first, and large ones are not delayed for small ones.
func TestOrderUnderBacklog(t *testing.T) {
	queue := specifier.Queue{Name: "batch", Slack: 4, Target: 10 * time.Second}
	wide := specifier.Step{Count: 8, Needs: cores(1), EstimateMillis: 1000}
	next := specifier.Step{Count: 8, Needs: cores(1), EstimateMillis: 1000, After: []int{0}}
	small := specifier.Step{Count: 2, Needs: cores(1), EstimateMillis: 1000}
	tests := []struct {
		name         string
		jobs         []specifier.Job // steps only
		done         map[int]int     // completed tasks, by job number from 1
		runtimeRatio float64         // actual over declared duration of tasks
		now          time.Duration
		want         int // job whose task starts first
	}{
		{"one nearly done before an equal one", []specifier.Job{{Steps: []specifier.Step{wide, next}}, {Steps: []specifier.Step{wide, next}}}, map[int]int{2: 6}, 1, 0, 2},
		{"a large one accepted first before a small one", []specifier.Job{{Steps: []specifier.Step{wide}}, {Steps: []specifier.Step{small}}}, nil, 1, 0, 1},
		{"a large one mostly done before a small one", []specifier.Job{{Steps: []specifier.Step{wide}}, {Steps: []specifier.Step{small}}}, map[int]int{1: 6}, 1, 0, 1},
		{"one that would be late at the present speed of tasks after one on time", []specifier.Job{{Steps: []specifier.Step{wide, next}}, {Steps: []specifier.Step{wide}}}, map[int]int{1: 7}, 8, 5 * time.Second, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(queue)
			for _, j := range tt.jobs {
				b.job("batch", j.Steps...)
			}
			vm := b.vm("vm", "in", "r1", cores(1))
			for job, done := range tt.done {
				for _, task := range b.state.Jobs[jobID(job)].Occurrences[0].Steps[0].Tasks[:done] {
					r := b.state.Place(task, vm, 1, begin)
					b.state.EndRun(vm, r.Key(), tracker.EndDone, "", begin)
				}
			}
			b.completeRuns(vm, tt.runtimeRatio)
			starts := b.plan(begin.Add(tt.now))
			if len(starts) != 1 || starts[0].Task.ID().Job != jobID(tt.want) {
				t.Errorf("starts %v, want of job %d", vmsByTask(starts), tt.want)
			}
		})
	}
}

// completeRuns completes runs of the queue whose durations are a multiple of those declared.
func (b *fixture) completeRuns(vm *tracker.VM, factor float64) {
	j := b.job("batch", specifier.Step{Count: 200, Needs: cores(1), EstimateMillis: 1000})
	for _, t := range j.Occurrences[0].Steps[0].Tasks {
		r := b.state.Place(t, vm, 1, begin)
		r.StartedAt = begin
		b.state.EndRun(vm, r.Key(), tracker.EndDone, "", begin.Add(time.Duration(factor*float64(time.Second))))
	}
}
