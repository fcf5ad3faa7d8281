package receiver

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/job/scheduler"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/messenger"
)

var errNotOwner = errors.New("no longer owns the cell")

const id = "00000000000004d2"

// fakeStore returns the given answers to writes in order; the last one is repeated.
type fakeStore struct {
	mu          sync.Mutex
	answers     []error
	written     map[string][]byte
	calls       int
	unreachable bool // as seen by the process
}

func (f *fakeStore) transact(_ context.Context, t keeper.Transaction) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if len(f.answers) > 0 {
		err := f.answers[0]
		if len(f.answers) > 1 {
			f.answers = f.answers[1:]
		}
		if err != nil {
			return 0, err
		}
	}
	for _, p := range t.Puts {
		f.written[p.Key] = p.Value
	}
	return 7, nil
}

func (f *fakeStore) get(_ context.Context, key string) (keeper.Record, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v, ok := f.written[key]; ok {
		return keeper.Record{Key: key, Value: v, Revision: 1}, nil
	}
	return keeper.Record{}, keeper.ErrKeyNotExist{Key: key}
}

func newReceiver(f *fakeStore, age time.Duration, owner func(method string, result any) error) *Receiver {
	if f.written == nil {
		f.written = make(map[string][]byte)
	}
	if owner == nil {
		owner = func(string, any) error { return errors.New("no owner") }
	}
	return New(Config{
		Store:            keeper.Calls{Transact: f.transact, GetRecord: f.get},
		StoreAge:         func() time.Duration { return age },
		StoreUnreachable: func() bool { return f.unreachable },
		CallOwner:        func(_ context.Context, method string, _, result any) error { return owner(method, result) },
		HadNoEffect:      func(error) bool { return true },
		NotOwner:         func(err error) bool { return errors.Is(err, errNotOwner) },
		Now:              time.Now, Reporter: reporter.Discard(),
	})
}

// Outcome Refused promises that the job never runs. So it is returned only if no write took
// effect and none is in flight.
func TestSubmit(t *testing.T) {
	lost := keeper.ErrOutcomeUnknown{Cause: errors.New("no answer")}
	busy := keeper.ErrUnavailable{Cause: errors.New("busy")}
	exists := keeper.ErrConflict{Key: scheduler.JobKey(id)}
	tests := []struct {
		name        string
		answers     []error
		age         time.Duration
		want        Outcome
		calls       int // 0: any number
		unreachable bool
	}{
		{"stored", nil, 0, Accepted, 1, false},
		{"stored before", []error{exists}, 0, Accepted, 1, false},
		{"certainly not stored", []error{busy}, 0, Refused, 1, false},
		{"answer lost, then a conflict", []error{lost, exists}, 0, Accepted, 2, false},
		{"answer lost, then stored", []error{lost, nil}, 0, Accepted, 2, false},
		{"answer lost, then refused: the first write may still take effect", []error{lost, busy}, 0, OutcomeUnknown, 0, false},
		{"all answers lost", []error{lost}, 0, OutcomeUnknown, 0, false},
		{"store not reached for long", nil, time.Minute, Refused, 0, false},
		{"store unreachable recently", nil, 0, Refused, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeStore{answers: tt.answers, unreachable: tt.unreachable}
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			res := newReceiver(f, tt.age, nil).Submit(ctx, &specifier.Job{ID: id, Queue: "q", Steps: []specifier.Step{{Count: 1}}})
			if res.Outcome != tt.want || tt.calls > 0 && f.calls != tt.calls {
				t.Errorf("outcome %d (%s) after %d writes, want %d", res.Outcome, res.Reason, f.calls, tt.want)
			}
			if res.Outcome == Refused && res.RetryAfter <= 0 {
				t.Error("refused without a retry time")
			}
			if (tt.age > 0 || tt.unreachable) && f.calls > 0 {
				t.Error("a write was sent to a store that is known to be unavailable")
			}
		})
	}
}

// The store refuses this entry and serves others, so the owner stores the job. If the owner's
// answer is lost, the job may run, and the outcome must not be Refused.
func TestSubmitThroughOwner(t *testing.T) {
	busy := keeper.ErrUnavailable{Cause: errors.New("busy")}
	tests := []struct {
		name        string
		outcome     messenger.WorkStoreOutcome
		err         error
		hadNoEffect bool
		want        Outcome
	}{
		{"stored", messenger.WorkStored, nil, false, Accepted},
		{"refused at the owner too", messenger.WorkRefused, nil, false, Refused},
		{"outcome unknown at the owner", messenger.WorkOutcomeUnknown, nil, false, OutcomeUnknown},
		{"owner not reached", "", errors.New("refused"), true, Refused},
		{"owner's answer lost", "", errors.New("lost"), false, OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newReceiver(&fakeStore{answers: []error{busy}}, 0, func(method string, result any) error {
				if tt.err == nil && method == messenger.MethodWorkStore {
					*result.(*messenger.WorkStoreReply) = messenger.WorkStoreReply{Outcome: tt.outcome}
				}
				return tt.err
			})
			r.config.HadNoEffect = func(error) bool { return tt.hadNoEffect }
			if res := r.Submit(t.Context(), &specifier.Job{ID: id, Queue: "q", Steps: []specifier.Step{{Count: 1}}}); res.Outcome != tt.want {
				t.Errorf("outcome %d (%s), want %d", res.Outcome, res.Reason, tt.want)
			}
		})
	}
}

