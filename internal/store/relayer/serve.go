package relayer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// Request asks an entry to make a store call.
type Request struct {
	Kind       string          `json:"kind"` // a kind of package keeper
	Body       json.RawMessage `json:"body"` // as package keeper sends it
	WaitMillis int64           `json:"wait-ms,omitempty"`
}

// writes reports whether the call changes the store.
func (q Request) writes() bool {
	return q.Kind == keeper.KindTransact || q.Kind == keeper.KindKeepAlive || q.Kind == keeper.KindRevoke
}

// Reply answers a Request.
type Reply struct {
	Answer  json.RawMessage `json:"answer,omitempty"`  // as package keeper receives it
	Failure *Failure        `json:"failure,omitempty"` // nil: the call has succeeded
}

// Kinds of failures, which are the errors of package keeper.
const (
	failureUnavailable = "unavailable"
	failureUnknown     = "unknown" // outcome
	failureNoKey       = "no-key"
	failureConflict    = "conflict"
	failureNoLease     = "no-lease"
	failureNoHistory   = "no-history"
	failureOther       = "other"
)

// Failure is an error of a store call.
type Failure struct {
	Kind     string              `json:"kind"`
	Text     string              `json:"text"`
	Key      string              `json:"key,omitempty"`
	Lease    int64               `json:"lease,omitempty"`
	After    int64               `json:"after,omitempty"`
	Conflict *keeper.ErrConflict `json:"conflict,omitempty"`
}

func newFailure(err error) *Failure {
	f := &Failure{Kind: failureOther, Text: err.Error()}
	var key keeper.ErrKeyNotExist
	var conflict keeper.ErrConflict
	var lease keeper.ErrLeaseNotExist
	var history keeper.ErrHistoryNotExist
	switch {
	case errors.As(err, &key):
		f.Kind, f.Key = failureNoKey, key.Key
	case errors.As(err, &conflict):
		f.Kind, f.Conflict = failureConflict, &conflict
	case errors.As(err, &lease):
		f.Kind, f.Lease = failureNoLease, lease.Lease
	case errors.As(err, &history):
		f.Kind, f.After = failureNoHistory, history.After
	case keeper.IsErrUnavailable(err):
		f.Kind = failureUnavailable
	case keeper.IsErrOutcomeUnknown(err):
		f.Kind = failureUnknown
	}
	return f
}

func (f *Failure) err() error {
	cause := errors.New(f.Text)
	switch f.Kind {
	case failureUnavailable:
		return keeper.ErrUnavailable{Cause: cause}
	case failureUnknown:
		return keeper.ErrOutcomeUnknown{Cause: cause}
	case failureNoKey:
		return keeper.ErrKeyNotExist{Key: f.Key}
	case failureNoLease:
		return keeper.ErrLeaseNotExist{Lease: f.Lease}
	case failureNoHistory:
		return keeper.ErrHistoryNotExist{After: f.After}
	case failureConflict:
		if f.Conflict != nil {
			return *f.Conflict
		}
	}
	return cause
}

// Serve makes the store call that another entry asks for.
func Serve(ctx context.Context, calls keeper.Calls, params json.RawMessage) (Reply, error) {
	q, err := connector.Decode[Request](params)
	if err != nil {
		return Reply{}, err
	}
	answer, err := serve(ctx, calls, q)
	if connector.CodeOf(err) != 0 {
		return Reply{}, err
	}
	if err != nil {
		return Reply{Failure: newFailure(err)}, nil
	}
	raw, err := json.Marshal(answer)
	if err != nil {
		return Reply{}, fmt.Errorf("encode answer to %s: %w", q.Kind, err)
	}
	return Reply{Answer: raw}, nil
}

func serve(ctx context.Context, calls keeper.Calls, q Request) (any, error) {
	switch q.Kind {
	case keeper.KindGet:
		return serveCall(q, func(c keeper.KeyCall) (any, error) {
			record, err := calls.GetRecord(ctx, c.Key)
			return keeper.RecordAnswer{Record: record}, err
		})
	case keeper.KindList:
		return serveCall(q, func(c keeper.ListCall) (any, error) {
			found, err := calls.FindRecords(ctx, keeper.ListOptions{Prefix: c.Prefix, After: c.After, Limit: c.Limit})
			return keeper.ListAnswer(found), err
		})
	case keeper.KindTransact:
		return serveCall(q, func(t keeper.Transaction) (any, error) {
			revision, err := calls.Transact(ctx, t)
			return keeper.RevisionAnswer{Revision: revision}, err
		})
	case keeper.KindKeepAlive:
		return serveCall(q, func(c keeper.LeaseCall) (any, error) { return messenger.Empty{}, calls.KeepAlive(ctx, c.Lease) })
	case keeper.KindRevoke:
		return serveCall(q, func(c keeper.LeaseCall) (any, error) { return messenger.Empty{}, calls.RevokeLease(ctx, c.Lease) })
	case keeper.KindWatch:
		return serveCall(q, func(c keeper.WatchCall) (any, error) {
			seen, err := calls.Watch(ctx, keeper.WatchOptions{Prefix: c.Prefix, After: c.After, Wait: time.Duration(c.WaitMillis) * time.Millisecond})
			return keeper.WatchAnswer(seen), err
		})
	}
	return nil, connector.Errorf(messenger.CodeBadRequest, "unknown store call %q", q.Kind)
}

func serveCall[Q any](q Request, do func(Q) (any, error)) (any, error) {
	body, err := connector.Decode[Q](q.Body)
	if err != nil {
		return nil, err
	}
	return do(body)
}
