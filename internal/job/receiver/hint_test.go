package receiver

import (
	"context"
	"errors"
	"testing"
	"time"

	"bamboospread/internal/job/scheduler"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/messenger"
)

const hintReceiveLimit = 5 * time.Second

// newHintReceiver returns a receiver whose owner loses the given number of hints, and a channel
// of the hints that reach the owner.
func newHintReceiver(f *fakeStore, lost int) (*Receiver, <-chan messenger.WorkHint) {
	r, received := newReceiver(f, 0, nil), make(chan messenger.WorkHint, 1)
	tries := make(chan struct{}, lost)
	r.config.CallOwner = func(_ context.Context, method string, params, _ any) error {
		if method != messenger.MethodWorkHint {
			return errors.New("unavailable")
		}
		select {
		case tries <- struct{}{}:
			return errors.New("no answer")
		default:
		}
		received <- params.(messenger.WorkHint)
		return nil
	}
	return r, received
}

func awaitHint(t *testing.T, received <-chan messenger.WorkHint) messenger.WorkHint {
	t.Helper()
	select {
	case h := <-received:
		return h
	case <-time.After(hintReceiveLimit):
		t.Fatalf("no hint within %s", hintReceiveLimit)
	}
	return messenger.WorkHint{}
}

// Guards against tasks that start after a cancellation: its first hint is lost on a stalled
// connection, and the owner's watch may have stalled too.
func TestHintRepeatedUntilAcknowledged(t *testing.T) {
	f := &fakeStore{written: map[string][]byte{scheduler.JobKey(id): []byte("{}")}}
	r, received := newHintReceiver(f, 2)
	if res := r.Cancel(t.Context(), id); res.Outcome != Accepted {
		t.Fatalf("cancelling gives %d (%s)", res.Outcome, res.Reason)
	}
	if h := awaitHint(t, received); h.Key != scheduler.CancelKey(id) {
		t.Errorf("hint of %s", h.Key)
	}
}

// The answer to the write is lost and its repetition meets a conflict: the hint must hold the
// existing record.
func TestHintAfterLostAnswer(t *testing.T) {
	existing := keeper.Record{Key: scheduler.JobKey(id), Value: []byte("existing"), Revision: 3}
	f := &fakeStore{answers: []error{keeper.ErrOutcomeUnknown{Cause: errors.New("no answer")}, keeper.ErrConflict{Key: existing.Key, Current: existing}}}
	r, received := newHintReceiver(f, 0)
	if res := r.Submit(t.Context(), &specifier.Job{ID: id, Queue: "q", Steps: []specifier.Step{{Count: 1}}}); res.Outcome != Accepted {
		t.Fatalf("submitting gives %d (%s)", res.Outcome, res.Reason)
	}
	if h := awaitHint(t, received); h.Key != existing.Key || string(h.Value) != "existing" || h.Revision != existing.Revision {
		t.Errorf("hint %+v", h)
	}
}

// Guards against a second execution of a job that has ended and was removed: after a
// suspension, a process must not send an old hint.
func TestNoHintAfterTimeout(t *testing.T) {
	r, received := newHintReceiver(&fakeStore{}, 0)
	calls, began := 0, time.Now()
	r.config.Now = func() time.Time {
		calls++
		return began.Add(time.Duration(calls) * 2 * hintTimeout)
	}
	r.hint(t.Context(), keeper.Record{Key: "k"})
	select {
	case <-received:
		t.Error("a hint was sent after the timeout")
	case <-time.After(2 * hintRetryDelay):
	}
}
