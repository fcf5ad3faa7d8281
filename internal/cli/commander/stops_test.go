package commander

import (
	"bytes"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"bamboospread/internal/kernel/reporter"
)

// blockedWriter is the log of a process whose reader has stopped reading.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) { select {} }

// Guards against a process that operators can end only with SIGKILL, and against one that is
// ended by what is no second request: a signal that a supervisor sends twice, or one that the
// users' platform sends within the grace.
func TestSignalsStopTheProcess(t *testing.T) {
	type sent struct {
		signal os.Signal
		after  time.Duration // the first signal
	}
	const ended = -1 // the command has ended with this code
	tests := []struct {
		name      string
		sent      []sent
		completes bool
		want      int
		logged    string
	}{
		{"one", []sent{{syscall.SIGTERM, 0}}, false, ended, ""},
		{"second", []sent{{syscall.SIGTERM, 0}, {syscall.SIGTERM, time.Second}}, false, ExitStopped, "event=109 "},
		{"second of another kind", []sent{{syscall.SIGTERM, 0}, {os.Interrupt, time.Second}}, false, ExitStopped, "signal=interrupt"},
		{"one sent twice", []sent{{syscall.SIGTERM, 0}, {syscall.SIGTERM, oneRequest - 1}}, false, ended, ""},
		{"one sent twice and a second", []sent{{os.Interrupt, 0}, {os.Interrupt, 1}, {os.Interrupt, oneRequest}}, false, ExitStopped, "event=109 "},
		{"on the users' platform", []sent{{syscall.SIGTERM, 0}, {syscall.SIGTERM, time.Second}, {syscall.SIGTERM, 2 * time.Second}}, true, ended, "event=110 "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var log, stderr bytes.Buffer
			s := newStops(&stderr)
			r := newTestReporter(t, &log)
			s.logTo(r, func() {})
			if tt.completes {
				s.completeStop(r)
			}
			signals, commandEnded := make(chan os.Signal), make(chan int)
			start, n := time.Now(), 0
			s.now = func() time.Time { // called once for each signal
				n++
				return start.Add(tt.sent[n-1].after)
			}
			cancelled, result := make(chan struct{}), make(chan int, 1)
			go func() { result <- s.follow(signals, commandEnded, func() { close(cancelled) }) }()
			for _, signal := range tt.sent {
				signals <- signal.signal
				<-cancelled
			}
			select {
			case commandEnded <- ended:
				if tt.want != ended {
					t.Error("the process waits for the command")
				}
			case got := <-result:
				if got != tt.want {
					t.Errorf("exit code %d, want %d", got, tt.want)
				}
			}
			if tt.logged != "" && !strings.Contains(log.String(), tt.logged) || tt.logged == "" && log.Len() > 0 {
				t.Errorf("logged %q, want %q", log.String(), tt.logged)
			}
			if named := strings.Contains(stderr.String(), "ended at once"); named != (tt.want == ExitStopped) {
				t.Errorf("standard error: %q", stderr.String())
			}
		})
	}
}

func newTestReporter(t *testing.T, w io.Writer) *reporter.Reporter {
	t.Helper()
	r, err := reporter.New(reporter.Config{Writer: w, Format: "text", Level: "info", Role: "entry", Name: "entry-1"})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against a stuck process that a second signal does not end either, since the reader
// of its log is stuck as well.
func TestSecondSignalEndsProcessWhoseLogIsNotRead(t *testing.T) {
	s := newStops(blockedWriter{})
	s.logTo(newTestReporter(t, blockedWriter{}), func() {})
	if !s.repeated(syscall.SIGTERM, time.Second) {
		t.Error("the process does not end")
	}
}
