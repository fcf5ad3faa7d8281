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
	leavingLimit  = 3 * time.Second // no new work later than this
	leavingPause  = 3800 * time.Millisecond
	renewInterval = time.Second
)

// leaver is an upstream of the test's own that says it leaves and yet stays, so
// that work which comes too late is seen and not refused by a closed port.
type leaver struct {
	id, way  string
	agent    string // URL
	listener net.Listener
	mu       sync.Mutex
	arrivals []time.Time
	left     time.Time // when leaving began
	stop     chan struct{}
}

func newLeaver(t *testing.T, vm *harness.VM, id, way string) *leaver {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	i := slices.Index(vm.Agent.Args, "--local-listen")
	u := &leaver{id: id, way: way, agent: "http://" + vm.Agent.Args[i+1], listener: l, stop: make(chan struct{})}
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

func (u *leaver) serve(w http.ResponseWriter, r *http.Request) {
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

// renew announces the upstream until it leaves.
func (u *leaver) renew() {
	for {
		u.tell(http.MethodPost, "", messenger.UpstreamReady)
		select {
		case <-u.stop:
			return
		case <-time.After(renewInterval):
		}
	}
}

func (u *leaver) tell(method, path string, state messenger.UpstreamState) {
	body, _ := json.Marshal(gatekeeper.Announcement{
		ID: u.id, Service: requestService, Address: u.listener.Addr().String(), Slots: 8, Connections: 64,
		State: state, SentAtMillis: time.Now().UnixMilli(),
	})
	req, err := http.NewRequest(method, u.agent+"/v1/upstreams"+path, bytes.NewReader(body))
	if err != nil {
		return
	}
	client := http.Client{Timeout: time.Second}
	if resp, err := client.Do(req); err == nil { // an agent that is frozen or dead is not told
		resp.Body.Close()
	}
}

// leave begins to leave in its way.
func (u *leaver) leave() {
	close(u.stop)
	u.mu.Lock()
	u.left = time.Now()
	u.mu.Unlock()
	switch u.way {
	case "says so":
		u.tell(http.MethodDelete, "/"+u.id, "")
	case "renews as leaving":
		u.tell(http.MethodPost, "", messenger.UpstreamLeaving)
	case "falls silent":
	}
}

func (u *leaver) requests() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.arrivals)
}

// check tells how many requests came before leaving and how late the last one
// came after it began.
func (u *leaver) check() (before int, last time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, at := range u.arrivals {
		if at.Before(u.left) {
			before++
		} else {
			last = max(last, at.Sub(u.left))
		}
	}
	return before, last
}

// leavingCase is what stands still while upstreams leave.
type leavingCase struct {
	name       string
	begin, end []func()
}

func (b *requestBed) leavingCases() []leavingCase {
	hold := func(f proxy.Faults) func() {
		return func() {
			for vm := range b.VMs {
				b.agentLink(vm, f)
			}
		}
	}
	agents := func(f func(vm *harness.VM)) func() {
		return func() {
			for _, vm := range b.VMs[:len(leavingWays)] {
				f(vm)
			}
		}
	}
	pauseEntry := func() { b.Entries[0].Pause() }
	pauseAgents := agents(func(vm *harness.VM) { vm.Agent.Pause() })
	killAgents := agents(func(vm *harness.VM) { vm.Agent.Restart() })
	heal, resume := []func(){hold(proxy.Faults{})}, []func(){b.resumeAll}
	return []leavingCase{
		{"nothing else", nil, nil},
		{"entry paused", []func(){pauseEntry}, resume},
		{"agents paused", []func(){pauseAgents}, resume},
		{"requests held in the link", []func(){hold(proxy.Faults{Hold: proxy.ToClient})}, heal},
		{"heartbeats cut", []func(){hold(proxy.Faults{Cut: proxy.ToServer})}, heal},
		{"entry paused, agents killed", []func(){pauseEntry, killAgents}, resume},
		{"entry and agents paused", []func(){pauseEntry, pauseAgents}, resume},
	}
}

var leavingWays = []string{"says so", "renews as leaving", "falls silent"}

// firstRequestLimit is how long a new upstream may wait for its first request.
const firstRequestLimit = 10 * time.Second

// TestLeavingUpstreamGetsNoNewWork: an upstream that is told to go finishes and
// ends; work sent to it after that is lost. Three upstreams leave, each in its
// way, while callers go on and entries or agents stand still for longer than the
// limit: waking, they have old knowledge, and requests wait in their sockets.
// Nothing may reach a leaving upstream later than 3 s.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	t.Parallel()
	b := newRequestBed(t, "--service-time", "5ms")
	for _, c := range b.leavingCases() {
		t.Run(c.name, func(t *testing.T) {
			var leavers []*leaver
			for i, way := range leavingWays {
				leavers = append(leavers, newLeaver(t, b.VMs[i], fmt.Sprintf("leaver-%d", b.number.Add(1)), way))
			}
			b.leaveDuring(t, c, leavers)
			for _, u := range leavers {
				before, last := u.check()
				t.Logf("%s: %d requests before, the last %s after leaving began", u.way, before, last.Round(time.Millisecond))
				if before == 0 {
					t.Errorf("%s: no request came before it left: this shows nothing", u.way)
				}
				if last > leavingLimit {
					t.Errorf("%s: new work came %s after leaving began", u.way, last)
				}
			}
		})
		b.recover()
	}
}

// leaveDuring has the upstreams leave under load while the case's processes stand
// still, and goes on until these have worked off what they found when they woke.
func (b *requestBed) leaveDuring(t *testing.T, c leavingCase, leavers []*leaver) {
	stop := b.load(16, func(_ *rand.Rand, n int) sent {
		return sent{method: http.MethodPost, path: fmt.Sprint("/print/", n), body: fmt.Sprint("lot ", n), timeout: 6 * time.Second}
	})
	time.Sleep(time.Second)
	// On a busy machine a new upstream may get its first request later; one that
	// has had none would show nothing by leaving.
	harness.WaitFor(t, firstRequestLimit, "a request at each upstream that will leave", func(context.Context) error {
		for _, u := range leavers {
			if u.requests() == 0 {
				return fmt.Errorf("none at the one that %s", u.way)
			}
		}
		return nil
	})
	for _, f := range c.begin {
		f()
	}
	var group sync.WaitGroup
	for _, u := range leavers {
		group.Go(u.leave)
	}
	time.Sleep(leavingPause)
	for _, f := range c.end {
		f()
	}
	time.Sleep(800 * time.Millisecond)
	t.Log(summarise(stop()))
	group.Wait()
}
