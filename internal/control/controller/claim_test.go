package controller

import (
	"testing"

	"bamboospread/internal/wire/messenger"
)

// Guards against a claim without a holder: a claim is delayed, its sender abandons it and
// reports the request as not run, and the claim arrives after that. If it were granted, all
// later requests with the key would be refused.
func TestLateClaimOfEndedRequest(t *testing.T) {
	to := newTestOwner(t)
	claim := messenger.ClaimRequest{Tenant: "caroni", Service: "s", Key: "k", Digest: "d", RequestID: "first"}
	to.handleResolveClaim(to.call(), messenger.ResolveClaimRequest{Tenant: "caroni", Key: "k", RequestID: "first", Outcome: messenger.OutcomeNotRun})
	to.handleClaim(to.call(), claim)
	if to.state.Claim("caroni", "k") != nil {
		t.Error("the claim of a request that has ended was granted")
	}
	claim.RequestID = "second"
	to.handleClaim(to.call(), claim)
	if c := to.state.Claim("caroni", "k"); c == nil || c.RequestID != "second" {
		t.Errorf("claim of the second request: %+v", c)
	}
	// The same if a duplicate of a granted claim arrives late.
	to.handleResolveClaim(to.call(), messenger.ResolveClaimRequest{Tenant: "caroni", Key: "k", RequestID: "second", Outcome: messenger.OutcomeNotRun})
	to.handleClaim(to.call(), claim)
	if to.state.Claim("caroni", "k") != nil {
		t.Error("a late duplicate of a claim was granted")
	}
}
