package planner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// powerFleet simulates VMs that lose power, worker and agent together, so that no crash is reported.
type powerFleet struct {
	*fixture
	now      time.Time
	random   *rand.Rand
	cause    *tracker.Task // nil: none
	after    time.Duration // from its start to the loss of power
	starts   int           // of the cause
	vms      []*poweredVM
	interval time.Duration // between reports without news
	down     time.Duration // for which VMs are without power
	back     time.Duration // at most so much later, drawn for each VM
}

type poweredVM struct {
	*tracker.VM
	process  int64
	down     time.Time // it has power again then; zero: it has
	reported time.Time
	news     bool
	started  map[tracker.RunKey]time.Time
	length   map[tracker.RunKey]time.Duration
	ends     []tracker.ReportedEnd // since the last report
}

// Of the owner: VMs are detached, and their runs given up, after so much time without a report.
const (
	powerDetachAfter = 1500 * time.Millisecond
	powerDropAfter   = 6 * time.Second
)

func newPowerFleet(seed uint64, vms int) *powerFleet {
	f := &powerFleet{fixture: newFixture(), now: begin, random: rand.New(rand.NewPCG(seed, 85))}
	f.state = tracker.New(tracker.Config{Policy: f.state.Policy(), Random: f.random.Float64})
	f.interval = []time.Duration{50, 100, 300, 600}[f.random.IntN(4)] * time.Millisecond
	f.down = time.Duration(500+f.random.IntN(5000)) * time.Millisecond
	f.back = time.Duration(f.random.IntN(3000)) * time.Millisecond
	for i := range vms {
		vm := &poweredVM{process: 1, reported: begin, started: make(map[tracker.RunKey]time.Time), length: make(map[tracker.RunKey]time.Duration)}
		vm.VM = f.vm(fmt.Sprintf("vm-%d", i), fmt.Sprintf("in-%d", i%3), "r", cores(8))
		vm.VM.Process = vm.process
		f.vms = append(f.vms, vm)
	}
	return f
}

// addTask adds a job of one task: one that ends by itself soon or late, or a long-running one.
func (f *powerFleet) addTask() *tracker.Task {
	s := specifier.Step{Count: 1, Needs: cores(1), EstimateMillis: int64(500 + f.random.IntN(20000))}
	switch f.random.IntN(3) {
	case 0:
		s.EstimateMillis, s.LongRunning = 0, true
	case 1:
		s.EstimateMillis = 3_600_000
	}
	return f.job("q", s).Occurrences[0].Steps[0].Tasks[0]
}

func (f *powerFleet) cut(vm *poweredVM) {
	if !vm.down.IsZero() {
		return
	}
	vm.down = f.now.Add(f.down + time.Duration(f.random.Int64N(int64(f.back)+1)))
	vm.ends = nil
	clear(vm.started)
}

// cutSome cuts the power of a number of VMs at once.
func (f *powerFleet) cutSome(count int) {
	for _, i := range f.random.Perm(len(f.vms))[:count] {
		f.cut(f.vms[i])
	}
}

func (f *powerFleet) step() {
	f.now = f.now.Add(crashSimulationStep)
	for _, vm := range f.vms {
		for key, at := range vm.started {
			if f.cause != nil && key.Task == f.cause.ID() && f.now.Sub(at) >= f.after {
				f.cut(vm)
				break
			}
		}
		f.report(vm)
	}
	for _, vm := range f.vms {
		quiet := f.now.Sub(vm.GrantedAt)
		if vm.Attached && quiet > powerDetachAfter {
			f.state.Detach(vm.VM)
		}
		if !vm.Attached && len(vm.Runs) > 0 && quiet > powerDropAfter {
			f.state.DropRuns(vm.VM, f.now)
		}
	}
	f.state.GiveUpCrashingTasks(f.now)
	for _, s := range f.plan(f.now) {
		r := f.state.Place(s.Task, s.VM, s.Number, f.now)
		vm := f.vms[slices.IndexFunc(f.vms, func(vm *poweredVM) bool { return vm.VM == s.VM })]
		if vm.down.IsZero() { // otherwise the order is lost
			vm.started[r.Key()], vm.news = f.now, true
			vm.length[r.Key()] = time.Duration(s.Task.Step.Spec.EstimateMillis) * time.Millisecond
			if s.Task == f.cause {
				f.starts++
			}
		}
	}
}

