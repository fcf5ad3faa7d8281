package runner

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/driver"
)

// failingRenewals fails a number of renewals of leases.
type failingRenewals struct {
	failures, answered int
}

func (f *failingRenewals) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path != driver.PathLeases {
		return http.DefaultTransport.RoundTrip(r)
	}
	if f.failures > 0 {
		f.failures--
		return nil, errors.New("connection refused")
	}
	f.answered++
	return http.DefaultTransport.RoundTrip(r)
}

// TestPollsFollowRenewals guards against tasks that run twice: a poll that names an owner's epoch tells
// it that the leases of earlier owners are replaced, so the worker must have answered a renewal first.
func TestPollsFollowRenewals(t *testing.T) {
	for failures := range 4 {
		f := newFixture(t)
		path := &failingRenewals{failures: failures}
		f.runner.config.Driver = driver.New(driver.Config{URL: f.url, HTTP: &http.Client{Transport: path}})
		f.reply = func(p messenger.Poll) messenger.PollReply {
			if p.Epoch > 0 && path.answered == 0 {
				t.Errorf("%d failures: a poll of epoch %d before a renewal was answered", failures, p.Epoch)
			}
			return messenger.PollReply{Epoch: 1, LeaseMillis: 6000}
		}
		for range 6 {
			_ = f.runner.pollOnce(t.Context())
		}
		if len(f.polls) != 6-max(failures-1, 0) || path.failures != 0 {
			t.Errorf("%d failures: %d polls, %d failures left", failures, len(f.polls), path.failures)
		}
	}
}

// TestPollsFollowRenewalsThatTookEffect guards against the same, where the clock has stepped back since an
// earlier process of the agent: the worker ignores the first renewal of this one.
func TestPollsFollowRenewalsThatTookEffect(t *testing.T) {
	f := newFixture(t)
	earlier := driver.New(driver.Config{URL: f.url, Now: func() time.Time { return time.Now().Add(time.Hour) }})
	if err := earlier.RenewLeases(t.Context(), time.Hour); err != nil {
		t.Fatal(err)
	}
	path := &failingRenewals{}
	f.runner.config.Driver = driver.New(driver.Config{URL: f.url, HTTP: &http.Client{Transport: path}})
	f.reply = func(p messenger.Poll) messenger.PollReply {
		if p.Epoch > 0 && path.answered < 2 {
			t.Errorf("a poll of epoch %d after %d renewals, the first of which was ignored", p.Epoch, path.answered)
		}
		return messenger.PollReply{Epoch: 1, LeaseMillis: 6000}
	}
	for range 3 {
		_ = f.runner.pollOnce(t.Context())
	}
	if len(f.polls) != 3 {
		t.Errorf("%d polls", len(f.polls))
	}
}

// TestFirstPollOfSessionIsAnsweredAtOnce guards against tasks that are given up after a short
// interruption: a lease that is nearly over must not wait for as long as an idle poll may.
func TestFirstPollOfSessionIsAnsweredAtOnce(t *testing.T) {
	f := newFixture(t)
	call := f.runner.config.CallOwner
	for i, failed := range []bool{false, false, true, true, false, false} {
		wait := pollWaitTime
		if i == 0 || i == 3 || i == 4 { // the poll before was not answered
			wait = 0
		}
		f.reply = func(p messenger.Poll) messenger.PollReply {
			if got := messenger.FromMillis(p.WaitMillis); got != wait {
				t.Errorf("poll %d may wait for %s, want %s", i, got, wait)
			}
			return messenger.PollReply{Epoch: 1, LeaseMillis: 6000}
		}
		f.runner.config.CallOwner = func(ctx context.Context, method string, params, result any) error {
			err := call(ctx, method, params, result)
			if failed {
				err = errors.New("the connection is closed")
			}
			return err
		}
		_ = f.runner.pollOnce(t.Context())
	}
}
