package soak

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/standin/executor"
)

const (
	// A cancellation must take effect within cancelBound after it was acknowledged, or,
	// after faults, once the processes have had reconnectBound to reconnect.
	cancelBound    = 3 * time.Second
	reconnectBound = 3 * time.Second
	// lateStartBound is how long after its order a start may reach an executor that
	// executes orders late or whose connections are held.
	lateStartBound = 6 * time.Second
	// unfreezeBound is how long an executor may take after unfreezing to notice that its
	// leases have expired. It executes nothing before that.
	unfreezeBound = 500 * time.Millisecond
	// After maxCrashes executors have crashed under a task, it may start fewer than
	// forbiddenStarts times more.
	maxCrashes      = 3
	forbiddenStarts = 3
)

// window is a period; to is zero while the period has not ended.
type window struct{ from, to time.Time }

// span is a run as its executor recorded it.
type span struct {
	task            string
	id              specifier.TaskID
	vm, incarnation string
	run             int64
	from, to        time.Time // to is zero while the run has not ended
	workedUntil     time.Time // when it may last have made progress; before to if its executor was frozen
	outcome         string
	crashed         bool      // it crashed its executor
	acknowledged    time.Time // when its end was acknowledged
	expired         bool      // the leases expired or the executor ended before that
}

func (s *span) String() string {
	return fmt.Sprintf("run %d of %s on %s from %s to %s (%s)", s.run, s.task, s.vm, formatTime(s.from), formatTime(s.to), s.outcome)
}

// runsAfter reports whether the run had not ended by t.
func (s *span) runsAfter(t time.Time) bool { return s.to.IsZero() || s.to.After(t) }

// history is what executors and callers recorded until a point in time.
type history struct {
	jobs      map[string]record
	tasks     map[string][]*span // ordered by start
	faultFree []window
	until     time.Time // what came later is not in it
}

func newHistory(events []executor.Event, frozen map[string][]window, endTimes map[string][]time.Time, faultFree []window, jobs map[string]record, until time.Time) *history {
	h := &history{jobs: jobs, tasks: make(map[string][]*span), faultFree: faultFree, until: until}
	open := make(map[string]*span)
	for _, e := range events {
		if e.At.After(until) {
			break
		}
		key := fmt.Sprint(e.VM, e.Incarnation, e.Task, e.Run)
		s := open[key]
		switch {
		case e.Kind == "start":
			id, _ := specifier.ParseTaskID(e.Task)
			s = &span{task: e.Task, id: id, vm: e.VM, incarnation: e.Incarnation, run: e.Run, from: e.At}
			open[key] = s
			h.tasks[e.Task] = append(h.tasks[e.Task], s)
		case e.Kind == "lapse":
			for _, other := range open {
				other.expired = other.expired || other.vm == e.VM && other.incarnation == e.Incarnation && other.acknowledged.IsZero()
			}
		case s != nil && e.Kind == "crash":
			s.crashed = true
		case s != nil && e.Kind == "end":
			s.to, s.outcome = e.At, e.Outcome
		case s != nil && e.Kind == "acknowledged":
			s.acknowledged = e.At
		}
	}
	for _, s := range open {
		s.finish(endTimes[s.vm], frozen[s.vm])
	}
	return h
}

// finish ends a run whose executor has ended, and sets workedUntil.
func (s *span) finish(endTimes []time.Time, frozen []window) {
	for _, d := range endTimes {
		if d.After(s.from) && s.to.IsZero() {
			s.to, s.outcome = d, "killed"
		}
	}
	s.workedUntil = s.to
	for _, f := range frozen {
		if s.outcome == "lapsed" && f.from.After(s.from) && !f.to.IsZero() && s.to.After(f.from) && s.to.Before(f.to.Add(unfreezeBound)) && f.from.Before(s.workedUntil) {
			s.workedUntil = f.from
		}
	}
}

// check returns the violations of guarantees so far.
func (h *history) check() []string {
	found := slices.Concat(h.checkCapacity(), h.checkQuota(), h.checkDone(), h.checkGangs(), h.checkBounds())
	for task, runs := range h.tasks {
		j, known := h.jobs[runs[0].id.Job]
		if !known || j.refused && !j.submitting {
			found = append(found, fmt.Sprintf("refused: %s started at %s, submitted %v", task, formatTime(runs[0].from), known))
			continue
		}
		found = slices.Concat(found, h.checkStopped(j, runs), checkDuplicates(j, runs), checkCrashes(runs), h.checkOrder(j, runs[0]), checkLabels(j, runs))
	}
	return found
}

