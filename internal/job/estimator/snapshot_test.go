package estimator

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func learned(images int) *Estimator {
	e, r := New(), random(8)
	for i := range images {
		for n := range 100 {
			work := r.ExpFloat64()
			e.Observe(Sample{
				Kind: Kind{Queue: "q", Image: fmt.Sprintf("image-%d", i)}, Declared: time.Second, Work: seconds(min(work, 2)), Took: seconds(2 * work),
				Tasks: 1, Censored: work > 2, At: begin.Add(time.Duration(n) * time.Second),
			})
		}
	}
	return e
}

func answers(e *Estimator) []time.Duration {
	d := e.RunTime(Kind{Queue: "q", Image: "image-0"}, time.Second)
	return []time.Duration{d.Mean(), d.Quantile(0.5), d.Quantile(0.9), d.Quantile(0.99), d.Left(time.Second)}
}

// The next owner predicts as the one before, also as to what was stopped.
func TestSnapshotRestores(t *testing.T) {
	e := learned(3)
	value, err := e.Encode()
	if err != nil {
		t.Fatal(err)
	}
	next := New()
	if err := next.Decode(value); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(answers(e), answers(next)); diff != "" {
		t.Error(diff)
	}
	if got, want := next.Pace("q"), e.Pace("q"); got < want-0.01 || got > want+0.01 {
		t.Errorf("pace %v, want %v", got, want)
	}
}

// The record stays small, whatever images callers name: it is written every 5 s.
func TestSnapshotIsBounded(t *testing.T) {
	value, err := learned(2 * maxSnapshotGroups).Encode()
	if err != nil {
		t.Fatal(err)
	}
	if most := 64_000; len(value) > most {
		t.Errorf("%d bytes, want at most %d", len(value), most)
	}
	t.Logf("%d bytes", len(value))
	if err := New().Decode(value); err != nil {
		t.Error(err)
	}
}

// Guards against an old snapshot that outweighs what the owner has seen itself: samples of both count by
// their age.
func TestSnapshotIsMergedByAge(t *testing.T) {
	old := New()
	for range 400 {
		observe(old, kind, 1, 1)
	}
	value, err := old.Encode()
	if err != nil {
		t.Fatal(err)
	}
	own := New()
	for range 100 {
		own.Observe(Sample{Kind: kind, Declared: time.Second, Work: 3 * time.Second, Tasks: 1, At: begin.Add(2 * halfLife)})
	}
	if err := own.Decode(value); err != nil {
		t.Fatal(err)
	}
	if got := own.RunTime(kind, time.Second).Mean(); !near(got, 2, 0.05) {
		t.Errorf("mean %v; a quarter of 400 runs of 1 s and 100 of 3 s have 2 s", got)
	}
}

// Guards against a snapshot that is damaged or of a newer version and is restored in part: it is refused
// whole, with its reason, and changes nothing.
func TestDamagedSnapshotIsRefusedWhole(t *testing.T) {
	value, err := learned(2).Encode()
	if err != nil {
		t.Fatal(err)
	}
	change := func(f func(s *snapshot)) []byte {
		var s snapshot
		if err := json.Unmarshal(value, &s); err != nil {
			t.Fatal(err)
		}
		f(&s)
		changed, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		return changed
	}
	last := func(s *snapshot) *storedGroup { return &s.Groups[len(s.Groups)-1] }
	tests := []struct {
		name  string
		value []byte
		want  string
	}{
		{"cut off", value[:len(value)/2], "unexpected end"},
		{"empty", []byte("{}"), "field version: missing"},
		{"null", []byte("null"), "null"},
		{"group that is null", []byte(`{"version":1,"groups":[null]}`), "groups[0]: null"},
		{"group without counts", []byte(`{"version":1,"groups":[{"queue":"q","at-ms":1,"support":1}]}`), "groups[0].done: missing"},
		{"group without support", []byte(`{"version":1,"groups":[{"queue":"q","at-ms":1,"done":null}]}`), "groups[0].support: missing"},
		{"half a count", []byte(`{"version":1,"groups":[{"queue":"q","at-ms":1,"support":1,"done":[[5]]}]}`), "groups[0].done[0]"},
		{"newer version", change(func(s *snapshot) { s.Version = 2 }), "version 2, known is 1"},
		{"no queue", change(func(s *snapshot) { last(s).Queue = "" }), "queue is missing"},
		{"negative count", change(func(s *snapshot) { last(s).Done[0][1] = -1 }), "count -1 at"},
		{"count too large", change(func(s *snapshot) { last(s).Done[0][1] = 1 << 60 }), "is out of range"},
		{"count beyond the histogram", change(func(s *snapshot) { last(s).Stopped = storedCounts{{9999, 8}} }), "count 8 at 9999 is out of range"},
		{"negative support", change(func(s *snapshot) { last(s).Support = -1 }), "support -1 is out of range"},
		{"negative time", change(func(s *snapshot) { last(s).AtMillis = -5 }), "at-ms -5 is negative"},
		{"group given twice", change(func(s *snapshot) { s.Groups = append(s.Groups, s.Groups[0]) }), "is given twice"},
		{"pace out of range", change(func(s *snapshot) { s.Paces["q"] = 0.5 }), "has 0.5, want 1 to 8"},
		{"too many groups", change(func(s *snapshot) {
			for i := range maxSnapshotGroups {
				g := s.Groups[0]
				g.Image = fmt.Sprint(i)
				s.Groups = append(s.Groups, g)
			}
		}), "at most 96 are stored"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := New()
			for range 20 {
				observe(e, Kind{Queue: "q", Image: "image-0"}, 1, 2)
			}
			before := answers(e)
			if err := e.Decode(tt.value); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got %v, want %q", err, tt.want)
			}
			if diff := cmp.Diff(before, answers(e)); diff != "" || e.Size() != 3 {
				t.Errorf("%d groups; %s", e.Size(), diff)
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	value, err := learned(2).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add([]byte(`{"version":1,"groups":[{"queue":"q","done":[[1,8]]}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		e := New()
		if err := e.Decode(value); err != nil {
			if e.Size() != 0 {
				t.Errorf("%d groups restored from a refused snapshot", e.Size())
			}
			return
		}
		if again, err := e.Encode(); err != nil {
			t.Errorf("encode: %v", err)
		} else if err := New().Decode(again); err != nil {
			t.Errorf("decode what was encoded: %v", err)
		}
	})
}
