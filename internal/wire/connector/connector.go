// Package connector sends the messages of package messenger over TCP, as JSON-RPC 2.0 with the length
// of each message before it. Both sides of a connection can make calls, whichever dialled.
package connector

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bamboospread/internal/wire/limiter"
	"bamboospread/internal/wire/messenger"
)

// Handler answers a call from the other side. Each call runs on its own goroutine;
// its context ends with the connection. An Error is sent with its code, any other
// error with CodeUnknown.
type Handler func(ctx context.Context, c *Conn, method string, params json.RawMessage) (any, error)

// Error is an error with one of the codes of package messenger, which callers act on.
type Error struct {
	Code    int64
	Message string
}

func (e Error) Error() string { return e.Message }

// Errorf returns an Error with a formatted message.
func Errorf(code int64, format string, args ...any) error {
	return Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// CodeOf returns the code of err, or 0 if the error did not come from the other
// side; then it is unknown whether the call had an effect.
func CodeOf(err error) int64 {
	var e Error
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}

// Decode decodes the parameters of a call.
func Decode[T any](params json.RawMessage) (T, error) {
	var t T
	if err := json.Unmarshal(params, &t); err != nil {
		return t, Errorf(messenger.CodeBadRequest, "decode %T: %v", t, err)
	}
	return t, nil
}

// ErrClosed is returned by calls on a connection that has ended.
var ErrClosed = errors.New("the connection is closed")

// Conn is a connection to another process. It is safe for concurrent use.
type Conn struct {
	queued  *queuedConn
	remote  string
	number  int64
	handle  Handler
	arrival arrival
	account *limiter.Account
	limiter *limiter.Limiter
	ctx     context.Context // of the handlers; ends with the connection
	cancel  context.CancelFunc
	done    chan struct{} // closed when the connection has ended
	// requests passes requests to goroutines that have handled one before: their stacks have the size
	// that decoding needs.
	requests    chan message
	handling    atomic.Int64 // requests
	maxHandling int64

	mu      sync.Mutex
	pending map[uint64]chan message // calls without an answer; nil: the connection has ended
	lastID  uint64
}

// Config is the configuration of connections.
type Config struct {
	Handle Handler
	// Opened, if it is not nil, is called with each accepted connection.
	Opened func(*Conn)
	// Limiter bounds the memory of the connections that share it; nil: that of the process.
	Limiter *limiter.Limiter
	// MaxRequests is the most requests of a connection that are handled at a time; others are refused
	// with CodeUnavailable. 0: DefaultMaxRequests.
	MaxRequests int
}

// DefaultMaxRequests is the default of Config.MaxRequests.
const DefaultMaxRequests = 2048

// handlerBytes is about the memory of a goroutine that handles requests.
const handlerBytes = 8 << 10

// Dial connects to address. Calls of the other side are passed to handle.
func Dial(ctx context.Context, address string, handle Handler) (*Conn, error) {
	return Config{Handle: handle}.Dial(ctx, address)
}

// Serve accepts connections until ctx ends, then closes the listener and all
// connections. If opened is not nil, it is called with each new connection.
func Serve(ctx context.Context, l net.Listener, handle Handler, opened func(*Conn)) error {
	return Config{Handle: handle, Opened: opened}.Serve(ctx, l)
}

// Dial connects to address.
func (config Config) Dial(ctx context.Context, address string) (*Conn, error) {
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return newConn(raw, config, (*limiter.Limiter).Open), nil
}

// Serve accepts connections until ctx ends, then closes the listener and all connections.
func (config Config) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		raw, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return fmt.Errorf("accept on %s: %w", l.Addr(), err)
			}
			time.Sleep(10 * time.Millisecond) // out of file descriptors: wait until some are closed
			continue
		}
		c := newConn(raw, config, (*limiter.Limiter).Accept)
		forget := context.AfterFunc(ctx, func() { c.Close() })
		context.AfterFunc(c.ctx, func() { forget() })
		if config.Opened != nil {
			config.Opened(c)
		}
	}
}

