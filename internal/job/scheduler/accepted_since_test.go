package scheduler

import (
	"context"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/messenger"
)

const (
	lateJob      = "00000000000004d3"
	lateJobTasks = 4
)

// acceptedSinceFixture is an owner whose ownership has just begun, with two members, and whose time the test
// advances. One VM reports to it from the beginning.
type acceptedSinceFixture struct {
	t        *testing.T
	o        *owner
	now      time.Time
	revision int64 // of the store
}

func newAcceptedSinceFixture(t *testing.T) *acceptedSinceFixture {
	t.Helper()
	f := &acceptedSinceFixture{t: t, now: time.Unix(1_000_000, 0), revision: 100}
	policy := &specifier.Policy{Version: 1, Queues: []specifier.Queue{{Name: "q", MaxFailures: 1, Slack: 2}}}
	s := New(Config{
		Cell: "jobs", Reporter: reporter.Discard(), Now: func() time.Time { return f.now }, Policy: func() *specifier.Policy { return policy },
		Store: keeper.Calls{FindRecords: func(context.Context, keeper.ListOptions) (keeper.ListResult, error) {
			return keeper.ListResult{Revision: f.revision}, nil
		}},
	})
	f.o = newOwner(s, 2, tracker.New(tracker.Config{Policy: policy, RunFloor: runsPerEpoch}), f.now)
	for _, vm := range []string{"vm-1", "vm-2"} {
		f.o.members[vm], f.o.listed[vm], f.o.unreported[vm] = true, true, true
	}
	f.report("vm-2", nil)
	return f
}

// report applies a report of a VM with the given runs.
func (f *acceptedSinceFixture) report(vm string, runs []messenger.WorkRun) {
	f.t.Helper()
	r := messenger.WorkReport{
		VM: vm, Session: 1, Process: 1, Incarnation: "1", Ready: true, Granted: true, Runs: runs,
		VMInfo: &messenger.WorkVMInfo{Capacity: specifier.Resources{CPUMillis: 8000, MemoryMB: 8000}},
	}
	parsed, info, err := parseReport(r)
	if err != nil {
		f.t.Fatal(err)
	}
	e := reportReceived{report: r, parsed: parsed, info: info, answer: make(chan messenger.WorkReply, 1)}
	e.apply(f.o, f.now)
	if (<-e.answer).Epoch == 0 {
		f.t.Fatalf("the report of %s is refused", vm)
	}
}

// accept passes a job to the owner that was stored at the present revision.
func (f *acceptedSinceFixture) accept(source string) {
	f.revision++
	value := `{"id":"` + lateJob + `","queue":"q","steps":[{"count":4,"needs":{"cpu-millis":100,"memory-mb":10}}]}`
	recordSeen{keeper.Record{Key: JobKey(lateJob), Revision: f.revision, Value: []byte(value)}, source}.apply(f.o, f.now)
}

// advance lets time pass until the given age of the ownership while vm-2 reports, with a round of decisions
// every 10 ms.
func (f *acceptedSinceFixture) advance(to time.Duration) {
	f.t.Helper()
	for end := f.o.started.Add(to); f.now.Before(end); {
		f.now = f.now.Add(10 * time.Millisecond)
		f.o.state.VMs["vm-2"].GrantedAt = f.now
		f.round()
	}
}

func (f *acceptedSinceFixture) round() {
	f.o.place(f.now)
}

// started returns how many starts of the job were ordered.
func (f *acceptedSinceFixture) started() int {
	n := 0
	for _, s := range f.o.sessions {
		for _, order := range s.queued {
			if order.Kind == messenger.WorkStart {
				n++
			}
		}
	}
	return n
}

// Guards against tasks that run twice: the store drops the former owner's lease early, and that owner starts
// tasks of a job that is accepted meanwhile. The next owner must not start them before their VM has reported.
func TestJobAcceptedAfterTakeoverAwaitsRunsOfFormerOwner(t *testing.T) {
	for _, tt := range []struct {
		name       string
		acceptedAt time.Duration // in the ownership
		reportsAt  time.Duration // when the VM reports that has followed the former owner
	}{
		{"the VM reports just after the former owner's lease", time.Second, DefaultLease + 50*time.Millisecond},
		{"the VM reports a second later", time.Second, DefaultLease + time.Second},
		{"the VM reports just before its leases have ended", DefaultLease - time.Millisecond, 6 * time.Second},
		{"the job is accepted as the ownership begins", 0, 3 * time.Second},
	} {
		for _, source := range []string{sourceHint, sourceWatch, sourceList} {
			t.Run(tt.name+", "+source, func(t *testing.T) {
				f := newAcceptedSinceFixture(t)
				f.advance(tt.acceptedAt)
				f.accept(source)
				f.advance(tt.reportsAt)
				if n := f.started(); n > 0 {
					t.Errorf("%d tasks are started while a VM may run them", n)
				}
				var runs []messenger.WorkRun
				for i := range lateJobTasks - 1 {
					id := specifier.TaskID{Job: lateJob, Index: i}
					runs = append(runs, messenger.WorkRun{Task: id.String(), Run: 1, Confirmed: true})
				}
				f.report("vm-1", runs)
				f.round()
				if n := f.started(); n != 1 {
					t.Errorf("%d starts once the VM has reported, want 1 of the task that it doesn't run", n)
				}
			})
		}
	}
}

