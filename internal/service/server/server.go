// Package server assembles the entry process, which serves callers and operators over
// HTTP, holds the sessions of agents, and may own a cell.
package server

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboospread/internal/control/controller"
	"bamboospread/internal/control/learner"
	"bamboospread/internal/control/placer"
	"bamboospread/internal/fleet/changer"
	"bamboospread/internal/fleet/follower"
	"bamboospread/internal/kernel/registrar"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/operator/handler"
	"bamboospread/internal/request/receiver"
	"bamboospread/internal/request/tracker"
	"bamboospread/internal/service/enroller"
	"bamboospread/internal/service/forwarder"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/acceptor"
	"bamboospread/internal/wire/messenger"
)

// releaseTimeout limits the release of the cell ownership in a planned stop.
const releaseTimeout = 3 * time.Second

// Names of the entry's services in its registrar.
const (
	serviceFollower      = "follower"
	serviceEnroller      = "enroller"
	serviceTracker       = "tracker"
	serviceController    = "controller"
	serviceJobs          = "jobs"
	serviceJobsForwarder = "jobs-forwarder"
	serviceReceiver      = "receiver"
	serviceRPC           = "rpc-listener"
	serviceHTTP          = "http-listener"
)

// Config holds the settings of an entry.
type Config struct {
	ID          string
	Listen      string   // HTTP, host:port
	RPCListen   string   // JSON-RPC, host:port
	Advertise   string   // RPC address advertised to agents and entries; empty: that of the listener
	Zone        string   // availability zone of this VM
	Peers       []string // RPC addresses of entries to contact first
	StoreURL    string
	Cell        string
	MayOwn      bool // the entry may claim the ownership of the cell
	OwnerLease  time.Duration
	VMLease     time.Duration
	OutageLease time.Duration // 0: the value of the fleet text
	StopTimeout time.Duration
	// MaxConnections is how many HTTP connections may be open; 0: from the memory and the descriptors
	// of the process.
	MaxConnections int
	Reporter       *reporter.Reporter
}

// Server is one entry.
type Server struct {
	config     Config
	http       net.Listener
	rpc        net.Listener
	keeper     *keeper.Keeper
	follower   *follower.Follower
	enroller   *enroller.Enroller
	tracker    *tracker.Tracker
	controller *controller.Controller
	forwarder  *forwarder.Forwarder
	receiver   *receiver.Receiver
	operator   *handler.Handler
	jobs       jobs
	acceptor   *acceptor.Acceptor
	metrics    *metrics.Set
	ready      atomic.Bool
}

// New opens the listeners and builds the components; Run starts them.
func New(c Config) (*Server, error) {
	s := &Server{config: c, metrics: metrics.NewSet()}
	var err error
	if s.http, err = net.Listen("tcp", c.Listen); err != nil {
		return nil, fmt.Errorf("listen for HTTP: %w", err)
	}
	if s.rpc, err = net.Listen("tcp", c.RPCListen); err != nil {
		s.http.Close()
		return nil, fmt.Errorf("listen for RPC: %w", err)
	}
	if s.config.Advertise == "" {
		s.config.Advertise = s.rpc.Addr().String()
	}
	s.acceptor = acceptor.New(acceptor.Config{MaxConnections: c.MaxConnections, Reporter: c.Reporter, Metrics: s.metrics})
	s.keeper = keeper.New(keeper.Config{URL: c.StoreURL, CountCall: s.countStoreCall})
	s.buildControl()
	s.buildJobs()
	s.buildRequests()
	return s, nil
}

// HTTPAddress returns the listen address for callers and operators.
func (s *Server) HTTPAddress() string { return s.http.Addr().String() }

// RPCAddress returns the RPC address advertised to agents and entries.
func (s *Server) RPCAddress() string { return s.config.Advertise }

func (s *Server) countStoreCall(kind string) {
	s.metrics.GetOrCreateCounter(fmt.Sprintf("bamboospread_store_calls_total{kind=%q}", kind)).Inc()
}

// buildControl builds the components for the fleet configuration, the membership of
// entries, and the cell.
func (s *Server) buildControl() {
	c := s.config
	s.follower = follower.New(follower.Config{
		Keeper: s.keeper, Reporter: c.Reporter,
		FetchFromPeer: func(ctx context.Context, above int64) (messenger.FleetReply, error) {
			return s.enroller.FetchFleet(ctx, above)
		},
	})
	s.enroller = enroller.New(enroller.Config{
		Self:  messenger.PeerAddress{EntryID: c.ID, Address: c.Advertise},
		Seeds: c.Peers, Keeper: s.keeper, Handle: s.handleRPC,
		LocalOwner: s.localOwner, FleetVersion: s.follower.Version, Reporter: c.Reporter,
	})
	interference := learner.New(learner.Config{Objective: s.latencyObjective})
	s.controller = controller.New(controller.Config{
		Cell: c.Cell, EntryID: c.ID, RPCAddress: c.Advertise, Keeper: s.keeper,
		Refresh: s.follower.Refresh, Fleet: s.follower.Fleet, Reporter: c.Reporter, Metrics: s.metrics,
		Placer: placer.New(placer.Config{}), ObserveUsage: observeBatch(interference),
		Interference: interference.Interference, Pressure: interference.Pressure, RecentWindows: interference.RecentWindows,
		OwnerLease: c.OwnerLease, VMLease: c.VMLease, OutageLease: c.OutageLease,
	})
	s.forwarder = forwarder.New(forwarder.Config{
		EntryID: c.ID, Owner: s.enroller.Owner, Local: s.controller.Handle, Call: s.enroller.Call,
	})
}

