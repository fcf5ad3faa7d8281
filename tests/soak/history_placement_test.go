package soak

import (
	"fmt"
	"slices"
	"time"

	"bamboospread/internal/job/specifier"
)

// Checks of where tasks run, and of gangs.

// vmsWith returns the number of VMs with a label; all have the empty one.
func vmsWith(label string) (n int) {
	for _, labels := range vmLabels {
		if label == "" || slices.Contains(labels, label) {
			n++
		}
	}
	return n
}

// checkLabels checks that each run of a task is on a VM with the label that its step requires.
func checkLabels(j record, runs []*span) (found []string) {
	label := j.spec.Steps[runs[0].id.Step].Label
	for _, s := range runs {
		if label != "" && !slices.Contains(labelsOf(s.vm), label) {
			found = append(found, fmt.Sprintf("label: %s needs the label %s", s, label))
		}
	}
	return found
}

// checkBounds checks that no more tasks of a step run on a VM at once than its bound.
func (h *history) checkBounds() (found []string) {
	type place struct {
		job             string
		occurrence      int
		step            int
		vm, incarnation string
	}
	runs := make(map[place][]*span)
	for _, all := range h.tasks {
		for _, s := range all {
			p := place{s.id.Job, s.id.Occurrence, s.id.Step, s.vm, s.incarnation}
			runs[p] = append(runs[p], s)
		}
	}
	for p, all := range runs {
		j := h.jobs[p.job]
		if j.spec == nil || j.spec.Steps[p.step].MaxPerVM == 0 {
			continue
		}
		for _, s := range all {
			n := 0
			for _, other := range all {
				if !other.from.After(s.from) && other.runsAfter(s.from) {
					n++
				}
			}
			if n > j.spec.Steps[p.step].MaxPerVM {
				found = append(found, fmt.Sprintf("bound: %d tasks of step %d, at most %d: %s", n, p.step, j.spec.Steps[p.step].MaxPerVM, s))
			}
		}
	}
	return found
}

func labelsOf(vm string) []string {
	var n int
	if _, err := fmt.Sscanf(vm, "job-vm-%d", &n); err != nil || n < 1 || n > jobVMs {
		return nil
	}
	return vmLabels[n-1]
}

// checkGangs checks that no member of a gang starts without the others while there are no faults.
func (h *history) checkGangs() (found []string) {
	for id, j := range h.jobs {
		if j.spec == nil || j.cancelRequested {
			continue
		}
		for step, spec := range j.spec.Steps {
			if spec.Gang {
				found = append(found, h.checkGang(id, step, spec.Count)...)
			}
		}
	}
	return found
}

func (h *history) checkGang(job string, step, count int) (found []string) {
	started := make(map[int64][]*span) // members by run
	for index := range count {
		for _, s := range h.tasks[specifier.TaskID{Job: job, Step: step, Index: index}.String()] {
			started[s.run] = append(started[s.run], s)
		}
	}
	for run, members := range started {
		first := slices.MinFunc(members, func(a, b *span) int { return a.from.Compare(b.from) })
		if len(members) < count && h.isCalm(first.from, first.from.Add(gangTime)) {
			found = append(found, fmt.Sprintf("gang: %d of %d members of step %d of job %s start in run %d: %s", len(members), count, step, job, run, first))
		}
	}
	return found
}

// isCalm reports whether there were no faults, nor processes that reconnect after them, in a period.
func (h *history) isCalm(from, to time.Time) bool {
	return slices.ContainsFunc(h.faultFree, func(w window) bool {
		return from.After(w.from.Add(reconnectBound)) && to.Before(h.until) && (w.to.IsZero() || to.Before(w.to))
	})
}
