// Package demonstrator runs the whole path in one process: embedded stand-ins
// for the store, the workers and the upstreams, real entries and agents, callers,
// tasks, and one availability zone taken out and back. What it counts comes from
// the stand-ins and the callers, not from the scheduler.
package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/oklog/run"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/kernel/registrar"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/service/agent"
	"bamboospread/internal/service/server"
	"bamboospread/internal/standin/executor"
	"bamboospread/internal/standin/responder"
	"bamboospread/internal/standin/storer"
	"bamboospread/internal/standin/worker"
	"bamboospread/internal/wire/messenger"
)

const (
	entryCount     = 2
	vmCount        = 6
	vmsPerRack     = 2
	serviceName    = "labelling"
	zoneOutName    = "zone-b"
	startLimit     = 15 * time.Second
	requestsEach   = 5 * time.Millisecond // pace of the callers
	tasksPerSecond = 20
	serviceTime    = 4 * time.Millisecond
	taskTime       = 700 * time.Millisecond
	// zoneOutGrace is how long after an accepted change a start may still
	// happen in a zone taken out, as promised.
	zoneOutGrace = 3 * time.Second
	stopLimit    = 10 * time.Second
	settleLimit  = 15 * time.Second // for the last tasks to end
)

var zoneNames = []string{"zone-a", zoneOutName, "zone-c"}

// Config holds the settings of a Demonstrator.
type Config struct {
	Duration time.Duration // of the load
	Progress io.Writer     // human-readable lines while it runs
	Reporter *reporter.Reporter
}

// Demonstrator is one run of the demo.
type Demonstrator struct {
	config    Config
	store     *storer.Store
	workers   []*worker.Worker
	executors []*executor.Executor
	servers   []*server.Server
	entries   []string // HTTP addresses
	names     []string // of the parts, in the order of starting
	begin     time.Time
}

// New returns a Demonstrator.
func New(c Config) *Demonstrator { return &Demonstrator{config: c} }

// Run starts everything, drives the load, stops everything and returns what was
// counted. The error is nil unless the demo itself could not run.
func (d *Demonstrator) Run(ctx context.Context) (Summary, error) {
	d.begin = time.Now()
	parts := registrar.New(registrar.Config{Reporter: d.config.Reporter, StopLimit: stopLimit})
	if err := d.assemble(parts); err != nil {
		return Summary{}, err
	}
	ctx, finish := context.WithCancel(ctx)
	defer finish()
	var summary Summary
	var driveError error
	parts.Add(part("load", func(own context.Context) error {
		summary, driveError = d.drive(own)
		finish()
		<-own.Done()
		return nil
	}, d.names...))
	err := parts.Run(ctx)
	return summary, errors.Join(driveError, err)
}

// assemble adds the store, the entries and the VMs, which stop in reverse order
// when the load has ended.
func (d *Demonstrator) assemble(parts *registrar.Registrar) error {
	d.store = storer.New(storer.Config{})
	runStore, storeURL, err := listening(d.store.Run)
	if err != nil {
		return err
	}
	d.add(parts, "store", runStore)
	d.progress("store at %s", storeURL)
	var rpc []string
	for i := range entryCount {
		s, err := server.New(server.Config{
			ID: fmt.Sprintf("entry-%d", i+1), Listen: "127.0.0.1:0", RPCListen: "127.0.0.1:0", Zone: zoneNames[i],
			StoreURL: storeURL, Cell: "main", MayOwn: true, OwnerLease: 6 * time.Second, VMLease: 6 * time.Second,
			StopLimit: stopLimit, Reporter: d.config.Reporter,
		})
		if err != nil {
			return err
		}
		d.add(parts, fmt.Sprintf("entry-%d", i+1), s.Run)
		d.servers = append(d.servers, s)
		d.entries = append(d.entries, "http://"+s.HTTPAddress())
		rpc = append(rpc, s.RPCAddress())
	}
	d.progress("entries at %v", d.entries)
	if err := d.addVMs(parts, rpc); err != nil {
		return err
	}
	if err := d.addJobVMs(parts, rpc); err != nil {
		return err
	}
	d.progress("%d VMs in %d availability zones, each with a worker, an agent and an upstream; %d VMs for jobs", vmCount, len(zoneNames), jobVMCount)
	return nil
}

