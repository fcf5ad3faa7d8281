// Package agent assembles the agent: the one process of the system on a worker's
// VM. It guards the slots of the local upstreams, announces them to the entries,
// and runs the orders of the cell's owner on the local worker.
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
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/driver"
)

const (
	headerLimit  = 10 * time.Second
	firstFetch   = 500 * time.Millisecond // limit of fetching a fleet record
	longestFetch = 8 * time.Second
	leaveLimit   = 3 * time.Second
)

// Config holds the settings of an agent.
type Config struct {
	ID          string
	VM          string
	Zone        string
	Rack        string
	Entries     []string // RPC addresses of some entries; the rest is learned from them
	WorkerURL   string
	ExecutorURL string // empty: tasks of classes run on the worker; else tasks of jobs run on the executor instead
	Service     string // whose VM this is, for queues that name one
	LocalListen string // where upstreams on the VM announce themselves
	Listen      string // /metrics, /healthz, /readyz
	Cell        string
	StopLimit   time.Duration
	Reporter    *reporter.Reporter
}

// Agent is one agent.
type Agent struct {
	config     Config
	local      net.Listener
	admin      net.Listener
	follower   *follower.Follower
	gatekeeper *gatekeeper.Gatekeeper
	announcer  *announcer.Announcer
	runner     *runner.Runner
	jobs       *jobs // nil unless an executor is given
	metrics    *metrics.Set
	fetchLimit time.Duration // of the next fetch; fetches come one at a time
}

// New opens the listeners and builds the parts; Run starts them.
func New(c Config) (*Agent, error) {
	a := &Agent{config: c, metrics: metrics.NewSet(), fetchLimit: firstFetch}
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

// LocalAddress returns where upstreams announce themselves.
func (a *Agent) LocalAddress() string { return a.local.Addr().String() }

// AdminAddress returns where metrics and health are served.
func (a *Agent) AdminAddress() string { return a.admin.Addr().String() }

func (a *Agent) build(incarnation int64) {
	c := a.config
	a.follower = follower.New(follower.Config{Reporter: c.Reporter})
	a.gatekeeper = gatekeeper.New(gatekeeper.Config{Reporter: c.Reporter})
	a.announcer = announcer.New(announcer.Config{
		AgentID: c.ID, VM: c.VM, Zone: c.Zone, Rack: c.Rack, Incarnation: incarnation,
		Entries: c.Entries, Gatekeeper: a.gatekeeper, Reporter: c.Reporter,
		FleetVersion: a.follower.Version, OnFleetVersion: a.takeFleet,
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
		Upstreams: a.gatekeeper.Upstreams, ServiceLoad: a.gatekeeper.TakeServiceLoad,
		ServiceNeeds: a.serviceNeeds, Reporter: c.Reporter,
	})
}

// leave tells the cell's owner that no task should start here. Without an owner
// in reach it gives up soon: the tasks run on under their leases either way, and
// waiting longer would only hold up the requests in flight of a planned stop.
func (a *Agent) leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	if err := a.runner.Drain(ctx); err != nil {
		a.config.Reporter.Report(reporter.LeaveNotTold, reporter.Fields{"error": err.Error()})
	}
	return nil
}

// serviceNeeds returns what one upstream of a service holds on the VM.
func (a *Agent) serviceNeeds(service string) (describer.Resources, bool) {
	s, ok := a.follower.Fleet().Service(service)
	return s.Needs, ok
}

// takeFleet fetches a fleet record that an entry has and this agent has not.
func (a *Agent) takeFleet(version int64, fetch func(context.Context) (messenger.FleetReply, error)) {
	if version <= a.follower.Version() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.fetchLimit)
	defer cancel()
	reply, err := fetch(ctx)
	if err != nil {
		// The entry may have been frozen or cut off since it told of the version.
		// Waiting long for it would keep the change from being in force in time,
		// while the next heartbeat of another entry tells of it again; so the
		// first wait is short, and grows for links that really are slow.
		a.fetchLimit = min(2*a.fetchLimit, longestFetch)
		return
	}
	a.fetchLimit = firstFetch
	if reply.Version > 0 {
		_ = a.follower.Offer(reply) // an unreadable record is reported by the follower
	}
}

// Run works until ctx ends, then drains and stops within the stop limit.
func (a *Agent) Run(ctx context.Context) error {
	r := registrar.New(registrar.Config{Reporter: a.config.Reporter, StopLimit: a.config.StopLimit})
	r.Add(part("local-listener", a.local, a.serveLocal, nil))
	r.Add(part("admin-listener", a.admin, a.serveAdmin, nil))
	// Drained in reverse: the gate refuses new requests first.
	work := "runner"
	if a.jobs != nil {
		work = "jobs"
		r.Add(part(work, a.jobs, a.jobs.run, nil))
	} else {
		r.Add(part(work, a.runner, a.runner.Run, a.leave))
	}
	r.Add(part("announcer", a.announcer, a.announcer.Run, a.announcer.Drain, "local-listener", work))
	a.config.Reporter.Report(reporter.Listening, reporter.Fields{
		"local": a.LocalAddress(), "admin": a.AdminAddress(),
	})
	return r.Run(ctx)
}

func part(name string, value any, run, drain func(context.Context) error, needs ...string) registrar.Service {
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
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerLimit}
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
	// A reader that went away needs no answer.
	_ = json.NewEncoder(w).Encode(readiness{
		Ready: true, ID: a.config.ID, VM: a.config.VM,
		FleetVersion: a.follower.Version(), Upstreams: a.gatekeeper.Upstreams(),
	})
}
