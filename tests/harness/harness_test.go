package harness

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"
)

// A paused process does not answer, continues when resumed, listens on the same
// address after a restart, and stops cleanly on request.
func TestProcessSignals(t *testing.T) {
	address := FreeAddress(t)
	p := StartProcess(t, "store", "standin", "store", "--listen", address)
	url := "http://" + address + "/control/calls"
	reachable := func(ctx context.Context) error { return checkURL(ctx, url) }
	WaitFor(t, readyLimit, "first start", reachable)
	p.Pause()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if err := reachable(ctx); err == nil {
		t.Error("a paused process answered")
	}
	p.Resume()
	WaitFor(t, readyLimit, "resumed", reachable)
	before := p.PID()
	p.Restart()
	WaitFor(t, readyLimit, "restarted", reachable)
	if p.PID() == before {
		t.Error("same process after the restart")
	}
	if err := p.Terminate(5 * time.Second); err != nil {
		t.Error(err)
	}
}

// Guards against tests with a drawn seed whose processes refuse it as their own setting and end.
func TestDrawnSeedIsNotPassedOn(t *testing.T) {
	for _, tt := range []struct{ seed, want string }{{"random", ""}, {"7", seedVariable + "=7"}} {
		got := withoutDrawnSeed([]string{"A=1", seedVariable + "=" + tt.seed, "B=random"})
		want := []string{"A=1", tt.want, "B=random"}
		want = slices.DeleteFunc(want, func(variable string) bool { return variable == "" })
		if !slices.Equal(got, want) {
			t.Errorf("seed %s: environment %v, want %v", tt.seed, got, want)
		}
	}
	t.Setenv(seedVariable, "random")
	address := FreeAddress(t)
	StartProcess(t, "store", "standin", "store", "--listen", address)
	WaitFor(t, readyLimit, "started", func(ctx context.Context) error { return checkURL(ctx, "http://"+address+"/control/calls") })
}

func TestPeerNameIsFound(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	k := &Cluster{t: t}
	k.startDialer("upstream", "standin", "upstream", "--id", "u", "--service", "s", "--agent", "http://"+l.Addr().String())
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if name := k.peerName(c); name != "upstream" {
		t.Errorf("got %q", name)
	}
}

// An open connection must be found even if a closed connection from the same port to
// another listener is still listed. Otherwise the faults set for its opener would not
// apply to it, and a test would pass without having injected them.
func TestPeerIsFoundWhenItsPortHasAClosedConnection(t *testing.T) {
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		return l
	}
	other, target := listen(), listen()
	// A port that the system picks may be in use by closed connections of other
	// processes and then could not be bound again.
	openerAddress, err := net.ResolveTCPAddr("tcp", FreeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	first, err := (&net.Dialer{LocalAddr: openerAddress, Control: reuseAddress}).Dial("tcp", other.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	first.Close() // the opener closes first, so that its end stays listed
	accepted, err := other.Accept()
	if err != nil {
		t.Fatal(err)
	}
	accepted.Close()
	second, err := (&net.Dialer{LocalAddr: openerAddress, Control: reuseAddress}).Dial("tcp", target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	for range 100 { // the kernel's table may miss a new socket for a moment
		switch got := inodeOf(openerAddress.Port, target.Addr().(*net.TCPAddr).Port); got {
		case "":
			time.Sleep(2 * maxSocketTableAge)
		case closedInode:
			t.Fatal("the open connection is reported as closed")
		default:
			return
		}
	}
	t.Error("the open connection is not found")
}

func reuseAddress(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	})
	return errors.Join(err, setErr)
}

// Two test processes must not use the same address.
func TestAddressesAreReservedAcrossProcesses(t *testing.T) {
	address := FreeAddress(t)
	if other, err := net.ListenPacket("udp", address); err == nil {
		other.Close()
		t.Errorf("another process can reserve %s", address)
	}
	if reserve(t, address) {
		t.Errorf("%s is reserved twice", address)
	}
}
