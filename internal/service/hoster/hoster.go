// Package hoster assembles the processes that run on the users' platform: the entry,
// which serves callers and may own the cell of jobs, and the agent, which manages one
// worker.
package hoster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/kernel/timekeeper"
	"bamboospread/internal/wire/acceptor"
	"bamboospread/platform"
)

// tuneGarbageCollector lets the heap grow to several times the live memory before a
// collection, within the memory of the process. A busy owner has little live memory and
// allocates ten times as much per second: with a collection at each doubling of the heap,
// that uses a large part of the processor of a small entry VM.
func tuneGarbageCollector(memoryMB float64) {
	debug.SetGCPercent(gcPercent)
	limitMemory(memoryMB)
}

// limitMemory tells the runtime the memory of the process, from which the limits of the HTTP servers
// follow too.
func limitMemory(memoryMB float64) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB * (1 << 20) * memoryLimitPercent / 100))
	}
}

const (
	gcPercent          = 400 // garbage in percent of the live memory
	memoryLimitPercent = 60  // percent of the process's memory above which garbage is collected in any case
)

// cell is the name of the one cell of a deployment.
const cell = "main"

// Ports of a process. Entries and agents never share a VM, so they may use the same ports.
const (
	rpcOffset   = 0    // from InternalPort, the first port that is free for our own processes
	metricsPort = 9464 // as configured in deploy/system.toml
)

// Timeouts of the HTTP servers.
const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
)

// Config holds the settings of a process.
type Config struct {
	Settings     *platform.Settings
	SettingsPath string
	Reporter     *reporter.Reporter
	LoadControl  specifier.LoadControl // of entries
	Accounts     []specifier.Account   // of entries: client accounts with settings of their own
}

func rpcAddress(s *platform.Settings) string {
	return net.JoinHostPort(s.Address, strconv.Itoa(s.InternalPort+rpcOffset))
}

// endpoint is the address and handler of an HTTP server.
type endpoint struct {
	address string
	handler http.Handler
}

// serveEndpoints serves all endpoints until ctx ends, then waits for requests in flight.
func serveEndpoints(ctx context.Context, limits *acceptor.Acceptor, stopTimeout time.Duration, endpoints ...endpoint) error {
	ended := make(chan error, len(endpoints))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	started := 0
	var errs []error
	for _, e := range endpoints {
		l, err := net.Listen("tcp", e.address)
		if err != nil {
			errs = append(errs, fmt.Errorf("listen on %s: %w", e.address, err))
			cancel()
			break
		}
		started++
		go func() { ended <- serveEndpoint(ctx, stopTimeout, l, limits.NewServer(e.handler)) }()
	}
	for range started {
		errs = append(errs, <-ended)
		cancel()
	}
	return errors.Join(errs...)
}

func serveEndpoint(ctx context.Context, stopTimeout time.Duration, l net.Listener, server *acceptor.Server) error {
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	select {
	case err := <-served:
		return fmt.Errorf("serve %s: %w", l.Addr(), err)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	err := server.Shutdown(stop)
	<-served
	return err
}

// newAcceptor returns the acceptor of the process. The memory limit of the runtime must have been set.
func newAcceptor(c Config, set *metrics.Set) *acceptor.Acceptor {
	return acceptor.New(acceptor.Config{
		Descriptors: c.Settings.Descriptors, HeadTime: headerTimeout, IdleTime: idleTimeout, Reporter: c.Reporter, Metrics: set,
	})
}

// metricsEndpoint serves the metrics of a process.
func metricsEndpoint(s *platform.Settings, set *metrics.Set) endpoint {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return endpoint{net.JoinHostPort(s.Address, strconv.Itoa(metricsPort)), mux}
}

// component is a part of a process that runs in its own goroutine.
type component struct {
	name string
	run  func(ctx context.Context) error
}

// runComponents runs all components until ctx ends or one of them ends, then stops all.
func runComponents(ctx context.Context, r *reporter.Reporter, components []component) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, len(components))
	for _, c := range components {
		go func() {
			err := c.run(ctx)
			if ctx.Err() == nil {
				r.Report(reporter.ServiceFailed, reporter.Fields{"service": c.name, "error": fmt.Sprint(err)})
				ended <- fmt.Errorf("%s ended: %w", c.name, err)
				return
			}
			ended <- nil
		}()
	}
	err := <-ended
	cancel()
	for range len(components) - 1 {
		err = errors.Join(err, <-ended)
	}
	return err
}

func now() time.Time { return timekeeper.Now() }
