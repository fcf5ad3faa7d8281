package soak

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/standin/executor"
)

const (
	// A cancellation is carried out so long after it was acknowledged, or after the
	// processes have had the other time to find each other again.
	cancelBound = 3 * time.Second
	regainBound = 3 * time.Second
	// lateBound is how long after its order a start may come to an executor that
	// carries orders out late, or whose connections are held up.
	lateBound = 6 * time.Second
	// thawBound is how long a thawed executor may take to see that its leases have run
	// out. It works on nothing before.
	thawBound = 500 * time.Millisecond
)

// window is a time; a zero end is not known yet.
type window struct{ from, to time.Time }

// span is a run as its executor saw it.
type span struct {
	task     string
	id       specifier.TaskID
	vm, life string
	run      int64
	from, to time.Time // to is zero while it runs
	worked   time.Time // until when it may have worked; before to if its executor was frozen
	how      string
	noted    time.Time // when its end was acknowledged
	lapsed   bool      // leases ran out or the executor ended before that
}

func (s *span) String() string {
	return fmt.Sprintf("run %d of %s on %s from %s to %s (%s)", s.run, s.task, s.vm, clock(s.from), clock(s.to), s.how)
}

// runsAfter tells whether the run was there at t or later.
func (s *span) runsAfter(t time.Time) bool { return s.to.IsZero() || s.to.After(t) }

// witness is what executors and callers saw.
type witness struct {
	jobs  map[string]record
	tasks map[string][]*span // in the order of their starts
	quiet []window
	at    time.Time // what came later is not in it
}

func newWitness(events []executor.Event, frozen map[string][]window, deaths map[string][]time.Time, quiet []window, jobs map[string]record, at time.Time) *witness {
	w := &witness{jobs: jobs, tasks: make(map[string][]*span), quiet: quiet, at: at}
	open := make(map[string]*span)
	for _, e := range events {
		if e.At.After(at) {
			break
		}
		key := fmt.Sprint(e.VM, e.Life, e.Task, e.Run)
		s := open[key]
		switch {
		case e.Kind == "start":
			id, _ := specifier.ParseTaskID(e.Task)
			s = &span{task: e.Task, id: id, vm: e.VM, life: e.Life, run: e.Run, from: e.At}
			open[key] = s
			w.tasks[e.Task] = append(w.tasks[e.Task], s)
		case e.Kind == "lapse":
			for _, other := range open {
				other.lapsed = other.lapsed || other.vm == e.VM && other.life == e.Life && other.noted.IsZero()
			}
		case s != nil && e.Kind == "end":
			s.to, s.how = e.At, e.How
		case s != nil && e.Kind == "acknowledged":
			s.noted = e.At
		}
	}
	for _, s := range open {
		s.close(deaths[s.vm], frozen[s.vm])
	}
	return w
}

// close ends a run whose executor has ended, and finds until when it worked.
func (s *span) close(deaths []time.Time, frozen []window) {
	for _, d := range deaths {
		if d.After(s.from) && s.to.IsZero() {
			s.to, s.how = d, "killed"
		}
	}
	s.worked = s.to
	for _, f := range frozen {
		if s.how == "lapsed" && f.from.After(s.from) && !f.to.IsZero() && s.to.After(f.from) && s.to.Before(f.to.Add(thawBound)) && f.from.Before(s.worked) {
			s.worked = f.from
		}
	}
}

// check returns what broke a promise so far.
func (w *witness) check() []string {
	found := slices.Concat(w.checkCapacity(), w.checkEnded())
	for task, runs := range w.tasks {
		j, known := w.jobs[runs[0].id.Job]
		if !known || j.refused && !j.open {
			found = append(found, fmt.Sprintf("refused: %s started at %s, submitted %v", task, clock(runs[0].from), known))
			continue
		}
		found = slices.Concat(found, w.checkStopped(j, runs), checkTwice(j, runs), w.checkOrder(j, runs[0]))
	}
	return found
}

// settledAt returns when everything that was known at t must have been carried out, or
// false if there was no time without faults long enough.
func (w *witness) settledAt(t time.Time) (time.Time, bool) {
	for _, q := range w.quiet {
		from := q.from.Add(regainBound)
		if t.After(from) {
			from = t
		}
		by := from.Add(cancelBound + stopTime)
		if end := q.to; by.Before(w.at) && (end.IsZero() || by.Before(end)) {
			return by, true
		}
	}
	return time.Time{}, false
}

