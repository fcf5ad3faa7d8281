// Package agent assembles the agent process, the only process of the system on a
// worker's VM. It enforces the slots of the local upstreams, announces them to the
// entries, and carries out the orders of the cell's owner on the local worker.
package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboospread/internal/agent/announcer"
	"bamboospread/internal/agent/gatekeeper"
	"bamboospread/internal/agent/runner"
	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/fleet/follower"
	"bamboospread/internal/kernel/registrar"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/acceptor"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/driver"
)

const (
	minFetchTimeout = 500 * time.Millisecond // of fetching a fleet record; doubled after a failure
	maxFetchTimeout = 8 * time.Second
	leaveTimeout    = 3 * time.Second
)

// Config holds the settings of an agent.
type Config struct {
	ID          string
	VM          string
	Zone        string
	Rack        string
	Entries     []string // RPC addresses of some entries, which report the others
	WorkerURL   string
	ExecutorURL string // empty: tasks of classes run on the worker; else only tasks of jobs run, on the executor
	Service     string // service that owns this VM, for queues limited to a service
	LocalListen string // address at which local upstreams announce themselves
	Listen      string // /metrics, /healthz, /readyz
	Cell        string
	StopTimeout time.Duration
	// MaxConnections is how many HTTP connections may be open; 0: from the memory and the descriptors
	// of the process.
	MaxConnections int
	Reporter       *reporter.Reporter
}

// Agent is one agent.
type Agent struct {
	config       Config
	local        net.Listener
	admin        net.Listener
	follower     *follower.Follower
	gatekeeper   *gatekeeper.Gatekeeper
	announcer    *announcer.Announcer
	runner       *runner.Runner
	jobs         *jobs // nil without an executor
	acceptor     *acceptor.Acceptor
	metrics      *metrics.Set
	fetchTimeout time.Duration // of the next fetch; fetches are never concurrent
}

// New opens the listeners and builds the components; Run starts them.
func New(c Config) (*Agent, error) {
	a := &Agent{config: c, metrics: metrics.NewSet(), fetchTimeout: minFetchTimeout}
	a.acceptor = acceptor.New(acceptor.Config{MaxConnections: c.MaxConnections, Reporter: c.Reporter, Metrics: a.metrics})
	var err error
	if a.local, err = net.Listen("tcp", c.LocalListen); err != nil {
		return nil, fmt.Errorf("listen for upstreams: %w", err)
	}
	if a.admin, err = net.Listen("tcp", c.Listen); err != nil {
		a.local.Close()
		return nil, fmt.Errorf("listen for metrics: %w", err)
	}
	a.build(time.Now().UnixNano())
	return a, nil
}

// LocalAddress returns the address at which upstreams announce themselves.
func (a *Agent) LocalAddress() string { return a.local.Addr().String() }

// AdminAddress returns the address that serves metrics and health checks.
func (a *Agent) AdminAddress() string { return a.admin.Addr().String() }

func (a *Agent) build(incarnation int64) {
	c := a.config
	a.follower = follower.New(follower.Config{Reporter: c.Reporter})
	a.gatekeeper = gatekeeper.New(gatekeeper.Config{Reporter: c.Reporter})
	a.announcer = announcer.New(announcer.Config{
		AgentID: c.ID, VM: c.VM, Zone: c.Zone, Rack: c.Rack, Incarnation: incarnation,
		Entries: c.Entries, Gatekeeper: a.gatekeeper, Reporter: c.Reporter,
		FleetVersion: a.follower.Version, OnFleetVersion: a.updateFleet,
	})
	if c.ExecutorURL != "" {
		a.jobs = newJobs(c)
	}
	a.runner = runner.New(runner.Config{
		Cell: c.Cell, AgentID: c.ID, Incarnation: incarnation,
		Driver: driver.New(driver.Config{URL: c.WorkerURL}),
		CallOwner: func(ctx context.Context, method string, params, result any) error {
			return a.announcer.CallOwner(ctx, c.Cell, method, params, result)
		},
		Upstreams: a.gatekeeper.Upstreams, ServiceLoad: a.gatekeeper.CollectServiceLoad,
		ServiceNeeds: a.serviceNeeds, Reporter: c.Reporter,
	})
}