// Guards against jobs that stand still for seconds after each change of owner: the wait for a VM that does not
// report ends with its leases, and does not concern jobs that the former owner can't have started.
func TestJobAcceptedAfterTakeoverWaitsNoLongerThanNeeded(t *testing.T) {
	const expiry = DefaultLease + 6200*time.Millisecond // longer than all leases
	tests := []struct {
		name       string
		acceptedAt time.Duration
		leaseOver  time.Duration // when the store's revision after the former owner's lease is known; 0: never
		reportsAt  time.Duration // when the silent VM reports; 0: never
		startsAt   time.Duration // when the tasks have started at the latest
		notBefore  time.Duration
	}{
		{"accepted after the former owner's lease", 3 * time.Second, DefaultLease + 50*time.Millisecond, 0, 3010 * time.Millisecond, 3 * time.Second},
		{"accepted before that is known", 2100 * time.Millisecond, 2200 * time.Millisecond, 0, expiry, DefaultLease + 5*time.Second},
		{"the store does not answer", 3 * time.Second, 0, 0, expiry, DefaultLease + 5*time.Second},
		{"accepted before, and the VM is lost", time.Second, DefaultLease + 50*time.Millisecond, 0, expiry, DefaultLease + 5*time.Second},
		{"accepted before, and the VM reports at once", time.Second, 0, 1100 * time.Millisecond, 1110 * time.Millisecond, 1100 * time.Millisecond},
		{"all VMs have reported", time.Second, 0, 500 * time.Millisecond, 1010 * time.Millisecond, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newAcceptedSinceFixture(t)
			steps := []struct {
				at time.Duration
				do func()
			}{
				{tt.acceptedAt, func() { f.accept(sourceWatch) }},
				{tt.leaseOver, func() { formerLeaseOver{f.revision}.apply(f.o, f.now) }},
				{tt.reportsAt, func() { f.report("vm-1", nil) }},
			}
			for at := time.Duration(0); at < tt.startsAt; at += 10 * time.Millisecond {
				for _, s := range steps {
					if s.at > 0 && at == s.at {
						s.do()
					}
				}
				f.round()
				if n := f.started(); n > 0 && at < tt.notBefore {
					t.Fatalf("%d tasks are started %s after the takeover, %s is the earliest", n, at, tt.notBefore)
				}
				f.advance(at + 10*time.Millisecond)
			}
			f.round()
			if n := f.started(); n != lateJobTasks {
				t.Errorf("%d tasks are started %s after the takeover, want %d", n, tt.startsAt, lateJobTasks)
			}
		})
	}
}

// Guards against tasks that run twice: the owner must not count as reconciled while a VM that may run tasks of
// the former owner has not reported, since jobs that were accepted before may still arrive.
func TestOwnerIsNotReconciledWhileAMemberIsUnreported(t *testing.T) {
	f := newAcceptedSinceFixture(t)
	f.advance(DefaultLease + time.Second)
	f.accept(sourceWatch)
	f.round()
	if n := f.started(); n > 0 || f.o.reconciled {
		t.Errorf("%d tasks are started, reconciled: %t", n, f.o.reconciled)
	}
}

// Guards against tasks that run twice: the former owner may start a job whose record has exactly the revision that
// the store had once its lease was over, and a revision that is read earlier shows nothing.
func TestRevisionAfterFormerLeaseIsReadOnceItIsOver(t *testing.T) {
	const lease = 200 * time.Millisecond
	f := newAcceptedSinceFixture(t)
	f.o.s.config.Now, f.o.s.config.Lease = time.Now, lease
	f.o.started = time.Now()
	f.o.findFormerLeaseOver(t.Context())
	if early := f.o.formerLeaseEnd().Sub(time.Now()); early > 0 {
		t.Errorf("the revision is read %s before the former owner's lease is over", early)
	}
	(<-f.o.events).apply(f.o, f.now)
	for _, tt := range []struct {
		revision int64
		waits    bool
	}{{f.revision - 1, true}, {f.revision, true}, {f.revision + 1, false}, {0, true}} {
		if waits := !f.o.reconcileTime(keeper.Record{Revision: tt.revision}).IsZero(); waits != tt.waits {
			t.Errorf("a job at revision %d waits: %t, the store was at %d", tt.revision, waits, f.revision)
		}
	}
}
