package tracker

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"bamboospread/internal/job/specifier"
)

// Rules by which the crash of a worker is attributed to a task.
const (
	// crashWindow is how long after its start a run is expected to crash its worker, if it does.
	// Of the runs on a crashed worker those within it are suspected, otherwise all of them.
	crashWindow = 500 * time.Millisecond
	// crashRepeatFactor is how many times the age that a run had at a crash a later run of the
	// same task may have at another crash to be suspected again. A run that outlives it clears
	// its task.
	crashRepeatFactor = 2
	// soleCrashesToGiveUp is how many workers must crash with the task as the only suspect
	// before its job fails. One may be a coincidence.
	soleCrashesToGiveUp = 2
	// crashesToGiveUp is the same if others were suspected too. A task may start twice after
	// three workers have crashed under it.
	crashesToGiveUp = 4
)

// ReportedCrash is the crash of a VM's worker.
type ReportedCrash struct {
	Seq  int64 // in the agent's process, from 1
	Runs []CrashedRun
}

// CrashedRun is a run that a worker had when it crashed.
type CrashedRun struct {
	Key RunKey
	Age time.Duration // since its start
}

// Crash is a crash of a worker that a task is suspected of, in its stored form.
type Crash struct {
	Run       int64  `json:"run"`
	VM        string `json:"vm"`
	AgeMillis int64  `json:"age-ms"`         // of the run
	Sole      bool   `json:"sole,omitempty"` // no other task was suspected
}

// observation is how long a later run of the task must run to clear it.
func (c Crash) observation() time.Duration {
	return max(crashWindow, crashRepeatFactor*c.age())
}

func (c Crash) age() time.Duration { return time.Duration(c.AgeMillis) * time.Millisecond }

// Suspicion is the attribution of a crash to a task.
type Suspicion struct {
	Task     *Task
	Crash    Crash
	Suspects int // tasks that are suspected of this crash
}

// suspect is a run that is suspected of a crash.
type suspect struct {
	CrashedRun
	task *Task // nil if its job is not known
}

// applyCrashes attributes the crashes that a report contains and that are new.
func (tr *Tracker) applyCrashes(vm *VM, rep Report, now time.Time) (found []Suspicion) {
	for _, c := range rep.Crashes {
		if c.Seq > vm.CrashSeen {
			vm.CrashSeen = c.Seq
			found = append(found, tr.attributeCrash(vm, c, now)...)
		}
	}
	return found
}

// attributeCrash records a crash for the tasks that are suspected of it, and fails the jobs of
// those that have crashed too many workers.
func (tr *Tracker) attributeCrash(vm *VM, c ReportedCrash, now time.Time) (found []Suspicion) {
	suspects := tr.crashSuspects(c)
	sole := areOneUnit(suspects)
	for _, s := range suspects {
		t := s.task
		if t == nil || t.Done || t.Step.Occurrence.Job.State.Final() || t.hasCrash(s.Key.Number) {
			continue
		}
		crash := Crash{Run: s.Key.Number, VM: vm.Name, AgeMillis: s.Age.Milliseconds(), Sole: sole}
		t.Crashes = append(t.Crashes, crash)
		t.Step.Occurrence.Job.dirty = true
		tr.suspected[t] = true
		found = append(found, Suspicion{Task: t, Crash: crash, Suspects: len(suspects)})
		if t.crashedTooOften() {
			tr.fail(t.Step.Occurrence.Job, t.crashReason(), now)
		}
	}
	return found
}

// crashSuspects returns the runs that are suspected of a crash. Long-running tasks are suspected
// only soon after their start: they are there at every crash.
func (tr *Tracker) crashSuspects(c ReportedCrash) []suspect {
	var likely, others []suspect
	for _, r := range c.Runs {
		s := suspect{CrashedRun: r, task: tr.Find(r.Key.Task)}
		switch {
		case r.Age <= crashWindow, s.task != nil && s.task.repeatsCrash(r.Age):
			likely = append(likely, s)
		case s.task == nil || !s.task.Step.Spec.LongRunning:
			others = append(others, s)
		}
	}
	if len(likely) > 0 {
		return likely
	}
	return others
}

// repeatsCrash reports whether a run of this age may have crashed its worker as an earlier run of
// the task did.
func (t *Task) repeatsCrash(age time.Duration) bool {
	return slices.ContainsFunc(t.Crashes, func(c Crash) bool { return age <= c.observation() })
}

