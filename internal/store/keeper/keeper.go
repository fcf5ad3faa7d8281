// Package keeper is the client of the platform's key-value service. Every method is
// one call to the service, which counts calls against a limit; a waiting watch is
// also a call.
package keeper

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// MaxValueBytes is the maximum size of a value in the service.
const MaxValueBytes = 1 << 20

// Record is a key with its value.
type Record struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"` // revision of the service at the last write of the key; increases with each write
	Lease    int64  `json:"lease,omitempty"`
}

// ErrKeyNotExist is returned for a key without a record.
type ErrKeyNotExist struct{ Key string }

func (e ErrKeyNotExist) Error() string { return fmt.Sprintf("key %s does not exist", e.Key) }

// IsErrKeyNotExist reports whether err is, or wraps, an ErrKeyNotExist.
func IsErrKeyNotExist(err error) bool { return isError[ErrKeyNotExist](err) }

// ErrConflict is returned when the record is not at the expected revision.
type ErrConflict struct {
	Key     string
	Current Record // Revision 0: the key does not exist
	// Records are the current records of all expectations, if the service returns
	// them.
	Records []Record
}

func (e ErrConflict) Error() string {
	return fmt.Sprintf("key %s is at revision %d, not at the expected one", e.Key, e.Current.Revision)
}

// IsErrConflict reports whether err is, or wraps, an ErrConflict.
func IsErrConflict(err error) bool { return isError[ErrConflict](err) }

// ErrLeaseNotExist is returned for a lease that has expired or was revoked.
type ErrLeaseNotExist struct{ Lease int64 }

func (e ErrLeaseNotExist) Error() string { return fmt.Sprintf("lease %d does not exist", e.Lease) }

// IsErrLeaseNotExist reports whether err is, or wraps, an ErrLeaseNotExist.
func IsErrLeaseNotExist(err error) bool { return isError[ErrLeaseNotExist](err) }

// ErrUnavailable is returned when the service refused the call or could not be
// reached before the call was sent. The call had no effect.
type ErrUnavailable struct{ Cause error }

func (e ErrUnavailable) Error() string { return fmt.Sprintf("store unavailable: %v", e.Cause) }
func (e ErrUnavailable) Unwrap() error { return e.Cause }

// IsErrUnavailable reports whether err is, or wraps, an ErrUnavailable.
func IsErrUnavailable(err error) bool { return isError[ErrUnavailable](err) }

// ErrOutcomeUnknown is returned when a write was sent and not answered. It may or
// may not have taken effect, or may still take effect later.
type ErrOutcomeUnknown struct{ Cause error }

func (e ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("store answer lost, outcome unknown: %v", e.Cause)
}
func (e ErrOutcomeUnknown) Unwrap() error { return e.Cause }

// IsErrOutcomeUnknown reports whether err is, or wraps, an ErrOutcomeUnknown.
func IsErrOutcomeUnknown(err error) bool { return isError[ErrOutcomeUnknown](err) }

// Config holds the settings of a Keeper.
type Config struct {
	URL         string        // of the service, http://host:port
	CallTimeout time.Duration // how long a call may make no progress; watches and large writes get additional time; default 1 s
	HTTP        *http.Client  // nil: a new client
	// CountCall, if set, is called with the kind of every call, such as KindGet.
	CountCall func(kind string)
}

// Keeper is a client of the service, safe for concurrent use.
type Keeper struct {
	config Config
	client *http.Client
}

// SwapOptions describes a compare-and-swap.
type SwapOptions struct {
	Key            string
	Value          []byte
	ExpectRevision int64 // 0: the key must not exist
	Lease          int64 // 0: none; otherwise the record is deleted when the lease ends
}

// WatchOptions describes a waiting watch.
type WatchOptions struct {
	Prefix string
	After  int64         // return changes with a revision above this
	Wait   time.Duration // how long the service may delay the answer
}

// WatchResult is the result of a watch. Revision is that of the service when it
// answered; the next watch continues after it.
type WatchResult struct {
	Changes  []Change
	Revision int64
}

