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

// Config holds the settings of a Proxy.
type Config struct {
	Target string // host:port
	// Classify, if set, names the party that opened a connection, so that
	// faults can be set for one party alone.
	Classify func(net.Conn) string
}

// Proxy forwards connections to one target.
type Proxy struct {
	config   Config
	listener net.Listener

	mu      sync.Mutex
	all     Faults
	byClass map[string]Faults // goes before all
	changed chan struct{}     // closed and replaced when faults change
	links   map[*link]bool

	toServer, toClient atomic.Int64 // bytes delivered
}

// link is one connection with both its ends.
type link struct {
	class          string
	client, server net.Conn
	torn           atomic.Bool // bytes were swallowed: it can't go on when the fault ends
}

// New returns a proxy to a target that listens on a port of its own.
func New(c Config) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		config: c, listener: l, byClass: make(map[string]Faults),
		changed: make(chan struct{}), links: make(map[*link]bool),
	}
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set replaces the faults in force for all but the classes that have their own.
// Connections that lost bytes are reset once the link is whole again.
func (p *Proxy) Set(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = f
	p.applyLocked()
}

// SetFor replaces the faults in force for the connections of one class.
func (p *Proxy) SetFor(class string, f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byClass[class] = f
	p.applyLocked()
}

// Reset ends all faults.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all, p.byClass = Faults{}, make(map[string]Faults)
	p.applyLocked()
}

func (p *Proxy) applyLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
	for l := range p.links {
		if f := p.faultsLocked(l.class); f.Refuse || (f.Cut == 0 && l.torn.Load()) {
			l.reset()
		}
	}
}

func (p *Proxy) faultsLocked(class string) Faults {
	if f, ok := p.byClass[class]; ok {
		return f
	}
	return p.all
}

// look returns the faults in force and a channel that is closed at the next
// change.
func (p *Proxy) look(class string) (Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faultsLocked(class), p.changed
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all, p.byClass = Faults{Refuse: true}, nil
	p.applyLocked()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(&link{client: c})
	}
}

func (p *Proxy) connect(l *link) {
	if p.config.Classify != nil {
		l.class = p.config.Classify(l.client)
	}
	server, err := net.DialTimeout("tcp", p.config.Target, time.Second)
	if err != nil {
		l.reset()
		return
	}
	l.server = server
	p.mu.Lock()
	p.links[l] = true
	refuse := p.faultsLocked(l.class).Refuse
	p.mu.Unlock()
	if refuse {
		l.reset()
	}
	var both sync.WaitGroup
	both.Go(func() { p.pump(l, l.client, l.server, ToServer) })
	both.Go(func() { p.pump(l, l.server, l.client, ToClient) })
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
	if p.release(l, way).Cut&way != 0 || l.torn.Load() {
		return // the other end must not learn over a cut link that this one closed
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// release waits until nothing holds the way and returns the faults in force.
func (p *Proxy) release(l *link, way Way) Faults {
	for {
		f, changed := p.look(l.class)
		if f.Hold&way == 0 {
			return f
		}
		<-changed
	}
}

func (p *Proxy) deliver(l *link, to net.Conn, way Way, c chunk) bool {
	f := p.release(l, way)
	time.Sleep(time.Until(c.arrived.Add(f.Delay)))
	f = p.release(l, way) // it may have changed meanwhile
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
	if way == ToServer {
		p.toServer.Add(int64(len(c.data)))
	} else {
		p.toClient.Add(int64(len(c.data)))
	}
	return err == nil
}

// CountBytes returns how many bytes were delivered so far, each way.
func (p *Proxy) CountBytes() (toServer, toClient int64) {
	return p.toServer.Load(), p.toClient.Load()
}
