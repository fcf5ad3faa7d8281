package scheduler

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/kernel/timekeeper"
	"bamboospread/internal/store/keeper"
)

// reconcile ends the wait for VMs that may run tasks of earlier owners: each has reported, or its leases
// have certainly ended.
func (o *owner) reconcile(now time.Time) {
	if o.reconciled {
		return
	}
	for n := range o.unreported {
		if o.hasLapsed(n, now) {
			delete(o.unreported, n)
			o.lapsed = append(o.lapsed, n)
		}
	}
	if waiting := o.state.Reconcile(len(o.unreported) == 0, now); waiting > 0 || len(o.unreported) > 0 {
		o.reportAwaited(now)
		return
	}
	// Urgent tasks may wait as they did under the former owner; without this, the long-running tasks
	// that have yielded to them would start again before that shows.
	o.reconciled, o.urgentDelayedAt = true, now
	o.s.config.Reporter.Report(reporter.CellReconciled, reporter.Fields{"epoch": o.epoch, "unheard": len(o.lapsed) + len(o.unreported), "lapsed": firstNames(o.lapsed), "after": now.Sub(o.started).String()})
}

// reconcileTime returns when all runs under earlier owners of the tasks of a job have certainly ended. It is zero
// if no earlier owner can have started any.
//
// The store may drop the lease of the former owner early. That owner goes on until the lease has expired by its
// own clock, and starts tasks of jobs that are accepted meanwhile, on VMs that still follow it.
func (o *owner) reconcileTime(job keeper.Record) time.Time {
	if o.reconciled || o.revisionAfterFormer > 0 && job.Revision > o.revisionAfterFormer {
		return time.Time{}
	}
	last := o.formerLeaseEnd()
	for _, at := range o.silences.earlier {
		if at.After(last) { // leases that no grant allowed may outlast those of the former owner
			last = at
		}
	}
	return last.Add(o.leaseExpiry())
}

// formerLeaseEnd returns when the lease of the former owner has certainly expired by that owner's own clock, which
// may be slow. The store may have dropped it as early as this ownership began.
func (o *owner) formerLeaseEnd() time.Time {
	return o.started.Add(timekeeper.Longest(o.s.config.Lease))
}

// findFormerLeaseOver reads a revision of the store once the lease of the former owner has certainly expired.
func (o *owner) findFormerLeaseOver(ctx context.Context) {
	if pauser.Pause(ctx, o.formerLeaseEnd().Sub(o.s.config.Now())) != nil {
		return
	}
	for ctx.Err() == nil {
		found, err := o.s.config.Store.FindRecords(ctx, keeper.ListOptions{Prefix: o.s.membersKey(), Limit: 1})
		if err == nil {
			_ = o.send(ctx, formerLeaseOver{found.Revision}) // fails only if the loop has ended
			return
		}
		_ = pauser.Pause(ctx, retryDelay)
	}
}

// formerLeaseOver is the event that the lease of the former owner had expired when the store was at a revision.
type formerLeaseOver struct{ revision int64 }

func (e formerLeaseOver) apply(o *owner, _ time.Time) { o.revisionAfterFormer = e.revision }

// reportAwaited logs once which members an owner waits for that have not reported by now.
func (o *owner) reportAwaited(now time.Time) {
	if o.awaitedReported || len(o.unreported) == 0 || now.Sub(o.started) < reportTimeout {
		return
	}
	o.awaitedReported = true
	longest := time.Duration(0)
	for n := range o.unreported {
		longest = max(longest, o.leaseExpiry()-now.Sub(o.lastGrant(n)))
	}
	o.s.config.Reporter.Report(reporter.MembersAwaited, reporter.Fields{"epoch": o.epoch, "members": len(o.unreported), "vms": firstNames(slices.Collect(maps.Keys(o.unreported))), "at-most": longest.String()})
}

// maxNames bounds the names in a line of the log.
const maxNames = 8

// firstNames returns the first names in alphabetical order, for the log.
func firstNames(names []string) string {
	sorted := slices.Sorted(slices.Values(names))
	return strings.Join(sorted[:min(len(sorted), maxNames)], " ")
}
