package scheduler

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"bamboospread/internal/job/admitter"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/standin/storer"
	"bamboospread/internal/store/keeper"
)

// Guards against tasks that run twice: the store has dropped the owner's lease early and answers no renewal. The
// owner must not start tasks beside the next one once a write has shown that the cell is not its own any more.
func TestOwnerStopsOnceAWriteIsFenced(t *testing.T) {
	const lease, limit = time.Minute, 5 * time.Second
	server := httptest.NewServer(storer.New(storer.Config{}).Handler())
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	k := keeper.New(keeper.Config{URL: server.URL, CallTimeout: time.Second})
	calls := k.Calls()
	var granted keeper.Lease
	calls.GrantLease = func(ctx context.Context, ttl time.Duration) (l keeper.Lease, err error) {
		l, err = k.GrantLease(ctx, ttl)
		granted = l
		return l, err
	}
	calls.KeepAlive = func(ctx context.Context, _ int64) error {
		<-ctx.Done()
		return ctx.Err()
	}
	policy := &specifier.Policy{Version: 1, Queues: []specifier.Queue{{Name: "q", MaxFailures: 1, Slack: 2}}}
	s := New(Config{
		Cell: "jobs", EntryID: "entry-1", Address: "127.0.0.1:1", Lease: lease, Store: calls,
		Reporter: reporter.Discard(), Now: time.Now, Policy: func() *specifier.Policy { return policy },
	})
	if err := s.elector.Acquire(t.Context()); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.runOwnership(t.Context()) }()
	for begin := time.Now(); !s.Owns(); time.Sleep(time.Millisecond) {
		if time.Since(begin) > limit {
			t.Fatal("the cell is not owned")
		}
	}
	if err := k.RevokeLease(t.Context(), granted.ID); err != nil {
		t.Fatal(err)
	}
	o := s.owner.Load()
	for _, r := range []keeper.Record{
		{Key: JobKey(lateJob), Revision: 1, Value: []byte(`{"id":"` + lateJob + `","queue":"q","steps":[{"count":1}]}`)},
		{Key: CancelKey(lateJob), Revision: 2},
	} {
		if err := o.send(t.Context(), recordSeen{r, sourceHint}); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case <-ended:
	case <-time.After(limit):
		t.Errorf("the ownership goes on %s after the store has given the cell free", limit)
	}
}

// Guards against tasks that run twice: the removal of refusals shows as well that the cell belongs to the next owner.
func TestOwnerStopsOnceARemovalOfRefusalsIsFenced(t *testing.T) {
	tests := []struct {
		name, conflict string // key of the record that is not as expected
		ends           bool
	}{
		{"fence", "cells/jobs/owner", true},
		{"refusal changed meanwhile", RefusalKey("old"), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.UnixMilli(100_000_000)
			o, _ := admissionOwner(t, now)
			o.writer.fence = keeper.Expectation{Key: "cells/jobs/owner", Revision: 1}
			refusal, err := admitter.Refusal{Queue: "q"}.Encode()
			if err != nil {
				t.Fatal(err)
			}
			o.s.config.Store.FindRecords = func(context.Context, keeper.ListOptions) (keeper.ListResult, error) {
				return keeper.ListResult{Records: []keeper.Record{{Key: RefusalKey("old"), Value: refusal, Revision: 8}}}, nil
			}
			o.s.config.Store.Transact = func(context.Context, keeper.Transaction) (int64, error) {
				return 0, keeper.ErrConflict{Key: tt.conflict}
			}
			o.load.admission.removeAt = now
			o.removeRefusals(now)
			o.apply(<-o.events)
			if got := o.writer.ownershipEnded(); got != tt.ends {
				t.Errorf("the ownership has ended: %t, want %t", got, tt.ends)
			}
		})
	}
}
