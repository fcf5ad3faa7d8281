package connector

import (
	"net"
	"sync"
	"time"
)

const (
	maxQueuedBytes = 64 << 20
	writeLimit     = 5 * time.Second
)

// queuedConn writes on a goroutine of its own. A peer that is frozen (SIGSTOP)
// or cut off leaves the kernel's buffer full; a plain write then blocks, under
// the lock of the connection, every caller that wants to send to that peer, past
// its deadline. Here a write only queues; the goroutine closes the connection
// when the peer has taken nothing for writeLimit, or the queue is full, so no
// caller waits and the memory is bounded.
type queuedConn struct {
	net.Conn
	mu     sync.Mutex
	queue  []byte
	spare  []byte
	wake   chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newQueuedConn(raw net.Conn) *queuedConn {
	c := &queuedConn{Conn: raw, wake: make(chan struct{}, 1), closed: make(chan struct{})}
	go c.flush()
	return c
}

// Write queues b.
func (c *queuedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	full := len(c.queue)+len(b) > maxQueuedBytes
	if !full {
		c.queue = append(c.queue, b...)
	}
	c.mu.Unlock()
	if full {
		c.Close()
		return 0, net.ErrClosed
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case c.wake <- struct{}{}:
	default:
	}
	return len(b), nil
}

// Close ends the connection and the writing goroutine.
func (c *queuedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *queuedConn) flush() {
	for {
		select {
		case <-c.closed:
			return
		case <-c.wake:
		}
		for {
			c.mu.Lock()
			batch := c.queue
			if len(batch) == 0 {
				c.mu.Unlock()
				break
			}
			// The spare buffer goes to the queue and is nobody else's: kept here
			// too, it would be queued into while it is being written, and the
			// other side would read broken messages.
			c.queue, c.spare = c.spare[:0], nil
			c.mu.Unlock()
			// A deadline that can't be set shows as a failed write below.
			_ = c.SetWriteDeadline(time.Now().Add(writeLimit))
			if _, err := c.Conn.Write(batch); err != nil {
				c.Close()
				return
			}
			c.spare = batch
			if cap(batch) > 1<<20 {
				c.spare = nil // a large answer once must not hold its memory for good
			}
		}
	}
}
