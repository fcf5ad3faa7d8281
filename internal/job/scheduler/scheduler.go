// Package scheduler is the owner of a cell's jobs: it competes for the ownership,
// takes over what the store and the agents know, and then gives orders until it
// loses the cell. The store keeps accepted jobs, cancellations and ends; what runs
// is known to the agents, which tell each new owner.
package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"bamboospread/internal/control/elector"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/pauser"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// Keys in the store.
const (
	// WorkPrefix begins the keys that entries write and the owner follows.
	WorkPrefix     = "work/"
	jobPrefix      = WorkPrefix + "jobs/"
	cancelPrefix   = WorkPrefix + "cancels/"
	progressPrefix = "progress/"
)

// JobKey is the key of an accepted job.
func JobKey(id string) string { return jobPrefix + id }

// CancelKey is the key that says that a job was cancelled.
func CancelKey(id string) string { return cancelPrefix + id }

// ProgressKey is the key of a job's progress, an accountant.Record.
func ProgressKey(id string) string { return progressPrefix + id }

// Lengths that owner and agents share.
const (
	// DefaultGrant is how long an agent may let its runs go on without hearing the
	// owner. It outlives a change of owner (some 2.5 s) and a restart of the agent's
	// process, and it is what a task on a VM that died has to wait.
	DefaultGrant = 5 * time.Second
	// DefaultLease is the store lease of the owner.
	DefaultLease = 2 * time.Second
	// grantSlack covers a worker's clock that is 2% slow and the time that an
	// answer takes from the owner to the agent.
	grantSlack = 300 * time.Millisecond
	retryPause = 100 * time.Millisecond
)

// Config holds the settings of a Scheduler.
type Config struct {
	Cell    string
	EntryID string
	Address string // JSON-RPC, told to others
	Store   keeper.Calls
	Lease   time.Duration // 0: DefaultLease
	Grant   time.Duration // 0: DefaultGrant
	// Patience is how long a vacant cell is left to other entries.
	Patience time.Duration
	Policy   func() *specifier.Policy
	// PolicyAge is how long ago the policy was surely the newest; nil if it always is.
	PolicyAge func() time.Duration
	// Advise asks which workers may run a step and returns a ticket for each that
	// may; nil if no service advises.
	Advise func(ctx context.Context, step string, workers []string) (map[string]string, error)
	// StoreFor stores a record for an entry that does not reach the store.
	StoreFor func(ctx context.Context, q messenger.WorkStoreRequest) messenger.WorkStoreReply
	Now      func() time.Time // counts suspensions, does not jump
	Reporter *reporter.Reporter
	Meters   *Meters
}

// Scheduler is one process's part in owning a cell. It is safe for concurrent use.
type Scheduler struct {
	config  Config
	elector *elector.Elector
	owner   atomic.Pointer[owner] // while this process owns the cell
	peers   *peers
}

// New returns a Scheduler; Run makes it compete.
func New(c Config) *Scheduler {
	if c.Grant <= 0 {
		c.Grant = DefaultGrant
	}
	if c.Lease <= 0 {
		c.Lease = DefaultLease
	}
	if c.PolicyAge == nil {
		c.PolicyAge = func() time.Duration { return 0 }
	}
	e := elector.New(elector.Config{
		Cell: c.Cell, EntryID: c.EntryID, Address: c.Address, Lease: c.Lease, Now: c.Now, ReplaceOwn: true, Patience: c.Patience,
		FindRecords: c.Store.FindRecords, GetRecord: c.Store.GetRecord, CompareAndSwap: c.Store.CompareAndSwap, GrantLease: c.Store.GrantLease,
		KeepAlive: c.Store.KeepAlive, RevokeLease: c.Store.RevokeLease, Watch: c.Store.Watch,
	})
	return &Scheduler{config: c, elector: e, peers: newPeers(c.Now)}
}

// Owner returns the owner of the cell as far as this process knows.
func (s *Scheduler) Owner() (messenger.CellOwner, bool) { return s.elector.Known() }

// Owns tells whether this process owns the cell now.
func (s *Scheduler) Owns() bool { return s.owner.Load() != nil }

// Run competes for the cell and owns it by turns until ctx ends.
func (s *Scheduler) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.elector.Acquire(ctx); err != nil {
			return err
		}
		err := s.own(ctx)
		if ctx.Err() == nil {
			s.config.Reporter.Report(reporter.CellLost, reporter.Fields{"error": fmt.Sprint(err)})
			_ = pauser.Pause(ctx, retryPause)
		}
	}
	return ctx.Err()
}

