package acceptor

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// errHead ends a connection whose request has a head above the limit.
var errHead = errors.New("the head of the request has too many lines")

// newConnGrace is how long a new connection may take to send its first request before it is closed
// in preference to idle ones.
const newConnGrace = time.Second

// phase is what a connection does. Connections are closed for newer ones in this order.
type phase int

const (
	phaseNew     phase = iota // no request yet, for longer than newConnGrace
	phaseIdle                 // between requests, or reading the head of a later one
	phaseRecent               // no request yet
	phaseBody                 // reading a body
	phaseWriting              // writing an answer
	phaseServing              // in a handler; never closed for a newer one
)

// listener accepts connections within the limit.
type listener struct {
	net.Listener
	acceptor *Acceptor
}

// Accept returns the next connection. If too many are open, it closes the one that has waited longest
// for its client, so that clients that leave connections open do not keep others out.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.acceptor.admit(raw); c != nil {
			return c, nil
		}
		raw.Close()
	}
}

func (l *Acceptor) admit(raw net.Conn) *conn {
	c := &conn{Conn: raw, acceptor: l, phase: phaseNew, since: l.config.Now(), head: headCounter{lineStart: true}}
	l.mu.Lock()
	var victim *conn
	if len(l.conns) >= l.config.MaxConnections {
		if victim = l.findLongestWaitingLocked(); victim == nil {
			l.mu.Unlock()
			l.closed.record(reasonConnectionsBusy, raw.RemoteAddr().String())
			return nil
		}
		delete(l.conns, victim)
	}
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	if victim != nil {
		l.closed.record(reasonConnections, victim.RemoteAddr().String())
		victim.Close()
	}
	return c
}

func (l *Acceptor) findLongestWaitingLocked() *conn {
	now := l.config.Now()
	var victim *conn
	first := phaseServing
	for c := range l.conns {
		p := c.phase
		if p == phaseNew && now.Sub(c.since) < newConnGrace {
			p = phaseRecent
		}
		if p < first || victim != nil && p == first && c.since.Before(victim.since) {
			victim, first = c, p
		}
	}
	return victim
}

// conn is a connection of a client.
type conn struct {
	net.Conn
	acceptor *Acceptor
	closing  sync.Once

	// Guarded by acceptor.mu.
	phase phase
	since time.Time // of the phase; in phaseIdle, of the first byte of a head

	// Used by the goroutine that reads.
	headMu sync.Mutex
	head   headCounter
}

// setPhase begins a phase.
func (c *conn) setPhase(p phase) {
	now := c.acceptor.config.Now()
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	c.phase, c.since = p, now
}

// setState follows net/http.
func (c *conn) setState(s http.ConnState) {
	switch s {
	case http.StateActive: // the head is read
		c.headMu.Lock()
		c.head = headCounter{ended: true}
		c.headMu.Unlock()
		c.setPhase(phaseServing)
	case http.StateIdle:
		c.headMu.Lock()
		c.head = headCounter{lineStart: true}
		c.headMu.Unlock()
		c.setPhase(phaseIdle)
	}
}

// Read reads from the client and counts the lines of heads: net/http limits their bytes alone.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.headMu.Lock()
	first := c.head.bytes == 0
	c.head.count(p[:n])
	head := c.head
	c.headMu.Unlock()
	if head.ended {
		return n, err
	}
	if first {
		c.touchIdle()
	}
	if head.lines > maxHeadLines {
		c.acceptor.closed.record(reasonHead, c.RemoteAddr().String())
		return 0, errHead
	}
	if head.bytes >= maxHeadBytes+readAhead && head.bytes-n < maxHeadBytes+readAhead {
		c.acceptor.closed.record(reasonHead, c.RemoteAddr().String()) // net/http answers 431
	}
	return n, err
}

// touchIdle notes that an idle connection begins a request.
func (c *conn) touchIdle() {
	now := c.acceptor.config.Now()
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	if c.phase == phaseIdle {
		c.since = now
	}
}

// Close closes the connection.
func (c *conn) Close() error {
	c.closing.Do(func() {
		c.acceptor.mu.Lock()
		delete(c.acceptor.conns, c)
		c.acceptor.mu.Unlock()
	})
	return c.Conn.Close()
}

// headCounter counts the bytes and lines of a head up to the empty line that ends it.
type headCounter struct {
	bytes, lines int
	started      bool // a line was not empty: net/http skips empty lines before a request
	lineStart    bool
	ended        bool
}

func (h *headCounter) count(p []byte) {
	for _, b := range p {
		if h.ended {
			return
		}
		h.bytes++
		switch b {
		case '\n':
			h.ended = h.started && h.lineStart
			h.lines++
			h.lineStart = true
		case '\r':
		default:
			h.started, h.lineStart = true, false
		}
	}
}
