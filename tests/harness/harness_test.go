package harness

import (
	"context"
	"net"
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
