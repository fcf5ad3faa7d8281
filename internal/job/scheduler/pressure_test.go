package scheduler

import (
	"testing"
	"time"
)

// Guards against urgent tasks that start nowhere for seconds after a change of owner: the next owner
// does not know yet that they wait, and all long-running tasks that have yielded to them start again.
func TestUrgentTasksStartAfterChangeOfOwner(t *testing.T) {
	const (
		returnUnderPressure = 6 * time.Second // the stated time until a task that has yielded takes precedence
		yieldedFor          = 4 * time.Second // at the takeover
	)
	r := newReplay(t, 4)
	awaitYield(r)
	r.run(yieldedFor - ownerless)
	r.replaceOwner(ownerless)
	r.run(returnUnderPressure)
	for task, gap := range r.gaps {
		if gap > replayStopTime && gap < returnUnderPressure-replayStopTime {
			t.Errorf("task %s has yielded and was without a run for %s, want %s at least", task, gap, returnUnderPressure)
		}
	}
	for _, job := range r.owner.state.Jobs {
		if job.Spec.Queue == "urgent" && job.Started && job.Spec.AcceptedMillis > r.now.Add(-returnUnderPressure).UnixMilli() {
			return
		}
	}
	t.Error("no urgent job that was submitted after the takeover has started")
}
