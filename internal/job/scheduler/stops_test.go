package scheduler

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/kernel/timekeeper"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

const stoppedJob = "00000000000004d2"

// stopFixture is an owner with one long-running task that runs on one VM, and its log.
type stopFixture struct {
	t          *testing.T
	o          *owner
	log        *bytes.Buffer
	now        time.Time
	report     messenger.WorkReport
	connNumber int64 // of the connection that the report is read from
}

func newStopFixture(t *testing.T) *stopFixture {
	t.Helper()
	b := &stopFixture{t: t, log: &bytes.Buffer{}, now: time.Unix(1_000_000, 0)}
	r, err := reporter.New(reporter.Config{Writer: b.log, Format: "text", Level: "info"})
	if err != nil {
		t.Fatal(err)
	}
	policy := &specifier.Policy{Version: 1, Queues: []specifier.Queue{{Name: "q", MaxFailures: 1, Slack: 2}}}
	s := New(Config{Cell: "jobs", Reporter: r, Now: func() time.Time { return b.now }, Policy: func() *specifier.Policy { return policy }})
	state := tracker.New(tracker.Config{Policy: policy})
	b.o = newOwner(s, 2, state, b.now)
	b.o.reconciled = true
	state.AddJob(&specifier.Job{ID: stoppedJob, Queue: "q", Steps: []specifier.Step{{Count: 1, LongRunning: true}}}, time.Time{}, b.now)
	b.report = messenger.WorkReport{
		VM: "vm-1", Session: 1, Process: 1, Incarnation: "1", Ready: true, Granted: true,
		VMInfo: &messenger.WorkVMInfo{Capacity: specifier.Resources{CPUMillis: 1000, MemoryMB: 1000}},
		Runs:   []messenger.WorkRun{{Task: stoppedJob + ".0.0.0", Run: 1, Confirmed: true, Progress: 100}},
	}
	return b
}

// sendReport applies the agent's report.
func (b *stopFixture) sendReport() {
	b.t.Helper()
	b.sendReportOn(nil, nil)
}

// sendReportOn applies the agent's report as read from a connection that closes connDone, and
// reports whether it was accepted.
func (b *stopFixture) sendReportOn(c *connector.Conn, connDone chan struct{}) bool {
	b.t.Helper()
	parsed, info, err := parseReport(b.report)
	if err != nil {
		b.t.Fatal(err)
	}
	e := reportReceived{conn: c, connNumber: b.connNumber, connDone: connDone, report: b.report, parsed: parsed, info: info, answer: make(chan messenger.WorkReply, 1)}
	e.apply(b.o, b.now)
	return (<-e.answer).Epoch != 0
}

// runChecks advances the time and returns the orders of the periodic checks.
func (b *stopFixture) runChecks(d time.Duration) []messenger.WorkOrder {
	b.now = b.now.Add(d)
	b.o.runChecks(b.t.Context(), b.now)
	s := b.o.sessions["vm-1"]
	orders := s.queued
	s.queued = nil
	return orders
}

func (b *stopFixture) cancel(source string) {
	recordSeen{keeper.Record{Key: CancelKey(stoppedJob), Revision: 7}, source}.apply(b.o, b.now)
}

// Guards against a cancelled job whose tasks continue without a line in the owner's log.
func TestOverdueStopReportedOnce(t *testing.T) {
	b := newStopFixture(t)
	b.sendReport()
	b.cancel(sourceHint)
	b.cancel(sourceWatch)
	if got := strings.Count(b.log.String(), "cancellation received"); got != 1 || !strings.Contains(b.log.String(), "by=hint") {
		t.Errorf("the cancellation is logged %d times: %s", got, b.log)
	}
	b.runChecks(0)
	b.sendReport()
	b.runChecks(stopOverdueAfter - time.Millisecond)
	if strings.Contains(b.log.String(), "stop overdue") {
		t.Error("logged as overdue too early")
	}
	b.sendReport()
	b.runChecks(time.Millisecond)
	b.runChecks(time.Second)
	if got := strings.Count(b.log.String(), "stop overdue"); got != 1 {
		t.Errorf("logged as overdue %d times: %s", got, b.log)
	}
}

