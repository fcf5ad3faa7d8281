package proxy

import (
	"io"
	"net"
	"testing"
	"time"
)

// openLink returns a proxy and both ends of a connection through it.
func openLink(t *testing.T) (p *Proxy, client, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if p, err = New(Config{Target: l.Addr().String()}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	if client, err = net.Dial("tcp", p.Address()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return p, client, server
}

// sendForever writes until the connection fails.
func sendForever(c net.Conn) {
	data := make([]byte, 100)
	for {
		if _, err := c.Write(data); err != nil {
			return
		}
	}
}

// drain reads until nothing arrives for 300 ms and returns the number of bytes read.
func drain(t *testing.T, c net.Conn) int64 {
	t.Helper()
	buffer, total := make([]byte, chunkBytes), int64(0)
	for {
		_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		n, err := c.Read(buffer)
		total += int64(n)
		if err != nil {
			return total
		}
	}
}

// Bytes inside the proxy must not be forwarded once the call that cuts or holds the
// link has returned: a test would receive an answer over a link that it has cut.
func TestNoByteIsForwardedAfterFaultChange(t *testing.T) {
	t.Run("stream", func(t *testing.T) {
		p, client, server := openLink(t)
		go sendForever(client)
		go func() { _, _ = io.Copy(io.Discard, server) }()
		for range 300 {
			p.Set(Faults{Hold: ToServer})
			before, _ := p.CountBytes()
			time.Sleep(time.Millisecond)
			if after, _ := p.CountBytes(); after != before {
				t.Fatalf("%d bytes passed after the link was held", after-before)
			}
			p.Reset()
			time.Sleep(time.Millisecond)
		}
	})
	t.Run("blocked write", func(t *testing.T) {
		p, client, server := openLink(t)
		go sendForever(client)
		for before, now := int64(-1), int64(0); before != now; { // until all buffers are full
			before = now
			time.Sleep(200 * time.Millisecond)
			now, _ = p.CountBytes()
		}
		p.Set(Faults{Cut: ToServer})
		forwarded, _ := p.CountBytes()
		if got := drain(t, server); got != forwarded {
			t.Errorf("the server got %d bytes, %d were forwarded when the link was cut", got, forwarded)
		}
	})
	t.Run("low rate", func(t *testing.T) {
		p, client, server := openLink(t)
		p.Set(Faults{BytesPerSec: 10})
		if _, err := client.Write([]byte("abc")); err != nil { // takes 300 ms
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
		p.Set(Faults{Cut: ToServer})
		if got := drain(t, server); got != 0 {
			t.Errorf("%d bytes passed after the link was cut", got)
		}
	})
}

// Bytes that a low rate or a delay holds back must be delivered once the fault ends:
// otherwise the link would still be faulty after the test has reset it.
func TestDelayedBytesAreDeliveredOnReset(t *testing.T) {
	for name, f := range map[string]Faults{"low rate": {BytesPerSec: 1}, "delay": {Delay: 10 * time.Second}} {
		t.Run(name, func(t *testing.T) {
			p, client, server := openLink(t)
			p.Set(f)
			if _, err := client.Write([]byte("0123456789")); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond)
			p.Reset()
			if got := drain(t, server); got != 10 {
				t.Errorf("%d of 10 bytes arrived", got)
			}
		})
	}
}
