package scheduler

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

const stoppedJob = "00000000000004d2"

// stopBed is an owner of one lasting task that runs on one VM, with its log.
type stopBed struct {
	t      *testing.T
	o      *owner
	log    *bytes.Buffer
	now    time.Time
	report messenger.WorkReport
}

func newStopBed(t *testing.T) *stopBed {
	t.Helper()
	b := &stopBed{t: t, log: &bytes.Buffer{}, now: time.Unix(1_000_000, 0)}
	r, err := reporter.New(reporter.Config{Writer: b.log, Format: "text", Level: "info"})
	if err != nil {
		t.Fatal(err)
	}
	policy := &specifier.Policy{Version: 1, Queues: []specifier.Queue{{Name: "q", MaxFailures: 1, Slack: 2}}}
	s := New(Config{Cell: "jobs", Reporter: r, Now: func() time.Time { return b.now }, Policy: func() *specifier.Policy { return policy }})
	state := accountant.New(accountant.Config{Policy: policy})
	b.o = newOwner(s, 2, state, b.now)
	b.o.settled = true
	state.AddJob(&specifier.Job{ID: stoppedJob, Queue: "q", Steps: []specifier.Step{{Count: 1, Lasting: true}}}, time.Time{}, b.now)
	b.report = messenger.WorkReport{
		VM: "vm-1", Session: 1, Process: 1, Life: "1", Ready: true, Granted: true,
		Facts: &messenger.WorkFacts{Capacity: specifier.Resources{CPUMillis: 1000, MemoryMB: 1000}},
		Runs:  []messenger.WorkRun{{Task: stoppedJob + ".0.0.0", Run: 1, Confirmed: true, Progress: 100}},
	}
	return b
}

// hear applies the agent's report.
func (b *stopBed) hear() {
	b.t.Helper()
	b.tell(nil, nil)
}

// tell applies the agent's report, read from a connection with which gone ends, and tells
// whether it was taken.
func (b *stopBed) tell(c *connector.Conn, gone chan struct{}) bool {
	b.t.Helper()
	read, facts, err := readReport(b.report)
	if err != nil {
		b.t.Fatal(err)
	}
	e := reportMade{conn: c, gone: gone, report: b.report, read: read, facts: facts, answer: make(chan messenger.WorkReply, 1)}
	e.apply(b.o, b.now)
	return (<-e.answer).Epoch != 0
}

// survey lets so much time pass and returns the orders of a survey.
func (b *stopBed) survey(d time.Duration) []messenger.WorkOrder {
	b.now = b.now.Add(d)
	b.o.survey(b.t.Context(), b.now)
	s := b.o.sessions["vm-1"]
	orders := s.queued
	s.queued = nil
	return orders
}

func (b *stopBed) cancel(by string) {
	recordSeen{keeper.Record{Key: CancelKey(stoppedJob), Revision: 7}, by}.apply(b.o, b.now)
}

// Guards against a cancelled job whose tasks run on without a line in the owner's log.
func TestStopsWithoutEffectAreTold(t *testing.T) {
	b := newStopBed(t)
	b.hear()
	b.cancel(seenByHint)
	b.cancel(seenByWatch)
	if got := strings.Count(b.log.String(), "cancellation taken in"); got != 1 || !strings.Contains(b.log.String(), "by=hint") {
		t.Errorf("the cancellation is told %d times: %s", got, b.log)
	}
	b.survey(0)
	b.hear()
	b.survey(stopOverdue - time.Millisecond)
	if strings.Contains(b.log.String(), "stop overdue") {
		t.Error("told as overdue too early")
	}
	b.hear()
	b.survey(time.Millisecond)
	b.survey(time.Second)
	if got := strings.Count(b.log.String(), "stop overdue"); got != 1 {
		t.Errorf("told as overdue %d times: %s", got, b.log)
	}
}

// Guards against operators who can't see that stops are not carried out.
func TestTheGaugeTellsHowManyStopsAreOverdue(t *testing.T) {
	b := newStopBed(t)
	set := metrics.NewSet()
	b.o.s.config.Meters = NewMeters(set)
	gauge := func() float64 { return set.GetOrCreateGauge("bamboospread_job_stops_overdue", nil).Get() }
	b.hear()
	b.cancel(seenByHint)
	b.survey(0)
	b.hear()
	b.survey(stopOverdue)
	if got := gauge(); got != 1 {
		t.Errorf("%v stops are overdue, want 1", got)
	}
	b.report.Runs = nil
	b.report.OrdersSeen = 10
	b.hear()
	b.survey(surveyGap)
	if got := gauge(); got != 0 {
		t.Errorf("%v stops are overdue once the run is gone", got)
	}
}
