package gatekeeper

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bamboospread/internal/wire/messenger"
)

type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) read() time.Time { c.mu.Lock(); defer c.mu.Unlock(); return c.now }
func (c *clock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

const testMaxWait = 300 * time.Millisecond

func newGatekeeper(t *testing.T, address string, slots int) (*Gatekeeper, *clock) {
	t.Helper()
	c := &clock{now: time.Now()}
	g := New(Config{Now: c.read, MaxOverrun: 300 * time.Millisecond, MaxWait: testMaxWait})
	if err := g.Renew(Announcement{ID: "u1", Service: "s", Address: address, Slots: slots}); err != nil {
		t.Fatal(err)
	}
	return g, c
}

func request(id string, attempt int) messenger.RunRequest {
	return messenger.RunRequest{
		RequestID: id, Attempt: attempt, Upstream: "u1", Service: "s", Method: "POST", Path: "/print",
		Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte("lot"), TimeoutMillis: 5000,
	}
}

func serveEcho(t *testing.T, runs *atomic.Int64) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header().Set(RequestIDHeader, r.Header.Get(RequestIDHeader))
		io.Copy(w, r.Body)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestRefusals sends a request in each state in which it must be refused. The
// upstream must receive nothing, and the outcome must be not-run.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Gatekeeper, *clock, *messenger.RunRequest)
		reason string
	}{
		{"leaving", func(g *Gatekeeper, _ *clock, _ *messenger.RunRequest) { g.Leave("u1") }, messenger.ReasonLeaving},
		{"leaving, then a renewal sent earlier", func(g *Gatekeeper, c *clock, _ *messenger.RunRequest) {
			sent := c.read().UnixMilli() - 5
			g.Leave("u1")
			g.Renew(Announcement{ID: "u1", Service: "s", Address: "127.0.0.1:1", SentAtMillis: sent})
		}, messenger.ReasonLeaving},
		{"no renewal for 3 s", func(_ *Gatekeeper, c *clock, _ *messenger.RunRequest) { c.add(3*time.Second + time.Millisecond) }, messenger.ReasonUnknownUpstream},
		{"agent paused, then an old renewal", func(g *Gatekeeper, c *clock, _ *messenger.RunRequest) {
			sent := c.read().UnixMilli()
			c.add(4 * time.Second)
			g.Renew(Announcement{ID: "u1", Service: "s", Address: "127.0.0.1:1", SentAtMillis: sent})
		}, messenger.ReasonUnknownUpstream},
		{"draining", func(g *Gatekeeper, _ *clock, _ *messenger.RunRequest) { g.Drain(context.Background()) }, messenger.ReasonLeaving},
		{"unknown upstream", func(_ *Gatekeeper, _ *clock, r *messenger.RunRequest) { r.Upstream = "u2" }, messenger.ReasonUnknownUpstream},
		{"another service", func(_ *Gatekeeper, _ *clock, r *messenger.RunRequest) { r.Service = "x" }, messenger.ReasonUnknownUpstream},
		{"no time left", func(_ *Gatekeeper, _ *clock, r *messenger.RunRequest) { r.TimeoutMillis = 0 }, "the deadline has passed"},
		{"bad path", func(_ *Gatekeeper, _ *clock, r *messenger.RunRequest) { r.Path = "" }, `parse path: parse "": empty url`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int64
			g, clock := newGatekeeper(t, serveEcho(t, &runs), 8)
			r := request("r1", 1)
			c.change(g, clock, &r)
			reply := g.Run(context.Background(), r)
			if reply.Outcome != messenger.OutcomeNotRun || reply.Reason != c.reason || runs.Load() != 0 {
				t.Errorf("outcome %s, reason %q, %d runs", reply.Outcome, reply.Reason, runs.Load())
			}
		})
	}
}

// TestAttemptRunsOnce receives the same attempt more than once, as after a resent
// message. The repeated one must not run, and its outcome must be unknown and not
// not-run.
func TestAttemptRunsOnce(t *testing.T) {
	var runs atomic.Int64
	g, clock := newGatekeeper(t, serveEcho(t, &runs), 8)
	if r := g.Run(context.Background(), request("r1", 1)); r.Outcome != messenger.OutcomeRun || string(r.Body) != "lot" || r.BodyLength != 3 {
		t.Errorf("got %+v", r)
	}
	for range 2 {
		if r := g.Run(context.Background(), request("r1", 1)); r.Outcome != messenger.OutcomeUnknown {
			t.Errorf("got %s", r.Outcome)
		}
		clock.add(time.Second)
	}
	if r := g.Run(context.Background(), request("r1", 2)); r.Outcome != messenger.OutcomeRun || runs.Load() != 2 {
		t.Errorf("another attempt: outcome %s, %d runs", r.Outcome, runs.Load())
	}
}

// TestBrokenIdleConnectionSendsOnce has the upstream close each idle connection
// when it receives the next request on it. http.Transport would automatically
// resend a request with an Idempotency-Key; here the upstream must receive it once
// and the outcome must be unknown.
func TestBrokenIdleConnectionSendsOnce(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var received atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				buffer := make([]byte, 4096)
				for i := range 2 {
					n, err := conn.Read(buffer)
					if err != nil {
						return
					}
					received.Add(1)
					_, id, _ := strings.Cut(string(buffer[:n]), RequestIDHeader+": ")
					id, _, _ = strings.Cut(id, "\r")
					if i == 0 {
						fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", RequestIDHeader, id)
					}
				}
			}()
		}
	}()
	g, _ := newGatekeeper(t, l.Addr().String(), 8)
	if r := g.Run(context.Background(), request("r1", 1)); r.Outcome != messenger.OutcomeRun {
		t.Fatalf("got %+v", r)
	}
	if r := g.Run(context.Background(), request("r2", 1)); r.Outcome != messenger.OutcomeUnknown {
		t.Errorf("got %+v", r)
	}
	if received.Load() != 2 {
		t.Errorf("the upstream received %d requests, want 2", received.Load())
	}
}

