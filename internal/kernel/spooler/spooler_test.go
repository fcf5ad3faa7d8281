package spooler

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// blockedWriter blocks all writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// Guards against decisions of a process that are delayed by logging: the reader of its log has
// stopped reading, the pipe is full, and the write of a line blocks.
func TestWriteNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	s := New(out)
	const lines = 3 * maxLines
	start := time.Now()
	for range lines {
		if n, err := s.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("%d lines took %s while the reader is blocked", lines, took)
	}
	close(out.release)
	for range 200 {
		_, _ = s.Write([]byte("later\n"))
		time.Sleep(time.Millisecond)
	}
	s.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	if !strings.Contains(out.got.String(), "log lines dropped") {
		t.Error("the dropped lines are not reported")
	}
}

// shortWriter accepts at most limit bytes of each write and refuses the rest with EAGAIN.
// Three writes from number failFrom on fail.
type shortWriter struct {
	limit    int
	failFrom int // number of the first write that fails; 0: none
	mu       sync.Mutex
	writes   int
	got      bytes.Buffer
}

func (w *shortWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes++
	if w.failFrom > 0 && w.writes >= w.failFrom && w.writes < w.failFrom+3 {
		return 0, errClosed
	}
	if len(b) <= w.limit {
		return w.got.Write(b)
	}
	n, _ := w.got.Write(b[:w.limit])
	return n, syscall.EAGAIN
}

var errClosed = errors.New("closed")

// Guards against truncated lines: a full pipe accepts a part of a batch, and the rest was
// dropped without being counted.
func TestShortWritesAreCompleted(t *testing.T) {
	tests := []struct {
		name     string
		out      *shortWriter
		complete int // above 0: all lines must be complete
	}{
		{"short writes", &shortWriter{limit: 1000}, 400},
		{"failed writes of a reader that recovers", &shortWriter{limit: 4000, failFrom: 3}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New(tt.out)
			line := strings.Repeat("x", 99) + "\n"
			for n := range 400 {
				_, _ = s.Write([]byte(line))
				if n%40 == 0 {
					time.Sleep(5 * time.Millisecond)
				}
			}
			time.Sleep(100 * time.Millisecond)
			_, _ = s.Write([]byte(line))
			s.Close()
			complete, incomplete, dropped := 0, 0, 0
			for _, l := range strings.SplitAfter(tt.out.got.String(), "\n") {
				switch {
				case l == line:
					complete++
				case strings.Contains(l, "log lines dropped"):
					n := 0
					if _, err := fmt.Sscanf(l[strings.Index(l, "lines="):], "lines=%d", &n); err != nil {
						t.Fatal(err)
					}
					dropped += n
				case l != "":
					incomplete++
				}
			}
			if complete+dropped != 401 {
				t.Errorf("%d lines are complete and %d counted as dropped of 401", complete, dropped)
			}
			if tt.complete > 0 && (incomplete > 0 || complete != 401) {
				t.Errorf("%d lines are complete and %d incomplete", complete, incomplete)
			}
			if incomplete > 1 {
				t.Errorf("%d lines are incomplete", incomplete)
			}
		})
	}
}

// recordingWriter records the data of each write. All writes block until release is closed.
type recordingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	writes  []string
}

func (s *recordingWriter) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = append(s.writes, string(b))
	return len(b), nil
}

// Guards against truncated lines when a reader accepts only a part of a large write: a write
// must consist of complete lines and be no larger than what a pipe accepts atomically.
func TestWritesAreCompleteLinesWithinPipeLimit(t *testing.T) {
	out := &recordingWriter{release: make(chan struct{})}
	s := New(out)
	want := 0
	for n := range 500 {
		line := strings.Repeat("x", 1+n*37%700) + "\n"
		want += len(line)
		_, _ = s.Write([]byte(line))
	}
	close(out.release)
	s.Close()
	got := 0
	for _, b := range out.writes {
		got += len(b)
		if len(b) > 4096 || !strings.HasSuffix(b, "\n") {
			t.Errorf("a write of %d bytes ends with %q", len(b), b[max(len(b)-10, 0):])
		}
	}
	if got != want || len(out.writes) > 100 {
		t.Errorf("wrote %d of %d bytes in %d writes", got, want, len(out.writes))
	}
}

func TestLongLinesAreTruncated(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	_, _ = s.Write([]byte(strings.Repeat("x", 2*maxLineBytes) + "\n"))
	s.Close()
	if got := out.Len(); got != maxLineBytes || !strings.HasSuffix(out.String(), "\n") {
		t.Errorf("%d bytes were written", got)
	}
}

func TestCloseWritesQueuedLines(t *testing.T) {
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
