// Package proxy is a TCP proxy that injects faults between the processes of a
// test: it discards bytes in one direction or both, delays them, limits the rate,
// holds bytes back, and drops answers. Faults can be changed at any time.
// docs/DESIGN.md explains why the project has its own proxy.
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

// Direction is a set of directions of a connection.
type Direction int

// Directions through the proxy.
const (
	ToServer Direction = 1 << iota
	ToClient
	BothDirections = ToServer | ToClient
)

const (
	chunkBytes       = 32 << 10              // maximum size of one read
	listenRetryDelay = 20 * time.Millisecond // while the address can't be listened on
)

// Faults are the faults in effect. The zero value has none.
type Faults struct {
	Refuse bool // reset all connections, also new ones
	// Unreachable and RefuseNew are of all classes only: of a refused connection, no class is known.
	Unreachable bool          // reset all connections and refuse new ones at once, as a filter does
	RefuseNew   bool          // refuse new connections at once and leave the open ones, as a closed listener does
	Cut         Direction     // discard bytes in these directions, as a broken link does
	Hold        Direction     // hold bytes back and deliver them when this is unset
	DropAnswers bool          // forward requests and reset the connection when the answer arrives
	Delay       time.Duration // in each direction
	BytesPerSec int           // per direction and connection; 0: no limit
}

// Config holds the settings of a Proxy.
type Config struct {
	Target string // host:port
	// Classify, if set, returns the class of a client connection, so that faults
	// can be set for one class only.
	Classify func(net.Conn) string
}

// Proxy forwards connections to one target.
type Proxy struct {
	config      Config
	address     string
	port        port
	changeMutex sync.Mutex   // held while a change of the faults takes effect
	listener    net.Listener // nil while the proxy is unreachable or closed; changeMutex is held to access it
	closed      bool         // likewise

	mu      sync.Mutex
	all     Faults
	byClass map[string]Faults // overrides all
	changed chan struct{}     // closed and replaced when faults change
	links   map[*link]bool

	toServer, toClient atomic.Int64 // bytes delivered
}

// link is one proxied connection.
type link struct {
	class          string
	client, server net.Conn
	lostBytes      atomic.Bool // bytes were discarded, so the connection is reset when the fault ends
	// writeLocks, one per direction, are held from reading the faults in effect until
	// the bytes that they allow are written.
	writeLocks [2]sync.Mutex
}

func (l *link) writeLock(direction Direction) *sync.Mutex { return &l.writeLocks[direction-ToServer] }

// New starts a proxy for a target; it listens on a free loopback port.
func New(c Config) (*Proxy, error) {
	held, address, err := holdPort()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		held.close()
		return nil, err
	}
	p := &Proxy{
		config: c, address: address, port: held, listener: l, byClass: make(map[string]Faults),
		changed: make(chan struct{}), links: make(map[*link]bool),
	}
	go p.accept(l)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.address }

// Set replaces the faults of all connections except those whose class has its own; Unreachable
// is for these, too.
// Connections that lost bytes are reset once nothing is cut any more. After Set,
// SetFor or Reset has returned, no byte is forwarded under the earlier faults; bytes
// that the kernel has already accepted are still delivered.
func (p *Proxy) Set(f Faults) {
	p.change(func() { p.all = f })
}

// SetFor replaces the faults of the connections of one class.
func (p *Proxy) SetFor(class string, f Faults) {
	p.change(func() { p.byClass[class] = f })
}

// Reset ends all faults.
func (p *Proxy) Reset() {
	p.change(func() { p.all, p.byClass = Faults{}, make(map[string]Faults) })
}

func (p *Proxy) change(set func()) {
	p.changeMutex.Lock()
	defer p.changeMutex.Unlock()
	p.mu.Lock()
	set()
	close(p.changed)
	p.changed = make(chan struct{})
	links, refused := slices.Collect(maps.Keys(p.links)), p.all.Unreachable || p.all.RefuseNew
	p.mu.Unlock()
	p.listen(!refused && !p.closed)
	for _, l := range links {
		l.quiesce(ToServer, l.server)
		l.quiesce(ToClient, l.client)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		if f := p.faultsLocked(l.class); f.resets() || (f.Cut == 0 && l.lostBytes.Load()) {
			l.reset()
		}
	}
}

// listen opens or closes the listener.
func (p *Proxy) listen(open bool) {
	switch {
	case open && p.listener == nil:
		l, err := net.Listen("tcp", p.address)
		for ; err != nil; l, err = net.Listen("tcp", p.address) {
			time.Sleep(listenRetryDelay)
		}
		p.listener = l
		go p.accept(l)
	case !open && p.listener != nil:
		p.listener.Close()
		p.listener = nil
	}
}