// announceLeave informs the cell's owner that no task should start here. If the owner
// can't be reached, it gives up after leaveTimeout: the tasks continue under their leases
// either way, and waiting longer would only delay the requests in flight of a planned
// stop.
func (a *Agent) announceLeave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := a.runner.Drain(ctx); err != nil {
		a.config.Reporter.Report(reporter.LeaveNotReported, reporter.Fields{"error": err.Error()})
	}
	return nil
}

// serviceNeeds returns the resources that one upstream of a service uses on the VM.
func (a *Agent) serviceNeeds(service string) (describer.Resources, bool) {
	s, ok := a.follower.Fleet().Service(service)
	return s.Needs, ok
}

// updateFleet fetches the fleet record if an entry reports a newer version.
func (a *Agent) updateFleet(version int64, fetch func(context.Context) (messenger.FleetReply, error)) {
	if version <= a.follower.Version() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.fetchTimeout)
	defer cancel()
	reply, err := fetch(ctx)
	if err != nil {
		// The entry may have been frozen or cut off since it reported the version. A
		// long wait for it would delay the change too much, while the next heartbeat of
		// another entry reports the version again. So the first timeout is short, and
		// it increases for links that are slow.
		a.fetchTimeout = min(2*a.fetchTimeout, maxFetchTimeout)
		return
	}
	a.fetchTimeout = minFetchTimeout
	if reply.Version > 0 {
		_ = a.follower.Offer(reply) // the follower logs a record that it can't decode
	}
}

// Run runs the agent until ctx ends, then drains and stops within StopTimeout.
func (a *Agent) Run(ctx context.Context) error {
	r := registrar.New(registrar.Config{Reporter: a.config.Reporter, StopTimeout: a.config.StopTimeout})
	r.Add(prebuiltService("local-listener", a.local, a.serveLocal, nil))
	r.Add(prebuiltService("admin-listener", a.admin, a.serveAdmin, nil))
	// Services drain in reverse order: the gatekeeper rejects new requests first.
	workService := "runner"
	if a.jobs != nil {
		workService = "jobs"
		r.Add(prebuiltService(workService, a.jobs, a.jobs.run, a.jobs.guardian.AwaitCrashesStored))
	} else {
		r.Add(prebuiltService(workService, a.runner, a.runner.Run, a.announceLeave))
	}
	r.Add(prebuiltService("announcer", a.announcer, a.announcer.Run, a.announcer.Drain, "local-listener", workService))
	a.config.Reporter.Report(reporter.Listening, reporter.Fields{
		"local": a.LocalAddress(), "admin": a.AdminAddress(),
	})
	return r.Run(ctx)
}

func prebuiltService(name string, value any, run, drain func(context.Context) error, needs ...string) registrar.Service {
	return registrar.Service{
		Name: name, Needs: needs, Run: run, Drain: drain,
		Start: func(context.Context, *registrar.Registrar) (any, error) { return value, nil },
	}
}

func (a *Agent) serveLocal(ctx context.Context) error {
	return a.serve(ctx, a.local, a.gatekeeper.Handler())
}

func (a *Agent) serveAdmin(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", a.writeMetrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", a.writeReady)
	return a.serve(ctx, a.admin, mux)
}

func (a *Agent) serve(ctx context.Context, l net.Listener, h http.Handler) error {
	server := a.acceptor.NewServer(h)
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	select {
	case err := <-served:
		return fmt.Errorf("serve %s: %w", l.Addr(), err)
	case <-ctx.Done():
	}
	err := server.Close()
	if served := <-served; !errors.Is(served, http.ErrServerClosed) {
		err = errors.Join(err, served)
	}
	return err
}

func (a *Agent) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	a.metrics.GetOrCreateGauge("bamboospread_fleet_version", func() float64 { return float64(a.follower.Version()) })
	a.metrics.WritePrometheus(w)
}

// readiness is the body of /readyz.
type readiness struct {
	Ready        bool                 `json:"ready"`
	ID           string               `json:"id"`
	VM           string               `json:"vm"`
	FleetVersion int64                `json:"fleet-version"`
	Upstreams    []messenger.Upstream `json:"upstreams"`
}

func (a *Agent) writeReady(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// The client may have disconnected, so a write error is ignored.
	_ = json.NewEncoder(w).Encode(readiness{
		Ready: true, ID: a.config.ID, VM: a.config.VM,
		FleetVersion: a.follower.Version(), Upstreams: a.gatekeeper.Upstreams(),
	})
}
