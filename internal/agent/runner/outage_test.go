package runner

import (
	"errors"
	"net/http"
	"testing"

	"bamboospread/internal/standin/worker"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/driver"
)

// unreachableStarts fails the connections of start calls while it is set.
type unreachableStarts struct{ on bool }

func (u *unreachableStarts) RoundTrip(r *http.Request) (*http.Response, error) {
	if u.on && r.URL.Path == driver.PathStart {
		return nil, errors.New("connection refused")
	}
	return http.DefaultTransport.RoundTrip(r)
}

// TestWorkerOutageIsNotTheTasksFailure guards against tasks that are held because their
// worker could not be reached, or refused every call, for a moment when they were to start.
func TestWorkerOutageIsNotTheTasksFailure(t *testing.T) {
	unreadable := start("t", 1, 1, 500)
	unreadable.Checkpoint = "unreadable"
	cases := []struct {
		name        string
		unreachable bool
		faults      worker.Faults
		order       messenger.Order
		state       messenger.ReportState
		unavailable bool
	}{
		{"not reached", true, worker.Faults{}, start("t", 1, 1, 500), messenger.ReportRefused, true},
		{"answers that it is unavailable", false, worker.Faults{Refuse: true}, start("t", 1, 1, 500), messenger.ReportRefused, true},
		{"does not fit", false, worker.Faults{}, start("t", 1, 1, 1500), messenger.ReportRefused, false},
		{"the task can't be read", false, worker.Faults{}, unreadable, messenger.ReportFailed, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			path := &unreachableStarts{on: c.unreachable}
			f.runner.config.Driver = driver.New(driver.Config{URL: f.url, HTTP: &http.Client{Transport: path}})
			f.worker.SetFaults(c.faults)
			f.poll(messenger.PollReply{Epoch: 1, LeaseMillis: 6000, Orders: []messenger.Order{c.order}}, 0)
			path.on = false
			f.worker.SetFaults(worker.Faults{})
			f.poll(messenger.PollReply{Epoch: 1, LeaseMillis: 6000, Orders: []messenger.Order{c.order}}, 0)
			reports := f.polls[len(f.polls)-1].Tasks
			if len(reports) != 1 || reports[0].State != c.state || reports[0].Unavailable != c.unavailable {
				t.Errorf("reported %+v, want one report, %s, unavailable %t", reports, c.state, c.unavailable)
			}
			if f.starts() != 0 {
				t.Errorf("%d starts after the attempt was reported as not started", f.starts())
			}
		})
	}
}
