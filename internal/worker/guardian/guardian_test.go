package guardian

import (
	"testing"
	"testing/synctest"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/wire/messenger"
)

// Guards against two runs of one task: an agent is restarted while its worker continues. The
// new process has no epoch yet, its polls are refused, and it would report that nothing runs,
// so that the owner starts the tasks elsewhere. No report may be made before a poll under the
// owner's epoch is answered.
func TestNoReportBeforeFirstPoll(t *testing.T) {
	worker := newFakeWorker()
	worker.fence.Epoch = 3
	worker.runs[tracker.RunKey{Task: taskID(0), Number: 2001}] = true
	e := newTestEnv(t, worker)
	time.Sleep(300 * time.Millisecond)
	if rep, ok := e.g.Report(0); ok {
		t.Fatalf("reported %+v without a poll", rep)
	}
	e.g.Follow(3)
	if rep := e.report(); len(rep.Runs) != 1 || rep.Runs[0].Run != 2001 {
		t.Errorf("reported %+v", rep.Runs)
	}
}

// Guards against two runs of one task: a new owner takes over while a start of the old one is
// on its way to the worker. If the agent reported before the worker had the new epoch, the
// worker would accept the old start after the report.
func TestReportWaitsUntilWorkerHasNewEpoch(t *testing.T) {
	worker := newFakeWorker()
	e := newTestEnv(t, worker)
	e.own(1)
	e.g.Follow(2)
	rep := e.report()
	worker.withLock(func() {
		if worker.fence.Epoch != 2 {
			t.Errorf("reported %+v while the worker had epoch %d", rep, worker.fence.Epoch)
		}
	})
}

// Guards against starts that are delayed by up to a second after each change of owner. An
// agent may report only after a poll has passed the new epoch to its worker, and on a VM
// where nothing runs or ends that poll lasted its whole wait.
func TestNewOwnerGetsReportImmediately(t *testing.T) {
	worker := newFakeWorker()
	worker.waitsFully = true
	e := newTestEnv(t, worker)
	e.own(1)
	time.Sleep(50 * time.Millisecond) // a poll under the old epoch is waiting
	followed := time.Now()
	e.g.Follow(2)
	e.report()
	if took := time.Since(followed); took > pollWait/2 {
		t.Errorf("the first report to a new owner came after %s", took)
	}
}

// Guards against an overcommitted VM: the worker starts whatever it is asked to, and an owner
// may count wrongly. Runs that are being stopped still count.
func TestStartsNeverExceedCapacity(t *testing.T) {
	worker := newFakeWorker()
	e := newTestEnv(t, worker)
	e.own(1)
	for i := range 3 {
		e.order(1, messenger.WorkStart, i, 1)
	}
	e.until("two runs", func() bool { return e.confirmed() == 2 })
	worker.withLock(func() { worker.unresponsive = true })
	e.order(1, messenger.WorkStop, 0, 1)
	e.order(1, messenger.WorkStart, 3, 1)
	worker.withLock(func() {
		if len(worker.starts) != 2 {
			t.Errorf("%d starts reached a worker with capacity for 2", len(worker.starts))
		}
	})
}

func TestInvalidStartsAreRejected(t *testing.T) {
	tests := []struct {
		name string
		do   func(e *testEnv)
	}{
		{"earlier epoch", func(e *testEnv) { e.own(2); e.order(1, messenger.WorkStart, 0, 1) }},
		{"earlier session", func(e *testEnv) {
			e.own(1)
			old := e.session
			e.own(1)
			e.session = old
			e.order(1, messenger.WorkStart, 0, 1)
		}},
		{"worker is leaving", func(e *testEnv) { e.own(1); e.announce(true); e.order(1, messenger.WorkStart, 0, 1) }},
		{"other incarnation", func(e *testEnv) {
			e.own(1)
			e.g.Execute(messenger.WorkOrders{Epoch: 1, Session: e.session, Incarnation: "other", Orders: []messenger.WorkOrder{{Seq: 1, Kind: messenger.WorkStart, Task: taskID(0).String(), Run: 1, Needs: oneCore}}})
		}},
		{"last reply of the owner too old", func(e *testEnv) {
			e.own(1)
			e.g.mu.Lock()
			e.g.repliedAt = time.Now().Add(-2 * ownerReplyMaxAge)
			e.g.mu.Unlock()
			e.order(1, messenger.WorkStart, 0, 1)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			worker := newFakeWorker()
			e := newTestEnv(t, worker)
			tt.do(e)
			time.Sleep(50 * time.Millisecond)
			worker.withLock(func() {
				if len(worker.starts) != 0 {
					t.Errorf("the worker got starts %+v", worker.starts)
				}
			})
		})
	}
}

