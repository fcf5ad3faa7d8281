package forwarder

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"bamboospread/internal/job/locator"
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

// Guards against an entry that refuses its callers until the store serves it again: the store turns
// its VM away, and the owner that it knows has been replaced meanwhile.
func TestOwnerIsLocatedWithoutTheStore(t *testing.T) {
	serve := func(handle connector.Handler) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		served := make(chan error, 1)
		go func() { served <- connector.Serve(ctx, l, handle, nil) }()
		t.Cleanup(func() { cancel(); <-served })
		return l.Addr().String()
	}
	var current atomic.Pointer[messenger.CellOwner]
	var helloed atomic.Int64
	next := serve(func(context.Context, *connector.Conn, string, json.RawMessage) (any, error) {
		helloed.Add(1)
		return messenger.WorkOwner{}, nil
	})
	peer := serve(func(context.Context, *connector.Conn, string, json.RawMessage) (any, error) {
		return messenger.WorkOwner{Owner: messenger.CellOwner{EntryID: "next", Epoch: 2, Address: next}}, nil
	})
	former := serve(func(_ context.Context, _ *connector.Conn, method string, _ json.RawMessage) (any, error) {
		return nil, connector.Errorf(messenger.CodeNotOwner, "%s: not the owner", method)
	})
	current.Store(&messenger.CellOwner{EntryID: "former", Epoch: 1, Address: former})
	var unreachable atomic.Bool
	f := New(Config{
		Self: messenger.PeerAddress{EntryID: "e1"}, Reporter: reporter.Discard(), Now: time.Now,
		Owner:   func() (messenger.CellOwner, bool) { return *current.Load(), true },
		Locator: locator.New([]string{peer}), StoreUnreachable: unreachable.Load,
		LearnOwner: func(o messenger.CellOwner) { current.Store(&o) },
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	time.Sleep(2 * lostHelloInterval)
	if helloed.Load() > 0 {
		t.Fatal("other entries were asked although the store is reachable")
	}
	unreachable.Store(true)
	for deadline := time.Now().Add(5 * lostHelloInterval); helloed.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the next owner was not found")
		}
	}
}
