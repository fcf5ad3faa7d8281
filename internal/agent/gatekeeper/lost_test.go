package gatekeeper

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bamboospread/internal/wire/messenger"
)

// TestLostRequestKeepsItsSlot guards against upstreams with more requests than slots: one whose
// connection was reset lives on, and runs the request that was sent over it.
func TestLostRequestKeepsItsSlot(t *testing.T) {
	announce := func(sent time.Duration, running []string) func(*Gatekeeper, string, time.Time) {
		return func(g *Gatekeeper, address string, lost time.Time) {
			g.Renew(Announcement{ID: "u1", Service: "s", Address: address, Slots: 1, SentAtMillis: lost.Add(sent).UnixMilli(), Running: running})
		}
	}
	tests := []struct {
		name    string
		end     func(*net.TCPConn) // of the connection, while its request runs
		timeout time.Duration      // of the request
		after   func(g *Gatekeeper, address string, lost time.Time)
		free    bool // another request gets the slot
	}{
		{"reset", reset, 5 * time.Second, nil, false},
		{"the upstream does not say what it runs", reset, 5 * time.Second, announce(time.Second, nil), false},
		{"the upstream runs the request", reset, 5 * time.Second, announce(time.Second, []string{"other", "r1"}), false},
		{"the upstream did not run it before the loss", reset, 5 * time.Second, announce(-time.Second, []string{}), false},
		{"the upstream has ended it", reset, 5 * time.Second, announce(time.Second, []string{"other"}), true},
		{"the upstream runs nothing", reset, 5 * time.Second, announce(time.Second, []string{}), true},
		{"the time of a request without an answer has passed", reset, 50 * time.Millisecond, func(*Gatekeeper, string, time.Time) { time.Sleep(500 * time.Millisecond) }, true},
		{"the upstream has closed the connection", func(c *net.TCPConn) { c.Close() }, 5 * time.Second, nil, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(RequestIDHeader) == "r1" {
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					tt.end(conn.(*net.TCPConn))
					return
				}
				w.Header().Set(RequestIDHeader, r.Header.Get(RequestIDHeader))
			}))
			defer server.Close()
			address := server.Listener.Addr().String()
			g, clock := newGatekeeper(t, address, 1)
			first := request("r1", 1)
			first.TimeoutMillis = messenger.Millis(tt.timeout)
			if reply := g.Run(t.Context(), first); reply.Outcome != messenger.OutcomeUnknown {
				t.Fatalf("outcome %s, %s", reply.Outcome, reply.Reason)
			}
			lost := clock.read()
			clock.add(2 * time.Second)
			if tt.after != nil {
				tt.after(g, address, lost)
			}
			reply := g.Run(t.Context(), request("r2", 1))
			if free := reply.Outcome == messenger.OutcomeRun; free != tt.free || !free && reply.Reason != messenger.ReasonFull {
				t.Errorf("outcome %s, %s", reply.Outcome, reply.Reason)
			}
			drain, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if err := g.Drain(drain); err != nil {
				t.Errorf("drain: %v", err) // nobody waits for the answer
			}
		})
	}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	c.Close()
}

// TestSlotOfLostRequestIsPassedOn guards against requests that are refused while the slot that they wait
// for becomes free.
func TestSlotOfLostRequestIsPassedOn(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(RequestIDHeader) == "r1" {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			reset(conn.(*net.TCPConn))
			return
		}
		w.Header().Set(RequestIDHeader, r.Header.Get(RequestIDHeader))
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	g, clock := newGatekeeper(t, address, 1)
	g.Run(t.Context(), request("r1", 1))
	clock.add(time.Second)
	replied := make(chan messenger.RunReply)
	go func() { replied <- g.Run(t.Context(), request("r2", 1)) }()
	for len(g.Upstreams()) != 1 || g.Upstreams()[0].InFlight != 2 {
		time.Sleep(time.Millisecond)
	}
	g.Renew(Announcement{ID: "u1", Service: "s", Address: address, Slots: 1, SentAtMillis: clock.read().UnixMilli(), Running: []string{}})
	if reply := <-replied; reply.Outcome != messenger.OutcomeRun {
		t.Errorf("outcome %s, %s", reply.Outcome, reply.Reason)
	}
	if n := g.Upstreams()[0].InFlight; n != 0 {
		t.Errorf("%d requests in flight", n)
	}
}
