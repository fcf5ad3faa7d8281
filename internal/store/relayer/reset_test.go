package relayer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// TestCallsWhoseConnectionIsReset guards against a write that is carried out twice, or late by one entry after
// another one has failed: the connection to an entry ends while the call is under way. Reads go to another
// entry, and so does every call that no entry has received.
func TestCallsWhoseConnectionIsReset(t *testing.T) {
	for _, tt := range []struct {
		name    string
		call    func(ctx context.Context, c keeper.Calls) error
		resets  bool // the connections are accepted, and reset once a call has arrived; otherwise refused
		calls   int64
		outcome func(error) bool
	}{
		{"write, reset", func(ctx context.Context, c keeper.Calls) error {
			_, err := c.Transact(ctx, keeper.Transaction{})
			return err
		}, true, 1, keeper.IsErrOutcomeUnknown},
		{"renewal, reset", func(ctx context.Context, c keeper.Calls) error { return c.KeepAlive(ctx, 1) }, true, 1, keeper.IsErrOutcomeUnknown},
		{"read, reset", func(ctx context.Context, c keeper.Calls) error {
			_, err := c.GetRecord(ctx, "k")
			return err
		}, true, maxEntriesPerCall, keeper.IsErrUnavailable},
		{"write, refused", func(ctx context.Context, c keeper.Calls) error {
			_, err := c.Transact(ctx, keeper.Transaction{})
			return err
		}, false, 0, keeper.IsErrUnavailable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var calls atomic.Int64
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			served := make(chan error, 1)
			go func() {
				served <- connector.Serve(ctx, l, func(_ context.Context, c *connector.Conn, _ string, _ json.RawMessage) (any, error) {
					calls.Add(1)
					c.Close()
					return messenger.Empty{}, nil
				}, nil)
			}()
			t.Cleanup(func() { cancel(); <-served })
			if !tt.resets {
				l.Close()
			}
			refused := keeper.ErrUnavailable{Cause: errors.New("refused")}
			owner := New(Config{
				Calls: keeper.Calls{
					GetRecord: func(context.Context, string) (keeper.Record, error) { return keeper.Record{}, refused },
					Transact:  func(context.Context, keeper.Transaction) (int64, error) { return 0, refused },
					KeepAlive: func(context.Context, int64) error { return refused },
				},
				Unreachable: func() bool { return true }, Active: func() bool { return true }, Now: time.Now, Reporter: reporter.Discard(),
				Entries: func() []messenger.PeerAddress {
					return []messenger.PeerAddress{{EntryID: "a", Address: l.Addr().String()}, {EntryID: "b", Address: l.Addr().String()}}
				},
			}).Calls()
			if err := tt.call(t.Context(), owner); !tt.outcome(err) {
				t.Errorf("error %v", err)
			}
			if n := calls.Load(); n != tt.calls {
				t.Errorf("%d calls arrived, want %d", n, tt.calls)
			}
		})
	}
}
