// Package proxy is a TCP proxy that injects faults between the processes of a
// test: it cuts one way or both, delays, limits the rate, holds bytes back, and
// drops answers, and can be changed at any time. docs/DESIGN.md tells why it is
// our own.
package proxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Way is a set of directions of a connection.
type Way int

// Ways through the proxy.
const (
	ToServer Way = 1 << iota
	ToClient
	BothWays = ToServer | ToClient
)

// chunkBytes is the most that is read at once.
const chunkBytes = 32 << 10

// Faults are the faults in force. The zero value has none.
type Faults struct {
	Refuse      bool          // reset all connections, also new ones
	Cut         Way           // swallow bytes in these directions, as a broken link does
	Hold        Way           // keep bytes back and deliver them when this is unset
	DropAnswers bool          // let requests through and reset the connection when the answer comes
	Delay       time.Duration // each way
	BytesPerSec int           // each way and connection; 0: no limit
}

// Proxy forwards connections to one target.
type Proxy struct {
	listener net.Listener
	target   string
	faults   atomic.Pointer[Faults]

	mu      sync.Mutex
	changed chan struct{} // closed and replaced when faults change
	links   map[*link]bool
	closed  bool
}

// link is one connection with both its ends.
type link struct {
	client, server net.Conn
	torn           atomic.Bool // bytes were swallowed: it can't go on when the fault ends
}

// New returns a proxy to target that listens on a port of its own.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, changed: make(chan struct{}), links: make(map[*link]bool)}
	p.faults.Store(&Faults{})
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set replaces the faults in force. Connections that lost bytes are reset once
// the link is whole again.
func (p *Proxy) Set(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.Store(&f)
	close(p.changed)
	p.changed = make(chan struct{})
	for l := range p.links {
		if f.Refuse || (f.Cut == 0 && l.torn.Load()) {
			l.reset()
		}
	}
}

// Reset ends all faults.
func (p *Proxy) Reset() { p.Set(Faults{}) }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Set(Faults{Refuse: true})
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(c)
	}
}

func (p *Proxy) connect(client net.Conn) {
	l := &link{client: client}
	if p.faults.Load().Refuse {
		l.reset()
		return
	}
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		l.reset()
		return
	}
	l.server = server
	p.mu.Lock()
	p.links[l] = true
	closed := p.closed
	p.mu.Unlock()
	if closed || p.faults.Load().Refuse {
		l.reset()
	}
	var both sync.WaitGroup
	both.Go(func() { p.pump(l, client, server, ToServer) })
	both.Go(func() { p.pump(l, server, client, ToClient) })
	both.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// reset ends both connections with a RST, so that no end takes what it has read
// for all that was sent.
func (l *link) reset() {
	for _, c := range []net.Conn{l.client, l.server} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
			t.Close()
		}
	}
}

type chunk struct {
	data    []byte
	arrived time.Time
}

// pump carries bytes one way. Reading goes on while earlier bytes are delayed,
// so that a delay is not also a limit on the rate.
func (p *Proxy) pump(l *link, from, to net.Conn, way Way) {
	chunks := make(chan chunk, 64)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, chunkBytes)
			n, err := from.Read(buffer)
			if n > 0 {
				chunks <- chunk{buffer[:n], time.Now()}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		if !p.deliver(l, to, way, c) {
			l.reset()
		}
	}
	if p.release(way).Cut&way != 0 || l.torn.Load() {
		return // the other end must not learn over a cut link that this one closed
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// release waits until nothing holds the way and returns the faults in force.
func (p *Proxy) release(way Way) Faults {
	for {
		p.mu.Lock()
		changed := p.changed
		p.mu.Unlock()
		f := p.faults.Load()
		if f.Hold&way == 0 {
			return *f
		}
		<-changed
	}
}

func (p *Proxy) deliver(l *link, to net.Conn, way Way, c chunk) bool {
	f := p.release(way)
	time.Sleep(time.Until(c.arrived.Add(f.Delay)))
	f = p.release(way) // it may have changed meanwhile
	if f.BytesPerSec > 0 {
		time.Sleep(time.Duration(len(c.data)) * time.Second / time.Duration(f.BytesPerSec))
	}
	switch {
	case f.Refuse, f.DropAnswers && way == ToClient:
		return false
	case f.Cut&way != 0:
		l.torn.Store(true)
		return true
	case l.torn.Load():
		return false
	}
	_, err := to.Write(c.data)
	return err == nil
}
