// Package announcer keeps the sessions of an agent with all entries: it announces
// the local upstreams, sends heartbeats with load and state, passes requests of
// entries to the gatekeeper, and carries calls to the owners of cells.
package announcer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bamboospread/internal/agent/gatekeeper"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

const (
	defaultInterval = time.Second
	dialTimeout     = time.Second
	announceTimeout = 2 * time.Second
	// heartbeatTimeout and maxMissedHeartbeats bound how long an unresponsive
	// connection stays in use. It carries the polls of a cell, and the lease of a VM
	// counts from the last poll that was answered.
	heartbeatTimeout = time.Second
	// maxMissedHeartbeats is the number of consecutive heartbeats without an answer
	// after which a new connection is opened.
	maxMissedHeartbeats = 2
	initialBackoff      = 100 * time.Millisecond
	maxBackoff          = 2 * time.Second
	// peerRetryTime is how long an unreachable entry that was learned from another
	// entry is retried.
	peerRetryTime     = time.Minute
	drainPollInterval = 25 * time.Millisecond
	// drainReplyTimeout is how long a draining agent waits for an entry that does
	// not answer: a frozen entry must not block the stop.
	drainReplyTimeout = 3 * time.Second
)

// Config holds the settings of an Announcer.
type Config struct {
	AgentID, VM, Zone, Rack string
	Incarnation             int64
	Entries                 []string // RPC addresses of some entries; the others are learned from them
	Gatekeeper              *gatekeeper.Gatekeeper
	Reporter                *reporter.Reporter
	HeartbeatInterval       time.Duration // between heartbeats; default 1 s
	FleetVersion            func() int64
	// OnFleetVersion, if set, is called when an entry has a higher version.
	OnFleetVersion func(version int64, fetch func(ctx context.Context) (messenger.FleetReply, error))
	Random         func(n int64) int64 // in [0, n); nil: math/rand
}

// Announcer owns the sessions. It is safe for concurrent use.
type Announcer struct {
	config       Config
	mu           sync.Mutex
	sessions     map[string]*session // by address
	owners       map[string]messenger.CellOwner
	sequence     int64
	discovered   chan string      // addresses for which Run starts a session
	fleetUpdates chan fleetUpdate // fetched one at a time
}

// fleetUpdate is a higher fleet version and the connection to the entry that has it.
type fleetUpdate struct {
	conn    *connector.Conn
	version int64
}

// New returns an Announcer and registers it for the changes of the Gatekeeper.
func New(c Config) *Announcer {
	if c.HeartbeatInterval <= 0 {
		c.HeartbeatInterval = defaultInterval
	}
	if c.Reporter == nil {
		c.Reporter = reporter.Discard()
	}
	if c.Random == nil {
		c.Random = randomInt
	}
	a := &Announcer{
		config: c, sessions: make(map[string]*session),
		owners: make(map[string]messenger.CellOwner), discovered: make(chan string, 64),
		fleetUpdates: make(chan fleetUpdate),
	}
	c.Gatekeeper.SetOnChange(a.Notify)
	return a
}

// Run keeps one session for each known entry until ctx ends. Each session has its
// own goroutine, so that an entry that is frozen or unreachable delays no other.
func (a *Announcer) Run(ctx context.Context) error {
	ended := make(chan string)
	running := make(map[string]bool)
	start := func(address string, configured bool) {
		if running[address] {
			return
		}
		running[address] = true
		s := a.newSession(address, configured)
		go func() {
			s.run(ctx)
			ended <- address
		}()
	}
	for _, address := range a.config.Entries {
		start(address, true)
	}
	fetched := make(chan struct{})
	updates := a.fleetUpdates // nil during a fetch
	for {
		select {
		case address := <-a.discovered:
			start(address, false)
		case u := <-updates:
			updates = nil
			go func() { a.fetchFleet(u); fetched <- struct{}{} }()
		case <-fetched:
			updates = a.fleetUpdates
		case address := <-ended:
			a.remove(address)
			delete(running, address)
		case <-ctx.Done():
			for len(running) > 0 {
				address := <-ended
				a.remove(address)
				delete(running, address)
			}
			if updates == nil {
				<-fetched // its connection has ended with the session
			}
			return nil
		}
	}
}

func (a *Announcer) newSession(address string, configured bool) *session {
	s := &session{announcer: a, address: address, configured: configured, wake: make(chan struct{}, 1), replaced: make(chan struct{}, 1)}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sessions[address] = s
	return s
}

func (a *Announcer) remove(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.sessions, address)
}

