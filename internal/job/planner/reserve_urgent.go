package planner

import (
	"math"
	"slices"
	"time"

	"bamboospread/internal/job/forecaster"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// Limits of the reserve. They cover a fleet that long-running tasks have reserved almost whole, and
// urgent work that comes in waves and bursts: without a reserve, urgent tasks get what is left between
// long-running ones, and wait for yields that begin only when they wait.
const (
	// maxReserveShare is the largest share of the fleet's processors that is kept free for urgent tasks.
	// It is what a wrong forecast can cost.
	maxReserveShare = 0.2
	// maxFirstHold is how long a long-running task that has not run yet may be held back. Its users
	// count it as lost if it has no run for 3 s while there is room for two of it.
	maxFirstHold = 2 * time.Second
	// minReturning is how many long-running tasks may be starting before those that have yielded wait
	// for them. On a larger fleet it is one for every vmsPerReturning VMs, if that is more.
	minReturning    = 4
	vmsPerReturning = 10
)

// Reserve is the room for urgent tasks: what there is, and what there is to be. All amounts are
// thousandths of a core.
type Reserve struct {
	// Target is the demand for which starts leave room: a quantile of what is expected. What does not
	// start now waits for some seconds at most.
	Target float64
	// Expected is the demand for which long-running tasks yield: the mean within the horizon. Urgent tasks
	// that are too many for a moment start when others end; if they are too many on average, they queue up.
	Expected float64
	Held     float64 // by urgent tasks
	Room     float64 // that more urgent tasks of the mean size can use, including that of runs that are being stopped
	Bound    float64 // largest room that is kept
	task     specifier.Resources
}

// Shortage is how much room is missing for the expected demand, negative if there is more than needed.
func (u Reserve) Shortage() float64 { return u.Expected - u.Held - u.Room }

// missing is how much room is missing for the target, negative if there is more than needed.
func (u Reserve) missing() float64 { return u.Target - u.Held - u.Room }

// UrgentReserve returns the reserve. ok is false if no forecast may be used.
func UrgentReserve(in Input) (u Reserve, ok bool) {
	r := newRound(in)
	r.loadVMs()
	return r.computeReserve()
}

// roundReserve is the reserve during a round, after the tasks placed in it.
type roundReserve struct {
	Reserve
	known     bool
	short     bool // at the start of the round
	returning int  // long-running tasks that are starting
}

// urgentReserve returns the reserve of the round, or nil if no forecast may be used. It is computed
// when it is first needed.
func (r *round) urgentReserve() *roundReserve {
	if r.in.Forecaster == nil {
		return nil
	}
	if r.reserve == nil {
		r.reserve = &roundReserve{}
		r.reserve.Reserve, r.reserve.known = r.computeReserve()
		if r.reserve.known {
			r.reserve.short, r.reserve.returning = r.reserve.Shortage() > 0, r.countStarting()
		}
	}
	if !r.reserve.known {
		return nil
	}
	return r.reserve
}

func (r *round) computeReserve() (u Reserve, ok bool) {
	if r.in.Forecaster == nil {
		return Reserve{}, false
	}
	var all []forecaster.Forecast
	for _, queue := range urgentQueues(r.in) {
		if f, known := r.in.Forecaster.Forecast(queue, r.now, forecaster.Horizon); known && f.Trusted {
			all = append(all, f)
		}
	}
	if len(all) == 0 {
		return Reserve{}, false
	}
	var sum urgentSum
	for _, d := range r.urgentDemands() {
		u.Held += float64(d.Held)
		u.Target += float64(d.CPUMillis()) // present demand
	}
	for _, f := range all {
		u.Expected += f.Level
		sum.add(f.Task, max(int64(f.Mean/max(float64(f.Task.CPUMillis), 1)), 1), 0)
	}
	u.task = sum.demand().Task
	u.task.CPUMillis = max(u.task.CPUMillis, 1)
	for _, m := range r.vmStates {
		u.Bound += maxReserveShare * float64(m.vm.Capacity.CPUMillis)
		u.Room += u.usable(m, m.freeAfterStops())
	}
	u.Target = min(max(u.Target, combined(all)), u.Held+u.Bound)
	u.Expected = min(u.Expected, u.Target)
	return u, true
}

// combined returns the demand of all queues that is exceeded as seldom as that of each: errors of
// queues that are independent add up as squares.
func combined(all []forecaster.Forecast) float64 {
	mean, squares := 0.0, 0.0
	for _, f := range all {
		mean += f.Mean
		squares += (f.Reserve - f.Mean) * (f.Reserve - f.Mean)
	}
	return mean + math.Sqrt(squares)
}

// usable returns how much of the free capacity of a VM urgent tasks can use, in whole tasks. On a slow
// VM, or one that has just been quarantined, they would gain little.
func (u *Reserve) usable(m *vmState, free specifier.Resources) float64 {
	if m.vm.Slow() || m.vm.OnProbation() || free.CPUMillis <= 0 || free.MemoryMB < 0 {
		return 0
	}
	n := free.CPUMillis / u.task.CPUMillis
	if u.task.MemoryMB > 0 {
		n = min(n, free.MemoryMB/u.task.MemoryMB)
	}
	return float64(n * u.task.CPUMillis)
}

// heldBack reports whether a long-running task must not start on a VM because the room left would be
// less than the reserve. Free capacity that urgent tasks can't use is not held.
func (r *round) heldBack(m *vmState, t *tracker.Task) bool {
	s := t.Step.Spec
	if !r.mayHold(t) {
		return false
	}
	u := r.urgentReserve()
	if u == nil {
		return false
	}
	if t.Yielded && u.returning >= max(minReturning, len(r.vmStates)/vmsPerReturning) {
		return true
	}
	free := m.freeAfterStops()
	taken := u.usable(m, free) - u.usable(m, free.Sub(s.Committed()))
	if m.vm.Slow() {
		taken = float64(s.Needs.CPUMillis) // the reserve must not drive the task to a slow VM
	}
	if taken <= 0 {
		return false
	}
	margin := 0.0
	if t.Yielded {
		margin = float64(s.Needs.CPUMillis) / 2
	}
	return u.missing()+taken > -margin
}

// holdsBack reports whether the reserve holds back the next waiting task of a step on a VM.
func (r *round) holdsBack(m *vmState, s *tracker.Step) bool {
	i := slices.IndexFunc(s.Tasks, func(t *tracker.Task) bool { return t.Waits(r.now) })
	return i >= 0 && r.heldBack(m, s.Tasks[i])
}

// mayHold reports whether a long-running task has waited so briefly that it may wait longer for the
// sake of the reserve.
func (r *round) mayHold(t *tracker.Task) bool {
	s := t.Step.Spec
	if r.in.Forecaster == nil || !s.LongRunning || s.Gang || t.Moving(r.now) {
		return false
	}
	if t.HasRun {
		return !r.needsReservation(t)
	}
	return r.waited(t) < maxFirstHold
}

// returnsLater reports whether a task that has yielded takes precedence over others as late as under
// pressure: the room that it has left is still missing.
func (r *round) returnsLater(t *tracker.Task) bool {
	u := (*roundReserve)(nil)
	if t.Yielded {
		u = r.urgentReserve()
	}
	return u != nil && u.short
}

// urgentRoom returns the room for urgent tasks on a VM, 0 if there is no reserve in the round so far.
func (r *round) urgentRoom(m *vmState) float64 {
	if r.reserve == nil || !r.reserve.known {
		return 0
	}
	return r.reserve.usable(m, m.freeAfterStops())
}

// noteStart accounts for a task that the round starts on a VM, where the room was as given before.
func (r *round) noteStart(m *vmState, t *tracker.Task, before float64) {
	if r.reserve == nil || !r.reserve.known {
		return
	}
	r.reserve.Room += r.urgentRoom(m) - before
	if isUrgent(t.Step) {
		r.reserve.Held += float64(t.Step.Spec.Needs.CPUMillis)
	}
	if t.Yielded {
		r.reserve.returning++
	}
}

// recountRoom counts the room anew after starts were taken back.
func (r *round) recountRoom() {
	if r.reserve == nil || !r.reserve.known {
		return
	}
	r.reserve.Room = 0
	for _, m := range r.vmStates {
		r.reserve.Room += r.urgentRoom(m)
	}
}

// countStarting returns the number of long-running tasks that are starting.
func (r *round) countStarting() (n int) {
	for _, m := range r.vmStates {
		if m.vm.LongRunning == 0 {
			continue
		}
		for _, run := range m.vm.Runs {
			if run.Step().Spec.LongRunning && run.State != tracker.Stopping && run.Progress < paceFull {
				n++
			}
		}
	}
	return n
}

// EarlyYields returns the long-running runs to stop ahead of the demand that is expected, as many as
// are needed and at most maxYieldShare of them, and the reserve that they are for.
func EarlyYields(in Input) (runs []*tracker.Run, u Reserve) {
	if in.Forecaster == nil {
		return nil, Reserve{}
	}
	r := newRound(in)
	r.loadVMs()
	u, ok := r.computeReserve()
	if !ok || u.Shortage() <= 0 {
		return nil, u
	}
	need, budget := u.Shortage(), r.yieldBudget()
	states := make(map[*tracker.VM]*vmState, len(r.vmStates))
	for _, m := range r.vmStates {
		states[m.vm] = m
	}
	for _, run := range r.yieldable() {
		cpu := float64(run.Step().Spec.Needs.CPUMillis)
		m := states[run.VM]
		free := m.freeAfterStops()
		gained := u.usable(m, free.Add(run.Step().Spec.Committed())) - u.usable(m, free)
		if gained <= 0 || need < cpu/2 {
			continue // a smaller one may be what is needed
		}
		if cpu > budget {
			break
		}
		m.free = m.free.Add(run.Step().Spec.Committed())
		runs = append(runs, run)
		need, budget = need-gained, budget-cpu
	}
	return runs, u
}
