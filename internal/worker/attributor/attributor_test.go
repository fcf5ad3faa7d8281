package attributor

import (
	"testing"
	"time"
)

// Guards against a task that crashes its workers without limit, and against one that is given up
// for crashes that others caused.
func TestTooMany(t *testing.T) {
	likely := func(age time.Duration, sole bool) Crash {
		return Crash{AgeMillis: age.Milliseconds(), Likely: true, Sole: sole}
	}
	beside := Crash{AgeMillis: 5000}
	const early, late = 20 * time.Millisecond, 800 * time.Millisecond
	tests := []struct {
		name    string
		crashes []Crash
		want    bool
	}{
		{"none", nil, false},
		{"two as the sole cause", []Crash{likely(early, true), likely(early, true)}, false},
		{"three as the sole cause", []Crash{likely(early, true), likely(early, true), likely(early, true)}, true},
		{"the last as the sole cause, at other ages", []Crash{likely(late, false), likely(early, false), likely(early, true)}, false},
		{"three as a likely cause", []Crash{likely(early, false), likely(early, false), likely(early, false)}, false},
		{"four as a likely cause", []Crash{likely(early, false), likely(late, false), likely(early, false), likely(late, false)}, true},
		{"four beside others", []Crash{beside, beside, beside, beside}, false},
		{"five beside others", []Crash{beside, beside, beside, beside, beside}, true},
	}
	for _, tt := range tests {
		if got := TooMany(tt.crashes, tt.crashes); got != tt.want {
			t.Errorf("%s: %t, want %t", tt.name, got, tt.want)
		}
	}
}
