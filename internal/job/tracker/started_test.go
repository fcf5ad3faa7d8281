package tracker

import (
	"testing"

	"bamboospread/internal/job/specifier"
)

// Guards against callers that see a job as started, or no job as waiting, because of an order
// that was never carried out.
func TestJobStartsWithFirstConfirmedRun(t *testing.T) {
	listed := func(confirmed, stopping bool) Report {
		return Report{Incarnation: "1", Ready: true, OrdersSeen: 1, Runs: []ReportedRun{{Key: key(1, 0, 0, 1), Confirmed: confirmed, Stopping: stopping}}}
	}
	tests := []struct {
		name    string
		ordered bool // by this owner
		report  Report
		started bool
	}{
		{"ordered", true, Report{Incarnation: "1", Ready: true}, false},
		{"unconfirmed", true, listed(false, false), false},
		{"unconfirmed, being stopped", true, listed(false, true), false},
		{"unconfirmed, ordered by an earlier owner", false, listed(false, true), false},
		{"not listed", true, Report{Incarnation: "1", Ready: true, OrdersSeen: 1}, false},
		{"confirmed", true, listed(true, false), true},
		{"confirmed while being stopped", true, listed(true, true), true},
		{"confirmed, ordered by an earlier owner", false, listed(true, false), true},
		{"ended before it was confirmed", true, Report{Incarnation: "1", Ready: true, OrdersSeen: 1, Ends: []ReportedEnd{{Seq: 1, Key: key(1, 0, 0, 1), Outcome: EndFailed}}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newState(t, 3)
			j := addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore})
			vm := attach(tr, "vm")
			if tt.ordered {
				tr.Place(tr.Find(task(1, 0, 0)), vm, 1, at(0))
			}
			tr.Apply(vm, tt.report, at(10))
			pending, state := 1, JobQueued
			if tt.started {
				pending, state = 0, JobRunning
			}
			if got := tr.Pending("q"); got != pending || j.ReportedState() != state {
				t.Errorf("%d jobs wait and the job is %s, want %d and %s", got, j.ReportedState(), pending, state)
			}
		})
	}
}

// Guards against an unconfirmed start that a new owner treats as a run that the worker has
// had: it would not be stopped after the agent's process is replaced.
func TestUnconfirmedRunIsAdoptedAsUnconfirmed(t *testing.T) {
	tr := newState(t, 3)
	addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore})
	report := Report{Incarnation: "1", Process: 1, Ready: true, Runs: []ReportedRun{{Key: key(1, 0, 0, 1)}}}
	vm, _ := tr.Attach(VMInfo{Name: "vm", Capacity: eightCore}, report, at(0))
	tr.Attach(VMInfo{Name: "vm", Capacity: eightCore}, Report{Incarnation: "1", Process: 2, Ready: true}, at(10))
	if got := len(vm.UnconfirmedRuns()); got != 1 {
		t.Errorf("%d runs are unconfirmed, want 1", got)
	}
}

// Guards against a long-running task that ends soon after each start and that takes precedence over
// all others without end, because runs that end before a report lists them do not count.
func TestShortRunRestartsTheWait(t *testing.T) {
	tests := []struct {
		name   string
		report func(tr *Tracker, vm *VM)
	}{
		{"failed before a report listed it", func(tr *Tracker, vm *VM) {
			tr.Apply(vm, Report{Incarnation: "1", Ready: true, OrdersSeen: 1, Ends: []ReportedEnd{{Seq: 1, Key: key(1, 0, 0, 1), Outcome: EndFailed}}}, at(60_100))
		}},
		{"listed once its stop was ordered", func(tr *Tracker, vm *VM) {
			r := tr.Find(task(1, 0, 0)).Runs[0]
			tr.Stop(r, "unconfirmed start", at(60_010))
			tr.Apply(vm, Report{Incarnation: "1", Ready: true, OrdersSeen: 2, Runs: []ReportedRun{{Key: r.Key(), Confirmed: true, Stopping: true}}}, at(60_050))
			tr.Apply(vm, Report{Incarnation: "1", Ready: true, OrdersSeen: 2, Ends: []ReportedEnd{{Seq: 1, Key: r.Key(), Outcome: EndStopped}}}, at(60_100))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newState(t, 3)
			addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore, LongRunning: true})
			vm := attach(tr, "vm")
			tr.Place(tr.Find(task(1, 0, 0)), vm, 1, at(60_000))
			tt.report(tr, vm)
			got := tr.Find(task(1, 0, 0))
			if !got.HasRun || !got.WaitSince.Equal(at(60_100)) {
				t.Errorf("has run %t, waits since %s, want %s", got.HasRun, got.WaitSince, at(60_100))
			}
		})
	}
}