// An end is reported until the owner has stored it. Only then may the worker drop it.
func TestEndIsReportedUntilStored(t *testing.T) {
	worker := newFakeWorker()
	e := newTestEnv(t, worker)
	e.own(1)
	e.order(1, messenger.WorkStart, 0, 1)
	e.until("a run", func() bool { return e.confirmed() == 1 })
	worker.withLock(func() {
		worker.runs = make(map[tracker.RunKey]bool)
		worker.ends = []ListedEnd{{Seq: 1, Task: taskID(0), Run: 1, Outcome: "done"}}
	})
	e.until("an end", func() bool { return len(e.report().Ends) == 1 })
	e.grant(1, time.Minute) // a reply that acknowledges no end
	if len(e.report().Ends) != 1 {
		t.Fatal("the end was dropped before it was stored")
	}
	e.g.ApplyReply(time.Now(), "incarnation-1", messenger.WorkReply{Epoch: 1, EndsStored: 1})
	if len(e.report().Ends) != 0 {
		t.Error("the end is still reported after it was stored")
	}
}

// Runs of an agent without contact to an owner must end, since the owner starts them
// elsewhere when the grant is over. A requested lease never exceeds the grant.
func TestLeaseEndsWithTheGrant(t *testing.T) {
	// In a bubble, since a process that stands still sends no poll after the grant.
	synctest.Test(t, func(t *testing.T) {
		worker := newFakeWorker()
		e := newTestEnv(t, worker)
		e.g.Follow(1)
		e.session = e.g.BeginSession()
		e.grant(1, 400*time.Millisecond)
		end := time.Since(worker.startedAt) + 400*time.Millisecond
		time.Sleep(700 * time.Millisecond)
		worker.withLock(func() {
			longest := time.Duration(0)
			for _, l := range worker.leases {
				longest = max(longest, l)
			}
			if longest == 0 || longest > end {
				t.Errorf("a lease until %s was requested; the grant ends at %s", longest, end)
			}
			if last := worker.leases[len(worker.leases)-1]; last != 0 {
				t.Errorf("a lease until %s was requested after the grant", last)
			}
		})
	})
}

// Guards against a VM that is committed beyond a capacity that has shrunk while its worker runs.
// Runs that are being stopped count until their ends are listed, and a capacity that has grown again
// is used.
func TestStartsFollowChangingCapacity(t *testing.T) {
	announce := func(e *testEnv, cpuMillis int64) {
		e.g.Announce(Announcement{Incarnation: e.worker.incarnation, Zone: "z", Capacity: specifier.Resources{CPUMillis: cpuMillis, MemoryMB: 1000}})
	}
	worker := newFakeWorker()
	worker.ignoredStops = 1
	e := newTestEnv(t, worker)
	e.own(1)
	e.order(1, messenger.WorkStart, 0, 1)
	e.until("the first run", func() bool { return e.confirmed() == 1 })
	e.g.ApplyReply(time.Now(), e.worker.incarnation, messenger.WorkReply{Epoch: 1, GrantMillis: time.Minute.Milliseconds()})

	announce(e, 1000) // full
	if rep := e.report(); rep.VMInfo == nil || rep.VMInfo.Capacity.CPUMillis != 1000 {
		t.Errorf("the owner gets %+v", rep.VMInfo)
	}
	e.order(1, messenger.WorkStart, 1, 1)
	e.order(1, messenger.WorkStop, 0, 1) // has no effect yet
	e.order(1, messenger.WorkStart, 2, 1)
	announce(e, 0)
	e.order(1, messenger.WorkStart, 3, 1)
	time.Sleep(100 * time.Millisecond)
	starts := func() int {
		worker.mu.Lock()
		defer worker.mu.Unlock()
		return len(worker.starts)
	}
	if got := starts(); got != 1 {
		t.Errorf("%d starts reached a worker with capacity for 1", got)
	}
	announce(e, 2000)
	e.order(1, messenger.WorkStart, 4, 1)
	e.until("a start on the grown capacity", func() bool { return starts() == 2 })
}
