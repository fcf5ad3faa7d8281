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

// entry is a fake entry that answers with reply and records what it receives.
type entry struct {
	id          string
	address     string
	mu          sync.Mutex
	reply       messenger.AnnounceReply
	conns       []*connector.Conn // of the announcements
	heartbeats  []messenger.Heartbeat
	block       chan struct{}   // answers wait until it is closed; nil: no waiting
	blockedConn *connector.Conn // the only connection that block applies to; nil: all
	deny        bool            // refuse the next heartbeat
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
	block := e.block
	if e.blockedConn != nil && e.blockedConn != c {
		block = nil
	}
	e.mu.Unlock()
	if block != nil {
		<-block
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
		e.heartbeats = append(e.heartbeats, h)
	default:
		return method, nil
	}
	return e.reply, nil
}

func (e *entry) counts() (announcements, heartbeats int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns), len(e.heartbeats)
}

func (e *entry) lastHeartbeat() messenger.Heartbeat {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.heartbeats) == 0 {
		return messenger.Heartbeat{}
	}
	return e.heartbeats[len(e.heartbeats)-1]
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
	a := New(Config{AgentID: "a1", Incarnation: 1, Entries: entries, Gatekeeper: g, HeartbeatInterval: interval})
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
	t.Fatal("did not happen within 10 s: " + what)
}

// TestFrozenEntryDoesNotBlockOthers freezes one of two entries, as SIGSTOP does: it
// accepts connections and never answers. The other one must still get heartbeats,
// and at once the state of the leaving upstream, although the interval is an hour.
func TestFrozenEntryDoesNotBlockOthers(t *testing.T) {
	frozen, healthy := startEntry(t, "e1"), startEntry(t, "e2")
	release := make(chan struct{})
	frozen.set(func(e *entry) { e.block = release })
	defer close(release)
	_, g := start(t, time.Hour, frozen.address, healthy.address)
	waitFor(t, "first heartbeat", func() bool { _, heartbeats := healthy.counts(); return heartbeats > 0 })
	g.Leave("u1")
	waitFor(t, "heartbeat with the leaving upstream", func() bool {
		h := healthy.lastHeartbeat()
		return len(h.Upstreams) == 1 && h.Upstreams[0].State == messenger.UpstreamLeaving
	})
}

// TestLearnsEntriesAndOwners reports a second entry and owners to the agent. It must
// open a session with that entry, and call the owner with the highest epoch, even
// if an older owner is reported later.
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
		t.Errorf("call to an unknown cell: %v", err)
	}
	a.mu.Lock()
	owner := a.owners["main"]
	a.mu.Unlock()
	if owner.EntryID != "e2" {
		t.Errorf("the owner is %s, want e2", owner.EntryID)
	}
}

// TestOneSessionForAnEntryWithTwoAddresses configures one entry at two addresses, as
// if one were a proxy. Two sessions would replace each other again and again; one
// must stay idle.
func TestOneSessionForAnEntryWithTwoAddresses(t *testing.T) {
	e := startEntry(t, "e1")
	alias := startEntry(t, "e1") // the same ID at another address
	start(t, 10*time.Millisecond, e.address, alias.address)
	time.Sleep(time.Second)
	announcements, heartbeats := e.counts()
	aliasAnnouncements, aliasHeartbeats := alias.counts()
	if announcements+aliasAnnouncements > 4 || heartbeats+aliasHeartbeats < 20 {
		t.Errorf("%d announcements, %d heartbeats in 1 s; want at most 4, at least 20", announcements+aliasAnnouncements, heartbeats+aliasHeartbeats)
	}
}

// TestDrainWaitsForEntries has an entry still await an answer when no requests are in
// flight. Drain must not return until the entry reports that it awaits none.
func TestDrainWaitsForEntries(t *testing.T) {
	e := startEntry(t, "e1")
	e.set(func(e *entry) { e.reply.Outstanding = 1 })
	a, _ := start(t, time.Hour, e.address)
	waitFor(t, "session", func() bool { _, heartbeats := e.counts(); return heartbeats > 0 })
	drained := make(chan error, 1)
	go func() { drained <- a.Drain(context.Background()) }()
	select {
	case err := <-drained:
		t.Fatalf("drained while an answer was awaited: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	e.set(func(e *entry) { e.reply.Outstanding = 0 })
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// TestReconnects closes the connection, then has the entry deny the session, as it
// does when it has lost it. After the first the agent must open a new connection;
// after the second it must announce itself on the existing one, since closing that
// would abort the requests that run on it.
func TestReconnects(t *testing.T) {
	e := startEntry(t, "e1")
	start(t, 10*time.Millisecond, e.address)
	waitFor(t, "session", func() bool { announcements, _ := e.counts(); return announcements == 1 })
	e.set(func(e *entry) { e.conns[0].Close() })
	waitFor(t, "second session", func() bool { announcements, _ := e.counts(); return announcements == 2 })
	e.set(func(e *entry) { e.deny = true })
	waitFor(t, "announcement after the denial", func() bool { announcements, _ := e.counts(); return announcements == 3 })
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conns[2] != e.conns[1] {
		t.Error("the agent announced itself on another connection")
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
	waitFor(t, "session", func() bool { announcements, _ := e.counts(); return announcements == 1 })
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

// A session is marked as replaced by a later one just after its own connection has ended.
// When the later one ends too, it reconnects, and must not stay idle because of the old
// mark: the entry would send the agent nothing until that connection is closed.
func TestReplacementMarkEndsWithTheConnection(t *testing.T) {
	e := startEntry(t, "e1")
	a := New(Config{AgentID: "a1", Incarnation: 1, Gatekeeper: gatekeeper.New(gatekeeper.Config{}), HeartbeatInterval: 10 * time.Millisecond})
	s := a.newSession(e.address, true)
	s.markReplaced()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.run(ctx)
	}()
	defer func() { cancel(); <-done }()
	waitFor(t, "heartbeats", func() bool { _, heartbeats := e.counts(); return heartbeats > 20 })
}

// The connection to an entry that owns a cell stops answering without being closed, just
// after a poll was sent on it. A poll must succeed before the lease of the VM expires and
// all its tasks end; the lease counts from a poll that was sent up to two seconds earlier.
func TestUnresponsiveConnectionIsReplacedWithinLease(t *testing.T) {
	const vmLease, lastPoll, pollTimeout = 6 * time.Second, 2 * time.Second, 2500 * time.Millisecond
	e := startEntry(t, "e1")
	e.set(func(e *entry) { e.reply.Owners = []messenger.CellOwner{{Cell: "main", Epoch: 1, EntryID: "e1"}} })
	a, _ := start(t, defaultInterval, e.address)
	waitFor(t, "session", func() bool { _, heartbeats := e.counts(); return heartbeats > 0 })
	block := make(chan struct{})
	defer close(block)
	e.set(func(e *entry) { e.blockedConn, e.block = e.conns[0], block })
	started := time.Now()
	for ; ; time.Sleep(100 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(t.Context(), pollTimeout)
		var got string
		err := a.CallOwner(ctx, "main", "poll", messenger.Empty{}, &got)
		cancel()
		if err == nil {
			break
		}
	}
	if elapsed := time.Since(started); elapsed > vmLease-lastPoll {
		t.Errorf("a poll succeeded after %s, want at most %s", elapsed, vmLease-lastPoll)
	}
}
