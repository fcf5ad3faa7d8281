// Package scheduler implements the owner of a cell's jobs: it competes for the ownership, loads
// the state from the store and the agents, and then sends orders until it loses the cell. The
// store keeps accepted jobs, cancellations and ends; the agents know what runs and report it to
// each new owner.
package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"bamboospread/internal/control/elector"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/kernel/timekeeper"
	"bamboospread/internal/store/decoder"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// Keys of records in the store.
const (
	// WorkPrefix is the prefix of the keys that entries write and the owner watches.
	WorkPrefix     = "work/"
	jobPrefix      = WorkPrefix + "jobs/"
	cancelPrefix   = WorkPrefix + "cancels/"
	progressPrefix = "progress/"
)

// JobKey returns the key of an accepted job.
func JobKey(id string) string { return jobPrefix + id }

// JobOfKey returns the job of a key of an accepted job. ok is false for other keys.
func JobOfKey(key string) (id string, ok bool) { return strings.CutPrefix(key, jobPrefix) }

// CancelKey returns the key of a job's cancellation.
func CancelKey(id string) string { return cancelPrefix + id }

// ProgressKey returns the key of a job's progress, a tracker.Record.
func ProgressKey(id string) string { return progressPrefix + id }

// Durations that the owner and the agents share.
const (
	// DefaultGrant is how long an agent may continue its runs without contact with the owner.
	// It is longer than a change of owner (some 2.5 s) and a restart of the agent's process.
	// Tasks of a failed VM wait this long before they run elsewhere.
	DefaultGrant = 5 * time.Second
	// DefaultLease is the duration of the owner's lease in the store.
	DefaultLease = 2 * time.Second
	// DefaultStopTime is the time that workers may take to end runs where no settings state it.
	DefaultStopTime = time.Second
	retryDelay      = 100 * time.Millisecond
)

// LeaseExpiry returns the time after the answer to a report when the runs that continue under
// its grant have certainly ended, if their worker takes at most stopTime to end them. The agent
// counts the grant from when it sent the report, so neither the report nor the reply needs time of
// its own. The difference between the clocks is counted here and nowhere else: the agent requests
// leases that end with the grant unless a clock is slow.
func LeaseExpiry(grant, stopTime time.Duration) time.Duration {
	return timekeeper.Longest(grant) + stopTime
}

// Config holds the settings of a Scheduler.
type Config struct {
	Cell    string
	EntryID string
	Address string // JSON-RPC address, published to other processes
	Store   keeper.Calls
	Lease   time.Duration // 0: DefaultLease
	Grant   time.Duration // 0: DefaultGrant
	// StopTime is the longest time that a worker takes to end runs, by a stop and once their leases have
	// expired; 0: DefaultStopTime. It must not be shorter than that of any agent.
	StopTime time.Duration
	// AcquireDelay is how long a vacant cell is left to other entries before this one acquires it.
	AcquireDelay time.Duration
	Policy       func() *specifier.Policy
	// PolicyAge returns the time since the policy was last confirmed to be the newest; nil if
	// it always is.
	PolicyAge func() time.Duration
	// PolicyRecords returns the operators' records for an entry that cannot reach the store;
	// nil: they are not passed on.
	PolicyRecords func(q messenger.WorkPolicyRequest) messenger.WorkPolicyReply
	// Advise asks the advising service which workers may run a step and returns a ticket for
	// each that may; nil without such a service.
	Advise func(ctx context.Context, step string, workers []string) (map[string]string, error)
	// StoreForEntry stores a record for an entry that cannot reach the store.
	StoreForEntry func(ctx context.Context, q messenger.WorkStoreRequest) messenger.WorkStoreReply
	Now           func() time.Time // monotonic, includes time in suspension
	Reporter      *reporter.Reporter
	Metrics       *Metrics
}

// Scheduler competes for the ownership of a cell and schedules the cell's jobs while it holds
// it. It is safe for concurrent use.
type Scheduler struct {
	config  Config
	elector *elector.Elector
	owner   atomic.Pointer[owner] // nil unless this process owns the cell
	peers   *peers

	unreadable decoder.LogLimit
}

// New returns a Scheduler. It competes for the cell once Run is called.
func New(c Config) *Scheduler {
	if c.Grant <= 0 {
		c.Grant = DefaultGrant
	}
	if c.StopTime <= 0 {
		c.StopTime = DefaultStopTime
	}
	if c.Lease <= 0 {
		c.Lease = DefaultLease
	}
	if c.PolicyAge == nil {
		c.PolicyAge = func() time.Duration { return 0 }
	}
	e := elector.New(elector.Config{
		Cell: c.Cell, EntryID: c.EntryID, Address: c.Address, Lease: c.Lease, Now: c.Now, ReplaceOwnRecord: true, AcquireDelay: c.AcquireDelay,
		FindRecords: c.Store.FindRecords, GetRecord: c.Store.GetRecord, CompareAndSwap: c.Store.CompareAndSwap, GrantLease: c.Store.GrantLease,
		KeepAlive: c.Store.KeepAlive, RevokeLease: c.Store.RevokeLease, Watch: c.Store.Watch,
	})
	return &Scheduler{config: c, elector: e, peers: newPeers(c.Now)}
}