// work is what a part does until its context ends.
type work func(ctx context.Context) error

// vm is what runs on one VM.
type vm struct{ worker, agent, upstream work }

// addVMs adds the VMs. The upstreams of all VMs stop together, then the agents,
// then the workers.
func (d *Demonstrator) addVMs(parts *registrar.Registrar, rpc []string) error {
	var workers, agents, upstreams []work
	for i := range vmCount {
		v, err := d.newVM(i, rpc)
		if err != nil {
			return err
		}
		workers, agents, upstreams = append(workers, v.worker), append(agents, v.agent), append(upstreams, v.upstream)
	}
	d.add(parts, "workers", together(workers))
	d.add(parts, "agents", together(agents))
	d.add(parts, "upstreams", together(upstreams))
	return nil
}

func (d *Demonstrator) newVM(i int, rpc []string) (vm, error) {
	name := fmt.Sprintf("vm-%d", i+1)
	zone, rack := zoneNames[i%len(zoneNames)], fmt.Sprintf("rack-%d", i/vmsPerRack+1)
	w := worker.New(worker.Config{Capacity: messenger.Capacity{
		VM: name, Zone: zone, Rack: rack,
		Total: describer.Resources{Millicores: 16_000, MemoryBytes: 64 << 30},
	}})
	d.workers = append(d.workers, w)
	runWorker, workerURL, err := listening(w.Run)
	if err != nil {
		return vm{}, err
	}
	a, err := agent.New(agent.Config{
		ID: "agent-" + name, VM: name, Zone: zone, Rack: rack, Entries: rpc, WorkerURL: workerURL,
		LocalListen: "127.0.0.1:0", Listen: "127.0.0.1:0", Cell: "main", StopLimit: stopLimit, Reporter: d.config.Reporter,
	})
	if err != nil {
		return vm{}, err
	}
	u := responder.New(responder.Config{
		ID: "labelling-" + name, Service: serviceName, ServiceTime: serviceTime,
		Distribution: responder.Exponential, Seed: uint64(i + 1), Agent: "http://" + a.LocalAddress(),
	})
	runUpstream, _, err := listening(u.Run)
	return vm{worker: runWorker, agent: a.Run, upstream: runUpstream}, err
}

// together runs several works until ctx ends, or one of them does.
func together(works []work) work {
	return func(ctx context.Context) error {
		var group run.Group
		for _, w := range works {
			own, cancel := context.WithCancel(ctx)
			group.Add(func() error { return w(own) }, func(error) { cancel() })
		}
		return group.Run()
	}
}

// listening opens a loopback listener for serve and returns its URL.
func listening(serve func(context.Context, net.Listener) error) (work, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", fmt.Errorf("listen: %w", err)
	}
	return func(ctx context.Context) error { return serve(ctx, l) }, "http://" + l.Addr().String(), nil
}

// add adds a part that starts after the one added before.
func (d *Demonstrator) add(parts *registrar.Registrar, name string, w work) {
	parts.Add(part(name, w, d.names...))
	d.names = append(d.names, name)
}

func part(name string, w work, needs ...string) registrar.Service {
	return registrar.Service{
		Name: name, Needs: needs, Run: w,
		Start: func(context.Context, *registrar.Registrar) (any, error) { return name, nil },
	}
}

func (d *Demonstrator) progress(format string, args ...any) {
	fmt.Fprintf(d.config.Progress, "%6.1fs  %s\n", time.Since(d.begin).Seconds(), fmt.Sprintf(format, args...))
}
