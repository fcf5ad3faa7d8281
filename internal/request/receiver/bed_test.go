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

// announceEvery is a third of a second, so that a busy machine misses none in a row.
const announceEvery = 300 * time.Millisecond

// bed is one entry, one agent and its upstreams in this process, over real
// connections.
type bed struct {
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

// run starts f and waits for its end when the test ends.
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

func newBed(t *testing.T) *bed {
	t.Helper()
	b := &bed{t: t, claims: &fakeClaims{held: make(map[string]messenger.ClaimRequest), settled: make(map[string]messenger.SettleRequest)}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.tracker = tracker.New(tracker.Config{EntryID: "e1"})
	run(t, b.tracker.Run)
	run(t, func(ctx context.Context) error { return connector.Serve(ctx, l, b.tracker.Handle, nil) })
	b.gate = gatekeeper.New(gatekeeper.Config{})
	b.agent = announcer.New(announcer.Config{
		AgentID: "a1", VM: "vm1", Incarnation: 1, Entries: []string{l.Addr().String()},
		Gatekeeper: b.gate, Interval: 50 * time.Millisecond,
	})
	run(t, b.agent.Run)
	b.receiver = New(Config{EntryID: "e1", Tracker: b.tracker, Fleet: testFleet, CallCell: b.claims.call, Cell: "main"})
	server := httptest.NewServer(b.receiver)
	t.Cleanup(server.Close)
	b.url = server.URL
	return b
}

// upstream serves handle as an upstream and waits until the entry knows it.
func (b *bed) upstream(id string, slots int, handle http.HandlerFunc) {
	b.t.Helper()
	server := httptest.NewServer(handle)
	b.t.Cleanup(server.Close)
	b.announce(id, slots, server.Listener.Addr().String())
}

func (b *bed) announce(id string, slots int, address string) {
	b.t.Helper()
	a := gatekeeper.Announcement{ID: id, Service: "labels", Address: address, Slots: slots, State: messenger.UpstreamReady}
	if err := b.gate.Renew(a); err != nil {
		b.t.Fatal(err)
	}
	b.keepAnnounced(a)
	waitFor(b.t, func() bool {
		for _, u := range b.tracker.Snapshot().Upstreams("labels") {
			if u.ID() == id && u.Ready(time.Now()) {
				return true
			}
		}
		return false
	})
}

// keepAnnounced repeats an announcement until the test ends, as upstreams do each
// second: the agent forgets one that falls silent, and a test on a busy machine may
// take longer than that.
func (b *bed) keepAnnounced(a gatekeeper.Announcement) {
	run(b.t, func(ctx context.Context) error {
		ticker := time.NewTicker(announceEvery)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				if err := b.gate.Renew(a); err != nil {
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
	t.Fatal("not so within 10 s")
}

type reply struct {
	status int
	header http.Header
	body   string
}

func (r reply) outcome() messenger.Outcome { return messenger.Outcome(r.header.Get(OutcomeHeader)) }

func (b *bed) send(method, path, body string, headers ...string) reply {
	b.t.Helper()
	req, err := http.NewRequest(method, b.url+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		b.t.Fatal(err)
	}
	return reply{resp.StatusCode, resp.Header, string(data)}
}

// echo answers with the path and body, as a correct upstream does.
func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	body, _ := io.ReadAll(r.Body)
	io.WriteString(w, r.URL.RequestURI()+" "+string(body))
}

// fakeClaims is the owner of the cell.
type fakeClaims struct {
	mu      sync.Mutex
	down    bool
	held    map[string]messenger.ClaimRequest
	settled map[string]messenger.SettleRequest
}

func (f *fakeClaims) call(_ context.Context, _, method string, params, result any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return connector.Errorf(messenger.CodeUnavailable, "the store is down")
	}
	if method == messenger.MethodSettle {
		s := params.(messenger.SettleRequest)
		if s.Outcome == messenger.OutcomeNotRun {
			delete(f.held, s.Key)
		} else {
			f.settled[s.Key] = s
		}
		return nil
	}
	c := params.(messenger.ClaimRequest)
	var r messenger.ClaimReply
	held, ok := f.held[c.Key]
	settled, done := f.settled[c.Key]
	switch {
	case !ok:
		f.held[c.Key] = c
		r.State = messenger.ClaimGranted
	case held.Digest != c.Digest:
		r.State = messenger.ClaimMismatch
	case done && settled.Outcome == messenger.OutcomeRun:
		r = messenger.ClaimReply{State: messenger.ClaimSettled, Answer: settled.Answer}
	case held.RequestID == c.RequestID:
		r.State = messenger.ClaimGranted
	default:
		r.State = messenger.ClaimHeld
	}
	data, _ := json.Marshal(r)
	return json.Unmarshal(data, result)
}