func (f *powerFleet) report(vm *poweredVM) {
	back := !vm.down.IsZero() && !f.now.Before(vm.down)
	if !vm.down.IsZero() && !back {
		return
	}
	if back {
		vm.process++
		vm.down = time.Time{}
	}
	rep := tracker.Report{Incarnation: fmt.Sprint(vm.process), Process: vm.process, Ready: true, OrdersSeen: vm.OrderSeq}
	for key, at := range vm.started {
		if length := vm.length[key]; length > 0 && f.now.Sub(at) >= length {
			vm.ends = append(vm.ends, tracker.ReportedEnd{Key: key, Outcome: tracker.EndDone})
			delete(vm.started, key)
			vm.news = true
			continue
		}
		rep.Runs = append(rep.Runs, tracker.ReportedRun{Key: key, Confirmed: true, Progress: 100})
	}
	if !back && !vm.news && f.now.Sub(vm.reported) < f.interval {
		return
	}
	for i, e := range vm.ends {
		e.Seq = vm.EndSeen + int64(i) + 1
		rep.Ends = append(rep.Ends, e)
	}
	vm.reported, vm.news, vm.ends = f.now, false, nil
	if back || !vm.Attached {
		f.state.Attach(tracker.VMInfo{Name: vm.Name, Zone: vm.Zone, Rack: vm.Rack, Capacity: vm.Capacity}, rep, f.now)
		return
	}
	f.state.Apply(vm.VM, rep, f.now)
}

// failed returns the jobs that were given up but for that of the cause, with their reasons.
func (f *powerFleet) failed() (found []string) {
	for _, j := range f.state.Jobs {
		if j.State == tracker.JobFailed && (f.cause == nil || j != f.cause.Step.Occurrence.Job) {
			found = append(found, fmt.Sprintf("%s: %s: %+v", j.Spec.ID, j.Reason, j.Occurrences))
		}
	}
	return found
}

// drawnSeeds returns how many seeds are drawn: a tenth with the race detector, which makes these tests, of one
// goroutine each, ten times as slow. make test runs them without it as well.
func drawnSeeds(all uint64) uint64 {
	if raceDetector {
		return all / 10
	}
	return all
}

// Guards against a task that brings down its machine with each start and is never given up, since no process
// that lives on reports the crash, and against others that are given up because they stood beside it or on VMs
// that lost power.
func TestTaskThatBringsDownItsMachineIsGivenUp(t *testing.T) {
	const cases, maxStarts = 250, 6
	for _, interval := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond} {
		t.Run("reports every "+interval.String(), func(t *testing.T) {
			t.Parallel()
			wrong := 0
			for seed := range drawnSeeds(cases) {
				if failure := playDeadlyTask(seed, interval, maxStarts); failure != "" {
					t.Errorf("seed %d: %s", seed, failure)
					wrong++
				}
			}
			if wrong > 0 {
				t.Errorf("%d of %d cases", wrong, cases)
			}
		})
	}
}

// playDeadlyTask plays one cause among 40 tasks, and one or two losses of power of one to ten VMs each beside it. More
// losses that hit the VM of the cause would leave too few of its crashes. It returns what went wrong, empty if nothing did.
func playDeadlyTask(seed uint64, interval time.Duration, maxStarts int) string {
	f := newPowerFleet(seed, 12)
	f.interval = interval
	f.after = time.Duration(float64(100*time.Millisecond) * math.Pow(50, f.random.Float64()))
	place := f.random.IntN(40)
	for i := range 40 {
		if i != place {
			f.addTask()
			continue
		}
		step := specifier.Step{Count: 1, Needs: cores(1), EstimateMillis: 3_600_000}
		if step.LongRunning = f.random.IntN(2) == 0; step.LongRunning {
			step.EstimateMillis = 0
		}
		f.cause = f.job("q", step).Occurrences[0].Steps[0].Tasks[0]
	}
	j := f.cause.Step.Occurrence.Job
	cuts := 1 + f.random.IntN(2)
	for n := 0; n < int(3*time.Minute/crashSimulationStep) && j.State != tracker.JobFailed; n++ {
		if cuts > 0 && f.random.IntN(int(8*time.Second/crashSimulationStep)) == 0 {
			f.cutSome(1 + f.random.IntN(10))
			cuts--
		}
		f.step()
	}
	failed := f.failed()
	if j.State == tracker.JobFailed && f.starts <= maxStarts && len(failed) == 0 {
		return ""
	}
	return fmt.Sprintf("the cause, after %s, is %s after %d starts: %+v; others given up: %v; down %s to %s", f.after, j.State, f.starts, f.cause.Crashes(), failed, f.down, f.down+f.back)
}

// Guards against tasks that are given up because they often stand on VMs that lose power, one at a time.
func TestLossesOfPowerGiveNoTaskUp(t *testing.T) {
	for seed := range drawnSeeds(100) {
		f := newPowerFleet(seed, 3+int(seed%10))
		f.back = 0
		for range 3 * len(f.vms) {
			f.addTask()
		}
		for range 40 {
			f.cutSome(1)
			every := f.down + time.Duration(f.random.IntN(8000))*time.Millisecond // so that at most one is without power
			for end := f.now.Add(every); f.now.Before(end); {
				f.step()
			}
		}
		for _, failed := range f.failed() {
			t.Errorf("seed %d: %d VMs, one at a time without power for %s: %s", seed, len(f.vms), f.down, failed)
		}
	}
}
