package acceptor

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// bodyMemoryFactor is what a body takes in memory in multiples of its length until the handler closes
	// it or ends: decoders grow their buffers by doubling and hold the decoded form beside it.
	bodyMemoryFactor = 4
	// uncountedBody is the part of each body that fits into the share of the connections, so that
	// ordinary requests are not refused beside large ones that are being served.
	uncountedBody = 4 << 10
	// minBodyRate is the rate in bytes a second at which a client may send a body for longer than the
	// time limit.
	minBodyRate = 16 << 10
	// retryAfterSeconds is the Retry-After of a refused body: others have then ended or were cut off.
	retryAfterSeconds = 1
)

// ErrBodyRefused is returned by the body of a request that was refused while it was read. The request
// is answered with 503.
var ErrBodyRefused = errors.New("the body was refused: the limit of memory or time is reached")

// bodies counts the memory of the bodies of all requests from their first byte until the requests end.
type bodies struct {
	limit   int64 // bytes
	mu      sync.Mutex
	used    int64
	holding int // requests that use some of it
	reading map[*body]struct{}
}

// limitBodies returns a handler that limits the time and the memory of the bodies that h reads.
func (l *Acceptor) limitBodies(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			h.ServeHTTP(w, r)
			return
		}
		b := &body{acceptor: l, inner: r.Body, control: http.NewResponseController(w), client: r.RemoteAddr}
		b.conn, _ = r.Context().Value(connKey{}).(*conn)
		defer b.release()
		// net/http reads the rest of a body that the handler leaves unread, after the handler has ended.
		b.setPhase(phaseBody)
		_ = b.control.SetReadDeadline(l.config.Now().Add(l.config.BodyTime))
		r.Body = b
		h.ServeHTTP(&bodyAnswer{ResponseWriter: w, body: b}, r)
	})
}

// body is the body of a request. It is read by one goroutine at a time.
type body struct {
	acceptor *Acceptor
	inner    io.ReadCloser
	control  *http.ResponseController
	conn     *conn // nil without a Server
	client   string
	received int64
	ended    bool

	// Guarded by acceptor.bodies.mu.
	started  time.Time // of reading; zero: not yet
	deadline time.Time // set by the handler; zero: none
	used     int64     // bytes of memory counted for it
	evicted  bool

	refused bool // an error was returned to the handler
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.refused {
		return 0, ErrBodyRefused
	}
	if b.ended {
		return b.inner.Read(p)
	}
	if !b.extendTime() {
		return 0, b.refuse(reasonBodyMemory)
	}
	n, err := b.inner.Read(p)
	counted := max(0, b.received-uncountedBody)
	b.received += int64(n)
	if more := max(0, b.received-uncountedBody) - counted; more > 0 && !b.reserve(more*bodyMemoryFactor) {
		return 0, b.refuse(reasonBodyMemory)
	}
	if err != nil {
		return n, b.end(err)
	}
	return n, nil
}

// Close implements io.Closer. A handler that closes the body holds no more of it than its bytes.
func (b *body) Close() error {
	s := &b.acceptor.bodies
	s.mu.Lock()
	if excess := b.used - max(0, b.received-uncountedBody); excess > 0 {
		b.used -= excess
		s.used -= excess
	}
	s.mu.Unlock()
	return b.inner.Close()
}

// extendTime begins the reading of the body and sets the deadline of the next read. It returns false
// if the body was evicted.
func (b *body) extendTime() bool {
	l := b.acceptor
	l.bodies.mu.Lock()
	defer l.bodies.mu.Unlock()
	if b.started.IsZero() {
		b.started = l.config.Now()
		l.bodies.reading[b] = struct{}{}
	}
	if b.evicted {
		return false
	}
	deadline := b.started.Add(l.config.BodyTime + time.Duration(b.received)*time.Second/minBodyRate)
	if !b.deadline.IsZero() && b.deadline.Before(deadline) {
		deadline = b.deadline
	}
	_ = b.control.SetReadDeadline(deadline) // fails only if the connection does not support deadlines
	return true
}

func (b *body) setPhase(p phase) {
	if b.conn != nil {
		b.conn.setPhase(p)
	}
}

// reserve counts more memory for the body. If all bodies together exceed the limit, the one that has
// been read for longest is cut off; a client that sends at an ordinary rate is done before. A body
// that is alone is never refused.
func (b *body) reserve(bytes int64) bool {
	s := &b.acceptor.bodies
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.evicted {
		return false
	}
	if b.used == 0 {
		s.holding++
	}
	b.used += bytes
	s.used += bytes
	if s.used <= s.limit || s.holding == 1 {
		return true
	}
	victim := b
	for other := range s.reading {
		if other.used > 0 && other.started.Before(victim.started) {
			victim = other
		}
	}
	delete(s.reading, victim)
	victim.evicted = true
	if victim == b {
		return false
	}
	s.releaseLocked(victim)
	_ = victim.control.SetReadDeadline(time.Unix(1, 0)) // ends a read that waits for the client
	return true
}

// end ends the reading of the body with the error of its last read.
func (b *body) end(err error) error {
	s := &b.acceptor.bodies
	s.mu.Lock()
	evicted := b.evicted
	delete(s.reading, b)
	s.mu.Unlock()
	b.ended = true
	if errors.Is(err, io.EOF) {
		// The connection is read on for its end while the handler runs.
		_ = b.control.SetReadDeadline(time.Time{})
		b.setPhase(phaseServing)
		return err
	}
	switch {
	case evicted:
		return b.refuse(reasonBodyMemory)
	case isTimeout(err):
		return b.refuse(reasonBodyTime)
	}
	return err
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

func (b *body) refuse(why reason) error {
	b.refused = true
	b.acceptor.closed.record(why, b.client)
	return ErrBodyRefused
}

// release ends the request.
func (b *body) release() {
	s := &b.acceptor.bodies
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reading, b)
	s.releaseLocked(b)
}

func (s *bodies) releaseLocked(b *body) {
	if b.used > 0 {
		s.holding--
	}
	s.used -= b.used
	b.used = 0
}

// bodyAnswer answers 503 in place of the handler's error if the body was refused.
type bodyAnswer struct {
	http.ResponseWriter
	body     *body
	wrote    bool
	replaced bool
}

// Unwrap returns the ResponseWriter, for http.ResponseController.
func (a *bodyAnswer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// SetReadDeadline sets a deadline of the handler for the body.
func (a *bodyAnswer) SetReadDeadline(t time.Time) error {
	s := &a.body.acceptor.bodies
	s.mu.Lock()
	defer s.mu.Unlock()
	a.body.deadline = t
	if a.body.evicted {
		return nil
	}
	return a.body.control.SetReadDeadline(t)
}

// WriteHeader implements http.ResponseWriter.
func (a *bodyAnswer) WriteHeader(status int) {
	if a.wrote || status < http.StatusBadRequest || !a.body.refused {
		a.wrote = a.wrote || status >= http.StatusOK
		a.ResponseWriter.WriteHeader(status)
		return
	}
	a.wrote, a.replaced = true, true
	h := a.Header()
	h.Del("Content-Length")
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	h.Set("Connection", "close")
	a.ResponseWriter.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(a.ResponseWriter, ErrBodyRefused.Error()+"\n") // the client may have disconnected
}

// Write implements http.ResponseWriter.
func (a *bodyAnswer) Write(p []byte) (int, error) {
	if !a.wrote {
		a.WriteHeader(http.StatusOK)
	}
	if a.replaced {
		return len(p), nil
	}
	return a.ResponseWriter.Write(p)
}
