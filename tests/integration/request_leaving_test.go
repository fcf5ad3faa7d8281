package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/agent/gatekeeper"
	"bamboospread/internal/wire/messenger"
	"bamboospread/tests/harness"
	"bamboospread/tests/proxy"
)

const (
	newWorkLimit  = 3 * time.Second // no new work arrives later than this after leaving began
	leavingTime   = 3800 * time.Millisecond
	renewInterval = time.Second
)

// leavingUpstream is an upstream inside the test that announces leaving but keeps
// listening, so that work which arrives too late is recorded and not refused by a closed
// port.
type leavingUpstream struct {
	id, leaveMode string
	agent         string // URL
	listener      net.Listener
	mu            sync.Mutex
	arrivals      []time.Time
	leftAt        time.Time // when leaving began
	stop          chan struct{}
}

func newLeavingUpstream(t *testing.T, vm *harness.VM, id, leaveMode string) *leavingUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	i := slices.Index(vm.Agent.Args, "--local-listen")
	u := &leavingUpstream{id: id, leaveMode: leaveMode, agent: "http://" + vm.Agent.Args[i+1], listener: l, stop: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(u.serve)}
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	renewing := make(chan struct{})
	go func() { defer close(renewing); u.renew() }()
	t.Cleanup(func() {
		server.Close()
		<-done
		<-renewing
	})
	return u
}

func (u *leavingUpstream) serve(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	u.arrivals = append(u.arrivals, time.Now())
	u.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	time.Sleep(5 * time.Millisecond)
	w.Header().Set(gatekeeper.RequestIDHeader, r.Header.Get(gatekeeper.RequestIDHeader))
	if len(body) == 0 {
		body = []byte(r.Method + " " + r.URL.RequestURI() + " ")
	}
	_, _ = w.Write(body)
}

// renew announces the upstream periodically until it leaves.
func (u *leavingUpstream) renew() {
	for {
		u.announce(http.MethodPost, "", messenger.UpstreamReady)
		select {
		case <-u.stop:
			return
		case <-time.After(renewInterval):
		}
	}
}

func (u *leavingUpstream) announce(method, path string, state messenger.UpstreamState) {
	body, _ := json.Marshal(gatekeeper.Announcement{
		ID: u.id, Service: requestService, Address: u.listener.Addr().String(), Slots: 8, Connections: 64,
		State: state, SentAtMillis: time.Now().UnixMilli(),
	})
	req, err := http.NewRequest(method, u.agent+"/v1/upstreams"+path, bytes.NewReader(body))
	if err != nil {
		return
	}
	client := http.Client{Timeout: time.Second}
	if resp, err := client.Do(req); err == nil { // the request fails if the agent is paused or not running
		resp.Body.Close()
	}
}

// leave begins leaving according to leaveMode.
func (u *leavingUpstream) leave() {
	close(u.stop)
	u.mu.Lock()
	u.leftAt = time.Now()
	u.mu.Unlock()
	switch u.leaveMode {
	case "deletes its announcement":
		u.announce(http.MethodDelete, "/"+u.id, "")
	case "announces leaving":
		u.announce(http.MethodPost, "", messenger.UpstreamLeaving)
	case "stops announcing":
	}
}

func (u *leavingUpstream) requests() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.arrivals)
}

// countArrivals returns how many requests arrived before leaving began, and how long after
// that the last one arrived.
func (u *leavingUpstream) countArrivals() (before int, last time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, at := range u.arrivals {
		if at.Before(u.leftAt) {
			before++
		} else {
			last = max(last, at.Sub(u.leftAt))
		}
	}
	return before, last
}

// leavingCase is a set of faults that are in effect while upstreams leave.
type leavingCase struct {
	name       string
	begin, end []func()
}

