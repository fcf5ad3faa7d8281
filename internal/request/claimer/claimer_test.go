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

// owner answers calls from a list of errors, then well, and notes them.
type owner struct {
	mu     sync.Mutex
	errs   []error
	claims []messenger.ClaimRequest
	ends   []messenger.SettleRequest
}

func (o *owner) call(_ context.Context, _, _ string, params, result any) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch p := params.(type) {
	case messenger.ClaimRequest:
		o.claims = append(o.claims, p)
		*result.(*messenger.ClaimReply) = messenger.ClaimReply{State: messenger.ClaimGranted}
	case messenger.SettleRequest:
		o.ends = append(o.ends, p)
	}
	if len(o.errs) > 0 {
		err := o.errs[0]
		o.errs = o.errs[1:]
		return err
	}
	return nil
}

var (
	errLost = errors.New("connection lost")
	errAway = connector.Errorf(messenger.CodeUnavailable, "away")
	errBad  = connector.Errorf(messenger.CodeBadRequest, "bad")
)

// TestClaim has the owner fail in turn. A claim is asked for again under the same
// request id; given up after a lost answer it is freed, since the owner may hold
// it for a request that was never sent.
func TestClaim(t *testing.T) {
	cases := []struct {
		name    string
		errs    []error
		granted bool
		claims  int
		ends    int
	}{
		{"at once", nil, true, 1, 0},
		{"after a lost answer", []error{errLost}, true, 2, 0},
		{"after being away", []error{errAway, errAway}, true, 3, 0},
		{"refused", []error{errBad}, false, 1, 0},
		{"lost, then refused", []error{errLost, errBad}, false, 2, 1},
		{"away for good", []error{errAway, errAway, errAway, errAway, errAway, errAway, errAway, errAway}, false, 5, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := &owner{errs: c.errs}
				claims := New(Config{Cell: "main", CallCell: o.call})
				_, err := claims.Claim(context.Background(), Options{Key: "k", RequestID: "r1"})
				if (err == nil) != c.granted {
					t.Errorf("got %v", err)
				}
				if err := claims.Drain(context.Background()); err != nil {
					t.Error(err)
				}
				if len(o.claims) != c.claims || len(o.ends) != c.ends {
					t.Errorf("%d claims, %d settlements", len(o.claims), len(o.ends))
				}
				for _, r := range o.claims {
					if r.RequestID != "r1" {
						t.Errorf("claimed as %s", r.RequestID)
					}
				}
			})
		})
	}
}

// TestAwayOwnerIsAskedOnce has the owner away, as in a store outage. The first
// claim is asked for a while; later ones are refused at once, until it is back.
func TestAwayOwnerIsAskedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &owner{}
		for range 20 {
			o.errs = append(o.errs, errAway)
		}
		claims := New(Config{CallCell: o.call})
		for i, want := range []int{5, 6, 7} {
			began := time.Now()
			if _, err := claims.Claim(context.Background(), Options{Key: "k", RequestID: "r"}); err == nil {
				t.Fatal("granted")
			}
			if took := time.Since(began); len(o.claims) != want || (i > 0 && took > 0) {
				t.Errorf("claim %d: asked %d times in all, took %s", i, len(o.claims), took)
			}
		}
		o.errs = nil
		if _, err := claims.Claim(context.Background(), Options{Key: "k", RequestID: "r"}); err != nil {
			t.Error(err)
		}
	})
}

// TestSettleRepeats loses the owner for some seconds: the end of the request must
// still reach it, and a drain waits for that.
func TestSettleRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &owner{errs: []error{errLost, errAway, errAway, errAway, errAway}}
		claims := New(Config{CallCell: o.call})
		body := []byte(strings.Repeat("x", MaxKeptBytes+1))
		claims.Settle(Options{Key: "k", RequestID: "r1"}, messenger.OutcomeRun, &messenger.KeptAnswer{Status: 200, Body: body})
		if err := claims.Drain(context.Background()); err != nil {
			t.Error(err)
		}
		if len(o.ends) != 6 {
			t.Errorf("told %d times", len(o.ends))
		}
		want := &messenger.KeptAnswer{Status: 200} // too large to be kept: not whole
		if diff := cmp.Diff(want, o.ends[5].Answer); diff != "" {
			t.Error(diff)
		}
	})
}

func TestDigestTellsPartsApart(t *testing.T) {
	seen := make(map[string]int)
	for i, parts := range [][3]string{{"s", "POST", "/a"}, {"sP", "OST", "/a"}, {"s", "POST", "/"}, {"s", "PUT", "/a"}} {
		d := Digest(parts[0], parts[1], parts[2], []byte("a"))
		if j, twice := seen[d]; twice {
			t.Errorf("%d and %d are the same", i, j)
		}
		seen[d] = i
	}
}
