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

// Ways in which the owner hears of a record below WorkPrefix.
const (
	seenByHint     = "hint" // of the entry that stored it
	seenByWatch    = "watch"
	seenByList     = "list" // after a gap in the history
	seenByTakeover = "takeover"
)

// recordSeen is a record below WorkPrefix.
type recordSeen struct {
	record keeper.Record
	by     string
}

func (e recordSeen) apply(o *owner, now time.Time) {
	o.dirty = true
	if id, ok := strings.CutPrefix(e.record.Key, cancelPrefix); ok {
		o.takeCancellation(id, e, now)
		return
	}
	settlesAt := time.Time{}
	if !o.settled {
		settlesAt = o.started.Add(o.s.config.Lease)
	}
	if o.takeJob(e.record, settlesAt, now) {
		id := strings.TrimPrefix(e.record.Key, jobPrefix)
		if o.cancelled[id] {
			o.cancel(id, e, now)
		}
	}
}

// takeCancellation ends a job, now or as soon as its record comes.
func (o *owner) takeCancellation(id string, e recordSeen, now time.Time) {
	if !o.cancelled[id] {
		o.cancelled[id] = true
		o.cancel(id, e, now)
	}
}

// cancel ends a job whose cancellation is stored; its runs are stopped by the next survey.
func (o *owner) cancel(id string, e recordSeen, now time.Time) {
	runs, open := o.state.Cancel(id, now)
	if open {
		o.s.config.Reporter.Report(reporter.JobCancelSeen, reporter.Fields{"job": id, "by": e.by, "revision": e.record.Revision, "runs": runs})
	}
}

const (
	// followWait bounds how late the owner hears of a record if its watch goes silent and
	// the entry's hint is lost.
	followWait  = 900 * time.Millisecond
	followPause = 200 * time.Millisecond
)

// follow watches the records that entries write. Entries also tell the owner
// themselves; the watch brings what they could not.
func (o *owner) follow(ctx context.Context) {
	after := o.followFrom
	for ctx.Err() == nil {
		seen, err := o.s.config.Store.Watch(ctx, keeper.WatchOptions{Prefix: WorkPrefix, After: after, Wait: followWait})
		switch {
		case err == nil:
			after = max(after, seen.Revision)
			for _, c := range seen.Changes {
				if !c.Deleted && o.send(ctx, recordSeen{c.Record, seenByWatch}) != nil {
					return
				}
			}
		case keeper.IsErrHistoryNotExist(err):
			after = o.listAgain(ctx, after)
		default:
			_ = pauser.Pause(ctx, followPause)
		}
	}
}

// listAgain reads all records after a gap in the history.
func (o *owner) listAgain(ctx context.Context, after int64) int64 {
	all, revision, err := o.s.findAll(ctx, WorkPrefix)
	if err != nil {
		o.s.config.Reporter.Report(reporter.StoreLost, reporter.Fields{"error": fmt.Sprint(err), "reader": "jobs"})
		_ = pauser.Pause(ctx, followPause)
		return after
	}
	for _, r := range all {
		if o.send(ctx, recordSeen{r, seenByList}) != nil {
			return after
		}
	}
	return revision
}