// Notify sends a heartbeat to all entries now: a change of state, such as
// leaving, does not wait for the interval.
func (a *Announcer) Notify() {
	for _, s := range a.list() {
		s.notify()
	}
}

func (a *Announcer) list() []*session {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]*session, 0, len(a.sessions))
	for _, s := range a.sessions {
		list = append(list, s)
	}
	return list
}

// nextSequence numbers heartbeats across all sessions, so that an entry can
// determine the newer of two that arrive over different connections.
func (a *Announcer) nextSequence() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	return a.sequence
}

// applyReply records the cell owners and the other entries that an entry reports.
func (a *Announcer) applyReply(s *session, conn *connector.Conn, r messenger.AnnounceReply) {
	a.mu.Lock()
	for _, o := range r.Owners {
		if o.Epoch >= a.owners[o.Cell].Epoch {
			a.owners[o.Cell] = o
		}
	}
	var unknown []string
	for _, p := range r.Peers {
		if p.Address != "" && a.sessions[p.Address] == nil && !a.connected(p.EntryID) {
			unknown = append(unknown, p.Address)
		}
	}
	a.mu.Unlock()
	for _, address := range unknown {
		select {
		case a.discovered <- address:
		default: // the next reply lists it again
		}
	}
	s.recordReply(r)
	a.checkFleetVersion(conn, r.FleetVersion)
}

// connected reports whether a session with the entry is open, even if it was
// reached at another address than the one it reports. The caller holds mu.
func (a *Announcer) connected(entryID string) bool {
	for _, s := range a.sessions {
		if id, conn := s.peer(); conn != nil && id == entryID {
			return true
		}
	}
	return false
}

// otherSession returns an open session with the entry that is not s.
func (a *Announcer) otherSession(entryID string, s *session) *session {
	if entryID == "" {
		return nil
	}
	for _, o := range a.list() {
		if id, conn := o.peer(); o != s && conn != nil && id == entryID {
			return o
		}
	}
	return nil
}

// checkFleetVersion passes a higher fleet version to Run. The fleet is not fetched
// on the session's goroutine, so that heartbeats continue.
func (a *Announcer) checkFleetVersion(conn *connector.Conn, version int64) {
	if a.config.OnFleetVersion == nil || a.config.FleetVersion == nil || version <= a.config.FleetVersion() {
		return
	}
	select {
	case a.fleetUpdates <- fleetUpdate{conn: conn, version: version}:
	default: // the next heartbeat reports it again
	}
}

func (a *Announcer) fetchFleet(u fleetUpdate) {
	a.config.OnFleetVersion(u.version, func(ctx context.Context) (messenger.FleetReply, error) {
		var reply messenger.FleetReply
		err := u.conn.Call(ctx, messenger.MethodFleet, messenger.FleetRequest{Above: a.config.FleetVersion()}, &reply)
		return reply, err
	})
}

// CallOwner calls the last known owner of a cell, over the session with its entry.
func (a *Announcer) CallOwner(ctx context.Context, cell, method string, params, result any) error {
	a.mu.Lock()
	owner, ok := a.owners[cell]
	a.mu.Unlock()
	if !ok {
		return connector.Errorf(messenger.CodeUnavailable, "the owner of cell %s is not known", cell)
	}
	for _, s := range a.list() {
		if id, conn := s.peer(); conn != nil && id == owner.EntryID {
			return s.call(ctx, method, params, result)
		}
	}
	return connector.Errorf(messenger.CodeUnavailable, "no session with entry %s, which owns cell %s", owner.EntryID, cell)
}

// Drain announces to all entries that the agent leaves, finishes the requests in
// flight, and waits until no entry awaits an answer. Run must still be running.
func (a *Announcer) Drain(ctx context.Context) error {
	a.config.Reporter.Report(reporter.DrainBegan, reporter.Fields{"agent": a.config.AgentID})
	if err := a.config.Gatekeeper.Drain(ctx); err != nil {
		return fmt.Errorf("drain the upstreams of agent %s: %w", a.config.AgentID, err)
	}
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	from := time.Now()
	for {
		// The gatekeeper counts a request as ended before its answer is written to
		// the connection; closing now could lose the answer. So the entry itself
		// reports when it awaits no more answers.
		waiting := ""
		for _, s := range a.list() {
			if s.mayAwaitAnswer(from) {
				waiting = s.address
			}
		}
		if waiting == "" {
			a.config.Reporter.Report(reporter.DrainEnded, reporter.Fields{"agent": a.config.AgentID})
			return nil
		}
		a.Notify()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("entry %s still awaits answers: %w", waiting, ctx.Err())
		}
	}
}
