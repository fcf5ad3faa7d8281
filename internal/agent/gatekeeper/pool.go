package gatekeeper

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const maxIdleTime = 30 * time.Second

var errNoConnection = errors.New("all connections of the upstream are taken")

// pool holds the connections to one upstream, never more than its limit. The
// exchange does not use http.Transport: that one sends a request again by itself
// when a kept connection breaks and the request looks replayable, which an
// Idempotency-Key header is enough for; a print order would run twice. Here a
// request is written once, on a connection that is known.
type pool struct {
	address string
	limit   int
	mu      sync.Mutex
	open    int
	idle    []*upstreamConn
	closed  bool
}

type upstreamConn struct {
	net.Conn
	reader    *bufio.Reader
	idleSince time.Time
}

func newPool(address string, limit int) *pool { return &pool{address: address, limit: limit} }

// get returns a kept connection that still is alive, or dials one.
func (p *pool) get(ctx context.Context, now time.Time) (*upstreamConn, error) {
	for {
		c := p.takeIdle()
		if c == nil {
			break
		}
		if now.Sub(c.idleSince) < maxIdleTime && c.alive() {
			return c, nil
		}
		p.drop(c)
	}
	p.mu.Lock()
	if p.open >= p.limit {
		p.mu.Unlock()
		return nil, errNoConnection
	}
	p.open++
	p.mu.Unlock()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return &upstreamConn{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

func (p *pool) takeIdle() *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *pool) put(c *upstreamConn, now time.Time) {
	c.idleSince = now
	if c.SetDeadline(time.Time{}) != nil {
		p.drop(c)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		p.open--
		return
	}
	p.idle = append(p.idle, c)
}

func (p *pool) drop(c *upstreamConn) {
	c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// close ends the idle connections; those in use end when they are put back.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
		p.open--
	}
	p.idle = nil
}

// alive tells whether a kept connection is still open with nothing to read. A
// request on one that the upstream has closed would end as unknown; bytes that
// nobody asked for would be taken for the next request's answer. The socket is
// looked at without waiting: a read with a short deadline would cost a
// millisecond or more, the step of the runtime's timers.
func (c *upstreamConn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peeked = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peeked, syscall.EAGAIN)
}
