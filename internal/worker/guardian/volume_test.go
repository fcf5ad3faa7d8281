package guardian

import (
	"testing"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/wire/messenger"
)

// All tasks of a large fleet start and end late, since the owner and the agents have no
// processor left: a worker that lists an end that is not stored yet answers each look at
// once, so the agent looked again and again, and reported each time. It must do neither
// more often than by its pauses, and still see the next end within one of them.
func TestLooksWhileAnEndIsNotStored(t *testing.T) {
	worker := newFakeWorker()
	worker.eager = true
	b := newBed(t, worker)
	b.own(1)
	b.order(1, messenger.WorkStart, 0, 1)
	b.order(1, messenger.WorkStart, 1, 1)
	b.until("two runs", func() bool { return b.confirmed() == 2 })
	end := func(seq int64, index int) {
		worker.change(func() {
			delete(worker.runs, accountant.RunKey{Task: taskID(index), Number: 1})
			worker.ends = append(worker.ends, SeenEnd{Seq: seq, Task: taskID(index), Run: 1, How: "done"})
		})
	}
	end(1, 0)
	b.until("the end", func() bool { return len(b.report().Ends) == 1 })
	looks, wakes := func() int { n := 0; worker.change(func() { n = len(worker.leases) }); return n }, 0
	const span = 600 * time.Millisecond
	before, from := looks(), time.Now()
	for time.Since(from) < span {
		select {
		case <-b.g.Wake():
			wakes++
			b.report()
		case <-time.After(time.Millisecond):
		}
	}
	if got, most := looks()-before, int(span/lookAgain)+2; got > most {
		t.Errorf("%d looks in %s, want %d at most", got, span, most)
	}
	if most := int(span/figuresEvery) + 2; wakes > most {
		t.Errorf("%d reports in %s without news, want %d at most", wakes, span, most)
	}
	begin := time.Now()
	end(2, 1)
	b.until("the next end", func() bool { return len(b.report().Ends) == 2 })
	if took := time.Since(begin); took > lookAgain+200*time.Millisecond {
		t.Errorf("the next end was seen after %s", took)
	}
}
