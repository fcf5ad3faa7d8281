package guardian

import (
	"testing"
	"time"

	"bamboospread/internal/job/tracker"
	"bamboospread/internal/wire/messenger"
)

// Guards against an overloaded owner and agents in a large fleet, where all tasks start and
// end late. A worker that lists an end not stored yet answers each poll immediately, so the
// agent polled and reported continuously. It must respect its intervals for both, and still
// see the next end within one interval.
func TestPollRateWhileEndIsNotStored(t *testing.T) {
	worker := newFakeWorker()
	worker.reportsEndsAtOnce = true
	e := newTestEnv(t, worker)
	e.own(1)
	e.order(1, messenger.WorkStart, 0, 1)
	e.order(1, messenger.WorkStart, 1, 1)
	e.until("two runs", func() bool { return e.confirmed() == 2 })
	end := func(seq int64, index int) {
		worker.withLock(func() {
			delete(worker.runs, tracker.RunKey{Task: taskID(index), Number: 1})
			worker.ends = append(worker.ends, ListedEnd{Seq: seq, Task: taskID(index), Run: 1, Outcome: "done"})
		})
	}
	end(1, 0)
	e.until("the end", func() bool { return len(e.report().Ends) == 1 })
	polls, wakes := func() int { n := 0; worker.withLock(func() { n = len(worker.leases) }); return n }, 0
	const span = 600 * time.Millisecond
	before, from := polls(), time.Now()
	for time.Since(from) < span {
		select {
		case <-e.g.News():
			wakes++
			e.report()
		case <-e.g.Wake():
			wakes++
			e.report()
		case <-time.After(time.Millisecond):
		}
	}
	if got, most := polls()-before, int(span/pollMinInterval)+2; got > most {
		t.Errorf("%d polls in %s, want %d at most", got, span, most)
	}
	if most := int(span/metricsMaxAge) + 2; wakes > most {
		t.Errorf("%d reports in %s without news, want %d at most", wakes, span, most)
	}
	endedAt := time.Now()
	end(2, 1)
	e.until("the next end", func() bool { return len(e.report().Ends) == 2 })
	if took := time.Since(endedAt); took > pollMinInterval+200*time.Millisecond {
		t.Errorf("the next end was seen after %s", took)
	}
}
