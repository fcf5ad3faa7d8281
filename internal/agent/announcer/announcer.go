// Package announcer keeps the sessions of an agent with all entries: it announces
// the local upstreams, sends heartbeats with load and state, answers requests by
// the gatekeeper, and carries calls to the owners of cells.
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
	callTimeout     = 2 * time.Second
	// beatTimeout and maxSilent bound how long a connection that has gone silent is
	// believed in. Polls of a cell go over it, and the lease of a VM counts from the
	// last one that was answered.
	beatTimeout = time.Second
	// maxSilent is the number of heartbeats in a row without an answer after which the
	// connection is opened anew.
	maxSilent      = 2
	firstBackoff   = 100 * time.Millisecond
	longestBackoff = 2 * time.Second
	// peerForgetTime is how long a learned entry that cannot be reached is tried.
	peerForgetTime = time.Minute
	drainPoll      = 25 * time.Millisecond
	// drainSilence is how long a draining agent waits for an entry that does not
	// answer: one that is frozen must not hold up the stop.
	drainSilence = 3 * time.Second
)

// Config holds the settings of an Announcer.
type Config struct {
	AgentID, VM, Zone, Rack string
	Incarnation             int64
	Entries                 []string // RPC addresses of some entries; the others are learned
	Gatekeeper              *gatekeeper.Gatekeeper
	Reporter                *reporter.Reporter
	Interval                time.Duration // between heartbeats; default 1 s
	FleetVersion            func() int64
	// OnFleetVersion, if set, is called when an entry holds a higher version.
	OnFleetVersion func(version int64, fetch func(ctx context.Context) (messenger.FleetReply, error))
	Random         func(n int64) int64 // in [0, n); nil: math/rand
}

// Announcer owns the sessions. It is safe for concurrent use.
type Announcer struct {
	config   Config
	mu       sync.Mutex
	sessions map[string]*session // by address
	owners   map[string]messenger.CellOwner
	sequence int64
	added    chan string    // addresses for which Run starts a session
	fleets   chan fleetNews // one at a time
}

// fleetNews is a higher fleet version and the entry that has it.
type fleetNews struct {
	conn    *connector.Conn
	version int64
}

// New returns an Announcer; it hears of changes from the Gatekeeper.
func New(c Config) *Announcer {
	if c.Interval <= 0 {
		c.Interval = defaultInterval
	}
	if c.Reporter == nil {
		c.Reporter = reporter.Discard()
	}
	if c.Random == nil {
		c.Random = randomInt
	}
	a := &Announcer{
		config: c, sessions: make(map[string]*session),
		owners: make(map[string]messenger.CellOwner), added: make(chan string, 64),
		fleets: make(chan fleetNews),
	}
	c.Gatekeeper.SetOnChange(a.Notify)
	return a
}

// Run keeps one session for each known entry until ctx ends. Each has a goroutine
// of its own, so that an entry that is frozen or cut off holds up no other.
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
	fleets := a.fleets // nil while one is fetched
	for {
		select {
		case address := <-a.added:
			start(address, false)
		case n := <-fleets:
			fleets = nil
			go func() { a.fetchFleet(n); fetched <- struct{}{} }()
		case <-fetched:
			fleets = a.fleets
		case address := <-ended:
			a.remove(address)
			delete(running, address)
		case <-ctx.Done():
			for len(running) > 0 {
				address := <-ended
				a.remove(address)
				delete(running, address)
			}
			if fleets == nil {
				<-fetched // its connection has ended with the session
			}
			return nil
		}
	}
}

func (a *Announcer) newSession(address string, configured bool) *session {
	s := &session{announcer: a, address: address, configured: configured, wake: make(chan struct{}, 1), retired: make(chan struct{}, 1)}
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

// nextSequence numbers heartbeats over all sessions, so that an entry can tell
// the newer of two that come over different connections.
func (a *Announcer) nextSequence() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	return a.sequence
}

// learn takes what an entry told of the rest of the system.
func (a *Announcer) learn(s *session, conn *connector.Conn, r messenger.AnnounceReply) {
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
		case a.added <- address:
		default: // the next reply names it again
		}
	}
	s.answered(r)
	a.checkFleet(conn, r.FleetVersion)
}

// connected tells under the lock whether a session with the entry is open, also
// if it was reached at another address than the one it names.
func (a *Announcer) connected(entryID string) bool {
	for _, s := range a.sessions {
		if id, conn := s.peer(); conn != nil && id == entryID {
			return true
		}
	}
	return false
}

// other returns the open session with the entry that is not s.
func (a *Announcer) other(entryID string, s *session) *session {
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

// checkFleet has Run tell of a higher fleet version. It is fetched off the
// session's goroutine, so that heartbeats go on.
func (a *Announcer) checkFleet(conn *connector.Conn, version int64) {
	if a.config.OnFleetVersion == nil || a.config.FleetVersion == nil || version <= a.config.FleetVersion() {
		return
	}
	select {
	case a.fleets <- fleetNews{conn: conn, version: version}:
	default: // the next heartbeat tells of it again
	}
}

func (a *Announcer) fetchFleet(n fleetNews) {
	a.config.OnFleetVersion(n.version, func(ctx context.Context) (messenger.FleetReply, error) {
		var reply messenger.FleetReply
		err := n.conn.Call(ctx, messenger.MethodFleet, messenger.FleetRequest{Above: a.config.FleetVersion()}, &reply)
		return reply, err
	})
}

// CallOwner calls the owner of a cell, as far as it is known, over the session
// with its entry.
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

// Drain tells all entries that the agent leaves, finishes what runs, and waits
// until no entry awaits an answer. Run must still run.
func (a *Announcer) Drain(ctx context.Context) error {
	a.config.Reporter.Report(reporter.DrainBegan, reporter.Fields{"agent": a.config.AgentID})
	if err := a.config.Gatekeeper.Drain(ctx); err != nil {
		return fmt.Errorf("drain the gate: %w", err)
	}
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	from := time.Now()
	for {
		// An answer is handed to the connection only after the gate has counted
		// the request as ended; closing now could lose it. The entry itself says
		// when it awaits nothing more.
		waiting := ""
		for _, s := range a.list() {
			if s.awaited(from) {
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
