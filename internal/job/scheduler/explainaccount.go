package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"bamboospread/internal/job/planner"
	"bamboospread/internal/job/sharer"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/wire/messenger"
)

// explainAccount returns the standing of a client account.
func (o *owner) explainAccount(ctx context.Context, r messenger.WorkAccountRequest) (messenger.WorkAccountReply, error) {
	return ask(ctx, o, func(o *owner) messenger.WorkAccountReply { return o.accountStatus(r.Account, o.s.config.Now()) })
}

func (o *owner) accountStatus(asked string, now time.Time) messenger.WorkAccountReply {
	name := asked
	if name == messenger.NoAccount {
		name = ""
	}
	settings, defined := o.state.Policy().AccountByName(name), o.state.Policy().HasAccount(name)
	a := messenger.WorkAccountReply{Account: asked, Epoch: o.epoch, Shared: o.asked().Shares, Defined: defined, Weight: settings.Weight, Quota: settings.Quota}
	for _, j := range o.state.Jobs {
		if j.Spec.Account == name && !j.State.Final() {
			a.Jobs++
		}
	}
	for h, held := range o.state.Usage() {
		if h.Account == name {
			a.Held = a.Held.Add(held)
		}
	}
	a.Known = defined || a.Jobs > 0
	if !a.Shared {
		return a
	}
	in := o.input(now)
	for k, st := range o.load.sharer.Standings() {
		if k.Account == name {
			a.Known = true
			a.Rows = append(a.Rows, accountRow(in, k, st))
		}
	}
	o.countWaiting(a.Rows, name, now)
	slices.SortFunc(a.Rows, func(x, y messenger.WorkAccountRow) int {
		if x.Priority != y.Priority {
			return cmp.Compare(x.Priority, y.Priority)
		}
		if x.LongRunning {
			return 1
		}
		return -1
	})
	return a
}

func accountRow(in planner.Input, k sharer.Key, st sharer.Standing) messenger.WorkAccountRow {
	row := messenger.WorkAccountRow{
		Priority: k.Priority, LongRunning: k.LongRunning, Share: st.Share, Use: st.Use, Recent: st.Recent, Wants: st.Wants,
		Precedence: st.Precedence, AtQuota: st.OverQuota,
	}
	if !st.FarSince.IsZero() {
		row.FarMillis = in.Now.Sub(st.FarSince).Milliseconds()
	}
	row.Ahead = accountNames(planner.AccountsAhead(in, k))
	if st.Wants > 0 {
		row.Behind = accountNames(planner.AccountsBehind(in, k))
	}
	return row
}

// maxAccountsNamed bounds the accounts that a row names.
const maxAccountsNamed = 20

func accountNames(names []string) []string {
	named := make([]string, 0, len(names))
	for _, n := range names[:min(len(names), maxAccountsNamed)] {
		named = append(named, planner.AccountName(n))
	}
	return named
}

// countWaiting adds the waiting tasks of an account to its rows.
func (o *owner) countWaiting(rows []messenger.WorkAccountRow, name string, now time.Time) {
	for _, s := range o.state.WaitingSteps(now) {
		j := s.Occurrence.Job
		if j.Spec.Account != name {
			continue
		}
		i := slices.IndexFunc(rows, func(r messenger.WorkAccountRow) bool {
			return r.Priority == j.Queue.Priority && r.LongRunning == s.Spec.LongRunning
		})
		if i < 0 {
			continue // it has come since the latest update
		}
		for _, t := range s.Tasks {
			if t.Waits(now) {
				rows[i].Waiting++
				rows[i].LongestMillis = max(rows[i].LongestMillis, now.Sub(waitsSince(s, t)).Milliseconds())
			}
		}
	}
}

// waitsSince returns since when a task waits for room.
func waitsSince(s *tracker.Step, t *tracker.Task) time.Time {
	if t.WaitSince.Before(s.ReadyAt) {
		return s.ReadyAt
	}
	return t.WaitSince
}
