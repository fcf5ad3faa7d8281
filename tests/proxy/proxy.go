// Package proxy is a TCP proxy that injects faults between the processes of a
// test: it cuts one way or both, delays, limits the rate, holds bytes back, and
// drops answers, and can be changed at any time. docs/DESIGN.md tells why it is
// our own.
package proxy

import (
	"errors"
	"maps"
	"net"
	"os"
	"slices"
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
	changing sync.Mutex // held by a change of the faults until it is in effect

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
	// gates are held, one each way, from a look at the faults to the end of what
	// they let pass.
	gates [2]sync.Mutex
}

func (l *link) gate(way Way) *sync.Mutex { return &l.gates[way-ToServer] }

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
// Connections that lost bytes are reset once the link is whole again. When it
// returns, as with SetFor and Reset, no byte is forwarded under the earlier faults;
// bytes that the kernel has taken already still reach their end.
func (p *Proxy) Set(f Faults) {
	p.change(func() { p.all = f })
}

// SetFor replaces the faults in force for the connections of one class.
func (p *Proxy) SetFor(class string, f Faults) {
	p.change(func() { p.byClass[class] = f })
}

// Reset ends all faults.
func (p *Proxy) Reset() {
	p.change(func() { p.all, p.byClass = Faults{}, make(map[string]Faults) })
}

func (p *Proxy) change(set func()) {
	p.changing.Lock()
	defer p.changing.Unlock()
	p.mu.Lock()
	set()
	close(p.changed)
	p.changed = make(chan struct{})
	links := slices.Collect(maps.Keys(p.links))
	p.mu.Unlock()
	for _, l := range links {
		l.settle(ToServer, l.server)
		l.settle(ToClient, l.client)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		if f := p.faultsLocked(l.class); f.Refuse || (f.Cut == 0 && l.torn.Load()) {
			l.reset()
		}
	}
}

// settle waits until nothing passes one way that earlier faults allowed. A write
// for which the peer has no room is broken off and goes on under the new faults.
func (l *link) settle(way Way, to net.Conn) {
	gate := l.gate(way)
	if !gate.TryLock() {
		_ = to.SetWriteDeadline(time.Now())
		gate.Lock()
		_ = to.SetWriteDeadline(time.Time{})
	}
	gate.Unlock()
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
	p.change(func() { p.all, p.byClass = Faults{Refuse: true}, nil })
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
	f := p.enter(l, way, func(Faults) time.Time { return time.Time{} })
	defer l.gate(way).Unlock()
	if f.Cut&way != 0 || l.torn.Load() {
		return // the other end must not learn over a cut link that this one closed
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// enter waits until nothing holds the way and what is to pass is due, locks the
// way's gate and returns the faults in force.
func (p *Proxy) enter(l *link, way Way, due func(Faults) time.Time) Faults {
	for {
		l.gate(way).Lock()
		f, changed := p.look(l.class)
		wait := time.Until(due(f))
		if f.Hold&way == 0 && wait <= 0 {
			return f
		}
		l.gate(way).Unlock()
		if f.Hold&way != 0 {
			<-changed
			continue
		}
		select {
		case <-changed:
		case <-time.After(wait):
		}
	}
}

// deliver forwards or swallows bytes as the faults in force tell, and returns
// whether the connection may go on.
func (p *Proxy) deliver(l *link, to net.Conn, way Way, c chunk) bool {
	begun := time.Now()
	for len(c.data) > 0 {
		f := p.enter(l, way, func(f Faults) time.Time { return f.due(c, begun) })
		n, ok := p.pass(l, to, way, f, c.data)
		l.gate(way).Unlock()
		if !ok {
			return false
		}
		c.data = c.data[n:]
	}
	return true
}

// due returns when bytes that are the next to go since begun may pass.
func (f Faults) due(c chunk, begun time.Time) time.Time {
	if delayed := c.arrived.Add(f.Delay); delayed.After(begun) {
		begun = delayed
	}
	if f.BytesPerSec > 0 {
		begun = begun.Add(time.Duration(len(c.data)) * time.Second / time.Duration(f.BytesPerSec))
	}
	return begun
}

// pass returns how many bytes are done with: fewer than given when the faults
// change meanwhile. The way's gate is locked.
func (p *Proxy) pass(l *link, to net.Conn, way Way, f Faults, data []byte) (n int, ok bool) {
	switch {
	case f.Refuse, f.DropAnswers && way == ToClient:
		return 0, false
	case f.Cut&way != 0:
		l.torn.Store(true)
		return len(data), true
	case l.torn.Load():
		return 0, false
	}
	n, err := to.Write(data)
	if way == ToServer {
		p.toServer.Add(int64(n))
	} else {
		p.toClient.Add(int64(n))
	}
	return n, err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// CountBytes returns how many bytes were delivered so far, each way.
func (p *Proxy) CountBytes() (toServer, toClient int64) {
	return p.toServer.Load(), p.toClient.Load()
}
