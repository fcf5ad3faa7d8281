package reporter

import (
	"strings"
	"testing"
)

// recordedWrites records the data of each Write call.
type recordedWrites []string

func (w *recordedWrites) Write(p []byte) (int, error) {
	*w = append(*w, string(p))
	return len(p), nil
}

// Guards against broken lines: when a line is written field by field, a writer that drops data
// for lack of space or receives other lines in between breaks it up.
func TestLineIsWrittenInOneCall(t *testing.T) {
	for _, format := range []string{"text", "json"} {
		t.Run(format, func(t *testing.T) {
			var out recordedWrites
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
