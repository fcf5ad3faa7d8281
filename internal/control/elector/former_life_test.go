package elector

import (
	"net/http/httptest"
	"testing"
	"time"

	"bamboospread/internal/standin/storer"
	"bamboospread/internal/store/keeper"
)

// Guards against a cell that loses its owner: calls of the entry's former process that the store carries out
// late must not end or replace the ownership of the next one.
func TestLateStoreCallsOfFormerProcessChangeNothing(t *testing.T) {
	server := httptest.NewServer(storer.New(storer.Config{}).Handler())
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	k := keeper.New(keeper.Config{URL: server.URL, CallTimeout: time.Second})
	config := FromKeeper(Config{Cell: "c", EntryID: "entry-1", Address: "127.0.0.1:1", Lease: time.Minute, ReplaceOwnRecord: true}, k)
	former := New(config)
	if err := former.Acquire(t.Context()); err != nil {
		t.Fatal(err)
	}
	acquired := former.revision
	if err := former.Publish(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	present := New(config)
	if err := present.Acquire(t.Context()); err != nil {
		t.Fatal(err)
	}
	late := func() {
		t.Helper()
		for _, expect := range []int64{0, acquired, former.revision} {
			swap := keeper.SwapOptions{Key: former.key(), Value: []byte("{}"), ExpectRevision: expect}
			if _, err := k.CompareAndSwap(t.Context(), swap); !keeper.IsErrConflict(err) {
				t.Errorf("late swap at revision %d: %v", expect, err)
			}
			swap.Lease = former.lease
			if _, err := k.CompareAndSwap(t.Context(), swap); !keeper.IsErrLeaseNotExist(err) {
				t.Errorf("late swap at revision %d under the former lease: %v", expect, err)
			}
		}
		if err := k.KeepAlive(t.Context(), former.lease); !keeper.IsErrLeaseNotExist(err) {
			t.Errorf("late renewal: %v", err)
		}
	}
	late()
	if err := present.Publish(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	late()
	if err := k.RevokeLease(t.Context(), former.lease); !keeper.IsErrLeaseNotExist(err) {
		t.Errorf("late revocation: %v", err)
	}
	record, err := k.GetRecord(t.Context(), present.key())
	if err != nil || record.Lease != present.lease || record.Revision != present.Fence().Revision {
		t.Errorf("record %+v, %v", record, err)
	}
}
