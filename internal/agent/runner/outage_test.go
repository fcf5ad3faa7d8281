package runner

import (
	"errors"
	"net/http"
	"slices"
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

// answeredByProxy has the worker carry calls out and answers with a status of a proxy.
type answeredByProxy struct {
	paths  []string
	status int
}

func (a *answeredByProxy) RoundTrip(r *http.Request) (*http.Response, error) {
	reply, err := http.DefaultTransport.RoundTrip(r)
	if err == nil && slices.Contains(a.paths, r.URL.Path) {
		reply.StatusCode = a.status
	}
	return reply, err
}

// TestStartAnsweredByProxyIsNotStartedElsewhere guards against tasks that run twice: a proxy may answer a
// start that the worker has carried out as if the worker were unavailable.
func TestStartAnsweredByProxyIsNotStartedElsewhere(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusTooManyRequests, http.StatusForbidden} {
		for _, stopped := range []bool{true, false} {
			f := newFixture(t)
			path := &answeredByProxy{paths: []string{driver.PathStart}, status: status}
			want := messenger.ReportStopped
			if !stopped {
				path.paths = append(path.paths, driver.PathStop)
			}
			f.runner.config.Driver = driver.New(driver.Config{URL: f.url, HTTP: &http.Client{Transport: path}})
			f.poll(messenger.PollReply{Epoch: 1, LeaseMillis: 6000, Orders: []messenger.Order{start("t", 1, 1, 500)}}, 0)
			f.poll(messenger.PollReply{Epoch: 1, LeaseMillis: 6000}, 0)
			reports := f.polls[len(f.polls)-1].Tasks
			if len(reports) != 1 || reports[0].State != want || reports[0].Unavailable || f.starts() != 1 {
				t.Errorf("status %d, stop answered %t: %d starts, reported %+v, want what the worker lists, %s", status, stopped, f.starts(), reports, want)
			}
		}
	}
}
