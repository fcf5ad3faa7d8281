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
	"bamboospread/internal/job/locator"
	"bamboospread/internal/job/receiver"
	"bamboospread/internal/job/scheduler"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/kernel/sampler"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/store/observer"
	"bamboospread/internal/store/relayer"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/limiter"
	"bamboospread/internal/wire/messenger"
	"bamboospread/platform"
)

// Times of an entry's stop.
const (
	// drainDelay is how long the entry accepts requests after it reports not ready. The
	// balancer polls every second and needs two failures before it sends new callers
	// elsewhere.
	drainDelay       = 2500 * time.Millisecond
	stopGraceDivisor = 3 // the HTTP shutdown takes at most a third of the stop grace
)

// maxReadyPolicyAge is the maximum age of the policy for a ready entry.
const maxReadyPolicyAge = 5 * time.Second

// Entry is a process that serves callers.
type Entry struct {
	config      Config
	metrics     *metrics.Set
	store       *platform.Store
	directCalls keeper.Calls // of the store, by this process itself
	observed    *observer.Observer
	follower    *follower.Follower
	scheduler   *scheduler.Scheduler
	forwarder   *forwarder.Forwarder
	receiver    *receiver.Receiver
	draining    atomic.Bool
}

// NewEntry builds an entry.
func NewEntry(c Config) *Entry {
	e := &Entry{config: c, metrics: metrics.NewSet()}
	e.store = platform.NewStore(c.Settings.StoreAddress, func(call string) {
		e.metrics.GetOrCreateCounter(fmt.Sprintf(`bamboospread_store_calls_total{call=%q}`, call)).Inc()
	})
	directly, observed := observer.New(now), observer.New(now)
	e.observed = observed
	e.directCalls = directly.Observe(e.store.Calls())
	calls := observed.Observe(relayer.New(relayer.Config{
		Calls: e.directCalls, Unreachable: directly.Unreachable, Now: now, Reporter: c.Reporter,
		Active:  func() bool { return e.scheduler.HoldsCell() },
		Entries: func() []messenger.PeerAddress { return e.scheduler.Entries() },
		Count: func(call string) {
			e.metrics.GetOrCreateCounter(fmt.Sprintf(`bamboospread_store_relayed_calls_total{call=%q}`, call)).Inc()
		},
	}).Calls())
	e.follower = follower.New(follower.Config{
		Store: calls, Prefix: platform.OperatorPrefix, Decode: c.decodePolicy, Now: now, Reporter: c.Reporter,
		AskOwner: func(ctx context.Context, q messenger.WorkPolicyRequest) (a messenger.WorkPolicyReply, err error) {
			err = e.forwarder.Call(ctx, messenger.MethodWorkPolicy, q, &a)
			return a, err
		},
	})
	self := messenger.PeerAddress{EntryID: c.Settings.Name, Address: rpcAddress(c.Settings)}
	var advise func(context.Context, string, []string) (map[string]string, error)
	if c.Settings.AdviceAddress != "" {
		advise = platform.NewAdvisor(c.Settings.AdviceAddress).Advise
	}
	e.scheduler = scheduler.New(scheduler.Config{
		Cell: cell, EntryID: self.EntryID, Address: self.Address, Store: calls, Policy: e.follower.Policy, PolicyAge: e.follower.Age, PolicyRecords: e.follower.Records,
		Advise: advise,
		StoreForEntry: func(ctx context.Context, q messenger.WorkStoreRequest) messenger.WorkStoreReply {
			return e.receiver.StoreForEntry(ctx, q)
		},
		Grant: min(scheduler.DefaultGrant, c.Settings.LeaseMax), Lease: max(scheduler.DefaultLease, c.Settings.StoreLeaseMin), StopTime: c.Settings.StopTime,
		AcquireDelay: acquireDelay(c.Settings),
		Now:          now, Reporter: c.Reporter, Metrics: scheduler.NewMetrics(e.metrics),
	})
	admission := receiver.NewAdmission(receiver.AdmissionConfig{Policy: e.follower.Policy, Now: now, Reporter: c.Reporter, Metrics: e.metrics})
	e.forwarder = forwarder.New(forwarder.Config{
		Self: self, Owner: e.scheduler.Owner, Handle: e.scheduler.Handle, Admission: admission.State, UseAdmission: admission.Use,
		Locator: locator.New(nil), StoreUnreachable: observed.Unreachable, LearnOwner: e.scheduler.LearnOwner,
		RecordContact: e.scheduler.RecordOwnerContact, Now: now, Reporter: c.Reporter,
	})
	e.receiver = receiver.New(receiver.Config{
		Store: calls, StoreAge: observed.Age, StoreUnreachable: observed.Unreachable, CallOwner: e.forwarder.Call, HadNoEffect: forwarder.HadNoEffect, NotOwner: forwarder.NotOwner, Admission: admission, Now: now, Reporter: c.Reporter, DefaultAccount: c.Settings.Zone,
	})
	return e
}

// decodePolicy decodes the operators' records and adds what only the entry's settings express.
func (c Config) decodePolicy(records map[string][]byte) (*specifier.Policy, error) {
	p, err := platform.DecodePolicy(records)
	p.Load, p.Accounts = c.LoadControl, c.Accounts
	return p, err
}

