package elector

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"bamboospread/internal/standin/storer"
	"bamboospread/internal/store/keeper"
)

// Guards against two owners: another process has replaced the record while the lease of the former owner goes on,
// so renewals of the lease succeed.
func TestOwnerWhoseRecordWasReplacedEndsWithItsLease(t *testing.T) {
	const lease = time.Second
	server := httptest.NewServer(storer.New(storer.Config{}).Handler())
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	k := keeper.New(keeper.Config{URL: server.URL, CallTimeout: time.Second})
	config := FromKeeper(Config{Cell: "c", EntryID: "entry-1", Address: "127.0.0.1:1", Lease: lease, ReplaceOwnRecord: true}, k)
	former, present := New(config), New(config)
	for _, e := range []*Elector{former, present} {
		if err := e.Acquire(t.Context()); err != nil {
			t.Fatal(err)
		}
		go func() { _ = e.RenewLease(t.Context()) }()
	}
	time.Sleep(2 * lease)
	if former.Held() && present.Held() {
		t.Error("two electors hold the cell")
	}
}

// Guards against two owners for longer than one lease: once the next process of the entry has the cell, no renewal
// of a former one succeeds, also if processes between them ended before their first renewal.
func TestNoFormerProcessRenewsItsLease(t *testing.T) {
	for _, processes := range []int{2, 3} {
		server := httptest.NewServer(storer.New(storer.Config{}).Handler())
		t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		k := keeper.New(keeper.Config{URL: server.URL, CallTimeout: time.Second})
		config := FromKeeper(Config{Cell: "c", EntryID: "entry-1", Address: "127.0.0.1:1", Lease: time.Minute, ReplaceOwnRecord: true}, k)
		var all []*Elector
		for range processes {
			e := New(config)
			if err := e.Acquire(t.Context()); err != nil {
				t.Fatal(err)
			}
			all = append(all, e)
		}
		for n, e := range all[:processes-1] {
			if err := k.KeepAlive(t.Context(), e.lease); !keeper.IsErrLeaseNotExist(err) {
				t.Errorf("%d processes: renewal of process %d: %v", processes, n+1, err)
			}
		}
		if err := k.KeepAlive(t.Context(), all[processes-1].lease); err != nil {
			t.Errorf("%d processes: renewal of the owner: %v", processes, err)
		}
	}
}

// Guards against a takeover beside a former process whose lease goes on: the store does not answer the revocation.
func TestCellIsNotAcquiredUntilFormerLeaseHasEnded(t *testing.T) {
	server := httptest.NewServer(storer.New(storer.Config{}).Handler())
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	k := keeper.New(keeper.Config{URL: server.URL, CallTimeout: time.Second})
	config := FromKeeper(Config{Cell: "c", EntryID: "entry-1", Address: "127.0.0.1:1", Lease: time.Second, ReplaceOwnRecord: true}, k)
	former := New(config)
	if err := former.Acquire(t.Context()); err != nil {
		t.Fatal(err)
	}
	config.RevokeLease = func(context.Context, int64) error { return keeper.ErrOutcomeUnknown{} }
	if err := New(config).Acquire(t.Context()); err != nil {
		t.Fatal(err)
	}
	if former.Held() {
		t.Error("two electors hold the cell")
	}
}
