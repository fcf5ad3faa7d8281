package driver

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// respond reads a call, or only its first byte, and answers it with a status; empty: with a reset.
func respond(conn net.Conn, whole bool, status string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if _, err := reader.ReadByte(); err != nil {
		return
	}
	_ = reader.UnreadByte() // follows a read
	if whole {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
	}
	if status == "" {
		_ = conn.(*net.TCPConn).SetLinger(0)
		return
	}
	_, _ = conn.Write([]byte("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n"))
}

// TestStartIsNotSentToOtherLife guards against tasks that run twice: a start that was decided for one life of the
// worker must not be sent to the next, which knows nothing of the attempt.
func TestStartIsNotSentToOtherLife(t *testing.T) {
	starts := 0
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == PathStart {
			starts++
		}
		_, _ = rw.Write([]byte(`{"life":"next"}`))
	}))
	t.Cleanup(server.Close)
	d := New(Config{URL: server.URL})
	if _, err := d.FindTasks(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		life string
		sent bool
	}{{"former", false}, {"next", true}, {"", true}} {
		starts = 0
		err := d.StartTask(t.Context(), StartOptions{TaskID: "t", Attempt: 1, Life: tt.life})
		if sent := starts == 1; sent != tt.sent || IsErrStartExpired(err) == tt.sent {
			t.Errorf("start for life %q: sent %t, error %v", tt.life, sent, err)
		}
	}
}

// TestOnlyUnsentCallsAreUnavailable guards against tasks that run twice: a call that may have reached the
// worker must not count as one without an effect.
func TestOnlyUnsentCallsAreUnavailable(t *testing.T) {
	reset := func(conn net.Conn) { respond(conn, false, "") }
	answer := func(status string) func(net.Conn) { return func(conn net.Conn) { respond(conn, true, status) } }
	tests := []struct {
		name                 string
		serve                func(net.Conn) // nil: connections are refused
		unavailable, unknown bool
	}{
		{"refused", nil, true, false},
		{"reset once the call arrives", reset, false, true},
		{"reset after the call was read", answer(""), false, true},
		{"503", answer("503 Service Unavailable"), true, false},
		{"502", answer("502 Bad Gateway"), false, true},
		{"504", answer("504 Gateway Timeout"), false, true},
		{"no answer", func(conn net.Conn) { defer conn.Close(); time.Sleep(500 * time.Millisecond) }, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			if tt.serve == nil {
				l.Close()
			}
			accepted := make(chan struct{})
			go func() {
				defer close(accepted)
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					tt.serve(conn)
				}
			}()
			d := New(Config{URL: "http://" + l.Addr().String(), CallTimeout: 200 * time.Millisecond})
			err = d.StartTask(t.Context(), StartOptions{TaskID: "t", Attempt: 1})
			if IsErrUnavailable(err) != tt.unavailable || IsErrOutcomeUnknown(err) != tt.unknown {
				t.Errorf("error %v", err)
			}
			l.Close()
			<-accepted
		})
	}
}
