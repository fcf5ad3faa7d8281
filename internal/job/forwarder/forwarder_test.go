package forwarder

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// The connection to the owner stalls without being closed: the call on it fails within its
// timeout, and the next call uses a new connection.
func TestStalledConnectionReplaced(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var first atomic.Pointer[connector.Conn]
	opened := make(chan *connector.Conn, 2)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() {
		served <- connector.Serve(ctx, l, func(ctx context.Context, c *connector.Conn, _ string, _ json.RawMessage) (any, error) {
			if c == first.Load() {
				<-ctx.Done() // never answer
			}
			return messenger.WorkOwner{}, nil
		}, func(c *connector.Conn) { opened <- c })
	}()
	defer func() { cancel(); <-served }()
	f := New(Config{
		Self: messenger.PeerAddress{EntryID: "e1"},
		Owner: func() (messenger.CellOwner, bool) {
			return messenger.CellOwner{EntryID: "e2", Address: l.Addr().String()}, true
		},
		Reporter: reporter.Discard(),
	})
	call := func() error {
		return f.Call(t.Context(), messenger.MethodWorkHello, messenger.PeerAddress{}, &messenger.WorkOwner{})
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	first.Store(<-opened)
	began := time.Now()
	if err := call(); err == nil || HadNoEffect(err) {
		t.Errorf("call without an answer: got error %v, which must not prove that it had no effect", err)
	}
	if took := time.Since(began); took > 2*CallTimeout {
		t.Errorf("the call took %s", took)
	}
	if err := call(); err != nil {
		t.Errorf("the next call: %v", err)
	}
}