// TestSlotStaysOccupiedUntilUpstreamEnds gives a request less time than the
// upstream needs. The caller gets a reply at the deadline; the slot must stay
// occupied while the upstream is working on the request, else the upstream would
// get more requests than it has slots.
func TestSlotStaysOccupiedUntilUpstreamEnds(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		w.Header().Set(RequestIDHeader, r.Header.Get(RequestIDHeader))
	}))
	defer server.Close()
	g, _ := newGatekeeper(t, server.Listener.Addr().String(), 1)
	g.config.MaxWait, g.config.MaxOverrun = -1, 5*time.Second
	late := request("r1", 1)
	late.TimeoutMillis = 30
	if r := g.Run(context.Background(), late); r.Outcome != messenger.OutcomeUnknown {
		t.Errorf("got %+v", r)
	}
	time.Sleep(50 * time.Millisecond)
	if r := g.Run(context.Background(), request("r2", 1)); r.Reason != messenger.ReasonFull || r.RetryAfterMillis <= 0 {
		t.Errorf("got %+v", r)
	}
	close(release)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if r := g.Run(context.Background(), request(fmt.Sprint("r3", time.Now().UnixNano()), 1)); r.Outcome == messenger.OutcomeRun {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the slot was not freed")
		}
	}
}

// TestSlotQueue fills both slots and queues two requests, one for each slot. A
// fifth request must be refused at once, and a freed slot must go to the request
// with the earliest deadline. When the upstream leaves, the waiting requests must
// be refused at once as not run.
func TestSlotQueue(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		t.Run(fmt.Sprint("upstream leaves ", leaves), func(t *testing.T) {
			release := make(chan struct{})
			var mu sync.Mutex
			var order []string
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				order = append(order, r.Header.Get(RequestIDHeader))
				mu.Unlock()
				<-release
				w.Header().Set(RequestIDHeader, r.Header.Get(RequestIDHeader))
			}))
			defer server.Close()
			g, _ := newGatekeeper(t, server.Listener.Addr().String(), 2)
			arrived := func() int { mu.Lock(); defer mu.Unlock(); return len(order) }
			replies := make(chan messenger.RunReply, 4)
			for i, timeout := range []int64{5000, 5000, 4000, 3000} {
				r := request(fmt.Sprint("r", i), 1)
				r.TimeoutMillis = timeout
				go func() { replies <- g.Run(context.Background(), r) }()
				for g.Upstreams()[0].InFlight <= i || arrived() < min(i+1, 2) {
					time.Sleep(time.Millisecond)
				}
			}
			started := time.Now()
			if r := g.Run(context.Background(), request("r4", 1)); r.Reason != messenger.ReasonFull || time.Since(started) > testMaxWait/2 {
				t.Errorf("the fifth request got reason %q after %s", r.Reason, time.Since(started))
			}
			if leaves {
				g.Leave("u1")
				for range 2 {
					if r := <-replies; r.Reason != messenger.ReasonLeaving || time.Since(started) > testMaxWait/2 {
						t.Errorf("got %+v after %s", r, time.Since(started))
					}
				}
			}
			for i := range 2 {
				release <- struct{}{}
				<-replies
				for !leaves && arrived() < 3+i {
					time.Sleep(time.Millisecond)
				}
			}
			close(release)
			if leaves {
				return
			}
			for range 2 {
				if r := <-replies; r.Outcome != messenger.OutcomeRun {
					t.Errorf("got %+v", r)
				}
			}
			if len(order) != 4 || order[2] != "r3" || order[3] != "r2" {
				t.Errorf("order of runs: %v", order)
			}
		})
	}
}

func TestHandlerAcceptsAnnouncements(t *testing.T) {
	g := New(Config{})
	changes := 0
	g.SetOnChange(func() { changes++ })
	call := func(method, path, body string) int {
		w := httptest.NewRecorder()
		g.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w.Code
	}
	good, _ := json.Marshal(Announcement{ID: "u1", Service: "s", Address: "127.0.0.1:80", Slots: 4})
	cases := []struct {
		method, path, body string
		want               int
	}{
		{"POST", "/v1/upstreams", "{", 400},
		{"POST", "/v1/upstreams", `{"id":"u1"}`, 400},
		{"POST", "/v1/upstreams", `{"id":"u1","service":"s","address":"here"}`, 400},
		{"POST", "/v1/upstreams", string(good), 204},
		{"POST", "/v1/upstreams", string(good), 204},
		{"DELETE", "/v1/upstreams/u2", "", 204},
		{"DELETE", "/v1/upstreams/u1", "", 204},
	}
	for _, c := range cases {
		if got := call(c.method, c.path, c.body); got != c.want {
			t.Errorf("%s %s %s: status %d, want %d", c.method, c.path, c.body, got, c.want)
		}
	}
	list := g.Upstreams()
	if len(list) != 1 || list[0].State != messenger.UpstreamLeaving || list[0].Slots != 4 || list[0].Connections != 64 || changes != 2 {
		t.Errorf("got %+v, %d changes", list, changes)
	}
}
