package tracker

import (
	"testing"

	"bamboospread/internal/job/specifier"
)

// Guards against ends that are forgotten before anybody has read them: the number of a stored end counts for
// the life of the worker that listed it only, also if that life ends while the end is written.
func TestStoredEndsOfFormerLifeDoNotCountForNext(t *testing.T) {
	tr := newState(t, 2)
	j := addJob(t, tr, 1, specifier.Step{Count: 2, Needs: oneCore})
	vm := attach(tr, "vm")
	tasks := j.Occurrences[0].Steps[0].Tasks
	for _, task := range tasks {
		tr.Place(task, vm, 1, begin)
	}
	tr.Apply(vm, Report{Incarnation: "1", Ready: true, OrdersSeen: 1, Runs: []ReportedRun{{Key: key(1, 0, 1, 1), Confirmed: true}}, Ends: []ReportedEnd{{Seq: 57, Key: key(1, 0, 0, 1), Outcome: EndDone}}}, at(10))
	writing := tr.BeginFlush()
	tr.Apply(vm, Report{Incarnation: "2", Ready: true, OrdersSeen: 2}, at(20))
	if stored := tr.EndFlush(writing, map[string]JobState{j.Spec.ID: j.State}); len(stored) != 0 || vm.EndStored != 0 {
		t.Fatalf("end %d is acknowledged to the next life, %d VMs", vm.EndStored, len(stored))
	}
	tr.Place(tasks[1], vm, 2, at(30))
	tr.Apply(vm, Report{Incarnation: "2", Ready: true, OrdersSeen: vm.OrderSeq, Ends: []ReportedEnd{{Seq: 1, Key: key(1, 0, 1, 2), Outcome: EndDone}}}, at(40))
	if !tasks[1].Done || vm.EndSeen != 1 || vm.EndStored != 0 {
		t.Fatalf("done: %t, end %d seen, end %d acknowledged", tasks[1].Done, vm.EndSeen, vm.EndStored)
	}
	tr.EndFlush(tr.BeginFlush(), map[string]JobState{j.Spec.ID: j.State})
	if vm.EndStored != 1 {
		t.Errorf("end %d is acknowledged, want 1", vm.EndStored)
	}
}
