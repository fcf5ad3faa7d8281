package planner

import (
	"slices"
	"time"

	"bamboospread/internal/job/tracker"
)

// Limits of moves of long-running tasks. Moves cover a load of best-effort tasks that wait
// while processors are idle, because each VM has some long-running task that they would
// interfere with: nothing was known of the images when the long-running tasks were placed.
const (
	// minMoveGain is how many thousandths of a core best-effort tasks must gain for each
	// long-running task that moves: the task is unavailable to its users for some 2 s.
	minMoveGain = 500.0
	// minRunTime is how long a long-running task must have run before it moves.
	minRunTime = 3 * time.Second
	// maxMoving is how many long-running tasks may be unavailable at once by one exchange. If
	// maxMovingShare of all long-running tasks is more, that many may be unavailable by
	// concurrent exchanges: rearranged one at a time, a large fleet would take minutes while
	// its best-effort tasks wait.
	maxMoving      = 6
	maxMovingShare = 0.1
	// minBlockedTime is how long a step must wait before long-running tasks move for it: a
	// shorter wait ends by itself.
	minBlockedTime = time.Second
	// moveTimeout is how long after the end of its hold a moving task still keeps others from
	// moving.
	moveTimeout = 3 * time.Second
	// moveHold is how long capacity on the destination VM is held for a moving task after its
	// run has ended.
	moveHold = 1500 * time.Millisecond
)

// Move is a long-running run that should be stopped and started again on another VM.
type Move struct {
	Run  *tracker.Run
	To   *tracker.VM
	For  *tracker.Step // step that gets the capacity; nil if best-effort tasks do
	Gain float64       // thousandths of a core gained by best-effort tasks, per run of the move
}

// Relocation returns the record of the move to store in its task.
func (m Move) Relocation(now time.Time) tracker.Relocation {
	return tracker.Relocation{From: m.Run.VM.Name, To: m.To.Name, For: m.For, Hold: moveHold, Until: now.Add(moveHold)}
}

// Moves returns the long-running runs to move now: either one that frees capacity for a
// long-running task that fits on no VM, or those of exchanges that gain capacity for best-effort
// tasks.
func Moves(in Input) []Move {
	ongoing := findMovesInProgress(in)
	if ongoing.unavailable >= ongoing.limit || ongoing.unavailable > 0 && ongoing.limit == maxMoving {
		return nil
	}
	in.Cache = nil // moves are rare and must be based on the present state
	r := newRound(in)
	r.loadVMs()
	r.placeOverdue(r.waitingSteps()) // capacity that these get or wait for is not available to moves
	if moves := r.moveForLongRunning(ongoing); len(moves) > 0 {
		return moves
	}
	if r.reservationsRequested > 0 || !r.bestEffortBlocked() {
		return nil
	}
	return newExchangeSearch(r, ongoing).findMoves()
}

// withinMaxUnavailable reports whether the runs can stop together without more tasks of any step
// becoming unavailable than its limit allows or, if it has none, than maxMoving and maxMovingShare
// allow for the step alone. Runs that are not at work yet make no more tasks unavailable.
func withinMaxUnavailable(lists ...[]*tracker.Run) bool {
	moving := make(map[*tracker.Step]int)
	for _, runs := range lists {
		for _, run := range runs {
			s := run.Step()
			if !s.Spec.LongRunning || run.Task.Unavailable() {
				continue
			}
			limit := s.Spec.MaxUnavailable
			if limit == 0 {
				limit = max(maxMoving, int(maxMovingShare*float64(len(s.Tasks))))
			}
			if moving[s]++; moving[s] > limit-s.Unavailable() {
				return false
			}
		}
	}
	return true
}

// bestEffortBlocked reports whether best-effort tasks have waited too long.
func (r *round) bestEffortBlocked() bool {
	for _, s := range r.waitingSteps() {
		if s.Spec.BestEffort && !s.Spec.LongRunning && r.now.Sub(s.ReadyAt) > minBlockedTime {
			return true
		}
	}
	return false
}

// movesInProgress describes the moves that have not been completed.
type movesInProgress struct {
	unavailable, limit int                    // long-running tasks that are unavailable by moves, and the maximum
	vms                map[string]bool        // VMs that take part
	steps              map[*tracker.Step]bool // steps that get the capacity
}

// findMovesInProgress returns the moves whose tasks are not running yet. A task that waits for
// capacity for long does not block other moves.
func findMovesInProgress(in Input) movesInProgress {
	ongoing := movesInProgress{vms: make(map[string]bool), steps: make(map[*tracker.Step]bool)}
	all := 0
	for _, s := range in.State.OpenSteps() {
		if !s.Spec.LongRunning {
			continue
		}
		all += len(s.Tasks)
		for _, t := range s.Tasks {
			if t.Relocation().To == "" || !in.Now.Before(t.Relocation().Until.Add(moveTimeout)) || !t.Unavailable() {
				continue
			}
			ongoing.unavailable++
			ongoing.vms[t.Relocation().From], ongoing.vms[t.Relocation().To] = true, true
			if t.Relocation().For != nil {
				ongoing.steps[t.Relocation().For] = true
			}
		}
	}
	ongoing.limit = max(maxMoving, int(maxMovingShare*float64(all)))
	return ongoing
}

// longRunningRunsOf returns the long-running runs of an image on a VM.
func longRunningRunsOf(vm *tracker.VM, image string) []*tracker.Run {
	return slices.DeleteFunc(longRunningRuns(vm), func(run *tracker.Run) bool { return run.Step().Spec.Image != image })
}

// longRunningRuns returns the long-running runs of a VM, sorted by key.
func longRunningRuns(vm *tracker.VM) []*tracker.Run {
	var runs []*tracker.Run
	for _, run := range vm.Runs {
		if run.Step().Spec.LongRunning && run.State != tracker.Stopping {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b *tracker.Run) int {
		if a.Key().Less(b.Key()) {
			return -1
		}
		return 1
	})
	return runs
}

// mayMove reports whether a long-running run has been running long enough, and whether its
// step's limit of unavailable tasks allows it to stop.
func (r *round) mayMove(run *tracker.Run) bool { return r.mayStop(run) && r.hasRunLong(run) }

// mayYield reports the same for a run that makes way for other tasks. One that an earlier owner
// started counts as long: the tasks that wait for it have waited since before the change of owner.
func (r *round) mayYield(run *tracker.Run) bool {
	return r.mayStop(run) && (run.Inherited || r.hasRunLong(run))
}

func (r *round) mayStop(run *tracker.Run) bool {
	if s := run.Step(); s.Spec.MaxUnavailable > 0 && s.Unavailable() > 0 {
		return false
	}
	return run.State == tracker.Running && run.Progress >= paceFull && !run.Step().Spec.Gang
}

func (r *round) hasRunLong(run *tracker.Run) bool { return r.now.Sub(run.StartedAt) >= minRunTime }