// Minimum VM size for an entry that acquires a vacant cell without delay. The owner of 70
// VMs reads reports of about 300 KB a second and uses up to a tenth of a core; on the
// smallest VMs of the users (0.192 of a core, 10 Mbit/s) callers would delay both.
const (
	minOwnerCores    = 0.4
	minOwnerLinkMbps = 100
	// ownerAcquireDelay is how long an entry on a smaller VM leaves a vacant cell to other
	// entries, which notice it within some milliseconds and acquire it with three calls.
	ownerAcquireDelay = 400 * time.Millisecond
)

func acquireDelay(s *platform.Settings) time.Duration {
	small := s.Cores > 0 && s.Cores < minOwnerCores || s.LinkMbps > 0 && s.LinkMbps < minOwnerLinkMbps
	if small {
		return ownerAcquireDelay
	}
	return 0
}

// Run serves until ctx ends. It then stops accepting new callers, releases the ownership
// and completes the requests in flight.
func (e *Entry) Run(ctx context.Context) error {
	s := e.config.Settings
	tuneGarbageCollector(s.MemoryMB)
	limits := newAcceptor(e.config, e.metrics)
	limiter.Process().SetDescriptors(s.Descriptors)
	l, err := net.Listen("tcp", rpcAddress(s))
	if err != nil {
		return fmt.Errorf("listen for RPC: %w", err)
	}
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	context.AfterFunc(ctx, func() {
		e.draining.Store(true)
		time.AfterFunc(drainDelay, stopServing)
	})
	untilSignal := func(run func(context.Context) error) func(context.Context) error {
		return func(processCtx context.Context) error { // ends run when ctx ends, not after the last request
			runCtx, cancel := context.WithCancel(processCtx)
			defer cancel()
			defer context.AfterFunc(ctx, cancel)()
			err := run(runCtx)
			<-processCtx.Done()
			return err
		}
	}
	return runComponents(serving, e.config.Reporter, []component{
		{"rpc", func(ctx context.Context) error { return connector.Serve(ctx, l, e.handle, nil) }},
		{"settings", func(ctx context.Context) error {
			return followSettings(ctx, e.config, func(n *platform.Settings) { e.store.SetAddress(n.StoreAddress) })
		}},
		{"policy", e.follower.Run},
		{"sampler", sampler.New(sampler.Config{Cores: s.Cores, Now: now, Reporter: e.config.Reporter}).Run},
		{"scheduler", untilSignal(e.scheduler.Run)},
		{"forwarder", e.forwarder.Run},
		{"http", func(ctx context.Context) error {
			return serveEndpoints(ctx, limits, s.StopGrace/stopGraceDivisor,
				endpoint{s.ListenCallers, e.callerHandler()}, endpoint{s.ListenReadiness, http.HandlerFunc(e.serveReadiness)}, metricsEndpoint(s, e.metrics))
		}},
	})
}

func (e *Entry) handle(ctx context.Context, c *connector.Conn, method string, params json.RawMessage) (any, error) {
	if method == messenger.MethodStoreCall {
		return relayer.Serve(ctx, e.directCalls, params)
	}
	return e.scheduler.Handle(ctx, c, method, params)
}

func (e *Entry) callerHandler() http.Handler {
	return &platform.Callers{
		Receiver: e.receiver, Policy: e.follower.Policy, PolicyAge: e.follower.Age, StoreAnswers: e.storeAnswers,
		OnRefused: func(reason, host, path string) {
			e.config.Reporter.Report(reporter.JobRefused, reporter.Fields{"reason": reason, "host": host, "path": path, "policy": e.follower.Policy().Version, "policy-age": e.follower.Age().String()})
		},
		Observe: func(queue, method string, status int, took time.Duration) {
			e.metrics.GetOrCreateCounter(fmt.Sprintf(`bamboospread_requests_total{queue=%q,method=%q,status="%d"}`, queue, method, status)).Inc()
			e.metrics.GetOrCreateHistogram(fmt.Sprintf(`bamboospread_request_seconds{queue=%q,method=%q}`, queue, method)).Update(took.Seconds())
		},
	}
}

// storeAnswers reports whether the store has answered this process lately.
func (e *Entry) storeAnswers() bool {
	return !e.observed.Unreachable() && e.observed.Age() <= platform.MaxPolicyAge
}

// serveReadiness answers the platform's balancer.
func (e *Entry) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	age := e.follower.Age()
	if reason := notReady(e.draining.Load(), e.follower.Policy().Version, age, e.storeAnswers()); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
	}
}

// notReady returns why an entry is not ready, or an empty string. One that refuses all callers is not.
func notReady(draining bool, version int64, age time.Duration, storeAnswers bool) string {
	switch {
	case draining:
		return "leaving"
	case version == 0:
		return "no configuration yet"
	case age > platform.MaxPolicyAge && storeAnswers:
		return "configuration may be old"
	case age > maxReadyPolicyAge:
		return "store not reached"
	}
	return ""
}
