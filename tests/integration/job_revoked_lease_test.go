package integration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/job/scheduler"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/operator/requester"
	"bamboospread/internal/service/agent"
	"bamboospread/internal/standin/storer"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/messenger"
	"bamboospread/tests/harness"
	"bamboospread/tests/proxy"
)

const (
	revokedEntries  = 3
	revokedVMs      = 3
	revokedInterval = 150 * time.Millisecond // between jobs
	revokedJob      = "00000000000004d9"     // is accepted once there is another owner
	// revokedRunsPerEpoch is the distance between the numbers of runs of two owners.
	revokedRunsPerEpoch = 1000
)

// revocation is the end of the lease of a cell's owner in the store, before it has expired.
type revocation struct {
	cell   string
	divide func(owner *harness.Entry) // is called before
	faults storer.Faults              // of the store, from then on
}

// revokeOwner ends the lease of the owner of a cell. It returns that owner and its epoch, and when its lease has
// certainly not expired yet by its own clock.
func revokeOwner(t *testing.T, k *harness.Cluster, rev revocation) (former *harness.Entry, epoch int64, at time.Time) {
	t.Helper()
	store := keeper.New(keeper.Config{URL: k.StoreURL})
	harness.WaitFor(t, jobTimeout, "the end of the owner's lease", func(ctx context.Context) error {
		record, o, err := readOwner(ctx, store, rev.cell)
		if err != nil {
			return err
		}
		former, epoch = k.Entries[slices.IndexFunc(k.Entries, func(e *harness.Entry) bool { return e.Name == o.EntryID })], o.Epoch
		rev.divide(former)
		k.SetStore(rev.faults)
		at = time.Now()
		return store.RevokeLease(ctx, record.Lease)
	})
	return former, epoch, at
}

// readOwner reads the record of a cell's owner, which has published it.
func readOwner(ctx context.Context, store *keeper.Keeper, cell string) (record keeper.Record, o messenger.CellOwner, err error) {
	record, err = store.GetRecord(ctx, "cells/"+cell+"/owner")
	if err == nil {
		err = json.Unmarshal(record.Value, &o)
	}
	if err == nil && o.Epoch == 0 {
		err = errors.New("the owner is taking over")
	}
	return record, o, err
}

// awaitNextOwner waits until a cell has an owner after an epoch, and returns the epoch of that one.
func awaitNextOwner(t *testing.T, k *harness.Cluster, cell string, epoch int64) (next int64) {
	t.Helper()
	store := keeper.New(keeper.Config{URL: k.StoreURL})
	harness.WaitFor(t, jobTimeout, "the next owner", func(ctx context.Context) error {
		_, o, err := readOwner(ctx, store, cell)
		if err == nil && o.Epoch <= epoch {
			err = errors.New("none yet")
		}
		next = o.Epoch
		return err
	})
	return next
}

// submitShortJobs submits jobs of 6 to 8 tasks of 0.6 to 3 s to each entry in turn until ctx ends, and returns
// once the outcome of each submission is known.
func (r *jobTestbed) submitShortJobs(ctx context.Context) {
	var operators []*requester.Requester
	for _, e := range r.Entries {
		operators = append(operators, requester.New(requester.Config{Entries: []string{e.HTTP}}))
	}
	var submissions sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		j := &specifier.Job{
			ID: fmt.Sprintf("%016x", 0x2000+n), Queue: []string{"labels", "sorting"}[n%2], Payload: fmt.Sprintf(`{"run-ms":%d}`, 600+r.random.IntN(2400)),
			Steps: []specifier.Step{{Count: 6 + r.random.IntN(3), EstimateMillis: 2000, Needs: specifier.Resources{CPUMillis: 100, MemoryMB: 64}}},
		}
		submissions.Go(func() { r.submitTo(operators[n%len(operators)], j) })
		wait(ctx, revokedInterval)
	}
	submissions.Wait()
}

// divideAgents resets the links between the first agent and the owner, and cuts those between the other agents
// and all other entries.
func (r *jobTestbed) divideAgents(owner *harness.Entry) {
	r.reuniteAgents()
	owner.RPCLink.SetFor(r.JobVMs[0].Agent.Name, proxy.Faults{Refuse: true})
	for _, vm := range r.JobVMs[1:] {
		for _, e := range r.Entries {
			if e != owner {
				e.RPCLink.SetFor(vm.Agent.Name, proxy.Faults{Cut: proxy.BothDirections})
			}
		}
	}
}

// reuniteAgents ends the faults of divideAgents.
func (r *jobTestbed) reuniteAgents() {
	for _, e := range r.Entries {
		e.RPCLink.Reset()
	}
}

// useAllVMs starts tasks on each VM and waits until they run.
func (r *jobTestbed) useAllVMs() {
	r.t.Helper()
	n := len(r.JobVMs)
	r.submit(&specifier.Job{ID: "00000000000004d8", Queue: "sorting", Payload: `{"run-ms":6000}`, Steps: []specifier.Step{
		{Count: n, MaxPerVM: 1, EstimateMillis: 6000, Needs: specifier.Resources{CPUMillis: 100, MemoryMB: 64}},
	}})
	r.awaitStartsSince(time.Time{}, n)
}

