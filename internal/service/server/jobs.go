package server

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/job/forwarder"
	"bamboospread/internal/job/receiver"
	"bamboospread/internal/job/scheduler"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/timekeeper"
	"bamboospread/internal/service/agent"
	"bamboospread/internal/store/observer"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// jobs holds the entry's components for jobs of steps.
type jobs struct {
	scheduler *scheduler.Scheduler
	forwarder *forwarder.Forwarder
	receiver  *receiver.Receiver
}

// buildJobs builds the components for jobs, which use the entry's store client and fleet
// text.
func (s *Server) buildJobs() {
	c := s.config
	observed := observer.New(timekeeper.Now)
	calls := observed.Observe(s.keeper.Calls())
	self := messenger.PeerAddress{EntryID: c.ID, Address: c.Advertise}
	policy := policyOf(s.follower.Fleet)
	s.jobs.scheduler = scheduler.New(scheduler.Config{
		Cell: agent.JobsCell, EntryID: self.EntryID, Address: self.Address, Store: calls, Policy: policy, PolicyAge: s.follower.Age,
		StoreForEntry: func(ctx context.Context, q messenger.WorkStoreRequest) messenger.WorkStoreReply {
			return s.jobs.receiver.StoreForEntry(ctx, q)
		},
		StopTime: agent.ExecutorStopTime,
		Now:      timekeeper.Now, Reporter: c.Reporter, Metrics: scheduler.NewMetrics(s.metrics),
	})
	admission := receiver.NewAdmission(receiver.AdmissionConfig{Policy: policy, Now: timekeeper.Now, Reporter: c.Reporter, Metrics: s.metrics})
	s.jobs.forwarder = forwarder.New(forwarder.Config{
		Self: self, Owner: s.jobs.scheduler.Owner, Reporter: c.Reporter,
		Handle: func(ctx context.Context, conn *connector.Conn, method string, params json.RawMessage) (any, error) {
			return s.jobs.scheduler.Handle(ctx, conn, method, params)
		},
		Admission: admission.State, UseAdmission: admission.Use, Now: timekeeper.Now,
	})
	s.jobs.receiver = receiver.New(receiver.Config{
		Store: calls, StoreUnreachable: observed.Unreachable,
		StoreAge:  func() time.Duration { return 0 }, // not measured: the only calls made regularly are watches, which wait for seconds
		CallOwner: s.jobs.forwarder.Call, HadNoEffect: forwarder.HadNoEffect, NotOwner: forwarder.NotOwner, Admission: admission, Now: timekeeper.Now, Reporter: c.Reporter, DefaultAccount: c.Zone,
	})
}

// policyOf returns a function that builds the policy of queues and zones from the current
// fleet text. The function returns the same policy until the text changes.
func policyOf(fleet func() *describer.Fleet) func() *specifier.Policy {
	var last atomic.Pointer[specifier.Policy]
	last.Store(&specifier.Policy{})
	return func() *specifier.Policy {
		f := fleet()
		p := last.Load()
		if f.Version() == p.Version {
			return p
		}
		p = &specifier.Policy{Version: f.Version(), ZonesOut: make(map[string]bool)}
		for _, z := range f.Zones() {
			p.ZonesOut[z.Name] = z.State == describer.ZoneOut
		}
		p.Load, _ = specifier.ParseLoadControl(f.LoadControl()) // the text was checked before it was stored
		for _, t := range f.Tenants() {
			p.Accounts = append(p.Accounts, accountOf(t))
		}
		for _, q := range f.Queues() {
			p.Queues = append(p.Queues, specifier.Queue{
				Name: q.Name, Service: q.Service, Priority: q.Priority, MaxFailures: q.MaxFailures, Slack: q.Slack, Target: q.Target,
			})
		}
		last.Store(p)
		return p
	}
}

const bytesPerMB = 1 << 20

// accountOf returns the client account of a tenant. A quota of memory below a megabyte counts as one:
// zero would mean no limit.
func accountOf(t describer.Tenant) specifier.Account {
	return specifier.Account{Name: t.Name, Weight: t.Weight, Quota: specifier.Resources{
		CPUMillis: t.Quota.Millicores, MemoryMB: (t.Quota.MemoryBytes + bytesPerMB - 1) / bytesPerMB, GPUs: t.Quota.Accelerators,
	}}
}
