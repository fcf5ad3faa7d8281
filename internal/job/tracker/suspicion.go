package tracker

import (
	"cmp"
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
	return t.Crashes()
}

// oldestCrash returns the greatest age that a run had at a crash.
func (t *Task) oldestCrash() (age time.Duration) {
	for _, c := range t.Crashes() {
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

// unitCrashes holds the crashes that a gang is suspected of.
type unitCrashes struct{ all []attributor.Crash }

// unitCrashes returns the crashes that the task, or its gang, is suspected of. Those of a gang are kept
// until one of its members changes: each placement asks for each member.
func (t *Task) unitCrashes() []attributor.Crash {
	s := t.Step
	if !s.Spec.Gang {
		return t.Crashes()
	}
	if s.unitCrashes == nil {
		s.unitCrashes = &unitCrashes{all: s.crashesOfMembers()}
	}
	return s.unitCrashes.all
}

// crashesOfMembers returns the crashes of all members, those of one run number on one VM once.
func (s *Step) crashesOfMembers() (crashes []attributor.Crash) {
	type start struct {
		run int64
		vm  string
	}
	seen := make(map[start]bool)
	for _, member := range s.Tasks {
		for _, c := range member.Crashes() {
			if at := (start{c.Run, c.VM}); !seen[at] {
				seen[at] = true
				crashes = append(crashes, c)
			}
		}
	}
	return crashes
}

func (t *Task) crashedTooOften() bool {
	if t.Step.Spec.LongRunning {
		return attributor.TooManyOfLongRunning(t.Crashes(), t.unitCrashes())
	}
	return attributor.TooMany(t.Crashes(), t.unitCrashes())
}

func (t *Task) crashReason() string {
	var vms []string
	for _, c := range t.unitCrashes() {
		vms = append(vms, c.VM)
	}
	return fmt.Sprintf("task %s crashes its workers: those of %s crashed while it ran there", t.ID(), strings.Join(vms, ", "))
}

// GiveUpCrashingTasks fails the jobs of the tasks under which too many workers have crashed. It
// waits until crashes that came with the last one would have been reported. The tasks against which
// most crashes speak come first, since they explain those of others that were there.
func (tr *Tracker) GiveUpCrashingTasks(now time.Time) {
	tr.withdrawIfTogether(now)
	var due []*Task
	for t := range tr.suspected {
		switch {
		case t.Done || t.Step.Occurrence.Job.State.Final() || !t.crashedTooOften():
			t.setGiveUpAt(time.Time{})
		case t.GiveUpAt().IsZero():
			t.setGiveUpAt(now.Add(attributor.CrashesTogether))
		case !now.Before(t.GiveUpAt()):
			due = append(due, t)
		}
	}
	slices.SortFunc(due, func(a, b *Task) int {
		if c := cmp.Compare(attributor.Weight(b.Crashes()), attributor.Weight(a.Crashes())); c != 0 || a.ID() == b.ID() {
			return c
		}
		if a.ID().Less(b.ID()) {
			return -1
		}
		return 1
	})
	for _, t := range due {
		if !t.crashedTooOften() {
			t.setGiveUpAt(time.Time{})
			continue
		}
		tr.fail(t.Step.Occurrence.Job, t.crashReason(), now)
		tr.explainCrashes(t)
	}
}

// explainCrashes takes the crashes of a task that is given up, if they repeat late ones, from the other
// long-running tasks that were there, if fewer speak against them.
func (tr *Tracker) explainCrashes(cause *Task) {
	if !cause.RepeatsLate() {
		return
	}
	for t := range tr.suspected {
		if !t.Step.Spec.LongRunning || t.Step.Occurrence.Job.State.Final() || attributor.Weight(t.Crashes()) >= attributor.Weight(cause.Crashes()) {
			continue
		}
		if left := attributor.Unexplained(t.Crashes(), cause.Crashes()); len(left) < len(t.Crashes()) {
			t.SetCrashes(left)
			t.Step.Occurrence.Job.markDirty()
		}
	}
}

// clearCrashes clears the task of the crashes that it is suspected of if a run of it has outlived
// the time at which it would have repeated them. It reports whether it did.
func (tr *Tracker) clearCrashes(t *Task, age time.Duration) bool {
	if len(t.Crashes()) == 0 {
		return false
	}
	if t.Step.Spec.LongRunning {
		if left := attributor.WithoutOutlived(t.Crashes(), age); len(left) > 0 {
			if len(left) < len(t.Crashes()) {
				t.SetCrashes(left)
				t.Step.Occurrence.Job.markDirty()
			}
			return false
		}
	} else if attributor.Repeats(t.Crashes(), age) {
		if left := attributor.WithoutDisproved(t.Crashes(), age); len(left) < len(t.Crashes()) {
			t.SetCrashes(left)
			t.Step.Occurrence.Job.markDirty()
		}
		return false
	}
	t.SetCrashes(nil)
	t.setGiveUpAt(time.Time{})
	t.Step.Occurrence.Job.markDirty()
	delete(tr.suspected, t)
	return true
}

// Suspected reports whether a worker crashed within CrashWindow of a start of the task, or several at the
// same later age.
func (t *Task) Suspected() bool { return t.observableCrashes() > 0 || t.RepeatsLate() }

// RepeatsLate reports whether workers crashed at the same age of runs of the task, later than CrashWindow.
// It is kept apart from others of which that is true, so that the next crash shows which of them is the cause.
func (t *Task) RepeatsLate() bool { return attributor.RepeatsLate(t.unitCrashes()) }

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
func (tr *Tracker) SuspectedTasks() []*Task {
	type suspected struct {
		task   *Task
		oldest time.Duration
	}
	var found []suspected
	for t := range tr.suspected {
		switch {
		case t.Done || len(t.Crashes()) == 0 || t.Step.Occurrence.Job.State.Final():
			delete(tr.suspected, t)
		case t.Suspected():
			found = append(found, suspected{t, t.oldestCrash()})
		}
	}
	slices.SortFunc(found, func(a, b suspected) int {
		switch {
		case len(a.task.Crashes()) != len(b.task.Crashes()):
			return len(b.task.Crashes()) - len(a.task.Crashes())
		case a.oldest != b.oldest:
			return int(a.oldest - b.oldest)
		case a.task.ID().Less(b.task.ID()):
			return -1
		}
		return 1
	})
	tasks := make([]*Task, len(found))
	for i, s := range found {
		tasks[i] = s.task
	}
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
				if len(t.Crashes()) > 0 {
					tr.suspected[t] = true
				}
			}
		}
	}
}

// SuspectedTaskIDs returns the IDs of the tasks that are suspected of a crash.
func (s *Step) SuspectedTaskIDs() (ids []specifier.TaskID) {
	for _, t := range s.Tasks {
		if len(t.Crashes()) > 0 {
			ids = append(ids, t.ID())
		}
	}
	return ids
}
