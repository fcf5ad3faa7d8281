package scheduler

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/kernel/timekeeper"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/messenger"
)

const (
	standstillLease = time.Minute
	standstillLimit = 5 * time.Second
)

// standstillFixture is an owner with a member, vm-1, whose loop runs. Its time advances only by advance.
type standstillFixture struct {
	t       *testing.T
	o       *owner
	elapsed atomic.Int64
}

func newStandstillFixture(t *testing.T) *standstillFixture {
	t.Helper()
	f := &standstillFixture{t: t}
	policy := &specifier.Policy{Version: 1, Queues: []specifier.Queue{{Name: "q", MaxFailures: 1, Slack: 2}}}
	s := New(Config{
		Cell: "jobs", EntryID: "entry-1", Lease: standstillLease, Reporter: reporter.Discard(), Now: f.now, Policy: func() *specifier.Policy { return policy },
		Store: keeper.Calls{
			GetRecord:   func(context.Context, string) (keeper.Record, error) { return keeper.Record{}, keeper.ErrKeyNotExist{} },
			GrantLease:  func(context.Context, time.Duration) (keeper.Lease, error) { return keeper.Lease{ID: 1}, nil },
			Transact:    func(context.Context, keeper.Transaction) (int64, error) { return 1, nil },
			FindRecords: func(context.Context, keeper.ListOptions) (keeper.ListResult, error) { return keeper.ListResult{}, nil },
			Watch: func(ctx context.Context, _ keeper.WatchOptions) (keeper.WatchResult, error) {
				<-ctx.Done()
				return keeper.WatchResult{}, ctx.Err()
			},
		},
	})
	if err := s.elector.Acquire(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.o = newOwner(s, 1, tracker.New(tracker.Config{Policy: policy}), f.now())
	f.o.members["vm-1"], f.o.listed["vm-1"] = true, true
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.o.run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return f
}

func (f *standstillFixture) now() time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(f.elapsed.Load()))
}

func (f *standstillFixture) advance(d time.Duration) { f.elapsed.Add(int64(d)) }

// reported returns the event of a report of vm-1.
func (f *standstillFixture) reported() reportReceived {
	r := messenger.WorkReport{
		VM: "vm-1", Session: 1, Process: 1, Incarnation: "1", Ready: true,
		VMInfo: &messenger.WorkVMInfo{Capacity: specifier.Resources{CPUMillis: 8000, MemoryMB: 8000}},
	}
	parsed, info, err := parseReport(r)
	if err != nil {
		f.t.Error(err)
	}
	return reportReceived{report: r, parsed: parsed, info: info, answer: make(chan messenger.WorkReply, 1)}
}

// inLoop is an event during which the loop calls a function.
type inLoop func(o *owner)

func (do inLoop) apply(o *owner, _ time.Time) { do(o) }

// do calls a function in the loop and reports whether the loop has done it.
func (f *standstillFixture) do(call func(o *owner)) bool {
	f.t.Helper()
	done := make(chan struct{})
	if f.o.send(f.t.Context(), inLoop(func(o *owner) { call(o); close(done) })) != nil {
		return false
	}
	select {
	case <-done:
		return true
	case <-f.o.done:
		return false
	case <-time.After(standstillLimit):
		f.t.Fatal("the loop does not answer")
		return false
	}
}

// Guards against tasks that run twice: a report arrives after the owner's process stood still while it applied
// events that came before. The leases that the agent may request by its reply must not count as ended while
// they last, which the agent counts from when it sent the report.
func TestReportAfterStandstillIsNotReceivedBeforeItWasSent(t *testing.T) {
	for _, standstill := range []time.Duration{0, 200 * time.Millisecond, 1100 * time.Millisecond, 3 * time.Second, 8 * time.Second} {
		t.Run(standstill.String(), func(t *testing.T) {
			f := newStandstillFixture(t)
			e := f.reported()
			var sentAt time.Time
			f.do(func(o *owner) {
				f.advance(standstill)
				sentAt = f.now()
				o.events <- e
			})
			select {
			case reply := <-e.answer:
				if reply.GrantMillis == 0 {
					t.Error("the report is granted nothing")
				}
			case <-time.After(standstillLimit):
				t.Fatal("the report is not answered")
			}
			f.do(func(o *owner) {
				if got := o.state.VMs["vm-1"].GrantedAt; got.Before(sentAt) {
					t.Errorf("the report counts as received %s before it was sent", sentAt.Sub(got))
				}
				if o.hasLapsed("vm-1", sentAt.Add(timekeeper.Longest(o.s.config.Grant)+o.s.config.StopTime)) {
					t.Error("its leases count as ended while they may last")
				}
				delete(o.sessions, "vm-1") // it has no connection to close
			})
		})
	}
}
