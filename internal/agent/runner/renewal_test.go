package runner

import (
	"errors"
	"net/http"
	"testing"

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
