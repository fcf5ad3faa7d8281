package keeper

import (
	"context"
	"fmt"
	"time"
)

// MaxTransactionEntries is the maximum number of expectations, puts and removals in
// one transaction in total; the service refuses more.
const MaxTransactionEntries = 32

// Transaction changes several records atomically.
type Transaction struct {
	Expect  []Expectation `json:"expect,omitempty"`
	Puts    []Put         `json:"puts,omitempty"`
	Removes []string      `json:"removes,omitempty"`
}

// Expectation is the revision that a record must have; 0: the record must not exist.
type Expectation struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

// Put writes a record. It overwrites an existing one, unless the transaction has an
// expectation for the key that fails.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,omitempty"`
}

// ErrHistoryNotExist is returned by a watch after a revision that the service has
// discarded: the records have to be listed again.
type ErrHistoryNotExist struct{ After int64 }

func (e ErrHistoryNotExist) Error() string {
	return fmt.Sprintf("history after revision %d no longer exists", e.After)
}

// IsErrHistoryNotExist reports whether err is, or wraps, an ErrHistoryNotExist.
func IsErrHistoryNotExist(err error) bool { return isError[ErrHistoryNotExist](err) }

// Calls contains the calls of a store as functions, so that users of a store do not
// depend on its protocol. They return the errors of this package.
type Calls struct {
	GetRecord   func(ctx context.Context, key string) (Record, error)
	FindRecords func(ctx context.Context, o ListOptions) (ListResult, error)
	Transact    func(ctx context.Context, t Transaction) (revision int64, err error)
	GrantLease  func(ctx context.Context, ttl time.Duration) (Lease, error)
	KeepAlive   func(ctx context.Context, lease int64) error
	RevokeLease func(ctx context.Context, lease int64) error
	Watch       func(ctx context.Context, o WatchOptions) (WatchResult, error)
}

// Calls returns the calls of this client.
func (k *Keeper) Calls() Calls {
	return Calls{
		GetRecord: k.GetRecord, FindRecords: k.FindRecords, Transact: k.Transact, GrantLease: k.GrantLease,
		KeepAlive: k.KeepAlive, RevokeLease: k.RevokeLease, Watch: k.Watch,
	}
}

// CompareAndSwap writes one record in a transaction and returns its revision.
func (c Calls) CompareAndSwap(ctx context.Context, o SwapOptions) (int64, error) {
	return c.Transact(ctx, Transaction{
		Expect: []Expectation{{Key: o.Key, Revision: o.ExpectRevision}},
		Puts:   []Put{{Key: o.Key, Value: o.Value, Lease: o.Lease}},
	})
}

// Transact applies a transaction and returns the resulting revision. An ErrConflict
// contains the first record that is not as expected.
func (k *Keeper) Transact(ctx context.Context, t Transaction) (int64, error) {
	var a RevisionAnswer
	o := callOptions{kind: KindTransact, write: true, body: t, answer: &a}
	if len(t.Puts) > 0 {
		o.key, o.lease = t.Puts[0].Key, t.Puts[0].Lease
	}
	err := k.call(ctx, o)
	if err == nil && a.Revision == 0 {
		return 0, ErrOutcomeUnknown{fmt.Errorf("answer to transaction has no revision")}
	}
	return a.Revision, err
}
