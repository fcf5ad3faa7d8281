package follower

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/messenger"
)

// Guards against an owner that takes its own answer for a confirmation, since an age that is rounded down
// looks newer, and leaves the store alone for as long as if the policy were known to be the newest.
func TestOwnAnswerConfirmsNothing(t *testing.T) {
	now := time.Now()
	var f *Follower
	f = New(Config{Prefix: "op/", Decode: decode, Reporter: reporter.Discard(), Now: func() time.Time { return now }, AskOwner: func(_ context.Context, q messenger.WorkPolicyRequest) (messenger.WorkPolicyReply, error) {
		return f.Records(q), nil
	}})
	f.after = 1
	f.confirm(now, false)
	now = now.Add(3*time.Second + 700*time.Microsecond)
	if f.askOwner(t.Context()) {
		t.Error("the policy counts as confirmed")
	}
	if want := 3*time.Second + 700*time.Microsecond; f.Age() != want {
		t.Errorf("age %s, want %s", f.Age(), want)
	}
}

// Guards against an entry that leaves the store alone because the owner, which has not reached it for
// almost as long, knows the policy a little newer.
func TestOldConfirmationDelaysNoRead(t *testing.T) {
	tests := []struct {
		name string
		age  time.Duration // of the owner's policy
		want time.Duration
	}{
		{"in time", watchWait, askInterval},
		{"old before the next request", confirmedAge - 100*time.Millisecond, retryDelay},
		{"old", 3 * time.Second, retryDelay},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var failed atomic.Bool
			answered := make(chan time.Time, 1)
			s := &fakeStore{value: "5", revision: 1}
			w := New(Config{
				Store: keeper.Calls{FindRecords: s.find, Watch: func(ctx context.Context, o keeper.WatchOptions) (keeper.WatchResult, error) {
					if failed.CompareAndSwap(false, true) {
						return keeper.WatchResult{}, keeper.ErrUnavailable{Cause: errors.New("no answer")}
					}
					select {
					case answered <- time.Now():
					default:
					}
					return s.watch(ctx, o)
				}},
				Prefix: "op/", Decode: decode, Now: time.Now, Reporter: reporter.Discard(),
				AskOwner: func(_ context.Context, q messenger.WorkPolicyRequest) (messenger.WorkPolicyReply, error) {
					return messenger.WorkPolicyReply{Revision: q.After, AgeMillis: tt.age.Milliseconds()}, nil
				},
			})
			at := time.Now().Add(-4 * time.Second)
			w.contact.Store(&at)
			w.after, w.records = 1, map[string][]byte{"op/config": []byte("5")}
			startedAt := time.Now()
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- w.Run(ctx) }()
			t.Cleanup(func() { cancel(); <-ended })
			const margin = 200 * time.Millisecond // for a busy machine
			if took := (<-answered).Sub(startedAt); took < tt.want || took > tt.want+margin {
				t.Errorf("the store is asked again after %s, want %s", took, tt.want)
			}
		})
	}
}

// Guards against a caller that is refused by a queue's absence, a start, or another entry that is sent the
// records, by the old policy and the age of the new one while the new one is being decoded.
func TestAgeIsNeverThatOfALaterPolicy(t *testing.T) {
	now := time.Now()
	var f *Follower
	var ages []time.Duration
	f = New(Config{Prefix: "op/", Reporter: reporter.Discard(), Now: func() time.Time { return now }, Decode: func(records map[string][]byte) (*specifier.Policy, error) {
		if a := f.Records(messenger.WorkPolicyRequest{After: 1}); f.Policy().Version > 0 {
			ages = append(ages, f.Age(), time.Duration(a.AgeMillis)*time.Millisecond)
		}
		return decode(records)
	}})
	f.after, f.records = 1, map[string][]byte{"op/config": []byte("2")}
	f.confirm(now, true)
	now = now.Add(5 * time.Second)
	f.after, f.records = 2, map[string][]byte{"op/config": []byte("4")}
	f.confirm(now, true)
	if f.Policy().Version != 4 || f.Age() != 0 {
		t.Errorf("version %d, age %s", f.Policy().Version, f.Age())
	}
	for _, age := range ages {
		if age != 5*time.Second {
			t.Errorf("version 2 is %s old while version 4 is decoded", age)
		}
	}
	if len(ages) != 2 {
		t.Errorf("%d ages", len(ages))
	}
}
