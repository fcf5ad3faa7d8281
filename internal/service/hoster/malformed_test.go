package hoster

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/platform"
)

// Guards against a log that is filled by a writer of malformed announcements, and against one that doesn't name
// the field.
func TestMalformedAnnouncementsAreLoggedOnceAMinute(t *testing.T) {
	var output bytes.Buffer
	set := metrics.NewSet()
	now := time.Unix(1_000_000, 0)
	r, err := reporter.New(reporter.Config{Writer: &output, Format: "text", Level: "info"})
	if err != nil {
		t.Fatal(err)
	}
	l := newMalformedLog(r, set, func() time.Time { return now })
	zone := platform.ErrMalformedAnnouncement{Field: "zone", Problem: "missing"}
	for range 3 {
		l.record(zone)
		l.record(errors.New("not readable"))
		now = now.Add(malformedLogInterval / 2)
	}
	if n := strings.Count(output.String(), "zone: missing"); n != 2 {
		t.Errorf("logged %d times, want 2:\n%s", n, &output)
	}
	var written bytes.Buffer
	set.WritePrometheus(&written)
	for _, want := range []string{`{field="zone"} 3`, `{field=""} 3`} {
		if !strings.Contains(written.String(), want) {
			t.Errorf("no %s in:\n%s", want, &written)
		}
	}
}
