package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"bamboospread/internal/job/planner"
	"bamboospread/internal/job/sharer"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/reporter"
)

const (
	// shareReportAfter is how long an account is far above its share, or has tasks that wait at its
	// quota, before that is logged.
	shareReportAfter = 2 * time.Second
	// shareReportInterval is the time between such log lines on an account.
	shareReportInterval = 30 * time.Second
	// shareReportsPerUpdate bounds the log lines of an update.
	shareReportsPerUpdate = 4
	// accountMetricsInterval is the time between updates of the metrics of accounts.
	accountMetricsInterval = time.Second
)

// accountShares is what the owner keeps on shares beside the ledger.
type accountShares struct {
	reclaimedAt time.Time                // of the latest round of reclaims
	atQuota     map[sharer.Key]time.Time // since when tasks wait at the quota
	reportedAt  map[sharer.Key]time.Time // when the state of a row was last logged
	countedAt   time.Time                // when the metrics were last set; zero: shares are not asked for
}

// updateShares computes the standings of the client accounts.
func (o *owner) updateShares(now time.Time) {
	if !o.asked().Shares {
		if o.shares.countedAt != (time.Time{}) {
			o.s.config.Metrics.accounts(nil)
			o.shares = accountShares{}
		}
		return
	}
	demands := planner.Demands(o.state, now)
	o.load.sharer.Update(sharer.Input{
		Now: now, Capacity: o.capacity(now), Demands: demands, Unreported: !o.reconciled,
		Accounts: func(name string) specifier.Account { return o.state.Policy().AccountByName(name) },
	})
	if now.Sub(o.shares.countedAt) >= accountMetricsInterval {
		o.shares.countedAt = now
		o.s.config.Metrics.accounts(o.load.sharer.Standings())
	}
	o.reportShares(now)
	o.reclaim(now)
}

// capacity returns the capacity of the VMs that accept tasks.
func (o *owner) capacity(now time.Time) (sum specifier.Resources) {
	for _, vm := range o.state.VMs {
		if vm.Attached && vm.Ready && !vm.Quarantined(now) && !o.state.Policy().ZonesOut[vm.Zone] {
			sum = sum.Add(vm.Capacity)
		}
	}
	return sum
}

// reclaim stops best-effort runs whose room another account is entitled to and waits for.
func (o *owner) reclaim(now time.Time) {
	if now.Sub(o.shares.reclaimedAt) < planner.ReclaimInterval || o.isPolicyStale() {
		return
	}
	for _, c := range planner.Reclaims(o.input(now)) {
		o.shares.reclaimedAt = now
		if !o.interrupt(c.Run, planner.ReclaimCause) {
			continue
		}
		giver, taker := c.Run.Step().Occurrence.Job, c.For.Occurrence.Job
		o.s.config.Metrics.reclaimed(giver.Spec.Account)
		from, to := o.load.sharer.Standing(giver.Spec.Account, giver.Queue.Priority), o.load.sharer.Standing(taker.Spec.Account, taker.Queue.Priority)
		o.s.config.Reporter.Report(reporter.RunReclaimed, reporter.Fields{
			"task": c.Run.Key().Task.String(), "run": c.Run.Number, "vm": c.Run.VM.Name, "account": planner.AccountName(giver.Spec.Account), "use": from.Use, "share": from.Share,
			"for": planner.AccountName(taker.Spec.Account), "for-use": to.Use, "for-share": to.Share, "for-step": c.For.Name(), "waited": now.Sub(c.For.ReadyAt).String(),
			"lost": c.Lost.String(), "rest": c.Rest.String(),
		})
	}
}

// reportShares logs the accounts that have been far above their share, or held at their quota, for
// long, those with the largest use first.
func (o *owner) reportShares(now time.Time) {
	if o.shares.atQuota == nil {
		o.shares.atQuota, o.shares.reportedAt = make(map[sharer.Key]time.Time), make(map[sharer.Key]time.Time)
	}
	standings := o.load.sharer.Standings()
	var due []sharer.Key
	for k, st := range standings {
		held := st.OverQuota && st.Waits
		if since, known := o.shares.atQuota[k]; !held {
			delete(o.shares.atQuota, k)
		} else if !known {
			o.shares.atQuota[k] = now
		} else if now.Sub(since) >= shareReportAfter && o.reportDue(k, now) {
			due = append(due, k)
			continue
		}
		if !st.FarSince.IsZero() && now.Sub(st.FarSince) >= shareReportAfter && o.reportDue(k, now) {
			due = append(due, k)
		}
	}
	for k, at := range o.shares.reportedAt {
		if now.Sub(at) > 2*shareReportInterval {
			delete(o.shares.reportedAt, k)
		}
	}
	for k := range o.shares.atQuota {
		if _, ok := standings[k]; !ok {
			delete(o.shares.atQuota, k)
		}
	}
	slices.SortFunc(due, func(a, b sharer.Key) int {
		return cmp.Or(cmp.Compare(standings[b].Use, standings[a].Use), cmp.Compare(fmt.Sprint(a), fmt.Sprint(b)))
	})
	for _, k := range due[:min(len(due), shareReportsPerUpdate)] {
		o.shares.reportedAt[k] = now
		o.reportShare(k, standings[k], now)
	}
}

func (o *owner) reportDue(k sharer.Key, now time.Time) bool {
	at, known := o.shares.reportedAt[k]
	return !known || now.Sub(at) >= shareReportInterval
}

func (o *owner) reportShare(k sharer.Key, st sharer.Standing, now time.Time) {
	settings := o.state.Policy().AccountByName(k.Account)
	fields := reporter.Fields{
		"account": planner.AccountName(k.Account), "priority": k.Priority, "lasting": k.LongRunning, "share": st.Share, "use": st.Use, "recent": st.Recent,
		"wants": st.Wants, "weight": settings.Weight, "policy": o.state.Policy().Version,
	}
	if since, held := o.shares.atQuota[k]; held {
		fields["since"], fields["quota-cpu"], fields["quota-memory-mb"] = now.Sub(since).String(), settings.Quota.CPUMillis, settings.Quota.MemoryMB
		o.s.config.Reporter.Report(reporter.AccountAtQuota, fields)
		return
	}
	fields["since"] = now.Sub(st.FarSince).String()
	o.s.config.Reporter.Report(reporter.AccountAboveShare, fields)
}
