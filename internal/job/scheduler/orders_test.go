package scheduler

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// Guards against an owner that repeats a stop order while the agent carries it out.
func TestStopInProgressNotOrderedAgain(t *testing.T) {
	b := newStopFixture(t)
	b.sendReport()
	b.cancel(sourceHint)
	orders := b.runChecks(0)
	if len(orders) != 1 {
		t.Fatalf("%d orders", len(orders))
	}
	b.report.OrdersSeen, b.report.Runs[0].Stopping = orders[0].Seq, true
	for range 5 {
		b.sendReport()
		if again := b.runChecks(minCheckInterval); len(again) != 0 {
			t.Fatalf("ordered again: %+v", again)
		}
	}
}

// lineWriter passes on each written line.
type lineWriter chan string

func (w lineWriter) Write(p []byte) (int, error) {
	w <- string(p)
	return len(p), nil
}

// Guards against an owner that assumes that refused orders were accepted: the session must end,
// and the agent reports its state in the next one.
func TestSessionClosedWhenOrdersRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	refuse := func(context.Context, *connector.Conn, string, json.RawMessage) (any, error) {
		return nil, connector.Errorf(messenger.CodeBadRequest, "expired")
	}
	opened := make(chan *connector.Conn, 1)
	go func() { _ = connector.Serve(ctx, l, refuse, func(c *connector.Conn) { opened <- c }) }()
	agent, err := connector.Dial(ctx, l.Addr().String(), refuse)
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	b := newStopFixture(t)
	b.sendReport()
	s := b.o.sessions["vm-1"]
	lines := make(chan string, 10)
	r, err := reporter.New(reporter.Config{Writer: lineWriter(lines), Format: "text", Level: "warn"})
	if err != nil {
		t.Fatal(err)
	}
	s.conn, s.reporter = <-opened, r
	s.post(messenger.WorkOrders{Epoch: 2, Session: 1, Incarnation: "1"})
	select {
	case <-agent.Done():
	case <-time.After(3 * time.Second):
		t.Error("the session has not ended")
	}
	if line := <-lines; !strings.Contains(line, "orders not accepted") || !strings.Contains(line, "vm=vm-1") {
		t.Errorf("logged %q", line)
	}
}
