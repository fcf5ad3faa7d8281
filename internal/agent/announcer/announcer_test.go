package announcer

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/agent/gatekeeper"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// entry answers like an entry and notes what it was told.
type entry struct {
	id      string
	address string
	mu      sync.Mutex
	reply   messenger.AnnounceReply
	conns   []*connector.Conn
	beats   []messenger.Heartbeat
	frozen  chan struct{}   // closed: answers; nil: answers
	silent  *connector.Conn // the only one that is frozen; nil: all are
	deny    bool            // the next heartbeat
}

func startEntry(t *testing.T, id string) *entry {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &entry{id: id, address: l.Addr().String(), reply: messenger.AnnounceReply{EntryID: id}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- connector.Serve(ctx, l, e.handle, nil) }()
	t.Cleanup(func() { cancel(); <-done })
	return e
}

func (e *entry) handle(_ context.Context, c *connector.Conn, method string, params json.RawMessage) (any, error) {
	e.mu.Lock()
	frozen := e.frozen
	if e.silent != nil && e.silent != c {
		frozen = nil
	}
	e.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch method {
	case messenger.MethodAnnounce:
		e.conns = append(e.conns, c)
	case messenger.MethodHeartbeat:
		h, err := connector.Decode[messenger.Heartbeat](params)
		if err != nil {
			return nil, err
		}
		if e.deny {
			e.deny = false
			return nil, connector.Errorf(messenger.CodeNotExist, "no session")
		}
		e.beats = append(e.beats, h)
	default:
		return method, nil
	}
	return e.reply, nil
}

func (e *entry) counts() (conns, beats int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns), len(e.beats)
}

func (e *entry) last() messenger.Heartbeat {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.beats) == 0 {
		return messenger.Heartbeat{}
	}
	return e.beats[len(e.beats)-1]
}

func (e *entry) set(change func(*entry)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

func start(t *testing.T, interval time.Duration, entries ...string) (*Announcer, *gatekeeper.Gatekeeper) {
	t.Helper()
	g := gatekeeper.New(gatekeeper.Config{})
	if err := g.Renew(gatekeeper.Announcement{ID: "u1", Service: "s", Address: "127.0.0.1:1"}); err != nil {
		t.Fatal(err)
	}
	a := New(Config{AgentID: "a1", Incarnation: 1, Entries: entries, Gatekeeper: g, Interval: interval})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return a, g
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("not within 10 s: " + what)
}

// TestFrozenEntryHoldsUpNoOther freezes one of two entries, as SIGSTOP does: it
// accepts and never answers. The other one must go on getting heartbeats, and at
// once the news that the upstream leaves, though the interval is an hour.
func TestFrozenEntryHoldsUpNoOther(t *testing.T) {
	frozen, good := startEntry(t, "e1"), startEntry(t, "e2")
	release := make(chan struct{})
	frozen.set(func(e *entry) { e.frozen = release })
	defer close(release)
	_, g := start(t, time.Hour, frozen.address, good.address)
	waitFor(t, "first heartbeat", func() bool { _, beats := good.counts(); return beats > 0 })
	g.Leave("u1")
	waitFor(t, "news of leaving", func() bool {
		h := good.last()
		return len(h.Upstreams) == 1 && h.Upstreams[0].State == messenger.UpstreamLeaving
	})
}

// TestLearnsEntriesAndOwners tells the agent of a second entry and of owners. It
// must open a session there, and call the owner with the highest epoch, also
// after an older piece of news.
func TestLearnsEntriesAndOwners(t *testing.T) {
	first, second := startEntry(t, "e1"), startEntry(t, "e2")
	peers := []messenger.PeerAddress{{EntryID: "e1", Address: first.address}, {EntryID: "e2", Address: second.address}}
	first.set(func(e *entry) {
		e.reply.Peers, e.reply.Owners = peers, []messenger.CellOwner{{Cell: "main", Epoch: 1, EntryID: "e1"}}
	})
	second.set(func(e *entry) {
		e.reply.Peers, e.reply.Owners = peers, []messenger.CellOwner{{Cell: "main", Epoch: 2, EntryID: "e2"}}
	})
	a, _ := start(t, 10*time.Millisecond, first.address)
	waitFor(t, "both sessions", func() bool { _, x := first.counts(); _, y := second.counts(); return x > 3 && y > 3 })
	var got string
	if err := a.CallOwner(context.Background(), "main", "who", messenger.Empty{}, &got); err != nil || got != "who" {
		t.Errorf("got %q, %v", got, err)
	}
	if err := a.CallOwner(context.Background(), "other", "who", messenger.Empty{}, &got); connector.CodeOf(err) != messenger.CodeUnavailable {
		t.Errorf("an unknown cell got %v", err)
	}
	a.mu.Lock()
	owner := a.owners["main"]
	a.mu.Unlock()
	if owner.EntryID != "e2" {
		t.Errorf("takes %s for the owner", owner.EntryID)
	}
}

// TestOneSessionForAnEntryWithTwoAddresses reaches one entry directly and through
// a forwarder, as behind a proxy. Two sessions would throw each other out again
// and again; one must rest.
func TestOneSessionForAnEntryWithTwoAddresses(t *testing.T) {
	e := startEntry(t, "e1")
	alias := startEntry(t, "e1") // the same id at another address
	start(t, 10*time.Millisecond, e.address, alias.address)
	time.Sleep(time.Second)
	conns, beats := e.counts()
	more, moreBeats := alias.counts()
	if conns+more > 4 || beats+moreBeats < 20 {
		t.Errorf("%d connections, %d heartbeats in 1 s", conns+more, beats+moreBeats)
	}
}

// TestDrainWaitsForEntries has an entry still await an answer after the gate is
// empty: the agent must stay until the entry says that it has it.
func TestDrainWaitsForEntries(t *testing.T) {
	e := startEntry(t, "e1")
	e.set(func(e *entry) { e.reply.Outstanding = 1 })
	a, _ := start(t, time.Hour, e.address)
	waitFor(t, "session", func() bool { _, beats := e.counts(); return beats > 0 })
	drained := make(chan error, 1)
	go func() { drained <- a.Drain(context.Background()) }()
	select {
	case err := <-drained:
		t.Fatalf("left while an answer was awaited: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	e.set(func(e *entry) { e.reply.Outstanding = 0 })
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// TestReconnects closes the connection, then has the entry deny the session, as it
// does when it was lost there. The agent must open a connection anew after the
// first, and announce itself on the one it has after the second: closing that
// would cut off the requests that run on it.
func TestReconnects(t *testing.T) {
	e := startEntry(t, "e1")
	start(t, 10*time.Millisecond, e.address)
	waitFor(t, "session", func() bool { conns, _ := e.counts(); return conns == 1 })
	e.set(func(e *entry) { e.conns[0].Close() })
	waitFor(t, "second session", func() bool { conns, _ := e.counts(); return conns == 2 })
	e.set(func(e *entry) { e.deny = true })
	waitFor(t, "announcement after a denial", func() bool { conns, _ := e.counts(); return conns == 3 })
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conns[2] != e.conns[1] {
		t.Error("announced on another connection")
	}
}

// TestRunsRequestsForEntries calls the agent over the connection that it opened.
func TestRunsRequestsForEntries(t *testing.T) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(gatekeeper.RequestIDHeader, r.Header.Get(gatekeeper.RequestIDHeader))
	}))
	defer upstream.Close()
	e := startEntry(t, "e1")
	_, g := start(t, time.Hour, e.address)
	if err := g.Renew(gatekeeper.Announcement{ID: "u2", Service: "s", Address: upstream.Listener.Addr().String()}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "session", func() bool { conns, _ := e.counts(); return conns == 1 })
	e.mu.Lock()
	conn := e.conns[0]
	e.mu.Unlock()
	var reply messenger.RunReply
	err := conn.Call(context.Background(), messenger.MethodRun, messenger.RunRequest{
		RequestID: "r1", Attempt: 1, Upstream: "u2", Service: "s", Method: "GET", Path: "/", TimeoutMillis: 1000,
	}, &reply)
	if err != nil || reply.Outcome != messenger.OutcomeRun || reply.Status != 200 {
		t.Errorf("got %+v, %v", reply, err)
	}
}

