// Package hoster assembles the processes that run on the users' platform: the
// entry, which serves callers and competes for the ownership of jobs, and the
// agent, which guards one worker.
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

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/kernel/timekeeper"
	"bamboospread/platform"
)

// tuneCollector lets garbage grow to several times what is in use before it is collected,
// within the memory of the process. A busy owner has little in use and makes ten times as
// much garbage a second: collected whenever it has doubled, that takes a good part of the
// processor of a small entry VM.
func tuneCollector(memoryMB float64) {
	debug.SetGCPercent(collectAt)
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB * (1 << 20) * collectShare / 100))
	}
}

const (
	collectAt    = 400 // percent of what is in use, as garbage
	collectShare = 60  // percent of the process's memory above which it is collected in any case
)

// cell is the name of the one cell of a deployment.
const cell = "main"

// Ports of a process. The roles never share a VM, so they may share ports.
const (
	rpcOffset   = 0    // from the first port that is free for our own processes
	metricsPort = 9464 // as deploy/system.toml says
)

// Limits of HTTP.
const (
	headerLimit = 3 * time.Second
	idleLimit   = 60 * time.Second
)

// Config holds the settings of a process.
type Config struct {
	Settings     *platform.Settings
	SettingsPath string
	Reporter     *reporter.Reporter
}

func rpcAddress(s *platform.Settings) string {
	return net.JoinHostPort(s.Address, strconv.Itoa(s.InternalPort+rpcOffset))
}

// site is one HTTP listener with what it serves.
type site struct {
	address string
	handler http.Handler
}

// serveSites serves all sites until ctx ends, then lets requests in flight finish.
func serveSites(ctx context.Context, stopLimit time.Duration, sites ...site) error {
	ended := make(chan error, len(sites))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	started := 0
	var errs []error
	for _, s := range sites {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			errs = append(errs, fmt.Errorf("listen on %s: %w", s.address, err))
			cancel()
			break
		}
		started++
		go func() { ended <- serveSite(ctx, stopLimit, l, s.handler) }()
	}
	for range started {
		errs = append(errs, <-ended)
		cancel()
	}
	return errors.Join(errs...)
}

func serveSite(ctx context.Context, stopLimit time.Duration, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	select {
	case err := <-served:
		return fmt.Errorf("serve %s: %w", l.Addr(), err)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
	defer cancel()
	err := server.Shutdown(stop)
	<-served
	return err
}

// metricsSite serves the meters of a process.
func metricsSite(s *platform.Settings, set *metrics.Set) site {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return site{net.JoinHostPort(s.Address, strconv.Itoa(metricsPort)), mux}
}

// part is a goroutine of a process.
type part struct {
	name string
	run  func(ctx context.Context) error
}

// runParts runs all parts until ctx ends or one of them fails; then all stop.
func runParts(ctx context.Context, r *reporter.Reporter, parts []part) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, len(parts))
	for _, p := range parts {
		go func() {
			err := p.run(ctx)
			if ctx.Err() == nil {
				r.Report(reporter.ServiceFailed, reporter.Fields{"service": p.name, "error": fmt.Sprint(err)})
				ended <- fmt.Errorf("%s ended: %w", p.name, err)
				return
			}
			ended <- nil
		}()
	}
	err := <-ended
	cancel()
	for range len(parts) - 1 {
		err = errors.Join(err, <-ended)
	}
	return err
}

func now() time.Time { return timekeeper.Now() }
