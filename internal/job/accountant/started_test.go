package accountant

import (
	"testing"

	"bamboospread/internal/job/specifier"
)

// Guards against callers who are told that a job has started, or that no job waits, on the
// strength of an order that nobody has carried out.
func TestAJobHasStartedOnceARunOfItWasSeen(t *testing.T) {
	listed := func(confirmed, stopping bool) Report {
		return Report{Life: "1", Ready: true, OrdersSeen: 1, Runs: []ReportedRun{{Key: key(1, 0, 0, 1), Confirmed: confirmed, Stopping: stopping}}}
	}
	tests := []struct {
		name    string
		ordered bool // by this owner
		report  Report
		started bool
	}{
		{"ordered", true, Report{Life: "1", Ready: true}, false},
		{"in doubt", true, listed(false, false), false},
		{"in doubt, being stopped", true, listed(false, true), false},
		{"in doubt of an earlier owner", false, listed(false, true), false},
		{"not at the worker", true, Report{Life: "1", Ready: true, OrdersSeen: 1}, false},
		{"seen", true, listed(true, false), true},
		{"seen while being stopped", true, listed(true, true), true},
		{"seen, of an earlier owner", false, listed(true, false), true},
		{"ended before it was seen", true, Report{Life: "1", Ready: true, OrdersSeen: 1, Ends: []ReportedEnd{{Seq: 1, Key: key(1, 0, 0, 1), How: EndFailed}}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newState(t, 3)
			j := addJob(t, a, 1, specifier.Step{Count: 1, Needs: oneCore})
			vm := attach(a, "vm")
			if tt.ordered {
				a.Place(a.Find(task(1, 0, 0)), vm, 1, at(0))
			}
			a.Apply(vm, tt.report, at(10))
			pending, state := 1, JobQueued
			if tt.started {
				pending, state = 0, JobRunning
			}
			if got := a.Pending("q"); got != pending || j.Told() != state {
				t.Errorf("%d jobs wait and its state is %s, want %d and %s", got, j.Told(), pending, state)
			}
		})
	}
}

// Guards against a start in doubt that is taken for a run that the worker has had, once a new
// owner was told of it: it would not be stopped after the agent is replaced.
func TestARunInDoubtIsAdoptedAsOne(t *testing.T) {
	a := newState(t, 3)
	addJob(t, a, 1, specifier.Step{Count: 1, Needs: oneCore})
	report := Report{Life: "1", Process: 1, Ready: true, Runs: []ReportedRun{{Key: key(1, 0, 0, 1)}}}
	vm, _ := a.Attach(Facts{Name: "vm", Capacity: eightCore}, report, at(0))
	a.Attach(Facts{Name: "vm", Capacity: eightCore}, Report{Life: "1", Process: 2, Ready: true}, at(10))
	if got := len(vm.UncertainRuns()); got != 1 {
		t.Errorf("%d runs are uncertain, want 1", got)
	}
}
