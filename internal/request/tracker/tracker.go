// Package tracker tracks the agents and their upstreams by their announcements and
// heartbeats. One goroutine owns the sessions; request handling reads immutable
// snapshots.
package tracker

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/request/balancer"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

const (
	defaultExpiry = 3 * time.Second
	sweepInterval = 500 * time.Millisecond
	// sessionExpiries is the number of Expiry periods without a heartbeat after
	// which a session is closed.
	sessionExpiries = 10
)

// Config holds the settings of a Tracker.
type Config struct {
	EntryID      string
	Peers        func() []messenger.PeerAddress
	Owners       func() []messenger.CellOwner
	FleetVersion func() int64
	Reporter     *reporter.Reporter
	Now          func() time.Time
	// Expiry is the time without a heartbeat after which an agent's upstreams are
	// sent no new requests; default 3 s.
	Expiry time.Duration
}

// Tracker tracks agents and their upstreams. It is safe for concurrent use.
type Tracker struct {
	config   Config
	events   chan event
	snapshot atomic.Pointer[Snapshot]
	entries  atomic.Int64        // live entries at the last reply to an agent
	sessions map[string]*session // owned by Run
}

// event is a change to be applied by the goroutine that owns the sessions.
type event struct {
	announce  *messenger.Announce
	heartbeat *messenger.Heartbeat
	closed    *connector.Conn
	conn      *connector.Conn
	result    chan error
}

// session is the state of one agent's session.
type session struct {
	announce      messenger.Announce
	sequence      int64
	conn          *connector.Conn
	lastHeartbeat *atomic.Int64 // as returned by sinceStart
	upstreams     map[string]*Upstream
	outstanding   *atomic.Int64
	confirmed     *atomic.Bool // a heartbeat was received on the connection
}

// New returns a Tracker without agents. Handle only answers while Run is running.
func New(c Config) *Tracker {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Expiry <= 0 {
		c.Expiry = defaultExpiry
	}
	if c.Reporter == nil {
		c.Reporter = reporter.Discard()
	}
	t := &Tracker{config: c, events: make(chan event), sessions: make(map[string]*session)}
	t.snapshot.Store(&Snapshot{})
	return t
}

// Run applies events to the sessions until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-t.events:
			err := t.apply(e)
			if e.result != nil {
				e.result <- err
			}
		case <-ticker.C:
			t.sweep()
		}
	}
}

// Handle handles MethodAnnounce and MethodHeartbeat.
func (t *Tracker) Handle(ctx context.Context, conn *connector.Conn, method string, params json.RawMessage) (any, error) {
	e := event{conn: conn, result: make(chan error, 1)}
	switch method {
	case messenger.MethodAnnounce:
		a, err := connector.Decode[messenger.Announce](params)
		if err != nil {
			return nil, err
		}
		e.announce = &a
	case messenger.MethodHeartbeat:
		h, err := connector.Decode[messenger.Heartbeat](params)
		if err != nil {
			return nil, err
		}
		e.heartbeat = &h
	default:
		return nil, connector.Errorf(messenger.CodeBadRequest, "unknown method %s", method)
	}
	if err := t.submit(ctx, e); err != nil {
		return nil, err
	}
	if e.announce != nil {
		t.removeOnClose(ctx, conn)
	}
	return t.reply(e), nil
}

func (t *Tracker) submit(ctx context.Context, e event) error {
	select {
	case t.events <- e:
	case <-ctx.Done():
		return connector.Errorf(messenger.CodeUnavailable, "the entry is stopping")
	}
	select {
	case err := <-e.result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// removeOnClose removes the session as soon as its connection ends.
func (t *Tracker) removeOnClose(ctx context.Context, conn *connector.Conn) {
	// The goroutine ends with the connection. The handler's context does so too, so
	// the event is sent without its cancellation; the timeout covers a stopped
	// tracker, which receives no events.
	go func() {
		<-conn.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), t.config.Expiry)
		defer cancel()
		select {
		case t.events <- event{closed: conn}:
		case <-stop.Done():
		}
	}()
}

func (t *Tracker) reply(e event) messenger.AnnounceReply {
	r := messenger.AnnounceReply{EntryID: t.config.EntryID}
	if t.config.Peers != nil {
		r.Peers = t.config.Peers()
		t.entries.Store(int64(len(r.Peers)))
	}
	if t.config.Owners != nil {
		r.Owners = t.config.Owners()
	}
	if t.config.FleetVersion != nil {
		r.FleetVersion = t.config.FleetVersion()
	}
	agent := ""
	if e.announce != nil {
		agent = e.announce.AgentID
	} else if e.heartbeat != nil {
		agent = e.heartbeat.AgentID
	}
	r.Outstanding = t.Snapshot().outstanding(agent)
	return r
}

func (t *Tracker) apply(e event) error {
	switch {
	case e.announce != nil:
		return t.applyAnnounce(e)
	case e.heartbeat != nil:
		return t.applyHeartbeat(e)
	}
	for id, s := range t.sessions {
		if s.conn == e.closed {
			delete(t.sessions, id)
			t.config.Reporter.Report(reporter.AgentLost, reporter.Fields{"agent": id, "reason": "connection ended"})
			t.publish()
		}
	}
	return nil
}

