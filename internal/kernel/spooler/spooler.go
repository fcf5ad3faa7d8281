// Package spooler lets log lines be written without anybody waiting for the reader
// of standard output: a full pipe would otherwise hold up every decision.
package spooler

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits of what waits to be written.
const (
	maxLines     = 4096
	maxLineBytes = 4096 // a longer line is cut
	// maxBatchBytes bounds one write, a pipe's worth at most.
	maxBatchBytes = 16 << 10
	closeLimit    = 500 * time.Millisecond
)

// Spooler is an io.Writer that never blocks. What does not fit is dropped and
// counted; a line tells the count when there is room again.
type Spooler struct {
	out    io.Writer
	lines  chan []byte
	ended  chan struct{}
	mu     sync.Mutex
	lost   int64
	closed bool
}

// New returns a Spooler that writes to out.
func New(out io.Writer) *Spooler {
	s := &Spooler{out: out, lines: make(chan []byte, maxLines), ended: make(chan struct{})}
	go s.run()
	return s
}

// Write queues one line. It always returns len(line).
func (s *Spooler) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return len(line), nil
	}
	if s.lost > 0 && len(s.lines) < maxLines/2 {
		s.lines <- []byte(fmt.Sprintf("level=warn message=\"log lines dropped\" lines=%d\n", s.lost))
		s.lost = 0
	}
	kept := append([]byte(nil), line[:min(len(line), maxLineBytes)]...)
	if len(line) > maxLineBytes {
		kept[maxLineBytes-1] = '\n'
	}
	select {
	case s.lines <- kept:
	default:
		s.lost++
	}
	return len(line), nil
}

func (s *Spooler) run() {
	defer close(s.ended)
	var batch []byte
	for line := range s.lines {
		batch = s.gather(append(batch[:0], line...))
		// A reader that went away can't be told.
		_, _ = s.out.Write(batch)
	}
}

// gather adds the lines that wait to a batch: a write each is a system call each, which
// on a busy owner cost more than the lines themselves.
func (s *Spooler) gather(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line, ok := <-s.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// Close writes what waits, for half a second at most.
func (s *Spooler) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	select {
	case <-s.ended:
	case <-time.After(closeLimit):
	}
}
