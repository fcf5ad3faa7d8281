package scheduler

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// formerProcessFixture is an owner that reads reports from connections. Its time stands still.
type formerProcessFixture struct {
	*stopFixture
	address string
}

func newFormerProcessFixture(t *testing.T) *formerProcessFixture {
	t.Helper()
	f := &formerProcessFixture{stopFixture: newStopFixture(t)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = l.Addr().String()
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() {
		served <- connector.Serve(ctx, l, func(ctx context.Context, c *connector.Conn, _ string, params json.RawMessage) (any, error) {
			return serveCall(params, func(r messenger.WorkReport) (messenger.WorkReply, error) { return f.o.report(ctx, c, r) })
		}, nil)
	}()
	t.Cleanup(func() { cancel(); <-served })
	return f
}

// dial opens a connection of an agent's process. The owner accepts connections in the order of the calls.
func (f *formerProcessFixture) dial() *connector.Conn {
	f.t.Helper()
	c, err := connector.Dial(f.t.Context(), f.address, func(context.Context, *connector.Conn, string, json.RawMessage) (any, error) {
		return messenger.Empty{}, nil
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { c.Close() })
	return c
}

// sendOver sends a report of a process and reports whether the owner accepts it.
func (f *formerProcessFixture) sendOver(c *connector.Conn, process int64, age time.Duration, runs []messenger.WorkRun) bool {
	f.t.Helper()
	r := f.report
	r.Process, r.Session, r.AgeMillis, r.Runs = process, process+1, age.Milliseconds(), runs
	answered := make(chan error, 1)
	go func() { answered <- c.Call(f.t.Context(), messenger.MethodWorkReport, r, nil) }()
	for {
		select {
		case e := <-f.o.events:
			e.apply(f.o, f.now)
		case err := <-answered:
			return err == nil
		}
	}
}

// end ends the connection of the VM's session, as a reset by the network does, and waits until the
// owner has noticed.
func (f *formerProcessFixture) end(c *connector.Conn) {
	f.t.Helper()
	c.Close()
	select {
	case <-f.o.sessions["vm-1"].connDone:
	case <-time.After(5 * time.Second):
		f.t.Fatal("the owner has not noticed the end of the connection")
	}
}

// Guards against tasks that run twice: once the connection of an agent's running process has been reset, a
// delayed report of its former process, which lacks the runs since, must not end them.
func TestReportOfFormerProcessAfterReset(t *testing.T) {
	const former, running = 1000, 2000
	tests := []struct {
		name   string
		known  bool          // the former process has reported to this owner before
		silent time.Duration // of the running process, after the end of its connection
	}{
		{"at once", false, 0},
		{"after a silence", false, reportTimeout + time.Second},
		{"known to this owner", true, 0},
		{"known to this owner, after a silence", true, reportTimeout + time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFormerProcessFixture(t)
			run, delayed := f.report.Runs, f.dial()
			if tt.known && !f.sendOver(delayed, former, 0, nil) {
				t.Fatal("the former process is refused")
			}
			f.now = f.now.Add(reportTimeout + time.Millisecond)
			conn := f.dial()
			if !f.sendOver(conn, running, 0, run) {
				t.Fatal("the running process is refused")
			}
			f.end(conn)
			f.now = f.now.Add(tt.silent)
			if f.sendOver(delayed, former, 0, nil) {
				t.Error("the delayed report is accepted")
			}
			if n := len(f.o.state.VMs["vm-1"].Runs); n != 1 {
				t.Errorf("%d runs on the VM, want 1", n)
			}
			if !f.sendOver(f.dial(), running, 0, run) {
				t.Error("the running process is refused after its connection was reset")
			}
		})
	}
}

// Guards against tasks that run twice: a former process of an agent that stood still and is awake again must
// not end the runs since by what its worker listed before, while the network has cut the running process off.
func TestReportOfFormerProcessAwakeAgain(t *testing.T) {
	const former, running, stoodStill = 1000, 2000, 3 * time.Second
	tests := []struct {
		name     string
		known    bool          // the former process has reported to this owner before
		silent   time.Duration // of the running process, after the end of its connection
		age      time.Duration // of the list of runs
		accepted bool
	}{
		{"list from before", false, 0, stoodStill + time.Millisecond, false},
		{"list from before, known to this owner, after a silence", true, 2 * time.Second, stoodStill + 2*time.Second, false},
		{"list from just before the running process's latest", true, 2 * time.Second, 2*time.Second + time.Millisecond, false},
		{"list as new as the running process's", false, 0, 0, true},
		{"new list, known to this owner, after a silence", true, 2 * time.Second, 10 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFormerProcessFixture(t)
			run := f.report.Runs
			if tt.known && !f.sendOver(f.dial(), former, 0, nil) {
				t.Fatal("the former process is refused")
			}
			f.now = f.now.Add(stoodStill)
			conn := f.dial()
			if !f.sendOver(conn, running, 0, run) {
				t.Fatal("the running process is refused")
			}
			f.end(conn)
			f.now = f.now.Add(tt.silent)
			var list []messenger.WorkRun
			if tt.accepted {
				list = run
			}
			if got := f.sendOver(f.dial(), former, tt.age, list); got != tt.accepted {
				t.Errorf("the report of the former process is accepted: %t", got)
			}
			if n := len(f.o.state.VMs["vm-1"].Runs); n != 1 {
				t.Errorf("%d runs on the VM, want 1", n)
			}
		})
	}
}

// Guards against a VM that is lost until the next change of owner, or for seconds: a process that opens
// another connection is accepted at once if that of the session has ended, and after a silence otherwise.
func TestRestartedAgentIsAcceptedAtOnce(t *testing.T) {
	tests := []struct {
		name     string
		reset    bool          // the connection of the former session has ended
		returns  bool          // the process has been replaced before
		silent   time.Duration // since the last report of the session
		accepted bool
	}{
		{"connection ended", true, false, 0, true},
		{"connection seems open", false, false, reportTimeout, false},
		{"connection seems open, after a silence", false, false, reportTimeout + time.Millisecond, true},
		{"replaced before, connection ended", true, true, reportTimeout, false},
		{"replaced before, connection ended, after a silence", true, true, reportTimeout + time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFormerProcessFixture(t)
			if tt.returns {
				first := f.dial()
				f.sendOver(first, 2000, 0, f.report.Runs)
				f.end(first)
			}
			conn := f.dial()
			if !f.sendOver(conn, 3000, 0, f.report.Runs) {
				t.Fatal("the first process is refused")
			}
			if tt.reset {
				f.end(conn)
			}
			f.now = f.now.Add(tt.silent)
			// The time of day may have jumped back, so the process's number is lower.
			if got := f.sendOver(f.dial(), 2000, 0, f.report.Runs); got != tt.accepted {
				t.Errorf("the other process is accepted: %t", got)
			}
		})
	}
}
