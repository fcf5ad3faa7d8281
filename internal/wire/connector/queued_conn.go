package connector

import (
	"net"
	"sync"
	"time"
)

const (
	maxQueuedBytes = 64 << 20
	writeTimeout   = 5 * time.Second
)

// queuedConn writes on its own goroutine. If a peer is suspended (SIGSTOP) or
// unreachable, the kernel's send buffer fills up; a direct write would then block
// while holding the lock of the connection, and delay all callers that send to
// that peer past their deadlines. Here Write only queues the data. The connection
// is closed when a write takes longer than writeTimeout or the queue is full, so
// no caller waits and memory is bounded.
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

// Write queues b. It closes the connection if the queue is full.
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

// Close closes the connection and ends its goroutine.
func (c *queuedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// flush writes queued data until the connection is closed.
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
			// The queue takes over the spare buffer. A second reference to it here
			// would let Write append to it while it is being written, and the other
			// side would receive corrupt messages.
			c.queue, c.spare = c.spare[:0], nil
			c.mu.Unlock()
			// If the deadline can't be set, the write below fails.
			_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := c.Conn.Write(batch); err != nil {
				c.Close()
				return
			}
			c.spare = batch
			if cap(batch) > 1<<20 {
				c.spare = nil // don't keep the memory of a single large answer
			}
		}
	}
}
