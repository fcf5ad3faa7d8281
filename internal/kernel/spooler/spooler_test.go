package spooler

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuck is a reader that reads nothing until it is let go.
type stuck struct {
	gate chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// Every decision of a process waits: the reader of its log has stopped reading, the
// pipe is full, and a write of a line blocks.
func TestWriteNeverBlocks(t *testing.T) {
	out := &stuck{gate: make(chan struct{})}
	s := New(out)
	const lines = 3 * maxLines
	begin := time.Now()
	for range lines {
		if n, err := s.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	if took := time.Since(begin); took > time.Second {
		t.Errorf("%d lines took %s with a reader that reads nothing", lines, took)
	}
	close(out.gate)
	for range 200 {
		_, _ = s.Write([]byte("later\n"))
		time.Sleep(time.Millisecond)
	}
	s.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	if !strings.Contains(out.got.String(), "log lines dropped") {
		t.Error("the lost lines are not told")
	}
}

func TestLongLinesAreCut(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	_, _ = s.Write([]byte(strings.Repeat("x", 2*maxLineBytes) + "\n"))
	s.Close()
	if got := out.Len(); got != maxLineBytes || !strings.HasSuffix(out.String(), "\n") {
		t.Errorf("%d bytes were written", got)
	}
}

func TestCloseWritesWhatWaits(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	_, _ = s.Write([]byte("last\n"))
	s.Close()
	if out.String() != "last\n" {
		t.Errorf("got %q", out.String())
	}
	if _, err := s.Write([]byte("after\n")); err != nil {
		t.Error(err)
	}
}
