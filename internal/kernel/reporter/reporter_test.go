package reporter

import (
	"strings"
	"testing"
)

// writes keeps what is written at a time.
type writes []string

func (w *writes) Write(p []byte) (int, error) {
	*w = append(*w, string(p))
	return len(p), nil
}

// Guards against lines that are torn apart: a writer that drops what it has no room for, or
// takes other lines in between, got them field by field.
func TestALineIsWrittenAtOnce(t *testing.T) {
	for _, format := range []string{"text", "json"} {
		t.Run(format, func(t *testing.T) {
			var out writes
			r, err := New(Config{Writer: &out, Format: format, Level: "info", Role: "entry", Name: "entry-1"})
			if err != nil {
				t.Fatal(err)
			}
			r.Report(JobAccepted, Fields{"job": "1", "queue": "a b"})
			r.Report(JobEnded, Fields{"job": "1"})
			if len(out) != 2 {
				t.Fatalf("%d writes for two lines: %q", len(out), out)
			}
			for _, line := range out {
				if strings.Count(line, "\n") != 1 || !strings.HasSuffix(line, "\n") {
					t.Errorf("wrote %q", line)
				}
			}
		})
	}
}
