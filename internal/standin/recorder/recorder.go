// Package recorder keeps what a stand-in saw, as JSON lines in a file, so that
// it survives the sudden end of the process.
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

// Append writes one record. A line is written with one call, unbuffered: what
// happened before a kill stands in the file, and no line is cut.
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
		panic(fmt.Sprintf("write witness record: %v", err)) // a test must not go on half blind
	}
}
