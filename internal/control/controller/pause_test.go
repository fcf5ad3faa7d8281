package controller

import (
	"testing"
	"time"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/wire/messenger"
)

// The time of day jumps back by an hour, or the next owner's clock is behind: a pause
// after a failure and a quarantine, which are journalled by the time of day, end all the
// same.
func TestPausesEndAfterTheClockJumpedBack(t *testing.T) {
	d := newDesk(t)
	d.run("t")
	d.apply(bookkeeper.Record{Ended: &bookkeeper.Ended{Task: "t", Attempt: 1, Next: messenger.TaskQueued, NotBefore: d.now.Add(lastBackoff)}},
		bookkeeper.Record{Quarantine: &bookkeeper.Quarantine{VM: "vm", Reason: "r", Until: d.now.Add(lastQuarantine)}})
	d.checkQuarantines(d.now)
	if n := len(d.snapshot(d.now).Queued); n != 0 || d.books.VM("vm").Quarantined == "" {
		t.Errorf("%d tasks may start during their pause, quarantine %q", n, d.books.VM("vm").Quarantined)
	}
	d.now = d.now.Add(-time.Hour)
	d.checkQuarantines(d.now)
	if q := d.snapshot(d.now).Queued; len(q) != 1 || q[0].NotBefore.After(d.now) {
		t.Errorf("the task waits: %+v", q)
	}
	if q := d.books.VM("vm").Quarantined; q != "" {
		t.Errorf("still in quarantine: %s", q)
	}
}
