package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

const (
	// returnBound is how long a long-running task that was running may be without a run.
	returnBound = 9 * time.Second
	// untilTakeover is the time from a stop until the next owner takes over.
	untilTakeover = 2 * time.Second
	// betweenTakeovers is the time between two takeovers in a row.
	betweenTakeovers = 4 * time.Second
	// ownerless is how long the cell has no owner between two owners, at least.
	ownerless = time.Second
	// longestReplay is above each bound.
	longestReplay = 15 * time.Second
)

// awaitStop replays a backlog until the owner stops a long-running task with a cause.
func (r *replay) awaitStop(cause string) {
	r.t.Helper()
	r.backlog = true
	stops := func(run *tracker.Run) bool {
		return run.Step().Spec.LongRunning && run.State == tracker.Stopping && strings.HasPrefix(run.StopCause, cause)
	}
	ok := r.runUntil(longestReplay, func() bool {
		for _, vm := range r.owner.state.VMs {
			if slices.ContainsFunc(slices.Collect(maps.Values(vm.Runs)), stops) {
				return true
			}
		}
		return false
	})
	if !ok {
		r.t.Fatalf("no long-running task %s", cause)
	}
}

func awaitYield(r *replay) { r.awaitStop("yields") }

func awaitRotation(r *replay) { r.awaitStop("rotates") }

// move orders the move of a task from the first VM to the last one under a backlog.
func move(r *replay) {
	r.backlog = true
	r.run(2 * time.Second)
	moveNow(r)
}

// moveNow orders the move of a task from the first VM to the last one.
func moveNow(r *replay) {
	r.t.Helper()
	const hold = 1500 * time.Millisecond
	from, to := r.agents[0].report.VM, r.agents[len(r.agents)-1].report.VM
	byTask := func(a, b *tracker.Run) int { return cmp.Compare(a.Key().Task.String(), b.Key().Task.String()) }
	runs := slices.SortedFunc(maps.Values(r.owner.state.VMs[from].Runs), byTask)
	for _, run := range runs {
		if run.Step().Spec.LongRunning && run.State == tracker.Running && r.owner.orderStop(run, "moves") {
			r.owner.state.SetRelocation(run.Task, tracker.Relocation{From: from, To: to, Hold: hold, Until: r.now.Add(hold)}, r.now)
			return
		}
	}
	r.t.Fatal("no task to move")
}

// loseVM ends the contact with a VM under a backlog. Only the tasks that it ran are checked.
func loseVM(r *replay) {
	r.backlog = true
	r.run(2 * time.Second)
	a := r.agents[0]
	a.lost, r.checked = true, make(map[string]bool)
	for _, run := range a.runs {
		r.checked[run.Task] = true
	}
}

// yieldAndLoseVM has tasks yield, and then ends the contact with a VM that runs none of them.
func yieldAndLoseVM(r *replay) {
	awaitYield(r)
	r.agents[len(r.agents)-1].lost = true
}

// failStart replays until the owner orders the start of a long-running task, and has the start fail.
func failStart(f startFault) func(r *replay) { return func(r *replay) { r.failStart(f) } }

func (r *replay) failStart(f startFault) {
	r.t.Helper()
	failed := false
	r.startFault = func(task string) startFault {
		if r.work[stepOf(task)] > 0 || failed {
			return noFault
		}
		failed = true
		return f
	}
	if !r.runUntil(longestReplay, func() bool { return failed }) {
		r.t.Fatal("no long-running task starts")
	}
}

// sameOwner changes nothing.
func sameOwner(*replay) {}

// change replaces the owner, which ends as long as given after the stop.
func change(ends time.Duration) func(r *replay) {
	return func(r *replay) {
		r.run(ends)
		r.replaceOwner(untilTakeover - ends)
	}
}

// changeTwice replaces the owner twice.
func changeTwice(r *replay) {
	change(untilTakeover - ownerless)(r)
	r.run(betweenTakeovers - ownerless)
	r.replaceOwner(ownerless)
}

// changeOnStart replaces the owner once a start of a long-running task has failed.
func changeOnStart(f startFault) func(r *replay) {
	return func(r *replay) {
		r.failStart(f)
		r.replaceOwner(ownerless)
	}
}

