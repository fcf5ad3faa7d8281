package tracker

import (
	"slices"
	"time"

	"bamboospread/internal/worker/attributor"
)

// The end of a VM's worker that no process of its agent reports, because that ended with it. Both may have ended for a
// cause outside, such as a loss of power, so a task is suspected of it, and as its sole cause never, only if no other
// VM ended at the same time. attributor says how it counts.

// vanishedRun is a run that a VM had when it was last in contact.
type vanishedRun struct {
	key       RunKey
	orderedAt time.Time
	startedAt time.Time // when it was first reported as running; zero: it was not
}

// age returns how long the run had run at the end of its VM: at least, and how much longer at most. It is false if the
// VM had ended before its start was ordered.
func (r vanishedRun) age(end recentCrash) (least, spread time.Duration, possible bool) {
	if !r.startedAt.IsZero() {
		least = max(end.at.Sub(r.startedAt), 0)
	}
	most := end.at.Add(end.spread).Sub(r.orderedAt)
	return least, most - least, most > least
}

// reportGaps holds the times between the last reports of one process of an agent.
type reportGaps struct {
	last  [8]time.Duration
	count int
}

func (g *reportGaps) add(gap time.Duration) {
	g.last[g.count%len(g.last)] = gap
	g.count++
}

// longest returns how long after the last report the next one may be expected, at most.
func (g *reportGaps) longest() time.Duration {
	if g.count < len(g.last) {
		return attributor.ReportGap
	}
	return min(max(slices.Max(g.last[:]), time.Millisecond), attributor.ReportGap)
}

// silence returns the end of the VM's agent, if it has ended: between its last report and the next that was due.
func (vm *VM) silence() recentCrash {
	return recentCrash{vm: vm, at: vm.GrantedAt, spread: vm.gaps.longest()}
}

// CrashedUnreported reports whether the task is suspected of an end of the VM that no process reported. On another VM
// its next run shows whether the VM is the cause.
func (t *Task) CrashedUnreported(vm string) bool {
	return slices.ContainsFunc(t.unitCrashes(), func(c attributor.Crash) bool { return c.Unreported() && c.VM == vm })
}

// vanishing returns the runs that the VM was last known to have, and those that were given up since.
func (vm *VM) vanishing() []vanishedRun {
	runs := slices.Clone(vm.vanished)
	for key, r := range vm.Runs {
		if r.State != Stopping {
			runs = append(runs, vanishedRun{key, r.OrderedAt, r.StartedAt})
		}
	}
	slices.SortFunc(runs, func(a, b vanishedRun) int {
		switch {
		case a.key.Less(b.key):
			return -1
		case b.key.Less(a.key):
			return 1
		}
		return 0
	})
	return runs
}

// noteVanished keeps the runs of a VM that are given up until it is known whether its worker ended. A task that would
// be given up if it did starts again only then, or after recentCrashTime.
func (tr *Tracker) noteVanished(vm *VM, now time.Time) {
	vm.vanished = vm.vanishing()
	end := vm.silence()
	if tr.othersAreSilent(end, now) {
		return
	}
	for _, r := range vm.vanished {
		t := tr.Find(r.key.Task)
		least, spread, possible := r.age(end)
		if t == nil || !possible || t.hasCrash(r.key.Number) {
			continue
		}
		crash := attributor.Crash{Run: r.key.Number, VM: vm.Name, AgeMillis: least.Milliseconds(), SpreadMillis: max(spread, time.Millisecond).Milliseconds(), Likely: true}
		if t.wouldCrashTooOften(crash) {
			t.setHeldUntil(now.Add(recentCrashTime))
		}
	}
}

// wouldCrashTooOften reports whether the task would be given up after one more crash.
func (t *Task) wouldCrashTooOften(c attributor.Crash) bool {
	own, all := append(slices.Clone(t.Crashes()), c), append(slices.Clone(t.unitCrashes()), c)
	if t.Step.Spec.LongRunning {
		return attributor.TooManyOfLongRunning(own, all)
	}
	return attributor.TooMany(own, all)
}

// forgetVanished ends the wait for what became of a VM.
func (tr *Tracker) forgetVanished(vm *VM) {
	for _, r := range vm.vanished {
		if t := tr.Find(r.key.Task); t != nil {
			t.setHeldUntil(time.Time{})
		}
	}
	vm.vanished = nil
}

