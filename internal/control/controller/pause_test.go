package controller

import (
	"testing"
	"time"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/wire/messenger"
)

// Guards against pauses that last too long because the time of day stepped back by an hour,
// or the next owner's clock is behind: the backoff after a failure and a quarantine are
// journalled with the time of day at which they end.
func TestBackoffAndQuarantineEndAfterClockStepsBack(t *testing.T) {
	to := newTestOwner(t)
	to.startTask("t")
	to.apply(bookkeeper.Record{Ended: &bookkeeper.Ended{Task: "t", Attempt: 1, Next: messenger.TaskQueued, NotBefore: to.now.Add(maxBackoff)}},
		bookkeeper.Record{Quarantine: &bookkeeper.Quarantine{VM: "vm", Reason: "r", Until: to.now.Add(maxQuarantine)}})
	to.checkQuarantines(to.now)
	if n := len(to.placerSnapshot(to.now).Queued); n != 0 || to.state.VM("vm").Quarantined == "" {
		t.Errorf("%d tasks may start during their backoff, quarantine %q", n, to.state.VM("vm").Quarantined)
	}
	to.now = to.now.Add(-time.Hour)
	to.checkQuarantines(to.now)
	if q := to.placerSnapshot(to.now).Queued; len(q) != 1 || q[0].NotBefore.After(to.now) {
		t.Errorf("the task is still in backoff: queued %+v", q)
	}
	if q := to.state.VM("vm").Quarantined; q != "" {
		t.Errorf("still in quarantine: %s", q)
	}
}
