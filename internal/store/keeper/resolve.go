package keeper

import (
	"bytes"
	"context"
	"errors"
	"time"
)

// Bounds of the pause between the retries of a write whose answer was lost.
const (
	minRetryPause = 10 * time.Millisecond
	maxRetryPause = 320 * time.Millisecond
)

// SwapResolved is CompareAndSwap that resolves the outcome of a write whose answer was
// lost, until ctx ends. The value must be unique to this change.
//
// After a lost answer it is unknown whether the record was written, and a delayed
// write may still take effect. Repeating the same swap is safe, since both expect
// the same revision and at most one of them can succeed. The repeat gives a definite
// answer: either it succeeds, or the conflict contains the current record. If that
// record is the one to be written, the lost write took effect. ErrOutcomeUnknown is
// returned only when there was no definite answer before ctx ended.
func (k *Keeper) SwapResolved(ctx context.Context, o SwapOptions) (int64, error) {
	pause := minRetryPause
	var unknown error // set once an answer was lost
	for {
		revision, err := k.CompareAndSwap(ctx, o)
		var conflict ErrConflict
		switch {
		case errors.As(err, &conflict):
			if isResultOf(o, conflict.Current) {
				return conflict.Current.Revision, nil
			}
			return 0, conflict // if an answer was lost, Current may have replaced this write
		case IsErrOutcomeUnknown(err):
			unknown = err
		case unknown != nil && IsErrUnavailable(err):
			// The earlier write may have taken effect; the refusal of the repeat
			// does not show whether it did.
		default:
			return revision, err
		}
		select {
		case <-ctx.Done():
			return 0, unknown
		case <-time.After(pause):
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// isResultOf reports whether r is the record that the swap o writes. The lease must
// match, too: the same value under an earlier lease is deleted when that lease ends.
func isResultOf(o SwapOptions, r Record) bool {
	return r.Revision > o.ExpectRevision && r.Lease == o.Lease && bytes.Equal(r.Value, o.Value)
}
