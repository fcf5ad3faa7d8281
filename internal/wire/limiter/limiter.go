// Package limiter bounds the memory that the connections of a process hold for their peers, and their
// number. At a bound it closes the connection that holds the most or has been silent for the longest, so
// that the others are served.
package limiter

import (
	"math"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Defaults of the process's Limiter.
const (
	memoryShare = 4 // connections hold at most 1/memoryShare of the memory limit
	// minHeldBytes has room for the largest message.
	minHeldBytes = 32 << 20
	// unlimitedHeldBytes applies without a memory limit. It exceeds the request bodies that an entry
	// accepts, in the encoding in which they are sent to agents.
	unlimitedHeldBytes = 384 << 20
	// idleConnectionBytes is more than an idle connection takes.
	idleConnectionBytes = 64 << 10
	maxConnections      = 16 << 10
	descriptorShare     = 2 // accepted connections have at most 1/descriptorShare of the descriptors
)

// Config is the configuration of a Limiter.
type Config struct {
	// HeldBytes returns the most bytes that all connections hold together. It is called for each new connection.
	HeldBytes func() int64
	// Connections returns the most accepted connections. It is called for each new one.
	Connections func() int
	// Encoders is the number of answers that are encoded at a time; 0: one for each processor.
	Encoders int
	Now      func() time.Time
}

// Limiter bounds what its accounts hold together. It is safe for concurrent use.
type Limiter struct {
	config Config
	total  atomic.Int64
	most   atomic.Int64 // of total
	// descriptors that the process may have open; 0: as many as the kernel allows.
	descriptors atomic.Int64
	report      atomic.Pointer[func(Closing)]
	encoders    atomic.Int64  // that encode an answer or wait for it
	encode      chan struct{} // passes the turn to one that waits

	// leaving are the bytes of connections that were closed for the bound and have not ended yet.
	leaving atomic.Int64

	mu       sync.Mutex
	left     *sync.Cond // signals changes of leaving
	accounts map[*Account]struct{}
	accepted int // of accounts
	reported time.Time
	skipped  int // closed connections that were not reported since
}

// Closing tells why a connection was closed.
type Closing struct {
	Remote string // address of the peer
	Reason string // ReasonHeld or ReasonConnections
	Held   int64  // bytes held by the connection
	Total  int64  // bytes held by all connections, or accepted connections
	Most   int64  // the bound of Total
	// Skipped is the number of connections closed since the Closing reported before.
	Skipped int
}

// Reasons for closing a connection.
const (
	ReasonHeld        = "bytes held"
	ReasonConnections = "connections"
)

// reportInterval is the shortest time between two reports.
const reportInterval = time.Second

// New returns a Limiter without accounts.
func New(c Config) *Limiter {
	if c.HeldBytes == nil {
		c.HeldBytes = DefaultHeldBytes
	}
	if c.Connections == nil {
		c.Connections = DefaultConnections
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Encoders == 0 {
		c.Encoders = runtime.GOMAXPROCS(0)
	}
	l := &Limiter{config: c, encode: make(chan struct{}), accounts: make(map[*Account]struct{})}
	l.left = sync.NewCond(&l.mu)
	return l
}

// process is the Limiter of the connections that have no other.
var process = New(Config{})

// Process returns the Limiter of all connections of the process that have no other.
func Process() *Limiter { return process }

// DefaultHeldBytes returns a share of the memory limit of the process (GOMEMLIMIT or
// debug.SetMemoryLimit), and a fixed size without one.
func DefaultHeldBytes() int64 {
	limit := debug.SetMemoryLimit(-1)
	if limit == math.MaxInt64 {
		return unlimitedHeldBytes
	}
	return max(limit/memoryShare, minHeldBytes)
}

// DefaultConnections returns as many connections as the memory limit has room for while they are idle, and
// no more than a share of the descriptors of the process.
func DefaultConnections() int {
	most := min(maxConnections, debug.SetMemoryLimit(-1)/idleConnectionBytes)
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err == nil {
		most = min(most, int64(min(descriptors.Cur, math.MaxInt64))/descriptorShare)
	}
	return int(most)
}

// SetDescriptors sets how many descriptors the process may have open, where that is not the kernel's
// limit. 0 leaves it at that.
func (l *Limiter) SetDescriptors(n int) { l.descriptors.Store(int64(n)) }

// OnClosed sets a function that is told which connections are closed, at most once per second.
func (l *Limiter) OnClosed(report func(Closing)) { l.report.Store(&report) }

// EnterEncoder waits until an answer may be encoded; LeaveEncoder follows.
func (l *Limiter) EnterEncoder() {
	if l.encoders.Add(1) > int64(l.config.Encoders) {
		<-l.encode
	}
}

// LeaveEncoder lets another answer be encoded.
func (l *Limiter) LeaveEncoder() {
	if l.encoders.Add(-1) >= int64(l.config.Encoders) {
		l.encode <- struct{}{} // one waits, or is about to
	}
}

// Held returns the bytes that all connections hold.
func (l *Limiter) Held() int64 { return l.total.Load() }

// Account is what one connection holds. A nil Account is not limited.
type Account struct {
	limiter *Limiter
	remote  string
	end     func()

	isAccepted bool
	opened     time.Time
	heard      atomic.Int64 // when the latest message arrived, in ns of Unix time; 0: none

	mu      sync.Mutex
	held    int64
	leaving int64
	closed  bool
}

// Open returns the account of a new connection to the peer at remote. It calls end, once at most, if the
// connection has to be closed.
func (l *Limiter) Open(remote string, end func()) *Account {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openLocked(remote, end)
}

func (l *Limiter) openLocked(remote string, end func()) *Account {
	l.most.Store(l.config.HeldBytes())
	a := &Account{limiter: l, remote: remote, end: end, opened: l.config.Now()}
	l.accounts[a] = struct{}{}
	return a
}

// Accept returns the account of an accepted connection like Open. If there are too many, it closes the
// one that has been silent for the longest, and those first that have never sent a message.
func (l *Limiter) Accept(remote string, end func()) *Account {
	l.mu.Lock()
	a := l.openLocked(remote, end)
	a.isAccepted = true
	l.accepted++
	most := l.config.Connections()
	if d := int(l.descriptors.Load()); d > 0 {
		most = min(most, d/descriptorShare)
	}
	var closings []closing
	for l.accepted > most {
		var silent *Account
		for b := range l.accounts {
			if b.isAccepted && b != a && (silent == nil || b.isSilentLonger(silent)) {
				silent = b
			}
		}
		if silent == nil {
			break
		}
		c := Closing{Remote: silent.remote, Reason: ReasonConnections, Total: int64(l.accepted), Most: int64(most)}
		closings = append(closings, l.endLocked(silent, c))
	}
	l.mu.Unlock()
	l.end(closings)
	return a
}

// Heard records that a message has arrived.
func (a *Account) Heard() {
	if a != nil {
		a.heard.Store(a.limiter.config.Now().UnixNano())
	}
}

func (a *Account) isSilentLonger(b *Account) bool {
	heard, other := a.heard.Load(), b.heard.Load()
	if heard == 0 && other == 0 {
		return a.opened.Before(b.opened)
	}
	return heard < other
}

// Hold adds n bytes to what the connection holds; a negative n releases them.
func (a *Account) Hold(n int64) {
	if a == nil || n == 0 {
		return
	}
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		return
	}
	a.held += n
	a.mu.Unlock()
	if l := a.limiter; l.total.Add(n) > l.most.Load() && n > 0 {
		l.closeLargest()
	}
}

// Reserve holds n bytes before they are allocated. It waits until connections that were closed for the
// bound have ended, since their memory is in use until then. It returns false if this connection was closed.
func (a *Account) Reserve(n int64) bool {
	if a == nil {
		return true
	}
	a.Hold(n)
	l := a.limiter
	if l.leaving.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for !a.isClosed() && l.leaving.Load() > 0 && l.total.Load()+l.leaving.Load() > l.most.Load() {
		l.left.Wait()
	}
	return !a.isClosed()
}

func (a *Account) isClosed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.closed
}