// Owner returns the last known owner of the cell.
func (s *Scheduler) Owner() (messenger.CellOwner, bool) { return s.elector.LastSeenOwner() }

// RecordOwnerContact records whether the owner has answered a call of this process.
func (s *Scheduler) RecordOwnerContact(answered bool) { s.elector.RecordContact(answered) }

// LearnOwner records an owner that another entry has named, unless a later one is known.
func (s *Scheduler) LearnOwner(o messenger.CellOwner) { s.elector.LearnOwner(o) }

// Owns reports whether this process owns the cell.
func (s *Scheduler) Owns() bool { return s.owner.Load() != nil }

// Run alternates between competing for the cell and owning it until ctx ends.
func (s *Scheduler) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.elector.Acquire(ctx); err != nil {
			return err
		}
		err := s.runOwnership(ctx)
		if ctx.Err() == nil {
			s.config.Reporter.Report(reporter.CellOwnershipLost, reporter.Fields{"error": fmt.Sprint(err)})
			_ = pauser.Pause(ctx, retryDelay)
		}
	}
	return ctx.Err()
}

// runOwnership takes over the cell and schedules its jobs until the ownership ends.
func (s *Scheduler) runOwnership(stopped context.Context) error {
	defer s.release(stopped)
	ctx, cancel := context.WithCancel(stopped)
	defer cancel()
	keepErr := make(chan error, 1)
	go func() { keepErr <- s.elector.RenewLease(ctx) }()
	acquiredAt := s.config.Now()
	epoch, err := s.raiseEpoch(ctx)
	if err != nil {
		return err
	}
	o, err := s.takeOver(ctx, epoch)
	if err != nil {
		return err
	}
	if err := s.elector.Publish(ctx, epoch); err != nil {
		return err
	}
	o.phases.end("publish")
	o.writer.fence = s.elector.Fence()
	s.owner.Store(o)
	s.config.Reporter.Report(reporter.CellOwnershipTaken, reporter.Fields{"epoch": epoch, "jobs": len(o.state.Jobs), "took": s.config.Now().Sub(acquiredAt).String(), "phases": o.phases.String()})
	runErr := make(chan error, 1)
	go func() { runErr <- o.run(ctx) }()
	select {
	case err = <-keepErr:
		cancel()
		<-runErr
	case err = <-runErr:
		cancel()
		<-keepErr
	}
	if stopped.Err() != nil { // a planned stop
		o.closeSilences(context.WithoutCancel(ctx))
	}
	return err
}

const releaseTimeout = 500 * time.Millisecond

// release gives up the ownership, so that after a planned stop other entries need not wait for
// the lease to expire.
func (s *Scheduler) release(ctx context.Context) {
	s.owner.Store(nil)
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if err := s.elector.Release(limit); err != nil && !keeper.IsErrLeaseNotExist(err) {
		s.config.Reporter.Report(reporter.HandOverFailed, reporter.Fields{"error": err.Error()})
	}
}

// raiseEpoch assigns this ownership an epoch above all earlier ones. Workers reject orders of a
// lower epoch than they have seen, so an owner that was replaced without noticing cannot start
// or stop runs.
func (s *Scheduler) raiseEpoch(ctx context.Context) (int64, error) {
	for {
		epoch, err := s.tryRaiseEpoch(ctx, s.epochKey())
		if err == nil {
			return epoch, nil
		}
		if !s.elector.Held() {
			return 0, fmt.Errorf("raise epoch: %w", err)
		}
		if err := pauser.Pause(ctx, retryDelay); err != nil {
			return 0, err
		}
	}
}

func (s *Scheduler) epochKey() string { return fmt.Sprintf("cells/%s/epoch", s.config.Cell) }

// tryRaiseEpoch makes one attempt. A write whose answer was lost may have succeeded; the next
// attempt then raises the epoch further, which is equally valid.
func (s *Scheduler) tryRaiseEpoch(ctx context.Context, key string) (int64, error) {
	var last int64
	record, err := s.config.Store.GetRecord(ctx, key)
	switch {
	case keeper.IsErrKeyNotExist(err):
	case err != nil:
		return 0, err
	default:
		last = s.decodeEpoch(record)
	}
	value, err := json.Marshal(last + 1)
	if err != nil {
		return 0, fmt.Errorf("encode epoch: %w", err)
	}
	_, err = s.config.Store.CompareAndSwap(ctx, keeper.SwapOptions{Key: key, Value: value, ExpectRevision: record.Revision})
	return last + 1, err
}

