package guardian

import (
	"testing"
	"time"

	"bamboospread/internal/kernel/reporter"
)

// Guards against one crash that is counted several times, and tasks given up for it: polls of an
// ended process that fail or are answered late must not count against the next one, which has
// announced itself but does not answer yet.
func TestPollsOfEndedProcessAreNotTheNextOnes(t *testing.T) {
	tests := []struct {
		name     string
		answered bool // a poll sent to the first process is answered after the next one's announcement
		late     int  // such polls that fail
		failed   int  // polls of the next process that fail
		crashes  int
	}{
		{"the next process does not listen yet", false, 0, absentPollsToEnd - 1, 1},
		{"polls fail late", false, absentPollsToEnd, 0, 1},
		{"polls fail late, the next process does not listen yet", false, 1, absentPollsToEnd - 1, 1},
		{"a poll is answered late", true, 0, 0, 1},
		{"the next process ends too", false, 0, absentPollsToEnd, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := New(Config{VM: "vm-1", LeaseMax: time.Second, Reporter: reporter.Discard(), Now: time.Now})
			fail := func(n int, from pollStart) {
				for range n {
					g.recordFailedPoll(ErrWorkerNotExist{errNoAnswer}, from)
				}
			}
			g.Announce(Announcement{Incarnation: "incarnation-1"})
			call, first := g.nextPoll()
			fail(absentPollsToEnd, first)
			g.Announce(Announcement{Incarnation: "incarnation-2"})
			fail(tt.late, first)
			if tt.answered {
				g.applyPoll(Status{Incarnation: "incarnation-1"}, call, first)
			}
			call, next := g.nextPoll()
			fail(tt.failed, next)
			g.applyPoll(Status{Incarnation: "incarnation-2"}, call, next)
			if n := len(g.crashes); n != tt.crashes {
				t.Errorf("%d crashes, want %d", n, tt.crashes)
			}
		})
	}
}

// Guards against an agent that believes a late announcement for good: what the worker answers to
// the next poll must decide which process runs.
func TestNextPollOverridesLateAnnouncement(t *testing.T) {
	g := New(Config{VM: "vm-1", LeaseMax: time.Second, Reporter: reporter.Discard(), Now: time.Now})
	g.Announce(Announcement{Incarnation: "incarnation-2"})
	for range 2 {
		call, from := g.nextPoll()
		g.Announce(Announcement{Incarnation: "incarnation-1"})
		g.applyPoll(Status{Incarnation: "incarnation-2"}, call, from)
		call, from = g.nextPoll()
		g.applyPoll(Status{Incarnation: "incarnation-2"}, call, from)
		if g.incarnation != "incarnation-2" {
			t.Fatalf("the agent follows %s", g.incarnation)
		}
	}
}