// replayCase is a stop of long-running tasks, and what happens to the owner and the tasks after it.
type replayCase struct {
	name   string
	jobs   int // long-running, each with a task on every VM; four take all processors
	before []specifier.Step
	stop   func(r *replay)
	then   func(r *replay)
	bound  time.Duration
}

var (
	shortStep = []specifier.Step{{Count: 1, Needs: specifier.Resources{CPUMillis: 1000, MemoryMB: 100}, EstimateMillis: 300}}

	replayCases = []replayCase{
		{"yielded, same owner", 4, nil, awaitYield, sameOwner, returnBound},
		{"yielded", 4, nil, awaitYield, change(time.Second), returnBound},
		{"yielded, progress stored", 4, shortStep, awaitYield, change(time.Second), returnBound},
		{"yielded, still being stopped", 4, nil, awaitYield, change(replayStopTime / 2), returnBound},
		{"yielded, two takeovers in a row", 4, nil, awaitYield, changeTwice, returnBound},
		{"yielded, progress stored, two takeovers in a row", 4, shortStep, awaitYield, changeTwice, returnBound},
		{"rotated out, same owner", 4, nil, awaitRotation, sameOwner, returnBound},
		{"rotated out", 4, nil, awaitRotation, change(time.Second), returnBound},
		{"rotated out, progress stored", 4, shortStep, awaitRotation, change(time.Second), returnBound},
		{"moved, same owner", 2, nil, move, sameOwner, returnBound},
		{"moved", 2, nil, move, change(replayStopTime / 2), returnBound},
		{"moved, progress stored", 2, shortStep, move, change(replayStopTime / 2), returnBound},
		{"lost with its VM, same owner", 2, nil, loseVM, sameOwner, returnBound},
		{"lost with its VM", 2, nil, loseVM, change(time.Second), returnBound},
		{"lost with its VM, progress stored", 2, shortStep, loseVM, change(time.Second), returnBound},
		{"yielded, another VM lost, same owner", 4, nil, yieldAndLoseVM, sameOwner, returnBound},
		{"yielded, another VM lost, progress stored", 4, shortStep, yieldAndLoseVM, change(time.Second), returnBound},
		{"start of a moved task not sent", 2, nil, move, changeOnStart(startNotSent), returnBound},
		{"start of a moved task unanswered, change of owner", 2, nil, move, changeOnStart(startUnanswered), returnBound},
		{"start of a moved task unanswered, same owner", 2, nil, move, failStart(startUnanswered), returnBound},
		{"start of a moved task unanswered for long, same owner", 2, nil, move, failStart(startUnansweredLong), returnBound},
		{"start of a yielded task refused, same owner", 4, nil, awaitYield, failStart(startRefused), returnBound},
		{"start of a yielded task unanswered, same owner", 4, nil, awaitYield, failStart(startUnanswered), returnBound},
		{"start of a yielded task unanswered for long, same owner", 4, nil, awaitYield, failStart(startUnansweredLong), returnBound + unansweredTimeLong},
		{"no urgent task waits", 2, nil, moveNow, change(replayStopTime / 2), returnBound},
	}
)

// Guards against long-running tasks that were stopped shortly before a change of owner, or whose
// start failed, and then stay without a run for as long as urgent tasks wait.
func TestLongRunningTasksReturnAfterChangeOfOwner(t *testing.T) {
	for _, tt := range replayCases {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newReplay(t, tt.jobs, tt.before...)
			tt.stop(r)
			tt.then(r)
			r.run(longestReplay)
			r.checkGaps(tt.bound)
		})
	}
}

// checkGaps checks how long the long-running tasks were without a run.
func (r *replay) checkGaps(bound time.Duration) {
	r.t.Helper()
	for _, task := range slices.Sorted(maps.Keys(r.lastRun)) {
		if r.checked != nil && !r.checked[task] {
			continue
		}
		if gap := max(r.gaps[task], r.now.Sub(r.lastRun[task])); gap > bound {
			r.t.Errorf("task %s was without a run for %s, runs now %t; want at most %s", task, gap, r.now.Equal(r.lastRun[task]), bound)
		}
	}
}