func (b *requestTestbed) leavingCases() []leavingCase {
	hold := func(f proxy.Faults) func() {
		return func() {
			for vm := range b.VMs {
				b.setAgentFaults(vm, f)
			}
		}
	}
	agents := func(f func(vm *harness.VM)) func() {
		return func() {
			for _, vm := range b.VMs[:len(leaveModes)] {
				f(vm)
			}
		}
	}
	pauseEntry := func() { b.Entries[0].Pause() }
	pauseAgents := agents(func(vm *harness.VM) { vm.Agent.Pause() })
	killAgents := agents(func(vm *harness.VM) { vm.Agent.Restart() })
	release, resume := []func(){hold(proxy.Faults{})}, []func(){b.resumeAll}
	return []leavingCase{
		{"no fault", nil, nil},
		{"entry paused", []func(){pauseEntry}, resume},
		{"agents paused", []func(){pauseAgents}, resume},
		{"requests held in the link", []func(){hold(proxy.Faults{Hold: proxy.ToClient})}, release},
		{"heartbeats cut", []func(){hold(proxy.Faults{Cut: proxy.ToServer})}, release},
		{"entry paused, agents killed", []func(){pauseEntry, killAgents}, resume},
		{"entry and agents paused", []func(){pauseEntry, pauseAgents}, resume},
	}
}

var leaveModes = []string{"deletes its announcement", "announces leaving", "stops announcing"}

// firstRequestLimit is how long a new upstream may wait for its first request.
const firstRequestLimit = 10 * time.Second

// TestLeavingUpstreamGetsNoNewWork: an upstream that is stopped finishes its requests and
// ends; work that is sent to it after that is lost. Three upstreams leave, each in a
// different mode, under load and while entries or agents are paused or cut off for longer
// than the limit: when they continue, their state is outdated, and requests are waiting
// in their sockets. No request may reach a leaving upstream later than 3 s after leaving
// began.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	t.Parallel()
	b := newRequestTestbed(t, "--service-time", "5ms")
	for _, c := range b.leavingCases() {
		t.Run(c.name, func(t *testing.T) {
			var leaving []*leavingUpstream
			for i, leaveMode := range leaveModes {
				leaving = append(leaving, newLeavingUpstream(t, b.VMs[i], fmt.Sprintf("leaver-%d", b.requestCount.Add(1)), leaveMode))
			}
			b.leaveDuring(t, c, leaving)
			for _, u := range leaving {
				before, last := u.countArrivals()
				t.Logf("%s: %d requests before, the last %s after leaving began", u.leaveMode, before, last.Round(time.Millisecond))
				if before == 0 {
					t.Errorf("%s: no request arrived before it left, so its leaving tests nothing", u.leaveMode)
				}
				if last > newWorkLimit {
					t.Errorf("%s: new work arrived %s after leaving began", u.leaveMode, last)
				}
			}
		})
		b.awaitRecovery()
	}
}

// leaveDuring makes the upstreams leave under load during the faults of the case, and
// keeps the load until the affected processes have handled the requests that were waiting
// when the faults ended.
func (b *requestTestbed) leaveDuring(t *testing.T, c leavingCase, leaving []*leavingUpstream) {
	stop := b.load(16, func(_ *rand.Rand, n int) request {
		return request{method: http.MethodPost, path: fmt.Sprint("/print/", n), body: fmt.Sprint("lot ", n), timeout: 6 * time.Second}
	})
	time.Sleep(time.Second)
	// On a busy machine a new upstream may get its first request later. The leaving of
	// an upstream that never had a request would test nothing.
	harness.WaitFor(t, firstRequestLimit, "a request at each upstream that will leave", func(context.Context) error {
		for _, u := range leaving {
			if u.requests() == 0 {
				return fmt.Errorf("none at the one that %s", u.leaveMode)
			}
		}
		return nil
	})
	for _, f := range c.begin {
		f()
	}
	var group sync.WaitGroup
	for _, u := range leaving {
		group.Go(u.leave)
	}
	time.Sleep(leavingTime)
	for _, f := range c.end {
		f()
	}
	time.Sleep(800 * time.Millisecond)
	t.Log(summarize(stop()))
	group.Wait()
}