// checkStopped: from some time on nothing of a cancelled job runs or starts, and
// nothing of a job that was shown as done.
func (w *witness) checkStopped(j record, runs []*span) (found []string) {
	for what, at := range map[string]time.Time{stateCanceled: j.acked, stateDone: j.done} {
		by, settled := w.settledAt(at)
		for _, s := range runs {
			if !at.IsZero() && settled && s.runsAfter(by) {
				found = append(found, fmt.Sprintf("%s: told at %s, settled by %s: %s", what, clock(at), clock(by), s))
			}
		}
	}
	return found
}

// checkTwice: no task runs in two places, and none again after its end counted.
func checkTwice(j record, runs []*span) (found []string) {
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			switch {
			case j.spec.Steps[a.id.Step].Copies:
			case a.to.IsZero() || b.from.Before(a.worked):
				found = append(found, fmt.Sprintf("twice: %s and %s", a, b))
			case a.how == stateDone && !a.noted.IsZero() && !a.lapsed:
				found = append(found, fmt.Sprintf("twice: end noted at %s of %s and later %s", clock(a.noted), a, b))
			case !j.done.IsZero() && b.from.After(j.done.Add(lateBound)):
				found = append(found, fmt.Sprintf("twice: job shown as done at %s and later %s", clock(j.done), b))
			}
		}
	}
	return found
}

// checkOrder: no task starts before every task of the steps before it was done.
func (w *witness) checkOrder(j record, first *span) (found []string) {
	for _, before := range j.spec.Steps[first.id.Step].After {
		for index := range j.spec.Steps[before].Count {
			earlier := specifier.TaskID{Job: j.spec.ID, Step: before, Index: index}
			if at := w.doneAt(earlier); at.IsZero() || at.After(first.from) {
				found = append(found, fmt.Sprintf("order: %s, and %s was done at %s", first, earlier, clock(at)))
			}
		}
	}
	return found
}

// doneAt returns when a task was first done.
func (w *witness) doneAt(id specifier.TaskID) (at time.Time) {
	for _, s := range w.tasks[id.String()] {
		if s.how == stateDone && (at.IsZero() || s.to.Before(at)) {
			at = s.to
		}
	}
	return at
}

// checkCapacity: what runs on a VM never takes more than it has.
func (w *witness) checkCapacity() (found []string) {
	type change struct {
		at    time.Time
		needs specifier.Resources
	}
	changes := make(map[string][]change)
	for _, runs := range w.tasks {
		for _, s := range runs {
			if j := w.jobs[s.id.Job]; j.spec != nil {
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
				found = append(found, fmt.Sprintf("capacity: %s has %+v committed at %s", vm, used, clock(c.at)))
			}
		}
	}
	return found
}

// checkEnded: every task of a job that was shown as done is done.
func (w *witness) checkEnded() (found []string) {
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		j := w.jobs[id]
		if j.done.IsZero() {
			continue
		}
		for _, task := range tasksOf(j.spec) {
			if at := w.doneAt(task); at.IsZero() || at.After(j.done) {
				found = append(found, fmt.Sprintf("accepted: job shown as done at %s, and %s was done at %s", clock(j.done), task, clock(at)))
			}
		}
	}
	return found
}

func tasksOf(j *specifier.Job) (all []specifier.TaskID) {
	for step, s := range j.Steps {
		for index := range s.Count {
			all = append(all, specifier.TaskID{Job: j.ID, Step: step, Index: index})
		}
	}
	return all
}

// waiting tells what must still come of the accepted jobs: an end, or where they last,
// that all their tasks run.
func (w *witness) waiting() (found []string) {
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		j := w.jobs[id]
		switch {
		case j.open:
			found = append(found, fmt.Sprintf("settled: submission of job %s", id))
		case j.cancel && j.acked.IsZero():
			found = append(found, fmt.Sprintf("settled: cancellation of job %s", id))
		case j.accepted.IsZero():
		case j.cancel && j.state != stateCanceled && j.state != stateDone, !j.cancel && !j.spec.Lasts() && j.done.IsZero():
			found = append(found, fmt.Sprintf("accepted: job %s is %s", id, j.state))
		case !j.cancel && j.spec.Lasts():
			for _, task := range tasksOf(j.spec) {
				if runs := w.tasks[task.String()]; !slices.ContainsFunc(runs, func(s *span) bool { return s.to.IsZero() }) {
					found = append(found, fmt.Sprintf("accepted: %s does not run", task))
				}
			}
		}
	}
	return found
}
