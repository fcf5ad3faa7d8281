package elector

import (
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
