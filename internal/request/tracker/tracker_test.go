package tracker

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// clock is a clock that is advanced by the test.
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

// fixture is a tracker that serves a listener, and one connection of an agent.
type fixture struct {
	t       *testing.T
	clock   *clock
	tracker *Tracker
	address string
	conn    *connector.Conn
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, clock: &clock{now: time.Now()}}
	f.tracker = New(Config{EntryID: "e1", Now: f.clock.read})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- f.tracker.Run(ctx) }()
	go func() { done <- connector.Serve(ctx, l, f.tracker.Handle, nil) }()
	t.Cleanup(func() { cancel(); <-done; <-done })
	f.conn = f.dial()
	return f
}

func (f *fixture) dial() *connector.Conn {
	f.t.Helper()
	c, err := connector.Dial(context.Background(), f.address, func(context.Context, *connector.Conn, string, json.RawMessage) (any, error) {
		return messenger.RunReply{InFlight: 3}, nil
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { c.Close() })
	return c
}

func upstreams(state messenger.UpstreamState) []messenger.Upstream {
	return []messenger.Upstream{{ID: "u1", Service: "s", Slots: 8, State: state}}
}

func (f *fixture) announce(c *connector.Conn, incarnation, sequence int64) error {
	return c.Call(context.Background(), messenger.MethodAnnounce, messenger.Announce{
		AgentID: "a1", Incarnation: incarnation, Sequence: sequence, Upstreams: upstreams(messenger.UpstreamReady),
	}, &messenger.AnnounceReply{})
}

func (f *fixture) heartbeat(c *connector.Conn, incarnation, sequence int64, state messenger.UpstreamState) error {
	return c.Call(context.Background(), messenger.MethodHeartbeat, messenger.Heartbeat{
		AgentID: "a1", Incarnation: incarnation, Sequence: sequence, Upstreams: upstreams(state),
	}, &messenger.AnnounceReply{})
}

func (f *fixture) ready() bool {
	list := f.tracker.Snapshot().Upstreams("s")
	return len(list) == 1 && list[0].Ready(f.clock.read())
}

func (f *fixture) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// TestPausedEntryIgnoresStaleHeartbeat pauses the entry for some seconds after a
// heartbeat. When it resumes, it reads its snapshot before any timer has fired: the
// upstream must not be ready, since it may have left in the meantime.
func TestPausedEntryIgnoresStaleHeartbeat(t *testing.T) {
	f := newFixture(t)
	f.must(f.announce(f.conn, 1, 1))
	if f.ready() {
		t.Fatal("ready before the first heartbeat on the connection")
	}
	f.must(f.heartbeat(f.conn, 1, 2, messenger.UpstreamReady))
	if !f.ready() {
		t.Fatal("not ready after a heartbeat")
	}
	f.clock.add(3*time.Second + time.Millisecond)
	if f.ready() {
		t.Error("ready 3 s after the last heartbeat")
	}
	f.must(f.heartbeat(f.conn, 1, 3, messenger.UpstreamReady))
	if !f.ready() {
		t.Error("not ready after a heartbeat")
	}
}

// TestOlderUpdatesAreIgnored delivers a heartbeat after a newer one with the state
// leaving, and a late announcement of an older incarnation: neither may make the
// upstream ready again.
func TestOlderUpdatesAreIgnored(t *testing.T) {
	f := newFixture(t)
	f.must(f.announce(f.conn, 2, 1))
	f.must(f.heartbeat(f.conn, 2, 5, messenger.UpstreamLeaving))
	f.must(f.heartbeat(f.conn, 2, 4, messenger.UpstreamReady))
	if f.ready() {
		t.Error("ready again after an older heartbeat")
	}
	other := f.dial()
	if err := f.announce(other, 1, 9); connector.CodeOf(err) != messenger.CodeBadRequest {
		t.Errorf("an older incarnation got %v", err)
	}
	if err := f.heartbeat(other, 2, 6, messenger.UpstreamReady); connector.CodeOf(err) != messenger.CodeNotExist {
		t.Errorf("a heartbeat on a connection without a session got %v", err)
	}
}

// TestDelayedAnnouncementKeepsLaterSession delivers a late announcement on a connection
// that the agent has replaced by a later one. The later session must remain: if it were
// replaced, the agent would open it again, which cuts off its requests in flight.
func TestDelayedAnnouncementKeepsLaterSession(t *testing.T) {
	f := newFixture(t)
	second := f.dial()
	f.must(f.announce(second, 1, 2))
	f.must(f.heartbeat(second, 1, 3, messenger.UpstreamReady))
	if err := f.announce(f.conn, 1, 1); connector.CodeOf(err) != messenger.CodeBadRequest {
		t.Errorf("the late announcement got %v", err)
	}
	f.must(f.heartbeat(second, 1, 4, messenger.UpstreamReady))
	if !f.ready() {
		t.Error("the later session was lost")
	}
}

// TestClosedConnectionRemovesUpstreams closes the agent's connection, as a crash of the
// agent does: its upstreams must be removed. Closing an older connection of the same
// agent must change nothing.
func TestClosedConnectionRemovesUpstreams(t *testing.T) {
	f := newFixture(t)
	f.must(f.announce(f.conn, 1, 1))
	second := f.dial()
	f.must(f.announce(second, 1, 2))
	f.must(f.heartbeat(second, 1, 3, messenger.UpstreamReady))
	f.conn.Close()
	time.Sleep(50 * time.Millisecond)
	if !f.ready() {
		t.Fatal("the end of an older connection removed the session")
	}
	second.Close()
	for end := time.Now().Add(5 * time.Second); f.ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("upstream still ready 5 s after the connection was closed")
		}
	}
}

// TestAgentRestartAfterClockStepsBack restarts an agent whose clock stepped back, so
// that its incarnation, the start time, is lower. It must be accepted as soon as the
// connection of the previous incarnation has ended, and also if that one has only stopped
// sending heartbeats.
func TestAgentRestartAfterClockStepsBack(t *testing.T) {
	ends := map[string]func(f *fixture){
		"connection ended": func(f *fixture) { f.conn.Close() },
		"no heartbeats":    func(f *fixture) { f.clock.add(sessionExpiries*defaultExpiry + time.Second) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.must(f.announce(f.conn, 9, 1))
			f.must(f.heartbeat(f.conn, 9, 2, messenger.UpstreamReady))
			next := f.dial()
			if err := f.announce(next, 7, 1); err == nil {
				t.Fatal("accepted while the previous incarnation had a session")
			}
			end(f)
			for deadline := time.Now().Add(5 * time.Second); f.announce(next, 7, 1) != nil; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("still refused after 5 s")
				}
			}
			f.must(f.heartbeat(next, 7, 2, messenger.UpstreamReady))
			if !f.ready() {
				t.Error("not ready after a heartbeat")
			}
		})
	}
}

// TestCountsRequestsOfOtherEntries checks that the requests reported by the agent beyond
// this entry's own count as the load of other entries.
func TestCountsRequestsOfOtherEntries(t *testing.T) {
	f := newFixture(t)
	f.must(f.announce(f.conn, 1, 1))
	u := f.tracker.Snapshot().Upstreams("s")[0]
	if _, err := u.Run(context.Background(), messenger.RunRequest{}); err != nil {
		t.Fatal(err)
	}
	if u.InFlight() != 3 || u.OtherEntriesInFlight() != 3 {
		t.Errorf("%d requests in flight, %d of other entries", u.InFlight(), u.OtherEntriesInFlight())
	}
}
