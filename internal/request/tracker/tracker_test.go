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

// clock is set by the test.
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

// bed is a tracker behind a listener and one connection of an agent.
type bed struct {
	t       *testing.T
	clock   *clock
	tracker *Tracker
	address string
	conn    *connector.Conn
}

func newBed(t *testing.T) *bed {
	t.Helper()
	b := &bed{t: t, clock: &clock{now: time.Now()}}
	b.tracker = New(Config{EntryID: "e1", Now: b.clock.read})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.address = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- b.tracker.Run(ctx) }()
	go func() { done <- connector.Serve(ctx, l, b.tracker.Handle, nil) }()
	t.Cleanup(func() { cancel(); <-done; <-done })
	b.conn = b.dial()
	return b
}

func (b *bed) dial() *connector.Conn {
	b.t.Helper()
	c, err := connector.Dial(context.Background(), b.address, func(context.Context, *connector.Conn, string, json.RawMessage) (any, error) {
		return messenger.RunReply{InFlight: 3}, nil
	})
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { c.Close() })
	return c
}

func upstreams(state messenger.UpstreamState) []messenger.Upstream {
	return []messenger.Upstream{{ID: "u1", Service: "s", Slots: 8, State: state}}
}

func (b *bed) announce(c *connector.Conn, incarnation, sequence int64) error {
	return c.Call(context.Background(), messenger.MethodAnnounce, messenger.Announce{
		AgentID: "a1", Incarnation: incarnation, Sequence: sequence, Upstreams: upstreams(messenger.UpstreamReady),
	}, &messenger.AnnounceReply{})
}

func (b *bed) beat(c *connector.Conn, incarnation, sequence int64, state messenger.UpstreamState) error {
	return c.Call(context.Background(), messenger.MethodHeartbeat, messenger.Heartbeat{
		AgentID: "a1", Incarnation: incarnation, Sequence: sequence, Upstreams: upstreams(state),
	}, &messenger.AnnounceReply{})
}

func (b *bed) ready() bool {
	list := b.tracker.Snapshot().Upstreams("s")
	return len(list) == 1 && list[0].Ready(b.clock.read())
}

func (b *bed) must(err error) {
	b.t.Helper()
	if err != nil {
		b.t.Fatal(err)
	}
}

// TestPausedEntryTrustsNoOldHeartbeat stops the entry for some seconds after a
// heartbeat. Waking, it reads its snapshot before any timer has fired: the
// upstream must not count as ready, since it may have left meanwhile.
func TestPausedEntryTrustsNoOldHeartbeat(t *testing.T) {
	b := newBed(t)
	b.must(b.announce(b.conn, 1, 1))
	if b.ready() {
		t.Fatal("ready before the agent used the connection")
	}
	b.must(b.beat(b.conn, 1, 2, messenger.UpstreamReady))
	if !b.ready() {
		t.Fatal("not ready after a heartbeat")
	}
	b.clock.add(3*time.Second + time.Millisecond)
	if b.ready() {
		t.Error("ready after 3 s of silence")
	}
	b.must(b.beat(b.conn, 1, 3, messenger.UpstreamReady))
	if !b.ready() {
		t.Error("not ready after a heartbeat")
	}
}

// TestOlderNewsIsNotTaken has a heartbeat overtaken by a newer one that says
// leaving, and an older incarnation come late: neither brings the upstream back.
func TestOlderNewsIsNotTaken(t *testing.T) {
	b := newBed(t)
	b.must(b.announce(b.conn, 2, 1))
	b.must(b.beat(b.conn, 2, 5, messenger.UpstreamLeaving))
	b.must(b.beat(b.conn, 2, 4, messenger.UpstreamReady))
	if b.ready() {
		t.Error("an older heartbeat brought it back")
	}
	other := b.dial()
	if err := b.announce(other, 1, 9); connector.CodeOf(err) != messenger.CodeBadRequest {
		t.Errorf("an older incarnation got %v", err)
	}
	if err := b.beat(other, 2, 6, messenger.UpstreamReady); connector.CodeOf(err) != messenger.CodeNotExist {
		t.Errorf("a heartbeat on a connection without a session got %v", err)
	}
}

// TestHeldUpAnnouncementTakesNoSession has an announcement come late, on a
// connection that the agent gave up for a later one. The later session must go on:
// thrown out, its requests in flight would be cut off when it is opened anew.
func TestHeldUpAnnouncementTakesNoSession(t *testing.T) {
	b := newBed(t)
	second := b.dial()
	b.must(b.announce(second, 1, 2))
	b.must(b.beat(second, 1, 3, messenger.UpstreamReady))
	if err := b.announce(b.conn, 1, 1); connector.CodeOf(err) != messenger.CodeBadRequest {
		t.Errorf("the late announcement got %v", err)
	}
	b.must(b.beat(second, 1, 4, messenger.UpstreamReady))
	if !b.ready() {
		t.Error("the later session was lost")
	}
}

// TestClosedConnectionRemovesAtOnce closes the agent's connection, as the death
// of the agent does; an older connection of the same agent changes nothing.
func TestClosedConnectionRemovesAtOnce(t *testing.T) {
	b := newBed(t)
	b.must(b.announce(b.conn, 1, 1))
	second := b.dial()
	b.must(b.announce(second, 1, 2))
	b.must(b.beat(second, 1, 3, messenger.UpstreamReady))
	b.conn.Close()
	time.Sleep(50 * time.Millisecond)
	if !b.ready() {
		t.Fatal("the end of an older connection removed the session")
	}
	second.Close()
	for end := time.Now().Add(5 * time.Second); b.ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("still there 5 s after its connection closed")
		}
	}
}

// TestAgentRestartedAfterItsClockJumpedBack: the next process of an agent has a lower
// number. It is taken as soon as the connection of the one before has ended, and also if
// that one has only gone silent.
func TestAgentRestartedAfterItsClockJumpedBack(t *testing.T) {
	ends := map[string]func(b *bed){
		"ended":  func(b *bed) { b.conn.Close() },
		"silent": func(b *bed) { b.clock.add(forgetAfter*defaultExpiry + time.Second) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			b.must(b.announce(b.conn, 9, 1))
			b.must(b.beat(b.conn, 9, 2, messenger.UpstreamReady))
			next := b.dial()
			if err := b.announce(next, 7, 1); err == nil {
				t.Fatal("taken beside the one before")
			}
			end(b)
			for limit := time.Now().Add(5 * time.Second); b.announce(next, 7, 1) != nil; time.Sleep(time.Millisecond) {
				if time.Now().After(limit) {
					t.Fatal("refused for 5 s")
				}
			}
			b.must(b.beat(next, 7, 2, messenger.UpstreamReady))
			if !b.ready() {
				t.Error("not ready after a heartbeat")
			}
		})
	}
}

// TestCountsOthersRequests: what the agent counts beyond this entry's own is the
// load of other entries.
func TestCountsOthersRequests(t *testing.T) {
	b := newBed(t)
	b.must(b.announce(b.conn, 1, 1))
	u := b.tracker.Snapshot().Upstreams("s")[0]
	if _, err := u.Run(context.Background(), messenger.RunRequest{}); err != nil {
		t.Fatal(err)
	}
	if u.InFlight() != 3 || u.OthersInFlight() != 3 {
		t.Errorf("in flight %d, of others %d", u.InFlight(), u.OthersInFlight())
	}
}
