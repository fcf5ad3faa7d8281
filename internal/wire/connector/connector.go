// Package connector carries the messages of messenger over TCP with
// sourcegraph/jsonrpc2. Calls go both ways on a connection, whoever dialled it.
package connector

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"bamboospread/internal/wire/messenger"
)

// Handler answers a call from the other side. Each call runs on a goroutine of
// its own; its context ends with the connection. An Error keeps its code on the
// wire, any other error becomes CodeUnknown.
type Handler func(ctx context.Context, c *Conn, method string, params json.RawMessage) (any, error)

// Error is an error with a code of messenger that the caller acts on.
type Error struct {
	Code    int64
	Message string
}

func (e Error) Error() string { return e.Message }

// Errorf returns an Error.
func Errorf(code int64, format string, args ...any) error {
	return Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// CodeOf returns the code of err, or 0 if the error did not come from the other
// side: then it is not known whether the call had an effect.
func CodeOf(err error) int64 {
	var e Error
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}

// Decode reads the parameters of a call.
func Decode[T any](params json.RawMessage) (T, error) {
	var t T
	if err := json.Unmarshal(params, &t); err != nil {
		return t, Errorf(messenger.CodeBadRequest, "decode %T: %v", t, err)
	}
	return t, nil
}

// Conn is a connection to another process.
type Conn struct {
	rpc    *jsonrpc2.Conn
	remote string
}

// Dial connects to address. Handle answers calls of the other side.
func Dial(ctx context.Context, address string, handle Handler) (*Conn, error) {
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return wrap(raw, handle), nil
}

// Serve accepts connections until ctx ends, then closes the listener and all
// connections. Opened, if set, is told of each connection.
func Serve(ctx context.Context, l net.Listener, handle Handler, opened func(*Conn)) error {
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
			time.Sleep(10 * time.Millisecond) // out of descriptors: wait for some to close
			continue
		}
		c := wrap(raw, handle)
		context.AfterFunc(ctx, func() { c.Close() })
		if opened != nil {
			opened(c)
		}
	}
}

func wrap(raw net.Conn, handle Handler) *Conn {
	c := &Conn{remote: raw.RemoteAddr().String()}
	stream := jsonrpc2.NewBufferedStream(newQueuedConn(raw), codec{})
	ctx, cancel := context.WithCancel(context.Background())
	ready := make(chan struct{}) // the library reads before NewConn returns
	c.rpc = jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(
		func(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
			<-ready
			if r.Params == nil {
				return nil, wireError(Errorf(messenger.CodeBadRequest, "%s: no parameters", r.Method))
			}
			result, err := handle(ctx, c, r.Method, json.RawMessage(*r.Params))
			if err != nil {
				return nil, wireError(err)
			}
			return result, nil
		})), jsonrpc2.SetLogger(silent{}))
	close(ready)
	go func() {
		<-c.rpc.DisconnectNotify()
		cancel()
	}()
	return c
}

// silent drops the library's own log lines: an answer that comes after its
// caller gave up is ordinary here and dropped by id.
type silent struct{}

func (silent) Printf(string, ...any) {}

func wireError(err error) error {
	code := CodeOf(err)
	if code == 0 {
		code = messenger.CodeUnknown
	}
	return &jsonrpc2.Error{Code: code, Message: err.Error()}
}

// Call sends a call and waits for its answer into result, a pointer. It returns
// an Error if the other side answered with one; with any other error the call
// may or may not have had its effect. A late answer is dropped by id.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	err := c.rpc.Call(ctx, method, params, result)
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return Error{Code: remote.Code, Message: remote.Message}
	}
	if err != nil {
		return fmt.Errorf("call %s at %s: %w", method, c.remote, err)
	}
	return nil
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Remote returns the address of the other side.
func (c *Conn) Remote() string { return c.remote }

// Close ends the connection; calls that wait return with an error.
func (c *Conn) Close() error { return c.rpc.Close() }