// Guards against overdue stops that operators cannot see.
func TestOverdueStopsGauge(t *testing.T) {
	b := newStopFixture(t)
	set := metrics.NewSet()
	b.o.s.config.Metrics = NewMetrics(set)
	gauge := func() float64 { return set.GetOrCreateGauge("bamboospread_job_stops_overdue", nil).Get() }
	b.sendReport()
	b.cancel(sourceHint)
	b.runChecks(0)
	b.sendReport()
	b.runChecks(stopOverdueAfter)
	if got := gauge(); got != 1 {
		t.Errorf("%v stops are overdue, want 1", got)
	}
	b.report.Runs = nil
	b.report.OrdersSeen = 10
	b.sendReport()
	b.runChecks(minCheckInterval)
	if got := gauge(); got != 0 {
		t.Errorf("%v stops are overdue after the run has ended", got)
	}
}

// Guards against two concurrent runs of a task after a change of owner: leases that no grant allowed, set by a
// late call, last longer than any grant, and the next owner must wait for their VM as this one does.
func TestMembersAreKeptUntilUnrequestedLeasesEnd(t *testing.T) {
	const left = 10 * time.Second
	b := newStopFixture(t)
	b.o.members["vm-1"], b.o.listed["vm-1"] = true, true
	b.report.LeaseMillis = left.Milliseconds()
	b.sendReport()
	begin := b.now
	for _, tt := range []struct {
		after  time.Duration
		leaves bool
	}{
		{LeaseExpiry(DefaultGrant, DefaultStopTime) + time.Millisecond, false},
		{left + DefaultStopTime, false},
		{left + DefaultStopTime + time.Millisecond, true},
	} {
		b.now = begin.Add(tt.after)
		b.o.checkVMContact(b.now)
		if leaves := b.o.leaving["vm-1"]; leaves != tt.leaves {
			t.Errorf("removed from the members after %s: %t, want %t", tt.after, leaves, tt.leaves)
		}
		// The next owner counts on from here.
		silent := time.Duration(b.o.allSilences()["vm-1"]) * time.Millisecond
		if waits := LeaseExpiry(DefaultGrant, DefaultStopTime) - silent; waits < left+DefaultStopTime-tt.after {
			t.Errorf("the next owner waits for %s after %s, the leases last %s", waits, tt.after, left)
		}
	}
}

// Guards against two concurrent runs of a task: a worker takes up to the time of a stop to end its runs once
// their leases have expired; and its leases may last longer than any grant if a late call of its former
// incarnation has set them, and its VM is lost before they end.
func TestRunsAreKeptUntilUnrequestedLeasesEnd(t *testing.T) {
	const left = 10 * time.Second
	const stopTime = 900 * time.Millisecond
	for _, tt := range []struct {
		name        string
		leaseMillis int64
		stopTime    time.Duration
		expiry      time.Duration
	}{
		{"granted leases", 0, 0, timekeeper.Longest(DefaultGrant) + DefaultStopTime},
		{"granted leases, stop time stated", 0, stopTime, timekeeper.Longest(DefaultGrant) + stopTime},
		{"shorter than the grant", 1000, 0, timekeeper.Longest(DefaultGrant) + DefaultStopTime},
		{"longer than the grant", left.Milliseconds(), 0, left + DefaultStopTime},
		{"longer than the grant, stop time stated", left.Milliseconds(), stopTime, left + stopTime},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newStopFixture(t)
			b.o.s = New(Config{Cell: "jobs", StopTime: tt.stopTime, Reporter: b.o.s.config.Reporter, Now: b.o.s.config.Now, Policy: b.o.s.config.Policy})
			b.report.LeaseMillis = tt.leaseMillis
			b.sendReport()
			b.report.LeaseMillis = 0 // of a later report, which takes nothing back
			b.sendReport()
			vm, begin := b.o.state.VMs["vm-1"], b.now
			b.o.checkVMContact(begin.Add(tt.expiry))
			if len(vm.Runs) != 1 {
				t.Error("the run is given up while its lease lasts")
			}
			b.o.checkVMContact(begin.Add(tt.expiry + time.Millisecond))
			if len(vm.Runs) != 0 {
				t.Error("the run is not given up")
			}
		})
	}
}
