package receiver

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/agent/announcer"
	"bamboospread/internal/agent/gatekeeper"
	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/request/tracker"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// announceInterval is short enough that a busy machine does not miss several
// announcements in a row.
const announceInterval = 300 * time.Millisecond

// fixture is one entry, one agent and its upstreams in this process, connected over TCP.
type fixture struct {
	t        *testing.T
	receiver *Receiver
	tracker  *tracker.Tracker
	gate     *gatekeeper.Gatekeeper
	agent    *announcer.Announcer
	url      string
	claims   *fakeClaims
}

func testFleet() *describer.Fleet {
	return describer.New(describer.Config{
		Version:  1,
		Tenants:  []describer.Tenant{{Name: "acme", Weight: 1}, {Name: "slow", Weight: 1, RequestsPerSecond: 0.01, Burst: 1}},
		Services: []describer.Service{{Name: "labels", Tenant: "acme", LatencyObjective: 200 * time.Millisecond}},
	})
}

// run starts f in a goroutine; at the end of the test it cancels f and waits for it.
func run(t *testing.T, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, claims: &fakeClaims{held: make(map[string]messenger.ClaimRequest), resolved: make(map[string]messenger.ResolveClaimRequest)}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.tracker = tracker.New(tracker.Config{EntryID: "e1"})
	run(t, f.tracker.Run)
	run(t, func(ctx context.Context) error { return connector.Serve(ctx, l, f.tracker.Handle, nil) })
	f.gate = gatekeeper.New(gatekeeper.Config{})
	f.agent = announcer.New(announcer.Config{
		AgentID: "a1", VM: "vm1", Incarnation: 1, Entries: []string{l.Addr().String()},
		Gatekeeper: f.gate, HeartbeatInterval: 50 * time.Millisecond,
	})
	run(t, f.agent.Run)
	f.receiver = New(Config{EntryID: "e1", Tracker: f.tracker, Fleet: testFleet, CallCell: f.claims.call, Cell: "main"})
	server := httptest.NewServer(f.receiver)
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

// upstream starts an upstream with the handler and waits until it is ready at the entry.
func (f *fixture) upstream(id string, slots int, handle http.HandlerFunc) {
	f.t.Helper()
	server := httptest.NewServer(handle)
	f.t.Cleanup(server.Close)
	f.announce(id, slots, server.Listener.Addr().String())
}

func (f *fixture) announce(id string, slots int, address string) {
	f.t.Helper()
	a := gatekeeper.Announcement{ID: id, Service: "labels", Address: address, Slots: slots, State: messenger.UpstreamReady}
	if err := f.gate.Renew(a); err != nil {
		f.t.Fatal(err)
	}
	f.keepAnnounced(a)
	waitFor(f.t, func() bool {
		for _, u := range f.tracker.Snapshot().Upstreams("labels") {
			if u.ID() == id && u.Ready(time.Now()) {
				return true
			}
		}
		return false
	})
}

// keepAnnounced repeats an announcement until the test ends, as upstreams do every
// second: the agent drops an upstream that stops announcing itself, and a test on a busy
// machine may take longer than that.
func (f *fixture) keepAnnounced(a gatekeeper.Announcement) {
	run(f.t, func(ctx context.Context) error {
		ticker := time.NewTicker(announceInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				if err := f.gate.Renew(a); err != nil {
					return err
				}
			}
		}
	})
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("condition not met within 10 s")
}

type reply struct {
	status int
	header http.Header
	body   string
}

func (r reply) outcome() messenger.Outcome { return messenger.Outcome(r.header.Get(OutcomeHeader)) }

func (f *fixture) request(method, path, body string, headers ...string) reply {
	f.t.Helper()
	req, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return reply{resp.StatusCode, resp.Header, string(data)}
}

// echo answers as a correct upstream does: with the request id, the path and the body of
// the request.
func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	body, _ := io.ReadAll(r.Body)
	io.WriteString(w, r.URL.RequestURI()+" "+string(body))
}

// fakeClaims fakes the claims that the owner of the cell keeps.
type fakeClaims struct {
	mu       sync.Mutex
	down     bool
	held     map[string]messenger.ClaimRequest
	resolved map[string]messenger.ResolveClaimRequest
}

func (f *fakeClaims) call(_ context.Context, _, method string, params, result any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return connector.Errorf(messenger.CodeUnavailable, "the store is down")
	}
	if method == messenger.MethodResolveClaim {
		s := params.(messenger.ResolveClaimRequest)
		if s.Outcome == messenger.OutcomeNotRun {
			delete(f.held, s.Key)
		} else {
			f.resolved[s.Key] = s
		}
		return nil
	}
	c := params.(messenger.ClaimRequest)
	var r messenger.ClaimReply
	held, ok := f.held[c.Key]
	resolved, done := f.resolved[c.Key]
	switch {
	case !ok:
		f.held[c.Key] = c
		r.State = messenger.ClaimGranted
	case held.Digest != c.Digest:
		r.State = messenger.ClaimMismatch
	case done && resolved.Outcome == messenger.OutcomeRun:
		r = messenger.ClaimReply{State: messenger.ClaimResolved, Answer: resolved.Answer}
	case held.RequestID == c.RequestID:
		r.State = messenger.ClaimGranted
	default:
		r.State = messenger.ClaimHeld
	}
	data, _ := json.Marshal(r)
	return json.Unmarshal(data, result)
}
