// Package spooler lets log lines be written without anybody waiting for the reader
// of standard output: a full pipe would otherwise hold up every decision.
package spooler

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"
)

// Limits of what waits to be written.
const (
	maxLines     = 4096
	maxLineBytes = 4096 // a longer line is cut
	// maxBatchBytes bounds one write: a pipe takes so much whole or not at all, and of more
	// the end may be lost with a reader that is behind.
	maxBatchBytes = 4096
	closeLimit    = 500 * time.Millisecond
	// writePause is between tries to write what a full pipe did not take, and writeTries is
	// how many there are before the rest of a batch is dropped.
	writePause = 10 * time.Millisecond
	writeTries = 200
)

// Spooler is an io.Writer that never blocks. What does not fit is dropped and
// counted; a line tells the count when there is room again.
type Spooler struct {
	out    io.Writer
	lines  chan []byte
	ended  chan struct{}
	torn   bool // the last line written has no end
	mu     sync.Mutex
	lost   int64 // lines
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
	var batch, next []byte
	for line := range s.lines {
		for next = line; next != nil; {
			s.tellLost()
			batch, next = s.gather(append(batch[:0], next...))
			if rest := s.write(batch); len(rest) > 0 {
				s.noteLost(int64(bytes.Count(rest, newline)))
			}
		}
	}
	s.tellLost()
}

var newline = []byte("\n")

// write writes a batch and returns what it could not. A pipe that is full may take a part
// of it and refuse the rest for a moment.
func (s *Spooler) write(batch []byte) []byte {
	if s.torn {
		batch = append([]byte("\n"), batch...)
	}
	for range writeTries {
		n, err := s.out.Write(batch)
		if n > 0 {
			s.torn = batch[n-1] != newline[0]
			batch = batch[n:]
		}
		if len(batch) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, io.ErrShortWrite) {
			return batch // a reader that went away can't be told
		}
		time.Sleep(writePause)
	}
	return batch
}

// tellLost writes how many lines were dropped since it was last told.
func (s *Spooler) tellLost() {
	s.mu.Lock()
	lost := s.lost
	s.lost = 0
	s.mu.Unlock()
	if lost == 0 {
		return
	}
	if rest := s.write([]byte(fmt.Sprintf("level=warn message=\"log lines dropped\" lines=%d\n", lost))); len(rest) > 0 {
		s.noteLost(lost)
	}
}

func (s *Spooler) noteLost(lines int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost += lines
}

// gather adds the lines that wait to a batch: a write each is a system call each, which
// on a busy owner cost more than the lines themselves. It returns the line that found no
// room any more, or nil.
func (s *Spooler) gather(batch []byte) (full, next []byte) {
	for {
		select {
		case line, ok := <-s.lines:
			if !ok {
				return batch, nil
			}
			if len(batch)+len(line) > maxBatchBytes {
				return batch, line
			}
			batch = append(batch, line...)
		default:
			return batch, nil
		}
	}
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
