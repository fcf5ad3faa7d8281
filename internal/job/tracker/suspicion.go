package tracker

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/worker/attributor"
)

// crashes returns the crashes that the task is suspected of. t may be nil.
func (t *Task) crashes() []attributor.Crash {
	if t == nil {
		return nil
	}
	return t.Crashes
}

// oldestCrash returns the greatest age that a run had at a crash.
func (t *Task) oldestCrash() (age time.Duration) {
	for _, c := range t.Crashes {
		age = max(age, c.Age())
	}
	return age
}

// Unit returns the tasks that are suspected together: the members of a gang start together, on
// VMs that differ from one time to the next, or else the task alone.
func (t *Task) Unit() []*Task {
	if t.Step.Spec.Gang {
		return t.Step.Tasks
	}
	return []*Task{t}
}

// unitCrashes returns the crashes that the task, or its gang, is suspected of.
func (t *Task) unitCrashes() (crashes []attributor.Crash) {
	if !t.Step.Spec.Gang {
		return t.Crashes
	}
	for _, member := range t.Unit() {
		for _, c := range member.Crashes {
			same := func(other attributor.Crash) bool { return other.Run == c.Run && other.VM == c.VM }
			if !slices.ContainsFunc(crashes, same) {
				crashes = append(crashes, c)
			}
		}
	}
	return crashes
}

func (t *Task) crashedTooOften() bool { return attributor.TooMany(t.Crashes, t.unitCrashes()) }

func (t *Task) crashReason() string {
	var vms []string
	for _, c := range t.unitCrashes() {
		vms = append(vms, c.VM)
	}
	return fmt.Sprintf("task %s crashes its workers: those of %s crashed while it ran there", t.ID(), strings.Join(vms, ", "))
}

// GiveUpCrashingTasks fails the jobs of the tasks under which too many workers have crashed. It
// waits until crashes that came with the last one would have been reported.
func (tr *Tracker) GiveUpCrashingTasks(now time.Time) {
	for t := range tr.suspected {
		switch {
		case t.Done || t.Step.Occurrence.Job.State.Final() || !t.crashedTooOften():
			t.GiveUpAt = time.Time{}
		case t.GiveUpAt.IsZero():
			t.GiveUpAt = now.Add(attributor.CrashesTogether)
		case !now.Before(t.GiveUpAt):
			tr.fail(t.Step.Occurrence.Job, t.crashReason(), now)
		}
	}
}

// clearCrashes clears the task of the crashes that it is suspected of if a run of it has outlived
// the time at which it would have repeated them. It reports whether it did.
func (tr *Tracker) clearCrashes(t *Task, age time.Duration) bool {
	if len(t.Crashes) == 0 || attributor.Repeats(t.Crashes, age) {
		return false
	}
	t.Crashes, t.GiveUpAt = nil, time.Time{}
	t.Step.Occurrence.Job.markDirty()
	delete(tr.suspected, t)
	return true
}

// Suspected reports whether a worker crashed within CrashWindow of a start of the task.
func (t *Task) Suspected() bool { return t.observableCrashes() > 0 }

// StartsObserved reports whether the next run of the task is kept apart from other starts, so that a
// crash shows whether it is the cause.
func (t *Task) StartsObserved() bool { return t.observableCrashes() >= attributor.CrashesToObserve }

func (t *Task) observableCrashes() (count int) {
	for _, c := range t.unitCrashes() {
		if c.Age() <= attributor.CrashWindow {
			count++
		}
	}
	return count
}

// SuspectedTasks returns the tasks that Suspected reports, the most likely causes of crashes first,
// and drops those that have ended. A task that crashes its workers does so each time, at the same
// age.
func (tr *Tracker) SuspectedTasks() (tasks []*Task) {
	for t := range tr.suspected {
		switch {
		case t.Done || len(t.Crashes) == 0 || t.Step.Occurrence.Job.State.Final():
			delete(tr.suspected, t)
		case t.Suspected():
			tasks = append(tasks, t)
		}
	}
	slices.SortFunc(tasks, func(a, b *Task) int {
		switch {
		case len(a.Crashes) != len(b.Crashes):
			return len(b.Crashes) - len(a.Crashes)
		case a.oldestCrash() != b.oldestCrash():
			return int(a.oldestCrash() - b.oldestCrash())
		case a.ID().Less(b.ID()):
			return -1
		}
		return 1
	})
	return tasks
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

// SuspectedTaskIDs returns the IDs of the tasks that are suspected of a crash.
func (s *Step) SuspectedTaskIDs() (ids []specifier.TaskID) {
	for _, t := range s.Tasks {
		if len(t.Crashes) > 0 {
			ids = append(ids, t.ID())
		}
	}
	return ids
}
