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

var errNoConnection = errors.New("all connections of the upstream are in use")

// pool holds the connections to one upstream, never more than its limit.
// http.Transport is not used: it automatically resends a request when an idle
// connection breaks and the request looks replayable, for which an
// Idempotency-Key header is enough; a print order would run twice. Here a request
// is written once, on a known connection.
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

// get returns a reusable idle connection, or dials a new one.
func (p *pool) get(ctx context.Context, now time.Time) (*upstreamConn, error) {
	for {
		c := p.popIdle()
		if c == nil {
			break
		}
		if now.Sub(c.idleSince) < maxIdleTime && c.reusable() {
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
	conn, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return &upstreamConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (p *pool) popIdle() *upstreamConn {
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

// close closes the idle connections; those in use are closed by put or drop.
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

// reusable reports whether an idle connection is still open and has nothing to
// read. A request on a connection that the upstream has closed would end with an
// unknown outcome; unrequested bytes would be read as the response to the next
// request. The socket is peeked without blocking: a read with a short deadline
// would cost a millisecond or more, the resolution of the runtime's timers.
func (c *upstreamConn) reusable() bool {
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
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peekErr, syscall.EAGAIN)
}