// attributeUnreportedCrash records the end of a VM's worker, and of its agent with it, for the tasks that may have
// caused it.
func (tr *Tracker) attributeUnreportedCrash(vm *VM, rep Report, now time.Time) (found []Suspicion) {
	ended := make(map[RunKey]bool)
	for _, r := range rep.Runs {
		ended[r.Key] = true
	}
	for _, e := range rep.Ends {
		ended[e.Key] = true
	}
	event := vm.silence()
	var crash ReportedCrash
	for _, r := range vm.vanishing() {
		if least, spread, possible := r.age(event); possible && !ended[r.key] {
			crash.Runs = append(crash.Runs, CrashedRun{Key: r.key, Age: least, spread: max(spread, time.Millisecond)})
		}
	}
	if !tr.comesWithOthers(event, now) {
		event.suspicions = tr.suspectUnreported(vm, crash, now)
	}
	tr.recentCrashes = append(tr.recentCrashes, event)
	tr.GiveUpCrashingTasks(now) // before its next start
	return event.suspicions
}

func (tr *Tracker) suspectUnreported(vm *VM, crash ReportedCrash, now time.Time) (found []Suspicion) {
	likely := 0
	for _, s := range tr.crashSuspects(crash) {
		t := s.task
		if t == nil || t.Done || t.Step.Occurrence.Job.State.Final() || t.hasCrash(s.Key.Number) {
			continue
		}
		c := attributor.Crash{Run: s.Key.Number, VM: vm.Name, AgeMillis: s.Age.Milliseconds(), SpreadMillis: s.spread.Milliseconds(), AtMillis: now.UnixMilli(), Likely: s.likely}
		if s.isLongRunning() {
			t.SetCrashes(attributor.WithoutOutlived(t.Crashes(), s.Age))
		}
		t.SetCrashes(append(t.Crashes(), c))
		t.change().apart = time.Duration(tr.random() * float64(attributor.MaxTimeApart))
		t.Step.Occurrence.Job.markDirty()
		tr.suspected[t] = true
		found = append(found, Suspicion{Task: t, Crash: c})
		if s.likely {
			likely++
		}
	}
	for i := range found {
		found[i].Likely = likely
	}
	return found
}

// comesWithOthers reports whether another VM has ended at the same time as a crash, or its worker, or may have: it
// is silent since, or its worker does not answer. No task counts as the sole cause of these crashes then, and none as a
// cause of those that were not reported.
func (tr *Tracker) comesWithOthers(c recentCrash, now time.Time) (together bool) {
	tr.forgetCrashes(now)
	together = tr.othersAreSilent(c, now)
	for i := range tr.recentCrashes {
		other := &tr.recentCrashes[i]
		if other.vm == c.vm || !areTogether(*other, c) {
			continue
		}
		together = true
		other.withdraw()
	}
	return together
}

// othersAreSilent reports whether another VM may have ended at the same time as a crash.
func (tr *Tracker) othersAreSilent(c recentCrash, now time.Time) bool {
	for _, other := range tr.VMs {
		switch {
		case other == c.vm:
		case !other.Responds() && areTogether(recentCrash{at: other.UnresponsiveSince}, c):
			return true
		case c.spread > 0 && now.Sub(other.GrantedAt) > attributor.ReportGap && areTogether(other.silence(), c):
			return true
		}
	}
	return false
}

// withdrawIfTogether withdraws the suspicions of unreported crashes with which other VMs have fallen silent.
func (tr *Tracker) withdrawIfTogether(now time.Time) {
	tr.forgetCrashes(now)
	for i := range tr.recentCrashes {
		if c := &tr.recentCrashes[i]; c.spread > 0 && len(c.suspicions) > 0 && tr.othersAreSilent(*c, now) {
			c.withdraw()
		}
	}
}

func (tr *Tracker) forgetCrashes(now time.Time) {
	tr.recentCrashes = slices.DeleteFunc(tr.recentCrashes, func(c recentCrash) bool { return now.Sub(c.at) > recentCrashTime })
}

// areTogether reports whether two crashes came at the same time, or may have.
func areTogether(a, b recentCrash) bool {
	return a.at.Sub(b.at).Abs() <= max(a.spread, b.spread, attributor.CrashesTogether)
}

// withdraw records that others came with the crash.
func (c *recentCrash) withdraw() {
	for _, s := range c.suspicions {
		if c.spread == 0 {
			s.Task.withdrawSole(s.Crash.Run)
			continue
		}
		left := slices.DeleteFunc(slices.Clone(s.Task.Crashes()), func(k attributor.Crash) bool { return k.Run == s.Crash.Run })
		if len(left) < len(s.Task.Crashes()) {
			s.Task.SetCrashes(left)
			s.Task.Step.Occurrence.Job.markDirty()
		}
	}
	if c.spread > 0 {
		c.suspicions = nil
	}
}
