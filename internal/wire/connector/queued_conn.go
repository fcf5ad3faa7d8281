package connector

import (
	"net"
	"sync"
	"time"

	"bamboospread/internal/wire/limiter"
)

const (
	maxQueuedBytes = 64 << 20
	// maxPartBytes is written within writeTimeout, however much is queued behind it.
	maxPartBytes = 64 << 10
	// maxSpareBytes is kept by a connection while nothing is queued.
	maxSpareBytes  = 16 << 10
	maxSpareChunks = 16
	writeTimeout   = 5 * time.Second
)

// queuedConn writes on its own goroutine. If a peer is suspended (SIGSTOP) or
// unreachable, the kernel's send buffer fills up; a direct write would then block
// while holding the lock of the connection, and delay all callers that send to
// that peer past their deadlines. Here Write only queues the data. The connection
// is closed when the write of a part of the queue takes longer than writeTimeout or the
// queue is full, so no caller waits and memory is bounded. The account holds what is queued.
type queuedConn struct {
	net.Conn
	account *limiter.Account
	mu      sync.Mutex
	queue   [][]byte // chunks of one or several messages
	queued  int      // bytes of queue
	spare   []byte   // for the next chunk
	wake    chan struct{}
	closed  chan struct{}
	once    sync.Once
	// partTimeout limits the write of each part of the queue.
	partTimeout time.Duration
}

func newQueuedConn(raw net.Conn) *queuedConn {
	c := &queuedConn{Conn: raw, wake: make(chan struct{}, 1), closed: make(chan struct{}), partTimeout: writeTimeout}
	return c
}

// Write queues b, which it takes over. It closes the connection if the queue is full.
func (c *queuedConn) Write(b []byte) (int, error) {
	c.account.Hold(int64(len(b)))
	return c.writeHeld(b)
}

// writeHeld queues b, which the account holds already.
func (c *queuedConn) writeHeld(b []byte) (int, error) {
	c.mu.Lock()
	select {
	case <-c.closed:
		c.mu.Unlock()
		return 0, net.ErrClosed
	default:
	}
	full := c.queued+len(b) > maxQueuedBytes
	if !full {
		c.appendLocked(b)
	}
	c.mu.Unlock()
	if full {
		c.Close()
		return 0, net.ErrClosed
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return len(b), nil
}

// appendLocked appends a large message as a chunk of its own and others to the latest chunk, so that they
// are written together. The mutex is held.
func (c *queuedConn) appendLocked(b []byte) {
	c.queued += len(b)
	last := len(c.queue) - 1
	switch {
	case last >= 0 && len(c.queue[last])+len(b) <= maxPartBytes:
		c.queue[last] = append(c.queue[last], b...)
	case len(b) > maxSpareBytes:
		c.queue = append(c.queue, b)
	default:
		// A second reference to the spare buffer would let a later chunk overwrite this one while it is
		// being written, and the other side would receive corrupt messages.
		c.queue, c.spare = append(c.queue, append(c.spare[:0], b...)), nil
	}
}

// Close closes the connection, ends its goroutine and drops what is queued.
func (c *queuedConn) Close() error {
	c.once.Do(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		close(c.closed)
		c.queue, c.queued, c.spare = nil, 0, nil
	})
	return c.Conn.Close()
}

// flush writes queued data until the connection is closed.
func (c *queuedConn) flush() {
	var written [][]byte // without chunks
	for {
		select {
		case <-c.closed:
			return
		case <-c.wake:
		}
		for {
			c.mu.Lock()
			batch := c.queue
			c.queue, c.queued = written, 0
			c.mu.Unlock()
			if written = nil; len(batch) == 0 {
				break
			}
			if err := c.writeBatch(batch); err != nil {
				c.Close()
				return
			}
			if cap(batch) <= maxSpareChunks {
				written = batch[:0]
			}
		}
	}
}

// writeBatch writes chunks and releases each.
func (c *queuedConn) writeBatch(batch [][]byte) error {
	for i, chunk := range batch {
		if err := c.write(chunk); err != nil {
			return err
		}
		batch[i] = nil
		c.account.Hold(-int64(len(chunk)))
		if cap(chunk) <= maxSpareBytes {
			c.mu.Lock()
			c.spare = chunk
			c.mu.Unlock()
		}
	}
	return nil
}

// write writes a chunk in parts, each with a time limit of its own.
func (c *queuedConn) write(chunk []byte) error {
	for len(chunk) > 0 {
		part := chunk
		if len(part) > maxPartBytes+maxPartBytes/8 { // a small rest is written with the part before it
			part = part[:maxPartBytes]
		}
		chunk = chunk[len(part):]
		// If the deadline can't be set, the write below fails.
		_ = c.SetWriteDeadline(time.Now().Add(c.partTimeout))
		if _, err := c.Conn.Write(part); err != nil {
			return err
		}
	}
	return nil
}
