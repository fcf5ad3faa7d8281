package guardian

import (
	"testing"
	"time"

	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

// Guards against one crash that is counted several times, and tasks given up for it: polls of an
// ended process that fail or are answered late must not count against the next one, which has
// announced itself but does not answer yet.
func TestPollsOfEndedProcessAreNotTheNextOnes(t *testing.T) {
	const first, second = "incarnation-1", "incarnation-2"
	tests := []struct {
		name     string
		answered bool   // a poll sent to the first process is answered after the next one's announcement
		late     int    // such polls that fail
		answers  bool   // the next process answers a poll before others fail
		failed   int    // polls of the next process that fail
		ended    string // whose process has ended, as the latter say; empty: they do not say so
		crashes  int
	}{
		{name: "the next process does not listen yet", failed: 4, crashes: 1},
		{name: "polls fail late", late: 4, crashes: 1},
		{name: "polls fail late, the next process does not listen yet", late: 1, failed: 4, crashes: 1},
		{name: "a poll is answered late", answered: true, crashes: 1},
		{name: "the next process is not known yet", failed: 4, ended: first, crashes: 1},
		{name: "the next process answers and ends too", answers: true, failed: 1, ended: second, crashes: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := New(Config{VM: "vm-1", LeaseMax: time.Second, Reporter: reporter.Discard(), Now: time.Now})
			fail := func(n int, from pollStart, ended string) {
				err := error(ErrWorkerUnreachable{errNoAnswer})
				if ended != "" {
					err = ErrWorkerEnded{Incarnation: ended, Cause: err}
				}
				for range n {
					g.recordFailedPoll(err, from)
				}
			}
			g.Announce(Announcement{Incarnation: first})
			call, toFirst := g.nextPoll()
			ended := first
			if tt.answered { // it has not ended yet
				ended = ""
			}
			fail(1, toFirst, ended)
			g.Announce(Announcement{Incarnation: second})
			fail(tt.late, toFirst, first)
			if tt.answered {
				g.applyPoll(Status{Incarnation: first}, call, toFirst)
			}
			call, toSecond := g.nextPoll()
			if tt.answers {
				g.applyPoll(Status{Incarnation: second}, call, toSecond)
				call, toSecond = g.nextPoll()
			}
			fail(tt.failed, toSecond, tt.ended)
			g.applyPoll(Status{Incarnation: second}, call, toSecond)
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

// Guards against tasks that are blamed for crashes that did not happen: a late announcement of a former
// incarnation must not end the present one. A new one that announces itself is followed at once.
func TestAnnouncementAloneIsNoCrash(t *testing.T) {
	for _, tt := range []struct {
		name              string
		checksIncarnation bool
		restarted         bool
	}{
		{"late", false, false},
		{"late, polls name the incarnation", true, false},
		{"restarted", false, true},
		{"restarted, polls name the incarnation", true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			worker := newFakeWorker()
			worker.checksIncarnation = tt.checksIncarnation
			e := newTestEnv(t, worker)
			e.own(1)
			e.order(1, messenger.WorkStart, 0, 1)
			e.until("a run", func() bool { return e.confirmed() == 1 })
			worker.withLock(func() { worker.waitsFully = true })
			time.Sleep(pollRetryPause) // a poll waits for an end
			if tt.restarted {
				e.restartWorker("incarnation-2")
			}
			announcedAt := time.Now()
			e.g.Announce(Announcement{Incarnation: "incarnation-2", Zone: "z"})
			want, incarnation := 1, "incarnation-1"
			if tt.restarted {
				want, incarnation = 0, "incarnation-2"
			}
			e.until("an answer", func() bool {
				e.g.mu.Lock()
				defer e.g.mu.Unlock()
				return e.g.successor == nil && e.g.clockAt.After(announcedAt)
			})
			if took := time.Since(announcedAt); tt.restarted && took > pollWait {
				t.Errorf("confirmed after %s", took)
			}
			rep := e.report()
			if len(rep.Runs) != want || len(rep.Crashes) != 1-want || rep.Incarnation != incarnation {
				t.Errorf("%d runs, %d crashes of %s, want %d and %d of %s", len(rep.Runs), len(rep.Crashes), rep.Incarnation, want, 1-want, incarnation)
			}
		})
	}
}