// A session is told that a later one replaced it when its own connection has just ended.
// When the later one ends too, it opens again, and must not rest because of that news:
// the entry would send the agent nothing until the connection is given up.
func TestNewsOfALaterSessionDoesNotOutliveTheConnection(t *testing.T) {
	e := startEntry(t, "e1")
	a := New(Config{AgentID: "a1", Incarnation: 1, Gatekeeper: gatekeeper.New(gatekeeper.Config{}), Interval: 10 * time.Millisecond})
	s := a.newSession(e.address, true)
	s.retire()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.run(ctx)
	}()
	defer func() { cancel(); <-done }()
	waitFor(t, "heartbeats", func() bool { _, beats := e.counts(); return beats > 20 })
}

// The connection to an entry that owns a cell goes silent without an end, just after a
// poll was sent on it. A poll must come through before the lease of the VM runs out, and
// all its tasks with it; it counts from a poll that was sent up to two seconds earlier.
func TestSilentConnectionIsReplacedWithinTheLease(t *testing.T) {
	const vmLease, lastPoll, pollLimit = 6 * time.Second, 2 * time.Second, 2500 * time.Millisecond
	e := startEntry(t, "e1")
	e.set(func(e *entry) { e.reply.Owners = []messenger.CellOwner{{Cell: "main", Epoch: 1, EntryID: "e1"}} })
	a, _ := start(t, defaultInterval, e.address)
	waitFor(t, "session", func() bool { _, beats := e.counts(); return beats > 0 })
	silent := make(chan struct{})
	defer close(silent)
	e.set(func(e *entry) { e.silent, e.frozen = e.conns[0], silent })
	began := time.Now()
	for ; ; time.Sleep(100 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(t.Context(), pollLimit)
		var got string
		err := a.CallOwner(ctx, "main", "poll", messenger.Empty{}, &got)
		cancel()
		if err == nil {
			break
		}
	}
	if took := time.Since(began); took > vmLease-lastPoll {
		t.Errorf("it took %s", took)
	}
}
