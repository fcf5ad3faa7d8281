package tracker

import (
	"testing"

	"bamboospread/internal/job/specifier"
)

// Guards against tasks that wait without need: the VM has started again with a worker of another ID, which refuses
// the starts that were meant for the former one, also those that no process of the agent has reported.
func TestStartForReplacedWorkerIsNoLateStart(t *testing.T) {
	tr := newState(t, 3)
	j := addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore})
	vm, _ := tr.Attach(VMInfo{Name: "vm", WorkerID: "i-1", Capacity: eightCore}, Report{Incarnation: "1", Process: 1, Ready: true, LateStarts: true}, begin)
	tr.Place(j.Occurrences[0].Steps[0].Tasks[0], vm, 1, begin)
	tr.Attach(VMInfo{Name: "vm", WorkerID: "i-2", Capacity: eightCore}, Report{Incarnation: "2", Process: 2, LateStarts: true}, begin)
	if n := len(j.Occurrences[0].Steps[0].Tasks[0].Runs); n != 0 {
		t.Fatalf("the task has %d runs", n)
	}
	if late := tr.LateStarts(begin); len(late) > 0 {
		t.Errorf("late starts: %v", late)
	}
}

// Guards against tasks that run twice: a start without an answer whose VM was out of contact until its leases had
// ended may still be carried out by the worker's next life.
func TestStartOfVMWithoutContactMayComeLate(t *testing.T) {
	tr := newState(t, 3)
	j := addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore})
	vm, _ := tr.Attach(VMInfo{Name: "vm", WorkerID: "i-1", Capacity: eightCore}, Report{Incarnation: "1", Process: 1, Ready: true, LateStarts: true}, begin)
	tr.Place(j.Occurrences[0].Steps[0].Tasks[0], vm, 1, begin)
	tr.Detach(vm)
	now := begin.Add(UnconfirmedStartMaxAge / 2)
	tr.DropRuns(vm, now)
	if late := tr.LateStarts(now); len(late) == 0 {
		t.Error("the task may start on any VM")
	}
}