// lastNumber is the number of the latest connection of this process.
var lastNumber atomic.Int64

// newConn returns a connection whose account is the result of open.
func newConn(raw net.Conn, config Config, open func(l *limiter.Limiter, remote string, end func()) *limiter.Account) *Conn {
	if config.Limiter == nil {
		config.Limiter = limiter.Process()
	}
	if config.MaxRequests == 0 {
		config.MaxRequests = DefaultMaxRequests
	}
	c := &Conn{
		queued: newQueuedConn(raw), remote: raw.RemoteAddr().String(), number: lastNumber.Add(1), handle: config.Handle, limiter: config.Limiter,
		done: make(chan struct{}), requests: make(chan message), maxHandling: int64(config.MaxRequests), pending: make(map[uint64]chan message),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.account = open(config.Limiter, c.remote, func() { c.Close() })
	c.arrival.account, c.queued.account = c.account, c.account
	go c.queued.flush()
	go c.read()
	return c
}

// read passes on messages until the connection ends.
func (c *Conn) read() {
	stream := bufio.NewReader(c.queued)
	for {
		data, err := readFrame(stream, &c.arrival)
		if err != nil {
			break
		}
		m, err := parseMessage(data)
		if err != nil {
			break // the other side is not one of our processes
		}
		c.account.Heard()
		m.held = heldBytes(len(data))
		if m.method == "" {
			c.answered(m)
			c.account.Hold(-m.held)
			continue
		}
		if !c.account.Reserve(m.decodedBytes) {
			break
		}
		m.held += m.decodedBytes
		c.passOn(m)
	}
	c.queued.Close()
	c.account.Close()
	c.mu.Lock()
	c.pending = nil
	c.mu.Unlock()
	close(c.done)
	c.cancel()
}

// passOn passes a request to a goroutine that handles it, or refuses it.
func (c *Conn) passOn(m message) {
	if c.handling.Add(1) > c.maxHandling {
		c.handling.Add(-1)
		c.refuse(m, Errorf(messenger.CodeUnavailable, "%s: %d requests are handled on this connection", m.method, c.maxHandling))
		c.account.Hold(-m.held)
		return
	}
	select {
	case c.requests <- m:
	default:
		c.account.Hold(handlerBytes)
		go c.handleRequests(m)
	}
}

// answered passes an answer to its call, if that still waits for it.
func (c *Conn) answered(m message) {
	id, err := strconv.ParseUint(string(m.id), 10, 64)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if call := c.pending[id]; call != nil {
		delete(c.pending, id)
		call <- m
	}
}

// idleHandlerTime is how long a goroutine waits for another request.
const idleHandlerTime = 5 * time.Second

// handleRequests handles a request and then others, until there is none for a while.
func (c *Conn) handleRequests(m message) {
	idle := time.NewTimer(idleHandlerTime)
	defer idle.Stop()
	defer c.account.Hold(-handlerBytes)
	for {
		c.handleRequest(m)
		c.account.Hold(-m.held)
		m = message{}
		idle.Reset(idleHandlerTime)
		select {
		case m = <-c.requests:
		case <-idle.C:
			return
		case <-c.done:
			return
		}
	}
}

// handleRequest handles a request and sends the answer.
func (c *Conn) handleRequest(m message) {
	var result any
	err := Errorf(messenger.CodeBadRequest, "%s: no parameters", m.method)
	if m.params != nil {
		result, err = c.handle(c.ctx, c, m.method, m.params)
	}
	c.handling.Add(-1)
	c.answer(m, result, err)
}

// answer sends the answer to a request, unless none is expected. Answers are encoded by few goroutines
// at a time: each takes several times the memory of the answer until it is queued.
func (c *Conn) answer(m message, result any, err error) {
	if m.id == nil {
		return
	}
	c.limiter.EnterEncoder()
	defer c.limiter.LeaveEncoder()
	frame, err := answerFrame(m, result, err)
	if err != nil {
		c.Close()
		return
	}
	if c.account.Reserve(int64(len(frame))) {
		_, _ = c.queued.writeHeld(frame) // fails only if the connection has ended
	}
}

// refuse answers a request with an error. It never waits, since the connection's messages are read by its caller.
func (c *Conn) refuse(m message, refusal error) {
	if m.id == nil {
		return
	}
	frame, err := answerFrame(m, nil, refusal)
	if err != nil {
		c.Close()
		return
	}
	_, _ = c.queued.Write(frame) // fails only if the connection has ended
}

// answerFrame returns the frame of an answer with the result or, if err is not nil or the result can't be
// sent, with an error.
func answerFrame(m message, result any, err error) ([]byte, error) {
	if err == nil {
		var frame []byte
		if frame, err = resultFrame(m.id, result); err == nil {
			return frame, nil
		}
	}
	return appendError(nil, m.id, wireErrorOf(err))
}

// wireErrorOf converts err to the form in which it is sent, with its code.
func wireErrorOf(err error) wireError {
	code := CodeOf(err)
	if code == 0 {
		code = messenger.CodeUnknown
	}
	return wireError{Code: code, Message: err.Error()}
}

// Call makes a call and decodes its answer into result, a pointer. It returns an
// Error if the other side answered with one; after any other error the call may or
// may not have had an effect. An answer that arrives late is dropped by its id.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	err := c.call(ctx, method, params, result)
	if err != nil && CodeOf(err) == 0 {
		return fmt.Errorf("call %s at %s: %w", method, c.remote, err)
	}
	return err
}