func (t *Tracker) applyAnnounce(e event) error {
	a := *e.announce
	old := t.sessions[a.AgentID]
	if old != nil && old.announce.Incarnation > a.Incarnation {
		return connector.Errorf(messenger.CodeBadRequest, "agent %s: incarnation %d is older than the current one, %d", a.AgentID, a.Incarnation, old.announce.Incarnation)
	}
	// A delayed announcement on a connection that the agent has abandoned since must
	// not replace the session of a later connection: heartbeats on the later one would
	// be refused, and requests would be sent over the abandoned one.
	if old != nil && old.announce.Incarnation == a.Incarnation && a.Sequence < old.sequence {
		return connector.Errorf(messenger.CodeBadRequest, "agent %s: sequence %d is older than that of the current session, %d", a.AgentID, a.Sequence, old.sequence)
	}
	s := &session{
		announce: a, conn: e.conn, lastHeartbeat: new(atomic.Int64), outstanding: new(atomic.Int64),
		confirmed: new(atomic.Bool), upstreams: make(map[string]*Upstream),
	}
	if old != nil && old.announce.Incarnation == a.Incarnation {
		s.upstreams, s.outstanding = old.upstreams, old.outstanding
	}
	s.sequence = a.Sequence
	t.sessions[a.AgentID] = s
	// The upstreams are sent requests only after the first heartbeat, which shows that
	// the agent received the reply and uses this connection.
	s.lastHeartbeat.Store(sinceStart(t.config.Now()))
	s.confirmed.Store(old != nil && old.conn == e.conn && old.confirmed.Load())
	t.replaceUpstreams(s, a.Upstreams)
	t.config.Reporter.Report(reporter.AgentAnnounced, reporter.Fields{"agent": a.AgentID, "vm": a.VM, "upstreams": len(a.Upstreams)})
	return nil
}

func (t *Tracker) applyHeartbeat(e event) error {
	h := *e.heartbeat
	s := t.sessions[h.AgentID]
	if s == nil || s.conn != e.conn || s.announce.Incarnation != h.Incarnation {
		return connector.Errorf(messenger.CodeNotExist, "agent %s has no session on this connection", h.AgentID)
	}
	// Each call on a connection runs in its own goroutine, so an older heartbeat may
	// be handled after a newer one; applying it would make a leaving upstream ready
	// again.
	if h.Sequence <= s.sequence {
		return nil
	}
	s.sequence = h.Sequence
	s.lastHeartbeat.Store(sinceStart(t.config.Now()))
	s.confirmed.Store(true)
	t.replaceUpstreams(s, h.Upstreams)
	return nil
}

// replaceUpstreams replaces the upstreams of a session. Each gets a new value, since
// requests may still use the old one; both share the load and the health.
func (t *Tracker) replaceUpstreams(s *session, list []messenger.Upstream) {
	now := t.config.Now()
	next := make(map[string]*Upstream, len(list))
	for _, u := range list {
		up := &Upstream{
			announced: u, agentID: s.announce.AgentID, vm: s.announce.VM, zone: s.announce.Zone,
			conn: s.conn, lastHeartbeat: s.lastHeartbeat, outstanding: s.outstanding, confirmed: s.confirmed, expiry: t.config.Expiry,
		}
		if old := s.upstreams[u.ID]; old != nil {
			up.load, up.health, up.firstSeen = old.load, old.health, old.firstSeen
		} else {
			up.load, up.health, up.firstSeen = &load{}, &balancer.Health{}, now
		}
		up.load.update(u.InFlight)
		next[u.ID] = up
	}
	s.upstreams = next
	t.publish()
}

// sweep closes the sessions without a heartbeat for sessionExpiries expiries.
func (t *Tracker) sweep() {
	now := sinceStart(t.config.Now())
	for id, s := range t.sessions {
		if time.Duration(now-s.lastHeartbeat.Load()) > sessionExpiries*t.config.Expiry {
			delete(t.sessions, id)
			t.config.Reporter.Report(reporter.AgentLost, reporter.Fields{"agent": id, "reason": "no heartbeat"})
			s.conn.Close()
			t.publish()
		}
	}
}

// publish replaces the snapshot by one of the current sessions.
func (t *Tracker) publish() {
	next := &Snapshot{services: make(map[string][]*Upstream), agents: make(map[string]*atomic.Int64)}
	for id, s := range t.sessions {
		next.agents[id] = s.outstanding
		for _, u := range s.upstreams {
			next.services[u.announced.Service] = append(next.services[u.announced.Service], u)
		}
	}
	for _, list := range next.services {
		slices.SortFunc(list, func(a, b *Upstream) int {
			if a.announced.ID < b.announced.ID {
				return -1
			}
			return 1
		})
	}
	t.snapshot.Store(next)
}

// CountEntries returns the number of live entries, including this one.
func (t *Tracker) CountEntries() int { return max(1, int(t.entries.Load())) }

// Snapshot returns the current snapshot. It is never nil.
func (t *Tracker) Snapshot() *Snapshot { return t.snapshot.Load() }
