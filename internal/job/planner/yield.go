package planner

import (
	"cmp"
	"slices"
	"time"

	"bamboospread/internal/job/accountant"
)

// Limits of yields. They answer a load under which lasting tasks have set aside nearly
// all processors before urgent work came: tasks that end within a second queue up behind
// others that stay for a minute, and the queue grows until the traffic ends. One lasting
// task makes room for a dozen of them in turn, and its users keep the others of its job.
const (
	// yieldAfter is how long an urgent task waits for room before a lasting one yields:
	// tasks that end make room all the time.
	yieldAfter = 250 * time.Millisecond
	// yieldRest is how long after an urgent task last waited so the lasting ones that
	// yielded stay away. Without it they would come back into the first gap and have to
	// leave again.
	yieldRest = 1500 * time.Millisecond
	// yieldMost is how much of the processors set aside for lasting tasks that were at work
	// may be away, for whatever cause.
	yieldMost = 0.2
	// yieldsAtOnce bounds a round.
	yieldsAtOnce = 3
)

// Yields returns the lasting runs that should be stopped to make room for urgent tasks,
// and whether any urgent task has waited for room too long.
func Yields(in Input) (runs []*accountant.Run, pressed bool) {
	r := newRound(in)
	r.openRooms()
	need := r.urgentNeed()
	if need == 0 {
		return nil, false
	}
	lasting, away := int64(0), int64(0)
	for _, s := range in.State.OpenSteps() {
		if !s.Spec.Lasting {
			continue
		}
		lasting += int64(len(s.Tasks)) * s.Spec.Needs.CPUMillis
		for _, t := range s.Tasks {
			if t.Ran && t.Away() {
				away += s.Spec.Needs.CPUMillis
			}
			if r := t.Lead(); r != nil && r.State == accountant.Stopping {
				need -= s.Spec.Needs.CPUMillis // on its way out
			}
		}
	}
	for _, run := range r.yieldable() {
		cpu := run.Step().Spec.Needs.CPUMillis
		if need <= 0 || len(runs) == yieldsAtOnce || float64(away+cpu) > yieldMost*float64(lasting) {
			break
		}
		runs = append(runs, run)
		need -= cpu
		away += cpu
	}
	return runs, true
}

// urgentNeed is how many thousandths of a core the urgent tasks ask for that have waited
// too long and find no room on any VM. Tasks that fill or come together are no part of it,
// nor those from which callers gain nothing any more.
func (r *round) urgentNeed() int64 {
	need := int64(0)
	for _, s := range r.in.State.WaitingSteps(r.now) {
		if s.Spec.Fills || s.Spec.Lasting || s.Spec.Gang || s.Occurrence.Job.Queue.Priority > 0 || rank(r.in, s).urgency == hopeless {
			continue
		}
		count := perVM(s)
		if slices.ContainsFunc(r.rooms, func(m *room) bool { return m.admits(s, count[m.vm]) }) || !r.wantsRoom(s, count) {
			continue
		}
		for _, t := range s.Tasks {
			if t.Waits(r.now) && r.now.Sub(t.WaitSince) >= yieldAfter && r.now.Sub(s.ReadyAt) >= yieldAfter {
				need += s.Spec.Needs.CPUMillis
			}
		}
	}
	return need
}

// wantsRoom tells whether room is all that a step lacks: some VM would take a task of it if
// it were empty. What no VM may or can run would press lasting tasks for good.
func (r *round) wantsRoom(s *accountant.Step, count map[*accountant.VM]int) bool {
	return slices.ContainsFunc(r.rooms, func(m *room) bool {
		return m.mayAdmit(s, count[m.vm]) && m.vm.Capacity.Fits(s.Spec.Committed())
	})
}

// yieldable returns the lasting runs that may yield, those first of whose step the smallest
// share is away, and of equal ones those of the most work: the tasks of one large job would
// yield for all others else.
func (r *round) yieldable() []*accountant.Run {
	var runs []*accountant.Run
	away := make(map[*accountant.Step]float64)
	work := make(map[*accountant.Step]float64)
	for _, m := range r.rooms {
		for _, run := range lastingRuns(m.vm) {
			s := run.Step()
			if s.Spec.MaxAway > 0 || len(s.Tasks) == 1 || !r.mayMove(run) {
				continue
			}
			if _, known := away[s]; !known {
				gone := float64(s.Away())
				away[s] = gone / float64(len(s.Tasks))
				work[s] = (float64(len(s.Tasks)) - gone) * float64(s.Spec.Needs.CPUMillis)
			}
			runs = append(runs, run)
		}
	}
	slices.SortStableFunc(runs, func(a, b *accountant.Run) int {
		return cmp.Or(cmp.Compare(away[a.Step()], away[b.Step()]), cmp.Compare(work[b.Step()], work[a.Step()]))
	})
	return runs
}