func TestState(t *testing.T) {
	tests := []struct {
		name    string
		owner   string // state in the reply of the owner; empty: no reply
		written map[string]string
		want    Outcome
		state   tracker.JobState
	}{
		{"from the owner", "running", nil, Accepted, tracker.JobRunning},
		{"stored, owner unavailable", "", map[string]string{scheduler.JobKey(id): "{}"}, Accepted, tracker.JobQueued},
		{"progress", "", map[string]string{scheduler.JobKey(id): "{}", scheduler.ProgressKey(id): `{"state":"done","ended-ms":7,"next":1,"finished":1}`}, Accepted, tracker.JobDone},
		{"cancelled", "", map[string]string{scheduler.JobKey(id): "{}", scheduler.ProgressKey(id): `{"state":"running","next":1,"open":[{"number":0,"steps":[{}]}]}`, scheduler.CancelKey(id): "1"}, Accepted, tracker.JobCancelled},
		{"cancelled after its end", "", map[string]string{scheduler.JobKey(id): "{}", scheduler.ProgressKey(id): `{"state":"done","ended-ms":7,"next":1,"finished":1}`, scheduler.CancelKey(id): "1"}, Accepted, tracker.JobDone},
		{"unknown", "", nil, NotExist, ""},
		{"unreadable", "", map[string]string{scheduler.JobKey(id): "{}", scheduler.ProgressKey(id): `{`}, Refused, ""},
		{"null", "", map[string]string{scheduler.JobKey(id): "{}", scheduler.ProgressKey(id): `null`}, Refused, ""},
		{"without a state", "", map[string]string{scheduler.JobKey(id): "{}", scheduler.ProgressKey(id): `{"next":1,"finished":1}`}, Refused, ""},
		{"of an unknown state", "", map[string]string{scheduler.JobKey(id): "{}", scheduler.ProgressKey(id): `{"state":"sleeping","next":1,"finished":1}`}, Refused, ""},
		{"done at no time", "", map[string]string{scheduler.JobKey(id): "{}", scheduler.ProgressKey(id): `{"state":"done","next":1,"finished":1}`}, Refused, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeStore{written: make(map[string][]byte)}
			for k, v := range tt.written {
				f.written[k] = []byte(v)
			}
			r := newReceiver(f, 0, func(_ string, result any) error {
				if tt.owner == "" {
					return errors.New("unavailable")
				}
				*result.(*messenger.WorkStateReply) = messenger.WorkStateReply{Known: true, State: tt.owner}
				return nil
			})
			if res := r.State(t.Context(), id); res.Outcome != tt.want || res.State != tt.state {
				t.Errorf("got %d %q (%s)", res.Outcome, res.State, res.Reason)
			}
		})
	}
}

// Guards against NotExist for a stored job: an owner that has just started may not have seen
// the job yet, so only the store proves that it does not exist.
func TestStateReadsStoreWhenOwnerLacksJob(t *testing.T) {
	f := &fakeStore{written: map[string][]byte{scheduler.JobKey(id): []byte("{}")}}
	r := newReceiver(f, 0, func(string, any) error { return nil })
	if res := r.State(t.Context(), id); res.Outcome != Accepted || res.State != tracker.JobQueued {
		t.Errorf("got %d %q", res.Outcome, res.State)
	}
}

func TestCancel(t *testing.T) {
	f := &fakeStore{}
	r := newReceiver(f, 0, nil)
	if res := r.Cancel(t.Context(), id); res.Outcome != NotExist {
		t.Errorf("cancelling an unknown job gives %d", res.Outcome)
	}
	f.written[scheduler.JobKey(id)] = []byte("{}")
	for range 2 {
		if res := r.Cancel(t.Context(), id); res.Outcome != Accepted {
			t.Errorf("cancelling gives %d (%s)", res.Outcome, res.Reason)
		}
	}
	if _, ok := f.written[scheduler.CancelKey(id)]; !ok {
		t.Error("the cancellation is not stored")
	}
}

// If only this entry cannot reach the store, the caller's next attempt succeeds at another
// entry. Its retry time must be shorter than during an outage that affects all entries.
func TestRetryAfterOfRefusedSubmission(t *testing.T) {
	tests := []struct {
		name         string
		owner        func(method string, result any) error
		duringOutage bool
	}{
		{"the owner is not reached", func(string, any) error { return errors.New("no route") }, false},
		{"the cell has no owner", func(string, any) error { return errNotOwner }, true},
		{"the owner cannot reach the store either", func(_ string, result any) error {
			result.(*messenger.WorkStoreReply).Outcome = messenger.WorkRefused
			return nil
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newReceiver(&fakeStore{unreachable: true}, 6*time.Second, tt.owner)
			res := r.Submit(t.Context(), &specifier.Job{ID: id})
			if res.Outcome != Refused || res.RetryAfter < minRetryAfter || (res.RetryAfter > minRetryAfter) != tt.duringOutage {
				t.Errorf("got %+v", res)
			}
		})
	}
}