// buildRequests builds the components that serve callers and operators.
func (s *Server) buildRequests() {
	c := s.config
	s.tracker = tracker.New(tracker.Config{
		EntryID: c.ID, Peers: s.enroller.Peers, Owners: s.enroller.Owners,
		FleetVersion: s.follower.Version, Reporter: c.Reporter,
	})
	s.receiver = receiver.New(receiver.Config{
		EntryID: c.ID, Zone: c.Zone, Tracker: s.tracker, Fleet: s.follower.Fleet, Cell: c.Cell,
		CallCell: s.forwarder.CallCell, Reporter: c.Reporter, Metrics: s.metrics,
	})
	changes := changer.New(changer.Config{
		Keeper: s.keeper, Reporter: c.Reporter, FindText: s.follower.FindText, LastKnown: s.follower.CurrentRecord,
		Accepted: func(version int64, value []byte) {
			_ = s.follower.Offer(messenger.FleetReply{Version: version, Record: value}) // Offer logs a failure
		},
	})
	s.operator = handler.New(handler.Config{
		Cell: c.Cell, Changer: changes, Follower: s.follower,
		CallCell: s.forwarder.CallCell, Reporter: c.Reporter,
		Jobs: handler.Jobs{Receiver: s.jobs.receiver, Policy: policyOf(s.follower.Fleet), CallOwner: s.jobs.forwarder.Call},
	})
}

func (s *Server) latencyObjective(service string) time.Duration {
	found, _ := s.follower.Fleet().Service(service)
	return found.LatencyObjective
}

// observeBatch returns a function that passes a usage window and its placements to the
// learner. Replicas of services are left out: only batch tasks are learned as sources of
// interference.
func observeBatch(interference *learner.Learner) func(string, messenger.Usage, []controller.Placement) {
	return func(vm string, usage messenger.Usage, placed []controller.Placement) {
		batch := make([]learner.Placement, 0, len(placed))
		for _, p := range placed {
			if p.Service == "" {
				batch = append(batch, learner.Placement{TaskID: p.TaskID, Class: p.Class, From: p.From, To: p.To, Percent: p.Percent})
			}
		}
		interference.Observe(vm, usage, batch)
	}
}

func (s *Server) localOwner() (messenger.CellOwner, bool) {
	if !s.config.MayOwn {
		return messenger.CellOwner{}, false
	}
	return s.controller.Owner()
}

// Run serves until ctx ends, then drains and stops within StopTimeout.
func (s *Server) Run(ctx context.Context) error {
	r := registrar.New(registrar.Config{Reporter: s.config.Reporter, StopTimeout: s.config.StopTimeout})
	r.Add(prebuiltService(serviceFollower, s.follower, s.follower.Run, nil))
	r.Add(prebuiltService(serviceEnroller, s.enroller, s.enroller.Run, nil, serviceFollower))
	r.Add(prebuiltService(serviceTracker, s.tracker, s.tracker.Run, nil, serviceEnroller))
	if s.config.MayOwn {
		r.Add(prebuiltService(serviceController, s.controller, s.controller.Run, s.releaseOwnership, serviceFollower))
		r.Add(prebuiltService(serviceJobs, s.jobs.scheduler, s.jobs.scheduler.Run, nil, serviceFollower))
	}
	r.Add(prebuiltService(serviceJobsForwarder, s.jobs.forwarder, s.jobs.forwarder.Run, nil, serviceFollower))
	r.Add(prebuiltService(serviceReceiver, s.receiver, nil, s.drainRequests, serviceTracker))
	r.Add(prebuiltService(serviceRPC, s.rpc, s.serveRPC, nil, serviceTracker))
	r.Add(prebuiltService(serviceHTTP, s.http, s.serveHTTP, nil, serviceReceiver, serviceRPC))
	s.config.Reporter.Report(reporter.Listening, reporter.Fields{
		"http": s.HTTPAddress(), "rpc": s.rpc.Addr().String(), "advertise": s.config.Advertise,
	})
	return r.Run(ctx)
}

// releaseOwnership releases the ownership of the cell. While the store is unreachable
// that is not possible; waiting for the store would delay the stop to its limit and make
// it fail. The lease then expires, which loses nothing: only decisions that are in the
// journal have been answered.
func (s *Server) releaseOwnership(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := s.controller.Drain(ctx); err != nil {
		s.config.Reporter.Report(reporter.HandOverFailed, reporter.Fields{"cell": s.config.Cell, "error": err.Error()})
	}
	return nil
}

// prebuiltService returns a service whose value exists before it starts.
func prebuiltService(name string, value any, run, drain func(context.Context) error, needs ...string) registrar.Service {
	return registrar.Service{
		Name: name, Needs: needs, Run: run, Drain: drain,
		Start: func(context.Context, *registrar.Registrar) (any, error) { return value, nil },
	}
}
