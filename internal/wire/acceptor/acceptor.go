// Package acceptor builds HTTP servers whose clients cannot use up the memory or the descriptors of
// the process. The servers of a process share one Acceptor.
package acceptor

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"bamboospread/internal/kernel/reporter"
)

const (
	// defaultMemoryBytes is used where neither the settings nor the runtime know a limit.
	defaultMemoryBytes = 1 << 30
	// memoryShares is how many shares of the process's memory there are: connections, bodies and
	// answers take one each, the rest is left to everything else.
	memoryShares = 4
	// connectionBytes is what a connection takes at most while its head is read: its goroutine, the
	// buffers of net/http and the head.
	connectionBytes = 24 << 10
	// descriptorShares leaves half of the descriptors to files, the store, workers and our own processes.
	descriptorShares = 2
	minConnections   = 64
)

// Limits of a request's head. Heads of callers inside the limits have some ten lines and a kilobyte.
const (
	maxHeadBytes = 8 << 10 // net/http adds 4 KiB for what it reads ahead
	maxHeadLines = 128     // a line of a few bytes takes about a hundred in memory
	readAhead    = 4 << 10
)

// Default times.
const (
	defaultHeadTime  = 10 * time.Second
	defaultIdleTime  = 3 * time.Minute
	defaultBodyTime  = 10 * time.Second
	defaultWriteTime = 10 * time.Second
)

// Config holds the settings of an Acceptor. The limits of connections, bodies and answers follow the
// memory and the descriptors of the process.
type Config struct {
	MemoryBytes    int64         // of the process; 0: the memory limit of the runtime, else 1 GiB
	Descriptors    int           // of the process; 0: the kernel's limit
	MaxConnections int           // open HTTP connections; 0: from memory and descriptors
	HeadTime       time.Duration // of a request's head; 0: 10 s
	IdleTime       time.Duration // between requests; 0: 3 min
	BodyTime       time.Duration // of a body, in addition to a second for each 16 KiB received; 0: 10 s
	WriteTime      time.Duration // of each 64 KiB of an answer; 0: 10 s
	Now            func() time.Time
	Reporter       *reporter.Reporter
	Metrics        *metrics.Set // nil: none
}

// Acceptor holds what the servers of a process share.
type Acceptor struct {
	config  Config
	closed  closeRecorder
	bodies  bodies
	answers answers

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns an Acceptor.
func New(c Config) *Acceptor {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Reporter == nil {
		c.Reporter = reporter.Discard()
	}
	setDefault(&c.HeadTime, defaultHeadTime)
	setDefault(&c.IdleTime, defaultIdleTime)
	setDefault(&c.BodyTime, defaultBodyTime)
	setDefault(&c.WriteTime, defaultWriteTime)
	if c.MemoryBytes == 0 {
		c.MemoryBytes = runtimeMemory()
	}
	if c.Descriptors == 0 {
		c.Descriptors = kernelDescriptors()
	}
	if c.MaxConnections == 0 {
		c.MaxConnections = max(minConnections, min(int(c.MemoryBytes/memoryShares/connectionBytes), c.Descriptors/descriptorShares))
	}
	l := &Acceptor{config: c, conns: make(map[*conn]struct{})}
	l.closed = closeRecorder{config: c, counts: make(map[reason]*closeCount)}
	l.bodies = bodies{limit: c.MemoryBytes / memoryShares, reading: make(map[*body]struct{})}
	l.answers = answers{limit: c.MemoryBytes / memoryShares, writing: make(map[*conn]int64)}
	if c.Metrics != nil {
		c.Metrics.GetOrCreateGauge("bamboospread_http_connections", func() float64 { return float64(l.Connections()) })
	}
	return l
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func runtimeMemory() int64 {
	if limit := debug.SetMemoryLimit(-1); limit != math.MaxInt64 {
		return limit
	}
	return defaultMemoryBytes
}

func kernelDescriptors() int {
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err != nil || r.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(r.Cur)
}

// MaxConnections returns how many HTTP connections may be open.
func (l *Acceptor) MaxConnections() int { return l.config.MaxConnections }

// Connections returns how many HTTP connections are open.
func (l *Acceptor) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Server is an HTTP server within the limits.
type Server struct {
	acceptor *Acceptor
	http     *http.Server
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// NewServer returns a server of h.
func (l *Acceptor) NewServer(h http.Handler) *Server {
	return &Server{acceptor: l, http: &http.Server{
		Handler: l.limitBodies(h), ReadHeaderTimeout: l.config.HeadTime, IdleTimeout: l.config.IdleTime, MaxHeaderBytes: maxHeadBytes,
		ConnState: func(c net.Conn, s http.ConnState) {
			if c, ok := c.(*conn); ok {
				c.setState(s)
			}
		},
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}}
}

// Serve serves on ln until the server is shut down or closed, as http.Server does.
func (s *Server) Serve(ln net.Listener) error {
	if err := s.http.Serve(&listener{Listener: ln, acceptor: s.acceptor}); err != nil {
		return fmt.Errorf("serve HTTP on %s: %w", ln.Addr(), err)
	}
	return nil
}

// Shutdown closes the listeners and waits for the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close closes the listeners and all connections.
func (s *Server) Close() error { return s.http.Close() }