// checkStartedOnce checks that no task had two runs at once, and that none started again after a run that was
// done, unless the leases had expired before that was acknowledged.
func (r *jobTestbed) checkStartedOnce() {
	r.t.Helper()
	var atOnce, again []string
	for task, runs := range spans(r.JobEvents()) {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				text := fmt.Sprintf("%s: run %d on %s from %s to %s, run %d on %s from %s", task, a.run, a.vm, formatTime(a.from), formatTime(a.to), b.run, b.vm, formatTime(b.from))
				switch {
				case a.to.IsZero() || b.from.Before(a.to):
					atOnce = append(atOnce, text)
				case a.outcome == "done" && !a.expired:
					again = append(again, text)
				}
			}
		}
	}
	if len(atOnce) > 0 {
		r.t.Errorf("%d cases of two runs at once:\n%s", len(atOnce), strings.Join(atOnce, "\n"))
	}
	if len(again) > 0 {
		r.t.Errorf("%d starts after an end as done:\n%s", len(again), strings.Join(again, "\n"))
	}
}

// countStartsBefore returns how many tasks of revokedJob the owners before an epoch have started.
func (r *jobTestbed) countStartsBefore(epoch int64) (n int) {
	for _, e := range r.startsSince(time.Time{}) {
		if strings.HasPrefix(e.Task, revokedJob) && e.Run < (epoch-1)*revokedRunsPerEpoch {
			n++
		}
	}
	return n
}

// TestLeaseOfOwnerEndsEarly guards against tasks that run twice at once: the store drops the owner's lease
// early, that owner starts tasks of jobs accepted since, and the next one starts them before their VMs have
// reported, on one that has.
func TestLeaseOfOwnerEndsEarly(t *testing.T) {
	hidden := storer.Faults{HideFromRenewals: true, HideFromWrites: true}
	silent, refusing := proxy.Faults{Cut: proxy.BothDirections}, proxy.Faults{Unreachable: true}
	for _, tt := range []struct {
		name  string
		store storer.Faults
		link  proxy.Faults  // between the former owner and the store, once that owner has started tasks beside the next one
		late  time.Duration // of the agents, after the former owner's lease
	}{
		{"a write shows it", storer.Faults{HideFromRenewals: true}, proxy.Faults{}, 500 * time.Millisecond},
		{"no call shows it", hidden, proxy.Faults{}, 0},
		{"no call shows it, agents late", hidden, proxy.Faults{}, 500 * time.Millisecond},
		{"no call shows it, agents later", hidden, proxy.Faults{}, 3 * time.Second},
		{"then the store is silent", hidden, silent, 500 * time.Millisecond},
		{"then the store refuses all calls", hidden, refusing, 3 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newJobTestbedOf(t, harness.Seed(t), harness.Config{Entries: revokedEntries, JobVMs: revokedVMs})
			r.useAllVMs()
			ctx, cancel := context.WithCancel(t.Context())
			submitted := make(chan struct{})
			go func() {
				defer close(submitted)
				r.submitShortJobs(ctx)
			}()
			defer func() { cancel(); <-submitted }()
			r.awaitStartsSince(time.Time{}, 4*revokedVMs)
			former, epoch, revoked := revokeOwner(t, r.Cluster, revocation{agent.JobsCell, r.divideAgents, tt.store})
			next, ends := awaitNextOwner(t, r.Cluster, agent.JobsCell, epoch), revoked.Add(scheduler.DefaultLease)
			taken := time.Now()
			r.submit(&specifier.Job{ID: revokedJob, Queue: "sorting", Payload: `{"run-ms":3000}`, Steps: []specifier.Step{
				{Count: 4 * revokedVMs, EstimateMillis: 3000, Needs: specifier.Resources{CPUMillis: 100, MemoryMB: 64}},
			}})
			accepted := time.Now()
			for time.Now().Before(ends) && r.countStartsBefore(next) < revokedVMs {
				wait(t.Context(), 50*time.Millisecond)
			}
			former.StoreLink.Set(tt.link)
			wait(t.Context(), time.Until(ends.Add(tt.late)))
			r.reuniteAgents()
			wait(t.Context(), time.Second)
			cancel()
			r.ClearFaults()
			<-submitted
			r.awaitJobs()
			r.checkStartedOnce()
			beside := r.countStartsBefore(next)
			t.Logf("%d jobs accepted; the next owner came after %.3f s, then the former one started %d of %d tasks of a job", len(r.accepted), taken.Sub(revoked).Seconds(), beside, 4*revokedVMs)
			if tt.store == hidden && beside == 0 && accepted.Before(revoked.Add(scheduler.DefaultLease/2)) {
				t.Error("the former owner started no task beside the next one")
			}
		})
	}
}
