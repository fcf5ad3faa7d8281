package tracker

import (
	"testing"

	"bamboospread/internal/job/specifier"
)

// Guards against members of a gang that start from different checkpoints: a worker takes only one that is
// valid for the gang, and all members must have the same.
func TestGangMembersStartFromOneCheckpoint(t *testing.T) {
	gang := specifier.Step{Count: 3, Needs: oneCore, Gang: true, Checkpoints: true}
	tests := []struct {
		name string
		ends []string // checkpoints of the members' runs, in the order in which they are reported
		want bool     // that they start from one
	}{
		{"none", []string{"", "", ""}, false},
		{"of one member", []string{"", "a", ""}, true},
		{"of all members", []string{"a", "b", "c"}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newState(t, 3)
			vm := attach(tr, "vm")
			j := addJob(t, tr, 1, gang)
			tasks := j.Occurrences[0].Steps[0].Tasks
			for _, task := range tasks {
				tr.Place(task, vm, 1, begin)
			}
			rep := Report{Incarnation: "1", Ready: true, OrdersSeen: vm.OrderSeq}
			for i, checkpoint := range tt.ends {
				rep.Ends = append(rep.Ends, ReportedEnd{Seq: int64(i + 1), Key: key(1, 0, i, 1), Outcome: EndStopped, Checkpoint: checkpoint})
			}
			tr.Apply(vm, rep, at(10))
			check := func(where string, tasks []*Task) {
				t.Helper()
				for _, task := range tasks {
					if task.Checkpoint != tasks[0].Checkpoint || (task.Checkpoint != "") != tt.want {
						t.Errorf("%s member %d has checkpoint %q, member 0 %q", where, task.Index, task.Checkpoint, tasks[0].Checkpoint)
					}
				}
			}
			check("at this owner", tasks)
			record := encode(t, j)
			check("at the next owner", restoreFrom(t, j.Spec, record))
		})
	}
	t.Run("record of an earlier build", func(t *testing.T) {
		spec := &specifier.Job{ID: jobID(1), Queue: "q", Steps: []specifier.Step{gang}}
		tasks := restoreFrom(t, spec, []byte(`{"state":"running","finished":0,"next":1,"open":[{"number":0,"steps":[{"checkpoints":{"1":"b","2":"c"}}]}]}`))
		for _, task := range tasks {
			if task.Checkpoint != "b" {
				t.Errorf("member %d has checkpoint %q, want %q", task.Index, task.Checkpoint, "b")
			}
		}
	})
}

// restoreFrom returns the tasks of the first step of a job at an owner that takes over.
func restoreFrom(t *testing.T, spec *specifier.Job, record []byte) []*Task {
	t.Helper()
	next := newState(t, 3)
	next.AddJob(spec, at(0), begin)
	if err := next.Restore(spec.ID, record, at(20)); err != nil {
		t.Fatal(err)
	}
	return next.Jobs[spec.ID].Occurrences[0].Steps[0].Tasks
}
