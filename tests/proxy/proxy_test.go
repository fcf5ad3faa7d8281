package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// echo starts a server that answers each line with itself and sends the lines that it
// read on the returned channel.
func echo(t *testing.T) (string, chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	read := make(chan string, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				lines := bufio.NewScanner(c)
				for lines.Scan() {
					read <- lines.Text()
					fmt.Fprintln(c, lines.Text())
				}
			}()
		}
	}()
	return l.Addr().String(), read
}

func roundTrip(c net.Conn, line string) (string, error) {
	if _, err := fmt.Fprintln(c, line); err != nil {
		return "", err
	}
	_ = c.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
	answer := make([]byte, len(line)+1)
	_, err := io.ReadFull(c, answer)
	return string(answer[:len(line)]), err
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name     string
		faults   Faults
		reaches  bool // the server reads the line
		answered bool
		after    bool // the connection works after the fault has ended
	}{
		{"none", Faults{}, true, true, true},
		{"refuse", Faults{Refuse: true}, false, false, false},
		{"unreachable", Faults{Unreachable: true}, false, false, false},
		{"new connections refused", Faults{RefuseNew: true}, true, true, true},
		{"cut both ways", Faults{Cut: BothDirections}, false, false, false},
		{"cut to server", Faults{Cut: ToServer}, false, false, false},
		{"cut to client", Faults{Cut: ToClient}, true, false, false},
		{"hold to client", Faults{Hold: ToClient}, true, false, true},
		{"hold to server", Faults{Hold: ToServer}, false, false, true},
		{"drop answers", Faults{DropAnswers: true}, true, false, false},
		{"long delay", Faults{Delay: 400 * time.Millisecond}, false, false, true},
		{"short delay", Faults{Delay: 20 * time.Millisecond}, true, true, true},
		{"low rate", Faults{BytesPerSec: 10}, false, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			target, read := echo(t)
			p, err := New(Config{Target: target})
			if err != nil {
				t.Fatal(err)
			}
			defer p.Close()
			conn, err := net.Dial("tcp", p.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := roundTrip(conn, "first"); err != nil {
				t.Fatal(err)
			}
			<-read
			p.Set(c.faults)
			if answer, err := roundTrip(conn, "second"); (answer == "second" && err == nil) != c.answered {
				t.Errorf("answer %q, %v", answer, err)
			}
			if reached := len(read) > 0; reached != c.reaches {
				t.Errorf("reached the server: %v", reached)
			}
			p.Reset()
			_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
			if !c.answered {
				_, err = io.ReadFull(conn, make([]byte, len("second")))
			}
			if (err == nil) != c.after {
				t.Errorf("after the fault: %v", err)
			}
			if !c.after {
				if answer, err := roundTrip(conn, "later"); err == nil {
					t.Errorf("a connection that lost bytes went on and answered %q", answer)
				}
			}
			fresh, err := net.Dial("tcp", p.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer fresh.Close()
			if _, err := roundTrip(fresh, "third"); err != nil {
				t.Errorf("new connection after the fault: %v", err)
			}
		})
	}
}

// While a proxy refuses connections, the kernel must refuse them, open ones must be reset or go on as the
// fault says, also those of a class with faults of its own, and the proxy must accept connections at the
// same address afterwards. No other socket may take its port meanwhile: the fault would not end.
func TestProxyRefusesConnections(t *testing.T) {
	const class = "class"
	for _, tt := range []struct {
		name   string
		faults Faults
		goesOn bool // the open connection
	}{
		{"unreachable", Faults{Unreachable: true}, false},
		{"new connections refused", Faults{RefuseNew: true}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			target, _ := echo(t)
			p, err := New(Config{Target: target, Classify: func(net.Conn) string { return class }})
			if err != nil {
				t.Fatal(err)
			}
			defer p.Close()
			own, err := net.ResolveTCPAddr("tcp", p.Address())
			if err != nil {
				t.Fatal(err)
			}
			p.SetFor(class, Faults{})
			for range 3 {
				c, err := net.Dial("tcp", p.Address())
				if err != nil {
					t.Fatal(err)
				}
				if _, err := roundTrip(c, "line"); err != nil {
					t.Error(err)
				}
				p.Set(tt.faults)
				if c, err := net.Dial("tcp", p.Address()); !errors.Is(err, syscall.ECONNREFUSED) {
					t.Fatalf("connection %v, %v", c, err)
				}
				other := net.Dialer{LocalAddr: own}
				if c, err := other.Dial("tcp", target); !errors.Is(err, syscall.EADDRINUSE) {
					t.Errorf("another socket takes the port: %v, %v", c, err)
				}
				if _, err := roundTrip(c, "line"); (err == nil) != tt.goesOn {
					t.Errorf("open connection: %v", err)
				}
				c.Close()
				p.Set(Faults{})
			}
		})
	}
}
