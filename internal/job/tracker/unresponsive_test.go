package tracker

import (
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
)

// Guards against more unavailable long-running tasks than allowed: a worker that does not answer may have
// ended, while its runs are kept until their leases have ended.
func TestRunsOfUnresponsiveWorkerAreUnavailable(t *testing.T) {
	tr := newState(t, 2)
	addJob(t, tr, 1, specifier.Step{Count: 2, Needs: oneCore, LongRunning: true, MaxUnavailable: 1})
	reportOf := func(index int) Report {
		return Report{Incarnation: "1", Process: 1, Ready: true, Runs: []ReportedRun{{Key: key(1, 0, index, 1), Confirmed: true, Progress: 100}}}
	}
	silent, sound := reportOf(0), reportOf(1)
	silentVM, _ := tr.Attach(VMInfo{Name: "a", Capacity: oneCore}, silent, begin)
	soundVM, _ := tr.Attach(VMInfo{Name: "b", Capacity: oneCore}, sound, begin)
	run := soundVM.Runs[key(1, 0, 1, 1)]
	for _, tt := range []struct {
		unresponsive time.Duration
		interrupt    bool
	}{{0, true}, {time.Second, false}, {0, true}} {
		silent.Ready, silent.Unresponsive = tt.unresponsive == 0, tt.unresponsive
		tr.Apply(silentVM, silent, begin.Add(tt.unresponsive))
		if run.MayInterrupt() != tt.interrupt {
			t.Errorf("unresponsive for %s: %d unavailable, the other run may be interrupted: %t", tt.unresponsive, run.Step().Unavailable(), !tt.interrupt)
		}
	}
}
