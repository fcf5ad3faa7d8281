package gatekeeper

import (
	"strconv"
	"testing"
	"time"
)

// TestAttemptsAreRememberedAtAnyRate guards against a request that runs twice because its first
// copy was forgotten early among very many others, and against a log that grows for ever.
func TestAttemptsAreRememberedAtAnyRate(t *testing.T) {
	cases := []struct {
		name     string
		attempts int           // evenly over the time until the first attempt is repeated
		until    time.Duration // from the first attempt to its repetition
		known    bool
	}{
		{"at once", 0, 0, true},
		{"low rate", 1000, attemptRetention, true},
		{"high rate", 450_000, attemptRetention, true},
		{"in a burst", 450_000, 0, true},
		{"long ago", 1000, 3 * attemptRetention, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, now := newAttemptLog(), time.Unix(1000, 0)
			if !l.add("first", 1, now) {
				t.Fatal("the first attempt is taken for a repetition")
			}
			for i := range c.attempts {
				at := now.Add(time.Duration(float64(c.until) * float64(i) / float64(c.attempts)))
				if !l.add(strconv.Itoa(i), 1, at) {
					t.Fatalf("attempt %d is taken for a repetition", i)
				}
			}
			if known := !l.add("first", 1, now.Add(c.until)); known != c.known {
				t.Errorf("known after %s and %d attempts: %t, want %t", c.until, c.attempts, known, c.known)
			}
			if !l.add("first", 2, now.Add(c.until)) {
				t.Error("the second attempt of the request is taken for its first")
			}
		})
	}
}
