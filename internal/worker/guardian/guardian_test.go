package guardian

import (
	"testing"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/wire/messenger"
)

// Two runs of one task. An agent is restarted while its worker goes on; the new
// process knows no epoch, its looks are refused, and it reports that nothing runs.
// The owner believes it and starts the tasks elsewhere. So there is no report
// before a look under the owner's epoch was answered.
func TestNoReportBeforeALook(t *testing.T) {
	worker := newFakeWorker()
	worker.epoch = 3
	worker.runs[accountant.RunKey{Task: taskID(0), Number: 2001}] = true
	b := newBed(t, worker)
	time.Sleep(300 * time.Millisecond)
	if rep, ok := b.g.Report(0); ok {
		t.Fatalf("reported %+v without a look", rep)
	}
	b.g.Follow(3)
	if rep := b.report(); len(rep.Runs) != 1 || rep.Runs[0].Run != 2001 {
		t.Errorf("reported %+v", rep.Runs)
	}
}

// Two runs of one task. A new owner takes over while a start of the old one is on
// its way to the worker; if the agent reported before the worker knew the new
// epoch, the old start would still be taken after the report.
func TestReportWaitsForTheNewEpochAtTheWorker(t *testing.T) {
	worker := newFakeWorker()
	b := newBed(t, worker)
	b.own(1)
	b.g.Follow(2)
	rep := b.report()
	worker.change(func() {
		if worker.epoch != 2 {
			t.Errorf("reported %+v while the worker knew epoch %d", rep, worker.epoch)
		}
	})
}

// Callers' work stands still a second longer than it needs to after each change of
// owner. An agent may report only once a look has shown the new epoch to its worker;
// on a VM where nothing runs or ends such a look waited its whole time.
func TestNewOwnerIsReportedToAtOnce(t *testing.T) {
	worker := newFakeWorker()
	worker.idle = true
	b := newBed(t, worker)
	b.own(1)
	time.Sleep(50 * time.Millisecond) // a look under the old epoch waits
	followed := time.Now()
	b.g.Follow(2)
	b.report()
	if took := time.Since(followed); took > lookWait/2 {
		t.Errorf("the first report to a new owner came after %s", took)
	}
}

// TestLastGuardOfCapacity: the worker starts whatever it is told to. An owner that
// counts wrongly must not bring a VM over its capacity; what is being stopped
// still counts.
func TestLastGuardOfCapacity(t *testing.T) {
	worker := newFakeWorker()
	b := newBed(t, worker)
	b.own(1)
	for i := range 3 {
		b.order(1, messenger.WorkStart, i, 1)
	}
	b.until("two runs", func() bool { return b.confirmed() == 2 })
	worker.change(func() { worker.silent = true })
	b.order(1, messenger.WorkStop, 0, 1)
	b.order(1, messenger.WorkStart, 3, 1)
	worker.change(func() {
		if len(worker.starts) != 2 {
			t.Errorf("%d starts reached a worker with room for 2", len(worker.starts))
		}
	})
}

func TestStartsThatMustNotHappen(t *testing.T) {
	tests := []struct {
		name string
		do   func(b *bed)
	}{
		{"of an earlier epoch", func(b *bed) { b.own(2); b.order(1, messenger.WorkStart, 0, 1) }},
		{"of an earlier session", func(b *bed) {
			b.own(1)
			old := b.sess
			b.own(1)
			b.sess = old
			b.order(1, messenger.WorkStart, 0, 1)
		}},
		{"on a worker that leaves", func(b *bed) { b.own(1); b.announce(true); b.order(1, messenger.WorkStart, 0, 1) }},
		{"for another life", func(b *bed) {
			b.own(1)
			b.g.Obey(messenger.WorkOrders{Epoch: 1, Session: b.sess, Life: "other", Orders: []messenger.WorkOrder{{Seq: 1, Kind: messenger.WorkStart, Task: taskID(0).String(), Run: 1, Needs: oneCore}}})
		}},
		{"long after the owner was heard", func(b *bed) {
			b.own(1)
			b.g.mu.Lock()
			b.g.repliedAt = time.Now().Add(-2 * orderMaxAge)
			b.g.mu.Unlock()
			b.order(1, messenger.WorkStart, 0, 1)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			worker := newFakeWorker()
			b := newBed(t, worker)
			tt.do(b)
			time.Sleep(50 * time.Millisecond)
			worker.change(func() {
				if len(worker.starts) != 0 {
					t.Errorf("the worker was asked for %+v", worker.starts)
				}
			})
		})
	}
}

// An end is listed until the owner has stored it; only then may the worker forget.
func TestEndIsKeptUntilStored(t *testing.T) {
	worker := newFakeWorker()
	b := newBed(t, worker)
	b.own(1)
	b.order(1, messenger.WorkStart, 0, 1)
	b.until("a run", func() bool { return b.confirmed() == 1 })
	worker.change(func() {
		worker.runs = make(map[accountant.RunKey]bool)
		worker.ends = []SeenEnd{{Seq: 1, Task: taskID(0), Run: 1, How: "done"}}
	})
	b.until("an end", func() bool { return len(b.report().Ends) == 1 })
	b.grant(1, time.Minute) // an answer that acknowledges nothing
	if len(b.report().Ends) != 1 {
		t.Fatal("the end is gone before it was stored")
	}
	b.g.Granted(time.Now(), "life-1", messenger.WorkReply{Epoch: 1, EndsStored: 1})
	if len(b.report().Ends) != 0 {
		t.Error("the end is listed after it was stored")
	}
}

// Runs of an agent that hears no owner must end: the owner starts them elsewhere
// when the grant is over. The lease asked for never outlives the grant.
func TestLeaseEndsWithTheGrant(t *testing.T) {
	worker := newFakeWorker()
	b := newBed(t, worker)
	b.g.Follow(1)
	b.sess = b.g.BeginSession()
	granted := time.Now()
	b.grant(1, 400*time.Millisecond)
	end := time.Since(worker.begin) + 400*time.Millisecond
	time.Sleep(700 * time.Millisecond)
	worker.change(func() {
		longest := time.Duration(0)
		for _, l := range worker.leases {
			longest = max(longest, l)
		}
		if longest == 0 || longest > end+20*time.Millisecond {
			t.Errorf("a lease until %s was asked for; the grant of %s ends at %s", longest, granted, end)
		}
		if last := worker.leases[len(worker.leases)-1]; last != 0 {
			t.Errorf("a lease until %s was asked for after the grant", last)
		}
	})
}
