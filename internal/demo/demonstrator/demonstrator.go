// Package demonstrator runs the whole system in one process: embedded stand-ins for
// the store, the workers, the executors and the upstreams, real entries and agents,
// callers, tasks and a job, and one availability zone that is taken out of service and
// back in. It counts what the stand-ins and the callers observe, independently of the
// scheduler.
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
	entryCount      = 2
	vmCount         = 6
	vmsPerRack      = 2
	serviceName     = "labelling"
	zoneOutName     = "zone-b"
	readyLimit      = 15 * time.Second
	requestInterval = 5 * time.Millisecond // between two requests of the callers
	tasksPerSecond  = 20
	serviceTime     = 4 * time.Millisecond
	taskTime        = 700 * time.Millisecond
	// zoneOutGrace is the guaranteed limit after which no start happens in a zone
	// that an accepted change has taken out.
	zoneOutGrace   = 3 * time.Second
	stopTimeout    = 10 * time.Second
	lastTasksLimit = 15 * time.Second // for the last tasks to end, after the load
)

var zoneNames = []string{"zone-a", zoneOutName, "zone-c"}

// Config holds the settings of a Demonstrator.
type Config struct {
	Duration time.Duration // of the load
	Progress io.Writer     // receives human-readable progress lines
	Reporter *reporter.Reporter
}

// Demonstrator is one run of the demo.
type Demonstrator struct {
	config       Config
	store        *storer.Store
	workers      []*worker.Worker
	executors    []*executor.Executor
	servers      []*server.Server
	entries      []string // HTTP addresses
	serviceNames []string // of the services, in the order of their start
	startedAt    time.Time
}

// New returns a Demonstrator.
func New(c Config) *Demonstrator { return &Demonstrator{config: c} }

// Run starts all services, sends the load, stops the services and returns the counts.
// The error is nil unless the demo itself could not run.
func (d *Demonstrator) Run(ctx context.Context) (Summary, error) {
	d.startedAt = time.Now()
	services := registrar.New(registrar.Config{Reporter: d.config.Reporter, StopTimeout: stopTimeout})
	if err := d.assemble(services); err != nil {
		return Summary{}, err
	}
	ctx, finish := context.WithCancel(ctx)
	defer finish()
	var summary Summary
	var loadError error
	services.Add(newService("load", func(own context.Context) error {
		summary, loadError = d.runLoad(own)
		finish()
		<-own.Done()
		return nil
	}, d.serviceNames...))
	err := services.Run(ctx)
	return summary, errors.Join(loadError, err)
}

// assemble adds the store, the entries and the VMs. They stop in reverse order after
// the load has ended.
func (d *Demonstrator) assemble(services *registrar.Registrar) error {
	d.store = storer.New(storer.Config{})
	runStore, storeURL, err := listen(d.store.Run)
	if err != nil {
		return err
	}
	d.addService(services, "store", runStore)
	d.progress("store at %s", storeURL)
	var rpc []string
	for i := range entryCount {
		s, err := server.New(server.Config{
			ID: fmt.Sprintf("entry-%d", i+1), Listen: "127.0.0.1:0", RPCListen: "127.0.0.1:0", Zone: zoneNames[i],
			StoreURL: storeURL, Cell: "main", MayOwn: true, OwnerLease: 6 * time.Second, VMLease: 6 * time.Second,
			StopTimeout: stopTimeout, Reporter: d.config.Reporter,
		})
		if err != nil {
			return err
		}
		d.addService(services, fmt.Sprintf("entry-%d", i+1), s.Run)
		d.servers = append(d.servers, s)
		d.entries = append(d.entries, "http://"+s.HTTPAddress())
		rpc = append(rpc, s.RPCAddress())
	}
	d.progress("entries at %v", d.entries)
	if err := d.addVMs(services, rpc); err != nil {
		return err
	}
	if err := d.addJobVMs(services, rpc); err != nil {
		return err
	}
	d.progress("%d VMs in %d availability zones, each with a worker, an agent and an upstream; %d VMs for jobs", vmCount, len(zoneNames), jobVMCount)
	return nil
}

// service is a function that runs one service until ctx ends.
type service func(ctx context.Context) error

// vm holds the services of one VM.
type vm struct{ worker, agent, upstream service }

// addVMs adds the VMs. The upstreams of all VMs stop first, then the agents, then the
// workers.
func (d *Demonstrator) addVMs(services *registrar.Registrar, rpc []string) error {
	var workers, agents, upstreams []service
	for i := range vmCount {
		v, err := d.newVM(i, rpc)
		if err != nil {
			return err
		}
		workers, agents, upstreams = append(workers, v.worker), append(agents, v.agent), append(upstreams, v.upstream)
	}
	d.addService(services, "workers", runTogether(workers))
	d.addService(services, "agents", runTogether(agents))
	d.addService(services, "upstreams", runTogether(upstreams))
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
	runWorker, workerURL, err := listen(w.Run)
	if err != nil {
		return vm{}, err
	}
	a, err := agent.New(agent.Config{
		ID: "agent-" + name, VM: name, Zone: zone, Rack: rack, Entries: rpc, WorkerURL: workerURL,
		LocalListen: "127.0.0.1:0", Listen: "127.0.0.1:0", Cell: "main", StopTimeout: stopTimeout, Reporter: d.config.Reporter,
	})
	if err != nil {
		return vm{}, err
	}
	u := responder.New(responder.Config{
		ID: "labelling-" + name, Service: serviceName, ServiceTime: serviceTime,
		Distribution: responder.Exponential, Seed: uint64(i + 1), Agent: "http://" + a.LocalAddress(),
	})
	runUpstream, _, err := listen(u.Run)
	return vm{worker: runWorker, agent: a.Run, upstream: runUpstream}, err
}

// runTogether runs several services until ctx or one of them ends.
func runTogether(all []service) service {
	return func(ctx context.Context) error {
		var group run.Group
		for _, s := range all {
			own, cancel := context.WithCancel(ctx)
			group.Add(func() error { return s(own) }, func(error) { cancel() })
		}
		return group.Run()
	}
}

// listen opens a loopback listener and returns the service that runs serve on it,
// and its URL.
func listen(serve func(context.Context, net.Listener) error) (service, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", fmt.Errorf("listen: %w", err)
	}
	return func(ctx context.Context) error { return serve(ctx, l) }, "http://" + l.Addr().String(), nil
}

// addService adds a service that starts after those added before.
func (d *Demonstrator) addService(services *registrar.Registrar, name string, s service) {
	services.Add(newService(name, s, d.serviceNames...))
	d.serviceNames = append(d.serviceNames, name)
}

func newService(name string, s service, needs ...string) registrar.Service {
	return registrar.Service{
		Name: name, Needs: needs, Run: s,
		Start: func(context.Context, *registrar.Registrar) (any, error) { return name, nil },
	}
}

func (d *Demonstrator) progress(format string, args ...any) {
	fmt.Fprintf(d.config.Progress, "%6.1fs  %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, args...))
}
