package controller

import (
	"testing"

	"bamboospread/internal/wire/messenger"
)

// A claim is held up on its way, its asker gives up and settles it as not run, and the
// claim arrives after that: granted to nobody, it would refuse all repeats of the key.
func TestClaimOvertakenByItsSettlement(t *testing.T) {
	d := newDesk(t)
	claim := messenger.ClaimRequest{Tenant: "caroni", Service: "s", Key: "k", Digest: "d", RequestID: "first"}
	d.takeSettle(d.call(), messenger.SettleRequest{Tenant: "caroni", Key: "k", RequestID: "first", Outcome: messenger.OutcomeNotRun})
	d.takeClaim(d.call(), claim)
	if d.books.Claim("caroni", "k") != nil {
		t.Error("the claim of a request that has ended was granted")
	}
	claim.RequestID = "second"
	d.takeClaim(d.call(), claim)
	if c := d.books.Claim("caroni", "k"); c == nil || c.RequestID != "second" {
		t.Errorf("the repeat of the key has %+v", c)
	}
	// The same with a claim that was granted before a copy of it arrives late.
	d.takeSettle(d.call(), messenger.SettleRequest{Tenant: "caroni", Key: "k", RequestID: "second", Outcome: messenger.OutcomeNotRun})
	d.takeClaim(d.call(), claim)
	if d.books.Claim("caroni", "k") != nil {
		t.Error("a late copy of a claim was granted")
	}
}
