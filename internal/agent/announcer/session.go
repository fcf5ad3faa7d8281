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

// session keeps a connection with one entry and reconnects whenever it ends.
type session struct {
	announcer  *Announcer
	address    string
	configured bool
	wake       chan struct{}
	replaced   chan struct{}  // signalled once when a later session replaces this one
	closing    sync.WaitGroup // old connections that stay open for their requests

	mu          sync.Mutex
	entryID     string
	conn        *connector.Conn
	cancelCalls context.CancelFunc // cancels the calls to owners on conn
	connCtx     context.Context    // ends when the session stops using conn
	lastReply   time.Time
	outstanding int
}

// markReplaced stops using the connection, because a later session with the same
// entry has been announced.
func (s *session) markReplaced() {
	s.setConn(nil)
	select {
	case s.replaced <- struct{}{}:
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

func (s *session) recordReply(r messenger.AnnounceReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entryID, s.lastReply, s.outstanding = r.EntryID, time.Now(), r.Outstanding
}

// mayAwaitAnswer reports whether the entry may still await an answer: it reported
// outstanding ones, or has not replied since the given time. After
// drainReplyTimeout without a reply it no longer counts.
func (s *session) mayAwaitAnswer(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil {
		return false
	}
	if s.lastReply.After(since) && s.outstanding == 0 {
		return false
	}
	noReplySince := since
	if s.lastReply.After(since) {
		noReplySince = s.lastReply
	}
	return time.Since(noReplySince) < drainReplyTimeout
}

// run keeps the session until ctx ends, or until an entry that is not configured
// has been unreachable for peerRetryTime.
func (s *session) run(ctx context.Context) {
	defer s.closing.Wait()
	backoff := initialBackoff
	lastConnected := time.Now()
	for ctx.Err() == nil {
		var err error
		if id, _ := s.peer(); s.announcer.otherSession(id, s) == nil {
			err = s.runConnection(ctx)
		}
		if _, conn := s.peer(); conn != nil {
			s.setConn(nil)
			lastConnected, backoff = time.Now(), initialBackoff
			s.announcer.config.Reporter.Report(reporter.SessionLost, reporter.Fields{"entry": s.address, "error": errorText(err)})
		}
		if !s.configured && time.Since(lastConnected) > peerRetryTime {
			return
		}
		// Half of the delay is random: when an entry restarts, many agents lose it
		// at the same moment, and would otherwise all reconnect at the same moment.
		delay := backoff/2 + time.Duration(s.announcer.config.Random(int64(backoff/2)))
		backoff = min(2*backoff, maxBackoff)
		select {
		case <-time.After(delay):
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
	if s.cancelCalls != nil {
		s.cancelCalls()
	}
	s.conn, s.outstanding, s.cancelCalls = c, 0, nil
	if c != nil {
		s.connCtx, s.cancelCalls = context.WithCancel(context.Background())
	}
}

// call makes a call that is cancelled when the session stops using the connection:
// an unresponsive connection stays open for the requests that run on it.
func (s *session) call(ctx context.Context, method string, params, result any) error {
	s.mu.Lock()
	conn, connCtx := s.conn, s.connCtx
	s.mu.Unlock()
	if conn == nil {
		return connector.Errorf(messenger.CodeUnavailable, "the session with %s has ended", s.address)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(connCtx, cancel)()
	return conn.Call(ctx, method, params, result)
}

// runConnection dials, announces and sends heartbeats until the connection ends.
func (s *session) runConnection(ctx context.Context) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := connector.Dial(dialCtx, s.address, s.handle)
	cancel()
	if err != nil {
		return err
	}
	missed := 0
	defer func() {
		if missed < maxMissedHeartbeats {
			conn.Close()
			return
		}
		// Requests run on it; their answers may still arrive.
		s.closing.Go(func() {
			waitForRequests(ctx, conn)
			conn.Close()
		})
	}()
	select {
	case <-s.replaced: // refers to an earlier connection
	default:
	}
	if err := s.announce(ctx, conn); err != nil {
		return err
	}
	ticker := time.NewTicker(s.announcer.config.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-conn.Done():
			return nil
		case <-s.replaced:
			waitForRequests(ctx, conn)
			return nil
		case <-ticker.C:
		case <-s.wake:
		}
		err := s.heartbeat(ctx, conn)
		if connector.CodeOf(err) == messenger.CodeNotExist {
			// Announce again on the same connection: opening another one would
			// abort the requests that run on this one.
			err = s.announce(ctx, conn)
		}
		if err == nil {
			missed = 0
			continue
		}
		missed++
		if connector.CodeOf(err) != 0 || missed == maxMissedHeartbeats {
			return err
		}
	}
}

// waitForRequests waits until the requests that run on the connection have reached
// their deadlines, or the connection or ctx has ended.
func waitForRequests(ctx context.Context, conn *connector.Conn) {
	timer := time.NewTimer(maxRequestTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-conn.Done():
	case <-ctx.Done():
	}
}

// maxRequestTime is the longest deadline of a request.
const maxRequestTime = time.Minute

func (s *session) announce(ctx context.Context, conn *connector.Conn) error {
	c := s.announcer.config
	callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var reply messenger.AnnounceReply
	err := conn.Call(callCtx, messenger.MethodAnnounce, messenger.Announce{
		AgentID: c.AgentID, Incarnation: c.Incarnation, VM: c.VM, Zone: c.Zone, Rack: c.Rack,
		Upstreams: c.Gatekeeper.Upstreams(), Sequence: s.announcer.nextSequence(),
	}, &reply)
	if err != nil {
		return err
	}
	// The same entry may be reachable at two addresses. The entry uses the
	// connection that announced last, so the other one ends, and its session stays
	// idle as long as this one is open.
	if o := s.announcer.otherSession(reply.EntryID, s); o != nil {
		o.markReplaced()
	}
	s.setConn(conn)
	c.Reporter.Report(reporter.SessionOpened, reporter.Fields{"entry": reply.EntryID, "address": s.address})
	s.announcer.applyReply(s, conn, reply)
	// The state may have changed since the announcement was sent, while the session
	// had no connection.
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
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var reply messenger.AnnounceReply
	if err := conn.Call(callCtx, messenger.MethodHeartbeat, h, &reply); err != nil {
		return err
	}
	s.announcer.applyReply(s, conn, reply)
	return nil
}

// handle answers calls of the entry.
func (s *session) handle(ctx context.Context, _ *connector.Conn, method string, params json.RawMessage) (any, error) {
	if method != messenger.MethodRun {
		return nil, connector.Errorf(messenger.CodeUnavailable, "unknown method %s", method)
	}
	r, err := connector.Decode[messenger.RunRequest](params)
	if err != nil {
		return nil, connector.Errorf(messenger.CodeUnavailable, "decode the request: %v", err)
	}
	return s.announcer.config.Gatekeeper.Run(ctx, r), nil
}
