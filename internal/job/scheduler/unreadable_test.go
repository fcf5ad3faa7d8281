package scheduler

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/decoder"
	"bamboospread/internal/store/keeper"
)

// Guards against a log that is filled by records that can't be read, and against one that doesn't name the field.
func TestUnreadableRecordsAreLoggedOnceAMinute(t *testing.T) {
	var output, counted bytes.Buffer
	set, now := metrics.NewSet(), time.Unix(1_000_000, 0)
	r, err := reporter.New(reporter.Config{Writer: &output, Format: "text", Level: "info"})
	if err != nil {
		t.Fatal(err)
	}
	s := &Scheduler{config: Config{Reporter: r, Metrics: NewMetrics(set), Now: func() time.Time { return now }}}
	for range 3 {
		s.reportUnreadable("progress/1", decoder.ErrField{Field: "next", Problem: "missing"}, nil)
		s.reportUnreadable("cells/jobs/epoch", decoder.ErrField{Problem: "null"}, reporter.Fields{"epoch": 7})
		now = now.Add(30 * time.Second)
	}
	if n := strings.Count(output.String(), "progress/1"); n != 2 || strings.Count(output.String(), "field next: missing") != 2 {
		t.Errorf("logged %d times, want 2:\n%s", n, &output)
	}
	set.WritePrometheus(&counted)
	for _, want := range []string{`{record="progress"} 3`, `{record="epoch"} 3`} {
		if !strings.Contains(counted.String(), want) {
			t.Errorf("no %s in:\n%s", want, &counted)
		}
	}
	output.Reset()
	for n := range 200 {
		s.reportUnreadable("progress/other-"+strings.Repeat("x", n), decoder.ErrField{Problem: "null"}, nil)
	}
	if n := strings.Count(output.String(), "progress/other-"); n == 0 || n > 100 {
		t.Errorf("%d lines in a minute, want at most 100", n)
	}
}

// Guards against takeovers that fail, epochs that were given out before, and members that nobody waits for: any
// bytes are read as a whole record or as none.
func FuzzTakeoverRecords(f *testing.F) {
	for _, value := range []string{`4`, `null`, `0`, `["vm-1"]`, `["vm-1",null]`, `{"epoch":4,"silent-ms":{"vm-1":null}}`, `{"epoch":4,"silent-ms":{"vm-1":-3}}`, "\x00"} {
		f.Add([]byte(value))
	}
	const revision = 77
	f.Fuzz(func(t *testing.T, value []byte) {
		s := newFollowScheduler(keeper.Calls{
			FindRecords: func(context.Context, keeper.ListOptions) (keeper.ListResult, error) { return keeper.ListResult{}, nil },
			GetRecord: func(_ context.Context, key string) (keeper.Record, error) {
				return keeper.Record{Key: key, Revision: revision, Value: value}, nil
			},
		})
		if epoch := s.decodeEpoch(keeper.Record{Key: "cells/jobs/epoch", Revision: revision, Value: value}); epoch < 1 || epoch > maxEpoch {
			t.Errorf("epoch %d", epoch)
		}
		o, err := s.takeOver(t.Context(), 5)
		if err != nil {
			t.Fatal(err)
		}
		var list []any
		if isEmpty := json.Unmarshal(value, &list) == nil && list != nil && len(list) == 0; len(o.unreported) == 0 && !isEmpty {
			t.Errorf("%q: nobody is waited for", value)
		}
	})
}
