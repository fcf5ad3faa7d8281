package scheduler

import (
	"context"
	"fmt"
	"strings"
	"time"

	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
)

// Sources of a record below WorkPrefix.
const (
	sourceHint     = "hint" // from the entry that stored it
	sourceWatch    = "watch"
	sourceList     = "list" // after a gap in the history
	sourceTakeover = "takeover"
)

// recordSeen is the event of a record below WorkPrefix.
type recordSeen struct {
	record keeper.Record
	source string
}

func (e recordSeen) apply(o *owner, now time.Time) {
	o.dirty = true
	if id, ok := strings.CutPrefix(e.record.Key, cancelPrefix); ok {
		o.addCancellation(id, e, now)
		return
	}
	if o.addJob(e.record, o.reconcileTime(e.record), now) {
		id := strings.TrimPrefix(e.record.Key, jobPrefix)
		o.unknown.forget(id)
		if o.cancelled[id] {
			o.cancel(id, e, now)
		}
	}
}

// addCancellation cancels a job, or remembers the cancellation until the job's record arrives.
func (o *owner) addCancellation(id string, e recordSeen, now time.Time) {
	o.writer.raiseRevision(e.record.Key, e.record.Revision)
	if o.cancelled[id] {
		return
	}
	o.cancelled[id] = true
	delete(o.unknown.doubts, id) // with the cancellation, no write can store it
	if o.state.Jobs[id] == nil {
		o.unknown.cancels[id] = now
	}
	o.cancel(id, e, now)
}

// cancel ends a job whose cancellation is stored. The next periodic checks stop its runs.
func (o *owner) cancel(id string, e recordSeen, now time.Time) {
	runs, open := o.state.Cancel(id, now)
	if open {
		o.s.config.Reporter.Report(reporter.JobCancelReceived, reporter.Fields{"job": id, "by": e.source, "revision": e.record.Revision, "runs": runs})
	}
}

const (
	// watchWait bounds how late the owner sees a record if its watch connection stalls and the
	// entry's hint is lost.
	watchWait       = 900 * time.Millisecond
	watchRetryDelay = 200 * time.Millisecond
)

// follow watches the records that entries write. Entries also send hints to the owner; the
// watch delivers records whose hint was lost.
func (o *owner) follow(ctx context.Context) {
	after := o.watchFrom
	for ctx.Err() == nil {
		result, err := o.s.config.Store.Watch(ctx, keeper.WatchOptions{Prefix: WorkPrefix, After: after, Wait: watchWait})
		switch {
		case err == nil:
			after = max(after, result.Revision)
			for _, c := range result.Changes {
				if !c.Deleted && o.send(ctx, recordSeen{c.Record, sourceWatch}) != nil {
					return
				}
			}
		case keeper.IsErrHistoryNotExist(err):
			after = o.relist(ctx, after)
		default:
			_ = pauser.Pause(ctx, watchRetryDelay)
		}
	}
}

// relist reads all records after a gap in the history.
func (o *owner) relist(ctx context.Context, after int64) int64 {
	all, revision, err := o.s.findAll(ctx, WorkPrefix)
	if err != nil {
		o.s.config.Reporter.Report(reporter.StoreUnreachable, reporter.Fields{"error": fmt.Sprint(err), "reader": "jobs"})
		_ = pauser.Pause(ctx, watchRetryDelay)
		return after
	}
	for _, r := range all {
		if o.send(ctx, recordSeen{r, sourceList}) != nil {
			return after
		}
	}
	return revision
}
