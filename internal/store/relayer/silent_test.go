package relayer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/standin/piper"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/store/observer"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/limiter"
	"bamboospread/internal/wire/messenger"
)

// serveEntry serves relayed calls until the test ends.
func serveEntry(t *testing.T, handle connector.Handler) messenger.PeerAddress {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- connector.Serve(ctx, l, handle, nil) }()
	t.Cleanup(func() { cancel(); <-served })
	return messenger.PeerAddress{EntryID: "other", Address: l.Addr().String()}
}

// silentEntry returns a connection in memory to an entry that answers nothing. It lasts until the test ends.
func silentEntry(t *testing.T) *connector.Conn {
	t.Helper()
	ours, theirs := piper.New(), piper.New()
	ctx, cancel := context.WithCancel(t.Context())
	opened, served := make(chan *connector.Conn, 1), make(chan error, 2)
	limits := limiter.New(limiter.Config{})
	serve := func(l *piper.Listener, c connector.Config) {
		c.Limiter = limits
		go func() { served <- c.Serve(ctx, l) }()
	}
	serve(ours, connector.Config{Handle: rejectCall, Opened: func(c *connector.Conn) { opened <- c }})
	serve(theirs, connector.Config{Handle: func(ctx context.Context, _ *connector.Conn, _ string, _ json.RawMessage) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	t.Cleanup(func() { cancel(); <-served; <-served })
	if err := piper.Join(t.Context(), ours, theirs); err != nil {
		t.Fatal(err)
	}
	return <-opened
}

// Guards against an owner that starts and serves by an old configuration for seconds: one watch had
// failed and was made by way of an entry that stood still, while the store answered the owner.
func TestSilentEntryDelaysNoRead(t *testing.T) {
	const most = time.Second
	tests := []struct {
		name     string
		failures int64 // of direct reads, one after the other
	}{
		{"one read failed", 1},
		{"reads failed until the store counted as unreachable", 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var calls atomic.Int64
				fails := func() error {
					if calls.Add(1) <= tt.failures {
						return keeper.ErrUnavailable{Cause: errors.New("no answer")}
					}
					return nil
				}
				observed := observer.New(time.Now)
				direct := observed.Observe(keeper.Calls{
					GetRecord: func(context.Context, string) (keeper.Record, error) { return keeper.Record{Revision: 7}, fails() },
					FindRecords: func(context.Context, keeper.ListOptions) (keeper.ListResult, error) {
						return keeper.ListResult{Revision: 7}, fails()
					},
					Watch: func(context.Context, keeper.WatchOptions) (keeper.WatchResult, error) {
						if err := fails(); err != nil {
							return keeper.WatchResult{}, err
						}
						return keeper.WatchResult{Revision: 7}, nil
					},
				})
				r := New(Config{
					Calls: direct, Unreachable: observed.Unreachable, Active: func() bool { return true }, Now: time.Now, Reporter: reporter.Discard(),
					Entries: func() []messenger.PeerAddress { return nil },
				})
				r.conn = silentEntry(t)
				c := r.Calls()
				startedAt := time.Now()
				a, err := c.Watch(t.Context(), keeper.WatchOptions{Prefix: "op/", After: 5, Wait: 900 * time.Millisecond})
				if took := time.Since(startedAt); err != nil || a.Revision != 7 || took > most+time.Duration(tt.failures)*probeInterval {
					t.Errorf("watch: %+v, %v after %s", a, err, took)
				}
				if tt.failures > 1 {
					return
				}
				calls.Store(0)
				startedAt = time.Now()
				found, err := c.FindRecords(t.Context(), keeper.ListOptions{Prefix: "op/"})
				if took := time.Since(startedAt); err != nil || found.Revision != 7 || took > most {
					t.Errorf("list: %+v, %v after %s", found, err, took)
				}
				calls.Store(0)
				startedAt = time.Now()
				record, err := c.GetRecord(t.Context(), "op/config")
				if took := time.Since(startedAt); err != nil || record.Revision != 7 || took > most {
					t.Errorf("get: %+v, %v after %s", record, err, took)
				}
			})
		})
	}
}

// Guards against a relayed write whose outcome becomes unknown because a read on the same connection
// was answered by the store itself.
func TestReadAnsweredDirectlyBreaksNoRelayedWrite(t *testing.T) {
	began, finish := make(chan struct{}), make(chan struct{})
	entry := serveEntry(t, func(ctx context.Context, _ *connector.Conn, _ string, params json.RawMessage) (any, error) {
		var q Request
		if err := json.Unmarshal(params, &q); err != nil {
			return nil, err
		}
		if q.Kind != keeper.KindKeepAlive {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		close(began)
		select {
		case <-finish:
		case <-ctx.Done():
		}
		return Reply{Answer: json.RawMessage(`{}`)}, nil
	})
	var watches atomic.Int64
	refused := keeper.ErrUnavailable{Cause: errors.New("busy")}
	c := New(Config{
		Calls: keeper.Calls{
			KeepAlive: func(context.Context, int64) error { return refused },
			Watch: func(context.Context, keeper.WatchOptions) (keeper.WatchResult, error) {
				if watches.Add(1) == 1 {
					return keeper.WatchResult{}, refused
				}
				return keeper.WatchResult{Revision: 7}, nil
			},
		},
		Unreachable: func() bool { return false }, Active: func() bool { return true }, Now: time.Now, Reporter: reporter.Discard(),
		Entries: func() []messenger.PeerAddress { return []messenger.PeerAddress{entry} },
	}).Calls()
	renewed := make(chan error, 1)
	go func() { renewed <- c.KeepAlive(t.Context(), 1) }()
	<-began
	if _, err := c.Watch(t.Context(), keeper.WatchOptions{Prefix: "op/", After: 5, Wait: 900 * time.Millisecond}); err != nil {
		t.Errorf("watch: %v", err)
	}
	time.Sleep(20 * time.Millisecond) // the relayed watch ends after the reader has its answer
	close(finish)
	if err := <-renewed; err != nil {
		t.Errorf("renewal: %v", err)
	}
}
