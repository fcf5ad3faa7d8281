package tracker

import (
	"slices"
	"time"

	"bamboospread/internal/worker/attributor"
)

// ReportedCrash is the crash of a VM's worker.
type ReportedCrash struct {
	Seq int64         // in the agent's process, from 1
	Ago time.Duration // since it came
	// TimeUnknown: the worker answered as another incarnation without a broken connection. It was
	// noticed with the next answer, up to a second later, so the ages tell when polls are answered.
	TimeUnknown bool
	Runs        []CrashedRun
}

// CrashedRun is a run that a worker had when it crashed.
type CrashedRun struct {
	Key RunKey
	Age time.Duration // since its start, at least
	// spread is how much older it may have been; above 0 only if no process reported the crash.
	spread time.Duration
}

// Suspicion is the attribution of a crash to a task.
type Suspicion struct {
	Task   *Task
	Crash  attributor.Crash
	Likely int // tasks that are likely causes of this crash
}

// suspect is a run that may have caused a crash.
type suspect struct {
	CrashedRun
	task   *Task // nil if its job is not known
	likely bool
}

func (s suspect) isLongRunning() bool { return s.task != nil && s.task.Step.Spec.LongRunning }

// recentCrashTime is how long a crash is remembered for others that came with it. An agent may report a
// crash only once its worker is back.
const recentCrashTime = 30 * time.Second

// recentCrash is a crash that another may turn out to have come with.
type recentCrash struct {
	vm         *VM
	at         time.Time     // when it came, at the earliest
	spread     time.Duration // it came so much later at most; above 0 if no process reported it
	suspicions []Suspicion
}

// applyCrashes attributes the crashes that a report contains and that are new.
func (tr *Tracker) applyCrashes(vm *VM, rep Report, now time.Time) (found []Suspicion) {
	for _, c := range rep.Crashes {
		if c.Seq > vm.CrashSeen {
			vm.CrashSeen = c.Seq
			tr.unstored[vm] = true
			suspicions := tr.attributeCrash(vm, c, now)
			for _, s := range suspicions {
				vm.addUnstoredCrash(c.Seq, s.Task.Step.Occurrence.Job)
			}
			found = append(found, suspicions...)
		}
	}
	return found
}

// attributeCrash records a crash for the tasks that may have caused it. The jobs of those that have
// crashed too many workers fail a little later.
func (tr *Tracker) attributeCrash(vm *VM, c ReportedCrash, now time.Time) (found []Suspicion) {
	suspects := tr.crashSuspects(c)
	likely := slices.DeleteFunc(slices.Clone(suspects), func(s suspect) bool { return !s.likely })
	at := now.Add(-c.Ago)
	together := tr.comesWithOthers(recentCrash{vm: vm, at: at}, now)
	sole := areOneUnit(likely) && !together && !c.TimeUnknown
	for _, s := range suspects {
		t := s.task
		if t == nil || t.Done || t.Step.Occurrence.Job.State.Final() || t.hasCrash(s.Key.Number) {
			continue
		}
		crash := attributor.Crash{Run: s.Key.Number, VM: vm.Name, AgeMillis: s.Age.Milliseconds(), AtMillis: now.UnixMilli(), Likely: s.likely, Sole: s.likely && sole}
		if s.isLongRunning() {
			t.SetCrashes(attributor.WithoutOutlived(t.Crashes(), s.Age))
		}
		t.SetCrashes(append(t.Crashes(), crash))
		t.change().apart = time.Duration(tr.random() * float64(attributor.MaxTimeApart))
		t.Step.Occurrence.Job.markDirty()
		tr.suspected[t] = true
		found = append(found, Suspicion{Task: t, Crash: crash, Likely: len(likely)})
	}
	tr.recentCrashes = append(tr.recentCrashes, recentCrash{vm: vm, at: at, suspicions: found})
	tr.GiveUpCrashingTasks(now)
	return found
}

// withdrawSole records that the task was not the sole cause of a crash.
func (t *Task) withdrawSole(run int64) {
	crashes := t.Crashes()
	for i := range crashes {
		if crashes[i].Run == run && crashes[i].Sole {
			crashes[i].Sole = false
			t.SetCrashes(crashes)
			t.Step.Occurrence.Job.markDirty()
		}
	}
}

// crashSuspects returns the runs that may have caused a crash. The likely ones had started just
// before, or repeat an earlier crash; if there is none, all are but the long-running ones, which are
// there at every crash.
func (tr *Tracker) crashSuspects(c ReportedCrash) (suspects []suspect) {
	anyLikely := false
	for _, r := range c.Runs {
		s := suspect{CrashedRun: r, task: tr.Find(r.Key.Task)}
		if s.isLongRunning() {
			s.likely = attributor.MayBeLikelyOfLongRunning(s.task.crashes(), r.Age, r.Age+r.spread)
		} else {
			s.likely = attributor.IsLikely(s.task.crashes(), r.Age)
		}
		anyLikely = anyLikely || s.likely
		suspects = append(suspects, s)
	}
	for i := range suspects {
		suspects[i].likely = suspects[i].likely || !anyLikely && !suspects[i].isLongRunning()
	}
	return suspects
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
	return slices.ContainsFunc(t.Crashes(), func(c attributor.Crash) bool { return c.Run == run })
}