func (c *Conn) call(ctx context.Context, method string, params, result any) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	answer := make(chan message, 1)
	c.mu.Lock()
	if c.pending == nil {
		c.mu.Unlock()
		return ErrClosed
	}
	c.lastID++
	id := c.lastID
	c.pending[id] = answer
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.pending, id)
	}()
	frame, err := appendRequest(nil, id, method, params)
	if err != nil {
		return err
	}
	if _, err := c.queued.Write(frame); err != nil {
		return ErrClosed
	}
	select {
	case m := <-answer:
		return decodeAnswer(m, result)
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
	}
	select {
	case m := <-answer: // it arrived before the connection ended
		return decodeAnswer(m, result)
	default:
		return ErrClosed
	}
}

func decodeAnswer(m message, result any) error {
	if m.err != nil && string(m.err) != "null" {
		var e wireError
		if err := json.Unmarshal(m.err, &e); err != nil {
			return fmt.Errorf("decode error: %w", err)
		}
		return Error{Code: e.Code, Message: e.Message}
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(m.result, result); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

// CallWithin makes a call like Call that is given up after the limit. Time in which a message of the
// other side is arriving does not count: a large answer on a slow link would otherwise be given up,
// however often it is requested.
func (c *Conn) CallWithin(ctx context.Context, limit time.Duration, method string, params, result any) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var timer *time.Timer
	ready := make(chan struct{})
	timer = time.AfterFunc(limit, func() {
		<-ready
		if quiet, arriving := c.arrival.quiet(); arriving && quiet < limit {
			timer.Reset(limit - quiet)
			return
		}
		cancel(context.DeadlineExceeded)
	})
	close(ready)
	defer timer.Stop()
	err := c.Call(ctx, method, params, result)
	if err != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded) && CodeOf(err) == 0 {
		return fmt.Errorf("call %s at %s: no answer within %s: %w", method, c.remote, limit, context.DeadlineExceeded)
	}
	return err
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Remote returns the address of the other side.
func (c *Conn) Remote() string { return c.remote }

// Number returns the number of the connection. Those accepted on one listener are numbered in the order in
// which they were opened.
func (c *Conn) Number() int64 { return c.number }

// Close closes the connection; pending calls return an error.
func (c *Conn) Close() error { return c.queued.Close() }
