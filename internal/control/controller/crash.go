package controller

import (
	"fmt"
	"strings"
	"time"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/attributor"
)

// attributeCrash returns the crashes that the tasks of a VM are suspected of, by task and including
// earlier ones, if the latest poll lists none of the VM's confirmed attempts as running: its worker has
// started again without its state. The worker of a VM that leaves has not crashed. Agents do not report the
// time of a crash, so the age of an attempt is counted from its confirmation to the poll. An attempt that no
// poll has listed before the worker started again had just started.
func (o *owner) attributeCrash(s *session, p messenger.Poll, now time.Time) map[string][]attributor.Crash {
	if p.Leaving || p.Epoch != o.epoch {
		return nil
	}
	var running []*bookkeeper.Task
	for _, t := range o.state.On(p.Capacity.VM) {
		r, reported := s.reported[messenger.TaskAttempt{TaskID: t.Spec.ID, Attempt: t.Attempt}]
		switch {
		case t.State == messenger.TaskStopping:
		case r.State == messenger.ReportRunning:
			return nil
		case r.EndUnknown, t.State == messenger.TaskRunning && !reported:
			running = append(running, t)
		}
	}
	crashes, likely := make(map[string][]attributor.Crash), 0
	for _, t := range running {
		age := now.Sub(t.Changed)
		if t.State == messenger.TaskStarting {
			age = 0
		}
		c := attributor.Crash{Run: t.Attempt, VM: p.Capacity.VM, AgeMillis: age.Milliseconds(), Likely: attributor.IsLikely(t.Crashes, age)}
		if !c.Likely && t.Spec.Service != "" {
			continue // a replica that had run for long is there at every crash
		}
		if c.Likely {
			likely++
		}
		var earlier []attributor.Crash
		if attributor.Repeats(t.Crashes, age) {
			earlier = t.Crashes // otherwise the attempt has outlived them, which clears the task
		}
		crashes[t.Spec.ID] = append(earlier[:len(earlier):len(earlier)], c)
	}
	for _, all := range crashes {
		last := &all[len(all)-1]
		last.Likely = last.Likely || likely == 0
		last.Sole = last.Likely && (likely == 1 || len(crashes) == 1)
	}
	return crashes
}

// holdIfCrashing holds a task that has crashed too many workers, and reports whether it does.
func holdIfCrashing(t *bookkeeper.Task, crashes []attributor.Crash, ended *bookkeeper.Ended) bool {
	if ended.Crashes = crashes; len(crashes) == 0 || !attributor.TooMany(crashes, crashes) {
		return false
	}
	vms := make([]string, len(crashes))
	for i, c := range crashes {
		vms[i] = c.VM
	}
	ended.Next = messenger.TaskHeld
	ended.Reason = fmt.Sprintf("task %s crashes its workers: those of %s crashed while it ran there", t.Spec.ID, strings.Join(vms, ", "))
	return true
}
