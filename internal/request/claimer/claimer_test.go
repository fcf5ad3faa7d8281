package claimer

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// fakeOwner records the calls. It answers with the listed errors in turn and then
// with success.
type fakeOwner struct {
	mu       sync.Mutex
	errs     []error
	claims   []messenger.ClaimRequest
	resolved []messenger.ResolveClaimRequest
}

func (o *fakeOwner) call(_ context.Context, _, _ string, params, result any) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch p := params.(type) {
	case messenger.ClaimRequest:
		o.claims = append(o.claims, p)
		*result.(*messenger.ClaimReply) = messenger.ClaimReply{State: messenger.ClaimGranted}
	case messenger.ResolveClaimRequest:
		o.resolved = append(o.resolved, p)
	}
	if len(o.errs) > 0 {
		err := o.errs[0]
		o.errs = o.errs[1:]
		return err
	}
	return nil
}

var (
	errLost        = errors.New("connection lost")
	errUnavailable = connector.Errorf(messenger.CodeUnavailable, "the owner is unavailable")
	errInvalid     = connector.Errorf(messenger.CodeBadRequest, "invalid request")
)

// TestClaim checks the retries of a claim: each uses the same request id, and a claim
// that is abandoned after a lost answer is released, since the owner may have granted
// it to a request that was never sent.
func TestClaim(t *testing.T) {
	cases := []struct {
		name     string
		errs     []error
		granted  bool
		claims   int
		resolved int
	}{
		{"first attempt", nil, true, 1, 0},
		{"after a lost answer", []error{errLost}, true, 2, 0},
		{"after an unavailable owner", []error{errUnavailable, errUnavailable}, true, 3, 0},
		{"refused", []error{errInvalid}, false, 1, 0},
		{"lost, then refused", []error{errLost, errInvalid}, false, 2, 1},
		{"owner stays unavailable", []error{errUnavailable, errUnavailable, errUnavailable, errUnavailable, errUnavailable, errUnavailable, errUnavailable, errUnavailable}, false, 5, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := &fakeOwner{errs: c.errs}
				claims := New(Config{Cell: "main", CallCell: o.call})
				_, err := claims.Claim(context.Background(), Options{Key: "k", RequestID: "r1"})
				if (err == nil) != c.granted {
					t.Errorf("got error %v, want granted %v", err, c.granted)
				}
				if err := claims.Drain(context.Background()); err != nil {
					t.Error(err)
				}
				if len(o.claims) != c.claims || len(o.resolved) != c.resolved {
					t.Errorf("%d claims, %d outcomes reported", len(o.claims), len(o.resolved))
				}
				for _, r := range o.claims {
					if r.RequestID != "r1" {
						t.Errorf("claimed with the request id %s", r.RequestID)
					}
				}
			})
		})
	}
}

// TestUnavailableOwnerIsAskedOnce keeps the owner unavailable, as in a store outage.
// The first claim is retried for a while; later ones must fail immediately until the
// owner is available again.
func TestUnavailableOwnerIsAskedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &fakeOwner{}
		for range 20 {
			o.errs = append(o.errs, errUnavailable)
		}
		claims := New(Config{CallCell: o.call})
		for i, want := range []int{5, 6, 7} {
			start := time.Now()
			if _, err := claims.Claim(context.Background(), Options{Key: "k", RequestID: "r"}); err == nil {
				t.Fatal("granted by an unavailable owner")
			}
			if took := time.Since(start); len(o.claims) != want || (i > 0 && took > 0) {
				t.Errorf("claim %d: %d calls in total, took %s", i, len(o.claims), took)
			}
		}
		o.errs = nil
		if _, err := claims.Claim(context.Background(), Options{Key: "k", RequestID: "r"}); err != nil {
			t.Error(err)
		}
	})
}

// TestResolveIsRetried fails the first calls to the owner: the outcome of the request
// must still reach it, and Drain must wait for that.
func TestResolveIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &fakeOwner{errs: []error{errLost, errUnavailable, errUnavailable, errUnavailable, errUnavailable}}
		claims := New(Config{CallCell: o.call})
		body := []byte(strings.Repeat("x", MaxStoredBodyBytes+1))
		claims.Resolve(Options{Key: "k", RequestID: "r1"}, messenger.OutcomeRun, &messenger.StoredAnswer{Status: 200, Body: body})
		if err := claims.Drain(context.Background()); err != nil {
			t.Error(err)
		}
		if len(o.resolved) != 6 {
			t.Errorf("outcome reported %d times", len(o.resolved))
		}
		want := &messenger.StoredAnswer{Status: 200} // the body is too large to be stored, so the answer is incomplete
		if diff := cmp.Diff(want, o.resolved[5].Answer); diff != "" {
			t.Error(diff)
		}
	})
}

func TestDigestSeparatesParts(t *testing.T) {
	seen := make(map[string]int)
	for i, parts := range [][3]string{{"s", "POST", "/a"}, {"sP", "OST", "/a"}, {"s", "POST", "/"}, {"s", "PUT", "/a"}} {
		d := Digest(parts[0], parts[1], parts[2], []byte("a"))
		if j, twice := seen[d]; twice {
			t.Errorf("requests %d and %d have the same digest", j, i)
		}
		seen[d] = i
	}
}