// Change is the write or deletion of a record.
type Change struct {
	Record  Record `json:"record"`
	Deleted bool   `json:"deleted,omitempty"`
}

// ListOptions selects records by prefix; they are sorted by key.
type ListOptions struct {
	Prefix string
	After  string // only keys after this one
	Limit  int    // 0: as many as the service returns in one answer
}

// ListResult contains the records found and the revision of the service at that time.
type ListResult struct {
	Records  []Record
	Revision int64
	More     bool
}

// Lease is a granted lease.
type Lease struct {
	ID  int64
	TTL time.Duration
}

// New returns a client of the service at c.URL.
func New(c Config) *Keeper {
	if c.CallTimeout <= 0 {
		c.CallTimeout = time.Second
	}
	client := c.HTTP
	if client == nil {
		client = &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: 16},
			// Following a redirect would send a write a second time.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	return &Keeper{config: c, client: client}
}

// GetRecord reads one record.
func (k *Keeper) GetRecord(ctx context.Context, key string) (Record, error) {
	var a RecordAnswer
	err := k.call(ctx, callOptions{kind: KindGet, key: key, body: KeyCall{Key: key}, answer: &a})
	return a.Record, err
}

// FindRecords lists records.
func (k *Keeper) FindRecords(ctx context.Context, o ListOptions) (ListResult, error) {
	var a ListAnswer
	err := k.call(ctx, callOptions{kind: KindList, body: ListCall(o), answer: &a})
	return ListResult(a), err
}

// CompareAndSwap writes a record if it is at the expected revision, and returns
// its new revision.
func (k *Keeper) CompareAndSwap(ctx context.Context, o SwapOptions) (int64, error) {
	var a RevisionAnswer
	err := k.call(ctx, callOptions{kind: KindSwap, write: true, key: o.Key, lease: o.Lease, body: SwapCall(o), answer: &a})
	if err == nil && a.Revision == 0 {
		return 0, ErrOutcomeUnknown{fmt.Errorf("answer to swap of key %s has no revision", o.Key)}
	}
	return a.Revision, err
}

// DeleteRecord deletes a record if it is at the expected revision.
func (k *Keeper) DeleteRecord(ctx context.Context, key string, expectRevision int64) error {
	body := DeleteCall{Key: key, ExpectRevision: expectRevision}
	return k.call(ctx, callOptions{kind: KindDelete, write: true, key: key, body: body})
}

// GrantLease returns a new lease.
func (k *Keeper) GrantLease(ctx context.Context, ttl time.Duration) (Lease, error) {
	var a LeaseCall
	body := LeaseCall{TTLMillis: ttl.Milliseconds()}
	err := k.call(ctx, callOptions{kind: KindGrant, write: true, body: body, answer: &a})
	if err == nil && a.Lease == 0 {
		return Lease{}, ErrOutcomeUnknown{fmt.Errorf("answer to grant has no lease")}
	}
	return Lease{ID: a.Lease, TTL: time.Duration(a.TTLMillis) * time.Millisecond}, err
}

// KeepAlive renews a lease for its full time.
func (k *Keeper) KeepAlive(ctx context.Context, lease int64) error {
	return k.call(ctx, callOptions{kind: KindKeepAlive, write: true, lease: lease, body: LeaseCall{Lease: lease}})
}

// RevokeLease ends a lease and deletes its records.
func (k *Keeper) RevokeLease(ctx context.Context, lease int64) error {
	return k.call(ctx, callOptions{kind: KindRevoke, write: true, lease: lease, body: LeaseCall{Lease: lease}})
}

// Watch waits for changes under a prefix. The result is empty if there were none
// in time. Of several changes to one key, only the latest is returned.
func (k *Keeper) Watch(ctx context.Context, o WatchOptions) (WatchResult, error) {
	var a WatchAnswer
	body := WatchCall{Prefix: o.Prefix, After: o.After, WaitMillis: o.Wait.Milliseconds()}
	err := k.call(ctx, callOptions{kind: KindWatch, body: body, answer: &a, wait: o.Wait, after: o.After})
	return WatchResult(a), err
}
