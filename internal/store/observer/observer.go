// Package observer notes from the calls that a process makes whether it reaches the
// store.
package observer

import (
	"context"
	"sync"
	"time"

	"bamboospread/internal/store/keeper"
)

// lostAfter is how many calls in a row must fail before the store counts as lost. A
// store that loses a third of the answers to writes fails three in a row in one case
// of 27, and reads in between are answered.
const lostAfter = 3

// Observer notes calls. It is safe for concurrent use.
type Observer struct {
	now      func() time.Time
	mu       sync.Mutex
	reached  time.Time // sent time of the last call that was answered; zero: none was
	failures int       // in a row
}

// New returns an Observer that has seen no call.
func New(now func() time.Time) *Observer { return &Observer{now: now} }

// Age is how long ago the store was surely reached.
func (o *Observer) Age() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reached.IsZero() {
		return 1 << 62
	}
	return o.now().Sub(o.reached)
}

// Lost tells that the latest calls all failed.
func (o *Observer) Lost() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.failures >= lostAfter
}

// note takes the end of a call. A refused condition and a missing key are answers.
func (o *Observer) note(ctx context.Context, sentAt time.Time, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case !keeper.IsErrUnavailable(err) && !keeper.IsErrOutcomeUnknown(err):
		o.failures = 0
		if sentAt.After(o.reached) {
			o.reached = sentAt
		}
	case ctx.Err() == nil: // else its caller gave it up, which tells nothing
		o.failures++
	}
}

// Observe returns calls that are noted.
func (o *Observer) Observe(c keeper.Calls) keeper.Calls {
	return keeper.Calls{
		GetRecord: func(ctx context.Context, key string) (keeper.Record, error) {
			return noted(ctx, o, func() (keeper.Record, error) { return c.GetRecord(ctx, key) })
		},
		FindRecords: func(ctx context.Context, l keeper.ListOptions) (keeper.ListResult, error) {
			return noted(ctx, o, func() (keeper.ListResult, error) { return c.FindRecords(ctx, l) })
		},
		Transact: func(ctx context.Context, t keeper.Transaction) (int64, error) {
			return noted(ctx, o, func() (int64, error) { return c.Transact(ctx, t) })
		},
		GrantLease: func(ctx context.Context, ttl time.Duration) (keeper.Lease, error) {
			return noted(ctx, o, func() (keeper.Lease, error) { return c.GrantLease(ctx, ttl) })
		},
		KeepAlive: func(ctx context.Context, lease int64) error {
			_, err := noted(ctx, o, func() (struct{}, error) { return struct{}{}, c.KeepAlive(ctx, lease) })
			return err
		},
		RevokeLease: func(ctx context.Context, lease int64) error {
			_, err := noted(ctx, o, func() (struct{}, error) { return struct{}{}, c.RevokeLease(ctx, lease) })
			return err
		},
		Watch: func(ctx context.Context, w keeper.WatchOptions) (keeper.WatchResult, error) {
			return noted(ctx, o, func() (keeper.WatchResult, error) { return c.Watch(ctx, w) })
		},
	}
}

func noted[A any](ctx context.Context, o *Observer, call func() (A, error)) (A, error) {
	sentAt := o.now()
	a, err := call()
	o.note(ctx, sentAt, err)
	return a, err
}
