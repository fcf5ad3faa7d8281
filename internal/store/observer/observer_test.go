package observer

import (
	"context"
	"errors"
	"testing"
	"time"

	"bamboospread/internal/store/keeper"
)

// Guards against callers that learn seconds late that their jobs were not accepted: the store
// is unreachable, and each entry retries every write until its caller's timeout. The store
// counts as unreachable from the third consecutive call without an answer until the next answer.
// A negative answer is also an answer.
func TestUnreachable(t *testing.T) {
	unavailable := keeper.ErrUnavailable{Cause: errors.New("reset")}
	unknown := keeper.ErrOutcomeUnknown{Cause: errors.New("no answer")}
	tests := []struct {
		name      string
		results   []error
		cancelled bool
		want      bool
	}{
		{"no call yet", nil, false, false},
		{"two failures", []error{unavailable, unknown}, false, false},
		{"three failures", []error{unknown, unavailable, unavailable}, false, true},
		{"an answer in between", []error{unknown, unknown, nil, unknown, unknown}, false, false},
		{"a failed condition in between", []error{unknown, unknown, keeper.ErrConflict{}, unknown, unknown}, false, false},
		{"a missing key at the end", []error{unknown, unknown, unknown, keeper.ErrKeyNotExist{}}, false, false},
		{"cancelled calls", []error{unavailable, unavailable, unavailable}, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			o := New(func() time.Time { return now })
			if o.Age() < time.Hour {
				t.Error("Age is below an hour before any call")
			}
			ctx, cancel := context.WithCancel(t.Context())
			if tt.cancelled {
				cancel()
			}
			defer cancel()
			for _, result := range tt.results {
				calls := o.Observe(keeper.Calls{GetRecord: func(context.Context, string) (keeper.Record, error) {
					now = now.Add(time.Second)
					return keeper.Record{}, result
				}})
				if _, err := calls.GetRecord(ctx, "k"); (err == nil) != (result == nil) {
					t.Fatalf("got %v, want %v", err, result)
				}
			}
			if o.Unreachable() != tt.want {
				t.Errorf("Unreachable is %t", o.Unreachable())
			}
			if n := len(tt.results); n > 0 && tt.results[n-1] == nil && o.Age() != time.Second {
				t.Errorf("Age is %s, want 1s since the call was sent", o.Age())
			}
		})
	}
}
