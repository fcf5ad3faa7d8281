package keeper

import (
	"context"
	"fmt"
	"time"
)

// MaxTransactionEntries bounds the expectations, puts and removals of one
// transaction together; the service refuses more.
const MaxTransactionEntries = 32

// Transaction changes several records at once, or none of them.
type Transaction struct {
	Expect  []Expectation `json:"expect,omitempty"`
	Puts    []Put         `json:"puts,omitempty"`
	Removes []string      `json:"removes,omitempty"`
}

// Expectation is the revision that a record must have; 0: it must not exist.
type Expectation struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

// Put writes a record, whatever stands under its key unless an expectation of
// the same transaction names it.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,omitempty"`
}

// ErrHistoryNotExist is returned by a watch from a revision that the service has
// dropped: the records have to be listed anew.
type ErrHistoryNotExist struct{ After int64 }

func (e ErrHistoryNotExist) Error() string {
	return fmt.Sprintf("history after revision %d does not exist any more", e.After)
}

// IsErrHistoryNotExist tells whether err is, or wraps, an ErrHistoryNotExist.
func IsErrHistoryNotExist(err error) bool { return asError[ErrHistoryNotExist](err) }

// Calls are the calls of a store as function fields, so that what uses a store
// does not know which protocol it speaks. Their errors are those of this package.
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

// CompareAndSwap writes one record by a transaction and returns its revision.
func (c Calls) CompareAndSwap(ctx context.Context, o SwapOptions) (int64, error) {
	return c.Transact(ctx, Transaction{
		Expect: []Expectation{{Key: o.Key, Revision: o.ExpectRevision}},
		Puts:   []Put{{Key: o.Key, Value: o.Value, Lease: o.Lease}},
	})
}

// Transact applies a transaction and returns the revision that it made. An
// ErrConflict names the first record that is not as expected.
func (k *Keeper) Transact(ctx context.Context, t Transaction) (int64, error) {
	var a RevisionAnswer
	o := callOptions{kind: KindTransact, write: true, body: t, answer: &a}
	if len(t.Puts) > 0 {
		o.key, o.lease = t.Puts[0].Key, t.Puts[0].Lease
	}
	err := k.call(ctx, o)
	if err == nil && a.Revision == 0 {
		return 0, ErrOutcomeUnknown{fmt.Errorf("answer without a revision")}
	}
	return a.Revision, err
}
