// Package relayer carries out the store calls of an owner by way of another entry while the store
// refuses the owner's VM. The lease, the fences and the records of the owner stay valid, so the cell
// needs no other owner: only the path of its calls changes.
package relayer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

const (
	// probeInterval is the time between direct calls while calls are relayed.
	probeInterval = 500 * time.Millisecond
	// firstProbe is the time until a read that is relayed is first made directly again: one that failed
	// does not show that the store refuses this VM.
	firstProbe = 100 * time.Millisecond
	// dialTimeout is long compared with the round trip to the farthest entry, about 30 ms.
	dialTimeout = 200 * time.Millisecond
	// answerTime is how long an entry may take beyond the wait of a call until its answer begins to
	// arrive. The store's own limit is below it, so that a call that is not carried out in time is
	// answered as such.
	answerTime = time.Second
	// listTime is how much longer an entry may take to read a page of a list before its answer begins.
	listTime = 4 * time.Second
	// maxEntriesPerCall is how many entries a call tries.
	maxEntriesPerCall = 3
)

// Config holds the settings of a Relayer.
type Config struct {
	Calls       keeper.Calls // direct calls
	Unreachable func() bool  // the latest direct calls all failed
	// Active reports whether calls may be relayed: the process owns the cell.
	Active   func() bool
	Entries  func() []messenger.PeerAddress // with recent contact
	Now      func() time.Time
	Reporter *reporter.Reporter
	Count    func(call string) // is called with the kind of each relayed call; may be nil
}

// Relayer makes the store calls of one process. It is safe for concurrent use.
type Relayer struct {
	config   Config
	mu       sync.Mutex
	entry    messenger.PeerAddress
	conn     *connector.Conn // to entry; nil: none
	probedAt time.Time
	relaying bool
}

// New returns a Relayer.
func New(c Config) *Relayer { return &Relayer{config: c} }

// Calls returns calls that are made directly if possible, otherwise by way of another entry.
func (r *Relayer) Calls() keeper.Calls {
	d := r.config.Calls
	return keeper.Calls{
		GetRecord: func(ctx context.Context, key string) (keeper.Record, error) {
			a, err := relayRead(ctx, r, keeper.KindGet, keeper.KeyCall{Key: key}, 0, func(ctx context.Context, _ time.Duration) (keeper.RecordAnswer, error) {
				record, err := d.GetRecord(ctx, key)
				return keeper.RecordAnswer{Record: record}, err
			})
			return a.Record, err
		},
		FindRecords: func(ctx context.Context, o keeper.ListOptions) (keeper.ListResult, error) {
			a, err := relayRead(ctx, r, keeper.KindList, keeper.ListCall(o), listTime, func(ctx context.Context, _ time.Duration) (keeper.ListAnswer, error) {
				found, err := d.FindRecords(ctx, o)
				return keeper.ListAnswer(found), err
			})
			return keeper.ListResult(a), err
		},
		Transact: func(ctx context.Context, t keeper.Transaction) (int64, error) {
			a, err := relay(ctx, r, keeper.KindTransact, t, 0, func() (keeper.RevisionAnswer, error) {
				revision, err := d.Transact(ctx, t)
				return keeper.RevisionAnswer{Revision: revision}, err
			})
			return a.Revision, err
		},
		GrantLease: d.GrantLease, // an owner has its lease
		KeepAlive: func(ctx context.Context, lease int64) error {
			_, err := relay(ctx, r, keeper.KindKeepAlive, keeper.LeaseCall{Lease: lease}, 0, func() (messenger.Empty, error) {
				return messenger.Empty{}, d.KeepAlive(ctx, lease)
			})
			return err
		},
		RevokeLease: func(ctx context.Context, lease int64) error {
			_, err := relay(ctx, r, keeper.KindRevoke, keeper.LeaseCall{Lease: lease}, 0, func() (messenger.Empty, error) {
				return messenger.Empty{}, d.RevokeLease(ctx, lease)
			})
			return err
		},
		Watch: func(ctx context.Context, o keeper.WatchOptions) (keeper.WatchResult, error) {
			a, err := relayRead(ctx, r, keeper.KindWatch, keeper.WatchCall{Prefix: o.Prefix, After: o.After, WaitMillis: o.Wait.Milliseconds()}, o.Wait, func(ctx context.Context, wait time.Duration) (keeper.WatchAnswer, error) {
				seen, err := d.Watch(ctx, keeper.WatchOptions{Prefix: o.Prefix, After: o.After, Wait: wait})
				return keeper.WatchAnswer(seen), err
			})
			return keeper.WatchResult(a), err
		},
	}
}

// relay makes a call directly, and by way of another entry if the store has certainly not carried it
// out.
func relay[Q, A any](ctx context.Context, r *Relayer, kind string, body Q, wait time.Duration, direct func() (A, error)) (A, error) {
	if a, final, err := callDirectly(ctx, r, kind, direct); final {
		return a, err
	}
	return callEntries[Q, A](ctx, r, kind, body, wait)
}

// callDirectly makes a call directly, unless the store refuses this process, and reports whether that is its
// result.
func callDirectly[A any](ctx context.Context, r *Relayer, kind string, direct func() (A, error)) (a A, final bool, err error) {
	if r.config.Active() && r.config.Unreachable() && !r.probes(kind) {
		return a, false, nil
	}
	a, err = direct()
	if err == nil {
		r.recordDirect()
	}
	return a, !keeper.IsErrUnavailable(err) || !r.config.Active() || ctx.Err() != nil, err
}