// areOneUnit reports whether the suspects are a single task or members of a single gang, which
// start together.
func areOneUnit(suspects []suspect) bool {
	for _, s := range suspects {
		first := suspects[0]
		sameTask := s.Key.Task == first.Key.Task
		sameGang := s.task != nil && first.task != nil && s.task.Step == first.task.Step && s.task.Step.Spec.Gang
		if !sameTask && !sameGang {
			return false
		}
	}
	return len(suspects) > 0
}

func (t *Task) hasCrash(run int64) bool {
	return slices.ContainsFunc(t.Crashes, func(c Crash) bool { return c.Run == run })
}

// unit returns the tasks that are suspected together: the members of a gang start together, on
// VMs that differ from one time to the next, or else the task alone.
func (t *Task) unit() []*Task {
	if t.Step.Spec.Gang {
		return t.Step.Tasks
	}
	return []*Task{t}
}

// unitCrashes returns the crashes that the task, or its gang, is suspected of.
func (t *Task) unitCrashes() (crashes []Crash) {
	if !t.Step.Spec.Gang {
		return t.Crashes
	}
	for _, member := range t.unit() {
		for _, c := range member.Crashes {
			same := func(other Crash) bool { return other.Run == c.Run && other.VM == c.VM }
			if !slices.ContainsFunc(crashes, same) {
				crashes = append(crashes, c)
			}
		}
	}
	return crashes
}

func (t *Task) crashedTooOften() bool {
	crashes, sole := t.unitCrashes(), 0
	for _, c := range crashes {
		if c.Sole {
			sole++
		}
	}
	return sole >= soleCrashesToGiveUp || len(crashes) >= crashesToGiveUp
}

func (t *Task) crashReason() string {
	var vms []string
	for _, c := range t.unitCrashes() {
		vms = append(vms, c.VM)
	}
	return fmt.Sprintf("task %s crashes its workers: those of %s crashed while it ran there", t.ID(), strings.Join(vms, ", "))
}

// clearCrashes clears the task of the crashes that it is suspected of if a run of it has outlived
// the time at which it would have repeated them. It reports whether it did.
func (tr *Tracker) clearCrashes(t *Task, age time.Duration) bool {
	if len(t.Crashes) == 0 || t.repeatsCrash(age) {
		return false
	}
	t.Crashes = nil
	t.Step.Occurrence.Job.dirty = true
	delete(tr.suspected, t)
	return true
}

// StartsObserved reports whether the next run of the task may crash its worker soon after its
// start. It is kept apart from other starts, so that a crash shows whether it is the cause.
func (t *Task) StartsObserved() bool {
	return slices.ContainsFunc(t.unitCrashes(), func(c Crash) bool { return c.age() <= crashWindow })
}

// ObservedVMs returns the VMs that have a run that may crash its worker soon after its start, with
// the task of that run.
func (tr *Tracker) ObservedVMs() map[*VM]*Task {
	var observed map[*VM]*Task
	for t := range tr.suspected {
		if t.Done || t.Step.Occurrence.Job.State.Final() {
			delete(tr.suspected, t)
			continue
		}
		if !t.StartsObserved() {
			continue
		}
		if observed == nil {
			observed = make(map[*VM]*Task)
		}
		for _, member := range t.unit() {
			for _, r := range member.Runs {
				observed[r.VM] = t
			}
		}
	}
	return observed
}

// LatestStart returns when a start on the VM was last ordered, among the runs that have not ended.
func (vm *VM) LatestStart() time.Time {
	var latest time.Time
	for _, r := range vm.Runs {
		if r.OrderedAt.After(latest) {
			latest = r.OrderedAt
		}
	}
	return latest
}

// restoreSuspected collects the tasks of a restored job that are suspected of crashes.
func (tr *Tracker) restoreSuspected(j *Job) {
	for _, o := range j.Occurrences {
		for _, s := range o.Steps {
			for _, t := range s.Tasks {
				if len(t.Crashes) > 0 {
					tr.suspected[t] = true
				}
			}
		}
	}
}

// crashesOf returns the crashes in their stored form, by the index of the task.
func crashesOf(s *Step) (stored map[int][]Crash) {
	for i, t := range s.Tasks {
		if len(t.Crashes) > 0 {
			if stored == nil {
				stored = make(map[int][]Crash)
			}
			stored[i] = t.Crashes
		}
	}
	return stored
}

// SuspectedTasks returns the tasks that are suspected of a crash.
func (s *Step) SuspectedTasks() (ids []specifier.TaskID) {
	for _, t := range s.Tasks {
		if len(t.Crashes) > 0 {
			ids = append(ids, t.ID())
		}
	}
	return ids
}