// effectDeadline returns when everything that was acknowledged at t must have taken
// effect, or false if no fault-free period was long enough to tell.
func (h *history) effectDeadline(t time.Time) (time.Time, bool) {
	for _, q := range h.faultFree {
		from := q.from.Add(reconnectBound)
		if t.After(from) {
			from = t
		}
		by := from.Add(cancelBound + stopTime)
		if end := q.to; by.Before(h.until) && (end.IsZero() || by.Before(end)) {
			return by, true
		}
	}
	return time.Time{}, false
}

// checkStopped checks that after the deadline no task of a cancelled job, or of a job
// that was shown as done, runs or starts.
func (h *history) checkStopped(j record, runs []*span) (found []string) {
	for what, at := range map[string]time.Time{stateCancelled: j.acked, stateDone: j.done} {
		by, ok := h.effectDeadline(at)
		for _, s := range runs {
			if !at.IsZero() && ok && s.runsAfter(by) {
				found = append(found, fmt.Sprintf("%s: acknowledged or shown at %s, in effect by %s at the latest: %s", what, formatTime(at), formatTime(by), s))
			}
		}
	}
	return found
}

// checkDuplicates checks that no task runs in two places, and that none runs again after
// its end as done was acknowledged or its job was shown as done. A long-running task is never done.
func checkDuplicates(j record, runs []*span) (found []string) {
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			switch {
			case j.spec.Steps[a.id.Step].Copies:
			case a.to.IsZero() || b.from.Before(a.workedUntil):
				found = append(found, fmt.Sprintf("twice: %s and %s", a, b))
			case a.outcome == stateDone && !a.acknowledged.IsZero() && !a.expired && !j.spec.Steps[a.id.Step].LongRunning:
				found = append(found, fmt.Sprintf("twice: end acknowledged at %s of %s and later %s", formatTime(a.acknowledged), a, b))
			case !j.done.IsZero() && b.from.After(j.done.Add(lateStartBound)):
				found = append(found, fmt.Sprintf("twice: job shown as done at %s and later %s", formatTime(j.done), b))
			}
		}
	}
	return found
}

// checkCrashes checks that a task under which maxCrashes executors have crashed starts fewer than
// forbiddenStarts times more.
func checkCrashes(runs []*span) (found []string) {
	crashes, startsAfter := 0, 0
	for _, s := range runs {
		if crashes >= maxCrashes {
			startsAfter++
		}
		if s.crashed {
			crashes++
		}
		if startsAfter >= forbiddenStarts {
			found = append(found, fmt.Sprintf("crashes: start %d after %d crashes under the task: %s", startsAfter, maxCrashes, s))
		}
	}
	return found
}

// checkOrder checks that no task starts before every task of the steps that its step
// depends on was done.
func (h *history) checkOrder(j record, first *span) (found []string) {
	for _, before := range j.spec.Steps[first.id.Step].After {
		for index := range j.spec.Steps[before].Count {
			earlier := specifier.TaskID{Job: j.spec.ID, Step: before, Index: index}
			if at := h.doneAt(earlier); at.IsZero() || at.After(first.from) {
				found = append(found, fmt.Sprintf("order: %s, and %s was done at %s", first, earlier, formatTime(at)))
			}
		}
	}
	return found
}

// doneAt returns when a task was first done. One member of a gang stands for all of them.
func (h *history) doneAt(id specifier.TaskID) (at time.Time) {
	tasks := []specifier.TaskID{id}
	if j := h.jobs[id.Job]; j.spec != nil && j.spec.Steps[id.Step].Gang {
		tasks = stepTasks(j.spec, id.Step)
	}
	for _, task := range tasks {
		for _, s := range h.tasks[task.String()] {
			if s.outcome == stateDone && (at.IsZero() || s.to.Before(at)) {
				at = s.to
			}
		}
	}
	return at
}

// checkCapacity checks that the runs on a VM never exceed its capacity.
func (h *history) checkCapacity() (found []string) {
	type change struct {
		at    time.Time
		needs specifier.Resources
	}
	changes := make(map[string][]change)
	for _, runs := range h.tasks {
		for _, s := range runs {
			if j := h.jobs[s.id.Job]; j.spec != nil {
				needs := j.spec.Steps[s.id.Step].Committed()
				changes[s.vm] = append(changes[s.vm], change{s.from, needs})
				if !s.to.IsZero() {
					changes[s.vm] = append(changes[s.vm], change{s.to, specifier.Resources{}.Sub(needs)})
				}
			}
		}
	}
	for vm, all := range changes {
		slices.SortStableFunc(all, func(a, b change) int { return a.at.Compare(b.at) })
		var used specifier.Resources
		for _, c := range all {
			used = used.Add(c.needs)
			if c.needs.CPUMillis >= 0 && !(specifier.Resources{CPUMillis: vmMillis, MemoryMB: vmMemoryMB}).Fits(used) {
				found = append(found, fmt.Sprintf("capacity: %s has %+v committed at %s", vm, used, formatTime(c.at)))
			}
		}
	}
	return found
}

