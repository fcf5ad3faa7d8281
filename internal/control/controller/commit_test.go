package controller

import (
	"fmt"
	"testing"
	"time"

	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/messenger"
)

// Guards against one store write per claim when keyed requests come one after the other,
// each waiting for its claim, and the store replies in less than a millisecond: store
// writes are counted, and tasks of other tenants need them.
func TestAppendRateIsBounded(t *testing.T) {
	const clients, each = 8, 25
	c := newCell(t, 1, 1)
	c.waitFor("owner", func() bool { return len(c.status().VMs) == 1 })
	before, began := c.store.Calls().Calls[keeper.KindSwap], time.Now()
	done := make(chan error, clients)
	for client := range clients {
		go func() {
			for i := range each {
				r := messenger.ClaimRequest{Cell: "c1", Tenant: "caroni", Service: "s", Key: fmt.Sprintf("%d-%d", client, i), RequestID: "r"}
				if err := c.call(c.ctx, messenger.MethodClaim, r, &messenger.ClaimReply{}); err != nil {
					done <- err
					return
				}
			}
			done <- nil
		}()
	}
	for range clients {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	writes, limit := c.store.Calls().Calls[keeper.KindSwap]-before, int64(time.Since(began)/minAppendInterval)+2
	if writes > limit || writes < each {
		t.Errorf("%d writes for %d claims, want %d at most", writes, clients*each, limit)
	}
}
