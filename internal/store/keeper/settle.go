package keeper

import (
	"bytes"
	"context"
	"errors"
	"time"
)

// Pauses between the repeats of a write whose answer was lost.
const (
	settlePauseFirst = 10 * time.Millisecond
	settlePauseLast  = 320 * time.Millisecond
)

// SwapSettled is CompareAndSwap that finds out within ctx what became of a write
// whose answer was lost. The value must be unique to this change.
//
// A lost answer leaves open whether the record was written, and a delayed write
// may still come. Repeating the same swap is harmless, since both name the same
// expected revision and at most one of them can win; and it gives a definite
// answer: either it wins, or the conflict shows the record that stands. If that
// record is the one written, the lost write took effect. ErrOutcomeUnknown is
// left only when no definite answer came within ctx.
func (k *Keeper) SwapSettled(ctx context.Context, o SwapOptions) (int64, error) {
	pause := settlePauseFirst
	var unknown error // set once an answer was lost
	for {
		revision, err := k.CompareAndSwap(ctx, o)
		var conflict ErrConflict
		switch {
		case errors.As(err, &conflict):
			if isWritten(o, conflict.Current) {
				return conflict.Current.Revision, nil
			}
			conflict.AfterLoss = unknown != nil
			return 0, conflict
		case IsErrOutcomeUnknown(err):
			unknown = err
		case unknown != nil && IsErrUnavailable(err):
			// The earlier write may have had its effect: a refusal of the
			// repeat says nothing about it.
		default:
			return revision, err
		}
		select {
		case <-ctx.Done():
			return 0, unknown
		case <-time.After(pause):
		}
		pause = min(2*pause, settlePauseLast)
	}
}

// isWritten tells whether r is what the swap o writes. The lease counts too: the
// same bytes under an earlier lease go when that one ends.
func isWritten(o SwapOptions, r Record) bool {
	return r.Revision > o.ExpectRevision && r.Lease == o.Lease && bytes.Equal(r.Value, o.Value)
}
