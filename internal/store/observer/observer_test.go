package observer

import (
	"context"
	"errors"
	"testing"
	"time"

	"bamboospread/internal/store/keeper"
)

// Callers are told seconds late that their jobs were not taken. The store is away,
// and each entry tries every write until its caller's time is over. From the third
// call in a row without an answer the store counts as lost, and with the first answer
// it is back; an answer that says no is an answer.
func TestLost(t *testing.T) {
	unavailable := keeper.ErrUnavailable{Cause: errors.New("reset")}
	unknown := keeper.ErrOutcomeUnknown{Cause: errors.New("no answer")}
	tests := []struct {
		name   string
		ends   []error
		gaveUp bool
		want   bool
	}{
		{"no call yet", nil, false, false},
		{"two failures", []error{unavailable, unknown}, false, false},
		{"three failures", []error{unknown, unavailable, unavailable}, false, true},
		{"an answer between", []error{unknown, unknown, nil, unknown, unknown}, false, false},
		{"a refused condition between", []error{unknown, unknown, keeper.ErrConflict{}, unknown, unknown}, false, false},
		{"a missing key at last", []error{unknown, unknown, unknown, keeper.ErrKeyNotExist{}}, false, false},
		{"calls given up", []error{unavailable, unavailable, unavailable}, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			o := New(func() time.Time { return now })
			if o.Age() < time.Hour {
				t.Error("reached before any call")
			}
			ctx, cancel := context.WithCancel(t.Context())
			if tt.gaveUp {
				cancel()
			}
			defer cancel()
			for _, end := range tt.ends {
				calls := o.Observe(keeper.Calls{GetRecord: func(context.Context, string) (keeper.Record, error) {
					now = now.Add(time.Second)
					return keeper.Record{}, end
				}})
				if _, err := calls.GetRecord(ctx, "k"); (err == nil) != (end == nil) {
					t.Fatalf("got %v, want %v", err, end)
				}
			}
			if o.Lost() != tt.want {
				t.Errorf("lost: %t", o.Lost())
			}
			if n := len(tt.ends); n > 0 && tt.ends[n-1] == nil && o.Age() != time.Second {
				t.Errorf("age %s, want a second: it counts from when the call was sent", o.Age())
			}
		})
	}
}
