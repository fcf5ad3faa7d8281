package hoster

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboospread/internal/job/follower"
	"bamboospread/internal/job/forwarder"
	"bamboospread/internal/job/receiver"
	"bamboospread/internal/job/scheduler"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/observer"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
	"bamboospread/platform"
)

// Lengths of an entry's stop.
const (
	// leaveTime is how long requests are still taken after the entry says that it is
	// not ready, so that the balancer, which asks every second and wants two
	// misses, sends new callers elsewhere first.
	leaveTime = 2500 * time.Millisecond
	stopShare = 3 // the rest of the stop takes a third of the grace at most
)

// readyAge is how old the policy may be while an entry calls itself ready.
const readyAge = 5 * time.Second

// Entry is a process that serves callers.
type Entry struct {
	config    Config
	metrics   *metrics.Set
	store     *platform.Store
	follower  *follower.Follower
	scheduler *scheduler.Scheduler
	forwarder *forwarder.Forwarder
	receiver  *receiver.Receiver
	draining  atomic.Bool
}

// NewEntry builds an entry.
func NewEntry(c Config) *Entry {
	e := &Entry{config: c, metrics: metrics.NewSet()}
	e.store = platform.NewStore(c.Settings.StoreAddress, func(call string) {
		e.metrics.GetOrCreateCounter(fmt.Sprintf(`bamboospread_store_calls_total{call=%q}`, call)).Inc()
	})
	observed := observer.New(now)
	calls := observed.Observe(e.store.Calls())
	e.follower = follower.New(follower.Config{
		Store: calls, Prefix: platform.OperatorPrefix, Decode: platform.DecodePolicy, Now: now, Reporter: c.Reporter,
	})
	self := messenger.PeerAddress{EntryID: c.Settings.Name, Address: rpcAddress(c.Settings)}
	var advise func(context.Context, string, []string) (map[string]string, error)
	if c.Settings.AdviceAddress != "" {
		advise = platform.NewAdvisor(c.Settings.AdviceAddress).Advise
	}
	e.scheduler = scheduler.New(scheduler.Config{
		Cell: cell, EntryID: self.EntryID, Address: self.Address, Store: calls, Policy: e.follower.Policy, PolicyAge: e.follower.Age,
		Advise: advise,
		StoreFor: func(ctx context.Context, q messenger.WorkStoreRequest) messenger.WorkStoreReply {
			return e.receiver.StoreFor(ctx, q)
		},
		Grant: min(scheduler.DefaultGrant, c.Settings.LeaseMax), Lease: max(scheduler.DefaultLease, c.Settings.StoreLeaseMin),
		Patience: patienceOf(c.Settings),
		Now:      now, Reporter: c.Reporter, Meters: scheduler.NewMeters(e.metrics),
	})
	e.forwarder = forwarder.New(forwarder.Config{Self: self, Owner: e.scheduler.Owner, Handle: e.scheduler.Handle, Reporter: c.Reporter})
	e.receiver = receiver.New(receiver.Config{
		Store: calls, StoreAge: observed.Age, StoreLost: observed.Lost, CallOwner: e.forwarder.Call, NotDone: forwarder.NotDone, NotOwner: forwarder.NotOwner, Now: now, Reporter: c.Reporter,
	})
	return e
}

// What an owner needs to itself. The owner of 70 VMs reads reports of some 300 KB a
// second and uses up to a tenth of a core; on the smallest VMs of the users (0.192 of a
// core, 10 Mbit/s) both would be held up behind callers.
const (
	ownerCores    = 0.4
	ownerLinkMbps = 100
	// ownerPatience is how long an entry on a smaller VM leaves a vacant cell to others:
	// they see it within some milliseconds and take it with three calls.
	ownerPatience = 400 * time.Millisecond
)

func patienceOf(s *platform.Settings) time.Duration {
	small := s.Cores > 0 && s.Cores < ownerCores || s.LinkMbps > 0 && s.LinkMbps < ownerLinkMbps
	if small {
		return ownerPatience
	}
	return 0
}

// Run serves until ctx ends, then leaves in order: no new callers, the ownership
// given up, requests in flight answered.
func (e *Entry) Run(ctx context.Context) error {
	s := e.config.Settings
	tuneCollector(s.MemoryMB)
	l, err := net.Listen("tcp", rpcAddress(s))
	if err != nil {
		return fmt.Errorf("listen for own processes: %w", err)
	}
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	context.AfterFunc(ctx, func() {
		e.draining.Store(true)
		time.AfterFunc(leaveTime, stopServing)
	})
	deciding := func(run func(context.Context) error) func(context.Context) error {
		return func(whole context.Context) error { // ends with the signal, not with the last request
			own, cancel := context.WithCancel(whole)
			defer cancel()
			defer context.AfterFunc(ctx, cancel)()
			err := run(own)
			<-whole.Done()
			return err
		}
	}
	return runParts(serving, e.config.Reporter, []part{
		{"rpc", func(ctx context.Context) error { return connector.Serve(ctx, l, e.handle, nil) }},
		{"settings", func(ctx context.Context) error {
			return followSettings(ctx, e.config, func(n *platform.Settings) { e.store.SetAddress(n.StoreAddress) })
		}},
		{"policy", e.follower.Run},
		{"scheduler", deciding(e.scheduler.Run)},
		{"forwarder", e.forwarder.Run},
		{"http", func(ctx context.Context) error {
			return serveSites(ctx, s.StopGrace/stopShare,
				site{s.ListenCallers, e.callers()}, site{s.ListenReadiness, http.HandlerFunc(e.ready)}, metricsSite(s, e.metrics))
		}},
	})
}

func (e *Entry) handle(ctx context.Context, c *connector.Conn, method string, params json.RawMessage) (any, error) {
	return e.scheduler.Handle(ctx, c, method, params)
}

func (e *Entry) callers() http.Handler {
	return &platform.Callers{
		Receiver: e.receiver, Policy: e.follower.Policy, PolicyAge: e.follower.Age,
		Refused: func(reason, host, path string) {
			e.config.Reporter.Report(reporter.JobRefused, reporter.Fields{"reason": reason, "host": host, "path": path, "policy": e.follower.Policy().Version})
		},
		Observe: func(queue, method string, status int, took time.Duration) {
			e.metrics.GetOrCreateCounter(fmt.Sprintf(`bamboospread_requests_total{queue=%q,method=%q,status="%d"}`, queue, method, status)).Inc()
			e.metrics.GetOrCreateHistogram(fmt.Sprintf(`bamboospread_request_seconds{queue=%q,method=%q}`, queue, method)).Update(took.Seconds())
		},
	}
}

// ready answers the platform's balancer.
func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.draining.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case e.follower.Policy().Version == 0:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	case e.follower.Age() > readyAge:
		http.Error(w, "store not reached", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}
