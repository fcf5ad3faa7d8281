package harness

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// A process that the harness pauses does not answer, goes on when resumed, comes
// back at the same address when restarted, and stops cleanly when asked to.
func TestProcessSignals(t *testing.T) {
	address := FreeAddress(t)
	p := StartProcess(t, "store", "standin", "store", "--listen", address)
	url := "http://" + address + "/control/calls"
	up := func(ctx context.Context) error { return checkURL(ctx, url) }
	WaitFor(t, readyLimit, "first start", up)
	p.Pause()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if err := up(ctx); err == nil {
		t.Error("a paused process answered")
	}
	p.Resume()
	WaitFor(t, readyLimit, "resumed", up)
	before := p.PID()
	p.Restart()
	WaitFor(t, readyLimit, "restarted", up)
	if p.PID() == before {
		t.Error("same process after the restart")
	}
	if err := p.Terminate(5 * time.Second); err != nil {
		t.Error(err)
	}
}

func TestPeerIsKnownByName(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	k := &Cluster{t: t}
	k.startParty("upstream", "standin", "upstream", "--id", "u", "--service", "s", "--agent", "http://"+l.Addr().String())
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if name := k.nameOfPeer(c); name != "upstream" {
		t.Errorf("got %q", name)
	}
}

// A connection whose port was used before, to another listener, and is closed there
// must be known as the live one that it is: the fault meant for its opener would
// otherwise not reach it, and a test would show nothing.
func TestPeerIsKnownBesideAClosedConnectionOfItsPort(t *testing.T) {
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		return l
	}
	other, target := listen(), listen()
	// A port that the system picks may be shared with closed connections of other
	// processes, and could not be bound again.
	from, err := net.ResolveTCPAddr("tcp", FreeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	first, err := (&net.Dialer{LocalAddr: from, Control: reuseAddress}).Dial("tcp", other.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	first.Close() // the opener closes first, so its end stays listed
	accepted, err := other.Accept()
	if err != nil {
		t.Fatal(err)
	}
	accepted.Close()
	second, err := (&net.Dialer{LocalAddr: from, Control: reuseAddress}).Dial("tcp", target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	for range 100 { // the kernel's list may miss a new socket for a moment
		switch got := inodeOf(from.Port, target.Addr().(*net.TCPAddr).Port); got {
		case "":
			time.Sleep(2 * socketTableAge)
		case closedInode:
			t.Fatal("the live connection is taken for the closed one")
		default:
			return
		}
	}
	t.Error("the live connection is not found")
}

func reuseAddress(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	})
	return errors.Join(err, setErr)
}

// Guards against two test processes that give the same address to a process of theirs.
func TestAddressesAreReservedForOtherProcessesToo(t *testing.T) {
	address := FreeAddress(t)
	if other, err := net.ListenPacket("udp", address); err == nil {
		other.Close()
		t.Errorf("%s is free to another process", address)
	}
	if reserve(t, address) {
		t.Errorf("%s is handed out twice", address)
	}
}