// maxEpoch leaves room for the numbers of runs, which are above epoch times runsPerEpoch.
const maxEpoch = 1 << 40

// decodeEpoch returns the epoch of its record. If that is unreadable, or is an epoch that no owner can
// have had, it returns the revision of the record: no epoch is above that of its record.
func (s *Scheduler) decodeEpoch(record keeper.Record) int64 {
	epoch, err := decoder.Decode[int64](record.Value)
	if err == nil && epoch >= 1 && epoch <= maxEpoch {
		return epoch
	}
	if err == nil {
		err = fmt.Errorf("epoch %d is out of range", epoch)
	}
	s.reportUnreadable(record.Key, err, reporter.Fields{"epoch": record.Revision})
	return record.Revision
}

// HoldsCell reports whether this process certainly holds the ownership now, also while it takes over.
func (s *Scheduler) HoldsCell() bool { return s.elector.Held() }

// Entries returns the entries with recent contact to this process as the owner.
func (s *Scheduler) Entries() []messenger.PeerAddress { return s.peers.choose(s.config.EntryID) }

// Handle serves a call of an agent or an entry.
func (s *Scheduler) Handle(ctx context.Context, c *connector.Conn, method string, params json.RawMessage) (any, error) {
	if method == messenger.MethodWorkOwner {
		return s.ownerInfo(), nil
	}
	o := s.owner.Load()
	if o == nil || !o.holdsCell() {
		return nil, connector.Errorf(messenger.CodeNotOwner, "entry %s does not own cell %s", s.config.EntryID, s.config.Cell)
	}
	switch method {
	case messenger.MethodWorkReport:
		return serveCall(params, func(r messenger.WorkReport) (messenger.WorkReply, error) { return o.report(ctx, c, r) })
	case messenger.MethodWorkHint:
		return serveCall(params, func(h messenger.WorkHint) (messenger.WorkHintReply, error) {
			return messenger.WorkHintReply{Admission: o.load.admission.update(h.Admission, s.config.Now())}, o.hint(ctx, h)
		})
	case messenger.MethodWorkStore:
		return serveCall(params, func(q messenger.WorkStoreRequest) (messenger.WorkStoreReply, error) {
			return s.config.StoreForEntry(ctx, q), nil
		})
	case messenger.MethodWorkPolicy:
		return serveCall(params, s.policyRecords)
	case messenger.MethodWorkState:
		return serveCall(params, func(r messenger.WorkStateRequest) (messenger.WorkStateReply, error) { return o.jobState(ctx, r) })
	case messenger.MethodWorkDoubt:
		return serveCall(params, func(r messenger.WorkStateRequest) (messenger.Empty, error) { return o.addDoubt(ctx, r) })
	case messenger.MethodWorkPending:
		return serveCall(params, func(r messenger.WorkPendingRequest) (messenger.WorkPendingReply, error) { return o.pending(ctx, r) })
	case messenger.MethodWorkExplain:
		return serveCall(params, func(r messenger.WorkStateRequest) (messenger.WorkExplainReply, error) { return o.explain(ctx, r) })
	case messenger.MethodWorkExplainQueue:
		return serveCall(params, func(r messenger.WorkQueueRequest) (messenger.WorkQueueReply, error) { return o.explainQueue(ctx, r) })
	case messenger.MethodWorkExplainAccount:
		return serveCall(params, func(r messenger.WorkAccountRequest) (messenger.WorkAccountReply, error) {
			return o.explainAccount(ctx, r)
		})
	case messenger.MethodWorkHello:
		return serveCall(params, func(h messenger.WorkHello) (messenger.WorkOwner, error) {
			s.peers.addHello(h)
			w := s.ownerInfo()
			w.Entries = s.peers.choose(h.EntryID)
			w.Admission = o.load.admission.update(h.Admission, s.config.Now())
			return w, nil
		})
	}
	return nil, connector.Errorf(messenger.CodeBadRequest, "unknown method %s", method)
}

func (s *Scheduler) policyRecords(q messenger.WorkPolicyRequest) (messenger.WorkPolicyReply, error) {
	if s.config.PolicyRecords == nil {
		return messenger.WorkPolicyReply{}, connector.Errorf(messenger.CodeBadRequest, "entry %s passes on no records of the operators", s.config.EntryID)
	}
	return s.config.PolicyRecords(q), nil
}

func serveCall[Q, A any](params json.RawMessage, do func(Q) (A, error)) (any, error) {
	q, err := connector.Decode[Q](params)
	if err != nil {
		return nil, err
	}
	a, err := do(q)
	if err != nil {
		return nil, err
	}
	return a, nil
}

func (s *Scheduler) ownerInfo() messenger.WorkOwner {
	w := messenger.WorkOwner{}
	if known, ok := s.elector.LastSeenOwner(); ok {
		w.Owner = known
	}
	return w
}
