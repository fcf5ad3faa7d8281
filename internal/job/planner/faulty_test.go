package planner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// faultFleet simulates workers whose tasks fail after faultDelay if the VM or the job is at fault, and
// otherwise end after workTime.
type faultFleet struct {
	*fixture
	faulty   map[*tracker.VM]bool
	hopeless map[*tracker.Job]bool
	now      time.Time
	ends     map[*tracker.Run]time.Time
	most     map[*tracker.VM]map[*tracker.Step]int // most runs of a step at once on a doubtful VM
	starts   map[*tracker.VM]int
}

const (
	faultDelay = 100 * time.Millisecond
	workTime   = 500 * time.Millisecond
	faultTick  = 50 * time.Millisecond
)

func newFaultFleet(vms int, faulty ...int) *faultFleet {
	b := newFixture(specifier.Queue{Name: "first", Slack: 2, MaxFailures: 8}, specifier.Queue{Name: "last", Priority: 2, Slack: 2, MaxFailures: 8})
	f := &faultFleet{fixture: b, faulty: make(map[*tracker.VM]bool), hopeless: make(map[*tracker.Job]bool), now: begin, ends: make(map[*tracker.Run]time.Time), most: make(map[*tracker.VM]map[*tracker.Step]int), starts: make(map[*tracker.VM]int)}
	for n := range vms {
		vm := b.vm(fmt.Sprintf("vm-%02d", n), "in", "r1", cores(32))
		for _, i := range faulty {
			f.faulty[vm] = f.faulty[vm] || i == n
		}
	}
	return f
}

func (f *faultFleet) submit(queue string, tasks int) *tracker.Job {
	return f.job(queue, specifier.Step{Count: tasks, Needs: cores(1), EstimateMillis: workTime.Milliseconds()})
}

func (f *faultFleet) tick() {
	f.now = f.now.Add(faultTick)
	for run, at := range f.ends {
		if f.now.Before(at) {
			continue
		}
		delete(f.ends, run)
		how := tracker.EndDone
		if f.fails(run) {
			how = tracker.EndFailed
		}
		f.state.EndRun(run.VM, run.Key(), how, "", f.now)
	}
	for _, s := range f.plan(f.now) {
		run := f.state.Place(s.Task, s.VM, s.Number, f.now)
		run.State, run.StartedAt = tracker.Running, f.now
		f.starts[s.VM]++
		f.ends[run] = f.now.Add(workTime)
		if f.fails(run) {
			f.ends[run] = f.now.Add(faultDelay)
		}
	}
	for _, vm := range f.state.SortedVMs() {
		if !vm.Doubtful() {
			continue
		}
		count := make(map[*tracker.Step]int)
		for _, run := range vm.Runs {
			if run.OrderedAt.Equal(f.now) {
				count[run.Step()]++
			}
		}
		for s, n := range count {
			if f.most[vm] == nil {
				f.most[vm] = make(map[*tracker.Step]int)
			}
			f.most[vm][s] = max(f.most[vm][s], n)
		}
	}
}

func (f *faultFleet) fails(run *tracker.Run) bool {
	return f.faulty[run.VM] || f.hopeless[run.Step().Occurrence.Job]
}

// Guards against accepted work that waits on an idle fleet while jobs of a higher priority, all of whose
// tasks fail, keep sound VMs in quarantine.
func TestSoundJobRunsBesideHopelessJobs(t *testing.T) {
	const limit = 14 * time.Second
	for _, vms := range []int{1, 2, 3, 11} {
		for _, jobs := range []int{1, 2, 3, 6, 12} {
			t.Run(fmt.Sprintf("%d VMs, %d jobs", vms, jobs), func(t *testing.T) {
				f := newFaultFleet(vms)
				for range jobs {
					f.hopeless[f.submit("first", 36)] = true
				}
				f.tick()
				f.tick()
				sound := f.submit("last", 1)
				for f.now.Sub(begin) < limit && sound.State != tracker.JobDone {
					f.tick()
				}
				if sound.State != tracker.JobDone {
					t.Errorf("the sound job is %s after %s", sound.State, limit)
				}
			})
		}
	}
}

// Guards against a faulty VM that gets a backlog: it looks idle, and its tasks may fail through the fault of
// their jobs.
func TestFaultyVMGetsNoBacklog(t *testing.T) {
	tests := []struct {
		name   string
		submit func(f *faultFleet)
	}{
		{"one large job", func(f *faultFleet) {
			if f.now.Equal(begin) {
				f.submit("first", 600)
			}
		}},
		{"a stream of small jobs", func(f *faultFleet) {
			if f.now.Sub(begin)%(200*time.Millisecond) == 0 {
				f.submit("first", 6)
			}
		}},
		{"a stream of small jobs, some of which are hopeless", func(f *faultFleet) {
			if n := f.now.Sub(begin) / (200 * time.Millisecond); f.now.Sub(begin)%(200*time.Millisecond) == 0 {
				f.hopeless[f.submit("first", 6)] = n%5 == 0
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFaultFleet(6, 2)
			faulty := f.state.VMs["vm-02"]
			quarantinedAfter := time.Duration(-1)
			for f.now.Sub(begin) < 10*time.Second {
				tt.submit(f)
				f.tick()
				if quarantinedAfter < 0 && faulty.Quarantined(f.now) {
					quarantinedAfter = f.now.Sub(begin)
				}
			}
			if quarantinedAfter < 0 || quarantinedAfter > 2*time.Second {
				t.Errorf("the VM is quarantined after %s", quarantinedAfter)
			}
			for s, n := range f.most[faulty] {
				if n > 1 {
					t.Errorf("%d tasks of step %s start at once on the VM after tasks have failed there", n, s.Name())
				}
			}
			sound := 0
			for vm, n := range f.starts {
				if vm != faulty {
					sound = max(sound, n)
				}
			}
			t.Logf("%d starts on the faulty VM, %d at most on others, quarantined after %s", f.starts[faulty], sound, quarantinedAfter)
			if f.starts[faulty] > sound {
				t.Errorf("%d tasks start on the faulty VM, at most %d on others", f.starts[faulty], sound)
			}
		})
	}
}

// Guards against a limit that "explain" doesn't name.
func TestExplainNamesTrial(t *testing.T) {
	f := newFaultFleet(1)
	job := f.submit("first", 36)
	f.hopeless[job] = true
	for range 200 {
		if why := Explain(Input{Now: f.now, State: f.state}, job.Occurrences[0].Steps[0]); strings.Contains(why, "where tasks have failed") {
			return
		}
		f.tick()
	}
	t.Error("no explanation names the trial")
}
