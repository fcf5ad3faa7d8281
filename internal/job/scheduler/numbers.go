package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
)

// runsPerEpoch is how many numbers of runs of a task an epoch has.
const runsPerEpoch = 1000

// numbers keeps the numbers of an owner's runs below those of the next owner. An owner that uses up the numbers
// of its epoch takes those of the epochs above: it raises the record of the epoch, so that the next owner, also
// of an earlier build, has a higher one.
type numbers struct {
	taken      atomic.Int64 // highest epoch whose numbers are this owner's
	most       int64        // highest epoch that may be taken
	highest    int64        // number that a run has, or waits for
	storing    bool         // a write is in flight
	retryAfter time.Time
}

// mayNumber reports whether a run may have a number now. It is false while the epoch that the number belongs to
// is not taken yet.
func (o *owner) mayNumber(n int64) bool {
	taken := o.numbers.taken.Load()
	// An epoch must not exceed the revision of its record (see decodeEpoch). No owner has had such a number.
	if n > max(taken+1, o.numbers.most)*runsPerEpoch {
		return true
	}
	o.numbers.highest = max(o.numbers.highest, n)
	return n <= taken*runsPerEpoch
}

// takeNumbers takes a further epoch once half the numbers of the last one are used up.
func (o *owner) takeNumbers(ctx context.Context) {
	now, taken := o.s.config.Now(), o.numbers.taken.Load()
	if o.numbers.storing || now.Before(o.numbers.retryAfter) || o.numbers.highest <= taken*runsPerEpoch-runsPerEpoch/2 {
		return
	}
	o.numbers.storing = true
	e := &numbersTaken{upTo: max(taken+1, (o.numbers.highest+runsPerEpoch-1)/runsPerEpoch)}
	go func() {
		e.err = o.writeEpoch(ctx, e.upTo)
		_ = o.send(context.WithoutCancel(ctx), e) // fails only if the loop has ended
	}()
}

func (o *owner) writeEpoch(ctx context.Context, epoch int64) error {
	value, err := json.Marshal(epoch)
	if err != nil {
		return fmt.Errorf("encode epoch: %w", err)
	}
	return o.writer.put(ctx, []keeper.Put{{Key: o.s.epochKey(), Value: value}})
}

type numbersTaken struct {
	upTo int64
	err  error
}

func (e *numbersTaken) apply(o *owner, now time.Time) {
	o.numbers.storing = false
	if e.err != nil {
		o.numbers.retryAfter = now.Add(flushRetryDelay)
		o.s.config.Reporter.Report(reporter.ProgressNotStored, reporter.Fields{"epoch": e.upTo, "error": e.err.Error()})
		return
	}
	o.numbers.taken.Store(e.upTo)
	o.dirty = true // starts may wait for it
	// The next owner uses the record of silent members of the epoch before its own only.
	o.silences.returned = o.silences.returned || len(o.silences.named) > 0
	o.s.config.Reporter.Report(reporter.RunNumbersTaken, reporter.Fields{"epoch": o.epoch, "up-to": e.upTo, "highest": o.numbers.highest})
}