// checkQuota checks that the runs of the account with a quota never exceed it. Only jobs of seeds with
// load control name accounts.
func (h *history) checkQuota() (found []string) {
	type change struct {
		at  time.Time
		cpu int64
	}
	var all []change
	for _, runs := range h.tasks {
		for _, s := range runs {
			if j := h.jobs[s.id.Job]; j.spec != nil && j.spec.Account == quotaAccount {
				cpu := j.spec.Steps[s.id.Step].Needs.CPUMillis
				all = append(all, change{s.from, cpu})
				if !s.workedUntil.IsZero() {
					all = append(all, change{s.workedUntil, -cpu})
				}
			}
		}
	}
	slices.SortStableFunc(all, func(a, b change) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.cpu, b.cpu)) })
	used := int64(0)
	for _, c := range all {
		if used += c.cpu; c.cpu > 0 && used > quotaMillis {
			found = append(found, fmt.Sprintf("quota: account %s holds %d thousandths of a core at %s", quotaAccount, used, formatTime(c.at)))
		}
	}
	return found
}

// checkDone checks that every task of a job that was shown as done is done.
func (h *history) checkDone() (found []string) {
	for _, id := range slices.Sorted(maps.Keys(h.jobs)) {
		j := h.jobs[id]
		if j.done.IsZero() {
			continue
		}
		for _, task := range tasksOf(j.spec) {
			if at := h.doneAt(task); at.IsZero() || at.After(j.done) {
				found = append(found, fmt.Sprintf("accepted: job shown as done at %s, and %s was done at %s", formatTime(j.done), task, formatTime(at)))
			}
		}
	}
	return found
}

// failedTooOften reports whether a task of a job has failed as often as its queue allows.
func (h *history) failedTooOften(j *specifier.Job) bool {
	return slices.ContainsFunc(tasksOf(j), func(task specifier.TaskID) bool {
		failed := 0
		for _, s := range h.tasks[task.String()] {
			if s.outcome == stateFailed {
				failed++
			}
		}
		return failed >= maxFailures
	})
}

func tasksOf(j *specifier.Job) (all []specifier.TaskID) {
	for occurrence := range j.OccurrenceCount() {
		for step := range j.Steps {
			for _, id := range stepTasks(j, step) {
				id.Occurrence = occurrence
				all = append(all, id)
			}
		}
	}
	return all
}

func stepTasks(j *specifier.Job, step int) (all []specifier.TaskID) {
	for index := range j.Steps[step].Count {
		all = append(all, specifier.TaskID{Job: j.ID, Step: step, Index: index})
	}
	return all
}

// outstanding returns what has not taken effect yet: submissions and cancellations
// without an answer, accepted jobs that have not ended, and tasks of long-running jobs
// that do not run.
func (h *history) outstanding() (found []string) {
	for _, id := range slices.Sorted(maps.Keys(h.jobs)) {
		j := h.jobs[id]
		switch {
		case j.submitting:
			found = append(found, fmt.Sprintf("settled: submission of job %s has no outcome", id))
		case j.cancelRequested && j.acked.IsZero():
			found = append(found, fmt.Sprintf("settled: cancellation of job %s is not acknowledged", id))
		case j.accepted.IsZero(), j.state == stateFailed && (j.crashes || h.failedTooOften(j.spec)):
		case j.cancelRequested && j.state != stateCancelled && j.state != stateDone, !j.cancelRequested && !j.spec.LongRunning() && j.done.IsZero():
			found = append(found, fmt.Sprintf("accepted: job %s is %s", id, j.state))
		case !j.cancelRequested && j.spec.LongRunning():
			for _, task := range tasksOf(j.spec) {
				if runs := h.tasks[task.String()]; !slices.ContainsFunc(runs, func(s *span) bool { return s.to.IsZero() }) {
					found = append(found, fmt.Sprintf("accepted: %s does not run", task))
				}
			}
		}
	}
	return found
}
