// Package recorder appends the events of a stand-in to a file as JSON lines, so
// that they survive a crash of the process.
package recorder

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
)

// Recorder appends records to a file. A nil Recorder drops them.
type Recorder struct {
	mu   sync.Mutex
	file *os.File
}

// Open returns a Recorder that appends to the file at path, or nil for an empty
// path.
func Open(path string) (*Recorder, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open witness file: %w", err)
	}
	return &Recorder{file: f}, nil
}

// Append writes one record. Each line is written unbuffered with a single call:
// what happened before the process was killed is in the file, and no line is
// truncated.
func (r *Recorder) Append(v any) {
	if r == nil {
		return
	}
	line, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode witness record %T: %v", v, err))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, err := r.file.Write(append(line, '\n')); err != nil {
		panic(fmt.Sprintf("write witness record: %v", err)) // a test must not continue with an incomplete record
	}
}
