package announcer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// session is the connection with one entry, opened again whenever it ends.
type session struct {
	announcer  *Announcer
	address    string
	configured bool
	wake       chan struct{}
	retired    chan struct{} // told once that a later session replaced this one
	lingers    sync.WaitGroup

	mu          sync.Mutex
	entryID     string
	conn        *connector.Conn
	giveUp      context.CancelFunc // ends the calls of owners on conn
	inUse       context.Context    // until conn is given up
	lastReply   time.Time
	outstanding int
}

// retire makes room for a later session with the same entry.
func (s *session) retire() {
	s.setConn(nil)
	select {
	case s.retired <- struct{}{}:
	default:
	}
}

func randomInt(n int64) int64 { return rand.Int64N(n) }

func (s *session) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *session) peer() (string, *connector.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entryID, s.conn
}

func (s *session) answered(r messenger.AnnounceReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entryID, s.lastReply, s.outstanding = r.EntryID, time.Now(), r.Outstanding
}

// awaited tells whether the entry may still await an answer: it said so, or has
// not been heard since the given time, but for no longer than drainSilence.
func (s *session) awaited(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil {
		return false
	}
	if s.lastReply.After(since) && s.outstanding == 0 {
		return false
	}
	silentSince := since
	if s.lastReply.After(since) {
		silentSince = s.lastReply
	}
	return time.Since(silentSince) < drainSilence
}

// run keeps the session until ctx ends, or until a learned entry has been away
// for long.
func (s *session) run(ctx context.Context) {
	defer s.lingers.Wait()
	backoff := firstBackoff
	reached := time.Now()
	for ctx.Err() == nil {
		var err error
		if id, _ := s.peer(); s.announcer.other(id, s) == nil {
			err = s.once(ctx)
		}
		if _, conn := s.peer(); conn != nil {
			s.setConn(nil)
			reached, backoff = time.Now(), firstBackoff
			s.announcer.config.Reporter.Report(reporter.SessionLost, reporter.Fields{"entry": s.address, "error": errorText(err)})
		}
		if !s.configured && time.Since(reached) > peerForgetTime {
			return
		}
		// Half of the pause is random: many agents lose a restarted entry at the
		// same moment and would all come back at the same moment.
		pause := backoff/2 + time.Duration(s.announcer.config.Random(int64(backoff/2)))
		backoff = min(2*backoff, longestBackoff)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (s *session) setConn(c *connector.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.giveUp != nil {
		s.giveUp()
	}
	s.conn, s.outstanding, s.giveUp = c, 0, nil
	if c != nil {
		s.inUse, s.giveUp = context.WithCancel(context.Background())
	}
}

// call makes a call that ends when the connection is given up: one that has gone silent
// stays open for the requests that run on it.
func (s *session) call(ctx context.Context, method string, params, result any) error {
	s.mu.Lock()
	conn, inUse := s.conn, s.inUse
	s.mu.Unlock()
	if conn == nil {
		return connector.Errorf(messenger.CodeUnavailable, "the session with %s has ended", s.address)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(inUse, cancel)()
	return conn.Call(ctx, method, params, result)
}

// once dials, announces and sends heartbeats until the connection ends.
func (s *session) once(ctx context.Context) error {
	dial, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := connector.Dial(dial, s.address, s.handle)
	cancel()
	if err != nil {
		return err
	}
	silent := 0
	defer func() {
		if silent < maxSilent {
			conn.Close()
			return
		}
		// Requests run on it; their answers may still come through.
		s.lingers.Go(func() {
			linger(ctx, conn)
			conn.Close()
		})
	}()
	select {
	case <-s.retired: // an earlier connection
	default:
	}
	if err := s.announce(ctx, conn); err != nil {
		return err
	}
	ticker := time.NewTicker(s.announcer.config.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-conn.Done():
			return nil
		case <-s.retired:
			linger(ctx, conn)
			return nil
		case <-ticker.C:
		case <-s.wake:
		}
		err := s.heartbeat(ctx, conn)
		if connector.CodeOf(err) == messenger.CodeNotExist {
			// Announced anew on the same connection: opening another one would
			// cut off the requests that run on this one.
			err = s.announce(ctx, conn)
		}
		if err == nil {
			silent = 0
			continue
		}
		silent++
		if connector.CodeOf(err) != 0 || silent == maxSilent {
			return err
		}
	}
}

// linger leaves a connection open for the requests that run on it.
func linger(ctx context.Context, conn *connector.Conn) {
	timer := time.NewTimer(lingerTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-conn.Done():
	case <-ctx.Done():
	}
}

// lingerTime is the longest deadline of a request.
const lingerTime = time.Minute

func (s *session) announce(ctx context.Context, conn *connector.Conn) error {
	c := s.announcer.config
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply messenger.AnnounceReply
	err := conn.Call(call, messenger.MethodAnnounce, messenger.Announce{
		AgentID: c.AgentID, Incarnation: c.Incarnation, VM: c.VM, Zone: c.Zone, Rack: c.Rack,
		Upstreams: c.Gatekeeper.Upstreams(), Sequence: s.announcer.nextSequence(),
	}, &reply)
	if err != nil {
		return err
	}
	// The same entry may be reached at two addresses. The entry holds to the
	// connection that announced last, so the other one ends, and its session
	// rests as long as this one is open.
	if o := s.announcer.other(reply.EntryID, s); o != nil {
		o.retire()
	}
	s.setConn(conn)
	c.Reporter.Report(reporter.SessionOpened, reporter.Fields{"entry": reply.EntryID, "address": s.address})
	s.announcer.learn(s, conn, reply)
	// The state may have changed between the announcement and now, when notify
	// found no connection.
	s.notify()
	return nil
}

func (s *session) heartbeat(ctx context.Context, conn *connector.Conn) error {
	c := s.announcer.config
	c.Gatekeeper.RemoveExpired()
	h := messenger.Heartbeat{AgentID: c.AgentID, Incarnation: c.Incarnation, Sequence: s.announcer.nextSequence()}
	h.Upstreams = c.Gatekeeper.Upstreams()
	if c.FleetVersion != nil {
		h.FleetVersion = c.FleetVersion()
	}
	call, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	var reply messenger.AnnounceReply
	if err := conn.Call(call, messenger.MethodHeartbeat, h, &reply); err != nil {
		return err
	}
	s.announcer.learn(s, conn, reply)
	return nil
}

// handle answers calls of the entry.
func (s *session) handle(ctx context.Context, _ *connector.Conn, method string, params json.RawMessage) (any, error) {
	if method != messenger.MethodRun {
		return nil, connector.Errorf(messenger.CodeUnavailable, "no method %s", method)
	}
	r, err := connector.Decode[messenger.RunRequest](params)
	if err != nil {
		return nil, connector.Errorf(messenger.CodeUnavailable, "decode the request: %v", err)
	}
	return s.announcer.config.Gatekeeper.Run(ctx, r), nil
}
