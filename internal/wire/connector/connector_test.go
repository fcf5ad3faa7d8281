package connector

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/wire/messenger"
)

// serve starts a server and returns its address.
func serve(t testing.TB, handle Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, l, handle, nil) }()
	t.Cleanup(func() { cancel(); <-done })
	return l.Addr().String()
}

func refuse(context.Context, *Conn, string, json.RawMessage) (any, error) {
	return nil, Errorf(messenger.CodeUnavailable, "refused")
}

// TestCallsInBothDirections calls the listening side, which calls the dialling side before it
// answers: agents dial entries, and entries send requests on that connection.
func TestCallsInBothDirections(t *testing.T) {
	address := serve(t, func(ctx context.Context, c *Conn, _ string, _ json.RawMessage) (any, error) {
		var back string
		err := c.Call(ctx, "back", messenger.Empty{}, &back)
		return "out and " + back, err
	})
	c, err := Dial(context.Background(), address, func(context.Context, *Conn, string, json.RawMessage) (any, error) {
		return "back", nil
	})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var got string
	if err := c.Call(context.Background(), "out", messenger.Empty{}, &got); err != nil || got != "out and back" {
		t.Errorf("got %q, %v", got, err)
	}
}

func TestErrorCodeIsSent(t *testing.T) {
	c, err := Dial(context.Background(), serve(t, refuse), refuse)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	err = c.Call(context.Background(), "x", messenger.Empty{}, nil)
	if CodeOf(err) != messenger.CodeUnavailable {
		t.Errorf("got %v", err)
	}
}

// TestSuspendedPeerDoesNotBlockCallers makes large calls to a peer that accepts the
// connection and never reads. Each call must return at its own deadline; with direct
// writes all would block once the kernel's send buffer is full.
func TestSuspendedPeerDoesNotBlockCallers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := Dial(context.Background(), l.Addr().String(), refuse)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for range 5 {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		err := c.Call(ctx, "x", make([]byte, 1<<20), nil)
		cancel()
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v, want the caller's deadline", err)
		}
	}
}

// TestConcurrentMessagesAreIntact makes calls from several callers with idle periods in
// between. If data is appended to a buffer while it is being written, the other side
// receives corrupt bytes; the connection ends, or a caller gets the answer to another call.
func TestConcurrentMessagesAreIntact(t *testing.T) {
	address := serve(t, func(_ context.Context, _ *Conn, _ string, params json.RawMessage) (any, error) {
		return params, nil
	})
	c, err := Dial(context.Background(), address, refuse)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var group sync.WaitGroup
	for caller := range 4 {
		group.Go(func() {
			for i := range 300 {
				want := fmt.Sprint(strings.Repeat("x", i*7%500), caller, i)
				var got string
				if err := c.Call(context.Background(), "echo", want, &got); err != nil || got != want {
					t.Errorf("got %q, %v, want %q", got, err, want)
					return
				}
				time.Sleep(time.Duration(i%3) * 100 * time.Microsecond)
			}
		})
	}
	group.Wait()
}

// Guards against calls that never return since their connection handles as many requests as it may.
func TestRequestsBeyondTheLimitAreRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	started, release, served := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	config := Config{MaxRequests: 2, Handle: func(_ context.Context, _ *Conn, method string, _ json.RawMessage) (any, error) {
		if method == "wait" {
			started <- struct{}{}
			<-release
		}
		return "done", nil
	}}
	go func() { served <- config.Serve(ctx, l) }()
	defer func() { cancel(); <-served }()
	c, err := Dial(t.Context(), l.Addr().String(), refuse)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var waiting sync.WaitGroup
	for range config.MaxRequests {
		waiting.Go(func() {
			if err := c.Call(t.Context(), "wait", messenger.Empty{}, nil); err != nil {
				t.Error(err)
			}
		})
		<-started
	}
	if err := c.Call(t.Context(), "beyond", messenger.Empty{}, nil); CodeOf(err) != messenger.CodeUnavailable {
		t.Errorf("got %v, want a refusal", err)
	}
	close(release)
	waiting.Wait()
	for range 5 {
		if err := c.Call(t.Context(), "after", messenger.Empty{}, nil); err != nil {
			t.Error(err)
		}
	}
}

// TestConnectionsAreNumberedInTheOrderOfOpening guards against an owner that takes an ended process's
// connection for a later one, and loses runs by its report. The listener accepts them late.
func TestConnectionsAreNumberedInTheOrderOfOpening(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const connections = 50
	order := make(map[string]int, connections) // by the client's address
	for i := range connections {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		order[c.LocalAddr().String()] = i
	}
	accepted := make(chan *Conn, connections)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, l, refuse, func(c *Conn) { accepted <- c }) }()
	t.Cleanup(func() { cancel(); <-done })
	numbers := make([]int64, connections)
	for range connections {
		c := <-accepted
		numbers[order[c.Remote()]] = c.Number()
	}
	if !slices.IsSorted(numbers) {
		t.Errorf("numbers in the order of opening: %v", numbers)
	}
}
