package receiver

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/job/scheduler"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/messenger"
)

// lateFixture is an entry with a store that carries out writes late, and its owner's process.
type lateFixture struct {
	*Receiver
	store  *swapStore
	owner  *Receiver
	mu     sync.Mutex
	now    time.Time
	reply  messenger.WorkStateReply
	doubts []string // that the owner was told of
}

func newLateFixture(a *Admission) *lateFixture {
	f := &lateFixture{store: newSwapStore(), now: time.Unix(1_000_000, 0)}
	config := Config{
		Store: keeper.Calls{Transact: f.store.transact, GetRecord: f.store.get}, StoreAge: func() time.Duration { return 0 },
		StoreUnreachable: func() bool { return false }, CallOwner: f.callOwner, HadNoEffect: func(error) bool { return true },
		NotOwner: func(error) bool { return false }, Admission: a, Now: f.time, Reporter: reporter.Discard(),
	}
	f.Receiver, f.owner = New(config), New(config)
	return f
}

func (f *lateFixture) time() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *lateFixture) callOwner(_ context.Context, method string, params, result any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch method {
	case messenger.MethodWorkState:
		*result.(*messenger.WorkStateReply) = f.reply
	case messenger.MethodWorkDoubt:
		f.doubts = append(f.doubts, params.(messenger.WorkStateRequest).Job)
	default:
		return errors.New("not reached")
	}
	return nil
}

// submit submits the job, for long enough for a few attempts.
func (f *lateFixture) submit(t *testing.T, r *Receiver) Outcome {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 120*time.Millisecond)
	defer cancel()
	return r.Submit(ctx, &specifier.Job{ID: id, Queue: "q", Steps: []specifier.Step{{Count: 1}}}).Outcome
}

// Guards against a job that starts after its cancellation was acknowledged: its submission had an unknown
// outcome, the cancellation found no job, and the write of the submission was carried out later.
func TestCancelledJobIsNotStoredLate(t *testing.T) {
	tests := []struct {
		name   string
		submit func(t *testing.T, f *lateFixture) Outcome
	}{
		{"by the entry", func(t *testing.T, f *lateFixture) Outcome { return f.submit(t, f.Receiver) }},
		{"by the owner for an entry", func(t *testing.T, f *lateFixture) Outcome {
			ctx, cancel := context.WithTimeout(t.Context(), 120*time.Millisecond)
			defer cancel()
			if f.owner.StoreForEntry(ctx, messenger.WorkStoreRequest{Key: scheduler.JobKey(id), Value: []byte(`{}`)}).Outcome != messenger.WorkOutcomeUnknown {
				return Refused
			}
			return OutcomeUnknown
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newLateFixture(nil)
			f.store.hold = 100
			if got := tt.submit(t, f); got != OutcomeUnknown {
				t.Fatalf("the submission gives %d", got)
			}
			f.store.hold = 0
			other := New(f.config) // another entry, which knows of nothing
			if res := other.Cancel(t.Context(), id); res.Outcome != NotExist {
				t.Errorf("the cancellation gives %d (%s)", res.Outcome, res.Reason)
			}
			f.store.release()
			if f.store.has(scheduler.JobKey(id)) {
				t.Error("the job is stored after its cancellation")
			}
			if res := other.State(t.Context(), id); res.Outcome != NotExist {
				t.Errorf("the state is %d (%s)", res.Outcome, res.Reason)
			}
		})
	}
}

// Guards against the same where admission decides on submissions.
func TestCancelledJobIsNotAdmittedLate(t *testing.T) {
	f := newLateFixture(nil)
	a := &attempt{r: f.Receiver, job: &specifier.Job{ID: id}, received: f.now}
	late, err := a.transaction()
	if err != nil {
		t.Fatal(err)
	}
	f.Cancel(t.Context(), id)
	var conflict keeper.ErrConflict
	if _, err := f.store.transact(t.Context(), late); !errors.As(err, &conflict) || conflict.Key != scheduler.CancelKey(id) {
		t.Errorf("the write gives %v", err)
	}
	if res := a.store(t.Context()); res.Outcome != Refused || !res.cancelled {
		t.Errorf("a later attempt gives %+v", res)
	}
}

