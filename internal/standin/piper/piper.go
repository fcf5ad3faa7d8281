// Package piper is a network in memory for tests in a bubble of testing/synctest. The clock of a bubble advances
// while all of its goroutines wait for each other or for time, and not while one waits for the kernel's network.
package piper

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Listener accepts the connections that its Dial opens. It is safe for concurrent use.
type Listener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// New returns a Listener.
func New() *Listener {
	return &Listener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept waits for the next connection. It returns net.ErrClosed once the listener is closed.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener; its connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns an address that names no host.
func (l *Listener) Addr() net.Addr { return address{} }

type address struct{}

func (address) Network() string { return "pipe" }
func (address) String() string  { return "pipe" }

// Dial opens a connection. It returns net.ErrClosed if the listener is closed, or the error of ctx.
func (l *Listener) Dial(ctx context.Context) (net.Conn, error) {
	ours, theirs := net.Pipe()
	return ours, l.pass(ctx, theirs)
}

// pass passes c to Accept.
func (l *Listener) pass(ctx context.Context, c net.Conn) error {
	select {
	case l.accepted <- c:
		return nil
	case <-l.closed:
		return net.ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Join opens one connection whose ends a and b accept.
func Join(ctx context.Context, a, b *Listener) error {
	ours, theirs := net.Pipe()
	if err := a.pass(ctx, ours); err != nil {
		return err
	}
	return b.pass(ctx, theirs)
}

// Serve serves h and returns a client for it, whatever host a URL names, and a function that waits for
// the calls that are being served and closes both.
func Serve(h http.Handler) (client *http.Client, end func()) {
	l := New()
	s := &http.Server{Handler: h}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	transport := &http.Transport{
		MaxIdleConnsPerHost: 8,
		DialContext:         func(ctx context.Context, _, _ string) (net.Conn, error) { return l.Dial(ctx) },
	}
	return &http.Client{Transport: transport}, func() {
		transport.CloseIdleConnections()
		_ = s.Shutdown(context.Background()) // waits for handlers
		<-served
	}
}
