// Package tracker keeps what an entry knows of agents and their upstreams from
// their announcements and heartbeats. One goroutine owns the sessions; traffic
// reads immutable snapshots.
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
	// forgetAfter is the number of expiries after which a silent session ends.
	forgetAfter = 10
)

// Config holds the settings of a Tracker.
type Config struct {
	EntryID      string
	Peers        func() []messenger.PeerAddress
	Owners       func() []messenger.CellOwner
	FleetVersion func() int64
	Reporter     *reporter.Reporter
	Now          func() time.Time
	// Expiry is the silence after which an agent's upstreams take no new
	// requests; default 3 s.
	Expiry time.Duration
}

// Tracker knows the upstreams. It is safe for concurrent use.
type Tracker struct {
	config   Config
	events   chan event
	snapshot atomic.Pointer[Snapshot]
	entries  atomic.Int64        // live entries when an agent was last answered
	sessions map[string]*session // owned by Run
}

// event is a change for the goroutine that owns the sessions.
type event struct {
	announce  *messenger.Announce
	heartbeat *messenger.Heartbeat
	closed    *connector.Conn
	conn      *connector.Conn
	result    chan error
}

// session is what is known of one agent.
type session struct {
	announce  messenger.Announce
	sequence  int64
	conn      *connector.Conn
	beat      *atomic.Int64 // stamp of the last heartbeat
	upstreams map[string]*Upstream
	awaited   *atomic.Int64
	confirmed *atomic.Bool // a heartbeat came on the connection
}

// New returns a Tracker without agents. Run must run for Handle to answer.
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

// Run owns the sessions until ctx ends.
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

// Handle answers MethodAnnounce and MethodHeartbeat.
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
		return nil, connector.Errorf(messenger.CodeBadRequest, "no method %s", method)
	}
	if err := t.send(ctx, e); err != nil {
		return nil, err
	}
	if e.announce != nil {
		t.watch(ctx, conn)
	}
	return t.reply(e), nil
}

func (t *Tracker) send(ctx context.Context, e event) error {
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

// watch removes the session at once when its connection ends.
func (t *Tracker) watch(ctx context.Context, conn *connector.Conn) {
	// The handler's context ends with the connection, whose own end is the end
	// of this goroutine; a stopped tracker no longer takes the event.
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
		return connector.Errorf(messenger.CodeBadRequest, "agent %s has a later incarnation", a.AgentID)
	}
	// An announcement that was held up, on a connection that the agent has given
	// up since, must not take the session from a later connection: heartbeats on
	// that one would be refused and requests sent over the dead one.
	if old != nil && old.announce.Incarnation == a.Incarnation && a.Sequence < old.sequence {
		return connector.Errorf(messenger.CodeBadRequest, "agent %s has a later session", a.AgentID)
	}
	s := &session{
		announce: a, conn: e.conn, beat: new(atomic.Int64), awaited: new(atomic.Int64),
		confirmed: new(atomic.Bool), upstreams: make(map[string]*Upstream),
	}
	if old != nil && old.announce.Incarnation == a.Incarnation {
		s.upstreams, s.awaited = old.upstreams, old.awaited
	}
	s.sequence = a.Sequence
	t.sessions[a.AgentID] = s
	// The upstreams take requests from the first heartbeat on, which shows that
	// the agent got the answer and uses this connection.
	s.beat.Store(stamp(t.config.Now()))
	s.confirmed.Store(old != nil && old.conn == e.conn && old.confirmed.Load())
	t.take(s, a.Upstreams)
	t.config.Reporter.Report(reporter.AgentAnnounced, reporter.Fields{"agent": a.AgentID, "vm": a.VM, "upstreams": len(a.Upstreams)})
	return nil
}

func (t *Tracker) applyHeartbeat(e event) error {
	h := *e.heartbeat
	s := t.sessions[h.AgentID]
	if s == nil || s.conn != e.conn || s.announce.Incarnation != h.Incarnation {
		return connector.Errorf(messenger.CodeNotExist, "agent %s has no session on this connection", h.AgentID)
	}
	// Calls on a connection run on goroutines of their own, so an older
	// heartbeat may come after a newer one; taking it would bring an upstream
	// back that is leaving.
	if h.Sequence <= s.sequence {
		return nil
	}
	s.sequence = h.Sequence
	s.beat.Store(stamp(t.config.Now()))
	s.confirmed.Store(true)
	t.take(s, h.Upstreams)
	return nil
}

// take replaces the upstreams of a session. Each is a new value, since traffic
// may hold the old one; counts and health are shared between them.
func (t *Tracker) take(s *session, list []messenger.Upstream) {
	now := t.config.Now()
	next := make(map[string]*Upstream, len(list))
	for _, u := range list {
		up := &Upstream{
			described: u, agentID: s.announce.AgentID, vm: s.announce.VM, zone: s.announce.Zone,
			conn: s.conn, beat: s.beat, awaited: s.awaited, confirmed: s.confirmed, expiry: t.config.Expiry,
		}
		if old := s.upstreams[u.ID]; old != nil {
			up.load, up.health, up.since = old.load, old.health, old.since
		} else {
			up.load, up.health, up.since = &load{}, &balancer.Health{}, now
		}
		up.load.report(u.InFlight)
		next[u.ID] = up
	}
	s.upstreams = next
	t.publish()
}

func (t *Tracker) sweep() {
	now := stamp(t.config.Now())
	for id, s := range t.sessions {
		if time.Duration(now-s.beat.Load()) > forgetAfter*t.config.Expiry {
			delete(t.sessions, id)
			t.config.Reporter.Report(reporter.AgentLost, reporter.Fields{"agent": id, "reason": "no heartbeat"})
			s.conn.Close()
			t.publish()
		}
	}
}

func (t *Tracker) publish() {
	next := &Snapshot{services: make(map[string][]*Upstream), agents: make(map[string]*atomic.Int64)}
	for id, s := range t.sessions {
		next.agents[id] = s.awaited
		for _, u := range s.upstreams {
			next.services[u.described.Service] = append(next.services[u.described.Service], u)
		}
	}
	for _, list := range next.services {
		slices.SortFunc(list, func(a, b *Upstream) int {
			if a.described.ID < b.described.ID {
				return -1
			}
			return 1
		})
	}
	t.snapshot.Store(next)
}

// CountEntries returns the number of live entries, this one included.
func (t *Tracker) CountEntries() int { return max(1, int(t.entries.Load())) }

// Snapshot returns what is known now. It is never nil.
func (t *Tracker) Snapshot() *Snapshot { return t.snapshot.Load() }