// Guards against a submission that arrives after the cancellation of its job and runs.
func TestSubmissionAfterCancellationIsRefused(t *testing.T) {
	f := newLateFixture(nil)
	f.Cancel(t.Context(), id)
	if got := f.submit(t, f.Receiver); got != Refused || f.store.has(scheduler.JobKey(id)) {
		t.Errorf("the submission gives %d", got)
	}
}

// Guards against callers who are told that a job does not exist, or will never run, while a write may
// still store it.
func TestJobInDoubtIsNotDenied(t *testing.T) {
	tests := []struct {
		name   string
		during func(t *testing.T, f *lateFixture)
		state  Outcome
		submit Outcome
	}{
		{"at once", func(*testing.T, *lateFixture) {}, Refused, OutcomeUnknown},
		{"when late writes have been carried out", func(_ *testing.T, f *lateFixture) { f.now = f.now.Add(scheduler.LateWriteTime) }, NotExist, Refused},
		{"after its cancellation", func(t *testing.T, f *lateFixture) {
			f.store.away = false
			f.Cancel(t.Context(), id)
			f.store.away = true
		}, NotExist, Refused},
		{"at another entry, by the owner", func(_ *testing.T, f *lateFixture) {
			f.Receiver, f.reply = New(f.config), messenger.WorkStateReply{InDoubt: true}
		}, Refused, Refused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newLateFixture(nil)
			f.store.dead = true
			if got := f.submit(t, f.Receiver); got != OutcomeUnknown {
				t.Fatalf("the submission gives %d", got)
			}
			f.store.dead, f.store.away = false, true
			tt.during(t, f)
			if res := f.State(t.Context(), id); res.Outcome != tt.state || res.Outcome == Refused && res.RetryAfter <= 0 {
				t.Errorf("the state is %d (%s)", res.Outcome, res.Reason)
			}
			if got := f.submit(t, f.Receiver); got != tt.submit {
				t.Errorf("the second submission gives %d, want %d", got, tt.submit)
			}
		})
	}
}

// Guards against a job in doubt that only the entry of its submission knows of.
func TestOwnerIsToldOfDoubt(t *testing.T) {
	f := newLateFixture(nil)
	f.store.dead = true
	f.submit(t, f.Receiver)
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		f.mu.Lock()
		told := len(f.doubts)
		f.mu.Unlock()
		if told > 0 {
			return
		}
	}
	t.Error("the owner is not told")
}

// Guards against an entry that keeps a job in doubt for every submission of a long outage.
func TestDoubtsAreBounded(t *testing.T) {
	var d doubts
	now := time.Unix(1_000_000, 0)
	for n := range 3 * maxDoubts {
		d.add(fmt.Sprint(n), now)
	}
	if len(d.until) > maxDoubts || len(d.order) > maxDoubts || !d.contains(fmt.Sprint(3*maxDoubts-1), now) || d.contains("0", now) {
		t.Errorf("%d jobs are kept", len(d.until))
	}
	d.add("last", now.Add(scheduler.LateWriteTime))
	if len(d.until) != 1 || len(d.order) != 1 {
		t.Errorf("%d jobs are kept after their time", len(d.until))
	}
}

// Guards against an owner that keeps a cancellation for every id that callers make up.
func TestCancellationOfUnknownJobIsRefusedIfOwnerIsFull(t *testing.T) {
	f := newLateFixture(nil)
	f.reply = messenger.WorkStateReply{CancelsFull: true}
	if res := f.Cancel(t.Context(), id); res.Outcome != Refused || res.RetryAfter <= 0 || f.store.has(scheduler.CancelKey(id)) {
		t.Errorf("got %d (%s)", res.Outcome, res.Reason)
	}
}
