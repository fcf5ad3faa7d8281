package receiver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/job/admitter"
	"bamboospread/internal/job/scheduler"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/messenger"
)

// testClock is the clock of an entry.
type testClock struct {
	mu sync.Mutex
	at time.Time
}

func newTestClock() *testClock { return &testClock{at: time.UnixMilli(50_000_000)} }

func (c *testClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

func (c *testClock) pass(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = c.at.Add(d)
}

var admissionPolicy = &specifier.Policy{
	Version: 1, Load: specifier.LoadControl{Admission: true},
	Queues: []specifier.Queue{{Name: "q", Priority: 2, Slack: 2, Target: time.Second}},
}

// newEntry returns a receiver with admission. Its jobs have a limit of 15 s and a chain of 2 s.
func newEntry(s *swapStore, c *testClock, log *bytes.Buffer) *Receiver {
	r := reporter.Discard()
	if log != nil {
		var err error
		if r, err = reporter.New(reporter.Config{Writer: log, Level: "info", Format: "text"}); err != nil {
			panic(err)
		}
	}
	return New(Config{
		Store:            keeper.Calls{Transact: s.transact, GetRecord: s.get},
		StoreAge:         func() time.Duration { return 0 },
		StoreUnreachable: func() bool { return false },
		CallOwner: func(_ context.Context, method string, _, _ any) error {
			if method == messenger.MethodWorkHint {
				return nil
			}
			return errors.New("no owner")
		},
		HadNoEffect: func(error) bool { return true },
		NotOwner:    func(error) bool { return false },
		Admission:   NewAdmission(AdmissionConfig{Policy: func() *specifier.Policy { return admissionPolicy }, Now: c.now, Reporter: r}),
		Now:         c.now, Reporter: r,
	})
}

// useBacklog gives an entry a table with the given seconds of work ahead.
func useBacklog(t *testing.T, r *Receiver, version int64, seconds float64) {
	t.Helper()
	raw, err := json.Marshal(admitter.Table{
		Format: admitter.Format, Epoch: 1, Version: version, Entries: 1,
		Rows: []admitter.Row{{Queue: "q", Drain: 100, OnTime: []admitter.Point{{Work: seconds * 100}}, Ahead: []admitter.Point{{Work: seconds * 100}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	r.config.Admission.Use(1, &messenger.AdmissionUpdate{Epoch: 1, Version: version, Table: raw}, r.config.Now())
}

func admissionJob() *specifier.Job {
	return &specifier.Job{ID: id, Queue: "q", Steps: []specifier.Step{{Count: 1, EstimateMillis: 2000, Needs: specifier.Resources{CPUMillis: 1000}}}}
}

func submit(t *testing.T, r *Receiver) Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	return r.Submit(ctx, admissionJob())
}

func check(t *testing.T, what string, res Result, outcome Outcome, notAdmitted bool) {
	t.Helper()
	if res.Outcome != outcome || res.NotAdmitted != notAdmitted {
		t.Errorf("%s: outcome %d (%s), not admitted %t; want %d, %t", what, res.Outcome, res.Reason, res.NotAdmitted, outcome, notAdmitted)
	}
}

func TestRefusalIsStoredAndIsNoJob(t *testing.T) {
	s, c := newSwapStore(), newTestClock()
	r := newEntry(s, c, nil)
	check(t, "without a table", New(r.config).State(t.Context(), id), NotExist, false)
	useBacklog(t, r, 1, 60)
	res := submit(t, r)
	check(t, "submission", res, Refused, true)
	if res.RetryAfter < time.Second || !strings.Contains(res.Reason, "no room") {
		t.Errorf("refused with %+v", res)
	}
	if s.has(scheduler.JobKey(id)) || !s.has(scheduler.RefusalKey(id)) {
		t.Errorf("stored: %v", s.records)
	}
	check(t, "state", r.State(t.Context(), id), NotExist, false)
	check(t, "cancellation", r.Cancel(t.Context(), id), NotExist, false)
}

// Guards against a job that runs although its caller was told that it never does: the write of an
// earlier attempt is carried out after the refusal, at another entry.
func TestLateWriteOfAnEarlierAttemptFails(t *testing.T) {
	s, c := newSwapStore(), newTestClock()
	first, second := newEntry(s, c, nil), newEntry(s, c, nil)
	s.hold = 1000
	check(t, "first attempt", submit(t, first), OutcomeUnknown, false)
	s.hold = 0
	useBacklog(t, second, 1, 60)
	check(t, "second attempt", submit(t, second), Refused, true)
	s.release()
	if s.has(scheduler.JobKey(id)) {
		t.Error("a refused job is stored")
	}
}

// Guards against the same while the earlier attempt still repeats its write: it must not take the
// refusal for one that its caller has returned after.
func TestConcurrentAttemptDoesNotReplaceARefusal(t *testing.T) {
	s, c := newSwapStore(), newTestClock()
	first, second := newEntry(s, c, nil), newEntry(s, c, nil)
	useBacklog(t, second, 1, 60)
	s.hold = 1
	done := make(chan Result)
	go func() { done <- submit(t, first) }()
	for deadline := time.Now().Add(time.Second); ; {
		s.mu.Lock()
		n := len(s.held)
		s.mu.Unlock()
		if n > 0 || time.Now().After(deadline) {
			break
		}
		time.Sleep(time.Millisecond)
	}
	check(t, "second attempt", submit(t, second), Refused, true)
	c.pass(2 * time.Minute) // the return time has passed on the first entry's clock
	check(t, "first attempt", <-done, Refused, true)
	s.release()
	if s.has(scheduler.JobKey(id)) {
		t.Error("a refused job is stored")
	}
}

// Guards against the same for a caller that returns: the write of its first return is carried out after
// its second return was refused.
func TestLateWriteOfAReturnFails(t *testing.T) {
	s, c := newSwapStore(), newTestClock()
	r, other := newEntry(s, c, nil), newEntry(s, c, nil)
	useBacklog(t, r, 1, 60)
	res := submit(t, r)
	c.pass(res.RetryAfter)
	s.mu.Lock()
	revision := s.records[scheduler.RefusalKey(id)].Revision
	s.mu.Unlock()
	late := keeper.Transaction{
		Expect:  []keeper.Expectation{{Key: scheduler.JobKey(id)}, {Key: scheduler.RefusalKey(id), Revision: revision}},
		Puts:    []keeper.Put{{Key: scheduler.JobKey(id), Value: []byte("{}")}},
		Removes: []string{scheduler.RefusalKey(id)},
	}
	useBacklog(t, other, 1, 60)
	check(t, "second return", submit(t, other), Refused, true)
	s.held = append(s.held, late)
	s.release()
	if s.has(scheduler.JobKey(id)) {
		t.Error("a refused job is stored")
	}
}

func TestRefusalOfAStoredJobIsAccepted(t *testing.T) {
	s, c := newSwapStore(), newTestClock()
	check(t, "first attempt", submit(t, newEntry(s, c, nil)), Accepted, false)
	r := newEntry(s, c, nil)
	useBacklog(t, r, 1, 60)
	check(t, "repeated", submit(t, r), Accepted, false)
	if s.has(scheduler.RefusalKey(id)) {
		t.Error("a refusal of a stored job")
	}
}

// Guards against a caller that returns in time and counts as a new one, against a late repeat that is
// taken for a return, and against a caller who comes early and loses its place, or finds no room where
// there is some.
func TestReturn(t *testing.T) {
	s, c := newSwapStore(), newTestClock()
	r, other := newEntry(s, c, nil), newEntry(s, c, nil)
	first := c.now()
	useBacklog(t, r, 1, 20)
	res := submit(t, r)
	check(t, "submission", res, Refused, true)
	if res.RetryAfter < 5*time.Second {
		t.Fatalf("refused with %+v", res)
	}
	c.pass(minRetryAfter - time.Millisecond)
	check(t, "at once, though there is room", submit(t, other), Refused, true)
	c.pass(time.Millisecond) // a repeat does not put off when the caller is judged again
	useBacklog(t, r, 2, 20)
	early := submit(t, r)
	check(t, "before its time", early, Refused, true)
	if left := res.RetryAfter - c.now().Sub(first); early.RetryAfter != left {
		t.Errorf("returns in %s, want the time that was given, in %s", early.RetryAfter, left)
	}
	c.pass(early.RetryAfter)
	check(t, "in time", submit(t, other), Accepted, false)
	if s.has(scheduler.RefusalKey(id)) {
		t.Error("the refusal is still stored")
	}
	j, err := tracker.DecodeJob(s.records[scheduler.JobKey(id)].Value)
	if err != nil {
		t.Fatal(err)
	}
	if j.AcceptedMillis != first.UnixMilli() || j.StartByMillis != first.Add(13*time.Second).UnixMilli() {
		t.Errorf("accepted %d ms and to start by %d ms after it first came", j.AcceptedMillis-first.UnixMilli(), j.StartByMillis-first.UnixMilli())
	}
}

// What the caller hears while the store fails: never that the job was refused if that is not certain.
func TestRefusalWhileTheStoreFails(t *testing.T) {
	tests := []struct {
		name        string
		fail        func(s *swapStore, r *Receiver)
		want        Outcome
		notAdmitted bool
		reason      string
	}{
		{"answer lost, then known", func(s *swapStore, _ *Receiver) { s.lost = 1 }, Refused, true, "no room"},
		{"no answer", func(s *swapStore, _ *Receiver) { s.dead = true }, OutcomeUnknown, false, "no answer"},
		{"store refuses", func(s *swapStore, _ *Receiver) { s.away = true }, Refused, false, "busy"},
		{"store not reached for long", func(_ *swapStore, r *Receiver) { r.config.StoreAge = func() time.Duration { return time.Minute } }, Refused, false, "store not reached"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSwapStore()
			r := newEntry(s, newTestClock(), nil)
			useBacklog(t, r, 1, 60)
			tt.fail(s, r)
			res := submit(t, r)
			check(t, "submission", res, tt.want, tt.notAdmitted)
			if !strings.Contains(res.Reason, tt.reason) || tt.want == Refused && res.RetryAfter <= 0 {
				t.Errorf("got %+v", res)
			}
		})
	}
}

// Guards against a refused job that is stored through the owner by an entry that cannot read the store.
func TestOwnerDoesNotStoreARefusedJob(t *testing.T) {
	s, c := newSwapStore(), newTestClock()
	r, owner := newEntry(s, c, nil), newEntry(s, c, nil)
	useBacklog(t, r, 1, 60)
	check(t, "submission", submit(t, r), Refused, true)
	c.pass(2 * time.Minute)
	value, err := json.Marshal(admissionJob())
	if err != nil {
		t.Fatal(err)
	}
	q := messenger.WorkStoreRequest{Key: scheduler.JobKey(id), Value: value}
	if a := owner.StoreForEntry(t.Context(), q); a.Outcome != messenger.WorkRefused || s.has(q.Key) {
		t.Errorf("answer %+v, stored %t", a, s.has(q.Key))
	}
	delete(s.records, scheduler.RefusalKey(id))
	if a := owner.StoreForEntry(t.Context(), q); a.Outcome != messenger.WorkStored || string(s.records[q.Key].Value) != string(value) {
		t.Errorf("answer %+v, stored %s", a, s.records[q.Key].Value)
	}
}

// Guards against refusals without the owner: an entry that is cut from it, one whose owner gives no
// tables, and one that cannot read them, accept.
func TestNoRefusalWithoutATableInForce(t *testing.T) {
	tests := []struct {
		name string
		lose func(r *Receiver, c *testClock)
		log  int // lines on unusable tables
	}{
		{"cut from the owner", func(_ *Receiver, c *testClock) { c.pass(admitter.TableTTL + time.Millisecond) }, 0},
		{"next owner is an older build", func(r *Receiver, c *testClock) { r.config.Admission.Use(2, nil, c.now()) }, 0},
		{"tables of a newer format", func(r *Receiver, c *testClock) {
			for v := range int64(3) {
				r.config.Admission.Use(1, &messenger.AdmissionUpdate{Epoch: 1, Version: 2 + v, Table: json.RawMessage(`{"format":9}`)}, c.now())
			}
		}, 1},
		{"damaged table", func(r *Receiver, c *testClock) {
			r.config.Admission.Use(1, &messenger.AdmissionUpdate{Epoch: 1, Version: 2, Table: json.RawMessage(`{"format":1,"rows":7}`)}, c.now())
		}, 1},
		{"table that was old when it was sent", func(r *Receiver, c *testClock) {
			c.pass(admitter.TableTTL + time.Millisecond)
			raw, _ := json.Marshal(admitter.Table{Format: admitter.Format, Epoch: 1, Version: 2, Rows: []admitter.Row{{Queue: "q", Drain: 1, OnTime: []admitter.Point{{Work: 1e6}}, Ahead: []admitter.Point{{Work: 1e6}}}}})
			r.config.Admission.Use(1, &messenger.AdmissionUpdate{Epoch: 1, Version: 2, AgeMillis: admitter.TableTTL.Milliseconds() + 1, Table: raw}, c.now())
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var log bytes.Buffer
			s, c := newSwapStore(), newTestClock()
			r := newEntry(s, c, &log)
			useBacklog(t, r, 1, 60)
			tt.lose(r, c)
			check(t, "submission", submit(t, r), Accepted, false)
			if got := strings.Count(log.String(), "event=1014"); got != tt.log {
				t.Errorf("%d lines on unusable tables, want %d:\n%s", got, tt.log, log.String())
			}
		})
	}
}

// Guards against a log that grows with the refusals.
func TestRefusalLinesAreBounded(t *testing.T) {
	var log bytes.Buffer
	s, c := newSwapStore(), newTestClock()
	r := newEntry(s, c, &log)
	useBacklog(t, r, 1, 60)
	for range 3 * refusalLinesPerSecond {
		submit(t, r)
	}
	if got := strings.Count(log.String(), "event=1010"); got != refusalLinesPerSecond {
		t.Errorf("%d lines, want %d", got, refusalLinesPerSecond)
	}
	c.pass(time.Second)
	submit(t, r)
	if !strings.Contains(log.String(), "skipped=40") {
		t.Error("the skipped lines are not counted")
	}
}

// Without admission a submission is one write under the conditions that the job is new and not cancelled.
func TestSubmissionWithoutAdmission(t *testing.T) {
	s, c := newSwapStore(), newTestClock()
	r := newEntry(s, c, nil)
	r.config.Admission.config.Policy = func() *specifier.Policy { return &specifier.Policy{Version: 1, Queues: admissionPolicy.Queues} }
	useBacklog(t, r, 1, 60)
	var sent []keeper.Transaction
	r.config.Store.Transact = func(ctx context.Context, t keeper.Transaction) (int64, error) {
		sent = append(sent, t)
		return s.transact(ctx, t)
	}
	check(t, "submission", submit(t, r), Accepted, false)
	want := []keeper.Expectation{{Key: scheduler.JobKey(id)}, {Key: scheduler.CancelKey(id)}}
	if len(sent) != 1 || !slices.Equal(sent[0].Expect, want) || strings.Contains(string(sent[0].Puts[0].Value), "start-by") || r.config.Admission.State() != nil {
		t.Errorf("sent %+v", sent)
	}
}

// Guards against a caller that retries more often than once a second and is never judged again.
func TestRepeatsDoNotPutOffTheNextDecision(t *testing.T) {
	s, c := newSwapStore(), newTestClock()
	r, other := newEntry(s, c, nil), newEntry(s, c, nil)
	useBacklog(t, r, 1, 20)
	check(t, "submission", submit(t, r), Refused, true)
	c.pass(minRetryAfter - time.Millisecond)
	check(t, "repeat", submit(t, other), Refused, true)
	c.pass(time.Millisecond)
	check(t, "a second after the decision", submit(t, other), Accepted, false)
}
