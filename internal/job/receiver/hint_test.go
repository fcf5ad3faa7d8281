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

const hintedWithin = 5 * time.Second

// hinted returns a receiver whose owner loses the given number of hints, and the hints
// that it takes.
func hinted(f *fakeStore, lost int) (*Receiver, <-chan messenger.WorkHint) {
	r, taken := newReceiver(f, 0, nil), make(chan messenger.WorkHint, 1)
	tries := make(chan struct{}, lost)
	r.config.CallOwner = func(_ context.Context, method string, params, _ any) error {
		if method != messenger.MethodWorkHint {
			return errors.New("away")
		}
		select {
		case tries <- struct{}{}:
			return errors.New("no answer")
		default:
		}
		taken <- params.(messenger.WorkHint)
		return nil
	}
	return r, taken
}

func awaitHint(t *testing.T, taken <-chan messenger.WorkHint) messenger.WorkHint {
	t.Helper()
	select {
	case h := <-taken:
		return h
	case <-time.After(hintedWithin):
		t.Fatalf("the owner was not told within %s", hintedWithin)
	}
	return messenger.WorkHint{}
}

// The first hint of a cancellation is lost on a connection that went silent, as the
// owner's watch may have: tasks would start after it until the watch ends.
func TestHintIsRepeatedUntilTheOwnerTookIt(t *testing.T) {
	f := &fakeStore{written: map[string][]byte{scheduler.JobKey(id): []byte("{}")}}
	r, taken := hinted(f, 2)
	if res := r.Cancel(t.Context(), id); res.Outcome != Accepted {
		t.Fatalf("cancelling gives %d (%s)", res.Outcome, res.Reason)
	}
	if h := awaitHint(t, taken); h.Key != scheduler.CancelKey(id) {
		t.Errorf("the owner was told of %s", h.Key)
	}
}

// The answer to the write is lost and its repeat meets the record: the owner is told of
// the record that stands.
func TestHintAfterALostAnswer(t *testing.T) {
	stands := keeper.Record{Key: scheduler.JobKey(id), Value: []byte("stands"), Revision: 3}
	f := &fakeStore{answers: []error{keeper.ErrOutcomeUnknown{Cause: errors.New("no answer")}, keeper.ErrConflict{Key: stands.Key, Current: stands}}}
	r, taken := hinted(f, 0)
	if res := r.Submit(t.Context(), &specifier.Job{ID: id, Queue: "q", Steps: []specifier.Step{{Count: 1}}}); res.Outcome != Accepted {
		t.Fatalf("submitting gives %d (%s)", res.Outcome, res.Reason)
	}
	if h := awaitHint(t, taken); h.Key != stands.Key || string(h.Value) != "stands" || h.Revision != stands.Revision {
		t.Errorf("the owner was told of %+v", h)
	}
}

// A process that was suspended tells nothing of long ago: the job may have ended and been
// forgotten since, and would run again.
func TestNoHintOfLongAgo(t *testing.T) {
	r, taken := hinted(&fakeStore{}, 0)
	calls, began := 0, time.Now()
	r.config.Now = func() time.Time {
		calls++
		return began.Add(time.Duration(calls) * 2 * hintLimit)
	}
	r.hint(t.Context(), keeper.Record{Key: "k"})
	select {
	case <-taken:
		t.Error("the owner was told")
	case <-time.After(2 * hintPause):
	}
}