// Close releases all that the connection holds. It is called when the connection has ended.
func (a *Account) Close() {
	if a == nil {
		return
	}
	l := a.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	a.closeLocked()
	l.leaving.Add(-a.leaving)
	a.leaving = 0
	l.left.Broadcast()
}

// closeLocked returns what the account held. The mutex of the limiter is held.
func (a *Account) closeLocked() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	held := a.held
	a.held, a.closed = 0, true
	if _, ok := a.limiter.accounts[a]; ok && a.isAccepted {
		a.limiter.accepted--
	}
	delete(a.limiter.accounts, a)
	a.limiter.total.Add(-held)
	return held
}

// closeLargest closes the connections that hold the most until the others are within the bound.
func (l *Limiter) closeLargest() {
	var closings []closing
	l.mu.Lock()
	for l.total.Load() > l.most.Load() {
		var largest *Account
		var held int64
		for a := range l.accounts {
			a.mu.Lock()
			if a.held > held {
				largest, held = a, a.held
			}
			a.mu.Unlock()
		}
		if largest == nil {
			break
		}
		closings = append(closings, l.endLocked(largest, Closing{Remote: largest.remote, Reason: ReasonHeld, Total: l.total.Load(), Most: l.most.Load()}))
	}
	l.mu.Unlock()
	l.end(closings)
}

// closing is an account whose connection is to be closed.
type closing struct {
	Closing
	account    *Account
	isReported bool
}

// endLocked closes an account for a bound. The mutex is held.
func (l *Limiter) endLocked(a *Account, c Closing) closing {
	c.Held = a.closeLocked()
	a.leaving = c.Held
	l.leaving.Add(c.Held)
	l.left.Broadcast()
	now := l.config.Now()
	if l.report.Load() == nil || now.Sub(l.reported) < reportInterval {
		l.skipped++
		return closing{account: a}
	}
	c.Skipped, l.skipped, l.reported = l.skipped, 0, now
	return closing{Closing: c, account: a, isReported: true}
}

// end closes the connections and reports them. The mutex is not held.
func (l *Limiter) end(closings []closing) {
	for _, c := range closings {
		c.account.end()
	}
	for _, c := range closings {
		if c.isReported {
			(*l.report.Load())(c.Closing)
		}
	}
}
