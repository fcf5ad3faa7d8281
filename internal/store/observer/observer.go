// Package observer determines from the results of a process's calls whether the store
// is reachable.
package observer

import (
	"context"
	"sync"
	"time"

	"bamboospread/internal/store/keeper"
)

// unreachableAfterFailures is how many consecutive calls must fail before the store counts as
// unreachable. If a third of the answers to writes are lost, three consecutive writes fail in
// one case of 27, and reads in between are answered.
const unreachableAfterFailures = 3

// Observer records the results of calls. It is safe for concurrent use.
type Observer struct {
	now       func() time.Time
	mu        sync.Mutex
	reachedAt time.Time // when the last call that was answered was sent; zero: none
	failures  int       // consecutive
}

// New returns an Observer that has recorded no call.
func New(now func() time.Time) *Observer { return &Observer{now: now} }

// Age returns how long ago the store was definitely reachable.
func (o *Observer) Age() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reachedAt.IsZero() {
		return 1 << 62
	}
	return o.now().Sub(o.reachedAt)
}

// Unreachable reports whether at least the last unreachableAfterFailures calls all failed.
func (o *Observer) Unreachable() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.failures >= unreachableAfterFailures
}

// record records the result of a call. A failed condition and a missing key are answers.
func (o *Observer) record(ctx context.Context, sentAt time.Time, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case !keeper.IsErrUnavailable(err) && !keeper.IsErrOutcomeUnknown(err):
		o.failures = 0
		if sentAt.After(o.reachedAt) {
			o.reachedAt = sentAt
		}
	case ctx.Err() == nil: // otherwise the caller cancelled the call, which is no failure of the store
		o.failures++
	}
}

// Observe returns calls whose results are recorded.
func (o *Observer) Observe(c keeper.Calls) keeper.Calls {
	return keeper.Calls{
		GetRecord: func(ctx context.Context, key string) (keeper.Record, error) {
			return observed(ctx, o, func() (keeper.Record, error) { return c.GetRecord(ctx, key) })
		},
		FindRecords: func(ctx context.Context, l keeper.ListOptions) (keeper.ListResult, error) {
			return observed(ctx, o, func() (keeper.ListResult, error) { return c.FindRecords(ctx, l) })
		},
		Transact: func(ctx context.Context, t keeper.Transaction) (int64, error) {
			return observed(ctx, o, func() (int64, error) { return c.Transact(ctx, t) })
		},
		GrantLease: func(ctx context.Context, ttl time.Duration) (keeper.Lease, error) {
			return observed(ctx, o, func() (keeper.Lease, error) { return c.GrantLease(ctx, ttl) })
		},
		KeepAlive: func(ctx context.Context, lease int64) error {
			_, err := observed(ctx, o, func() (struct{}, error) { return struct{}{}, c.KeepAlive(ctx, lease) })
			return err
		},
		RevokeLease: func(ctx context.Context, lease int64) error {
			_, err := observed(ctx, o, func() (struct{}, error) { return struct{}{}, c.RevokeLease(ctx, lease) })
			return err
		},
		Watch: func(ctx context.Context, w keeper.WatchOptions) (keeper.WatchResult, error) {
			return observed(ctx, o, func() (keeper.WatchResult, error) { return c.Watch(ctx, w) })
		},
	}
}

// observed makes a call and records its result.
func observed[A any](ctx context.Context, o *Observer, call func() (A, error)) (A, error) {
	sentAt := o.now()
	a, err := call()
	o.record(ctx, sentAt, err)
	return a, err
}