// resets reports whether connections are reset, also those that are accepted.
func (f Faults) resets() bool { return f.Refuse || f.Unreachable }

// quiesce waits until no write that earlier faults allowed is in progress in one
// direction. A write that blocks because the peer's buffers are full is interrupted;
// the rest of its bytes are subject to the new faults.
func (l *link) quiesce(direction Direction, to net.Conn) {
	writeLock := l.writeLock(direction)
	if !writeLock.TryLock() {
		_ = to.SetWriteDeadline(time.Now())
		writeLock.Lock()
		_ = to.SetWriteDeadline(time.Time{})
	}
	writeLock.Unlock()
}

func (p *Proxy) faultsLocked(class string) Faults {
	if f, ok := p.byClass[class]; ok && !p.all.Unreachable {
		return f
	}
	return p.all
}

// currentFaults returns the faults in effect and a channel that is closed at the
// next change.
func (p *Proxy) currentFaults(class string) (Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faultsLocked(class), p.changed
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.change(func() {
		if !p.closed {
			p.port.close()
		}
		p.closed, p.all, p.byClass = true, Faults{Refuse: true}, nil
	})
}

func (p *Proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
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
	reset := p.faultsLocked(l.class).resets()
	p.mu.Unlock()
	if reset {
		l.reset()
	}
	var pumps sync.WaitGroup
	pumps.Go(func() { p.pump(l, l.client, l.server, ToServer) })
	pumps.Go(func() { p.pump(l, l.server, l.client, ToClient) })
	pumps.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// reset closes both connections with a RST, so that neither end treats the bytes
// that it has read as the complete stream.
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

// pump forwards bytes in one direction. Reading continues while earlier bytes are
// delayed, so that a delay does not also limit the rate.
func (p *Proxy) pump(l *link, from, to net.Conn, direction Direction) {
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
		if !p.deliver(l, to, direction, c) {
			l.reset()
		}
	}
	f := p.waitAndLock(l, direction, func(Faults) time.Time { return time.Time{} })
	defer l.writeLock(direction).Unlock()
	if f.Cut&direction != 0 || l.lostBytes.Load() {
		return // a cut link must not forward the end of the stream
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// waitAndLock waits until the direction is not held and due has passed, acquires the
// direction's write lock and returns the faults in effect.
func (p *Proxy) waitAndLock(l *link, direction Direction, due func(Faults) time.Time) Faults {
	for {
		l.writeLock(direction).Lock()
		f, changed := p.currentFaults(l.class)
		wait := time.Until(due(f))
		if f.Hold&direction == 0 && wait <= 0 {
			return f
		}
		l.writeLock(direction).Unlock()
		if f.Hold&direction != 0 {
			<-changed
			continue
		}
		select {
		case <-changed:
		case <-time.After(wait):
		}
	}
}

// deliver forwards or discards bytes according to the faults in effect, and returns
// whether the connection can continue.
func (p *Proxy) deliver(l *link, to net.Conn, direction Direction, c chunk) bool {
	startedAt := time.Now()
	for len(c.data) > 0 {
		f := p.waitAndLock(l, direction, func(f Faults) time.Time { return f.due(c, startedAt) })
		n, ok := p.forward(l, to, direction, f, c.data)
		l.writeLock(direction).Unlock()
		if !ok {
			return false
		}
		c.data = c.data[n:]
	}
	return true
}

// due returns when a chunk that became the next to forward at startedAt may be
// forwarded.
func (f Faults) due(c chunk, startedAt time.Time) time.Time {
	if delayed := c.arrived.Add(f.Delay); delayed.After(startedAt) {
		startedAt = delayed
	}
	if f.BytesPerSec > 0 {
		startedAt = startedAt.Add(time.Duration(len(c.data)) * time.Second / time.Duration(f.BytesPerSec))
	}
	return startedAt
}

// forward writes or discards bytes and returns how many were handled, which is less
// than len(data) when a change of the faults interrupts the write. The caller holds
// the direction's write lock.
func (p *Proxy) forward(l *link, to net.Conn, direction Direction, f Faults, data []byte) (n int, ok bool) {
	switch {
	case f.resets(), f.DropAnswers && direction == ToClient:
		return 0, false
	case f.Cut&direction != 0:
		l.lostBytes.Store(true)
		return len(data), true
	case l.lostBytes.Load():
		return 0, false
	}
	n, err := to.Write(data)
	if direction == ToServer {
		p.toServer.Add(int64(n))
	} else {
		p.toClient.Add(int64(n))
	}
	return n, err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// CountBytes returns how many bytes were delivered so far in each direction.
func (p *Proxy) CountBytes() (toServer, toClient int64) {
	return p.toServer.Load(), p.toClient.Load()
}
