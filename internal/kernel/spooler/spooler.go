// Package spooler writes log lines asynchronously, so that no caller waits for the
// reader of standard output: a full pipe would otherwise delay every decision.
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

// Limits of the queue and of the writes.
const (
	maxLines     = 4096
	maxLineBytes = 4096 // a longer line is truncated
	// maxBatchBytes limits the size of a write: a pipe accepts up to this size atomically,
	// and the end of a larger write may be lost if the reader is slow.
	maxBatchBytes = 4096
	closeTimeout  = 500 * time.Millisecond
	// writeRetryPause is the pause before a retry of what a full pipe did not accept. After
	// maxWriteAttempts, the rest of a batch is dropped.
	writeRetryPause  = 10 * time.Millisecond
	maxWriteAttempts = 200
)

// Spooler is an io.Writer that never blocks. Lines that do not fit into its queue are
// dropped and counted; a log line reports the count once there is space again.
type Spooler struct {
	out        io.Writer
	lines      chan []byte
	done       chan struct{} // closed when run returns
	incomplete bool          // the last line written has no newline
	mu         sync.Mutex
	dropped    int64 // lines
	closed     bool
}

// New returns a Spooler that writes to out.
func New(out io.Writer) *Spooler {
	s := &Spooler{out: out, lines: make(chan []byte, maxLines), done: make(chan struct{})}
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
	queued := append([]byte(nil), line[:min(len(line), maxLineBytes)]...)
	if len(line) > maxLineBytes {
		queued[maxLineBytes-1] = '\n'
	}
	select {
	case s.lines <- queued:
	default:
		s.dropped++
	}
	return len(line), nil
}

// run writes the queued lines in batches until the Spooler is closed.
func (s *Spooler) run() {
	defer close(s.done)
	var batch, next []byte
	for line := range s.lines {
		for next = line; next != nil; {
			s.reportDropped()
			batch, next = s.fillBatch(append(batch[:0], next...))
			if rest := s.write(batch); len(rest) > 0 {
				s.addDropped(int64(bytes.Count(rest, newline)))
			}
		}
	}
	s.reportDropped()
}

var newline = []byte("\n")

// write writes a batch and returns the part that could not be written. A full pipe may
// accept a part of a write and temporarily refuse the rest.
func (s *Spooler) write(batch []byte) []byte {
	if s.incomplete {
		batch = append([]byte("\n"), batch...)
	}
	for range maxWriteAttempts {
		n, err := s.out.Write(batch)
		if n > 0 {
			s.incomplete = batch[n-1] != newline[0]
			batch = batch[n:]
		}
		if len(batch) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, io.ErrShortWrite) {
			return batch // the reader is disconnected, so the error can't be reported to it
		}
		time.Sleep(writeRetryPause)
	}
	return batch
}

// reportDropped writes how many lines were dropped since the last report.
func (s *Spooler) reportDropped() {
	s.mu.Lock()
	dropped := s.dropped
	s.dropped = 0
	s.mu.Unlock()
	if dropped == 0 {
		return
	}
	if rest := s.write([]byte(fmt.Sprintf("level=warn message=\"log lines dropped\" lines=%d\n", dropped))); len(rest) > 0 {
		s.addDropped(dropped)
	}
}

func (s *Spooler) addDropped(lines int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped += lines
}

// fillBatch appends queued lines to a batch: one write per line would be one system call
// per line, which on a busy owner cost more than the lines themselves. It returns the line
// that did not fit, or nil.
func (s *Spooler) fillBatch(batch []byte) (filled, next []byte) {
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

// Close writes the queued lines. It waits for at most closeTimeout.
func (s *Spooler) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}