// own takes the cell over and works until the ownership ends.
func (s *Scheduler) own(ctx context.Context) error {
	defer s.release(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	kept := make(chan error, 1)
	go func() { kept <- s.elector.Keep(ctx) }()
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
	o.writer.fence = s.elector.Fence()
	s.owner.Store(o)
	s.config.Reporter.Report(reporter.CellTaken, reporter.Fields{"epoch": epoch, "jobs": len(o.state.Jobs)})
	ran := make(chan error, 1)
	go func() { ran <- o.run(ctx) }()
	select {
	case err = <-kept:
		cancel()
		<-ran
	case err = <-ran:
		cancel()
		<-kept
	}
	return err
}

const releaseLimit = 500 * time.Millisecond

// release gives the ownership up, so that a planned stop costs the others no wait.
func (s *Scheduler) release(ctx context.Context) {
	s.owner.Store(nil)
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseLimit)
	defer cancel()
	if err := s.elector.Release(limit); err != nil && !keeper.IsErrLeaseNotExist(err) {
		s.config.Reporter.Report(reporter.HandOverNotDone, reporter.Fields{"error": err.Error()})
	}
}

// raiseEpoch gives this ownership a number above all before it. Workers refuse
// orders with a lower number than they have seen, which makes an owner that was
// replaced and does not know it harmless.
func (s *Scheduler) raiseEpoch(ctx context.Context) (int64, error) {
	key := fmt.Sprintf("cells/%s/epoch", s.config.Cell)
	for {
		epoch, err := s.tryEpoch(ctx, key)
		if err == nil {
			return epoch, nil
		}
		if !s.elector.Held() {
			return 0, fmt.Errorf("raise epoch: %w", err)
		}
		if err := pauser.Pause(ctx, retryPause); err != nil {
			return 0, err
		}
	}
}

// tryEpoch makes one attempt. A write whose answer was lost may have counted; the
// next attempt then takes a number above it, which is as good.
func (s *Scheduler) tryEpoch(ctx context.Context, key string) (int64, error) {
	var last int64
	record, err := s.config.Store.GetRecord(ctx, key)
	switch {
	case keeper.IsErrKeyNotExist(err):
	case err != nil:
		return 0, err
	default:
		if err := json.Unmarshal(record.Value, &last); err != nil {
			return 0, fmt.Errorf("decode epoch: %w", err)
		}
	}
	value, err := json.Marshal(last + 1)
	if err != nil {
		return 0, fmt.Errorf("encode epoch: %w", err)
	}
	_, err = s.config.Store.CompareAndSwap(ctx, keeper.SwapOptions{Key: key, Value: value, ExpectRevision: record.Revision})
	return last + 1, err
}

// Handle answers a call of an agent or an entry.
func (s *Scheduler) Handle(ctx context.Context, c *connector.Conn, method string, params json.RawMessage) (any, error) {
	if method == messenger.MethodWorkOwner {
		return s.whoOwns(), nil
	}
	o := s.owner.Load()
	if o == nil || !s.elector.Held() {
		return nil, connector.Errorf(messenger.CodeNotOwner, "entry %s does not own cell %s", s.config.EntryID, s.config.Cell)
	}
	switch method {
	case messenger.MethodWorkReport:
		return answer(params, func(r messenger.WorkReport) (messenger.WorkReply, error) { return o.report(ctx, c, r) })
	case messenger.MethodWorkHint:
		return answer(params, func(h messenger.WorkHint) (messenger.Empty, error) { return messenger.Empty{}, o.hint(ctx, h) })
	case messenger.MethodWorkStore:
		return answer(params, func(q messenger.WorkStoreRequest) (messenger.WorkStoreReply, error) {
			return s.config.StoreFor(ctx, q), nil
		})
	case messenger.MethodWorkState:
		return answer(params, func(r messenger.WorkStateRequest) (messenger.WorkStateReply, error) { return o.jobState(ctx, r) })
	case messenger.MethodWorkPending:
		return answer(params, func(r messenger.WorkPendingRequest) (messenger.WorkPendingReply, error) { return o.pending(ctx, r) })
	case messenger.MethodWorkExplain:
		return answer(params, func(r messenger.WorkStateRequest) (messenger.WorkExplainReply, error) { return o.explain(ctx, r) })
	case messenger.MethodWorkHello:
		return answer(params, func(p messenger.PeerAddress) (messenger.WorkOwner, error) {
			s.peers.add(p)
			return s.whoOwns(), nil
		})
	}
	return nil, connector.Errorf(messenger.CodeBadRequest, "unknown method %s", method)
}

func answer[Q, A any](params json.RawMessage, do func(Q) (A, error)) (any, error) {
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

func (s *Scheduler) whoOwns() messenger.WorkOwner {
	w := messenger.WorkOwner{Entries: s.peers.list()}
	if known, ok := s.elector.Known(); ok {
		w.Owner = known
	}
	return w
}
