package controller

import (
	"testing"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/wire/messenger"
)

// TestWorkerOutageUsesNoAttempt guards against tasks that are held after three starts on a
// worker that was unavailable, and against a VM that is given tasks again and again although
// its worker takes none.
func TestWorkerOutageUsesNoAttempt(t *testing.T) {
	cases := []struct {
		name        string
		report      messenger.TaskReport
		state       messenger.TaskState
		quarantined bool
	}{
		{"worker unavailable", messenger.TaskReport{State: messenger.ReportRefused, Unavailable: true}, messenger.TaskQueued, true},
		{"refused for another reason", messenger.TaskReport{State: messenger.ReportRefused}, messenger.TaskQueued, false},
		{"failed", messenger.TaskReport{State: messenger.ReportFailed}, messenger.TaskHeld, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			to := newTestOwner(t)
			to.apply(bookkeeper.Record{Submitted: &bookkeeper.Submitted{Spec: messenger.TaskSpec{ID: "t"}}})
			for i := range int64(defaultMaxAttempts) {
				to.apply(bookkeeper.Record{Started: &bookkeeper.Started{Task: "t", VM: "vm", Attempt: i + 1}})
				report := c.report
				report.TaskID, report.Attempt = "t", i+1
				to.poll(report)
			}
			if got := to.state.Task("t"); got.State != c.state || c.state == messenger.TaskQueued && got.Failures != 0 {
				t.Errorf("the task is %s after %d failures, want %s", got.State, got.Failures, c.state)
			}
			if q := to.state.VM("vm").Quarantined; (q != "") != c.quarantined {
				t.Errorf("quarantine of the VM %q, want one: %t", q, c.quarantined)
			}
		})
	}
}