// relayRead makes a read as relay does. While other entries are asked, the store is tried directly as
// well: an entry that stands still holds a call for seconds, and the reader would know nothing newer
// meanwhile although the store answers this process.
func relayRead[Q, A any](ctx context.Context, r *Relayer, kind string, body Q, wait time.Duration, direct func(ctx context.Context, wait time.Duration) (A, error)) (A, error) {
	if a, final, err := callDirectly(ctx, r, kind, func() (A, error) { return direct(ctx, wait) }); final {
		return a, err
	}
	type outcome struct {
		answer A
		err    error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	relayed, own := make(chan outcome, 1), make(chan outcome, 1)
	go func() {
		a, err := callEntries[Q, A](ctx, r, kind, body, wait)
		relayed <- outcome{a, err}
	}()
	next := time.NewTimer(firstProbe)
	defer next.Stop()
	for {
		select {
		case o := <-relayed:
			return o.answer, o.err
		case <-next.C:
			if r.config.Unreachable() && !r.probes(kind) {
				next.Reset(firstProbe)
				continue
			}
			go func() {
				a, err := direct(ctx, 0)
				own <- outcome{a, err}
			}()
		case o := <-own:
			if !keeper.IsErrUnavailable(o.err) {
				r.recordDirect()
				return o.answer, o.err
			}
			next.Reset(probeInterval)
		}
	}
}

// callEntries makes a call by way of other entries and decodes its answer.
func callEntries[Q, A any](ctx context.Context, r *Relayer, kind string, body Q, wait time.Duration) (A, error) {
	var a A
	raw, err := json.Marshal(body)
	if err != nil {
		return a, fmt.Errorf("encode call %s: %w", kind, err)
	}
	answer, err := r.callEntries(ctx, Request{Kind: kind, Body: raw, WaitMillis: wait.Milliseconds()})
	if err != nil {
		return a, err
	}
	if err := json.Unmarshal(answer, &a); err != nil {
		return a, keeper.ErrOutcomeUnknown{Cause: fmt.Errorf("decode answer to %s: %w", kind, err)}
	}
	return a, nil
}

// probes reports whether a call should try the store although it was unreachable. Only watches do:
// others are needed in time.
func (r *Relayer) probes(kind string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	if kind != keeper.KindWatch || now.Sub(r.probedAt) < probeInterval {
		return false
	}
	r.probedAt = now
	return true
}

// recordDirect logs the end of relaying.
func (r *Relayer) recordDirect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.relaying {
		r.relaying = false
		r.config.Reporter.Report(reporter.StoreCallsRelayed, reporter.Fields{"relayed": false})
	}
}

// callEntries makes a call by way of an entry, and by way of others while none has carried it out.
func (r *Relayer) callEntries(ctx context.Context, q Request) (json.RawMessage, error) {
	if r.config.Count != nil {
		r.config.Count(q.Kind)
	}
	err := error(keeper.ErrUnavailable{Cause: errors.New("no entry reaches the store")})
	for range maxEntriesPerCall {
		conn, connErr := r.connect(ctx)
		if connErr != nil {
			err = keeper.ErrUnavailable{Cause: connErr}
			continue
		}
		var a Reply
		callErr := conn.CallWithin(ctx, answerTime+time.Duration(q.WaitMillis)*time.Millisecond, messenger.MethodStoreCall, q, &a)
		switch {
		case callErr != nil && ctx.Err() != nil && !q.writes():
			// The reader has its answer. Other calls may be under way on the connection.
			return nil, keeper.ErrUnavailable{Cause: callErr}
		case callErr == nil && a.Failure == nil:
			r.recordRelayed()
			return a.Answer, nil
		case callErr == nil && a.Failure.Kind != failureUnavailable:
			r.recordRelayed()
			return nil, a.Failure.err()
		case callErr == nil:
			err = a.Failure.err()
		case connector.CodeOf(callErr) == messenger.CodeBadRequest: // an earlier build, which does not know the method
			err = keeper.ErrUnavailable{Cause: callErr}
		case q.writes():
			r.drop(conn)
			return nil, keeper.ErrOutcomeUnknown{Cause: callErr}
		default:
			err = keeper.ErrUnavailable{Cause: callErr}
		}
		r.drop(conn)
	}
	return nil, err
}

// recordRelayed logs the beginning of relaying.
func (r *Relayer) recordRelayed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.relaying {
		r.relaying = true
		r.config.Reporter.Report(reporter.StoreCallsRelayed, reporter.Fields{"relayed": true, "entry": r.entry.EntryID})
	}
}

// connect returns the connection to the entry in use, or one to another entry, drawn at random.
func (r *Relayer) connect(ctx context.Context) (*connector.Conn, error) {
	r.mu.Lock()
	conn := r.conn
	r.mu.Unlock()
	if conn != nil {
		select {
		case <-conn.Done():
		default:
			return conn, nil
		}
	}
	entries := r.config.Entries()
	if len(entries) == 0 {
		return nil, errors.New("no other entry is known")
	}
	entry := entries[rand.IntN(len(entries))]
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialled, err := connector.Dial(dialCtx, entry.Address, rejectCall)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil && r.conn != conn {
		dialled.Close() // another call has connected meanwhile
		return r.conn, nil
	}
	r.conn, r.entry = dialled, entry
	return dialled, nil
}

// drop closes a connection, so that the next call goes to another entry.
func (r *Relayer) drop(conn *connector.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn == conn {
		r.conn = nil
	}
	conn.Close()
}

func rejectCall(_ context.Context, _ *connector.Conn, method string, _ json.RawMessage) (any, error) {
	return nil, connector.Errorf(messenger.CodeBadRequest, "unknown method %s", method)
}
